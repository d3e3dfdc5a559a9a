// Package roster owns the targets of a site: which are listed, what each
// reported of itself, how much work is on its way to each from this daemon and
// from the others, and which of them answer badly.
//
// It must not know how a target is chosen or how the list is written on the
// platform.
package roster

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
)

// Entry is what the platform's list says of a target. It never changes.
type Entry struct {
	// ID names one run of a target; its next run has another. What is known of a run is
	// kept under it, so that nothing of it passes to the next one.
	ID string
	// Name is what the list calls the target. Its next run may have the same; "" stands
	// for ID.
	Name string
	// Born is when the run began, by the target's clock; zero where it does not say.
	Born    time.Time
	Service string
	// Address is IP and port; it may pass to a target of another service.
	Address string
	Domain  string
	// Version is that of the target's software; "" where the list does not say.
	Version string
	Slots   int
	// Leaving tells that the target takes no new work.
	Leaving bool
	// Cold is how much longer the target stays slow from its start.
	Cold time.Duration
	// Weights holds the version of each model that the target has.
	Weights map[string]int64
	// Orders is how many orders the target has taken.
	Orders int64
	// Revision is that of the list at which the entry was written; 0 where it is not known.
	Revision int64
}

// Load is the work on its way to a target.
type Load struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	// Running is how many requests have not ended.
	Running int
	// Unread is how many prompt tokens belong to requests without an answer.
	Unread int
	// Held is how many tokens of context all running requests hold.
	Held int
}

// add adds m, or with sign -1 takes it off.
func (l *Load) add(m Load, sign int) {
	l.Running += sign * m.Running
	l.Unread += sign * m.Unread
	l.Held += sign * m.Held
}

// Roster keeps the targets current.
//
// Lock order: rosterMu before a target's targetMu.
type Roster struct {
	log *event.Log
	// regained tells when the list's last outage ended and how long it was.
	regained func() (clock.Time, time.Duration)
	// byName holds the targets by service, or nil where they have changed since.
	byName atomic.Pointer[map[string][]*Target]
	// evacuations holds what operators asked, by failure domain. A map that was stored
	// never changes; a new one is stored with rosterMu held.
	evacuations atomic.Pointer[map[string]evacuation]

	busy busyTargets

	// Place, if set, returns how many daemons come before this one for a target, of how many that may
	// choose it. It is set before use, and called with rosterMu held.
	Place func(t *Target) (place, of int)
	// Removed, if set, hears of each run that is taken off, and whether it was leaving. It is
	// set before use, and called with rosterMu held.
	Removed func(id string, leaving bool)

	rosterMu sync.Mutex
	targets  map[string]*Target // by ID; guarded by rosterMu
	// guests are targets that this daemon's list does not hold. Guarded by rosterMu.
	guests guests
	// runs holds the run that each name stands for. Guarded by rosterMu.
	runs map[string]string
	// ended holds, by name, the run that was seen to be over before the list said so.
	// Guarded by rosterMu.
	ended map[string]string
	// early holds, by name, the entry of a run that seems older than the one in use: a
	// late write, or a target whose clock went back. Guarded by rosterMu.
	early map[string]Entry
	// removed holds the revision of the last entry of runs that the list no longer names, and stale,
	// by name, entries of such runs in a list that has come back from an older copy. Guarded by
	// rosterMu.
	removed map[string]removedRun
	stale   map[string]Entry
	// peers holds the loads that other daemons told. Guarded by rosterMu.
	peers map[string]peerLoads
	// loaded are the targets that peers have work at. Guarded by rosterMu.
	loaded map[string]bool
	// ordered says which targets this daemon takes to be about to change their
	// weights, and until when. Guarded by rosterMu.
	ordered map[string]time.Time
	// peerOrdered is the same for each peer, from its last heartbeat; it is not
	// passed on. Guarded by rosterMu.
	peerOrdered map[string]map[string]time.Time
	// reloading says until when a target that refused work while its weights were older than
	// named is passed over, and peerReloading the same as peers told. Guarded by rosterMu.
	reloading, peerReloading map[string]time.Time
	// said holds what runs said of themselves in their answers, by ID. It outlives their entries,
	// which may go and come back. Guarded by rosterMu.
	said map[string]*said
	// learnedAt says when a target was last seen to hold newer weights than were
	// known. Guarded by rosterMu.
	learnedAt map[string]time.Time
}

// peerLoads is what one daemon told of its work, and when.
type peerLoads struct {
	at    time.Time
	loads map[string]Load
}

// New returns an empty roster. regained may be nil.
func New(log *event.Log, regained func() (clock.Time, time.Duration)) *Roster {
	if regained == nil {
		regained = func() (clock.Time, time.Duration) { return clock.Time{}, 0 }
	}
	r := &Roster{
		log: log, regained: regained, targets: map[string]*Target{}, runs: map[string]string{}, ended: map[string]string{}, early: map[string]Entry{}, removed: map[string]removedRun{}, stale: map[string]Entry{}, peers: map[string]peerLoads{}, loaded: map[string]bool{},
		reloading: map[string]time.Time{}, peerReloading: map[string]time.Time{}, said: map[string]*said{},
		ordered: map[string]time.Time{}, peerOrdered: map[string]map[string]time.Time{}, learnedAt: map[string]time.Time{},
	}
	r.evacuations.Store(&map[string]evacuation{})
	return r
}

// Times of the list.
const (
	// returnTime is how long after an outage of the list an entry that lapsed
	// meanwhile may take to come back: the users' letter 2 says about two
	// seconds, and that what is still missing then is gone.
	returnTime = 2 * time.Second
	// lapseFrom is the shortest outage in which entries lapse.
	lapseFrom = 1500 * time.Millisecond
	// peerLoadLife is how long the loads that a peer told are counted.
	peerLoadLife = 1200 * time.Millisecond
)

// Put records what the list says of a target. Where that is another run than the one in
// use, it returns the former, of which nothing is kept.
func (r *Roster) Put(e Entry) (former *Target) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	if e.Name == "" {
		e.Name = e.ID
	}
	if r.ended[e.Name] == e.ID {
		return nil
	}
	former = r.targets[r.runs[e.Name]]
	if former != nil && former.id == e.ID {
		r.renew(former, e)
		return nil
	}
	if former == nil && r.isStale(e) {
		return nil
	}
	if former != nil && e.Born.Before(former.Entry().Born) {
		r.early[e.Name] = e
		r.log.Emit(event.TargetSuspect, event.Ref{Target: e.ID}, "its entry is older than run "+former.id)
		return nil
	}
	if former != nil {
		r.remove(former)
	}
	r.begin(e)
	return former
}

// begin takes a new run. It is called with rosterMu held.
func (r *Roster) begin(e Entry) {
	t := r.guests.take(e.ID)
	if t == nil {
		t = &Target{id: e.ID, busy: &r.busy}
	}
	t.set(e)
	r.targets[e.ID], r.runs[e.Name] = t, e.ID
	delete(r.early, e.Name)
	delete(r.ended, e.Name)
	delete(r.stale, e.Name)
	delete(r.removed, e.ID)
	if e.Leaving {
		r.listLeaves(e.ID)
	}
	r.log.Emit(event.BoxAppeared, event.Ref{Target: e.ID}, e.Service+" at "+e.Address)
	r.publish()
}

// renew takes what the list says anew of a run. It is called with rosterMu held.
func (r *Roster) renew(t *Target, e Entry) {
	if _, known := r.leaving(t); e.Leaving && !known {
		r.log.Emit(event.BoxLeaving, event.Ref{Target: e.ID}, e.Service+" at "+e.Address)
		r.listLeaves(e.ID)
	}
	moved := e.Service != t.Entry().Service
	t.set(e)
	if moved {
		r.publish()
	}
}

// Ended records that another run answers in place of one: the target has started again,
// and the list does not say so yet. Until it does the target gets nothing.
func (r *Roster) Ended(id string) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	t := r.targets[id]
	if t == nil {
		return
	}
	name := t.Entry().Name
	next, known := r.early[name]
	r.remove(t)
	r.ended[name] = id
	r.log.Emit(event.TargetSuspect, event.Ref{Target: id}, "another run of it answers")
	if known {
		r.begin(next)
	}
}

// Remove records that the list no longer names a target. After an outage of
// the list the entry may have lapsed while its target lives; it is kept for as
// long as such entries take to come back.
func (r *Roster) Remove(name string, now clock.Time) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	t := r.clear(name)
	if t == nil {
		return
	}
	back, silence := r.regained()
	_, leaving := r.leaving(t)
	if until := back.Add(returnTime); silence >= lapseFrom && now.Before(until) && !leaving {
		r.lapse(t, until.Sub(now), "its entry lapsed in an outage of the list")
		return
	}
	r.remove(t)
}

// lapse keeps a target for a while without an entry. It is called with rosterMu held.
func (r *Roster) lapse(t *Target, lasts time.Duration, why string) {
	t.lapse(time.Now().Add(lasts))
	r.log.Emit(event.TargetSuspect, event.Ref{Target: t.id}, why)
	time.AfterFunc(lasts, func() { r.expire(t.id) })
}

// Unlist records that a target's entry names nothing that can be used, as another writer
// may leave it there. Unlike one that is missing it is not waited for.
func (r *Roster) Unlist(name string) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	delete(r.early, name)
	if t := r.targets[r.runs[name]]; t != nil {
		r.remove(t)
	}
}

// Drop records that the list of this daemon does not hold a target any more, which may still be
// there for others.
func (r *Roster) Drop(name string) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	if t := r.clear(name); t != nil {
		r.unuse(t)
		r.guests.put(t, time.Now())
	}
}

// clear forgets what the list said of a name beside the run in use, which it returns, or nil. It is
// called with rosterMu held.
func (r *Roster) clear(name string) *Target {
	delete(r.ended, name)
	delete(r.early, name)
	delete(r.stale, name)
	return r.targets[r.runs[name]]
}

// expire removes a target whose lapsed entry has not come back.
func (r *Roster) expire(id string) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	if t := r.targets[id]; t != nil && t.lapsed() {
		r.remove(t)
	}
}

// unuse takes a target off the lists. It is called with rosterMu held.
func (r *Roster) unuse(t *Target) {
	name := t.Entry().Name
	delete(r.targets, t.id)
	delete(r.ordered, t.id)
	if r.runs[name] == t.id {
		delete(r.runs, name)
	}
	r.publish()
}

// remove is called with rosterMu held.
func (r *Roster) remove(t *Target) {
	r.unuse(t)
	t.retire()
	r.keepRemoved(t)
	if r.Removed != nil {
		_, leaving := r.leaving(t)
		r.Removed(t.id, leaving)
	}
	r.log.Emit(event.BoxGone, event.Ref{Target: t.id}, t.Entry().Service+" at "+t.Entry().Address)
}

// publish makes the lists by service be made anew when they are next asked for: entries come in
// series. It is called with rosterMu held.
func (r *Roster) publish() { r.byName.Store(nil) }

// Of returns the targets of a service, leaving ones included, ordered by name.
// The list must not be changed; it is the same one until the targets change.
func (r *Roster) Of(service string) []*Target {
	if lists := r.byName.Load(); lists != nil {
		return (*lists)[service]
	}
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	if r.byName.Load() == nil {
		lists := r.lists()
		r.byName.Store(&lists)
	}
	return (*r.byName.Load())[service]
}

// lists returns the targets by service, ordered by name. It is called with rosterMu held.
func (r *Roster) lists() map[string][]*Target {
	out := map[string][]*Target{}
	for _, t := range r.targets {
		name := t.Entry().Service
		out[name] = append(out[name], t)
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b *Target) int { return strings.Compare(a.id, b.id) })
	}
	return out
}

// Named returns the run that a name of the list stands for, or nil.
func (r *Roster) Named(name string) *Target {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	return r.targets[r.runs[name]]
}

// Target returns a run of a target by ID, listed or guest, or nil.
func (r *Roster) Target(id string) *Target {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	return r.find(id)
}

// find is Target with rosterMu held.
func (r *Roster) find(id string) *Target {
	if t := r.targets[id]; t != nil {
		return t
	}
	return r.guests.find(id)
}
