package relay

import (
	"time"

	"embertally.dev/core/roster"
	"embertally.dev/core/route"
	"embertally.dev/core/table"
)

// Bounds of a choice.
const (
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

// ownOptions returns the options among the workers that are this daemon's to
// use. Where these are full the request waits or is refused: of other workers'
// load this daemon knows nothing. Only where none of its own answers does it use
// all.
func (p *pass) ownOptions(svc *table.Service, now time.Time) ([]option, string) {
	if svc.Engine == nil {
		return p.options(svc, nil, nil, now)
	}
	names := p.relay.workers(p.service)
	short := p.relay.shortWorkers(p.service, names)
	mine := make(map[string]bool, len(names))
	for _, name := range names {
		mine[name] = true
	}
	own, why := p.options(svc, mine, short, now)
	if len(own) > 0 || why == allFull {
		return own, why
	}
	return p.options(svc, nil, short, now)
}

// options returns the targets that may get the request, or why there are none.
// Where mine is not nil only the targets in it are looked at; short holds those
// that are set aside for short prompts.
func (p *pass) options(svc *table.Service, mine, short map[string]bool, now time.Time) ([]option, string) {
	var out []option
	ordered := p.relay.o.Roster.Ordered(now)
	full, suspects, outdated := 0, 0, 0
	speed := p.relay.speed(p.service)
	for _, t := range p.relay.o.Roster.Of(p.service) {
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
		if o.load.Running >= p.most(svc, o.entry) || p.crowded(svc, o.load) || p.behind(svc, o.load, &speed) || p.relay.o.Pool.Room(o.entry.Address) <= 0 {
			full++
			continue
		}
		o.version, o.short = o.entry.Weights[p.ask.Model], short[t.ID()]
		if svc.Engine != nil && p.relay.o.Outdated(p.ask.Model, o.version) {
			outdated++
			continue
		}
		out = append(out, o)
	}
	return out, noneLeft(full, suspects, outdated)
}

// allFull says that targets are there but take nothing more.
const allFull = "all targets are full"

// noneLeft says why no target may get a request.
func noneLeft(full, suspects, outdated int) string {
	switch {
	case full > 0:
		return allFull
	case outdated > 0:
		return "all targets hold weights that were replaced too long ago"
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
		share := connShare * float64(svc.MaxConns) / float64(max(1, p.relay.o.Daemons()))
		p.relay.o.Pool.SetMost(address, max(1, int(share)))
	}
}
