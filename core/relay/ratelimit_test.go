package relay

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/fleet"
	"embertally.dev/core/roster"
)

// limitHeader returns the header line that states a rate limit.
func limitHeader(perSecond float64) string {
	return "Limit: " + strconv.FormatFloat(perSecond, 'g', -1, 64) + "\r\n"
}

func TestOtherTargetsServeWhatExceedsARateLimit(t *testing.T) {
	for _, path := range []string{"/once/", "/repeatable/"} {
		t.Run(path, func(t *testing.T) {
			r := newRig(t, nil)
			r.target("a", "plain", always(respond(200, "x", limitHeader(0.1))))
			r.target("b", "plain", always(respond(200, "x")))
			for range 40 {
				r.g.Expect(r.send(http.MethodPost, path, "x").status).To(gomega.Equal(200))
			}
			received := 0
			for _, s := range r.received() {
				if s.target == "a" {
					received++
				}
			}
			r.g.Expect(received).To(gomega.BeNumerically("<=", 1))
		})
	}
}

// If all targets are rate-limited, the refusal gives the time of the next permit. One request waits
// for it if that is soon enough; the others are refused at once.
func TestAllTargetsRateLimited(t *testing.T) {
	tests := []struct {
		name      string
		perSecond float64
		status    int
	}{
		{"permit before the deadline", 2, 200},
		{"permit after the deadline", 0.1, 503},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, nil)
			r.target("a", "plain", always(respond(200, "x", limitHeader(tc.perSecond))))
			r.g.Expect(r.send(http.MethodPost, "/repeatable/", "x").status).To(gomega.Equal(200))
			start := time.Now()
			got := r.send(http.MethodPost, "/repeatable/", "x")
			r.g.Expect(got.status).To(gomega.Equal(tc.status))
			if tc.status == 200 {
				r.g.Expect(time.Since(start)).To(gomega.BeNumerically(">=", 100*time.Millisecond),
					"it waited for the permit")
				return
			}
			r.g.Expect(time.Since(start)).To(gomega.BeNumerically("<", time.Second), "half of the timeout")
			retryAfter, err := time.ParseDuration(got.header.Get("Come-Back"))
			r.g.Expect(err).NotTo(gomega.HaveOccurred())
			r.g.Expect(retryAfter).To(gomega.BeNumerically("~", 11*time.Second, 2*time.Second))
			r.g.Expect(got.body).To(gomega.ContainSubstring(allRateLimited))
			r.g.Expect(r.received()).To(gomega.HaveLen(1))
		})
	}
}

func TestOneRequestPerServiceWaitsForPermit(t *testing.T) {
	g := gomega.NewWithT(t)
	var w permitWaiters
	g.Expect(w.enter("a")).To(gomega.BeTrue())
	g.Expect(w.enter("a")).To(gomega.BeFalse())
	g.Expect(w.enter("b")).To(gomega.BeTrue())
	w.leave("a")
	g.Expect(w.enter("a")).To(gomega.BeTrue())
}

// The permit of a request that got no connection is returned.
func TestUnusedPermitIsReturned(t *testing.T) {
	r := newRig(t, nil)
	unreachable := r.target("a", "plain", always(respond(200, "x", limitHeader(0.1))))
	r.g.Expect(r.send(http.MethodPost, "/once/", "x").status).To(gomega.Equal(200))
	r.relay.options.Pool.CloseIdle(r.roster.Target("a").Entry().Address)
	unreachable.l.Close()
	target := r.roster.Target("a")
	permit := r.waitForPermit(target)
	p := r.request(http.MethodPost, "/once/")
	out, _ := p.attempt(p.r.Context(), &choice{target: target, load: roster.Load{Running: 1}, permit: permit})
	r.g.Expect(out).To(gomega.Equal(outcomeNotSent))
	_, granted := r.roster.TakePermit(target)
	r.g.Expect(granted).To(gomega.BeTrue())
}

// request returns a request of the plain service that makes its attempts when a test tells it.
func (r *rig) request(method, path string) *proxiedRequest {
	p := &proxiedRequest{
		relay: r.relay, start: time.Now(), deadline: time.Now().Add(time.Second),
		tried: map[string]int{}, table: r.relay.Table(), service: "plain", scope: r.relay.Table().Scope(nil),
	}
	p.r, _ = http.NewRequest(method, path, http.NoBody)
	p.r.RequestURI = path
	p.route = r.relay.Table().Match("h", path)
	return p
}

// waitForPermit raises the rate limit of a target and takes the next permit.
func (r *rig) waitForPermit(target *roster.Target) (permit roster.Permit) {
	r.roster.MergeRateLimits(map[string]roster.RateLimitUpdate{target.ID(): {Active: true, PerSecond: 20, Seq: 9}})
	r.g.Eventually(func() (granted bool) { permit, granted = r.roster.TakePermit(target); return granted }, waitTimeout, pollInterval).Should(gomega.BeTrue())
	return permit
}

// The query contains the rate limits that the sender has recorded. The owner takes the permits of
// its workers; without a permit the sender does not send there.
func TestOwnerTakesPermits(t *testing.T) {
	const daemons = 24
	h := newFleetRig(t, daemons, 8, always(stream(true, "id: 1\ndata: a\n\n")))
	cell, workers := h.ownerCell("context")
	sender := h.outsideOf(cell)
	// Only the sender knows that the workers of the owner's cell accept one request in 10 s.
	reported := map[string]roster.RateLimitUpdate{}
	for _, id := range workers {
		reported[id] = roster.RateLimitUpdate{Active: true, PerSecond: 0.1, Seq: 1}
	}
	h.rigs[sender].roster.MergeRateLimits(reported)
	h.g.Expect(h.send(sender, "context").status).To(gomega.Equal(http.StatusOK))
	informed := 0
	for i, f := range h.fleets {
		if f.View().Cell() == cell && len(h.rigs[i].roster.RateLimitedTargets()) == len(workers) {
			informed++
		}
	}
	h.g.Expect(informed).To(gomega.BeNumerically(">", 0), "owners that received the limits")
	for _, s := range h.rigs[0].received() {
		h.g.Expect(strings.Join(workers, " ")).NotTo(gomega.ContainSubstring(s.target), "the owner had no permit")
	}
	// With permits the owner's choice is used.
	for i, f := range h.fleets {
		if f.View().Cell() == cell {
			h.rigs[i].roster.MergeRateLimits(raised(reported))
		}
	}
	h.g.Eventually(func() int {
		h.send(sender, "context")
		n := 0
		for _, s := range h.rigs[0].received() {
			if strings.Contains(strings.Join(workers, " "), s.target) {
				n++
			}
		}
		return n
	}, waitTimeout, pollInterval).Should(gomega.BeNumerically(">", 0))
}

// raised returns the limits with a rate that yields permits soon.
func raised(limits map[string]roster.RateLimitUpdate) map[string]roster.RateLimitUpdate {
	out := map[string]roster.RateLimitUpdate{}
	for id, limit := range limits {
		limit.PerSecond, limit.Seq = 100, limit.Seq+1
		out[id] = limit
	}
	return out
}

// A daemon that does not use the rate-limited target gets a permit from one that does.
func TestDaemonWithoutPermitsQueriesSenders(t *testing.T) {
	h := newFleetRig(t, 6, 1, always(limitedStreamResponse(20)))
	reported := map[string]roster.RateLimitUpdate{h.workers[0]: {Active: true, PerSecond: 20, Seq: 1}}
	for i, r := range h.rigs {
		view := h.fleets[i].View
		r.roster.Rank = func(*roster.Target) (int, int) {
			// All daemons but the last one use the target.
			if view().Self() == "entry-05" {
				return 100, 100
			}
			return 0, 100
		}
		r.relay.options.RankedDaemons = func(*roster.Target, int) []string { return []string{"entry-00", "entry-01"} }
		r.roster.MergeRateLimits(reported)
	}
	h.g.Eventually(func() int { return h.send(5, "context").status }, waitTimeout, pollInterval).Should(gomega.Equal(http.StatusOK))
	h.g.Expect(h.rigs[5].roster.RateLimitedTargets()).To(gomega.HaveLen(1))
	h.g.Expect(h.rigs[5].roster.RateLimitedTargets()[0].Sends).To(gomega.BeFalse())
}

// A response that is not signed may come from any target, so it does not end a rate limit.
func TestUnsignedResponseKeepsRateLimit(t *testing.T) {
	r := newRig(t, nil)
	unsigned := func(w *bufio.Writer, req *http.Request) error {
		fmt.Fprintf(w, "HTTP/1.1 200 X\r\nId: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Id"))
		return nil
	}
	r.target("a", "plain", inSequence(respond(200, "x", limitHeader(20)), unsigned, respond(200, "x")))
	for _, want := range []int{1, 1, 0} {
		r.send(http.MethodPost, "/once/", "x")
		r.g.Expect(r.roster.RateLimitedTargets()).To(gomega.HaveLen(want))
	}
}

// limitedStreamResponse returns a stream whose header states a rate limit.
func limitedStreamResponse(perSecond float64) handler {
	return func(w *bufio.Writer, r *http.Request) error {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\n%sTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n", r.Header.Get("Id"), limitHeader(perSecond))
		return nil
	}
}

// Contexts are owned by two cells, and all workers state a rate limit. It must hold for local
// choices, owners' choices and permits of other daemons together.
func TestRateLimitHoldsAcrossCells(t *testing.T) {
	const perSecond, convergence, duration, window = 3, time.Second, 6 * time.Second, 4 * time.Second
	h := newFleetRig(t, 24, 4, always(limitedStreamResponse(perSecond)))
	for i, r := range h.rigs {
		f := h.fleets[i]
		// As View.SelfRank, which needs a list of boxes that these daemons do not have.
		r.roster.Rank = func(t *roster.Target) (int, int) {
			cell := f.View().Eligible()
			return fleet.RankOf(fleet.Key(t.ID()), cell, f.View().Self()), len(cell)
		}
		r.relay.options.RankedDaemons = func(t *roster.Target, n int) []string { return f.View().TopRanked(fleet.Key(t.ID()), true, n) }
	}
	h.g.Expect(h.fleets[0].View().Cells()).To(gomega.BeNumerically(">", 1))
	start := time.Now()
	var wg sync.WaitGroup
	for i := range h.rigs {
		wg.Go(func() {
			for n := 0; time.Since(start) < duration; n++ {
				h.send(i, fmt.Sprintf("c%d", n%7))
			}
		})
	}
	wg.Wait()
	arrivals := map[string][]time.Time{}
	for _, s := range h.rigs[0].received() {
		if s.at.Sub(start) > convergence {
			arrivals[s.target] = append(arrivals[s.target], s.at)
		}
	}
	for id, list := range arrivals {
		for i, from := range list {
			n := 0
			for _, at := range list[i:] {
				if at.Sub(from) <= window {
					n++
				}
			}
			h.g.Expect(n).To(gomega.BeNumerically("<=", 1.5*perSecond*window.Seconds()+5), id)
		}
	}
	h.g.Expect(arrivals).NotTo(gomega.BeEmpty())
}
