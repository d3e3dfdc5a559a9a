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
	plainMaxLoad = 4
	// engineFull is the same for model workers.
	engineMaxLoad = 3
	// connShare is the part of a target's connections that the daemons share
	// out; the rest is left for daemons that one of them does not know of.
	connectionShare = 0.9
)

// option is one target that may get a send.
type eligibleTarget struct {
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
func (p *proxiedRequest) ownEligibleTargets(svc *table.Service, now time.Time) (own []eligibleTarget, share float64, why string) {
	all := p.relay.options.Roster.Of(p.service)
	divided := p.relay.sharded(p.service)
	if svc.Engine == nil && !divided {
		own, why = p.eligibleTargets(svc, all, true, now)
		return own, 1, why
	}
	mine := p.relay.shares.get(p.service, all, &p.relay.options)
	own, why = p.eligibleTargets(svc, mine.own, true, now)
	if divided || len(own) > 0 || why == allFull || endsAtKnownTime(why) {
		// Where all of its own rest, the others would be overrun by what these turned away. Of
		// divided targets other cells decide.
		return own, mine.fraction, why
	}
	own, why = p.eligibleTargets(svc, all, false, now)
	return own, 1, why
}

// options returns the targets of a list that may get the request, or why there are none.
// shared tells that this daemon is one of those who share the targets.
func (p *proxiedRequest) eligibleTargets(svc *table.Service, list []*roster.Target, shared bool, now time.Time) ([]eligibleTarget, string) {
	var out []eligibleTarget
	gate, reloading := p.relay.options.Roster.Gate(now), p.relay.options.Roster.Reloading(now)
	var none unavailability
	list = p.applyRollout(list)
	for _, t := range list {
		if p.tried[t.ID()] > 0 {
			continue
		}
		o := eligibleTarget{target: t, entry: t.Entry(), health: t.Health(now), load: t.Load()}
		if !p.domainAllowed(o.entry.Domain) {
			none.outsideRegions++
			continue
		}
		if !p.versions.Allows(o.entry.Version) {
			none.excludedVersions++
			continue
		}
		stop, lasts := gate.Stop(t)
		if stop == roster.Open && !shared && gate.Limits(t) {
			// Other daemons share its limit.
			stop = roster.Limited
		}
		if stop != roster.Open {
			none.count(t.ID(), stop, lasts)
			if stop == roster.Limited {
				none.rateLimitedTarget = t
			}
			continue
		}
		p.limitConnections(svc, o.entry.Address, false)
		if o.load.Running >= p.maxRunning(svc, o.entry) || p.relay.options.Pool.Room(o.entry.Address) <= 0 || !p.relay.warmUpAllows(svc, t, shared, false, now) {
			none.full++
			continue
		}
		o.version = o.entry.Weights[p.meta.Model]
		if svc.Engine != nil && reloading[t.ID()] && o.version < p.relay.options.Named(p.meta.Model) {
			none.full++
			continue
		}
		o.state = p.relay.options.Targets.State(t.ID(), p.service, now)
		if svc.Engine != nil && p.relay.options.Outdated(p.meta.Model, o.version) {
			none.outdated++
			continue
		}
		out = append(out, o)
	}
	out = p.preferVersion(out)
	why := none.reason()
	p.skipped, p.rateLimited = none.skipped, none.rateLimitedTarget
	switch {
	case len(out) > 0:
	case why == allEvacuated:
		p.expectedWait = none.evacuationAge
	case endsAtKnownTime(why):
		p.expectedWait = none.untilAvailable
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
	allUnderPushback = "all targets rest"
	// allLimited says the same of targets of which some named a request rate that leaves nothing now.
	allRateLimited = "all targets rest or are over the limits that they named"
)

// later reports whether a reason ends at a time that is known.
func endsAtKnownTime(why string) bool { return why == allUnderPushback || why == allRateLimited }

// shortage counts the targets that may not get a request, by reason.
type unavailability struct {
	full, suspects, outdated, evacuated, outsideRegions, shuttingDown, underPushback, rateLimited, excludedVersions int
	// words names the first few of the targets that are passed over by what they said, for the log.
	skipped []string
	// lasts is the longest time that an evacuation has lasted, rest the time until the first rest
	// ends or the first limit leaves something.
	evacuationAge, untilAvailable time.Duration
	// over is a target that is over its limit.
	rateLimitedTarget *roster.Target
}

// wordsMost bounds how many targets a line names that are passed over by what they said.
const maxSkippedNoted = 4

// stopped counts a target that may get no send from anybody here.
func (l *unavailability) count(id string, why roster.Stop, lasts time.Duration) {
	if (why == roster.Leaves || why == roster.Rests || why == roster.Limited) && len(l.skipped) < maxSkippedNoted {
		l.skipped = append(l.skipped, id+" "+why.String())
	}
	switch why {
	case roster.Suspect:
		l.suspects++
	case roster.Evacuated:
		l.evacuated++
		l.evacuationAge = max(l.evacuationAge, lasts)
	case roster.Leaves:
		l.shuttingDown++
	case roster.Rests, roster.Limited:
		if l.underPushback+l.rateLimited == 0 || lasts < l.untilAvailable {
			l.untilAvailable = lasts
		}
		if why == roster.Rests {
			l.underPushback++
		} else {
			l.rateLimited++
		}
	default:
	}
}

// why says why no target may get a request.
func (l *unavailability) reason() string {
	switch {
	case l.full > 0:
		return allFull
	case l.rateLimited > 0:
		return allRateLimited
	case l.underPushback > 0:
		return allUnderPushback
	case l.outdated > 0:
		return "all targets hold weights that were replaced too long ago"
	case l.suspects > 0:
		return "no target answers"
	case l.evacuated > 0:
		return allEvacuated
	case l.outsideRegions > 0:
		return "no target is in a region where the request may run"
	case l.shuttingDown > 0:
		return "all targets leave"
	case l.excludedVersions > 0:
		return "all targets are of versions that a roll-out keeps back"
	}
	return "no target is listed"
}

// most is how many requests a target may have on their way.
func (p *proxiedRequest) maxRunning(svc *table.Service, e *roster.Entry) int {
	slots := max(1, e.Slots)
	if svc.Engine != nil {
		return engineMaxLoad * slots
	}
	return plainMaxLoad * slots
}

// cellConns is the part of a divided target's connections that the daemons of its cell share; the
// rest is for the other daemons, which other cells' answers lead there.
const cellConnectionShare = 0.5

// bound shares the connections to a target out among the daemons. guest tells that the target falls
// to another cell.
func (p *proxiedRequest) limitConnections(svc *table.Service, address string, guest bool) {
	if svc.MaxConns <= 0 {
		return
	}
	conns, daemons := connectionShare*float64(svc.MaxConns), p.relay.options.Daemons()
	switch {
	case !p.relay.sharded(p.service):
	case guest:
		conns *= 1 - cellConnectionShare
	default:
		conns *= cellConnectionShare
		daemons = p.relay.options.CellDaemons()
	}
	p.relay.options.Pool.SetMost(address, max(1, int(conns/float64(max(1, daemons)))))
}
