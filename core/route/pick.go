package route

import "time"

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
	// Copied is how many more tokens a store can hand to it.
	Copied int
	// CopyTime is how long that takes.
	CopyTime time.Duration
	// Old tells that the target holds older weights than were named.
	Old bool
	// Far tells that the target is in another failure domain.
	Far bool
	// Doubtful tells that the target may be gone.
	Doubtful bool
	// Faults is the recent share of bad answers.
	Faults float64
	// Pace is the recent time to a first answer over that expected.
	Pace float64
}

// Asked is what a choice needs to know of a request.
type Asked struct {
	// Tokens is the length of the prompt; 0 for plain calls.
	Tokens int
	// Work is the usual time of a plain call.
	Work time.Duration
}

// Costs of a candidate beside its queue, in seconds of waiting that are worth
// as much. Sources: the users' price of old weights is a fifth of an answer's
// credit; a bad answer costs a retry or the answer.
const (
	// tokenTime is the time to read one prompt token. The users' engines read
	// 55 to 157 a millisecond; candidates are compared with each other, so the
	// slower is used for all.
	tokenTime = time.Second / 55000
	// slotTime is by how much a running request slows the next token of others
	// (users' engines: 0.12 ms a step over about 30 steps).
	slotTime = 4 * time.Millisecond
	// waitTime is the cost of each request that waits for a slot.
	waitTime = 60 * time.Millisecond
	// oldCost makes new weights worth a queue of a few prompts.
	oldCost = 400 * time.Millisecond
	// farCost prefers the caller's failure domain among equals: bytes between
	// domains are priced.
	farCost = 3 * time.Millisecond
	// doubtCost makes a target that may be gone the last choice.
	doubtCost = 5 * time.Second
	// faultCost is the cost of a certain bad answer.
	faultCost = 2 * time.Second
	// fullCost is the cost of a target whose memory is spoken for: requests
	// there are set aside and read again.
	fullCost = 800 * time.Millisecond
)

// Cost returns the expected time to a first answer at a candidate, with what
// else speaks against it in the same measure.
func Cost(a Asked, c Candidate) time.Duration {
	cost := time.Duration(c.Unread) * tokenTime
	if missing := a.Tokens - c.Kept - c.Copied; missing > 0 {
		cost += time.Duration(missing) * tokenTime
	}
	cost += c.CopyTime + a.Work
	if c.Running < c.Slots {
		cost += time.Duration(c.Running) * slotTime
		if a.Tokens == 0 {
			cost += a.Work * time.Duration(c.Running) / time.Duration(4*c.Slots)
		}
	} else {
		over := c.Running - c.Slots + 1
		cost += time.Duration(c.Slots)*slotTime + time.Duration(over)*waitTime
		if a.Work > 0 {
			cost += a.Work * time.Duration(over) / time.Duration(max(1, c.Slots))
		}
	}
	if c.Pace > 1 {
		cost = time.Duration(float64(cost) * c.Pace)
	}
	if c.Memory > 0 && c.Held+a.Tokens > c.Memory {
		cost += fullCost
	}
	cost += time.Duration(c.Faults * float64(faultCost))
	for _, extra := range []struct {
		holds bool
		cost  time.Duration
	}{{c.Old, oldCost}, {c.Far, farCost}, {c.Doubtful, doubtCost}} {
		if extra.holds {
			cost += extra.cost
		}
	}
	return cost
}

// nearPick is the difference in cost that is left to chance, so that daemons
// which decide on the same reports do not all take the same target.
const nearPick = 2 * time.Millisecond

// Pick returns the index of the candidate to take, or -1 without candidates.
// chance is drawn from [0, 1).
func Pick(a Asked, list []Candidate, chance float64) int {
	if len(list) == 0 {
		return -1
	}
	costs := make([]time.Duration, len(list))
	least := time.Duration(-1)
	for i, c := range list {
		costs[i] = Cost(a, c)
		if least < 0 || costs[i] < least {
			least = costs[i]
		}
	}
	near := 0
	for _, c := range costs {
		if c <= least+nearPick {
			near++
		}
	}
	at := int(chance * float64(near))
	for i, c := range costs {
		if c > least+nearPick {
			continue
		}
		if at == 0 {
			return i
		}
		at--
	}
	return len(list) - 1
}
