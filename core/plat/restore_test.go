package plat_test

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/memkv"
	"embertally.dev/core/plat"
)

func TestRevisionsAreOrderedByIncarnationFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(plat.Revision(0, 17)).To(gomega.Equal(int64(17)), "of a store without incarnations")
	g.Expect(plat.Revision(2, 1)).To(gomega.BeNumerically(">", plat.Revision(1, 1<<39)))
	for _, incarnation := range []int64{0, 1, plat.MaxStoreIncarnation} {
		for _, number := range []int64{0, 1, 1<<40 - 1} {
			r := plat.Revision(incarnation, number)
			g.Expect(plat.StoreIncarnation(r)).To(gomega.Equal(incarnation))
			g.Expect(plat.StoreRevision(r)).To(gomega.Equal(number))
			g.Expect(int64(float64(r))).To(gomega.Equal(r), "fencing tokens must be exact in a float64")
		}
	}
	g.Expect(plat.StoreRevision(-1)).To(gomega.Equal(int64(-1)))
	g.Expect(plat.StoreIncarnation(-1)).To(gomega.BeZero())
}

// After a random schedule of writes and restores of any former copy, the cache and its observers
// end up with what the store has.
func TestWatchCacheFollowsRestoredStore(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			g := gomega.NewWithT(t)
			random := rand.New(rand.NewPCG(seed, 47))
			kv := &memkv.KV{}
			put(t, kv, "a/0", "first")
			w := watch(kv)
			w.start(t)
			copies := []*memkv.Copy{kv.Copy()}
			for step := range 60 {
				switch random.IntN(10) {
				case 0:
					kv.Restore(copies[random.IntN(len(copies))])
				case 1:
					copies = append(copies, kv.Copy())
				case 2, 3:
					remove(t, kv, fmt.Sprintf("a/%d", random.IntN(8)))
				case 4:
					g.Eventually(w.agrees(kv), "60s", "1ms").Should(gomega.BeTrue())
				default:
					put(t, kv, fmt.Sprintf("a/%d", random.IntN(8)), fmt.Sprint(step))
				}
			}
			g.Eventually(w.agrees(kv), "60s", "1ms").Should(gomega.BeTrue())
		})
	}
}

// agrees reports whether the cache and the observer have what the store has.
func (w *watched) agrees(kv *memkv.KV) func() bool {
	return func() bool {
		want := map[string]string{}
		for _, p := range kv.WithPrefix("a/") {
			want[p.Key] = string(p.Value)
		}
		got := map[string]string{}
		for _, p := range w.WithPrefix("a/") {
			got[p.Key] = string(p.Value)
		}
		return fmt.Sprint(got) == fmt.Sprint(want) && fmt.Sprint(w.model()) == fmt.Sprint(want)
	}
}

// model returns the keys and values that result from the changes received.
func (w *watched) model() map[string]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]string{}
	for _, c := range w.received {
		if c.Deleted {
			delete(out, c.Key)
		} else {
			out[c.Key] = string(c.Value)
		}
	}
	return out
}

func TestOnStoreIncarnationIsCalledOncePerIncarnation(t *testing.T) {
	g := gomega.NewWithT(t)
	kv := &memkv.KV{}
	put(t, kv, "a/old", "1")
	old := kv.Copy()
	w := watch(kv)
	var calls atomic.Int64
	w.OnStoreIncarnation = func() { calls.Add(1) }
	w.start(t)
	g.Eventually(calls.Load, "60s", "1ms").Should(gomega.Equal(int64(1)))
	put(t, kv, "a/new", "1")
	g.Eventually(w.value("a/new"), "60s", "1ms").Should(gomega.Equal("1"))
	g.Expect(calls.Load()).To(gomega.Equal(int64(1)))
	// OnStoreIncarnation is called even if the snapshot has the same content as the cache.
	for incarnation := int64(1); incarnation <= 2; incarnation++ {
		kv.Restore(old)
		g.Eventually(calls.Load, "60s", "1ms").Should(gomega.Equal(incarnation + 1))
		g.Expect(w.StoreIncarnation()).To(gomega.Equal(incarnation))
	}
}

// Keys that are missing in a restored store are reported as restored; keys deleted later are
// not.
func TestKeysMissingAfterRestoreAreReportedAsRestored(t *testing.T) {
	g := gomega.NewWithT(t)
	kv := &memkv.KV{}
	put(t, kv, "a/old", "1")
	w := watch(kv)
	w.start(t)
	old := kv.Copy()
	put(t, kv, "a/new", "1")
	g.Eventually(w.value("a/new"), "60s", "1ms").Should(gomega.Equal("1"))
	kv.Restore(old)
	g.Eventually(w.value("a/new"), "60s", "1ms").Should(gomega.BeEmpty())
	remove(t, kv, "a/old")
	g.Eventually(w.value("a/old"), "60s", "1ms").Should(gomega.BeEmpty())
	g.Expect(w.StoreIncarnation()).To(gomega.Equal(int64(1)))
	restored := map[string]bool{}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.received {
		if c.Deleted {
			restored[c.Key] = c.DeletedByRestore
		}
	}
	g.Expect(restored).To(gomega.Equal(map[string]bool{"a/new": true, "a/old": false}))
}

// Changes and snapshots from a peer of an earlier store incarnation are not applied and do not
// make the cache look fresher. From a peer of a later one, a snapshot is applied, but not
// changes.
func TestDataOfPeersInAnotherIncarnation(t *testing.T) {
	g := gomega.NewWithT(t)
	pair := func(key string, incarnation, number int64) plat.Change {
		return plat.Change{Pair: plat.Pair{Key: key, Value: []byte("v"), ModRevision: plat.Revision(incarnation, number)}}
	}
	cache := plat.NewWatchCache(&memkv.KV{}, plat.Prefix(""), &event.Log{})
	at := clock.Now()
	cache.ApplySnapshot([]plat.Change{pair("a", 2, 5)}, plat.Revision(2, 9), "", "", at)
	g.Expect(cache.FreshAsOf()).To(gomega.Equal(at))
	later := at.Add(time.Second)

	cache.ApplyChanges([]plat.Change{pair("b", 1, 90)}, plat.Revision(1, 99), later)
	cache.ApplySnapshot([]plat.Change{pair("b", 1, 90)}, plat.Revision(1, 99), "", "", later)
	cache.ApplySnapshot([]plat.Change{pair("b", 1, 90)}, plat.Revision(1, 99), "", "another shard", later)
	cache.SwitchShard([]plat.Change{pair("b", 1, 90)}, plat.Revision(1, 99), "", "another shard", func(plat.Pair) bool { return false }, later)
	cache.ApplyChanges([]plat.Change{pair("b", 3, 1)}, plat.Revision(3, 2), later)
	g.Expect(cache.FreshAsOf()).To(gomega.Equal(at), "of another store incarnation")
	g.Expect(cache.Shard()).To(gomega.BeEmpty())
	_, cached := cache.Pair("b")
	g.Expect(cached).To(gomega.BeFalse())
	g.Expect(cache.Revision()).To(gomega.Equal(plat.Revision(2, 9)))

	cache.ApplySnapshot([]plat.Change{pair("b", 3, 1)}, plat.Revision(3, 2), "", "", later)
	g.Expect(cache.FreshAsOf()).To(gomega.Equal(later))
	_, cached = cache.Pair("a")
	g.Expect(cached).To(gomega.BeFalse())
	// A request for the changes after a revision of the former incarnation needs a snapshot.
	_, _, complete := cache.ChangesSince(plat.Revision(2, 9))
	g.Expect(complete).To(gomega.BeFalse())
}

func remove(t *testing.T, kv *memkv.KV, key string) {
	t.Helper()
	if _, err := kv.Commit(t.Context(), plat.Txn{Deletes: []string{key}}); err != nil {
		t.Fatal(err)
	}
}

// Whoever concludes from having seen all changes must learn that a snapshot may have skipped some, before it is applied.
func TestSnapshotsThatMaySkipChangesAreReported(t *testing.T) {
	g := gomega.NewWithT(t)
	w := plat.NewWatchCache(nil, plat.Prefix(""), &event.Log{})
	var reported []int64
	applied := 0
	w.OnSnapshot = func(last, _ clock.Time, revision int64) {
		g.Expect(last.IsZero()).To(gomega.Equal(len(reported) == 0))
		g.Expect(applied).To(gomega.Equal(len(reported)), "before the observers")
		reported = append(reported, revision)
	}
	w.Observe(func([]plat.Change) { applied++ })
	pair := func(revision int64) []plat.Change {
		return []plat.Change{{Pair: plat.Pair{Key: "a", ModRevision: revision}}}
	}
	w.ApplySnapshot(pair(1), 1, "", "", clock.Now())
	w.ApplySnapshot(pair(1), 1, "", "", clock.Now())
	g.Expect(reported).To(gomega.Equal([]int64{1}), "nothing is skipped at the same revision")
	w.ApplySnapshot(pair(3), 3, "", "", clock.Now())
	g.Expect(w.AppliedRevision()).To(gomega.Equal(int64(3)))
	g.Expect(reported).To(gomega.Equal([]int64{1, 3}))
	w.ApplyChanges(pair(4), 4, clock.Now())
	g.Expect(reported).To(gomega.HaveLen(2), "changes skip nothing")
	g.Expect(w.AppliedRevision()).To(gomega.Equal(int64(4)))
}
