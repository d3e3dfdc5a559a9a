package queue

import (
	"math"
	"time"
)

const (
	// reportTTL is how long a peer's report counts for estimates, as long as the loads that peers
	// report.
	reportTTL = 1200 * time.Millisecond
	// holdTTL is how long requests yield to those of a report, and maxHold how long a request yields
	// at most before it is tried: two heartbeats. With less, late requests of many daemons take
	// what those on time elsewhere wait for.
	holdTTL = 500 * time.Millisecond
	maxHold = time.Second
	// minHold is the least time that a request yields: reports are older than less.
	minHold = 5 * time.Millisecond
	// minReported is how long the first request of a class must wait before the class is reported:
	// most shorter waits are over when the report arrives, and others would yield for nothing.
	minReported = 20 * time.Millisecond
	// shareTime is how long after a shortage of its own or of a peer a daemon reports: nothing is
	// sent for services without shortage.
	shareTime = 5 * time.Second
	// maxShared bounds the promises in one report, and maxUnshared those that wait for one.
	maxShared   = 64
	maxUnshared = 1024
	// maxClassReports bounds the accepted length of Report.Classes.
	maxClassReports = 64
)

// Report is what a daemon reports of one queue to others.
type Report struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	// Capacity is the work that the daemon admits per second, and Known is set if it was observed in
	// a shortage.
	Capacity float64
	Known    bool
	// Arrivals is the work that arrives per second, by rank.
	Arrivals map[int]float64
	// Classes describes what waits. Promises are new promises.
	Classes  []ClassReport
	Promises []PromiseReport
}

// ClassReport describes the waiting requests of one class of a rank.
type ClassReport struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Rank     int
	Class    int
	// Work is that of all requests, FirstWork that of the one that is due first, in DueMillis.
	Work, FirstWork float64
	DueMillis       int64
}

// PromiseReport is a promise to a rejected request, which returns in ReturnMillis.
type PromiseReport struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack     struct{} `msgpack:",as_array"`
	Digest       Digest
	Rank         int
	ReturnMillis int64
}

// peerReport is the last report of a peer.
type peerReport struct {
	at     time.Time
	report *Report
}

// waits reports whether requests wait at the peer.
func (r *Report) waits() bool { return len(r.Classes) > 0 }

// valid reports whether a peer's report is within the possible ranges.
func (r *Report) valid() bool {
	ok := amount(r.Capacity) && len(r.Classes) <= maxClassReports && len(r.Promises) <= maxShared && len(r.Arrivals) <= maxClassReports
	for _, c := range r.Classes {
		ok = ok && c.Class >= 0 && c.Class < int(numClasses) && amount(c.Work) && amount(c.FirstWork)
	}
	for _, a := range r.Arrivals {
		ok = ok && amount(a)
	}
	return ok
}

// amount reports whether x is not negative and finite.
func amount(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }

// PeersWait reports whether requests yield to those of other daemons.
func (q *Queue) PeersWait(now time.Time) bool { return len(q.view(now).fresh) > 0 }

// Report returns the report to other daemons, or nil if there is nothing to report. It returns the
// same promises until Reported is called.
func (q *Queue) Report(now time.Time) *Report {
	if q.count > 0 {
		q.shortAt = now
	}
	if q.byArrival || q.shortAt.IsZero() || now.Sub(q.shortAt) > shareTime && len(q.calendar.unshared) == 0 {
		return nil
	}
	out := &Report{Arrivals: map[int]float64{}, Promises: q.calendar.reports(now)}
	out.Capacity, out.Known = q.flow.capacity(now)
	for rank, d := range q.flow.arrivals {
		out.Arrivals[rank] = d.perSecond(now, arrivalHalfLife)
	}
	classes := map[rankClass]*ClassReport{}
	for key, g := range q.groups {
		for c, list := range g.byClass {
			if len(list) == 0 || now.Sub(list[0].since) < minReported {
				continue
			}
			sum := classes[rankClass{key.rank, class(c)}]
			if sum == nil {
				sum = &ClassReport{Rank: key.rank, Class: c, DueMillis: math.MaxInt64}
				classes[rankClass{key.rank, class(c)}] = sum
			}
			sum.Work += g.work[c]
			if due := list[0].due().Sub(now).Milliseconds(); due < sum.DueMillis {
				sum.DueMillis, sum.FirstWork = due, list[0].Work
			}
		}
	}
	for _, c := range classes {
		out.Classes = append(out.Classes, *c)
	}
	return out
}

// Reported is called after the result of Report was sent.
func (q *Queue) Reported() {
	q.calendar.unshared = q.calendar.unshared[q.calendar.sharing:]
	q.calendar.sharing = 0
}

// Receive records the report of a peer.
func (q *Queue) Receive(peer string, r *Report, now time.Time) {
	if q.byArrival || !r.valid() {
		return
	}
	if r.waits() {
		q.shortAt = now
	}
	q.peers[peer] = peerReport{now, r}
	for _, p := range r.Promises {
		at := now.Add(time.Duration(p.ReturnMillis) * time.Millisecond)
		if at.Sub(now).Abs() <= maxWait {
			q.calendar.add(p.Digest, promise{at: at, rank: p.Rank}, now)
		}
	}
	r.Promises = nil
}

// fleetView sums up what peers reported. It is computed when it is needed, at most once per
// viewInterval, since reports arrive much more often than decisions need them.
type fleetView struct {
	at       time.Time
	capacity float64
	known    bool
	arrivals map[int]float64
	// classes holds what waits by the reports that count for estimates, fresh what requests yield to.
	classes map[rankClass]float64
	fresh   []freshClass
}

// rankClass identifies a class of a rank.
type rankClass struct {
	rank  int
	class class
}

// freshClass is a ClassReport with absolute times.
type freshClass struct {
	rankClass
	work, firstWork float64
	due             time.Time
}

// viewInterval is how old a fleetView may be.
const viewInterval = 10 * time.Millisecond

// view returns the sums of the peers' reports.
func (q *Queue) view(now time.Time) *fleetView {
	v := &q.fleet
	if len(q.peers) == 0 && v.capacity == 0 || now.Sub(v.at) < viewInterval && !v.at.IsZero() {
		return v
	}
	*v = fleetView{at: now, arrivals: map[int]float64{}, classes: map[rankClass]float64{}}
	for peer, r := range q.peers {
		age := now.Sub(r.at)
		if age > reportTTL {
			delete(q.peers, peer)
			continue
		}
		v.capacity += r.report.Capacity
		v.known = v.known || r.report.Known
		for rank, rate := range r.report.Arrivals {
			v.arrivals[rank] += rate
		}
		for _, c := range r.report.Classes {
			key := rankClass{c.Rank, class(c.Class)}
			v.classes[key] += c.Work
			if age <= holdTTL {
				v.fresh = append(v.fresh, freshClass{key, c.Work, c.FirstWork, r.at.Add(time.Duration(c.DueMillis) * time.Millisecond)})
			}
		}
	}
	return v
}

// capacity returns the work per second that all daemons admit, and whether enough was observed to
// reject requests by it.
func (q *Queue) capacity(now time.Time) (perSecond float64, known bool) {
	perSecond, known = q.flow.capacity(now)
	v := q.view(now)
	return perSecond + v.capacity, known || v.known
}

// drain returns the part of the capacity that is left for a request by those that arrive before it.
func (q *Queue) drain(r *Request, capacity float64, now time.Time) float64 {
	inclusive := r.class.late()
	left := capacity - q.flow.arrivalRate(r.Rank, inclusive, now)
	for rank, rate := range q.view(now).arrivals {
		if rank < r.Rank || inclusive && rank == r.Rank {
			left -= rate
		}
	}
	return left
}

// peersWork returns the work that waits at other daemons before a request, by what it precedes the
// request.
func (q *Queue) peersWork(r *Request, now time.Time) workAhead {
	var sum workAhead
	for c, work := range q.view(now).classes {
		switch {
		case c.rank < r.Rank:
			if r.yieldsTo(c.class) {
				sum.higher += work
			}
		case c.rank == r.Rank && c.class < r.class:
			sum.earlier += work
		case c.rank == r.Rank && c.class == r.class:
			sum.own += work
		}
	}
	return sum
}

// hold returns how long a request yields to those that precede it at other daemons: the time in
// which these are expected to be admitted. Each daemon tries its first requests when it is their
// turn among those of all daemons, without a message for each turn.
func (q *Queue) hold(r *Request, now time.Time) time.Duration {
	if len(q.peers) == 0 {
		return 0
	}
	work := 0.0
	for _, c := range q.view(now).fresh {
		switch {
		case c.rank > r.Rank || c.rank < r.Rank && !r.yieldsTo(c.class):
		case c.due.Before(now):
			// What was due is no longer in this class.
		case c.rank < r.Rank || c.class < r.class:
			work += c.work
		case c.class == r.class && c.due.Before(r.due()):
			work += c.firstWork
		}
	}
	if work == 0 {
		return 0
	}
	capacity, _ := q.capacity(now)
	drain := max(q.drain(r, capacity, now), lowRankShare*capacity)
	d := time.Duration(min(work/max(drain, math.SmallestNonzeroFloat32), maxHold.Seconds()) * float64(time.Second))
	if d < minHold {
		return 0
	}
	return d
}

// held reports whether a request yields to those of other daemons now.
func (q *Queue) held(r *Request, now time.Time) bool {
	d := q.hold(r, now)
	switch {
	case d == 0:
		r.heldSince = time.Time{}
		return false
	case r.heldSince.IsZero():
		r.heldSince = now
	}
	return now.Sub(r.heldSince) < d
}
