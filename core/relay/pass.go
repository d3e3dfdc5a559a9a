package relay

import (
	"context"
	"net/http"
	"time"

	"embertally.dev/core/cache"
	"embertally.dev/core/canary"
	"embertally.dev/core/entry"
	"embertally.dev/core/event"
	"embertally.dev/core/learn"
	"embertally.dev/core/poison"
	"embertally.dev/core/roster"
	"embertally.dev/core/table"
	"embertally.dev/core/wait"
)

// pass is one request on its way. It is used by one goroutine.
type proxiedRequest struct {
	relay    *Relay
	w        http.ResponseWriter
	r        *http.Request
	start    time.Time
	deadline time.Time
	suspends suspendDetector

	meta         Ask
	route        *table.Route
	organisation *table.Organisation
	table        *table.Table
	regions      regions
	body         []byte
	// asks is the fingerprint of the request; zero until its body is read.
	digest  poison.Fingerprint
	service string
	// size is that of the body, and domain where it comes from.
	bodyBytes    int
	originDomain string
	// side says which versions of the service it may go to.
	versions canary.Side
	// far tells that another daemon sends the request: this one only decides.
	remote bool
	// homeAsked is when the home of the request's context was asked last.
	ownerQueried time.Time
	// elsewhereAsked is when other cells were asked for a target last.
	cellsQueried time.Time
	// tokenAsked is when another daemon was last asked for a target that is over its limit here.
	permitQueried time.Time

	// tried counts the sends to each target.
	tried map[string]int
	// sends counts the sends that arrived or may have, runs those of them that
	// may have run.
	attempts, executions int
	// last is the target of the last send.
	lastTarget *roster.Target
	// begun tells that the head of the answer was passed on.
	headerSent bool
	// after is the last event that the caller has.
	lastEventID string
	firstAt     time.Time
	// words are targets that the last choice passed over by what they said, and why.
	skipped []string
	// over is a target that the last choice passed over for its limit, or nil.
	rateLimited *roster.Target
	// line is how long the best target was last expected to take.
	expectedWait time.Duration
	// forecast is what was expected of the first send; nil before.
	forecast *event.Forecast
	// aborted tells that the answer was cut.
	aborted bool
	// notes are the decisions, for the log.
	notes []string
}

// lateMargin is how long after the limit the target's own last word is still
// waited for; the users' rules allow half a second.
const deadlineMargin = 60 * time.Millisecond

// run sends the request until it is answered, or says why not.
func (p *proxiedRequest) run() *entry.Refusal {
	p.service = p.route.Service(randomFraction())
	p.versions = p.relay.options.Canary.Choose(p.service)
	p.relay.recordArrival(p.service, p.relay.options.Prices.Worth(p.meta.Prompt), p.start)
	p.lastEventID = p.meta.After
	ctx, cancel := context.WithDeadline(p.r.Context(), p.deadline.Add(deadlineMargin))
	defer cancel()
	var failed *bufferedAnswer
	unreachable := 0
	for {
		c, reason := p.waitForChoice(ctx)
		if c == nil {
			return p.giveUp(failed, reason)
		}
		p.lastTarget = c.target
		p.recordForecast(c)
		p.tried[c.target.ID()]++
		out, answer := p.attempt(ctx, c)
		p.note("%s=%s", c.target.ID(), out)
		if answer != nil {
			failed = answer
		}
		switch out {
		case outcomeDone, outcomeCallerGone, outcomeTruncated:
			return nil
		case outcomeTimedOut:
			return p.giveUp(failed, "the time is up")
		case outcomeUnavailable:
			// It is chosen no more as long as that holds.
			p.uncountAttempt(c.target.ID())
		case outcomeNotSent:
			// The target got nothing; another one may get the request.
			if unreachable++; unreachable >= maxUnreachable {
				return p.giveUp(failed, "no target can be reached")
			}
		case outcomeRefused, outcomeIncomplete, outcomeFailed:
			if !p.mayRetry(out) {
				return p.giveUp(failed, "it may not be sent again")
			}
			p.versions = p.versions.Aside()
		}
	}
}

// untry takes back that a target was sent to.
func (p *proxiedRequest) uncountAttempt(id string) {
	if p.tried[id]--; p.tried[id] <= 0 {
		delete(p.tried, id)
	}
}

// endsTargets says that targets end of a request.
const crashesTargets = "targets end of it"

// holdLook is the pause between looks for a place.
const choiceInterval = 15 * time.Millisecond

// chooseSoon chooses a target. Where none is worth taking now the request waits,
// as long as it could still be answered in time.
func (p *proxiedRequest) waitForChoice(ctx context.Context) (*choice, string) {
	isPermitWaiter := false
	defer func() {
		if isPermitWaiter {
			p.relay.permitWaiters.leave(p.service)
		}
	}()
	for {
		p.adjustForSuspend()
		if _, blocked := p.relay.options.Poison.Blocked(p.digest); blocked {
			// It has waited, or has just ended one more target.
			return nil, crashesTargets
		}
		c, reason := p.choose(ctx)
		if c != nil {
			p.expectedWait = c.judgement.Expected
		}
		if c != nil && (c.judgement.Gain > 0 || p.relay.options.Without.Refusals) {
			if !p.acquire(c, time.Now()) {
				c.releaseLoad()
				continue
			}
			p.noteSkipped()
			p.recordChoice(c, time.Now())
			return c, reason
		}
		c.releaseLoad()
		switch {
		case c == nil && reason == allUnderPushback && p.likelyOnTime(p.expectedWait):
			// The first rest ends soon enough.
		case c == nil && reason == allRateLimited && p.likelyOnTime(p.expectedWait) && p.becomePermitWaiter(&isPermitWaiter):
			// The first token comes soon enough, and no other request waits for it.
		case c == nil && reason != allFull:
			return nil, reason
		case p.relay.options.Without.Waiting, !p.likelyOnTime(0):
			return nil, allFull
		}
		if !wait.For(ctx, choiceInterval) {
			return nil, reason
		}
	}
}

// hopefulChance is the chance of an answer in time below which a request waits no
// longer for a place.
const minOnTimeChance = 0.5

// hopeful reports whether an answer is likely to come in time if a target takes
// the request some time from now.
func (p *proxiedRequest) likelyOnTime(delay time.Duration) bool {
	now := time.Now().Add(delay)
	e := p.estimate(now)
	expected := e.Time(learn.Factors{Own: p.meta.Prompt - p.sharedTokens()})
	return e.Chance((p.route.Aim-now.Sub(p.start)).Seconds()/expected.Seconds()) >= minOnTimeChance
}

// Bounds on sends of one request.
const (
	// refusedMost is how many targets may refuse a request before it is given
	// up: more would only add to an overload.
	maxRefusals = 2
	// unsentMost is how many targets may be unreachable.
	maxUnreachable = 4
	// shortest is the time below which a send is not worth while: a target
	// would only throw the request away.
	minAttemptTime = 20 * time.Millisecond
	// endsMost is how many runs of targets may have ended under a request before the
	// daemons repeat it no more of themselves: its caller may, once.
	maxCrashes = 2
)

// again reports whether the request may be sent once more, and takes the send
// out of what is allowed.
func (p *proxiedRequest) mayRetry(out outcome) bool {
	p.adjustForSuspend()
	switch {
	case time.Until(p.deadline) < minAttemptTime:
		return false
	case out != outcomeRefused && !p.route.MayRepeat():
		return false
	case p.executions >= p.route.Attempts:
		return false
	case p.attempts-p.executions > maxRefusals, p.relay.options.Without.Retries:
		return false
	case out == outcomeIncomplete && p.relay.options.Poison.Ends(p.digest) >= maxCrashes:
		p.note("it may be what targets end of")
		return false
	}
	if !p.relay.spendRetry(p.service) {
		p.note("retries are used up")
		return false
	}
	p.relay.options.Stats.Retries.Inc()
	return true
}

// giveUp is the final answer of a request that got none from a target.
func (p *proxiedRequest) giveUp(failed *bufferedAnswer, reason string) *entry.Refusal {
	p.noteSkipped()
	p.note("given up: %s", reason)
	switch {
	case p.headerSent:
		p.aborted = true
		return nil
	case failed != nil:
		failed.write(p)
		return nil
	case p.executions == 0:
		if refusal := p.refuseBlocked(); refusal != nil {
			return refusal
		}
		// Where it was blocked, that was taken back just now.
		if endsAtKnownTime(reason) {
			return p.refuseUntil(entry.CodeNoTarget, "no target takes the request now: "+reason, p.expectedWait)
		}
		return p.refuseFor(entry.CodeNoTarget, "no target takes the request now: "+reason, p.expectedWait)
	case !time.Now().Before(p.deadline):
		return entry.NewRefusal(http.StatusGatewayTimeout, entry.CodeTimeout, entry.Unknown, "no answer came in time", 0)
	}
	return entry.NewRefusal(http.StatusBadGateway, entry.CodeOutcomeUnknown, entry.Unknown, "the target gave no answer; whether it ran is not known", 0)
}

// salt returns the name under which the parts of a request are kept by a
// worker with a version of the weights.
func (p *proxiedRequest) cacheSalt(version int64) cache.PartSalt {
	s := cache.PartSalt{Model: p.meta.Model, Version: version}
	if p.organisation != nil && p.organisation.Isolated {
		s.Wall = p.organisation.Name
	}
	return s
}
