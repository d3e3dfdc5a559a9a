package relay

import (
	"time"

	"embertally.dev/core/clock"
)

// awake notices that the machine was suspended while a request was here. The zero value
// notices nothing; see watchSleep.
type awake struct {
	steady time.Time
	began  clock.Time
	// slept is how long the suspensions were that were noticed.
	slept time.Duration
}

// sleepLeast is the shortest suspension that is noticed: the two clocks are not read at the
// same moment.
const sleepLeast = 20 * time.Millisecond

// watchSleep begins to notice suspensions.
func watchSleep() awake { return awake{steady: time.Now(), began: clock.Now()} }

// since returns how long the machine was suspended since it was asked last.
func (a *awake) since() time.Duration {
	if a.began.IsZero() {
		return 0
	}
	slept := clock.Since(a.began) - time.Since(a.steady) - a.slept
	if slept < sleepLeast {
		return 0
	}
	a.slept += slept
	return slept
}

// wake takes the time that the machine was suspended off the time that the request has left:
// its caller's clock went on. Else a target would be handed more time than there is.
func (p *pass) wake() {
	if slept := p.awake.since(); slept > 0 {
		p.began, p.until = p.began.Add(-slept), p.until.Add(-slept)
		p.note("suspended for %s", slept.Round(time.Millisecond))
	}
}
