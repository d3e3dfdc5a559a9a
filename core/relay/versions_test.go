package relay

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/canary"
)

// Which versions requests reach during a rollout: while the canary is evaluated, while traffic
// moves, and after a rollback.
func TestRequestsFollowRollout(t *testing.T) {
	const requests = 200
	tests := []struct {
		name  string
		phase canary.Phase
		// targets are the versions of the listed targets.
		targets []string
		// minNew and maxNew bound the requests that reach v2. The others reach v1, or are refused if
		// refused is set.
		minNew, maxNew int
		refused        bool
	}{
		{"canary", canary.Trying, []string{"v1", "v2", "v2"}, 5, requests / 10, false},
		{"canary, no target of the version yet", canary.Trying, []string{"v1"}, 0, 0, false},
		{"canary, all targets have the version", canary.Trying, []string{"v2"}, requests, requests, false},
		{"moving", canary.Moving, []string{"v1", "v2"}, requests, requests, false},
		{"moving, no target of the version left", canary.Moving, []string{"v1"}, 0, 0, false},
		{"rolled back", canary.RolledBack, []string{"v1", "v2"}, 0, 0, false},
		{"rolled back, no other target left", canary.RolledBack, []string{"v2"}, 0, 0, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, nil)
			r.relay.options.Canary.CanaryShare = 0.1
			r.relay.options.Canary.SetOrder(canary.Order{
				Service: "plain", Version: "v2", Lasts: time.Minute, Revision: 5,
			})
			r.relay.options.Canary.SetState("plain", canary.State{Order: 5, Version: "v2", Phase: tc.phase})
			for i, version := range tc.targets {
				id := fmt.Sprintf("%s-%d", version, i)
				r.target(id, "plain", always(respond(http.StatusOK, "done")))
				e := *r.roster.Target(id).Entry()
				e.Version = version
				r.roster.Put(e)
			}
			refused := 0
			for range requests {
				if r.send(http.MethodPost, "/once/x", "x").status != http.StatusOK {
					refused++
				}
			}
			reached := map[string]int{}
			for _, s := range r.received() {
				reached[s.target[:2]]++
			}
			r.g.Expect(reached["v2"]).To(gomega.And(gomega.BeNumerically(">=", tc.minNew),
				gomega.BeNumerically("<=", tc.maxNew)))
			if tc.refused {
				r.g.Expect(refused).To(gomega.Equal(requests))
				return
			}
			r.g.Expect(refused).To(gomega.BeZero())
			r.g.Expect(reached["v1"]).To(gomega.Equal(requests - reached["v2"]))
		})
	}
}
