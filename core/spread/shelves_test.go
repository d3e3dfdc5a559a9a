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

// shelf is a store that holds some parts and never changes.
type shelf struct{ parts []cache.PartChange }

func (s shelf) Events(ctx context.Context, _ string, since int64, wait time.Duration) (cache.PartEvents, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return cache.PartEvents{Epoch: 1, Next: since, Clock: time.Hour}, ctx.Err()
}

func (s shelf) Contents(context.Context, string) (cache.PartEvents, error) {
	return cache.PartEvents{Epoch: 1, Next: 7, Clock: time.Hour, Changes: s.parts}, nil
}

func (s shelf) Free(context.Context, string, int64, []cache.PartName) error { return errRefused }

// What a store holds has no bound, and goes from one daemon of a cell to the others.
func TestTheContentsOfAStoreComeOverASlowLink(t *testing.T) {
	const rate, parts, daemons, address = 256 << 10, 8000, 12, "10.0.0.1:1"
	g := gomega.NewWithT(t)
	store := shelf{}
	for i := range parts {
		name := cache.PartName{Salt: "v12/model-with-a-long-name/", ID: fmt.Sprintf("%032x", i)}
		store.parts = append(store.parts, cache.PartChange{PartName: name, Tokens: 1})
	}
	direct, listeners := addresses(t, daemons)
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
	kepts := map[string]*cache.Kept{}
	fleets := map[string]*fleet.Fleet{}
	for i, name := range names {
		known := direct
		if name == ranked[daemons-1] {
			known = slow
		}
		f := fleet.New(fleet.Options{
			Name: name, Incarnation: name + "-1", Seeds: known, Heartbeat: beat, Suspect: suspect, Log: &event.Log{},
		})
		shelves := spread.NewShelves(store, f)
		kepts[name] = cache.NewKept(shelves, &event.Log{})
		shelves.Serve(kepts[name])
		fleets[name] = f
		wg.Go(func() { f.Run(ctx, listeners[i]) })
	}
	for _, name := range []string{ranked[0], ranked[1], ranked[daemons-1]} {
		g.Eventually(func() int { return len(fleets[name].View().OnDuty()) }, soon, look).Should(gomega.Equal(daemons))
		kepts[name].Set(ctx, []cache.StoreInfo{{Address: address, Room: parts}})
		g.Eventually(kepts[name].Tokens, long, look).Should(gomega.Equal(parts), name)
	}
}
