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

// fakeStore answers questions for events as a test wants.
type fakeStore struct {
	mu    sync.Mutex
	epoch int64
	list  []PartChange
	queue []PartEvents
	wake  chan struct{}
	freed []PartName
	down  bool
}

func newFakeStore() *fakeStore { return &fakeStore{epoch: 1, wake: make(chan struct{}, 16)} }

func (s *fakeStore) tell(ev PartEvents) {
	s.mu.Lock()
	s.queue = append(s.queue, ev)
	s.mu.Unlock()
	s.wake <- struct{}{}
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) Events(ctx context.Context, _ string, since int64, wait time.Duration) (PartEvents, error) {
	select {
	case <-ctx.Done():
	case <-s.wake:
	case <-time.After(min(wait, 20*time.Millisecond)):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return PartEvents{}, errors.New("down")
	}
	if len(s.queue) == 0 {
		return PartEvents{Epoch: s.epoch, Next: since, Clock: time.Hour}, nil
	}
	ev := s.queue[0]
	s.queue = s.queue[1:]
	return ev, nil
}

func (s *fakeStore) Contents(context.Context, string) (PartEvents, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return PartEvents{}, errors.New("down")
	}
	return PartEvents{Epoch: s.epoch, Next: 1, Changes: s.list}, nil
}

func (s *fakeStore) Free(_ context.Context, _ string, epoch int64, parts []PartName) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if epoch != s.epoch {
		return errors.New("another epoch")
	}
	s.freed = append(s.freed, parts...)
	return nil
}

func part(id string, tokens int) PartChange {
	return PartChange{PartName: PartName{Salt: "v1/m/", ID: id}, Tokens: tokens}
}

func followed(t *testing.T, s *fakeStore, rooms ...int) *Kept {
	k := NewKept(s, &event.Log{})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	var infos []StoreInfo
	for i, room := range rooms {
		infos = append(infos, StoreInfo{Address: string(rune('a' + i)), Domain: "d", Room: room, TokenTime: time.Microsecond})
	}
	k.Set(ctx, infos)
	return k
}

func found(k *Kept, id string) func() bool {
	return func() bool {
		return len(k.Find(PartName{"v1/m/", id}, clock.Now())) > 0
	}
}

func TestPartsAreFoundAsTheStoreTells(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newFakeStore()
	s.list = []PartChange{part("1", 100)}
	k := followed(t, s, 1000)
	g.Eventually(found(k, "1"), "10s", "5ms").Should(gomega.BeTrue())
	s.tell(PartEvents{Epoch: 1, Next: 2, Clock: time.Hour, Changes: []PartChange{part("2", 50), part("1", 0)}})
	g.Eventually(found(k, "2"), "10s", "5ms").Should(gomega.BeTrue())
	g.Expect(found(k, "1")()).To(gomega.BeFalse())
	g.Expect(k.Tokens()).To(gomega.Equal(50))
	places := k.Find(PartName{"v1/m/", "2"}, clock.Now())
	g.Expect(places).To(gomega.HaveLen(1))
	place := places[0]
	g.Expect(place.Time("elsewhere")).To(gomega.Equal(100 * time.Microsecond))
	g.Expect(place.Time("d")).To(gomega.Equal(50 * time.Microsecond))
	g.Expect(place.Until).To(gomega.BeNumerically(">", time.Hour))
}

func TestNothingIsBelievedAfterAGapOrANewEpoch(t *testing.T) {
	tests := []struct {
		name string
		ev   PartEvents
	}{
		{"gap", PartEvents{Epoch: 1, Next: 9, Gap: true, Clock: time.Hour}},
		{"new epoch", PartEvents{Epoch: 2, Next: 9, Clock: time.Hour}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := newFakeStore()
			s.list = []PartChange{part("1", 100)}
			k := followed(t, s, 1000)
			g.Eventually(found(k, "1"), "10s", "5ms").Should(gomega.BeTrue())
			s.mu.Lock()
			s.list, s.epoch = []PartChange{part("2", 100)}, tc.ev.Epoch
			s.mu.Unlock()
			s.tell(tc.ev)
			g.Eventually(found(k, "2"), "10s", "5ms").Should(gomega.BeTrue())
			g.Expect(found(k, "1")()).To(gomega.BeFalse())
		})
	}
}

func TestSilentStoreIsNotUsed(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newFakeStore()
	s.list = []PartChange{part("1", 100)}
	k := followed(t, s, 1000)
	g.Eventually(found(k, "1"), "10s", "5ms").Should(gomega.BeTrue())
	s.setDown(true)
	g.Eventually(found(k, "1"), "10s", "5ms").Should(gomega.BeFalse())
	g.Expect(k.Room(PartName{"v1/m/", "9"}, 10, anywhere, clock.Now())).To(gomega.BeEmpty())
	s.setDown(false)
	g.Eventually(found(k, "1"), "10s", "5ms").Should(gomega.BeTrue())
}

func TestRoomIsTakenWhereThereIsSome(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newFakeStore()
	k := followed(t, s, 100, 1000)
	room := func(tokens int) func() string {
		return func() string { return k.Room(PartName{"v1/m/", "9"}, tokens, anywhere, clock.Now()) }
	}
	g.Eventually(room(500), "10s", "5ms").Should(gomega.Equal("b"))
	g.Expect(room(5000)()).To(gomega.BeEmpty())
	g.Expect(room(10)()).To(gomega.Equal(room(10)()))
	none := func(string) bool { return false }
	g.Expect(k.Room(PartName{"v1/m/", "9"}, 10, none, clock.Now())).To(gomega.BeEmpty(), "no store is where it may be kept")
	k.Set(context.Background(), nil)
	g.Expect(room(10)()).To(gomega.BeEmpty())
}

func TestSaltsTellTheirWeights(t *testing.T) {
	g := gomega.NewWithT(t)
	model, version, ok := SaltVersion(PartSalt{Model: "m", Version: 12, Wall: "org"}.String())
	g.Expect([]any{model, version, ok}).To(gomega.Equal([]any{"m", int64(12), true}))
	for _, bad := range []string{"", "v1", "x1/m/", "vx/m/", "v1/m"} {
		_, _, ok := SaltVersion(bad)
		g.Expect(ok).To(gomega.BeFalse(), bad)
	}
	g.Expect(PartSalt{Model: "m", Version: 1}.String()).NotTo(gomega.Equal(PartSalt{Model: "m", Version: 1, Wall: "o"}.String()))
}

func TestPartsOfSupersededWeightsAreFreedLate(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newFakeStore()
	s.list = []PartChange{part("1", 100), {PartName: PartName{"v2/m/", "1"}, Tokens: 7}}
	k := followed(t, s, 1000)
	g.Eventually(found(k, "1"), "10s", "5ms").Should(gomega.BeTrue())
	since := clock.Now()
	w := NewSweeper(SweepOptions{
		Kept: k, Log: &event.Log{}, Rank: func(string) int { return 1 },
		Superseded: func(salt string) (clock.Time, bool) { return since, salt == "v1/m/" },
	})
	w.sweep(context.Background(), "a")
	g.Expect(s.freed).To(gomega.BeEmpty())
	since = since.Add(-sweepAfter)
	w.sweep(context.Background(), "a")
	g.Expect(s.freed).To(gomega.BeEmpty(), "the daemon of the first rank comes first")
	since = since.Add(-sweepRank)
	w.sweep(context.Background(), "a")
	g.Expect(s.freed).To(gomega.Equal([]PartName{{"v1/m/", "1"}}))
	g.Expect(k.Tokens()).To(gomega.Equal(7))
	// A transfer that was decided by a daemon which had not heard of the newer
	// weights is thrown away before.
	g.Expect(sweepAfter).To(gomega.BeNumerically(">", CopyFresh+CopyLimit()))
}

// anywhere allows all failure domains.
func anywhere(string) bool { return true }

// What a store held before the machine was suspended may have been freed since.
func TestPartsAreNotNamedAfterASuspension(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newFakeStore()
	s.list = []PartChange{part("1", 100)}
	k := followed(t, s, 1000)
	g.Eventually(found(k, "1"), "10s", "5ms").Should(gomega.BeTrue())
	clock.Suspend(heardLimit)
	g.Expect(found(k, "1")()).To(gomega.BeFalse())
}
