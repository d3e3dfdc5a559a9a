package relay

import (
	"time"

	"embertally.dev/core/cache"
	"embertally.dev/core/clock"
	"embertally.dev/core/learn"
	"embertally.dev/core/roster"
	"embertally.dev/core/route"
	"embertally.dev/core/table"
)

// sharedSegments returns the segments that other requests have in common: all but the last.
func (p *proxiedRequest) sharedSegments() []cache.Segment {
	if len(p.meta.Segments) < 2 {
		return nil
	}
	return p.meta.Segments[:len(p.meta.Segments)-1]
}

// sharedTokens returns the number of tokens in the shared segments.
func (p *proxiedRequest) sharedTokens() int {
	n := 0
	for _, segment := range p.sharedSegments() {
		n += segment.Tokens
	}
	return n
}

// sharedSegment is a shared segment, and where it is cached for one version of the weights.
type sharedSegment struct {
	cache.Segment
	name cache.SegmentName
	// stores are the KV-cache stores that hold the segment and may hand it out.
	stores []cache.StoredSegment
	// holders are the workers expected to have it cached.
	holders []holder
	// prefilledRecently is set if some worker has prefilled it recently.
	prefilledRecently bool
}

// holder is a worker that is expected to have a segment cached.
type holder struct {
	target *roster.Target
	// depth is how much of its cache the worker has used since, and probability how likely the
	// segment is still there.
	depth, probability float64
}

// findSegments looks up the shared segments for a version of the weights.
func (p *proxiedRequest) findSegments(version int64, now time.Time) []sharedSegment {
	// Segments of superseded weights are about to be freed in the stores.
	copyable := version >= p.relay.options.DesiredWeights(p.meta.Model) && p.relay.options.MayCopy() &&
		!p.relay.options.Disabled.StoreCopies
	salt := p.cacheSalt(version).String()
	var out []sharedSegment
	storeNow := clock.Now()
	p.copying = p.newCopyPolicy(now)
	for _, segment := range p.sharedSegments() {
		shared := sharedSegment{Segment: segment, name: cache.SegmentName{Salt: salt, ID: segment.ID}}
		if copyable {
			shared.stores = p.relay.options.StoreIndex.Find(shared.name, storeNow)
		}
		found, prefilled := p.relay.options.WorkerCaches.Find(shared.name, now)
		shared.prefilledRecently = prefilled
		for _, f := range found {
			t := p.relay.options.Roster.Target(f.Target)
			if t == nil || t.Entry().Weights[p.meta.Model] != version {
				continue
			}
			shared.holders = append(shared.holders,
				holder{t, f.Depth, p.relay.options.Retention.Probability(p.service, f.Depth, now)})
		}
		out = append(out, shared)
	}
	return out
}

// copyPolicy is what the decisions on copies for one choice have in common.
type copyPolicy struct {
	// limit holds the inputs of the time limit of copies, except for their expected time.
	limit route.CopyLimitRequest
	// random decides whether sources that were late are probed.
	random float64
}

// prefillQuantile is the share of the times to a first answer that a copy's time limit leaves for
// the prefill.
const prefillQuantile = 0.9

// newCopyPolicy returns the policy for a choice.
func (p *proxiedRequest) newCopyPolicy(now time.Time) copyPolicy {
	out := copyPolicy{limit: route.CopyLimitRequest{Max: cache.TransferTimeout()}, random: p.relay.randomFraction()}
	if !p.relay.options.Disabled.CopyLimits {
		e := p.estimate(now)
		prefill := e.Time(learn.Factors{OwnTokens: p.meta.PromptTokens})
		out.limit.Objective, out.limit.Elapsed = p.route.LatencyObjective, now.Sub(p.start)
		out.limit.Prefill = time.Duration(e.Quantile(prefillQuantile) * float64(prefill))
	}
	return out
}

// limitFor returns the time limit of copies that are expected to take some time.
func (c *copyPolicy) limitFor(expected time.Duration) time.Duration {
	request := c.limit
	request.Expected = expected
	return route.CopyLimit(request)
}

// source is where a worker gets a segment from.
type source struct {
	// cachedProbability is the probability that the worker has the segment cached, and depth how
	// much of its cache it has used since.
	cachedProbability, depth float64
	// stored is set if a KV-cache store holds the segment.
	stored bool
	// address is the store or worker to copy the segment from, or "", and probability how likely
	// the segment is still there.
	address     string
	probability float64
	// copyTime is the learned time of the copy, and queueTime how long it first waits for the link.
	copyTime, queueTime time.Duration
	// deadline is when the copy must be discarded, on the targets' clock; 0 for copies from
	// workers, which free nothing while they hand it out.
	deadline time.Duration
}

// workerCopyLatency is the time to the first byte of a copy between workers.
const workerCopyLatency = 61 * time.Millisecond

// bestSource returns the best source of a segment for a worker.
func (p *proxiedRequest) bestSource(svc *table.Service, t eligibleTarget, segment *sharedSegment, now time.Time) source {
	best := source{stored: len(segment.stores) > 0}
	destination := destinationLink{address: t.entry.Address, state: p.relay.options.Links.State(t.entry.Address, now)}
	for _, stored := range segment.stores {
		p.considerSource(&best, destination, segment,
			source{
				address: stored.Address, probability: 1,
				copyTime: stored.TransferTime(t.entry.Domain), deadline: stored.Deadline,
			}, now)
	}
	for _, h := range segment.holders {
		if h.target == t.target {
			best.cachedProbability, best.depth = h.probability, h.depth
			continue
		}
		if h.target.Health(now).Suspect || p.relay.options.Disabled.WorkerCopies {
			continue
		}
		took := workerCopyLatency + table.LinkTime(segment.Tokens*svc.Engine.BytesPerToken,
			svc.Engine.LinkBitsPerSecond)
		p.considerSource(&best, destination, segment,
			source{address: h.target.Entry().Address, probability: h.probability, copyTime: took}, now)
	}
	return best
}

// destinationLink is the link of the worker that a segment is copied to.
type destinationLink struct {
	address string
	state   learn.LinkState
}

// considerSource makes a candidate the best source if the time of its copy and the risk of having
// to prefill the segment after all cost least.
func (p *proxiedRequest) considerSource(best *source, destination destinationLink, segment *sharedSegment, candidate source, now time.Time) {
	if !p.relay.options.Disabled.CopyLimits {
		late := p.relay.options.LateCopies.Probability(candidate.address, destination.address, now)
		if !route.UseCopySource(late, p.copying.random) {
			return
		}
		candidate.probability *= 1 - late
	}
	origin := p.relay.options.Links.State(candidate.address, now)
	candidate.copyTime = time.Duration(float64(candidate.copyTime) * origin.Slowdown * destination.state.Slowdown)
	candidate.queueTime = max(origin.Wait, destination.state.Wait)
	if best.address != "" && p.copyCost(&candidate, segment) >= p.copyCost(best, segment) {
		return
	}
	best.address, best.probability, best.copyTime, best.queueTime, best.deadline = candidate.address,
		candidate.probability, candidate.copyTime, candidate.queueTime, candidate.deadline
}

// copyCost returns the cost of a copy if the answer waits for nothing else.
func (p *proxiedRequest) copyCost(src *source, segment *sharedSegment) float64 {
	costs := &p.relay.options.Costs
	cost := (1 - src.probability) * costs.RecomputePerToken * float64(segment.Tokens)
	if p.route.LatencyObjective > 0 {
		cost += costs.Utility(p.meta.PromptTokens) * (src.queueTime + src.copyTime).Seconds() / p.route.LatencyObjective.Seconds()
	}
	return cost
}

// segmentPlan is how a worker gets the shared segments of a prompt.
type segmentPlan struct {
	// sources are the sources of the segments, in prompt order.
	sources []source
	// copyCount is how many of the first segments are copied. Engines copy no segment after one
	// without a source.
	copyCount int
	// copyTime is the time until the last copy has arrived, and copyLimit the time after which the
	// worker discards what has not arrived.
	copyTime, copyLimit time.Duration
}

// planSegments plans how a worker gets the shared segments. They are copied as long as each copy
// can finish within the time limit of copies.
func (p *proxiedRequest) planSegments(svc *table.Service, t eligibleTarget, segments []sharedSegment, now time.Time) segmentPlan {
	var out segmentPlan
	var queueTime, copyTime time.Duration
	contiguous := true
	for i := range segments {
		segment := &segments[i]
		src := p.bestSource(svc, t, segment, now)
		out.sources = append(out.sources, src)
		queueTime, copyTime = max(queueTime, src.queueTime), copyTime+src.copyTime
		if src.address == "" || (src.deadline > 0 && queueTime+copyTime > cache.TransferTimeout()) {
			contiguous = false
		}
		if contiguous && p.copyWorthwhile(&src, segment) {
			out.copyCount, out.copyTime = i+1, queueTime+copyTime
		}
	}
	out.copyLimit = p.copying.limitFor(out.copyTime)
	return out
}

// copyWorthwhile reports whether copying a segment costs less than the risk that the worker does
// not have it cached. Engines copy what a request lists, even what they have cached.
func (p *proxiedRequest) copyWorthwhile(src *source, segment *sharedSegment) bool {
	costs := &p.relay.options.Costs
	saving := (1 - src.cachedProbability) * src.probability * costs.RecomputePerToken * float64(segment.Tokens)
	cost := costs.CopyPerToken * float64(segment.Tokens)
	if p.route.LatencyObjective > 0 {
		cost += costs.Utility(p.meta.PromptTokens) * (src.queueTime + src.copyTime).Seconds() / p.route.LatencyObjective.Seconds()
	}
	return src.cachedProbability == 0 || (saving > cost && !p.relay.options.Disabled.SpareCopies)
}

// applyTo sets a candidate's copy time, and how many of its tokens are expected to be cached,
// copied and prefilled again.
func (pl *segmentPlan) applyTo(c *route.Candidate, segments []sharedSegment) {
	c.CopyTime = pl.copyTime
	prefixProbability, cached, copied, recomputed := 1.0, 0.0, 0.0, 0.0
	for i, segment := range segments {
		src, tokens := &pl.sources[i], float64(segment.Tokens)
		// Segments after one that is prefilled are prefilled as well.
		cachedProbability, availableProbability := prefixProbability*src.cachedProbability,
			prefixProbability*src.cachedProbability
		if i < pl.copyCount {
			availableProbability += (prefixProbability - cachedProbability) * src.probability
		}
		cached += cachedProbability * tokens
		copied += (availableProbability - cachedProbability) * tokens
		if segment.prefilledRecently || src.address != "" {
			// A segment that can be copied was prefilled for some daemon's request.
			recomputed += (1 - availableProbability) * tokens
		}
		prefixProbability = availableProbability
	}
	c.CachedTokens, c.CopiedTokens, c.RecomputedTokens = int(cached), int(copied), int(recomputed)
}

// recordUse records the load of a choice on links and its use of the worker's cache.
func (p *proxiedRequest) recordUse(c *choice, now time.Time) {
	if c.weightVersion == 0 || !p.relay.options.Placement.Exports() {
		return
	}
	if !p.relay.options.Disabled.LinkQueues {
		for _, src := range c.plan.sources[:c.plan.copyCount] {
			p.relay.options.Links.Begin(src.address, c.eligible.entry.Address, src.copyTime, now)
		}
	}
	p.relay.options.WorkerCaches.RecordUse(p.cacheUse(c.eligible), now)
}

// cacheUse returns the use of a worker's cache by the request.
func (p *proxiedRequest) cacheUse(t eligibleTarget) cache.Use {
	use := cache.Use{
		Target: t.target.ID(), Salt: p.cacheSalt(t.weightVersion).String(),
		Unshared: p.meta.PromptTokens,
	}
	for _, segment := range p.sharedSegments() {
		use.Segments = append(use.Segments, cache.UsedSegment{ID: segment.ID, Tokens: segment.Tokens})
		use.Unshared -= segment.Tokens
	}
	return use
}

// setCopySources sets the addresses that the first segments are copied from, and the deadline of
// the copies.
func (p *proxiedRequest) setCopySources(to *transfers, plan *segmentPlan) {
	if plan.copyCount == 0 {
		return
	}
	to.copyFrom = make([]string, len(p.meta.Segments))
	for i, src := range plan.sources[:plan.copyCount] {
		to.copyFrom[i] = src.address
		if src.deadline == 0 {
			continue
		}
		// The deadline of a source is that of its store, the longest that a copy may take.
		deadline := src.deadline - cache.TransferTimeout() + plan.copyLimit
		if to.copyDeadline == 0 || deadline < to.copyDeadline {
			to.copyDeadline = deadline
		}
	}
}

// setStoreTargets sets the KV-cache store that each segment is to be written to: for segments that
// no store holds, one with free capacity.
func (p *proxiedRequest) setStoreTargets(to *transfers, sources []source, version int64, now clock.Time) {
	stores := make([]string, len(p.meta.Segments))
	found := false
	salt := p.cacheSalt(version).String()
	for i, src := range sources {
		if src.stored {
			continue
		}
		segment := p.meta.Segments[i]
		stores[i] = p.relay.options.StoreIndex.ChooseStore(
			cache.SegmentName{Salt: salt, ID: segment.ID}, segment.Tokens, p.domainAllowed, now)
		found = found || stores[i] != ""
	}
	if found {
		to.storeTo = stores
	}
}

// learnCopies learns the speed of the links that segments were copied over from the time to the
// first event. Where the prompt waited for its prefill as long as for its copies, that time shows
// little.
func (p *proxiedRequest) learnCopies(c *choice, took time.Duration, now time.Time) {
	if c.plan.copyCount == 0 {
		return
	}
	queue, prefill := p.estimate(now).Components(c.factors)
	share := float64(c.plan.copyTime) / float64(c.plan.copyTime+queue+copyNoise)
	ratio := float64(max(took-prefill, copyNoise/10)) / float64(c.plan.copyTime)
	from, to := c.plan.sources[c.plan.copyCount-1].address, c.target.Entry().Address
	late := c.transfers.copyDeadline > 0 && took-queue-prefill >= c.plan.copyLimit
	if late {
		p.relay.options.Stats.LateCopies.Inc()
		p.note("copies were late: first event after %s, limit of copies %s",
			took.Round(time.Millisecond), c.plan.copyLimit.Round(time.Millisecond))
	}
	if c.transfers.copyDeadline > 0 && !p.relay.options.Disabled.CopyLimits {
		weight := float64(c.plan.copyLimit) / float64(c.plan.copyLimit+queue+copyNoise)
		p.relay.options.LateCopies.Observe(from, to, late, weight, now)
	}
	if !p.relay.options.Disabled.LinkSpeeds {
		p.relay.options.Links.Sample(from, to, ratio, share, now)
	}
}

// copyNoise is how much first events vary for other reasons than copies: about one step of an
// engine.
const copyNoise = 30 * time.Millisecond
