package host

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/clock"
	"embertally.dev/core/plat"
)

// configured is a configuration of a version as operators write it.
func configured(version string, revision int64) plat.Pair {
	return plat.Pair{Key: "op/config", ModRevision: revision, Value: []byte(`{"Version":` + version + `,"Services":[{"Name":"app","MaxConns":9}],` +
		`"Limits":{"MaxBodyBytes":9,"IdleTimeoutMs":9},"Tenants":[{"Name":"org","ApiKeys":["k"],"Priority":1}]}`)}
}

// take gives a daemon a whole copy of the store.
func take(h *Host, revision int64, pairs ...plat.Pair) {
	var changes []plat.Change
	for _, p := range pairs {
		changes = append(changes, plat.Change{Pair: p})
	}
	h.mirror.TakeAll(changes, revision, "", "", clock.Now())
}

func TestTheFirstConfigurationIsInForceAtOnceWhereTheStoreNamesNoEra(t *testing.T) {
	g, h := newHost(t)
	take(h, 1, configured("3", 1))
	g.Expect(h.relay.Table().Version()).To(gomega.Equal(int64(3)))
}

func TestTheFirstConfigurationOfAStoreWithErasWaitsUntilPeersWereAsked(t *testing.T) {
	g, h := newHost(t)
	take(h, plat.Revision(1, 1), configured("3", plat.Revision(1, 1)))
	g.Expect(h.relay.Table()).To(gomega.BeNil())
	g.Expect(h.notReady()).NotTo(gomega.BeEmpty())
	// What a peer tells meanwhile is in force at once, and stays.
	h.takeInForce(configured("5", 0))
	g.Expect(h.relay.Table().Version()).To(gomega.Equal(int64(5)))
	h.askInForce(context.Background())
	g.Expect(h.relay.Table().Version()).To(gomega.Equal(int64(5)))
	// What the store tells afterwards does not wait.
	h.mirror.Take([]plat.Change{{Pair: configured("6", plat.Revision(1, 2))}}, plat.Revision(1, 2), clock.Now())
	g.Expect(h.relay.Table().Version()).To(gomega.Equal(int64(6)))
}

func TestTheFirstConfigurationDoesNotWaitWhereNoPeerIsKnown(t *testing.T) {
	g, h := newHost(t)
	take(h, plat.Revision(1, 1), configured("3", plat.Revision(1, 1)))
	g.Expect(h.askInForce(context.Background())).To(gomega.BeTrue())
	g.Expect(h.relay.Table().Version()).To(gomega.Equal(int64(3)))
}

func TestWhatOperatorsAskedForIsTakenFromAPeer(t *testing.T) {
	g, h := newHost(t)
	h.takeInForce(plat.Pair{Key: "op/rollout/app", Value: []byte(`{"Service":"app","TargetVersion":"v2","DurationS":20}`), ModRevision: 7})
	g.Expect(h.canary.Undecided()).To(gomega.Equal(1))
	h.takeInForce(plat.Pair{Key: "op/evacuate/z1"})
	_, evacuated := h.roster.Evacuated("z1", time.Now())
	g.Expect(evacuated).To(gomega.BeTrue())
	h.takeInForce(plat.Pair{Key: "op/version/m", Value: []byte(`{"Model":"m","Version":4}`)})
	g.Expect(h.named.version("m")).To(gomega.Equal(int64(4)))
}

func TestAPeersUnreadableValueChangesNothing(t *testing.T) {
	g, h := newHost(t)
	take(h, 1, configured("3", 1))
	for _, p := range []plat.Pair{
		{Key: "op/config", Value: []byte("{")},
		{Key: "op/config", Value: []byte(`{"Version":9,"Routes":7}`)},
		{Key: "op/rollout/app", Value: []byte("x")},
		{Key: "op/version/m", Value: []byte("[]")},
		{Key: "servers/i-1", Value: []byte("{}")},
		{Key: "other"},
	} {
		h.takeInForce(p)
	}
	g.Expect(h.relay.Table().Version()).To(gomega.Equal(int64(3)))
	g.Expect(h.canary.Undecided()).To(gomega.BeZero())
	g.Expect(h.named.version("m")).To(gomega.BeZero())
}
