package cache

import (
	"container/list"
	"slices"
	"sync"
	"time"
)

// WorkerBlocks is the number of first blocks of a chain that a worker holds.
type WorkerBlocks struct {
	Worker string
	Blocks int
}

// StoreBlocks is the number of first blocks of a chain that a store holds.
type StoreBlocks struct {
	Store  string
	Blocks int
}

// ContextState is what an Index has recorded about one context.
type ContextState struct {
	// Recorded is set if the context is in the index.
	Recorded bool
	// Workers and Stores list the workers and stores that hold blocks of the chain.
	Workers []WorkerBlocks
	Stores  []StoreBlocks
	// StoresQueried is set if the stores have been queried for the context.
	StoresQueried bool
}

// record is the entry of one context in the index of its owner.
type record struct {
	root uint64
	// chain is the longest recent chain of the context, as short hashes.
	chain []uint64
	// workers and stores count first blocks of chain.
	workers       []WorkerBlocks
	stores        []StoreBlocks
	storesQueried bool
	lastUsed      time.Time
	// exporting is set while an export of the context is running or queued.
	exporting bool
}

// Index records where the contexts that this daemon owns are cached. The zero value is empty
// and has room for DefaultMaxContexts contexts. Losing it with the daemon costs only hints:
// contexts in stores are found again by their root hash.
type Index struct {
	// MaxContexts is the maximum number of contexts; 0 stands for DefaultMaxContexts. Set
	// before use.
	MaxContexts int

	indexMu sync.Mutex
	// records maps root hashes to elements of lru. Guarded by indexMu.
	records map[uint64]*list.Element
	// lru lists the records, most recently used first. Guarded by indexMu.
	lru list.List
}

// DefaultMaxContexts is the maximum of an index that sets none.
const DefaultMaxContexts = 8192

// Find returns what is recorded about a context, cut to the blocks that chain shares with
// the recorded chain.
func (x *Index) Find(root uint64, chain []uint64) ContextState {
	x.indexMu.Lock()
	defer x.indexMu.Unlock()
	r := x.record(root)
	if r == nil {
		return ContextState{}
	}
	shared := commonPrefix(r.chain, chain)
	state := ContextState{Recorded: true, StoresQueried: r.storesQueried}
	for _, w := range r.workers {
		if n := min(w.Blocks, shared); n > 0 {
			state.Workers = append(state.Workers, WorkerBlocks{w.Worker, n})
		}
	}
	for _, s := range r.stores {
		if n := min(s.Blocks, shared); n > 0 {
			state.Stores = append(state.Stores, StoreBlocks{s.Store, n})
		}
	}
	return state
}

// commonPrefix returns the number of first blocks that two chains share.
func commonPrefix(a, b []uint64) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

// record returns the record of a context, or nil; the caller holds indexMu.
func (x *Index) record(root uint64) *record {
	e := x.records[root]
	if e == nil {
		return nil
	}
	return e.Value.(*record)
}

// touch marks a context as used at now and returns its record, which it creates if absent.
// The record's chain is updated to chain.
func (x *Index) touch(root uint64, chain []uint64, now time.Time) *record {
	if x.records == nil {
		x.records = map[uint64]*list.Element{}
	}
	e := x.records[root]
	if e == nil {
		e = x.lru.PushFront(&record{root: root})
		x.records[root] = e
		x.evict()
	}
	x.lru.MoveToFront(e)
	r := e.Value.(*record)
	r.lastUsed = now
	r.updateChain(chain)
	return r
}

// updateChain makes chain the record's chain and cuts the counts to the blocks that both
// chains share. A chain that is a prefix of the recorded one changes nothing.
func (r *record) updateChain(chain []uint64) {
	shared := commonPrefix(r.chain, chain)
	if shared == len(chain) {
		return
	}
	if shared < len(r.chain) {
		for i := range r.workers {
			r.workers[i].Blocks = min(r.workers[i].Blocks, shared)
		}
		for i := range r.stores {
			r.stores[i].Blocks = min(r.stores[i].Blocks, shared)
		}
	}
	r.chain = append([]uint64(nil), chain...)
}

// evict removes the least recently used records beyond the limit; the caller holds indexMu.
func (x *Index) evict() {
	limit := x.MaxContexts
	if limit == 0 {
		limit = DefaultMaxContexts
	}
	for x.lru.Len() > limit {
		last := x.lru.Back()
		delete(x.records, last.Value.(*record).root)
		x.lru.Remove(last)
	}
}

// SetWorkerBlocks records that a worker holds the first n blocks of chain.
func (x *Index) SetWorkerBlocks(root uint64, chain []uint64, worker string, n int, now time.Time) {
	x.indexMu.Lock()
	defer x.indexMu.Unlock()
	r := x.touch(root, chain, now)
	r.workers = setWorkerBlocks(r.workers, worker, min(n, len(r.chain)))
}

// setWorkerBlocks records in list that a worker holds n blocks.
func setWorkerBlocks(list []WorkerBlocks, worker string, n int) []WorkerBlocks {
	for i := range list {
		if list[i].Worker == worker {
			list[i].Blocks = n
			return list
		}
	}
	return append(list, WorkerBlocks{worker, n})
}

// SetStoreBlocks records that a store holds the first n blocks of chain; n may be zero.
func (x *Index) SetStoreBlocks(root uint64, chain []uint64, store string, n int, now time.Time) {
	x.indexMu.Lock()
	defer x.indexMu.Unlock()
	r := x.touch(root, chain, now)
	r.storesQueried = true
	n = min(n, len(r.chain))
	for i := range r.stores {
		if r.stores[i].Store == store {
			r.stores[i].Blocks = n
			return
		}
	}
	r.stores = append(r.stores, StoreBlocks{store, n})
}

// SetStoresQueried records that the stores have been queried for the context.
func (x *Index) SetStoresQueried(root uint64, chain []uint64, now time.Time) {
	x.indexMu.Lock()
	defer x.indexMu.Unlock()
	x.touch(root, chain, now).storesQueried = true
}

// BlockRef refers to one block: by the context Root, the block's short hash, and its position in
// the chain, counted from one.
type BlockRef struct {
	Root  uint64 `msgpack:"r"`
	Short uint64 `msgpack:"s"`
	Depth int    `msgpack:"d"`
}

// matches reports whether the block is in the record's chain.
func (ref BlockRef) matches(r *record) bool {
	return r != nil && ref.Depth >= 1 && ref.Depth <= len(r.chain) && r.chain[ref.Depth-1] == ref.Short
}

// retained returns how many first blocks of the context a worker may still hold without this
// one. The blocks before the one that identifies the context belong to many contexts, so no
// BlockRef reports their removal: without the identifying block the worker counts as holding
// nothing.
func (ref BlockRef) retained() int {
	if ref.Short == ref.Root {
		return 0
	}
	return ref.Depth - 1
}

// RemoveWorkerBlocks records that a worker no longer holds the given blocks, nor those after them.
func (x *Index) RemoveWorkerBlocks(worker string, blocks []BlockRef) {
	x.indexMu.Lock()
	defer x.indexMu.Unlock()
	for _, ref := range blocks {
		r := x.record(ref.Root)
		if !ref.matches(r) {
			continue
		}
		for i := range r.workers {
			if r.workers[i].Worker == worker {
				r.workers[i].Blocks = min(r.workers[i].Blocks, ref.retained())
			}
		}
	}
}

// ReplaceWorkerBlocks replaces everything recorded about a worker by the chains whose last blocks
// are tips.
func (x *Index) ReplaceWorkerBlocks(worker string, tips []BlockRef) {
	x.ForgetWorker(worker)
	x.indexMu.Lock()
	defer x.indexMu.Unlock()
	for _, ref := range tips {
		if r := x.record(ref.Root); ref.matches(r) {
			r.workers = setWorkerBlocks(r.workers, worker, ref.Depth)
		}
	}
}

// ForgetWorker removes everything recorded about a worker.
func (x *Index) ForgetWorker(worker string) {
	x.indexMu.Lock()
	defer x.indexMu.Unlock()
	for e := x.lru.Front(); e != nil; e = e.Next() {
		r := e.Value.(*record)
		r.workers = slices.DeleteFunc(r.workers, func(w WorkerBlocks) bool { return w.Worker == worker })
	}
}

// BeginExport reports whether an export of the first n blocks of the context may start: the
// context is in the index, no export of it is running or queued, and no store holds n blocks
// already. If it returns true, EndExport must follow.
func (x *Index) BeginExport(root uint64, n int) bool {
	x.indexMu.Lock()
	defer x.indexMu.Unlock()
	r := x.record(root)
	if r == nil || r.exporting {
		return false
	}
	for _, s := range r.stores {
		if s.Blocks >= n {
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

// Len returns the number of contexts in the index.
func (x *Index) Len() int {
	x.indexMu.Lock()
	defer x.indexMu.Unlock()
	return x.lru.Len()
}
