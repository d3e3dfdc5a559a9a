package fleet

import (
	"context"
	"time"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/plat"
)

// boxReader polls the platform's box list.
type boxReader struct{ *Fleet }

// boxReadTimeout bounds one read of the box list.
const boxReadTimeout = 2 * time.Second

func (r boxReader) run(ctx context.Context) {
	failing := false
	for {
		err := r.read(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil && !failing {
			r.opts.Log.Emit(event.BoxListFailed, event.Ref{}, err.Error())
		}
		failing = err != nil
		t := time.NewTimer(r.opts.BoxPollInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
	}
}

func (r boxReader) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, boxReadTimeout)
	defer cancel()
	list, changed, err := r.opts.Boxes.Read(ctx)
	if err != nil {
		return err
	}
	r.fleetMu.Lock()
	r.lastContact = clock.Now()
	r.fleetMu.Unlock()
	if changed {
		r.apply(list)
	}
	return nil
}

func (r boxReader) apply(list []plat.Box) {
	next := make(map[string]plat.Box, len(list))
	for _, b := range list {
		next[b.Name] = b
	}
	r.fleetMu.Lock()
	old := r.boxes
	r.boxes, r.boxesLoaded = next, true
	r.fleetMu.Unlock()
	r.rebuild()
	r.logChanges(old, next)
	if next[r.opts.Name].State == plat.BoxLeaving {
		r.Drain()
	}
}

func (r boxReader) logChanges(old, next map[string]plat.Box) {
	for name, b := range next {
		before, listed := old[name]
		switch {
		case !listed:
			r.opts.Log.Emit(event.BoxAppeared, event.Ref{Target: name}, string(b.State))
		case b.State == plat.BoxLeaving && before.State != plat.BoxLeaving:
			r.opts.Log.Emit(event.BoxLeaving, event.Ref{Target: name}, "")
		}
	}
	for name := range old {
		if _, listed := next[name]; !listed {
			r.opts.Log.Emit(event.BoxGone, event.Ref{Target: name}, "")
		}
	}
}
