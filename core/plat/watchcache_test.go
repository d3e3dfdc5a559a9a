package plat_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/memkv"
	"embertally.dev/core/plat"
)

// watched is a WatchCache with the changes that its observer received.
type watched struct {
	*plat.WatchCache
	mu       sync.Mutex
	received []plat.Change
}

func watch(from plat.Reader) *watched {
	w := &watched{WatchCache: plat.NewWatchCache(from, plat.Prefix("a/"), &event.Log{})}
	w.Observe(func(cs []plat.Change) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.received = append(w.received, cs...)
	})
	return w
}

func (w *watched) start(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { w.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
}

func (w *watched) value(key string) func() string {
	return func() string {
		p, _ := w.Pair(key)
		return string(p.Value)
	}
}

func put(t *testing.T, kv *memkv.KV, key, value string) {
	t.Helper()
	_, err := kv.Commit(context.Background(), plat.Txn{Puts: []plat.Put{{Key: key, Value: []byte(value)}}})
	if err != nil {
		t.Fatal(err)
	}
}

func TestWatchCacheAppliesChangesOfTheStore(t *testing.T) {
	g := gomega.NewWithT(t)
	kv := &memkv.KV{}
	put(t, kv, "a/1", "x")
	put(t, kv, "b/1", "other")
	m := watch(kv)
	m.start(t)
	g.Eventually(m.value("a/1"), "10s", "5ms").Should(gomega.Equal("x"))
	put(t, kv, "a/1", "y")
	g.Eventually(m.value("a/1"), "10s", "5ms").Should(gomega.Equal("y"))
	_, there := m.Pair("b/1")
	g.Expect(there).To(gomega.BeFalse())
	_, err := kv.Commit(context.Background(), plat.Txn{Deletes: []string{"a/1"}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(m.value("a/1"), "10s", "5ms").Should(gomega.BeEmpty())
	g.Expect(m.WithPrefix("a/")).To(gomega.BeEmpty())
}

func TestWatchCacheKeepsItsCacheInAnOutage(t *testing.T) {
	g := gomega.NewWithT(t)
	kv := &memkv.KV{}
	put(t, kv, "a/1", "x")
	m := watch(kv)
	m.start(t)
	g.Eventually(m.value("a/1"), "10s", "5ms").Should(gomega.Equal("x"))
	kv.SetDown(true)
	putSecond := func() { put(t, kv, "a/2", "y") }
	g.Consistently(m.value("a/1"), "50ms", "5ms").Should(gomega.Equal("x"))
	kv.SetDown(false)
	putSecond()
	g.Eventually(m.value("a/2"), "10s", "5ms").Should(gomega.Equal("y"))
}

func TestOutageThatLastsIsKnownBeforeTheStoreAnswersAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	kv := &memkv.KV{}
	put(t, kv, "a/1", "x")
	m := watch(kv)
	m.start(t)
	g.Eventually(m.value("a/1"), "10s", "5ms").Should(gomega.Equal("x"))
	_, length := m.LastOutage()
	g.Expect(length).To(gomega.BeZero())
	const silent = 10 * time.Second
	clock.Suspend(silent)
	end, length := m.LastOutage()
	g.Expect(length).To(gomega.BeNumerically(">=", silent))
	g.Expect(clock.Since(end)).To(gomega.BeNumerically("<", time.Second))
	put(t, kv, "a/2", "y")
	g.Eventually(m.value("a/2"), "10s", "5ms").Should(gomega.Equal("y"))
	answered, length := m.LastOutage()
	g.Expect(answered.Before(end)).To(gomega.BeFalse())
	g.Expect(length).To(gomega.BeNumerically(">=", silent))
}

// compactedOnce is a store whose first watch fails because the history was compacted.
type compactedOnce struct {
	*memkv.KV
	once sync.Once
}

func (f *compactedOnce) Watch(ctx context.Context, span plat.Span, from int64, h func([]plat.Change, int64, clock.Time) error) error {
	var err error
	f.once.Do(func() {
		_, e := f.Commit(ctx, plat.Txn{Deletes: []string{"a/1"}, Puts: []plat.Put{{Key: "a/2", Value: []byte("y")}}})
		err = errors.WithStack(plat.ErrCompacted)
		if e != nil {
			err = e
		}
	})
	if err != nil {
		return err
	}
	return f.KV.Watch(ctx, span, from, h)
}

func TestWatchCacheReadsAllAfterCompaction(t *testing.T) {
	g := gomega.NewWithT(t)
	kv := &compactedOnce{KV: &memkv.KV{}}
	put(t, kv.KV, "a/1", "x")
	m := watch(kv)
	m.start(t)
	g.Eventually(m.value("a/2"), "10s", "5ms").Should(gomega.Equal("y"))
	g.Expect(m.value("a/1")()).To(gomega.BeEmpty())
	m.mu.Lock()
	defer m.mu.Unlock()
	g.Expect(m.received).To(gomega.ContainElement(gomega.HaveField("Deleted", true)))
}

func TestWatchCacheAppliesPeerChangesOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	kv := &memkv.KV{}
	put(t, kv, "a/1", "x")
	peer := watch(kv)
	peer.start(t)
	g.Eventually(peer.value("a/1"), "10s", "5ms").Should(gomega.Equal("x"))

	follower := watch(kv) // never started: the store does not answer it
	all, revision := peer.Snapshot("", nil)
	now := clock.Now()
	follower.ApplySnapshot(all, revision, "", "", now)
	g.Expect(follower.value("a/1")()).To(gomega.Equal("x"))
	g.Expect(follower.FreshAsOf()).To(gomega.Equal(now))
	g.Expect(follower.LastContact().IsZero()).To(gomega.BeTrue())

	put(t, kv, "a/1", "y")
	g.Eventually(peer.value("a/1"), "10s", "5ms").Should(gomega.Equal("y"))
	changes, revision, complete := peer.ChangesSince(follower.Revision())
	g.Expect(complete).To(gomega.BeTrue())
	follower.ApplyChanges(changes, revision, now)
	follower.ApplyChanges(changes, revision, now)
	g.Expect(follower.received).To(gomega.HaveLen(2))

	// An older snapshot changes nothing.
	follower.ApplySnapshot(all, all[0].ModRevision, "", "", now)
	g.Expect(follower.value("a/1")()).To(gomega.Equal("y"))
	_, _, complete = peer.ChangesSince(-1)
	g.Expect(complete).To(gomega.BeFalse())
}

// change returns a change of a key to a value.
func change(key, value string, revision int64) plat.Change {
	return plat.Change{Pair: plat.Pair{Key: key, Value: []byte(value), ModRevision: revision}}
}

// unfetched returns a change whose value is unfetched.
func unfetched(key string, revision int64) plat.Change {
	return plat.Change{Pair: plat.Pair{Key: key, ModRevision: revision}, Unfetched: true}
}

func TestFormerValueStaysCachedUntilNewOneIsFetched(t *testing.T) {
	tests := []struct {
		name string
		// then is called after the value of the key at revision 5 was reported as unfetched.
		then         func(m *watched)
		value        string
		hasUnfetched bool
		received     int
	}{
		{"nothing", func(*watched) {}, "former", true, 1},
		{"it is fetched", func(m *watched) { m.ApplyFetched(change("a/1", "new", 5).Pair) }, "new", false, 2},
		{"a newer one is fetched", func(m *watched) { m.ApplyFetched(change("a/1", "newer", 7).Pair) }, "newer", false, 2},
		{"an older one is fetched", func(m *watched) { m.ApplyFetched(change("a/1", "old", 4).Pair) }, "former", true, 1},
		{"it is fetched twice", func(m *watched) {
			m.ApplyFetched(change("a/1", "new", 5).Pair)
			m.ApplyFetched(change("a/1", "new", 5).Pair)
		}, "new", false, 2},
		{"the fetched value is reported as unfetched again", func(m *watched) {
			m.ApplyFetched(change("a/1", "newer", 7).Pair)
			m.ApplyChanges([]plat.Change{unfetched("a/1", 7)}, 7, clock.Now())
		}, "newer", false, 2},
		{"it is deleted", func(m *watched) {
			m.ApplyChanges([]plat.Change{{Pair: plat.Pair{Key: "a/1", ModRevision: 6}, Deleted: true}}, 6, clock.Now())
			m.ApplyFetched(change("a/1", "new", 5).Pair)
		}, "", false, 2},
		{"a later change carries its value", func(m *watched) {
			m.ApplyChanges([]plat.Change{change("a/1", "new", 6)}, 6, clock.Now())
		}, "new", false, 2},
		{"a snapshot has a later one, unfetched", func(m *watched) {
			m.ApplySnapshot([]plat.Change{unfetched("a/1", 8)}, 8, "", "", clock.Now())
			m.ApplyFetched(change("a/1", "new", 5).Pair)
		}, "new", true, 2},
		{"a snapshot lacks it", func(m *watched) { m.ApplySnapshot(nil, 8, "", "", clock.Now()) }, "", false, 2},
		{"a snapshot older than the fetched value lacks it", func(m *watched) {
			m.ApplyFetched(change("a/1", "newer", 9).Pair)
			m.ApplySnapshot(nil, 8, "", "", clock.Now())
		}, "newer", false, 2},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			m := watch(&memkv.KV{})
			m.ApplyChanges([]plat.Change{change("a/1", "former", 2)}, 2, clock.Now())
			m.ApplyChanges([]plat.Change{unfetched("a/1", 5)}, 5, clock.Now())
			tc.then(m)
			g.Expect(m.value("a/1")()).To(gomega.Equal(tc.value))
			g.Expect(m.HasUnfetched()).To(gomega.Equal(tc.hasUnfetched))
			g.Expect(m.received).To(gomega.HaveLen(tc.received))
		})
	}
}

// Peers are notified of a large or unfetched value without the value itself, so that they can fetch
// it separately.
func TestPeersGetLargeValuesAsUnfetched(t *testing.T) {
	g := gomega.NewWithT(t)
	m := watch(&memkv.KV{})
	large := strings.Repeat("x", 32<<10)
	m.ApplyChanges([]plat.Change{change("a/1", "small", 2), change("a/2", large, 3), unfetched("a/3", 4)}, 4, clock.Now())
	want := []plat.Change{change("a/1", "small", 2), unfetched("a/2", 3), unfetched("a/3", 4)}
	changes, revision, complete := m.ChangesSince(1)
	g.Expect(complete).To(gomega.BeTrue())
	g.Expect(revision).To(gomega.Equal(int64(4)))
	g.Expect(changes).To(gomega.Equal(want))
	all, revision := m.Snapshot("", nil)
	g.Expect(revision).To(gomega.Equal(int64(4)))
	g.Expect(all).To(gomega.Equal(want))
	g.Expect(m.value("a/2")()).To(gomega.Equal(large))
}

func TestFetchReadsOneKeyFromTheStore(t *testing.T) {
	g := gomega.NewWithT(t)
	kv := &memkv.KV{}
	put(t, kv, "a/1", "x")
	put(t, kv, "a/11", "other")
	m := watch(kv)
	p, there, err := m.Fetch(context.Background(), "a/1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(there).To(gomega.BeTrue())
	g.Expect(string(p.Value)).To(gomega.Equal("x"))
	_, there, err = m.Fetch(context.Background(), "a/2")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(there).To(gomega.BeFalse())
	kv.SetDown(true)
	_, _, err = m.Fetch(context.Background(), "a/1")
	g.Expect(err).To(gomega.HaveOccurred())
}

// A snapshot or changes requested for a shard that the cache no longer contains must not be
// applied, nor make the cache look fresher.
func TestDataOfFormerShardIsDiscarded(t *testing.T) {
	g := gomega.NewWithT(t)
	m := plat.NewWatchCache(&memkv.KV{}, plat.Prefix(""), &event.Log{})
	pair := func(key string, revision int64) plat.Change {
		return plat.Change{Pair: plat.Pair{Key: key, Value: []byte("x"), ModRevision: revision}}
	}
	all := func(plat.Pair) bool { return true }
	first := clock.Now()
	m.ApplySnapshot([]plat.Change{pair("a", 3)}, 3, "", "one", first)
	later := first.Add(time.Second)
	m.ApplySnapshot([]plat.Change{pair("b", 5)}, 5, "other", "two", later)
	m.SwitchShard([]plat.Change{pair("c", 6)}, 6, "other", "two", all, later)
	g.Expect(m.Shard()).To(gomega.Equal("one"))
	g.Expect(m.Revision()).To(gomega.Equal(int64(3)))
	g.Expect(m.FreshAsOf()).To(gomega.Equal(first))
	m.SwitchShard([]plat.Change{pair("c", 6)}, 6, "one", "two", func(p plat.Pair) bool { return p.Key == "a" }, later)
	g.Expect(m.Shard()).To(gomega.Equal("two"))
	g.Expect(m.FreshAsOf()).To(gomega.Equal(later))
	_, cached := m.Pair("a")
	g.Expect(cached).To(gomega.BeFalse())
}
