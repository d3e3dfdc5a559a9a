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

// draw returns a random number from 0 to 1.
func randomFraction() float64 { return rand.Float64() }

// choice is the target of one send and what is said to it.
type choice struct {
	target *roster.Target
	meta   Sending
	load   roster.Load
	// judged is what was expected of it, and usual the time to the first answer
	// that would be expected of any target of the service with its load.
	judgement route.Judgement
	baseline  time.Duration
	// factors are what that time depends on.
	factors learn.Factors
	// plan is how the target gets the shared parts, option and candidate what the
	// decision knew of it. Only the daemon that decided has plan and option.
	plan      segmentPlan
	eligible  eligibleTarget
	candidate route.Candidate
	// alone tells that there was no other candidate.
	onlyCandidate bool
	// order is where the choice came from, where another daemon made it.
	report *ownerReport
	// taken tells that its load is counted at the target.
	loadCounted bool
	// token is the right to send to a target with a limit, and sent when the request was sent.
	permit roster.Token
	sentAt clock.Time
}

// take counts the load of a choice at its target.
func (c *choice) addLoad() {
	if !c.loadCounted {
		c.target.Begin(c.load)
		c.loadCounted = true
	}
}

// release takes back what take counted, where the choice is not made use of.
func (c *choice) releaseLoad() {
	if c != nil && c.loadCounted {
		c.target.End(c.load)
		c.loadCounted = false
	}
}

// choose returns the target for the next send, or why there is none.
func (p *proxiedRequest) choose(ctx context.Context) (*choice, string) {
	if time.Until(p.deadline) < minAttemptTime {
		return nil, "no time is left"
	}
	svc := p.table.Service(p.service)
	if svc == nil {
		return nil, "the service is not configured"
	}
	own, why := p.chooseLocal(svc, time.Now())
	if far := p.chooseByOwner(ctx, svc, own); far != nil {
		own.releaseLoad()
		return far, ""
	}
	if own == nil && p.relay.sharded(p.service) {
		if far := p.chooseInOtherCell(ctx, svc); far != nil {
			return far, ""
		}
	}
	if own == nil && why == allRateLimited {
		if far := p.chooseByPermit(ctx, svc); far != nil {
			return far, ""
		}
	}
	return own, why
}

// chooseOwn chooses among the targets that this daemon knows the load of, and counts the request
// there before another one is chosen for: of requests that come together each would find the same
// target idle.
func (p *proxiedRequest) chooseLocal(svc *table.Service, now time.Time) (*choice, string) {
	p.relay.chooseMu.Lock()
	defer p.relay.chooseMu.Unlock()
	c, why := p.pickLocal(svc, now)
	if c != nil {
		c.addLoad()
	}
	return c, why
}

// pickOwn is chooseOwn without counting. It is called with chooseMu held.
func (p *proxiedRequest) pickLocal(svc *table.Service, now time.Time) (*choice, string) {
	options, share, why := p.ownEligibleTargets(svc, now)
	ways := p.alternatives(svc, options, now)
	list := make([]route.Candidate, len(ways))
	for i := range ways {
		list[i] = ways[i].candidate
	}
	asked, estimate := p.routeInput(len(options), share, now), p.estimate(now)
	spot := route.Spot{Context: p.contextHash(), Turn: p.relay.choiceCount.Add(1), Chance: randomFraction()}
	at, judged := route.PickBy(p.placement(svc), &asked, list, estimate, &p.relay.options.Prices, spot)
	if at < 0 {
		return nil, why
	}
	w := &ways[at]
	out := &choice{target: w.eligible.target, plan: w.plan, eligible: w.eligible, candidate: w.candidate, onlyCandidate: len(options) == 1, judgement: judged}
	out.factors = w.candidate.Factors(&asked)
	out.baseline = estimate.Time(out.factors)
	p.fillMetadata(svc, out)
	return out, ""
}

// way is one way to serve a request: a target, and how it gets the shared parts.
type alternative struct {
	eligible  eligibleTarget
	plan      segmentPlan
	candidate route.Candidate
}

// ways returns the ways to serve a request: at each target with the parts copied that can
// be, and where that is weighed, with all that it does not hold read. A copy that waits
// behind others on a slow link makes a short prompt late whose reading takes milliseconds.
func (p *proxiedRequest) alternatives(svc *table.Service, options []eligibleTarget, now time.Time) []alternative {
	out := make([]alternative, 0, 2*len(options))
	parts := map[int64][]sharedSegment{}
	for _, o := range options {
		w := alternative{eligible: o, candidate: p.candidate(svc, o)}
		if svc.Engine == nil {
			out = append(out, w)
			continue
		}
		known, found := parts[o.version]
		if !found {
			known = p.findSegments(o.version, now)
			parts[o.version] = known
		}
		w.plan = p.planSegments(svc, o, known, now)
		reading := w
		w.plan.applyTo(&w.candidate, known)
		out = append(out, w)
		if w.plan.copyCount > 0 && p.placement(svc) == route.Returning && !p.relay.options.Without.Prefill {
			reading.plan.copyCount, reading.plan.copyTime = 0, 0
			reading.plan.applyTo(&reading.candidate, known)
			out = append(out, reading)
		}
	}
	return out
}

// placement is how a worker is chosen; the placements to measure against are for
// engines only.
func (p *proxiedRequest) placement(svc *table.Service) route.Placement {
	if svc.Engine == nil {
		return route.Returning
	}
	return p.relay.options.Placement
}

// context is the hash of the last shared part, or 0.
func (p *proxiedRequest) contextHash() uint64 {
	parts := p.sharedSegments()
	if len(parts) == 0 {
		return 0
	}
	return fleet.Key(parts[len(parts)-1].ID)
}

// asked is what a decision among some targets needs to know of the request. share is the
// part of the service's targets that they were chosen from.
func (p *proxiedRequest) routeInput(targets int, share float64, now time.Time) route.Asked {
	out := route.Asked{
		Tokens: p.meta.Prompt, Bytes: p.bodyBytes, Aim: p.route.Aim, Spent: now.Sub(p.start), Left: p.deadline.Sub(now),
		Rate: share * p.relay.utilityRate(p.service, targets, now),
	}
	if p.relay.options.Without.QueueCost {
		out.Rate = 0
	}
	return out
}

// candidate works out what a decision needs to know of an option beside the
// shared parts of the prompt.
func (p *proxiedRequest) candidate(svc *table.Service, o eligibleTarget) route.Candidate {
	without := &p.relay.options.Without
	c := route.Candidate{
		Running: o.load.Running, Slots: max(1, o.entry.Slots), Unread: o.load.Unread, Held: o.load.Held,
		Far: o.entry.Domain != p.originDomain && !without.LocalDomain, Cold: (p.remote || !p.relay.options.Pool.Warm(o.entry.Address)) && !without.OpenConnections, Doubtful: o.health.Lapsed,
		Faults: o.state.Faults, Pace: o.state.Pace,
	}
	if svc.Engine != nil {
		if !without.MemoryPressure {
			c.Memory = svc.Engine.MemoryTokens
		}
		c.Old = o.version < p.relay.options.Named(p.meta.Model)
	}
	return c
}

// address works out what is said to the chosen target.
func (p *proxiedRequest) fillMetadata(svc *table.Service, c *choice) {
	c.meta.Target = c.target.ID()
	c.load = roster.Load{Running: 1}
	if svc.Engine == nil {
		return
	}
	version := c.eligible.version
	c.meta.Weights = version
	c.load.Unread = c.factors.Own
	c.load.Held = p.meta.Prompt
	if version == 0 || !p.relay.options.Placement.Exports() {
		return
	}
	p.setCopySources(&c.meta, c.plan.sources[:c.plan.copyCount])
	if version >= p.relay.options.Named(p.meta.Model) && !p.relay.options.Without.StoreCopies {
		p.setStoreTargets(&c.meta, c.plan.sources, version, clock.Now())
	}
}

// take records that the choice is sent.
func (p *proxiedRequest) recordChoice(c *choice, now time.Time) {
	if c.load.Held == 0 {
		return
	}
	c.meta.Salt = p.cacheSalt(c.meta.Weights).String()
	c.meta.Priority = p.priority()
	p.relay.options.Stats.PromptTokens.Add(p.meta.Prompt)
	p.relay.options.Stats.PromptTokensCopied.Add(c.candidate.Copied)
	p.relay.options.Stats.PromptTokensCached.Add(c.candidate.Kept)
	if c.report != nil {
		c.report.reportSent()
	} else {
		p.recordUse(c, now)
	}
	p.noteChoice(c)
}

// noteTaken records the choice for the log line.
func (p *proxiedRequest) noteChoice(c *choice) {
	if c.report != nil {
		p.note("chosen by %s", c.report.peer)
	}
	if len(c.meta.Copy) > 0 {
		p.note("copied from %s", strings.Join(c.meta.Copy, ","))
	}
	if len(c.meta.Keep) > 0 {
		p.note("sent to %s", strings.Join(c.meta.Keep, ","))
	}
	known := &c.candidate
	p.note("kept %d, copied %d of %d shared in %d tokens, before it %d, running %d, held %d, expected %s, in time %.2f, worth %.2f, version %d",
		known.Kept, known.Copied, p.sharedTokens(), p.meta.Prompt, known.Unread, known.Running, known.Held, c.judgement.Expected.Round(time.Millisecond),
		c.judgement.InTime, c.judgement.Worth, c.meta.Weights)
}

// Ranks of requests at model workers, 0 first.
const (
	priorityLevels = 10
	// ranksPerOrganisation keeps the organisation's priority before the
	// route's.
	levelsPerOrganisation = 3
)

// priority ranks the request at model workers.
func (p *proxiedRequest) priority() int {
	own := 1
	if p.organisation != nil {
		own = p.organisation.Priority
	}
	return max(0, min(priorityLevels-1, own*levelsPerOrganisation+min(p.route.Priority, levelsPerOrganisation-1)))
}
