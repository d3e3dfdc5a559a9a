package host

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/bugs"
	"embertally.dev/core/clock"
	"embertally.dev/core/plat"
	"embertally.dev/core/poison"
)

// newHost returns a daemon that is not running.
func newHost(t *testing.T) (*gomega.WithT, *Host) {
	g := gomega.NewWithT(t)
	settings, err := ParseSettings([]byte(validSettings))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	h := New(settings)
	h.workCtx = t.Context()
	// Its spool stays open, since the end of an evacuation that the store lost is logged some time later.
	return g, h
}

// newCurrentHost returns a daemon whose watch cache has just been updated.
func newCurrentHost(t *testing.T) (*gomega.WithT, *Host) {
	g, h := newHost(t)
	h.watchCache.ApplyChanges([]plat.Change{{Pair: plat.Pair{Key: "a", ModRevision: 1}}}, 1, clock.Now())
	return g, h
}

// unfetched returns a change of a key whose value has not been received yet.
func unfetched(key string, revision int64) plat.Change {
	return plat.Change{Pair: plat.Pair{Key: key, ModRevision: revision}, Unfetched: true}
}

// A daemon that is waiting for a newer configuration must not claim that something does not exist:
// the newer one may contain it.
func TestConfigIsNotCurrentUntilANewerOneArrives(t *testing.T) {
	g, h := newCurrentHost(t)
	g.Expect(h.configCurrent()).To(gomega.BeTrue())
	h.watchCache.ApplyChanges([]plat.Change{unfetched("a", 2)}, 2, clock.Now())
	g.Expect(h.configCurrent()).To(gomega.BeFalse())
	h.watchCache.ApplyFetched(plat.Pair{Key: "a", ModRevision: 2})
	g.Expect(h.configCurrent()).To(gomega.BeTrue())
}

// A configuration must not be used for too long after it is known to have been replaced.
func TestConfigIsOverdueIfANewerOneDoesNotArrive(t *testing.T) {
	g, h := newCurrentHost(t)
	since := h.watchCache.CurrentAsOf()
	maxAge := h.settings.Bounds.OldConfiguration
	h.watchCache.ApplyChanges([]plat.Change{unfetched("a", 2)}, 2, since.Add(maxAge/4))
	g.Expect(h.configOverdue(since.Add(maxAge / 4))).To(gomega.BeZero())
	g.Expect(h.configOverdue(since.Add(maxAge))).To(gomega.Equal(maxAge), "the time counts from when the applied one was last known to be current")
	h.watchCache.ApplyChanges([]plat.Change{unfetched("a", 3)}, 3, since.Add(maxAge/2))
	g.Expect(h.configOverdue(since.Add(maxAge))).To(gomega.Equal(maxAge), "a second change that has not arrived changes nothing")
	h.watchCache.ApplyFetched(plat.Pair{Key: "a", ModRevision: 2})
	g.Expect(h.configOverdue(since.Add(maxAge))).To(gomega.BeZero(), "the first one was current a quarter of the bound later")
	g.Expect(h.configOverdue(since.Add(2 * maxAge))).To(gomega.Equal(2*maxAge - maxAge/4))
	h.watchCache.ApplyFetched(plat.Pair{Key: "a", ModRevision: 3})
	g.Expect(h.configOverdue(since.Add(2 * maxAge))).To(gomega.BeZero())
}

func TestDaemonBehindItsPeersServesByNoOldConfiguration(t *testing.T) {
	_, h := newHost(t)
	maxAge := h.settings.Bounds.OldConfiguration
	tests := []struct {
		name string
		// own and peer are the ages of the watch caches; a negative one stands for a peer that reports none.
		own, peer time.Duration
		// reached is for how long the peer has not reached the store; 0 stands for a peer that does not.
		reached time.Duration
		overdue bool
	}{
		{"fresh", maxAge / 2, 0, 0, false},
		{"old, no peer known", 2 * maxAge, -1, 0, false},
		{"old, the peer as well", 2 * maxAge, 2 * maxAge, 0, false},
		{"old, the peer over the bound as well", 2 * maxAge, maxAge + time.Second, 0, false},
		{"old, the peer fresh", 2 * maxAge, 0, 0, true},
		{"old, the peer as well, but it reaches the store", 2 * maxAge, 2 * maxAge, time.Millisecond, true},
		{"old, the peer reached the store until its copy became old", 2 * maxAge, 2 * maxAge, 2*maxAge - time.Second, false},
		{"old, the store has been away for longer than the bound", 4 * maxAge, 4 * maxAge, 2 * maxAge, false},
		{"fresh, the peer reaches the store", maxAge / 2, 2 * maxAge, time.Millisecond, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g, h := newHost(t)
			now := clock.Now()
			h.watchCache.ApplyChanges([]plat.Change{{Pair: plat.Pair{Key: "a", ModRevision: 1}}}, 1, now.Add(-tc.own))
			if tc.peer >= 0 {
				age, err := msgpack.Marshal([]int64{tc.peer.Milliseconds()})
				g.Expect(err).NotTo(gomega.HaveOccurred())
				h.watchCacheSync.Receive("peer", age)
				h.watchCacheSync.RecordPeerReach(now, tc.reached.Milliseconds())
			}
			g.Expect(h.configOverdue(now) > 0).To(gomega.Equal(tc.overdue))
			g.Expect(h.behindPeers(now) > 0).To(gomega.Equal(tc.overdue))
		})
	}
}

// The time of a system suspend counts towards the age of the watch cache and of replaced weights.
// Without that, a resumed daemon would claim that a key does not exist, or let prompt segments be
// copied, on the basis of an old view.
func TestViewAgesDuringASystemSuspend(t *testing.T) {
	g, h := newCurrentHost(t)
	h.desired.Name("m", 1, clock.Now())
	h.desired.Name("m", 2, clock.Now())
	g.Expect(h.configCurrent()).To(gomega.BeTrue())
	clock.Suspend(h.settings.Bounds.StoreSilence)
	g.Expect(h.configCurrent()).To(gomega.BeFalse())
	g.Expect(h.viewAge()).To(gomega.BeNumerically(">=", h.settings.Bounds.StoreSilence))
	g.Expect(h.desired.ReplacedFor("m", 1)).To(gomega.BeNumerically(">=", h.settings.Bounds.StoreSilence))
	h.watchCache.ApplyChanges(nil, 1, clock.Now())
	g.Expect(h.configCurrent()).To(gomega.BeTrue())
}

// A change whose handler panics is reported and skipped. All daemons read the same changes, so
// otherwise all would crash, and again at each start.
func TestAChangeThatPanicsIsSkipped(t *testing.T) {
	g, h := newCurrentHost(t)
	reported := 0
	t.Cleanup(bugs.Handle(func(string, []byte) { reported++ }))
	guard := h.poison
	h.poison = nil // makes the handler of the first change panic
	h.applyChanges([]plat.Change{{Pair: plat.Pair{Key: poison.BlockPrefix + "00"}}, {Pair: plat.Pair{Key: "op/evacuate/z1"}}})
	h.poison = guard
	g.Expect(reported).To(gomega.Equal(1))
	_, evacuated := h.roster.Evacuated("z1", time.Now())
	g.Expect(evacuated).To(gomega.BeTrue(), "later changes are applied")
}

// A configuration that has arrived and is still being decoded is not applied: a box with a small share of a
// core needs long for a megabyte, and no peer need know more than this daemon.
func TestConfigIsOverdueWhileANewerOneIsApplied(t *testing.T) {
	g, h := newHost(t)
	maxAge := h.settings.Bounds.OldConfiguration
	start := clock.Now()
	var during, later time.Duration
	h.watchCache.Observe(func(changes []plat.Change) {
		if changes[0].ModRevision == 2 {
			during, later = h.configOverdue(start.Add(maxAge/4)), h.configOverdue(start.Add(maxAge))
		}
	})
	change := func(revision int64) []plat.Change {
		return []plat.Change{{Pair: plat.Pair{Key: "a", ModRevision: revision}}}
	}
	h.watchCache.ApplyChanges(change(1), 1, start)
	h.watchCache.ApplyChanges(change(2), 2, start.Add(maxAge/2))
	g.Expect(during).To(gomega.BeZero())
	g.Expect(later).To(gomega.Equal(maxAge))
	g.Expect(h.configOverdue(start.Add(maxAge))).To(gomega.BeZero())
}
