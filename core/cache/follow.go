package cache

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"embertally.dev/core/event"
)

// BlockRun is a sequence of blocks of one chain in a cache event, each the parent of the next.
type BlockRun struct {
	// Parent is the short hash of the block before the first of Blocks; zero at the start of
	// a chain.
	Parent uint64 `json:"parent"`
	Blocks Packed `json:"blocks"`
}

// CacheEvent is one cache event of a worker.
type CacheEvent struct {
	// Seq increases by one with each event; a larger step means that events were lost.
	Seq     uint64    `json:"seq"`
	Stored  *BlockRun `json:"stored,omitempty"`
	Removed Packed    `json:"removed,omitempty"`
}

// Contents lists all blocks that a worker holds after event Seq.
type Contents struct {
	Seq       uint64     `json:"seq"`
	BlockRuns []BlockRun `json:"runs"`
}

// feed provides the cache events and contents of one worker.
type feed interface {
	// CacheEvents waits for events after seq and returns them in order.
	CacheEvents(ctx context.Context, seq uint64) ([]CacheEvent, error)
	// CacheContents returns all blocks that the worker holds.
	CacheContents(ctx context.Context) (Contents, error)
}

// node is one block that the followed worker holds.
type node struct {
	parent uint64
	// root is the block that identifies the context; zero for the blocks before it.
	root uint64
	// depth is the position in the chain, counted from one.
	depth uint16
}

// Follower follows the cache events of one worker and reports which blocks it removed.
type Follower struct {
	worker string
	feed   feed
	log    *event.Log
	// rootBlocks is the number of first blocks that identify a context.
	rootBlocks int
	listener   listener

	nodesMu sync.Mutex
	nodes   map[uint64]node // blocks held, by short hash; guarded by nodesMu
	seq     uint64          // last event applied; guarded by nodesMu
	synced  bool            // nodes is complete up to seq; guarded by nodesMu
}

// listener receives the changes that a follower observes.
type listener interface {
	// Lost reports that the worker no longer holds the given blocks, nor any block after
	// them.
	Lost(worker string, blocks []BlockRef)
	// Resynced replaces all earlier information about the worker: it holds the chains whose
	// last blocks are tips.
	Resynced(worker string, tips []BlockRef)
}

// NewFollower returns a follower of a worker's feed. rootBlocks is the number of first
// blocks that identify a context in the worker's deployment.
func NewFollower(worker string, f feed, rootBlocks int, l listener, log *event.Log) *Follower {
	return &Follower{worker: worker, feed: f, rootBlocks: rootBlocks, listener: l, log: log, nodes: map[uint64]node{}}
}

// followRetryDelay is the delay before retrying a worker that did not respond.
const followRetryDelay = 500 * time.Millisecond

// Run follows the worker until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil {
			t := time.NewTimer(followRetryDelay)
			select {
			case <-ctx.Done():
			case <-t.C:
			}
		}
	}
}

// step reads and applies the next events, or the full contents if out of sync.
func (f *Follower) step(ctx context.Context) error {
	f.nodesMu.Lock()
	seq, synced := f.seq, f.synced
	f.nodesMu.Unlock()
	if !synced {
		return f.resync(ctx)
	}
	events, err := f.feed.CacheEvents(ctx, seq)
	if err != nil {
		return err
	}
	lost, ok := f.apply(events)
	if len(lost) > 0 {
		f.listener.Lost(f.worker, lost)
	}
	if !ok {
		f.log.Emit(event.CacheGap, event.Ref{Target: f.worker}, "")
		return f.resync(ctx)
	}
	return nil
}

// apply applies events in order. At a gap it stops and returns ok false.
func (f *Follower) apply(events []CacheEvent) (lost []BlockRef, ok bool) {
	f.nodesMu.Lock()
	defer f.nodesMu.Unlock()
	for _, ev := range events {
		if ev.Seq <= f.seq {
			continue
		}
		if ev.Seq != f.seq+1 {
			f.synced = false
			return lost, false
		}
		f.seq = ev.Seq
		if ev.Stored != nil {
			f.add(*ev.Stored)
		}
		lost = append(lost, f.remove(ev.Removed)...)
	}
	return lost, true
}

// add records the blocks of r; the caller holds nodesMu.
func (f *Follower) add(r BlockRun) {
	parent := r.Parent
	parentNode := f.nodes[parent]
	for _, short := range r.Blocks {
		n := node{parent: parent, root: parentNode.root, depth: parentNode.depth + 1}
		if int(n.depth) == f.rootBlocks {
			n.root = short
		}
		f.nodes[short] = n
		parent, parentNode = short, n
	}
}

// remove deletes blocks and returns the first one removed of each context; the caller holds
// nodesMu.
func (f *Follower) remove(shorts []uint64) []BlockRef {
	first := map[uint64]BlockRef{}
	for _, short := range shorts {
		n, ok := f.nodes[short]
		if !ok {
			continue
		}
		delete(f.nodes, short)
		ref, seen := first[n.root]
		if n.root != 0 && (!seen || int(n.depth) < ref.Depth) {
			first[n.root] = BlockRef{Root: n.root, Short: short, Depth: int(n.depth)}
		}
	}
	return slices.Collect(maps.Values(first))
}

// leaves returns the last block of each chain held; the caller holds nodesMu.
func (f *Follower) leaves() []BlockRef {
	hasChild := make(map[uint64]bool, len(f.nodes))
	for _, n := range f.nodes {
		hasChild[n.parent] = true
	}
	var out []BlockRef
	for short, n := range f.nodes {
		if n.root != 0 && !hasChild[short] {
			out = append(out, BlockRef{Root: n.root, Short: short, Depth: int(n.depth)})
		}
	}
	return out
}

// resync replaces the nodes by the worker's full contents.
func (f *Follower) resync(ctx context.Context) error {
	contents, err := f.feed.CacheContents(ctx)
	if err != nil {
		return err
	}
	f.nodesMu.Lock()
	f.nodes = make(map[uint64]node, len(f.nodes))
	for _, r := range contents.BlockRuns {
		f.add(r)
	}
	f.seq, f.synced = contents.Seq, true
	tips := f.leaves()
	f.nodesMu.Unlock()
	f.listener.Resynced(f.worker, tips)
	f.log.Emit(event.CacheResynced, event.Ref{Target: f.worker}, "")
	return nil
}

// Blocks returns the number of blocks recorded as held by the worker.
func (f *Follower) Blocks() int {
	f.nodesMu.Lock()
	defer f.nodesMu.Unlock()
	return len(f.nodes)
}
