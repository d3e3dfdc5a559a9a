package relay

import (
	"time"

	"embertally.dev/core/learn"
	"embertally.dev/core/roster"
	"embertally.dev/core/table"
)

// Bounds on the load and connections of a target.
const (
	// plainMaxLoad is how many requests a plain target may have in flight, as a multiple of its
	// slots; more would only queue there.
	plainMaxLoad = 4
	// engineMaxLoad is the same for model workers.
	engineMaxLoad = 3
	// connectionShare is the fraction of a target's connections that the daemons divide among
	// themselves; the rest is for daemons that are missing from the view of one of them.
	connectionShare = 0.9
)

// eligibleTarget is a target that may get the request, with its state at the time of the decision.
type eligibleTarget struct {
	target        *roster.Target
	entry         *roster.Entry
	health        roster.Health
	load          roster.Load
	weightVersion int64
	state         learn.TargetState
	// probe is set if the request probes the target, whose connections were slow to open.
	probe bool
}

// ownEligibleTargets returns the eligible targets among those that this daemon uses, and the
// fraction of the service's targets that it uses. If those are full, the request waits or is
// refused, since this daemon has not recorded the load of other workers. It falls back to all targets
// only if none of its own responds.
func (p *proxiedRequest) ownEligibleTargets(svc *table.Service, now time.Time) (own []eligibleTarget, fraction float64, reason string) {
	all := p.relay.options.Roster.ByService(p.service)
	sharded := p.relay.sharded(p.service)
	if svc.Engine == nil && !sharded {
		own, reason = p.eligibleTargets(svc, all, true, now)
		return own, 1, reason
	}
	share := p.relay.shares.get(p.service, all, &p.relay.options)
	own, reason = p.eligibleTargets(svc, share.own, true, now)
	if sharded || len(own) > 0 || reason == allFull || (endsAtKnownTime(reason) && reason != allUnsettled) {
		// If all of its own are under pushback, what they rejected would overload the others.
		// Sharded targets outside the cell are chosen by other cells.
		return own, share.fraction, reason
	}
	own, reason = p.eligibleTargets(svc, all, false, now)
	return own, 1, reason
}

// eligibleTargets returns the targets of a list that may get the request, or why there are none.
// shared is set if this daemon is one of those that use these targets.
func (p *proxiedRequest) eligibleTargets(svc *table.Service, list []*roster.Target, shared bool, now time.Time) ([]eligibleTarget, string) {
	// avoided are those whose connections were slow to open: the last resort.
	var out, avoided []eligibleTarget
	availability, reloading := p.relay.options.Roster.Availability(now), p.relay.options.Roster.Reloading(now)
	unavailable := unavailability{bound: p.versions.Bound}
	list = p.applyRollout(list)
	untilRouteSettled := p.untilRouteSettled(p.service)
	for _, t := range list {
		candidate := eligibleTarget{target: t, entry: t.Entry(), health: t.Health(now), load: t.Load()}
		if p.attempted(t, candidate.entry.Address) {
			continue
		}
		if !p.domainAllowed(candidate.entry.Domain) {
			unavailable.outsideRegions++
			continue
		}
		if !p.versions.Allows(candidate.entry.Version) {
			unavailable.excludedVersions++
			continue
		}
		if wait := max(untilRouteSettled, p.untilSettled(candidate.entry.Version)); wait > 0 {
			unavailable.countUnsettled(wait)
			continue
		}
		reason, duration := availability.Reason(t)
		if reason == roster.Available && !shared && availability.RateLimited(t) {
			// Its rate limit is divided among other daemons.
			reason = roster.RateLimited
		}
		if reason != roster.Available {
			unavailable.count(t.ID(), reason, duration)
			if reason == roster.RateLimited {
				unavailable.rateLimitedTarget = t
			}
			continue
		}
		p.limitConnections(svc, candidate.entry.Address, false)
		if room, limited := availability.Room(t); limited && t.LocalLoad().Running >= room {
			unavailable.full++
			if room == 0 || candidate.load.Running < max(1, candidate.entry.Slots) {
				// Another daemon has a free slot there, or had one a heartbeat ago.
				unavailable.sharedTarget = t
			}
			continue
		}
		if candidate.load.Running >= p.maxRunning(svc, candidate.entry) ||
			p.relay.options.Pool.FreeCapacity(candidate.entry.Address) <= 0 || !p.relay.warmUpAllows(svc, t, shared, false, now) {
			unavailable.full++
			if p.relay.options.Pool.OnlyOpening(candidate.entry.Address) {
				unavailable.opening++
			}
			continue
		}
		candidate.weightVersion = candidate.entry.Weights[p.meta.Model]
		if svc.Engine != nil && reloading[t.ID()] &&
			candidate.weightVersion < p.relay.options.DesiredWeights(p.meta.Model) {
			unavailable.full++
			continue
		}
		if svc.Engine != nil && candidate.weightVersion <= 0 {
			unavailable.unversioned++
			continue
		}
		candidate.state = p.relay.options.TargetStats.State(t.ID(), p.service, now)
		if outdated := p.weightsOutdated(candidate.weightVersion); outdated > 0 {
			unavailable.countOutdated(outdated)
			continue
		}
		switch p.slowStatus(svc, candidate.target, now) {
		case roster.SlowAvoided:
			avoided = append(avoided, candidate)
			continue
		case roster.SlowProbation:
			candidate.probe = true
		default:
		}
		out = append(out, candidate)
	}
	if len(out) == 0 && unavailable.full == 0 {
		out = avoided
	}
	out = p.preferVersion(out)
	reason := unavailable.reason()
	if reason == allUnsettled && untilRouteSettled > 0 {
		reason = routeUnsettled
	}
	p.skipped, p.rateLimited = unavailable.skipped, unavailable.rateLimitedTarget
	p.notOpen, p.full = unavailable.opening, unavailable.full
	p.sharedTarget = unavailable.sharedTarget
	switch {
	case len(out) > 0:
	case reason == allEvacuated:
		p.expectedWait = unavailable.evacuationAge
	case reason == allOutdated:
		p.expectedWait = max(minUpdateTime, unavailable.outdatedFor)
	case endsAtKnownTime(reason):
		p.expectedWait = unavailable.untilAvailable
	}
	return out, reason
}

// Reasons why no target may get a request.
const (
	// allFull: targets are available, but have no free capacity.
	allFull      = "all targets are full"
	allEvacuated = "all failure domains of the service are evacuated"
	// noneAnswers: the targets that may get the request gave no response to recent ones.
	noneAnswers = "no target answers"
	// versionGone: the request resumes a stream, and no target of the version that began it is listed, or a rollout
	// keeps the version back.
	versionGone = "no target of the version that began the stream may be used"
	// versionLeaving: as versionGone, but some such targets are shutting down.
	versionLeaving = "all targets of the version that began the stream leave"
	// allUnderPushback: each target is under pushback for this daemon. It is known when the first
	// pushback ends.
	allUnderPushback = "all targets rest"
	// allRateLimited: as allUnderPushback, but some targets are rate-limited.
	allRateLimited = "all targets rest or are over the limits that they named"
	// allOutdated: the targets that may get the request have not loaded newer weights yet.
	allOutdated = "all targets hold weights that were replaced too long ago"
	// allUnsettled: the request would begin a stream at a version that some daemon may not know yet.
	allUnsettled = "all targets are of versions that have just been listed"
	// routeUnsettled: the request would begin a stream at a service to which some daemon may not know that the route leads.
	routeUnsettled = "the route has just been led to the service"
)

// endsAtKnownTime reports whether it is known when a reason ends.
func endsAtKnownTime(reason string) bool {
	return reason == allUnderPushback || reason == allRateLimited || reason == allUnsettled || reason == routeUnsettled
}

// unavailability counts the targets that may not get a request, by reason.
type unavailability struct {
	full, suspects, unversioned, outdated, evacuated, outsideRegions, shuttingDown, underPushback, rateLimited,
	excludedVersions, unsettled int
	// bound is set if the request may go to one version only.
	bound bool
	// sharedTarget is one of full with slots that are not this daemon's and may be free; nil if there is none.
	sharedTarget *roster.Target
	// opening counts those of full to which this daemon has no connection, only some being opened.
	opening int
	// skipped lists the first few targets that are skipped for their self-reported state, for the
	// log.
	skipped []string
	// evacuationAge is the age of the oldest evacuation, untilAvailable the time until the first
	// pushback ends, the first permit is due or the first version is settled.
	evacuationAge, untilAvailable time.Duration
	// outdatedFor is how long the weights of a target have been outdated, of the one that became so last.
	outdatedFor time.Duration
	// rateLimitedTarget is one of the rate-limited targets.
	rateLimitedTarget *roster.Target
}

// maxSkippedNoted bounds how many skipped targets a log line names.
const maxSkippedNoted = 4

// count counts a target that is unavailable to this daemon. duration is what is known of how long
// that lasts; see roster.Availability.Reason.
func (u *unavailability) count(id string, reason roster.UnavailabilityReason, duration time.Duration) {
	if (reason == roster.ShuttingDown || reason == roster.UnderPushback || reason == roster.RateLimited) &&
		len(u.skipped) < maxSkippedNoted {
		u.skipped = append(u.skipped, id+" "+reason.String())
	}
	switch reason {
	case roster.Suspect:
		u.suspects++
	case roster.Evacuated:
		u.evacuated++
		u.evacuationAge = max(u.evacuationAge, duration)
	case roster.ShuttingDown:
		u.shuttingDown++
	case roster.UnderPushback, roster.RateLimited:
		u.availableIn(duration)
		if reason == roster.UnderPushback {
			u.underPushback++
		} else {
			u.rateLimited++
		}
	default:
	}
}

// availableIn records after which time a target becomes available. It is called before the target is counted.
func (u *unavailability) availableIn(duration time.Duration) {
	if u.underPushback+u.rateLimited+u.unsettled == 0 || duration < u.untilAvailable {
		u.untilAvailable = duration
	}
}

// countUnsettled counts a target of a version that is not settled.
func (u *unavailability) countUnsettled(remaining time.Duration) {
	u.availableIn(remaining)
	u.unsettled++
}

// minUpdateTime is the least time that an update of a worker's weights takes.
const minUpdateTime = time.Second

// countOutdated counts a target whose weights have been outdated for some time.
func (u *unavailability) countOutdated(duration time.Duration) {
	if u.outdated++; u.outdated == 1 || duration < u.outdatedFor {
		u.outdatedFor = duration
	}
}

// reason returns why no target may get the request.
func (u *unavailability) reason() string {
	switch {
	case u.full > 0:
		return allFull
	case u.rateLimited > 0:
		return allRateLimited
	case u.underPushback > 0:
		return allUnderPushback
	case u.unsettled > 0:
		return allUnsettled
	case u.unversioned > 0:
		return "no target reports a version of the model's weights"
	case u.outdated > 0:
		return allOutdated
	case u.suspects > 0:
		return noneAnswers
	case u.evacuated > 0:
		return allEvacuated
	case u.outsideRegions > 0:
		return "no target is in a region where the request may run"
	case u.shuttingDown > 0 && u.bound:
		return versionLeaving
	case u.shuttingDown > 0:
		return "all targets leave"
	case u.excludedVersions > 0 && u.bound:
		return versionGone
	case u.excludedVersions > 0:
		return "all targets are of versions that a roll-out keeps back"
	}
	return "no target is listed"
}

// maxRunning is how many requests a target may have in flight.
func (p *proxiedRequest) maxRunning(svc *table.Service, e *roster.Entry) int {
	slots := max(1, e.Slots)
	if svc.Engine != nil {
		return engineMaxLoad * slots
	}
	return plainMaxLoad * slots
}

// cellConnectionShare is the fraction of a sharded target's connections that the daemons of its
// cell divide; the rest is for daemons that other cells' placements direct there.
const cellConnectionShare = 0.5

// limitConnections sets this daemon's share of the connections to a target. external is set if the
// target belongs to another cell.
func (p *proxiedRequest) limitConnections(svc *table.Service, address string, external bool) {
	if svc.MaxConnsPerTarget > 0 {
		p.relay.options.Pool.SetMaxConns(address, p.relay.connectionShare(p.service, svc, external))
	}
}

// connectionShare returns how many connections to a target of a service this daemon may have; 0 means no bound.
// external is set if the target belongs to another cell.
func (rl *Relay) connectionShare(service string, svc *table.Service, external bool) int {
	if svc.MaxConnsPerTarget <= 0 {
		return 0
	}
	limit, daemons := connectionShare*float64(svc.MaxConnsPerTarget), rl.options.DaemonCount()
	switch {
	case !rl.sharded(service):
	case external:
		limit *= 1 - cellConnectionShare
	default:
		limit *= cellConnectionShare
		daemons = rl.options.CellDaemonCount()
	}
	return max(1, int(limit/float64(max(1, daemons))))
}

// ConnectionShare returns how many connections to a listed target this daemon may have; 0 means no bound.
func (rl *Relay) ConnectionShare(id string) int {
	t, table := rl.options.Roster.Target(id), rl.Table()
	if t == nil || table == nil {
		return 1
	}
	e := t.Entry()
	svc := table.Service(e.Service)
	if svc == nil {
		return 1
	}
	external := rl.options.InOwnCell != nil && !rl.options.InOwnCell(e.Name, e.Domain)
	return rl.connectionShare(e.Service, svc, external)
}
