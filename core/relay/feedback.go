package relay

import (
	"time"

	"embertally.dev/core/event"
	"embertally.dev/core/learn"
	"embertally.dev/core/route"
)

// spendRetry takes one retry from the budget of a service and reports whether it may be made.
func (rl *Relay) spendRetry(service string) bool {
	rl.budgetMu.Lock()
	defer rl.budgetMu.Unlock()
	return rl.retryBudget(service).TryRetry(time.Since(rl.start))
}

// spendHedge takes one hedge from the retry budget of a service and reports whether it may be made.
func (rl *Relay) spendHedge(service string) bool {
	rl.budgetMu.Lock()
	defer rl.budgetMu.Unlock()
	return rl.retryBudget(service).TryRetryWithin(hedgeBudgetShare, time.Since(rl.start))
}

// recordArrival records a request for a service and its utility.
func (rl *Relay) recordArrival(service string, utility float64, now time.Time) {
	rl.budgetMu.Lock()
	defer rl.budgetMu.Unlock()
	rl.retryBudget(service).RecordRequest(time.Since(rl.start))
	r := rl.arrivalRates[service]
	if r == nil {
		r = &learn.Rate{}
		rl.arrivalRates[service] = r
	}
	r.Add(utility, now)
}

// utilityRate returns the utility per second of the requests that arrive at each of some targets of
// a service, if the daemons together divide their requests evenly among these.
func (rl *Relay) utilityRate(service string, targets int, now time.Time) float64 {
	rl.budgetMu.Lock()
	defer rl.budgetMu.Unlock()
	r := rl.arrivalRates[service]
	if r == nil {
		return 0
	}
	return r.PerSecond(now) * float64(max(1, rl.options.DaemonCount())) / float64(max(1, targets))
}

// retryBudgetUse is the fraction of the retry budget that is used: requests counted here that never
// reach another daemon reduce the count there.
const retryBudgetUse = 0.7

// retryBudget returns the retry budget of a service. It is called with budgetMu held.
func (rl *Relay) retryBudget(service string) *route.RetryBudget {
	a := rl.retryBudgets[service]
	if a == nil {
		a = &route.RetryBudget{
			RetriesPerRequest: rl.options.RetryShare * retryBudgetUse,
			Window:            rl.options.RetryWindow,
		}
		rl.retryBudgets[service] = a
	}
	a.ExtraRetries = rl.RetryExtra()
	return a
}

// RetryExtra returns how many retries this daemon may make now in a window beside those for each
// request.
func (rl *Relay) RetryExtra() float64 {
	extra := rl.options.RetryExtra * retryBudgetUse / float64(max(1, rl.options.DaemonCount()))
	return route.ExtraSinceStart(extra, time.Since(rl.start), rl.options.RetryWindow)
}

// timingKey returns the key under which the times to first answers are learned, and their prior. It
// contains the route, since the work of calls and the urgency of prompts depend on it.
func (p *proxiedRequest) timingKey() (string, *learn.Prior) {
	key := p.service + " " + p.route.Name
	if svc := p.table.Service(p.service); svc != nil && svc.Engine != nil {
		return key, &p.relay.options.EnginePrior
	}
	return key, &p.relay.options.CallPrior
}

// estimate returns what has been learned of the times to first answers of such requests.
func (p *proxiedRequest) estimate(now time.Time) *learn.Estimate {
	key, prior := p.timingKey()
	return p.relay.options.FirstAnswerTimes.Estimate(key, prior, now)
}

// recordResponse records a response of a target, and whether it was good.
func (p *proxiedRequest) recordResponse(c *choice, good bool) {
	if !p.remote {
		p.relay.options.Canary.RecordAnswer(p.service, p.route.Name, c.target.Entry().Version, good)
	}
	c.target.RecordResponse()
	c.report.recordResponse(good)
	p.learnResponse(c, good)
}

// recordFirstAnswer records the time to the first answer of an attempt.
func (p *proxiedRequest) recordFirstAnswer(c *choice, sent time.Time) {
	now := time.Now()
	took := now.Sub(sent)
	if c.baseline > 0 {
		p.relay.options.Canary.RecordTime(p.service, p.route.Name, c.target.Entry().Version,
			float64(took)/float64(c.baseline))
	}
	if p.forecast != nil && p.forecast.FirstMillis == 0 && p.attempts <= 1 &&
		p.forecast.Target == c.target.ID() {
		p.forecast.FirstMillis = event.Millis(took)
	}
	if c.report != nil {
		// Only the daemon that made the choice can learn about links and caches.
		c.report.reportFirstEvent(took)
		if c.candidate.CopiedTokens == 0 {
			p.learnTime(c, took, now)
		}
		return
	}
	p.learnFromFirstAnswer(c, took, now)
}

// learnFromFirstAnswer learns from the time to the first answer of a choice that this daemon made.
func (p *proxiedRequest) learnFromFirstAnswer(c *choice, took time.Duration, now time.Time) {
	p.learnCopies(c, took, now)
	if c.plan.copyCount > 0 {
		return
	}
	p.learnRetention(c, took, now)
	p.learnTime(c, took, now)
}

// learnTime learns from the time to the first answer of a request for which nothing was copied.
func (p *proxiedRequest) learnTime(c *choice, took time.Duration, now time.Time) {
	if !p.relay.options.Disabled.Times {
		key, prior := p.timingKey()
		p.relay.options.FirstAnswerTimes.Observe(key, prior, c.factors, took, now)
	}
	if c.baseline > 0 && !p.relay.options.Disabled.Targets {
		p.relay.options.TargetStats.ObserveTime(c.target.ID(), p.service, float64(took)/float64(c.baseline), now)
	}
}

// recordNoResponse records that a target did not respond.
func (p *proxiedRequest) recordNoResponse(c *choice) {
	c.target.RecordNoResponse(time.Now())
	c.report.recordNoResponse()
	p.learnResponse(c, false)
}

// learnResponse records whether a target responded, and without a failure.
func (p *proxiedRequest) learnResponse(c *choice, good bool) {
	if !p.relay.options.Disabled.Targets {
		p.relay.options.TargetStats.ObserveResponse(c.target.ID(), p.service, good, time.Now())
	}
}

// Shares of a segment's prefill time. If the first event is later than expected by less than
// cachedShare of it, the segment was cached; if by more than prefilledShare, it was prefilled.
const (
	cachedShare    = 0.35
	prefilledShare = 0.65
)

// learnRetention records whether a worker still had the segment that was closest to eviction among
// those expected in its cache, if the time to the first event can tell.
func (p *proxiedRequest) learnRetention(c *choice, took time.Duration, now time.Time) {
	deepest, tokens := 0.0, 0
	for i, src := range c.plan.sources {
		if src.cachedProbability == 0 {
			break
		}
		// If a segment was evicted, those after it are prefilled as well.
		if src.depth > deepest || i == 0 {
			deepest, tokens = src.depth, 0
		}
		tokens += p.meta.Segments[i].Tokens
	}
	if p.relay.options.Disabled.Retention {
		return
	}
	e := p.estimate(now)
	cachedTime := e.Time(c.factors)
	factors := c.factors
	factors.OwnTokens += tokens
	prefillTime := e.Time(factors) - cachedTime
	// Times also vary for other reasons, in proportion to their length.
	if tokens == 0 || prefillTime < cachedTime {
		return
	}
	switch delay := took - cachedTime; {
	case delay < time.Duration(cachedShare*float64(prefillTime)):
		p.relay.options.Retention.Observe(p.service, deepest, true, now)
	case delay > time.Duration(prefilledShare*float64(prefillTime)) && delay < 2*prefillTime:
		p.relay.options.Retention.Observe(p.service, deepest, false, now)
	}
}
