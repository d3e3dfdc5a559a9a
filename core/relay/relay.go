// Package relay owns the callers' side of routed requests: a request is matched
// to a route, sent to a target of the route's service, and the target's answer
// is passed on unchanged and whole.
//
// It must not know how the headers of callers and targets are named (see
// Dialect), where the routing table comes from, or how a target's cost is
// worked out (package route).
package relay

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/cache"
	"embertally.dev/core/entry"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/roster"
	"embertally.dev/core/route"
	"embertally.dev/core/table"
	"embertally.dev/core/target"
)

// Ask is what a caller says beside the request itself.
type Ask struct {
	// ID names the try; it comes back in each answer.
	ID string
	// Deadline is how long the caller waits; 0 where it does not say.
	Deadline time.Duration
	// Key is the caller's key, or "".
	Key string
	// Model is the model that is asked, or "".
	Model string
	// Prompt is the length of the prompt in tokens.
	Prompt int
	// Parts are the parts of the prompt, in order.
	Parts []cache.Part
	// After is the last event that the caller has of a stream that broke, or "".
	After string
}

// Sending is what the system says to a target beside the request itself.
type Sending struct {
	// Deadline is the time that is left.
	Deadline time.Duration
	// Target is the run of the target that must answer.
	Target string
	// Organisation is the caller's, or "".
	Organisation string
	// Salt is the name under which parts are kept, or "".
	Salt string
	// Weights is the version that the target must hold; 0 for any.
	Weights int64
	// Priority ranks the request; 0 is the most urgent.
	Priority int
	// Copy names, for each part, the store that it is copied from, or "".
	Copy []string
	// CopyUntil is the time on the targets' clock after which copies are void.
	CopyUntil time.Duration
	// Keep names, for each part, the store that it is to be sent to, or "".
	Keep []string
	// After is the last event that the caller has, or "".
	After string
}

// Reply is what the head of a target's answer says.
type Reply struct {
	// ID is the try that is answered.
	ID string
	// Sealed tells that the target signed the answer.
	Sealed bool
	// NotRun tells that the target did not run the request and never will.
	NotRun bool
	// Target is the run of the target that answered, where it says so.
	Target string
	// Weights is the version of the weights, where it says so.
	Weights int64
	// Encoded tells that the body is not as the target made it.
	Encoded bool
}

// Dialect names the headers between callers, the system and targets.
type Dialect interface {
	// Ask reads a caller's headers.
	Ask(h http.Header) (Ask, error)
	// Sending removes from h what only the system may say, and writes s.
	Sending(h http.Header, s *Sending)
	// Reply reads the head of a target's answer.
	Reply(status int, h http.Header) Reply
	// Refusal writes the try's ID and when to come back.
	Refusal(h http.Header, id string, after time.Duration)
}

// Options of a relay.
type Options struct {
	Dialect Dialect
	Roster  *roster.Roster
	Pool    *target.Pool
	Kept    *cache.Kept
	Where   *cache.Where
	Log     *event.Log
	Stats   *Stats
	// Domain is the failure domain of this daemon.
	Domain string
	// Named returns the newest version named of a model's weights.
	Named func(model string) int64
	// Outdated reports whether weights were replaced so long ago that no request
	// may begin on them any more.
	Outdated func(model string, version int64) bool
	// Age returns how old this daemon's knowledge of the platform's store is.
	Age func() time.Duration
	// Current reports whether this daemon's configuration is known to be
	// current, so that it may say that a route or key does not exist.
	Current func() bool
	// CopyMay reports whether parts may be copied from stores: the daemon has
	// heard lately which weights are named.
	CopyMay func() bool
	// Share returns the workers that this daemon's requests go to, where a large
	// fleet shares them out so that daemons know the load of theirs.
	Share func(names []string) []string
	// Daemons returns how many daemons share the connections to targets.
	Daemons func() int
	// RetryShare, RetryExtra and RetryWindow bound repeated sends over all
	// daemons together.
	RetryShare  float64
	RetryExtra  float64
	RetryWindow time.Duration
}

// Relay answers callers.
type Relay struct {
	o     Options
	table atomic.Pointer[table.Table]
	// began is the origin of the steady time that allowances count in.
	began   time.Time
	running atomic.Int64
	closing atomic.Bool
	// closed tells that new requests are refused: the planned stop is near.
	closed atomic.Bool

	allowMu sync.Mutex
	// allowances bound repeated sends by service. Guarded by allowMu.
	allowances map[string]*route.Allowance
	// mixes count the prompts of each service. Guarded by allowMu.
	mixes map[string]*route.Mix
	// speeds learn how fast the workers of each service read. Guarded by
	// allowMu.
	speeds map[string]*route.Speed
}

// New returns a relay that has no table yet.
func New(o Options) *Relay {
	return &Relay{o: o, began: time.Now(), allowances: map[string]*route.Allowance{}, mixes: map[string]*route.Mix{}, speeds: map[string]*route.Speed{}}
}

// SetTable puts a configuration in force. Running requests keep theirs.
func (f *Relay) SetTable(t *table.Table) { f.table.Store(t) }

// Table returns the configuration in force, or nil.
func (f *Relay) Table() *table.Table { return f.table.Load() }

// Running returns how many requests have not ended.
func (f *Relay) Running() int64 { return f.running.Load() }

// Close makes each answer the last one on its connection: a planned stop has
// begun.
func (f *Relay) Close() { f.closing.Store(true) }

// Refuse makes the relay refuse new requests: the planned stop is about to end.
func (f *Relay) Refuse() { f.closed.Store(true) }

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

func afterSome() time.Duration { return comeBack + rand.N(comeBackSpread) }

// ServeHTTP answers one request.
func (f *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.running.Add(1)
	defer f.running.Add(-1)
	f.o.Stats.Requests.Inc()
	if f.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	p := &pass{f: f, w: w, r: r, began: time.Now(), tried: map[string]int{}}
	refusal := p.admit()
	if refusal == nil {
		refusal = p.run()
	}
	p.end(refusal)
}

// admit reads the request and finds its route and organisation.
func (p *pass) admit() *entry.Refusal {
	ask, err := p.f.o.Dialect.Ask(p.r.Header)
	p.ask = ask
	if err != nil {
		return entry.NewRefusal(http.StatusBadRequest, entry.CodeBadRequest, entry.NotRun, err.Error(), 0)
	}
	t := p.f.Table()
	p.table = t
	if t == nil || p.f.closed.Load() {
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
	if !p.f.o.Current() {
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

// mayRepeat takes one repeated send to a service out of what is allowed.
func (f *Relay) mayRepeat(service string) bool {
	f.allowMu.Lock()
	defer f.allowMu.Unlock()
	return f.allowance(service).Spend(time.Since(f.began))
}

// earn records a request for a service.
func (f *Relay) earn(service string) {
	f.allowMu.Lock()
	defer f.allowMu.Unlock()
	f.allowance(service).Earn(time.Since(f.began))
}

// count records a prompt for a service.
func (f *Relay) count(service string, tokens int) {
	f.allowMu.Lock()
	defer f.allowMu.Unlock()
	m := f.mixes[service]
	if m == nil {
		m = &route.Mix{}
		f.mixes[service] = m
	}
	m.Count(tokens)
}

// sample records how long tokens took to be read.
func (f *Relay) sample(service string, tokens int, took time.Duration) {
	f.allowMu.Lock()
	defer f.allowMu.Unlock()
	s := f.speeds[service]
	if s == nil {
		s = &route.Speed{}
		f.speeds[service] = s
	}
	s.Sample(tokens, took)
}

// speed returns how fast the workers of a service read.
func (f *Relay) speed(service string) route.Speed {
	f.allowMu.Lock()
	defer f.allowMu.Unlock()
	if s := f.speeds[service]; s != nil {
		return *s
	}
	return route.Speed{}
}

// shortWorkers returns the workers of a service that are set aside for short
// prompts. All daemons that see the same list and mix name the same ones.
func (f *Relay) shortWorkers(service string) map[string]bool {
	f.allowMu.Lock()
	var m route.Mix
	if known := f.mixes[service]; known != nil {
		m = *known
	}
	f.allowMu.Unlock()
	names := f.workers(service)
	n := m.ShortWorkers(len(names))
	if n == 0 {
		return nil
	}
	out := make(map[string]bool, n)
	for _, name := range fleet.Rank(fleet.Key("short"), names)[:n] {
		out[name] = true
	}
	return out
}

// workers returns the workers of a service that this daemon's requests go to.
func (f *Relay) workers(service string) []string {
	targets := f.o.Roster.Of(service)
	names := make([]string, len(targets))
	for i, t := range targets {
		names[i] = t.ID()
	}
	return f.o.Share(names)
}

// allowedShare is the part of what is allowed that is used: requests that were
// counted here but never arrived at a daemon's peer lower the others' count.
const allowedShare = 0.7

// allowance is called with allowMu held.
func (f *Relay) allowance(service string) *route.Allowance {
	a := f.allowances[service]
	if a == nil {
		a = &route.Allowance{Share: f.o.RetryShare * allowedShare, Window: f.o.RetryWindow}
		f.allowances[service] = a
	}
	a.Extra = f.o.RetryExtra * allowedShare / float64(max(1, f.o.Daemons()))
	return a
}

// gone reports whether the caller has closed its connection.
func gone(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }
