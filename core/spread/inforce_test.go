package spread_test

import (
	"context"
	"sync"
	"testing"

	"github.com/onsi/gomega"

	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/memkv"
	"embertally.dev/core/plat"
)

// asked returns what a daemon gets when it asks its peers, and how many answered.
func (m *member) asked() (map[string]string, int) {
	got := map[string]string{}
	n := m.inForce.Ask(context.Background(), func(p plat.Pair) { got[p.Key] = string(p.Value) })
	return got, n
}

// pair returns two daemons before a service that holds op/config in version 1; the first has version 2 of it in
// force, which the service has lost.
func pair(t *testing.T) (g *gomega.WithT, store *memkv.KV, teller, asker *member) {
	g = gomega.NewWithT(t)
	store = &memkv.KV{}
	put(t, store, "op/config", []byte("one"))
	before := store.Copy()
	put(t, store, "op/config", []byte("two"))
	seeds, listeners := addresses(t, 2)
	teller = run(t, seeds[0].Name, listeners[0], store, seeds)
	g.Eventually(teller.holds("op/config", []byte("two")), soon, look).Should(gomega.BeTrue())
	teller.inForce.Set(plat.Pair{Key: "op/config", Value: []byte("two")}, 2)
	teller.inForce.Settle()
	store.Restore(before)
	asker = run(t, seeds[1].Name, listeners[1], store, seeds)
	for _, m := range []*member{teller, asker} {
		g.Eventually(m.holds("op/config", []byte("one")), soon, look).Should(gomega.BeTrue())
	}
	asker.inForce.Set(plat.Pair{Key: "op/config", Value: []byte("one")}, 1)
	return g, store, teller, asker
}

func TestAValueInForceThatTheServiceHasLostIsTold(t *testing.T) {
	g, _, teller, asker := pair(t)
	got, n := asker.asked()
	g.Expect(n).To(gomega.Equal(1))
	g.Expect(got).To(gomega.Equal(map[string]string{"op/config": "two"}))
	// The asker knows no newer one, and has not asked for itself as far as it knows.
	got, n = teller.asked()
	g.Expect(n).To(gomega.BeZero())
	g.Expect(got).To(gomega.BeEmpty())
}

func TestAnOlderValueReplacesNoNewerOne(t *testing.T) {
	g, _, teller, asker := pair(t)
	teller.inForce.Set(plat.Pair{Key: "op/config", Value: []byte("one")}, 1)
	got, _ := asker.asked()
	g.Expect(got).To(gomega.Equal(map[string]string{"op/config": "two"}))
	asker.inForce.Set(plat.Pair{Key: "op/config", Value: []byte("three")}, 3)
	got, n := asker.asked()
	g.Expect(n).To(gomega.Equal(1))
	g.Expect(got).To(gomega.BeEmpty())
}

// What has no version is told where the asker has none, until it is dropped.
func TestAValueWithoutAVersionIsToldUntilItIsDropped(t *testing.T) {
	g, _, teller, asker := pair(t)
	p := plat.Pair{Key: "op/evacuate/z1", Value: []byte("{}"), ModRevision: 7}
	teller.inForce.Set(p, 0)
	got, _ := asker.asked()
	g.Expect(got).To(gomega.HaveKeyWithValue(p.Key, "{}"))
	// It may be written again with other content, also large.
	for _, content := range []string{"1", "2"} {
		p.Value, p.ModRevision = append(noise(200<<10), content...), p.ModRevision+1
		teller.inForce.Set(p, 0)
		got, _ = asker.asked()
		g.Expect(got).To(gomega.HaveKeyWithValue(p.Key, string(p.Value)))
	}
	teller.inForce.Drop(p.Key)
	got, _ = asker.asked()
	g.Expect(got).NotTo(gomega.HaveKey(p.Key))
}

// What the service holds reaches everyone through the mirror.
func TestAValueInForceThatTheServiceHoldsIsNotTold(t *testing.T) {
	g, store, teller, asker := pair(t)
	put(t, store, "op/config", []byte("two"))
	g.Eventually(teller.holds("op/config", []byte("two")), soon, look).Should(gomega.BeTrue())
	got, n := asker.asked()
	g.Expect(n).To(gomega.Equal(1))
	g.Expect(got).To(gomega.BeEmpty())
}

// A peer that has not heard of the restore believes that the service holds what it has lost.
func TestAPeerOfAFormerEraTellsWhatTheServiceHasLost(t *testing.T) {
	g := gomega.NewWithT(t)
	store, before := &memkv.KV{}, &memkv.KV{}
	put(t, store, "op/config", []byte("two"))
	put(t, before, "op/config", []byte("one"))
	before.Restore(before.Copy())
	seeds, listeners := addresses(t, 2)
	teller := run(t, seeds[0].Name, listeners[0], store, seeds)
	g.Eventually(teller.holds("op/config", []byte("two")), soon, look).Should(gomega.BeTrue())
	teller.inForce.Set(plat.Pair{Key: "op/config", Value: []byte("two")}, 2)
	teller.inForce.Settle()
	asker := run(t, seeds[1].Name, listeners[1], before, seeds)
	g.Eventually(asker.holds("op/config", []byte("one")), soon, look).Should(gomega.BeTrue())
	g.Expect(asker.mirror.Era()).To(gomega.Equal(int64(1)))
	got, _ := asker.asked()
	g.Expect(got).To(gomega.Equal(map[string]string{"op/config": "two"}))
}

// A large value is told in pieces.
func TestALargeValueInForceIsTold(t *testing.T) {
	g, _, teller, asker := pair(t)
	large := string(noise(200 << 10))
	teller.inForce.Set(plat.Pair{Key: "op/large", Value: []byte(large)}, 1)
	got, _ := asker.asked()
	g.Expect(got).To(gomega.Equal(map[string]string{"op/config": "two", "op/large": large}))
}

func TestTargetsThatLeaveAreTold(t *testing.T) {
	g, _, teller, asker := pair(t)
	var told []string
	teller.leaving.Store(&[]string{"i-1@1", "i-2@1"})
	asker.inForce.Leaves = func(run string) { told = append(told, run) }
	asker.asked()
	g.Expect(told).To(gomega.Equal([]string{"i-1@1", "i-2@1"}))
	// Also where no value is newer.
	told = nil
	asker.inForce.Set(plat.Pair{Key: "op/config", Value: []byte("three")}, 3)
	asker.asked()
	g.Expect(told).To(gomega.HaveLen(2))
}

func TestAPeersNonsenseIsNoValueInForce(t *testing.T) {
	type inForceAnswer struct {
		//lint:ignore U1000 read by the codec: frames are arrays
		_msgpack struct{} `msgpack:",as_array"`
		Packed   parcel
		Leaving  []string
	}
	junk := []byte("junk that is no packed value")
	tests := []struct {
		name   string
		answer inForceAnswer
	}{
		{"bytes that are not packed", inForceAnswer{Packed: parcel{Size: len(junk), Piece: junk}}},
		{"a size below zero", inForceAnswer{Packed: parcel{Size: -1, Piece: junk}}},
		{"a size without bounds", inForceAnswer{Packed: parcel{Size: 1 << 40, Piece: junk}}},
		{"no second piece", inForceAnswer{Packed: parcel{Size: 100, Piece: junk}}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			store := &memkv.KV{}
			seeds, listeners := addresses(t, 2)
			peer := fleet.New(fleet.Options{
				Name: seeds[0].Name, Incarnation: seeds[0].Name + "-1", Seeds: seeds, Heartbeat: beat, Suspect: suspect, Log: &event.Log{},
			})
			peer.Mux().Register("spread.inforce", func(context.Context, string, []byte) (any, error) { return &tc.answer, nil })
			peer.Mux().Register("spread.piece", func(context.Context, string, []byte) (any, error) { return nil, errRefused })
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			wg.Go(func() { peer.Run(ctx, listeners[0]) })
			t.Cleanup(func() { cancel(); wg.Wait() })
			asker := run(t, seeds[1].Name, listeners[1], store, seeds)
			got, n := asker.asked()
			g.Expect(n).To(gomega.BeZero())
			g.Expect(got).To(gomega.BeEmpty())
		})
	}
}
