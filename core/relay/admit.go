package relay

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/entry"
	"embertally.dev/core/table"
)

// Times of refusals. Callers come back after what they are told, spread so that
// they do not come together.
const (
	comeBack       = 150 * time.Millisecond
	comeBackSpread = 250 * time.Millisecond
	// maxBody bounds a body where the configuration does not.
	maxBody = 4 << 20
	// defaultLimit bounds a request that has neither a deadline nor a time
	// limit.
	defaultLimit = 30 * time.Second
)

// afterSome returns when a refused caller is to come back.
func afterSome() time.Duration { return comeBack + rand.N(comeBackSpread) }

// admit reads the request and finds its route and organisation.
func (p *pass) admit() *entry.Refusal {
	ask, err := p.relay.o.Dialect.Ask(p.r.Header)
	p.ask = ask
	if err != nil {
		return entry.NewRefusal(http.StatusBadRequest, entry.CodeBadRequest, entry.NotRun, err.Error(), 0)
	}
	t := p.relay.Table()
	p.table = t
	if t == nil || p.relay.closed.Load() {
		return p.notNow(entry.CodeNotReady, "the daemon takes no requests now")
	}
	path, _, _ := strings.Cut(p.r.RequestURI, "?")
	if p.route = t.Match(p.r.Host, path); p.route == nil {
		return p.unknown(http.StatusNotFound, entry.CodeNotFound, "there is no route for this host and path")
	}
	p.organisation = t.Organisation(ask.Key)
	if p.organisation == nil && t.Keyed() && !p.route.Public {
		return p.unknown(http.StatusUnauthorized, entry.CodeBadKey, "the key is not known")
	}
	p.limit()
	return p.read(t.Limits())
}

// unknown refuses for what the configuration does not hold. A daemon that may
// have missed a change does not know that, and says so.
func (p *pass) unknown(status int, code entry.Code, text string) *entry.Refusal {
	if !p.relay.o.Current() {
		return p.notNow(entry.CodeNotReady, "the daemon does not know whether its configuration is current: "+text)
	}
	return entry.NewRefusal(status, code, entry.NotRun, text, 0)
}

// notNow refuses a request that has not run.
func (p *pass) notNow(code entry.Code, text string) *entry.Refusal {
	return entry.NewRefusal(http.StatusServiceUnavailable, code, entry.NotRun, text, afterSome())
}

// limit works out until when the request may be held.
func (p *pass) limit() {
	left := defaultLimit
	if p.ask.Deadline > 0 {
		left = p.ask.Deadline
	}
	if p.route.Timeout > 0 {
		left = min(left, p.route.Timeout)
	}
	p.until = p.began.Add(left)
}

// read takes the whole body, so that it can be sent again.
func (p *pass) read(l table.Limits) *entry.Refusal {
	most := int64(maxBody)
	if l.BodyBytes > 0 {
		most = l.BodyBytes
	}
	tooLarge := entry.NewRefusal(http.StatusRequestEntityTooLarge, entry.CodeTooLarge, entry.NotRun, "the body is too large", 0)
	if p.r.ContentLength > most {
		return tooLarge
	}
	if p.r.ContentLength > 0 {
		p.body = make([]byte, 0, p.r.ContentLength)
	}
	body, err := readAll(p.body, http.MaxBytesReader(p.w, p.r.Body, most))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return tooLarge
	case err != nil:
		// The request was not read whole, so it cannot have run.
		return entry.NewRefusal(http.StatusBadRequest, entry.CodeBadRequest, entry.NotRun, "the body broke off: "+err.Error(), 0)
	}
	p.body = body
	return nil
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
