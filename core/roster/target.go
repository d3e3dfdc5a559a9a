package roster

import (
	"maps"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"embertally.dev/core/plat"
)

// itoa writes a number as it stands in log lines.
func itoa(n int64) string { return strconv.FormatInt(n, 10) }

// Target is one run of one target. Its methods may be called at any time, also
// after it was removed from the list.
type Target struct {
	id    string
	entry atomic.Pointer[Entry]
	// busy are the busy targets of the roster.
	busy *busyTargets

	targetMu sync.Mutex
	own      Load // guarded by targetMu
	// others is the work on its way from other daemons. Guarded by targetMu.
	others Load
	// failures counts failures to get any answer since the last answer.
	// Guarded by targetMu.
	failures int
	// failed is when the last of them was. Guarded by targetMu.
	failed time.Time
	// until is when a lapsed entry counts as gone; zero where it is listed.
	// Guarded by targetMu.
	until time.Time
	// coldUntil is when the target is no longer slow from its start, as its entry said.
	// Guarded by targetMu.
	coldUntil time.Time
	gone      bool // guarded by targetMu
}

// ID returns what this run of the target is called; see Entry.
func (t *Target) ID() string { return t.id }

// Entry returns what the list says. It must not be changed.
func (t *Target) Entry() *Entry { return t.entry.Load() }

// set takes what the list says, which ends a lapse. It is called with rosterMu
// held.
func (t *Target) set(e Entry) {
	old := t.entry.Load()
	if old != nil {
		// Entries are written seldom; what was seen since may be newer.
		weights := maps.Clone(e.Weights)
		for model, v := range old.Weights {
			if weights != nil && weights[model] < v {
				weights[model] = v
			}
		}
		e.Weights = weights
		e.Orders = max(e.Orders, old.Orders)
	}
	t.entry.Store(&e)
	t.targetMu.Lock()
	defer t.targetMu.Unlock()
	t.until = time.Time{}
	if old != nil && plat.Era(e.Revision) > plat.Era(old.Revision) && plat.Number(e.Revision) <= plat.Number(old.Revision) {
		// It is told again by a list that came back from an older copy.
		return
	}
	t.coldUntil = time.Time{}
	if e.Cold > 0 {
		// Counted from now, which is later than the target wrote it.
		t.coldUntil = time.Now().Add(e.Cold)
	}
}

// cold reports whether the target is slow from its start, as its entry said.
func (t *Target) cold(now time.Time) bool {
	t.targetMu.Lock()
	defer t.targetMu.Unlock()
	return now.Before(t.coldUntil)
}

// raise records a newer version of a model. It is called with rosterMu held.
func (t *Target) raise(model string, version int64) {
	e := *t.Entry()
	e.Weights = maps.Clone(e.Weights)
	if e.Weights == nil {
		e.Weights = map[string]int64{}
	}
	e.Weights[model] = version
	t.entry.Store(&e)
}

// lapse records that the entry went and counts as gone from until on.
func (t *Target) lapse(until time.Time) {
	t.targetMu.Lock()
	defer t.targetMu.Unlock()
	t.until = until
}

// lapsed reports whether the entry went and has not come back.
func (t *Target) lapsed() bool {
	t.targetMu.Lock()
	defer t.targetMu.Unlock()
	return !t.until.IsZero()
}

// retire records that the target is gone.
func (t *Target) retire() {
	t.targetMu.Lock()
	defer t.targetMu.Unlock()
	t.gone = true
}

// Begin records work that is sent to the target, and End that it has ended.
func (t *Target) Begin(l Load) {
	t.change(l, 1)
	t.busy.add(t)
}

// End takes back what Begin recorded.
func (t *Target) End(l Load) { t.change(l, -1) }

// change adds to this daemon's work, or with sign -1 takes off it.
func (t *Target) change(l Load, sign int) {
	t.targetMu.Lock()
	defer t.targetMu.Unlock()
	t.own.add(l, sign)
}

// Own returns the work that this daemon has on its way to the target.
func (t *Target) Own() Load {
	t.targetMu.Lock()
	defer t.targetMu.Unlock()
	return t.own
}

// Health is how a target answers.
type Health struct {
	// Suspect tells that it did not answer lately.
	Suspect bool
	// Lapsed tells that its entry went in an outage of the list.
	Lapsed bool
	Gone   bool
}

// Times of silence.
const (
	// suspectTime is how long a target that gave no answer is passed over; it
	// doubles with each failure in a row up to suspectMost, so that a target
	// that comes back is tried within the users' recovery times.
	suspectTime = 250 * time.Millisecond
	suspectMost = 2 * time.Second
)

// Health returns how the target answers.
func (t *Target) Health(now time.Time) Health {
	t.targetMu.Lock()
	defer t.targetMu.Unlock()
	h := Health{Lapsed: !t.until.IsZero(), Gone: t.gone}
	if t.failures > 0 {
		pause := min(suspectTime<<min(t.failures-1, 8), suspectMost)
		h.Suspect = now.Sub(t.failed) < pause
	}
	return h
}

// Silent records that the target gave no answer.
func (t *Target) Silent(now time.Time) {
	t.targetMu.Lock()
	defer t.targetMu.Unlock()
	t.failures++
	t.failed = now
}

// Answered records that the target gave an answer.
func (t *Target) Answered() {
	t.targetMu.Lock()
	defer t.targetMu.Unlock()
	t.failures = 0
}

// Load returns all work on its way to the target, from this daemon and from
// others.
func (t *Target) Load() Load {
	t.targetMu.Lock()
	defer t.targetMu.Unlock()
	l := t.own
	l.add(t.others, 1)
	return l
}

// setOthers records the work on its way from other daemons.
func (t *Target) setOthers(l Load) {
	t.targetMu.Lock()
	defer t.targetMu.Unlock()
	t.others = l
}
