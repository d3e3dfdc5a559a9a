package spread_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/cache"
	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/spread"
)

// busyStore is a store that answers some followers at a time and refuses any more.
type busyStore struct {
	watchers int

	storeMu sync.Mutex
	parts   []cache.PartChange // guarded by storeMu
	// changed is closed and replaced with each change. Guarded by storeMu.
	changed  chan struct{}
	watching int // guarded by storeMu
	asked    int // guarded by storeMu
	refused  int // guarded by storeMu
}

func (s *busyStore) Events(ctx context.Context, _ string, since int64, wait time.Duration) (cache.PartEvents, error) {
	s.storeMu.Lock()
	s.asked++
	if s.watching == s.watchers {
		s.refused++
		s.storeMu.Unlock()
		return cache.PartEvents{}, errRefused
	}
	s.watching++
	held, changed := int64(len(s.parts)), s.changed
	s.storeMu.Unlock()
	if held <= since {
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(wait):
		}
	}
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	s.watching--
	return cache.PartEvents{Epoch: 1, Next: int64(len(s.parts)), Clock: time.Hour, Changes: s.parts[since:]}, ctx.Err()
}

func (s *busyStore) Contents(context.Context, string) (cache.PartEvents, error) {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	return cache.PartEvents{Epoch: 1, Next: int64(len(s.parts)), Changes: s.parts}, nil
}

func (s *busyStore) Free(context.Context, string, int64, []cache.PartName) error { return errRefused }

// save makes the store hold one more part, and returns how many it holds.
func (s *busyStore) save() int {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	name := cache.PartName{Salt: "v1/m/", ID: fmt.Sprintf("%04d", len(s.parts))}
	s.parts = append(s.parts, cache.PartChange{PartName: name, Tokens: 1})
	close(s.changed)
	s.changed = make(chan struct{})
	return len(s.parts)
}

// counts returns how many questions were asked and how many were refused.
func (s *busyStore) counts() (asked, refused int) {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	return s.asked, s.refused
}

// shelfMember is one daemon of a fleet that knows what a store holds.
type shelfMember struct {
	name string
	kept *cache.Kept
	stop context.CancelFunc
}

// follow runs a fleet that follows a store.
func follow(t *testing.T, store cache.Watcher, info cache.StoreInfo, daemons int) []*shelfMember {
	seeds, listeners := addresses(t, daemons)
	var wg sync.WaitGroup
	var out []*shelfMember
	t.Cleanup(wg.Wait)
	for i, seed := range seeds {
		f := fleet.New(fleet.Options{
			Name: seed.Name, Incarnation: seed.Name + "-1", Seeds: seeds, Heartbeat: beat, Suspect: suspect, Log: &event.Log{},
		})
		shelves := spread.NewShelves(store, f)
		m := &shelfMember{name: seed.Name, kept: cache.NewKept(shelves, &event.Log{})}
		shelves.Serve(m.kept)
		ctx, cancel := context.WithCancel(context.Background())
		m.stop = cancel
		t.Cleanup(cancel)
		wg.Go(func() { f.Run(ctx, listeners[i]) })
		m.kept.Set(ctx, []cache.StoreInfo{info})
		out = append(out, m)
	}
	return out
}

// knowing returns how many daemons know that the store holds some parts, from what it
// told lately enough to act on.
func knowing(members []*shelfMember, address string, parts int) func() int {
	return func() int {
		n := 0
		for _, m := range members {
			if _, ok := m.kept.Told(address, 0, false, clock.Now()); ok && m.kept.Tokens() == parts {
				n++
			}
		}
		return n
	}
}

// Where each of six cells asks by itself, a store that answers four followers refuses some
// of them, and no minute goes by in which all daemons know what it holds.
func TestAFleetOfManyCellsNeverAsksAStoreMoreThanItAnswers(t *testing.T) {
	const daemons, address = 72, "10.0.0.1:1"
	g := gomega.NewWithT(t)
	store := &busyStore{watchers: 4, changed: make(chan struct{})}
	store.save()
	members := follow(t, store, cache.StoreInfo{Address: address, Room: 1000, Watchers: store.watchers}, daemons)
	g.Eventually(knowing(members, address, 1), soon, look).Should(gomega.Equal(daemons))
	for range 3 {
		parts := store.save()
		g.Eventually(knowing(members, address, parts), soon, look).Should(gomega.Equal(daemons))
	}
	_, refused := store.counts()
	g.Expect(refused).To(gomega.BeZero())
}

// Who asks a store may die; others of the fleet ask it then.
func TestAStoreIsFollowedAfterThoseWhoAskedItAreGone(t *testing.T) {
	const daemons, address = 40, "10.0.0.1:1"
	g := gomega.NewWithT(t)
	store := &busyStore{watchers: 8, changed: make(chan struct{})}
	members := follow(t, store, cache.StoreInfo{Address: address, Room: 1000, Watchers: store.watchers}, daemons)
	parts := store.save()
	g.Eventually(knowing(members, address, parts), soon, look).Should(gomega.Equal(daemons))
	var names []string
	for _, m := range members {
		names = append(names, m.name)
	}
	gone := fleet.Rank(fleet.Key("shelf/"+address), names)[:2]
	var rest []*shelfMember
	for _, m := range members {
		if m.name == gone[0] || m.name == gone[1] {
			m.stop()
		} else {
			rest = append(rest, m)
		}
	}
	parts = store.save()
	g.Eventually(knowing(rest, address, parts), soon, look).Should(gomega.Equal(len(rest)))
	_, refused := store.counts()
	g.Expect(refused).To(gomega.BeZero())
}
