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
func (p *proxiedRequest) ownEligibleTargets(svc *table.Service, now time.Time) (own []eligibleTarget, fraction float64, reason string) {
	all := p.relay.options.Roster.Of(p.service)
	divided := p.relay.sharded(p.service)
	if svc.Engine == nil && !divided {
		own, reason = p.eligibleTargets(svc, all, true, now)
		return own, 1, reason
	}
	share := p.relay.shares.get(p.service, all, &p.relay.options)
	own, reason = p.eligibleTargets(svc, share.own, true, now)
	if divided || len(own) > 0 || reason == allFull || endsAtKnownTime(reason) {
		// Where all of its own rest, the others would be overrun by what these turned away. Of
		// divided targets other cells decide.
		return own, share.fraction, reason
	}
	own, reason = p.eligibleTargets(svc, all, false, now)
	return own, 1, reason
}

// options returns the targets of a list that may get the request, or why there are none.
// shared tells that this daemon is one of those who share the targets.
func (p *proxiedRequest) eligibleTargets(svc *table.Service, list []*roster.Target, shared bool, now time.Time) ([]eligibleTarget, string) {
	var out []eligibleTarget
	availability, reloading := p.relay.options.Roster.Gate(now), p.relay.options.Roster.Reloading(now)
	var rejected unavailability
	list = p.applyRollout(list)
	for _, t := range list {
		if p.tried[t.ID()] > 0 {
			continue
		}
		candidate := eligibleTarget{target: t, entry: t.Entry(), health: t.Health(now), load: t.Load()}
		if !p.domainAllowed(candidate.entry.Domain) {
			rejected.outsideRegions++
			continue
		}
		if !p.versions.Allows(candidate.entry.Version) {
			rejected.excludedVersions++
			continue
		}
		stop, duration := availability.Stop(t)
		if stop == roster.Open && !shared && availability.Limits(t) {
			// Other daemons share its limit.
			stop = roster.Limited
		}
		if stop != roster.Open {
			rejected.count(t.ID(), stop, duration)
			if stop == roster.Limited {
				rejected.rateLimitedTarget = t
			}
			continue
		}
		p.limitConnections(svc, candidate.entry.Address, false)
		if candidate.load.Running >= p.maxRunning(svc, candidate.entry) || p.relay.options.Pool.Room(candidate.entry.Address) <= 0 || !p.relay.warmUpAllows(svc, t, shared, false, now) {
			rejected.full++
			continue
		}
		candidate.version = candidate.entry.Weights[p.meta.Model]
		if svc.Engine != nil && reloading[t.ID()] && candidate.version < p.relay.options.Named(p.meta.Model) {
			rejected.full++
			continue
		}
		candidate.state = p.relay.options.Targets.State(t.ID(), p.service, now)
		if svc.Engine != nil && p.relay.options.Outdated(p.meta.Model, candidate.version) {
			rejected.outdated++
			continue
		}
		out = append(out, candidate)
	}
	out = p.preferVersion(out)
	reason := rejected.reason()
	p.skipped, p.rateLimited = rejected.skipped, rejected.rateLimitedTarget
	switch {
	case len(out) > 0:
	case reason == allEvacuated:
		p.expectedWait = rejected.evacuationAge
	case endsAtKnownTime(reason):
		p.expectedWait = rejected.untilAvailable
	}
	return out, reason
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
func endsAtKnownTime(reason string) bool {
	return reason == allUnderPushback || reason == allRateLimited
}

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
func (u *unavailability) count(id string, reason roster.Stop, duration time.Duration) {
	if (reason == roster.Leaves || reason == roster.Rests || reason == roster.Limited) && len(u.skipped) < maxSkippedNoted {
		u.skipped = append(u.skipped, id+" "+reason.String())
	}
	switch reason {
	case roster.Suspect:
		u.suspects++
	case roster.Evacuated:
		u.evacuated++
		u.evacuationAge = max(u.evacuationAge, duration)
	case roster.Leaves:
		u.shuttingDown++
	case roster.Rests, roster.Limited:
		if u.underPushback+u.rateLimited == 0 || duration < u.untilAvailable {
			u.untilAvailable = duration
		}
		if reason == roster.Rests {
			u.underPushback++
		} else {
			u.rateLimited++
		}
	default:
	}
}

// why says why no target may get a request.
func (u *unavailability) reason() string {
	switch {
	case u.full > 0:
		return allFull
	case u.rateLimited > 0:
		return allRateLimited
	case u.underPushback > 0:
		return allUnderPushback
	case u.outdated > 0:
		return "all targets hold weights that were replaced too long ago"
	case u.suspects > 0:
		return "no target answers"
	case u.evacuated > 0:
		return allEvacuated
	case u.outsideRegions > 0:
		return "no target is in a region where the request may run"
	case u.shuttingDown > 0:
		return "all targets leave"
	case u.excludedVersions > 0:
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
func (p *proxiedRequest) limitConnections(svc *table.Service, address string, external bool) {
	if svc.MaxConns <= 0 {
		return
	}
	limit, daemons := connectionShare*float64(svc.MaxConns), p.relay.options.Daemons()
	switch {
	case !p.relay.sharded(p.service):
	case external:
		limit *= 1 - cellConnectionShare
	default:
		limit *= cellConnectionShare
		daemons = p.relay.options.CellDaemons()
	}
	p.relay.options.Pool.SetMost(address, max(1, int(limit/float64(max(1, daemons)))))
}
