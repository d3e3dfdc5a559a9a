package fleet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"embertally.dev/core/clock"
	"embertally.dev/core/conf"
	"embertally.dev/core/event"
	"embertally.dev/core/plat"
	"embertally.dev/core/testip"
)

func names(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("entry-%02d", i)
	}
	return out
}

// When a name is removed, only the keys for which it ranked first move.
func TestFirstMovesOnlyKeysOfRemovedName(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := names(rapid.IntRange(2, 20).Draw(t, "names"))
		removed := rapid.IntRange(0, len(all)-1).Draw(t, "gone")
		others := append(append([]string{}, all[:removed]...), all[removed+1:]...)
		key := rapid.Uint64().Draw(t, "key")
		before, after := First(key, all), First(key, others)
		if before != all[removed] && after != before {
			t.Fatalf("moved from %s to %s though %s was removed", before, after, all[removed])
		}
		if r := Rank(key, all); r[0] != before {
			t.Fatalf("Rank begins with %s, First is %s", r[0], before)
		}
	})
}

func TestFirstSpreadsEvenly(t *testing.T) {
	g := gomega.NewWithT(t)
	counts := map[string]int{}
	for i := range 8000 {
		counts[First(Key(fmt.Sprint("context ", i)), names(8))]++
	}
	for name, n := range counts {
		g.Expect(n).To(gomega.BeNumerically("~", 1000, 150), name)
	}
}

func TestCellSizesAreBounded(t *testing.T) {
	tests := []struct{ daemons, cells int }{{1, 1}, {8, 1}, {16, 1}, {17, 2}, {330, 28}}
	for _, tc := range tests {
		g := gomega.NewWithT(t)
		g.Expect(cellCount(tc.daemons)).To(gomega.Equal(tc.cells))
		counts := make([]int, tc.cells)
		for _, n := range names(tc.daemons) {
			counts[cellOf(Key(n), tc.cells)]++
		}
		for c, n := range counts {
			g.Expect(n).To(gomega.BeNumerically("<=", 22), "cell %d of %d daemons", c, tc.daemons)
		}
	}
}

func TestUsable(t *testing.T) {
	boxes := map[string]plat.Box{"live": {State: plat.BoxLive}, "leaving": {State: plat.BoxLeaving}}
	tests := []struct {
		name   string
		view   View
		target *conf.Target
		want   bool
	}{
		{"listed live", View{boxes: boxes, boxesLoaded: true}, &conf.Target{Box: "live"}, true},
		{"listed leaving", View{boxes: boxes, boxesLoaded: true}, &conf.Target{Box: "leaving"}, false},
		{"not listed", View{boxes: boxes, boxesLoaded: true}, &conf.Target{Box: "gone"}, false},
		{"list not read yet", View{}, &conf.Target{Box: "live"}, true},
		{"no box", View{boxesLoaded: true}, &conf.Target{}, true},
		{"drained by configuration", View{}, &conf.Target{Drain: true}, false},
		{"drained by order", View{drainOrders: map[string]DrainOrder{"t": {Drain: true}}}, &conf.Target{}, false},
		{"drain order cancelled", View{drainOrders: map[string]DrainOrder{"t": {Drain: false}}}, &conf.Target{}, true},
		{"not configured", View{}, nil, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			gomega.NewWithT(t).Expect(tc.view.Usable("t", tc.target)).To(gomega.Equal(tc.want))
		})
	}
}

// The newest drain order for a target applies, in whatever order they arrive.
func TestNewestDrainOrderApplies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := New(Options{Name: "me", Log: &event.Log{}})
		stamps := rapid.SliceOfNDistinct(rapid.Int64Range(1, 1000), 1, 10, rapid.ID).Draw(t, "stamps")
		var newest DrainOrder
		for _, s := range stamps {
			m := DrainOrder{Drain: s%2 == 0, Stamp: s}
			if s > newest.Stamp {
				newest = m
			}
			f.merge(map[string]DrainOrder{"t": m})
		}
		if got := f.View().DrainOrders()["t"]; got != newest {
			t.Fatalf("applied %+v, newest is %+v", got, newest)
		}
	})
}

// member is a running Fleet of a test.
type member struct {
	*Fleet
	stop func()
}

// start runs n Fleets that have each other as seeds.
func start(t *testing.T, n int) []member {
	t.Helper()
	var seeds []Peer
	var ls []net.Listener
	for _, name := range names(n) {
		l, err := testip.Listen()
		if err != nil {
			t.Fatal(err)
		}
		ls = append(ls, l)
		seeds = append(seeds, Peer{Name: name, Address: l.Addr().String()})
	}
	var out []member
	for i, name := range names(n) {
		f := New(Options{
			Name: name, Incarnation: name + "-1", Seeds: seeds, HeartbeatInterval: 50 * time.Millisecond,
			SuspectAfter: time.Second, Log: &event.Log{},
		})
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { f.Run(ctx, ls[i]) })
		m := member{f, sync.OnceFunc(func() { cancel(); wg.Wait() })}
		t.Cleanup(m.stop)
		out = append(out, m)
	}
	return out
}

func TestFleetFindsLosesAndDrainsDaemons(t *testing.T) {
	g := gomega.NewWithT(t)
	ms := start(t, 4)
	eligible := func(i int) func() []string { return func() []string { return ms[i].View().Eligible() } }
	for i := range ms {
		g.Eventually(eligible(i), "20s", "20ms").Should(gomega.HaveLen(4))
	}
	ms[3].stop()
	for i := range 3 {
		g.Eventually(eligible(i), "20s", "20ms").Should(gomega.Equal(names(3)))
	}
	ms[2].Drain()
	for i := range 3 {
		g.Eventually(eligible(i), "20s", "20ms").Should(gomega.Equal(names(2)))
	}
}

func TestDrainOrderReachesAll(t *testing.T) {
	g := gomega.NewWithT(t)
	ms := start(t, 3)
	g.Eventually(func() []string { return ms[0].View().Eligible() }, "20s", "20ms").Should(gomega.HaveLen(3))
	ms[0].SetDrain("engine", true)
	for _, m := range ms {
		g.Eventually(func() bool { return m.View().Usable("engine", &conf.Target{}) }, "20s", "20ms").Should(gomega.BeFalse())
	}
	ms[1].SetDrain("engine", false)
	for _, m := range ms {
		g.Eventually(func() bool { return m.View().Usable("engine", &conf.Target{}) }, "20s", "20ms").Should(gomega.BeTrue())
	}
}

// Each key has distinct cells in a fixed order, of which the first is the cell it falls into.
func TestRankedCellsBeginWithTheCellOfTheKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key, count := rapid.Uint64().Draw(t, "key"), rapid.IntRange(1, 30).Draw(t, "cells")
		got := sharedCells(count).rank(key, cellsPerContext)
		if len(got) != min(count, cellsPerContext) || got[0] != cellOf(key, count) {
			t.Fatalf("cells %v of %d, first is %d", got, count, cellOf(key, count))
		}
		seen := map[int]bool{}
		for _, c := range got {
			if seen[c] || c < 0 || c >= count {
				t.Fatalf("cells %v", got)
			}
			seen[c] = true
		}
	})
}

// A system suspend must be reported to the functions registered with OnResume, like a stop of the
// process, although Go's timers and monotonic clock do not advance meanwhile.
func TestSuspendCallsOnResume(t *testing.T) {
	g := gomega.NewWithT(t)
	f := New(Options{Name: "a", Incarnation: "a-1", HeartbeatInterval: 10 * time.Millisecond, SuspectAfter: 10 * time.Second, Log: &event.Log{}})
	resumed := make(chan time.Duration, 1)
	f.OnResume(func(gap time.Duration) {
		select {
		case resumed <- gap:
		default:
		}
	})
	l, err := testip.Listen()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Run(ctx, l)
	// Suspends are repeated, since the first may come before Run has started its loop.
	g.Eventually(func() time.Duration {
		clock.Suspend(time.Minute)
		select {
		case gap := <-resumed:
			return gap
		case <-time.After(100 * time.Millisecond):
			return 0
		}
	}, "20s", "1ms").Should(gomega.BeNumerically(">", 50*time.Second))
}
