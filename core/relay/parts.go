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

// sharedParts are the parts that other requests have as well: all but the last.
func (p *proxiedRequest) sharedSegments() []cache.Part {
	if len(p.meta.Parts) < 2 {
		return nil
	}
	return p.meta.Parts[:len(p.meta.Parts)-1]
}

// shared is how many tokens they have.
func (p *proxiedRequest) sharedTokens() int {
	n := 0
	for _, segment := range p.sharedSegments() {
		n += segment.Tokens
	}
	return n
}

// sharedPart is what is known of one shared part under one version of the weights.
type sharedSegment struct {
	cache.Part
	name cache.PartName
	// stores hold the part and may hand it out.
	stores []cache.Place
	// holders are the workers that are believed to hold it.
	holders []holder
	// read tells that some worker has read it lately.
	prefilledRecently bool
}

// holder is a worker that is believed to hold a part.
type holder struct {
	target *roster.Target
	// depth says how much the worker has used since, and chance how likely it
	// still holds the part.
	depth, chance float64
}

// find looks the shared parts up as they are under a version of the weights.
func (p *proxiedRequest) findSegments(version int64, now time.Time) []sharedSegment {
	// Parts of superseded weights in stores are about to be freed.
	copyable := version >= p.relay.options.Named(p.meta.Model) && p.relay.options.CopyMay() && !p.relay.options.Without.StoreCopies
	salt := p.cacheSalt(version).String()
	var out []sharedSegment
	storeNow := clock.Now()
	for _, segment := range p.sharedSegments() {
		shared := sharedSegment{Part: segment, name: cache.PartName{Salt: salt, ID: segment.ID}}
		if copyable {
			shared.stores = p.relay.options.Kept.Find(shared.name, storeNow)
		}
		found, prefilled := p.relay.options.Where.Find(shared.name, now)
		shared.prefilledRecently = prefilled
		for _, f := range found {
			t := p.relay.options.Roster.Target(f.Target)
			if t == nil || t.Entry().Weights[p.meta.Model] != version {
				continue
			}
			shared.holders = append(shared.holders, holder{t, f.Depth, p.relay.options.Retention.Chance(p.service, f.Depth, now)})
		}
		out = append(out, shared)
	}
	return out
}

// source is where a worker gets a part from.
type source struct {
	// here is the chance that the worker holds the part, and depth how much it has
	// used since.
	cachedChance, depth float64
	// stored tells that a store holds the part.
	stored bool
	// address is the store or worker that the part can be copied from, or "", and
	// chance how likely it still has the part.
	address string
	chance  float64
	// time is how long the copy takes once it has its turn, as was learned, and
	// wait how long it waits for that.
	copyTime, queueTime time.Duration
	// until is when a copy is void, on the targets' clock; 0 for workers, which
	// free nothing that they hand out.
	deadline time.Duration
}

// workerFirst is the wait before the first byte of a copy between workers.
const workerCopyLatency = 61 * time.Millisecond

// source finds the best place for a worker to get a part from.
func (p *proxiedRequest) bestSource(svc *table.Service, t eligibleTarget, segment *sharedSegment, now time.Time) source {
	best := source{stored: len(segment.stores) > 0}
	destination := p.relay.options.Links.State(t.entry.Address, now)
	for _, place := range segment.stores {
		p.considerSource(&best, destination, segment, source{address: place.Address, chance: 1, copyTime: place.Time(t.entry.Domain), deadline: place.Until}, now)
	}
	for _, h := range segment.holders {
		if h.target == t.target {
			best.cachedChance, best.depth = h.chance, h.depth
			continue
		}
		if h.target.Health(now).Suspect || p.relay.options.Without.WorkerCopies {
			continue
		}
		took := workerCopyLatency + table.LinkTime(segment.Tokens*svc.Engine.TokenBytes, svc.Engine.LinkBits)
		p.considerSource(&best, destination, segment, source{address: h.target.Entry().Address, chance: h.chance, copyTime: took}, now)
	}
	return best
}

// offer makes a place to copy from the best one, if it is: where the time of the
// copy and the risk that the part is read after all cost least. to is the state of
// the worker's own link.
func (p *proxiedRequest) considerSource(best *source, destination learn.LinkState, segment *sharedSegment, candidate source, now time.Time) {
	origin := p.relay.options.Links.State(candidate.address, now)
	candidate.copyTime = time.Duration(float64(candidate.copyTime) * origin.Slow * destination.Slow)
	candidate.queueTime = max(origin.Wait, destination.Wait)
	if best.address != "" && p.copyCost(&candidate, segment) >= p.copyCost(best, segment) {
		return
	}
	best.address, best.chance, best.copyTime, best.queueTime, best.deadline = candidate.address, candidate.chance, candidate.copyTime, candidate.queueTime, candidate.deadline
}

// copyCost returns what a copy costs where its time is all that an answer waits
// for.
func (p *proxiedRequest) copyCost(src *source, segment *sharedSegment) float64 {
	prices := &p.relay.options.Prices
	cost := (1 - src.chance) * prices.Again * float64(segment.Tokens)
	if p.route.Aim > 0 {
		cost += prices.Worth(p.meta.Prompt) * (src.queueTime + src.copyTime).Seconds() / p.route.Aim.Seconds()
	}
	return cost
}

// plan is how a worker gets the shared parts of a prompt.
type segmentPlan struct {
	// sources are those of the parts, in the order of the prompt.
	sources []source
	// copied is how many of them are copied: the first ones. Engines copy no part
	// after one that no place is named for.
	copyCount int
	// time is when the last of them has arrived.
	copyTime time.Duration
}

// plan works out how a worker gets the shared parts. They are copied as long as
// each can be in the time that a copy may take.
func (p *proxiedRequest) planSegments(svc *table.Service, t eligibleTarget, segments []sharedSegment, now time.Time) segmentPlan {
	var out segmentPlan
	var queueTime, copyTime time.Duration
	contiguous := true
	for i := range segments {
		segment := &segments[i]
		src := p.bestSource(svc, t, segment, now)
		out.sources = append(out.sources, src)
		queueTime, copyTime = max(queueTime, src.queueTime), copyTime+src.copyTime
		if src.address == "" || (src.deadline > 0 && queueTime+copyTime > cache.CopyLimit()) {
			contiguous = false
		}
		if contiguous && p.copyWorthwhile(&src, segment) {
			out.copyCount, out.copyTime = i+1, queueTime+copyTime
		}
	}
	return out
}

// copyPays reports whether copying a part costs less than the risk that the worker
// does not hold it after all. Engines copy what they are told to, also what they
// hold.
func (p *proxiedRequest) copyWorthwhile(src *source, segment *sharedSegment) bool {
	prices := &p.relay.options.Prices
	gain := (1 - src.cachedChance) * src.chance * prices.Again * float64(segment.Tokens)
	cost := prices.Copied * float64(segment.Tokens)
	if p.route.Aim > 0 {
		cost += prices.Worth(p.meta.Prompt) * (src.queueTime + src.copyTime).Seconds() / p.route.Aim.Seconds()
	}
	return src.cachedChance == 0 || (gain > cost && !p.relay.options.Without.SpareCopies)
}

// weigh adds how a worker gets the shared parts to what a decision knows of it:
// held, copied or read, each as likely as it is.
func (pl *segmentPlan) applyTo(c *route.Candidate, segments []sharedSegment) {
	c.CopyTime = pl.copyTime
	prefixChance, cached, copied, recomputed := 1.0, 0.0, 0.0, 0.0
	for i, segment := range segments {
		src, tokens := &pl.sources[i], float64(segment.Tokens)
		// What stands behind a part that is read is read as well.
		cachedChance, availableChance := prefixChance*src.cachedChance, prefixChance*src.cachedChance
		if i < pl.copyCount {
			availableChance += (prefixChance - cachedChance) * src.chance
		}
		cached += cachedChance * tokens
		copied += (availableChance - cachedChance) * tokens
		if segment.prefilledRecently || src.address != "" {
			// What can be copied was read by some daemon's request.
			recomputed += (1 - availableChance) * tokens
		}
		prefixChance = availableChance
	}
	c.Kept, c.Copied, c.Again = int(cached), int(copied), int(recomputed)
}

// occupy records what the choice makes of links and of the worker's memory.
func (p *proxiedRequest) recordUse(c *choice, now time.Time) {
	if c.attemptMeta.Weights == 0 || !p.relay.options.Placement.Exports() {
		return
	}
	if !p.relay.options.Without.LinkQueues {
		for _, src := range c.plan.sources[:c.plan.copyCount] {
			p.relay.options.Links.Begin(src.address, c.eligible.entry.Address, src.copyTime, now)
		}
	}
	p.relay.options.Where.Note(p.cacheUse(c.eligible), now)
}

// use is what the request leaves in a worker's memory.
func (p *proxiedRequest) cacheUse(t eligibleTarget) cache.Use {
	use := cache.Use{Target: t.target.ID(), Salt: p.cacheSalt(t.version).String(), Rest: p.meta.Prompt}
	for _, segment := range p.sharedSegments() {
		use.Parts = append(use.Parts, cache.UsedPart{ID: segment.ID, Tokens: segment.Tokens})
		use.Rest -= segment.Tokens
	}
	return use
}

// setCopy names the addresses that the first parts are copied from, and until when.
func (p *proxiedRequest) setCopySources(to *Sending, sources []source) {
	if len(sources) == 0 {
		return
	}
	to.Copy = make([]string, len(p.meta.Parts))
	for i, src := range sources {
		to.Copy[i] = src.address
		if src.deadline > 0 && (to.CopyUntil == 0 || src.deadline < to.CopyUntil) {
			to.CopyUntil = src.deadline
		}
	}
}

// setKeep names the stores that parts are sent to: those parts that no store has
// and that one has room for.
func (p *proxiedRequest) setStoreTargets(to *Sending, sources []source, version int64, now clock.Time) {
	stores := make([]string, len(p.meta.Parts))
	found := false
	salt := p.cacheSalt(version).String()
	for i, src := range sources {
		if src.stored {
			continue
		}
		segment := p.meta.Parts[i]
		stores[i] = p.relay.options.Kept.Room(cache.PartName{Salt: salt, ID: segment.ID}, segment.Tokens, p.domainAllowed, now)
		found = found || stores[i] != ""
	}
	if found {
		to.Keep = stores
	}
}

// learnCopies records what the time to the first event of a stream says of the
// links that its parts were copied over. Where the prompt waited as long to be
// read as for its copies, it says little.
func (p *proxiedRequest) learnCopies(c *choice, took time.Duration, now time.Time) {
	if c.plan.copyCount == 0 || p.relay.options.Without.LinkSpeeds {
		return
	}
	queue, prefill := p.estimate(now).Parts(c.factors)
	share := float64(c.plan.copyTime) / float64(c.plan.copyTime+queue+copyNoise)
	ratio := float64(max(took-prefill, copyNoise/10)) / float64(c.plan.copyTime)
	from := c.plan.sources[c.plan.copyCount-1].address
	p.relay.options.Links.Sample(from, c.target.Entry().Address, ratio, share, now)
}

// copyNoise is the time by which first events come sooner or later for other
// reasons than copies: about the step of an engine.
const copyNoise = 30 * time.Millisecond
