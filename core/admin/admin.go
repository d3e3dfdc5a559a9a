// Package admin owns the operators' side: the resource API with its watches,
// drain orders, status and the process's part of the time line.
//
// It must not know how resources are kept or spread.
package admin

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"embertally.dev/core/conf"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/home"
	"embertally.dev/core/poison"
	"embertally.dev/core/spread"
	"embertally.dev/core/wire"
)

// Options of the operators' side.
type Options struct {
	Conf   *conf.Store
	Writer *conf.Writer
	Spread *spread.Spread
	Fleet  *fleet.Fleet
	Home   *home.Home
	Poison *poison.Guard
	Log    *event.Log
	// Duties are the names of the duties that the status shows.
	Duties []string
	// KeyHashes are operators' keys from the settings, for the first access.
	KeyHashes []string
	// Ready says why no requests are taken, or "".
	Ready func() string
	// Running returns how many callers' requests have not ended.
	Running func() int64
}

// Server answers operators.
type Server struct{ o Options }

// New returns a server for operators and registers its messages with the fleet.
func New(o Options) *Server {
	s := &Server{o}
	o.Fleet.Mux().Register(kindEvents, wire.Handle(func(_ context.Context, _ string, f *event.Filter) ([]event.Event, error) {
		return s.own(*f), nil
	}))
	return s
}

// maxBody bounds the body of one resource.
const maxBody = 256 << 10

// Register adds the operators' paths to e.
func (s *Server) Register(e *echo.Echo) {
	g := e.Group("/v1", s.guard)
	g.GET("/status", s.status)
	g.GET("/events", s.events)
	g.GET("/timeline", s.timeline)
	g.POST("/drains/:target", s.drain)
	g.GET("/blocked", s.blocked)
	g.DELETE("/blocked/:asks", s.release)
	g.GET("/resources/:kind", s.list)
	g.GET("/resources/:kind/:name", s.read)
	g.POST("/resources/:kind", s.create)
	g.PUT("/resources/:kind/:name", s.update)
	g.DELETE("/resources/:kind/:name", s.remove)
}

// errorBody is the wire form of a refusal.
type errorBody struct {
	Error *conf.Rejection `json:"error"`
}

// codeBadKey is the refusal of a key that belongs to no operator.
const codeBadKey conf.Code = "badKey"

func (s *Server) guard(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		key, ok := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		if !ok || !s.allowed(key) {
			return c.JSON(http.StatusUnauthorized, errorBody{&conf.Rejection{Code: codeBadKey, Text: "the key belongs to no operator"}})
		}
		return next(c)
	}
}

func (s *Server) allowed(key string) bool {
	sum := conf.HashKey(key)
	for _, h := range s.o.KeyHashes {
		if subtle.ConstantTimeCompare([]byte(h), []byte(sum)) == 1 {
			return true
		}
	}
	return s.o.Conf.Snapshot().IsOperatorKey(key)
}

var statusOf = map[conf.Code]int{
	conf.CodeInvalid: http.StatusUnprocessableEntity, conf.CodeNotFound: http.StatusNotFound,
	conf.CodeExists: http.StatusConflict, conf.CodeStale: http.StatusConflict,
	conf.CodeReference: http.StatusUnprocessableEntity, conf.CodeInUse: http.StatusConflict,
	conf.CodeUnknownKind: http.StatusNotFound, conf.CodeCompacted: http.StatusGone,
	conf.CodeUnavailable: http.StatusServiceUnavailable, conf.CodeUnknown: http.StatusServiceUnavailable,
}

func refuse(c echo.Context, r *conf.Rejection) error {
	code, ok := statusOf[r.Code]
	if !ok {
		code = http.StatusBadRequest
	}
	return c.JSON(code, errorBody{r})
}

func invalid(field, text string) *conf.Rejection {
	return &conf.Rejection{Code: conf.CodeInvalid, Text: "the request has faults", Faults: []conf.Fault{{Field: field, Text: text}}}
}
