package spread_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/clock"
	"embertally.dev/core/memkv"
	"embertally.dev/core/plat"
)

// billedStore is a store that counts its calls. A watch is a series of calls, each with a response
// after watchTime at the latest.
type billedStore struct {
	*memkv.KV

	countMu  sync.Mutex
	calls    int // guarded by countMu
	watching int // guarded by countMu
	// pending counts the responses that daemons have not taken yet; takenAt is when one was last
	// taken. Guarded by countMu.
	pending int
	takenAt clock.Time
	down    bool // guarded by countMu
	ranges  int  // calls of Range; guarded by countMu
}

// rangeCalls returns how many times keys were read other than by watches.
func (s *billedStore) rangeCalls() int {
	s.countMu.Lock()
	defer s.countMu.Unlock()
	return s.ranges
}

// watchTime is how long the store holds a request for changes.
const watchTime = 1500 * time.Millisecond

// call counts one call, and reports whether it gets a response.
func (s *billedStore) call() bool {
	s.countMu.Lock()
	defer s.countMu.Unlock()
	s.calls++
	return !s.down
}

func (s *billedStore) Range(ctx context.Context, span plat.Span) ([]plat.Pair, int64, error) {
	if !s.call() {
		return nil, 0, errRejected
	}
	s.countMu.Lock()
	s.ranges++
	s.countMu.Unlock()
	return s.KV.Range(ctx, span)
}

func (s *billedStore) Watch(ctx context.Context, span plat.Span, from int64, f func([]plat.Change, int64, clock.Time) error) error {
	for ctx.Err() == nil {
		if !s.call() {
			return errRejected
		}
		if err := s.response(func() error {
			changes, revision := s.wait(ctx, span, from)
			if revision > 0 {
				from = revision + 1
			}
			return f(changes, from-1, clock.Now())
		}); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// response counts a response as pending until it is taken.
func (s *billedStore) response(take func() error) error {
	s.countMu.Lock()
	s.pending++
	s.countMu.Unlock()
	err := take()
	s.countMu.Lock()
	defer s.countMu.Unlock()
	s.pending--
	s.takenAt = clock.Now()
	return err
}

// quiet returns when the last response was taken, and whether none is pending.
func (s *billedStore) quiet() (clock.Time, bool) {
	s.countMu.Lock()
	defer s.countMu.Unlock()
	return s.takenAt, s.pending == 0
}

// wait returns the first changes from a revision on, or none after watchTime.
func (s *billedStore) wait(ctx context.Context, span plat.Span, from int64) (changes []plat.Change, revision int64) {
	ctx, cancel := context.WithTimeout(ctx, watchTime)
	defer cancel()
	s.count(1)
	defer s.count(-1)
	// The error ends the watch at its first change.
	_ = s.KV.Watch(ctx, span, from, func(c []plat.Change, r int64, _ clock.Time) error {
		changes, revision = c, r
		if len(c) == 0 {
			return nil
		}
		return errRejected
	})
	return changes, revision
}

func (s *billedStore) count(by int) {
	s.countMu.Lock()
	defer s.countMu.Unlock()
	s.watching += by
}

func (s *billedStore) setDown(down bool) {
	s.countMu.Lock()
	defer s.countMu.Unlock()
	s.down = down
}

// stats returns how many calls there were and how many daemons watch.
func (s *billedStore) stats() (calls, watching int) {
	s.countMu.Lock()
	defer s.countMu.Unlock()
	return s.calls, s.watching
}

// startTogether runs daemons that start at once with one store.
func startTogether(t *testing.T, store plat.Reader, daemons int) []*member {
	seeds, listeners := seedsAndListeners(t, daemons)
	var out []*member
	for i, seed := range seeds {
		out = append(out, run(t, seed.Name, listeners[i], store, seeds))
	}
	return out
}

// Each call of the platform's store is billed: daemons that start together must not all watch it
// until they have received each other's heartbeats.
func TestDaemonsThatStartTogetherDoNotAllWatchTheStore(t *testing.T) {
	const daemons, cells = 40, 4
	g := gomega.NewWithT(t)
	store := &billedStore{KV: &memkv.KV{}}
	put(t, store.KV, "op/config", []byte("first"))
	members := startTogether(t, store, daemons)
	for _, m := range members {
		g.Eventually(m.holds("op/config", []byte("first")), shortWait, pollInterval).Should(gomega.BeTrue())
	}
	calls, watching := store.stats()
	g.Expect(watching).To(gomega.BeNumerically("<=", 2*cells))
	g.Expect(calls).To(gomega.BeNumerically("<=", daemons+2*cells), "a copy each, and the watches of two daemons a cell")
	put(t, store.KV, "op/config", []byte("second"))
	for _, m := range members {
		g.Eventually(m.holds("op/config", []byte("second")), shortWait, pollInterval).Should(gomega.BeTrue())
	}
}

// Calls that the store rejects are billed too, and where a few daemons get no response the others
// get none either.
func TestAFleetSendsFewRequestsToAStoreThatIsDown(t *testing.T) {
	const daemons, outage = 40, 5 * time.Second
	g := gomega.NewWithT(t)
	store := &billedStore{KV: &memkv.KV{}}
	put(t, store.KV, "op/config", []byte("first"))
	members := startTogether(t, store, daemons)
	for _, m := range members {
		g.Eventually(m.holds("op/config", []byte("first")), shortWait, pollInterval).Should(gomega.BeTrue())
		g.Eventually(func() int { return len(m.fleet.View().Eligible()) }, shortWait, pollInterval).Should(gomega.BeNumerically(">", 1))
	}
	before, _ := store.stats()
	store.setDown(true)
	start := time.Now()
	time.Sleep(outage)
	after, _ := store.stats()
	elapsed := time.Since(start)
	store.setDown(false)
	// Eight daemons send up to four requests a second each; the others, in the second half of the
	// outage, one each 1.5 s.
	maxCalls := int(elapsed.Seconds()*8*4 + elapsed.Seconds()/2*float64(daemons)/1.5)
	g.Expect(after - before).To(gomega.BeNumerically("<=", maxCalls))
	put(t, store.KV, "op/config", []byte("second"))
	for _, m := range members {
		g.Eventually(m.holds("op/config", []byte("second")), shortWait, pollInterval).Should(gomega.BeTrue())
	}
}
