package fleet

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Rank orders names for key by rendezvous hashing: when a name goes, only the
// keys that it came first for get another first name.
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

// RankFirst returns the first n names of Rank.
func RankFirst(key uint64, names []string, n int) []string {
	type scored struct {
		name  string
		score uint64
	}
	best := make([]scored, 0, n+1)
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

// Place returns how many of names come before one for key, or all where it is not among
// them.
func Place(key uint64, names []string, name string) int {
	ranked := Rank(key, names)
	if at := slices.Index(ranked, name); at >= 0 {
		return at
	}
	return len(ranked)
}

// First returns the first name of Rank, or "" if there are no names.
func First(key uint64, names []string) string {
	var best string
	var high uint64
	for _, n := range names {
		s := score(key, n)
		if best == "" || s > high || (s == high && n < best) {
			best, high = n, s
		}
	}
	return best
}

// Key returns the key of a name for Rank and First.
func Key(name string) uint64 { return xxhash.Sum64String(name) }

func score(key uint64, name string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(key)
	d.WriteString(name)
	return d.Sum64()
}

// cellSize is the mean number of daemons in a cell. Rendezvous hashing spreads
// daemons unevenly; this mean keeps nearly all cells under 20.
const cellSize = 12

// oneCell is the largest fleet that is kept as one cell.
const oneCell = 16

// cellCount returns how many cells a fleet of n daemons has.
func cellCount(n int) int {
	if n <= oneCell {
		return 1
	}
	return cellsOf(n)
}

// cellsOf returns how many cells of cellSize some daemons make.
func cellsOf(n int) int { return (n + cellSize - 1) / cellSize }

// cellOf returns the cell of a name or key among count cells.
func cellOf(key uint64, count int) int {
	best, high := 0, uint64(0)
	for c := range count {
		if s := score(key, strconv.Itoa(c)); c == 0 || s > high {
			best, high = c, s
		}
	}
	return best
}
