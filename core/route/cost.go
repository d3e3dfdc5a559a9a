package route

import "time"

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
		cost += FirstTime
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
