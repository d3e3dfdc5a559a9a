package route

import (
	"math"
	"time"

	"embertally.dev/core/learn"
)

// Prices is the cost model: the utility of answers and the cost of serving them. One
// unit is the utility of the answer to a plain call within its latency objective.
type Prices struct {
	// Token is the utility that each token of a prompt adds to its answer.
	Token float64
	// Late is the share of its utility that an answer past its latency objective
	// retains.
	Late float64
	// Again is the cost of prefilling a token that some worker has prefilled recently.
	Again float64
	// Copied is the cost of copying a token of cached context to a worker.
	Copied float64
	// Old is the share of its utility that an answer computed with replaced weights
	// loses.
	Old float64
	// Connect is the cost of opening a connection to a target.
	Connect float64
	// Across is the cost of sending a megabyte (1 << 20 bytes) between failure domains.
	Across float64
	// Wait is the share of its utility that an answer loses for each multiple of the
	// latency objective that it takes, also within the objective.
	Wait float64
}

// Worth returns the utility of an answer within its latency objective to a prompt of
// some tokens; plain calls have 0 tokens.
func (p *Prices) Worth(tokens int) float64 { return 1 + p.Token*float64(tokens) }

// Asked describes a request to Pick.
type Asked struct {
	// Tokens is the length of the prompt in tokens; 0 for plain calls.
	Tokens int
	// Bytes is the size of the request in bytes.
	Bytes int
	// Aim is the latency objective, from the start of the request; 0 means none.
	Aim time.Duration
	// Spent is the time elapsed since the start of the request, and Left the time
	// remaining until its deadline.
	Spent, Left time.Duration
	// Rate is the utility per second of the requests that arrive at one target of
	// the service. They wait longer when the target gets more work.
	Rate float64
}

// Candidate describes one target that a request may be sent to.
type Candidate struct {
	// Running is the number of requests that are in flight to the target or run there.
	Running int
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// Unread is the number of prompt tokens that the target prefills before those of
	// a new request.
	Unread int
	// Held is the number of context tokens that the running requests occupy.
	Held int
	// Memory is the number of context tokens that fit into the target's memory; 0 for
	// plain services.
	Memory int
	// Kept is the number of tokens of the request's prompt that the target is expected
	// to have cached.
	Kept int
	// Copied is the number of further tokens that can be copied to the target.
	Copied int
	// CopyTime is the time that the copy takes.
	CopyTime time.Duration
	// Again is the number of tokens that the target would prefill although some worker
	// has prefilled them recently.
	Again int
	// Old reports that the target has older weights than the desired ones.
	Old bool
	// Far reports that the target is in another failure domain.
	Far bool
	// Cold reports that no connection to the target is open.
	Cold bool
	// Doubtful reports that the target's registration has lapsed, so that it may have
	// been removed.
	Doubtful bool
	// Faults is the share of the target's answers that are failures, 0 to 1.
	Faults float64
	// Pace is the target's speed factor: its time to the first answer divided by that
	// expected of its service. Above 1 the target is slower.
	Pace float64
}

// Factors returns the inputs of the time to the first answer at a candidate.
func (c *Candidate) Factors(a *Asked) learn.Factors {
	slots := float64(max(1, c.Slots))
	f := learn.Factors{
		Own: max(0, a.Tokens-c.Kept-c.Copied), Before: c.Unread,
		Beside: min(1, float64(c.Running)/slots), Waiting: max(0, float64(c.Running+1)/slots-1),
	}
	if c.Memory > 0 {
		f.Crowd = memoryPressure(c, a.Tokens)
	}
	return f
}

// Bounds of memoryPressure.
const (
	// minMemorySlots and maxMemorySlots bound the number of requests that are assumed
	// to fit into a memory: with more, the pressure rises later and more steeply.
	minMemorySlots = 2
	maxMemorySlots = 32
	// maxMemoryPressure bounds the result.
	maxMemoryPressure = 2
)

// memoryPressure returns the probability that a target's memory is full when a
// request's turn comes; above 1 the requests do not fit. As in a queue with c servers
// of utilisation s, it grows with s to the power of c. The memory is divided into
// slots of the size of the requests that occupy it.
func memoryPressure(c *Candidate, tokens int) float64 {
	if c.Held <= 0 {
		return 0
	}
	size := max(float64(tokens), float64(c.Held)/float64(max(1, c.Running)))
	memory := float64(c.Memory)
	slots := min(max(memory/max(size, 1), minMemorySlots), maxMemorySlots)
	utilisation := (float64(c.Held) + float64(tokens)/2) / memory
	return min(math.Pow(utilisation, slots), maxMemoryPressure)
}

// Judgement is the evaluation of a candidate for a request.
type Judgement struct {
	// Expected is the expected time to the first answer.
	Expected time.Duration
	// InTime is the probability of an answer within the latency objective, and Served
	// that of an answer before the deadline. Both ignore the target's failures.
	InTime, Served float64
	// Gain is the utility to callers: that of this request's answer, less what other
	// requests lose by waiting for it and by the eviction of their cached segments. The
	// request is worth serving at the candidate only if Gain is above 0.
	Gain float64
	// Worth is Gain less the cost of serving the request at the candidate.
	Worth float64
}

// Evaluate estimates the time and the utility of serving a request at a candidate.
func Evaluate(a *Asked, c *Candidate, e *learn.Estimate, p *Prices) Judgement {
	f := c.Factors(a)
	queueing, service := e.Parts(f)
	speedFactor := max(c.Pace, 0)
	if speedFactor == 0 {
		speedFactor = 1
	}
	wait := time.Duration(speedFactor * float64(queueing))
	work := time.Duration(speedFactor * float64(service))
	j := Judgement{Expected: max(wait, c.CopyTime) + work, InTime: 1}
	expected := max(j.Expected, time.Microsecond).Seconds()
	if a.Aim > 0 {
		j.InTime = e.Chance((a.Aim - a.Spent).Seconds() / expected)
	}
	j.Served = max(j.InTime, e.Chance(a.Left.Seconds()/expected))
	utility := p.Worth(a.Tokens)
	j.Gain = utility * (1 - c.Faults) * (p.Late*j.Served + (1-p.Late)*j.InTime)
	// Tokens that do not fit into memory evict cached segments of later requests.
	j.Gain -= p.Again * f.Crowd * float64(a.Tokens)
	if a.Aim > 0 {
		// Other requests wait for its work as well, as long as there is a queue.
		j.Gain -= a.Rate * (1 - p.Late) * work.Seconds() * wait.Seconds() / a.Aim.Seconds()
	}
	j.Worth = j.Gain - servingCost(a, c, p, utility)
	if a.Aim > 0 {
		j.Worth -= utility * p.Wait * expected / a.Aim.Seconds()
	}
	return j
}

// headBytes is the approximate size of the headers of a request and its answer.
const headBytes = 1500

// bytesPerMegabyte converts sizes in bytes to the unit of Prices.Across.
const bytesPerMegabyte = 1 << 20

// servingCost returns the cost of serving a request at a candidate that does not
// depend on its load.
func servingCost(a *Asked, c *Candidate, p *Prices, utility float64) float64 {
	cost := p.Again*float64(c.Again) + p.Copied*float64(c.Copied)
	if c.Old {
		cost += p.Old * utility
	}
	if c.Far {
		cost += p.Across * float64(a.Bytes+headBytes) / bytesPerMegabyte
	}
	if c.Cold {
		cost += p.Connect
	}
	if c.Doubtful {
		// A target that may have been removed is the last choice.
		cost += utility
	}
	return cost
}
