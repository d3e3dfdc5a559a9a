package once

import "time"

// claim is the state of one claimed call.
type claim struct {
	keyMillis   int64
	attempt     string
	requester   string
	incarnation string
	digest      uint64
	result      attemptResult
	outcome     Outcome
	// committed reports whether the claim is in the coordination store.
	committed bool
}

// table holds the claims of one shard or of a daemon's tickets. It does no I/O and gets the time as a
// parameter. The zero value is empty.
type table struct {
	claims map[Key]*claim
	// floor is a key time in Unix milliseconds: keys at or below it have expired and are rejected for
	// ever, independently of any clock.
	floor int64
	// bodyBytes is the total size of the recorded bodies.
	bodyBytes int
}

// Bounds of a table. maxBodyBytes bounds the recorded bodies in total.
const (
	maxClaims    = 1 << 16
	maxBodyBytes = 2 << 20
)

// apply applies one record of the log.
func (t *table) apply(e *entry) {
	if t.claims == nil {
		t.claims = map[Key]*claim{}
	}
	c := t.claims[e.Key]
	switch {
	case e.Result == 0:
		t.claims[e.Key] = &claim{
			keyMillis: e.KeyMillis, attempt: e.Attempt, requester: e.Requester, incarnation: e.Incarnation,
			digest: e.Digest, committed: true,
		}
	case c == nil || c.attempt != e.Attempt || c.result != 0:
		// The result of an attempt that was released, or a second result.
	case e.Result == resultNotRun:
		delete(t.claims, e.Key)
	default:
		c.result, c.outcome = e.Result, e.Outcome
		t.limitBody(c)
	}
}

// limitBody drops the claim's body if the recorded bodies would exceed maxBodyBytes.
func (t *table) limitBody(c *claim) {
	if t.bodyBytes+len(c.outcome.Body) > maxBodyBytes {
		c.outcome.Body, c.outcome.BodyOmitted = nil, true
	}
	t.bodyBytes += len(c.outcome.Body)
}

// check returns the response to a claim, with an empty state if the claim can be committed. An
// attempt that is committed already is granted: only its requester sends it, and stops at the first
// response. running reports whether a requester's incarnation is alive.
func (t *table) check(c *Claim, now time.Time, window time.Duration, running func(requester, incarnation string) bool) ClaimResponse {
	at := time.UnixMilli(c.KeyMillis)
	recorded := t.claims[c.Key]
	if recorded == nil {
		if c.KeyMillis <= t.floor || now.Sub(at) > window || at.Sub(now) > maxClockSkew {
			return ClaimResponse{State: Expired}
		}
		if len(t.claims) >= maxClaims {
			return ClaimResponse{State: Unavailable}
		}
		return ClaimResponse{}
	}
	switch {
	case recorded.attempt == c.Attempt && recorded.result == 0 && recorded.committed:
		// A former owner committed the claim, and its response did not reach the requester.
		return ClaimResponse{State: Granted}
	case recorded.digest != c.Digest:
		return ClaimResponse{State: Mismatch}
	case recorded.result == resultRan:
		return ClaimResponse{State: Ran, Outcome: recorded.outcome}
	case recorded.result == resultUnknown:
		return ClaimResponse{State: Unknown}
	case running(recorded.requester, recorded.incarnation):
		return ClaimResponse{State: Running}
	}
	return ClaimResponse{State: Unknown}
}

// maxClockSkew is how far in the future a key's time may be, because callers' clocks differ.
const maxClockSkew = time.Minute

// expire removes the claims whose keys are too old and raises the floor. No key at or below the floor
// is granted again.
func (t *table) expire(now time.Time, window time.Duration) {
	floor := now.Add(-window - maxClockSkew).UnixMilli()
	if floor <= t.floor {
		return
	}
	t.floor = floor
	for k, c := range t.claims {
		if c.keyMillis <= floor {
			t.bodyBytes -= len(c.outcome.Body)
			delete(t.claims, k)
		}
	}
}
