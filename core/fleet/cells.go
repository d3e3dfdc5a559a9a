package fleet

import (
	"maps"
	"slices"
	"strconv"

	"github.com/vmihailenco/msgpack/v5"
)

// domainCells is the mean number of cells of a failure domain from which on cells lie within
// domains. A domain that is lost takes its cells with it; of fewer cells the others would have to
// take a large part each, and a domain with few targets would have few in each cell.
const domainCells = 8

// cellPlan says how a fleet falls into cells. It never changes.
type cellPlan struct {
	// domains are the failure domains with cells of their own, in order; none where daemons of
	// all domains share cells.
	domains []string
	// first holds the number of each domain's first cell, in the order of domains, and last the
	// number of all cells.
	first []int
	// labels name the cells; keys are ranked by them.
	labels []string
	// byLabel holds the number of each cell.
	byLabel map[string]int
}

// planCells returns the cells of a fleet with some daemons in each failure domain.
func planCells(sizes map[string]int) *cellPlan {
	daemons := 0
	for _, n := range sizes {
		daemons += n
	}
	count := cellCount(daemons)
	if len(sizes) < 2 || count < domainCells*len(sizes) {
		return sharedCells(count)
	}
	p := &cellPlan{domains: slices.Sorted(maps.Keys(sizes)), first: []int{0}, byLabel: map[string]int{}}
	for _, domain := range p.domains {
		for i := range cellsOf(sizes[domain]) {
			p.add(domain + "/" + strconv.Itoa(i))
		}
		p.first = append(p.first, len(p.labels))
	}
	return p
}

// sharedCells returns cells that daemons of all domains share.
func sharedCells(count int) *cellPlan {
	p := &cellPlan{first: []int{0, count}, byLabel: map[string]int{}}
	for c := range count {
		p.add(strconv.Itoa(c))
	}
	return p
}

// add adds a cell.
func (p *cellPlan) add(label string) {
	p.byLabel[label] = len(p.labels)
	p.labels = append(p.labels, label)
}

// count returns how many cells there are.
func (p *cellPlan) count() int { return len(p.labels) }

// same reports whether two plans put each daemon into the same cell.
func (p *cellPlan) same(q *cellPlan) bool {
	return slices.Equal(p.domains, q.domains) && slices.Equal(p.first, q.first)
}

// rangeOf returns the first cell and the number of cells that a name in a domain may fall into.
func (p *cellPlan) rangeOf(domain string) (first, count int) {
	if i, found := slices.BinarySearch(p.domains, domain); found {
		return p.first[i], p.first[i+1] - p.first[i]
	}
	return 0, p.count()
}

// of returns the cell of a daemon or target.
func (p *cellPlan) of(name, domain string) int {
	first, count := p.rangeOf(domain)
	return first + cellOf(Key(name), count)
}

// rank returns the first n cells for a key, best first.
func (p *cellPlan) rank(key uint64, n int) []int {
	var out []int
	for _, label := range RankFirst(key, p.labels, n) {
		out = append(out, p.byLabel[label])
	}
	return out
}

// cellCache remembers the cells of daemons under one plan: the view is made anew with each
// heartbeat of a daemon that was not heard before. The zero value remembers none.
type cellCache struct {
	plan   *cellPlan
	byName map[string]int
}

// set makes the cache answer by a plan.
func (c *cellCache) set(p *cellPlan) {
	if c.plan == nil || !c.plan.same(p) {
		c.plan, c.byName = p, map[string]int{}
	}
}

// of returns the cell of a daemon.
func (c *cellCache) of(name, domain string) int {
	cell, known := c.byName[name]
	if !known {
		cell = c.plan.of(name, domain)
		c.byName[name] = cell
	}
	return cell
}

// Shard says which targets fall to one cell where the cells divide a service's targets between
// them. Whoever gets it can tell so without knowing the same fleet.
type Shard struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	// Domain is the failure domain that the cell lies in; "" where cells are shared by all.
	Domain string
	// Cell is the number of the cell among the Cells of its domain.
	Cell, Cells int
	// FleetCell is its number among all FleetCells.
	FleetCell, FleetCells int
	// Domains are all domains with cells of their own, in order. Targets elsewhere fall to any
	// cell.
	Domains []string
}

// Holds reports whether a target falls to the cell.
func (p *Shard) Holds(name, domain string) bool {
	if p.Domain != "" && domain == p.Domain {
		return cellOf(Key(name), p.Cells) == p.Cell
	}
	if _, own := slices.BinarySearch(p.Domains, domain); own {
		return false
	}
	return cellOf(Key(name), p.FleetCells) == p.FleetCell
}

// ID names the shard: shards with one ID hold the same targets.
func (p *Shard) ID() string {
	// Strings and numbers can always be encoded.
	raw, _ := msgpack.Marshal(p)
	return string(raw)
}

// Shard returns the shard of this daemon's cell. It must not be changed.
func (v *View) Shard() *Shard { return v.shard }

// newShard works it out.
func (v *View) newShard() *Shard {
	p := &Shard{Cell: v.cell, Cells: v.cells, FleetCell: v.cell, FleetCells: v.cells}
	if len(v.plan.domains) == 0 {
		return p
	}
	p.Domains = v.plan.domains
	if _, own := slices.BinarySearch(p.Domains, v.domain); own {
		first, count := v.plan.rangeOf(v.domain)
		p.Domain, p.Cell, p.Cells = v.domain, v.cell-first, count
	}
	return p
}

// TargetCell returns the cell that a target falls to where the cells divide its service's
// targets between them.
func (v *View) TargetCell(name, domain string) int {
	if v.plan == nil {
		return cellOf(Key(name), v.cells)
	}
	return v.plan.of(name, domain)
}

// Label names this daemon's cell; it stays the same while other cells come and go.
func (v *View) Label() string { return v.label(v.cell) }

// nextKey ranks the other cells for a cell that has nothing to use.
const nextKey = "next/"

// NextCells returns the cells to ask where this one has no target to use: one of its own failure
// domain, if there is one, and one elsewhere.
func (v *View) NextCells() []int {
	first, count := 0, v.cells
	if v.plan != nil {
		first, count = v.plan.rangeOf(v.domain)
	}
	var out []int
	near, far := false, false
	for _, cell := range v.rank(Key(nextKey+v.label(v.cell)), v.cells) {
		within := cell >= first && cell < first+count
		switch {
		case cell == v.cell, within && near, !within && far:
			continue
		case within:
			near = true
		default:
			far = true
		}
		out = append(out, cell)
	}
	return out
}

// CellSize returns how many daemons this one's cell has.
func (v *View) CellSize() int { return v.sizes()[v.cell] }
