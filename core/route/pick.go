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
	// Again is how many tokens would be read there that were read elsewhere
	// lately.
	Again int
	// Old tells that the target holds older weights than were named.
	Old bool
	// Short tells that the target is set aside for short prompts.
	Short bool
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
	// againTime is the cost of reading a shared token that a worker has read
	// before, beside its time. On the users' sites 300 tokens read again cost a
	// fifth of a short answer, and 13,000 more than a long answer is worth: a
	// queue of 0.2 s is the better choice for the former, any for the latter.
	againTime = 600 * time.Microsecond
	// copyShare is by how much a copy costs more than its time: bytes moved are
	// priced.
	copyShare = 1.3
	// slotTime is by how much a running request slows another (users' engines:
	// 0.12 ms a step over about ten steps to a stream's first events).
	slotTime = time.Millisecond
	// ShortPrompt is the length up to which a prompt is read between the pieces
	// of longer ones, and shortQueue how many tokens it waits for at most: two
	// pieces.
	ShortPrompt = 2048
	shortQueue  = 8192
	// waitTime is the cost of each request that waits for a slot.
	waitTime = 60 * time.Millisecond
	// oldCost makes new weights worth a short queue: an answer on old ones costs
	// a fifth of its credit, a late one four fifths.
	oldCost = 120 * time.Millisecond
	// misplacedCost keeps long prompts away from workers that are set aside for
	// short ones: one long prompt pushes out the parts of some 60 sessions
	// there, which are then read again.
	misplacedCost = 800 * time.Millisecond
	// farCost prefers the caller's failure domain among equals: bytes between
	// domains are priced.
	farCost = 3 * time.Millisecond
	// doubtCost makes a target that may be gone the last choice.
	doubtCost = 5 * time.Second
	// faultCost is the cost of a certain bad answer.
	faultCost = 2 * time.Second
	// fullCost is the cost of a worker whose memory is spoken for: requests
	// there are set aside and read again. From freeShare on the cost rises to
	// it, since parts that wait for their requests are pushed out.
	fullCost  = 2 * time.Second
	freeShare = 0.45
)

// pressure is the cost of a worker's memory filling up.
func pressure(filled float64) time.Duration {
	over := (filled - freeShare) / (1 - freeShare)
	if over <= 0 {
		return 0
	}
	return time.Duration(over * over * float64(fullCost))
}

// Cost returns the expected time to a first answer at a candidate, with what
// else speaks against it in the same measure.
func Cost(a Asked, c Candidate) time.Duration {
	unread := c.Unread
	if a.Tokens <= ShortPrompt {
		unread = min(unread, shortQueue)
	}
	cost := time.Duration(unread) * tokenTime
	if missing := a.Tokens - c.Kept - c.Copied; missing > 0 {
		cost += time.Duration(missing) * tokenTime
	}
	if a.Tokens > 0 {
		cost += firstTime
	}
	cost += time.Duration(copyShare*float64(c.CopyTime)) + a.Work + turn(a, c)
	if c.Pace > 1 {
		cost = time.Duration(float64(cost) * c.Pace)
	}
	if c.Memory > 0 {
		cost += pressure(float64(c.Held+a.Tokens) / float64(c.Memory))
	}
	cost += time.Duration(c.Again) * againTime
	cost += time.Duration(c.Faults * float64(faultCost))
	return cost + against(a, c)
}

// turn returns the cost of the requests that run at a candidate: beside them
// while a slot is free, else the wait for one.
func turn(a Asked, c Candidate) time.Duration {
	if c.Running < c.Slots {
		cost := time.Duration(c.Running) * slotTime
		if a.Tokens == 0 {
			cost += a.Work * time.Duration(c.Running) / time.Duration(4*c.Slots)
		}
		return cost
	}
	over := c.Running - c.Slots + 1
	cost := time.Duration(c.Slots)*slotTime + time.Duration(over)*waitTime
	if a.Work > 0 {
		cost += a.Work * time.Duration(over) / time.Duration(max(1, c.Slots))
	}
	return cost
}

// against returns what speaks against a candidate whatever its load.
func against(a Asked, c Candidate) time.Duration {
	cost := time.Duration(0)
	for _, extra := range []struct {
		holds bool
		cost  time.Duration
	}{
		{c.Old, oldCost},
		{c.Far, farCost},
		{c.Doubtful, doubtCost},
		{c.Short && a.Tokens > ShortPrompt, misplacedCost},
	} {
		if extra.holds {
			cost += extra.cost
		}
	}
	return cost
}

// Spot is what the placements that are kept to measure against go by, beside the
// candidates.
type Spot struct {
	// Context is the hash of the last part that other requests have as well.
	Context uint64
	// Turn rises with each request.
	Turn uint64
	// Chance is drawn from [0, 1).
	Chance float64
}

// PickBy returns the index of the candidate that a placement takes, or -1
// without candidates.
func PickBy(p Placement, a Asked, list []Candidate, s Spot) int {
	if len(list) == 0 {
		return -1
	}
	switch p {
	case RoundRobin:
		return int(s.Turn % uint64(len(list)))
	case StickyHash:
		return int(s.Context % uint64(len(list)))
	case LeastTokens:
		least := 0
		for i, c := range list {
			if c.Unread < list[least].Unread {
				least = i
			}
		}
		return least
	}
	return Pick(a, list, s.Chance)
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

// Mix counts the short and the long prompts of a service, so that workers are
// set aside for short ones only where there are both. The zero value is ready.
type Mix struct{ short, long float64 }

const (
	// mixForget is the share of the counts that each request takes away: the
	// last few hundred requests count.
	mixForget = 1.0 / 300
	// mixLeast is the share of requests from which a kind counts.
	mixLeast = 0.03
	// mixEnough is the count below which both kinds are taken to come, so that
	// a daemon that has just started chooses as the others do.
	mixEnough = 60
	// shortShare is the part of the workers that is set aside for short prompts
	// where there are both. On the users' sites the parts of all sessions fit
	// into the memory of a third of the workers, and long prompts need half of
	// the workers' time at most.
	shortShare = 0.3
)

// Count records a prompt.
func (m *Mix) Count(tokens int) {
	m.short *= 1 - mixForget
	m.long *= 1 - mixForget
	if tokens <= ShortPrompt {
		m.short++
	} else {
		m.long++
	}
}

// ShortWorkers returns how many of n workers are set aside for short prompts.
func (m *Mix) ShortWorkers(n int) int {
	total := m.short + m.long
	if total >= mixEnough && (m.short < mixLeast*total || m.long < mixLeast*total) {
		return 0
	}
	return int(shortShare*float64(n) + 0.5)
}
