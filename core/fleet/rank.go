package fleet

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Rank orders names for key by rendezvous hashing: when a name is removed, only the keys for which
// it ranked first get another first name.
func Rank(key uint64, names []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	list := make([]scored, len(names))
	for i, n := range names {
		list[i] = scored{n, score(key, n)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		case a.name < b.name:
			return -1
		}
		return 1
	})
	out := make([]string, len(list))
	for i, s := range list {
		out[i] = s.name
	}
	return out
}

// RankFirst returns the first n names of Rank, without sorting the others.
func RankFirst(key uint64, names []string, n int) []string {
	type scored struct {
		name  string
		score uint64
	}
	best := make([]scored, 0, min(n, len(names))+1)
	for _, name := range names {
		s := scored{name, score(key, name)}
		at, _ := slices.BinarySearchFunc(best, s, func(a, b scored) int {
			return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
		})
		if at < n {
			best = slices.Insert(best, at, s)
			best = best[:min(len(best), n)]
		}
	}
	out := make([]string, len(best))
	for i, s := range best {
		out[i] = s.name
	}
	return out
}

// RankOf returns the index of name in Rank's order of names for key, or len(names) if it is not
// among them.
func RankOf(key uint64, names []string, name string) int {
	ranked := Rank(key, names)
	if at := slices.Index(ranked, name); at >= 0 {
		return at
	}
	return len(ranked)
}

// First returns the first name of Rank, or "" if there are no names.
func First(key uint64, names []string) string {
	var best string
	var highest uint64
	for _, n := range names {
		s := score(key, n)
		if best == "" || s > highest || (s == highest && n < best) {
			best, highest = n, s
		}
	}
	return best
}

// Key hashes a name to a key for Rank and First.
func Key(name string) uint64 { return xxhash.Sum64String(name) }

func score(key uint64, name string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(key)
	d.WriteString(name)
	return d.Sum64()
}

// cellSize is the mean number of daemons in a cell. Rendezvous hashing spreads daemons unevenly;
// this mean keeps nearly all cells under 20.
const cellSize = 12

// maxSingleCell is the largest number of daemons that form a single cell.
const maxSingleCell = 16

// cellCount returns the number of cells for a fleet of n daemons.
func cellCount(n int) int {
	if n <= maxSingleCell {
		return 1
	}
	return cellsFor(n)
}

// cellsFor returns the number of cells that n daemons form at a mean size of cellSize.
func cellsFor(n int) int { return (n + cellSize - 1) / cellSize }

// cellOf returns which of count cells a key falls into, by rendezvous hashing.
func cellOf(key uint64, count int) int {
	best, highest := 0, uint64(0)
	for c := range count {
		if s := score(key, strconv.Itoa(c)); c == 0 || s > highest {
			best, highest = c, s
		}
	}
	return best
}
