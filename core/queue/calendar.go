package queue

import "time"

// Digest identifies equal requests, whatever daemon receives them.
type Digest [16]byte

const (
	// minReturn is the least time after which a rejected caller returns.
	minReturn = 100 * time.Millisecond
	// returnTolerance is how much earlier than promised a request may return: clocks of callers
	// and the delays of messages differ.
	returnTolerance = 30 * time.Millisecond
	// returnGrace is how long after its return time a promise is kept.
	returnGrace = time.Second
	// maxPromises bounds the promises of a service.
	maxPromises = 4096
)

// promise is the right of a rejected request to return.
type promise struct {
	// at is when capacity is expected for it.
	at   time.Time
	rank int
	// work is the work of the request. It is 0 for promises of other daemons, since returns are spread over all daemons.
	work float64
}

// calendar holds the promises of a service. Use newCalendar.
type calendar struct {
	promises map[Digest]promise
	// work is the sum of the work of the promises, by rank.
	work    map[int]float64
	sweptAt time.Time
	// unshared holds own promises that were not reported to other daemons; the first sharing of
	// them are in the report being sent.
	unshared []Digest
	sharing  int
}

func newCalendar() calendar {
	return calendar{promises: map[Digest]promise{}, work: map[int]float64{}}
}

// redeem reports whether a request returns as promised, and ends the promise. A request that
// returns too early is treated as a new one.
func (c *calendar) redeem(d Digest, now time.Time) bool {
	p, exists := c.promises[d]
	if !exists {
		return false
	}
	c.remove(d)
	return !now.Before(p.at.Add(-returnTolerance)) && now.Before(p.at.Add(returnGrace))
}

// add adds a promise, in place of an earlier one to the same request.
func (c *calendar) add(d Digest, p promise, now time.Time) {
	c.sweep(now)
	c.remove(d)
	if len(c.promises) >= maxPromises {
		return
	}
	c.promises[d] = p
	c.work[p.rank] += p.work
}

// remove removes a promise if there is one.
func (c *calendar) remove(d Digest) {
	p, exists := c.promises[d]
	if !exists {
		return
	}
	delete(c.promises, d)
	if c.work[p.rank] -= p.work; len(c.promises) == 0 {
		// Rounding errors do not add up over time.
		clear(c.work)
	}
}

// sweepInterval is the interval for removing expired promises.
const sweepInterval = 100 * time.Millisecond

// sweep removes expired promises.
func (c *calendar) sweep(now time.Time) {
	if now.Sub(c.sweptAt) < sweepInterval {
		return
	}
	c.sweptAt = now
	for d, p := range c.promises {
		if now.After(p.at.Add(returnGrace)) {
			c.remove(d)
		}
	}
}

// workBefore returns the promised work of the ranks before a rank, and that of the rank.
func (c *calendar) workBefore(rank int) (higher, own float64) {
	for r, work := range c.work {
		if r < rank {
			higher += work
		}
	}
	return higher, c.work[rank]
}

// reports returns the promises for a report to other daemons.
func (c *calendar) reports(now time.Time) []PromiseReport {
	c.sharing = min(len(c.unshared), maxShared)
	var out []PromiseReport
	for _, d := range c.unshared[:c.sharing] {
		if p, exists := c.promises[d]; exists {
			out = append(out, PromiseReport{Digest: d, Rank: p.rank, ReturnMillis: p.at.Sub(now).Milliseconds()})
		}
	}
	return out
}

// book promises a rejected request the time at which capacity is expected for it, after everything
// that waits and all promises. It returns zero if that is not known.
func (q *Queue) book(r *Request, now time.Time) time.Time {
	if q.byArrival {
		return time.Time{}
	}
	r.class = newLate
	q.calendar.sweep(now)
	ahead := q.precedingWork(r, true, now)
	higher, own := q.calendar.workBefore(r.Rank)
	ahead.higher, ahead.own = ahead.higher+higher, ahead.own+own
	wait, known := q.waitBehind(r, ahead, now)
	if !known {
		return time.Time{}
	}
	p := promise{at: now.Add(max(wait, minReturn)), rank: r.Rank, work: r.Work}
	if r.Digest != (Digest{}) {
		q.calendar.add(r.Digest, p, now)
		if len(q.calendar.unshared) < maxUnshared {
			q.calendar.unshared = append(q.calendar.unshared, r.Digest)
		}
	}
	return p.at
}
