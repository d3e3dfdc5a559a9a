// Package learn owns what is learned of the site from what is observed: how long
// links take for copies of kept context, how long targets take to answer, and how
// often they fail.
//
// Each estimate begins with an expectation from the settings and a weight that it
// has as if that many observations had been made; observations fade with age. What
// one daemon observes it tells the others in heartbeats. The package must not know
// what is decided by the estimates (package route), nor names of the wire.
package learn

import (
	"math"
	"time"
)

// Mean is an average whose samples fade with age. The zero value has none.
type Mean struct {
	sum, weight float64
	// at is when sum and weight were last faded.
	at time.Time
}

// fade is what is left of a sample after some time.
func fade(age, halfLife time.Duration) float64 {
	if age <= 0 || halfLife <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}

// Add takes a sample. Samples and weights that are no numbers, and weights below
// 0, are not taken; it reports whether the sample was.
func (m *Mean) Add(sample, weight float64, now time.Time, halfLife time.Duration) bool {
	if !finite(sample) || !finite(weight) || weight < 0 {
		return false
	}
	m.age(now, halfLife)
	m.sum += sample * weight
	m.weight += weight
	return true
}

// age fades what is known.
func (m *Mean) age(now time.Time, halfLife time.Duration) {
	if m.at.IsZero() {
		m.at = now
	}
	left := fade(now.Sub(m.at), halfLife)
	m.sum *= left
	m.weight *= left
	if now.After(m.at) {
		m.at = now
	}
}

// bound makes the samples count for at most some weight, so that the next ones
// change the average.
func (m *Mean) bound(most float64) {
	if m.weight > most {
		m.sum *= most / m.weight
		m.weight = most
	}
}

// Value returns the average together with an expectation that counts as much as
// samples of the given weight.
func (m *Mean) Value(expected, weight float64, now time.Time, halfLife time.Duration) float64 {
	left := fade(now.Sub(m.at), halfLife)
	return (expected*weight + m.sum*left) / (weight + m.weight*left)
}

// finite reports whether a value is a number.
func finite(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }
