package route

import "embertally.dev/core/learn"

// Placement names a way to choose a worker.
type Placement string

// The placements. All but Returning are there to be measured against.
const (
	// Returning weighs queue, import and recomputation.
	Returning Placement = "returning"
	// RoundRobin takes the workers in turn.
	RoundRobin Placement = "roundRobin"
	// LeastTokens takes the worker with the least projected work, as in
	// "Capacity-aware inference: why heterogeneous GPUs need a scheduler, not a
	// retry loop", section 7.
	LeastTokens Placement = "leastTokens"
	// StickyHash takes the worker that the context's hash names.
	StickyHash Placement = "stickyHash"
	// Always takes the least projected work, and always exports and imports.
	Always Placement = "always"
	// First is the project's first working version: the worker that holds
	// most, else the least projected work with everything imported.
	First Placement = "first"
)

// Placements lists all placements.
func Placements() []Placement {
	return []Placement{Returning, RoundRobin, LeastTokens, StickyHash, Always, First}
}

// Exports reports whether a placement writes contexts to stores.
func (p Placement) Exports() bool { return p == Returning || p == Always || p == First }

// Spot is what a placement goes by beside the candidates: a hash, a counter and a
// random number.
type Spot struct {
	// Context is the hash of the last part that other requests have as well.
	Context uint64
	// Turn rises with each choice.
	Turn uint64
	// Chance is drawn from [0, 1).
	Chance float64
}

// PickBy returns the index of the candidate that a placement takes and what is
// expected there, or -1 without candidates.
func PickBy(p Placement, a *Asked, list []Candidate, e *learn.Estimate, prices *Prices, s Spot) (int, Judgement) {
	if len(list) == 0 {
		return -1, Judgement{}
	}
	at := 0
	switch p {
	case RoundRobin:
		at = int(s.Turn % uint64(len(list)))
	case StickyHash:
		at = int(s.Context % uint64(len(list)))
	case LeastTokens:
		for i, c := range list {
			if c.Unread < list[at].Unread {
				at = i
			}
		}
	default:
		return Pick(a, list, e, prices, s.Chance)
	}
	return at, Judge(a, &list[at], e, prices)
}
