package cache

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"embertally.dev/core/event"
)

// Different salts must never give equal block hashes, even if the concatenation of their
// fields is equal.
func TestDifferentSaltsGiveDifferentHashes(t *testing.T) {
	text := strings.Repeat("equal text ", 100)
	salts := []Salt{
		{"org", "model", "v1", ""},
		{"org2", "model", "v1", ""},
		{"org", "model", "v2", ""},
		{"org", "model2", "v1", ""},
		{"org", "model", "v1", "adapter"},
		{"orgm", "odel", "v1", ""},
		{"", "orgmodel", "v1", ""},
		{"org", "modelv1", "", ""},
		{"org", "model", "", "v1"},
	}
	seen := map[Hash]Salt{}
	for _, s := range salts {
		for _, h := range Chain(s.Seed(), text) {
			if other, ok := seen[h]; ok {
				t.Fatalf("salts %+v and %+v give an equal block hash", s, other)
			}
			seen[h] = s
		}
	}
}

func TestChainHashesCoverWholeBlocksAndTheirPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := rapid.StringN(0, -1, 4*BlockBytes).Draw(t, "a")
		b := rapid.StringN(0, -1, 4*BlockBytes).Draw(t, "b")
		seed := Salt{Organisation: "o"}.Seed()
		ca, cb := Chain(seed, a), Chain(seed, b)
		if len(ca) != len(a)/BlockBytes {
			t.Fatalf("%d blocks of %d bytes", len(ca), len(a))
		}
		for i := range min(len(ca), len(cb)) {
			same := a[:(i+1)*BlockBytes] == b[:(i+1)*BlockBytes]
			if same != (ca[i] == cb[i]) {
				t.Fatalf("block %d: same text %v, same hash %v", i, same, ca[i] == cb[i])
			}
		}
	})
}

// chainOf returns the chain of short hashes 1 to n; a nonzero last replaces the last hash.
func chainOf(n int, last uint64) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = uint64(i + 1)
	}
	if n > 0 && last != 0 {
		out[n-1] = last
	}
	return out
}

func TestIndexCutsToCommonPrefix(t *testing.T) {
	g := gomega.NewWithT(t)
	var x Index
	now := time.Unix(1, 0)
	x.SetWorkerBlocks(7, chainOf(10, 0), "w", 10, now)
	x.SetStoreBlocks(7, chainOf(10, 0), "s", 8, now)
	g.Expect(x.Find(7, chainOf(6, 0)).Workers).To(gomega.Equal([]WorkerBlocks{{"w", 6}}))
	g.Expect(x.Find(7, chainOf(6, 99)).Workers).To(gomega.Equal([]WorkerBlocks{{"w", 5}}))
	g.Expect(x.Find(7, chainOf(6, 99)).Stores).To(gomega.Equal([]StoreBlocks{{"s", 5}}))
	g.Expect(x.Find(8, chainOf(6, 0))).To(gomega.Equal(ContextState{}))
	x.SetWorkerBlocks(7, chainOf(6, 99), "v", 6, now)
	g.Expect(x.Find(7, chainOf(10, 0)).Workers).To(gomega.ConsistOf(WorkerBlocks{"w", 5}, WorkerBlocks{"v", 5}))
}

func TestIndexRemoveWorkerBlocks(t *testing.T) {
	tests := []struct {
		name  string
		block BlockRef
		want  []WorkerBlocks
	}{
		{"inner block", BlockRef{7, 4, 4}, []WorkerBlocks{{"w", 3}}},
		{"first block", BlockRef{7, 1, 1}, nil},
		{"block of another chain", BlockRef{7, 99, 4}, []WorkerBlocks{{"w", 10}}},
		{"another context", BlockRef{8, 4, 4}, []WorkerBlocks{{"w", 10}}},
		{"depth out of range", BlockRef{7, 4, 40}, []WorkerBlocks{{"w", 10}}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var x Index
			x.SetWorkerBlocks(7, chainOf(10, 0), "w", 10, time.Unix(1, 0))
			x.RemoveWorkerBlocks("w", []BlockRef{tc.block})
			gomega.NewWithT(t).Expect(x.Find(7, chainOf(10, 0)).Workers).To(gomega.Equal(tc.want))
		})
	}
}

func TestIndexIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	x := Index{MaxContexts: 3}
	for i := range uint64(10) {
		x.SetWorkerBlocks(i, chainOf(4, 0), "w", 4, time.Unix(int64(i), 0))
	}
	g.Expect(x.Len()).To(gomega.Equal(3))
	g.Expect(x.Find(9, chainOf(4, 0)).Recorded).To(gomega.BeTrue())
	g.Expect(x.Find(0, chainOf(4, 0)).Recorded).To(gomega.BeFalse())
}

// scriptedFeed returns the events and contents that a test sets.
type scriptedFeed struct {
	events   []CacheEvent
	contents Contents
	reads    int
}

func (f *scriptedFeed) CacheEvents(_ context.Context, seq uint64) ([]CacheEvent, error) {
	var out []CacheEvent
	for _, ev := range f.events {
		if ev.Seq > seq {
			out = append(out, ev)
		}
	}
	return out, nil
}

func (f *scriptedFeed) CacheContents(context.Context) (Contents, error) {
	f.reads++
	return f.contents, nil
}

// recordingListener records all lost blocks and the tips of the latest resync.
type recordingListener struct{ lost, tips []BlockRef }

func (l *recordingListener) Lost(_ string, blocks []BlockRef)     { l.lost = append(l.lost, blocks...) }
func (l *recordingListener) Resynced(_ string, blocks []BlockRef) { l.tips = blocks }

func TestFollowerReportsFirstBlockLostOfEachContext(t *testing.T) {
	g := gomega.NewWithT(t)
	chain := Chain(Salt{}.Seed(), strings.Repeat("x", 8*BlockBytes))
	feed, listener := &scriptedFeed{}, &recordingListener{}
	f := NewFollower("w", feed, 2, listener, &event.Log{})
	g.Expect(f.step(context.Background())).To(gomega.Succeed())
	feed.events = []CacheEvent{
		{Seq: 1, Stored: &BlockRun{Blocks: Shorts(chain[:5])}},
		{Seq: 2, Stored: &BlockRun{Parent: chain[4].Short(), Blocks: Shorts(chain[5:])}},
		{Seq: 2, Stored: &BlockRun{Parent: chain[4].Short(), Blocks: Shorts(chain[5:])}},
		{Seq: 3, Removed: Shorts([]Hash{chain[7], chain[6], chain[5]})},
	}
	g.Expect(f.step(context.Background())).To(gomega.Succeed())
	g.Expect(listener.lost).To(gomega.Equal([]BlockRef{{Root: chain[1].Short(), Short: chain[5].Short(), Depth: 6}}))
	g.Expect(f.Blocks()).To(gomega.Equal(5))
}

// A worker that loses a whole context must count as holding nothing of it, although the
// blocks before the identifying block belong to no single context.
func TestLostContextHasNoHolders(t *testing.T) {
	const rootBlocks = 4
	g := gomega.NewWithT(t)
	chain := Chain(Salt{}.Seed(), strings.Repeat("x", 8*BlockBytes))
	root := Root(Salt{}.Seed(), chain, rootBlocks).Short()
	removed := slices.Clone(Shorts(chain))
	slices.Reverse(removed)
	feed, listener := &scriptedFeed{}, &recordingListener{}
	f := NewFollower("w", feed, rootBlocks, listener, &event.Log{})
	g.Expect(f.step(context.Background())).To(gomega.Succeed())
	feed.events = []CacheEvent{{Seq: 1, Stored: &BlockRun{Blocks: Shorts(chain)}}, {Seq: 2, Removed: removed}}
	g.Expect(f.step(context.Background())).To(gomega.Succeed())
	var x Index
	x.SetWorkerBlocks(root, Shorts(chain), "w", 8, time.Unix(1, 0))
	x.RemoveWorkerBlocks("w", listener.lost)
	g.Expect(x.Find(root, Shorts(chain)).Workers).To(gomega.BeEmpty())
}

func TestFollowerResyncsAfterGap(t *testing.T) {
	g := gomega.NewWithT(t)
	chain := Chain(Salt{}.Seed(), strings.Repeat("y", 6*BlockBytes))
	feed, listener := &scriptedFeed{}, &recordingListener{}
	f := NewFollower("w", feed, 2, listener, &event.Log{})
	g.Expect(f.step(context.Background())).To(gomega.Succeed())
	feed.events = []CacheEvent{
		{Seq: 1, Stored: &BlockRun{Blocks: Shorts(chain)}}, {Seq: 3, Removed: Shorts(chain[5:6])},
	}
	feed.contents = Contents{Seq: 3, BlockRuns: []BlockRun{{Blocks: Shorts(chain[:4])}}}
	g.Expect(f.step(context.Background())).To(gomega.Succeed())
	g.Expect(feed.reads).To(gomega.Equal(2))
	g.Expect(listener.lost).To(gomega.BeEmpty(), "events after the gap are not applied")
	g.Expect(listener.tips).To(gomega.Equal([]BlockRef{{Root: chain[1].Short(), Short: chain[3].Short(), Depth: 4}}))
	var x Index
	x.SetWorkerBlocks(chain[1].Short(), Shorts(chain), "w", 6, time.Unix(1, 0))
	x.ReplaceWorkerBlocks("w", listener.tips)
	g.Expect(x.Find(chain[1].Short(), Shorts(chain)).Workers).To(gomega.Equal([]WorkerBlocks{{"w", 4}}))
}

// Whatever events are lost, after a resync the follower records exactly what the worker
// holds.
func TestFollowerMatchesWorkerAfterResync(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		worker := map[Hash]bool{}
		var events []CacheEvent
		var chains [][]Hash
		for i := range rapid.IntRange(1, 4).Draw(t, "chains") {
			c := Chain(Salt{Organisation: string(rune('a' + i))}.Seed(), strings.Repeat("z", BlockBytes*rapid.IntRange(1, 6).Draw(t, "blocks")))
			chains = append(chains, c)
			events = append(events, CacheEvent{Stored: &BlockRun{Blocks: Shorts(c)}})
			for _, h := range c {
				worker[h] = true
			}
		}
		for _, c := range chains {
			keep := rapid.IntRange(0, len(c)).Draw(t, "keep")
			if keep < len(c) {
				events = append(events, CacheEvent{Removed: Shorts(c[keep:])})
				for _, h := range c[keep:] {
					delete(worker, h)
				}
			}
		}
		feed := &scriptedFeed{}
		f := NewFollower("w", feed, 2, &recordingListener{}, &event.Log{})
		if err := f.step(context.Background()); err != nil {
			t.Fatal(err)
		}
		gap := false
		for i := range events {
			events[i].Seq = uint64(i + 1)
			if rapid.IntRange(0, 5).Draw(t, "drop") == 0 {
				gap = true
				continue
			}
			feed.events = append(feed.events, events[i])
		}
		feed.contents.Seq = uint64(len(events))
		for _, c := range chains {
			n := 0
			for n < len(c) && worker[c[n]] {
				n++
			}
			feed.contents.BlockRuns = append(feed.contents.BlockRuns, BlockRun{Blocks: Shorts(c[:n])})
		}
		if err := f.step(context.Background()); err != nil && !errors.Is(err, context.Canceled) {
			t.Fatal(err)
		}
		// The last event may be among those dropped; only the next one reveals the gap.
		feed.events = append(feed.events, CacheEvent{Seq: uint64(len(events) + 1)})
		feed.contents.Seq++
		if err := f.step(context.Background()); err != nil {
			t.Fatal(err)
		}
		if f.Blocks() != len(worker) {
			t.Fatalf("gap %v: follower records %d blocks, worker holds %d", gap, f.Blocks(), len(worker))
		}
	})
}

func TestPackedRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Packed(rapid.SliceOf(rapid.Uint64()).Draw(t, "shorts"))
		text, err := p.MarshalText()
		if err != nil {
			t.Fatal(err)
		}
		var decoded Packed
		if err := decoded.UnmarshalText(text); err != nil {
			t.Fatal(err)
		}
		if !slices.Equal(p, decoded) {
			t.Fatalf("%v decoded as %v", p, decoded)
		}
	})
	var p Packed
	for _, bad := range []string{"A", "AAAA", "!!"} {
		if p.UnmarshalText([]byte(bad)) == nil {
			t.Errorf("%q was decoded", bad)
		}
	}
}

// A peer may send any number of root blocks.
func TestRootWithAnyRootBlocks(t *testing.T) {
	seed, chain := Hash{9}, []Hash{{1}, {2}, {3}}
	tests := []struct {
		rootBlocks int
		chain      []Hash
		want       Hash
	}{
		{-1, chain, Hash{1}}, {0, chain, Hash{1}}, {1, chain, Hash{1}}, {3, chain, Hash{3}}, {7, chain, Hash{3}}, {0, nil, seed}, {2, nil, seed},
	}
	for _, tc := range tests {
		if got := Root(seed, tc.chain, tc.rootBlocks); got != tc.want {
			t.Errorf("Root of %d blocks with %d root blocks = %x, want %x", len(tc.chain),
				tc.rootBlocks, got[:1], tc.want[:1])
		}
	}
}
