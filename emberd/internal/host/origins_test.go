package host

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/clock"
	"embertally.dev/core/origin"
	"embertally.dev/core/plat"
	"embertally.dev/core/roster"
	"embertally.dev/core/spread"
)

// A daemon that guessed from the versions that it happens to see sent streams to the wrong one: it may conclude only
// from what it has seen for as long as a stream may be resumed.
func TestOneVersionIsProvenOnlyByALongView(t *testing.T) {
	for _, tc := range []struct {
		name       string
		firstStart bool
		// prepare changes what the daemon has seen.
		prepare func(h *Host)
		want    origin.Proof
	}{
		{"the whole system starts", true, func(*Host) {}, origin.Sole},
		{"just started", false, func(*Host) {}, origin.Unproven},
		{"just started, a peer has proven it", false, func(h *Host) { h.versionWatch.inherit("llm", h.watchCache.AppliedRevision()) }, origin.Sole},
		{"proven for another service", false, func(h *Host) { h.versionWatch.inherit("other", h.watchCache.AppliedRevision()) }, origin.Unproven},
		{"has run for long", false, func(h *Host) { h.refresh(clock.Now()); clock.Suspend(h.versionWindow()); h.refresh(clock.Now()) }, origin.Sole},
		{"a second version", true, func(h *Host) { h.roster.Put(roster.Entry{ID: "b", Service: "llm", Version: "v2"}) }, origin.Several},
		{"a second version that has gone", true, func(h *Host) {
			h.roster.Put(roster.Entry{ID: "b", Service: "llm", Version: "v2"})
			h.roster.RemoveUnusable("b")
		}, origin.Several},
		{"the copy of the list is old", true, func(*Host) { clock.Suspend(2 * versionMaxViewAge) }, origin.Several},
		{"the copy was old for a while", true, func(h *Host) {
			clock.Suspend(2 * versionMaxViewAge)
			h.checkVersionWatch()
			h.refresh(clock.Now())
		}, origin.Unproven},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			settings := Defaults()
			settings.Name, settings.FirstStart = "box", tc.firstStart
			h := New(settings)
			t.Cleanup(h.spool.Close)
			h.checkVersionWatch()
			h.refresh(clock.Now())
			h.roster.Put(roster.Entry{ID: "a", Service: "llm", Version: "v1"})
			tc.prepare(h)
			version, proof := h.serviceVersions("llm")
			g.Expect(proof).To(gomega.Equal(tc.want))
			g.Expect(version == "v1").To(gomega.Equal(tc.want != origin.Several))
		})
	}
}

// Writes to the store are paid for: there are none for a service of which one version is known, as after most starts.
func TestOriginsAreKeptWhileSeveralVersionsAreKnown(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newTestHost(t)
	h.restartVersionWatch(0)
	g.Expect(h.keepsOrigins("llm")).To(gomega.BeFalse())
	h.roster.Put(roster.Entry{ID: "b", Service: "llm", Version: "v2"})
	g.Expect(h.keepsOrigins("llm")).To(gomega.BeTrue())
	h.roster.RemoveUnusable("a")
	g.Expect(h.keepsOrigins("llm")).To(gomega.BeTrue(), "streams of the former one may still be resumed")
	clock.Suspend(h.versionWindow() - time.Second)
	g.Expect(h.keepsOrigins("llm")).To(gomega.BeTrue())
	clock.Suspend(2 * time.Second)
	g.Expect(h.keepsOrigins("llm")).To(gomega.BeFalse())
}

// newTestHost returns a host with one target of version v1, as the system's first start leaves it.
func newTestHost(t *testing.T) *Host {
	settings := Defaults()
	settings.Name, settings.FirstStart = "box", true
	h := New(settings)
	t.Cleanup(h.spool.Close)
	h.roster.Put(roster.Entry{ID: "a", Service: "llm", Version: "v1"})
	h.refresh(clock.Now())
	return h
}

// Guards against streams of two versions: one begins at a new version while another daemon, which nobody reaches, still
// proves that there is a single one and takes the stream up there.
func TestNoStreamBeginsAtAVersionWhileADaemonProvesAnother(t *testing.T) {
	g := gomega.NewWithT(t)
	begins, proves := newTestHost(t), newTestHost(t)
	g.Expect(begins.untilSettled("llm", "v1")).To(gomega.BeZero(), "it is the only one")
	begins.roster.Put(roster.Entry{ID: "b", Service: "llm", Version: "v2"})
	// What the other daemon reads at this moment lacks the version, and is dated as late as it may be.
	clock.Suspend(spread.MaxDatingError)
	proves.refresh(clock.Now())
	const step = 20 * time.Millisecond
	proven, begun := 0, false
	for range 2 * versionSettleTime / step {
		// The stream begins before the request that resumes it.
		begun = begins.untilSettled("llm", "v2") == 0
		_, proof := proves.serviceVersions("llm")
		if proof == origin.Sole {
			proven++
			g.Expect(begun).To(gomega.BeFalse(), "a stream begins at v2 although a daemon proves v1")
			g.Expect(begins.untilSettled("llm", "v1")).To(gomega.BeZero(), "streams begin at the version that all know")
		}
		clock.Suspend(step)
	}
	g.Expect(proven).To(gomega.BeNumerically(">", versionMaxViewAge/step/2))
	g.Expect(begun).To(gomega.BeTrue())
}

// A version that is the only one is used at once; a daemon that does not know whether it is waits.
func TestVersionIsUsedAtOnceIfItIsTheOnlyOne(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prepare func(h *Host)
		version string
		settled bool
	}{
		{"the only one", func(*Host) {}, "v1", true},
		{"new", func(h *Host) { h.roster.Put(roster.Entry{ID: "b", Service: "llm", Version: "v2"}) }, "v2", false},
		{"new, known for long", func(h *Host) {
			h.roster.Put(roster.Entry{ID: "b", Service: "llm", Version: "v2"})
			clock.Suspend(versionSettleTime)
		}, "v2", true},
		{"the former one has just gone", func(h *Host) {
			h.roster.Put(roster.Entry{ID: "b", Service: "llm", Version: "v2"})
			h.roster.RemoveUnusable("a")
		}, "v2", false},
		{"the only one, after a start without peers", func(h *Host) { h.restartVersionWatch(0) }, "v1", true},
		{"another service's", func(h *Host) { h.roster.Put(roster.Entry{ID: "b", Service: "other", Version: "v2"}) }, "v1", true},
		{"gone for longer than others may be behind", func(h *Host) {
			h.roster.Put(roster.Entry{ID: "b", Service: "llm", Version: "v2"})
			h.roster.RemoveUnusable("b")
			clock.Suspend(maxVersionAbsence + time.Second)
			h.roster.Put(roster.Entry{ID: "b2", Service: "llm", Version: "v2"})
		}, "v2", false},
		{"gone for a moment", func(h *Host) {
			h.roster.Put(roster.Entry{ID: "b", Service: "llm", Version: "v2"})
			clock.Suspend(versionSettleTime)
			h.roster.RemoveUnusable("b")
			h.roster.Put(roster.Entry{ID: "b2", Service: "llm", Version: "v2"})
		}, "v2", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			h := newTestHost(t)
			tc.prepare(h)
			g.Expect(h.untilSettled("llm", tc.version) == 0).To(gomega.Equal(tc.settled))
		})
	}
}

// refresh records that the copy of the store's values is current.
func (h *Host) refresh(now clock.Time) {
	h.watchCache.ApplyChanges([]plat.Change{{Pair: plat.Pair{Key: "a", ModRevision: h.watchCache.Revision() + 1}}}, h.watchCache.Revision()+1, now)
}

// A platform that says nothing of a first start has started before.
func TestFirstStartIsFalseIfNotSaid(t *testing.T) {
	g := gomega.NewWithT(t)
	s, err := ParseSettings([]byte("name: b\ndomain: z\ncallers: 10.0.0.1:1\nreadiness: 10.0.0.1:2\npeers: 10.0.0.1:3\nmetrics: 10.0.0.1:4\nstore: 10.0.0.9:1\nmemoryMB: 64\nfirstStart: \n"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.FirstStart).To(gomega.BeFalse())
}
