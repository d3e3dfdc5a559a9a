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

// duties follows the workers that this daemon has the duty for.
type duties struct {
	home *Home
	// running are the followed workers, adjusted to snap and view; only run
	// uses these.
	running map[string]followed
	snap    *conf.Snapshot
	view    *fleet.View
}

type followed struct {
	url  string
	stop context.CancelFunc
}

// dutyPause is the time between looks at what the duties are.
const dutyPause = 500 * time.Millisecond

func (d *duties) run(ctx context.Context) {
	d.running = map[string]followed{}
	var wg sync.WaitGroup
	defer wg.Wait()
	t := time.NewTicker(dutyPause)
	defer t.Stop()
	for {
		d.adjust(ctx, &wg)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-d.home.o.Conf.Changed():
		}
	}
}

// adjust starts and stops following so that it fits the duties.
func (d *duties) adjust(ctx context.Context, wg *sync.WaitGroup) {
	snap, view := d.home.o.Conf.Snapshot(), d.home.o.Fleet.View()
	if d.snap == snap && d.view == view {
		return
	}
	d.snap, d.view = snap, view
	want := map[string]*conf.Target{}
	for _, name := range d.home.plan(snap, view).workers {
		if view.Duty(fleet.Key("follow/"+name)) == view.Self() {
			want[name] = snap.Target(name)
		}
	}
	for name, f := range d.running {
		if t := want[name]; t == nil || t.URL != f.url {
			f.stop()
			delete(d.running, name)
			d.home.loads.disown(name)
		}
	}
	for name, t := range want {
		if _, ok := d.running[name]; ok {
			continue
		}
		ctx, stop := context.WithCancel(ctx)
		d.running[name] = followed{url: t.URL, stop: stop}
		e := d.home.engine(t)
		f := cache.NewFollower(name, &feed{d.home, name, e}, d.roots(snap, t), d.home, d.home.o.Log)
		wg.Go(func() { f.Run(ctx) })
	}
}

// roots returns how many first blocks name a context on a worker.
func (d *duties) roots(snap *conf.Snapshot, t *conf.Target) int {
	for _, name := range t.Deployments {
		if dep := snap.Deployment(name); dep != nil {
			return dep.Roots()
		}
	}
	return 1
}

// feed is what one worker tells of its cache and load.
type feed struct {
	home   *Home
	worker string
	engine *target.Engine
}

// CacheNotes gathers cache events and takes the load that comes with them.
func (f *feed) CacheNotes(ctx context.Context, seq uint64) ([]cache.Note, error) {
	n, err := f.engine.News(ctx, seq, f.home.o.LoadPause)
	if err != nil {
		return nil, err
	}
	f.home.loads.setOwn(f.convert(n.Load), time.Now())
	return n.Events, nil
}

// CacheContents returns all blocks that the worker holds.
func (f *feed) CacheContents(ctx context.Context) (cache.Contents, error) {
	return f.engine.CacheContents(ctx)
}

func (f *feed) convert(l target.Load) workerLoad {
	w := workerLoad{
		Holds:  []string{},
		Worker: f.worker, Queued: l.QueuedTokens, Running: l.Running, Free: l.FreeBlocks, Total: l.TotalBlocks,
		Speed: float32(l.PrefillTokensPerSecond), BlockBytes: l.BlockBytes, Loading: l.Loading, Boot: l.Boot,
	}
	for _, v := range l.Weights {
		base := cache.Salt{Model: v.Model, WeightVersion: v.Version}
		w.Holds = append(w.Holds, Weights(base))
		for _, a := range v.Adapters {
			base.Adapter = a
			w.Holds = append(w.Holds, Weights(base))
		}
	}
	return w
}

// Lost tells the homes of contexts what a worker no longer holds.
func (h *Home) Lost(worker string, list []cache.Mark) {
	for home, ms := range h.byHome(list) {
		h.tell(home, kindLost, &marks{worker, ms})
	}
}

// Resynced tells every daemon of the cell what a worker holds now.
func (h *Home) Resynced(worker string, tips []cache.Mark) {
	byHome := h.byHome(tips)
	for _, name := range h.o.Fleet.View().OnDuty() {
		h.tell(name, kindResynced, &marks{worker, byHome[name]})
	}
}

func (h *Home) byHome(list []cache.Mark) map[string][]cache.Mark {
	view := h.o.Fleet.View()
	out := map[string][]cache.Mark{}
	for _, m := range list {
		home := view.Home(m.Root)
		out[home] = append(out[home], m)
	}
	return out
}
