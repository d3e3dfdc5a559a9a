package home

import (
	"context"
	"sync"
	"time"

	"embertally.dev/core/cache"
	"embertally.dev/core/conf"
	"embertally.dev/core/fleet"
	"embertally.dev/core/target"
)

// assignments follows the workers that are assigned to this daemon.
type assignments struct {
	owner *Owner
	// running are the followers started for snap and view. Only run uses these fields.
	running map[string]runningFollower
	snap    *conf.Snapshot
	view    *fleet.View
}

// runningFollower is a started follower and the URL of its worker.
type runningFollower struct {
	url  string
	stop context.CancelFunc
}

// adjustInterval is the time between checks of the assignments.
const adjustInterval = 500 * time.Millisecond

// run keeps the followers adjusted until ctx ends.
func (a *assignments) run(ctx context.Context) {
	a.running = map[string]runningFollower{}
	var wg sync.WaitGroup
	defer wg.Wait()
	t := time.NewTicker(adjustInterval)
	defer t.Stop()
	for {
		a.adjust(ctx, &wg)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-a.owner.o.Conf.Changed():
		}
	}
}

// adjust starts and stops followers to match the assignments.
func (a *assignments) adjust(ctx context.Context, wg *sync.WaitGroup) {
	snap, view := a.owner.o.Conf.Snapshot(), a.owner.o.Fleet.View()
	if a.snap == snap && a.view == view {
		return
	}
	a.snap, a.view = snap, view
	assigned := map[string]*conf.Target{}
	for _, name := range a.owner.targets(snap, view).workers {
		if view.Assignee(fleet.Key("follow/"+name)) == view.Self() {
			assigned[name] = snap.Target(name)
		}
	}
	for name, f := range a.running {
		if t := assigned[name]; t == nil || t.URL != f.url {
			f.stop()
			delete(a.running, name)
			a.owner.loads.unfollow(name)
		}
	}
	for name, t := range assigned {
		if _, ok := a.running[name]; ok {
			continue
		}
		ctx, stop := context.WithCancel(ctx)
		a.running[name] = runningFollower{url: t.URL, stop: stop}
		e := a.owner.engine(t)
		f := cache.NewFollower(name, &feed{a.owner, name, e}, a.rootBlocks(snap, t), a.owner, a.owner.o.Log)
		wg.Go(func() { f.Run(ctx) })
	}
}

// rootBlocks returns how many first blocks identify a context on a worker.
func (a *assignments) rootBlocks(snap *conf.Snapshot, t *conf.Target) int {
	for _, name := range t.Deployments {
		if dep := snap.Deployment(name); dep != nil {
			return dep.RootBlocksOrDefault()
		}
	}
	return 1
}

// feed provides the cache events of one worker and records its load.
type feed struct {
	owner  *Owner
	worker string
	engine *target.Engine
}

// CacheEvents returns cache events and records the load that comes with them.
func (f *feed) CacheEvents(ctx context.Context, seq uint64) ([]cache.CacheEvent, error) {
	batch, err := f.engine.PollEvents(ctx, seq, f.owner.o.LoadInterval)
	if err != nil {
		return nil, err
	}
	f.owner.loads.setFollowed(f.convert(batch.Load), time.Now())
	return batch.Events, nil
}

// CacheContents returns all blocks that the worker holds.
func (f *feed) CacheContents(ctx context.Context) (cache.Contents, error) {
	return f.engine.CacheContents(ctx)
}

// convert turns the load in a worker's own form into that sent to daemons.
func (f *feed) convert(l target.Load) workerLoad {
	w := workerLoad{
		Weights: []string{},
		Worker:  f.worker, Queued: l.QueuedTokens, Running: l.Running, Free: l.FreeBlocks, Total: l.TotalBlocks,
		Speed: float32(l.PrefillTokensPerSecond), BlockBytes: l.BlockBytes, Loading: l.Loading,
		Incarnation: l.Incarnation,
	}
	for _, v := range l.Weights {
		base := cache.Salt{Model: v.Model, WeightVersion: v.Version}
		w.Weights = append(w.Weights, WeightsName(base))
		for _, a := range v.Adapters {
			base.Adapter = a
			w.Weights = append(w.Weights, WeightsName(base))
		}
	}
	return w
}

// Lost notifies the owners of contexts that a worker no longer holds blocks of them.
func (h *Owner) Lost(worker string, list []cache.BlockRef) {
	for owner, refs := range h.byOwner(list) {
		h.notifyBlocks(owner, kindLost, &blockNotice{worker, refs})
	}
}

// Resynced notifies every daemon of the cell which chains a worker holds now.
func (h *Owner) Resynced(worker string, tips []cache.BlockRef) {
	byOwner := h.byOwner(tips)
	for _, name := range h.o.Fleet.View().Eligible() {
		h.notifyBlocks(name, kindResynced, &blockNotice{worker, byOwner[name]})
	}
}

// byOwner groups block references by the owner of their context.
func (h *Owner) byOwner(list []cache.BlockRef) map[string][]cache.BlockRef {
	view := h.o.Fleet.View()
	out := map[string][]cache.BlockRef{}
	for _, ref := range list {
		owner := view.Owner(ref.Root)
		out[owner] = append(out[owner], ref)
	}
	return out
}
