package roster

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
)

// An incarnation that reported shutting down gets no requests, whatever its entry shows later. The
// next incarnation of the target is not affected.
func TestShutdownReportOutlivesListEntry(t *testing.T) {
	shuttingDownEntry := incarnationEntry("a@1000", 1000)
	shuttingDownEntry.Leaving = true
	tests := []struct {
		name string
		// steps change a roster whose current incarnation a@1000 reported shutting down.
		steps func(r *Roster)
		// use is the incarnation that is checked, and want its expected availability.
		use  string
		want Stop
	}{
		{"nothing else happens", func(*Roster) {}, "a@1000", Leaves},
		{"its entry shows ready", func(r *Roster) { r.Put(incarnationEntry("a@1000", 1000)) }, "a@1000", Leaves},
		{"its entry is removed and returns", func(r *Roster) { r.Remove("a", clock.Now()); r.Put(incarnationEntry("a@1000", 1000)) }, "a@1000", Leaves},
		{"its entry shows shutting down, then ready", func(r *Roster) { r.Put(shuttingDownEntry); r.Put(incarnationEntry("a@1000", 1000)) }, "a@1000", Leaves},
		{"the next incarnation", func(r *Roster) { r.Put(incarnationEntry("a@2000", 2000)) }, "a@2000", Open},
		{"the next incarnation answers before its entry", func(r *Roster) { r.Ended("a@1000"); r.Put(incarnationEntry("a@2000", 2000)) }, "a@2000", Open},
		{"a late report of the previous incarnation", func(r *Roster) { r.Put(incarnationEntry("a@2000", 2000)); r.Leaves("a@1000", ByAnswer) }, "a@2000", Open},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := New(&event.Log{}, nil)
			r.Put(incarnationEntry("a@1000", 1000))
			g.Expect(r.Leaves("a@1000", ByAnswer)).To(gomega.BeTrue())
			g.Expect(r.Leaves("a@1000", ByPeer)).To(gomega.BeFalse(), "it was recorded already")
			tc.steps(r)
			target := r.Target(tc.use)
			g.Expect(target).NotTo(gomega.BeNil())
			stop, _ := r.Gate(time.Now()).Stop(target)
			g.Expect(stop).To(gomega.Equal(tc.want), stop.String())
			g.Expect(r.Enter(target, Token{})).To(gomega.Equal(tc.want))
			source, shuttingDown := r.Leaving(target)
			g.Expect(shuttingDown).To(gomega.Equal(tc.want == Leaves))
			if shuttingDown {
				g.Expect(source).To(gomega.Equal(ByAnswer))
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
	g.Expect(to.Enter(to.Target("a@1000"), Token{})).To(gomega.Equal(Open), "a peer's report of a target that is not listed here is ignored")
	Share{to}.Receive("peer", raw)
	source, shuttingDown := to.Leaving(to.Target("a@1000"))
	g.Expect(shuttingDown).To(gomega.BeTrue())
	g.Expect(source).To(gomega.Equal(ByPeer))
}

// Daemons that start on an older list are notified of incarnations that it lists again.
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

// Reports of removed incarnations are kept in case their entries return, but not for ever.
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
	shuttingDown, _ := r.WordCounts()
	g.Expect(shuttingDown).To(gomega.Equal(1))
}
