package relay

import (
	"context"
	"net/http"
	"sync"
	"time"

	"embertally.dev/core/learn"
	"embertally.dev/core/target"
)

// Bounds of hedges.
const (
	// hedgeBudgetShare is the share of the retry budget that hedges may use: the rest is left to
	// retries after failures.
	hedgeBudgetShare = 0.5
	// hedgeRecheck is the time after which a hedge that was not worthwhile is considered again, and
	// maxHedgeChecks how often it is considered.
	hedgeRecheck   = 40 * time.Millisecond
	maxHedgeChecks = 4
	// maxTimerDelay is how late a timer may be for a hedge: if it is later, this process had no
	// processor, and the response may have arrived unnoticed.
	maxTimerDelay = 20 * time.Millisecond
	// waitMemory is how long after a request waited for capacity a service gets no hedges.
	waitMemory = 500 * time.Millisecond
)

// hedgeGate records when requests last waited for capacity. The zero value is ready for use.
type hedgeGate struct {
	gateMu sync.Mutex
	// waited holds the time by service. Guarded by gateMu.
	waited map[string]time.Time
}

// recordWait records that a request of a service has waited for capacity until now.
func (h *hedgeGate) recordWait(service string, now time.Time) {
	h.gateMu.Lock()
	defer h.gateMu.Unlock()
	if h.waited == nil {
		h.waited = map[string]time.Time{}
	}
	h.waited[service] = now
}

// open reports whether no request of a service waited lately.
func (h *hedgeGate) open(service string, now time.Time) bool {
	h.gateMu.Lock()
	defer h.gateMu.Unlock()
	waited, found := h.waited[service]
	return !found || now.Sub(waited) > waitMemory
}

// hedgeDelay returns how long to wait for the first attempt's response before a second target is
// considered, and whether it is at all. While an answer within the latency objective is possible,
// that counts, and the time for which the caller waits afterwards. While a rollout is being evaluated
// there are no hedges: the statistics of its versions would lack the slowest answers.
func (p *proxiedRequest) hedgeDelay(c *choice, now time.Time) (time.Duration, bool) {
	disabled := &p.relay.options.Disabled
	if disabled.Hedges || disabled.Retries || !p.route.MayRepeat() || p.headerSent || c.onlyCandidate ||
		p.route.LatencyObjective <= 0 || p.executions+2 > p.route.MaxAttempts ||
		p.versions.TargetShare > 0 || p.versions.Canary != "" {
		return 0, false
	}
	expected, remaining := c.evaluation.Expected, p.answerDeadline().Sub(now)
	if expected <= 0 {
		return 0, false
	}
	e := p.estimate(now)
	delay := p.route.LatencyObjective - now.Sub(p.start)
	if wait := waitWithin(e, delay, expected); wait < delay {
		delay = wait
	} else {
		delay = waitWithin(e, remaining, expected)
	}
	// Before the expected time nothing is known.
	delay = max(delay, expected)
	return delay, delay+minAttemptTime < remaining
}

// waitWithin returns the time after which another target is more likely to answer within limit than
// one that has not answered: at the latest when nearly all answers have come. It returns limit if
// there is no such time.
func waitWithin(e *learn.Estimate, limit, expected time.Duration) time.Duration {
	if limit <= 0 {
		return limit
	}
	longest := time.Duration(e.Quantile(1) * float64(expected))
	return min(e.WaitBudget(limit, expected, expected, retryAdvantage), longest, limit)
}

// pendingProbability returns the probability that an attempt that was not answered after waited is
// answered within limit from its start.
func pendingProbability(e *learn.Estimate, waited, limit, expected time.Duration) float64 {
	answered := e.Probability(waited.Seconds() / expected.Seconds())
	if limit <= waited || answered >= 1 {
		return 0
	}
	return (e.Probability(limit.Seconds()/expected.Seconds()) - answered) / (1 - answered)
}

// mayHedge reports whether a second attempt is allowed now: no request of the service waits or waited
// lately, and the request has crashed no target.
func (p *proxiedRequest) mayHedge(now time.Time) bool {
	return !p.relay.admission.requestsWait(p.service) && p.relay.hedgeGate.open(p.service, now) &&
		p.relay.options.Poison.Crashes(p.sent.Request) == 0 && !p.blocked()
}

// chooseHedge returns the target of a second attempt if that is worthwhile, or nil. It asks no other
// daemon, so that a response to the first attempt is not delayed.
func (p *proxiedRequest) chooseHedge(first *flight, now time.Time) *choice {
	svc := p.table.Service(p.service)
	if svc == nil || !p.mayHedge(now) {
		return nil
	}
	c, _ := p.chooseLocal(svc, now)
	if c == nil {
		return nil
	}
	if c.eligible.probe || !p.hedgeAdvantage(first, c, now) || !p.acquire(c, now) {
		c.releaseLoad()
		return nil
	}
	if !p.relay.spendHedge(p.service) {
		p.relay.options.Roster.ReturnPermit(c.target, c.permit)
		c.releaseLoad()
		return nil
	}
	return c
}

// hedgeAdvantage reports whether a second attempt is more likely to be answered in time than the
// first one, by more than it costs.
func (p *proxiedRequest) hedgeAdvantage(first *flight, c *choice, now time.Time) bool {
	ev, costs := &c.evaluation, &p.relay.options.Costs
	if ev.CallerUtility <= 0 {
		return false
	}
	e, waited, expected := p.estimate(now), now.Sub(first.sent), first.c.evaluation.Expected
	limit, probability := p.route.LatencyObjective-now.Sub(p.start), ev.WithinObjective
	utility := costs.Utility(p.meta.PromptTokens)
	if probability <= retryAdvantage {
		limit, probability = p.answerDeadline().Sub(now), ev.BeforeDeadline
		utility *= costs.PastObjectiveShare
	}
	advantage := probability - pendingProbability(e, waited, waited+limit, expected)
	return advantage > retryAdvantage && advantage*utility > ev.CallerUtility-ev.NetUtility
}

// runner performs a flight's exchange in the background.
type runner struct {
	f    *flight
	req  *target.Request
	done chan<- struct{}
}

// run sends the request, waits for the start of the response, and closes done.
func (r runner) run() {
	r.f.exchange(r.req)
	if r.f.err == nil {
		r.f.bodyErr = r.f.resp.AwaitBody()
	}
	close(r.done)
}

// racer is a flight that is in progress in the background.
type racer struct {
	*flight
	// done is closed when the response has begun or the attempt has failed. Until then the flight
	// must not be used.
	done   chan struct{}
	cancel context.CancelFunc
	// settled is closed when a cancelled flight has ended.
	settled chan struct{}
}

// isDone reports whether the response has begun or the attempt has failed.
func (r *racer) isDone() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// launch starts a flight in the background.
func (p *proxiedRequest) launch(ctx context.Context, f *flight, req *target.Request) *racer {
	ctx, cancel := context.WithCancel(ctx)
	r := &racer{flight: f, done: make(chan struct{}), cancel: cancel, settled: make(chan struct{})}
	p.beginExecution()
	f.start(ctx)
	go runner{f, req, r.done}.run()
	return r
}

// run ends a cancelled flight: its connection is closed, so that the target stops working on it. The
// attempt is neither a success nor a failure of its target.
func (r *racer) run() {
	<-r.done
	if r.err == nil {
		r.resp.Discard()
		r.resp.Close()
	}
	r.end()
	close(r.settled)
}

// race waits for the response of an attempt, and sends the request to a second target if it does not
// come in time. The first usable response is passed on.
func (p *proxiedRequest) race(ctx context.Context, first *flight, req *target.Request, delay time.Duration) (outcome, *bufferedResponse) {
	a := p.launch(ctx, first, req)
	defer a.cancel()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	due := time.Now().Add(delay)
	for range maxHedgeChecks {
		select {
		case <-a.done:
			return p.finishFlight(a)
		case <-timer.C:
		}
		now := time.Now()
		// If the timer and another channel are ready at once, the select may have taken the timer.
		if now.Sub(due) <= maxTimerDelay && !a.isDone() && ctx.Err() == nil {
			if b := p.startHedge(ctx, a, p.chooseHedge(first, now)); b != nil {
				return p.raceTwo(a, b)
			}
		}
		due = now.Add(hedgeRecheck)
		timer.Reset(hedgeRecheck)
	}
	<-a.done
	return p.finishFlight(a)
}

// startHedge sends the request to a second target, and returns nil if it does not.
func (p *proxiedRequest) startHedge(ctx context.Context, a *racer, c *choice) *racer {
	if c == nil {
		return nil
	}
	req, err := p.targetRequest(c)
	if err != nil {
		p.relay.options.Roster.ReturnPermit(c.target, c.permit)
		c.discard()
		return nil
	}
	p.relay.options.Stats.Hedges.Inc()
	p.tried[c.target.ID()]++
	p.note("%s not answered after %s: hedge to %s", a.c.target.ID(), time.Since(a.sent).Round(time.Millisecond), c.target.ID())
	p.recordChoice(c, time.Now())
	return p.launch(ctx, p.newFlight(c), req)
}

// raceTwo waits for the first usable response of two attempts and passes it on.
func (p *proxiedRequest) raceTwo(a, b *racer) (outcome, *bufferedResponse) {
	defer b.cancel()
	winner, loser := a, b
	select {
	case <-a.done:
	case <-b.done:
		winner, loser = b, a
	}
	if p.usable(winner.flight) {
		if winner == b {
			p.relay.options.Stats.HedgesWon.Inc()
		}
		p.cancelFlight(loser)
		out, answer := p.finishFlight(winner)
		p.settle(loser)
		return out, answer
	}
	out, answer := p.finishFlight(winner)
	if outcomeRanks[out] == 0 {
		// It was passed on all the same, or the caller has disconnected.
		p.cancelFlight(loser)
		p.settle(loser)
		return out, answer
	}
	return p.finishLast(winner, loser, out, answer)
}

// finishLast finishes the second of two flights after the first one was not answered.
func (p *proxiedRequest) finishLast(first, last *racer, out outcome, answer *bufferedResponse) (outcome, *bufferedResponse) {
	p.note("%s=%s", first.c.target.ID(), out)
	<-last.done
	lastOut, lastAnswer := p.finishFlight(last)
	if lastAnswer == nil {
		lastAnswer = answer
	}
	if outcomeRanks[lastOut] == 0 || outcomeRanks[lastOut] >= outcomeRanks[out] {
		return lastOut, lastAnswer
	}
	p.note("%s=%s", last.c.target.ID(), lastOut)
	p.lastTarget = first.c.target
	return out, lastAnswer
}

// cancelFlight ends a flight whose response is not needed.
func (p *proxiedRequest) cancelFlight(r *racer) {
	p.endProbe(r.c)
	r.cancel()
	go r.run()
}

// finishFlight records the result of a flight that is done and passes it on.
func (p *proxiedRequest) finishFlight(r *racer) (outcome, *bufferedResponse) {
	defer r.end()
	return p.conclude(r.flight)
}

// settle counts a cancelled flight once it has ended.
func (p *proxiedRequest) settle(r *racer) {
	<-r.settled
	if p.retract(proofOfNothingSent(r.err)) {
		p.relay.options.Roster.ReturnPermit(r.c.target, r.c.permit)
		p.uncountAttempt(r.c.target.ID())
		p.note("%s=cancelled before sending", r.c.target.ID())
		return
	}
	p.attempts++
	p.note("%s=cancelled", r.c.target.ID())
}

// usable reports whether a response is passed on as the answer, so that another attempt is no longer
// needed.
func (p *proxiedRequest) usable(f *flight) bool {
	if f.err != nil || f.bodyErr != nil || f.resp.Status >= http.StatusInternalServerError ||
		f.resp.Status == http.StatusMisdirectedRequest {
		return false
	}
	if f.passesOnEvents() && f.resp.EndedUnmarked() {
		// A stream without an event is broken unless its framing marks the end.
		return false
	}
	meta := p.relay.options.Dialect.ParseResponse(f.resp.Status, f.resp.Header)
	signed := meta.Signed || f.resp.Status/100 != 2
	return signed && !meta.Encoded && meta.statement(p.meta.AttemptID) == saysExecuted
}

// outcomeRanks orders the outcomes of attempts that were not answered: of two, the higher one
// determines what may follow. The others have no rank.
var outcomeRanks = map[outcome]int{
	outcomeUnavailable: 1, outcomeSlowOpen: 2, outcomeNotSent: 3, outcomeRejected: 4, outcomeFailed: 5,
	outcomeIncomplete: 6, outcomeTimedOut: 7,
}
