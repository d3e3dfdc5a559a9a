package relay

import (
	"time"

	"embertally.dev/core/event"
	"embertally.dev/core/learn"
	"embertally.dev/core/route"
)

// mayRepeat takes one repeated send to a service out of what is allowed.
func (rl *Relay) mayRepeat(service string) bool {
	rl.allowMu.Lock()
	defer rl.allowMu.Unlock()
	return rl.allowance(service).Spend(time.Since(rl.began))
}

// earn records a request for a service, of some worth.
func (rl *Relay) earn(service string, worth float64, now time.Time) {
	rl.allowMu.Lock()
	defer rl.allowMu.Unlock()
	rl.allowance(service).Earn(time.Since(rl.began))
	r := rl.rates[service]
	if r == nil {
		r = &learn.Rate{}
		rl.rates[service] = r
	}
	r.Add(worth, now)
}

// rate returns the worth of the requests that would come to each of some targets of a
// service in a second if all daemons shared these.
func (rl *Relay) rate(service string, targets int, now time.Time) float64 {
	rl.allowMu.Lock()
	defer rl.allowMu.Unlock()
	r := rl.rates[service]
	if r == nil {
		return 0
	}
	return r.PerSecond(now) * float64(max(1, rl.o.Daemons())) / float64(max(1, targets))
}

// allowedShare is the part of what is allowed that is used: requests that were
// counted here but never arrived at a daemon's peer lower the others' count.
const allowedShare = 0.7

// allowance is called with allowMu held.
func (rl *Relay) allowance(service string) *route.Allowance {
	a := rl.allowances[service]
	if a == nil {
		a = &route.Allowance{Share: rl.o.RetryShare * allowedShare, Window: rl.o.RetryWindow}
		rl.allowances[service] = a
	}
	a.Extra = rl.o.RetryExtra * allowedShare / float64(max(1, rl.o.Daemons()))
	return a
}

// kind is what the times to first answers of a request are learned by: the route,
// since the work of calls and the urgency of prompts are its own.
func (p *pass) kind() (string, *learn.Prior) {
	name := p.service + " " + p.route.Name
	if svc := p.table.Service(p.service); svc != nil && svc.Engine != nil {
		return name, &p.relay.o.Engines
	}
	return name, &p.relay.o.Calls
}

// estimate returns what is known of the times to first answers of the request.
func (p *pass) estimate(now time.Time) *learn.Estimate {
	kind, prior := p.kind()
	return p.relay.o.Times.Estimate(kind, prior, now)
}

// answered records an answer of a target, and whether it was good.
func (p *pass) answered(c *choice, good bool) {
	if !p.far {
		p.relay.o.Canary.Answered(p.service, p.route.Name, c.target.Entry().Version, good)
	}
	c.target.Answered()
	c.order.answered(good)
	p.learnAnswer(c, good)
}

// firstAnswer records that the first answer to a send has come.
func (p *pass) firstAnswer(c *choice, sent time.Time) {
	now := time.Now()
	took := now.Sub(sent)
	if c.usual > 0 {
		p.relay.o.Canary.Timed(p.service, p.route.Name, c.target.Entry().Version, float64(took)/float64(c.usual))
	}
	if p.forecast != nil && p.forecast.FirstMillis == 0 && p.sends <= 1 {
		p.forecast.FirstMillis = event.Millis(took)
	}
	if c.order != nil {
		// Of links and memories only the daemon that decided can learn.
		c.order.first(took)
		if c.candidate.Copied == 0 {
			p.learnTime(c, took, now)
		}
		return
	}
	p.learnFirst(c, took, now)
}

// learnFirst records what the time to the first answer of a choice of this daemon tells.
func (p *pass) learnFirst(c *choice, took time.Duration, now time.Time) {
	p.learnCopies(c, took, now)
	if c.plan.copied > 0 {
		return
	}
	p.learnRetention(c, took, now)
	p.learnTime(c, took, now)
}

// learnTime records the time to the first answer of a request that had nothing
// copied.
func (p *pass) learnTime(c *choice, took time.Duration, now time.Time) {
	if !p.relay.o.Without.Times {
		kind, prior := p.kind()
		p.relay.o.Times.Observe(kind, prior, c.factors, took, now)
	}
	if c.usual > 0 && !p.relay.o.Without.Targets {
		p.relay.o.Targets.Timed(c.target.ID(), p.service, float64(took)/float64(c.usual), now)
	}
}

// silent records that a target gave no answer.
func (p *pass) silent(c *choice) {
	c.target.Silent(time.Now())
	c.order.noAnswer()
	p.learnAnswer(c, false)
}

// learnAnswer records whether a target answered well.
func (p *pass) learnAnswer(c *choice, good bool) {
	if !p.relay.o.Without.Targets {
		p.relay.o.Targets.Answered(c.target.ID(), p.service, good, time.Now())
	}
}

// Shares of the time that reading a part takes: a first event that is later than
// expected by less than keptShare of it tells that the part was held, one that is
// later by more than readShare that it was read.
const (
	keptShare = 0.35
	readShare = 0.65
)

// learnRetention records whether a worker held the part that lies deepest in its
// memory of those that it was believed to hold, where the time to the first event
// can tell.
func (p *pass) learnRetention(c *choice, took time.Duration, now time.Time) {
	deepest, largest := 0.0, 0
	for i, src := range c.plan.sources {
		if src.here == 0 {
			break
		}
		// Where a part is gone, what stands behind it is read as well.
		if src.depth > deepest || i == 0 {
			deepest, largest = src.depth, 0
		}
		largest += p.ask.Parts[i].Tokens
	}
	if p.relay.o.Without.Retention {
		return
	}
	e := p.estimate(now)
	held := e.Time(c.factors)
	factors := c.factors
	factors.Own += largest
	reading := e.Time(factors) - held
	// Times differ by a share of themselves for other reasons.
	if largest == 0 || reading < held {
		return
	}
	switch late := took - held; {
	case late < time.Duration(keptShare*float64(reading)):
		p.relay.o.Retention.Observe(p.service, deepest, true, now)
	case late > time.Duration(readShare*float64(reading)) && late < 2*reading:
		p.relay.o.Retention.Observe(p.service, deepest, false, now)
	}
}
