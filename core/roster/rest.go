package roster

import (
	"time"

	"embertally.dev/core/clock"
)

// rest is the time in which a target that turned requests away wants nothing, and the while after
// it in which it gets little. The zero value is over. It counts time that the machine is
// suspended, as the target's clock does.
type rest struct {
	until clock.Time
	// sent counts the sends after until; it is not used while the rest lasts.
	sent int
}

const (
	// RestMost is the longest rest that is believed, the longest time that the users' pages name
	// for anything (a lease of the platform's store). A longer one would keep a target out for good
	// by one wrong digit; after this time one request finds out.
	RestMost = 10 * time.Minute
	// rampStep is the pause between the first sends after a rest, until one is taken: the time
	// of a new connection and an answer's head on a busy target. Without it all that waits goes there at
	// once, and what was about to bear requests again turns them away once more.
	rampStep = 100 * time.Millisecond
	// rampSteps is how many such sends there are before the target counts as any other.
	rampSteps = 10
)

// ask prolongs the rest, and reports whether it had been over. Of two the one that ends later
// holds: a target that asked for three seconds does not want requests after one because it told
// another request so.
func (r *rest) ask(d time.Duration, now clock.Time) bool {
	begins := !now.Before(r.until)
	if until := now.Add(min(d, RestMost)); until.After(r.until) {
		r.until = until
	}
	r.sent = 0
	return begins
}

// left returns for how much longer the target gets nothing; 0 where it may get a send.
func (r *rest) left(now clock.Time) time.Duration {
	if now.Before(r.until) {
		return r.until.Sub(now)
	}
	if r.over(now) {
		return 0
	}
	return max(0, r.until.Add(time.Duration(r.sent)*rampStep).Sub(now))
}

// over reports whether the target counts as any other.
func (r *rest) over(now clock.Time) bool {
	return r.until.IsZero() || now.Sub(r.until) >= rampSteps*rampStep
}

// take counts a send, and reports whether it may go out.
func (r *rest) take(now clock.Time) bool {
	if r.left(now) > 0 {
		return false
	}
	r.sent++
	return true
}

// end ends the while after the rest, and reports whether it was going on.
func (r *rest) end(now clock.Time) bool {
	if r.until.IsZero() || now.Before(r.until) {
		return false
	}
	*r = rest{}
	return true
}
