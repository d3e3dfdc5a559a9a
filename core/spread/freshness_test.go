package spread

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/memkv"
	"embertally.dev/core/plat"
)

// A daemon whose own cell has no fresher copy learns from another cell that there is one, or that the store
// can be reached: otherwise the cell would go on by an old configuration as if the store were down.
func TestDaemonLearnsFromOtherCellsThatItsCopyIsOld(t *testing.T) {
	const maxAge = 3 * time.Second
	tests := []struct {
		name string
		// other is the age of the other daemon's copy, and reached for how long it has not reached the store;
		// 0 stands for never.
		other, reached time.Duration
		newer          bool
	}{
		{"the other copy is fresh", 0, 0, true},
		{"the other copy is as old", 2 * maxAge, 0, false},
		{"the other copy is fresher, and over the bound as well", maxAge + time.Second, 0, false},
		{"the other copy is as old, the store was reachable since", 2 * maxAge, time.Second, true},
		{"the other copy is as old, the store was reachable until then", 2 * maxAge, 2*maxAge - time.Second, false},
		{"the other copy is as old, the store has been away for longer than the bound", 2 * maxAge, maxAge + time.Millisecond, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			asker, other := twoDaemons(t)
			now := clock.Now()
			asker.watchCache.ApplyChanges(nil, 1, now.Add(-2*maxAge))
			other.watchCache.ApplyChanges(nil, 1, now.Add(-tc.other))
			if tc.reached > 0 {
				other.RecordPeerReach(now, tc.reached.Milliseconds())
			}
			g.Expect(asker.KnowsNewer(now, maxAge)).To(gomega.BeFalse())
			g.Eventually(func() bool {
				asker.askFreshness(t.Context(), "other")
				return !asker.FreshestPeerCopy().IsZero()
			}, "20s", "10ms").Should(gomega.BeTrue())
			g.Expect(asker.KnowsNewer(now, maxAge)).To(gomega.Equal(tc.newer))
		})
	}
}

// twoDaemons returns two running fleet members, "asker" and "other".
func twoDaemons(t *testing.T) (asker, other *WatchCacheSync) {
	var listeners []net.Listener
	var seeds []fleet.Peer
	for _, name := range []string{"asker", "other"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
		listeners = append(listeners, l)
		seeds = append(seeds, fleet.Peer{Name: name, Address: l.Addr().String()})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	var out []*WatchCacheSync
	for i, p := range seeds {
		log := &event.Log{}
		f := fleet.New(fleet.Options{
			Name: p.Name, Incarnation: p.Name + "-1", Seeds: seeds, HeartbeatInterval: 50 * time.Millisecond,
			SuspectAfter: 5 * time.Second, Log: log,
		})
		out = append(out, NewWatchCacheSync(plat.NewWatchCache(&memkv.KV{}, plat.Prefix(""), log), f, log))
		wg.Go(func() { f.Run(ctx, listeners[i]) })
	}
	return out[0], out[1]
}

// After an outage the store counts as reachable only when changes have had time to arrive.
func TestStoreIsReachableAgainAfterAWhile(t *testing.T) {
	g := gomega.NewWithT(t)
	w := plat.NewWatchCache(&memkv.KV{}, plat.Prefix(""), &event.Log{})
	g.Expect(w.SteadyReach().IsZero()).To(gomega.BeTrue())
	w.RecordReach()
	g.Expect(w.SteadyReach().IsZero()).To(gomega.BeTrue(), "just reached")
	clock.Suspend(2 * time.Second)
	w.RecordReach()
	g.Expect(clock.Since(w.SteadyReach())).To(gomega.BeNumerically("<", time.Second))
	clock.Suspend(10 * time.Second)
	w.RecordReach()
	g.Expect(w.SteadyReach().IsZero()).To(gomega.BeTrue(), "an outage has just ended")
}

// A daemon that has its copy from a peer, since the store never answered it, must tell others that it has one:
// a daemon that starts while the store is away would find nobody to ask.
func TestDaemonWithACopyFromAPeerReportsItsAge(t *testing.T) {
	g := gomega.NewWithT(t)
	asker, _ := twoDaemons(t)
	g.Expect(asker.Collect(true)).To(gomega.BeNil(), "without a copy")
	asker.watchCache.ApplyChanges(nil, 1, clock.Now())
	g.Expect(asker.Collect(true)).NotTo(gomega.BeNil())
}
