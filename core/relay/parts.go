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
func (p *pass) sharedParts() []cache.Part {
	if len(p.ask.Parts) < 2 {
		return nil
	}
	return p.ask.Parts[:len(p.ask.Parts)-1]
}

// shared is how many tokens they have.
func (p *pass) shared() int {
	n := 0
	for _, part := range p.sharedParts() {
		n += part.Tokens
	}
	return n
}

// sharedPart is what is known of one shared part under one version of the weights.
type sharedPart struct {
	cache.Part
	name cache.PartName
	// stores hold the part and may hand it out.
	stores []cache.Place
	// holders are the workers that are believed to hold it.
	holders []holder
	// read tells that some worker has read it lately.
	read bool
}

// holder is a worker that is believed to hold a part.
type holder struct {
	target *roster.Target
	// depth says how much the worker has used since, and chance how likely it
	// still holds the part.
	depth, chance float64
}

// find looks the shared parts up as they are under a version of the weights.
func (p *pass) find(version int64, now time.Time) []sharedPart {
	// Parts of superseded weights in stores are about to be freed.
	stores := version >= p.relay.o.Named(p.ask.Model) && p.relay.o.CopyMay() && !p.relay.o.Without.StoreCopies
	salt := p.salt(version).String()
	var out []sharedPart
	aged := clock.Now()
	for _, part := range p.sharedParts() {
		known := sharedPart{Part: part, name: cache.PartName{Salt: salt, ID: part.ID}}
		if stores {
			known.stores = p.relay.o.Kept.Find(known.name, aged)
		}
		found, read := p.relay.o.Where.Find(known.name, now)
		known.read = read
		for _, f := range found {
			t := p.relay.o.Roster.Target(f.Target)
			if t == nil || t.Entry().Weights[p.ask.Model] != version {
				continue
			}
			known.holders = append(known.holders, holder{t, f.Depth, p.relay.o.Retention.Chance(p.service, f.Depth, now)})
		}
		out = append(out, known)
	}
	return out
}

// source is where a worker gets a part from.
type source struct {
	// here is the chance that the worker holds the part, and depth how much it has
	// used since.
	here, depth float64
	// stored tells that a store holds the part.
	stored bool
	// address is the store or worker that the part can be copied from, or "", and
	// chance how likely it still has the part.
	address string
	chance  float64
	// time is how long the copy takes once it has its turn, as was learned, and
	// wait how long it waits for that.
	time, wait time.Duration
	// until is when a copy is void, on the targets' clock; 0 for workers, which
	// free nothing that they hand out.
	until time.Duration
}

// workerFirst is the wait before the first byte of a copy between workers.
const workerFirst = 61 * time.Millisecond

// source finds the best place for a worker to get a part from.
func (p *pass) source(svc *table.Service, o option, part *sharedPart, now time.Time) source {
	out := source{stored: len(part.stores) > 0}
	to := p.relay.o.Links.State(o.entry.Address, now)
	for _, place := range part.stores {
		p.offer(&out, to, part, source{address: place.Address, chance: 1, time: place.Time(o.entry.Domain), until: place.Until}, now)
	}
	for _, h := range part.holders {
		if h.target == o.target {
			out.here, out.depth = h.chance, h.depth
			continue
		}
		if h.target.Health(now).Suspect || p.relay.o.Without.WorkerCopies {
			continue
		}
		took := workerFirst + table.LinkTime(part.Tokens*svc.Engine.TokenBytes, svc.Engine.LinkBits)
		p.offer(&out, to, part, source{address: h.target.Entry().Address, chance: h.chance, time: took}, now)
	}
	return out
}

// offer makes a place to copy from the best one, if it is: where the time of the
// copy and the risk that the part is read after all cost least. to is the state of
// the worker's own link.
func (p *pass) offer(best *source, to learn.LinkState, part *sharedPart, with source, now time.Time) {
	from := p.relay.o.Links.State(with.address, now)
	with.time = time.Duration(float64(with.time) * from.Slow * to.Slow)
	with.wait = max(from.Wait, to.Wait)
	if best.address != "" && p.copyCost(&with, part) >= p.copyCost(best, part) {
		return
	}
	best.address, best.chance, best.time, best.wait, best.until = with.address, with.chance, with.time, with.wait, with.until
}

// copyCost returns what a copy costs where its time is all that an answer waits
// for.
func (p *pass) copyCost(src *source, part *sharedPart) float64 {
	prices := &p.relay.o.Prices
	cost := (1 - src.chance) * prices.Again * float64(part.Tokens)
	if p.route.Aim > 0 {
		cost += prices.Worth(p.ask.Prompt) * (src.wait + src.time).Seconds() / p.route.Aim.Seconds()
	}
	return cost
}

// plan is how a worker gets the shared parts of a prompt.
type plan struct {
	// sources are those of the parts, in the order of the prompt.
	sources []source
	// copied is how many of them are copied: the first ones. Engines copy no part
	// after one that no place is named for.
	copied int
	// time is when the last of them has arrived.
	time time.Duration
}

// plan works out how a worker gets the shared parts. They are copied as long as
// each can be in the time that a copy may take.
func (p *pass) plan(svc *table.Service, o option, parts []sharedPart, now time.Time) plan {
	var out plan
	var wait, sum time.Duration
	whole := true
	for i := range parts {
		part := &parts[i]
		src := p.source(svc, o, part, now)
		out.sources = append(out.sources, src)
		wait, sum = max(wait, src.wait), sum+src.time
		if src.address == "" || (src.until > 0 && wait+sum > cache.CopyLimit()) {
			whole = false
		}
		if whole && p.copyPays(&src, part) {
			out.copied, out.time = i+1, wait+sum
		}
	}
	return out
}

// copyPays reports whether copying a part costs less than the risk that the worker
// does not hold it after all. Engines copy what they are told to, also what they
// hold.
func (p *pass) copyPays(src *source, part *sharedPart) bool {
	prices := &p.relay.o.Prices
	gain := (1 - src.here) * src.chance * prices.Again * float64(part.Tokens)
	cost := prices.Copied * float64(part.Tokens)
	if p.route.Aim > 0 {
		cost += prices.Worth(p.ask.Prompt) * (src.wait + src.time).Seconds() / p.route.Aim.Seconds()
	}
	return src.here == 0 || (gain > cost && !p.relay.o.Without.SpareCopies)
}

// weigh adds how a worker gets the shared parts to what a decision knows of it:
// held, copied or read, each as likely as it is.
func (pl *plan) weigh(c *route.Candidate, parts []sharedPart) {
	c.CopyTime = pl.time
	whole, kept, copied, again := 1.0, 0.0, 0.0, 0.0
	for i, part := range parts {
		src, tokens := &pl.sources[i], float64(part.Tokens)
		// What stands behind a part that is read is read as well.
		held, got := whole*src.here, whole*src.here
		if i < pl.copied {
			got += (whole - held) * src.chance
		}
		kept += held * tokens
		copied += (got - held) * tokens
		if part.read || src.address != "" {
			// What can be copied was read by some daemon's request.
			again += (1 - got) * tokens
		}
		whole = got
	}
	c.Kept, c.Copied, c.Again = int(kept), int(copied), int(again)
}

// occupy records what the choice makes of links and of the worker's memory.
func (p *pass) occupy(c *choice, now time.Time) {
	if c.sending.Weights == 0 || !p.relay.o.Placement.Exports() {
		return
	}
	if !p.relay.o.Without.LinkQueues {
		for _, src := range c.plan.sources[:c.plan.copied] {
			p.relay.o.Links.Begin(src.address, c.option.entry.Address, src.time, now)
		}
	}
	p.relay.o.Where.Note(p.use(c.option), now)
}

// use is what the request leaves in a worker's memory.
func (p *pass) use(o option) cache.Use {
	u := cache.Use{Target: o.target.ID(), Salt: p.salt(o.version).String(), Rest: p.ask.Prompt}
	for _, part := range p.sharedParts() {
		u.Parts = append(u.Parts, cache.UsedPart{ID: part.ID, Tokens: part.Tokens})
		u.Rest -= part.Tokens
	}
	return u
}

// setCopy names the addresses that the first parts are copied from, and until when.
func (p *pass) setCopy(to *Sending, copied []source) {
	if len(copied) == 0 {
		return
	}
	to.Copy = make([]string, len(p.ask.Parts))
	for i, src := range copied {
		to.Copy[i] = src.address
		if src.until > 0 && (to.CopyUntil == 0 || src.until < to.CopyUntil) {
			to.CopyUntil = src.until
		}
	}
}

// setKeep names the stores that parts are sent to: those parts that no store has
// and that one has room for.
func (p *pass) setKeep(to *Sending, list []source, version int64, now clock.Time) {
	stores := make([]string, len(p.ask.Parts))
	keeps := false
	salt := p.salt(version).String()
	for i, src := range list {
		if src.stored {
			continue
		}
		part := p.ask.Parts[i]
		stores[i] = p.relay.o.Kept.Room(cache.PartName{Salt: salt, ID: part.ID}, part.Tokens, p.allowed, now)
		keeps = keeps || stores[i] != ""
	}
	if keeps {
		to.Keep = stores
	}
}

// learnCopies records what the time to the first event of a stream says of the
// links that its parts were copied over. Where the prompt waited as long to be
// read as for its copies, it says little.
func (p *pass) learnCopies(c *choice, took time.Duration, now time.Time) {
	if c.plan.copied == 0 || p.relay.o.Without.LinkSpeeds {
		return
	}
	queue, reading := p.estimate(now).Parts(c.factors)
	share := float64(c.plan.time) / float64(c.plan.time+queue+copyNoise)
	ratio := float64(max(took-reading, copyNoise/10)) / float64(c.plan.time)
	from := c.plan.sources[c.plan.copied-1].address
	p.relay.o.Links.Sample(from, c.target.Entry().Address, ratio, share, now)
}

// copyNoise is the time by which first events come sooner or later for other
// reasons than copies: about the step of an engine.
const copyNoise = 30 * time.Millisecond
