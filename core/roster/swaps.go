package roster

import (
	"time"

	"embertally.dev/core/event"
)

// Order records that a target is about to change its weights, so that it gets
// no new work until then. Other daemons hear of it until Done.
func (r *Roster) Order(id string, until time.Time) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	if until.After(r.ordered[id]) {
		r.ordered[id] = until
	}
}

// setPeerOrdered replaces what a peer takes to be about to change its weights, each
// for some more milliseconds. It is called with rosterMu held.
func (r *Roster) setPeerOrdered(peer string, millis map[string]int64, now time.Time) {
	delete(r.peerOrdered, peer)
	if len(millis) == 0 {
		return
	}
	until := make(map[string]time.Time, len(millis))
	for id, ms := range millis {
		until[id] = now.Add(time.Duration(ms) * time.Millisecond)
	}
	r.peerOrdered[peer] = until
}

// Done records that a target has changed its weights, or will not.
func (r *Roster) Done(id string) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	delete(r.ordered, id)
	for _, ordered := range r.peerOrdered {
		delete(ordered, id)
	}
}

// Ordered returns the targets that are about to change their weights, as this
// daemon or a peer says.
func (r *Roster) Ordered(now time.Time) map[string]bool {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	return r.orderedNow(now)
}

// orderedNow is called with rosterMu held.
func (r *Roster) orderedNow(now time.Time) map[string]bool {
	out := map[string]bool{}
	addOrdered(out, r.ordered, now)
	for _, ordered := range r.peerOrdered {
		addOrdered(out, ordered, now)
	}
	return out
}

// isOrdered reports whether one target is about to change its weights. It is called with rosterMu
// held.
func (r *Roster) isOrdered(id string, now time.Time) bool {
	if now.Before(r.ordered[id]) {
		return true
	}
	for _, ordered := range r.peerOrdered {
		if now.Before(ordered[id]) {
			return true
		}
	}
	return false
}

// addOrdered adds the targets whose time has not come to out, and deletes the
// others from times.
func addOrdered(out map[string]bool, times map[string]time.Time, now time.Time) {
	for id, until := range times {
		if now.Before(until) {
			out[id] = true
		} else {
			delete(times, id)
		}
	}
}

// Reloads records that a target refuses work while it changes its weights. Other daemons
// hear of it; unlike Order it does not count as a change that this daemon knows of.
func (r *Roster) Reloads(id string, until time.Time) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	if until.After(r.reloading[id]) {
		r.reloading[id] = until
	}
}

// Reloading returns the targets that lately refused work while their weights were older than
// named, as this daemon or a peer says.
func (r *Roster) Reloading(now time.Time) map[string]bool {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	out := map[string]bool{}
	addOrdered(out, r.reloading, now)
	addOrdered(out, r.peerReloading, now)
	return out
}

// Learn records the version of a model that a target was seen to hold, which
// only rises within one run of it.
func (r *Roster) Learn(id, model string, version int64) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	r.learn(id, model, version)
}

// learn is called with rosterMu held.
func (r *Roster) learn(id, model string, version int64) {
	t := r.targets[id]
	if t == nil || t.Entry().Weights[model] >= version {
		return
	}
	t.raise(model, version)
	r.learnedAt[id] = time.Now()
	r.log.Emit(event.OrderDone, event.Ref{Target: id}, model+" version "+itoa(version))
}

// learnedLife is how long other daemons are told of a version that a target was
// seen to hold: a few heartbeats may be lost.
const learnedLife = 2 * time.Second

// learnedLately returns the weights of the targets that other daemons are still to
// hear of, or nil without any, and forgets the others. It is called with rosterMu
// held.
func (r *Roster) learnedLately(now time.Time) map[string]map[string]int64 {
	var out map[string]map[string]int64
	for id, at := range r.learnedAt {
		t := r.targets[id]
		if t == nil || now.Sub(at) > learnedLife {
			delete(r.learnedAt, id)
			continue
		}
		if out == nil {
			out = map[string]map[string]int64{}
		}
		out[id] = t.Entry().Weights
	}
	return out
}
