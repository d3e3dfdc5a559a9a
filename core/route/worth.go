package route

import (
	"math"
	"time"

	"embertally.dev/core/learn"
)

// Prices say what answers are worth and what serving them costs, in one unit: the
// answer to a plain call in time.
type Prices struct {
	// Token is what each token of a prompt adds to the worth of its answer.
	Token float64
	// Late is the part of its worth that an answer after its aim keeps.
	Late float64
	// Again is the price of reading a token that a worker has read lately.
	Again float64
	// Copied is the price of copying a token of kept context.
	Copied float64
	// Old is the part of its worth that an answer on replaced weights loses.
	Old float64
	// Connect is the price of a new connection to a target.
	Connect float64
	// Across is the price of a megabyte between failure domains.
	Across float64
	// Wait is the part of its worth that an answer loses with each aim's time that
	// goes by before it, also within the aim.
	Wait float64
}

// Worth returns what an answer in time is worth to a prompt of some tokens, 0 for
// plain calls.
func (p *Prices) Worth(tokens int) float64 { return 1 + p.Token*float64(tokens) }

// Asked is what a choice needs to know of a request.
type Asked struct {
	// Tokens is the length of the prompt; 0 for plain calls.
	Tokens int
	// Bytes is the size of the request.
	Bytes int
	// Aim is the time within which an answer is in time, from the request's begin;
	// 0 where there is none.
	Aim time.Duration
	// Spent is how much time has gone by since then, and Left how much the caller
	// or the route leaves.
	Spent, Left time.Duration
	// Rate is the worth of the requests that come to a target of the service in a
	// second: what waits there longer when it gets more work.
	Rate float64
}

// Candidate is one target that a request may be sent to.
type Candidate struct {
	// Running is how many requests are on their way to the target or run there.
	Running int
	// Slots is how many run at a time.
	Slots int
	// Unread is how many prompt tokens must be read there before a new request's.
	Unread int
	// Held is how many tokens of context the running requests hold.
	Held int
	// Memory is how many tokens of context fit; 0 for plain services.
	Memory int
	// Kept is how many tokens of the request's prompt the target is believed to
	// hold.
	Kept int
	// Copied is how many more tokens can be handed to it.
	Copied int
	// CopyTime is how long that takes.
	CopyTime time.Duration
	// Again is how many tokens would be read there that were read elsewhere
	// lately.
	Again int
	// Old tells that the target holds older weights than were named.
	Old bool
	// Far tells that the target is in another failure domain.
	Far bool
	// Cold tells that no connection to the target is open.
	Cold bool
	// Doubtful tells that the target may be gone.
	Doubtful bool
	// Faults is the share of bad answers.
	Faults float64
	// Pace is the target's time to a first answer over that of its service.
	Pace float64
}

// Factors returns what the time to a first answer at a candidate depends on.
func (c *Candidate) Factors(a *Asked) learn.Factors {
	slots := float64(max(1, c.Slots))
	f := learn.Factors{
		Own: max(0, a.Tokens-c.Kept-c.Copied), Before: c.Unread,
		Beside: min(1, float64(c.Running)/slots), Waiting: max(0, float64(c.Running+1)/slots-1),
	}
	if c.Memory > 0 {
		f.Crowd = crowd(c, a.Tokens)
	}
	return f
}

// Bounds of crowd.
const (
	// crowdPlaces bounds how many requests a memory is taken to have room for: the
	// more there are, the later and the sharper it fills.
	fewestPlaces = 2
	mostPlaces   = 32
	// crowdMost bounds the result.
	crowdMost = 2
)

// crowd returns how likely a target's memory is to be full when it is a request's
// turn. Like a line before c places that are taken for a share s of the time, it
// grows with the c-th power of the share; the places are as large as the requests
// that hold them.
func crowd(c *Candidate, tokens int) float64 {
	if c.Held <= 0 {
		return 0
	}
	size := max(float64(tokens), float64(c.Held)/float64(max(1, c.Running)))
	memory := float64(c.Memory)
	places := min(max(memory/max(size, 1), fewestPlaces), mostPlaces)
	share := (float64(c.Held) + float64(tokens)/2) / memory
	return min(math.Pow(share, places), crowdMost)
}

// Judgement is what is expected of a request at a candidate.
type Judgement struct {
	// Expected is the time to the first answer.
	Expected time.Duration
	// InTime is the chance of an answer within the aim, Served that of one before
	// the caller gives up; both without the target's faults.
	InTime, Served float64
	// Gain is what callers gain: this one's answer, less what others lose by its
	// work.
	Gain float64
	// Worth is the gain less the prices of serving it there.
	Worth float64
}

// Judge works out what is expected of a request at a candidate.
func Judge(a *Asked, c *Candidate, e *learn.Estimate, p *Prices) Judgement {
	f := c.Factors(a)
	before, own := e.Parts(f)
	pace := max(c.Pace, 0)
	if pace == 0 {
		pace = 1
	}
	wait := time.Duration(pace * float64(before))
	work := time.Duration(pace * float64(own))
	j := Judgement{Expected: max(wait, c.CopyTime) + work, InTime: 1}
	expected := max(j.Expected, time.Microsecond).Seconds()
	if a.Aim > 0 {
		j.InTime = e.Chance((a.Aim - a.Spent).Seconds() / expected)
	}
	j.Served = max(j.InTime, e.Chance(a.Left.Seconds()/expected))
	worth := p.Worth(a.Tokens)
	j.Gain = worth * (1 - c.Faults) * (p.Late*j.Served + (1-p.Late)*j.InTime)
	// What does not fit pushes out parts that wait for their requests.
	j.Gain -= p.Again * f.Crowd * float64(a.Tokens)
	if a.Aim > 0 {
		// Others wait for its work as well, as long as there is a line.
		j.Gain -= a.Rate * (1 - p.Late) * work.Seconds() * wait.Seconds() / a.Aim.Seconds()
	}
	j.Worth = j.Gain - against(a, c, p, worth)
	if a.Aim > 0 {
		j.Worth -= worth * p.Wait * expected / a.Aim.Seconds()
	}
	return j
}

// headBytes is about the size of the heads of a request and its answer.
const headBytes = 1500

// bytesPerMegabyte turns sizes into what prices count in.
const bytesPerMegabyte = 1 << 20

// against returns the price of all that speaks against a candidate whatever its
// load.
func against(a *Asked, c *Candidate, p *Prices, worth float64) float64 {
	cost := p.Again*float64(c.Again) + p.Copied*float64(c.Copied)
	if c.Old {
		cost += p.Old * worth
	}
	if c.Far {
		cost += p.Across * float64(a.Bytes+headBytes) / bytesPerMegabyte
	}
	if c.Cold {
		cost += p.Connect
	}
	if c.Doubtful {
		// A target that may be gone is the last choice.
		cost += worth
	}
	return cost
}
