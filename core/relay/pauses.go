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
	// workers are those that this daemon uses, and reserved those of them that are reserved for the
	// suffering kinds.
	workers  []*roster.Target
	reserved map[*roster.Target]bool
	// updatedAt is when the division was computed.
	updatedAt time.Time
}

// division returns what is expected of the pauses at a service's workers, and how these are divided, or
// nil if that is switched off. It is called with chooseMu held.
func (rl *Relay) division(svc *table.Service, now time.Time) *serviceDivision {
	if svc.Engine == nil || rl.options.Pauses == nil || rl.options.Disabled.Pauses {
		return nil
	}
	previous := rl.divisions[svc.Name]
	if previous == nil {
		previous = &serviceDivision{updatedAt: now}
	} else if now.Sub(previous.updatedAt) < divisionInterval {
		return previous
	}
	d := &serviceDivision{
		workers:   rl.shares.get(svc.Name, rl.options.Roster.ByService(svc.Name), &rl.options).own,
		updatedAt: now,
	}
	kinds := rl.streamKinds(svc, now)
	if rl.options.Disabled.Division {
		d.Division = route.Predict(kinds, len(d.workers), &previous.Division)
	} else {
		d.Division = route.Divide(kinds, len(d.workers), &previous.Division, now.Sub(previous.updatedAt))
	}
	switch {
	case d.Share == 0:
	case d.Share == previous.Share && sameList(d.workers, previous.workers):
		d.reserved = previous.reserved
	default:
		d.reserved = reservedTargets(d.workers, d.Share)
	}
	if rl.divisions == nil {
		rl.divisions = map[string]*serviceDivision{}
	}
	rl.divisions[svc.Name] = d
	return d
}

// ReservedWorkers returns the number of workers that are reserved for streams that suffer from prefill.
func (rl *Relay) ReservedWorkers() int {
	rl.chooseMu.Lock()
	defer rl.chooseMu.Unlock()
	count := 0
	for _, d := range rl.divisions {
		count += len(d.reserved)
	}
	return count
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
func (p *proxiedRequest) applyDivision(d *serviceDivision, candidates []route.Candidate, alternatives []alternative, now time.Time) {
	if d == nil || !d.Weighs() {
		return
	}
	loads := make([]float64, len(candidates))
	p.relay.options.Pauses.PrefillLoads(loads, func(i int) string { return alternatives[i].eligible.target.ID() }, now)
	for i := range candidates {
		d.Weigh(&candidates[i], p.route.Name, d.reserved[alternatives[i].eligible.target], loads[i])
	}
}

// recordDivision sets the prefill load that is expected at a choice, and on which side of the division it
// is.
func (p *proxiedRequest) recordDivision(d *serviceDivision, c *choice, now time.Time) {
	if d == nil {
		return
	}
	c.expectedLoad = d.ExpectedLoad(d.reserved[c.target], p.relay.options.Pauses.PrefillLoad(c.target.ID(), now))
	if d.Share == 0 {
		return
	}
	c.side = sideOther
	switch reserved := d.reserved[c.target]; {
	case d.Reserved[p.route.Name] && reserved:
		c.side = sideReserved
	case d.Reserved[p.route.Name]:
		c.side = sideOverflow
	case reserved:
		c.side = sideIntrusion
	}
}

// divisionSide is where a request runs in relation to the division of the workers.
type divisionSide string

const (
	// sideOther: another request on a worker that is not reserved.
	sideOther divisionSide = "other worker"
	// sideReserved: a suffering kind on a reserved worker, sideOverflow: on another one.
	sideReserved divisionSide = "reserved worker"
	sideOverflow divisionSide = "overflow to other worker"
	// sideIntrusion: another kind on a reserved worker.
	sideIntrusion divisionSide = "other request on reserved worker"
)

// notePauses records what was expected of pauses, for the log line and the metrics.
func (p *proxiedRequest) notePauses(c *choice) {
	stats := p.relay.options.Stats
	switch c.side {
	case sideReserved:
		stats.StreamsReserved.Inc()
	case sideOverflow:
		stats.StreamsOverflowed.Inc()
	case sideIntrusion:
		stats.PromptsOnReserved.Inc()
	}
	if c.candidate.KeptGap == 0 && c.candidate.PauseLoss == 0 {
		return
	}
	side := c.side
	if side == "" {
		side = "workers not divided"
	}
	p.note("%s, probability that pauses stay within the gap objective %.2f, utility lost by other streams %.2f per second of prefill",
		side, c.candidate.KeptGap, c.candidate.PauseLoss)
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
	longest  time.Duration
	suspends suspendDetector
	// excluded is set if pauses may have been caused by something other than the target.
	excluded bool
}

// newGapObserver returns an observer of the stream of a choice, or nil if pauses are not learned.
func (p *proxiedRequest) newGapObserver(c *choice) *gapObserver {
	if p.relay.options.Pauses == nil || p.relay.options.Disabled.Pauses || c.load.OccupiedTokens == 0 {
		return nil
	}
	// What is expected at a worker is not known here if another cell's daemons chose it.
	return &gapObserver{
		request: p, choice: c, suspends: newSuspendDetector(),
		excluded: p.headerSent || p.lastEventID != "" || c.report != nil,
	}
}

// received records the arrival of an event.
func (o *gapObserver) received() {
	if o == nil {
		return
	}
	now := time.Now()
	if o.events == 0 {
		o.firstAt = now
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

// finished records the complete stream.
func (o *gapObserver) finished() {
	if o == nil || o.events == 0 {
		return
	}
	now, p := time.Now(), o.request
	objective := p.route.GapObjective
	s := learn.StreamSample{
		Service: p.service, Route: p.route.Name, Events: o.events, Duration: now.Sub(o.firstAt),
		Judged: objective > 0 && !o.excluded && o.suspends.sinceLast() == 0, Load: o.choice.expectedLoad, Kept: o.longest <= objective,
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
