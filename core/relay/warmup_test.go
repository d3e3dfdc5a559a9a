package relay

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/roster"
	"embertally.dev/core/table"
)

// warmUpRig returns a rig whose services allow targets that are warming up four requests per
// second.
func warmUpRig(t *testing.T) *rig {
	r := newRig(t, nil)
	old := r.relay.Table()
	spec := table.Spec{Version: old.Version() + 1, Routes: testRoutes, Organisations: []table.Organisation{{Name: "org", Keys: []string{"secret"}}}}
	for _, name := range []string{"plain", "llm"} {
		svc := *old.Service(name)
		svc.WarmUp = table.WarmUp{Duration: time.Minute, RequestsPerSecond: 4}
		spec.Services = append(spec.Services, svc)
	}
	r.relay.SetTable(table.New(spec))
	return r
}

// warmUp makes a target warm up for a minute.
func (r *rig) warmUp(id string) {
	e := *r.roster.Target(id).Entry()
	e.WarmUp = time.Minute
	r.roster.Put(e)
}

// countStatuses sends n requests at once and counts the answers by status.
func (r *rig) countStatuses(n int, path string, headers ...string) map[int]int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := map[int]int{}
	for range n {
		wg.Go(func() {
			got := r.send("POST", path, "b", headers...)
			mu.Lock()
			defer mu.Unlock()
			out[got.status]++
		})
	}
	wg.Wait()
	return out
}

func (r *rig) receivedBy(id string) int {
	n := 0
	for _, s := range r.received() {
		if s.target == id {
			n++
		}
	}
	return n
}

func TestWarmingWorkerIsRateLimited(t *testing.T) {
	r := warmUpRig(t)
	r.target("warming", "llm", always(stream(true, "id: 1\ndata: x\n\n")))
	r.target("warm", "llm", always(stream(true, "id: 1\ndata: x\n\n")))
	r.warmUp("warming")
	got := r.countStatuses(10, "/stream/x", "Model", "m", "Parts", "a:10 b:10")
	r.g.Expect(got).To(gomega.Equal(map[int]int{200: 10}))
	r.g.Expect(r.receivedBy("warming")).To(gomega.BeNumerically("<=", 2),
		"half of its rate: daemons may differ in their views of the fleet")
}

func TestSingleWarmingPlainTargetIsRateLimited(t *testing.T) {
	r := warmUpRig(t)
	r.target("warming", "plain", always(respond(200, "x")))
	r.warmUp("warming")
	got := r.countStatuses(12, "/short/x", "Deadline", "100")
	r.g.Expect(r.receivedBy("warming")).To(gomega.Equal(2))
	r.g.Expect(got).To(gomega.Equal(map[int]int{200: 2, 503: 10}))
}

func TestDaemonWithoutShareSendsNothingToWarmingTarget(t *testing.T) {
	r := warmUpRig(t)
	r.relay.options.Rank = func(string, bool) (int, int) { return 2, 79 }
	r.target("warming", "plain", always(respond(200, "x")))
	r.warmUp("warming")
	r.g.Expect(r.send("POST", "/short/x", "b", "Deadline", "100").status).To(gomega.Equal(503))
	r.g.Expect(r.receivedBy("warming")).To(gomega.BeZero())
}

func TestEvacuatedDomainGetsNoRequests(t *testing.T) {
	tests := []struct {
		name      string
		evacuated []string
		want      int
		to        string
	}{
		{"none", nil, 200, ""},
		{"one", []string{"d1"}, 200, "w2"},
		{"two, and one that no target is in", []string{"d1", "d3"}, 200, "w2"},
		{"all", []string{"d1", "d2"}, 503, ""},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, nil)
			for i := 1; i <= 2; i++ {
				id := fmt.Sprintf("w%d", i)
				r.target(id, "llm", always(stream(true, "id: 1\ndata: x\n\n")))
				e := *r.roster.Target(id).Entry()
				e.Domain = fmt.Sprintf("d%d", i)
				r.roster.Put(e)
			}
			start := time.Now()
			for _, d := range tc.evacuated {
				r.roster.Evacuate(d, true, start.Add(-time.Second))
			}
			got := r.send("POST", "/stream/x", "b", "Model", "m", "Parts", "a:10 b:10")
			r.g.Expect(got.status).To(gomega.Equal(tc.want))
			if tc.to != "" {
				r.g.Expect(r.receivedBy(tc.to)).To(gomega.Equal(1))
			}
			if tc.want == 503 {
				r.g.Expect(r.received()).To(gomega.BeEmpty())
				after, err := time.ParseDuration(got.header.Get("Come-Back"))
				r.g.Expect(err).NotTo(gomega.HaveOccurred())
				r.g.Expect(after).To(gomega.BeNumerically(">", 500*time.Millisecond),
					"the evacuation has lasted for a second")
			}
		})
	}
}

// A stream that breaks when its domain is evacuated is resumed in another domain.
func TestRetryAvoidsEvacuatedDomain(t *testing.T) {
	r := newRig(t, nil)
	breaks := stream(false, "id: 1\ndata: x\n\n")
	for id, domain := range map[string]string{"w1": "d1", "w2": "d1", "w3": "d2"} {
		r.target(id, "llm", always(stream(true, "id: 2\ndata: y\n\n")))
		e := *r.roster.Target(id).Entry()
		e.Domain = domain
		r.roster.Put(e)
	}
	r.target("w0", "llm", func(int) handler {
		r.roster.Evacuate("d1", true, time.Now())
		return breaks
	})
	r.roster.Put(func() roster.Entry {
		e := *r.roster.Target("w0").Entry()
		e.Domain = "d0"
		return e
	}())
	for _, id := range []string{"w1", "w2", "w3"} {
		r.roster.Target(id).AddLoad(roster.Load{Running: 2, QueuedTokens: 500, OccupiedTokens: 500})
	}
	got := r.send("POST", "/stream/x", "b", "Model", "m", "Parts", "a:10 b:10")
	r.g.Expect(got.status).To(gomega.Equal(200))
	r.g.Expect(got.body).To(gomega.ContainSubstring("id: 2"))
	r.g.Expect(r.receivedBy("w0")).To(gomega.Equal(1))
	r.g.Expect(r.receivedBy("w3")).To(gomega.Equal(1))
}
