package fleet

import (
	"context"
	"time"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/plat"
)

// boxReader reads the platform's box list.
type boxReader struct{ *Fleet }

// boxLimit bounds one reading of the box list.
const boxLimit = 2 * time.Second

func (r boxReader) run(ctx context.Context) {
	failing := false
	for {
		err := r.read(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil && !failing {
			r.o.Log.Emit(event.BoxListFailed, event.Ref{}, err.Error())
		}
		failing = err != nil
		t := time.NewTimer(r.o.BoxPause)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
	}
}

func (r boxReader) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, boxLimit)
	defer cancel()
	list, changed, err := r.o.Boxes.Read(ctx)
	if err != nil {
		return err
	}
	r.fleetMu.Lock()
	r.contact = clock.Now()
	r.fleetMu.Unlock()
	if changed {
		r.set(list)
	}
	return nil
}

func (r boxReader) set(list []plat.Box) {
	next := make(map[string]plat.Box, len(list))
	for _, b := range list {
		next[b.Name] = b
	}
	r.fleetMu.Lock()
	old := r.boxes
	r.boxes, r.boxesKnown = next, true
	r.fleetMu.Unlock()
	r.rebuild()
	r.tell(old, next)
	if next[r.o.Name].State == plat.BoxLeaving {
		r.Drain()
	}
}

func (r boxReader) tell(old, next map[string]plat.Box) {
	for name, b := range next {
		was, known := old[name]
		switch {
		case !known:
			r.o.Log.Emit(event.BoxAppeared, event.Ref{Target: name}, string(b.State))
		case b.State == plat.BoxLeaving && was.State != plat.BoxLeaving:
			r.o.Log.Emit(event.BoxLeaving, event.Ref{Target: name}, "")
		}
	}
	for name := range old {
		if _, known := next[name]; !known {
			r.o.Log.Emit(event.BoxGone, event.Ref{Target: name}, "")
		}
	}
}
