package fleet

import (
	"math"
	"slices"
	"strconv"

	"embertally.dev/core/clock"
	"embertally.dev/core/conf"
	"embertally.dev/core/plat"
)

// Peer is one daemon as another sees it.
type Peer struct {
	Name    string
	Address string
	Domain  string
	// Cell is the cell of the daemon.
	Cell int
	// Incarnation tells one run of the daemon from the next; empty while it
	// has not been heard.
	Incarnation string
	// Alive tells that its heartbeats arrive.
	Alive bool
	// Draining tells that it takes no new duties.
	Draining bool
	// Listed tells that the box list names it as live.
	Listed bool
}

// View is the fleet at one moment. It never changes; a request uses one view
// from start to end.
type View struct {
	self string
	// peers are the other daemons, ordered by name.
	peers []Peer
	// boxes are the boxes of the platform's list by name.
	boxes map[string]plat.Box
	// boxesKnown tells that the list was read at least once.
	boxesKnown bool
	marks      map[string]Mark
	// domain is the failure domain of this daemon.
	domain string
	// cells is how many cells the fleet has, and plan how it falls into them.
	cells int
	plan  *cellPlan
	// shard is that of this daemon's cell.
	shard *Shard
	// cell is the cell of this daemon.
	cell int
	// duty are the daemons of this cell that take duties, this one included
	// unless it drains, ordered by name.
	duty []string
	// domains holds the daemons that Listed returns by failure domain; worked out when it
	// is first asked for.
	domains func() map[string][]string
	// listed are the daemons that Listed returns; worked out when it is first asked for.
	listed func() []string
	// expected are those on duty and those listed that were not heard yet, ordered by
	// name.
	expected []string
	draining bool
	at       clock.Time
}

// Self returns this daemon's name.
func (v *View) Self() string { return v.self }

// Peers returns the other daemons, ordered by name. It must not be changed.
func (v *View) Peers() []Peer { return v.peers }

// Cells returns how many cells the fleet has.
func (v *View) Cells() int { return v.cells }

// Cell returns the cell of this daemon.
func (v *View) Cell() int { return v.cell }

// Domain returns the failure domain of this daemon.
func (v *View) Domain() string { return v.domain }

// CellOf returns the cell that a key or the name of a target falls into, whatever its domain.
func (v *View) CellOf(name string) int { return v.KeyCell(Key(name)) }

// KeyCell returns the cell of a key, where each cell gets as many keys as the others.
func (v *View) KeyCell(key uint64) int { return v.rank(key, 1)[0] }

// rank returns the first n cells for a key, best first.
func (v *View) rank(key uint64, n int) []int {
	if v.plan == nil {
		return sharedCells(v.cells).rank(key, n)
	}
	return v.plan.rank(key, n)
}

// Draining reports whether this daemon takes no new duties.
func (v *View) Draining() bool { return v.draining }

// Duty returns who of this cell has the duty that key names.
func (v *View) Duty(key uint64) string { return First(key, v.duty) }

// DutyOf returns who of the whole fleet has the duty that key names, as far as
// this daemon knows.
func (v *View) DutyOf(key uint64) string {
	return First(key, v.cellDuty(v.KeyCell(key)))
}

// cellDuty returns the daemons of a cell that take duties.
func (v *View) cellDuty(cell int) []string {
	if cell == v.Cell() {
		return v.duty
	}
	var names []string
	for _, p := range v.peers {
		if p.Cell == cell && p.Alive && !p.Draining {
			names = append(names, p.Name)
		}
	}
	return names
}

// OnDuty returns the daemons of this cell that take duties.
func (v *View) OnDuty() []string { return v.duty }

// Expected returns the daemons of this cell that take duties or are about to: those that
// are listed and have not been heard since this daemon started count as well, so that
// daemons which start together agree before they hear each other.
func (v *View) Expected() []string { return v.expected }

// Listed returns the daemons of the whole fleet that do not drain as far as this one
// knows, this one included, ordered by name but for itself. Others agree on it as far as
// they know the same list of boxes; whether a daemon of another cell lives is not known. It must
// not be changed.
func (v *View) Listed() []string { return v.listed() }

// allListed works them out.
func (v *View) allListed() []string {
	names := make([]string, 0, len(v.peers)+1)
	for _, p := range v.peers {
		if !p.Draining {
			names = append(names, p.Name)
		}
	}
	if !v.draining {
		names = append(names, v.self)
	}
	return names
}

// Living returns the daemons of the whole fleet that do not drain and are not known to be lost,
// this one included. Those of this cell that have not been heard since this daemon started
// count: daemons that start together agree on it before they hear each other.
func (v *View) Living() []string {
	names := make([]string, 0, len(v.peers)+1)
	for _, p := range v.peers {
		unheard := p.Cell == v.cell && p.Incarnation == ""
		if (p.Alive || unheard) && !p.Draining {
			names = append(names, p.Name)
		}
	}
	if !v.draining {
		names = append(names, v.self)
	}
	return names
}

// Place returns how many of the daemons of this cell, or of the whole fleet, come before
// this one for key, and how many daemons these are. All that are known count, heard or
// not: who is cut off must not take itself for the first. Until the list of boxes is known
// there are none.
func (v *View) Place(key uint64, cell bool) (place, of int) {
	if !v.boxesKnown {
		return 0, 0
	}
	own := score(key, v.self)
	of = 1
	for _, p := range v.peers {
		if cell && p.Cell != v.cell {
			continue
		}
		of++
		if s := score(key, p.Name); s > own || (s == own && p.Name < v.self) {
			place++
		}
	}
	return place, of
}

// Ranked returns the first n of the daemons among which Place counts, without this one.
func (v *View) Ranked(key uint64, cell bool, n int) []string {
	var names []string
	for _, p := range v.peers {
		if !cell || p.Cell == v.cell {
			names = append(names, p.Name)
		}
	}
	return RankFirst(key, names, n)
}

// Domains returns the daemons that Listed returns by failure domain. It must not be
// changed.
func (v *View) Domains() map[string][]string { return v.domains() }

// byDomain works them out.
func (v *View) byDomain(own string) map[string][]string {
	out := map[string][]string{}
	for _, p := range v.peers {
		if !p.Draining {
			out[p.Domain] = append(out[p.Domain], p.Name)
		}
	}
	if !v.draining {
		out[own] = append(out[own], v.self)
	}
	return out
}

// cellsTried is how many cells are tried for one context.
const cellsTried = 3

// HomeCells returns the cells where a context may be at home, best first. The
// second counts where the first has no worker for the request.
func (v *View) HomeCells(root uint64) []int { return v.rank(root, cellsTried) }

// WeighedCell returns the cell of a key, where a cell gets as many keys as it has daemons:
// by a weighted draw, so that a cell that grows or shrinks takes or gives up only what it
// must.
func (v *View) WeighedCell(key uint64) int {
	best, most := 0, math.Inf(-1)
	for c, size := range v.sizes() {
		draw := (float64(score(key, v.label(c))>>drawShift) + 1) / (drawSteps + 1)
		if weighed := -float64(size) / math.Log(draw); weighed > most {
			best, most = c, weighed
		}
	}
	return best
}

// label names a cell.
func (v *View) label(cell int) string {
	if v.plan == nil {
		return strconv.Itoa(cell)
	}
	return v.plan.labels[cell]
}

// Draws have as many bits as a float64 holds.
const (
	drawShift = 12
	drawSteps = 1 << 52
)

// sizes returns how many daemons each cell has.
func (v *View) sizes() []int {
	sizes := make([]int, v.cells)
	sizes[v.cell]++
	for _, p := range v.peers {
		sizes[p.Cell]++
	}
	return sizes
}

// Homes returns the daemons of a cell to ask about a context, best first, at
// most n. This daemon is the last one for its own cell.
func (v *View) Homes(cell int, root uint64, n int) []string {
	ranked := Rank(root, v.cellDuty(cell))
	if len(ranked) > n {
		ranked = ranked[:n]
	}
	if cell == v.Cell() && !slices.Contains(ranked, v.self) {
		ranked = append(ranked, v.self)
	}
	return ranked
}

// Home returns the daemon of this cell that a context is at home at.
func (v *View) Home(root uint64) string { return v.Homes(v.Cell(), root, 1)[0] }

// Usable reports whether a target may get new work, by configuration, drain
// orders and the box list.
func (v *View) Usable(name string, t *conf.Target) bool {
	if t == nil || t.Drain || v.marks[name].Leaving {
		return false
	}
	if t.Box == "" || !v.boxesKnown {
		return true
	}
	box, listed := v.boxes[t.Box]
	return listed && box.State == plat.BoxLive
}

// Share returns the names that the daemons of this cell use where all daemons
// share them out by cell, in proportion to the daemons of each cell. Daemons
// with the same view agree on it. With one cell it returns all.
func (v *View) Share(names []string) []string {
	if v.cells <= 1 || len(names) < v.cells {
		return names
	}
	from, to := v.shareOf(v.cell, len(names))
	return Rank(shareKey, names)[from:to]
}

// SharedBy returns the cell whose daemons use a name where Share shares names out.
func (v *View) SharedBy(names []string, name string) int {
	if v.cells <= 1 || len(names) < v.cells {
		return v.cell
	}
	at := Place(shareKey, names, name)
	for c := range v.cells {
		if from, to := v.shareOf(c, len(names)); from <= at && at < to {
			return c
		}
	}
	return v.cell
}

// shareKey ranks names that cells share out.
var shareKey = Key("share")

// shareOf returns which of some ranked names a cell uses: as large a part of them as it has
// of the daemons.
func (v *View) shareOf(cell, names int) (from, to int) {
	sizes := v.sizes()
	before, total := 0, len(v.peers)+1
	for _, n := range sizes[:cell] {
		before += n
	}
	return before * names / total, (before + sizes[cell]) * names / total
}

// Boxes returns the boxes of the platform's list by name. It must not be
// changed.
func (v *View) Boxes() map[string]plat.Box { return v.boxes }

// Marks returns the drain orders by target. It must not be changed.
func (v *View) Marks() map[string]Mark { return v.marks }

// Mark is an operator's order that a target gets no new work, or gets it
// again. It spreads between daemons without the key-value service.
type Mark struct {
	Leaving bool `msgpack:"l" json:"leaving"`
	// Stamp orders the marks of a target; the highest counts.
	Stamp int64 `msgpack:"s" json:"stamp"`
}

// peer returns a daemon by name.
func (v *View) peer(name string) (Peer, bool) {
	i, ok := slices.BinarySearchFunc(v.peers, name, func(p Peer, n string) int {
		if p.Name < n {
			return -1
		}
		if p.Name > n {
			return 1
		}
		return 0
	})
	if !ok {
		return Peer{}, false
	}
	return v.peers[i], true
}
