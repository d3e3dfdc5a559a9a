package roster

import (
	"maps"
	"time"

	"embertally.dev/core/event"
)

// BeginUpdate records that a target has a weight update pending until a deadline, so that it gets
// no new work. Other daemons are notified of it until EndUpdate.
func (r *Roster) BeginUpdate(id string, until time.Time) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	if until.After(r.updating[id]) {
		r.updating[id] = until
	}
}

// HoldUpdate records that this daemon updates a target. The target gets no new work from it until EndUpdate, even if the
// deadlines of BeginUpdate pass because this process does not run.
func (r *Roster) HoldUpdate(id string) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	if r.heldUpdates == nil {
		r.heldUpdates = map[string]bool{}
	}
	r.heldUpdates[id] = true
}

// setPeerUpdating replaces the targets for which a peer reports a pending weight update, each with
// the milliseconds remaining. It is called with rosterMu held.
func (r *Roster) setPeerUpdating(peer string, millis map[string]int64, now time.Time) {
	delete(r.peerUpdating, peer)
	if len(millis) == 0 {
		return
	}
	deadlines := make(map[string]time.Time, len(millis))
	for id, ms := range millis {
		deadlines[id] = now.Add(time.Duration(ms) * time.Millisecond)
	}
	r.peerUpdating[peer] = deadlines
}

// EndUpdate records that a target has finished its weight update, or will not do it.
func (r *Roster) EndUpdate(id string) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	delete(r.updating, id)
	delete(r.heldUpdates, id)
	for _, updating := range r.peerUpdating {
		delete(updating, id)
	}
}

// Updating returns the targets with a pending weight update, as recorded by this daemon or reported
// by a peer.
func (r *Roster) Updating(now time.Time) map[string]bool {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	return r.updatingNow(now)
}

// updatingNow is Updating with rosterMu held.
func (r *Roster) updatingNow(now time.Time) map[string]bool {
	out := maps.Clone(r.heldUpdates)
	if out == nil {
		out = map[string]bool{}
	}
	addPending(out, r.updating, now)
	for _, updating := range r.peerUpdating {
		addPending(out, updating, now)
	}
	return out
}

// isUpdating reports whether one target has a pending weight update. It is called with rosterMu
// held.
func (r *Roster) isUpdating(id string, now time.Time) bool {
	if r.heldUpdates[id] || now.Before(r.updating[id]) {
		return true
	}
	for _, updating := range r.peerUpdating {
		if now.Before(updating[id]) {
			return true
		}
	}
	return false
}

// addPending adds to out the targets whose deadline is in the future, and deletes the others from
// deadlines.
func addPending(out map[string]bool, deadlines map[string]time.Time, now time.Time) {
	for id, until := range deadlines {
		if now.Before(until) {
			out[id] = true
		} else {
			delete(deadlines, id)
		}
	}
}

// RecordReloading records that a target rejects work while it changes its weights. Other daemons
// are notified. Unlike BeginUpdate, it does not count as a weight update that this daemon recorded.
func (r *Roster) RecordReloading(id string, until time.Time) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	if until.After(r.reloading[id]) {
		r.reloading[id] = until
	}
}

// Reloading returns the targets that recently rejected work while their weights were older than
// desired, as recorded by this daemon or reported by a peer.
func (r *Roster) Reloading(now time.Time) map[string]bool {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	out := map[string]bool{}
	addPending(out, r.reloading, now)
	addPending(out, r.peerReloading, now)
	return out
}

// RecordVersion records the weights version of a model that a target was seen to have. Within one
// incarnation the version only rises.
func (r *Roster) RecordVersion(id, model string, version int64) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	r.recordVersion(id, model, version)
}

// recordVersion is RecordVersion with rosterMu held.
func (r *Roster) recordVersion(id, model string, version int64) {
	t := r.targets[id]
	if t == nil {
		return
	}
	t.observe(model, version)
	if t.Entry().Weights[model] >= version {
		return
	}
	t.setVersion(model, version)
	r.versionsSeen[id] = time.Now()
	r.log.Emit(event.OrderDone, event.Ref{Target: id}, model+" version "+itoa(version))
}

// RecordOtherVersion records that a target that was expected to have a version of a model's weights has another one, as
// its rejection states. If the expected version is higher and only the target's entry states it, the entry is not
// believed: another writer may have left it.
func (r *Roster) RecordOtherVersion(id, model string, expected, version int64) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	r.recordVersion(id, model, version)
	t := r.find(id)
	if t == nil || version >= expected || t.Entry().Weights[model] != expected || t.observed[model] >= expected {
		return
	}
	t.observe(model, version)
	t.deny(model, expected)
	t.setVersion(model, t.observed[model])
	r.log.Emit(event.TargetSuspect, event.Ref{Target: id},
		"its entry states version "+itoa(expected)+" of "+model+", but it has "+itoa(version))
}

// versionNotifyTime is how long other daemons are notified of a newly seen version, because a few
// heartbeats may be lost.
const versionNotifyTime = 2 * time.Second

// recentVersions returns the weights of the targets whose versions other daemons are to be notified
// of, or nil if there are none, and forgets the others. It is called with rosterMu held.
func (r *Roster) recentVersions(now time.Time) map[string]map[string]int64 {
	var out map[string]map[string]int64
	for id, at := range r.versionsSeen {
		t := r.targets[id]
		if t == nil || now.Sub(at) > versionNotifyTime {
			delete(r.versionsSeen, id)
			continue
		}
		if out == nil {
			out = map[string]map[string]int64{}
		}
		out[id] = maps.Clone(t.observed)
	}
	return out
}
