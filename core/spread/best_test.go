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

// A daemon that knows what its teller knows waits at the teller for the next change, so
// that it does not hear of it by a heartbeat first.
func TestTheNextChangeIsWaitedForAtThePeer(t *testing.T) {
	const step = 5 * time.Millisecond
	answered := clock.Now()
	tests := []struct {
		name string
		// told is when the store had answered each peer, by its heartbeats.
		told map[string]clock.Time
		want string
	}{
		{"nobody", nil, ""},
		{"as fresh", map[string]clock.Time{"a": answered}, "a"},
		{"as fresh, its answer came on a shorter way", map[string]clock.Time{"a": answered.Add(-step)}, "a"},
		{"fresher", map[string]clock.Time{"a": answered.Add(step)}, "a"},
		{"the freshest", map[string]clock.Time{"a": answered, "b": answered.Add(time.Second)}, "b"},
		{"older", map[string]clock.Time{"a": answered.Add(-time.Second)}, ""},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			log := &event.Log{}
			m := NewMirrors(plat.NewMirror(&memkv.KV{}, plat.Prefix(""), log), fleet.New(fleet.Options{Name: "me", Log: log}), log)
			m.mirror.Take(nil, 1, answered)
			m.peers = tc.told
			gomega.NewWithT(t).Expect(m.best()).To(gomega.Equal(tc.want))
		})
	}
}
