package host

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/clock"
	"embertally.dev/core/plat"
)

// configPair returns a configuration as operators write it to the store.
func configPair(version string, revision int64) plat.Pair {
	return plat.Pair{Key: "op/config", ModRevision: revision, Value: []byte(`{"Version":` + version + `,"Services":[{"Name":"app","MaxConns":9}],` +
		`"Limits":{"MaxBodyBytes":9,"IdleTimeoutMs":9},"Tenants":[{"Name":"org","ApiKeys":["k"],"Priority":1}]}`)}
}

// applyFullCopy gives the daemon's watch cache a full copy of the store.
func applyFullCopy(h *Host, revision int64, pairs ...plat.Pair) {
	var changes []plat.Change
	for _, p := range pairs {
		changes = append(changes, plat.Change{Pair: p})
	}
	h.watchCache.ApplySnapshot(changes, revision, "", "", clock.Now())
}

// Only a store that reports its incarnation may have been restored from a copy.
func TestFirstConfigIsAppliedAtOnceIfTheStoreReportsNoIncarnation(t *testing.T) {
	g, h := newHost(t)
	applyFullCopy(h, 1, configPair("3", 1))
	g.Expect(h.relay.Table().Version()).To(gomega.Equal(int64(3)))
}

// A restored store may hold an older configuration than one that peers have applied.
func TestFirstConfigOfAStoreWithIncarnationsWaitsForThePeers(t *testing.T) {
	g, h := newHost(t)
	applyFullCopy(h, plat.Revision(1, 1), configPair("3", plat.Revision(1, 1)))
	g.Expect(h.relay.Table()).To(gomega.BeNil())
	g.Expect(h.notReadyReason()).NotTo(gomega.BeEmpty())
	// A peer's newer configuration is applied at once, and stays applied.
	h.receivePeerValue(configPair("5", 0))
	g.Expect(h.relay.Table().Version()).To(gomega.Equal(int64(5)))
	h.pullApplied(context.Background())
	g.Expect(h.relay.Table().Version()).To(gomega.Equal(int64(5)))
	// Later configurations of the store are applied at once.
	h.watchCache.ApplyChanges([]plat.Change{{Pair: configPair("6", plat.Revision(1, 2))}}, plat.Revision(1, 2), clock.Now())
	g.Expect(h.relay.Table().Version()).To(gomega.Equal(int64(6)))
}

func TestFirstConfigIsAppliedIfThereAreNoPeers(t *testing.T) {
	g, h := newHost(t)
	applyFullCopy(h, plat.Revision(1, 1), configPair("3", plat.Revision(1, 1)))
	g.Expect(h.pullApplied(context.Background())).To(gomega.BeTrue())
	g.Expect(h.relay.Table().Version()).To(gomega.Equal(int64(3)))
}

func TestOperatorsRequestsAreAppliedFromAPeer(t *testing.T) {
	g, h := newHost(t)
	h.receivePeerValue(plat.Pair{Key: "op/rollout/app", Value: []byte(`{"Service":"app","TargetVersion":"v2","DurationS":20}`), ModRevision: 7})
	g.Expect(h.canary.Undecided()).To(gomega.Equal(1))
	h.receivePeerValue(plat.Pair{Key: "op/evacuate/z1"})
	_, evacuated := h.roster.Evacuated("z1", time.Now())
	g.Expect(evacuated).To(gomega.BeTrue())
	h.receivePeerValue(plat.Pair{Key: "op/version/m", Value: []byte(`{"Model":"m","Version":4}`)})
	g.Expect(h.desired.Newest("m")).To(gomega.Equal(int64(4)))
}

func TestEvacuationOutlivesASecondRestoreByTheWholeGrace(t *testing.T) {
	g, h := newHost(t)
	evacuated := func() bool {
		_, on := h.roster.Evacuated("z1", time.Now())
		return on
	}
	evacuation := plat.Pair{Key: "op/evacuate/z1", ModRevision: plat.Revision(1, 1)}
	applyFullCopy(h, plat.Revision(1, 1), evacuation)
	applyFullCopy(h, plat.Revision(2, 1))
	clock.Suspend(restoredGrace)
	applyFullCopy(h, plat.Revision(3, 1))
	h.endEvacuation("z1", evacuation.Key)
	g.Expect(evacuated()).To(gomega.BeTrue(), "the store was just restored again")
	clock.Suspend(restoredGrace)
	applyFullCopy(h, plat.Revision(3, 1))
	h.endEvacuation("z1", evacuation.Key)
	g.Expect(evacuated()).To(gomega.BeFalse())
}

// A box that lost the store right after it had been restored could not see operators write an evacuation again, and ended
// it as one that they had not.
func TestEvacuationDoesNotEndWhileTheStoreIsOutOfReach(t *testing.T) {
	evacuation := plat.Pair{Key: "op/evacuate/z1", ModRevision: plat.Revision(1, 1)}
	again := plat.Pair{Key: evacuation.Key, ModRevision: plat.Revision(2, 2)}
	tests := []struct {
		name string
		// reached is how long after the restore the store was last reached, and cut for how long it is not reached then.
		reached, cut time.Duration
		// after is what the store holds when it is reached again; nil if it is not.
		after func(h *Host)
		want  bool // the domain is still evacuated
	}{
		{"the store is reached all the time", restoredGrace, 0, nil, false},
		{"out of reach since the restore", 0, restoredGrace, nil, true},
		{"out of reach since half of the time", restoredGrace / 2, time.Minute, nil, true},
		{"out of reach meanwhile, not written again", restoredGrace / 2, time.Minute, func(h *Host) { applyFullCopy(h, plat.Revision(2, 1)) }, false},
		{"out of reach meanwhile, written again", restoredGrace / 2, time.Minute, func(h *Host) { applyFullCopy(h, plat.Revision(2, 2), again) }, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g, h := newHost(t)
			applyFullCopy(h, plat.Revision(1, 1), evacuation)
			applyFullCopy(h, plat.Revision(2, 1))
			clock.Suspend(tc.reached)
			applyFullCopy(h, plat.Revision(2, 1))
			clock.Suspend(tc.cut)
			if tc.after != nil {
				tc.after(h)
			}
			h.endEvacuation("z1", evacuation.Key)
			_, on := h.roster.Evacuated("z1", time.Now())
			g.Expect(on).To(gomega.Equal(tc.want))
		})
	}
}

func TestInvalidValuesFromAPeerAreIgnored(t *testing.T) {
	g, h := newHost(t)
	applyFullCopy(h, 1, configPair("3", 1))
	for _, p := range []plat.Pair{
		{Key: "op/config", Value: []byte("{")},
		{Key: "op/config", Value: []byte(`{"Version":9,"Routes":7}`)},
		{Key: "op/rollout/app", Value: []byte("x")},
		{Key: "op/version/m", Value: []byte("[]")},
		{Key: "servers/i-1", Value: []byte("{}")},
		{Key: "other"},
	} {
		h.receivePeerValue(p)
	}
	g.Expect(h.relay.Table().Version()).To(gomega.Equal(int64(3)))
	g.Expect(h.canary.Undecided()).To(gomega.BeZero())
	g.Expect(h.desired.Newest("m")).To(gomega.BeZero())
}
