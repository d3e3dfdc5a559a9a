package lease

import (
	"context"
	"sync"
	"time"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/plat"
	"embertally.dev/core/wait"
)

// Timed is the right to act alone, bound to a session of the service: the key
// goes when its holder is silent, and who takes it next waits until the former
// holder can no longer have acted within Apart. The fence is the revision at
// which the key was made, so it rises with each holder.
//
// Nothing rests on wall clocks. A holder that was paused, alone or with its machine, finds
// its last renewal too old and does not act.
type Timed struct {
	o TimedOptions

	timedMu sync.Mutex
	session plat.Session // guarded by timedMu
	// renewed is when the last renewal that succeeded was sent. Guarded by
	// timedMu.
	renewed clock.Time
	// asked is when a renewal was last tried. Guarded by timedMu.
	asked clock.Time
	// fence is 0 while the key is not held. Guarded by timedMu.
	fence uint64
	// from is when this holder may act first. Guarded by timedMu.
	from clock.Time
	// acted is when the holder last acted. Guarded by timedMu.
	acted clock.Time
	// refused is the fence that a target refused as too old. Guarded by timedMu.
	refused uint64
}

// TimedOptions of a lease.
type TimedOptions struct {
	Key   string
	Owner string
	// Apart is the least time between the acts of two holders, and the life of
	// the key without renewals.
	Apart  time.Duration
	Store  plat.Store
	Mirror *plat.Mirror
	Log    *event.Log
	// Known returns when the service last said what the mirror holds, to this daemon or a peer;
	// nil stands for what it said to this daemon.
	Known func() clock.Time
	// Rank says how many others try before this one.
	Rank func() int
	// Idle reports that this daemon must not hold the lease.
	Idle func() bool
	// Urgent reports that the holder has something to do. Without it, the lease
	// is renewed only as often as it needs to be kept.
	Urgent func() bool
}

// Times of a timed lease, as shares of Apart.
const (
	// actShare bounds the age of the renewal under which a holder acts. A
	// holder that is lost delays its successor by Apart and this, so it is
	// short.
	actShare = 4
	// urgentShare and restShare are the pauses between renewals with and
	// without something to do: a renewal costs the platform a tenth of a call.
	urgentShare = 12
	restShare   = 3
	// transit is left for an act of the former holder that is still on its way.
	transit = 250 * time.Millisecond
	// callLimit bounds one call of the service.
	callLimit = time.Second
	// rankPause spaces the daemons that try to take a free lease.
	rankPause = 250 * time.Millisecond
	// answered is the age of the service's last answer up to which a daemon
	// tries: watches answer every 1.5 s.
	answered = 2500 * time.Millisecond
	// timedLook is the pause between looks, and awayLook that of a daemon that cannot or must
	// not take the lease: nearly all of a large fleet.
	timedLook = 50 * time.Millisecond
	awayLook  = time.Second
)

// NewTimed returns a lease that is not held.
func NewTimed(o TimedOptions) *Timed { return &Timed{o: o} }

// Run takes and keeps the lease until ctx ends, and then gives it back.
func (t *Timed) Run(ctx context.Context) {
	var free clock.Time
	for wait.For(ctx, t.pause()) {
		free = t.step(ctx, free)
	}
	t.giveBack("the daemon stops")
}

// pause returns how long the next look may wait.
func (t *Timed) pause() time.Duration {
	t.timedMu.Lock()
	open := t.session != plat.Session{}
	t.timedMu.Unlock()
	if !open && (t.known().IsZero() || t.o.Idle()) {
		return awayLook
	}
	return timedLook
}

// known returns when the service last said what the mirror holds.
func (t *Timed) known() clock.Time {
	if t.o.Known == nil {
		return t.o.Mirror.Contact()
	}
	return t.o.Known()
}

// step keeps, takes or gives back the lease. It gets and returns since when
// the key is seen to be free; zero where it is not.
func (t *Timed) step(ctx context.Context, free clock.Time) clock.Time {
	if t.o.Idle() {
		t.giveBack("another daemon is to hold it")
		return free
	}
	if t.keep(ctx) {
		return clock.Time{}
	}
	// A daemon that the service does not answer could not take it.
	_, taken := t.o.Mirror.Pair(t.o.Key)
	if taken || clock.Since(t.known()) > answered || t.restored() {
		return clock.Time{}
	}
	if free.IsZero() {
		free = clock.Now()
	}
	if clock.Since(free) < time.Duration(t.o.Rank())*rankPause {
		return free
	}
	t.take(ctx)
	return clock.Now()
}

// restored reports whether the service came back from an older copy so lately that a holder whose
// key the copy lacks may have acted within Apart. Who has just started can't tell when that was, and
// takes it for now.
func (t *Timed) restored() bool {
	return t.o.Mirror.Era() > 0 && clock.Since(t.o.Mirror.EraSince()) < t.o.Apart
}

// held reports what the mirror says of the key: whether this holder has it.
// A key that was just taken shows there a moment later.
func (t *Timed) held() (mine, lost bool, revision int64) {
	t.timedMu.Lock()
	fence := t.fence
	t.timedMu.Unlock()
	pair, there := t.o.Mirror.Pair(t.o.Key)
	switch {
	case there && string(pair.Value) == t.o.Owner:
		return true, false, pair.ModRevision
	case there:
		return false, true, 0
	case fence > uint64(t.o.Mirror.Revision()):
		return true, false, int64(fence)
	}
	return false, fence != 0, 0
}

// keep renews the session where it is time to, and reports whether the key is
// held.
func (t *Timed) keep(ctx context.Context) bool {
	t.timedMu.Lock()
	session, asked := t.session, t.asked
	t.timedMu.Unlock()
	if session == (plat.Session{}) {
		return false
	}
	mine, lost, revision := t.held()
	if lost {
		t.drop("it ran out or another holds it")
		return false
	}
	pause := t.o.Apart / restShare
	if t.o.Urgent() {
		pause = t.o.Apart / urgentShare
	}
	if clock.Since(asked) >= pause && !t.renew(ctx, session) {
		return false
	}
	t.timedMu.Lock()
	defer t.timedMu.Unlock()
	if mine && t.session == session && t.fence != uint64(revision) {
		// The answer to the taking was lost.
		t.hold(revision)
	}
	return mine
}

// renew renews the session and reports whether it may still live.
func (t *Timed) renew(ctx context.Context, session plat.Session) bool {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	sent := clock.Now()
	err := t.o.Store.Renew(ctx, session)
	if isOver(err) {
		t.drop(err.Error())
		return false
	}
	t.timedMu.Lock()
	defer t.timedMu.Unlock()
	t.asked = sent
	if err == nil {
		t.renewed = sent
	}
	return true
}

// hold records that the key is this holder's. It is called with timedMu held.
func (t *Timed) hold(revision int64) {
	t.fence = uint64(revision)
	delay := t.o.Apart/actShare + transit
	t.from = clock.Now().Add(delay)
	t.o.Log.Emit(event.LeaseTaken, event.Ref{Resource: t.o.Key}, "acts "+delay.String()+" from now")
}

// take opens a session and writes the key under it, unless somebody has it.
func (t *Timed) take(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	t.timedMu.Lock()
	session := t.session
	t.timedMu.Unlock()
	if session == (plat.Session{}) {
		got, err := t.o.Store.Open(ctx, t.o.Apart)
		if err != nil {
			// The next look tries again; the mirror tells of an outage.
			return
		}
		session = got
	}
	sent := clock.Now()
	out, err := t.o.Store.Commit(ctx, plat.Txn{
		Compares: []plat.Compare{{Key: t.o.Key}},
		Puts:     []plat.Put{{Key: t.o.Key, Value: []byte(t.o.Owner), Session: session}},
	})
	t.timedMu.Lock()
	defer t.timedMu.Unlock()
	t.session, t.asked = session, sent
	switch {
	case isOver(err):
		t.session = plat.Session{}
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
	t.session, t.fence = plat.Session{}, 0
}

// giveBack ends the session, so that another may take the lease. After a recent
// act the session runs out by itself instead: who finds the key gone relies on
// the time since the last act.
func (t *Timed) giveBack(why string) {
	t.timedMu.Lock()
	session, held := t.session, t.fence != 0
	recent := clock.Since(t.acted) < t.o.Apart
	t.session, t.fence = plat.Session{}, 0
	t.timedMu.Unlock()
	if held {
		t.o.Log.Emit(event.LeaseLost, event.Ref{Resource: t.o.Key}, "given back: "+why)
	}
	if session == (plat.Session{}) || recent || session.Era != t.o.Mirror.Era() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	// Where this fails the session runs out by itself.
	_ = t.o.Store.End(ctx, session)
}

// Refused records that a target has seen a higher fence; the lease is taken
// anew before anything else is done under it.
func (t *Timed) Refused(fence uint64) {
	t.timedMu.Lock()
	same := t.fence == fence && t.refused != fence
	t.refused = fence
	t.timedMu.Unlock()
	if same {
		t.giveBack("a target has seen a higher fence")
	}
}

// Held reports whether the lease is held and its holder may act once the lease
// is renewed.
func (t *Timed) Held() bool {
	t.timedMu.Lock()
	defer t.timedMu.Unlock()
	return t.mayHold(clock.Now())
}

// mayHold is called with timedMu held.
func (t *Timed) mayHold(now clock.Time) bool {
	return t.fence != 0 && t.fence != t.refused && !now.Before(t.from)
}

// Act returns the number that fences an act, and whether it may be done now.
func (t *Timed) Act() (uint64, bool) {
	t.timedMu.Lock()
	defer t.timedMu.Unlock()
	now := clock.Now()
	if !t.mayHold(now) || now.Sub(t.renewed) >= t.o.Apart/actShare || plat.Era(int64(t.fence)) != t.o.Mirror.Era() {
		return 0, false
	}
	t.acted = now
	return t.fence, true
}
