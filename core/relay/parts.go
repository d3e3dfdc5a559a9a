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
	for _, part := range p.sharedSegments() {
		n += part.Tokens
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
	stores := version >= p.relay.options.Named(p.meta.Model) && p.relay.options.CopyMay() && !p.relay.options.Without.StoreCopies
	salt := p.cacheSalt(version).String()
	var out []sharedSegment
	aged := clock.Now()
	for _, part := range p.sharedSegments() {
		known := sharedSegment{Part: part, name: cache.PartName{Salt: salt, ID: part.ID}}
		if stores {
			known.stores = p.relay.options.Kept.Find(known.name, aged)
		}
		found, read := p.relay.options.Where.Find(known.name, now)
		known.prefilledRecently = read
		for _, f := range found {
			t := p.relay.options.Roster.Target(f.Target)
			if t == nil || t.Entry().Weights[p.meta.Model] != version {
				continue
			}
			known.holders = append(known.holders, holder{t, f.Depth, p.relay.options.Retention.Chance(p.service, f.Depth, now)})
		}
		out = append(out, known)
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
func (p *proxiedRequest) bestSource(svc *table.Service, o eligibleTarget, part *sharedSegment, now time.Time) source {
	out := source{stored: len(part.stores) > 0}
	to := p.relay.options.Links.State(o.entry.Address, now)
	for _, place := range part.stores {
		p.considerSource(&out, to, part, source{address: place.Address, chance: 1, copyTime: place.Time(o.entry.Domain), deadline: place.Until}, now)
	}
	for _, h := range part.holders {
		if h.target == o.target {
			out.cachedChance, out.depth = h.chance, h.depth
			continue
		}
		if h.target.Health(now).Suspect || p.relay.options.Without.WorkerCopies {
			continue
		}
		took := workerCopyLatency + table.LinkTime(part.Tokens*svc.Engine.TokenBytes, svc.Engine.LinkBits)
		p.considerSource(&out, to, part, source{address: h.target.Entry().Address, chance: h.chance, copyTime: took}, now)
	}
	return out
}

// offer makes a place to copy from the best one, if it is: where the time of the
// copy and the risk that the part is read after all cost least. to is the state of
// the worker's own link.
func (p *proxiedRequest) considerSource(best *source, to learn.LinkState, part *sharedSegment, with source, now time.Time) {
	from := p.relay.options.Links.State(with.address, now)
	with.copyTime = time.Duration(float64(with.copyTime) * from.Slow * to.Slow)
	with.queueTime = max(from.Wait, to.Wait)
	if best.address != "" && p.copyCost(&with, part) >= p.copyCost(best, part) {
		return
	}
	best.address, best.chance, best.copyTime, best.queueTime, best.deadline = with.address, with.chance, with.copyTime, with.queueTime, with.deadline
}

// copyCost returns what a copy costs where its time is all that an answer waits
// for.
func (p *proxiedRequest) copyCost(src *source, part *sharedSegment) float64 {
	prices := &p.relay.options.Prices
	cost := (1 - src.chance) * prices.Again * float64(part.Tokens)
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
func (p *proxiedRequest) planSegments(svc *table.Service, o eligibleTarget, parts []sharedSegment, now time.Time) segmentPlan {
	var out segmentPlan
	var wait, sum time.Duration
	whole := true
	for i := range parts {
		part := &parts[i]
		src := p.bestSource(svc, o, part, now)
		out.sources = append(out.sources, src)
		wait, sum = max(wait, src.queueTime), sum+src.copyTime
		if src.address == "" || (src.deadline > 0 && wait+sum > cache.CopyLimit()) {
			whole = false
		}
		if whole && p.copyWorthwhile(&src, part) {
			out.copyCount, out.copyTime = i+1, wait+sum
		}
	}
	return out
}

// copyPays reports whether copying a part costs less than the risk that the worker
// does not hold it after all. Engines copy what they are told to, also what they
// hold.
func (p *proxiedRequest) copyWorthwhile(src *source, part *sharedSegment) bool {
	prices := &p.relay.options.Prices
	gain := (1 - src.cachedChance) * src.chance * prices.Again * float64(part.Tokens)
	cost := prices.Copied * float64(part.Tokens)
	if p.route.Aim > 0 {
		cost += prices.Worth(p.meta.Prompt) * (src.queueTime + src.copyTime).Seconds() / p.route.Aim.Seconds()
	}
	return src.cachedChance == 0 || (gain > cost && !p.relay.options.Without.SpareCopies)
}

// weigh adds how a worker gets the shared parts to what a decision knows of it:
// held, copied or read, each as likely as it is.
func (pl *segmentPlan) applyTo(c *route.Candidate, parts []sharedSegment) {
	c.CopyTime = pl.copyTime
	whole, kept, copied, again := 1.0, 0.0, 0.0, 0.0
	for i, part := range parts {
		src, tokens := &pl.sources[i], float64(part.Tokens)
		// What stands behind a part that is read is read as well.
		held, got := whole*src.cachedChance, whole*src.cachedChance
		if i < pl.copyCount {
			got += (whole - held) * src.chance
		}
		kept += held * tokens
		copied += (got - held) * tokens
		if part.prefilledRecently || src.address != "" {
			// What can be copied was read by some daemon's request.
			again += (1 - got) * tokens
		}
		whole = got
	}
	c.Kept, c.Copied, c.Again = int(kept), int(copied), int(again)
}

// occupy records what the choice makes of links and of the worker's memory.
func (p *proxiedRequest) recordUse(c *choice, now time.Time) {
	if c.meta.Weights == 0 || !p.relay.options.Placement.Exports() {
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
func (p *proxiedRequest) cacheUse(o eligibleTarget) cache.Use {
	u := cache.Use{Target: o.target.ID(), Salt: p.cacheSalt(o.version).String(), Rest: p.meta.Prompt}
	for _, part := range p.sharedSegments() {
		u.Parts = append(u.Parts, cache.UsedPart{ID: part.ID, Tokens: part.Tokens})
		u.Rest -= part.Tokens
	}
	return u
}

// setCopy names the addresses that the first parts are copied from, and until when.
func (p *proxiedRequest) setCopySources(to *Sending, copied []source) {
	if len(copied) == 0 {
		return
	}
	to.Copy = make([]string, len(p.meta.Parts))
	for i, src := range copied {
		to.Copy[i] = src.address
		if src.deadline > 0 && (to.CopyUntil == 0 || src.deadline < to.CopyUntil) {
			to.CopyUntil = src.deadline
		}
	}
}

// setKeep names the stores that parts are sent to: those parts that no store has
// and that one has room for.
func (p *proxiedRequest) setStoreTargets(to *Sending, list []source, version int64, now clock.Time) {
	stores := make([]string, len(p.meta.Parts))
	keeps := false
	salt := p.cacheSalt(version).String()
	for i, src := range list {
		if src.stored {
			continue
		}
		part := p.meta.Parts[i]
		stores[i] = p.relay.options.Kept.Room(cache.PartName{Salt: salt, ID: part.ID}, part.Tokens, p.domainAllowed, now)
		keeps = keeps || stores[i] != ""
	}
	if keeps {
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
	queue, reading := p.estimate(now).Parts(c.factors)
	share := float64(c.plan.copyTime) / float64(c.plan.copyTime+queue+copyNoise)
	ratio := float64(max(took-reading, copyNoise/10)) / float64(c.plan.copyTime)
	from := c.plan.sources[c.plan.copyCount-1].address
	p.relay.options.Links.Sample(from, c.target.Entry().Address, ratio, share, now)
}

// copyNoise is the time by which first events come sooner or later for other
// reasons than copies: about the step of an engine.
const copyNoise = 30 * time.Millisecond
