package relay

import (
	"math/rand/v2"
	"strings"
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
	// before is how many tokens are read there before the prompt.
	before int
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
	// heldMost is the share of a worker's memory that requests on their way may
	// hold when a long prompt is added. Above it, the users' engines read parts
	// again that were copied for waiting requests, and the load grows by itself.
	heldMost = 0.7
	// queueMost is the part of the aim that may go by before a long prompt's
	// turn. Above it most answers would be late, which is worth a fifth to the
	// users; a refusal lets those in time that are taken.
	queueMost = 0.6
	// copyFrom is the size from which a part is copied from a store or kept
	// there: below, a copy takes longer than the prompt's reading.
	copyFrom = 1000
	// connShare is the part of a target's connections that the daemons share
	// out; the rest is left for daemons that one of them does not know of.
	connShare = 0.9
)

// option is one target that may get a send.
type option struct {
	target  *roster.Target
	entry   *roster.Entry
	health  roster.Health
	load    roster.Load
	version int64
	// short tells that the target is set aside for short prompts.
	short bool
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
	at := route.Pick(asked, list, draw())
	if at < 0 {
		return nil, why
	}
	return p.chosen(svc, options[at], asked, list[at], len(list) == 1, now), ""
}

// ownOptions returns the options among the workers that are this daemon's to
// use. Where these are full the request waits or is refused: of other workers'
// load this daemon knows nothing. Only where none of its own answers does it use
// all.
func (p *pass) ownOptions(svc *table.Service, now time.Time) ([]option, string) {
	if svc.Engine == nil {
		return p.options(svc, nil, now)
	}
	mine := map[string]bool{}
	for _, name := range p.f.workers(p.service) {
		mine[name] = true
	}
	own, why := p.options(svc, mine, now)
	if len(own) > 0 || why == allFull {
		return own, why
	}
	return p.options(svc, nil, now)
}

// options returns the targets that may get the request, or why there are none.
// Where mine is not nil only the targets in it are looked at.
func (p *pass) options(svc *table.Service, mine map[string]bool, now time.Time) ([]option, string) {
	var out []option
	ordered := p.f.o.Roster.Ordered(now)
	full, suspects, outdated := 0, 0, 0
	speed := p.f.speed(p.service)
	var short map[string]bool
	if svc.Engine != nil {
		short = p.f.shortWorkers(p.service)
	}
	for _, t := range p.f.o.Roster.Of(p.service) {
		if mine != nil && !mine[t.ID()] {
			continue
		}
		o := option{target: t, entry: t.Entry(), health: t.Health(now), load: t.Load()}
		switch {
		case o.entry.Leaving, o.health.Gone, p.tried[t.ID()] > 0, ordered[t.ID()]:
			continue
		case o.health.Suspect:
			suspects++
			continue
		}
		p.bound(svc, o.entry.Address)
		if o.load.Running >= p.most(svc, o.entry) || p.crowded(svc, o.load) || p.behind(svc, o.load, &speed) || p.f.o.Pool.Room(o.entry.Address) <= 0 {
			full++
			continue
		}
		o.version, o.short = o.entry.Weights[p.ask.Model], short[t.ID()]
		if svc.Engine != nil && p.f.o.Outdated(p.ask.Model, o.version) {
			outdated++
			continue
		}
		out = append(out, o)
	}
	return out, noneLeft(full, suspects, outdated)
}

// allFull says that targets are there but take nothing more.
const allFull = "all targets are full"

func noneLeft(full, suspects, outdated int) string {
	switch {
	case outdated > 0:
		return "all targets hold weights that were replaced too long ago"
	case full > 0:
		return allFull
	case suspects > 0:
		return "no target answers"
	}
	return "no target is listed"
}

// crowded reports whether a worker's memory is spoken for, so that a long
// prompt would push out the parts that others wait for. The prompt's own length
// does not count: the longest would never be taken.
func (p *pass) crowded(svc *table.Service, l roster.Load) bool {
	return svc.Engine != nil && svc.Engine.MemoryTokens > 0 && p.ask.Prompt > route.ShortPrompt &&
		float64(l.Held) > heldMost*float64(svc.Engine.MemoryTokens)
}

// behind reports whether so much is read at a worker before a long prompt that
// its answer would be late. Its own length does not count.
func (p *pass) behind(svc *table.Service, l roster.Load, speed *route.Speed) bool {
	return svc.Engine != nil && p.ask.Prompt > route.ShortPrompt && p.route.Aim > 0 &&
		speed.Time(l.Unread) > time.Duration(queueMost*float64(p.route.Aim))
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

// candidate works out what a decision needs to know of an option.
func (p *pass) candidate(svc *table.Service, o option, usual bool, now time.Time) route.Candidate {
	c := route.Candidate{
		Running: o.load.Running, Slots: max(1, o.entry.Slots), Unread: o.load.Unread, Held: o.load.Held,
		Short: o.short, Far: o.entry.Domain != p.f.o.Domain, Doubtful: o.health.Lapsed, Faults: o.health.Faults, Pace: o.health.Pace,
	}
	if svc.Engine == nil {
		return c
	}
	c.Memory = svc.Engine.MemoryTokens
	c.Old = o.version < p.f.o.Named(p.ask.Model)
	for _, part := range p.sharedParts() {
		if part.Tokens < copyFrom {
			// Small parts are not looked for: they are where such requests
			// usually go.
			if usual {
				c.Kept += part.Tokens
			} else {
				c.Again += part.Tokens
			}
			continue
		}
		src := p.source(svc, o, part, now)
		switch {
		case src.here:
			c.Kept += part.Tokens
		case src.address != "":
			c.Copied += part.Tokens
			c.CopyTime += src.time
		case src.read:
			c.Again += part.Tokens
		}
	}
	return c
}

// source is where a worker gets a part from.
type source struct {
	// here tells that the worker is believed to hold the part.
	here bool
	// read tells that some worker has read the part lately.
	read bool
	// address is the store or worker that the part can be copied from, or "".
	address string
	time    time.Duration
	// until is when a copy is void, on the targets' clock; 0 for workers, which
	// free nothing that they hand out.
	until time.Duration
}

// workerFirst is the wait before the first byte of a copy between workers.
const workerFirst = 61 * time.Millisecond

// source finds a part for a worker.
func (p *pass) source(svc *table.Service, o option, part cache.Part, now time.Time) source {
	var out source
	name := cache.PartName{Salt: p.salt(o.version).String(), ID: part.ID}
	holder, read := p.f.o.Where.Find(name, now)
	out.here, out.read = holder == o.target.ID(), read
	// Parts of superseded weights in stores are about to be freed.
	if o.version >= p.f.o.Named(p.ask.Model) && p.f.o.CopyMay() {
		if place, ok := p.f.o.Kept.Find(name, o.entry.Domain, now); ok {
			out.address, out.time, out.until = place.Address, place.Time, place.Until
			return out
		}
	}
	if holder == "" || out.here {
		return out
	}
	t := p.f.o.Roster.Target(holder)
	if t == nil || t.Entry().Weights[p.ask.Model] != o.version || t.Health(now).Suspect {
		return out
	}
	out.address = t.Entry().Address
	out.time = workerFirst + linkTime(svc.Engine, part.Tokens)
	return out
}

// linkTime is how long tokens of context take over a worker's link.
func linkTime(e *table.Engine, tokens int) time.Duration {
	if e.LinkBits <= 0 {
		return 0
	}
	const bitsPerByte = 8
	return time.Duration(float64(tokens*e.TokenBytes) * bitsPerByte / e.LinkBits * float64(time.Second))
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
// where nothing speaks against it, so that it is likely to hold the parts.
// Daemons that see the same workers name the same one. Workers with the newest
// weights come first.
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
	return byName[fleet.First(fleet.Key(parts[len(parts)-1].ID), names)]
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
	p.f.o.Stats.Read.Add(p.ask.Prompt)
	p.f.o.Stats.Copied.Add(c.Copied)
	p.f.o.Stats.Kept.Add(c.Kept)
	p.note("kept %d, copied %d of %d shared in %d tokens, before it %d, running %d, held %d, expected %s, version %d",
		c.Kept, c.Copied, p.shared(), p.ask.Prompt, c.Unread, c.Running, c.Held, out.expected.Round(time.Millisecond), o.version)
	return out
}

// copies names where parts are copied from and which stores they are sent to.
func (p *pass) copies(svc *table.Service, c *choice, o option, now time.Time) {
	shared := p.sharedParts()
	if len(shared) == 0 || o.version == 0 {
		return
	}
	from, to := make([]string, len(p.ask.Parts)), make([]string, len(p.ask.Parts))
	copies, keeps := false, false
	newest := o.version >= p.f.o.Named(p.ask.Model)
	for i, part := range shared {
		if part.Tokens < copyFrom {
			continue
		}
		name := cache.PartName{Salt: c.sending.Salt, ID: part.ID}
		src := p.source(svc, o, part, now)
		if src.address != "" {
			from[i], copies = src.address, true
		}
		if src.until > 0 && (c.sending.CopyUntil == 0 || src.until < c.sending.CopyUntil) {
			c.sending.CopyUntil = src.until
		}
		if src.until == 0 && newest {
			// No store has it.
			to[i] = p.f.o.Kept.Room(name, part.Tokens, now)
			keeps = keeps || to[i] != ""
		}
		p.f.o.Where.Note(name, o.target.ID(), now)
	}
	if copies {
		c.sending.Copy = from
		p.note("copied from %s", strings.Join(from, ","))
	}
	if keeps {
		c.sending.Keep = to
		p.note("sent to %s", strings.Join(to, ","))
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
