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

// apart is short, so that tests are fast; they wait for conditions rather than times.
const apart = 400 * time.Millisecond

// holder is one daemon that competes for a lease.
type holder struct {
	lease  *Timed
	mirror *plat.WatchCache
	stop   func()
	idle   atomic.Bool
}

func newHolder(t *testing.T, kv *memkv.KV, name string, rank int) *holder {
	return newHolderApart(t, kv, name, rank, apart)
}

// newHolderApart is newHolder with another least time between the actions of two holders.
func newHolderApart(t *testing.T, kv *memkv.KV, name string, rank int, apart time.Duration) *holder {
	log := &event.Log{}
	mirror := plat.NewWatchCache(kv, plat.Prefix(""), log)
	h := &holder{mirror: mirror}
	h.lease = NewTimed(TimedOptions{
		Key: "duty", Owner: name, MinGap: apart, Store: kv, Mirror: mirror, Log: log,
		Rank: func() int { return rank }, Ineligible: h.idle.Load, HasWork: func() bool { return true },
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { mirror.Run(ctx) })
	wg.Go(func() { h.lease.Run(ctx) })
	h.stop = func() { cancel(); wg.Wait() }
	t.Cleanup(h.stop)
	return h
}

func (h *holder) may() bool {
	_, may := h.lease.Act()
	return may
}

func TestFirstRankHoldsAndFencesRise(t *testing.T) {
	g := gomega.NewWithT(t)
	kv := &memkv.KV{}
	first := newHolder(t, kv, "a", 0)
	g.Eventually(first.may, "10s", "5ms").Should(gomega.BeTrue())
	second := newHolder(t, kv, "b", 1)
	fence, _ := first.lease.Act()
	// The holder stops renewing and its session expires.
	first.stop()
	g.Expect(second.may()).To(gomega.BeFalse())
	kv.Expire()
	g.Eventually(second.may, "10s", "5ms").Should(gomega.BeTrue())
	next, _ := second.lease.Act()
	g.Expect(next).To(gomega.BeNumerically(">", fence))
	g.Expect(first.may()).To(gomega.BeFalse())
}

func TestHolderThatCannotRenewStopsActing(t *testing.T) {
	g := gomega.NewWithT(t)
	kv := &memkv.KV{}
	h := newHolder(t, kv, "a", 0)
	g.Eventually(h.may, "10s", "5ms").Should(gomega.BeTrue())
	kv.SetDown(true)
	g.Eventually(h.may, "10s", "5ms").Should(gomega.BeFalse())
	kv.SetDown(false)
	g.Eventually(h.may, "10s", "5ms").Should(gomega.BeTrue())
}

func TestTakeWithALostAnswerIsDetected(t *testing.T) {
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
	g.Eventually(h.may, "10s", "5ms").Should(gomega.BeTrue())
	g.Expect(kv.Writes()).To(gomega.Equal(1))
}

func TestReleaseAfterARecentActLeavesTheKey(t *testing.T) {
	g := gomega.NewWithT(t)
	kv := &memkv.KV{}
	first := newHolder(t, kv, "a", 0)
	g.Eventually(first.may, "10s", "5ms").Should(gomega.BeTrue())
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
	first.idle.Store(true)
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
	g.Eventually(h.may, "10s", "5ms").Should(gomega.BeTrue())
	fence, _ := h.lease.Act()
	h.lease.Refused(fence)
	g.Expect(h.may()).To(gomega.BeFalse())
	kv.Expire()
	g.Eventually(h.may, "10s", "5ms").Should(gomega.BeTrue())
	next, _ := h.lease.Act()
	g.Expect(next).To(gomega.BeNumerically(">", fence))
}

func TestPresenceKeepsItsKeyWhileRunning(t *testing.T) {
	g := gomega.NewWithT(t)
	kv := &memkv.KV{}
	log := &event.Log{}
	mirror := plat.NewWatchCache(kv, plat.Prefix(""), log)
	p := &Presence{Key: "box", Value: []byte("v"), TTL: apart, Store: kv, Mirror: mirror, Log: log}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { mirror.Run(ctx) })
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
	errUnreachable := errors.New("no answer")
	attempts, retry := 0, initialRetryPause
	for elapsed := time.Duration(0); elapsed < 8*time.Second; attempts++ {
		var pause time.Duration
		pause, retry = p.pauses(errUnreachable, retry)
		elapsed += pause
	}
	g.Expect(attempts).To(gomega.Equal(5))
	pause, retry := p.pauses(plat.ErrSessionEnded, retry)
	g.Expect([]time.Duration{pause, retry}).To(gomega.Equal([]time.Duration{initialRetryPause, initialRetryPause}))
	pause, retry = p.pauses(nil, 3*time.Second)
	g.Expect([]time.Duration{pause, retry}).To(gomega.Equal([]time.Duration{3 * time.Second, initialRetryPause}))
}

// During a system suspend the monotonic clock stands still, so the last renewal seems recent.
// Another daemon may have taken the lease meanwhile and acted.
func TestAHolderDoesNotActAfterASystemSuspend(t *testing.T) {
	g := gomega.NewWithT(t)
	kv := &memkv.KV{}
	h := newHolder(t, kv, "a", 0)
	g.Eventually(h.may, "10s", "5ms").Should(gomega.BeTrue())
	kv.SetDown(true)
	clock.Suspend(apart)
	g.Expect(h.may()).To(gomega.BeFalse())
	kv.SetDown(false)
	g.Eventually(h.may, "10s", "5ms").Should(gomega.BeTrue())
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
				Key: "duty", Owner: "a", MinGap: apart, Store: kv, Mirror: plat.NewWatchCache(kv, plat.Prefix(""), log), Log: log,
				LastContact: func() clock.Time { return clock.Now().Add(-tc.age) },
				Rank:        func() int { return 0 }, Ineligible: func() bool { return false }, HasWork: func() bool { return true },
			})
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			wg.Go(func() { lease.Run(ctx) })
			defer wg.Wait()
			defer cancel()
			may := func() bool { _, may := lease.Act(); return may }
			if tc.want {
				g.Eventually(may, "10s", "5ms").Should(gomega.BeTrue())
				return
			}
			g.Consistently(may, "700ms", "50ms").Should(gomega.BeFalse())
		})
	}
}

// keepAnswering makes the store's watches answer continuously, as those of a real store do.
func keepAnswering(t *testing.T, kv *memkv.KV) {
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
	const apart = 3 * time.Second
	g := gomega.NewWithT(t)
	kv := &memkv.KV{}
	kv.Restore(kv.Copy())
	before := kv.Copy()
	keepAnswering(t, kv)
	first := newHolderApart(t, kv, "a", 0, apart)
	g.Eventually(first.may, "20s", "1ms").Should(gomega.BeTrue())
	fence, _ := first.lease.Act()
	second := newHolderApart(t, kv, "b", 0, apart)
	g.Eventually(func() bool { _, exists := second.mirror.Pair("duty"); return exists }, "20s", "1ms").Should(gomega.BeTrue())
	var last clock.Time
	g.Eventually(func() bool { last = clock.Now(); return first.may() }, "20s", "1ms").Should(gomega.BeTrue())
	kv.Restore(before)
	first.stop()
	g.Eventually(second.may, "30s", "1ms").Should(gomega.BeTrue())
	g.Expect(clock.Since(last)).To(gomega.BeNumerically(">=", apart), "between the actions of two holders")
	next, _ := second.lease.Act()
	g.Expect(next).To(gomega.BeNumerically(">", fence), "a target has seen the former fence")
	g.Expect(first.may()).To(gomega.BeFalse())
}
