package roster

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
)

// A run that said that it leaves gets nothing, whatever its entry says later; the next run of the
// target begins without the mark.
func TestShutdownReportOutlivesListEntry(t *testing.T) {
	leavingEntry := incarnationEntry("a@1000", 1000)
	leavingEntry.Leaving = true
	tests := []struct {
		name string
		// steps change a roster that uses the run a@1000, which said that it leaves.
		steps func(r *Roster)
		// use is the run that is asked of, want what the gate says of it.
		use  string
		want Stop
	}{
		{"nothing more", func(*Roster) {}, "a@1000", Leaves},
		{"its entry says ready", func(r *Roster) { r.Put(incarnationEntry("a@1000", 1000)) }, "a@1000", Leaves},
		{"its entry goes and comes back", func(r *Roster) { r.Remove("a", clock.Now()); r.Put(incarnationEntry("a@1000", 1000)) }, "a@1000", Leaves},
		{"its entry says that it leaves, then ready", func(r *Roster) { r.Put(leavingEntry); r.Put(incarnationEntry("a@1000", 1000)) }, "a@1000", Leaves},
		{"the next run", func(r *Roster) { r.Put(incarnationEntry("a@2000", 2000)) }, "a@2000", Open},
		{"the next run at once, its entry late", func(r *Roster) { r.Ended("a@1000"); r.Put(incarnationEntry("a@2000", 2000)) }, "a@2000", Open},
		{"late word of the former run", func(r *Roster) { r.Put(incarnationEntry("a@2000", 2000)); r.Leaves("a@1000", ByAnswer) }, "a@2000", Open},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := New(&event.Log{}, nil)
			r.Put(incarnationEntry("a@1000", 1000))
			g.Expect(r.Leaves("a@1000", ByAnswer)).To(gomega.BeTrue())
			g.Expect(r.Leaves("a@1000", ByPeer)).To(gomega.BeFalse(), "it is known already")
			tc.steps(r)
			target := r.Target(tc.use)
			g.Expect(target).NotTo(gomega.BeNil())
			stop, _ := r.Gate(time.Now()).Stop(target)
			g.Expect(stop).To(gomega.Equal(tc.want), stop.String())
			g.Expect(r.Enter(target, Token{})).To(gomega.Equal(tc.want))
			by, leaves := r.Leaving(target)
			g.Expect(leaves).To(gomega.Equal(tc.want == Leaves))
			if leaves {
				g.Expect(by).To(gomega.Equal(ByAnswer))
			}
		})
	}
}

func TestShutdownReportReachesPeers(t *testing.T) {
	g := gomega.NewWithT(t)
	from, to := New(&event.Log{}, nil), New(&event.Log{}, nil)
	from.Put(incarnationEntry("a@1000", 1000))
	from.Leaves("a@1000", ByAnswer)
	raw, err := msgpack.Marshal(Share{from}.Collect(true))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	Share{to}.Receive("peer", raw)
	to.Put(incarnationEntry("a@1000", 1000))
	g.Expect(to.Enter(to.Target("a@1000"), Token{})).To(gomega.Equal(Open), "what is not listed here is not taken from a peer")
	Share{to}.Receive("peer", raw)
	by, leaves := to.Leaving(to.Target("a@1000"))
	g.Expect(leaves).To(gomega.BeTrue())
	g.Expect(by).To(gomega.Equal(ByPeer))
}

// Daemons that start on an older list are told of runs that it names again.
func TestLeavingRunsIncludesRemovedIncarnations(t *testing.T) {
	g := gomega.NewWithT(t)
	r := New(&event.Log{}, nil)
	for _, id := range []string{"a", "b", "c"} {
		r.Put(entry(id))
	}
	r.Leaves("a", ByAnswer)
	r.Leaves("b", ByAnswer)
	r.Remove("b", clock.Now())
	g.Expect(r.LeavingRuns()).To(gomega.ConsistOf("a", "b"))
	clock.Suspend(shutdownRecallTime + time.Second)
	g.Expect(r.LeavingRuns()).To(gomega.BeEmpty())
}

// What runs said is kept for entries that come back, and not for ever.
func TestSelfReportsExpire(t *testing.T) {
	g := gomega.NewWithT(t)
	r := New(&event.Log{}, nil)
	for _, id := range []string{"a", "b"} {
		r.Put(entry(id))
		r.Leaves(id, ByAnswer)
		r.Remove(id, clock.Now())
	}
	g.Expect(r.selfReports).To(gomega.HaveLen(2))
	clock.Suspend(selfReportTTL + time.Second)
	r.Put(entry("c"))
	r.Leaves("c", ByAnswer)
	g.Expect(r.selfReports).To(gomega.HaveLen(1))
	leaving, _ := r.WordCounts()
	g.Expect(leaving).To(gomega.Equal(1))
}
