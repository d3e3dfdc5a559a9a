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

// Division divides the workers of a service between the kinds of requests whose streams suffer from
// prefill beside them and the others. It is a preference: a request runs on the other side if its own
// has no capacity. The zero value divides nothing.
type Division struct {
	// Share is the share of the workers that is reserved for the suffering kinds; 0 means none.
	Share float64
	// Reserved holds, by the route of each suffering kind, the probability that one of its streams misses
	// its gap objective at a worker that prefills all the time, 0 to 1. It was taken before the workers
	// were divided. It is not empty if Share is above 0.
	Reserved map[string]float64
	// Pause is how much longer no division begins, since the last one was of no use.
	Pause time.Duration
	// Doubt is how long the division has seemed to be of no use.
	Doubt time.Duration

	// kept holds what is expected of the streams of the suffering kinds, by route.
	kept map[string]keptSides
	// loss is the utility that the streams at a reserved worker lose by each second of prefill there.
	loss float64
}

// keptSides holds the probabilities that a stream keeps its gap objective on a reserved worker and on
// another one.
type keptSides struct{ reserved, other float64 }

const (
	// minDivisionSamples is the number of observed streams from which a kind may count as suffering.
	minDivisionSamples = 20
	// minMissed is the share of the streams that miss their gap objective from which a division begins:
	// callers are to get 95 of 100 answers on time. It is also the least gain that is expected of one.
	minMissed = 0.05
	// minJudgedSamples is the number of streams on reserved workers from which a division is judged. It
	// ends if for maxDoubt, longer than a burst, no fewer of them miss their objective than of the others.
	minJudgedSamples = 100
	maxDoubt         = 10 * time.Second
	// divisionPause is the time without a division after one that was of no use.
	divisionPause = time.Minute
	// minPrefillLoad is the share of time that the workers spend on prefill below which a division ends:
	// with less, few streams run beside prefill.
	minPrefillLoad = 0.03
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
	// minPrefill is the least mean prefill time, in seconds, that losses are related to.
	minPrefill = 0.05
	// maxDivisionStep bounds the time of one step of a division. A daemon that was paused or had no
	// requests for longer observed nothing meanwhile.
	maxDivisionStep = maxDoubt / 4
	// minKept is the least probability that is expected of a worker, since 0 means unknown
	// (Candidate.KeptGap).
	minKept = 0.001
)

// Valid reports whether a division is one that Divide can return.
func (d *Division) Valid() bool {
	if !(d.Share >= 0 && d.Share <= maxShare) || (d.Share > 0) != (len(d.Reserved) > 0) ||
		d.Pause < 0 || d.Pause > divisionPause {
		return false
	}
	for _, missed := range d.Reserved {
		if !(missed >= 0 && missed <= 1) {
			return false
		}
	}
	return true
}

// Divide returns the division that follows a previous one after some time.
func Divide(kinds []StreamKind, workers int, previous *Division, elapsed time.Duration) Division {
	out := Division{Pause: max(0, previous.Pause-elapsed)}
	elapsed = min(elapsed, maxDivisionStep)
	switch {
	case workers < 2 || total(kinds, everyKind).prefill < minPrefillLoad*float64(workers):
		return out
	case previous.Doubt+elapsed > maxDoubt && !previous.useful(kinds, workers):
		out.Pause = divisionPause
		return out
	case previous.Share == 0 && out.Pause > 0:
		return out
	}
	reserved := suffering(kinds, workers, previous)
	share := wantedShare(kinds, reserved, workers)
	if share <= 0 {
		return out
	}
	out.Share, out.Reserved = nextShare(share, previous.Share, elapsed), reserved
	if !previous.useful(kinds, workers) {
		out.Doubt = previous.Doubt + elapsed
	}
	out.Expect(kinds, workers)
	return out
}

// useful reports whether the streams of the reserved kinds keep their gap objective more often than
// without the division, or whether that cannot be told yet.
func (d *Division) useful(kinds []StreamKind, workers int) bool {
	load := total(kinds, everyKind).prefill / float64(workers)
	for i := range kinds {
		k := &kinds[i]
		risk, reserved := d.Reserved[k.Route]
		if reserved && k.Reserved.Observations >= minJudgedSamples && k.Reserved.Missed >= max(risk*load, k.Other.Missed) {
			return false
		}
	}
	return true
}

// suffering returns the routes of the kinds that a division would reserve workers for; see
// Division.Reserved.
func suffering(kinds []StreamKind, workers int, previous *Division) map[string]float64 {
	all := total(kinds, everyKind)
	load := all.prefill / float64(workers)
	out := map[string]float64{}
	for i := range kinds {
		k := &kinds[i]
		risk, wasReserved := previous.Reserved[k.Route]
		limit := keepIntensity
		if !wasReserved {
			if k.Other.Observations < minDivisionSamples || k.Other.Missed < minMissed {
				continue
			}
			risk, limit = min(1, k.Other.Missed/load), maxIntensity
		}
		if k.Streams > 0 && k.Prefill*all.streams < limit*all.prefill*k.Streams {
			out[k.Route] = risk
		}
	}
	return out
}

// demandSum is the demand of several kinds together.
type demandSum struct {
	// need is the number of workers that the demand occupies.
	prefill, streams, need float64
}

// total returns the demand of the selected kinds.
func total(kinds []StreamKind, selected func(*StreamKind) bool) demandSum {
	var out demandSum
	for i := range kinds {
		if k := &kinds[i]; selected(k) {
			out.prefill += k.Prefill
			out.streams += k.Streams
			out.need += k.Prefill + k.Streams/max(k.Slots, 1)
		}
	}
	return out
}

// everyKind selects all kinds.
func everyKind(*StreamKind) bool { return true }

// wantedShare returns the share of the workers that the reserved kinds need, or 0 if there are no
// reserved kinds or no others.
func wantedShare(kinds []StreamKind, reserved map[string]float64, workers int) float64 {
	isReserved := func(k *StreamKind) bool {
		_, found := reserved[k.Route]
		return found
	}
	own := total(kinds, isReserved)
	others := total(kinds, func(k *StreamKind) bool { return !isReserved(k) })
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
	return min(previous+min(max(wanted-previous, -step), step), maxShare)
}

// Expect computes what is expected of the two sides from what is known of the kinds.
func (d *Division) Expect(kinds []StreamKind, workers int) {
	d.kept, d.loss = nil, 0
	if d.Share <= 0 || workers <= 0 {
		return
	}
	d.kept = make(map[string]keptSides, len(d.Reserved))
	others := total(kinds, func(k *StreamKind) bool { _, reserved := d.Reserved[k.Route]; return !reserved })
	requests := 0.0
	for i := range kinds {
		if _, reserved := d.Reserved[kinds[i].Route]; !reserved {
			requests += kinds[i].Requests
		}
	}
	prefill := max(others.prefill/max(requests, 1), minPrefill)
	own := max(1, d.Share*float64(workers))
	otherLoad := min(1, others.prefill/max(1, float64(workers)-own))
	for i := range kinds {
		k := &kinds[i]
		risk, reserved := d.Reserved[k.Route]
		if !reserved {
			continue
		}
		sides := keptSides{reserved: 1 - k.Reserved.Missed, other: max(minKept, 1-max(risk*otherLoad, k.Other.Missed))}
		// While a division stands, it is taken to be of use: useful ends it otherwise.
		sides.reserved = max(sides.reserved, min(1, sides.other+minMissed))
		d.kept[k.Route] = sides
		// A prefill pauses the streams that run at the worker and those that start during it.
		paused := k.Streams/prefill + k.Requests
		d.loss += risk * k.Stake * paused / own
	}
}

// Weigh sets what is expected of pauses at a candidate for a request of a route. reserved reports
// whether the candidate is reserved for the suffering kinds.
func (d *Division) Weigh(c *Candidate, route string, reserved bool) {
	if d.Share <= 0 {
		return
	}
	if sides, suffers := d.kept[route]; suffers {
		c.KeptGap = sides.other
		if reserved {
			c.KeptGap = sides.reserved
		}
		return
	}
	if reserved {
		c.PauseLoss = d.loss
	}
}
