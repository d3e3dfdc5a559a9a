package once

import "time"

// claim is what a shard knows of one call.
type claim struct {
	keyMillis   int64
	attempt     string
	asker       string
	incarnation string
	print       uint64
	end         end
	outcome     Outcome
	// committed tells that the service holds the claim.
	committed bool
}

// table is the claims of one shard. It is pure: time comes in as a value.
// The zero value is empty.
type table struct {
	claims map[Key]*claim
	// floor is the highest key time in milliseconds that was given up; keys
	// at or below it are refused for ever, whatever any clock says.
	floor int64
	// kept is the bytes of outcomes' bodies.
	kept int
}

// Bounds of a table.
const (
	maxClaims    = 1 << 16
	maxKeptBytes = 2 << 20
)

// apply takes one line of the log.
func (t *table) apply(e *entry) {
	if t.claims == nil {
		t.claims = map[Key]*claim{}
	}
	c := t.claims[e.Key]
	switch {
	case e.End == 0:
		t.claims[e.Key] = &claim{
			keyMillis: e.KeyMillis, attempt: e.Attempt, asker: e.Asker, incarnation: e.Incarnation,
			print: e.Print, committed: true,
		}
	case c == nil || c.attempt != e.Attempt || c.end != 0:
		// The end of an attempt that was given back, or a second end.
	case e.End == endNotRun:
		delete(t.claims, e.Key)
	default:
		c.end, c.outcome = e.End, e.Outcome
		t.keep(c)
	}
}

// keep bounds the bodies that are held.
func (t *table) keep(c *claim) {
	if t.kept+len(c.outcome.Body) > maxKeptBytes {
		c.outcome.Body, c.outcome.Cut = nil, true
	}
	t.kept += len(c.outcome.Body)
}

// check returns what becomes of a claim, or "" if it can be committed. An
// attempt that is committed already is granted: nobody but its asker asks for
// it, and it asks until it is answered once.
// running tells whether an asker's incarnation is alive.
func (t *table) check(c *Claim, now time.Time, window time.Duration, running func(asker, incarnation string) bool) Answer {
	at := time.UnixMilli(c.KeyMillis)
	old := t.claims[c.Key]
	if old == nil {
		if c.KeyMillis <= t.floor || now.Sub(at) > window || at.Sub(now) > maxAhead {
			return Answer{State: Expired}
		}
		if len(t.claims) >= maxClaims {
			return Answer{State: Unavailable}
		}
		return Answer{}
	}
	switch {
	case old.attempt == c.Attempt && old.end == 0 && old.committed:
		// The asker was not answered when it asked a former owner.
		return Answer{State: Granted}
	case old.print != c.Print:
		return Answer{State: Mismatch}
	case old.end == endRan:
		return Answer{State: Ran, Outcome: old.outcome}
	case old.end == endUnknown:
		return Answer{State: Unknown}
	case running(old.asker, old.incarnation):
		return Answer{State: Running}
	}
	return Answer{State: Unknown}
}

// maxAhead is how far in the future a key's time may lie, for callers' clocks.
const maxAhead = time.Minute

// expire gives up the claims whose keys are too old and returns the new
// floor. Nothing at or below the floor is ever granted again.
func (t *table) expire(now time.Time, window time.Duration) {
	floor := now.Add(-window - maxAhead).UnixMilli()
	if floor <= t.floor {
		return
	}
	t.floor = floor
	for k, c := range t.claims {
		if c.keyMillis <= floor {
			t.kept -= len(c.outcome.Body)
			delete(t.claims, k)
		}
	}
}
