// Package entry owns the callers' side: who is calling, the identity of each
// request, the relaying of whole answers, and refusals that are true.
//
// It must not know how a target is chosen or how claims are kept.
package entry

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"embertally.dev/core/bugs"
	"embertally.dev/core/conf"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/home"
	"embertally.dev/core/once"
	"embertally.dev/core/poison"
	"embertally.dev/core/roster"
	"embertally.dev/core/route"
)

// Options of a server for callers.
type Options struct {
	Conf  *conf.Store
	Fleet *fleet.Fleet
	Home  *home.Owner
	Once  *once.Once
	// Poison keeps prompts from engines that end of them; nil stands for none.
	Poison *poison.Guard
	Log    *event.Log
	// Engines reaches engines, Calls what may be repeated at plain services,
	// and Single what may not.
	Engines, Calls, Single *http.Client
	// MaxBody bounds a request's body in bytes.
	MaxBody int64
	// MaxRunning bounds the requests of one organisation in this daemon.
	MaxRunning int
	// Ready says why no requests are taken, or "".
	Ready func() string
}

// Server answers callers.
type Server struct {
	o     Options
	stats Stats

	// running counts the requests that have not ended.
	running atomic.Int64

	limitMu sync.Mutex
	// waiting counts, by policy, the requests without a first token. Guarded
	// by limitMu.
	waiting map[string]int
	// perOrg counts the running requests of each organisation. Guarded by
	// limitMu.
	perOrg  map[string]int
	retries route.RetryThrottle // guarded by limitMu
	calls   inflight
	// rests are what engines and targets of plain services asked this daemon for.
	rests roster.PushbackList
}

// Stats counts what a server did since it started.
type Stats struct {
	Requests, Done, Refused, Retried, Resumed, Broken, CallerGone atomic.Int64
	Calls, CallsUnknown                                           atomic.Int64
	Tokens, CachedTokens, PromptTokens, RelayedBytes              atomic.Int64
}

// New returns a server for callers.
func New(o Options) *Server {
	return &Server{o: o, waiting: map[string]int{}, perOrg: map[string]int{}}
}

// Stats returns the counts; they go on counting.
func (s *Server) Stats() *Stats { return &s.stats }

// Running returns how many requests have not ended.
func (s *Server) Running() int64 { return s.running.Load() }

// Register adds the callers' paths to e.
func (s *Server) Register(e *echo.Echo) {
	e.GET("/v1/models", s.handle(s.models))
	e.POST("/v1/completions", s.handle(s.completions))
	e.POST("/v1/chat/completions", s.handle(s.chat))
	e.POST("/v1/tickets", s.handle(s.ticket))
	e.Any("/services/:service", s.handle(s.service))
	e.Any("/services/:service/*", s.handle(s.service))
	e.RouteNotFound("/*", func(c echo.Context) error {
		q := &request{id: uuid.NewString()}
		return s.refused(c, q, refuse(http.StatusNotFound, CodeNotFound, NotRun, "there is no such path"))
	})
}

// request is one caller's request with the snapshots that it uses.
type request struct {
	id           string
	organisation string
	snap         *conf.Snapshot
	view         *fleet.View
	began        time.Time
	// asks is the fingerprint of a prompt.
	asks poison.Fingerprint
}

func (q *request) ref(target string) event.Ref {
	return event.Ref{Request: q.id, Organisation: q.organisation, Target: target}
}

// HeaderRequest names the header that carries the request's name to callers
// and targets.
const HeaderRequest = "X-Request-Id"

// handle finds out who is calling before f runs. A refusal that f returns is
// given to the caller.
func (s *Server) handle(f func(echo.Context, *request) *Refusal) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.running.Add(1)
		defer s.running.Add(-1)
		s.stats.Requests.Add(1)
		q := &request{id: uuid.NewString(), snap: s.o.Conf.Snapshot(), view: s.o.Fleet.View(), began: time.Now()}
		c.Response().Header().Set(HeaderRequest, q.id)
		if r := s.admit(c, q); r != nil {
			return s.refused(c, q, r.keyed(c.Request()))
		}
		defer s.release(q)
		s.o.Log.Emit(event.RequestAccepted, q.ref(""), c.Request().Method+" "+c.Path())
		if r := s.guarded(f, c, q); r != nil {
			return s.refused(c, q, r)
		}
		s.stats.Done.Add(1)
		return nil
	}
}

// guarded makes a broken invariant cost one request, not the process.
func (s *Server) guarded(f func(echo.Context, *request) *Refusal, c echo.Context, q *request) (r *Refusal) {
	defer func() {
		if why := recover(); why != nil {
			bugs.Report("request %s: %v", q.id, why)
			r = refuse(http.StatusInternalServerError, CodeTargetFailed, Unknown, "the daemon met a state that it rules out")
		}
	}()
	return f(c, q)
}

// notReadyPause is when to come back to a daemon that is not ready; the
// balancer then leads to another.
const notReadyPause = time.Second

func (s *Server) admit(c echo.Context, q *request) *Refusal {
	if why := s.o.Ready(); why != "" {
		c.Response().Header().Set("Connection", "close")
		return refuse(http.StatusServiceUnavailable, CodeNotReady, NotRun, why).after(notReadyPause)
	}
	key, ok := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
	if !ok {
		return refuse(http.StatusUnauthorized, CodeBadKey, NotRun, "the header Authorization must be \"Bearer\" and a key")
	}
	q.organisation, ok = q.snap.Caller(key)
	if !ok {
		return refuse(http.StatusUnauthorized, CodeBadKey, NotRun, "the key belongs to no organisation")
	}
	return s.take(q)
}

// take counts the request against the bound of its organisation.
func (s *Server) take(q *request) *Refusal {
	limit := s.o.MaxRunning
	if o := q.snap.Organisation(q.organisation); o != nil && o.MaxRunning > 0 {
		limit = o.MaxRunning
	}
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	s.retries.RecordRequest()
	if s.perOrg[q.organisation] >= limit {
		return refuse(http.StatusTooManyRequests, CodeQueueFull, NotRun, "the organisation has too many requests running here").after(queuePause)
	}
	s.perOrg[q.organisation]++
	return nil
}

// queuePause is when to come back after a full queue.
const queuePause = 500 * time.Millisecond

func (s *Server) release(q *request) {
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	s.perOrg[q.organisation]--
	if s.perOrg[q.organisation] == 0 {
		delete(s.perOrg, q.organisation)
	}
}

// mayRetry takes one retry from the budget.
func (s *Server) mayRetry() bool {
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	if !s.retries.TryRetry() {
		return false
	}
	s.stats.Retried.Add(1)
	return true
}

// bodyLimit bounds the time in which a body arrives.
const bodyLimit = 30 * time.Second

// readBody reads the whole body within the limit.
func (s *Server) readBody(c echo.Context) ([]byte, *Refusal) {
	rc := http.NewResponseController(c.Response().Writer)
	if err := rc.SetReadDeadline(time.Now().Add(bodyLimit)); err == nil {
		defer rc.SetReadDeadline(time.Time{})
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, s.o.MaxBody))
	if isTooLarge(err) {
		return nil, refuse(http.StatusRequestEntityTooLarge, CodeTooLarge, NotRun, "the body is larger than this daemon takes")
	}
	if err != nil {
		return nil, refuse(http.StatusBadRequest, CodeBadRequest, NotRun, "the body could not be read whole")
	}
	return body, nil
}

// models lists the deployments that the organisation may use, in the
// published form.
func (s *Server) models(c echo.Context, q *request) *Refusal {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
	list := []model{}
	for _, r := range q.snap.List(conf.KindDeployment) {
		if _, p := q.snap.Policy(q.organisation, conf.KindDeployment, r.Name()); p != nil {
			list = append(list, model{r.Name(), "model", "embertally"})
		}
	}
	body := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", list}
	if err := c.JSON(http.StatusOK, body); err != nil {
		s.gone(q)
	}
	return nil
}

// gone records that the caller closed its connection.
func (s *Server) gone(q *request) {
	s.stats.CallerGone.Add(1)
	s.o.Log.Emit(event.CallerGone, q.ref(""), "")
}
