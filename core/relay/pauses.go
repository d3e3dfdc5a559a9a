package relay

import (
	"cmp"
	"math"
	"slices"
	"time"

	"embertally.dev/core/fleet"
	"embertally.dev/core/learn"
	"embertally.dev/core/roster"
	"embertally.dev/core/route"
	"embertally.dev/core/table"
)

// divisionInterval is the time between two computations of a service's division.
const divisionInterval = 250 * time.Millisecond

// serviceDivision is the division of a service's workers.
type serviceDivision struct {
	route.Division
	// reserved holds the workers that are reserved for the suffering kinds.
	reserved map[*roster.Target]bool
	// updatedAt is when the division was computed.
	updatedAt time.Time
}

// division returns the division of a service's workers. It is called with chooseMu held.
func (rl *Relay) division(svc *table.Service, now time.Time) *serviceDivision {
	d := rl.divisions[svc.Name]
	if d != nil && now.Sub(d.updatedAt) < divisionInterval {
		return d
	}
	if svc.Engine == nil || rl.options.Pauses == nil || rl.options.Disabled.Pauses || rl.options.Disabled.Division {
		return nil
	}
	previous := d
	if previous == nil {
		previous = &serviceDivision{updatedAt: now}
	}
	workers := rl.shares.get(svc.Name, rl.options.Roster.ByService(svc.Name), &rl.options).own
	d = &serviceDivision{
		Division:  route.Divide(rl.streamKinds(svc, now), len(workers), &previous.Division, now.Sub(previous.updatedAt)),
		updatedAt: now,
	}
	if d.Share > 0 {
		d.reserved = reservedTargets(workers, d.Share)
	}
	if rl.divisions == nil {
		rl.divisions = map[string]*serviceDivision{}
	}
	rl.divisions[svc.Name] = d
	return d
}

// streamKinds returns the kinds of requests of a service.
func (rl *Relay) streamKinds(svc *table.Service, now time.Time) []route.StreamKind {
	demand := rl.options.Pauses.Demand(svc.Name, now)
	out := make([]route.StreamKind, len(demand))
	costs := &rl.options.Costs
	for i, d := range demand {
		slots := float64(max(1, svc.Engine.Slots))
		if d.Tokens > 0 && svc.Engine.MemoryTokens > 0 {
			slots = min(slots, float64(svc.Engine.MemoryTokens)/d.Tokens)
		}
		out[i] = route.StreamKind{
			StreamDemand: d, Slots: slots, Stake: (1 - costs.PastObjectiveShare) * costs.Utility(int(d.Tokens)),
		}
	}
	return out
}

// reservedTargets returns the given share of the workers: those whose IDs have the lowest hashes, so
// that all daemons with the same list and share return the same, and a worker that appears or
// disappears moves at most one other.
func reservedTargets(workers []*roster.Target, share float64) map[*roster.Target]bool {
	count := min(max(int(math.Round(share*float64(len(workers)))), 1), len(workers))
	ordered := slices.Clone(workers)
	slices.SortFunc(ordered, func(a, b *roster.Target) int {
		return cmp.Or(cmp.Compare(fleet.Key(a.ID()), fleet.Key(b.ID())), cmp.Compare(a.ID(), b.ID()))
	})
	out := make(map[*roster.Target]bool, count)
	for _, t := range ordered[:count] {
		out[t] = true
	}
	return out
}

// applyDivision sets what the division expects of pauses at the candidates.
func (p *proxiedRequest) applyDivision(d *serviceDivision, candidates []route.Candidate, alternatives []alternative) {
	if d == nil || d.Share == 0 {
		return
	}
	suffers := d.Reserved[p.route.Name]
	kept := map[bool]float64{true: d.Kept(p.route.Name, true), false: d.Kept(p.route.Name, false)}
	for i := range candidates {
		reserved := d.reserved[alternatives[i].eligible.target]
		candidates[i].KeptGap = kept[reserved]
		if reserved && !suffers {
			candidates[i].PauseLoss = d.PauseLoss
		}
	}
}

// recordPrefill records that a choice is used, for the prefill load of its target.
func (p *proxiedRequest) recordPrefill(c *choice, now time.Time) {
	if p.relay.options.Pauses == nil || p.relay.options.Disabled.Pauses || c.load.OccupiedTokens == 0 {
		return
	}
	p.relay.options.Pauses.RecordSend(p.service, p.route.Name, c.target.ID(), p.meta.PromptTokens,
		p.estimate(now).PrefillTime(c.load.QueuedTokens), now)
}

// slowCallerShare is the fraction of the gap objective for which one write to the caller may block:
// with longer ones the caller causes pauses.
const slowCallerShare = 0.25

// gapObserver measures the pauses of one stream.
type gapObserver struct {
	request *proxiedRequest
	choice  *choice
	// firstAt is when the first event arrived, and readAt when the daemon was ready to read the next
	// event.
	firstAt, readAt time.Time
	events          int
	// longest is the longest pause so far.
	longest time.Duration
	// loadAtStart is the prefill load of the target at the first event.
	loadAtStart float64
	// excluded is set if pauses may have been caused by something other than the target.
	excluded bool
}

// newGapObserver returns an observer of the stream of a choice, or nil if pauses are not learned.
func (p *proxiedRequest) newGapObserver(c *choice) *gapObserver {
	if p.relay.options.Pauses == nil || p.relay.options.Disabled.Pauses || c.load.OccupiedTokens == 0 {
		return nil
	}
	// The load of a worker that another cell's daemons chose is not recorded here.
	return &gapObserver{request: p, choice: c, excluded: p.headerSent || p.lastEventID != "" || c.report != nil}
}

// received records the arrival of an event.
func (o *gapObserver) received() {
	if o == nil {
		return
	}
	now := time.Now()
	if o.events == 0 {
		o.firstAt = now
		o.loadAtStart = o.load(now)
	} else {
		o.longest = max(o.longest, now.Sub(o.readAt))
	}
	o.events++
	o.readAt = now
}

// passedOn records that the last event was written to the caller.
func (o *gapObserver) passedOn() {
	if o == nil {
		return
	}
	now := time.Now()
	if now.Sub(o.readAt) > time.Duration(slowCallerShare*float64(o.request.route.GapObjective)) {
		o.excluded = true
		o.readAt = now
	}
}

// load returns the prefill load of the target.
func (o *gapObserver) load(now time.Time) float64 {
	return o.request.relay.options.Pauses.PrefillLoad(o.choice.target.ID(), now)
}

// finished records the complete stream.
func (o *gapObserver) finished() {
	if o == nil || o.events == 0 {
		return
	}
	now, p := time.Now(), o.request
	objective := p.route.GapObjective
	s := learn.StreamSample{
		Service: p.service, Route: p.route.Name, Events: o.events, Duration: now.Sub(o.firstAt),
		Judged: objective > 0 && !o.excluded, Load: (o.loadAtStart + o.load(now)) / 2, Kept: o.longest <= objective,
	}
	if s.Judged {
		p.relay.options.Stats.StreamsJudged.Inc()
		if !s.Kept {
			p.relay.options.Stats.StreamsPaused.Inc()
			p.note("paused for %s", o.longest.Round(time.Millisecond))
		}
	}
	p.relay.options.Pauses.ObserveStream(s, now)
}
