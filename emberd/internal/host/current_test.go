package host

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/plat"
)

// known returns a daemon that has just heard from a peer what the store holds.
func known(t *testing.T) (*gomega.WithT, *Host) {
	g := gomega.NewWithT(t)
	set, err := ParseSettings([]byte(good))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	h := New(set)
	t.Cleanup(h.spool.Close)
	h.mirror.Take([]plat.Change{{Pair: plat.Pair{Key: "a", ModRevision: 1}}}, 1, time.Now())
	return g, h
}

// late is a change of a key whose value is not there yet.
func late(key string, revision int64) plat.Change {
	return plat.Change{Pair: plat.Pair{Key: key, ModRevision: revision}, Late: true}
}

// What a newer configuration may hold must not be said not to exist.
func TestADaemonThatLacksANewerConfigurationIsNotCurrent(t *testing.T) {
	g, h := known(t)
	g.Expect(h.current()).To(gomega.BeTrue())
	h.mirror.Take([]plat.Change{late("a", 2)}, 2, time.Now())
	g.Expect(h.current()).To(gomega.BeFalse())
	h.mirror.Arrive(plat.Pair{Key: "a", ModRevision: 2})
	g.Expect(h.current()).To(gomega.BeTrue())
}

// Nothing is handled by a configuration that is known to be replaced for too long.
func TestADaemonThatLacksANewerConfigurationForLongTakesNothing(t *testing.T) {
	g, h := known(t)
	h.mirror.Take([]plat.Change{late("a", 2)}, 2, time.Now())
	since := h.mirror.LateSince()
	bound := h.set.Bounds.Configuration
	g.Expect(h.lacks(since.Add(bound / 4))).To(gomega.BeZero())
	g.Expect(h.lacks(since.Add(bound))).To(gomega.Equal(bound))
	h.mirror.Take([]plat.Change{late("a", 3)}, 3, time.Now())
	g.Expect(h.lacks(since.Add(bound))).To(gomega.Equal(bound), "a still newer one is no news")
	h.mirror.Arrive(plat.Pair{Key: "a", ModRevision: 3})
	g.Expect(h.lacks(since.Add(bound))).To(gomega.BeZero())
}
