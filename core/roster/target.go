package roster

import (
	"maps"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"embertally.dev/core/plat"
)

// itoa formats a number for log lines.
func itoa(n int64) string { return strconv.FormatInt(n, 10) }

// Target is one incarnation of a target. Its methods may be called concurrently, and also after it
// was removed.
type Target struct {
	id    string
	entry atomic.Pointer[Entry]
	// busy is the roster's set of busy targets.
	busy *busyTargets

	targetMu sync.Mutex
	// local is the work in flight from this daemon. Guarded by targetMu.
	local Load
	// remote is the work in flight from other daemons. Guarded by targetMu.
	remote Load
	// failures counts consecutive requests without any response. Guarded by targetMu.
	failures int
	// lastFailure is the time of the last of them. Guarded by targetMu.
	lastFailure time.Time
	slow        slowState // guarded by targetMu
	// lapsedUntil is when a lapsed entry counts as removed; zero while the target is listed.
	// Guarded by targetMu.
	lapsedUntil time.Time
	// warmUpUntil is when the target stops warming up according to its entry. Guarded by targetMu.
	warmUpUntil time.Time
	removed     bool // guarded by targetMu

	// observed holds the highest version of each model's weights that was seen at the target, apart from its entry.
	// Guarded by the roster's rosterMu.
	observed map[string]int64
	// denied holds, by model, a version that the entry states and the target itself denied to have, until the entry
	// states another one. Guarded by the roster's rosterMu.
	denied map[string]int64
}

// ID returns the ID of this incarnation; see Entry.
func (t *Target) ID() string { return t.id }

// Entry returns the target's entry in the list. It must not be changed.
func (t *Target) Entry() *Entry { return t.entry.Load() }

// set stores an entry, which ends a lapse. It is called with rosterMu held.
func (t *Target) set(e Entry) {
	old := t.entry.Load()
	// The entry is not newer if the list was restored from an older copy.
	restored := old != nil && plat.StoreIncarnation(e.Revision) > plat.StoreIncarnation(old.Revision) &&
		plat.StoreRevision(e.Revision) <= plat.StoreRevision(old.Revision)
	if restored {
		e.OrderCount = max(e.OrderCount, old.OrderCount)
	}
	e.Weights = t.weights(&e, old, restored)
	t.entry.Store(&e)
	t.targetMu.Lock()
	defer t.targetMu.Unlock()
	t.lapsedUntil = time.Time{}
	if restored {
		return
	}
	t.warmUpUntil = time.Time{}
	if e.WarmUp > 0 {
		// The time counts from now, which is later than when the target wrote the entry.
		t.warmUpUntil = time.Now().Add(e.WarmUp)
	}
}

// weights returns the versions that the target has by a new entry and by what was observed, which may be newer. What
// former entries stated doesn't count, since another writer may have left them, unless the list was restored from
// an older copy. It is called with rosterMu held.
func (t *Target) weights(e, old *Entry, restored bool) map[string]int64 {
	out := maps.Clone(e.Weights)
	for model, version := range t.denied {
		if stated, ok := out[model]; ok && stated == version {
			out[model] = t.observed[model]
		} else {
			delete(t.denied, model)
		}
	}
	newer := t.observed
	if restored {
		newer = old.Weights
	}
	for model, version := range newer {
		if out != nil && out[model] < version {
			out[model] = version
		}
	}
	return out
}

// warmingUp reports whether the target is still warming up according to its entry.
func (t *Target) warmingUp(now time.Time) bool {
	t.targetMu.Lock()
	defer t.targetMu.Unlock()
	return now.Before(t.warmUpUntil)
}

// observe records a version of a model's weights that was seen at the target. It is called with rosterMu held.
func (t *Target) observe(model string, version int64) {
	if t.observed == nil {
		t.observed = map[string]int64{}
	}
	t.observed[model] = max(t.observed[model], version)
	if t.observed[model] >= t.denied[model] {
		delete(t.denied, model)
	}
}

// deny records that the target doesn't have a version that its entry states. It is called with rosterMu held.
func (t *Target) deny(model string, stated int64) {
	if t.denied == nil {
		t.denied = map[string]int64{}
	}
	t.denied[model] = stated
}

// setVersion sets the weights version of a model. It is called with rosterMu held.
func (t *Target) setVersion(model string, version int64) {
	e := *t.Entry()
	e.Weights = maps.Clone(e.Weights)
	if e.Weights == nil {
		e.Weights = map[string]int64{}
	}
	e.Weights[model] = version
	t.entry.Store(&e)
}

// lapse records that the entry disappeared and counts as removed from until on.
func (t *Target) lapse(until time.Time) {
	t.targetMu.Lock()
	defer t.targetMu.Unlock()
	t.lapsedUntil = until
}

// lapsed reports whether the entry disappeared and has not returned.
func (t *Target) lapsed() bool {
	t.targetMu.Lock()
	defer t.targetMu.Unlock()
	return !t.lapsedUntil.IsZero()
}

// markRemoved records that the target was removed.
func (t *Target) markRemoved() {
	t.targetMu.Lock()
	defer t.targetMu.Unlock()
	t.removed = true
}

// AddLoad adds work that is sent to the target. RemoveLoad subtracts it when it has finished.
func (t *Target) AddLoad(l Load) {
	t.adjustLoad(l, 1)
	t.busy.add(t)
}

// RemoveLoad subtracts what AddLoad added.
func (t *Target) RemoveLoad(l Load) { t.adjustLoad(l, -1) }

// adjustLoad adds l to this daemon's work if sign is 1 and subtracts it if sign is -1.
func (t *Target) adjustLoad(l Load, sign int) {
	t.targetMu.Lock()
	defer t.targetMu.Unlock()
	t.local.add(l, sign)
}

// LocalLoad returns the work that this daemon has in flight at the target.
func (t *Target) LocalLoad() Load {
	t.targetMu.Lock()
	defer t.targetMu.Unlock()
	return t.local
}

// Health describes whether a target is listed and responds.
type Health struct {
	// Suspect means that recent requests got no response.
	Suspect bool
	// Lapsed means that its entry disappeared in an outage of the list.
	Lapsed bool
	// Removed means that the target was removed.
	Removed bool
}

const (
	// suspectTime is how long a target is passed over after a request without a response. It
	// doubles with each consecutive failure up to maxSuspectTime, so that a target that recovers is
	// tried within the recovery times that the users' specification requires.
	suspectTime    = 250 * time.Millisecond
	maxSuspectTime = 2 * time.Second
)

// Health returns the target's health.
func (t *Target) Health(now time.Time) Health {
	t.targetMu.Lock()
	defer t.targetMu.Unlock()
	h := Health{Lapsed: !t.lapsedUntil.IsZero(), Removed: t.removed}
	if t.failures > 0 {
		pause := min(suspectTime<<min(t.failures-1, 8), maxSuspectTime)
		h.Suspect = now.Sub(t.lastFailure) < pause
	}
	return h
}

// RecordNoResponse records that a request got no response.
func (t *Target) RecordNoResponse(now time.Time) {
	t.targetMu.Lock()
	defer t.targetMu.Unlock()
	t.failures++
	t.lastFailure = now
}

// RecordResponse records that the target responded.
func (t *Target) RecordResponse() {
	t.targetMu.Lock()
	defer t.targetMu.Unlock()
	t.failures = 0
}

// Load returns all work in flight at the target, from this daemon and others.
func (t *Target) Load() Load {
	t.targetMu.Lock()
	defer t.targetMu.Unlock()
	l := t.local
	l.add(t.remote, 1)
	return l
}

// setRemoteLoad records the work in flight from other daemons.
func (t *Target) setRemoteLoad(l Load) {
	t.targetMu.Lock()
	defer t.targetMu.Unlock()
	t.remote = l
}
