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
// prefill beside them and the others. The zero value divides nothing.
type Division struct {
	// Share is the share of the workers that is reserved for the suffering kinds; 0 means none.
	Share float64
	// Reserved holds the routes of the suffering kinds.
	Reserved map[string]bool
	// ReservedLoad and OtherLoad are the prefill loads that are expected on the two sides.
	ReservedLoad, OtherLoad float64
	// PauseLoss is the utility that the streams of the suffering kinds at a reserved worker lose by
	// each second of prefill there.
	PauseLoss float64
	// curves holds the probability of keeping the gap objective, by route.
	curves map[string]learn.KeptCurve
	// doubtful is how long the division has seemed to be of no use.
	doubtful time.Duration
}

const (
	// minDivisionSamples is the number of observed streams from which a kind may count as suffering.
	minDivisionSamples = 20
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
	divisionHeadroom = 2.0
	maxReservedUse   = 0.6
	// maxShare bounds the share, so that the prompts of the others always have workers of their own.
	maxShare = 0.6
	// minShareChange is the relative change of the wanted share up to which the share remains, and
	// maxShareRate the change of the share per second: workers that change sides lose their cached
	// contexts to the other kind.
	minShareChange = 0.2
	maxShareRate   = 0.01
	// maxDoubt is how long a division without gain remains: bursts end within seconds.
	maxDoubt = 5 * time.Second
	// prefillWindow is the time, in seconds, over which prefill counts in the prefill load.
	prefillWindow = 1.0
)

// Divide returns the division of a number of workers for the observed kinds. previous is the last
// result, and elapsed the time since.
func Divide(kinds []StreamKind, workers int, previous *Division, elapsed time.Duration) Division {
	out := wantedDivision(kinds, workers, previous, elapsed)
	if out.Share > 0 || previous.Share == 0 {
		return out
	}
	kept := *previous
	kept.doubtful += elapsed
	if kept.doubtful > maxDoubt {
		return Division{}
	}
	return kept
}

// wantedDivision returns the division that the kinds call for, or the zero value.
func wantedDivision(kinds []StreamKind, workers int, previous *Division, elapsed time.Duration) Division {
	var prefill, streams float64
	for i := range kinds {
		prefill += kinds[i].Prefill
		streams += kinds[i].Streams
	}
	if workers < 2 || prefill <= 0 || streams <= 0 {
		return Division{}
	}
	out := Division{Reserved: map[string]bool{}, curves: map[string]learn.KeptCurve{}}
	var need, otherNeed, reservedPrefill float64
	for i := range kinds {
		k := &kinds[i]
		if k.Observations > 0 {
			out.curves[k.Route] = k.Kept
		}
		work := k.Prefill + k.Streams/max(k.Slots, 1)
		if k.suffers(prefill/streams, previous.Reserved[k.Route]) {
			out.Reserved[k.Route] = true
			need += work
			reservedPrefill += k.Prefill
		} else {
			otherNeed += work
		}
	}
	if need <= 0 || otherNeed <= 0 {
		return Division{}
	}
	n := float64(workers)
	wanted := max(divisionHeadroom*need/(divisionHeadroom*need+otherNeed), need/(maxReservedUse*n))
	out.Share = nextShare(min(wanted, maxShare), previous.Share, elapsed)
	out.ReservedLoad = reservedPrefill / (out.Share * n)
	out.OtherLoad = (prefill - reservedPrefill) / ((1 - out.Share) * n)
	if !out.useful(kinds, prefill/n, previous) {
		return Division{}
	}
	for i := range kinds {
		if k := &kinds[i]; out.Reserved[k.Route] {
			slope := (k.Kept.At(out.ReservedLoad) - k.Kept.At(out.OtherLoad)) / (out.OtherLoad - out.ReservedLoad)
			out.PauseLoss += k.Streams / (out.Share * n) * k.Stake * slope / prefillWindow
		}
	}
	return out
}

// suffers reports whether a kind's streams may suffer from the prefill of others. meanIntensity is the
// prefill of the whole service for each running stream.
func (k *StreamKind) suffers(meanIntensity float64, reserved bool) bool {
	if k.Streams <= 0 {
		return false
	}
	intensity := k.Prefill / k.Streams
	if reserved {
		return k.Observations > 0 && intensity < keepIntensity*meanIntensity
	}
	return k.Observations >= minDivisionSamples && intensity < maxIntensity*meanIntensity
}

// nextShare returns the share that follows a previous one.
func nextShare(wanted, previous float64, elapsed time.Duration) float64 {
	if previous == 0 {
		return wanted
	}
	if math.Abs(wanted-previous) <= minShareChange*previous {
		return previous
	}
	step := maxShareRate * elapsed.Seconds()
	return previous + min(max(wanted-previous, -step), step)
}

// useful reports whether more streams keep their gap objective by the division, and those of each
// suffering kind clearly more, compared with the load mixed that all workers have without it.
func (d *Division) useful(kinds []StreamKind, mixed float64, previous *Division) bool {
	if d.OtherLoad <= d.ReservedLoad {
		return false
	}
	total := 0.0
	for i := range kinds {
		k := &kinds[i]
		if k.Observations <= 0 {
			continue
		}
		load := d.OtherLoad
		if d.Reserved[k.Route] {
			load = d.ReservedLoad
		}
		gain := k.Kept.At(load) - k.Kept.At(mixed)
		total += k.Requests * gain
		limit := minKeptGain
		if previous.Reserved[k.Route] {
			limit = keepGain
		}
		if d.Reserved[k.Route] && gain < limit {
			return false
		}
	}
	return total > 0
}

// Kept returns the probability that a stream of a route keeps its gap objective on one side, or 0 if
// it is unknown.
func (d *Division) Kept(route string, reserved bool) float64 {
	curve := d.curves[route]
	if reserved {
		return curve.At(d.ReservedLoad)
	}
	return curve.At(d.OtherLoad)
}
