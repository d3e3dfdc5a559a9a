package lease

import (
	"context"
	"sync"
	"time"

	"embertally.dev/core/event"
	"embertally.dev/core/plat"
)

// Timed is the right to act alone, bound to a session of the service: the key
// goes when its holder is silent, and who takes it next waits until the former
// holder can no longer act. The fence is the revision at which the key was
// made, so it rises with each holder.
//
// Nothing rests on wall clocks. A holder that was paused finds its last renewal
// too old by the steady clock and does not act.
type Timed struct {
	o TimedOptions

	timedMu sync.Mutex
	session int64 // guarded by timedMu
	// renewed is when the last renewal that succeeded was sent. Guarded by
	// timedMu.
	renewed time.Time
	// fence is 0 while the key is not held. Guarded by timedMu.
	fence uint64
	// from is when this holder may act first. Guarded by timedMu.
	from time.Time
	// refused is the fence that a target refused as too old. Guarded by timedMu.
	refused uint64
}

// TimedOptions of a lease.
type TimedOptions struct {
	Key   string
	Owner string
	// Apart is the least time between the acts of two holders.
	Apart  time.Duration
	Store  plat.Store
	Mirror *plat.Mirror
	Log    *event.Log
	// Rank says how many others try before this one.
	Rank func() int
	// Idle reports that this daemon must not hold the lease.
	Idle func() bool
}

// Times of a timed lease, as shares of Apart.
const (
	// renewShare is the pause between renewals: a renewal costs the platform a
	// tenth of a call.
	renewShare = 8
	// actShare bounds the age of the renewal under which a holder acts, so that
	// it stops acting long before its session ends.
	actShare = 3
	// callLimit bounds one call of the service.
	callLimit = time.Second
	// rankPause spaces the daemons that try to take a free lease.
	rankPause = 250 * time.Millisecond
)

// NewTimed returns a lease that is not held.
func NewTimed(o TimedOptions) *Timed { return &Timed{o: o} }

// Run takes and keeps the lease until ctx ends, and then gives it back.
func (t *Timed) Run(ctx context.Context) {
	tick := time.NewTicker(t.o.Apart / renewShare)
	defer tick.Stop()
	var free time.Time
	for {
		select {
		case <-ctx.Done():
			t.giveBack()
			return
		case <-tick.C:
		}
		if t.o.Idle() {
			t.giveBack()
			continue
		}
		if t.keep(ctx) {
			free = time.Time{}
			continue
		}
		if _, taken := t.o.Mirror.Pair(t.o.Key); taken || t.o.Mirror.Contact().IsZero() {
			free = time.Time{}
			continue
		}
		if free.IsZero() {
			free = time.Now()
		}
		if time.Since(free) >= time.Duration(t.o.Rank())*rankPause {
			t.take(ctx)
			free = time.Now()
		}
	}
}

// keep renews the session and reports whether the key is held.
func (t *Timed) keep(ctx context.Context) bool {
	t.timedMu.Lock()
	session, fence := t.session, t.fence
	t.timedMu.Unlock()
	if session == 0 {
		return false
	}
	pair, there := t.o.Mirror.Pair(t.o.Key)
	mine := there && string(pair.Value) == t.o.Owner
	// The mirror shows a key that was just taken a moment later.
	unseen := !there && fence > uint64(t.o.Mirror.Revision())
	switch {
	case there && !mine:
		t.drop("another holds it")
		return false
	case !there && fence != 0 && !unseen:
		t.drop("it ran out")
		return false
	}
	mine = mine || unseen
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	sent := time.Now()
	if err := t.o.Store.Renew(ctx, session); err != nil {
		if isOver(err) {
			t.drop(err.Error())
			return false
		}
		return mine
	}
	t.timedMu.Lock()
	defer t.timedMu.Unlock()
	t.renewed = sent
	if there && t.fence != uint64(pair.ModRevision) {
		t.hold(pair.ModRevision)
	}
	return mine
}

// hold records that the key was found to be this holder's. It is called with
// timedMu held.
func (t *Timed) hold(revision int64) {
	t.fence = uint64(revision)
	t.from = time.Now().Add(t.o.Apart)
	t.o.Log.Emit(event.LeaseTaken, event.Ref{Resource: t.o.Key}, "acts "+t.o.Apart.String()+" from now")
}

// take opens a session and writes the key under it, unless somebody has it.
func (t *Timed) take(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	t.timedMu.Lock()
	session := t.session
	t.timedMu.Unlock()
	if session == 0 {
		got, err := t.o.Store.Open(ctx, t.o.Apart)
		if err != nil {
			return
		}
		session = got
	}
	sent := time.Now()
	out, err := t.o.Store.Commit(ctx, plat.Txn{
		Compares: []plat.Compare{{Key: t.o.Key}},
		Puts:     []plat.Put{{Key: t.o.Key, Value: []byte(t.o.Owner), Session: session}},
	})
	t.timedMu.Lock()
	defer t.timedMu.Unlock()
	t.session = session
	switch {
	case isOver(err):
		t.session = 0
	case err == nil && out.Succeeded:
		t.renewed = sent
		t.hold(out.Revision)
	}
}

// drop forgets a lease that was lost.
func (t *Timed) drop(why string) {
	t.timedMu.Lock()
	defer t.timedMu.Unlock()
	if t.fence != 0 {
		t.o.Log.Emit(event.LeaseLost, event.Ref{Resource: t.o.Key}, why)
	}
	t.session, t.fence = 0, 0
}

// giveBack ends the session, so that another may take the lease at once.
func (t *Timed) giveBack() {
	t.timedMu.Lock()
	session := t.session
	t.session, t.fence = 0, 0
	t.timedMu.Unlock()
	if session == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	if err := t.o.Store.End(ctx, session); err != nil {
		t.o.Log.Emit(event.LeaseLost, event.Ref{Resource: t.o.Key}, "not given back, it will run out: "+err.Error())
		return
	}
	t.o.Log.Emit(event.LeaseLost, event.Ref{Resource: t.o.Key}, "given back")
}

// Refused records that a target has seen a higher fence; the lease is taken
// anew before anything else is done under it.
func (t *Timed) Refused(fence uint64) {
	t.timedMu.Lock()
	same := t.fence == fence && t.refused != fence
	t.refused = fence
	t.timedMu.Unlock()
	if same {
		t.giveBack()
	}
}

// Fence returns the number that fences this holder's acts, and whether it may
// act now.
func (t *Timed) Fence() (uint64, bool) {
	t.timedMu.Lock()
	defer t.timedMu.Unlock()
	now := time.Now()
	may := t.fence != 0 && t.fence != t.refused && now.After(t.from) && now.Sub(t.renewed) < t.o.Apart/actShare
	return t.fence, may
}
