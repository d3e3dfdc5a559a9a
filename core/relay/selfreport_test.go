package relay

import (
	"bufio"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/event"
	"embertally.dev/core/roster"
)

// respondHead responds with the given header lines and no body.
func respondHead(status int, head string) handler {
	return func(w *bufio.Writer, r *http.Request) error {
		fmt.Fprintf(w, "HTTP/1.1 %d X\r\nSeal: s\r\nContent-Length: 0\r\n%s\r\n", status, withOwnID(head, r))
		return nil
	}
}

// shuttingDown reports whether the roster records a target as shutting down.
func (r *rig) shuttingDown(id string) bool {
	_, shuttingDown := r.roster.ShuttingDown(r.roster.Target(id))
	return shuttingDown
}

// A self-reported state counts only if the response comes from the target that the
// request was sent to.
func TestSelfReportsAreAttributed(t *testing.T) {
	tests := []struct {
		name, path string
		response   handler
		want       bool
	}{
		{"a complete response", "/once/", respondHead(200, "Id: "+ownID+"\r\nLeaves: 1\r\n"), true},
		{"an error", "/once/", respondHead(500, "Id: "+ownID+"\r\nLeaves: 1\r\n"), true},
		{"a rejection", "/once/", respondHead(503, "Id: "+ownID+"\r\nNot-Run: 1\r\nLeaves: 1\r\n"), true},
		{"a rejection without ID", "/once/", respondHead(503, "Not-Run: 1\r\nLeaves: 1\r\n"), false},
		{"a response without a signature", "/repeatable/", func(w *bufio.Writer, req *http.Request) error {
			fmt.Fprint(w, "HTTP/1.1 200 X\r\nId: "+req.Header.Get("Id")+"\r\nLeaves: 1\r\nContent-Length: 0\r\n\r\n")
			return nil
		}, true},
		{"the header of a stream", "/stream/", func(w *bufio.Writer, req *http.Request) error {
			fmt.Fprint(w, "HTTP/1.1 200 X\r\nId: "+req.Header.Get("Id")+"\r\nSeal: s\r\nLeaves: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
			return nil
		}, true},
		{"a response to another request", "/once/", respondHead(200, "Id: try-9\r\nLeaves: 1\r\n"), false},
		{"a response without ID", "/once/", respondHead(200, "Leaves: 1\r\n"), false},
		{"another target at the address", "/once/", respondHead(421, "Id: "+ownID+"\r\nRun: other\r\nLeaves: 1\r\n"), false},
		{"an unnamed target at the address", "/once/", respondHead(421, "Id: "+ownID+"\r\nLeaves: 1\r\n"), false},
		{"the target itself, with other weights", "/stream/", respondHead(421, "Id: "+ownID+"\r\nRun: a\r\nLeaves: 1\r\n"), true},
		{"the target itself, with other weights, without ID", "/stream/", respondHead(421, "Run: a\r\nLeaves: 1\r\n"), false},
		{"a response to two requests", "/once/", respondHead(503, "Id: "+ownID+"\r\nId: try-9\r\nNot-Run: 1\r\nLeaves: 1\r\n"), false},
		{"no HTTP response", "/once/", func(w *bufio.Writer, _ *http.Request) error {
			fmt.Fprint(w, "Leaves: 1\r\n\r\n")
			return http.ErrAbortHandler
		}, false},
		{"a response without a report", "/once/", respondHead(200, "Id: "+ownID+"\r\n"), false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, nil)
			service := "plain"
			if tc.path == "/stream/" {
				service = "llm"
			}
			r.target("a", service, always(tc.response))
			r.send(http.MethodPost, tc.path, "x", "Model", "m", "Parts", "p:100")
			r.g.Expect(r.shuttingDown("a")).To(gomega.Equal(tc.want))
		})
	}
}

// A request waits for a connection while another response reports that the target is shutting down.
// It must not be sent there.
func TestQueuedRequestIsNotSentToTargetShuttingDown(t *testing.T) {
	r := newRig(t, nil)
	arrived, release := make(chan struct{}), make(chan struct{})
	r.target("a", "plain", always(func(w *bufio.Writer, req *http.Request) error {
		arrived <- struct{}{}
		<-release
		return respondHead(200, "Id: "+ownID+"\r\nLeaves: 1\r\n")(w, req)
	}))
	r.relay.options.Pool.SetMaxConns(r.roster.Target("a").Entry().Address, 1)
	first := make(chan callerAnswer)
	go func() { first <- r.send(http.MethodPost, "/once/", "x") }()
	<-arrived
	// The target is chosen before the report arrives, as in a race for the last connection.
	p := &proxiedRequest{
		relay: r.relay, start: time.Now(), deadline: time.Now().Add(time.Second),
		tried: map[string]int{}, table: r.relay.Table(), service: "plain", scope: r.relay.Table().Scope(nil),
	}
	p.r, _ = http.NewRequest(http.MethodPost, "/once/", http.NoBody)
	p.r.RequestURI = "/once/"
	p.route = r.relay.Table().Match("h", "/once/")
	c := &choice{target: r.roster.Target("a"), load: roster.Load{Running: 1}}
	second := make(chan outcome)
	go func() { out, _ := p.attempt(p.r.Context(), c); second <- out }()
	r.g.Eventually(func() int { return r.roster.Target("a").Load().Running }, waitTimeout, "1ms").Should(gomega.Equal(2))
	close(release)
	r.g.Expect((<-first).status).To(gomega.Equal(200))
	r.g.Expect(<-second).To(gomega.Equal(outcomeUnavailable))
	r.g.Expect(r.received()).To(gomega.HaveLen(1))
	r.g.Expect(r.roster.Target("a").Load()).To(gomega.Equal(roster.Load{}))
}

// The owner in another cell does not know that workers are shutting down. The query lists them, and
// the owner chooses the remaining one.
func TestOwnerIsSentExcludedWorkers(t *testing.T) {
	const daemons = 24
	h := newFleetRig(t, daemons, 8, always(stream(true, "id: 1\ndata: a\n\n")))
	cell, workers := h.ownerCell("context")
	sender := h.outsideOf(cell)
	// Only the sender knows that all but one worker of the owner's cell are shutting down.
	for _, id := range workers[1:] {
		h.rigs[sender].roster.RecordShutdown(id, roster.ByResponse)
	}
	before := len(h.rigs[0].received())
	for range 4 {
		h.g.Expect(h.send(sender, "context").status).To(gomega.Equal(200))
	}
	for _, s := range h.rigs[0].received()[before:] {
		h.g.Expect(s.target).To(gomega.Equal(workers[0]))
	}
}

// If all targets are under pushback, a request waits if the first pushback ends early enough for an
// answer on time. Otherwise it is refused at once, with the end of the pushback as Retry-After.
func TestAllTargetsUnderPushback(t *testing.T) {
	tests := []struct {
		name      string
		pushbacks []time.Duration
		// status is that of the first request for which all targets are under pushback, and from
		// the least Retry-After.
		status int
		from   time.Duration
	}{
		{"one of them for a short time", []time.Duration{time.Minute, 200 * time.Millisecond}, 200, 0},
		{"all for a long time", []time.Duration{40 * time.Second, 20 * time.Second}, 503, 19 * time.Second},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, nil)
			for i, d := range tc.pushbacks {
				id := fmt.Sprintf("t-%d", i)
				r.target(id, "plain", always(respond(200, id)))
				r.roster.RecordRejection(id, roster.Pushback{Duration: d})
			}
			start := time.Now()
			// The route has a latency objective of ten seconds, so that a busy box does not change
			// the result.
			got := r.send(http.MethodPost, "/repeatable/", "x")
			r.g.Expect(got.status).To(gomega.Equal(tc.status))
			if tc.status == 200 {
				return
			}
			r.g.Expect(time.Since(start)).To(gomega.BeNumerically("<", time.Second), "half of the timeout")
			retryAfter, err := time.ParseDuration(got.header.Get("Come-Back"))
			r.g.Expect(err).NotTo(gomega.HaveOccurred())
			r.g.Expect(retryAfter).To(gomega.BeNumerically(">=", tc.from))
			r.g.Expect(retryAfter).To(gomega.BeNumerically("<=", tc.from*2))
			r.g.Expect(r.received()).To(gomega.BeEmpty())
		})
	}
}

// A burst meets four targets, one of them under pushback. The others must get no more requests at a
// time than their bound, so that they need no pushback themselves, and the one under pushback gets
// none.
func TestPushbackDoesNotOverloadOtherTargets(t *testing.T) {
	const slots, callers = 4, 150
	r := newRig(t, nil)
	var mu sync.Mutex
	now, peak := map[string]int{}, map[string]int{}
	count := func(id string, d int) {
		mu.Lock()
		defer mu.Unlock()
		now[id] += d
		peak[id] = max(peak[id], now[id])
	}
	for n := range 4 {
		id := fmt.Sprintf("t-%d", n)
		r.target(id, "plain", always(func(w *bufio.Writer, req *http.Request) error {
			count(id, 1)
			defer count(id, -1)
			time.Sleep(30 * time.Millisecond)
			return respond(200, "x")(w, req)
		}))
	}
	r.roster.RecordRejection("t-0", roster.Pushback{Duration: time.Minute})
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() { r.send(http.MethodPost, "/once/", "x") })
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	r.g.Expect(peak).NotTo(gomega.HaveKey("t-0"))
	r.g.Expect(peak).To(gomega.HaveLen(3))
	for id, n := range peak {
		// Concurrent choices do not yet see each other's load.
		r.g.Expect(n).To(gomega.BeNumerically("<=", 2*plainMaxLoad*slots), id)
	}
}

// The log line of a request names the targets that were skipped for their self-reported state.
func TestLogLineNamesSkippedTargets(t *testing.T) {
	r := newRig(t, nil)
	r.target("a", "plain", always(respond(200, "x")))
	r.target("b", "plain", always(respond(200, "x")))
	r.target("c", "plain", always(respond(200, "x")))
	r.roster.RecordShutdown("a", roster.ByResponse)
	r.roster.RecordRejection("b", roster.Pushback{Duration: time.Minute})
	r.g.Expect(r.send(http.MethodPost, "/once/", "x").status).To(gomega.Equal(200))
	r.g.Eventually(func() string { return r.lastLogLine(event.RequestDone) }, waitTimeout, pollInterval).Should(gomega.ContainSubstring("skipped: a leaves, b rests"))
}

// A report in the response to one daemon reaches its whole cell within some heartbeats.
func TestShutdownReportReachesWholeCell(t *testing.T) {
	const daemons = 24
	h := newFleetRig(t, daemons, 8, always(respondHead(200, "Id: "+ownID+"\r\nLeaves: 1\r\n")))
	// Without a shared segment, so that no owner is queried.
	h.rigs[0].send(http.MethodPost, "/stream/", "x", "Model", "m", "Parts", "own:100")
	received := h.rigs[0].received()
	h.g.Expect(received).NotTo(gomega.BeEmpty())
	cell := h.fleets[0].View().Cell()
	notified := 0
	for i, f := range h.fleets {
		if f.View().Cell() != cell {
			continue
		}
		notified++
		h.g.Eventually(func() bool { return h.rigs[i].shuttingDown(received[0].target) }, waitTimeout, pollInterval).Should(gomega.BeTrue())
	}
	h.g.Expect(notified).To(gomega.BeNumerically(">", 1))
}
