package relay

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/cache"
	"embertally.dev/core/clock"
	"embertally.dev/core/roster"
)

func TestAnswersOfPlainTargets(t *testing.T) {
	mismatched := func(w *bufio.Writer, _ *http.Request) error {
		fmt.Fprint(w, "HTTP/1.1 200 OK\r\nId: another\r\nSeal: s\r\nContent-Length: 2\r\n\r\nno")
		return nil
	}
	unsigned := func(w *bufio.Writer, r *http.Request) error {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nno", r.Header.Get("Id"))
		return nil
	}
	short := func(w *bufio.Writer, r *http.Request) error {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: 20\r\n\r\nhalf", r.Header.Get("Id"))
		return fmt.Errorf("cut")
	}
	tests := []struct {
		name     string
		path     string
		first    func(int) handler
		second   func(int) handler
		status   int
		body     string
		attempts int
	}{
		{"complete", "/once/a?b=c", always(respond(200, "yes")), nil, 200, "yes", 1},
		{"error of a non-repeatable request is passed on", "/once/a", always(respond(500, "bad")), nil, 500, "bad", 1},
		{"all targets reject", "/once/a", always(reject), always(reject), 503, "notRun", 2},
		{"rejected request is served by the other", "/once/a", inSequence(reject), always(respond(200, "yes")), 200, "yes", 0},
		{"non-repeatable without response is unknown", "/once/a", always(hangUp), always(respond(200, "yes")), 0, "", 1},
		{"repeatable without response is retried", "/repeatable/a", inSequence(hangUp, respond(200, "yes")), always(respond(200, "yes")), 200, "yes", 0},
		{"error of a repeatable request is retried", "/repeatable/a", always(respond(500, "bad")), always(respond(500, "bad")), 500, "bad", 2},
		{"response to another request", "/once/a", always(mismatched), nil, 502, "unknown", 1},
		{"unsigned response", "/once/a", always(unsigned), nil, 502, "unknown", 1},
		{"truncated response", "/once/a", always(short), nil, 502, "unknown", 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, nil)
			r.target("t1", "plain", tc.first)
			if tc.second != nil {
				r.target("t2", "plain", tc.second)
			}
			a := r.send(http.MethodPost, tc.path, "hello")
			if tc.status != 0 {
				r.g.Expect(a.status).To(gomega.Equal(tc.status))
			}
			r.g.Expect(a.body).To(gomega.ContainSubstring(tc.body))
			if tc.attempts > 0 {
				r.g.Expect(r.received()).To(gomega.HaveLen(tc.attempts))
			}
			for _, s := range r.received() {
				r.g.Expect(s.uri).To(gomega.Equal(tc.path))
				r.g.Expect(s.body).To(gomega.Equal("hello"))
				r.g.Expect(s.header.Get("Organisation")).To(gomega.Equal("org"))
				r.g.Expect(s.header.Get("Key")).To(gomega.BeEmpty())
				r.g.Expect(s.header.Get("Target")).To(gomega.Equal(s.target))
			}
		})
	}
}

func TestDisconnectOfNonRepeatableIsNotReportedAsNotRun(t *testing.T) {
	r := newRig(t, nil)
	r.target("t1", "plain", always(hangUp))
	r.target("t2", "plain", always(hangUp))
	a := r.send(http.MethodPost, "/once/a", "x")
	r.g.Expect(a.status).To(gomega.Equal(http.StatusBadGateway))
	r.g.Expect(a.header.Get("Come-Back")).To(gomega.BeEmpty())
	r.g.Expect(r.received()).To(gomega.HaveLen(1))
}

func TestRefusalsBeforeAnyAttempt(t *testing.T) {
	tests := []struct {
		name    string
		path    string
		headers []string
		stale   bool
		status  int
	}{
		{"no route", "/none/", nil, false, 404},
		{"no route, outdated configuration", "/none/", nil, true, 503},
		{"bad key", "/once/", []string{"Key", "other"}, false, 401},
		{"bad key, outdated configuration", "/once/", []string{"Key", "other"}, true, 503},
		{"no target", "/once/", nil, false, 503},
		{"public needs no key", "/public/", []string{"Key", ""}, false, 503},
		{"bad deadline", "/once/", []string{"Deadline", "soon"}, false, 400},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, nil)
			r.stale.Store(tc.stale)
			a := r.send(http.MethodPost, tc.path, "x", tc.headers...)
			r.g.Expect(a.status).To(gomega.Equal(tc.status))
			r.g.Expect(a.body).To(gomega.ContainSubstring(`"ran":"notRun"`))
			r.g.Expect(a.header.Get("Come-Back") != "").To(gomega.Equal(tc.status == 503))
			r.g.Expect(r.received()).To(gomega.BeEmpty())
		})
	}
}

// A route of a superseded configuration may lead to another service by now.
func TestOverdueConfigurationIsRefused(t *testing.T) {
	r := newRig(t, nil)
	r.target("t1", "plain", always(respond(200, "ok")))
	r.configOverdue.Store(int64(time.Second))
	a := r.send(http.MethodPost, "/once/", "x")
	r.g.Expect(a.status).To(gomega.Equal(503))
	r.g.Expect(a.body).To(gomega.ContainSubstring(`"ran":"notRun"`))
	r.g.Expect(a.header.Get("Come-Back")).NotTo(gomega.BeEmpty())
	r.g.Expect(r.received()).To(gomega.BeEmpty())
	r.configOverdue.Store(0)
	r.g.Expect(r.send(http.MethodPost, "/once/", "y").status).To(gomega.Equal(200))
}

// The Retry-After is the time until the cause is expected to end, and at most a third of the
// caller's remaining time.
func TestRetryAfterOfRefusals(t *testing.T) {
	tests := []struct {
		name            string
		make            func(r *rig)
		deadline        string
		atLeast, atMost time.Duration
	}{
		{"started just now", func(r *rig) { r.relay.table.Store(nil) }, "6000", minRetryAfter / 2, 400 * time.Millisecond},
		{"coordination store down", func(r *rig) {
			r.relay.table.Store(nil)
			r.relay.options.StoreDown = func() bool { return true }
		}, "6000", 700 * time.Millisecond, 1300 * time.Millisecond},
		{"no configuration for a minute", func(r *rig) {
			r.relay.table.Store(nil)
			r.relay.start = time.Now().Add(-time.Minute)
		}, "6000", 1900 * time.Millisecond, 2 * time.Second},
		{"little time remaining", func(r *rig) {
			r.relay.table.Store(nil)
			r.relay.start = time.Now().Add(-time.Minute)
		}, "300", time.Millisecond, 100 * time.Millisecond},
		{"about to stop", func(r *rig) { r.relay.RefuseRequests() }, "6000", minRetryAfter / 2, 2 * minRetryAfter},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, nil)
			r.relay.start = time.Now()
			tc.make(r)
			a := r.send(http.MethodPost, "/once/", "x", "Deadline", tc.deadline)
			r.g.Expect(a.status).To(gomega.Equal(http.StatusServiceUnavailable))
			after, err := time.ParseDuration(a.header.Get("Come-Back"))
			r.g.Expect(err).NotTo(gomega.HaveOccurred())
			r.g.Expect(after).To(gomega.BeNumerically(">=", tc.atLeast))
			r.g.Expect(after).To(gomega.BeNumerically("<=", tc.atMost))
		})
	}
}

func TestRouteTimeout(t *testing.T) {
	release := make(chan struct{})
	r := newRig(t, nil)
	t.Cleanup(func() { close(release) })
	r.target("t1", "plain", always(func(*bufio.Writer, *http.Request) error { <-release; return nil }))
	a := r.send(http.MethodPost, "/short/", "x")
	r.g.Expect(a.status).To(gomega.Equal(http.StatusGatewayTimeout))
	r.g.Expect(a.body).To(gomega.ContainSubstring(`"ran":"unknown"`))
}

func TestTargetsShuttingDownGetNoRequests(t *testing.T) {
	r := newRig(t, nil)
	f := r.target("t1", "plain", always(respond(200, "yes")))
	r.roster.Put(roster.Entry{ID: "t1", Service: "plain", Address: f.l.Addr().String(), ShuttingDown: true})
	r.g.Expect(r.send(http.MethodPost, "/once/", "x").status).To(gomega.Equal(http.StatusServiceUnavailable))
	r.g.Expect(r.received()).To(gomega.BeEmpty())
}

func TestStreams(t *testing.T) {
	tests := []struct {
		name      string
		path      string
		first     func(int) handler
		second    func(int) handler
		body      string
		truncated bool
		resumeAt  string
	}{
		{"complete", "/stream/", always(stream(true, "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n")), nil, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", false, ""},
		{
			"broken within an event, resumed elsewhere", "/stream/",
			always(stream(false, "id: 1\ndata: a\n\n", "id: 2\nda")),
			always(stream(true, "id: 2\ndata: b\n\n")),
			"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", false, "1",
		},
		{
			"events that the caller has received are left out", "/stream/",
			always(stream(false, "id: 9\ndata: a\n\n")),
			always(stream(true, "id: 9\ndata: a\n\n", "id: 10\ndata: b\n\n")),
			"id: 9\ndata: a\n\nid: 10\ndata: b\n\n", false, "9",
		},
		{"broken and not resumable", "/single/", always(stream(false, "id: 1\ndata: a\n\n")), always(stream(true, "id: 2\ndata: b\n\n")), "id: 1\ndata: a\n\n", true, ""},
		{"ends within an event", "/single/", always(stream(true, "id: 1\ndata: a\n\n", "id: 2\nda")), nil, "id: 1\ndata: a\n\n", true, ""},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, nil)
			r.target("t1", "llm", tc.first)
			if tc.second != nil {
				// The first one is chosen, since the second is busy.
				r.target("t2", "llm", tc.second)
				r.roster.Target("t2").AddLoad(roster.Load{Running: 3})
			}
			a := r.send(http.MethodPost, tc.path, "x", "Model", "m")
			r.g.Expect(a.body).To(gomega.Equal(tc.body))
			r.g.Expect(a.err != nil).To(gomega.Equal(tc.truncated))
			r.g.Expect(a.header.Get("Seal")).To(gomega.Equal("s-t1"))
			if tc.resumeAt != "" {
				s := r.received()
				r.g.Expect(s).To(gomega.HaveLen(2))
				r.g.Expect(s[1].target).To(gomega.Equal("t2"))
				r.g.Expect(s[1].header.Get("After")).To(gomega.Equal(tc.resumeAt))
			}
		})
	}
}

func TestCallerDisconnectCancelsAttempt(t *testing.T) {
	r := newRig(t, nil)
	started, ended := make(chan struct{}), make(chan struct{})
	r.target("t1", "plain", always(func(_ *bufio.Writer, req *http.Request) error {
		close(started)
		<-req.Context().Done()
		return nil
	}))
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.front.URL+"/repeatable/", strings.NewReader("x"))
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	req.Host = "h"
	req.Header.Set("Id", "try-1")
	req.Header.Set("Key", "secret")
	go func() {
		defer close(ended)
		http.DefaultClient.Do(req)
	}()
	<-started
	cancel()
	<-ended
	r.g.Eventually(r.relay.Running, "10s", "5ms").Should(gomega.BeZero())
	r.g.Expect(r.roster.Target("t1").LocalLoad()).To(gomega.Equal(roster.Load{}))
}

func TestRetriesStayWithinBudget(t *testing.T) {
	r := newRig(t, nil)
	r.relay.options.RetryShare, r.relay.options.RetryExtra = 0, 3.5/retryBudgetUse
	r.target("t1", "plain", always(respond(500, "bad")))
	r.target("t2", "plain", always(respond(500, "bad")))
	for range 10 {
		r.send(http.MethodPost, "/repeatable/", "x")
	}
	r.g.Expect(r.received()).To(gomega.HaveLen(13))
}

// storeSegment adds the KV-cache store to the rig and waits until the segment is known to be there.
func storeSegment(r *rig, salt, id string) {
	r.storeIndex.Set(testContext(r.t), []cache.StoreInfo{{Address: "store:1", Capacity: 1 << 20}})
	name := cache.SegmentName{Salt: salt, ID: id}
	r.g.Eventually(func() bool {
		return len(r.storeIndex.Find(name, clock.Now())) > 0
	}, "10s", "5ms").Should(gomega.BeTrue())
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return ctx
}

func TestSegmentsAreCopiedOnlyForDesiredWeights(t *testing.T) {
	tests := []struct {
		name    string
		desired int64
		copy    string
	}{
		{"newest", 1, "store:1,"},
		{"superseded", 2, ""},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			salt := sharedSalt
			r := newRig(t, fakeStores{[]cache.SegmentChange{{SegmentName: cache.SegmentName{Salt: salt, ID: "shared"}, Tokens: 5000}}})
			r.target("t1", "llm", always(stream(true, "id: 1\ndata: a\n\n")))
			storeSegment(r, salt, "shared")
			r.desired = tc.desired
			r.send(http.MethodPost, "/stream/", "x", "Model", "m", "Parts", "shared:5000 own:10")
			r.g.Expect(r.received()).To(gomega.HaveLen(1))
			r.g.Expect(r.received()[0].header.Get("Copy")).To(gomega.Equal(tc.copy))
			r.g.Expect(r.received()[0].header.Get("Salt")).To(gomega.Equal(salt))
		})
	}
}

// Segments of any size are stored and copied. Engines copy no segment after one without a source.
func TestSegmentsOfAnySizeAreStoredAndCopied(t *testing.T) {
	salt := sharedSalt
	segment := func(id string, tokens int) cache.SegmentChange {
		return cache.SegmentChange{SegmentName: cache.SegmentName{Salt: salt, ID: id}, Tokens: tokens}
	}
	tests := []struct {
		name     string
		stored   []cache.SegmentChange
		segments string
		copy     string
		keep     string
	}{
		{"both in the store", []cache.SegmentChange{segment("first", 60), segment("text", 5000)}, "first:60 text:5000 own:10", "store:1,store:1,", ""},
		{"the small one is not in the store", []cache.SegmentChange{segment("text", 5000)}, "first:60 text:5000 own:10", "", "store:1,,"},
		{"a small one after it", []cache.SegmentChange{segment("text", 5000)}, "text:5000 last:60 own:10", "store:1,,", ",store:1,"},
		{"none in the store", []cache.SegmentChange{segment("else", 10)}, "first:60 text:5000 own:10", "", "store:1,store:1,"},
		{"small ones only", []cache.SegmentChange{segment("first", 60)}, "first:60 session:240 own:10", "store:1,,", ",store:1,"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, fakeStores{tc.stored})
			r.target("t1", "llm", always(stream(true, "id: 1\ndata: a\n\n")))
			storeSegment(r, salt, tc.stored[0].ID)
			r.send(http.MethodPost, "/stream/", "x", "Model", "m", "Parts", tc.segments)
			r.g.Expect(r.received()).To(gomega.HaveLen(1))
			r.g.Expect(r.received()[0].header.Get("Copy")).To(gomega.Equal(tc.copy))
			r.g.Expect(r.received()[0].header.Get("Keep")).To(gomega.Equal(tc.keep))
		})
	}
}

// Of several sources, the one with the earliest expected end of the copy is used. If none can
// finish within the time limit of copies, the segment is prefilled.
func TestFastestCopySourceIsChosen(t *testing.T) {
	salt := sharedSalt
	name := cache.SegmentName{Salt: salt, ID: "text"}
	tests := []struct {
		name string
		make func(r *rig)
		want string
	}{
		{"the store with the faster link", func(*rig) {}, "fast:1,"},
		{"copies queued at the faster link", func(r *rig) { r.relay.options.Links.Begin("fast:1", "else", 800*time.Millisecond, time.Now()) }, "slow:1,"},
		{"the faster link has become slow", func(r *rig) {
			for range 8 {
				r.relay.options.Links.Sample("fast:1", "else", 8, 1, time.Now())
			}
		}, "slow:1,"},
		{"cached by a worker", func(r *rig) {
			for _, store := range []string{"fast:1", "slow:1"} {
				r.relay.options.Links.Begin(store, "else", 800*time.Millisecond, time.Now())
			}
			r.relay.options.WorkerCaches.RecordUse(cache.Use{
				Target: "t2", Salt: salt, Segments: []cache.UsedSegment{{ID: "text", Tokens: 5000}},
			}, time.Now())
		}, "t2,"},
		{"no source in time", func(r *rig) {
			for _, store := range []string{"fast:1", "slow:1"} {
				r.relay.options.Links.Begin(store, "else", 2*time.Second, time.Now())
			}
		}, ""},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, fakeStores{[]cache.SegmentChange{{SegmentName: name, Tokens: 5000}}})
			r.target("t1", "llm", always(stream(true, "id: 1\ndata: a\n\n")))
			r.storeIndex.Set(testContext(r.t), []cache.StoreInfo{
				{Address: "fast:1", Capacity: 1 << 20, TokenTime: 10 * time.Microsecond}, {Address: "slow:1", Capacity: 1 << 20, TokenTime: 20 * time.Microsecond},
			})
			r.g.Eventually(func() int { return len(r.storeIndex.Find(name, clock.Now())) }, "10s", "5ms").Should(gomega.Equal(2))
			t2 := r.target("t2", "llm", always(stream(true)))
			r.roster.Target("t2").AddLoad(roster.Load{Running: 100})
			tc.make(r)
			r.send(http.MethodPost, "/stream/", "x", "Model", "m", "Parts", "text:5000 own:10")
			r.g.Expect(r.received()).To(gomega.HaveLen(1))
			want := strings.Replace(tc.want, "t2", t2.l.Addr().String(), 1)
			r.g.Expect(r.received()[0].header.Get("Copy")).To(gomega.Equal(want))
		})
	}
}

// A segment that the worker may have evicted is copied if that costs less than the risk of
// prefilling it again.
func TestProbablyEvictedSegmentsAreCopied(t *testing.T) {
	salt := sharedSalt
	name := cache.SegmentName{Salt: salt, ID: "text"}
	tests := []struct {
		name string
		// used is how many tokens the worker has cached since, of its capacity of 20,000.
		used int
		copy string
	}{
		{"just used", 0, ""},
		{"probably cached", 1000, ""},
		{"probably evicted", 13000, "store:1,"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, fakeStores{[]cache.SegmentChange{{SegmentName: name, Tokens: 5000}}})
			r.target("t1", "llm", always(stream(true, "id: 1\ndata: a\n\n")))
			storeSegment(r, salt, "text")
			r.relay.options.WorkerCaches.Capacity = func(string) int { return 20000 }
			now := time.Now()
			r.relay.options.WorkerCaches.RecordUse(cache.Use{
				Target: "t1", Salt: salt, Segments: []cache.UsedSegment{{ID: "text", Tokens: 5000}},
			}, now)
			r.relay.options.WorkerCaches.RecordUse(cache.Use{Target: "t1", Salt: salt, Unshared: tc.used}, now)
			r.send(http.MethodPost, "/stream/", "x", "Model", "m", "Parts", "text:5000 own:10")
			r.g.Expect(r.received()).To(gomega.HaveLen(1))
			r.g.Expect(r.received()[0].header.Get("Copy")).To(gomega.Equal(tc.copy))
		})
	}
}

func TestIsolatedOrganisationsHaveTheirOwnSalt(t *testing.T) {
	r := newRig(t, nil)
	r.target("t1", "llm", always(stream(true, "id: 1\ndata: a\n\n")))
	r.send(http.MethodPost, "/stream/", "x", "Model", "m", "Parts", "a:10 b:10")
	r.send(http.MethodPost, "/stream/", "x", "Model", "m", "Parts", "a:10 b:10", "Key", "isolated")
	s := r.received()
	r.g.Expect(s[0].header.Get("Salt")).To(gomega.Equal(sharedSalt))
	r.g.Expect(s[1].header.Get("Salt")).To(gomega.Equal("v1/m/only/isolated"))
}

func TestGracefulShutdown(t *testing.T) {
	r := newRig(t, nil)
	r.target("t1", "plain", always(respond(200, "yes")))
	r.relay.BeginStop(time.Now().Add(time.Hour))
	a := r.send(http.MethodPost, "/once/", "x")
	r.g.Expect(a.status).To(gomega.Equal(200))
	r.relay.RefuseRequests()
	a = r.send(http.MethodPost, "/once/", "x")
	r.g.Expect(a.status).To(gomega.Equal(503))
	r.g.Expect(r.received()).To(gomega.HaveLen(1))
}

func TestOutdatedWeightsAreRefused(t *testing.T) {
	for _, tc := range []struct {
		name, deadline string
		outdatedSince  time.Duration
		// least and most bound the time after which the caller may come back.
		least, most time.Duration
	}{
		{"since just now", "60000", 0, 500 * time.Millisecond, 1500 * time.Millisecond},
		{"for some time", "60000", 4 * time.Second, 1200 * time.Millisecond, 6 * time.Second},
		{"for longer than the caller waits", "3000", time.Hour, 0, time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, nil)
			r.target("t1", "llm", always(stream(true, "id: 1\ndata: a\n\n")))
			r.desired, r.minWeights, r.outdatedSince = 2, 2, tc.outdatedSince
			a := r.send(http.MethodPost, "/stream/", "x", "Model", "m", "Deadline", tc.deadline)
			r.g.Expect(a.status).To(gomega.Equal(http.StatusServiceUnavailable))
			r.g.Expect(a.body).To(gomega.ContainSubstring("notRun"))
			r.g.Expect(r.received()).To(gomega.BeEmpty())
			after, err := time.ParseDuration(a.header.Get("Come-Back"))
			r.g.Expect(err).NotTo(gomega.HaveOccurred())
			r.g.Expect(after).To(gomega.And(gomega.BeNumerically(">=", tc.least), gomega.BeNumerically("<=", tc.most)))
		})
	}
}

func TestWeightsThatBecomeOutdatedAfterTheChoiceGetNoRequest(t *testing.T) {
	r := newRig(t, nil)
	r.target("t1", "llm", always(stream(true, "id: 1\ndata: a\n\n")))
	r.desired = 2
	asked := 0
	r.relay.options.WeightsOutdated = func(string, int64) time.Duration {
		if asked++; asked == 1 {
			return 0
		}
		return time.Second
	}
	a := r.send(http.MethodPost, "/stream/", "x", "Model", "m")
	r.g.Expect(a.status).To(gomega.Equal(http.StatusServiceUnavailable))
	r.g.Expect(a.body).To(gomega.ContainSubstring("notRun"))
	r.g.Expect(r.received()).To(gomega.BeEmpty())
}

func TestLongPromptsWaitForMemory(t *testing.T) {
	tests := []struct {
		name     string
		occupied int
		segments string
		status   int
	}{
		{"free memory", 1 << 19, "a:3000 b:10", 200},
		{"reserved memory", 1 << 20, "a:3000 b:10", 503},
		{"reserved memory, short prompt", 1 << 20, "a:300 b:10", 200},
		{"free memory, prompt longer than the memory", 0, "a:3000000 b:10", 200},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, nil)
			// Workers that prefill any prompt on time if they have the memory.
			r.relay.options.EnginePrior.PerThousandOwn = time.Millisecond / 10
			r.target("t1", "llm", always(stream(true, "id: 1\ndata: a\n\n")))
			r.roster.Target("t1").AddLoad(roster.Load{Running: 1, OccupiedTokens: tc.occupied})
			a := r.send(http.MethodPost, "/stream/", "x", "Model", "m", "Parts", tc.segments)
			r.g.Expect(a.status).To(gomega.Equal(tc.status))
			r.g.Expect(a.header.Get("Come-Back") != "").To(gomega.Equal(tc.status == 503))
		})
	}
}

// Other daemons receive a prompt's load while it runs, so that they do not all choose the same
// worker.
func TestPromptsArePublishedAtOnce(t *testing.T) {
	tests := []struct {
		name     string
		segments string
		want     []int
	}{
		{"long prompt", "a:3000 b:10", []int{3010}},
		{"short prompt", "a:300 b:10", []int{310}},
		{"no prompt", "", nil},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, nil)
			r.target("t1", "llm", always(stream(true, "id: 1\ndata: a\n\n")))
			var published []int
			r.relay.options.PublishState = func() { published = append(published, r.roster.Target("t1").LocalLoad().OccupiedTokens) }
			r.g.Expect(r.send(http.MethodPost, "/stream/", "x", "Model", "m", "Parts", tc.segments).status).To(gomega.Equal(http.StatusOK))
			r.g.Expect(published).To(gomega.Equal(tc.want))
		})
	}
}

func TestFullShareDoesNotSpillOver(t *testing.T) {
	tests := []struct {
		name     string
		make     func(t *roster.Target)
		status   int
		attempts int
	}{
		{"own worker is free", func(*roster.Target) {}, 200, 1},
		{"own worker is full", func(t *roster.Target) { t.AddLoad(roster.Load{Running: 1, OccupiedTokens: 1 << 20}) }, 503, 0},
		{"own worker does not respond", func(t *roster.Target) { t.RecordNoResponse(time.Now().Add(time.Minute)) }, 200, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, nil)
			r.relay.options.OwnTargets = func([]string) []string { return []string{"own"} }
			r.target("own", "llm", always(stream(true, "id: 1\ndata: a\n\n")))
			r.target("other", "llm", always(stream(true, "id: 1\ndata: a\n\n")))
			tc.make(r.roster.Target("own"))
			a := r.send(http.MethodPost, "/stream/", "x", "Model", "m", "Parts", "a:3000 b:10")
			r.g.Expect(a.status).To(gomega.Equal(tc.status))
			r.g.Expect(r.received()).To(gomega.HaveLen(tc.attempts))
		})
	}
}

func TestLargeFailuresArePassedOnCompletely(t *testing.T) {
	r := newRig(t, nil)
	large := strings.Repeat("x", maxBufferedBytes+1000)
	r.target("t1", "plain", always(respond(500, large)))
	r.target("t2", "plain", always(respond(500, large)))
	a := r.send(http.MethodPost, "/repeatable/", "x")
	r.g.Expect(a.err).NotTo(gomega.HaveOccurred())
	r.g.Expect(a.status).To(gomega.Equal(500))
	r.g.Expect(len(a.body)).To(gomega.Equal(len(large)))
}

// A daemon of a large fleet must expect on its cell's workers its own request rate times the number
// of daemons in the cell, not in the fleet. With the latter it would expect 25 times the real rate
// and refuse prompts wherever there is a short queue.
func TestQueueCostCountsOnlyTheCellsDaemons(t *testing.T) {
	const workers, share, daemons, callers = 150, 6, 300, 4
	r := newRig(t, nil)
	r.relay.options.DaemonCount = func() int { return daemons }
	// The priors are the times of real engines; those of this rig must not be learned.
	r.relay.options.Disabled.Times, r.relay.options.Disabled.Targets = true, true
	var own []string
	r.relay.options.OwnTargets = func([]string) []string { return own }
	for i := range share {
		id := "own-" + strconv.Itoa(i)
		own = append(own, id)
		r.target(id, "llm", always(stream(true, "id: 1\ndata: a\n\n")))
		// A queue of 0.3 s; answers within a second are on time.
		r.roster.Target(id).AddLoad(roster.Load{Running: 1, QueuedTokens: 15000, OccupiedTokens: 15000})
	}
	for i := range workers - share {
		r.roster.Put(roster.Entry{ID: "other-" + strconv.Itoa(i), Service: "llm", Address: "127.0.0.1:1", Slots: 4, Weights: map[string]int64{"m": 1}})
	}
	for range callers {
		a := r.send(http.MethodPost, "/stream/", "x", "Model", "m", "Parts", "a:3000 b:1000")
		r.g.Expect(a.status).To(gomega.Equal(http.StatusOK))
	}
}

// While links are slow, copies for long prompts fill them. A short prompt is prefilled in some
// milliseconds, but its copy would wait behind these: with half of the large stores four times
// slower, one short answer in seven missed its latency objective.
func TestShortPromptIsPrefilledInsteadOfWaitingForCopy(t *testing.T) {
	salt := sharedSalt
	name := cache.SegmentName{Salt: salt, ID: "text"}
	tests := []struct {
		name string
		// queued is the time of the copies that are queued for the link.
		queued   time.Duration
		segments string
		copy     string
	}{
		{"an idle link", 0, "text:400 own:80", "store:1,"},
		{"behind long copies", 950 * time.Millisecond, "text:400 own:80", ""},
		{"a long segment behind long copies", 450 * time.Millisecond, "text:20000 own:80", "store:1,"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, fakeStores{[]cache.SegmentChange{{SegmentName: name, Tokens: 400}}})
			r.target("t1", "llm", always(stream(true, "id: 1\ndata: a\n\n")))
			storeSegment(r, salt, "text")
			// The segment was prefilled recently, so prefilling it again has a cost.
			r.relay.options.WorkerCaches.RecordUse(cache.Use{
				Target: "removed", Salt: salt,
				Segments: []cache.UsedSegment{{ID: "text", Tokens: 400}},
			}, time.Now())
			if tc.queued > 0 {
				r.relay.options.Links.Begin("store:1", "else", tc.queued, time.Now())
			}
			a := r.send(http.MethodPost, "/stream/", "x", "Model", "m", "Parts", tc.segments)
			r.g.Expect(a.status).To(gomega.Equal(http.StatusOK))
			r.g.Expect(r.received()).To(gomega.HaveLen(1))
			r.g.Expect(r.received()[0].header.Get("Copy")).To(gomega.Equal(tc.copy))
		})
	}
}

// A worker that is changing its weights rejects requests. The daemon that gave the order publishes
// it only in its own cell; other cells must learn it from the first rejection, not from each.
func TestReloadingWorkerIsSkipped(t *testing.T) {
	tests := []struct {
		name    string
		desired int64
		// attempts matches the number of its requests, of five.
		attempts gomega.OmegaMatcher
	}{
		{"newer weights are desired", 2, gomega.Equal(1)},
		{"its weights are the newest", 1, gomega.BeNumerically(">", 1)},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, nil)
			r.desired = tc.desired
			r.target("changing", "llm", always(reject))
			r.target("busy", "llm", always(stream(true, "id: 1\ndata: a\n\n")))
			r.roster.Target("busy").AddLoad(roster.Load{Running: 1, QueuedTokens: 20000, OccupiedTokens: 20000})
			for range 5 {
				a := r.send(http.MethodPost, "/stream/", "x", "Model", "m", "Parts", "a:3000 b:10")
				r.g.Expect(a.status).To(gomega.Equal(http.StatusOK))
			}
			received := 0
			for _, s := range r.received() {
				if s.target == "changing" {
					received++
				}
			}
			r.g.Expect(received).To(tc.attempts)
		})
	}
}

// A request that was given up because it was blocked gets a refusal even if the block is lifted at
// that moment.
func TestUnblockedRequestStillGetsARefusal(t *testing.T) {
	r := newRig(t, nil)
	req := httptest.NewRequest(http.MethodPost, "/once/", nil)
	p := &proxiedRequest{
		relay: r.relay, r: req, w: httptest.NewRecorder(), start: time.Now(),
		deadline: time.Now().Add(time.Second),
	}
	refusal := p.giveUp(nil, crashesTargets)
	r.g.Expect(refusal).NotTo(gomega.BeNil())
	r.g.Expect(refusal.Status).To(gomega.Equal(http.StatusServiceUnavailable))
}
