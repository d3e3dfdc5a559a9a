package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"embertally.dev/core/conf"
	"embertally.dev/core/event"
	"embertally.dev/core/once"
	"embertally.dev/core/target"
)

// Headers of calls to plain services.
const (
	HeaderIdempotency  = "Idempotency-Key"
	HeaderTicket       = "X-Embertally-Ticket"
	HeaderOrganisation = "X-Embertally-Organisation"
	headerPrefix       = "X-Embertally-"
)

// defaultCallTimeout bounds a call whose route sets no time.
const defaultCallTimeout = 10 * time.Second

// maxAnswer bounds the answer of a plain service, which is read whole before
// any of it is given to the caller.
const maxAnswer = 16 << 20

// inflight counts the calls at each target. The zero value is ready.
type inflight struct {
	callsMu sync.Mutex
	counts  map[string]int       // guarded by callsMu
	failed  map[string]time.Time // until when not chosen; guarded by callsMu
	turn    int                  // guarded by callsMu
}

// failPause is how long a service target that could not be reached is passed
// over while there are others.
const failPause = time.Second

// choose takes the target with the fewest calls, in turn among equals.
func (f *inflight) choose(names []string, now time.Time) string {
	f.callsMu.Lock()
	defer f.callsMu.Unlock()
	if f.counts == nil {
		f.counts, f.failed = map[string]int{}, map[string]time.Time{}
	}
	f.turn++
	best, least := "", 0
	for i := range names {
		n := names[(i+f.turn)%len(names)]
		load := f.counts[n]
		if now.Before(f.failed[n]) {
			load += failedLoad
		}
		if best == "" || load < least {
			best, least = n, load
		}
	}
	f.counts[best]++
	return best
}

// failedLoad makes a failed target the last choice.
const failedLoad = 1 << 20

func (f *inflight) done(name string, failed bool, now time.Time) {
	f.callsMu.Lock()
	defer f.callsMu.Unlock()
	f.counts[name]--
	if failed {
		f.failed[name] = now.Add(failPause)
	}
}

// call is one call of a plain service.
type call struct {
	s       *Server
	q       *request
	service string
	path    string
	route   conf.Route
	policy  *conf.Policy
	method  string
	query   string
	header  http.Header
	body    []byte
}

// service relays a call to a plain service.
func (s *Server) service(c echo.Context, q *request) *Refusal {
	s.stats.Calls.Add(1)
	name := c.Param("service")
	svc := q.snap.Service(name)
	_, policy := q.snap.Policy(q.organisation, conf.KindService, name)
	if svc == nil || policy == nil {
		return refuse(http.StatusNotFound, CodeNotFound, NotRun, "there is no service of this name for your organisation")
	}
	body, r := s.readBody(c)
	if r != nil {
		return r
	}
	req := c.Request()
	path, r := servicePath(req.URL, name)
	if r != nil {
		return r
	}
	k := &call{
		s: s, q: q, service: name, path: path, route: svc.Match(req.Method, path), policy: policy,
		method: req.Method, query: req.URL.RawQuery, header: req.Header, body: body,
	}
	ans, r := k.run(req.Context())
	if r != nil {
		return r
	}
	if err := ans.write(c); err != nil {
		s.gone(q)
	}
	return nil
}

// ticket gives out a ticket for one call of a service.
func (s *Server) ticket(c echo.Context, q *request) *Refusal {
	var body struct {
		Service string `json:"service"`
	}
	if r := s.decode(c, q, &body); r != nil {
		return r
	}
	if _, policy := q.snap.Policy(q.organisation, conf.KindService, body.Service); policy == nil {
		return refuse(http.StatusNotFound, CodeNotFound, NotRun, "there is no service of this name for your organisation")
	}
	reply := struct {
		Ticket string `json:"ticket"`
	}{s.o.Once.NewTicket(q.organisation, body.Service)}
	if err := c.JSON(http.StatusOK, reply); err != nil {
		s.gone(q)
	}
	return nil
}

// servicePath returns the path below the service. A path that a target might
// read in another way than the routes were matched is refused.
func servicePath(u *url.URL, service string) (string, *Refusal) {
	path := strings.TrimPrefix(u.EscapedPath(), "/services/"+service)
	if path == "" {
		path = "/"
	}
	lower := strings.ToLower(strings.TrimSuffix(path, "/")) + "/"
	for _, bad := range []string{"//", "/./", "/../", "%2f", "%2e", "%5c", "\\"} {
		if strings.Contains(lower, bad) {
			return "", refuse(http.StatusBadRequest, CodeBadRequest, NotRun, "the path must be plain: no dots, empty parts or escaped slashes")
		}
	}
	return path, nil
}

// answer is the whole answer of a target.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func (a *answer) write(c echo.Context) error {
	h := c.Response().Header()
	for name, values := range a.header {
		if !hopHeader(name) && name != "Content-Length" && name != HeaderRequest {
			h[name] = values
		}
	}
	c.Response().WriteHeader(a.status)
	_, err := c.Response().Write(a.body)
	return err
}

// HopHeader reports whether a header belongs to one connection only.
func HopHeader(name string) bool { return hopHeader(name) }

func hopHeader(name string) bool {
	return slices.Contains([]string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade",
	}, name)
}

func (k *call) run(ctx context.Context) (*answer, *Refusal) {
	if k.route.Repeatable {
		return k.repeat(ctx)
	}
	// What was handed to a target goes on when the caller leaves, so that its
	// outcome is known to a repeated call.
	ctx = context.WithoutCancel(ctx)
	key, ticket := k.header.Get(HeaderIdempotency), k.header.Get(HeaderTicket)
	switch {
	case ticket != "":
		return k.ticketed(ctx, ticket)
	case key != "":
		return k.claimed(ctx, key)
	}
	ans, end, r := k.single(ctx)
	k.record(end)
	return ans, r
}

// ended says what is known of a call that may not be repeated.
type ended int

const (
	notSent ended = iota
	sentUnknown
	sentDone
)

// record counts a call whose outcome is not known.
func (k *call) record(end ended) {
	if end == sentUnknown {
		k.s.stats.CallsUnknown.Add(1)
	}
}

// claimed runs a call under a claim.
func (k *call) claimed(ctx context.Context, key string) (*answer, *Refusal) {
	at, err := once.KeyTime(key)
	if err != nil {
		return nil, refuse(http.StatusBadRequest, CodeBadIdempotency, NotRun,
			"the header Idempotency-Key must be a UUID of version 7: it carries the time until which a repeated call is known")
	}
	a, ans := k.s.o.Once.Claim(ctx, once.NewKey(k.q.organisation, k.service, key), at, k.print())
	if a == nil {
		return k.unclaimed(ans)
	}
	return k.granted(ctx, a)
}

// ticketed runs a call under a ticket.
func (k *call) ticketed(ctx context.Context, ticket string) (*answer, *Refusal) {
	a, ans, err := k.s.o.Once.ClaimTicket(ctx, k.q.organisation, k.service, ticket, k.print())
	if err != nil {
		return nil, refuse(http.StatusBadRequest, CodeBadIdempotency, NotRun, "the header "+HeaderTicket+" must be a ticket of POST /v1/tickets")
	}
	if a == nil {
		return k.unclaimed(ans)
	}
	return k.granted(ctx, a)
}

// granted runs a call that nobody else may run, and records its end.
func (k *call) granted(ctx context.Context, a *once.Attempt) (*answer, *Refusal) {
	k.s.o.Log.Emit(event.ClaimGranted, k.q.ref(""), "")
	got, end, r := k.single(ctx)
	k.record(end)
	switch end {
	case notSent:
		a.NotRun()
	case sentUnknown:
		a.Unknown()
	case sentDone:
		a.Ran(once.Outcome{Status: got.status, ContentType: got.header.Get("Content-Type"), Body: got.body})
	}
	return got, r
}

// inProgressPause is when to ask again for a call that still runs.
const inProgressPause = time.Second

// unclaimed answers a call that may not run.
func (k *call) unclaimed(ans once.Answer) (*answer, *Refusal) {
	if ans.State == once.Ran {
		k.s.o.Log.Emit(event.ClaimAnswered, k.q.ref(""), "")
		return recorded(ans.Outcome)
	}
	k.s.o.Log.Emit(event.ClaimRefused, k.q.ref(""), string(ans.State))
	switch ans.State {
	case once.Running:
		return nil, refuse(http.StatusConflict, CodeInProgress, Unknown, "a call with this key is running").after(inProgressPause)
	case once.Unknown:
		return nil, refuse(http.StatusConflict, CodeOutcomeUnknown, Unknown, "a call with this key was handed out and its outcome is not known")
	case once.Mismatch:
		return nil, refuse(http.StatusUnprocessableEntity, CodeKeyReused, NotRun, "the key was used for another call")
	case once.Expired:
		return nil, refuse(http.StatusBadRequest, CodeKeyExpired, Unknown,
			"the key's time is outside the window in which repeated calls are known; this try did not run")
	}
	return nil, refuse(http.StatusServiceUnavailable, CodeNoClaim, Unknown,
		"the call could not be claimed; this try did not run, and the same key may be sent again").after(claimPause)
}

// claimPause is when to come back where a claim could not be committed.
const claimPause = time.Second

// headerReplayed marks an answer that was recorded from an earlier call.
const headerReplayed = "X-Embertally-Replayed"

func recorded(o once.Outcome) (*answer, *Refusal) {
	if o.Cut {
		text := fmt.Sprintf("the call ran with status %d; its answer was too large to be kept", o.Status)
		return nil, refuse(http.StatusConflict, CodeAlreadyRan, DidRun, text)
	}
	h := http.Header{headerReplayed: {"true"}}
	if o.ContentType != "" {
		h.Set("Content-Type", o.ContentType)
	}
	return &answer{status: o.Status, header: h, body: o.Body}, nil
}

// print tells whether a repeated call is the same one.
func (k *call) print() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{k.method, k.path, k.query} {
		d.WriteString(part)
		d.WriteString("\x00")
	}
	d.Write(k.body)
	return d.Sum64()
}

// serves reports whether a target is one of the service.
func (k *call) serves(t *conf.Target) bool {
	return t.Type == conf.TypeService && t.Service == k.service
}

// targets returns the service's targets that may get new work now.
func (k *call) targets(exclude []string) []string {
	view := k.s.o.Fleet.View()
	resting, _ := k.s.resting(k.q.snap, k.serves)
	var out []string
	for _, r := range k.q.snap.List(conf.KindTarget) {
		t := r.Spec().(*conf.Target)
		if k.serves(t) && k.policy.Allows(r.Name()) &&
			view.Usable(r.Name(), t) && !slices.Contains(exclude, r.Name()) && !slices.Contains(resting, r.Name()) {
			out = append(out, r.Name())
		}
	}
	return out
}

// choose takes a target, and reports whether it may get a call: another one may have been the one
// that it gets after a rest.
func (k *call) choose(names []string) (name string, may bool) {
	name = k.s.calls.choose(names, time.Now())
	if may = k.s.rests.Take(name); !may {
		k.s.calls.done(name, false, time.Now())
	}
	return name, may
}

// noTarget refuses a call that no target may get, until the first of those that rest may again.
func (k *call) noTarget() *Refusal {
	_, first := k.s.resting(k.q.snap, k.serves)
	return refuse(http.StatusServiceUnavailable, CodeNoTarget, NotRun, "no target of the service can be used now").after(max(first, queuePause))
}

// single hands the call to one target at most once. A target that could not
// even be reached did not get it, so another may.
func (k *call) single(ctx context.Context) (*answer, ended, *Refusal) {
	var tried []string
	for len(tried) < mostTries {
		names := k.targets(tried)
		if len(names) == 0 {
			break
		}
		name, may := k.choose(names)
		if !may {
			tried = append(tried, name)
			continue
		}
		ans, sent, err := k.send(ctx, k.s.o.Single, name)
		k.s.calls.done(name, err != nil, time.Now())
		if err == nil {
			return ans, sentDone, nil
		}
		if sent {
			k.s.o.Log.Emit(event.CallUnknown, k.q.ref(name), err.Error())
			return nil, sentUnknown, refuse(http.StatusBadGateway, CodeOutcomeUnknown, Unknown, "the call was cut; whether it ran is not known")
		}
		tried = append(tried, name)
	}
	return nil, notSent, k.noTarget()
}

// repeat hands the call to targets until one answers.
func (k *call) repeat(ctx context.Context) (*answer, *Refusal) {
	var tried []string
	for len(tried) < mostTries {
		names := k.targets(tried)
		if len(names) == 0 {
			names = k.targets(nil)
		}
		if len(names) == 0 || (len(tried) > 0 && !k.s.mayRetry()) {
			break
		}
		name, may := k.choose(names)
		if !may {
			tried = append(tried, name)
			continue
		}
		ans, _, err := k.send(ctx, k.s.o.Calls, name)
		k.s.calls.done(name, err != nil, time.Now())
		if err == nil && !passing(ans.status) {
			return ans, nil
		}
		if ctx.Err() != nil {
			return nil, refuse(http.StatusServiceUnavailable, CodeTargetFailed, Unknown, "the caller has gone")
		}
		tried = append(tried, name)
	}
	if len(tried) == 0 {
		return nil, k.noTarget()
	}
	return nil, refuse(http.StatusBadGateway, CodeTargetFailed, Unknown, "no target gave an answer; the call may be repeated").after(queuePause)
}

// passing reports whether a status asks for a later or other try.
func passing(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// send hands the call to a target. sent tells that any byte may have left.
func (k *call) send(ctx context.Context, client *http.Client, name string) (ans *answer, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, k.route.Timeout.Or(defaultCallTimeout))
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := k.build(ctx, k.q.snap.Target(name))
	if err != nil {
		return nil, false, err
	}
	k.s.o.Log.Emit(event.CallSent, k.q.ref(name), "")
	resp, err := client.Do(req)
	if err != nil {
		return nil, connected.Load(), errors.WithStack(err)
	}
	defer resp.Body.Close()
	if id := resp.Header.Get(HeaderRequest); id != "" && id != k.q.id {
		k.s.o.Log.Emit(event.AnswerRejected, k.q.ref(name), "answer "+id)
		return nil, true, errors.WithStack(errForeign)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return nil, true, errors.WithStack(err)
	}
	if len(body) > maxAnswer {
		return nil, true, errors.New("the answer is too large")
	}
	k.s.stats.RelayedBytes.Add(int64(len(body)))
	if rest, _ := target.ParsePushback(resp.StatusCode, resp.Header); rest > 0 {
		k.s.turned(k.q, name, "", rest)
	} else {
		k.s.took(k.q, name)
	}
	return &answer{status: resp.StatusCode, header: resp.Header, body: body}, true, nil
}

func (k *call) build(ctx context.Context, t *conf.Target) (*http.Request, error) {
	u := strings.TrimSuffix(t.URL, "/") + k.path
	if k.query != "" {
		u += "?" + k.query
	}
	req, err := http.NewRequestWithContext(ctx, k.method, u, bytes.NewReader(k.body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	// Without this the transport might send the body a second time by itself.
	req.GetBody = nil
	hop := strings.Split(k.header.Get("Connection"), ",")
	for name, values := range k.header {
		if slices.ContainsFunc(hop, func(h string) bool { return strings.EqualFold(strings.TrimSpace(h), name) }) {
			continue
		}
		if !hopHeader(name) && name != "Authorization" && name != "Cookie" && !strings.HasPrefix(name, headerPrefix) {
			req.Header[name] = values
		}
	}
	req.Header.Set(HeaderRequest, k.q.id)
	req.Header.Set(HeaderOrganisation, k.q.organisation)
	return req, nil
}
