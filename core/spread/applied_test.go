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

// pulled returns the values that a daemon gets from its peers, and how many peers responded.
func (m *member) pulled() (map[string]string, int) {
	got := map[string]string{}
	n := m.applied.Pull(context.Background(), func(p plat.Pair) { got[p.Key] = string(p.Value) })
	return got, n
}

// pair returns two daemons of a coordination store that holds op/config in version 1; sender has
// applied its version 2, which the store has lost.
func pair(t *testing.T) (g *gomega.WithT, store *memkv.KV, sender, requester *member) {
	g = gomega.NewWithT(t)
	store = &memkv.KV{}
	put(t, store, "op/config", []byte("one"))
	before := store.Copy()
	put(t, store, "op/config", []byte("two"))
	seeds, listeners := seedsAndListeners(t, 2)
	sender = run(t, seeds[0].Name, listeners[0], store, seeds)
	g.Eventually(sender.holds("op/config", []byte("two")), shortWait, pollInterval).Should(gomega.BeTrue())
	sender.applied.Set(plat.Pair{Key: "op/config", Value: []byte("two")}, 2)
	sender.applied.MarkReady()
	store.Restore(before)
	requester = run(t, seeds[1].Name, listeners[1], store, seeds)
	for _, m := range []*member{sender, requester} {
		g.Eventually(m.holds("op/config", []byte("one")), shortWait, pollInterval).Should(gomega.BeTrue())
	}
	requester.applied.Set(plat.Pair{Key: "op/config", Value: []byte("one")}, 1)
	return g, store, sender, requester
}

func TestAnAppliedValueThatTheStoreHasLostIsSent(t *testing.T) {
	g, _, sender, requester := pair(t)
	got, n := requester.pulled()
	g.Expect(n).To(gomega.Equal(1))
	g.Expect(got).To(gomega.Equal(map[string]string{"op/config": "two"}))
	// The requester has no newer value, and has not requested the values from peers itself.
	got, n = sender.pulled()
	g.Expect(n).To(gomega.BeZero())
	g.Expect(got).To(gomega.BeEmpty())
}

func TestAnOlderValueReplacesNoNewerOne(t *testing.T) {
	g, _, sender, requester := pair(t)
	sender.applied.Set(plat.Pair{Key: "op/config", Value: []byte("one")}, 1)
	got, _ := requester.pulled()
	g.Expect(got).To(gomega.Equal(map[string]string{"op/config": "two"}))
	requester.applied.Set(plat.Pair{Key: "op/config", Value: []byte("three")}, 3)
	got, n := requester.pulled()
	g.Expect(n).To(gomega.Equal(1))
	g.Expect(got).To(gomega.BeEmpty())
}

// A value without a version is sent to requesters that have none, until it is dropped.
func TestAValueWithoutAVersionIsSentUntilItIsDropped(t *testing.T) {
	g, _, sender, requester := pair(t)
	p := plat.Pair{Key: "op/evacuate/z1", Value: []byte("{}"), ModRevision: 7}
	sender.applied.Set(p, 0)
	got, _ := requester.pulled()
	g.Expect(got).To(gomega.HaveKeyWithValue(p.Key, "{}"))
	// It may be written again with other content, also large.
	for _, content := range []string{"1", "2"} {
		p.Value, p.ModRevision = append(randomBytes(200<<10), content...), p.ModRevision+1
		sender.applied.Set(p, 0)
		got, _ = requester.pulled()
		g.Expect(got).To(gomega.HaveKeyWithValue(p.Key, string(p.Value)))
	}
	sender.applied.Remove(p.Key)
	got, _ = requester.pulled()
	g.Expect(got).NotTo(gomega.HaveKey(p.Key))
}

// What the coordination store holds reaches all daemons through the watch cache.
func TestAnAppliedValueThatTheStoreHoldsIsNotSent(t *testing.T) {
	g, store, sender, requester := pair(t)
	put(t, store, "op/config", []byte("two"))
	g.Eventually(sender.holds("op/config", []byte("two")), shortWait, pollInterval).Should(gomega.BeTrue())
	got, n := requester.pulled()
	g.Expect(n).To(gomega.Equal(1))
	g.Expect(got).To(gomega.BeEmpty())
}

// A peer that has not noticed that the store was restored still has the lost value in its watch
// cache.
func TestAPeerOfAFormerStoreIncarnationSendsLostValues(t *testing.T) {
	g := gomega.NewWithT(t)
	store, before := &memkv.KV{}, &memkv.KV{}
	put(t, store, "op/config", []byte("two"))
	put(t, before, "op/config", []byte("one"))
	before.Restore(before.Copy())
	seeds, listeners := seedsAndListeners(t, 2)
	sender := run(t, seeds[0].Name, listeners[0], store, seeds)
	g.Eventually(sender.holds("op/config", []byte("two")), shortWait, pollInterval).Should(gomega.BeTrue())
	sender.applied.Set(plat.Pair{Key: "op/config", Value: []byte("two")}, 2)
	sender.applied.MarkReady()
	requester := run(t, seeds[1].Name, listeners[1], before, seeds)
	g.Eventually(requester.holds("op/config", []byte("one")), shortWait, pollInterval).Should(gomega.BeTrue())
	g.Expect(requester.watchCache.StoreIncarnation()).To(gomega.Equal(int64(1)))
	got, _ := requester.pulled()
	g.Expect(got).To(gomega.Equal(map[string]string{"op/config": "two"}))
}

// A large value is sent in chunks.
func TestALargeAppliedValueIsSent(t *testing.T) {
	g, _, sender, requester := pair(t)
	large := string(randomBytes(200 << 10))
	sender.applied.Set(plat.Pair{Key: "op/large", Value: []byte(large)}, 1)
	got, _ := requester.pulled()
	g.Expect(got).To(gomega.Equal(map[string]string{"op/config": "two", "op/large": large}))
}

func TestTargetsThatShutDownAreSent(t *testing.T) {
	g, _, sender, requester := pair(t)
	var received []string
	sender.shuttingDown.Store(&[]string{"i-1@1", "i-2@1"})
	requester.applied.OnShuttingDown = func(incarnation string) { received = append(received, incarnation) }
	requester.pulled()
	g.Expect(received).To(gomega.Equal([]string{"i-1@1", "i-2@1"}))
	// They are sent as well where no value is newer.
	received = nil
	requester.applied.Set(plat.Pair{Key: "op/config", Value: []byte("three")}, 3)
	requester.pulled()
	g.Expect(received).To(gomega.HaveLen(2))
}

func TestInvalidMessagesYieldNoAppliedValue(t *testing.T) {
	type appliedResponse struct {
		//lint:ignore U1000 read by the codec: frames are arrays
		_msgpack     struct{} `msgpack:",as_array"`
		Values       transfer
		ShuttingDown []string
	}
	junk := []byte("junk that is no compressed value")
	tests := []struct {
		name     string
		response appliedResponse
	}{
		{"bytes that are not compressed", appliedResponse{Values: transfer{Size: len(junk), Chunk: junk}}},
		{"a size below zero", appliedResponse{Values: transfer{Size: -1, Chunk: junk}}},
		{"a size above the limit", appliedResponse{Values: transfer{Size: 1 << 40, Chunk: junk}}},
		{"no second chunk", appliedResponse{Values: transfer{Size: 100, Chunk: junk}}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			store := &memkv.KV{}
			seeds, listeners := seedsAndListeners(t, 2)
			peer := fleet.New(fleet.Options{
				Name: seeds[0].Name, Incarnation: seeds[0].Name + "-1", Seeds: seeds,
				HeartbeatInterval: heartbeat, SuspectAfter: suspect, Log: &event.Log{},
			})
			peer.Mux().Register("spread.inforce", func(context.Context, string, []byte) (any, error) { return &tc.response, nil })
			peer.Mux().Register("spread.piece", func(context.Context, string, []byte) (any, error) { return nil, errRejected })
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			wg.Go(func() { peer.Run(ctx, listeners[0]) })
			t.Cleanup(func() { cancel(); wg.Wait() })
			requester := run(t, seeds[1].Name, listeners[1], store, seeds)
			got, n := requester.pulled()
			g.Expect(n).To(gomega.BeZero())
			g.Expect(got).To(gomega.BeEmpty())
		})
	}
}
