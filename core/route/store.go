package route

import (
	"cmp"
	"slices"
)

// Shed is one context that a full store could give up.
type Shed struct {
	Index  int
	Blocks int
	// IdleSeconds is how long it was neither read nor written.
	IdleSeconds float64
	Reads       int
}

// GiveUp chooses the contexts that a full store gives up until blocks are
// free. What was read before is likelier to return; what is idle for long is
// less likely.
func GiveUp(list []Shed, blocks int) []int {
	sorted := slices.Clone(list)
	worth := func(s Shed) float64 { return float64(1+s.Reads) / (1 + s.IdleSeconds) }
	slices.SortStableFunc(sorted, func(a, b Shed) int { return cmp.Compare(worth(a), worth(b)) })
	var out []int
	for _, s := range sorted {
		if blocks <= 0 {
			break
		}
		out = append(out, s.Index)
		blocks -= s.Blocks
	}
	return out
}
