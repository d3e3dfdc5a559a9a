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
	answered := clock.Now()
	tests := []struct {
		name string
		// reported is the time at which the store had responded to each peer, according to its
		// heartbeats.
		reported map[string]clock.Time
		want     string
	}{
		{"nobody", nil, ""},
		{"as fresh", map[string]clock.Time{"a": answered}, "a"},
		{"as fresh, its answer arrived earlier", map[string]clock.Time{"a": answered.Add(-step)}, "a"},
		{"fresher", map[string]clock.Time{"a": answered.Add(step)}, "a"},
		{"the freshest", map[string]clock.Time{"a": answered, "b": answered.Add(time.Second)}, "b"},
		{"older", map[string]clock.Time{"a": answered.Add(-time.Second)}, ""},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			log := &event.Log{}
			m := NewWatchCacheSync(plat.NewWatchCache(&memkv.KV{}, plat.Prefix(""), log),
				fleet.New(fleet.Options{Name: "me", Log: log}), log)
			m.watchCache.ApplyChanges(nil, 1, answered)
			m.peerFresh = tc.reported
			gomega.NewWithT(t).Expect(m.freshestPeer()).To(gomega.Equal(tc.want))
		})
	}
}
