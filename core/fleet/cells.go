package fleet

import (
	"maps"
	"slices"
	"strconv"

	"github.com/vmihailenco/msgpack/v5"
)

// domainCells is the smallest mean number of cells per failure domain at which each cell lies
// within one domain. Such cells are lost together with their domain: with fewer of them, each
// remaining cell would have to take over a large part of the work, and in a domain with few
// targets each cell would have few.
const domainCells = 8

// cellPlan assigns daemons, targets and keys to the cells of a fleet. It is immutable.
type cellPlan struct {
	// domains are the failure domains with cells of their own, sorted; none where daemons of all
	// domains share cells.
	domains []string
	// firstCell holds the number of each domain's first cell, in the order of domains, followed
	// by the number of all cells.
	firstCell []int
	// labels are the names of the cells, by cell number; keys are ranked by them.
	labels []string
	// byLabel holds the number of each cell by its label.
	byLabel map[string]int
}

// planCells returns the cells of a fleet with the given number of daemons in each failure
// domain.
func planCells(sizes map[string]int) *cellPlan {
	daemons := 0
	for _, n := range sizes {
		daemons += n
	}
	count := cellCount(daemons)
	if len(sizes) < 2 || count < domainCells*len(sizes) {
		return sharedCells(count)
	}
	p := &cellPlan{domains: slices.Sorted(maps.Keys(sizes)), firstCell: []int{0}, byLabel: map[string]int{}}
	for _, domain := range p.domains {
		for i := range cellsFor(sizes[domain]) {
			p.add(domain + "/" + strconv.Itoa(i))
		}
		p.firstCell = append(p.firstCell, len(p.labels))
	}
	return p
}

// sharedCells returns count cells that daemons of all domains share.
func sharedCells(count int) *cellPlan {
	p := &cellPlan{firstCell: []int{0, count}, byLabel: map[string]int{}}
	for c := range count {
		p.add(strconv.Itoa(c))
	}
	return p
}

// add appends a cell.
func (p *cellPlan) add(label string) {
	p.byLabel[label] = len(p.labels)
	p.labels = append(p.labels, label)
}

// count returns the number of cells.
func (p *cellPlan) count() int { return len(p.labels) }

// same reports whether two plans assign each daemon to the same cell.
func (p *cellPlan) same(q *cellPlan) bool {
	return slices.Equal(p.domains, q.domains) && slices.Equal(p.firstCell, q.firstCell)
}

// rangeOf returns the first cell and the number of the cells that a name in a domain may fall
// into.
func (p *cellPlan) rangeOf(domain string) (first, count int) {
	if i, found := slices.BinarySearch(p.domains, domain); found {
		return p.firstCell[i], p.firstCell[i+1] - p.firstCell[i]
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

// cellCache caches the cells of daemons under one plan, since the view is rebuilt at the first
// heartbeat of each daemon. The zero value is empty; set must be called before of.
type cellCache struct {
	plan   *cellPlan
	byName map[string]int
}

// set makes the cache use plan p, and clears it if p differs from the former one.
func (c *cellCache) set(p *cellPlan) {
	if c.plan == nil || !c.plan.same(p) {
		c.plan, c.byName = p, map[string]int{}
	}
}

// of returns the cell of a daemon, which must be in the same domain at each call.
func (c *cellCache) of(name, domain string) int {
	cell, cached := c.byName[name]
	if !cached {
		cell = c.plan.of(name, domain)
		c.byName[name] = cell
	}
	return cell
}

// Shard describes which targets fall to one cell where the cells divide a service's targets
// among them. A receiver can evaluate it without having the same view of the fleet.
type Shard struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	// Domain is the failure domain that the cell lies in; "" where daemons of all domains share
	// cells.
	Domain string
	// Cell is the number of the cell among the Cells of its domain, from 0.
	Cell, Cells int
	// FleetCell is its number among all FleetCells cells of the fleet.
	FleetCell, FleetCells int
	// Domains are the domains with cells of their own, sorted. A target of another domain may
	// fall to any cell.
	Domains []string
}

// Contains reports whether a target falls to the cell.
func (p *Shard) Contains(name, domain string) bool {
	if p.Domain != "" && domain == p.Domain {
		return cellOf(Key(name), p.Cells) == p.Cell
	}
	if _, own := slices.BinarySearch(p.Domains, domain); own {
		return false
	}
	return cellOf(Key(name), p.FleetCells) == p.FleetCell
}

// ID returns an identifier of the shard: shards with the same ID have the same targets.
func (p *Shard) ID() string {
	// Strings and numbers can always be encoded.
	raw, _ := msgpack.Marshal(p)
	return string(raw)
}

// Shard returns the shard of this daemon's cell. The result must not be changed.
func (v *View) Shard() *Shard { return v.shard }

// newShard computes the shard of this daemon's cell.
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
// targets among them.
func (v *View) TargetCell(name, domain string) int {
	if v.plan == nil {
		return cellOf(Key(name), v.cells)
	}
	return v.plan.of(name, domain)
}

// CellLabel returns the name of this daemon's cell. It stays the same when other cells are added
// or removed.
func (v *View) CellLabel() string { return v.label(v.cell) }

// nextKeyPrefix, followed by a cell's label, is the key that ranks the cells to try after it.
const nextKeyPrefix = "next/"

// FallbackCells returns the cells to request a placement from where this one has no usable target:
// one of its own failure domain, if there is one, and one elsewhere.
func (v *View) FallbackCells() []int {
	first, count := 0, v.cells
	if v.plan != nil {
		first, count = v.plan.rangeOf(v.domain)
	}
	var out []int
	sameDomain, otherDomain := false, false
	for _, cell := range v.rank(Key(nextKeyPrefix+v.label(v.cell)), v.cells) {
		within := cell >= first && cell < first+count
		switch {
		case cell == v.cell, within && sameDomain, !within && otherDomain:
			continue
		case within:
			sameDomain = true
		default:
			otherDomain = true
		}
		out = append(out, cell)
	}
	return out
}

// CellSize returns the number of daemons in this daemon's cell.
func (v *View) CellSize() int { return v.sizes()[v.cell] }
