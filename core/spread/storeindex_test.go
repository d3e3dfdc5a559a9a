package spread_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/cache"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/spread"
)

// staticStore is a KV-cache store that holds some segments and never changes.
type staticStore struct{ segments []cache.SegmentChange }

func (s staticStore) Events(ctx context.Context, _ string, since int64, wait time.Duration) (cache.SegmentEvents, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return cache.SegmentEvents{Epoch: 1, Next: since, Clock: time.Hour}, ctx.Err()
}

func (s staticStore) Contents(context.Context, string) (cache.SegmentEvents, error) {
	return cache.SegmentEvents{Epoch: 1, Next: 7, Clock: time.Hour, Changes: s.segments}, nil
}

func (s staticStore) Free(context.Context, string, int64, []cache.SegmentName) error {
	return errRejected
}

// A store's contents have no size limit, and must pass from one daemon of a cell to the others.
func TestAStoresContentsAreSentOverASlowLink(t *testing.T) {
	const rate, segments, daemons, address = 256 << 10, 8000, 12, "10.0.0.1:1"
	g := gomega.NewWithT(t)
	store := staticStore{}
	for i := range segments {
		name := cache.SegmentName{Salt: "v12/model-with-a-long-name/", ID: fmt.Sprintf("%032x", i)}
		store.segments = append(store.segments, cache.SegmentChange{SegmentName: name, Tokens: 1})
	}
	direct, listeners := seedsAndListeners(t, daemons)
	slow := append([]fleet.Peer(nil), direct...)
	var names []string
	for i := range slow {
		slow[i].Address = slowLink(t, rate)(slow[i].Address)
		names = append(names, slow[i].Name)
	}
	ranked := fleet.Rank(fleet.Key("shelf/"+address), names)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	indexesByName := map[string]*cache.StoreIndexes{}
	fleetByName := map[string]*fleet.Fleet{}
	for i, name := range names {
		ownSeeds := direct
		if name == ranked[daemons-1] {
			ownSeeds = slow
		}
		f := fleet.New(fleet.Options{
			Name: name, Incarnation: name + "-1", Seeds: ownSeeds, HeartbeatInterval: heartbeat,
			SuspectAfter: suspect, Log: &event.Log{},
		})
		indexes := spread.NewStoreIndexes(store, f)
		indexesByName[name] = cache.NewStoreIndexes(indexes, &event.Log{})
		indexes.Serve(indexesByName[name])
		fleetByName[name] = f
		wg.Go(func() { f.Run(ctx, listeners[i]) })
	}
	for _, name := range []string{ranked[0], ranked[1], ranked[daemons-1]} {
		g.Eventually(func() int { return len(fleetByName[name].View().Eligible()) }, shortWait, pollInterval).Should(gomega.Equal(daemons))
		indexesByName[name].Set(ctx, []cache.StoreInfo{{Address: address, Capacity: segments}})
		g.Eventually(indexesByName[name].Tokens, longWait, pollInterval).Should(gomega.Equal(segments), name)
	}
}
