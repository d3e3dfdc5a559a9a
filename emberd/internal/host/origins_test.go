package host

import (
	"testing"

	"github.com/onsi/gomega"

	"embertally.dev/core/clock"
	"embertally.dev/core/origin"
	"embertally.dev/core/plat"
	"embertally.dev/core/roster"
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
		{"just started, a peer has proven it", false, func(h *Host) { h.versionWatch.inherit("llm") }, origin.Sole},
		{"proven for another service", false, func(h *Host) { h.versionWatch.inherit("other") }, origin.Unproven},
		{"has run for long", false, func(h *Host) { h.refresh(clock.Now()); clock.Suspend(origin.Retention); h.refresh(clock.Now()) }, origin.Sole},
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
