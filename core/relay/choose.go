package relay

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"embertally.dev/core/clock"
	"embertally.dev/core/fleet"
	"embertally.dev/core/learn"
	"embertally.dev/core/roster"
	"embertally.dev/core/route"
	"embertally.dev/core/table"
)

// draw returns a random number from 0 to 1.
func draw() float64 { return rand.Float64() }

// choice is the target of one send and what is said to it.
type choice struct {
	target  *roster.Target
	sending Sending
	load    roster.Load
	// judged is what was expected of it, and usual the time to the first answer
	// that would be expected of any target of the service with its load.
	judged route.Judgement
	usual  time.Duration
	// factors are what that time depends on.
	factors learn.Factors
	// plan is how the target gets the shared parts, option and candidate what the
	// decision knew of it. Only the daemon that decided has plan and option.
	plan      plan
	option    option
	candidate route.Candidate
	// alone tells that there was no other candidate.
	alone bool
	// order is where the choice came from, where another daemon made it.
	order *homeOrder
	// taken tells that its load is counted at the target.
	taken bool
	// token is the right to send to a target with a limit, and sent when the request was sent.
	token roster.Token
	sent  clock.Time
}

// take counts the load of a choice at its target.
func (c *choice) take() {
	if !c.taken {
		c.target.Begin(c.load)
		c.taken = true
	}
}

// release takes back what take counted, where the choice is not made use of.
func (c *choice) release() {
	if c != nil && c.taken {
		c.target.End(c.load)
		c.taken = false
	}
}

// choose returns the target for the next send, or why there is none.
func (p *pass) choose(ctx context.Context) (*choice, string) {
	if time.Until(p.until) < shortest {
		return nil, "no time is left"
	}
	svc := p.table.Service(p.service)
	if svc == nil {
		return nil, "the service is not configured"
	}
	own, why := p.chooseOwn(svc, time.Now())
	if far := p.chooseAtHome(ctx, svc, own); far != nil {
		own.release()
		return far, ""
	}
	if own == nil && p.relay.divided(p.service) {
		if far := p.chooseElsewhere(ctx, svc); far != nil {
			return far, ""
		}
	}
	if own == nil && why == allLimited {
		if far := p.chooseByToken(ctx, svc); far != nil {
			return far, ""
		}
	}
	return own, why
}

// chooseOwn chooses among the targets that this daemon knows the load of, and counts the request
// there before another one is chosen for: of requests that come together each would find the same
// target idle.
func (p *pass) chooseOwn(svc *table.Service, now time.Time) (*choice, string) {
	p.relay.chooseMu.Lock()
	defer p.relay.chooseMu.Unlock()
	c, why := p.pickOwn(svc, now)
	if c != nil {
		c.take()
	}
	return c, why
}

// pickOwn is chooseOwn without counting. It is called with chooseMu held.
func (p *pass) pickOwn(svc *table.Service, now time.Time) (*choice, string) {
	options, share, why := p.ownOptions(svc, now)
	ways := p.ways(svc, options, now)
	list := make([]route.Candidate, len(ways))
	for i := range ways {
		list[i] = ways[i].candidate
	}
	asked, estimate := p.asked(len(options), share, now), p.estimate(now)
	spot := route.Spot{Context: p.context(), Turn: p.relay.turn.Add(1), Chance: draw()}
	at, judged := route.PickBy(p.placement(svc), &asked, list, estimate, &p.relay.o.Prices, spot)
	if at < 0 {
		return nil, why
	}
	w := &ways[at]
	out := &choice{target: w.option.target, plan: w.plan, option: w.option, candidate: w.candidate, alone: len(options) == 1, judged: judged}
	out.factors = w.candidate.Factors(&asked)
	out.usual = estimate.Time(out.factors)
	p.address(svc, out)
	return out, ""
}

// way is one way to serve a request: a target, and how it gets the shared parts.
type way struct {
	option    option
	plan      plan
	candidate route.Candidate
}

// ways returns the ways to serve a request: at each target with the parts copied that can
// be, and where that is weighed, with all that it does not hold read. A copy that waits
// behind others on a slow link makes a short prompt late whose reading takes milliseconds.
func (p *pass) ways(svc *table.Service, options []option, now time.Time) []way {
	out := make([]way, 0, 2*len(options))
	parts := map[int64][]sharedPart{}
	for _, o := range options {
		w := way{option: o, candidate: p.candidate(svc, o)}
		if svc.Engine == nil {
			out = append(out, w)
			continue
		}
		known, found := parts[o.version]
		if !found {
			known = p.find(o.version, now)
			parts[o.version] = known
		}
		w.plan = p.plan(svc, o, known, now)
		reading := w
		w.plan.weigh(&w.candidate, known)
		out = append(out, w)
		if w.plan.copied > 0 && p.placement(svc) == route.Returning && !p.relay.o.Without.Reading {
			reading.plan.copied, reading.plan.time = 0, 0
			reading.plan.weigh(&reading.candidate, known)
			out = append(out, reading)
		}
	}
	return out
}

// placement is how a worker is chosen; the placements to measure against are for
// engines only.
func (p *pass) placement(svc *table.Service) route.Placement {
	if svc.Engine == nil {
		return route.Returning
	}
	return p.relay.o.Placement
}

// context is the hash of the last shared part, or 0.
func (p *pass) context() uint64 {
	parts := p.sharedParts()
	if len(parts) == 0 {
		return 0
	}
	return fleet.Key(parts[len(parts)-1].ID)
}

// asked is what a decision among some targets needs to know of the request. share is the
// part of the service's targets that they were chosen from.
func (p *pass) asked(targets int, share float64, now time.Time) route.Asked {
	out := route.Asked{
		Tokens: p.ask.Prompt, Bytes: p.size, Aim: p.route.Aim, Spent: now.Sub(p.began), Left: p.until.Sub(now),
		Rate: share * p.relay.rate(p.service, targets, now),
	}
	if p.relay.o.Without.Line {
		out.Rate = 0
	}
	return out
}

// candidate works out what a decision needs to know of an option beside the
// shared parts of the prompt.
func (p *pass) candidate(svc *table.Service, o option) route.Candidate {
	without := &p.relay.o.Without
	c := route.Candidate{
		Running: o.load.Running, Slots: max(1, o.entry.Slots), Unread: o.load.Unread, Held: o.load.Held,
		Far: o.entry.Domain != p.domain && !without.Near, Cold: (p.far || !p.relay.o.Pool.Warm(o.entry.Address)) && !without.Warm, Doubtful: o.health.Lapsed,
		Faults: o.state.Faults, Pace: o.state.Pace,
	}
	if svc.Engine != nil {
		if !without.Crowd {
			c.Memory = svc.Engine.MemoryTokens
		}
		c.Old = o.version < p.relay.o.Named(p.ask.Model)
	}
	return c
}

// address works out what is said to the chosen target.
func (p *pass) address(svc *table.Service, c *choice) {
	c.sending.Target = c.target.ID()
	c.load = roster.Load{Running: 1}
	if svc.Engine == nil {
		return
	}
	version := c.option.version
	c.sending.Weights = version
	c.load.Unread = c.factors.Own
	c.load.Held = p.ask.Prompt
	if version == 0 || !p.relay.o.Placement.Exports() {
		return
	}
	p.setCopy(&c.sending, c.plan.sources[:c.plan.copied])
	if version >= p.relay.o.Named(p.ask.Model) && !p.relay.o.Without.StoreCopies {
		p.setKeep(&c.sending, c.plan.sources, version, clock.Now())
	}
}

// take records that the choice is sent.
func (p *pass) take(c *choice, now time.Time) {
	if c.load.Held == 0 {
		return
	}
	c.sending.Salt = p.salt(c.sending.Weights).String()
	c.sending.Priority = p.priority()
	p.relay.o.Stats.Read.Add(p.ask.Prompt)
	p.relay.o.Stats.Copied.Add(c.candidate.Copied)
	p.relay.o.Stats.Kept.Add(c.candidate.Kept)
	if c.order != nil {
		c.order.placed()
	} else {
		p.occupy(c, now)
	}
	p.noteTaken(c)
}

// noteTaken records the choice for the log line.
func (p *pass) noteTaken(c *choice) {
	if c.order != nil {
		p.note("chosen by %s", c.order.peer)
	}
	if len(c.sending.Copy) > 0 {
		p.note("copied from %s", strings.Join(c.sending.Copy, ","))
	}
	if len(c.sending.Keep) > 0 {
		p.note("sent to %s", strings.Join(c.sending.Keep, ","))
	}
	known := &c.candidate
	p.note("kept %d, copied %d of %d shared in %d tokens, before it %d, running %d, held %d, expected %s, in time %.2f, worth %.2f, version %d",
		known.Kept, known.Copied, p.shared(), p.ask.Prompt, known.Unread, known.Running, known.Held, c.judged.Expected.Round(time.Millisecond),
		c.judged.InTime, c.judged.Worth, c.sending.Weights)
}

// Ranks of requests at model workers, 0 first.
const (
	ranks = 10
	// ranksPerOrganisation keeps the organisation's priority before the
	// route's.
	ranksPerOrganisation = 3
)

// priority ranks the request at model workers.
func (p *pass) priority() int {
	own := 1
	if p.organisation != nil {
		own = p.organisation.Priority
	}
	return max(0, min(ranks-1, own*ranksPerOrganisation+min(p.route.Priority, ranksPerOrganisation-1)))
}
