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
