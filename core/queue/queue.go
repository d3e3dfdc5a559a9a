// Package queue decides about requests that wait for capacity of a service: which one is tried
// next, which ones are rejected because they could not be served in time, and when a rejected
// caller may return.
//
// All decisions are pure: the time is an argument, and there are no goroutines, locks or messages.
// The package must not know what capacity is (the relay tries a request and reports the result),
// how requests are sent, or how daemons exchange reports.
package queue

import (
	"slices"
	"time"
)

// Request describes one request to a Queue. The fields must not be changed while it waits.
type Request struct {
	// Kind names requests that need the same capacity: if the first of them finds none, the others
	// are not tried.
	Kind string
	// Rank is the priority; 0 is the most urgent.
	Rank int
	// Organisation is the caller's. Within a rank, organisations share the capacity.
	Organisation string
	// Digest identifies a request that returns after a rejection; zero if there is none.
	Digest Digest
	// Work is what the request takes of the service, in any unit that is the same for all its
	// requests.
	Work float64
	// Bytes is the memory that the request holds while it waits.
	Bytes int
	// StartBy is the time until which it can start and still be likely on time, LatestStart the
	// same for an answer before its deadline. LatestStart is not before StartBy.
	StartBy, LatestStart time.Time

	class class
	// sequence numbers the arrivals at this daemon.
	sequence uint64
	// group is where the request waits; nil if it doesn't.
	group *group
	// since is when the request began to wait.
	since time.Time
	// heldSince is when the request began to yield to requests of other daemons; zero if it doesn't.
	heldSince time.Time
}

// Waiting reports whether the request is in a queue.
func (r *Request) Waiting() bool { return r.group != nil }

// Late reports whether the request can no longer be on time, as far as the queue has noticed.
func (r *Request) Late() bool { return r.class.late() }

// Returning reports whether the request returned at the time that a rejection promised.
func (r *Request) Returning() bool { return r.class == returningOnTime || r.class == returningLate }

// class is the precedence of a request within its rank.
type class int

// Classes in the order in which they are served. Returning requests were promised capacity that the
// calendar expected to be left over by others.
const (
	returningOnTime class = iota
	returningLate
	newOnTime
	newLate
	numClasses
)

// late reports whether requests of the class can only be late.
func (c class) late() bool { return c == returningLate || c == newLate }

// asLate returns the class of a request that can no longer be on time.
func (c class) asLate() class {
	if c == returningOnTime || c == returningLate {
		return returningLate
	}
	return newLate
}

// due returns the time by which the request must start in its class.
func (r *Request) due() time.Time {
	if r.class.late() {
		return r.LatestStart
	}
	return r.StartBy
}

// groupKey identifies the requests among which only class and due time decide.
type groupKey struct {
	rank         int
	organisation string
	kind         string
}

// group holds the waiting requests of one key.
type group struct {
	key groupKey
	// byClass holds the requests of each class in the order in which they are served, and work
	// their work.
	byClass [numClasses][]*Request
	work    [numClasses]float64
}

// first returns the first request, or nil.
func (g *group) first() *Request {
	for _, list := range g.byClass {
		if len(list) > 0 {
			return list[0]
		}
	}
	return nil
}

// empty reports whether no request waits.
func (g *group) empty() bool { return g.first() == nil }

// Limits bounds what waits in all queues of a daemon together. It must be used by one goroutine at
// a time.
type Limits struct {
	// MaxRequests bounds the number of requests, MaxBytes the sum of Request.Bytes.
	MaxRequests, MaxBytes int

	requests, bytes int
}

// Requests returns the number of waiting requests.
func (l *Limits) Requests() int { return l.requests }

// exceeded reports whether too much waits.
func (l *Limits) exceeded() bool { return l.requests > l.MaxRequests || l.bytes > l.MaxBytes }

// Queue holds the waiting requests of one service at one daemon. It must be used by one goroutine
// at a time. Use New.
type Queue struct {
	limits *Limits
	// byArrival means that requests are tried in the order of arrival and nothing is promised.
	byArrival bool

	groups   map[groupKey]*group
	count    int
	sequence uint64
	// ranks holds the state of the ranks that had requests lately.
	ranks    map[int]*rankState
	flow     flow
	calendar calendar
	// peers holds the last report of each peer, and fleet their sums. shortAt is when requests last
	// waited here or at a peer.
	peers   map[string]peerReport
	fleet   fleetView
	shortAt time.Time
}

// New returns an empty queue. With byArrival it serves in the order of arrival only.
func New(limits *Limits, byArrival bool) *Queue {
	return &Queue{
		limits: limits, byArrival: byArrival, groups: map[groupKey]*group{}, ranks: map[int]*rankState{},
		calendar: newCalendar(), peers: map[string]peerReport{},
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.count }

// Register records the arrival of a request, whether or not it will have to wait, and recognises a
// request that returns as promised. It is called once, before other methods get the request.
func (q *Queue) Register(r *Request, now time.Time) {
	q.sequence++
	r.sequence, r.class = q.sequence, newOnTime
	if q.byArrival {
		r.Rank, r.Organisation = 0, ""
		return
	}
	if q.calendar.redeem(r.Digest, now) {
		r.class = returningOnTime
	}
	q.flow.arrived(r, now)
}

// precedes reports whether a comes before b.
func (q *Queue) precedes(a, b *Request) bool {
	switch {
	case q.byArrival:
		return a.sequence < b.sequence
	case a.Rank != b.Rank:
		return a.Rank < b.Rank
	case a.class != b.class:
		return a.class < b.class
	case a.Organisation != b.Organisation:
		if x, y := q.rank(a.Rank).start(a.Organisation), q.rank(b.Rank).start(b.Organisation); x != y {
			return x < y
		}
	}
	if c := a.due().Compare(b.due()); c != 0 {
		return c < 0
	}
	return a.sequence < b.sequence
}

// MayTry reports whether a request that has not waited may be tried although others wait: none of its
// kind comes before it. With busy set, no other one may come before it either, since those are
// about to be tried. It may also have to yield to requests of other daemons.
func (q *Queue) MayTry(r *Request, busy bool, now time.Time) bool {
	if q.held(r, now) {
		return false
	}
	if q.count == 0 {
		return true
	}
	first := q.next(func(kind string) bool { return !busy && kind != r.Kind })
	return first == nil || q.ahead(r, first)
}

// ahead reports whether r comes before first, the first of other requests, with the share of lower
// ranks taken into account.
func (q *Queue) ahead(r, first *Request) bool {
	switch {
	case r.Rank < first.Rank:
		return q.rank(r.Rank).credit < first.Work
	case r.Rank > first.Rank:
		return q.rank(first.Rank).credit >= r.Work
	}
	return q.precedes(r, first)
}

// Next returns the request to be tried next, or nil. Kinds for which skip returns true are left
// out, and so are requests that yield to those of other daemons.
func (q *Queue) Next(now time.Time, skip func(kind string) bool) *Request {
	q.expireOnTime(now)
	r := q.nextUnless(skip, func(r *Request) bool { return q.held(r, now) })
	if r != nil {
		// If it finds no capacity, it yields again.
		r.heldSince = time.Time{}
	}
	return r
}

// next is Next for this daemon alone, without changes.
func (q *Queue) next(skip func(kind string) bool) *Request {
	return q.nextUnless(skip, func(*Request) bool { return false })
}

// nextUnless returns the first request of those that are neither skipped nor held.
func (q *Queue) nextUnless(skip func(kind string) bool, held func(*Request) bool) *Request {
	firstOfRank := map[int]*Request{}
	for key, g := range q.groups {
		if skip(key.kind) {
			continue
		}
		r := g.first()
		if held(r) {
			continue
		}
		if best := firstOfRank[key.rank]; best == nil || q.precedes(r, best) {
			firstOfRank[key.rank] = r
		}
	}
	return q.pickRank(firstOfRank)
}

// Verdict is the decision about a request that found no capacity.
type Verdict struct {
	// Waits is set if the request waits. Otherwise it is rejected, and ReturnAt is when capacity is
	// expected for it; zero if that is not known.
	Waits    bool
	ReturnAt time.Time
	// Expected is the expected wait.
	Expected time.Duration
}

// Wait decides whether a request that found no capacity waits, and adds it to the queue if so.
// rejected are others that no longer wait because of it.
func (q *Queue) Wait(r *Request, now time.Time) (v Verdict, rejected []Rejection) {
	if q.byArrival {
		// Without an estimate of the wait, only requests that can be on time wait.
		r.LatestStart = r.StartBy
	}
	v = q.verdict(r, now)
	if !v.Waits {
		v.ReturnAt = q.book(r, now)
		return v, nil
	}
	q.add(r, now)
	for q.limits.exceeded() && q.count > 0 {
		last := q.last()
		q.Leave(last, now)
		returnAt := q.book(last, now)
		if last == r {
			return Verdict{ReturnAt: returnAt, Expected: v.Expected}, rejected
		}
		rejected = append(rejected, Rejection{last, returnAt})
	}
	return v, rejected
}

// verdict decides whether a request waits, and sets its class.
func (q *Queue) verdict(r *Request, now time.Time) Verdict {
	if r.LatestStart.Before(now) {
		return Verdict{}
	}
	wait, known := q.expectedWait(r, now)
	if !r.StartBy.Before(now) && (q.byArrival || !known || !now.Add(wait).After(r.StartBy)) {
		return Verdict{Waits: true, Expected: wait}
	}
	if q.byArrival {
		return Verdict{}
	}
	r.class = r.class.asLate()
	wait, known = q.expectedWait(r, now)
	return Verdict{Waits: !known || !now.Add(wait).After(r.LatestStart), Expected: wait}
}

// add adds a request to its group.
func (q *Queue) add(r *Request, now time.Time) {
	key := groupKey{r.Rank, r.Organisation, r.Kind}
	g := q.groups[key]
	if g == nil {
		g = &group{key: key}
		q.groups[key] = g
	}
	q.flow.setShort(true, now)
	q.count++
	q.limits.requests++
	q.limits.bytes += r.Bytes
	r.group, r.since = g, now
	q.insert(g, r)
}

// insert inserts a request into the list of its class.
func (q *Queue) insert(g *group, r *Request) {
	list := g.byClass[r.class]
	i := len(list)
	for i > 0 && q.precedes(r, list[i-1]) {
		i--
	}
	g.byClass[r.class] = slices.Insert(list, i, r)
	g.work[r.class] += r.Work
}

// take removes a request from the list of its class.
func (g *group) take(r *Request) {
	if i := slices.Index(g.byClass[r.class], r); i >= 0 {
		g.byClass[r.class] = slices.Delete(g.byClass[r.class], i, i+1)
		g.work[r.class] -= r.Work
	}
}

// Leave removes a request that waits, because it was admitted or rejected or its caller
// disconnected. It does nothing for others.
func (q *Queue) Leave(r *Request, now time.Time) {
	g := r.group
	if g == nil {
		return
	}
	g.take(r)
	r.group, r.heldSince = nil, time.Time{}
	q.count--
	q.limits.requests--
	q.limits.bytes -= r.Bytes
	if g.empty() {
		delete(q.groups, g.key)
	}
	if q.count == 0 {
		q.flow.setShort(false, now)
	}
}

// Admit records that a request got capacity, and removes it if it waited.
func (q *Queue) Admit(r *Request, now time.Time) {
	if !q.byArrival {
		// The last admission of a shortage is part of its flow.
		q.flow.admitted(r, now)
	}
	q.Leave(r, now)
	if !q.byArrival {
		q.charge(r)
	}
}

// last returns the request that comes last.
func (q *Queue) last() *Request {
	var last *Request
	for _, g := range q.groups {
		for c := numClasses - 1; c >= 0; c-- {
			if list := g.byClass[c]; len(list) > 0 {
				if r := list[len(list)-1]; last == nil || q.precedes(last, r) {
					last = r
				}
				break
			}
		}
	}
	return last
}

// Rejection is a waiting request that no longer waits.
type Rejection struct {
	Request *Request
	// ReturnAt is when capacity is expected for it; zero if that is not known.
	ReturnAt time.Time
}

// Expire removes the requests that can no longer be answered before their deadline.
func (q *Queue) Expire(now time.Time) []Rejection {
	q.expireOnTime(now)
	var hopeless []*Request
	for _, g := range q.groups {
		for _, list := range g.byClass {
			for _, r := range list {
				if r.LatestStart.Before(now) {
					hopeless = append(hopeless, r)
				}
			}
		}
	}
	hopeless = append(hopeless, q.hopelesslyLate(now)...)
	var out []Rejection
	for _, r := range hopeless {
		if r.Waiting() {
			q.Leave(r, now)
			out = append(out, Rejection{r, q.book(r, now)})
		}
	}
	return out
}

// expireOnTime moves the requests that can no longer be on time behind those that can.
func (q *Queue) expireOnTime(now time.Time) {
	if q.byArrival {
		return
	}
	for _, g := range q.groups {
		for _, c := range []class{returningOnTime, newOnTime} {
			for len(g.byClass[c]) > 0 && g.byClass[c][0].StartBy.Before(now) {
				r := g.byClass[c][0]
				g.take(r)
				r.class = c.asLate()
				q.insert(g, r)
			}
		}
	}
}

// rejectMargin is by how much the expected wait of a late request must exceed its time before it
// stops waiting: the estimate varies, and what was expected to be served must not be rejected for
// noise.
const rejectMargin = 1.5

// hopelesslyLate returns the late requests that are not expected to be served before their deadline.
func (q *Queue) hopelesslyLate(now time.Time) []*Request {
	late := map[int][]*Request{}
	for key, g := range q.groups {
		for _, c := range []class{returningLate, newLate} {
			late[key.rank] = append(late[key.rank], g.byClass[c]...)
		}
	}
	var out []*Request
	for _, list := range late {
		slices.SortFunc(list, func(a, b *Request) int { return a.LatestStart.Compare(b.LatestStart) })
		before := 0.0
		// The work that precedes them is the same for all requests of a class; summing it up for each of
		// 2,048 requests took 5 ms per tick.
		preceding := map[class]workAhead{}
		for i, r := range list {
			ahead, found := preceding[r.class]
			if !found {
				ahead = q.precedingWork(r, false, now)
				preceding[r.class] = ahead
			}
			// What waits at other daemons is spread over the same time.
			ahead.own = before + ahead.own*float64(i)/float64(len(list))
			wait, known := q.waitBehind(r, ahead, now)
			if known && float64(wait) > rejectMargin*float64(r.LatestStart.Sub(now)) {
				out = append(out, r)
				continue
			}
			before += r.Work
		}
	}
	return out
}
