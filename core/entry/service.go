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
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTicket         = "X-Embertally-Ticket"
	HeaderOrganisation   = "X-Embertally-Organisation"
	headerPrefix         = "X-Embertally-"
)

// defaultCallTimeout bounds a call whose route sets no timeout.
const defaultCallTimeout = 10 * time.Second

// maxAnswerBytes bounds the response of a plain service, which is read completely before any of it
// is sent to the caller.
const maxAnswerBytes = 16 << 20

// inflight counts the calls in progress at each target of plain services. The zero value is ready.
type inflight struct {
	inflightMu sync.Mutex
	running    map[string]int // by target; guarded by inflightMu
	// avoidUntil is the time until which a target is avoided after a failed call, by target. Guarded
	// by inflightMu.
	avoidUntil map[string]time.Time
	// named holds the targets whose last answer named the call that it is for. Guarded by inflightMu.
	named  map[string]bool
	offset int // where the next search starts; guarded by inflightMu
}

// avoidTime is how long a target is avoided after a failed call while there are others.
const avoidTime = time.Second

// choose returns the target with the fewest calls in progress, round robin among equals, and counts
// a call at it.
func (f *inflight) choose(names []string, now time.Time) string {
	f.inflightMu.Lock()
	defer f.inflightMu.Unlock()
	if f.running == nil {
		f.running, f.avoidUntil = map[string]int{}, map[string]time.Time{}
	}
	f.offset++
	best, least := "", 0
	for i := range names {
		n := names[(i+f.offset)%len(names)]
		load := f.running[n]
		if now.Before(f.avoidUntil[n]) {
			load += failedLoad
		}
		if best == "" || load < least {
			best, least = n, load
		}
	}
	f.running[best]++
	return best
}

// failedLoad is added to the load of a target that is avoided: it exceeds any real load, so that the
// target is chosen last.
const failedLoad = 1 << 20

// done counts the end of a call that choose counted.
func (f *inflight) done(name string, failed bool, now time.Time) {
	f.inflightMu.Lock()
	defer f.inflightMu.Unlock()
	f.running[name]--
	if failed {
		f.avoidUntil[name] = now.Add(avoidTime)
	}
}

// recordNamed records whether an answer of a target named its call.
func (f *inflight) recordNamed(name string, named bool) {
	f.inflightMu.Lock()
	defer f.inflightMu.Unlock()
	if f.named == nil {
		f.named = map[string]bool{}
	}
	f.named[name] = named
}

// namesCalls reports whether the last answer of a target named its call.
func (f *inflight) namesCalls(name string) bool {
	f.inflightMu.Lock()
	defer f.inflightMu.Unlock()
	return f.named[name]
}

// call is one call of a plain service.
type call struct {
	s       *Server
	q       *request
	service string
	path    string // escaped, below the service
	route   conf.Route
	policy  *conf.Policy
	method  string
	query   string // escaped
	header  http.Header
	body    []byte
}

// service handles a call of a plain service.
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
	s.recordWritten(q, ans.write(c))
	return nil
}

// ticket issues a ticket for one call of a plain service.
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
	response := struct {
		Ticket string `json:"ticket"`
	}{s.o.Once.NewTicket(q.organisation, body.Service)}
	s.recordWritten(q, c.JSON(http.StatusOK, response))
	return nil
}

// servicePath returns the path below the service. A path that a target might interpret differently
// from the route matching is refused.
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

// answer is the complete HTTP response of a target, or a recorded one, for the caller.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func (a *answer) write(c echo.Context) error {
	h := c.Response().Header()
	for name, values := range a.header {
		if !hopHeader(name) && name != "Content-Length" && name != HeaderRequestID {
			h[name] = values
		}
	}
	c.Response().WriteHeader(a.status)
	_, err := c.Response().Write(a.body)
	return err
}

// HopHeader reports whether a header is hop-by-hop: it applies to one connection only.
func HopHeader(name string) bool { return hopHeader(name) }

func hopHeader(name string) bool {
	return slices.Contains([]string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade",
	}, name)
}

// run executes the call: repeatedly if its route allows that, else at most once.
func (k *call) run(ctx context.Context) (*answer, *Refusal) {
	if k.route.Repeatable {
		return k.runRepeatable(ctx)
	}
	// A call that was sent to a target continues after the caller has disconnected, so that its
	// outcome can be returned to a repeated call.
	ctx = context.WithoutCancel(ctx)
	key, ticket := k.header.Get(HeaderIdempotencyKey), k.header.Get(HeaderTicket)
	switch {
	case ticket != "":
		return k.runWithTicket(ctx, ticket)
	case key != "":
		return k.runWithKey(ctx, key)
	}
	ans, result, r := k.runOnce(ctx)
	k.countUnknown(result)
	return ans, r
}

// callResult states whether a call that may not be repeated reached a target.
type callResult int

const (
	// notSent means that no target received anything.
	notSent callResult = iota
	// resultUnknown means that a target may have received the call and gave no complete response.
	resultUnknown
	// answered means that a target responded.
	answered
)

// countUnknown counts a call whose outcome is unknown.
func (k *call) countUnknown(result callResult) {
	if result == resultUnknown {
		k.s.stats.CallsUnknown.Add(1)
	}
}

// runWithKey runs a call that carries an idempotency key, if its claim is granted.
func (k *call) runWithKey(ctx context.Context, key string) (*answer, *Refusal) {
	at, err := once.KeyTime(key)
	if err != nil {
		return nil, refuse(http.StatusBadRequest, CodeBadIdempotencyKey, NotRun,
			"the header Idempotency-Key must be a UUID of version 7: it carries the time until which a repeated call is known")
	}
	a, ans := k.s.o.Once.Claim(ctx, once.NewKey(k.q.organisation, k.service, key), at, k.digest())
	if a == nil {
		return k.answerWithoutRunning(ans)
	}
	return k.runGranted(ctx, a)
}

// runWithTicket runs a call that carries a ticket, if its claim is granted.
func (k *call) runWithTicket(ctx context.Context, ticket string) (*answer, *Refusal) {
	a, ans, err := k.s.o.Once.ClaimTicket(ctx, k.q.organisation, k.service, ticket, k.digest())
	if err != nil {
		return nil, refuse(http.StatusBadRequest, CodeBadIdempotencyKey, NotRun, "the header "+HeaderTicket+" must be a ticket of POST /v1/tickets")
	}
	if a == nil {
		return k.answerWithoutRunning(ans)
	}
	return k.runGranted(ctx, a)
}

// runGranted runs a call whose claim was granted and records its outcome with the claim.
func (k *call) runGranted(ctx context.Context, a *once.Attempt) (*answer, *Refusal) {
	k.s.o.Log.Emit(event.ClaimGranted, k.q.ref(""), "")
	got, result, r := k.runOnce(ctx)
	k.countUnknown(result)
	switch result {
	case notSent:
		a.Release()
	case resultUnknown:
		a.RecordUnknown()
	case answered:
		a.RecordOutcome(once.Outcome{
			Status: got.status, ContentType: got.header.Get("Content-Type"), Body: got.body,
		})
	}
	return got, r
}

// inProgressRetryAfter is the Retry-After for a call that is still running.
const inProgressRetryAfter = time.Second

// answerWithoutRunning answers a call whose claim was not granted, from the state of the claim.
func (k *call) answerWithoutRunning(ans once.ClaimResponse) (*answer, *Refusal) {
	if ans.State == once.Ran {
		k.s.o.Log.Emit(event.ClaimAnswered, k.q.ref(""), "")
		return replay(ans.Outcome)
	}
	k.s.o.Log.Emit(event.ClaimRefused, k.q.ref(""), string(ans.State))
	switch ans.State {
	case once.Running:
		return nil, refuse(http.StatusConflict, CodeInProgress, Unknown, "a call with this key is running").after(inProgressRetryAfter)
	case once.Unknown:
		return nil, refuse(http.StatusConflict, CodeOutcomeUnknown, Unknown, "a call with this key was handed out and its outcome is not known")
	case once.Mismatch:
		return nil, refuse(http.StatusUnprocessableEntity, CodeKeyReused, NotRun, "the key was used for another call")
	case once.Expired:
		return nil, refuse(http.StatusBadRequest, CodeKeyExpired, Unknown,
			"the key's time is outside the window in which repeated calls are known; this try did not run")
	}
	return nil, refuse(http.StatusServiceUnavailable, CodeClaimUnavailable, Unknown,
		"the call could not be claimed; this try did not run, and the same key may be sent again").after(noClaimRetryAfter)
}

// noClaimRetryAfter is the Retry-After for a claim that could not be committed.
const noClaimRetryAfter = time.Second

// headerReplayed marks an answer that was recorded during an earlier call with the same key.
const headerReplayed = "X-Embertally-Replayed"

// replay returns the recorded answer of an earlier call.
func replay(o once.Outcome) (*answer, *Refusal) {
	if o.BodyOmitted {
		text := fmt.Sprintf("the call ran with status %d; its answer was too large to be kept", o.Status)
		return nil, refuse(http.StatusConflict, CodeAlreadyRan, DidRun, text)
	}
	h := http.Header{headerReplayed: {"true"}}
	if o.ContentType != "" {
		h.Set("Content-Type", o.ContentType)
	}
	return &answer{status: o.Status, header: h, body: o.Body}, nil
}

// digest returns the hash by which a reused key with a different call is detected.
func (k *call) digest() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{k.method, k.path, k.query} {
		d.WriteString(part)
		d.WriteString("\x00")
	}
	d.Write(k.body)
	return d.Sum64()
}

// serves reports whether a target belongs to the service.
func (k *call) serves(t *conf.Target) bool {
	return t.Type == conf.TypeService && t.Service == k.service
}

// usableTargets returns the targets of the service that may get a call now, without those in exclude.
func (k *call) usableTargets(exclude []string) []string {
	view := k.s.o.Fleet.View()
	pushedBack, _ := k.s.underPushback(k.q.snap, k.serves)
	var out []string
	for _, r := range k.q.snap.List(conf.KindTarget) {
		t := r.Spec().(*conf.Target)
		if k.serves(t) && k.policy.AllowsTarget(r.Name()) &&
			view.Usable(r.Name(), t) && !slices.Contains(exclude, r.Name()) && !slices.Contains(pushedBack, r.Name()) {
			out = append(out, r.Name())
		}
	}
	return out
}

// choose picks a target and reports whether a call may be sent to it. It may not if another request
// has taken the single attempt that the target gets after its pushback.
func (k *call) choose(names []string) (name string, ok bool) {
	name = k.s.calls.choose(names, time.Now())
	if ok = k.s.pushbacks.AllowAttempt(name); !ok {
		k.s.calls.done(name, false, time.Now())
	}
	return name, ok
}

// noTarget returns the refusal for a call without a usable target. Its Retry-After is the time until
// the first pushback ends.
func (k *call) noTarget() *Refusal {
	_, soonest := k.s.underPushback(k.q.snap, k.serves)
	return refuse(http.StatusServiceUnavailable, CodeNoTarget, NotRun, "no target of the service can be used now").after(max(soonest, queueFullRetryAfter))
}

// runOnce sends the call to at most one target. A target to which no connection was made did not
// receive the call, so the next one is tried.
func (k *call) runOnce(ctx context.Context) (*answer, callResult, *Refusal) {
	var tried []string
	for len(tried) < maxAttempts {
		names := k.usableTargets(tried)
		if len(names) == 0 {
			break
		}
		name, ok := k.choose(names)
		if !ok {
			tried = append(tried, name)
			continue
		}
		ans, sent, err := k.send(ctx, k.s.o.OnceClient, name)
		k.s.calls.done(name, err != nil, time.Now())
		if err == nil {
			return ans, answered, nil
		}
		if sent {
			k.s.o.Log.Emit(event.CallUnknown, k.q.ref(name), err.Error())
			return nil, resultUnknown, refuse(http.StatusBadGateway, CodeOutcomeUnknown, Unknown, "the call was cut; whether it ran is not known")
		}
		tried = append(tried, name)
	}
	return nil, notSent, k.noTarget()
}

// runRepeatable sends the call to one target after another until one responds.
func (k *call) runRepeatable(ctx context.Context) (*answer, *Refusal) {
	var tried []string
	for len(tried) < maxAttempts {
		names := k.usableTargets(tried)
		if len(names) == 0 {
			names = k.usableTargets(nil)
		}
		if len(names) == 0 || (len(tried) > 0 && !k.s.spendRetry()) {
			break
		}
		name, ok := k.choose(names)
		if !ok {
			tried = append(tried, name)
			continue
		}
		client := k.s.o.OnceClient
		if k.s.calls.namesCalls(name) {
			client = k.s.o.RepeatableClient
		}
		ans, _, err := k.send(ctx, client, name)
		k.s.calls.done(name, err != nil, time.Now())
		if err == nil && !isTransient(ans.status) {
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
	return nil, refuse(http.StatusBadGateway, CodeTargetFailed, Unknown, "no target gave an answer; the call may be repeated").after(queueFullRetryAfter)
}

// isTransient reports whether another attempt may succeed after a response with this status.
func isTransient(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// send sends the call to a target. sent reports whether any byte may have reached it.
func (k *call) send(ctx context.Context, client *http.Client, name string) (ans *answer, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, k.route.Timeout.Or(defaultCallTimeout))
	defer cancel()
	var connected, reused atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			connected.Store(true)
			reused.Store(info.Reused)
		},
	})
	req, err := k.newRequest(ctx, k.q.snap.Target(name))
	if err != nil {
		return nil, false, err
	}
	k.s.o.Log.Emit(event.CallSent, k.q.ref(name), "")
	resp, err := client.Do(req)
	if err != nil {
		return nil, connected.Load(), errors.WithStack(err)
	}
	defer resp.Body.Close()
	ids := resp.Header.Values(HeaderRequestID)
	named := len(ids) == 1 && ids[0] == k.q.id
	k.s.calls.recordNamed(name, named)
	if !named && (len(ids) > 0 || reused.Load()) {
		// On a connection of its own, an answer without ID can only be that to the call.
		k.s.o.Log.Emit(event.AnswerRejected, k.q.ref(name), fmt.Sprintf("answer to %q", ids))
		return nil, true, errors.WithStack(errWrongResponse)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, true, errors.WithStack(err)
	}
	if len(body) > maxAnswerBytes {
		return nil, true, errors.New("answer exceeds the size limit")
	}
	k.s.stats.RelayedBytes.Add(int64(len(body)))
	if pushback, _ := target.ParsePushback(resp.StatusCode, resp.Header); pushback > 0 {
		k.s.recordPushback(k.q, name, "", pushback)
	} else {
		k.s.recordAccepted(k.q, name)
	}
	return &answer{status: resp.StatusCode, header: resp.Header, body: body}, true, nil
}

// newRequest returns the request to a target, without hop-by-hop headers and the caller's
// credentials.
func (k *call) newRequest(ctx context.Context, t *conf.Target) (*http.Request, error) {
	u := strings.TrimSuffix(t.URL, "/") + k.path
	if k.query != "" {
		u += "?" + k.query
	}
	req, err := http.NewRequestWithContext(ctx, k.method, u, bytes.NewReader(k.body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	// With GetBody set, the transport might resend the request by itself.
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
	req.Header.Set(HeaderRequestID, k.q.id)
	req.Header.Set(HeaderOrganisation, k.q.organisation)
	return req, nil
}
