package cache

import (
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// use returns a request with one shared segment and some unshared tokens.
func use(target, id string, tokens, unshared int) Use {
	return Use{Target: target, Salt: "v1/m/", Segments: []UsedSegment{{ID: id, Tokens: tokens}}, Unshared: unshared}
}

// holders returns the workers estimated to hold a segment.
func holders(w *WorkerCaches, id string) []string {
	return targetsOf(w, SegmentName{"v1/m/", id}, time.Now())
}

// targetsOf returns the workers estimated to hold a segment at a given time.
func targetsOf(w *WorkerCaches, name SegmentName, now time.Time) []string {
	found, _ := w.Find(name, now)
	var out []string
	for _, h := range found {
		out = append(out, h.Target)
	}
	return out
}

// capacity returns a WorkerCaches.Capacity with the same capacity for all workers.
func capacity(tokens int) func(string) int { return func(string) int { return tokens } }

func TestUsesAreSentOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	var local, remote WorkerCaches
	now := time.Now()
	local.RecordUse(use("w1", "1", 10, 5), now)
	raw, err := msgpack.Marshal(local.Collect(false))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	local.RecordUse(use("w2", "2", 10, 5), now)
	local.Told()
	g.Expect(local.Collect(false)).To(gomega.Equal([]Use{use("w2", "2", 10, 5)}),
		"recorded while the first was being sent")
	local.Told()
	g.Expect(local.Collect(false)).To(gomega.BeNil())
	remote.Receive("local", raw)
	g.Expect(holders(&remote, "1")).To(gomega.Equal([]string{"w1"}))
	remote.Receive("local", []byte("no msgpack"))
}

func TestReadWindowExpires(t *testing.T) {
	g := gomega.NewWithT(t)
	w := WorkerCaches{ReadWindow: time.Minute}
	name, now := SegmentName{"v1/m/", "1"}, time.Now()
	w.RecordUse(use("w1", "1", 10, 5), now)
	_, read := w.Find(name, now.Add(59*time.Second))
	g.Expect(read).To(gomega.BeTrue())
	_, read = w.Find(name, now.Add(61*time.Second))
	g.Expect(read).To(gomega.BeFalse())
	w.RecordUse(use("w2", "2", 10, 5), now.Add(61*time.Second))
	g.Expect(targetsOf(&w, name, now.Add(61*time.Second))).To(gomega.BeEmpty(),
		"a worker without requests for the read window is removed")
}

func TestLeastRecentlyUsedSegmentIsEvicted(t *testing.T) {
	tests := []struct {
		name string
		uses []Use
		want map[string]bool
	}{
		{"all fit", []Use{use("w", "a", 40, 0), use("w", "b", 40, 0)}, map[string]bool{"a": true, "b": true}},
		{"the least recently used is evicted", []Use{use("w", "a", 40, 0), use("w", "b", 70, 0)}, map[string]bool{"a": false, "b": true}},
		{"a use keeps a segment", []Use{use("w", "a", 40, 0), use("w", "b", 40, 0), use("w", "a", 40, 0), use("w", "c", 40, 0)}, map[string]bool{"a": true, "b": false, "c": true}},
		{"unshared tokens take capacity", []Use{use("w", "a", 40, 0), use("w", "b", 10, 55)}, map[string]bool{"a": false, "b": true}},
		{"each worker has its own capacity", []Use{use("w", "a", 40, 0), use("v", "b", 90, 0)}, map[string]bool{"a": true, "b": true}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			w := WorkerCaches{Capacity: capacity(100)}
			for _, u := range tc.uses {
				w.RecordUse(u, time.Now())
			}
			for id, cached := range tc.want {
				g.Expect(len(holders(&w, id)) > 0).To(gomega.Equal(cached), id)
			}
		})
	}
}

func TestDepthCountsTokensUsedSince(t *testing.T) {
	g := gomega.NewWithT(t)
	w := WorkerCaches{Capacity: capacity(1000)}
	now := time.Now()
	w.RecordUse(use("w", "a", 100, 50), now)
	found, _ := w.Find(SegmentName{"v1/m/", "a"}, now)
	g.Expect(found).To(gomega.Equal([]Holder{{Target: "w", Depth: 0.1}}))
	w.RecordUse(use("w", "b", 300, 100), now)
	found, _ = w.Find(SegmentName{"v1/m/", "a"}, now)
	g.Expect(found).To(gomega.Equal([]Holder{{Target: "w", Depth: 0.5}}))
}

// A worker that loads new weights drops the segments of the old ones.
func TestNewWeightsRemoveOldSegments(t *testing.T) {
	g := gomega.NewWithT(t)
	w := WorkerCaches{Capacity: capacity(100)}
	other := Use{Target: "w", Salt: "v1/other/", Segments: []UsedSegment{{ID: "o", Tokens: 20}}}
	newer := Use{Target: "w", Salt: "v2/m/", Segments: []UsedSegment{{ID: "b", Tokens: 60}}}
	for _, u := range []Use{use("w", "a", 40, 20), other, newer} {
		w.RecordUse(u, time.Now())
	}
	g.Expect(holders(&w, "a")).To(gomega.BeEmpty())
	g.Expect(targetsOf(&w, SegmentName{"v2/m/", "b"}, time.Now())).To(gomega.Equal([]string{"w"}))
	g.Expect(targetsOf(&w, SegmentName{"v1/other/", "o"}, time.Now())).To(gomega.Equal([]string{"w"}),
		"another model's segments stay")
}

// Whatever uses are recorded, no cache is modelled beyond its capacity, and the holders of
// each segment match the caches.
func TestCachesStayWithinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := WorkerCaches{Capacity: capacity(500)}
		now := time.Now()
		for range rapid.IntRange(1, 60).Draw(t, "uses") {
			u := use("w"+strconv.Itoa(rapid.IntRange(0, 2).Draw(t, "worker")),
				strconv.Itoa(rapid.IntRange(0, 9).Draw(t, "segment")),
				rapid.IntRange(0, 300).Draw(t, "tokens"), rapid.IntRange(-5, 300).Draw(t, "unshared"))
			u.Salt = SegmentSalt{Model: "m", Version: int64(rapid.IntRange(1, 3).Draw(t, "version")), Scope: "all/"}.String()
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			w.RecordUse(u, now)
		}
		found := 0
		for target, c := range w.caches {
			sum := 0
			for e := c.lru.Front(); e != nil; e = e.Next() {
				sum += e.Value.(*cacheEntry).tokens
			}
			if sum != c.tokens || sum > 500 {
				t.Fatalf("%s holds %d tokens, counted %d", target, sum, c.tokens)
			}
			found += len(c.segments)
		}
		listed := 0
		for name, targets := range w.holders {
			for _, target := range targets {
				if w.caches[target].segments[name] == nil {
					t.Fatalf("%v is not in the cache of %s", name, target)
				}
				listed++
			}
		}
		if listed != found {
			t.Fatalf("%d holders listed, caches have %d segments", listed, found)
		}
	})
}
