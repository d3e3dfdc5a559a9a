package lease

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/memkv"
	"embertally.dev/core/plat"
	"embertally.dev/core/wait"
)

// minGap is short, so that tests are fast; they wait for conditions rather than times.
const minGap = 400 * time.Millisecond

// holder is one daemon that competes for a lease.
type holder struct {
	lease *Timed
	cache *plat.WatchCache
	stop  func()
	// ineligible reports that the daemon must not hold the lease.
	ineligible atomic.Bool
}

func newHolder(t *testing.T, kv *memkv.KV, name string, rank int) *holder {
	return newHolderWithMinGap(t, kv, name, rank, minGap)
}

// newHolderWithMinGap is newHolder with another least time between the actions of two holders.
func newHolderWithMinGap(t *testing.T, kv *memkv.KV, name string, rank int, minGap time.Duration) *holder {
	log := &event.Log{}
	cache := plat.NewWatchCache(kv, plat.Prefix(""), log)
	h := &holder{cache: cache}
	h.lease = NewTimed(TimedOptions{
		Key: "duty", Holder: name, MinGap: minGap, Store: kv, WatchCache: cache, Log: log,
		Rank: func() int { return rank }, Ineligible: h.ineligible.Load, MayHold: func(value string) bool { return value != "odd" }, HasWork: func() bool { return true },
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { cache.Run(ctx) })
	wg.Go(func() { h.lease.Run(ctx) })
	h.stop = func() { cancel(); wg.Wait() }
	t.Cleanup(h.stop)
	return h
}

func (h *holder) mayAct() bool {
	_, allowed := h.lease.Act()
	return allowed
}

func TestFirstRankHoldsAndFencesRise(t *testing.T) {
	g := gomega.NewWithT(t)
	kv := &memkv.KV{}
	first := newHolder(t, kv, "a", 0)
	g.Eventually(first.mayAct, "10s", "5ms").Should(gomega.BeTrue())
	second := newHolder(t, kv, "b", 1)
	fence, _ := first.lease.Act()
	// The holder stops renewing and its session expires.
	first.stop()
	g.Expect(second.mayAct()).To(gomega.BeFalse())
	kv.Expire()
	g.Eventually(second.mayAct, "10s", "5ms").Should(gomega.BeTrue())
	next, _ := second.lease.Act()
	g.Expect(next).To(gomega.BeNumerically(">", fence))
	g.Expect(first.mayAct()).To(gomega.BeFalse())
}

func TestHolderThatCannotRenewStopsActing(t *testing.T) {
	g := gomega.NewWithT(t)
	kv := &memkv.KV{}
	h := newHolder(t, kv, "a", 0)
	g.Eventually(h.mayAct, "10s", "5ms").Should(gomega.BeTrue())
	kv.SetDown(true)
	g.Eventually(h.mayAct, "10s", "5ms").Should(gomega.BeFalse())
	kv.SetDown(false)
	g.Eventually(h.mayAct, "10s", "5ms").Should(gomega.BeTrue())
}

func TestTakeWithALostResponseIsDetected(t *testing.T) {
	g := gomega.NewWithT(t)
	kv := &memkv.KV{}
	var lost atomic.Bool
	kv.SetFault(func() memkv.Fault {
		if lost.CompareAndSwap(false, true) {
			return memkv.LostResponse
		}
		return memkv.NoFault
	})
	h := newHolder(t, kv, "a", 0)
	g.Eventually(h.mayAct, "10s", "5ms").Should(gomega.BeTrue())
	g.Expect(kv.Writes()).To(gomega.Equal(1))
}

func TestReleaseAfterARecentActLeavesTheKey(t *testing.T) {
	g := gomega.NewWithT(t)
	kv := &memkv.KV{}
	first := newHolder(t, kv, "a", 0)
	g.Eventually(first.mayAct, "10s", "5ms").Should(gomega.BeTrue())
	// It has just acted: its key remains until the session expires.
	first.stop()
	pair, err := kv.Read(context.Background(), "duty")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(pair).NotTo(gomega.BeNil())
}

func TestReleaseWithoutAnActRemovesTheKey(t *testing.T) {
	g := gomega.NewWithT(t)
	kv := &memkv.KV{}
	first := newHolder(t, kv, "a", 0)
	g.Eventually(first.lease.Held, "10s", "5ms").Should(gomega.BeTrue())
	first.ineligible.Store(true)
	g.Eventually(func() *plat.Pair {
		pair, _ := kv.Read(context.Background(), "duty")
		return pair
	}, "10s", "5ms").Should(gomega.BeNil())
	g.Expect(first.lease.Held()).To(gomega.BeFalse())
}

func TestRefusedFenceIsNotUsedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	kv := &memkv.KV{}
	h := newHolder(t, kv, "a", 0)
	g.Eventually(h.mayAct, "10s", "5ms").Should(gomega.BeTrue())
	fence, _ := h.lease.Act()
	h.lease.RecordFenced(fence)
	g.Expect(h.mayAct()).To(gomega.BeFalse())
	kv.Expire()
	g.Eventually(h.mayAct, "10s", "5ms").Should(gomega.BeTrue())
	next, _ := h.lease.Act()
	g.Expect(next).To(gomega.BeNumerically(">", fence))
}

func TestPresenceKeepsItsKeyWhileRunning(t *testing.T) {
	g := gomega.NewWithT(t)
	kv := &memkv.KV{}
	log := &event.Log{}
	cache := plat.NewWatchCache(kv, plat.Prefix(""), log)
	p := &Presence{Key: "box", Value: []byte("v"), TTL: minGap, Store: kv, WatchCache: cache, Log: log}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { cache.Run(ctx) })
	wg.Go(func() { p.Run(ctx) })
	exists := func() bool {
		pair, _ := kv.Read(context.Background(), "box")
		return pair != nil
	}
	g.Eventually(exists, "10s", "5ms").Should(gomega.BeTrue())
	kv.Expire()
	g.Eventually(exists, "10s", "5ms").Should(gomega.BeTrue())
	cancel()
	wg.Wait()
	g.Expect(exists()).To(gomega.BeFalse())
}

// In an outage of eight seconds a daemon makes five attempts, not twenty, and a key that has
// expired meanwhile is written again soon.
func TestPresenceBacksOffWhileTheStoreIsUnreachable(t *testing.T) {
	g := gomega.NewWithT(t)
	p := &Presence{TTL: 12 * time.Second}
	errUnreachable := errors.New("no response")
	attempts, retry := 0, initialRetryDelay
	for elapsed := time.Duration(0); elapsed < 8*time.Second; attempts++ {
		var delay time.Duration
		delay, retry = p.delays(errUnreachable, retry)
		elapsed += delay
	}
	g.Expect(attempts).To(gomega.Equal(5))
	delay, retry := p.delays(plat.ErrSessionEnded, retry)
	g.Expect([]time.Duration{delay, retry}).
		To(gomega.Equal([]time.Duration{initialRetryDelay, initialRetryDelay}))
	delay, retry = p.delays(nil, 3*time.Second)
	g.Expect([]time.Duration{delay, retry}).To(gomega.Equal([]time.Duration{3 * time.Second, initialRetryDelay}))
}

// During a system suspend the monotonic clock stands still, so the last renewal seems recent.
// Another daemon may have taken the lease meanwhile and acted.
func TestAHolderDoesNotActAfterASystemSuspend(t *testing.T) {
	g := gomega.NewWithT(t)
	kv := &memkv.KV{}
	h := newHolder(t, kv, "a", 0)
	g.Eventually(h.mayAct, "10s", "5ms").Should(gomega.BeTrue())
	kv.SetDown(true)
	clock.Suspend(minGap)
	g.Expect(h.mayAct()).To(gomega.BeFalse())
	kv.SetDown(false)
	g.Eventually(h.mayAct, "10s", "5ms").Should(gomega.BeTrue())
}

// A daemon that does not query the store itself takes a lease by its peers' information.
func TestADaemonTakesALeaseByPeerInformation(t *testing.T) {
	tests := []struct {
		name string
		// age is the age of the peers' information.
		age  time.Duration
		want bool
	}{
		{"fresh", 0, true},
		{"old", time.Minute, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			kv, log := &memkv.KV{}, &event.Log{}
			lease := NewTimed(TimedOptions{
				Key: "duty", Holder: "a", MinGap: minGap, Store: kv,
				WatchCache: plat.NewWatchCache(kv, plat.Prefix(""), log), Log: log,
				LastContact: func() clock.Time { return clock.Now().Add(-tc.age) },
				Rank:        func() int { return 0 }, Ineligible: func() bool { return false },
				HasWork: func() bool { return true },
			})
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			wg.Go(func() { lease.Run(ctx) })
			defer wg.Wait()
			defer cancel()
			mayAct := func() bool { _, allowed := lease.Act(); return allowed }
			if tc.want {
				g.Eventually(mayAct, "10s", "5ms").Should(gomega.BeTrue())
				return
			}
			g.Consistently(mayAct, "700ms", "50ms").Should(gomega.BeFalse())
		})
	}
}

// keepResponding makes the store's watches respond continuously, as those of a real store do.
func keepResponding(t *testing.T, kv *memkv.KV) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		wait.Every(ctx, 100*time.Millisecond, func() {
			// It never fails: the store has no faults here.
			_, _ = kv.Commit(ctx, plat.Txn{Puts: []plat.Put{{Key: "tick"}}})
		})
	})
	t.Cleanup(func() { cancel(); wg.Wait() })
}

// A restored store may lack the key of a holder that acted a moment ago.
func TestTheNextHolderWaitsAfterTheStoreLostTheKey(t *testing.T) {
	const minGap = 3 * time.Second
	g := gomega.NewWithT(t)
	kv := &memkv.KV{}
	kv.Restore(kv.Copy())
	before := kv.Copy()
	keepResponding(t, kv)
	first := newHolderWithMinGap(t, kv, "a", 0, minGap)
	g.Eventually(first.mayAct, "20s", "1ms").Should(gomega.BeTrue())
	fence, _ := first.lease.Act()
	second := newHolderWithMinGap(t, kv, "b", 0, minGap)
	g.Eventually(func() bool {
		_, exists := second.cache.Pair("duty")
		return exists
	}, "20s", "1ms").Should(gomega.BeTrue())
	var last clock.Time
	g.Eventually(func() bool { last = clock.Now(); return first.mayAct() }, "20s", "1ms").Should(gomega.BeTrue())
	kv.Restore(before)
	first.stop()
	g.Eventually(second.mayAct, "30s", "1ms").Should(gomega.BeTrue())
	g.Expect(clock.Since(last)).To(gomega.BeNumerically(">=", minGap), "between the actions of two holders")
	next, _ := second.lease.Act()
	g.Expect(next).To(gomega.BeNumerically(">", fence), "a target has seen the former fence")
	g.Expect(first.mayAct()).To(gomega.BeFalse())
}

// A value without a session never expires, and kept all daemons from holding the lease.
func TestValueOfAnotherWriterIsReplaced(t *testing.T) {
	for _, tc := range []struct {
		name string
		// held is set if a holder has the key first.
		held bool
	}{
		{"nobody holds the lease", false},
		{"a holder loses its key", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			kv := &memkv.KV{}
			write := func() {
				_, err := kv.Commit(context.Background(), plat.Txn{Puts: []plat.Put{{Key: "duty", Value: []byte("odd")}}})
				g.Expect(err).NotTo(gomega.HaveOccurred())
			}
			if !tc.held {
				write()
			}
			first := newHolder(t, kv, "a", 0)
			g.Eventually(first.mayAct, "10s", "5ms").Should(gomega.BeTrue())
			before, _ := first.lease.Act()
			second := newHolder(t, kv, "b", 1)
			write()
			lost := time.Now()
			g.Eventually(first.lease.Held, "10s", "1ms").Should(gomega.BeFalse())
			var fence uint64
			g.Eventually(func() bool {
				for _, h := range []*holder{first, second} {
					if acted, allowed := h.lease.Act(); allowed {
						fence = acted
						return true
					}
				}
				return false
			}, "10s", "1ms").Should(gomega.BeTrue())
			g.Expect(time.Since(lost)).To(gomega.BeNumerically(">=", minGap))
			g.Expect(fence).To(gomega.BeNumerically(">", before))
		})
	}
}
