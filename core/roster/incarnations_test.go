package roster

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
)

// incarnationEntry is an entry of one incarnation of the target a.
func incarnationEntry(id string, started int64) Entry {
	e := entry(id)
	e.Name, e.Started = "a", time.UnixMilli(started)
	return e
}

func TestRestartedTargetStartsFresh(t *testing.T) {
	tests := []struct {
		name string
		// steps change a roster whose current incarnation a@1000 has version 3 after five orders,
		// has work in flight, is suspect, rejects work while reloading, and has a weight update
		// pending.
		steps func(r *Roster)
		// want is the current incarnation, "" for none.
		want string
	}{
		{"younger", func(r *Roster) { r.Put(incarnationEntry("a@2000", 2000)) }, "a@2000"},
		{"younger at another address", func(r *Roster) {
			e := incarnationEntry("a@2000", 2000)
			e.Address = "10.0.0.9:1"
			r.Put(e)
		}, "a@2000"},
		{"a late entry of an older incarnation", func(r *Roster) { r.Put(incarnationEntry("a@2000", 2000)); r.Put(incarnationEntry("a@1000", 1000)) }, "a@2000"},
		{"another incarnation responds", func(r *Roster) { r.RecordReplaced("a@1000") }, ""},
		{"another incarnation responds, the list lags", func(r *Roster) { r.RecordReplaced("a@1000"); r.Put(incarnationEntry("a@1000", 1000)) }, ""},
		{"another incarnation responds, the list follows", func(r *Roster) { r.RecordReplaced("a@1000"); r.Put(incarnationEntry("a@2000", 2000)) }, "a@2000"},
		{"its clock went back", func(r *Roster) { r.Put(incarnationEntry("a@500", 500)); r.RecordReplaced("a@1000") }, "a@500"},
		{"taken off the list and back", func(r *Roster) { r.Remove("a", clock.Now()); r.Put(incarnationEntry("a@500", 500)) }, "a@500"},
		{"unusable entry of another writer", func(r *Roster) { r.RemoveUnusable("a") }, ""},
		{"a usable entry after an unusable one", func(r *Roster) { r.RemoveUnusable("a"); r.Put(incarnationEntry("a@2000", 2000)) }, "a@2000"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r, now := New(&event.Log{}, nil), time.Now()
			first := incarnationEntry("a@1000", 1000)
			first.OrderCount = 5
			r.Put(first)
			old := r.Target("a@1000")
			r.RecordVersion("a@1000", "m", 3)
			old.AddLoad(Load{Running: 1, QueuedTokens: 10, OccupiedTokens: 10})
			old.RecordNoResponse(now)
			r.BeginUpdate("a@1000", now.Add(time.Minute))
			r.RecordReloading("a@1000", now.Add(time.Minute))
			tc.steps(r)
			g.Expect(old.Health(now).Removed).To(gomega.BeTrue())
			got := r.ByName("a")
			if tc.want == "" {
				g.Expect(got).To(gomega.BeNil())
				g.Expect(r.ByService("s")).To(gomega.BeEmpty())
				return
			}
			g.Expect(ids(r.ByService("s"))).To(gomega.Equal([]string{tc.want}))
			g.Expect(got.ID()).To(gomega.Equal(tc.want))
			g.Expect(got.Entry().Weights).To(gomega.Equal(map[string]int64{"m": 1}))
			g.Expect(got.Entry().OrderCount).To(gomega.BeZero())
			g.Expect(got.Load()).To(gomega.Equal(Load{}))
			g.Expect(got.Health(now)).To(gomega.Equal(Health{}))
			g.Expect(r.Updating(now)).NotTo(gomega.HaveKey(tc.want))
			g.Expect(r.Reloading(now)).NotTo(gomega.HaveKey(tc.want))
			r.RecordVersion("a@1000", "m", 9)
			g.Expect(got.Entry().Weights).To(gomega.Equal(map[string]int64{"m": 1}),
				"a late version of the previous incarnation")
		})
	}
}

func TestSameIncarnationIsKept(t *testing.T) {
	g := gomega.NewWithT(t)
	r := New(&event.Log{}, nil)
	r.Put(incarnationEntry("a@1000", 1000))
	existing := r.Target("a@1000")
	g.Expect(r.Put(incarnationEntry("a@1000", 1000))).To(gomega.BeNil())
	g.Expect(r.Target("a@1000")).To(gomega.BeIdenticalTo(existing))
	g.Expect(r.Put(incarnationEntry("a@2000", 2000))).To(gomega.BeIdenticalTo(existing),
		"the caller closes its connections")
}
