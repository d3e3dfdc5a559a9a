package roster

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/plat"
)

// entryAt is an entry written at a revision of a store incarnation.
func entryAt(id string, shuttingDown bool, storeIncarnation, revision int64) Entry {
	e := entry(id)
	e.Name, e.Leaving, e.Revision = id, shuttingDown, plat.Revision(storeIncarnation, revision)
	return e
}

// What was recorded about an incarnation outlives a list that is restored from an older copy.
func TestLocalViewOutlivesRestoredList(t *testing.T) {
	tests := []struct {
		name string
		do   func(r *Roster)
		want Stop
	}{
		{"ready as before", func(r *Roster) { r.Put(entryAt("a", false, 2, 10)) }, Open},
		{"shutting down, and ready in the copy", func(r *Roster) {
			r.Put(entryAt("a", true, 1, 20))
			r.Put(entryAt("a", false, 2, 10))
		}, Leaves},
		{"shut down and removed, and ready in the copy", func(r *Roster) {
			r.Put(entryAt("a", true, 1, 20))
			r.Remove("a", clock.Now())
			r.Put(entryAt("a", false, 2, 30))
		}, Leaves},
		{"removed, and ready in the copy", func(r *Roster) {
			r.Remove("a", clock.Now())
			r.Put(entryAt("a", false, 2, 10))
		}, Gone},
		{"removed, and put twice from the copy", func(r *Roster) {
			r.Remove("a", clock.Now())
			r.Put(entryAt("a", false, 2, 10))
			r.Put(entryAt("a", false, 2, 10))
		}, Gone},
		{"removed, in the copy, and written since", func(r *Roster) {
			r.Remove("a", clock.Now())
			r.Put(entryAt("a", false, 2, 9))
			r.Put(entryAt("a", false, 2, 10))
		}, Open},
		{"removed, and written at a later revision", func(r *Roster) {
			r.Remove("a", clock.Now())
			r.Put(entryAt("a", false, 2, 11))
		}, Open},
		{"removed and put again within a store incarnation", func(r *Roster) {
			r.Remove("a", clock.Now())
			r.Put(entryAt("a", false, 1, 12))
		}, Open},
		{"removed, in the copy for long", func(r *Roster) {
			r.Remove("a", clock.Now())
			r.Put(entryAt("a", false, 2, 10))
			r.acceptStale(entryAt("a", false, 2, 10))
		}, Open},
		{"removed, in the copy, and removed again", func(r *Roster) {
			r.Remove("a", clock.Now())
			r.Put(entryAt("a", false, 2, 10))
			r.Remove("a", clock.Now())
			r.acceptStale(entryAt("a", false, 2, 10))
		}, Gone},
		{"not in the copy", func(r *Roster) { r.Lose("a") }, Open},
		{"shutting down, and not in the copy", func(r *Roster) {
			r.Put(entryAt("a", true, 1, 20))
			r.Lose("a")
		}, Gone},
		{"not in the copy, and not written again", func(r *Roster) {
			r.Lose("a")
			r.removeLapsed("a")
		}, Gone},
		{"not in the copy, and written again", func(r *Roster) {
			r.Lose("a")
			r.Put(entryAt("a", false, 2, 10))
			r.removeLapsed("a")
		}, Open},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := New(&event.Log{}, nil)
			r.Put(entryAt("a", false, 1, 10))
			tc.do(r)
			target := r.Target("a")
			if target == nil {
				g.Expect(tc.want).To(gomega.Equal(Gone))
				return
			}
			stop, _ := r.Gate(time.Now()).Stop(target)
			g.Expect(stop).To(gomega.Equal(tc.want))
		})
	}
}

// A target that has warmed up does not count as warming up again because a restored list contains
// its entry from before.
func TestRestoredEntryDoesNotRestartWarmUp(t *testing.T) {
	g := gomega.NewWithT(t)
	r := New(&event.Log{}, nil)
	cold := entryAt("a", false, 1, 10)
	cold.Cold = time.Hour
	r.Put(cold)
	g.Expect(r.Target("a").warmingUp(time.Now())).To(gomega.BeTrue())
	r.Put(entryAt("a", false, 1, 12))
	g.Expect(r.Target("a").warmingUp(time.Now())).To(gomega.BeFalse())
	cold.Revision = plat.Revision(2, 10)
	r.Put(cold)
	g.Expect(r.Target("a").warmingUp(time.Now())).To(gomega.BeFalse())
	cold.Revision = plat.Revision(2, 13)
	r.Put(cold)
	g.Expect(r.Target("a").warmingUp(time.Now())).To(gomega.BeTrue(), "it was written since")
}
