// Package learn owns the estimates that a daemon derives from observations: how long
// copies of cached context take over a link, how likely a worker still has a prompt
// segment cached, how long targets take to answer, and how often they fail.
//
// Each estimate starts from a prior, which counts as a given number of observations;
// the weight of observations decays exponentially with age. Daemons exchange their
// observations in heartbeats, except for those of Times and Rate. The package must not
// know the decisions that use the estimates (package route), nor how and under which
// names its reports are sent.
package learn

import (
	"math"
	"time"
)

// Mean is a weighted mean of samples whose weights decay exponentially with age. The
// zero value has no samples.
type Mean struct {
	// sum is the weighted sum of the samples, and weight the sum of their weights.
	sum, weight float64
	// decayedAt is the time up to which the decay of sum and weight is applied.
	decayedAt time.Time
}

// decay returns the factor by which a weight decays until the given age.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 || halfLife <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}

// Add adds a sample and reports true. It rejects non-finite samples and weights, and
// negative weights.
func (m *Mean) Add(sample, weight float64, now time.Time, halfLife time.Duration) bool {
	if !finite(sample) || !finite(weight) || weight < 0 {
		return false
	}
	m.decayTo(now, halfLife)
	m.sum += sample * weight
	m.weight += weight
	return true
}

// decayTo applies the decay up to now.
func (m *Mean) decayTo(now time.Time, halfLife time.Duration) {
	if m.decayedAt.IsZero() {
		m.decayedAt = now
	}
	factor := decay(now.Sub(m.decayedAt), halfLife)
	m.sum *= factor
	m.weight *= factor
	if now.After(m.decayedAt) {
		m.decayedAt = now
	}
}

// capWeight scales the samples to a total weight of at most limit, so that later ones
// still change the mean.
func (m *Mean) capWeight(limit float64) {
	if m.weight > limit {
		m.sum *= limit / m.weight
		m.weight = limit
	}
}

// Value returns the mean of the samples and a prior of the given weight.
func (m *Mean) Value(prior, priorWeight float64, now time.Time, halfLife time.Duration) float64 {
	factor := decay(now.Sub(m.decayedAt), halfLife)
	return (prior*priorWeight + m.sum*factor) / (priorWeight + m.weight*factor)
}

// finite reports whether a value is neither NaN nor infinite.
func finite(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }
