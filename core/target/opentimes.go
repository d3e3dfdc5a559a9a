package target

import (
	"slices"
	"time"
)

// openTimes learns how long connections to a group of targets take to open, and after which time
// an attempt to open one is abandoned. The zero value has no observations.
type openTimes struct {
	// samples is a ring of the latest times, next the position of the oldest.
	samples []time.Duration
	next    int
	// sorted holds the same in ascending order; nil if there are later samples.
	sorted []time.Duration
}

const (
	// openSamples is the number of times that are kept.
	openSamples = 64
	// minOpenSamples is the number of times below which unknownOpenLimit applies.
	minOpenSamples = 6
	// unknownOpenLimit is the limit without enough observations.
	unknownOpenLimit = 250 * time.Millisecond
	// openQuantile is the share of connections whose opening takes no longer than the learned time,
	// and openFactor the multiple of it after which opening is abandoned.
	openQuantile = 0.9
	openFactor   = 3
	// minOpenLimit is the floor of the limit: at boxes with a fraction of a core, scheduling alone
	// takes tens of milliseconds.
	minOpenLimit = 30 * time.Millisecond
	// maxOpenLimit is the ceiling unless connections usually take longer. It is below the second
	// after which a lost first packet is retransmitted.
	maxOpenLimit = 400 * time.Millisecond
)

// add records the time that a connection took to open.
func (o *openTimes) add(took time.Duration) {
	o.sorted = nil
	if len(o.samples) < openSamples {
		o.samples = append(o.samples, took)
		return
	}
	o.samples[o.next] = took
	o.next = (o.next + 1) % openSamples
}

// limit returns the time after which the opening of a connection is abandoned. shortest is the
// shortest time that a connection to the same target took, 0 if unknown: targets of one group may be
// at different distances.
func (o *openTimes) limit(shortest time.Duration) time.Duration {
	limit := unknownOpenLimit
	if n := len(o.samples); n >= minOpenSamples {
		if o.sorted == nil {
			o.sorted = slices.Clone(o.samples)
			slices.Sort(o.sorted)
		}
		usual, median := o.sorted[int(openQuantile*float64(n-1))], o.sorted[n/2]
		limit = min(openFactor*usual, max(maxOpenLimit, openFactor*median))
	}
	return min(max(limit, minOpenLimit, minOpenLimit+openFactor*shortest), openTimeout)
}

// openWaitSteps is the number of steps into which the wait for a connection is divided.
const openWaitSteps = 5

// openWait measures the wait for a connection by the time in which this process ran: a step that
// took much longer than planned means that the process had no processor, so that the connection may
// be open without having been noticed.
type openWait struct {
	step time.Duration
	// left is the number of steps that are left, and overruns the number that took too long.
	left, overruns int
}

// newOpenWait returns a wait of the given length.
func newOpenWait(limit time.Duration) openWait {
	return openWait{step: limit / openWaitSteps, left: openWaitSteps}
}

// advance records a step and reports whether the wait is over. The number of steps that do not count
// is bounded.
func (w *openWait) advance(took time.Duration) bool {
	if took > 2*w.step+time.Millisecond && w.overruns < openWaitSteps {
		w.overruns++
		return false
	}
	w.left--
	return w.left <= 0
}
