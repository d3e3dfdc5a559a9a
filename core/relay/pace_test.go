package relay

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/learn"
	"embertally.dev/core/roster"
)

// A worker that peers report to be slow at this moment must get no new streams while others are
// equally loaded, unless the switch is off. What streams observe reaches the heartbeats.
func TestSlowWorkerIsAvoided(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		t.Run(fmt.Sprint("disabled ", disabled), func(t *testing.T) {
			r := newRig(t, nil)
			r.relay.options.Pace = &learn.Pace{}
			r.relay.options.Disabled = Disabled{Pace: disabled, OpenConnections: true, Targets: true, Times: true}
			reports := map[string][]any{}
			for i := range 6 {
				id := fmt.Sprint("w", i)
				r.target(id, "llm", always(stream(true, "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n")))
				r.roster.Target(id).AddLoad(roster.Load{Running: 4})
				reports[id] = []any{"llm", 10, float32(1.3) * float32(max(0, 1-i))}
			}
			raw, err := msgpack.Marshal(reports)
			r.g.Expect(err).NotTo(gomega.HaveOccurred())
			for range 60 {
				r.relay.options.Pace.Receive("peer", raw)
				r.g.Expect(r.send("POST", "/stream/x", "body", "Model", "m").status).To(gomega.Equal(200))
			}
			r.g.Expect(r.relay.options.Pace.Collect(false) == nil).To(gomega.Equal(disabled))
			toSlow := 0
			for _, got := range r.received() {
				if got.target == "w0" {
					toSlow++
				}
			}
			r.g.Expect(toSlow > 0).To(gomega.Equal(disabled))
		})
	}
}
