package relay

import (
	"math/rand/v2"
	"time"

	"embertally.dev/core/fleet"
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
	// expected is the expected time to the first answer.
	expected time.Duration
	// before is how many tokens are read there before the prompt.
	before int
	// plan is how the target gets the shared parts.
	plan plan
	// alone tells that there was no other candidate.
	alone bool
}

// choose returns the target for the next send, or why there is none.
func (p *pass) choose() (*choice, string) {
	if time.Until(p.until) < shortest {
		return nil, "no time is left"
	}
	svc := p.table.Service(p.service)
	if svc == nil {
		return nil, "the service is not configured"
	}
	now := time.Now()
	options, why := p.ownOptions(svc, now)
	list := make([]route.Candidate, len(options))
	plans := make([]plan, len(options))
	parts := map[int64][]sharedPart{}
	for i, o := range options {
		list[i] = p.candidate(svc, o)
		if svc.Engine == nil {
			continue
		}
		if _, found := parts[o.version]; !found {
			parts[o.version] = p.find(o.version, now)
		}
		plans[i] = p.plan(svc, o, parts[o.version], now)
		plans[i].weigh(&list[i], parts[o.version])
	}
	asked := p.asked(svc)
	spot := route.Spot{Context: p.context(), Turn: p.relay.turn.Add(1), Chance: draw()}
	at := route.PickBy(p.placement(svc), asked, list, spot)
	if at < 0 {
		return nil, why
	}
	return p.chosen(svc, options[at], plans[at], asked, list[at], len(list) == 1, now), ""
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

// plainWorkShare is the part of a route's aim that the work of a plain call
// usually takes: the users' aims are five times the work.
const plainWorkShare = 0.2

// asked is what a decision needs to know of the request.
func (p *pass) asked(svc *table.Service) route.Asked {
	if svc.Engine != nil {
		return route.Asked{Tokens: p.ask.Prompt}
	}
	return route.Asked{Work: time.Duration(float64(p.route.Aim) * plainWorkShare)}
}

// candidate works out what a decision needs to know of an option beside the
// shared parts of the prompt.
func (p *pass) candidate(svc *table.Service, o option) route.Candidate {
	c := route.Candidate{
		Running: o.load.Running, Slots: max(1, o.entry.Slots), Unread: o.load.Unread, Held: o.load.Held,
		Short: o.short, Far: o.entry.Domain != p.relay.o.Domain, Doubtful: o.health.Lapsed, Faults: o.health.Faults, Pace: o.health.Pace,
	}
	if svc.Engine != nil {
		c.Memory = svc.Engine.MemoryTokens
		c.Old = o.version < p.relay.o.Named(p.ask.Model)
	}
	return c
}

// chosen works out what is said to the target.
func (p *pass) chosen(svc *table.Service, o option, pl plan, asked route.Asked, c route.Candidate, alone bool, now time.Time) *choice {
	t := o.target
	out := &choice{target: t, plan: pl, alone: alone, expected: route.Cost(asked, route.Candidate{
		Running: c.Running, Slots: c.Slots, Unread: c.Unread, Kept: c.Kept, Copied: c.Copied, CopyTime: c.CopyTime,
	})}
	out.sending.Target = t.ID()
	out.load = roster.Load{Running: 1}
	if svc.Engine == nil {
		return out
	}
	salt := p.salt(o.version)
	out.sending.Weights = o.version
	out.sending.Salt = salt.String()
	out.sending.Priority = p.priority()
	out.load.Unread = max(0, p.ask.Prompt-c.Kept-c.Copied)
	out.load.Held = p.ask.Prompt
	out.before = c.Unread
	p.copies(out, o, now)
	p.relay.o.Stats.Read.Add(p.ask.Prompt)
	p.relay.o.Stats.Copied.Add(c.Copied)
	p.relay.o.Stats.Kept.Add(c.Kept)
	p.note("kept %d, copied %d of %d shared in %d tokens, before it %d, running %d, held %d, expected %s, version %d",
		c.Kept, c.Copied, p.shared(), p.ask.Prompt, c.Unread, c.Running, c.Held, out.expected.Round(time.Millisecond), o.version)
	return out
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
