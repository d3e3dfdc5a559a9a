package roster

import (
	"sync/atomic"
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
	e.Name, e.ShuttingDown, e.Revision = id, shuttingDown, plat.Revision(storeIncarnation, revision)
	return e
}

// What was recorded about an incarnation outlives a list that is restored from an older copy.
func TestLocalViewOutlivesRestoredList(t *testing.T) {
	tests := []struct {
		name  string
		steps func(r *Roster)
		want  UnavailabilityReason
	}{
		{"ready as before", func(r *Roster) { r.Put(entryAt("a", false, 2, 10)) }, Available},
		{"shutting down, and ready in the copy", func(r *Roster) {
			r.Put(entryAt("a", true, 1, 20))
			r.Put(entryAt("a", false, 2, 10))
		}, ShuttingDown},
		{"shut down and removed, and ready in the copy", func(r *Roster) {
			r.Put(entryAt("a", true, 1, 20))
			r.Remove("a", clock.Now())
			r.Put(entryAt("a", false, 2, 30))
		}, ShuttingDown},
		{"removed, and ready in the copy", func(r *Roster) {
			r.Remove("a", clock.Now())
			r.Put(entryAt("a", false, 2, 10))
		}, Removed},
		{"removed, and put twice from the copy", func(r *Roster) {
			r.Remove("a", clock.Now())
			r.Put(entryAt("a", false, 2, 10))
			r.Put(entryAt("a", false, 2, 10))
		}, Removed},
		{"removed, in the copy, and written since", func(r *Roster) {
			r.Remove("a", clock.Now())
			r.Put(entryAt("a", false, 2, 9))
			r.Put(entryAt("a", false, 2, 10))
		}, Available},
		{"removed, and written at a later revision", func(r *Roster) {
			r.Remove("a", clock.Now())
			r.Put(entryAt("a", false, 2, 11))
		}, Available},
		{"removed and put again within a store incarnation", func(r *Roster) {
			r.Remove("a", clock.Now())
			r.Put(entryAt("a", false, 1, 12))
		}, Available},
		{"removed, in the copy for long", func(r *Roster) {
			r.Remove("a", clock.Now())
			r.Put(entryAt("a", false, 2, 10))
			r.acceptStale(entryAt("a", false, 2, 10))
		}, Available},
		{"removed, in the copy, and removed again", func(r *Roster) {
			r.Remove("a", clock.Now())
			r.Put(entryAt("a", false, 2, 10))
			r.Remove("a", clock.Now())
			r.acceptStale(entryAt("a", false, 2, 10))
		}, Removed},
		{"not in the copy", func(r *Roster) { r.RecordMissing("a") }, Available},
		{"shutting down, and not in the copy", func(r *Roster) {
			r.Put(entryAt("a", true, 1, 20))
			r.RecordMissing("a")
		}, Removed},
		{"not in the copy, and not written again", func(r *Roster) {
			r.RecordMissing("a")
			r.removeLapsed("a")
		}, Removed},
		{"not in the copy, and written again", func(r *Roster) {
			r.RecordMissing("a")
			r.Put(entryAt("a", false, 2, 10))
			r.removeLapsed("a")
		}, Available},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := New(&event.Log{}, nil)
			r.Put(entryAt("a", false, 1, 10))
			tc.steps(r)
			target := r.Target("a")
			if target == nil {
				g.Expect(tc.want).To(gomega.Equal(Removed))
				return
			}
			reason, _ := r.Availability(time.Now()).Reason(target)
			g.Expect(reason).To(gomega.Equal(tc.want))
		})
	}
}

// While the store was out of reach an entry of a removed target could not go, and counted as one that stays: the target got
// requests after its end had been acknowledged.
func TestARestoredEntryIsAcceptedOnlyOnceTheListHasShownThatItStays(t *testing.T) {
	tests := []struct {
		name string
		// reached is how long after the restore the list is known to be current.
		reached time.Duration
		want    UnavailabilityReason
	}{
		{"the list is current", staleEntryTime + time.Second, Available},
		{"not reached since the restore", 0, Removed},
		{"not reached since half of the time", staleEntryTime / 2, Removed},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			r := New(&event.Log{}, nil)
			var known atomic.Int64
			known.Store(int64(tc.reached))
			restored := clock.Now()
			r.ListAsOf = func() clock.Time { return restored.Add(min(time.Duration(known.Load()), clock.Since(restored))) }
			r.Put(entryAt("a", false, 1, 10))
			r.Remove("a", clock.Now())
			r.Put(entryAt("a", false, 2, 9))
			state := func() UnavailabilityReason {
				if target := r.Target("a"); target != nil {
					return r.Admit(target, Permit{})
				}
				return Removed
			}
			time.Sleep(staleEntryTime + 500*time.Millisecond)
			g.Expect(state()).To(gomega.Equal(tc.want))
			known.Store(int64(time.Hour))
			g.Eventually(state, "30s", "10ms").Should(gomega.Equal(Available), "it has stayed")
		})
	}
}

// A target that has warmed up does not count as warming up again because a restored list contains
// its entry from before.
func TestRestoredEntryDoesNotRestartWarmUp(t *testing.T) {
	g := gomega.NewWithT(t)
	r := New(&event.Log{}, nil)
	warming := entryAt("a", false, 1, 10)
	warming.WarmUp = time.Hour
	r.Put(warming)
	g.Expect(r.Target("a").warmingUp(time.Now())).To(gomega.BeTrue())
	r.Put(entryAt("a", false, 1, 12))
	g.Expect(r.Target("a").warmingUp(time.Now())).To(gomega.BeFalse())
	warming.Revision = plat.Revision(2, 10)
	r.Put(warming)
	g.Expect(r.Target("a").warmingUp(time.Now())).To(gomega.BeFalse())
	warming.Revision = plat.Revision(2, 13)
	r.Put(warming)
	g.Expect(r.Target("a").warmingUp(time.Now())).To(gomega.BeTrue(), "it was written since")
}
