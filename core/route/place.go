// Package route owns the placement decisions: whether a request is accepted,
// which worker or target serves it, how much of its context is imported from a
// KV-cache store, what a full store evicts, and how often requests are retried.
//
// All decisions are deterministic: state, time and random numbers are passed in
// as values, and a decision with its reasons is returned. The package must not
// know of clocks, networks or goroutines.
package route

import (
	"cmp"
	"slices"
	"time"
)

// CostWeights holds the weights that convert each cost of an option to seconds. It
// is sent between daemons.
type CostWeights struct {
	// FirstToken is the factor for the expected time to first token.
	FirstToken float64 `msgpack:"FirstToken"`
	// SecondsPerToken is the cost of one recomputed token in seconds.
	SecondsPerToken float64 `msgpack:"Token"`
	// SecondsPerByte is the cost of one byte over a store's link in seconds.
	SecondsPerByte float64 `msgpack:"Byte"`
}

// Request describes a request to Place.
type Request struct {
	// Tokens is the length of the prompt in tokens.
	Tokens int
	// Blocks is the number of whole KV-cache blocks in the prompt.
	Blocks int
	// BlockTokens is the number of tokens in a block.
	BlockTokens int
	// Deadline is the time remaining until the first token is due; zero means
	// no deadline.
	Deadline time.Duration
	// Weights weights the costs of the options.
	Weights CostWeights
	// ContextHash is the hash of the context, used by StickyHash.
	ContextHash uint64
	// Turn is a request counter, used by RoundRobin.
	Turn uint64
	// Random is a random number in [0, 1), used by LowestCost.
	Random float64
}

// Worker describes one candidate to Place.
type Worker struct {
	Name string
	// CachedBlocks is the number of leading blocks of the prompt that the worker has
	// cached.
	CachedBlocks int
	// QueuedTokens is the projected number of tokens to prefill before this
	// request: the reported queue, corrected by the requests sent since.
	QueuedTokens int
	// FreeBlocks is the number of blocks that fit into the worker's memory beside the
	// requests that this daemon sent it and that have no first token yet; zero
	// means unknown.
	FreeBlocks int
	// Running is the number of responses being generated.
	Running int
	// PrefillPerSecond is the prefill speed in tokens per second.
	PrefillPerSecond float64
	// OneWayLatency is the one-way network latency to the worker.
	OneWayLatency time.Duration
}

// StoredContext describes the part of the prompt's context that a KV-cache store holds.
type StoredContext struct {
	Store string
	// Blocks is the number of leading blocks of the prompt in the store.
	Blocks int
	// BlockBytes is the size of one KV-cache block in bytes.
	BlockBytes int64
	// LinkBytesPerSecond is the capacity of the store's link in bytes per second.
	LinkBytesPerSecond float64
	// BacklogBytes is the number of bytes queued for the link before this request.
	BacklogBytes int64
	// Latency is the time before the first byte arrives.
	Latency time.Duration
}

// Import is the range of blocks that is read from a store before the request is
// sent to the worker.
type Import struct {
	Store string
	// From and To are the blocks [From, To) of the prompt.
	From, To int
}

// Blocks returns the number of blocks in the range.
func (i Import) Blocks() int { return i.To - i.From }

// Option is one way to serve a request, with its cost.
type Option struct {
	Worker string
	Import Import
	// Queue, Transfer and Prefill are the expected components of the time to
	// first token; queueing and transfer overlap.
	Queue, Transfer, Prefill time.Duration
	// Expected is the expected time to first token.
	Expected time.Duration
	// Recomputed is the number of tokens that are prefilled.
	Recomputed int
	// LinkBytes is the number of bytes read from the store.
	LinkBytes int64
	// Cost is the total cost in seconds, weighted by CostWeights.
	Cost float64
}

// Verdict is the outcome of a placement decision.
type Verdict string

// The verdicts.
const (
	Placed Verdict = "placed"
	// NoWorker means that there was no candidate.
	NoWorker Verdict = "noWorker"
	// TooLate means that no candidate can meet the deadline.
	TooLate Verdict = "tooLate"
)

// Decision is a verdict and the options that it is based on.
type Decision struct {
	Verdict Verdict
	// Chosen is the selected option; for TooLate it is the fastest one.
	Chosen Option
	// Cheapest holds the cheapest options, one per worker at most, cheapest first.
	Cheapest []Option
	// RetryAfter is, for TooLate, the time after which the deadline could be met.
	RetryAfter time.Duration
}

// maxReported bounds the options that a decision reports.
const maxReported = 5

// slowdownPerRunning is the share by which each running response slows a prefill.
const slowdownPerRunning = 0.02

// Place selects a worker and an import for a request.
func Place(p Placement, r Request, workers []Worker, stored []StoredContext) Decision {
	if len(workers) == 0 {
		return Decision{Verdict: NoWorker}
	}
	options := optionsFor(p, r, workers, stored)
	chosen := choose(p, r, options)
	d := Decision{Verdict: Placed, Chosen: chosen, Cheapest: cheapestOptions(options)}
	if r.Deadline > 0 && chosen.Expected > r.Deadline {
		return fastestOrRefuse(d, r, options)
	}
	return d
}

// fastestOrRefuse selects the fastest option when the cheapest one misses the
// deadline, and refuses the request when the fastest one misses it as well.
func fastestOrRefuse(d Decision, r Request, options []Option) Decision {
	fastest := slices.MinFunc(options, func(a, b Option) int { return cmp.Compare(a.Expected, b.Expected) })
	d.Chosen = fastest
	if fastest.Expected > r.Deadline {
		d.Verdict = TooLate
		d.RetryAfter = fastest.Expected - r.Deadline
	}
	return d
}

// cheapestOptions returns up to maxReported options, cheapest first.
func cheapestOptions(options []Option) []Option {
	out := make([]Option, 0, maxReported+1)
	for _, o := range options {
		i, _ := slices.BinarySearchFunc(out, o.Cost, func(x Option, cost float64) int { return cmp.Compare(x.Cost, cost) })
		if i >= maxReported {
			continue
		}
		out = slices.Insert(out, i, o)
		out = out[:min(len(out), maxReported)]
	}
	return out
}

// optionsFor returns the cheapest option of each worker.
func optionsFor(p Placement, r Request, workers []Worker, stored []StoredContext) []Option {
	out := make([]Option, 0, len(workers))
	variants := make([]Option, 0, 1+2*len(stored))
	for _, w := range workers {
		variants = appendVariants(variants[:0], p, r, w, stored)
		out = append(out, cheapest(r, variants))
	}
	return out
}

// cheapest sets the cost of each option and returns the cheapest one.
func cheapest(r Request, list []Option) Option {
	least := 0
	for i := range list {
		list[i].setCost(r.Weights)
		if list[i].Cost < list[least].Cost {
			least = i
		}
	}
	return list[least]
}

// setCost sets the total cost of an option.
func (o *Option) setCost(w CostWeights) {
	o.Cost = w.FirstToken*o.Expected.Seconds() + w.SecondsPerToken*float64(o.Recomputed) + w.SecondsPerByte*float64(o.LinkBytes)
}

// appendVariants appends to out the options for one worker that differ in what is
// imported. Cost is piecewise linear in the number of imported blocks, so only the
// end points and the number at which the import takes as long as the queue need to
// be compared.
func appendVariants(out []Option, p Placement, r Request, w Worker, stored []StoredContext) []Option {
	recompute := option(r, w, Import{}, StoredContext{})
	out = append(out, recompute)
	if p == RoundRobin || p == LeastTokens || p == StickyHash {
		return out
	}
	for _, c := range stored {
		if c.Blocks <= w.CachedBlocks {
			continue
		}
		all := Import{Store: c.Store, From: w.CachedBlocks, To: c.Blocks}
		out = append(out, option(r, w, all, c))
		if p == AlwaysImport || p == MostCached {
			return append(out[:0], out[1])
		}
		if n := blocksWhileQueued(recompute.Queue, c); n > 0 && n < all.Blocks() {
			partial := Import{Store: c.Store, From: w.CachedBlocks, To: w.CachedBlocks + n}
			out = append(out, option(r, w, partial, c))
		}
	}
	return out
}

// blocksWhileQueued returns the number of blocks that can be read from a store
// while the request is queued at the worker.
func blocksWhileQueued(queue time.Duration, c StoredContext) int {
	if c.BlockBytes == 0 {
		return 0
	}
	bytes := (queue-c.Latency).Seconds()*c.LinkBytesPerSecond - float64(c.BacklogBytes)
	return int(bytes / float64(c.BlockBytes))
}

// option estimates the times of serving a request on a worker after an import. Its
// cost is not set.
func option(r Request, w Worker, im Import, c StoredContext) Option {
	speed := w.PrefillPerSecond / (1 + slowdownPerRunning*float64(w.Running))
	o := Option{Worker: w.Name, Import: im}
	o.Queue = seconds(float64(w.QueuedTokens) / speed)
	cached := w.CachedBlocks
	evicted := w.FreeBlocks != 0 && w.FreeBlocks < r.Blocks
	if im.Blocks() > 0 {
		o.LinkBytes = int64(im.Blocks()) * c.BlockBytes
		o.Transfer = c.Latency + seconds(float64(c.BacklogBytes+o.LinkBytes)/c.LinkBytesPerSecond)
		cached = im.To
	}
	if evicted {
		// The requests before this one evict its cached blocks before it runs.
		cached = 0
	}
	o.Recomputed = max(1, r.Tokens-cached*r.BlockTokens)
	o.Prefill = seconds(float64(o.Recomputed) / speed)
	o.Expected = 2*w.OneWayLatency + max(o.Queue, o.Transfer) + o.Prefill
	return o
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Options within tieShare or tieFloor, whichever is larger, of the lowest cost count as
// equal and one is selected at random, so that daemons which decide concurrently on the same
// stale state do not all select the same worker.
const (
	// tieShare is a share of the lowest cost.
	tieShare = 0.10
	// tieFloor is in seconds.
	tieFloor = 0.004
)

// choose selects one of the workers' options by the rule of a placement.
func choose(p Placement, r Request, options []Option) Option {
	switch p {
	case RoundRobin:
		return options[r.Turn%uint64(len(options))]
	case StickyHash:
		return options[r.ContextHash%uint64(len(options))]
	case LeastTokens, AlwaysImport:
		return leastWork(options)
	case MostCached:
		return leastRecomputed(options)
	}
	least := options[0].Cost
	for _, o := range options {
		least = min(least, o.Cost)
	}
	return randomWithin(options, least+max(tieFloor, tieShare*least), r.Random)
}

// randomWithin selects one of the options that cost at most limit, with equal
// probability.
func randomWithin(options []Option, limit, random float64) Option {
	within := 0
	for _, o := range options {
		if o.Cost <= limit {
			within++
		}
	}
	skip := int(random * float64(within))
	for _, o := range options {
		if o.Cost > limit {
			continue
		}
		if skip == 0 {
			return o
		}
		skip--
	}
	return options[0]
}

// leastWork returns the option with the least queueing and prefill time.
func leastWork(options []Option) Option {
	return slices.MinFunc(options, func(a, b Option) int {
		return cmp.Compare(a.Queue+a.Prefill, b.Queue+b.Prefill)
	})
}

// leastRecomputed returns the option with the fewest recomputed tokens plus imported
// bytes, and of equal ones that with the shortest queue.
func leastRecomputed(options []Option) Option {
	return slices.MinFunc(options, func(a, b Option) int {
		if c := cmp.Compare(a.Recomputed+int(a.LinkBytes), b.Recomputed+int(b.LinkBytes)); c != 0 {
			return c
		}
		return cmp.Compare(a.Queue, b.Queue)
	})
}
