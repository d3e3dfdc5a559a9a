package spread

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/memkv"
	"embertally.dev/core/plat"
	"embertally.dev/core/testip"
	"embertally.dev/core/wire"
)

// A daemon whose own cell has no fresher copy learns from a watch relay that there is one, or that the store
// can be reached: otherwise the cell would go on by an old configuration as if the store were down. The relay
// is of another cell, so that no heartbeat tells of it.
func TestDaemonLearnsFromOtherCellsThatItsCopyIsOld(t *testing.T) {
	const maxAge = 3 * time.Second
	tests := []struct {
		name string
		// relay is the age of the relay's copy, and reached for how long it has not reached the store; 0 stands
		// for never.
		relay, reached time.Duration
		newer          bool
	}{
		{"the relay's copy is fresh", 0, 0, true},
		{"the relay's copy is as old", 2 * maxAge, 0, false},
		{"the relay's copy is fresher, and over the bound as well", maxAge + time.Second, 0, false},
		{"the relay's copy is as old, the store was reachable since", 2 * maxAge, time.Second, true},
		{"the relay's copy is as old, the store was reachable until then", 2 * maxAge, 2*maxAge - time.Second, false},
		{"the relay's copy is as old, the store has been away for longer than the bound", 2 * maxAge, maxAge + time.Millisecond, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			scripted := freshness{AgeMillis: ageMillis(tc.relay), ReachedMillis: tc.reached.Milliseconds()}
			asker, _ := twoDaemons(t, func(other *wire.Mux) {
				other.Register(kindFreshness, wire.Handle(func(context.Context, string, *struct{}) (*freshness, error) {
					return &scripted, nil
				}))
			})
			now := clock.Now()
			asker.watchCache.ApplyChanges(nil, 1, now.Add(-2*maxAge))
			g.Expect(asker.KnowsNewer(now, maxAge)).To(gomega.BeFalse())
			g.Eventually(func() bool {
				asker.askFreshness(t.Context(), "other")
				return !asker.FreshestPeerCopy().IsZero()
			}, "20s", "10ms").Should(gomega.BeTrue())
			g.Expect(asker.KnowsNewer(now, maxAge)).To(gomega.Equal(tc.newer))
		})
	}
}

// A daemon whose copy is old asks several relays at once: the first may not respond, and the users' bound is
// over a second later. With a fresh copy it asks nobody.
func TestDaemonWithAnOldCopyAsksRelays(t *testing.T) {
	tests := []struct {
		name string
		age  time.Duration
		asks bool
	}{
		{"old", staleAfter + time.Second, true},
		{"fresh", 0, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var asked, atOnce, most atomic.Int64
			peer, _ := twoDaemons(t, func(other *wire.Mux) {
				other.Register(kindFreshness, wire.Handle(func(context.Context, string, *struct{}) (*freshness, error) {
					asked.Add(1)
					most.Store(max(most.Load(), atOnce.Add(1)))
					defer atOnce.Add(-1)
					time.Sleep(freshnessTimeout / 4)
					return &freshness{AgeMillis: 1}, nil
				}))
			})
			var seeds []fleet.Peer
			for i := range 48 {
				seeds = append(seeds, fleet.Peer{Name: fmt.Sprintf("d%02d", i), Address: peer.fleet.View().Peers()[0].Address, Domain: fmt.Sprintf("z%d", i%3)})
			}
			log := &event.Log{}
			asker := NewWatchCacheSync(plat.NewWatchCache(&memkv.KV{}, plat.Prefix(""), log), fleet.New(fleet.Options{Name: "d00", Domain: "z0", Seeds: seeds, Log: log}), log)
			asker.watchCache.ApplyChanges(nil, 1, clock.Now().Add(-tc.age))
			ctx, cancel := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			t.Cleanup(func() { cancel(); wg.Wait() })
			wg.Go(func() { asker.freshnessLoop(ctx) })
			if tc.asks {
				g.Eventually(asker.FreshestPeerCopy, "20s", "10ms").ShouldNot(gomega.Equal(clock.Time{}))
				g.Eventually(most.Load, "20s", "10ms").Should(gomega.Equal(int64(freshnessRelays)))
			} else {
				g.Consistently(asked.Load, 2*freshnessInterval, "10ms").Should(gomega.BeZero())
			}
		})
	}
}

func TestRelayReportsItsCopyAndWhenItReachedTheStore(t *testing.T) {
	g := gomega.NewWithT(t)
	_, relay := twoDaemons(t, nil)
	relay.watchCache.ApplyChanges(nil, 1, clock.Now().Add(-time.Minute))
	got, err := relay.handleFreshness(t.Context(), "asker", nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got.AgeMillis).To(gomega.BeNumerically("~", 60_000, 5_000))
	g.Expect(got.ReachedMillis).To(gomega.BeZero(), "never")
	relay.RecordPeerReach(clock.Now(), 1)
	got, err = relay.handleFreshness(t.Context(), "asker", nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got.ReachedMillis).To(gomega.BeNumerically("~", 1, 5_000))
	g.Expect(got.ReachedMillis).To(gomega.BeNumerically(">", 0))
}

// Where the daemons of a cell that request its changes from watch relays do not provide them, others do so
// before the users' bound is over, but not all: each relay would have as many clients as there are daemons.
func TestStandbysOfACellRequestChangesFromRelays(t *testing.T) {
	const daemons = 48
	tests := []struct {
		name string
		age  time.Duration
		want int
	}{
		{"fresh", 0, watchersPerCell},
		{"old", staleAfter + 100*time.Millisecond, watchersPerCell + standbysPerRound},
		{"very old", 10 * staleAfter, watchersPerCell + maxStandbyRounds*standbysPerRound},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var seeds []fleet.Peer
			for i := range daemons {
				seeds = append(seeds, fleet.Peer{Name: fmt.Sprintf("d%02d", i), Address: "127.0.0.1:1", Domain: "z1"})
			}
			pulling, cells := map[int]int{}, 0
			for _, p := range seeds {
				log := &event.Log{}
				f := fleet.New(fleet.Options{Name: p.Name, Domain: "z1", Seeds: seeds, Log: log})
				s := NewWatchCacheSync(plat.NewWatchCache(&memkv.KV{}, plat.Prefix(""), log), f, log)
				s.watchCache.ApplyChanges(nil, 1, clock.Now().Add(-tc.age))
				cells = f.View().Cells()
				if s.pullsFromRelay() {
					pulling[f.View().Cell()]++
				}
			}
			g.Expect(cells).To(gomega.BeNumerically(">=", minCellsForRelays))
			g.Expect(pulling).To(gomega.HaveLen(cells))
			for _, n := range pulling {
				g.Expect(n).To(gomega.Equal(tc.want))
			}
		})
	}
}

// After a response that was long under way the copy is already old: the next watch is answered so much sooner,
// so that the copy does not age beyond what daemons expect while the store is in reach.
func TestWatchIsHeldForLessAfterALongResponse(t *testing.T) {
	tests := []struct {
		name string
		// age is that of the copy when the response has been applied.
		age  time.Duration
		want time.Duration
	}{
		{"at once", 0, watchWaitSmall},
		{"long under way", time.Second, watchWaitSmall + batchTimeStartup - time.Second},
		{"very long", time.Minute, minWatchWait},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			log := &event.Log{}
			reader := &oneResponse{age: tc.age}
			w := plat.NewWatchCache(reader, plat.Prefix(""), log)
			s := NewWatchCacheSync(w, fleet.New(fleet.Options{Name: "me", Log: log}), log)
			ctx, cancel := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			t.Cleanup(func() { cancel(); wg.Wait() })
			wg.Go(func() { w.Run(ctx) })
			g.Eventually(w.Revision, "10s", "1ms").Should(gomega.Equal(int64(2)))
			g.Expect(s.WatchWait()).To(gomega.BeNumerically("~", tc.want, 100*time.Millisecond))
		})
	}
}

// oneResponse is a store whose watch has one response, which has been under way for age.
type oneResponse struct{ age time.Duration }

func (r *oneResponse) Range(context.Context, plat.Span) ([]plat.Pair, int64, error) {
	return nil, 1, nil
}

func (r *oneResponse) Watch(ctx context.Context, _ plat.Span, _ int64, f func([]plat.Change, int64, clock.Time) error) error {
	// What was read before is older still.
	clock.Suspend(r.age)
	if err := f(nil, 2, clock.Now().Add(-r.age)); err != nil {
		return err
	}
	<-ctx.Done()
	return ctx.Err()
}

// twoDaemons returns two running fleet members, "asker" and "other". Their heartbeats report no copies while
// these are empty. The function register, if not nil, replaces handlers of "other" before it runs.
func twoDaemons(t *testing.T, register func(other *wire.Mux)) (asker, other *WatchCacheSync) {
	var listeners []net.Listener
	var seeds []fleet.Peer
	for _, name := range []string{"asker", "other"} {
		l, err := testip.Listen()
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
		if register != nil && p.Name == "other" {
			register(f.Mux())
		}
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
	asker, _ := twoDaemons(t, nil)
	g.Expect(asker.Collect(true)).To(gomega.BeNil(), "without a copy")
	asker.watchCache.ApplyChanges(nil, 1, clock.Now())
	g.Expect(asker.Collect(true)).NotTo(gomega.BeNil())
}

func TestOutageThatOthersHaveNotSeenIsNoneOfTheStore(t *testing.T) {
	const s = time.Second
	start := clock.Now()
	at := func(d time.Duration) clock.Time { return start.Add(d) }
	tests := []struct {
		name string
		// end and length are those of the outage that this daemon has seen, and reached is when others last reached the
		// store; negative if they did not.
		end, length, reached time.Duration
		wantEnd, wantLength  time.Duration
	}{
		{"nobody has told", 10 * s, 6 * s, -1, 10 * s, 6 * s},
		{"an outage for all", 10 * s, 6 * s, 4 * s, 10 * s, 6 * s},
		{"a short outage for all, which others saw begin later", 10 * s, 2600 * time.Millisecond, 8 * s, 10 * s, 2600 * time.Millisecond},
		{"others reached the store all the while", 10 * s, 6 * s, 10 * s, 8500 * time.Millisecond, 4500 * time.Millisecond},
		{"others reached the store again earlier", 10 * s, 6 * s, 11 * s, 9500 * time.Millisecond, 5500 * time.Millisecond},
		{"others reached the store again at the same time", 10 * s, 6 * s, 11500 * time.Millisecond, 10 * s, 6 * s},
		{"a short one of this daemon", 10 * s, s, 9 * s, 7500 * time.Millisecond, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var reached clock.Time
			if tc.reached >= 0 {
				reached = at(tc.reached)
			}
			end, length := storeOutage(at(tc.end), tc.length, reached)
			g.Expect(end.Sub(start)).To(gomega.Equal(tc.wantEnd))
			g.Expect(length).To(gomega.Equal(tc.wantLength))
		})
	}
}
