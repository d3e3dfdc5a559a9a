package queue

import (
	"math"
	"time"
)

const (
	// capacityHalfLife is the half-life of observed capacity: targets fail and slow down within
	// seconds.
	capacityHalfLife = 2 * time.Second
	// arrivalHalfLife is the half-life of observed arrivals. It is longer, so that a burst of a few
	// seconds is not taken for the future of requests that can wait longer.
	arrivalHalfLife = 5 * time.Second
	// minAdmissions and minShortTime bound what must be observed in a shortage before its capacity
	// is known. Until then nothing is rejected.
	minAdmissions = 5
	minShortTime  = time.Second
	// priorTime is the weight of the rate before a shortage in the capacity.
	priorTime = 250 * time.Millisecond
	// lateDrainShare is the least share of the capacity that is expected for late requests. While
	// others keep arriving there may be none, but arrivals vary and bursts end, and a request that
	// waits for too much loses less than one that is rejected too early.
	lateDrainShare = 0.25
)

// decaying is a sum whose parts lose weight with age.
type decaying struct {
	sum float64
	at  time.Time
}

// value returns the sum at a time.
func (d *decaying) value(now time.Time, halfLife time.Duration) float64 {
	if age := now.Sub(d.at); age > 0 {
		return d.sum * math.Exp2(-float64(age)/float64(halfLife))
	}
	return d.sum
}

// add adds to the sum.
func (d *decaying) add(amount float64, now time.Time, halfLife time.Duration) {
	d.sum = d.value(now, halfLife) + amount
	if now.After(d.at) {
		d.at = now
	}
}

// perSecond returns the rate behind a sum of amounts.
func (d *decaying) perSecond(now time.Time, halfLife time.Duration) float64 {
	return d.value(now, halfLife) * math.Ln2 / halfLife.Seconds()
}

// flow observes arrivals and admissions. During a shortage, while requests wait, the rate of
// admissions is the capacity. The zero value has observed nothing.
type flow struct {
	// arrivals is the work that arrived, by rank, and admissions the work that was admitted.
	arrivals   map[int]*decaying
	admissions map[int]*decaying
	// short is set while requests wait. The seconds of shortage are counted up to shortAt.
	short   bool
	shortAt time.Time
	// shortSeconds, shortWork and shortCount are the time, the admitted work and the admissions in
	// shortages, and baseline the rate of admissions before the last one.
	shortSeconds, shortWork, shortCount decaying
	baseline                            float64
}

// arrived records an arrival.
func (f *flow) arrived(r *Request, now time.Time) {
	if f.arrivals == nil {
		f.arrivals, f.admissions = map[int]*decaying{}, map[int]*decaying{}
	}
	addTo(f.arrivals, r.Rank, r.Work, now, arrivalHalfLife)
}

// addTo adds to the sum of a rank.
func addTo(sums map[int]*decaying, rank int, amount float64, now time.Time, halfLife time.Duration) {
	d := sums[rank]
	if d == nil {
		d = &decaying{}
		sums[rank] = d
	}
	d.add(amount, now, halfLife)
}

// admitted records an admission.
func (f *flow) admitted(r *Request, now time.Time) {
	if f.admissions == nil {
		return
	}
	addTo(f.admissions, r.Rank, r.Work, now, capacityHalfLife)
	if f.short {
		f.shortWork.add(r.Work, now, capacityHalfLife)
		f.shortCount.add(1, now, capacityHalfLife)
	}
}

// setShort records the beginning or the end of a shortage.
func (f *flow) setShort(short bool, now time.Time) {
	f.advance(now)
	if short && !f.short {
		f.baseline = f.admittedRate(now)
	}
	f.short = short
}

// advance counts the time of a shortage up to now.
func (f *flow) advance(now time.Time) {
	if passed := now.Sub(f.shortAt); f.short && passed > 0 {
		// What passed within one half-life counts in full.
		f.shortSeconds.add(min(passed, capacityHalfLife).Seconds(), now, capacityHalfLife)
	}
	f.shortAt = now
}

// admittedRate returns the work admitted per second.
func (f *flow) admittedRate(now time.Time) float64 {
	sum := 0.0
	for _, d := range f.admissions {
		sum += d.perSecond(now, capacityHalfLife)
	}
	return sum
}

// arrivalRate returns the work that arrives per second of ranks before a rank, and of the rank
// itself if inclusive is set.
func (f *flow) arrivalRate(rank int, inclusive bool, now time.Time) float64 {
	sum := 0.0
	for r, d := range f.arrivals {
		if r < rank || inclusive && r == rank {
			sum += d.perSecond(now, arrivalHalfLife)
		}
	}
	return sum
}

// capacity returns the work per second that is admitted in a shortage, and whether enough was
// observed to reject requests by it.
func (f *flow) capacity(now time.Time) (perSecond float64, known bool) {
	f.advance(now)
	seconds := f.shortSeconds.value(now, capacityHalfLife)
	work := f.shortWork.value(now, capacityHalfLife)
	baseline := f.baseline
	if !f.short {
		baseline = f.admittedRate(now)
	}
	perSecond = (work + baseline*priorTime.Seconds()) / (seconds + priorTime.Seconds())
	known = seconds >= minShortTime.Seconds() || f.shortCount.value(now, capacityHalfLife) >= minAdmissions
	return perSecond, known
}

// expectedWait returns the expected wait of a request that is not in the queue, and whether enough
// is known to reject it for that.
func (q *Queue) expectedWait(r *Request, now time.Time) (time.Duration, bool) {
	return q.waitBehind(r, q.precedingWork(r, true, now), now)
}

// workAhead is the work that is done before a request: that of higher ranks, that of earlier classes
// of its own rank, and that of its own class.
type workAhead struct{ higher, earlier, own float64 }

// precedingWork returns the work that waits before a request at all daemons. That of its own class is
// what precedes it if sameClass is set, and otherwise all of that at other daemons.
func (q *Queue) precedingWork(r *Request, sameClass bool, now time.Time) workAhead {
	ahead := q.peersWork(r, now)
	inClass, ofOrganisation := 0.0, 0.0
	organisations := map[string]bool{r.Organisation: true}
	for key, g := range q.groups {
		for c, work := range g.work {
			switch {
			case key.rank > r.Rank:
			case key.rank < r.Rank:
				if r.yieldsTo(class(c)) {
					ahead.higher += work
				}
			case class(c) < r.class:
				ahead.earlier += work
			case class(c) == r.class && len(g.byClass[c]) > 0:
				organisations[key.organisation] = true
				inClass += work
				if key.organisation == r.Organisation {
					ofOrganisation += work
				}
			}
		}
	}
	if sameClass && inClass > 0 {
		// The organisations take turns, so each of them does as much work meanwhile as this one.
		before := min(inClass, (ofOrganisation+r.Work)*float64(len(organisations))-r.Work)
		ahead.own = (ahead.own + inClass) * before / inClass
	}
	return ahead
}

// yieldsTo reports whether work of a class of a higher rank counts as being done before a request.
// Late requests are often not worth the capacity that others find, so that they would hold back
// requests that are on time without taking it.
func (r *Request) yieldsTo(c class) bool { return r.class.late() || !c.late() }

// waitBehind returns the expected wait of a request behind some work.
func (q *Queue) waitBehind(r *Request, ahead workAhead, now time.Time) (time.Duration, bool) {
	if q.byArrival {
		return 0, false
	}
	capacity, known := q.capacity(now)
	if capacity <= 0 {
		return maxWait, known
	}
	// What precedes the request drains while more of it arrives, but it gets at least a share.
	share := lowRankShare
	if r.class.late() {
		share = lateDrainShare
	}
	seconds := ahead.own/(share*capacity) + ahead.earlier/capacity
	if drain := q.drain(r, capacity, now); drain > 0 {
		seconds = min(seconds, (ahead.higher+ahead.earlier+ahead.own)/drain)
	}
	// Bounded before the conversion: after a long outage the seconds exceed the range of a duration.
	return time.Duration(min(seconds, maxWait.Seconds()) * float64(time.Second)), known
}

// maxWait bounds estimated waits.
const maxWait = time.Minute
