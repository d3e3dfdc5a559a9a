package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/cache"
	"embertally.dev/core/event"
	"embertally.dev/core/learn"
	"embertally.dev/core/origin"
	"embertally.dev/core/roster"
	"embertally.dev/core/route"
	"embertally.dev/core/table"
	"embertally.dev/core/target"
	"embertally.dev/core/testip"
)

// testDialect is a dialect with header names of its own.
type testDialect struct{}

func (testDialect) ParseRequest(h http.Header) (RequestMeta, error) {
	meta := RequestMeta{
		AttemptID: h.Get("Id"), APIKey: h.Get("Key"), Model: h.Get("Model"),
		LastEventID: h.Get("After"), Resumes: h.Get("Resumes"), ForTarget: h.Get("Key") == "" && h.Get("Salt") != "",
	}
	ms, err := strconv.Atoi(h.Get("Deadline"))
	if h.Get("Deadline") != "" && err != nil {
		return meta, err
	}
	meta.Timeout = time.Duration(ms) * time.Millisecond
	for _, f := range strings.Fields(h.Get("Parts")) {
		id, n, _ := strings.Cut(f, ":")
		tokens, _ := strconv.Atoi(n)
		meta.Segments = append(meta.Segments, cache.Segment{ID: id, Tokens: tokens})
		meta.PromptTokens += tokens
	}
	return meta, nil
}

func (testDialect) WriteAttempt(h http.Header, meta *AttemptMeta) error {
	if err := meta.Validate(); err != nil {
		return err
	}
	h.Del("Key")
	h.Set("Organisation", meta.Organisation)
	h.Set("Deadline", strconv.FormatInt(meta.Timeout.Milliseconds(), 10))
	h.Set("Target", meta.Target)
	h.Set("Weights", strconv.FormatInt(meta.WeightVersion, 10))
	h.Set("Salt", meta.CacheSalt)
	h.Set("After", meta.LastEventID)
	h.Set("Copy", strings.Join(meta.CopyFrom, ","))
	h.Set("Copy-Until", strconv.FormatInt(meta.CopyDeadline.Milliseconds(), 10))
	h.Set("Keep", strings.Join(meta.StoreTo, ","))
	return nil
}

func (testDialect) ParseResponse(status int, h http.Header) ResponseMeta {
	version, _ := strconv.ParseInt(h.Get("Weights"), 10, 64)
	pushback, _ := time.ParseDuration(h.Get("Rest"))
	rate, err := strconv.ParseFloat(h.Get("Limit"), 64)
	return ResponseMeta{
		RateLimit: roster.RateLimit{Stated: err == nil, PerSecond: rate},

		AttemptIDs: h.Values("Id"), Signed: h.Get("Seal") != "", NotExecuted: h.Get("Not-Run") != "" && status >= 400 || status == http.StatusMisdirectedRequest,
		Contradictory: h.Get("Not-Run") != "" && status < 400,
		Target:        h.Get("Run"),
		WeightVersion: version, Encoded: h.Get("Content-Encoding") != "",
		ShuttingDown: h.Get("Leaves") != "", Pushback: pushback,
	}
}

func (testDialect) WriteResponder(h http.Header, name string) { h.Set("Run", name) }

func (testDialect) WriteRefusal(h http.Header, id string, after time.Duration) {
	h.Set("Id", id)
	if after > 0 {
		h.Set("Come-Back", after.String())
	}
}

// receivedRequest is a request as a target received it.
type receivedRequest struct {
	target string
	method string
	uri    string
	header http.Header
	body   string
	at     time.Time
}

// handler responds to one request on a connection of a target; an error closes the connection.
type handler func(w *bufio.Writer, r *http.Request) error

// fakeTarget is a target whose responses a test defines.
type fakeTarget struct {
	id     string
	rig    *rig
	l      net.Listener
	handle func(n int) handler

	mu    sync.Mutex
	count int
}

func (t *fakeTarget) loop() {
	for {
		c, err := t.l.Accept()
		if err != nil {
			return
		}
		go t.run(c)
	}
}

// listenAgain makes a target whose listener was closed accept connections at the same address.
func (t *fakeTarget) listenAgain() {
	l, err := net.Listen("tcp", t.l.Addr().String())
	t.rig.g.Expect(err).NotTo(gomega.HaveOccurred())
	t.rig.t.Cleanup(func() { l.Close() })
	go (&fakeTarget{id: t.id, rig: t.rig, l: l, handle: t.handle}).loop()
}

func (t *fakeTarget) run(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		t.mu.Lock()
		n := t.count
		t.count++
		t.mu.Unlock()
		t.rig.record(receivedRequest{
			target: t.id, method: req.Method, uri: req.RequestURI, header: req.Header,
			body: string(body),
		})
		w := bufio.NewWriter(c)
		err = t.handle(n)(w, req)
		w.Flush()
		if err != nil {
			return
		}
	}
}

// rig is a relay in front of fake targets.
type rig struct {
	// sent is the number of requests that send has sent. Each has an ID of its own, unless a test sets it.
	sent       atomic.Int64
	t          *testing.T
	g          *gomega.WithT
	relay      *Relay
	roster     *roster.Roster
	storeIndex *cache.StoreIndexes
	log        *event.Log
	front      *httptest.Server
	desired    int64
	minWeights int64
	// outdatedSince is for how long older weights have been outdated; 0 stands for a millisecond.
	outdatedSince time.Duration
	stale         atomic.Bool
	// configOverdue is the result of Options.ConfigOverdue, in nanoseconds.
	configOverdue atomic.Int64

	mu       sync.Mutex
	requests []receivedRequest
}

func (r *rig) record(req receivedRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	req.at = time.Now()
	r.requests = append(r.requests, req)
}

func (r *rig) received() []receivedRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]receivedRequest(nil), r.requests...)
}

// fakeStores is a client of KV-cache stores that hold the given segments.
type fakeStores struct{ segments []cache.SegmentChange }

func (s fakeStores) Events(ctx context.Context, _ string, since int64, _ time.Duration) (cache.SegmentEvents, error) {
	if since > 1 {
		<-ctx.Done()
		return cache.SegmentEvents{}, ctx.Err()
	}
	return cache.SegmentEvents{Epoch: 1, Next: 2, Changes: s.segments, Clock: time.Minute}, nil
}

func (s fakeStores) Contents(context.Context, string) (cache.SegmentEvents, error) {
	return cache.SegmentEvents{Epoch: 1, Next: 1}, nil
}

func (fakeStores) Free(context.Context, string, int64, []cache.SegmentName) error { return nil }

// routeTimeout is longer than a test process stands still on a busy machine: no check waits until a request's deadline unless
// the request states one, or its route's is shorter.
const routeTimeout = time.Minute

// maxPlays is how often a test plays a case in which a process that stood still changed what was to be tested, such as a hedge
// that was not sent since its timer was late.
const maxPlays = 20

var testRoutes = []table.Route{
	{Name: "once", Host: "h", Prefix: "/once/", Kind: table.Once, Timeout: routeTimeout, LatencyObjective: time.Second, MaxAttempts: 1, Splits: []table.Split{{Service: "plain", Weight: 1}}},
	{Name: "repeatable", Host: "h", Prefix: "/repeatable/", Kind: table.Repeatable, Timeout: routeTimeout, LatencyObjective: 10 * time.Second, MaxAttempts: 2, Splits: []table.Split{{Service: "plain", Weight: 1}}},
	{Name: "read", Host: "h", Prefix: "/read/", Kind: table.Repeatable, Timeout: routeTimeout, LatencyObjective: time.Second, MaxAttempts: 2, Splits: []table.Split{{Service: "plain", Weight: 1}}},
	{Name: "attempted", Host: "h", Prefix: "/attempted/", Kind: table.Once, Timeout: routeTimeout, LatencyObjective: time.Second, MaxAttempts: 2, Splits: []table.Split{{Service: "plain", Weight: 1}}},
	{Name: "unresumed", Host: "h", Prefix: "/unresumed/", Kind: table.Stream, Timeout: routeTimeout, LatencyObjective: time.Second, MaxAttempts: 2, Splits: []table.Split{{Service: "llm", Weight: 1}}},
	{Name: "stream", Host: "h", Prefix: "/stream/", Kind: table.Stream, Resumable: true, Timeout: routeTimeout, LatencyObjective: time.Second, MaxAttempts: 2, Splits: []table.Split{{Service: "llm", Weight: 1}}},
	{Name: "raced", Host: "h", Prefix: "/raced/", Kind: table.Stream, Resumable: true, Timeout: routeTimeout, LatencyObjective: time.Second, MaxAttempts: 3, Splits: []table.Split{{Service: "llm", Weight: 1}}},
	{Name: "single", Host: "h", Prefix: "/single/", Kind: table.Stream, Timeout: routeTimeout, LatencyObjective: time.Second, MaxAttempts: 1, Splits: []table.Split{{Service: "llm", Weight: 1}}},
	{Name: "gap", Host: "h", Prefix: "/gap/", Kind: table.Stream, Resumable: true, Timeout: routeTimeout, LatencyObjective: time.Second, GapObjective: 400 * time.Millisecond, MaxAttempts: 2, Splits: []table.Split{{Service: "llm", Weight: 1}}},
	{Name: "public", Host: "h", Prefix: "/public/", Kind: table.Once, Timeout: time.Second, MaxAttempts: 1, Public: true, Splits: []table.Split{{Service: "plain", Weight: 1}}},
	{Name: "short", Host: "h", Prefix: "/short/", Kind: table.Once, Timeout: 150 * time.Millisecond, MaxAttempts: 1, Splits: []table.Split{{Service: "plain", Weight: 1}}},
}

var testOrganisations = []table.Organisation{{Name: "org", Keys: []string{"secret"}}, {Name: "isolated", Keys: []string{"isolated"}, Isolated: true}}

// sharedSalt is the salt of the organisation that is not isolated, for the first weights.
var sharedSalt = cache.SegmentSalt{Model: "m", Version: 1, Scope: table.New(table.Spec{Organisations: testOrganisations}).Scope(nil)}.String()

// Priors and costs, the latter as in the default settings.
var (
	enginePrior = learn.Prior{
		Fixed: 50 * time.Millisecond, PerThousandOwn: 20 * time.Millisecond,
		PerThousandQueued: 20 * time.Millisecond, Utilisation: 50 * time.Millisecond,
		MemoryPressure: 300 * time.Millisecond, QueuedPerSlot: time.Second, LogStdDev: 0.5,
		Observations: 5,
	}
	callPrior = learn.Prior{
		Fixed: 40 * time.Millisecond, QueuedPerSlot: 40 * time.Millisecond, LogStdDev: 0.5,
		Observations: 5,
	}
	testCosts = route.CostModel{
		UtilityPerToken: 0.0004, PastObjectiveShare: 0.25, RecomputePerToken: 0.0008,
		CopyPerToken: 0.000012, OldWeightsPenalty: 0.2, NewConnectionCost: 0.03,
		CrossDomainPerMiB: 4, DelayPenalty: 0.1,
	}
)

func newRig(t *testing.T, stores cache.StoreClient) *rig {
	r := &rig{t: t, g: gomega.NewWithT(t), log: &event.Log{}, desired: 1}
	if stores == nil {
		stores = fakeStores{}
	}
	r.roster = roster.New(r.log, nil)
	r.storeIndex = cache.NewStoreIndexes(stores, r.log)
	r.relay = New(Options{
		Dialect: testDialect{}, Roster: r.roster, Pool: &target.Pool{}, StoreIndex: r.storeIndex,
		WorkerCaches: &cache.WorkerCaches{}, Links: &learn.Links{}, LateCopies: &learn.LateCopies{}, Retention: &learn.Retention{}, Pauses: &learn.Pauses{},
		Log: r.log, Stats: NewStats(), Origins: origin.New(origin.Options{Versions: r.versions}),
		DesiredWeights: func(string) int64 { return r.desired }, ConfigCurrent: func() bool { return !r.stale.Load() }, ConfigOverdue: func() time.Duration { return time.Duration(r.configOverdue.Load()) }, WeightsOutdated: func(_ string, v int64) time.Duration { return r.outdatedFor(v) }, MayCopy: func() bool { return true },
		FirstAnswerTimes: learn.NewTimes(), TargetStats: &learn.Targets{}, EnginePrior: enginePrior,
		CallPrior: callPrior, Costs: testCosts,
		DaemonCount: func() int { return 1 }, Rank: func(string, bool) (int, int) { return 0, 1 }, WarmUpFactor: 1, PublishState: func() {}, ViewAge: func() time.Duration { return 0 }, OwnTargets: func(names []string) []string { return names }, RetryShare: 0.2, RetryExtra: 20, RetryWindow: 10 * time.Second,
	})
	// A process has its whole retry budget once it has run for a window.
	r.relay.start = r.relay.start.Add(-r.relay.options.RetryWindow)
	r.relay.SetTable(table.New(table.Spec{
		Version: 1, Routes: testRoutes,
		Services: []table.Service{
			{Name: "plain"}, {Name: "llm", Engine: &table.Engine{Models: []string{"m"}, Slots: 4, MemoryTokens: 1 << 20}},
		},
		Organisations: testOrganisations,
	}))
	r.front = testip.NewServer(r.relay)
	t.Cleanup(r.reportEvents)
	t.Cleanup(r.checkProtection)
	t.Cleanup(r.front.Close)
	return r
}

// reportedEvents is how many of a relay's last events are reported if its test fails.
const reportedEvents = 40

// reportEvents reports a relay's last events if the test failed.
func (r *rig) reportEvents() {
	if !r.t.Failed() {
		return
	}
	events := r.log.Since(0, math.MaxInt)
	for _, ev := range events[max(0, len(events)-reportedEvents):] {
		r.t.Log(ev.At.Format(time.StampMicro), ev.Name, ev.Request, ev.Target, ev.Text)
	}
}

// checkProtection checks that no attempt, in whatever way it was sent, lacked what keeps organisations and
// versions of weights apart.
func (r *rig) checkProtection() {
	salts := map[string]bool{}
	for _, req := range r.received() {
		salt, isolated := req.header.Get("Salt"), req.header.Get("Organisation") == "isolated"
		before, found := salts[salt]
		gomega.NewWithT(r.t).Expect(!found || before == isolated).To(gomega.BeTrue(), "%s: %q is for others as well", req.uri, salt)
		salts[salt] = isolated
		gomega.NewWithT(r.t).Expect(req.header.Get("Salt")).NotTo(gomega.BeEmpty(), "%s at %s", req.uri, req.target)
		if req.header.Get("Model") != "" {
			gomega.NewWithT(r.t).Expect(req.header.Get("Weights")).NotTo(gomega.Equal("0"), "%s at %s", req.uri, req.target)
		}
	}
}

// versions returns what is known of the versions of a service's targets.
func (r *rig) versions(service string) (string, origin.Proof) {
	versions := r.roster.Versions(service, time.Minute)
	if len(versions) != 1 {
		return "", origin.Several
	}
	return versions[0], origin.Sole
}

// target adds a target of a service, whose version the list does not give.
func (r *rig) target(id, service string, handle func(n int) handler) *fakeTarget {
	return r.versionTarget(id, service, "", handle)
}

// versionTarget adds a target of a service and version.
func (r *rig) versionTarget(id, service, version string, handle func(n int) handler) *fakeTarget {
	l, err := testip.Listen()
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	f := &fakeTarget{id: id, rig: r, l: l, handle: handle}
	r.t.Cleanup(func() { l.Close() })
	go f.loop()
	r.roster.Put(roster.Entry{ID: id, Service: service, Version: version, Address: l.Addr().String(), Slots: 4, Weights: map[string]int64{"m": 1}})
	return f
}

// ownID stands for the ID of the request in the bytes of a response.
const ownID = "{id}"

// withOwnID returns the bytes of the response to a request.
func withOwnID(sent string, r *http.Request) string {
	return strings.ReplaceAll(sent, ownID, r.Header.Get("Id"))
}

// always responds to every request in the same way.
func always(h handler) func(int) handler { return func(int) handler { return h } }

// inSequence uses one handler after the other, and the last one from then on.
func inSequence(hs ...handler) func(int) handler {
	return func(n int) handler { return hs[min(n, len(hs)-1)] }
}

// respond returns a handler that sends a complete response with a body and extra header lines.
func respond(status int, body string, extra ...string) handler {
	return func(w *bufio.Writer, r *http.Request) error {
		fmt.Fprintf(w, "HTTP/1.1 %d X\r\nId: %s\r\nSeal: s\r\nContent-Length: %d\r\n%s\r\n%s",
			status, r.Header.Get("Id"), len(body), strings.Join(append(extra, ""), "\r\n"), body)
		return nil
	}
}

// reject responds that the request was not executed.
func reject(w *bufio.Writer, r *http.Request) error {
	fmt.Fprintf(w, "HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
	return nil
}

// hangUp closes the connection without a response.
func hangUp(*bufio.Writer, *http.Request) error { return io.ErrClosedPipe }

// stream responds with the given chunks. If whole is not set, the connection is closed after them.
func stream(whole bool, chunks ...string) handler {
	return func(w *bufio.Writer, r *http.Request) error {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
			r.Header.Get("Id"), r.Header.Get("Target"))
		for _, c := range chunks {
			fmt.Fprintf(w, "%x\r\n%s\r\n", len(c), c)
			w.Flush()
		}
		if !whole {
			return io.ErrClosedPipe
		}
		fmt.Fprint(w, "0\r\n\r\n")
		return nil
	}
}

// callerAnswer is an answer as the caller received it.
type callerAnswer struct {
	status int
	header http.Header
	body   string
	err    error
}

// send sends a request as a caller. headers are alternating names and values.
func (r *rig) send(method, path, body string, headers ...string) callerAnswer {
	req, err := http.NewRequest(method, r.front.URL+path, strings.NewReader(body))
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	req.Host = "h"
	req.Header.Set("Id", "try-"+strconv.FormatInt(r.sent.Add(1), 10))
	req.Header.Set("Key", "secret")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return callerAnswer{err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return callerAnswer{resp.StatusCode, resp.Header, string(raw), err}
}

// lastLogLine returns the text of the newest log line with a code, or "".
func (r *rig) lastLogLine(code event.Code) string {
	text := ""
	for _, ev := range r.log.Since(0, 1<<20) {
		if ev.Code == code {
			text = ev.Text
		}
	}
	return text
}

// outdatedFor is Options.WeightsOutdated.
func (r *rig) outdatedFor(version int64) time.Duration {
	if version >= r.minWeights {
		return 0
	}
	return max(time.Millisecond, r.outdatedSince)
}
