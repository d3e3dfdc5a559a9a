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
	usual := p.usual(options)
	list := make([]route.Candidate, len(options))
	for i, o := range options {
		list[i] = p.candidate(svc, o, o.target == usual, now)
	}
	asked := p.asked(svc)
	spot := route.Spot{Context: p.context(), Turn: p.relay.turn.Add(1), Chance: draw()}
	at := route.PickBy(p.placement(svc), asked, list, spot)
	if at < 0 {
		return nil, why
	}
	return p.chosen(svc, options[at], asked, list[at], len(list) == 1, now), ""
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

// candidate works out what a decision needs to know of an option.
func (p *pass) candidate(svc *table.Service, o option, usual bool, now time.Time) route.Candidate {
	c := route.Candidate{
		Running: o.load.Running, Slots: max(1, o.entry.Slots), Unread: o.load.Unread, Held: o.load.Held,
		Short: o.short, Far: o.entry.Domain != p.relay.o.Domain, Doubtful: o.health.Lapsed, Faults: o.health.Faults, Pace: o.health.Pace,
	}
	if svc.Engine == nil {
		return c
	}
	c.Memory = svc.Engine.MemoryTokens
	c.Old = o.version < p.relay.o.Named(p.ask.Model)
	p.weighParts(&c, svc, o, usual, now)
	return c
}

// weighParts works out how a worker gets the shared parts: held, copied or read.
func (p *pass) weighParts(c *route.Candidate, svc *table.Service, o option, usual bool, now time.Time) {
	list, copied := p.sources(svc, o, now)
	for i, part := range p.sharedParts() {
		switch {
		case i >= len(list) && usual:
			// Small parts after the last large one are not looked for: they are
			// where such requests usually go.
			c.Kept += part.Tokens
		case i >= len(list):
			c.Again += part.Tokens
		case list[i].here:
			c.Kept += part.Tokens
		case i < copied:
			c.Copied += part.Tokens
			c.CopyTime += list[i].time
		case list[i].read:
			c.Again += part.Tokens
		}
	}
}

// usual returns the worker that requests with the same last shared part go to
// where nothing speaks against it, so that it is likely to hold the parts.
// Daemons that see the same workers name the same one.
func (p *pass) usual(options []option) *roster.Target {
	parts := p.sharedParts()
	if len(parts) == 0 {
		return nil
	}
	// Newer weights come first, then workers of the prompt's kind.
	rank := func(o option) int64 {
		if o.short == (p.ask.Prompt <= route.ShortPrompt) {
			return o.version<<1 + 1
		}
		return o.version << 1
	}
	best := int64(-1)
	for _, o := range options {
		best = max(best, rank(o))
	}
	var names []string
	byName := map[string]*roster.Target{}
	for _, o := range options {
		if rank(o) == best {
			names = append(names, o.target.ID())
			byName[o.target.ID()] = o.target
		}
	}
	return byName[fleet.First(p.context(), names)]
}

// chosen works out what is said to the target.
func (p *pass) chosen(svc *table.Service, o option, asked route.Asked, c route.Candidate, alone bool, now time.Time) *choice {
	t := o.target
	out := &choice{target: t, alone: alone, expected: route.Cost(asked, route.Candidate{
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
	p.copies(svc, out, o, now)
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
