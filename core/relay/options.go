package relay

import (
	"time"

	"embertally.dev/core/learn"
	"embertally.dev/core/roster"
	"embertally.dev/core/table"
)

// Bounds of a choice.
const (
	// plainFull is how many times its slots a plain target may have on its
	// way; more would only wait there.
	plainFull = 4
	// engineFull is the same for model workers.
	engineFull = 3
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
	state   learn.TargetState
}

// ownOptions returns the options among the workers that are this daemon's to
// use, and the part of the service's targets that these are. Where these are full the
// request waits or is refused: of other workers' load this daemon knows nothing. Only
// where none of its own answers does it use all.
func (p *pass) ownOptions(svc *table.Service, now time.Time) (own []option, share float64, why string) {
	all := p.relay.o.Roster.Of(p.service)
	divided := p.relay.divided(p.service)
	if svc.Engine == nil && !divided {
		own, why = p.options(svc, all, true, now)
		return own, 1, why
	}
	mine := p.relay.shares.of(p.service, all, &p.relay.o)
	own, why = p.options(svc, mine.own, true, now)
	if divided || len(own) > 0 || why == allFull || later(why) {
		// Where all of its own rest, the others would be overrun by what these turned away. Of
		// divided targets other cells decide.
		return own, mine.part, why
	}
	own, why = p.options(svc, all, false, now)
	return own, 1, why
}

// options returns the targets of a list that may get the request, or why there are none.
// shared tells that this daemon is one of those who share the targets.
func (p *pass) options(svc *table.Service, list []*roster.Target, shared bool, now time.Time) ([]option, string) {
	var out []option
	gate, reloading := p.relay.o.Roster.Gate(now), p.relay.o.Roster.Reloading(now)
	var none shortage
	list = p.versions(list)
	for _, t := range list {
		if p.tried[t.ID()] > 0 {
			continue
		}
		o := option{target: t, entry: t.Entry(), health: t.Health(now), load: t.Load()}
		if !p.allowed(o.entry.Domain) {
			none.elsewhere++
			continue
		}
		if !p.side.Allows(o.entry.Version) {
			none.versions++
			continue
		}
		stop, lasts := gate.Stop(t)
		if stop == roster.Open && !shared && gate.Limits(t) {
			// Other daemons share its limit.
			stop = roster.Limited
		}
		if stop != roster.Open {
			none.stopped(t.ID(), stop, lasts)
			if stop == roster.Limited {
				none.over = t
			}
			continue
		}
		p.bound(svc, o.entry.Address, false)
		if o.load.Running >= p.most(svc, o.entry) || p.relay.o.Pool.Room(o.entry.Address) <= 0 || !p.relay.coldMay(svc, t, shared, false, now) {
			none.full++
			continue
		}
		o.version = o.entry.Weights[p.ask.Model]
		if svc.Engine != nil && reloading[t.ID()] && o.version < p.relay.o.Named(p.ask.Model) {
			none.full++
			continue
		}
		o.state = p.relay.o.Targets.State(t.ID(), p.service, now)
		if svc.Engine != nil && p.relay.o.Outdated(p.ask.Model, o.version) {
			none.outdated++
			continue
		}
		out = append(out, o)
	}
	out = p.preferred(out)
	why := none.why()
	p.words, p.over = none.words, none.over
	switch {
	case len(out) > 0:
	case why == allEvacuated:
		p.line = none.lasts
	case later(why):
		p.line = none.rest
	}
	return out, why
}

// Reasons why no target may get a request.
const (
	// allFull says that targets are there but take nothing more now.
	allFull      = "all targets are full"
	allEvacuated = "all failure domains of the service are evacuated"
	// allRest says that targets are there and each asked this daemon for rest; the first
	// of these ends at a time that is known.
	allRest = "all targets rest"
	// allLimited says the same of targets of which some named a request rate that leaves nothing now.
	allLimited = "all targets rest or are over the limits that they named"
)

// later reports whether a reason ends at a time that is known.
func later(why string) bool { return why == allRest || why == allLimited }

// shortage counts the targets that may not get a request, by reason.
type shortage struct {
	full, suspects, outdated, evacuated, elsewhere, leaving, resting, limited, versions int
	// words names the first few of the targets that are passed over by what they said, for the log.
	words []string
	// lasts is the longest time that an evacuation has lasted, rest the time until the first rest
	// ends or the first limit leaves something.
	lasts, rest time.Duration
	// over is a target that is over its limit.
	over *roster.Target
}

// wordsMost bounds how many targets a line names that are passed over by what they said.
const wordsMost = 4

// stopped counts a target that may get no send from anybody here.
func (l *shortage) stopped(id string, why roster.Stop, lasts time.Duration) {
	if (why == roster.Leaves || why == roster.Rests || why == roster.Limited) && len(l.words) < wordsMost {
		l.words = append(l.words, id+" "+why.String())
	}
	switch why {
	case roster.Suspect:
		l.suspects++
	case roster.Evacuated:
		l.evacuated++
		l.lasts = max(l.lasts, lasts)
	case roster.Leaves:
		l.leaving++
	case roster.Rests, roster.Limited:
		if l.resting+l.limited == 0 || lasts < l.rest {
			l.rest = lasts
		}
		if why == roster.Rests {
			l.resting++
		} else {
			l.limited++
		}
	default:
	}
}

// why says why no target may get a request.
func (l *shortage) why() string {
	switch {
	case l.full > 0:
		return allFull
	case l.limited > 0:
		return allLimited
	case l.resting > 0:
		return allRest
	case l.outdated > 0:
		return "all targets hold weights that were replaced too long ago"
	case l.suspects > 0:
		return "no target answers"
	case l.evacuated > 0:
		return allEvacuated
	case l.elsewhere > 0:
		return "no target is in a region where the request may run"
	case l.leaving > 0:
		return "all targets leave"
	case l.versions > 0:
		return "all targets are of versions that a roll-out keeps back"
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

// cellConns is the part of a divided target's connections that the daemons of its cell share; the
// rest is for the other daemons, which other cells' answers lead there.
const cellConns = 0.5

// bound shares the connections to a target out among the daemons. guest tells that the target falls
// to another cell.
func (p *pass) bound(svc *table.Service, address string, guest bool) {
	if svc.MaxConns <= 0 {
		return
	}
	conns, daemons := connShare*float64(svc.MaxConns), p.relay.o.Daemons()
	switch {
	case !p.relay.divided(p.service):
	case guest:
		conns *= 1 - cellConns
	default:
		conns *= cellConns
		daemons = p.relay.o.CellDaemons()
	}
	p.relay.o.Pool.SetMost(address, max(1, int(conns/float64(max(1, daemons)))))
}
