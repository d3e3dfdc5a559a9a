package host

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/bugs"
	"embertally.dev/core/clock"
	"embertally.dev/core/plat"
	"embertally.dev/core/poison"
)

// newHost returns a daemon that does not run.
func newHost(t *testing.T) (*gomega.WithT, *Host) {
	g := gomega.NewWithT(t)
	set, err := ParseSettings([]byte(good))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	h := New(set)
	h.work = t.Context()
	t.Cleanup(h.spool.Close)
	return g, h
}

// known returns a daemon that has just heard from a peer what the store holds.
func known(t *testing.T) (*gomega.WithT, *Host) {
	g, h := newHost(t)
	h.mirror.Take([]plat.Change{{Pair: plat.Pair{Key: "a", ModRevision: 1}}}, 1, clock.Now())
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
	h.mirror.Take([]plat.Change{late("a", 2)}, 2, clock.Now())
	g.Expect(h.current()).To(gomega.BeFalse())
	h.mirror.Arrive(plat.Pair{Key: "a", ModRevision: 2})
	g.Expect(h.current()).To(gomega.BeTrue())
}

// Nothing is handled by a configuration that is known to be replaced for too long.
func TestADaemonThatLacksANewerConfigurationForLongTakesNothing(t *testing.T) {
	g, h := known(t)
	h.mirror.Take([]plat.Change{late("a", 2)}, 2, clock.Now())
	since := h.mirror.LateSince()
	bound := h.set.Bounds.Configuration
	g.Expect(h.lacks(since.Add(bound / 4))).To(gomega.BeZero())
	g.Expect(h.lacks(since.Add(bound))).To(gomega.Equal(bound))
	h.mirror.Take([]plat.Change{late("a", 3)}, 3, clock.Now())
	g.Expect(h.lacks(since.Add(bound))).To(gomega.Equal(bound), "a still newer one is no news")
	h.mirror.Arrive(plat.Pair{Key: "a", ModRevision: 3})
	g.Expect(h.lacks(since.Add(bound))).To(gomega.BeZero())
}

// What a daemon knew before its machine was suspended is as old as the suspension was long:
// it says neither that a key does not exist, nor that parts may be copied, before it has heard
// again. Weights that were replaced are older, too.
func TestKnowledgeAgesWhileTheMachineIsSuspended(t *testing.T) {
	g, h := known(t)
	h.named.set("m", 1)
	h.named.set("m", 2)
	g.Expect(h.current()).To(gomega.BeTrue())
	clock.Suspend(h.set.Bounds.Contact)
	g.Expect(h.current()).To(gomega.BeFalse())
	g.Expect(h.age()).To(gomega.BeNumerically(">=", h.set.Bounds.Contact))
	g.Expect(h.named.age("m", 1)).To(gomega.BeNumerically(">=", h.set.Bounds.Contact))
	h.mirror.Take(nil, 1, clock.Now())
	g.Expect(h.current()).To(gomega.BeTrue())
}

// A change that meets a state which the program rules out is passed over, and the daemon goes
// on: else all daemons end of it, and again at each start.
func TestAChangeThatWouldEndItsReaderIsPassedOver(t *testing.T) {
	g, h := known(t)
	reported := 0
	t.Cleanup(bugs.Handle(func(string, []byte) { reported++ }))
	guard := h.poison
	h.poison = nil // what a change meets that nobody thought of
	h.observe([]plat.Change{{Pair: plat.Pair{Key: poison.KeyBlocks + "00"}}, {Pair: plat.Pair{Key: "op/evacuate/z1"}}})
	h.poison = guard
	g.Expect(reported).To(gomega.Equal(1))
	_, evacuated := h.roster.Evacuated("z1", time.Now())
	g.Expect(evacuated).To(gomega.BeTrue(), "the changes after it are taken")
}
