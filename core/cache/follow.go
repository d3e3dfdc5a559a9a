package cache

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"embertally.dev/core/event"
)

// Run is a run of blocks of one chain in a cache event: each is the parent of
// the next.
type Run struct {
	Parent uint64 `json:"parent"`
	Blocks Packed `json:"blocks"`
}

// Note is one cache event of a worker.
type Note struct {
	// Seq rises by one with each note; a jump is a gap.
	Seq     uint64 `json:"seq"`
	Stored  *Run   `json:"stored,omitempty"`
	Removed Packed `json:"removed,omitempty"`
}

// Contents is everything that a worker holds, after the note Seq.
type Contents struct {
	Seq  uint64 `json:"seq"`
	Runs []Run  `json:"runs"`
}

// feed is the cache events of one worker.
type feed interface {
	// CacheNotes waits for notes after seq and returns them in order.
	CacheNotes(ctx context.Context, seq uint64) ([]Note, error)
	// CacheContents returns everything that the worker holds.
	CacheContents(ctx context.Context) (Contents, error)
}

// node is one block that a followed worker holds.
type node struct {
	parent uint64
	// root is the block that names the context; zero above it.
	root  uint64
	depth uint16
}

// Follower follows the cache events of one worker and tells of what it lost.
type Follower struct {
	worker string
	feed   feed
	log    *event.Log
	// roots is how many first blocks name a context.
	roots int
	hears listener

	heldMu sync.Mutex
	held   map[uint64]node // blocks held; guarded by heldMu
	seq    uint64          // last note taken in; guarded by heldMu
	synced bool            // held is complete up to seq; guarded by heldMu
}

// listener hears what a follower finds out.
type listener interface {
	// Lost tells that the worker no longer holds the blocks of the marks, nor
	// those after them.
	Lost(worker string, marks []Mark)
	// Resynced tells that nothing known of the worker before is trusted, and
	// that it now holds the chains which end in tips.
	Resynced(worker string, tips []Mark)
}

// NewFollower returns a follower of a worker's feed. roots is how many first
// blocks name a context of the worker's deployment.
func NewFollower(worker string, f feed, roots int, hears listener, log *event.Log) *Follower {
	return &Follower{worker: worker, feed: f, roots: roots, hears: hears, log: log, held: map[uint64]node{}}
}

// followPause spaces tries against a worker that does not answer.
const followPause = 500 * time.Millisecond

// Run follows the worker until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil {
			t := time.NewTimer(followPause)
			select {
			case <-ctx.Done():
			case <-t.C:
			}
		}
	}
}

func (f *Follower) step(ctx context.Context) error {
	f.heldMu.Lock()
	seq, synced := f.seq, f.synced
	f.heldMu.Unlock()
	if !synced {
		return f.resync(ctx)
	}
	notes, err := f.feed.CacheNotes(ctx, seq)
	if err != nil {
		return err
	}
	lost, ok := f.take(notes)
	if len(lost) > 0 {
		f.hears.Lost(f.worker, lost)
	}
	if !ok {
		f.log.Emit(event.CacheGap, event.Ref{Target: f.worker}, "")
		return f.resync(ctx)
	}
	return nil
}

// take applies notes; it returns ok false at a gap.
func (f *Follower) take(notes []Note) (lost []Mark, ok bool) {
	f.heldMu.Lock()
	defer f.heldMu.Unlock()
	for _, n := range notes {
		if n.Seq <= f.seq {
			continue
		}
		if n.Seq != f.seq+1 {
			f.synced = false
			return lost, false
		}
		f.seq = n.Seq
		if n.Stored != nil {
			f.store(*n.Stored)
		}
		lost = append(lost, f.remove(n.Removed)...)
	}
	return lost, true
}

func (f *Follower) store(r Run) {
	parent := r.Parent
	above := f.held[parent]
	for _, short := range r.Blocks {
		n := node{parent: parent, root: above.root, depth: above.depth + 1}
		if int(n.depth) == f.roots {
			n.root = short
		}
		f.held[short] = n
		parent, above = short, n
	}
}

// remove forgets blocks and returns, for each context, the first one lost.
func (f *Follower) remove(shorts []uint64) []Mark {
	first := map[uint64]Mark{}
	for _, short := range shorts {
		n, ok := f.held[short]
		if !ok {
			continue
		}
		delete(f.held, short)
		m, seen := first[n.root]
		if n.root != 0 && (!seen || int(n.depth) < m.Depth) {
			first[n.root] = Mark{Root: n.root, Short: short, Depth: int(n.depth)}
		}
	}
	return slices.Collect(maps.Values(first))
}

// tips returns the last blocks of all chains held; the caller holds heldMu.
func (f *Follower) tips() []Mark {
	inner := make(map[uint64]bool, len(f.held))
	for _, n := range f.held {
		inner[n.parent] = true
	}
	var out []Mark
	for short, n := range f.held {
		if n.root != 0 && !inner[short] {
			out = append(out, Mark{Root: n.root, Short: short, Depth: int(n.depth)})
		}
	}
	return out
}

// resync reads the whole contents anew.
func (f *Follower) resync(ctx context.Context) error {
	all, err := f.feed.CacheContents(ctx)
	if err != nil {
		return err
	}
	f.heldMu.Lock()
	f.held = make(map[uint64]node, len(f.held))
	for _, r := range all.Runs {
		f.store(r)
	}
	f.seq, f.synced = all.Seq, true
	tips := f.tips()
	f.heldMu.Unlock()
	f.hears.Resynced(f.worker, tips)
	f.log.Emit(event.CacheResynced, event.Ref{Target: f.worker}, "")
	return nil
}

// Blocks returns how many blocks the worker is known to hold.
func (f *Follower) Blocks() int {
	f.heldMu.Lock()
	defer f.heldMu.Unlock()
	return len(f.held)
}
