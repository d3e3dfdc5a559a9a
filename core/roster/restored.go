package roster

import (
	"time"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/plat"
)

// A list that comes back from an older copy names targets that had gone, says that leaving ones are
// ready, and lacks new ones. What was known of a run stays: one that leaves is not ready again, one
// that had gone is believed only once its entry changes or has stood for staleTime.

// staleTime is how long an entry of a run that had gone is not believed. It is longer than a target
// serves on after it has left, and than the platform keeps an entry that nobody renews.
const staleTime = 10 * time.Second

// removedRun is a run that the list no longer names.
type removedRun struct {
	revision int64
	at       clock.Time
}

// keepRemoved remembers a run that is taken off. It is called with rosterMu held.
func (r *Roster) keepRemoved(t *Target) {
	now := clock.Now()
	for id, old := range r.removed {
		if now.Sub(old.at) > saidLife {
			delete(r.removed, id)
		}
	}
	r.removed[t.id] = removedRun{t.Entry().Revision, now}
}

// isStale reports whether an entry may be from before its run was taken off the list, and keeps it
// if so. It is called with rosterMu held.
func (r *Roster) isStale(e Entry) bool {
	gone, known := r.removed[e.ID]
	if !known || plat.Era(e.Revision) <= plat.Era(gone.revision) || plat.Number(e.Revision) > plat.Number(gone.revision) {
		return false
	}
	if old, there := r.stale[e.Name]; there && old.ID == e.ID && plat.Era(old.Revision) == plat.Era(e.Revision) {
		// It has changed since the list came back, unless it is told again.
		return old.Revision == e.Revision
	}
	r.stale[e.Name] = e
	r.log.Emit(event.TargetSuspect, event.Ref{Target: e.ID}, "it had gone before the list came back from an older copy")
	time.AfterFunc(staleTime, func() { r.acceptStale(e) })
	return true
}

// acceptStale takes an entry that has stood for staleTime.
func (r *Roster) acceptStale(e Entry) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	if old, there := r.stale[e.Name]; there && old.ID == e.ID && old.Revision == e.Revision && r.targets[r.runs[e.Name]] == nil {
		r.begin(e)
	}
}

// Lose records that a list which has come back from an older copy does not name a target. It is kept
// for as long as its entry may take to be written again, unless it leaves.
func (r *Roster) Lose(name string) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	t := r.clear(name)
	if t == nil {
		return
	}
	if _, leaving := r.leaving(t); leaving {
		r.remove(t)
		return
	}
	r.lapse(t, returnTime, "the list came back from an older copy without its entry")
}

// listLeaves records that the list said that a run leaves. It is called with rosterMu held.
func (r *Roster) listLeaves(id string) {
	if s := r.saidOf(id); !s.leaves {
		s.leaves, s.source, s.at = true, ByList, clock.Now()
	}
}
