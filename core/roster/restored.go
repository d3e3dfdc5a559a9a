package roster

import (
	"time"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/plat"
)

// A list that is restored from an older copy contains targets that were removed, shows ones that
// are shutting down as ready, and lacks new ones. What was recorded about an incarnation is kept:
// one that is shutting down does not become ready again, and one that was removed is accepted only
// once its entry changes or the list has shown it for staleEntryTime.

// staleEntryTime is how long an entry of a removed incarnation is not accepted. It is longer than a
// target continues to serve after its shutdown was announced, and longer than the platform keeps
// an entry that nobody renews.
const staleEntryTime = 10 * time.Second

// removedIncarnation is an incarnation that is no longer listed.
type removedIncarnation struct {
	revision int64
	at       clock.Time
}

// recordRemoved records an incarnation that is being removed. It is called with rosterMu held.
func (r *Roster) recordRemoved(t *Target) {
	now := clock.Now()
	for id, old := range r.removed {
		if now.Sub(old.at) > selfReportTTL {
			delete(r.removed, id)
		}
	}
	r.removed[t.id] = removedIncarnation{t.Entry().Revision, now}
}

// isStale reports whether an entry may have been written before its incarnation was removed, and
// keeps the entry if so. It is called with rosterMu held.
func (r *Roster) isStale(e Entry) bool {
	removed, exists := r.removed[e.ID]
	if !exists || plat.StoreIncarnation(e.Revision) <= plat.StoreIncarnation(removed.revision) ||
		plat.StoreRevision(e.Revision) > plat.StoreRevision(removed.revision) {
		return false
	}
	if old, sameName := r.stale[e.Name]; sameName && old.ID == e.ID &&
		plat.StoreIncarnation(old.Revision) == plat.StoreIncarnation(e.Revision) {
		// Unless it is the same entry again, it has changed since the list was restored.
		return old.Revision == e.Revision
	}
	r.stale[e.Name] = e
	r.log.Emit(event.TargetSuspect, event.Ref{Target: e.ID},
		"it was removed before the list was restored from an older copy")
	r.acceptLater(e, clock.Now().Add(staleEntryTime), staleEntryTime)
	return true
}

// acceptLater accepts an entry after some time, or once the list is known up to a time if that is later: while the list
// is out of reach an entry that is gone seems to stay.
func (r *Roster) acceptLater(e Entry, shown clock.Time, after time.Duration) {
	time.AfterFunc(after, func() {
		if r.ListAsOf == nil || !r.ListAsOf().Before(shown) {
			r.acceptStale(e)
			return
		}
		if r.awaitsAcceptance(e) {
			r.acceptLater(e, shown, lapseCheckInterval)
		}
	})
}

// awaitsAcceptance reports whether an entry is still the last one of a removed incarnation.
func (r *Roster) awaitsAcceptance(e Entry) bool {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	old, exists := r.stale[e.Name]
	return exists && old.ID == e.ID && old.Revision == e.Revision
}

// acceptStale adds the incarnation of an entry that the list has shown for staleEntryTime.
func (r *Roster) acceptStale(e Entry) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	if old, exists := r.stale[e.Name]; exists && old.ID == e.ID && old.Revision == e.Revision &&
		r.targets[r.incarnations[e.Name]] == nil {
		r.add(e)
	}
}

// RecordMissing records that a list restored from an older copy lacks a target. The target is kept
// for as long as its entry may take to be written again, unless it is shutting down.
func (r *Roster) RecordMissing(name string) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	t := r.clearPending(name)
	if t == nil {
		return
	}
	if _, shuttingDown := r.shuttingDown(t); shuttingDown {
		r.remove(t)
		return
	}
	r.keepLapsed(t, lapsedEntryTime, "the list was restored from an older copy without its entry")
}

// recordListedShutdown records that the list shows an incarnation as shutting down. It is called
// with rosterMu held.
func (r *Roster) recordListedShutdown(id string) {
	if report := r.selfReportOf(id); !report.shuttingDown {
		report.shuttingDown, report.source, report.since = true, ByList, clock.Now()
	}
}
