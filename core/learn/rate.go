package learn

import (
	"math"
	"time"
)

// Rate estimates a rate per second from recent arrivals, whose weights decay
// exponentially with age. The zero value has no arrivals.
type Rate struct {
	// sum is the decayed sum of the amounts as of updatedAt.
	sum       float64
	updatedAt time.Time
}

// rateHalfLife is the half-life of the weight of an arrival: long enough to average
// over several requests, short enough to follow a burst.
const rateHalfLife = 2 * time.Second

// Add records an arrival. It ignores amounts that are negative or not finite.
func (r *Rate) Add(amount float64, now time.Time) {
	if !finite(amount) || amount < 0 {
		return
	}
	r.sum = r.sum*decay(now.Sub(r.updatedAt), rateHalfLife) + amount
	if now.After(r.updatedAt) {
		r.updatedAt = now
	}
}

// PerSecond returns the rate in amounts per second.
func (r *Rate) PerSecond(now time.Time) float64 {
	if r.updatedAt.IsZero() {
		return 0
	}
	return r.sum * decay(now.Sub(r.updatedAt), rateHalfLife) * math.Ln2 / rateHalfLife.Seconds()
}
