package relay

import (
	"time"

	"embertally.dev/core/learn"
	"embertally.dev/core/route"
	"embertally.dev/core/table"
)

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

// recordPrefill records that a choice is used, for the demand of the request's kind.
func (p *proxiedRequest) recordPrefill(c *choice, now time.Time) {
	if p.relay.options.Pauses == nil || p.relay.options.Disabled.Division || !p.isPrompt() {
		return
	}
	p.relay.options.Pauses.RecordSend(p.service, p.route.Name, p.meta.PromptTokens,
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
	if p.relay.options.Pauses == nil || p.relay.options.Disabled.Division || !p.isPrompt() {
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
		Service: p.service, Route: p.route.Name, Duration: now.Sub(o.firstAt),
		Judged: objective > 0 && !o.excluded && o.suspends.sinceLast() == 0, Kept: o.longest <= objective,
		Reserved: o.choice.side == sideReserved,
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
