package relay

import (
	"time"

	"embertally.dev/core/clock"
)

// awake notices that the machine was suspended while a request was here. The zero value
// notices nothing; see watchSleep.
type suspendDetector struct {
	steadyStart time.Time
	start       clock.Time
	// slept is how long the suspensions were that were noticed.
	suspended time.Duration
}

// sleepLeast is the shortest suspension that is noticed: the two clocks are not read at the
// same moment.
const minSuspend = 20 * time.Millisecond

// watchSleep begins to notice suspensions.
func newSuspendDetector() suspendDetector {
	return suspendDetector{steadyStart: time.Now(), start: clock.Now()}
}

// since returns how long the machine was suspended since it was asked last.
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

// wake takes the time that the machine was suspended off the time that the request has left:
// its caller's clock went on. Else a target would be handed more time than there is.
func (p *proxiedRequest) adjustForSuspend() {
	if suspended := p.suspends.sinceLast(); suspended > 0 {
		p.start, p.deadline = p.start.Add(-suspended), p.deadline.Add(-suspended)
		p.note("suspended for %s", suspended.Round(time.Millisecond))
	}
}
