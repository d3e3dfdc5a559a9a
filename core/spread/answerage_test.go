package spread

import (
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/clock"
	"embertally.dev/core/conf"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/memkv"
)

// knownRed skips a test that KNOWN-RED.txt lists where CI runs.
func knownRed(t *testing.T) {
	if os.Getenv("KNOWN_RED") != "" {
		t.Skip("listed in KNOWN-RED.txt")
	}
}

// Guards against an answer that makes a configuration younger than it is: the peer had it confirmed by a heartbeat that was
// long under way.
func TestAgeInAnAnswerIsNoneOfALateHeartbeat(t *testing.T) {
	for _, tc := range []struct {
		name string
		// late is how long the heartbeat was under way.
		late time.Duration
	}{
		{"at once", 0},
		{"late", 10 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if tc.late > 0 {
				knownRed(t)
			}
			g := gomega.NewWithT(t)
			replicator := func(name string) *ConfigReplicator {
				store := conf.NewStore(&event.Log{})
				g.Expect(store.Replace(conf.Full{Seq: 3, HeadRevision: 1})).To(gomega.BeTrue())
				return New(store, fleet.New(fleet.Options{Name: name, Log: &event.Log{}}), &memkv.KV{})
			}
			confirmed, peer := replicator("confirmed"), replicator("peer")
			confirmed.store.Confirm(3, clock.Now())
			heartbeat, err := msgpack.Marshal(confirmed.Collect(true))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			clock.Suspend(tc.late)
			peer.Receive("confirmed", heartbeat)
			answer, err := peer.handleState(t.Context(), "asker", nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(answer.AgeMillis < 0 || answer.AgeMillis >= int(tc.late.Milliseconds())).To(gomega.BeTrue(), "%d ms", answer.AgeMillis)
		})
	}
}
