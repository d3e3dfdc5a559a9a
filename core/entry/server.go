// Package entry serves callers. It owns their authentication, the request IDs, the relaying of
// answers from targets, and refusals that state whether the request ran.
//
// It must not know how a target is chosen or how claims are stored.
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

// Options configures a Server.
type Options struct {
	Conf         *conf.Store
	Fleet        *fleet.Fleet
	ContextOwner *home.Owner
	Once         *once.Once
	// Poison blocks prompts that crash engines; nil blocks none.
	Poison *poison.Guard
	Log    *event.Log
	// EngineClient is the client for engines, RepeatableClient that for repeatable calls of plain
	// services, and OnceClient, which opens a connection for each call, that for calls of plain services that
	// may not be repeated or whose target does not name the call in its answers.
	EngineClient, RepeatableClient, OnceClient *http.Client
	// MaxBodyBytes bounds the body of a request, in bytes.
	MaxBodyBytes int64
	// MaxRunningPerOrganisation bounds the running requests of one organisation in this daemon, unless
	// the organisation has a bound of its own.
	MaxRunningPerOrganisation int
	// NotReadyReason returns the reason why the daemon accepts no requests, or "" if it is ready.
	NotReadyReason func() string
}

// Server handles callers' requests.
type Server struct {
	o     Options
	stats Stats

	// running counts the requests in progress.
	running atomic.Int64

	limitMu sync.Mutex
	// waiting counts the requests without a first token, by policy. Guarded by limitMu.
	waiting map[string]int
	// perOrg counts the running requests, by organisation. Guarded by limitMu.
	perOrg  map[string]int
	retries route.RetryThrottle // guarded by limitMu
	// calls counts the calls in progress at targets of plain services.
	calls inflight
	// pushbacks holds the pushbacks that this daemon received from engines and from targets of plain
	// services.
	pushbacks roster.PushbackList
}

// Stats holds a server's counters since its start. Calls counts the calls of plain services, and
// CallsUnknown those of them with an unknown outcome. RelayedBytes counts bytes received from
// targets.
type Stats struct {
	Requests, Completed, Refused, Retried, StreamsResumed, StreamsBroken, CallersDisconnected atomic.Int64
	Calls, CallsUnknown                                                                       atomic.Int64
	Tokens, CachedTokens, PromptTokens, RelayedBytes                                          atomic.Int64
}

// New returns a server for callers.
func New(o Options) *Server {
	return &Server{o: o, waiting: map[string]int{}, perOrg: map[string]int{}}
}

// Stats returns the live counters.
func (s *Server) Stats() *Stats { return &s.stats }

// Running returns how many requests are in progress.
func (s *Server) Running() int64 { return s.running.Load() }

// Register adds the routes for callers to e.
func (s *Server) Register(e *echo.Echo) {
	e.GET("/v1/models", s.handle(s.models))
	e.POST("/v1/completions", s.handle(s.completions))
	e.POST("/v1/chat/completions", s.handle(s.chat))
	e.POST("/v1/tickets", s.handle(s.ticket))
	e.Any("/services/:service", s.handle(s.service))
	e.Any("/services/:service/*", s.handle(s.service))
	e.RouteNotFound("/*", func(c echo.Context) error {
		q := &request{id: uuid.NewString()}
		s.writeRefusal(c, q, refuse(http.StatusNotFound, CodeNotFound, NotRun, "there is no such path"))
		return q.end()
	})
}

// request is one request of a caller with the snapshots that it uses.
type request struct {
	id           string
	organisation string
	snap         *conf.Snapshot
	view         *fleet.View
	start        time.Time
	// digest is the request digest of a prompt, under which crashes are counted.
	digest poison.Digest
	// complete is set once a whole answer, or a refusal, has been passed on.
	complete bool
}

// sent returns the request as crashes are counted for it. Prompts here name no parts: each of their blocks is
// identified together with everything before it.
func (q *request) sent() poison.Sent {
	return poison.Sent{Request: q.digest, Organisation: q.organisation}
}

func (q *request) ref(target string) event.Ref {
	return event.Ref{Request: q.id, Organisation: q.organisation, Target: target}
}

// HeaderRequestID is the header that carries the request ID to callers and targets.
const HeaderRequestID = "X-Request-Id"

// end ends the answer. One that was not passed on to its end must not look complete, whatever the reason.
func (q *request) end() error {
	if !q.complete {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// handle returns a handler that authenticates and admits a request before it calls f. A refusal that
// f returns is sent to the caller.
func (s *Server) handle(f func(echo.Context, *request) *Refusal) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.running.Add(1)
		defer s.running.Add(-1)
		s.stats.Requests.Add(1)
		q := &request{id: uuid.NewString(), snap: s.o.Conf.Snapshot(), view: s.o.Fleet.View(), start: time.Now()}
		c.Response().Header().Set(HeaderRequestID, q.id)
		if r := s.admit(c, q); r != nil {
			s.writeRefusal(c, q, r.forKey(c.Request()))
			return q.end()
		}
		defer s.releaseSlot(q)
		s.o.Log.Emit(event.RequestAccepted, q.ref(""), c.Request().Method+" "+c.Path())
		if r := s.callRecovering(f, c, q); r != nil {
			s.writeRefusal(c, q, r)
		} else if q.complete {
			s.stats.Completed.Add(1)
		}
		return q.end()
	}
}

// callRecovering calls f and turns a panic into a refusal, so that a broken invariant costs one
// request and not the process.
func (s *Server) callRecovering(f func(echo.Context, *request) *Refusal, c echo.Context, q *request) (r *Refusal) {
	defer func() {
		if why := recover(); why != nil {
			bugs.Report("request %s: %v", q.id, why)
			r = refuse(http.StatusInternalServerError, CodeTargetFailed, Unknown, "the daemon met a state that it rules out")
		}
	}()
	return f(c, q)
}

// notReadyRetryAfter is the Retry-After of a daemon that is not ready. By then the load balancer
// routes to another one.
const notReadyRetryAfter = time.Second

// admit identifies the caller's organisation by its key and reserves a slot for the request.
func (s *Server) admit(c echo.Context, q *request) *Refusal {
	if why := s.o.NotReadyReason(); why != "" {
		c.Response().Header().Set("Connection", "close")
		return refuse(http.StatusServiceUnavailable, CodeNotReady, NotRun, why).after(notReadyRetryAfter)
	}
	key, ok := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
	if !ok {
		return refuse(http.StatusUnauthorized, CodeBadKey, NotRun, "the header Authorization must be \"Bearer\" and a key")
	}
	q.organisation, ok = q.snap.OrganisationOfKey(key)
	if !ok {
		return refuse(http.StatusUnauthorized, CodeBadKey, NotRun, "the key belongs to no organisation")
	}
	return s.reserveSlot(q)
}

// reserveSlot counts the request against the bound of its organisation.
func (s *Server) reserveSlot(q *request) *Refusal {
	limit := s.o.MaxRunningPerOrganisation
	if o := q.snap.Organisation(q.organisation); o != nil && o.MaxRunning > 0 {
		limit = o.MaxRunning
	}
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	s.retries.RecordRequest()
	if s.perOrg[q.organisation] >= limit {
		return refuse(http.StatusTooManyRequests, CodeQueueFull, NotRun, "the organisation has too many requests running here").after(queueFullRetryAfter)
	}
	s.perOrg[q.organisation]++
	return nil
}

// queueFullRetryAfter is the Retry-After for a full queue, and the least one if no target is usable.
const queueFullRetryAfter = 500 * time.Millisecond

func (s *Server) releaseSlot(q *request) {
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	s.perOrg[q.organisation]--
	if s.perOrg[q.organisation] == 0 {
		delete(s.perOrg, q.organisation)
	}
}

// spendRetry takes one retry from the retry budget and reports whether there was one.
func (s *Server) spendRetry() bool {
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	if !s.retries.TryRetry() {
		return false
	}
	s.stats.Retried.Add(1)
	return true
}

// bodyTimeout bounds the time in which a body arrives.
const bodyTimeout = 30 * time.Second

// readBody reads the whole body within the limits on time and size.
func (s *Server) readBody(c echo.Context) ([]byte, *Refusal) {
	rc := http.NewResponseController(c.Response().Writer)
	if err := rc.SetReadDeadline(time.Now().Add(bodyTimeout)); err == nil {
		defer rc.SetReadDeadline(time.Time{})
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, s.o.MaxBodyBytes))
	if isTooLarge(err) {
		return nil, refuse(http.StatusRequestEntityTooLarge, CodeTooLarge, NotRun, "the body is larger than this daemon takes")
	}
	if err != nil {
		return nil, refuse(http.StatusBadRequest, CodeBadRequest, NotRun, "the body could not be read whole")
	}
	return body, nil
}

// models lists the deployments that the organisation may use, in the format of the models API.
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
	s.recordWritten(q, c.JSON(http.StatusOK, body))
	return nil
}

// recordWritten records that a whole answer was passed on, unless writing it failed.
func (s *Server) recordWritten(q *request, err error) {
	if err != nil {
		s.callerDisconnected(q)
		return
	}
	q.complete = true
}

// callerDisconnected records that the caller closed its connection.
func (s *Server) callerDisconnected(q *request) {
	s.stats.CallersDisconnected.Add(1)
	s.o.Log.Emit(event.CallerGone, q.ref(""), "")
}
