package route

import (
	"math"
	"time"

	"embertally.dev/core/learn"
)

// StreamKind is one kind of request of a service, as Divide uses it.
type StreamKind struct {
	learn.StreamDemand
	// Slots is the number of streams of the kind that a worker runs at a time.
	Slots float64
	// Stake is the utility that a stream loses if it misses its gap objective.
	Stake float64
}

// Division holds what is expected of the pauses of a service's streams, and divides its workers between
// the kinds of requests whose streams suffer from prefill beside them and the others. The zero value
// expects nothing and divides nothing.
type Division struct {
	// Share is the share of the workers that is reserved for the suffering kinds; 0 means none.
	Share float64
	// Reserved holds the routes of the suffering kinds.
	Reserved map[string]bool
	// pausing holds the probability of keeping the gap objective, by route, for the kinds that do not
	// nearly always keep it.
	pausing map[string]learn.KeptCurve
	// reserved and other are what is expected of the reserved workers and the others. Without reserved
	// workers, other covers all.
	reserved, other divisionSide
	// mixedLoad is the prefill load of all workers without a division.
	mixedLoad float64
	// doubtful is how long the division has seemed to be of no use.
	doubtful time.Duration
}

// divisionSide is what is expected of one side of a division.
type divisionSide struct {
	// load is the mean prefill load.
	load float64
	// loss is the utility that each request running at a worker loses, on average, by a second of
	// prefill there.
	loss float64
}

const (
	// minDivisionSamples is the number of observed streams from which a kind may count as suffering.
	minDivisionSamples = 20
	// minMissed is the share of the streams that miss their gap objective from which pauses are weighed.
	minMissed = 0.03
	// minKeptGain is the gain in the probability of keeping the gap objective for which a division
	// begins, and keepGain that for which it remains.
	minKeptGain = 0.05
	keepGain    = 0.02
	// A kind is suffering only if it causes less prefill for each of its streams than this fraction of
	// the service's mean: otherwise it would pause the streams that it joins. keepIntensity is the limit
	// for kinds that are already reserved.
	maxIntensity  = 0.5
	keepIntensity = 0.7
	// divisionHeadroom is the capacity reserved for the suffering kinds as a multiple of their need, so
	// that bursts fit while a fifth of the workers loads weights. maxReservedUse is the part of the
	// reserved workers' capacity that they use at most, as long as maxShare allows.
	divisionHeadroom = 1.5
	maxReservedUse   = 0.6
	// maxShare bounds the share, so that the prompts of the others always have workers of their own.
	maxShare = 0.6
	// minShareChange is the relative change of the wanted share up to which the share hardly changes, and
	// maxShareRate the change of the share per second beyond it: workers that change sides lose their
	// cached contexts to the other kind.
	minShareChange = 0.2
	maxShareRate   = 0.01
	// driftRate is the change of the share per second within minShareChange. Daemons that began with
	// different shares come to the same one.
	driftRate = 0.001
	// maxDoubt is how long a division without gain remains: bursts end within seconds.
	maxDoubt = 5 * time.Second

	// slopeStep is the increase of the prefill load over which the loss by prefill is taken: that of a
	// long prompt beside a stream of half a second.
	slopeStep = 0.4
	// singlePromptLoss is the part of that loss which a single prompt causes: a prompt pauses streams once,
	// a steady load again and again.
	singlePromptLoss = 0.5
	// minStreamSeconds is the least duration of streams, in seconds, for which a loss is computed: shorter
	// ones have hardly any pause.
	minStreamSeconds = 0.1
	// ownLoadWeight is the weight of a worker's own prefill load in the expected one; the rest is the
	// mean of its side. A single long prompt raises the own load of a worker to that of a busy one for a
	// second, although it pauses few streams.
	ownLoadWeight = 0.5
)

// Predict returns what is expected of the pauses of the observed kinds at a number of workers, without a
// division. previous is the last result.
func Predict(kinds []StreamKind, workers int, previous *Division) Division {
	out := Division{}
	for i := range kinds {
		if k := &kinds[i]; k.pauses(previous) {
			if out.pausing == nil {
				out.pausing = map[string]learn.KeptCurve{}
			}
			out.pausing[k.Route] = k.Kept
		}
	}
	if workers > 0 {
		out.setSides(kinds, workers, 0, nil)
	}
	return out
}

// Divide is Predict with a division of the workers. elapsed is the time since the last result.
func Divide(kinds []StreamKind, workers int, previous *Division, elapsed time.Duration) Division {
	out := Predict(kinds, workers, previous)
	if out.pausing != nil && workers > 0 {
		out.setShare(kinds, workers, previous, elapsed)
	}
	return out
}

// pauses reports whether a kind's streams miss their gap objective often enough to be weighed.
func (k *StreamKind) pauses(previous *Division) bool {
	if _, known := previous.pausing[k.Route]; known {
		return k.Observations >= 1 && k.Kept.Drop() >= keepGain
	}
	return k.Observations >= minDivisionSamples && k.Missed >= minMissed && k.Kept.Drop() >= minKeptGain
}

// setShare sets the share of the workers that is reserved for suffering kinds and what is expected of
// both sides.
func (d *Division) setShare(kinds []StreamKind, workers int, previous *Division, elapsed time.Duration) {
	reserved := d.suffering(kinds, previous)
	share := 0.0
	if len(reserved) > 0 && workers > 1 {
		share = nextShare(wantedShare(kinds, reserved, workers), previous.Share, elapsed)
	}
	if share > 0 {
		d.setSides(kinds, workers, share, reserved)
		if d.useful(kinds, previous) {
			return
		}
	}
	if d.doubtful = previous.doubtful + elapsed; previous.Share == 0 || d.doubtful > maxDoubt {
		d.doubtful = 0
		d.setSides(kinds, workers, 0, nil)
		return
	}
	d.setSides(kinds, workers, previous.Share, previous.Reserved)
}

// suffering returns the routes of the kinds that a division would reserve workers for.
func (d *Division) suffering(kinds []StreamKind, previous *Division) map[string]bool {
	all := total(kinds, func(*StreamKind) bool { return true })
	out := map[string]bool{}
	for i := range kinds {
		k := &kinds[i]
		limit := maxIntensity
		if previous.Reserved[k.Route] {
			limit = keepIntensity
		}
		_, pauses := d.pausing[k.Route]
		if pauses && k.Prefill*all.streams < limit*all.prefill*k.Streams {
			out[k.Route] = true
		}
	}
	return out
}

// sum is the demand of several kinds together.
type sum struct {
	// need is the number of workers that the demand occupies.
	prefill, streams, need float64
}

// total returns the demand of the selected kinds.
func total(kinds []StreamKind, selected func(*StreamKind) bool) sum {
	var out sum
	for i := range kinds {
		if k := &kinds[i]; selected(k) {
			out.prefill += k.Prefill
			out.streams += k.Streams
			out.need += k.Prefill + k.Streams/max(k.Slots, 1)
		}
	}
	return out
}

// wantedShare returns the share of the workers that the reserved kinds need.
func wantedShare(kinds []StreamKind, reserved map[string]bool, workers int) float64 {
	own := total(kinds, func(k *StreamKind) bool { return reserved[k.Route] })
	others := total(kinds, func(k *StreamKind) bool { return !reserved[k.Route] })
	if own.need <= 0 || others.need <= 0 {
		return 0
	}
	share := divisionHeadroom * own.need / (divisionHeadroom*own.need + others.need)
	return min(max(share, own.need/(maxReservedUse*float64(workers))), maxShare)
}

// nextShare returns the share that follows a previous one.
func nextShare(wanted, previous float64, elapsed time.Duration) float64 {
	if previous == 0 {
		return wanted
	}
	rate := maxShareRate
	if math.Abs(wanted-previous) <= minShareChange*previous {
		rate = driftRate
	}
	step := rate * elapsed.Seconds()
	return previous + min(max(wanted-previous, -step), step)
}

// setSides sets the division and what is expected of its sides.
func (d *Division) setSides(kinds []StreamKind, workers int, share float64, reserved map[string]bool) {
	d.Share, d.Reserved = share, reserved
	n := float64(workers)
	d.mixedLoad = total(kinds, func(*StreamKind) bool { return true }).prefill / n
	d.reserved = divisionSide{}
	if share > 0 {
		d.reserved = d.newSide(kinds, share*n, func(k *StreamKind) bool { return reserved[k.Route] })
	}
	d.other = d.newSide(kinds, (1-share)*n, func(k *StreamKind) bool { return !reserved[k.Route] })
}

// newSide returns what is expected of a number of workers that serve the selected kinds.
func (d *Division) newSide(kinds []StreamKind, workers float64, selected func(*StreamKind) bool) divisionSide {
	demand := total(kinds, selected)
	out := divisionSide{load: demand.prefill / workers}
	for i := range kinds {
		k := &kinds[i]
		curve, pauses := d.pausing[k.Route]
		if !pauses || k.Streams <= 0 || !selected(k) {
			continue
		}
		slope := (curve.At(out.load) - curve.At(out.load+slopeStep)) / slopeStep
		// A second of prefill adds its share of a stream's duration to the load beside that stream.
		duration := max(k.Streams/k.Requests, minStreamSeconds)
		out.loss += singlePromptLoss * k.Streams / demand.streams * k.Stake * slope / duration
	}
	return out
}

// useful reports whether more streams keep their gap objective by the division, and those of each
// reserved kind clearly more.
func (d *Division) useful(kinds []StreamKind, previous *Division) bool {
	gained := 0.0
	for i := range kinds {
		k := &kinds[i]
		curve, pauses := d.pausing[k.Route]
		if !pauses {
			continue
		}
		reserved := d.Reserved[k.Route]
		load, least := d.other.load, minKeptGain
		if reserved {
			load = d.reserved.load
		}
		if previous.Reserved[k.Route] {
			least = keepGain
		}
		gain := curve.At(load) - curve.At(d.mixedLoad)
		if reserved && gain < least {
			return false
		}
		gained += k.Requests * gain
	}
	return gained > 0
}

// Weighs reports whether pauses are weighed at all.
func (d *Division) Weighs() bool { return d.pausing != nil }

// ExpectedLoad returns the prefill load that is expected beside a stream at a worker. reserved reports
// whether the worker is reserved for the suffering kinds, and load is its own prefill load.
func (d *Division) ExpectedLoad(reserved bool, load float64) float64 {
	return (1-ownLoadWeight)*d.side(reserved).load + ownLoadWeight*load
}

// side returns what is expected of a worker.
func (d *Division) side(reserved bool) *divisionSide {
	if reserved && d.Share > 0 {
		return &d.reserved
	}
	return &d.other
}

// Weigh sets what is expected of pauses at a candidate for a request of a route. reserved reports
// whether the candidate is reserved for the suffering kinds, and load is its prefill load.
func (d *Division) Weigh(c *Candidate, route string, reserved bool, load float64) {
	if curve, pauses := d.pausing[route]; pauses {
		c.KeptGap = curve.At(d.ExpectedLoad(reserved, load))
	}
	c.PauseLoss = d.side(reserved).loss * float64(c.Running)
}
