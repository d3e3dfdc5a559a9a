package fleet

import (
	"math"
	"slices"
	"strconv"

	"embertally.dev/core/clock"
	"embertally.dev/core/conf"
	"embertally.dev/core/plat"
)

// Peer is another daemon as this one sees it.
type Peer struct {
	Name    string
	Address string
	Domain  string
	// Cell is the number of the daemon's cell.
	Cell int
	// Incarnation identifies one run of the daemon's process; empty until its first heartbeat.
	Incarnation string
	// Alive means that its heartbeats arrive or, for a peer of another cell, that no call to it
	// has failed recently.
	Alive bool
	// Draining means that it takes no new assignments.
	Draining bool
	// Listed means that the box list has it in state live.
	Listed bool
}

// View is an immutable snapshot of the fleet. A request uses one view from start to end.
type View struct {
	self string
	// peers are the other daemons, ordered by name.
	peers []Peer
	// boxes is the platform's box list, by name.
	boxes map[string]plat.Box
	// boxesLoaded is true once the list was read.
	boxesLoaded bool
	drainOrders map[string]DrainOrder
	// domain is the failure domain of this daemon.
	domain string
	// cells is the number of cells of the fleet, and plan maps names and keys to them. plan is
	// nil only in tests, for cells that all domains share.
	cells int
	plan  *cellPlan
	// shard is the shard of this daemon's cell.
	shard *Shard
	// cell is the number of this daemon's cell.
	cell int
	// eligible are the daemons of this cell that take assignments, ordered by name: the live
	// ones that do not drain, and this one unless it drains.
	eligible []string
	// domains returns the daemons that NotDraining returns by failure domain; computed at the
	// first call.
	domains func() map[string][]string
	// notDraining returns the daemons that NotDraining returns; computed at the first call.
	notDraining func() []string
	// expected are the eligible daemons and those of this cell that do not drain and have not
	// sent a heartbeat yet, ordered by name.
	expected []string
	// draining means that this daemon takes no new assignments.
	draining bool
	// builtAt is when the view was built.
	builtAt clock.Time
}

// Self returns this daemon's name.
func (v *View) Self() string { return v.self }

// Peers returns the other daemons, ordered by name. The result must not be changed.
func (v *View) Peers() []Peer { return v.peers }

// Cells returns the number of cells of the fleet.
func (v *View) Cells() int { return v.cells }

// Cell returns the number of this daemon's cell.
func (v *View) Cell() int { return v.cell }

// Domain returns the failure domain of this daemon.
func (v *View) Domain() string { return v.domain }

// CellOf returns the cell that a name falls into, whatever its domain.
func (v *View) CellOf(name string) int { return v.KeyCell(Key(name)) }

// KeyCell returns the cell that a key falls into. Each cell gets about the same number of keys.
func (v *View) KeyCell(key uint64) int { return v.rank(key, 1)[0] }

// rank returns the first n cells for a key, best first.
func (v *View) rank(key uint64, n int) []int {
	if v.plan == nil {
		return sharedCells(v.cells).rank(key, n)
	}
	return v.plan.rank(key, n)
}

// Draining reports whether this daemon takes no new assignments.
func (v *View) Draining() bool { return v.draining }

// Assignee returns the daemon of this cell that holds the assignment named by key.
func (v *View) Assignee(key uint64) string { return First(key, v.eligible) }

// FleetAssignee returns the daemon of the whole fleet that holds the assignment named by key,
// according to this view.
func (v *View) FleetAssignee(key uint64) string {
	return First(key, v.cellEligible(v.KeyCell(key)))
}

// cellEligible returns the daemons of a cell that take assignments.
func (v *View) cellEligible(cell int) []string {
	if cell == v.Cell() {
		return v.eligible
	}
	var names []string
	for _, p := range v.peers {
		if p.Cell == cell && p.Alive && !p.Draining {
			names = append(names, p.Name)
		}
	}
	return names
}

// Eligible returns the daemons of this cell that take assignments. The result must not be changed.
func (v *View) Eligible() []string { return v.eligible }

// ExpectedEligible returns the daemons of this cell that take assignments or are expected to:
// those that have not sent a heartbeat since this daemon started are included, so that daemons
// that start together agree before their first heartbeats. The result must not be changed.
func (v *View) ExpectedEligible() []string { return v.expected }

// NotDraining returns the daemons of the whole fleet that are not known to drain, ordered by name,
// with this one at the end if it does not drain. Daemons agree on it as far as they have the
// same box list; whether a daemon of another cell is alive is not considered. The result must
// not be changed.
func (v *View) NotDraining() []string { return v.notDraining() }

// listNotDraining computes the result of NotDraining.
func (v *View) listNotDraining() []string {
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

// NotLost returns the daemons of the whole fleet that do not drain and are not known to be lost,
// this one included. Those of this cell that have not sent a heartbeat since this daemon started
// are included, so that daemons that start together agree before their first heartbeats.
func (v *View) NotLost() []string {
	names := make([]string, 0, len(v.peers)+1)
	for _, p := range v.peers {
		noHeartbeat := p.Cell == v.cell && p.Incarnation == ""
		if (p.Alive || noHeartbeat) && !p.Draining {
			names = append(names, p.Name)
		}
	}
	if !v.draining {
		names = append(names, v.self)
	}
	return names
}

// SelfRank returns this daemon's rank for key, from 0, among the daemons of its cell or, if cell
// is false, of the whole fleet, and the number of these daemons. Peers that have not sent a
// heartbeat are included, so that an isolated daemon does not consider itself the first. Until the box
// list was read, both results are 0.
func (v *View) SelfRank(key uint64, cell bool) (rank, count int) {
	if !v.boxesLoaded {
		return 0, 0
	}
	own := score(key, v.self)
	count = 1
	for _, p := range v.peers {
		if cell && p.Cell != v.cell {
			continue
		}
		count++
		if s := score(key, p.Name); s > own || (s == own && p.Name < v.self) {
			rank++
		}
	}
	return rank, count
}

// TopRanked returns the first n of the daemons that SelfRank ranks this one among.
func (v *View) TopRanked(key uint64, cell bool, n int) []string {
	var names []string
	for _, p := range v.peers {
		if !cell || p.Cell == v.cell {
			names = append(names, p.Name)
		}
	}
	return RankFirst(key, names, n)
}

// DaemonsByDomain returns the daemons that NotDraining returns by failure domain. The result must
// not be changed.
func (v *View) DaemonsByDomain() map[string][]string { return v.domains() }

// byDomain computes the result of DaemonsByDomain. own is this daemon's domain.
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

// cellsPerContext is how many cells are tried for one context.
const cellsPerContext = 3

// OwnerCells returns the cells whose daemons may own the context with prefix hash root, best
// first. A later cell is used if those before it have no worker for the request.
func (v *View) OwnerCells(root uint64) []int { return v.rank(root, cellsPerContext) }

// WeightedCell returns the cell that a key falls into by weighted rendezvous hashing, so that the
// keys of a cell are in proportion to its daemons. When a cell grows or shrinks, only the keys
// that must move do.
func (v *View) WeightedCell(key uint64) int {
	best, highest := 0, math.Inf(-1)
	for c, size := range v.sizes() {
		uniform := (float64(score(key, v.label(c))>>uniformShift) + 1) / (uniformSteps + 1)
		if weighted := -float64(size) / math.Log(uniform); weighted > highest {
			best, highest = c, weighted
		}
	}
	return best
}

// label returns the name of a cell, which its keys are ranked by.
func (v *View) label(cell int) string {
	if v.plan == nil {
		return strconv.Itoa(cell)
	}
	return v.plan.labels[cell]
}

// The upper 52 bits of a hash are mapped to a number above 0 and below 1; with 52 bits each
// result is exact in a float64.
const (
	uniformShift = 12
	uniformSteps = 1 << 52
)

// sizes returns the number of daemons of each cell.
func (v *View) sizes() []int {
	sizes := make([]int, v.cells)
	sizes[v.cell]++
	for _, p := range v.peers {
		sizes[p.Cell]++
	}
	return sizes
}

// Owners returns the daemons of a cell to request a placement from for the context with prefix
// hash root, best first, at most n. For its own cell this daemon is added at the end if it is
// not among them.
func (v *View) Owners(cell int, root uint64, n int) []string {
	ranked := Rank(root, v.cellEligible(cell))
	if len(ranked) > n {
		ranked = ranked[:n]
	}
	if cell == v.Cell() && !slices.Contains(ranked, v.self) {
		ranked = append(ranked, v.self)
	}
	return ranked
}

// Owner returns the daemon of this cell that owns the context with prefix hash root.
func (v *View) Owner(root uint64) string { return v.Owners(v.Cell(), root, 1)[0] }

// Usable reports whether a target may get new requests, by its configuration, the drain orders
// and the box list.
func (v *View) Usable(name string, t *conf.Target) bool {
	if t == nil || t.Drain || v.drainOrders[name].Drain {
		return false
	}
	if t.Box == "" || !v.boxesLoaded {
		return true
	}
	box, listed := v.boxes[t.Box]
	return listed && box.State == plat.BoxLive
}

// CellShare returns the part of names that this daemon's cell uses where the cells divide them in
// proportion to their daemons. Daemons with the same view agree on it. With one cell, or fewer
// names than cells, it returns all names.
func (v *View) CellShare(names []string) []string {
	if v.cells <= 1 || len(names) < v.cells {
		return names
	}
	from, to := v.shareRange(v.cell, len(names))
	return Rank(shareKey, names)[from:to]
}

// ShareCell returns the cell that uses name where CellShare divides names.
func (v *View) ShareCell(names []string, name string) int {
	if v.cells <= 1 || len(names) < v.cells {
		return v.cell
	}
	at := RankOf(shareKey, names, name)
	for c := range v.cells {
		if from, to := v.shareRange(c, len(names)); from <= at && at < to {
			return c
		}
	}
	return v.cell
}

// shareKey is the key by which CellShare ranks names.
var shareKey = Key("share")

// shareRange returns which of a number of ranked names a cell uses, as a half-open range of
// indices in proportion to its daemons.
func (v *View) shareRange(cell, names int) (from, to int) {
	sizes := v.sizes()
	before, total := 0, len(v.peers)+1
	for _, n := range sizes[:cell] {
		before += n
	}
	return before * names / total, (before + sizes[cell]) * names / total
}

// Boxes returns the platform's box list, by name. The result must not be changed.
func (v *View) Boxes() map[string]plat.Box { return v.boxes }

// DrainOrders returns the drain orders by target. The result must not be changed.
func (v *View) DrainOrders() map[string]DrainOrder { return v.drainOrders }

// DrainOrder is an operator's order that a target gets no new requests, or gets them again.
// Daemons pass it on in heartbeats, without the coordination store.
type DrainOrder struct {
	// Drain is true to drain the target, false to cancel the drain.
	Drain bool `msgpack:"l" json:"leaving"`
	// Stamp orders the orders for one target, in ns since the Unix epoch; the highest applies.
	Stamp int64 `msgpack:"s" json:"stamp"`
}

// Peer returns a peer by name.
func (v *View) Peer(name string) (Peer, bool) {
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
