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
	shuttingDownEntry.ShuttingDown = true
	tests := []struct {
		name string
		// steps change a roster whose current incarnation a@1000 reported shutting down.
		steps func(r *Roster)
		// checked is the incarnation that is checked, and want its expected availability.
		checked string
		want    UnavailabilityReason
	}{
		{"nothing else happens", func(*Roster) {}, "a@1000", ShuttingDown},
		{"its entry shows ready", func(r *Roster) { r.Put(incarnationEntry("a@1000", 1000)) }, "a@1000", ShuttingDown},
		{"its entry is removed and returns", func(r *Roster) { r.Remove("a", clock.Now()); r.Put(incarnationEntry("a@1000", 1000)) }, "a@1000", ShuttingDown},
		{"its entry shows shutting down, then ready", func(r *Roster) { r.Put(shuttingDownEntry); r.Put(incarnationEntry("a@1000", 1000)) }, "a@1000", ShuttingDown},
		{"the next incarnation", func(r *Roster) { r.Put(incarnationEntry("a@2000", 2000)) }, "a@2000", Available},
		{"the next incarnation responds before its entry", func(r *Roster) { r.RecordReplaced("a@1000"); r.Put(incarnationEntry("a@2000", 2000)) }, "a@2000", Available},
		{"a late report of the previous incarnation", func(r *Roster) { r.Put(incarnationEntry("a@2000", 2000)); r.RecordShutdown("a@1000", ByResponse) }, "a@2000", Available},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := New(&event.Log{}, nil)
			r.Put(incarnationEntry("a@1000", 1000))
			g.Expect(r.RecordShutdown("a@1000", ByResponse)).To(gomega.BeTrue())
			g.Expect(r.RecordShutdown("a@1000", ByPeer)).To(gomega.BeFalse(), "it was recorded already")
			tc.steps(r)
			target := r.Target(tc.checked)
			g.Expect(target).NotTo(gomega.BeNil())
			reason, _ := r.Availability(time.Now()).Reason(target)
			g.Expect(reason).To(gomega.Equal(tc.want), reason.String())
			g.Expect(r.Admit(target, Permit{})).To(gomega.Equal(tc.want))
			source, shuttingDown := r.ShuttingDown(target)
			g.Expect(shuttingDown).To(gomega.Equal(tc.want == ShuttingDown))
			if shuttingDown {
				g.Expect(source).To(gomega.Equal(ByResponse))
			}
		})
	}
}

func TestShutdownReportReachesPeers(t *testing.T) {
	g := gomega.NewWithT(t)
	from, to := New(&event.Log{}, nil), New(&event.Log{}, nil)
	from.Put(incarnationEntry("a@1000", 1000))
	from.RecordShutdown("a@1000", ByResponse)
	raw, err := msgpack.Marshal(HeartbeatPart{from}.Collect(true))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	HeartbeatPart{to}.Receive("peer", raw)
	to.Put(incarnationEntry("a@1000", 1000))
	g.Expect(to.Admit(to.Target("a@1000"), Permit{})).To(gomega.Equal(Available),
		"a peer's report of a target that is not listed here is ignored")
	HeartbeatPart{to}.Receive("peer", raw)
	source, shuttingDown := to.ShuttingDown(to.Target("a@1000"))
	g.Expect(shuttingDown).To(gomega.BeTrue())
	g.Expect(source).To(gomega.Equal(ByPeer))
}

// Daemons that start on an older list are notified of incarnations that it lists again.
func TestRecentShutdownsIncludeRemovedIncarnations(t *testing.T) {
	g := gomega.NewWithT(t)
	r := New(&event.Log{}, nil)
	for _, id := range []string{"a", "b", "c"} {
		r.Put(entry(id))
	}
	r.RecordShutdown("a", ByResponse)
	r.RecordShutdown("b", ByResponse)
	r.Remove("b", clock.Now())
	g.Expect(r.RecentShutdowns()).To(gomega.ConsistOf("a", "b"))
	clock.Suspend(shutdownRecallTime + time.Second)
	g.Expect(r.RecentShutdowns()).To(gomega.BeEmpty())
}

// What a target had reported about itself was dropped an hour after its first report, whatever it had reported since: its
// entry went and came back, and it got requests although it was shutting down or had just asked for none.
func TestSelfReportsAreKeptFromTheLastReportOrTheEndOfTheEntry(t *testing.T) {
	report := func(r *Roster, id string) { r.RecordRejection(id, Pushback{Duration: time.Second}) }
	tests := []struct {
		name   string
		report func(r *Roster, id string)
		// external is set if the list does not contain the target.
		external bool
		want     UnavailabilityReason
	}{
		{"it asks for a rest, for the second time", func(r *Roster, id string) {
			report(r, id)
			clock.Suspend(selfReportTTL + time.Minute)
			r.RecordRejection(id, Pushback{Duration: MaxPushback})
		}, false, UnderPushback},
		{"it asks for a rest, for the second time, external", func(r *Roster, id string) {
			report(r, id)
			clock.Suspend(selfReportTTL + time.Minute)
			r.RecordRejection(id, Pushback{Duration: MaxPushback})
		}, true, UnderPushback},
		{"it has been shutting down for long", func(r *Roster, id string) {
			r.RecordShutdown(id, ByResponse)
			clock.Suspend(selfReportTTL + time.Minute)
		}, false, ShuttingDown},
		{"it reports its shutdown again, external", func(r *Roster, id string) {
			r.RecordShutdown(id, ByResponse)
			clock.Suspend(selfReportTTL + time.Minute)
			r.RecordShutdown(id, ByResponse)
		}, true, ShuttingDown},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := New(&event.Log{}, nil)
			if tc.external {
				r.AddExternal(entry("a"))
			} else {
				r.Put(entry("a"))
			}
			tc.report(r, "a")
			r.Remove("a", clock.Now())
			report(r, "b")
			if !tc.external {
				r.Put(entry("a"))
			}
			g.Expect(r.Admit(r.Target("a"), Permit{})).To(gomega.Equal(tc.want))
		})
	}
}

// Reports of removed incarnations are kept in case their entries return, but not for ever.
func TestSelfReportsExpire(t *testing.T) {
	g := gomega.NewWithT(t)
	r := New(&event.Log{}, nil)
	for _, id := range []string{"a", "b"} {
		r.Put(entry(id))
		r.RecordShutdown(id, ByResponse)
		r.Remove(id, clock.Now())
	}
	g.Expect(r.selfReports).To(gomega.HaveLen(2))
	clock.Suspend(selfReportTTL + time.Second)
	r.Put(entry("c"))
	r.RecordShutdown("c", ByResponse)
	g.Expect(r.selfReports).To(gomega.HaveLen(1))
	shuttingDown, _ := r.SelfReportCounts()
	g.Expect(shuttingDown).To(gomega.Equal(1))
}
