package route

import "time"

// Speed learns how fast the workers of a service read prompts, from the times
// to first events. The zero value knows nothing and takes the slowest speed
// that the users' engines have.
type Speed struct {
	// perSecond is the recent speed in tokens a second; 0 before the first.
	perSecond float64
}

// Figures of learning.
const (
	// speedLeast is the length from which a time to a first event tells of the
	// speed: below, fixed times outweigh it.
	speedLeast = 3000
	// FirstTime is the time to a first event beside the reading, at an idle
	// worker: 39 ms at the median on one of the users' sites, 80 on the other.
	FirstTime = 40 * time.Millisecond
	// speedShare is the weight of one sample.
	speedShare = 0.05
	// speedMost bounds a sample, so that a part that was held after all does
	// not count as read in no time.
	speedMost = 400000
)

// Sample records that tokens were read within a time.
func (s *Speed) Sample(tokens int, took time.Duration) {
	if tokens < speedLeast || took <= FirstTime {
		return
	}
	sample := min(float64(tokens)/(took-FirstTime).Seconds(), speedMost)
	if s.perSecond == 0 {
		s.perSecond = float64(time.Second / tokenTime)
	}
	s.perSecond += (sample - s.perSecond) * speedShare
}

// Time returns how long tokens take.
func (s *Speed) Time(tokens int) time.Duration {
	if s.perSecond <= 0 {
		return time.Duration(tokens) * tokenTime
	}
	return time.Duration(float64(tokens) / s.perSecond * float64(time.Second))
}
