package relay

import (
	"math/rand/v2"
	"time"

	"embertally.dev/core/cache"
	"embertally.dev/core/fleet"
	"embertally.dev/core/roster"
	"embertally.dev/core/route"
	"embertally.dev/core/table"
)

func draw() float64 { return rand.Float64() }

// choice is the target of one send and what is said to it.
type choice struct {
	target  *roster.Target
	sending Sending
	load    roster.Load
	// expected is the expected time to the first answer.
	expected time.Duration
	// alone tells that there was no other candidate.
	alone bool
}

// Bounds of a choice.
const (
	// plainWork is the usual time of a plain call where the route's aim does
	// not tell: the users' aims are five times the work.
	plainWorkShare = 0.2
	// plainFull is how many times its slots a plain target may have on its
	// way; more would only wait there.
	plainFull = 4
	// engineFull is the same for model workers.
	engineFull = 3
	// copyFrom is the size from which a part is copied from a store or kept
	// there: below, a copy takes longer than the prompt's reading.
	copyFrom = 1000
	// connShare is the part of a target's connections that the daemons share
	// out; the rest is left for daemons that one of them does not know of.
	connShare = 0.9
)

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
	var targets []*roster.Target
	var list []route.Candidate
	ordered := p.f.o.Roster.Ordered(now)
	named := p.f.o.Named(p.ask.Model)
	full, suspects := 0, 0
	for _, t := range p.f.o.Roster.Of(p.service) {
		e := t.Entry()
		h := t.Health(now)
		switch {
		case e.Leaving, h.Gone, p.tried[t.ID()] > 0, ordered[t.ID()]:
			continue
		case h.Suspect:
			suspects++
			continue
		}
		p.bound(svc, e.Address)
		load := t.Load()
		if load.Running >= p.most(svc, e) || p.f.o.Pool.Room(e.Address) <= 0 {
			full++
			continue
		}
		targets = append(targets, t)
		list = append(list, p.candidate(svc, t, e, h, load, named, now))
	}
	asked := p.asked(svc)
	at := route.Pick(asked, list, draw())
	if at < 0 {
		return nil, noneLeft(full, suspects)
	}
	return p.chosen(svc, targets[at], asked, list[at], len(list) == 1, now), ""
}

func noneLeft(full, suspects int) string {
	switch {
	case full > 0:
		return "all targets are full"
	case suspects > 0:
		return "no target answers"
	}
	return "no target is listed"
}

// most is how many requests a target may have on their way.
func (p *pass) most(svc *table.Service, e *roster.Entry) int {
	slots := max(1, e.Slots)
	if svc.Engine != nil {
		return engineFull * slots
	}
	return plainFull * slots
}

// bound shares the connections to a target out among the daemons.
func (p *pass) bound(svc *table.Service, address string) {
	if svc.MaxConns > 0 {
		share := connShare * float64(svc.MaxConns) / float64(max(1, p.f.o.Daemons()))
		p.f.o.Pool.SetMost(address, max(1, int(share)))
	}
}

func (p *pass) asked(svc *table.Service) route.Asked {
	if svc.Engine != nil {
		return route.Asked{Tokens: p.ask.Prompt}
	}
	return route.Asked{Work: time.Duration(float64(p.route.Aim) * plainWorkShare)}
}

func (p *pass) candidate(svc *table.Service, t *roster.Target, e *roster.Entry, h roster.Health, load roster.Load, named int64, now time.Time) route.Candidate {
	c := route.Candidate{
		Running: load.Running, Slots: max(1, e.Slots), Unread: load.Unread, Held: load.Held,
		Far: e.Domain != p.f.o.Domain, Doubtful: h.Lapsed, Faults: h.Faults, Pace: h.Pace,
	}
	if svc.Engine == nil {
		return c
	}
	c.Memory = svc.Engine.MemoryTokens
	version := e.Weights[p.ask.Model]
	c.Old = version < named
	if t == p.usual() {
		c.Kept = p.shared()
		return c
	}
	for _, part := range p.sharedParts() {
		if part.Tokens < copyFrom {
			continue
		}
		name := cache.PartName{Salt: p.salt(version).String(), ID: part.ID}
		if place, ok := p.f.o.Kept.Find(name, e.Domain, now); ok {
			c.Copied += place.Tokens
			c.CopyTime += place.Time
		}
	}
	return c
}

// sharedParts are the parts that other requests have as well: all but the last.
func (p *pass) sharedParts() []cache.Part {
	if len(p.ask.Parts) < 2 {
		return nil
	}
	return p.ask.Parts[:len(p.ask.Parts)-1]
}

// shared is how many tokens they have.
func (p *pass) shared() int {
	n := 0
	for _, part := range p.sharedParts() {
		n += part.Tokens
	}
	return n
}

// usual returns the worker that requests with the same last shared part go to
// where nothing speaks against it, so that it is likely to hold the parts. All
// daemons name the same one.
func (p *pass) usual() *roster.Target {
	parts := p.sharedParts()
	if len(parts) == 0 {
		return nil
	}
	if p.usualKnown {
		return p.usualTarget
	}
	var names []string
	byName := map[string]*roster.Target{}
	for _, t := range p.f.o.Roster.Of(p.service) {
		if !t.Entry().Leaving {
			names = append(names, t.ID())
			byName[t.ID()] = t
		}
	}
	p.usualTarget = byName[fleet.First(fleet.Key(parts[len(parts)-1].ID), names)]
	p.usualKnown = true
	return p.usualTarget
}

// chosen works out what is said to the target.
func (p *pass) chosen(svc *table.Service, t *roster.Target, asked route.Asked, c route.Candidate, alone bool, now time.Time) *choice {
	e := t.Entry()
	out := &choice{target: t, alone: alone, expected: route.Cost(asked, route.Candidate{
		Running: c.Running, Slots: c.Slots, Unread: c.Unread, Kept: c.Kept, Copied: c.Copied, CopyTime: c.CopyTime,
	})}
	out.sending.Target = t.ID()
	out.load = roster.Load{Running: 1}
	if svc.Engine == nil {
		return out
	}
	version := e.Weights[p.ask.Model]
	salt := p.salt(version)
	out.sending.Weights = version
	out.sending.Salt = salt.String()
	out.sending.Priority = p.priority()
	out.load.Unread = max(0, p.ask.Prompt-c.Kept-c.Copied)
	out.load.Held = p.ask.Prompt
	p.copies(out, salt, e.Domain, now)
	p.f.o.Stats.Read.Add(p.ask.Prompt)
	p.f.o.Stats.Copied.Add(c.Copied)
	p.f.o.Stats.Kept.Add(c.Kept)
	p.note("kept %d, copied %d of %d tokens, before it %d, running %d, expected %s",
		c.Kept, c.Copied, p.ask.Prompt, c.Unread, c.Running, out.expected.Round(time.Millisecond))
	return out
}

// copies names the stores that parts are copied from and sent to.
func (p *pass) copies(c *choice, salt cache.PartSalt, domain string, now time.Time) {
	shared := p.sharedParts()
	if len(shared) == 0 || salt.Version == 0 || !p.f.o.CopyMay() {
		return
	}
	copyFromStores := make([]string, len(p.ask.Parts))
	keepAt := make([]string, len(p.ask.Parts))
	copies, keeps := false, false
	for i, part := range shared {
		if part.Tokens < copyFrom {
			continue
		}
		name := cache.PartName{Salt: salt.String(), ID: part.ID}
		if place, ok := p.f.o.Kept.Find(name, domain, now); ok {
			copyFromStores[i], copies = place.Address, true
			if c.sending.CopyUntil == 0 || place.Until < c.sending.CopyUntil {
				c.sending.CopyUntil = place.Until
			}
			continue
		}
		if at := p.f.o.Kept.Room(name, part.Tokens, now); at != "" {
			keepAt[i], keeps = at, true
		}
	}
	if copies {
		c.sending.Copy = copyFromStores
	}
	if keeps {
		c.sending.Keep = keepAt
	}
}

// Ranks of requests at model workers, 0 first.
const (
	ranks = 10
	// ranksPerOrganisation keeps the organisation's priority before the
	// route's.
	ranksPerOrganisation = 3
)

func (p *pass) priority() int {
	own := 1
	if p.organisation != nil {
		own = p.organisation.Priority
	}
	return max(0, min(ranks-1, own*ranksPerOrganisation+min(p.route.Priority, ranksPerOrganisation-1)))
}
