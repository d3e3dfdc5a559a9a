package learn

import (
	"math"
	"time"
)

// Rate is how much comes in a second, by what came lately. The zero value has seen
// nothing.
type Rate struct {
	sum float64
	at  time.Time
}

// rateLife is the age at which what came counts half: long enough to tell a rate
// from a few requests, short enough to see a burst.
const rateLife = 2 * time.Second

// Add records that an amount came.
func (r *Rate) Add(amount float64, now time.Time) {
	if !finite(amount) || amount < 0 {
		return
	}
	r.sum = r.sum*fade(now.Sub(r.at), rateLife) + amount
	if now.After(r.at) {
		r.at = now
	}
}

// PerSecond returns the rate.
func (r *Rate) PerSecond(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.sum * fade(now.Sub(r.at), rateLife) * math.Ln2 / rateLife.Seconds()
}
