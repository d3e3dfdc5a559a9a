package cache

import (
	"container/list"
	"slices"
	"sync"
	"time"
)

// Holding says how many first blocks of a chain a worker holds.
type Holding struct {
	Worker string
	Blocks int
}

// Keeping says how many first blocks of a chain a store keeps.
type Keeping struct {
	Store  string
	Blocks int
}

// Position is what is known of one context.
type Position struct {
	// Known tells that the context was seen here before.
	Known    bool
	Holdings []Holding
	Keepings []Keeping
	// Looked tells that the stores were asked for the context.
	Looked bool
}

// record is what the home of a context knows of it.
type record struct {
	root uint64
	// chain is the longest recent chain of the context.
	chain []uint64
	// workers and stores count first blocks of chain.
	workers []Holding
	stores  []Keeping
	looked  bool
	used    time.Time
	// exporting tells that an export of the context is running or waiting.
	exporting bool
}

// Index is what a daemon knows of the contexts whose home it is. The zero
// value is empty and keeps up to DefaultContexts contexts. What is lost with a
// daemon is only hints: kept contexts are found again by their root.
type Index struct {
	// Limit bounds the contexts known; set it before use.
	Limit int

	indexMu sync.Mutex
	// records maps roots to elements of order. Guarded by indexMu.
	records map[uint64]*list.Element
	// order lists the records, the latest used first. Guarded by indexMu.
	order list.List
}

// DefaultContexts bounds an index that sets no limit of its own.
const DefaultContexts = 8192

// Find returns what is known of the context of chain.
func (x *Index) Find(root uint64, chain []uint64) Position {
	x.indexMu.Lock()
	defer x.indexMu.Unlock()
	r := x.record(root)
	if r == nil {
		return Position{}
	}
	same := common(r.chain, chain)
	p := Position{Known: true, Looked: r.looked}
	for _, h := range r.workers {
		if n := min(h.Blocks, same); n > 0 {
			p.Holdings = append(p.Holdings, Holding{h.Worker, n})
		}
	}
	for _, k := range r.stores {
		if n := min(k.Blocks, same); n > 0 {
			p.Keepings = append(p.Keepings, Keeping{k.Store, n})
		}
	}
	return p
}

// common returns how many first blocks two chains share.
func common(a, b []uint64) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

func (x *Index) record(root uint64) *record {
	e := x.records[root]
	if e == nil {
		return nil
	}
	return e.Value.(*record)
}

// touch returns the record of a context with its chain set to chain, made new
// if need be.
func (x *Index) touch(root uint64, chain []uint64, now time.Time) *record {
	if x.records == nil {
		x.records = map[uint64]*list.Element{}
	}
	e := x.records[root]
	if e == nil {
		e = x.order.PushFront(&record{root: root})
		x.records[root] = e
		x.trim()
	}
	x.order.MoveToFront(e)
	r := e.Value.(*record)
	r.used = now
	r.follow(chain)
	return r
}

// follow makes chain the record's chain and cuts what is known to the blocks
// that both chains share. A chain that is only shorter changes nothing.
func (r *record) follow(chain []uint64) {
	same := common(r.chain, chain)
	if same == len(chain) {
		return
	}
	if same < len(r.chain) {
		for i := range r.workers {
			r.workers[i].Blocks = min(r.workers[i].Blocks, same)
		}
		for i := range r.stores {
			r.stores[i].Blocks = min(r.stores[i].Blocks, same)
		}
	}
	r.chain = append([]uint64(nil), chain...)
}

func (x *Index) trim() {
	limit := x.Limit
	if limit == 0 {
		limit = DefaultContexts
	}
	for x.order.Len() > limit {
		last := x.order.Back()
		delete(x.records, last.Value.(*record).root)
		x.order.Remove(last)
	}
}

// Held records that a worker holds the first n blocks of chain.
func (x *Index) Held(root uint64, chain []uint64, worker string, n int, now time.Time) {
	x.indexMu.Lock()
	defer x.indexMu.Unlock()
	r := x.touch(root, chain, now)
	r.workers = setHolding(r.workers, worker, min(n, len(r.chain)))
}

func setHolding(list []Holding, worker string, n int) []Holding {
	for i := range list {
		if list[i].Worker == worker {
			list[i].Blocks = n
			return list
		}
	}
	return append(list, Holding{worker, n})
}

// Kept records that a store keeps the first n blocks of chain; zero says that
// it keeps none.
func (x *Index) Kept(root uint64, chain []uint64, store string, n int, now time.Time) {
	x.indexMu.Lock()
	defer x.indexMu.Unlock()
	r := x.touch(root, chain, now)
	r.looked = true
	n = min(n, len(r.chain))
	for i := range r.stores {
		if r.stores[i].Store == store {
			r.stores[i].Blocks = n
			return
		}
	}
	r.stores = append(r.stores, Keeping{store, n})
}

// Looked records that the stores were asked for the context.
func (x *Index) Looked(root uint64, chain []uint64, now time.Time) {
	x.indexMu.Lock()
	defer x.indexMu.Unlock()
	x.touch(root, chain, now).looked = true
}

// Mark names one block by the context Root, its short hash and its place in
// the chain, counted from one.
type Mark struct {
	Root  uint64 `msgpack:"r"`
	Short uint64 `msgpack:"s"`
	Depth int    `msgpack:"d"`
}

// fits reports whether the block is part of the record's chain.
func (m Mark) fits(r *record) bool {
	return r != nil && m.Depth >= 1 && m.Depth <= len(r.chain) && r.chain[m.Depth-1] == m.Short
}

// left returns how many first blocks of the context a worker may still hold
// without the marked one. The blocks before the one that names the context
// belong to many contexts, so that no mark tells of their loss: without the
// naming block nothing is believed held.
func (m Mark) left() int {
	if m.Short == m.Root {
		return 0
	}
	return m.Depth - 1
}

// Lose cuts what a worker is believed to hold to the blocks before the marks.
func (x *Index) Lose(worker string, marks []Mark) {
	x.indexMu.Lock()
	defer x.indexMu.Unlock()
	for _, m := range marks {
		r := x.record(m.Root)
		if !m.fits(r) {
			continue
		}
		for i := range r.workers {
			if r.workers[i].Worker == worker {
				r.workers[i].Blocks = min(r.workers[i].Blocks, m.left())
			}
		}
	}
}

// Resync replaces all that is believed of a worker by the chains that end in
// tips.
func (x *Index) Resync(worker string, tips []Mark) {
	x.ForgetWorker(worker)
	x.indexMu.Lock()
	defer x.indexMu.Unlock()
	for _, m := range tips {
		if r := x.record(m.Root); m.fits(r) {
			r.workers = setHolding(r.workers, worker, m.Depth)
		}
	}
}

// ForgetWorker drops all that is believed of a worker.
func (x *Index) ForgetWorker(worker string) {
	x.indexMu.Lock()
	defer x.indexMu.Unlock()
	for e := x.order.Front(); e != nil; e = e.Next() {
		r := e.Value.(*record)
		r.workers = slices.DeleteFunc(r.workers, func(h Holding) bool { return h.Worker == worker })
	}
}

// BeginExport reports whether an export of the context may begin: none is
// running and no store keeps as much as n blocks. EndExport must follow.
func (x *Index) BeginExport(root uint64, n int) bool {
	x.indexMu.Lock()
	defer x.indexMu.Unlock()
	r := x.record(root)
	if r == nil || r.exporting {
		return false
	}
	for _, k := range r.stores {
		if k.Blocks >= n {
			return false
		}
	}
	r.exporting = true
	return true
}

// EndExport allows the next export of the context.
func (x *Index) EndExport(root uint64) {
	x.indexMu.Lock()
	defer x.indexMu.Unlock()
	if r := x.record(root); r != nil {
		r.exporting = false
	}
}

// Len returns how many contexts are known.
func (x *Index) Len() int {
	x.indexMu.Lock()
	defer x.indexMu.Unlock()
	return x.order.Len()
}
