package relay

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/entry"
	"embertally.dev/core/poison"
	"embertally.dev/core/table"
)

// Times of refusals.
const (
	// soonest is the least time after which a refused caller is told to come back,
	// about the time of a new connection and a decision.
	minRetryAfter = 100 * time.Millisecond
	// comeBackShare is the part of the time that is left within which callers are
	// told to come back: the users' callers wait no longer than a third.
	maxRetryAfterShare = 0.33
	// comeBackSpread is by which part the time is drawn shorter or longer, so that
	// callers do not come back together.
	retryAfterJitter = 0.25
	// maxBody bounds a body where the configuration does not.
	defaultMaxBodyBytes = 4 << 20
	// defaultLimit bounds a request that has neither a deadline nor a time
	// limit.
	defaultTimeout = 30 * time.Second
)

// comeBack returns when a refused caller is to come back, where what it is refused
// for is expected to last for some more time.
func (p *proxiedRequest) retryAfter(expected time.Duration) time.Duration {
	jitter := 1 + retryAfterJitter*(2*rand.Float64()-1)
	after := time.Duration(float64(max(expected, minRetryAfter)) * jitter)
	if p.deadline.IsZero() {
		p.deadline = p.start.Add(defaultTimeout)
		if p.meta.Deadline > 0 {
			p.deadline = p.start.Add(p.meta.Deadline)
		}
	}
	limit := time.Duration(maxRetryAfterShare * float64(time.Until(p.deadline)))
	return max(min(after, limit), time.Millisecond)
}

// admit reads the request and finds its route and organisation.
func (p *proxiedRequest) admit() *entry.Refusal {
	meta, err := p.relay.options.Dialect.Ask(p.r.Header)
	p.meta = meta
	if err != nil {
		return entry.NewRefusal(http.StatusBadRequest, entry.CodeBadRequest, entry.NotRun, err.Error(), 0)
	}
	t := p.relay.Table()
	p.table = t
	if p.relay.refusing.Load() {
		// Other daemons serve.
		return p.refuseFor(entry.CodeNotReady, "the daemon is about to stop", minRetryAfter)
	}
	if t == nil {
		return p.refuseFor(entry.CodeNotReady, "the daemon knows no configuration yet", p.relay.notReadyFor())
	}
	if overdue := p.relay.configOverdue(); overdue > 0 {
		return p.refuseFor(entry.CodeNotReady, "a newer configuration has not arrived", overdue)
	}
	path, _, _ := strings.Cut(p.r.RequestURI, "?")
	if p.route = t.Match(p.r.Host, path); p.route == nil {
		return p.refuseUnknown(http.StatusNotFound, entry.CodeNotFound, "there is no route for this host and path")
	}
	p.organisation = t.Organisation(meta.Key)
	if p.organisation == nil && t.Keyed() && !p.route.Public {
		return p.refuseUnknown(http.StatusUnauthorized, entry.CodeBadKey, "the key is not known")
	}
	p.regions = regionsOf(p.route, p.organisation)
	p.setDeadline()
	return p.readBody(t.Limits())
}

// unknown refuses for what the configuration does not hold. A daemon that may
// have missed a change does not know that, and says so.
func (p *proxiedRequest) refuseUnknown(status int, code entry.Code, text string) *entry.Refusal {
	if !p.relay.options.Current() {
		return p.refuseFor(entry.CodeNotReady, "the daemon does not know whether its configuration is current: "+text, p.relay.options.Age())
	}
	return entry.NewRefusal(status, code, entry.NotRun, text, 0)
}

// notNow refuses a request that has not run. lasts is for how long the cause is
// expected to last: one that has lasted for a while, and of which nothing else is
// known, for as long again.
func (p *proxiedRequest) refuseFor(code entry.Code, text string, expected time.Duration) *entry.Refusal {
	return entry.NewRefusal(http.StatusServiceUnavailable, code, entry.NotRun, text, p.retryAfter(expected))
}

// notBefore refuses a request that has not run and will be refused until a time that is known. That time
// is told whole, also where the caller may not have it: one that comes back sooner is refused again. Callers
// are spread over the time after it, not around it.
func (p *proxiedRequest) refuseUntil(code entry.Code, text string, remaining time.Duration) *entry.Refusal {
	after := time.Duration(float64(max(remaining, minRetryAfter)) * (1 + retryAfterJitter*rand.Float64()))
	return entry.NewRefusal(http.StatusServiceUnavailable, code, entry.NotRun, text, after)
}

// limit works out until when the request may be held.
func (p *proxiedRequest) setDeadline() {
	timeout := defaultTimeout
	if p.meta.Deadline > 0 {
		timeout = p.meta.Deadline
	}
	if p.route.Timeout > 0 {
		timeout = min(timeout, p.route.Timeout)
	}
	p.deadline = p.start.Add(timeout)
}

// read takes the whole body, so that it can be sent again.
func (p *proxiedRequest) readBody(limits table.Limits) *entry.Refusal {
	maxBytes := int64(defaultMaxBodyBytes)
	if limits.BodyBytes > 0 {
		maxBytes = limits.BodyBytes
	}
	tooLarge := entry.NewRefusal(http.StatusRequestEntityTooLarge, entry.CodeTooLarge, entry.NotRun, "the body is too large", 0)
	if p.r.ContentLength > maxBytes {
		return tooLarge
	}
	if p.r.ContentLength > 0 {
		p.body = make([]byte, 0, p.r.ContentLength)
	}
	body, err := readAll(p.body, http.MaxBytesReader(p.w, p.r.Body, maxBytes))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return tooLarge
	case err != nil:
		// The request was not read whole, so it cannot have run.
		return entry.NewRefusal(http.StatusBadRequest, entry.CodeBadRequest, entry.NotRun, "the body broke off: "+err.Error(), 0)
	}
	p.body, p.bodyBytes = body, len(body)
	p.digest = p.requestDigest()
	return p.refuseBlocked()
}

// blocked refuses a request under which too many runs of targets ended, and returns nil for
// others. A caller that comes back before its time is refused again at once, which costs
// nothing but the answer; each time that such a request is sent costs a target and all that
// runs there. The status is that of a refusal that may be repeated, since nothing is wrong
// with what was asked.
func (p *proxiedRequest) refuseBlocked() *entry.Refusal {
	remaining, isBlocked := p.relay.options.Poison.Blocked(p.digest)
	if !isBlocked {
		return nil
	}
	p.relay.options.Stats.Blocked.Inc()
	return entry.NewRefusal(http.StatusServiceUnavailable, entry.CodeEndsTargets, entry.NotRun, crashesTargets, remaining)
}

// fingerprint names what the request asks.
func (p *proxiedRequest) requestDigest() poison.Fingerprint {
	return poison.Of(&poison.Request{Organisation: p.organisationName(), Method: p.r.Method, Host: p.r.Host, URI: p.r.RequestURI, Body: p.body})
}

// readAll appends what r gives to b, whose room is used first.
func readAll(b []byte, r io.Reader) ([]byte, error) {
	for {
		if len(b) == cap(b) {
			b = append(b, 0)[:len(b)]
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if errors.Is(err, io.EOF) {
			return b, nil
		}
		if err != nil {
			return b, errors.WithStack(err)
		}
	}
}
