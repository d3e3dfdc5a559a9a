package roster

import (
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/event"
	"embertally.dev/core/plat"
)

func TestOddEntryOfAnotherWriterDoesNotOutliveItself(t *testing.T) {
	odd := func(change func(e *Entry)) Entry {
		e := incarnationEntry("a@1000", 1000)
		change(&e)
		return e
	}
	overstated := odd(func(e *Entry) { e.Weights = map[string]int64{"m": math.MaxInt64} })
	farFuture := incarnationEntry("a@future", time.Now().AddDate(60, 0, 0).UnixMilli())
	for _, tc := range []struct {
		name string
		// steps change a roster whose target has version 1 by its entry.
		steps func(r *Roster)
		// wantID is the current incarnation afterwards, and wantWeights its version.
		wantID      string
		wantWeights int64
	}{
		{"weights that are too new, then the target's own entry", func(r *Roster) {
			r.Put(overstated)
			r.Put(incarnationEntry("a@1000", 1000))
		}, "a@1000", 1},
		{"weights that are too new, which the target denies", func(r *Roster) {
			r.Put(overstated)
			r.RecordOtherVersion("a@1000", "m", math.MaxInt64, 1)
		}, "a@1000", 1},
		{"the denied entry is written again", func(r *Roster) {
			r.Put(overstated)
			r.RecordOtherVersion("a@1000", "m", math.MaxInt64, 1)
			r.Put(overstated)
		}, "a@1000", 1},
		{"the denied entry, then an update of the weights", func(r *Roster) {
			r.Put(overstated)
			r.RecordOtherVersion("a@1000", "m", math.MaxInt64, 1)
			r.RecordVersion("a@1000", "m", 2)
			r.Put(overstated)
		}, "a@1000", 2},
		{"a version that is denied first and loaded later", func(r *Roster) {
			two := odd(func(e *Entry) { e.Weights = map[string]int64{"m": 2} })
			r.Put(two)
			r.RecordOtherVersion("a@1000", "m", 2, 1)
			r.RecordVersion("a@1000", "m", 2)
			r.Put(two)
		}, "a@1000", 2},
		{"a version that was seen is not denied by an older response", func(r *Roster) {
			r.RecordVersion("a@1000", "m", 2)
			r.RecordOtherVersion("a@1000", "m", 2, 1)
		}, "a@1000", 2},
		{"a version that was seen, and an entry written before", func(r *Roster) {
			r.RecordVersion("a@1000", "m", 2)
			r.Put(incarnationEntry("a@1000", 1000))
		}, "a@1000", 2},
		{"a list that was restored from an older copy", func(r *Roster) {
			r.Put(odd(func(e *Entry) { e.Weights, e.Revision = map[string]int64{"m": 2}, plat.Revision(1, 9) }))
			r.Put(odd(func(e *Entry) { e.Revision = plat.Revision(2, 5) }))
		}, "a@1000", 2},
		{"a start in the far future, then the target's own entry", func(r *Roster) {
			r.Put(farFuture)
			r.Put(incarnationEntry("a@1000", 1000))
		}, "a@1000", 1},
		{"a start a little ahead, then a late entry", func(r *Roster) {
			r.Put(incarnationEntry("a@ahead", time.Now().Add(time.Minute).UnixMilli()))
			r.Put(incarnationEntry("a@1000", 1000))
		}, "a@ahead", 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := New(&event.Log{}, nil)
			r.Put(incarnationEntry("a@1000", 1000))
			tc.steps(r)
			got := r.ByName("a")
			g.Expect(got.ID()).To(gomega.Equal(tc.wantID))
			g.Expect(got.Entry().Weights).To(gomega.Equal(map[string]int64{"m": tc.wantWeights}))
		})
	}
}

func TestPeersAreNotToldWhatOnlyAnEntryStates(t *testing.T) {
	g := gomega.NewWithT(t)
	from, to := New(&event.Log{}, nil), New(&event.Log{}, nil)
	for _, r := range []*Roster{from, to} {
		r.Put(entry("a"))
	}
	from.RecordVersion("a", "m", 2)
	overstated := entry("a")
	overstated.Weights = map[string]int64{"m": math.MaxInt64}
	from.Put(overstated)
	sendHeartbeat(g, from, to)
	g.Expect(to.Target("a").Entry().Weights["m"]).To(gomega.Equal(int64(2)))
}

// Guards against a version that one daemon denies since it ignores the only entry that names it, while others use the
// target of that entry.
func TestVersionOfAnIgnoredEntryIsRemembered(t *testing.T) {
	now := time.Now()
	for _, tc := range []struct {
		name    string
		prepare func(r *Roster)
		entry   Entry
	}{
		{"it seems older than the current incarnation", func(r *Roster) {
			r.Put(Entry{ID: "new", Name: "a", Service: "s", Version: "v1", Started: now})
		}, Entry{ID: "old", Name: "a", Service: "s", Version: "v2", Started: now.Add(-time.Minute)}},
		{"it is of a replaced incarnation", func(r *Roster) {
			r.Put(Entry{ID: "old", Name: "a", Service: "s", Version: "v1"})
			r.RecordReplaced("old")
			r.Put(Entry{ID: "b", Service: "s", Version: "v1"})
		}, Entry{ID: "old", Name: "a", Service: "s", Version: "v2"}},
		{"it was removed before the list was restored", func(r *Roster) {
			r.Put(Entry{ID: "old", Name: "a", Service: "s", Version: "v1", Revision: plat.Revision(1, 9)})
			r.RemoveUnusable("a")
			r.Put(Entry{ID: "b", Service: "s", Version: "v1"})
		}, Entry{ID: "old", Name: "a", Service: "s", Version: "v2", Revision: plat.Revision(2, 5)}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := New(&event.Log{}, nil)
			tc.prepare(r)
			g.Expect(r.Versions("s", time.Minute)).To(gomega.ConsistOf("v1"))
			r.Put(tc.entry)
			for _, listed := range r.ByService("s") {
				g.Expect(listed.Entry().Version).To(gomega.Equal("v1"), "the entry is ignored")
			}
			g.Expect(r.Versions("s", time.Minute)).To(gomega.ConsistOf("v1", "v2"))
		})
	}
}
