package fake

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// Service stands in for one instance of a plain service. It records every run.
type Service struct {
	Server
	resting
	name string

	runMu sync.Mutex
	runs  []ServiceRun // guarded by runMu
}

// ServiceRun is one call that ran.
type ServiceRun struct {
	At           time.Time `json:"at"`
	Method       string    `json:"method"`
	Path         string    `json:"path"`
	Key          string    `json:"key"`
	Organisation string    `json:"organisation"`
	Request      string    `json:"request"`
	Body         string    `json:"body"`
}

// NewService starts a plain service at address.
func NewService(address, name string) (*Service, error) {
	s := &Service{name: name}
	return s, s.start(address, func(e *echo.Echo) {
		e.GET("/runs", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Runs()) })
		e.Any("/*", s.run)
	})
}

// Runs returns every call that ran.
func (s *Service) Runs() []ServiceRun {
	s.runMu.Lock()
	defer s.runMu.Unlock()
	return append([]ServiceRun{}, s.runs...)
}

const maxServiceBody = 16 << 20

func (s *Service) run(c echo.Context) error {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxServiceBody))
	if err != nil {
		return nil
	}
	if s.Take(CutBefore) {
		return hangUp(c)
	}
	if s.turnsAway(c.Response().Header()) {
		return c.String(http.StatusServiceUnavailable, "the service rests\n")
	}
	h := c.Request().Header
	r := ServiceRun{
		At: time.Now(), Method: c.Request().Method, Path: c.Request().URL.Path, Key: h.Get("Idempotency-Key"),
		Organisation: h.Get("X-Embertally-Organisation"), Request: h.Get("X-Request-Id"), Body: string(body),
	}
	s.runMu.Lock()
	s.runs = append(s.runs, r)
	n := len(s.runs)
	s.runMu.Unlock()
	if s.Take(CutAfter) {
		return hangUp(c)
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
	if s.Take(Cross) {
		c.Response().Header().Set("X-Request-Id", "another request")
	}
	return c.JSON(http.StatusOK, reply)
}

// Weights stands in for the weight store: loads slow one another down once
// more than Limit run at a time.
type Weights struct {
	Server
	// Limit and Take are how many loads run at full speed and how long one
	// takes then.
	limit int
	took  time.Duration

	loadMu  sync.Mutex
	loading int // guarded by loadMu
	most    int // guarded by loadMu
	loads   int // guarded by loadMu
}

// NewWeights starts a weight store at address.
func NewWeights(address string, limit int, took time.Duration) (*Weights, error) {
	w := &Weights{limit: limit, took: took}
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
			}{w.loads, w.most, w.loading, w.limit}
			return c.JSON(http.StatusOK, body)
		})
	})
}

// Most returns the most loads that ran at a time.
func (w *Weights) Most() int {
	w.loadMu.Lock()
	defer w.loadMu.Unlock()
	return w.most
}

func (w *Weights) load(c echo.Context) error {
	w.loadMu.Lock()
	w.loading++
	w.loads++
	w.most = max(w.most, w.loading)
	took := w.took
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
