package plat_test

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/memkv"
	"embertally.dev/core/plat"
)

// A value is missing until the observers have applied it: a daemon that takes it for applied before
// handles requests by the former one.
func TestFetchedValueIsMissingUntilItIsApplied(t *testing.T) {
	g := gomega.NewWithT(t)
	w := plat.NewWatchCache(&memkv.KV{}, plat.Prefix(""), &event.Log{})
	applying, release := make(chan struct{}), make(chan struct{})
	w.Observe(func(changes []plat.Change) {
		if changes[0].ModRevision == 5 {
			close(applying)
			<-release
		}
	})
	w.ApplyChanges([]plat.Change{change("a", "former", 2)}, 2, clock.Now())
	w.ApplyChanges([]plat.Change{unfetched("a", 5)}, 5, clock.Now())
	var wg sync.WaitGroup
	wg.Go(func() { w.ApplyFetched(change("a", "new", 5).Pair) })
	<-applying
	missing := w.HasUnfetched()
	close(release)
	wg.Wait()
	g.Expect(missing).To(gomega.BeTrue())
	g.Expect(w.HasUnfetched()).To(gomega.BeFalse())
}

// Where changes arrive with their values, the copy is not fresh before the observers have applied them.
func TestCopyIsNotFreshBeforeItsChangesAreApplied(t *testing.T) {
	g := gomega.NewWithT(t)
	reader := &scriptedReader{make(chan int64)}
	w := plat.NewWatchCache(reader, plat.Prefix("a/"), &event.Log{})
	seen := make(chan clock.Time, 1)
	w.Observe(func(changes []plat.Change) {
		if changes[0].ModRevision == 5 {
			seen <- w.FreshAsOf()
		}
	})
	(&watched{WatchCache: w}).start(t)
	g.Eventually(w.Revision, "10s", "5ms").Should(gomega.Equal(int64(1)))
	written := clock.Now()
	reader.revisions <- 5
	g.Expect((<-seen).After(written)).To(gomega.BeFalse())
	g.Eventually(func() bool { return w.FreshAsOf().After(written) }, "10s", "5ms").Should(gomega.BeTrue())
}

// A peer that is behind must not lower the revision that a missing value must have: the copy would
// claim a revision whose value nobody requests any more.
func TestShardOfAPeerThatIsBehindLowersNoRevision(t *testing.T) {
	keepAll := func(plat.Pair) bool { return false }
	tests := []struct {
		name   string
		change func(w *plat.WatchCache)
	}{
		{"a change of shards", func(w *plat.WatchCache) {
			w.SwitchShard([]plat.Change{unfetched("a", 15), change("b", "x", 14)}, 15, "one", "two", keepAll, clock.Now())
		}},
		{"a snapshot of another shard", func(w *plat.WatchCache) {
			w.ApplySnapshot([]plat.Change{unfetched("a", 15), change("b", "x", 14)}, 15, "one", "two", clock.Now())
		}},
		{"a response of the same shard", func(w *plat.WatchCache) {
			w.ApplyChanges([]plat.Change{unfetched("a", 15)}, 15, clock.Now())
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			w := plat.NewWatchCache(&memkv.KV{}, plat.Prefix(""), &event.Log{})
			w.ApplySnapshot([]plat.Change{change("a", "former", 13)}, 13, "", "one", clock.Now())
			w.ApplyChanges([]plat.Change{unfetched("a", 17)}, 17, clock.Now())
			tc.change(w)
			w.ApplyFetched(change("a", "older", 15).Pair)
			g.Expect(w.Revision()).To(gomega.BeNumerically(">=", 17))
			g.Expect(w.HasUnfetched()).To(gomega.BeTrue())
			w.ApplyFetched(change("a", "new", 17).Pair)
			g.Expect(w.HasUnfetched()).To(gomega.BeFalse())
		})
	}
}

// What a copy holds of a shard is complete up to the revision that it claims: a peer that is behind
// lacks the latest changes of the keys that the shard adds.
func TestShardOfAPeerThatIsBehindIsNotTaken(t *testing.T) {
	g := gomega.NewWithT(t)
	w := plat.NewWatchCache(&memkv.KV{}, plat.Prefix(""), &event.Log{})
	w.ApplySnapshot([]plat.Change{change("a", "x", 17)}, 17, "", "one", clock.Now())
	w.SwitchShard([]plat.Change{change("b", "outdated", 14)}, 15, "one", "two", func(plat.Pair) bool { return false }, clock.Now())
	// The peer has b of revision 16 by now.
	w.ApplyChanges([]plat.Change{change("b", "new", 16)}, 17, clock.Now())
	if w.Shard() == "two" {
		p, _ := w.Pair("b")
		g.Expect(string(p.Value)).To(gomega.Equal("new"))
	}
}

// Values that are announced faster than they can be fetched are applied all the same, and each shows
// that the applied value was current until the next one was announced.
func TestValuesThatChangeFasterThanTheyAreFetchedAreApplied(t *testing.T) {
	g := gomega.NewWithT(t)
	w := plat.NewWatchCache(&memkv.KV{}, plat.Prefix(""), &event.Log{})
	start := clock.Now()
	at := func(i int) clock.Time { return start.Add(time.Duration(i) * time.Second) }
	w.ApplyChanges([]plat.Change{change("a", "0", 1)}, 1, at(0))
	const changes = 100
	for i := 1; i <= changes; i++ {
		w.ApplyChanges([]plat.Change{unfetched("a", int64(1+i))}, int64(1+i), at(i))
		w.ApplyFetched(change("a", strconv.Itoa(i-1), int64(i)).Pair)
		p, _ := w.Pair("a")
		g.Expect(string(p.Value)).To(gomega.Equal(strconv.Itoa(i - 1)))
		g.Expect(w.HasUnfetched()).To(gomega.BeTrue())
		g.Expect(w.FreshAsOf()).To(gomega.Equal(at(i)))
		g.Expect(w.CurrentAsOf()).To(gomega.Equal(at(i - 1)))
	}
	w.ApplyFetched(change("a", "last", changes+1).Pair)
	g.Expect(w.CurrentAsOf()).To(gomega.Equal(at(changes)))
}

// While no value arrives, the applied one is known to be current until the first announcement only,
// however many follow.
func TestValueIsCurrentUntilTheFirstAnnouncement(t *testing.T) {
	g := gomega.NewWithT(t)
	w := plat.NewWatchCache(&memkv.KV{}, plat.Prefix(""), &event.Log{})
	start := clock.Now()
	w.ApplyChanges([]plat.Change{change("a", "0", 1)}, 1, start)
	const changes = 100
	for i := int64(2); i <= changes; i++ {
		w.ApplyChanges([]plat.Change{unfetched("a", i)}, i, start.Add(time.Duration(i)*time.Second))
	}
	g.Expect(w.CurrentAsOf()).To(gomega.Equal(start))
	w.ApplyFetched(change("a", "old", changes-1).Pair)
	g.Expect(w.HasUnfetched()).To(gomega.BeTrue())
	g.Expect(w.Unfetched()).To(gomega.Equal([]plat.Pair{{Key: "a", ModRevision: changes}}))
	w.ApplyFetched(change("a", "new", changes).Pair)
	g.Expect(w.HasUnfetched()).To(gomega.BeFalse())
	g.Expect(w.CurrentAsOf()).To(gomega.Equal(start.Add(changes * time.Second)))
}

// What a copy of one shard was known to reflect proves nothing of the keys that another one adds.
func TestCopyOfAnotherShardIsNoFresherThanThePeer(t *testing.T) {
	later := clock.Now()
	earlier := later.Add(-time.Second)
	tests := []struct {
		name   string
		change func(w *plat.WatchCache)
	}{
		{"a change of shards", func(w *plat.WatchCache) {
			w.SwitchShard([]plat.Change{change("b", "x", 4)}, 5, "one", "two", func(plat.Pair) bool { return false }, earlier)
		}},
		{"a snapshot of another shard", func(w *plat.WatchCache) {
			w.ApplySnapshot([]plat.Change{change("b", "x", 4)}, 5, "one", "two", earlier)
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			w := plat.NewWatchCache(&memkv.KV{}, plat.Prefix(""), &event.Log{})
			w.ApplySnapshot([]plat.Change{change("a", "x", 3)}, 5, "", "one", later)
			g.Expect(w.FreshAsOf()).To(gomega.Equal(later))
			tc.change(w)
			g.Expect(w.Shard()).To(gomega.Equal("two"))
			g.Expect(w.FreshAsOf()).To(gomega.Equal(earlier))
		})
	}
}

// laggingReader is a store whose first reads are behind what peers have seen of it.
type laggingReader struct {
	// revisions are those of the reads, in order.
	revisions []int64
	reads     atomic.Int64
	// watchedAfter receives how many reads there had been when the watch began.
	watchedAfter chan int64
}

func (r *laggingReader) Range(context.Context, plat.Span) ([]plat.Pair, int64, error) {
	return nil, r.revisions[min(int(r.reads.Add(1)), len(r.revisions))-1], nil
}

func (r *laggingReader) Watch(ctx context.Context, _ plat.Span, _ int64, _ func([]plat.Change, int64, clock.Time) error) error {
	r.watchedAfter <- r.reads.Load()
	<-ctx.Done()
	return ctx.Err()
}

// A daemon that holds one shard and begins to watch the store reads it until it has all keys: with a read
// that is behind it would go on with its shard as if that were everything.
func TestReadBehindTheCacheIsRepeated(t *testing.T) {
	g := gomega.NewWithT(t)
	reader := &laggingReader{revisions: []int64{3, 4, 7}, watchedAfter: make(chan int64, 1)}
	w := &watched{WatchCache: plat.NewWatchCache(reader, plat.Prefix(""), &event.Log{})}
	w.ApplySnapshot([]plat.Change{change("a", "x", 5)}, 5, "", "one", clock.Now())
	w.start(t)
	g.Eventually(reader.watchedAfter, "20s").Should(gomega.Receive(gomega.Equal(int64(3))))
	g.Expect(w.Shard()).To(gomega.BeEmpty())
	g.Expect(w.Revision()).To(gomega.Equal(int64(7)))
}

// A snapshot is read in pages, and may hold values that are newer than the revision of its first page. A peer that
// holds a copy up to that revision must get them with the changes after it.
func TestPeersGetValuesThatCameWithAnOlderSnapshot(t *testing.T) {
	g := gomega.NewWithT(t)
	relay, peer := plat.NewWatchCache(&memkv.KV{}, plat.Prefix(""), &event.Log{}), plat.NewWatchCache(&memkv.KV{}, plat.Prefix(""), &event.Log{})
	peer.ApplySnapshot([]plat.Change{change("conf", "former", 10)}, 15, "", "", clock.Now())
	relay.ApplySnapshot([]plat.Change{change("conf", "new", 20)}, 15, "", "", clock.Now())
	relay.ApplyChanges([]plat.Change{change("box", "x", 17), change("conf", "new", 20)}, 20, clock.Now())
	changes, revision, complete := relay.ChangesSince(peer.Revision())
	g.Expect(complete).To(gomega.BeTrue())
	peer.ApplyChanges(changes, revision, clock.Now())
	got, _ := peer.Pair("conf")
	g.Expect(string(got.Value)).To(gomega.Equal("new"), "claimed at revision %d", peer.Revision())
}
