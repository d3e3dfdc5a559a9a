// Package route owns the decisions: whether a request is taken, which worker
// answers it, how much of its context is imported, what is exported, what a
// full store gives up, and how often may be retried.
//
// Everything here is pure: state, time and chance come in as values, and a
// decision with its reasons comes out. It must not know of clocks, networks or
// goroutines.
package route

import (
	"cmp"
	"slices"
	"time"
)

// Policy holds prices that turn the measures into seconds of first-token time.
type Policy struct {
	// FirstToken multiplies the expected time to first token.
	FirstToken float64
	// Token is the price of one recomputed token in seconds.
	Token float64
	// Byte is the price of one byte over a store's link in seconds.
	Byte float64
}

// Request is what a decision needs to know of a request.
type Request struct {
	// Tokens is the length of the prompt.
	Tokens int
	// Blocks is the number of whole blocks of the prompt.
	Blocks int
	// BlockTokens is the number of tokens in a block.
	BlockTokens int
	// Deadline is the time left until the first token is due.
	Deadline time.Duration
	Prices   Policy
	// Context spreads requests for placements that go by hash.
	Context uint64
	// Turn counts requests for placements that go in turn.
	Turn uint64
	// Chance is a random number from 0 up to 1.
	Chance float64
}

// Worker is what is known of one candidate.
type Worker struct {
	Name string
	// Held is how many first blocks of the prompt it holds.
	Held int
	// QueuedTokens is the projected work before this request: what was
	// reported, corrected by what was sent since.
	QueuedTokens int
	// Room is how many blocks its memory takes beside the requests that this
	// daemon gave it and that have no first token yet; zero means unknown.
	Room int
	// Running is the number of answers being generated.
	Running int
	// Speed is its prefill speed in tokens a second.
	Speed float64
	// Distance is the time for one way there.
	Distance time.Duration
}

// Kept is what a store keeps of the prompt's context.
type Kept struct {
	Store string
	// Blocks is how many first blocks of the prompt it keeps.
	Blocks int
	// BlockBytes is the size of one block's cache.
	BlockBytes int64
	// Rate is the capacity of its link in bytes a second.
	Rate float64
	// Backlog is the bytes that wait for the link ahead of this request.
	Backlog int64
	// Latency is the time before the first byte.
	Latency time.Duration
}

// Import says what is read from a store before the request is sent.
type Import struct {
	Store string
	// From and To are the blocks [From, To) of the prompt.
	From, To int
}

// Blocks returns how many blocks are read.
func (i Import) Blocks() int { return i.To - i.From }

// Option is one weighed way to answer a request.
type Option struct {
	Worker string
	Import Import
	// Queue, Transfer and Prefill are the expected parts of the first-token
	// time; queue and transfer pass at the same time.
	Queue, Transfer, Prefill time.Duration
	// Expected is the expected time to first token.
	Expected time.Duration
	// Recomputed is the number of tokens that are prefilled.
	Recomputed int
	LinkBytes  int64
	// Cost is the price of the option in seconds.
	Cost float64
}

// Verdict is what was decided about a request.
type Verdict string

// The verdicts.
const (
	Placed Verdict = "placed"
	// NoWorker means that no candidate was there.
	NoWorker Verdict = "noWorker"
	// TooLate means that no candidate can meet the deadline.
	TooLate Verdict = "tooLate"
)

// Decision is the outcome with what was weighed.
type Decision struct {
	Verdict Verdict
	// Chosen is the best option, also when it is too late.
	Chosen Option
	// Weighed are the best options of the best candidates, best first.
	Weighed []Option
	// RetryAfter says when the deadline could be met, for TooLate.
	RetryAfter time.Duration
}

// maxWeighed bounds the options that are reported.
const maxWeighed = 5

// perRunning is how much one running answer slows the prefill of another, as a
// share.
const perRunning = 0.02

// Place decides about a request.
func Place(p Placement, r Request, workers []Worker, kept []Kept) Decision {
	if len(workers) == 0 {
		return Decision{Verdict: NoWorker}
	}
	options := optionsFor(p, r, workers, kept)
	chosen := choose(p, r, options)
	d := Decision{Verdict: Placed, Chosen: chosen, Weighed: best(options)}
	if r.Deadline > 0 && chosen.Expected > r.Deadline {
		return late(d, r, options)
	}
	return d
}

// late takes the fastest option where the cheapest comes too late, and refuses
// where that comes too late as well.
func late(d Decision, r Request, options []Option) Decision {
	fastest := slices.MinFunc(options, func(a, b Option) int { return cmp.Compare(a.Expected, b.Expected) })
	d.Chosen = fastest
	if fastest.Expected > r.Deadline {
		d.Verdict = TooLate
		d.RetryAfter = fastest.Expected - r.Deadline
	}
	return d
}

// best returns the cheapest options, cheapest first.
func best(options []Option) []Option {
	out := make([]Option, 0, maxWeighed+1)
	for _, o := range options {
		at, _ := slices.BinarySearchFunc(out, o.Cost, func(x Option, cost float64) int { return cmp.Compare(x.Cost, cost) })
		if at >= maxWeighed {
			continue
		}
		out = slices.Insert(out, at, o)
		out = out[:min(len(out), maxWeighed)]
	}
	return out
}

// optionsFor returns the best option of each worker.
func optionsFor(p Placement, r Request, workers []Worker, kept []Kept) []Option {
	out := make([]Option, 0, len(workers))
	ways := make([]Option, 0, 1+2*len(kept))
	for _, w := range workers {
		ways = importsFor(ways[:0], p, r, w, kept)
		out = append(out, cheapest(r, ways))
	}
	return out
}

func cheapest(r Request, list []Option) Option {
	least := 0
	for i := range list {
		list[i].price(r.Prices)
		if list[i].Cost < list[least].Cost {
			least = i
		}
	}
	return list[least]
}

func (o *Option) price(p Policy) {
	o.Cost = p.FirstToken*o.Expected.Seconds() + p.Token*float64(o.Recomputed) + p.Byte*float64(o.LinkBytes)
}

// importsFor appends the ways to answer on one worker to out. Cost is piecewise
// linear in the number of imported blocks, so the ends and the point at which
// the import takes as long as the queue are all that need to be weighed.
func importsFor(out []Option, p Placement, r Request, w Worker, kept []Kept) []Option {
	plain := option(r, w, Import{}, Kept{})
	out = append(out, plain)
	if p == RoundRobin || p == LeastTokens || p == StickyHash {
		return out
	}
	for _, k := range kept {
		if k.Blocks <= w.Held {
			continue
		}
		all := Import{Store: k.Store, From: w.Held, To: k.Blocks}
		out = append(out, option(r, w, all, k))
		if p == Always || p == First {
			return append(out[:0], out[1])
		}
		if n := hidden(plain.Queue, k); n > 0 && n < all.Blocks() {
			part := Import{Store: k.Store, From: w.Held, To: w.Held + n}
			out = append(out, option(r, w, part, k))
		}
	}
	return out
}

// hidden returns how many blocks can be read while the request waits anyway.
func hidden(queue time.Duration, k Kept) int {
	if k.BlockBytes == 0 {
		return 0
	}
	bytes := (queue-k.Latency).Seconds()*k.Rate - float64(k.Backlog)
	return int(bytes / float64(k.BlockBytes))
}

func option(r Request, w Worker, im Import, k Kept) Option {
	speed := w.Speed / (1 + perRunning*float64(w.Running))
	o := Option{Worker: w.Name, Import: im}
	o.Queue = seconds(float64(w.QueuedTokens) / speed)
	have := w.Held
	crowded := w.Room != 0 && w.Room < r.Blocks
	if im.Blocks() > 0 {
		o.LinkBytes = int64(im.Blocks()) * k.BlockBytes
		o.Transfer = k.Latency + seconds(float64(k.Backlog+o.LinkBytes)/k.Rate)
		have = im.To
	}
	if crowded {
		// The requests before this one push its blocks out before its turn.
		have = 0
	}
	o.Recomputed = max(1, r.Tokens-have*r.BlockTokens)
	o.Prefill = seconds(float64(o.Recomputed) / speed)
	o.Expected = 2*w.Distance + max(o.Queue, o.Transfer) + o.Prefill
	return o
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// near is how much more than the best an option may cost and still be taken
// now and then, so that daemons which decide at once on the same old state do
// not all take the same worker.
const (
	nearShare = 0.10
	nearFloor = 0.004
)

// choose takes one of the workers' options.
func choose(p Placement, r Request, options []Option) Option {
	switch p {
	case RoundRobin:
		return options[r.Turn%uint64(len(options))]
	case StickyHash:
		return options[r.Context%uint64(len(options))]
	case LeastTokens, Always:
		return leastQueue(options)
	case First:
		return firstVersion(options)
	}
	least := options[0].Cost
	for _, o := range options {
		least = min(least, o.Cost)
	}
	return oneOf(options, least+max(nearFloor, nearShare*least), r.Chance)
}

// oneOf takes one of the options that cost at most limit, by chance.
func oneOf(options []Option, limit, chance float64) Option {
	near := 0
	for _, o := range options {
		if o.Cost <= limit {
			near++
		}
	}
	pick := int(chance * float64(near))
	for _, o := range options {
		if o.Cost > limit {
			continue
		}
		if pick == 0 {
			return o
		}
		pick--
	}
	return options[0]
}

func leastQueue(options []Option) Option {
	return slices.MinFunc(options, func(a, b Option) int {
		return cmp.Compare(a.Queue+a.Prefill, b.Queue+b.Prefill)
	})
}

func firstVersion(options []Option) Option {
	return slices.MinFunc(options, func(a, b Option) int {
		if c := cmp.Compare(a.Recomputed+int(a.LinkBytes), b.Recomputed+int(b.LinkBytes)); c != 0 {
			return c
		}
		return cmp.Compare(a.Queue, b.Queue)
	})
}
