package relay

import (
	"time"

	"embertally.dev/core/clock"
)

// suspendDetector detects that the box was suspended while a request was in flight. The zero value
// detects nothing; see newSuspendDetector.
type suspendDetector struct {
	steadyStart time.Time
	start       clock.Time
	// suspended is the total time of the suspensions detected so far.
	suspended time.Duration
}

// minSuspend is the shortest suspension that is detected: the two clocks are not read at the same
// instant.
const minSuspend = 20 * time.Millisecond

// newSuspendDetector starts detecting suspensions.
func newSuspendDetector() suspendDetector {
	return suspendDetector{steadyStart: time.Now(), start: clock.Now()}
}

// sinceLast returns how long the box was suspended since the last call.
func (d *suspendDetector) sinceLast() time.Duration {
	if d.start.IsZero() {
		return 0
	}
	suspended := clock.Since(d.start) - time.Since(d.steadyStart) - d.suspended
	if suspended < minSuspend {
		return 0
	}
	d.suspended += suspended
	return suspended
}

// adjustForSuspend moves start and deadline back by the time that the box was suspended, since the
// caller's clock kept running. Otherwise a target would be given more time than remains.
func (p *proxiedRequest) adjustForSuspend() {
	if suspended := p.suspends.sinceLast(); suspended > 0 {
		p.start, p.deadline = p.start.Add(-suspended), p.deadline.Add(-suspended)
		p.note("suspended for %s", suspended.Round(time.Millisecond))
	}
}
