package relay

import (
	"context"
	"math/bits"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/learn"
	"embertally.dev/core/queue"
)

// Bounds on what waits in a daemon: a request holds a goroutine, a connection and its body.
const (
	maxWaitingRequests = 2048
	maxWaitingBytes    = 64 << 20
)

// Intervals of admission.
const (
	// minPassInterval is the least time between two passes over the waiting requests of a service
	// that peers' loads cause: these change up to a thousand times per second. Passes that admit
	// nothing double it up to maxPassInterval, since a choice costs processor time.
	minPassInterval = 4 * time.Millisecond
	maxPassInterval = 16 * time.Millisecond
	// ownPassInterval is the same for load that this daemon removed. There are only as many such
	// passes as requests that end, and with 4 ms targets that take 5 ms stood idle half the time.
	ownPassInterval = time.Millisecond
	// tickInterval is the interval for rejecting requests that can no longer be served, and for a
	// pass without a known cause: not everything that frees capacity is reported.
	tickInterval = 25 * time.Millisecond
	// maxTurn is how long the others wait for a request whose turn it is: the query to another
	// daemon takes longer.
	maxTurn = 20 * time.Millisecond
)

// admission lets requests without a target wait, in one queue per service, and gives them turns to
// try again when capacity may have become available. Use newAdmission.
type admission struct {
	options *Options
	// waiting is the number of waiting requests, for a check without a lock.
	waiting atomic.Int64
	// peersWait is set while other daemons report waiting requests.
	peersWait atomic.Bool
	// changes counts the calls of capacityChanged, so that none is missed between an attempt to find
	// capacity and the wait for it.
	changes atomic.Uint64

	queuesMu sync.Mutex
	limits   queue.Limits             // guarded by queuesMu
	queues   map[string]*serviceQueue // by service; guarded by queuesMu
	suspends suspendDetector          // guarded by queuesMu
}

// newAdmission returns an admission without requests.
func newAdmission(o *Options) *admission {
	return &admission{
		options: o, queues: map[string]*serviceQueue{}, suspends: newSuspendDetector(),
		limits: queue.Limits{MaxRequests: maxWaitingRequests, MaxBytes: maxWaitingBytes},
	}
}

// serviceQueue is the queue of one service. Its fields are guarded by queuesMu.
//
// Only one request at a time has its turn. In a pass, the first request of each kind tries, in
// order, and after each that succeeds the next one.
type serviceQueue struct {
	admission *admission
	queue     *queue.Queue
	waiters   map[*queue.Request]*waiter
	// turn is the waiter that is trying since turnAt; nil if there is no pass.
	turn   *waiter
	turnAt time.Time
	// failedKinds are the kinds that found no capacity in this pass, and admitted is set if the pass
	// admitted a request.
	failedKinds map[string]bool
	admitted    bool
	// pending is set if capacity may have become available since the last pass began, and own if
	// this daemon removed load. interval is the time between passes for other causes, and passEnd
	// when the last one ended.
	pending, own bool
	interval     time.Duration
	passEnd      time.Time
	// passAt is when a timer begins a pass; zero if none runs. tickTimer is set while a timer runs
	// that begins a tick.
	passAt    time.Time
	tickTimer bool
}

// waiter is a request as the admission knows it.
type waiter struct {
	service *serviceQueue
	request queue.Request
	// notify receives after each change of the fields below; its capacity is 1.
	notify chan struct{}
	// hasTurn is set when the request may try. Guarded by queuesMu.
	hasTurn bool
	// rejection is set when the request may wait no longer. If it has its turn at that time and finds a
	// target, that counts. Guarded by queuesMu.
	rejection *queue.Rejection
}

// signal wakes the request's goroutine.
func (w *waiter) signal() {
	select {
	case w.notify <- struct{}{}:
	default:
	}
}

// register records the arrival of a request.
func (a *admission) register(service string, r queue.Request, now time.Time) *waiter {
	a.queuesMu.Lock()
	defer a.queuesMu.Unlock()
	w := &waiter{service: a.queueOf(service), request: r, notify: make(chan struct{}, 1)}
	w.service.queue.Register(&w.request, now)
	return w
}

// queueOf returns the queue of a service. It is called with queuesMu held.
func (a *admission) queueOf(service string) *serviceQueue {
	s := a.queues[service]
	if s == nil {
		s = &serviceQueue{
			admission: a, queue: queue.New(&a.limits, a.options.Disabled.Queue), waiters: map[*queue.Request]*waiter{},
			failedKinds: map[string]bool{}, interval: minPassInterval,
		}
		a.queues[service] = s
	}
	return s
}

// mayTry reports whether a request that does not wait may try before those that do.
func (a *admission) mayTry(w *waiter) bool {
	if a.waiting.Load() == 0 && !a.peersWait.Load() {
		return true
	}
	a.queuesMu.Lock()
	defer a.queuesMu.Unlock()
	s := w.service
	return s.queue.MayTry(&w.request, s.turn != nil || !s.passAt.IsZero(), time.Now())
}

// admit records that a request got a target.
func (a *admission) admit(w *waiter, now time.Time) {
	a.queuesMu.Lock()
	defer a.queuesMu.Unlock()
	s := w.service
	w.rejection = nil
	s.queue.Admit(&w.request, now)
	s.admitted = s.admitted || s.turn == w
	s.remove(w, now)
}

// requestsWait reports whether requests of a service wait.
func (a *admission) requestsWait(service string) bool {
	if a.waiting.Load() == 0 {
		return false
	}
	a.queuesMu.Lock()
	defer a.queuesMu.Unlock()
	s := a.queues[service]
	return s != nil && s.queue.Len() > 0
}

// leave ends the wait of a request. It does nothing for one that does not wait.
func (a *admission) leave(w *waiter) {
	a.queuesMu.Lock()
	defer a.queuesMu.Unlock()
	now := time.Now()
	w.service.queue.Leave(&w.request, now)
	w.service.remove(w, now)
}

// enqueue makes a request wait that found no target, or ends its turn if it already waits. changes is
// the value of a.changes before it tried. prepare updates the request before it is added. The
// verdict tells whether it waits.
func (a *admission) enqueue(w *waiter, changes uint64, prepare func(*queue.Request)) queue.Verdict {
	a.queuesMu.Lock()
	defer a.queuesMu.Unlock()
	now, s := time.Now(), w.service
	w.hasTurn = false
	if w.request.Waiting() {
		if s.turn == w {
			s.failedKinds[w.request.Kind] = true
			s.endTurn(now)
		}
		return queue.Verdict{Waits: true}
	}
	if w.rejection != nil {
		return queue.Verdict{ReturnAt: w.rejection.ReturnAt}
	}
	prepare(&w.request)
	verdict, rejected := s.queue.Wait(&w.request, now)
	if verdict.Waits {
		// If one of the rejected has its turn, the turn may go to this request.
		s.waiters[&w.request] = w
	}
	for _, r := range rejected {
		s.reject(r, now)
	}
	a.countWaiting()
	if !verdict.Waits {
		return verdict
	}
	s.startTick()
	if changes != a.changes.Load() {
		s.wake(now)
	}
	return verdict
}

// await waits until a request has its turn, and reports whether it does. Otherwise ctx has ended or
// the request is rejected. If recheck is not 0, capacity is expected after that time.
func (a *admission) await(ctx context.Context, w *waiter, recheck time.Duration) (*queue.Rejection, bool) {
	var due <-chan time.Time
	if recheck > 0 && recheck < tickInterval {
		timer := time.NewTimer(recheck)
		defer timer.Stop()
		due = timer.C
	}
	for {
		select {
		case <-ctx.Done():
			return nil, false
		case <-due:
			a.capacityChanged(false)
		case <-w.notify:
			if rejection, hasTurn := a.outcome(w); hasTurn || rejection != nil {
				return rejection, hasTurn
			}
		}
	}
}

// outcome returns how a wait ended.
func (a *admission) outcome(w *waiter) (*queue.Rejection, bool) {
	a.queuesMu.Lock()
	defer a.queuesMu.Unlock()
	return w.rejection, w.hasTurn
}

// capacityChanged begins passes over the waiting requests, because a target may have capacity. own is
// set if this daemon removed load from it.
func (a *admission) capacityChanged(own bool) {
	a.changes.Add(1)
	if a.waiting.Load() == 0 {
		return
	}
	a.queuesMu.Lock()
	defer a.queuesMu.Unlock()
	now := time.Now()
	for _, s := range a.queues {
		s.own = s.own || own
		s.wake(now)
	}
}

// QueuePart is the part of heartbeats in which daemons report what waits.
type QueuePart struct{ Relay *Relay }

// Collect returns this daemon's reports by service, or nil.
func (part QueuePart) Collect(bool) any {
	a := part.Relay.admission
	a.queuesMu.Lock()
	defer a.queuesMu.Unlock()
	now := time.Now()
	var out map[string]*queue.Report
	waits := false
	for service, s := range a.queues {
		if r := s.queue.Report(now); r != nil {
			if out == nil {
				out = map[string]*queue.Report{}
			}
			out[service] = r
		}
		waits = waits || s.queue.PeersWait(now)
	}
	a.peersWait.Store(waits)
	if out == nil {
		return nil
	}
	return out
}

// Told is called after the result of Collect was sent.
func (part QueuePart) Told() {
	a := part.Relay.admission
	a.queuesMu.Lock()
	defer a.queuesMu.Unlock()
	for _, s := range a.queues {
		s.queue.Reported()
	}
}

// Receive records a peer's reports.
func (part QueuePart) Receive(peer string, raw []byte) {
	var reports map[string]*queue.Report
	t := part.Relay.Table()
	if err := msgpack.Unmarshal(raw, &reports); err != nil || t == nil {
		// A peer of another version; its requests are served without regard to order.
		return
	}
	a := part.Relay.admission
	a.queuesMu.Lock()
	defer a.queuesMu.Unlock()
	for service, r := range reports {
		if r == nil || t.Service(service) == nil {
			continue
		}
		s, now := a.queueOf(service), time.Now()
		s.queue.Receive(peer, r, now)
		if s.queue.PeersWait(now) {
			a.peersWait.Store(true)
		}
	}
}

// countWaiting updates the number of waiting requests. It is called with queuesMu held.
func (a *admission) countWaiting() { a.waiting.Store(int64(a.limits.Requests())) }

// remove forgets a request that no longer waits.
func (s *serviceQueue) remove(w *waiter, now time.Time) {
	if s.waiters[&w.request] == nil {
		return
	}
	delete(s.waiters, &w.request)
	s.admission.countWaiting()
	if s.turn == w {
		s.endTurn(now)
	}
}

// reject tells a request that it no longer waits.
func (s *serviceQueue) reject(r queue.Rejection, now time.Time) {
	w := s.waiters[r.Request]
	if w == nil {
		return
	}
	w.rejection = &r
	w.signal()
	s.remove(w, now)
}

// wake begins a pass as soon as one may begin.
func (s *serviceQueue) wake(now time.Time) {
	if s.queue.Len() == 0 {
		return
	}
	s.pending = true
	if s.turn != nil {
		if now.Sub(s.turnAt) >= maxTurn {
			s.failedKinds[s.turn.request.Kind] = true
			s.endTurn(now)
		}
		// The end of the pass begins the next one.
		return
	}
	interval := s.interval
	if s.own {
		interval = ownPassInterval
	}
	switch due := s.passEnd.Add(interval); {
	case !now.Before(due):
		s.begin(now)
	case s.passAt.IsZero() || due.Before(s.passAt):
		s.passAt = due
		time.AfterFunc(due.Sub(now), s.runPass)
	}
}

// runPass begins a pass if one is due.
func (s *serviceQueue) runPass() {
	s.admission.queuesMu.Lock()
	defer s.admission.queuesMu.Unlock()
	now := time.Now()
	if s.passAt.IsZero() || now.Before(s.passAt) {
		// A timer for an earlier pass has begun it.
		return
	}
	s.passAt = time.Time{}
	if s.pending {
		s.wake(now)
	}
}

// begin begins a pass.
func (s *serviceQueue) begin(now time.Time) {
	s.pending, s.own, s.admitted = false, false, false
	clear(s.failedKinds)
	s.endTurn(now)
}

// endTurn gives the turn to the next request of the pass, or ends the pass.
func (s *serviceQueue) endTurn(now time.Time) {
	s.turn = nil
	if next := s.queue.Next(now, func(kind string) bool { return s.failedKinds[kind] }); next != nil {
		s.turn, s.turnAt = s.waiters[next], now
		s.turn.hasTurn = true
		s.turn.signal()
		return
	}
	if s.admitted {
		s.interval = minPassInterval
	} else {
		s.interval = min(2*s.interval, maxPassInterval)
	}
	s.passEnd = now
	if s.pending {
		s.wake(now)
	}
}

// startTick makes sure that ticks run.
func (s *serviceQueue) startTick() {
	if !s.tickTimer {
		s.tickTimer = true
		time.AfterFunc(tickInterval, s.runTick)
	}
}

// runTick rejects the requests that can no longer be served, and begins a pass.
func (s *serviceQueue) runTick() {
	s.admission.queuesMu.Lock()
	defer s.admission.queuesMu.Unlock()
	now := time.Now()
	s.tickTimer = false
	if s.admission.suspends.sinceLast() > 0 {
		s.admission.releaseAll(now)
	}
	for _, r := range s.queue.Expire(now) {
		s.reject(r, now)
	}
	if s.queue.Len() > 0 {
		s.startTick()
		s.wake(now)
	}
}

// releaseAll lets all requests try after a suspension of the box, in which their times have passed
// without the queue's clock. Those that find no target wait again.
func (a *admission) releaseAll(now time.Time) {
	for _, s := range a.queues {
		for r, w := range s.waiters {
			s.queue.Leave(r, now)
			w.hasTurn = true
			w.signal()
		}
		clear(s.waiters)
		s.turn = nil
	}
	a.countWaiting()
}

// awaitTurn waits until the request may try again, and reports whether it may. recheck is the time
// after which capacity is known to return, or 0, and changes is admission.changes before it tried.
func (p *proxiedRequest) awaitTurn(ctx context.Context, recheck time.Duration, changes uint64) bool {
	if p.relay.options.Disabled.Waiting {
		return false
	}
	queues, stats := p.relay.admission, p.relay.options.Stats
	if p.queued.IsZero() {
		p.queued = time.Now()
	}
	verdict := queues.enqueue(p.waiter, changes, p.prepareWait)
	if !verdict.Waits {
		p.returnAt = verdict.ReturnAt
		p.note("rejected by the queue: expected wait %s", verdict.Expected.Round(time.Millisecond))
		stats.QueueRejected.Inc()
		return false
	}
	rejection, hasTurn := queues.await(ctx, p.waiter, recheck)
	p.relay.hedgeGate.recordWait(p.service, time.Now())
	if rejection != nil && !hasTurn {
		p.returnAt = rejection.ReturnAt
		p.note("rejected by the queue while it waited")
		stats.QueueRejected.Inc()
	}
	return hasTurn
}

// noteWait records how long the request has waited, once.
func (p *proxiedRequest) noteWait() {
	if p.queued.IsZero() {
		return
	}
	took, r := time.Since(p.queued), &p.waiter.request
	p.queued = time.Time{}
	p.relay.options.Stats.QueueSeconds.Update(took.Seconds())
	p.note("waited %s, rank %d%s%s", took.Round(time.Millisecond), r.Rank,
		map[bool]string{true: ", late"}[r.Late()], map[bool]string{true: ", returned as promised"}[r.Returning()])
}

// newWaiter registers the request with the admission.
func (p *proxiedRequest) newWaiter() *waiter {
	r := queue.Request{
		Rank: p.priority(), Organisation: p.organisationName(), Bytes: p.bodyBytes,
		Digest: queue.Digest(p.sent.Request),
	}
	p.prepareWait(&r)
	return p.relay.admission.register(p.service, r, time.Now())
}

// prepareWait sets what the queue needs to know of the request now.
func (p *proxiedRequest) prepareWait(r *queue.Request) {
	now := time.Now()
	e := p.estimate(now)
	expected := e.Time(learn.Factors{OwnTokens: p.meta.PromptTokens - p.sharedTokens()})
	typical := time.Duration(e.Quantile(minOnTimeProbability) * float64(expected))
	r.Work = expected.Seconds()
	r.LatestStart = p.answerDeadline().Add(-max(typical, minAttemptTime))
	r.StartBy = p.start.Add(p.route.LatencyObjective - typical)
	if p.route.LatencyObjective == 0 || r.StartBy.After(r.LatestStart) {
		r.StartBy = r.LatestStart
	}
	r.Kind = p.capacityKind()
}

// capacityKind names the requests that may go to the same targets and need the same capacity.
func (p *proxiedRequest) capacityKind() string {
	// Prompts of similar length need about as much room.
	kind := p.route.Name + "\x00" + p.meta.Model + "\x00" + strconv.Itoa(bits.Len(uint(max(0, p.meta.PromptTokens))))
	if len(p.regions) > 0 {
		kind += "\x00" + p.organisationName()
	}
	if len(p.tried) > 0 {
		// It is excluded from targets that others may use.
		kind += "\x00" + p.meta.AttemptID
	}
	return kind
}
