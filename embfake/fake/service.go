package fake

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// Service emulates one instance of a plain service. It records every execution.
type Service struct {
	Server
	pushback
	name string

	executionMu sync.Mutex
	executions  []ServiceExecution // guarded by executionMu
}

// ServiceExecution records one execution of a call.
type ServiceExecution struct {
	At     time.Time `json:"at"`
	Method string    `json:"method"`
	Path   string    `json:"path"`
	// Key is the idempotency key.
	Key          string `json:"key"`
	Organisation string `json:"organisation"`
	// Request is the request ID.
	Request string `json:"request"`
	Body    string `json:"body"`
}

// NewService starts a plain service that listens at address.
func NewService(address, name string) (*Service, error) {
	s := &Service{name: name}
	return s, s.start(address, func(e *echo.Echo) {
		e.GET("/runs", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Executions()) })
		e.Any("/*", s.serve)
	})
}

// Executions returns a record of every execution.
func (s *Service) Executions() []ServiceExecution {
	s.executionMu.Lock()
	defer s.executionMu.Unlock()
	return append([]ServiceExecution{}, s.executions...)
}

// maxServiceBody bounds the bytes that are read of a call's body.
const maxServiceBody = 16 << 20

// serve executes a call: it records it and echoes a JSON body.
func (s *Service) serve(c echo.Context) error {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxServiceBody))
	if err != nil {
		return nil
	}
	if s.Take(CutBefore) {
		return resetConnection(c)
	}
	if s.rejects(c.Response().Header()) {
		return c.String(http.StatusServiceUnavailable, "the service rests\n")
	}
	h := c.Request().Header
	r := ServiceExecution{
		At: time.Now(), Method: c.Request().Method, Path: c.Request().URL.Path, Key: h.Get("Idempotency-Key"),
		Organisation: h.Get("X-Embertally-Organisation"), Request: h.Get("X-Request-Id"), Body: string(body),
	}
	s.executionMu.Lock()
	s.executions = append(s.executions, r)
	n := len(s.executions)
	s.executionMu.Unlock()
	if s.Take(CutAfter) {
		return resetConnection(c)
	}
	reply := struct {
		Target string          `json:"target"`
		Run    int             `json:"run"`
		Key    string          `json:"key,omitempty"`
		Echo   json.RawMessage `json:"echo,omitempty"`
	}{Target: s.name, Run: n, Key: r.Key}
	if json.Valid(body) {
		reply.Echo = body
	}
	c.Response().Header().Set("X-Request-Id", r.Request)
	if s.Take(WrongRequestID) {
		c.Response().Header().Set("X-Request-Id", "another request")
	}
	return c.JSON(http.StatusOK, reply)
}

// WeightStore emulates the weight store: loads slow one another down once more than limit
// run concurrently.
type WeightStore struct {
	Server
	limit    int           // loads that run at full speed
	loadTime time.Duration // of one load at full speed

	loadMu     sync.Mutex
	loading    int // loads that run; guarded by loadMu
	maxLoading int // highest value of loading; guarded by loadMu
	loads      int // total; guarded by loadMu
}

// NewWeightStore starts a weight store that listens at address. Up to limit concurrent loads
// take loadTime each.
func NewWeightStore(address string, limit int, loadTime time.Duration) (*WeightStore, error) {
	w := &WeightStore{limit: limit, loadTime: loadTime}
	return w, w.start(address, func(e *echo.Echo) {
		e.GET("/v1/weights/:model/:version", w.load)
		e.GET("/counts", func(c echo.Context) error {
			w.loadMu.Lock()
			defer w.loadMu.Unlock()
			body := struct {
				Loads       int `json:"loads"`
				MostAtOnce  int `json:"mostAtOnce"`
				LoadingNow  int `json:"loadingNow"`
				AtFullSpeed int `json:"atFullSpeed"`
			}{w.loads, w.maxLoading, w.loading, w.limit}
			return c.JSON(http.StatusOK, body)
		})
	})
}

// MaxConcurrentLoads returns the highest number of loads that ran concurrently.
func (w *WeightStore) MaxConcurrentLoads() int {
	w.loadMu.Lock()
	defer w.loadMu.Unlock()
	return w.maxLoading
}

// load responds after loadTime, or after loadTime times the number of concurrent loads if that
// is over the limit.
func (w *WeightStore) load(c echo.Context) error {
	w.loadMu.Lock()
	w.loading++
	w.loads++
	w.maxLoading = max(w.maxLoading, w.loading)
	took := w.loadTime
	if w.loading > w.limit {
		took *= time.Duration(w.loading)
	}
	w.loadMu.Unlock()
	select {
	case <-time.After(took):
	case <-c.Request().Context().Done():
	}
	w.loadMu.Lock()
	w.loading--
	w.loadMu.Unlock()
	return c.NoContent(http.StatusNoContent)
}
