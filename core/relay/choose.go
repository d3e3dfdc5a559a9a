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

// randomFraction returns a random number in [0, 1).
func (rl *Relay) randomFraction() float64 {
	if rl.options.Random != nil {
		return rl.options.Random()
	}
	return rand.Float64()
}

// choice is the target of one attempt and what was expected of it.
type choice struct {
	target *roster.Target
	// weightVersion is the version of the target's weights; 0 if it is not known.
	weightVersion int64
	transfers     transfers
	load          roster.Load
	// evaluation is what was expected of the target, and baseline the expected time to a first
	// answer of any target of the service with the same load.
	evaluation route.Evaluation
	baseline   time.Duration
	// factors are the inputs of that time.
	factors learn.Factors
	// plan is how the target gets the shared segments; eligible and candidate are the inputs of the
	// decision. plan and eligible are set only in the daemon that decided.
	plan      segmentPlan
	eligible  eligibleTarget
	candidate route.Candidate
	// side is where the request runs in relation to the division of the workers; empty if they are not
	// divided or another daemon chose.
	side divisionSide
	// onlyCandidate is set if there was no other eligible target.
	onlyCandidate bool
	// report sends updates to the daemon that made the choice; nil if this one did.
	report *ownerReport
	// loadCounted is set while load is counted at the target.
	loadCounted bool
	// permit is the permit for a target with a rate limit, and sentAt when the request was sent.
	permit roster.Permit
	sentAt clock.Time
	// sentVersion is the software version in the target's entry when the request was sent. bound is set once an event of the
	// answer has been passed on as one of that version.
	sentVersion string
	bound       bool
}

// transfers is which segments a target copies from elsewhere and stores. Its fields are those of AttemptMeta.
type transfers struct {
	copyFrom     []string
	copyDeadline time.Duration
	storeTo      []string
}

// addLoad counts the load of the choice at its target.
func (c *choice) addLoad() {
	if !c.loadCounted {
		c.target.AddLoad(c.load)
		c.loadCounted = true
	}
}

// releaseLoad takes back what addLoad counted if the choice is not used.
func (c *choice) releaseLoad() {
	if c != nil && c.loadCounted {
		c.target.RemoveLoad(c.load)
		c.loadCounted = false
	}
}

// discard ends a choice that is not used.
func (c *choice) discard() {
	c.releaseLoad()
	if c != nil && c.report != nil && c.report.counted {
		c.report.reportEnd()
	}
}

// choose returns the target of the next attempt, or why there is none.
func (p *proxiedRequest) choose(ctx context.Context) (*choice, string) {
	if time.Until(p.deadline) < minAttemptTime {
		return nil, "no time is left"
	}
	svc := p.table.Service(p.service)
	if svc == nil {
		return nil, "the service is not configured"
	}
	own, reason := p.chooseLocal(svc, time.Now())
	if remote := p.chooseByOwner(ctx, svc, own); remote != nil {
		own.releaseLoad()
		return remote, ""
	}
	if own == nil && p.relay.sharded(p.service) {
		if remote := p.chooseInOtherCell(ctx, svc); remote != nil {
			return remote, ""
		}
	}
	if own == nil && reason == allRateLimited {
		if remote := p.chooseByPermit(ctx, svc); remote != nil {
			return remote, ""
		}
	}
	if own == nil && p.sharedTarget != nil {
		if remote := p.chooseByShare(ctx, svc); remote != nil {
			return remote, ""
		}
	}
	return own, reason
}

// chooseLocal chooses among the targets whose load this daemon has recorded. It counts the load
// before the next request is decided: concurrent requests would otherwise all choose the same idle
// target.
func (p *proxiedRequest) chooseLocal(svc *table.Service, now time.Time) (*choice, string) {
	p.relay.chooseMu.Lock()
	defer p.relay.chooseMu.Unlock()
	c, reason := p.pickLocal(svc, now)
	if c != nil {
		c.addLoad()
	}
	return c, reason
}

// pickLocal is chooseLocal without counting the load. It is called with chooseMu held.
func (p *proxiedRequest) pickLocal(svc *table.Service, now time.Time) (*choice, string) {
	targets, share, reason := p.ownEligibleTargets(svc, now)
	alternatives := p.alternatives(svc, targets, now)
	candidates := make([]route.Candidate, len(alternatives))
	for i := range alternatives {
		candidates[i] = alternatives[i].candidate
	}
	division := p.relay.division(svc, now)
	p.applyDivision(division, candidates, alternatives)
	input, estimate := p.routeInput(len(targets), share, now), p.estimate(now)
	placementInput := route.PlacementInput{
		ContextHash: p.contextHash(), Turn: p.relay.choiceCount.Add(1), Random: p.relay.randomFraction(),
	}
	index, evaluation := route.PickWith(p.placement(svc), &input, candidates, estimate,
		&p.relay.options.Costs, placementInput)
	if index < 0 {
		return nil, reason
	}
	best := &alternatives[index]
	out := &choice{
		target: best.eligible.target, weightVersion: best.eligible.weightVersion, plan: best.plan, eligible: best.eligible,
		candidate: candidates[index], onlyCandidate: len(targets) == 1, evaluation: evaluation,
	}
	out.factors = best.candidate.Factors(&input)
	out.baseline = estimate.Time(out.factors)
	p.recordDivision(division, out)
	p.fillLoad(svc, out)
	return out, ""
}

// alternative is one way to serve a request: a target and how it gets the shared segments.
type alternative struct {
	eligible  eligibleTarget
	plan      segmentPlan
	candidate route.Candidate
}

// alternatives returns the ways to serve a request. For each target these are copying the segments
// that can be copied and, where the placement weighs costs, prefilling everything that the target
// has not cached: a short prompt whose prefill takes milliseconds would miss its latency objective
// while it waits for a copy queued on a slow link.
func (p *proxiedRequest) alternatives(svc *table.Service, targets []eligibleTarget, now time.Time) []alternative {
	out := make([]alternative, 0, 2*len(targets))
	segmentsOf := map[int64][]sharedSegment{}
	for _, t := range targets {
		copying := alternative{eligible: t, candidate: p.candidate(svc, t)}
		if svc.Engine == nil {
			out = append(out, copying)
			continue
		}
		segments, found := segmentsOf[t.weightVersion]
		if !found {
			segments = p.findSegments(t.weightVersion, now)
			segmentsOf[t.weightVersion] = segments
		}
		copying.plan = p.planSegments(svc, t, segments, now)
		prefill := copying
		copying.plan.applyTo(&copying.candidate, segments)
		out = append(out, copying)
		if copying.plan.copyCount > 0 && p.placement(svc) == route.LowestCost && !p.relay.options.Disabled.Prefill {
			prefill.plan.copyCount, prefill.plan.copyTime = 0, 0
			prefill.plan.applyTo(&prefill.candidate, segments)
			out = append(out, prefill)
		}
	}
	return out
}

// placement returns the policy that chooses the target. The policies used as baselines in
// measurements apply to engines only.
func (p *proxiedRequest) placement(svc *table.Service) route.Placement {
	if svc.Engine == nil {
		return route.LowestCost
	}
	return p.relay.options.Placement
}

// contextHash returns the hash of the last shared segment, or 0.
func (p *proxiedRequest) contextHash() uint64 {
	segments := p.sharedSegments()
	if len(segments) == 0 {
		return 0
	}
	return fleet.Key(segments[len(segments)-1].ID)
}

// routeInput returns the inputs that a decision among some targets takes from the request. share is
// the fraction of the service's targets that they were taken from.
func (p *proxiedRequest) routeInput(targets int, share float64, now time.Time) route.PickRequest {
	out := route.PickRequest{
		Tokens: p.meta.PromptTokens, Bytes: p.bodyBytes, Objective: p.route.LatencyObjective,
		Elapsed: now.Sub(p.start), Remaining: p.answerDeadline().Sub(now),
		UtilityRate: share * p.relay.utilityRate(p.service, targets, now),
	}
	if p.relay.options.Disabled.QueueCost {
		out.UtilityRate = 0
	}
	return out
}

// candidate returns the inputs that a decision takes from a target, except for those of the shared
// segments.
func (p *proxiedRequest) candidate(svc *table.Service, t eligibleTarget) route.Candidate {
	disabled := &p.relay.options.Disabled
	c := route.Candidate{
		Running: t.load.Running, Slots: max(1, t.entry.Slots), QueuedTokens: t.load.QueuedTokens,
		OccupiedTokens: t.load.OccupiedTokens,
		CrossDomain:    t.entry.Domain != p.originDomain && !disabled.LocalDomain,
		NoConnection: (p.remote || !p.relay.options.Pool.HasIdle(t.entry.Address)) &&
			!disabled.OpenConnections, Lapsed: t.health.Lapsed,
		FailureShare: t.state.FailureShare, Slowdown: t.state.Slowdown,
	}
	if svc.Engine != nil {
		if !disabled.MemoryPressure {
			c.MemoryTokens = svc.Engine.MemoryTokens
		}
		c.OldWeights = t.weightVersion < p.relay.options.DesiredWeights(p.meta.Model)
	}
	return c
}

// fillLoad sets the load and the transfers of a choice.
func (p *proxiedRequest) fillLoad(svc *table.Service, c *choice) {
	c.load = roster.Load{Running: 1}
	if svc.Engine == nil {
		return
	}
	c.load.QueuedTokens = c.factors.OwnTokens
	c.load.OccupiedTokens = p.meta.PromptTokens
	if c.weightVersion == 0 || !p.relay.options.Placement.Exports() {
		return
	}
	p.setCopySources(&c.transfers, &c.plan)
	if c.weightVersion >= p.relay.options.DesiredWeights(p.meta.Model) && !p.relay.options.Disabled.StoreCopies {
		p.setStoreTargets(&c.transfers, c.plan.sources, c.weightVersion, clock.Now())
	}
}

// recordChoice records that the choice is used.
func (p *proxiedRequest) recordChoice(c *choice, now time.Time) {
	if c.report != nil {
		p.note("chosen by %s", c.report.peer)
	}
	if !p.isPrompt() {
		return
	}
	p.relay.options.Stats.PromptTokens.Add(p.meta.PromptTokens)
	p.relay.options.Stats.PromptTokensCopied.Add(c.candidate.CopiedTokens)
	p.relay.options.Stats.PromptTokensCached.Add(c.candidate.CachedTokens)
	if c.report != nil {
		c.report.reportSent()
	} else {
		p.recordUse(c, now)
		p.recordPrefill(c, now)
	}
	p.noteChoice(c)
}

// noteChoice records the choice for the log line.
func (p *proxiedRequest) noteChoice(c *choice) {
	if len(c.transfers.copyFrom) > 0 {
		p.note("copied from %s", strings.Join(c.transfers.copyFrom, ","))
	}
	if len(c.transfers.storeTo) > 0 {
		p.note("stored in %s", strings.Join(c.transfers.storeTo, ","))
	}
	candidate := &c.candidate
	p.note("cached %d and copied %d of %d shared tokens, prompt %d tokens, queued %d tokens, running %d, occupied %d tokens, expected %s, on-time probability %.2f, utility %.2f, weights %d",
		candidate.CachedTokens, candidate.CopiedTokens, p.sharedTokens(), p.meta.PromptTokens,
		candidate.QueuedTokens, candidate.Running, candidate.OccupiedTokens,
		c.evaluation.Expected.Round(time.Millisecond),
		c.evaluation.WithinObjective, c.evaluation.NetUtility, c.weightVersion)
	p.notePauses(c)
}

// Priorities of requests at model workers; 0 is the most urgent.
const (
	priorityLevels = 10
	// levelsPerOrganisation makes the organisation's priority outrank the route's.
	levelsPerOrganisation = 3
)

// priority returns the request's priority at model workers.
func (p *proxiedRequest) priority() int {
	own := 1
	if p.organisation != nil {
		own = p.organisation.Priority
	}
	return max(0, min(priorityLevels-1, own*levelsPerOrganisation+min(p.route.Priority, levelsPerOrganisation-1)))
}
