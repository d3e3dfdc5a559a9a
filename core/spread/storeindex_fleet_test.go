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

// busyStore is a KV-cache store that admits a number of watchers at a time and rejects any more.
type busyStore struct {
	watchers int

	storeMu  sync.Mutex
	segments []cache.SegmentChange // guarded by storeMu
	// changed is closed and replaced with each change. Guarded by storeMu.
	changed   chan struct{}
	watching  int // guarded by storeMu
	requested int // guarded by storeMu
	rejected  int // guarded by storeMu
}

func (s *busyStore) Events(ctx context.Context, _ string, since int64, wait time.Duration) (cache.SegmentEvents, error) {
	s.storeMu.Lock()
	s.requested++
	if s.watching == s.watchers {
		s.rejected++
		s.storeMu.Unlock()
		return cache.SegmentEvents{}, errRejected
	}
	s.watching++
	stored, changed := int64(len(s.segments)), s.changed
	s.storeMu.Unlock()
	if stored <= since {
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(wait):
		}
	}
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	s.watching--
	return cache.SegmentEvents{
		Epoch: 1, Next: int64(len(s.segments)), Clock: time.Hour, Changes: s.segments[since:],
	}, ctx.Err()
}

func (s *busyStore) Contents(context.Context, string) (cache.SegmentEvents, error) {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	return cache.SegmentEvents{Epoch: 1, Next: int64(len(s.segments)), Changes: s.segments}, nil
}

func (s *busyStore) Free(context.Context, string, int64, []cache.SegmentName) error {
	return errRejected
}

// save adds one segment to the store, and returns how many it holds.
func (s *busyStore) save() int {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	name := cache.SegmentName{Salt: "v1/m/", ID: fmt.Sprintf("%04d", len(s.segments))}
	s.segments = append(s.segments, cache.SegmentChange{SegmentName: name, Tokens: 1})
	close(s.changed)
	s.changed = make(chan struct{})
	return len(s.segments)
}

// counts returns how many requests were received and how many of them rejected.
func (s *busyStore) counts() (requested, rejected int) {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	return s.requested, s.rejected
}

// indexMember is one daemon of a fleet with an index of a store.
type indexMember struct {
	name    string
	indexes *cache.StoreIndexes
	stop    context.CancelFunc
}

// indexFleet runs a fleet that keeps an index of a store.
func indexFleet(t *testing.T, store cache.StoreClient, info cache.StoreInfo, daemons int) []*indexMember {
	seeds, listeners := seedsAndListeners(t, daemons)
	var wg sync.WaitGroup
	var out []*indexMember
	t.Cleanup(wg.Wait)
	for i, seed := range seeds {
		f := fleet.New(fleet.Options{
			Name: seed.Name, Incarnation: seed.Name + "-1", Seeds: seeds, HeartbeatInterval: heartbeat,
			SuspectAfter: suspect, Log: &event.Log{},
		})
		indexes := spread.NewStoreIndexes(store, f)
		m := &indexMember{name: seed.Name, indexes: cache.NewStoreIndexes(indexes, &event.Log{})}
		indexes.Serve(m.indexes)
		ctx, cancel := context.WithCancel(context.Background())
		m.stop = cancel
		t.Cleanup(cancel)
		wg.Go(func() { f.Run(ctx, listeners[i]) })
		m.indexes.Set(ctx, []cache.StoreInfo{info})
		out = append(out, m)
	}
	return out
}

// upToDate returns a function that returns how many daemons have the given number of segments in
// their index, reported by the store recently enough to act on.
func upToDate(members []*indexMember, address string, segments int) func() int {
	return func() int {
		n := 0
		for _, m := range members {
			if _, ok := m.indexes.EventsSince(address, 0, false, clock.Now()); ok && m.indexes.Tokens() == segments {
				n++
			}
		}
		return n
	}
}

// If each of six cells sent requests on its own, a store that admits four watchers would reject
// some of them, and there would be no minute in which all daemons have a current index.
func TestAFleetOfManyCellsNeverExceedsAStoresWatchers(t *testing.T) {
	const daemons, address = 72, "10.0.0.1:1"
	g := gomega.NewWithT(t)
	store := &busyStore{watchers: 4, changed: make(chan struct{})}
	store.save()
	members := indexFleet(t, store, cache.StoreInfo{
		Address: address, Capacity: 1000, MaxWatchers: store.watchers,
	}, daemons)
	g.Eventually(upToDate(members, address, 1), shortWait, pollInterval).Should(gomega.Equal(daemons))
	for range 3 {
		segments := store.save()
		g.Eventually(upToDate(members, address, segments), shortWait, pollInterval).Should(gomega.Equal(daemons))
	}
	_, rejected := store.counts()
	g.Expect(rejected).To(gomega.BeZero())
}

// Daemons that watch a store may be lost; others of the fleet must take their place.
func TestAStoreIsWatchedAfterItsWatchersAreLost(t *testing.T) {
	const daemons, address = 40, "10.0.0.1:1"
	g := gomega.NewWithT(t)
	store := &busyStore{watchers: 8, changed: make(chan struct{})}
	members := indexFleet(t, store, cache.StoreInfo{
		Address: address, Capacity: 1000, MaxWatchers: store.watchers,
	}, daemons)
	segments := store.save()
	g.Eventually(upToDate(members, address, segments), shortWait, pollInterval).Should(gomega.Equal(daemons))
	var names []string
	for _, m := range members {
		names = append(names, m.name)
	}
	lost := fleet.Rank(fleet.Key("shelf/"+address), names)[:2]
	var rest []*indexMember
	for _, m := range members {
		if m.name == lost[0] || m.name == lost[1] {
			m.stop()
		} else {
			rest = append(rest, m)
		}
	}
	segments = store.save()
	g.Eventually(upToDate(rest, address, segments), shortWait, pollInterval).Should(gomega.Equal(len(rest)))
	_, rejected := store.counts()
	g.Expect(rejected).To(gomega.BeZero())
}
