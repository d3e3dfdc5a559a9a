package relay

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/canary"
	"embertally.dev/core/event"
	"embertally.dev/core/roster"
	"embertally.dev/core/target"
	"embertally.dev/core/testip"
)

// silentTarget adds a target that reads requests and does not respond. The channel receives the time
// between each request and the end of its connection.
func (r *rig) silentTarget(id, service string) <-chan time.Duration {
	l, err := testip.Listen()
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.t.Cleanup(func() { l.Close() })
	closed := make(chan time.Duration, 100)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				req, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				start := time.Now()
				io.Copy(io.Discard, req.Body)
				r.record(receivedRequest{target: id, uri: req.RequestURI, header: req.Header})
				io.Copy(io.Discard, reader)
				closed <- time.Since(start)
			}()
		}
	}()
	r.roster.Put(roster.Entry{ID: id, Service: service, Address: l.Addr().String(), Slots: 4, Weights: map[string]int64{"m": 1}})
	return closed
}

// hedgeRigLoad is the load of the targets that respond, by service: enough to be chosen second.
var hedgeRigLoad = map[string]int{"llm": 6, "plain": 15}

// hedgeRig is a rig whose first choice is a silent target and whose other ones respond.
func hedgeRig(t *testing.T, service string, respond handler) (*rig, <-chan time.Duration) {
	r := newRig(t, nil)
	closed := r.silentTarget("a-silent", service)
	for i := range 3 {
		r.target(fmt.Sprintf("b%d", i), service, always(respond))
	}
	for _, other := range r.roster.ByService(service)[1:] {
		other.AddLoad(roster.Load{Running: hedgeRigLoad[service]})
	}
	return r, closed
}

// A stream whose first event does not come waited until its deadline, although another worker could
// have answered. The worker must not go on for nobody, and its record stays as it was.
func TestSilentTargetIsHedged(t *testing.T) {
	for _, tc := range []struct {
		name, path, service, want string
		respond                   handler
	}{
		{"stream", "/stream/x", "llm", "id: 1\ndata: a\n\n", stream(true, "id: 1\ndata: a\n\n")},
		{"plain", "/read/x", "plain", "yes", respond(200, "yes")},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r, closed := hedgeRig(t, tc.service, tc.respond)
			start := time.Now()
			got := r.send("POST", tc.path, "body", "Model", "m")
			took := time.Since(start)
			r.g.Expect(got.status).To(gomega.Equal(200))
			r.g.Expect(got.body).To(gomega.Equal(tc.want))
			r.g.Expect(took).To(gomega.BeNumerically("<", time.Second))
			var open time.Duration
			r.g.Eventually(closed, "500ms").Should(gomega.Receive(&open))
			r.g.Expect(open).To(gomega.BeNumerically("<", took+500*time.Millisecond))
			stats := r.relay.options.Stats
			r.g.Expect([]uint64{stats.Attempts.Get(), stats.Hedges.Get(), stats.HedgesWon.Get()}).To(gomega.Equal([]uint64{2, 1, 1}))
			silent := r.roster.Target("a-silent")
			r.g.Expect(silent.Health(time.Now()).Suspect).To(gomega.BeFalse())
			r.g.Expect(r.relay.options.TargetStats.State("a-silent", tc.service, time.Now()).FailureShare).To(gomega.BeNumerically("<", 0.03))
			r.g.Expect(r.lastLogLine(event.RequestDone)).To(gomega.And(
				gomega.ContainSubstring("hedge to b"), gomega.ContainSubstring("a-silent=cancelled"),
				gomega.ContainSubstring("attempts 2, executions 2")))
			for i, t := range r.roster.ByService(tc.service) {
				r.g.Expect(t.LocalLoad().Running).To(gomega.Equal(min(i, 1)*hedgeRigLoad[tc.service]), t.ID())
			}
		})
	}
}

// Hedges must not run a request twice that may run once, nor add to an overload or to what retries
// after failures may use.
func TestNoHedges(t *testing.T) {
	for _, tc := range []struct {
		name, path string
		prepare    func(r *rig)
	}{
		{"at most once", "/attempted/x", func(*rig) {}},
		{"stream that is not resumable", "/unresumed/x", func(*rig) {}},
		{"one attempt", "/single/x", func(*rig) {}},
		{"switched off", "/stream/x", func(r *rig) { r.relay.options.Disabled.Hedges = true }},
		{"without retries", "/stream/x", func(r *rig) { r.relay.options.Disabled.Retries = true }},
		{"requests wait", "/stream/x", func(r *rig) { r.relay.hedgeGate.recordWait("llm", time.Now().Add(time.Minute)) }},
		{"a rollout is evaluated", "/stream/x", func(r *rig) {
			r.relay.options.Canary.SetOrder(canary.Order{Service: "llm", Version: "v2", Lasts: time.Minute, Revision: 5})
			r.relay.options.Canary.SetState("llm", canary.State{Order: 5, Version: "v2", Phase: canary.Trying})
		}},
		{"half of the budget is used", "/stream/x", func(r *rig) {
			for r.relay.spendHedge("llm") {
			}
			r.g.Expect(r.relay.spendRetry("llm")).To(gomega.BeTrue())
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			service := "llm"
			if tc.path == "/attempted/x" {
				service = "plain"
			}
			r, _ := hedgeRig(t, service, respond(200, "yes"))
			tc.prepare(r)
			got := r.send("POST", tc.path, "body", "Model", "m", "Deadline", "900")
			r.g.Expect(got.status).To(gomega.BeNumerically(">=", 500))
			r.g.Expect(r.received()).To(gomega.HaveLen(1))
			r.g.Expect(r.relay.options.Stats.Hedges.Get()).To(gomega.BeZero())
		})
	}
}

// secondAttempt is what the two targets of a hedged request know of each other.
type secondAttempt struct {
	once  sync.Once
	begun chan struct{}
}

func newSecondAttempt() *secondAttempt { return &secondAttempt{begun: make(chan struct{})} }

// first returns a handler that responds some time after the second target has received the request. If that does not happen, as
// where the hedge's timers were late, it responds in the end.
func (s *secondAttempt) first(after time.Duration, respond handler) handler {
	return func(w *bufio.Writer, req *http.Request) error {
		select {
		case <-s.begun:
			time.Sleep(after)
		case <-time.After(2 * time.Second):
		}
		return respond(w, req)
	}
}

// second returns a handler of the second target.
func (s *secondAttempt) second(respond handler) handler {
	return func(w *bufio.Writer, req *http.Request) error {
		s.once.Do(func() { close(s.begun) })
		return respond(w, req)
	}
}

// isHedged reports whether the rig's request went to two targets, to a first one and to another as its hedge.
func (r *rig) isHedged(first string) bool {
	received := r.received()
	return len(received) == 2 && received[0].target == first && r.relay.options.Stats.Hedges.Get() == 1
}

// The first attempt may still be answered first, and a hedge that fails must not end it.
func TestFirstAttemptMayWin(t *testing.T) {
	for _, tc := range []struct {
		name string
		// second is the response to the hedge, which comes before that to the first attempt unless it waits for its end.
		second func(end <-chan struct{}) handler
	}{
		{"the hedge is slower", func(end <-chan struct{}) handler {
			return func(*bufio.Writer, *http.Request) error {
				<-end
				return nil
			}
		}},
		{"the hedge breaks", func(<-chan struct{}) handler { return hangUp }},
		{"the hedge is rejected", func(<-chan struct{}) handler { return reject }},
		{"the hedge is answered without an ID", func(<-chan struct{}) handler {
			return func(w *bufio.Writer, _ *http.Request) error {
				fmt.Fprint(w, "HTTP/1.1 404 X\r\nContent-Length: 2\r\n\r\nno")
				return nil
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var r *rig
			var got callerAnswer
			for plays := 0; r == nil || !r.isHedged("a"); plays++ {
				r = newRig(t, nil)
				r.g.Expect(plays).To(gomega.BeNumerically("<", maxPlays), "no second attempt")
				end, attempts := make(chan struct{}), newSecondAttempt()
				r.target("a", "llm", always(attempts.first(500*time.Millisecond, stream(true, "id: 1\ndata: first\n\n"))))
				r.target("b", "llm", always(attempts.second(tc.second(end))))
				r.roster.Target("b").AddLoad(roster.Load{Running: 3})
				got = r.send("POST", "/stream/x", "body", "Model", "m")
				close(end)
			}
			r.g.Expect(got.body).To(gomega.Equal("id: 1\ndata: first\n\n"))
			r.g.Expect(r.relay.options.Stats.Hedges.Get()).To(gomega.Equal(uint64(1)))
			r.g.Expect(r.relay.options.Stats.HedgesWon.Get()).To(gomega.BeZero())
			r.g.Eventually(func() int { return r.roster.Target("b").LocalLoad().Running }, waitTimeout, pollInterval).Should(gomega.Equal(3))
		})
	}
}

// If both attempts fail, the request ends as after a retry.
func TestBothAttemptsFail(t *testing.T) {
	var r *rig
	var got callerAnswer
	for plays := 0; r == nil || !r.isHedged("a"); plays++ {
		r = newRig(t, nil)
		r.g.Expect(plays).To(gomega.BeNumerically("<", maxPlays), "no second attempt")
		attempts := newSecondAttempt()
		r.target("a", "plain", always(attempts.first(300*time.Millisecond, respond(500, "no"))))
		r.target("b", "plain", always(attempts.second(respond(500, "no"))))
		r.roster.Target("b").AddLoad(roster.Load{Running: 15})
		got = r.send("POST", "/read/x", "body")
	}
	r.g.Expect([]any{got.status, got.body, len(r.received())}).To(gomega.Equal([]any{500, "no", 2}))
}

// Callers that give up before the deadline if no event has come cannot use a hedge after that.
func TestNoHedgeAfterCallerGaveUp(t *testing.T) {
	for _, tc := range []struct {
		name     string
		patience time.Duration
		want     bool
	}{
		{"until the deadline", 0, true},
		{"gives up", 1200 * time.Millisecond, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r, now := newRig(t, nil), time.Now()
			route := *r.relay.Table().Match("h", "/stream/")
			route.FirstEventTimeout = tc.patience
			p := &proxiedRequest{
				relay: r.relay, route: &route, table: r.relay.Table(), service: "llm", meta: RequestMeta{Model: "m"},
				start: now.Add(-time.Second), deadline: now.Add(4 * time.Second), tried: map[string]int{},
			}
			c := &choice{}
			c.evaluation.Expected = 300 * time.Millisecond
			_, got := p.hedgeDelay(c, now)
			r.g.Expect(got).To(gomega.Equal(tc.want))
		})
	}
}

// Guards against a stream that breaks and goes on nowhere, since the hedge that it won against counts as an attempt though nothing was sent.
func TestHedgeThatWasNotSentIsNoAttempt(t *testing.T) {
	for _, tc := range []struct {
		name            string
		err             error
		tried, attempts int
	}{
		{"cancelled before sending", &target.SendError{}, 0, 0},
		{"cancelled after sending", &target.SendError{MayHaveArrived: true}, 1, 1},
		{"answered", nil, 1, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, nil)
			r.target("b", "llm", always(hangUp))
			settled := make(chan struct{})
			close(settled)
			p := &proxiedRequest{relay: r.relay, tried: map[string]int{"b": 1}}
			p.settle(&racer{flight: &flight{c: &choice{target: r.roster.Target("b")}, err: tc.err}, settled: settled})
			r.g.Expect(p.tried["b"]).To(gomega.Equal(tc.tried))
			r.g.Expect(p.attempts).To(gomega.Equal(tc.attempts))
		})
	}
}
