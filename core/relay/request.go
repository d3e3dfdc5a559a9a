package relay

import (
	"context"
	"net/http"
	"time"

	"embertally.dev/core/cache"
	"embertally.dev/core/canary"
	"embertally.dev/core/clock"
	"embertally.dev/core/entry"
	"embertally.dev/core/event"
	"embertally.dev/core/learn"
	"embertally.dev/core/memory"
	"embertally.dev/core/poison"
	"embertally.dev/core/roster"
	"embertally.dev/core/table"
)

// proxiedRequest is the state of one request while it is relayed. It is used by one goroutine.
type proxiedRequest struct {
	relay    *Relay
	w        http.ResponseWriter
	r        *http.Request
	start    time.Time
	deadline time.Time
	suspends suspendDetector

	// meta is the metadata sent by the caller.
	meta         RequestMeta
	route        *table.Route
	organisation *table.Organisation
	// scope names the callers that share cached segments with this one.
	scope   table.Scope
	table   *table.Table
	regions regions
	body    []byte
	// holdings are the bytes that are held for the request until it ends.
	holdings []*memory.Holding
	// sent is what crashes of targets are counted for; zero until the body is read.
	sent    poison.Sent
	service string
	// bodyBytes is the size of the body, and originDomain the failure domain of the daemon that
	// received the request.
	bodyBytes    int
	originDomain string
	// versions restricts the target versions that the request may go to.
	versions canary.VersionFilter
	// remote is set if another daemon sends the request and this one only chooses the target.
	remote bool
	// ownerQueried is when another daemon was last queried for a choice.
	ownerQueried time.Time
	// cellsQueried is when other cells were last queried for a target.
	cellsQueried time.Time
	// permitQueried is when other daemons were last queried for a permit or a slot.
	permitQueried time.Time

	// tried counts the attempts at each target, by ID.
	tried map[string]int
	// rejectedAt holds the addresses of the processes that rejected the request, each of which may be listed by several IDs.
	rejectedAt map[string]bool
	// ownsID is set once the request, which may run once, was admitted, so that no other one with its ID is.
	ownsID bool
	// attempts counts the attempts that reached a target or may have, once they have ended.
	attempts int
	// executions counts the attempts that a target may have executed, each from before its first byte is written.
	// Only retract decreases it.
	executions int
	// slowOpens counts the attempts that were abandoned because the connection was slow to open, and
	// unopened those whose connection failed to open.
	slowOpens, unopened int
	// lastTarget is the target of the last attempt.
	lastTarget *roster.Target
	// headerSent is set once the header of a response has been passed on.
	headerSent bool
	// lastEventID is the ID of the last stream event that the caller has received.
	lastEventID string
	// unnumbered is set while the last event passed on had no ID, and unordered once the ID of one was no number or not higher
	// than the one before. No target can continue the stream then, since lastEventID does not tell what the caller has.
	unnumbered, unordered bool
	// recordedAt is when the version of the targets that the stream is bound to was last recorded; zero before that.
	recordedAt clock.Time
	// originUnknown is set once events were passed on of a target whose version was not known.
	originUnknown bool
	// firstAt is when the first event or the header of a response was passed on; zero before that.
	firstAt time.Time
	// skipped lists targets that the last choice skipped for their self-reported state, with the
	// reasons.
	skipped []string
	// sharedTarget is a target where other daemons may have free slots, as of the last choice; nil if there
	// is none.
	sharedTarget *roster.Target
	// full is the number of targets that the last choice found full, notOpen that of those to which
	// connections are only being opened.
	full, notOpen int
	// rateLimited is a target that the last choice skipped for its rate limit, or nil.
	rateLimited *roster.Target
	// expectedWait is the expected time to an answer from the last choice. Without a choice it is
	// the time until a target becomes available.
	expectedWait time.Duration
	// copying is the policy for the copies of the choice that is being made.
	copying copyPolicy
	// waiter is the request as its service's queue knows it; nil before the first choice.
	waiter *waiter
	// queued is when the request began to wait for its next choice; zero if it has not waited.
	queued time.Time
	// returnAt is when a request that the queue rejected may return; zero if that is not known.
	returnAt time.Time
	// forecast is the expectation recorded for the first attempt; nil before it.
	forecast *event.Forecast
	// complete is set once a whole answer, or a refusal, has been passed on.
	complete bool
	// notes are the decisions so far, for the log line.
	notes []string
}

// answerDeadline returns the time by which the caller must have the answer or, of a stream, its first
// event.
func (p *proxiedRequest) answerDeadline() time.Time {
	if t := p.route.FirstEventTimeout; t > 0 && !p.headerSent {
		if limit := p.start.Add(t); limit.Before(p.deadline) {
			return limit
		}
	}
	return p.deadline
}

// deadlineMargin is how long after the deadline a target's own final response is still accepted.
// The caller contract allows half a second.
const deadlineMargin = 60 * time.Millisecond

// run sends the request until it is answered, or returns the refusal.
func (p *proxiedRequest) run() *entry.Refusal {
	p.service = p.drawService()
	p.lastEventID = p.meta.LastEventID
	ctx, cancel := context.WithDeadline(p.r.Context(), p.deadline.Add(deadlineMargin))
	defer cancel()
	defer context.AfterFunc(p.relay.ended, cancel)()
	if refusal := p.bindResumed(ctx); refusal != nil {
		return refusal
	}
	if refusal := p.refuseInvalidPrompt(); refusal != nil {
		return refusal
	}
	if !p.versions.Bound {
		p.versions = p.relay.options.Canary.Choose(p.service)
	}
	p.relay.recordArrival(p.service, p.relay.options.Costs.Utility(p.meta.PromptTokens), p.start)
	var failed *bufferedResponse
	for {
		c, reason := p.waitForChoice(ctx)
		if c == nil {
			if reason == noneAnswers && p.relay.options.Pool.Partitioned() {
				// They may answer at other boxes.
				reason = p.unreachableReason()
			}
			return p.giveUp(failed, reason)
		}
		p.lastTarget = c.target
		p.recordForecast(c)
		p.tried[c.target.ID()]++
		out, answer := p.attempt(ctx, c)
		p.note("%s=%s", p.lastTarget.ID(), out)
		if answer != nil {
			failed = answer
		}
		switch out {
		case outcomeDone:
			p.complete = true
			return nil
		case outcomeCallerDisconnected, outcomeTruncated:
			return nil
		case outcomeTimedOut:
			return p.giveUp(failed, "the time is up")
		case outcomeStopped:
			return p.giveUp(failed, daemonStops)
		case outcomeUnavailable:
			// While the target is unavailable it is not eligible anyway.
			p.uncountAttempt(c.target.ID())
		case outcomeInvalid:
			return p.giveUp(failed, "the attempt would break an invariant")
		case outcomeSlowOpen:
			// maxSlowOpens bounds their number.
		case outcomeNotSent:
			// The target received nothing, so another one may serve the request.
			if p.unopened++; p.unopened >= maxUnreachable {
				return p.giveUp(failed, p.unreachableReason())
			}
		case outcomeRejected, outcomeIncomplete, outcomeFailed:
			if !p.mayRetry(out) {
				return p.giveUp(failed, "it may not be sent again")
			}
			p.versions = p.versions.WithoutCanary()
		}
	}
}

// daemonStops is the reason for giving up requests that are left at the end of a graceful shutdown.
const daemonStops = "the daemon stops"

// unreachableReason returns why no connection opens. A box that is partitioned, and for which no other one
// opens connections, expects to remain so for as long as it has been.
func (p *proxiedRequest) unreachableReason() string {
	pool := p.relay.options.Pool
	if !pool.Partitioned() {
		return "no target can be reached"
	}
	p.expectedWait = pool.SinceArrival()
	return "this box reaches no target, nor does another for it"
}

// hold returns a holding that is released when the request ends.
func (p *proxiedRequest) hold(kind memory.Kind) *memory.Holding {
	h := p.relay.options.Pool.Memory.Hold(kind)
	p.holdings = append(p.holdings, h)
	return h
}

// releaseHoldings gives back what hold returned.
func (p *proxiedRequest) releaseHoldings() {
	for _, h := range p.holdings {
		h.Release()
	}
}

// attempted reports whether the request was sent to a target, or was rejected by the process at its address.
func (p *proxiedRequest) attempted(t *roster.Target, address string) bool {
	return p.tried[t.ID()] > 0 || p.rejectedAt[address]
}

// uncountAttempt takes back one attempt at a target.
func (p *proxiedRequest) uncountAttempt(id string) {
	if p.tried[id]--; p.tried[id] <= 0 {
		delete(p.tried, id)
	}
}

// crashesTargets is the reason for refusing a request that crashes targets.
const crashesTargets = "targets end of it"

// waitForChoice chooses a target. If none is worth using now, the request waits in the queue of its
// service as long as it may still be answered.
func (p *proxiedRequest) waitForChoice(ctx context.Context) (*choice, string) {
	isPermitWaiter := false
	defer func() {
		if isPermitWaiter {
			p.relay.permitWaiters.leave(p.service)
		}
	}()
	queues := p.relay.admission
	if p.waiter == nil {
		p.waiter = p.newWaiter()
	}
	defer queues.leave(p.waiter)
	mayTry := queues.mayTry(p.waiter)
	for {
		p.adjustForSuspend()
		if p.blocked() {
			// It became blocked while it waited, or by the crash that it has just caused.
			return nil, crashesTargets
		}
		reason, recheck, changes := allFull, time.Duration(0), uint64(0)
		if mayTry {
			changes = queues.changes.Load()
			var c *choice
			c, reason = p.choose(ctx)
			if c != nil {
				p.expectedWait = c.evaluation.Expected
			}
			if c != nil && (c.evaluation.CallerUtility > 0 || p.relay.options.Disabled.Refusals) {
				if !p.acquire(c, time.Now()) {
					c.discard()
					continue
				}
				queues.admit(p.waiter, time.Now())
				p.noteWait()
				p.noteSkipped()
				p.recordChoice(c, time.Now())
				return c, reason
			}
			c.discard()
			switch {
			case c == nil && reason == allUnderPushback && p.likelyOnTime(p.expectedWait):
				// The first pushback ends soon enough.
				recheck = p.expectedWait
			case c == nil && reason == allRateLimited && p.likelyOnTime(p.expectedWait) && p.becomePermitWaiter(&isPermitWaiter):
				// The first permit comes soon enough, and no other request waits for it.
				recheck = p.expectedWait
			case c == nil && reason != allFull:
				return nil, reason
			}
		}
		if !p.awaitTurn(ctx, recheck, changes) {
			p.noteWait()
			return nil, allFull
		}
		mayTry = true
	}
}

// minOnTimeProbability is the probability of an answer within the latency objective below which a
// request is not expected to be on time.
const minOnTimeProbability = 0.5

// likelyOnTime reports whether the answer is likely to meet the latency objective if a target takes
// the request after a delay.
func (p *proxiedRequest) likelyOnTime(delay time.Duration) bool {
	now := time.Now().Add(delay)
	e := p.estimate(now)
	expected := e.Time(learn.Factors{OwnTokens: p.meta.PromptTokens - p.sharedTokens()})
	return e.Probability((p.route.LatencyObjective-now.Sub(p.start)).Seconds()/expected.Seconds()) >= minOnTimeProbability
}

// Bounds on the attempts of one request.
const (
	// maxRejections is how many targets may reject a request before it is given up: more attempts
	// would only add to an overload.
	maxRejections = 2
	// maxUnreachable is how many attempts may fail before the request is sent.
	maxUnreachable = 4
	// minAttemptTime is the least remaining time for an attempt: with less, a target would only
	// discard the request.
	minAttemptTime = 20 * time.Millisecond
	// maxCrashes is how many target incarnations may have crashed under a request before the
	// daemons stop retrying it. Its caller may retry it once.
	maxCrashes = 2
)

// mayRetry reports whether the request may be sent again, and if so takes the retry from the
// budget.
func (p *proxiedRequest) mayRetry(out outcome) bool {
	p.adjustForSuspend()
	switch {
	case time.Until(p.deadline) < minAttemptTime:
		return false
	case p.unnumbered || p.unordered:
		p.note("not continued: the last event is not told by its ID")
		return false
	case out != outcomeRejected && !p.route.MayRepeat():
		return false
	case p.executions >= p.route.MaxAttempts:
		return false
	case p.originUnknown && p.headerSent:
		return false
	case p.attempts-p.executions > maxRejections, p.relay.options.Disabled.Retries:
		return false
	case p.blocked():
		p.note("not retried: it crashes targets")
		return false
	case out == outcomeIncomplete && p.relay.options.Poison.Crashes(p.sent.Request) >= maxCrashes:
		p.note("not retried: the request may crash targets")
		return false
	}
	if !p.relay.spendRetry(p.service) {
		p.note("the retry budget is used up")
		return false
	}
	p.relay.options.Stats.Retries.Inc()
	return true
}

// giveUp ends a request that got no response worth passing on. failed is the kept response of a
// failed attempt, or nil.
func (p *proxiedRequest) giveUp(failed *bufferedResponse, reason string) *entry.Refusal {
	p.noteSkipped()
	p.note("given up: %s", reason)
	if reason == versionGone || reason == versionLeaving {
		p.relay.options.Stats.StreamsStranded.Inc()
	}
	if p.notOpen > 0 {
		p.note("to %d of %d full targets no connection is open yet", p.notOpen, p.full)
	}
	switch {
	case p.headerSent:
		return nil
	case failed != nil:
		failed.write(p)
		p.complete = true
		return nil
	case p.executions == 0:
		if refusal := p.refuseBlocked(); refusal != nil {
			return refusal
		}
		// A block that has been lifted since the choice causes no refusal.
		if !p.returnAt.IsZero() {
			return entry.NewRefusal(http.StatusServiceUnavailable, entry.CodeNoTarget, entry.NotRun,
				"no target takes the request now: "+reason, time.Until(p.returnAt))
		}
		if endsAtKnownTime(reason) {
			return p.refuseUntil(entry.CodeNoTarget, "no target takes the request now: "+reason, p.expectedWait)
		}
		return p.refuseFor(entry.CodeNoTarget, "no target takes the request now: "+reason, p.expectedWait)
	case !time.Now().Before(p.deadline):
		return entry.NewRefusal(http.StatusGatewayTimeout, entry.CodeTimeout, entry.Unknown, "no answer came in time", 0)
	}
	return p.outcomeUnknown()
}

// outcomeUnknown returns the refusal of a request that a target may have executed.
func (p *proxiedRequest) outcomeUnknown() *entry.Refusal {
	return entry.NewRefusal(http.StatusBadGateway, entry.CodeOutcomeUnknown, entry.Unknown, "the target gave no answer that can be passed on; whether it ran is not known", 0)
}

// cacheSalt returns the cache salt of the request's segments for a version of the weights.
func (p *proxiedRequest) cacheSalt(version int64) cache.SegmentSalt {
	return cache.SegmentSalt{Model: p.meta.Model, Version: version, Scope: p.scope}
}
