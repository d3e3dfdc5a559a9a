package spread

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/memkv"
	"embertally.dev/core/plat"
)

// A daemon whose cache is as fresh as a peer's requests the next change from that peer, so that it
// does not first receive it by way of a heartbeat.
func TestFreshestPeerMayBeAsFreshAsThisDaemon(t *testing.T) {
	const step = 5 * time.Millisecond
	responded := clock.Now()
	tests := []struct {
		name string
		// reported is the time at which the store had responded to each peer, according to its
		// heartbeats.
		reported map[string]clock.Time
		want     string
	}{
		{"nobody", nil, ""},
		{"as fresh", map[string]clock.Time{"a": responded}, "a"},
		{"as fresh, its response arrived earlier", map[string]clock.Time{"a": responded.Add(-step)}, "a"},
		{"fresher", map[string]clock.Time{"a": responded.Add(step)}, "a"},
		{"the freshest", map[string]clock.Time{"a": responded, "b": responded.Add(time.Second)}, "b"},
		{"older", map[string]clock.Time{"a": responded.Add(-time.Second)}, ""},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			log := &event.Log{}
			s := NewWatchCacheSync(plat.NewWatchCache(&memkv.KV{}, plat.Prefix(""), log),
				fleet.New(fleet.Options{Name: "me", Log: log}), log)
			s.watchCache.ApplyChanges(nil, 1, responded)
			s.peerFresh = tc.reported
			gomega.NewWithT(t).Expect(s.freshestPeer()).To(gomega.Equal(tc.want))
		})
	}
}
