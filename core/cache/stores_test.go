package cache

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
)

// fakeStore is a StoreClient that returns the events and contents that a test sets.
type fakeStore struct {
	mu       sync.Mutex
	epoch    int64
	contents []SegmentChange
	events   []SegmentEvents
	wake     chan struct{}
	freed    []SegmentName
	down     bool
}

func newFakeStore() *fakeStore { return &fakeStore{epoch: 1, wake: make(chan struct{}, 16)} }

// report adds the response to a later query for events.
func (s *fakeStore) report(ev SegmentEvents) {
	s.mu.Lock()
	s.events = append(s.events, ev)
	s.mu.Unlock()
	s.wake <- struct{}{}
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) Events(ctx context.Context, _ string, since int64, wait time.Duration) (SegmentEvents, error) {
	select {
	case <-ctx.Done():
	case <-s.wake:
	case <-time.After(min(wait, 20*time.Millisecond)):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return SegmentEvents{}, errors.New("down")
	}
	if len(s.events) == 0 {
		return SegmentEvents{Epoch: s.epoch, Next: since, Clock: time.Hour}, nil
	}
	ev := s.events[0]
	s.events = s.events[1:]
	return ev, nil
}

func (s *fakeStore) Contents(context.Context, string) (SegmentEvents, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return SegmentEvents{}, errors.New("down")
	}
	return SegmentEvents{Epoch: s.epoch, Next: 1, Changes: s.contents}, nil
}

func (s *fakeStore) Free(_ context.Context, _ string, epoch int64, segments []SegmentName) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if epoch != s.epoch {
		return errors.New("another epoch")
	}
	s.freed = append(s.freed, segments...)
	return nil
}

// change returns the change of one segment under the salt "v1/m/".
func change(id string, tokens int) SegmentChange {
	return SegmentChange{SegmentName: SegmentName{Salt: "v1/m/", ID: id}, Tokens: tokens}
}

// newFollowing returns StoreIndexes that follow stores with the given capacities, at the
// addresses "a", "b" and so on.
func newFollowing(t *testing.T, s *fakeStore, capacities ...int) *StoreIndexes {
	indexes := NewStoreIndexes(s, &event.Log{})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	var infos []StoreInfo
	for i, capacity := range capacities {
		infos = append(infos, StoreInfo{
			Address: string(rune('a' + i)), Domain: "d", Capacity: capacity,
			TokenTime: time.Microsecond,
		})
	}
	indexes.Set(ctx, infos)
	return indexes
}

// found returns a function that reports whether any store holds the segment.
func found(indexes *StoreIndexes, id string) func() bool {
	return func() bool {
		return len(indexes.Find(SegmentName{"v1/m/", id}, clock.Now())) > 0
	}
}

func TestFindFollowsStoreEvents(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newFakeStore()
	s.contents = []SegmentChange{change("1", 100)}
	indexes := newFollowing(t, s, 1000)
	g.Eventually(found(indexes, "1"), "10s", "5ms").Should(gomega.BeTrue())
	s.report(SegmentEvents{
		Epoch: 1, Next: 2, Clock: time.Hour,
		Changes: []SegmentChange{change("2", 50), change("1", 0)},
	})
	g.Eventually(found(indexes, "2"), "10s", "5ms").Should(gomega.BeTrue())
	g.Expect(found(indexes, "1")()).To(gomega.BeFalse())
	g.Expect(indexes.Tokens()).To(gomega.Equal(50))
	list := indexes.Find(SegmentName{"v1/m/", "2"}, clock.Now())
	g.Expect(list).To(gomega.HaveLen(1))
	stored := list[0]
	g.Expect(stored.TransferTime("elsewhere")).To(gomega.Equal(100 * time.Microsecond))
	g.Expect(stored.TransferTime("d")).To(gomega.Equal(50 * time.Microsecond))
	g.Expect(stored.Deadline).To(gomega.BeNumerically(">", time.Hour))
}

func TestGapOrNewEpochResyncs(t *testing.T) {
	tests := []struct {
		name string
		ev   SegmentEvents
	}{
		{"gap", SegmentEvents{Epoch: 1, Next: 9, Gap: true, Clock: time.Hour}},
		{"new epoch", SegmentEvents{Epoch: 2, Next: 9, Clock: time.Hour}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := newFakeStore()
			s.contents = []SegmentChange{change("1", 100)}
			indexes := newFollowing(t, s, 1000)
			g.Eventually(found(indexes, "1"), "10s", "5ms").Should(gomega.BeTrue())
			s.mu.Lock()
			s.contents, s.epoch = []SegmentChange{change("2", 100)}, tc.ev.Epoch
			s.mu.Unlock()
			s.report(tc.ev)
			g.Eventually(found(indexes, "2"), "10s", "5ms").Should(gomega.BeTrue())
			g.Expect(found(indexes, "1")()).To(gomega.BeFalse())
		})
	}
}

// Guards against a segment that a store has dropped and that the copy of an earlier answer brings back.
func TestAnswerToAnEarlierQueryBringsNothingBack(t *testing.T) {
	g := gomega.NewWithT(t)
	indexes := NewStoreIndexes(newFakeStore(), &event.Log{})
	indexes.indexes = map[string]*storeIndex{"a": {info: StoreInfo{Address: "a"}, changed: make(chan struct{})}}
	found := func() bool { return len(indexes.Find(SegmentName{"v1/m/", "x"}, clock.Now())) > 0 }
	stored := SegmentEvents{Epoch: 1, Next: 2, Changes: []SegmentChange{change("x", 10)}, Clock: time.Minute}
	indexes.replace("a", SegmentEvents{Epoch: 1, Next: 1})
	indexes.apply("a", stored)
	g.Expect(found()).To(gomega.BeTrue())
	indexes.apply("a", SegmentEvents{Epoch: 1, Next: 3, Changes: []SegmentChange{change("x", 0)}, Clock: time.Minute})
	g.Expect(found()).To(gomega.BeFalse())
	indexes.apply("a", stored)
	g.Expect(found()).To(gomega.BeFalse())
	_, synced := indexes.position("a")
	g.Expect(synced).To(gomega.BeFalse(), "the contents are listed again")
}

func TestUnreachableStoreIsNotUsed(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newFakeStore()
	s.contents = []SegmentChange{change("1", 100)}
	indexes := newFollowing(t, s, 1000)
	g.Eventually(found(indexes, "1"), "10s", "5ms").Should(gomega.BeTrue())
	s.setDown(true)
	g.Eventually(found(indexes, "1"), "10s", "5ms").Should(gomega.BeFalse())
	g.Expect(indexes.ChooseStore(SegmentName{"v1/m/", "9"}, 10, anyDomain, clock.Now())).To(gomega.BeEmpty())
	s.setDown(false)
	g.Eventually(found(indexes, "1"), "10s", "5ms").Should(gomega.BeTrue())
}

func TestChooseStoreWithFreeCapacity(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newFakeStore()
	indexes := newFollowing(t, s, 100, 1000)
	choose := func(tokens int) func() string {
		return func() string { return indexes.ChooseStore(SegmentName{"v1/m/", "9"}, tokens, anyDomain, clock.Now()) }
	}
	g.Eventually(choose(500), "10s", "5ms").Should(gomega.Equal("b"))
	g.Expect(choose(5000)()).To(gomega.BeEmpty())
	g.Expect(choose(10)()).To(gomega.Equal(choose(10)()))
	none := func(string) bool { return false }
	g.Expect(indexes.ChooseStore(SegmentName{"v1/m/", "9"}, 10, none, clock.Now())).To(gomega.BeEmpty(),
		"no store is in an accepted failure domain")
	indexes.Set(context.Background(), nil)
	g.Expect(choose(10)()).To(gomega.BeEmpty())
}

func TestSaltVersionParsesSegmentSalt(t *testing.T) {
	g := gomega.NewWithT(t)
	model, version, ok := SaltVersion(SegmentSalt{Model: "m/x %2F", Version: 12, Scope: "only/org"}.String())
	g.Expect([]any{model, version, ok}).To(gomega.Equal([]any{"m/x %2F", int64(12), true}))
	for _, bad := range []string{"", "v1", "x1/m/", "vx/m/", "v1/m"} {
		_, _, ok := SaltVersion(bad)
		g.Expect(ok).To(gomega.BeFalse(), bad)
	}
	g.Expect(SegmentSalt{Model: "m", Version: 1, Scope: "all/"}.String()).NotTo(gomega.Equal(SegmentSalt{Model: "m", Version: 1, Scope: "only/o"}.String()))
	g.Expect(SegmentSalt{Model: "m/only", Version: 1, Scope: "o"}.String()).NotTo(gomega.Equal(SegmentSalt{Model: "m", Version: 1, Scope: "only/o"}.String()))
	g.Expect(SegmentSalt{Model: "m", Version: 1}.String()).To(gomega.BeEmpty(), "without a scope")
}

func TestSweeperFreesSupersededSegmentsAfterDelay(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newFakeStore()
	s.contents = []SegmentChange{change("1", 100), {SegmentName: SegmentName{"v2/m/", "1"}, Tokens: 7}}
	indexes := newFollowing(t, s, 1000)
	g.Eventually(found(indexes, "1"), "10s", "5ms").Should(gomega.BeTrue())
	since := clock.Now()
	const viewError = time.Second
	w := NewSweeper(SweepOptions{
		Stores: indexes, Log: &event.Log{}, Rank: func(string) int { return 1 }, ViewError: viewError,
		Superseded: func(salt string) (clock.Time, bool) { return since, salt == "v1/m/" },
	})
	w.sweep(context.Background(), "a")
	g.Expect(s.freed).To(gomega.BeEmpty())
	since = since.Add(-sweepDelay)
	w.sweep(context.Background(), "a")
	g.Expect(s.freed).To(gomega.BeEmpty(), "the daemon of rank 0 frees first")
	since = since.Add(-sweepRankDelay)
	w.sweep(context.Background(), "a")
	g.Expect(s.freed).To(gomega.BeEmpty(), "a daemon whose view is older than it takes it for may still copy")
	since = since.Add(-viewError)
	w.sweep(context.Background(), "a")
	g.Expect(s.freed).To(gomega.Equal([]SegmentName{{"v1/m/", "1"}}))
	g.Expect(indexes.Tokens()).To(gomega.Equal(7))
	// A transfer decided by a daemon that had not yet received the newer weights must be
	// discarded before the segment is freed.
	g.Expect(sweepDelay).To(gomega.BeNumerically(">", MaxDesiredAge+TransferTimeout()))
}

// anyDomain accepts all failure domains.
func anyDomain(string) bool { return true }

// Segments that a store held before the system was suspended may have been freed since.
func TestSegmentsAreNotFoundAfterSuspend(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newFakeStore()
	s.contents = []SegmentChange{change("1", 100)}
	indexes := newFollowing(t, s, 1000)
	g.Eventually(found(indexes, "1"), "10s", "5ms").Should(gomega.BeTrue())
	clock.Suspend(maxViewAge)
	g.Expect(found(indexes, "1")()).To(gomega.BeFalse())
}
