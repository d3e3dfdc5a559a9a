package route

import "embertally.dev/core/learn"

// Placement names an algorithm that selects a worker.
type Placement string

// The placements. All but LowestCost are baselines for comparison.
const (
	// LowestCost minimises the cost of queueing, import and recomputation.
	LowestCost Placement = "returning"
	// RoundRobin selects the workers in turn.
	RoundRobin Placement = "roundRobin"
	// LeastTokens selects the worker with the least projected work, as in
	// "Capacity-aware inference: why heterogeneous GPUs need a scheduler, not a
	// retry loop", section 7.
	LeastTokens Placement = "leastTokens"
	// StickyHash selects the worker by the hash of the context, modulo their number.
	StickyHash Placement = "stickyHash"
	// AlwaysImport selects the worker with the least projected work, and always
	// exports and imports.
	AlwaysImport Placement = "always"
	// MostCached selects the worker with the fewest tokens to recompute and bytes
	// to import, and of equal ones that with the shortest queue. It imports all
	// blocks that a store holds beyond the worker's.
	MostCached Placement = "first"
)

// Placements lists all placements.
func Placements() []Placement {
	return []Placement{LowestCost, RoundRobin, LeastTokens, StickyHash, AlwaysImport, MostCached}
}

// Exports reports whether a placement writes contexts to KV-cache stores.
func (p Placement) Exports() bool { return p == LowestCost || p == AlwaysImport || p == MostCached }

// PlacementInput holds the inputs of a placement other than the candidates.
type PlacementInput struct {
	// ContextHash is the hash of the last prompt segment that is shared with other
	// requests, or 0. StickyHash uses it.
	ContextHash uint64
	// Turn is a counter of choices. RoundRobin uses it.
	Turn uint64
	// Random is a random number in [0, 1). LowestCost uses it.
	Random float64
}

// PickWith returns the index of the candidate that a placement selects and its
// evaluation, or -1 if there are no candidates. Placements other than RoundRobin,
// StickyHash and LeastTokens select as Pick does.
func PickWith(p Placement, a *PickRequest, list []Candidate, e *learn.Estimate, costs *CostModel, s PlacementInput) (int, Evaluation) {
	if len(list) == 0 {
		return -1, Evaluation{}
	}
	chosen := 0
	switch p {
	case RoundRobin:
		chosen = int(s.Turn % uint64(len(list)))
	case StickyHash:
		chosen = int(s.ContextHash % uint64(len(list)))
	case LeastTokens:
		for i, c := range list {
			if c.QueuedTokens < list[chosen].QueuedTokens {
				chosen = i
			}
		}
	default:
		return Pick(a, list, e, costs, s.Random)
	}
	return chosen, Evaluate(a, &list[chosen], e, costs)
}
