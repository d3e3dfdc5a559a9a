package route

import (
	"cmp"
	"slices"
)

// EvictionCandidate describes one context that a full KV-cache store can evict.
type EvictionCandidate struct {
	// Index identifies the context to the caller.
	Index int
	// Blocks is the number of blocks that the eviction frees.
	Blocks int
	// IdleSeconds is the time since the context was last read or written.
	IdleSeconds float64
	// Reads is how often the context was read.
	Reads int
}

// ChooseEvictions returns the indexes of the contexts to evict from a full KV-cache store so
// that at least the given number of blocks are freed. A context that was read often is
// more likely to be needed again, one that was idle for long less likely.
func ChooseEvictions(list []EvictionCandidate, blocks int) []int {
	sorted := slices.Clone(list)
	value := func(s EvictionCandidate) float64 { return float64(1+s.Reads) / (1 + s.IdleSeconds) }
	slices.SortStableFunc(sorted, func(a, b EvictionCandidate) int { return cmp.Compare(value(a), value(b)) })
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
