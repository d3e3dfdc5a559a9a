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
		f := cache.NewFollower(name, e, d.roots(snap, t), d.home, d.home.o.Log)
		wg.Go(func() { f.Run(ctx) })
		wg.Go(func() { loadReader{d.home, name, e}.run(ctx) })
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

// loadReader reads the load of one worker.
type loadReader struct {
	home   *Home
	worker string
	engine *target.Engine
}

func (r loadReader) run(ctx context.Context) {
	t := time.NewTicker(r.home.o.LoadPause)
	defer t.Stop()
	for {
		l, err := r.engine.Load(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			r.home.loads.setOwn(r.convert(l), time.Now())
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (r loadReader) convert(l target.Load) workerLoad {
	w := workerLoad{
		Worker: r.worker, Queued: l.QueuedTokens, Running: l.Running, Free: l.FreeBlocks, Total: l.TotalBlocks,
		Speed: l.PrefillTokensPerSecond, BlockBytes: l.BlockBytes, Loading: l.Loading,
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
	h.stats.CacheLosses.Add(int64(len(list)))
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
