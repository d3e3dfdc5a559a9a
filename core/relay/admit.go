package relay

import (
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/entry"
	"embertally.dev/core/memory"
	"embertally.dev/core/poison"
	"embertally.dev/core/table"
	"embertally.dev/core/target"
)

// Retry-After times of refusals, and default limits.
const (
	// minRetryAfter is the least Retry-After, about the time of a new connection and a decision.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfterShare is the fraction of the remaining time that a Retry-After may take: callers
	// wait no longer than a third of it.
	maxRetryAfterShare = 0.33
	// retryAfterJitter is the fraction by which the time varies at random, so that callers do not
	// return all at once.
	retryAfterJitter = 0.25
	// defaultMaxBodyBytes bounds a body if the configuration does not.
	defaultMaxBodyBytes = 4 << 20
	// defaultTimeout bounds a request that has neither a deadline nor a configured timeout.
	defaultTimeout = 30 * time.Second
)

// retryAfter returns the Retry-After for a refusal whose cause is expected to last for some time.
func (p *proxiedRequest) retryAfter(expected time.Duration) time.Duration {
	jitter := 1 + retryAfterJitter*(2*rand.Float64()-1)
	after := time.Duration(float64(max(expected, minRetryAfter)) * jitter)
	if p.deadline.IsZero() {
		p.deadline = p.start.Add(defaultTimeout)
		if p.meta.Timeout > 0 {
			p.deadline = p.start.Add(p.meta.Timeout)
		}
	}
	limit := time.Duration(maxRetryAfterShare * float64(time.Until(p.deadline)))
	return max(min(after, limit), time.Millisecond)
}

// admit parses the request, finds its route and organisation, reads its body, and checks that its ID is new where that
// matters.
func (p *proxiedRequest) admit() *entry.Refusal {
	meta, err := p.relay.options.Dialect.ParseRequest(p.r.Header)
	p.meta = meta
	if err != nil {
		return entry.NewRefusal(http.StatusBadRequest, entry.CodeBadRequest, entry.NotRun, err.Error(), 0)
	}
	if meta.ForTarget {
		// Another writer's entry in the list of targets names this daemon's address.
		p.relay.options.Dialect.WriteResponder(p.w.Header(), p.relay.options.Name)
		return entry.NewRefusal(http.StatusMisdirectedRequest, entry.CodeMisdirected, entry.NotRun, "this is a daemon and no target", 0)
	}
	t := p.relay.Table()
	p.table = t
	if p.relay.refusing.Load() {
		// Other daemons keep serving.
		return p.refuseFor(entry.CodeNotReady, "the daemon is about to stop", minRetryAfter)
	}
	if t == nil {
		return p.refuseFor(entry.CodeNotReady, "the daemon knows no configuration yet", p.relay.notReadyFor())
	}
	if overdue := p.relay.configOverdue(); overdue > 0 {
		return p.refuseFor(entry.CodeNotReady, "a newer configuration may not have arrived", overdue)
	}
	if limit := t.Limits().MaxHeaderBytes; limit > 0 && headerBytes(p.r) > limit {
		return entry.NewRefusal(http.StatusRequestHeaderFieldsTooLarge, entry.CodeHeaderTooLarge, entry.NotRun, "the header is too large", 0)
	}
	path, _, _ := strings.Cut(p.r.RequestURI, "?")
	if p.route = t.Match(p.r.Host, path); p.route == nil {
		return p.refuseUnknown(http.StatusNotFound, entry.CodeNotFound, "there is no route for this host and path")
	}
	p.organisation = t.Organisation(meta.APIKey)
	if p.organisation == nil && t.RequiresKeys() && !p.route.Public {
		return p.refuseUnknown(http.StatusUnauthorized, entry.CodeBadKey, "the key is not known")
	}
	if meta.AttemptID == "" {
		// No response could be told to be for the request.
		return entry.NewRefusal(http.StatusBadRequest, entry.CodeBadRequest, entry.NotRun, "the request has no ID", 0)
	}
	p.scope = t.Scope(p.organisation)
	p.regions = regionsOf(p.route, p.organisation)
	p.setDeadline()
	if end := p.relay.stopAt.Load(); end != nil && p.deadline.After(*end) {
		return p.refuseFor(entry.CodeNotReady, "the daemon may stop before the request's time is up", minRetryAfter)
	}
	if refusal := p.readBody(t.Limits()); refusal != nil {
		return refusal
	}
	return p.admitID()
}

// headerBytes returns the least size of a request's header fields as they are sent: a space before the value is optional.
func headerBytes(r *http.Request) int {
	const separators = len(":\r\n")
	sum := len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, value := range values {
			sum += len(name) + len(value) + separators
		}
	}
	return sum
}

// refuseUnknown refuses a request for a route or key that the configuration does not contain. If
// the daemon may have missed a change, it refuses as not ready instead.
func (p *proxiedRequest) refuseUnknown(status int, code entry.Code, text string) *entry.Refusal {
	if !p.relay.options.ConfigCurrent() {
		return p.refuseFor(entry.CodeNotReady,
			"the daemon does not know whether its configuration is current: "+text, p.relay.options.ViewAge())
	}
	return entry.NewRefusal(status, code, entry.NotRun, text, 0)
}

// refuseFor refuses a request that was not executed. expected is how much longer the cause is
// expected to last: if nothing else is known, as long as it has lasted so far.
func (p *proxiedRequest) refuseFor(code entry.Code, text string, expected time.Duration) *entry.Refusal {
	return entry.NewRefusal(http.StatusServiceUnavailable, code, entry.NotRun, text, p.retryAfter(expected))
}

// refuseUntil refuses a request that was not executed and will be refused for a known time. The
// Retry-After is that whole time, even beyond the caller's deadline, since an earlier return would
// be refused again. Jitter is only added, for the same reason.
func (p *proxiedRequest) refuseUntil(code entry.Code, text string, remaining time.Duration) *entry.Refusal {
	after := time.Duration(float64(max(remaining, minRetryAfter)) * (1 + retryAfterJitter*rand.Float64()))
	return entry.NewRefusal(http.StatusServiceUnavailable, code, entry.NotRun, text, after)
}

// setDeadline sets the deadline from the caller's deadline and the route's timeout.
func (p *proxiedRequest) setDeadline() {
	timeout := defaultTimeout
	if p.meta.Timeout > 0 {
		timeout = p.meta.Timeout
	}
	if p.route.Timeout > 0 {
		timeout = min(timeout, p.route.Timeout)
	}
	p.deadline = p.start.Add(timeout)
}

// readBody reads the complete body, so that the request can be sent more than once.
func (p *proxiedRequest) readBody(limits table.Limits) *entry.Refusal {
	maxBytes := int64(defaultMaxBodyBytes)
	if limits.MaxBodyBytes > 0 {
		maxBytes = limits.MaxBodyBytes
	}
	tooLarge := entry.NewRefusal(http.StatusRequestEntityTooLarge, entry.CodeTooLarge, entry.NotRun, "the body is too large", 0)
	if p.r.ContentLength > maxBytes {
		return tooLarge
	}
	held, source := p.hold(memory.Requests), io.Reader(http.MaxBytesReader(p.w, p.r.Body, maxBytes))
	if p.r.ContentLength > 0 {
		if err := held.Grow(p.r.ContentLength); err != nil {
			return p.refuseForMemory(err)
		}
		p.body = make([]byte, 0, p.r.ContentLength)
	} else {
		source = held.Reader(source)
	}
	if p.r.ContentLength != 0 {
		// net/http removes the deadline at the end of the body. An error means that the connection has ended.
		_ = http.NewResponseController(p.w).SetReadDeadline(p.deadline)
	}
	body, err := readAll(p.body, source)
	var large *http.MaxBytesError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return entry.NewRefusal(http.StatusRequestTimeout, entry.CodeTimeout, entry.NotRun, "the body did not arrive in time", p.retryAfter(minRetryAfter))
	case errors.Is(err, memory.ErrFull):
		return p.refuseForMemory(err)
	case errors.As(err, &large):
		return tooLarge
	case err != nil:
		// The request was incomplete, so it cannot have been executed.
		return entry.NewRefusal(http.StatusBadRequest, entry.CodeBadRequest, entry.NotRun, "the body broke off: "+err.Error(), 0)
	}
	p.body, p.bodyBytes = body, len(body)
	p.sent = poison.Sent{Request: p.requestDigest(), Organisation: p.organisationName(), Parts: p.meta.Parts}
	return p.refuseBlocked()
}

// Bounds of what is read of the body of a request that is refused.
const (
	maxDiscardedBytes = defaultMaxBodyBytes
	discardTimeout    = time.Second
)

// discardBody reads what is left of the body where the caller asked to close the connection after the response: net/http
// does so for the others only, and closing with unread bytes resets the connection, so that the refusal may be lost.
func (p *proxiedRequest) discardBody() {
	if !p.r.Close || p.r.ContentLength == 0 {
		return
	}
	if err := http.NewResponseController(p.w).SetReadDeadline(time.Now().Add(discardTimeout)); err != nil {
		p.note("%v", err)
		return
	}
	if _, err := io.CopyN(io.Discard, p.r.Body, maxDiscardedBytes); err != nil && !errors.Is(err, io.EOF) {
		p.note("the body broke off: %v", err)
	}
}

// refuseInvalidPrompt refuses a prompt of which a target would read something else than this daemon: what cannot be
// parsed would be guessed. It returns nil for other requests.
func (p *proxiedRequest) refuseInvalidPrompt() *entry.Refusal {
	if !p.isPrompt() {
		return nil
	}
	text := ""
	switch {
	case len(p.meta.Unparsed) > 0:
		text = "cannot parse " + strings.Join(p.meta.Unparsed, ", ")
	case p.meta.Model == "":
		text = "the prompt names no model"
	default:
		return nil
	}
	p.relay.options.Stats.InvalidPrompts.Inc()
	return entry.NewRefusal(http.StatusBadRequest, entry.CodeBadRequest, entry.NotRun, text, 0)
}

// refuseForMemory refuses a request whose body finds no room.
func (p *proxiedRequest) refuseForMemory(err error) *entry.Refusal {
	p.note("%v", err)
	return p.refuseFor(entry.CodeQueueFull, "too many long requests are being served", minRetryAfter)
}

// refuseBlocked refuses a request under which too many target incarnations crashed, and returns nil
// for others. Refusing an early return costs next to nothing, while each attempt would cost a
// target and everything that runs there. The status is that of a refusal that may be repeated,
// since the request itself is valid.
func (p *proxiedRequest) refuseBlocked() *entry.Refusal {
	remaining, isBlocked := p.relay.options.Poison.Blocked(p.sent)
	if !isBlocked {
		return nil
	}
	p.relay.options.Stats.Blocked.Inc()
	p.note("blocked: %s", p.relay.options.Poison.BlockName(p.sent))
	return entry.NewRefusal(http.StatusServiceUnavailable, entry.CodeCrashesTargets, entry.NotRun,
		crashesTargets, remaining)
}

// blocked reports whether the request is known to crash targets.
func (p *proxiedRequest) blocked() bool {
	_, blocked := p.relay.options.Poison.Blocked(p.sent)
	return blocked
}

// requestDigest returns the digest that identifies equal requests.
func (p *proxiedRequest) requestDigest() poison.Digest {
	return poison.DigestOf(&poison.Request{
		Organisation: p.organisationName(), Method: p.r.Method, Host: p.r.Host, URI: p.r.RequestURI,
		Body: p.body,
	})
}

// readAll appends everything that r yields to b, using the free capacity of b first. A target's response
// may end with its connection.
func readAll(b []byte, r io.Reader) ([]byte, error) {
	for {
		if len(b) == cap(b) {
			b = append(b, 0)[:len(b)]
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if target.IsEnd(err) {
			return b, nil
		}
		if err != nil {
			return b, errors.WithStack(err)
		}
	}
}
