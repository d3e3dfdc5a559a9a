package lease

import (
	"context"
	"strconv"
	"sync"
	"time"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/plat"
	"embertally.dev/core/wait"
)

// Timed is a leadership lease bound to a session of the coordination store. The key expires when
// its holder stops renewing, and the next holder waits until the former one can no longer have
// acted within MinGap. The fencing token is the revision at which the key was created, so it rises
// with each holder.
//
// It does not depend on wall clocks. A holder that was suspended, alone or with its system, finds
// its last renewal too old and does not act.
type Timed struct {
	o TimedOptions

	timedMu sync.Mutex
	session plat.Session // guarded by timedMu
	// renewed is when the last successful renewal was sent. Guarded by timedMu.
	renewed clock.Time
	// lastTry is when a renewal was last attempted. Guarded by timedMu.
	lastTry clock.Time
	// fence is the fencing token, 0 while the key is not held. Guarded by timedMu.
	fence uint64
	// mayActFrom is the earliest time at which this holder may act. Guarded by timedMu.
	mayActFrom clock.Time
	// lastAct is when the holder last acted. Guarded by timedMu.
	lastAct clock.Time
	// refusedFence is the fencing token that a target rejected as too old. Guarded by timedMu.
	refusedFence uint64
}

// TimedOptions configure a Timed lease.
type TimedOptions struct {
	Key string
	// Holder identifies this incarnation of the daemon; it is the key's value while it holds the lease.
	Holder string
	// MinGap is the least time between the actions of two holders, and the TTL of the key without
	// renewals.
	MinGap     time.Duration
	Store      plat.Store
	WatchCache *plat.WatchCache
	Log        *event.Log
	// LastContact returns when the coordination store last confirmed the contents of the watch cache, to
	// this daemon or a peer; nil stands for its last contact with this daemon.
	LastContact func() clock.Time
	// MayHold, if set, reports whether a value of the key is that of a holder. Another one was not written with a
	// session, and doesn't expire: it is replaced.
	MayHold func(value string) bool
	// Rank returns how many daemons try to take the lease before this one.
	Rank func() int
	// Ineligible reports that this daemon must not hold the lease.
	Ineligible func() bool
	// HasWork reports that the holder has work to do. Otherwise the lease is renewed only as often
	// as is needed to keep it.
	HasWork func() bool
}

// Times of a Timed lease, some as divisors of MinGap.
const (
	// actDivisor bounds the age of the renewal under which a holder acts. A lost holder delays its
	// successor by MinGap and this time, so it is short.
	actDivisor = 4
	// busyDivisor and idleDivisor set the intervals of renewals with and without work to do. A
	// renewal costs the platform a tenth of a call.
	busyDivisor = 12
	idleDivisor = 3
	// transitMargin allows for an action of the former holder that is still in transit.
	transitMargin = 250 * time.Millisecond
	// callTimeout bounds one call of the coordination store.
	callTimeout = time.Second
	// rankDelay spaces the daemons that try to take a free lease.
	rankDelay = 250 * time.Millisecond
	// maxContactAge is the age of the store's last response up to which a daemon tries to take the
	// lease: the responses to a watch come every 1.5 s.
	maxContactAge = 2500 * time.Millisecond
	// checkInterval is the time between checks, and idleInterval that of a daemon that cannot or
	// must not take the lease: nearly all of a large fleet.
	checkInterval = 50 * time.Millisecond
	idleInterval  = time.Second
)

// NewTimed returns a lease that is not held.
func NewTimed(o TimedOptions) *Timed { return &Timed{o: o} }

// Run takes and keeps the lease until ctx ends, and then releases it.
func (t *Timed) Run(ctx context.Context) {
	var freeSince clock.Time
	for wait.For(ctx, t.interval()) {
		freeSince = t.step(ctx, freeSince)
	}
	t.release("the daemon is shutting down")
}

// interval returns the time until the next check.
func (t *Timed) interval() time.Duration {
	t.timedMu.Lock()
	open := t.session != plat.Session{}
	t.timedMu.Unlock()
	if !open && (t.lastContact().IsZero() || t.o.Ineligible()) {
		return idleInterval
	}
	return checkInterval
}

// lastContact returns when the coordination store last confirmed the contents of the watch cache.
func (t *Timed) lastContact() clock.Time {
	if t.o.LastContact == nil {
		return t.o.WatchCache.LastContact()
	}
	return t.o.LastContact()
}

// step keeps, takes or releases the lease. It takes and returns the time since which the key is
// seen to be free, zero if it is not.
func (t *Timed) step(ctx context.Context, freeSince clock.Time) clock.Time {
	if t.o.Ineligible() {
		t.release("this daemon must not hold it")
		return freeSince
	}
	if t.keep(ctx) {
		return clock.Time{}
	}
	// Without contact to the store the lease could not be taken.
	pair, exists := t.o.WatchCache.Pair(t.o.Key)
	if t.isTaken(pair, exists) || clock.Since(t.lastContact()) > maxContactAge || t.recentlyRestored() {
		return clock.Time{}
	}
	if freeSince.IsZero() {
		freeSince = clock.Now()
	}
	delay := time.Duration(t.o.Rank()) * rankDelay
	if exists {
		// The value may have replaced that of a holder which has not heard of it yet.
		delay += t.o.MinGap
	}
	if clock.Since(freeSince) < delay {
		return freeSince
	}
	if exists {
		t.o.Log.Emit(event.ConfUnderived, event.Ref{Resource: t.o.Key}, "its value "+strconv.Quote(string(pair.Value))+" is that of no holder, and is replaced")
	}
	t.take(ctx, pair.ModRevision)
	return clock.Now()
}

// isTaken reports whether the key is held by any daemon.
func (t *Timed) isTaken(pair plat.Pair, exists bool) bool {
	return exists && (t.o.MayHold == nil || t.o.MayHold(string(pair.Value)))
}

// recentlyRestored reports whether the store was restored from an older copy so recently that a
// holder whose key the copy lacks may have acted within MinGap. A daemon that has just started can't
// tell when that was, and assumes now.
func (t *Timed) recentlyRestored() bool {
	return t.o.WatchCache.StoreIncarnation() > 0 && clock.Since(t.o.WatchCache.StoreIncarnationSince()) < t.o.MinGap
}

// keyState reports whether this daemon holds the key according to the watch cache, whether it lost
// it, and the revision of the key it holds. A key that was just taken appears in the cache a moment
// later.
func (t *Timed) keyState() (held, lost bool, revision int64) {
	t.timedMu.Lock()
	fence := t.fence
	t.timedMu.Unlock()
	pair, found := t.o.WatchCache.Pair(t.o.Key)
	switch {
	case found && string(pair.Value) == t.o.Holder:
		return true, false, pair.ModRevision
	case found:
		return false, true, 0
	case fence > uint64(t.o.WatchCache.Revision()):
		return true, false, int64(fence)
	}
	return false, fence != 0, 0
}

// keep renews the session when it is due, and reports whether the key is held.
func (t *Timed) keep(ctx context.Context) bool {
	t.timedMu.Lock()
	session, lastTry := t.session, t.lastTry
	t.timedMu.Unlock()
	if session == (plat.Session{}) {
		return false
	}
	held, lost, revision := t.keyState()
	if lost {
		t.markLost("it expired or another daemon holds it")
		return false
	}
	interval := t.o.MinGap / idleDivisor
	if t.o.HasWork() {
		interval = t.o.MinGap / busyDivisor
	}
	if clock.Since(lastTry) >= interval && !t.renew(ctx, session) {
		return false
	}
	t.timedMu.Lock()
	defer t.timedMu.Unlock()
	if held && t.session == session && t.fence != uint64(revision) {
		// The response to the write that took the key was lost.
		t.recordTaken(revision)
	}
	return held
}

// renew renews the session and reports whether it may still be alive.
func (t *Timed) renew(ctx context.Context, session plat.Session) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := clock.Now()
	err := t.o.Store.Renew(ctx, session)
	if isSessionEnded(err) {
		t.markLost(err.Error())
		return false
	}
	t.timedMu.Lock()
	defer t.timedMu.Unlock()
	t.lastTry = sent
	if err == nil {
		t.renewed = sent
	}
	return true
}

// recordTaken records that this holder has the key. It is called with timedMu held.
func (t *Timed) recordTaken(revision int64) {
	t.fence = uint64(revision)
	delay := t.o.MinGap/actDivisor + transitMargin
	t.mayActFrom = clock.Now().Add(delay)
	t.o.Log.Emit(event.LeaseTaken, event.Ref{Resource: t.o.Key}, "may act "+delay.String()+" from now")
}

// take opens a session and writes the key under it, unless the key has another revision than the given one, 0 for a
// key that doesn't exist.
func (t *Timed) take(ctx context.Context, revision int64) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	t.timedMu.Lock()
	session := t.session
	t.timedMu.Unlock()
	if session == (plat.Session{}) {
		got, err := t.o.Store.Open(ctx, t.o.MinGap)
		if err != nil {
			// The next check tries again; the watch cache reports an outage.
			return
		}
		session = got
	}
	sent := clock.Now()
	out, err := t.o.Store.Commit(ctx, plat.Txn{
		Compares: []plat.Compare{{Key: t.o.Key, ModRevision: revision}},
		Puts:     []plat.Put{{Key: t.o.Key, Value: []byte(t.o.Holder), Session: session}},
	})
	t.timedMu.Lock()
	defer t.timedMu.Unlock()
	t.session, t.lastTry = session, sent
	switch {
	case isSessionEnded(err):
		t.session = plat.Session{}
	case err == nil && out.Succeeded:
		t.renewed = sent
		t.recordTaken(out.Revision)
	}
}

// markLost clears a lease that was lost.
func (t *Timed) markLost(why string) {
	t.timedMu.Lock()
	defer t.timedMu.Unlock()
	if t.fence != 0 {
		t.o.Log.Emit(event.LeaseLost, event.Ref{Resource: t.o.Key}, why)
	}
	t.session, t.fence = plat.Session{}, 0
}

// release ends the session, so that another daemon may take the lease. After a recent action the
// session is left to expire instead: whoever finds the key missing relies on the time since the
// last action.
func (t *Timed) release(why string) {
	t.timedMu.Lock()
	session, held := t.session, t.fence != 0
	recent := clock.Since(t.lastAct) < t.o.MinGap
	t.session, t.fence = plat.Session{}, 0
	t.timedMu.Unlock()
	if held {
		t.o.Log.Emit(event.LeaseLost, event.Ref{Resource: t.o.Key}, "released: "+why)
	}
	if session == (plat.Session{}) || recent || session.StoreIncarnation != t.o.WatchCache.StoreIncarnation() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	// If this fails, the session expires.
	_ = t.o.Store.End(ctx, session)
}

// RecordFenced records that a target has seen a higher fencing token. The lease is taken again before
// anything else is done under it.
func (t *Timed) RecordFenced(fence uint64) {
	t.timedMu.Lock()
	newlyRefused := t.fence == fence && t.refusedFence != fence
	t.refusedFence = fence
	t.timedMu.Unlock()
	if newlyRefused {
		t.release("a target has seen a higher fence")
	}
}

// Held reports whether the lease is held and its holder may act once it is renewed.
func (t *Timed) Held() bool {
	t.timedMu.Lock()
	defer t.timedMu.Unlock()
	return t.heldLocked(clock.Now())
}

// heldLocked is Held for callers that hold timedMu.
func (t *Timed) heldLocked(now clock.Time) bool {
	return t.fence != 0 && t.fence != t.refusedFence && !now.Before(t.mayActFrom)
}

// Act returns the fencing token for an action, and whether the action may be done now. If so, it
// records the time as that of the last action.
func (t *Timed) Act() (uint64, bool) {
	t.timedMu.Lock()
	defer t.timedMu.Unlock()
	now := clock.Now()
	if !t.heldLocked(now) || now.Sub(t.renewed) >= t.o.MinGap/actDivisor ||
		plat.StoreIncarnation(int64(t.fence)) != t.o.WatchCache.StoreIncarnation() {
		return 0, false
	}
	t.lastAct = now
	return t.fence, true
}
