// Package admin owns the HTTP API for operators: resources and watches of them,
// drain orders, status, blocked requests, and the timeline of all daemons' events.
//
// It must not know how resources are stored or replicated.
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

// Options configure a Server.
type Options struct {
	Conf         *conf.Store
	Writer       *conf.Writer
	Spread       *spread.ConfigReplicator
	Fleet        *fleet.Fleet
	ContextOwner *home.Owner
	Poison       *poison.Guard
	Log          *event.Log
	// Assignments are the names of the assignments that the status shows.
	Assignments []string
	// OperatorKeyHashes are the SHA-256 hashes of operators' keys from the settings. They
	// give access even while the configuration has no operator.
	OperatorKeyHashes []string
	// NotReadyReason returns the reason why no requests are accepted, or "".
	NotReadyReason func() string
	// RequestsRunning returns the number of callers' requests in progress.
	RequestsRunning func() int64
}

// Server handles operators' requests.
type Server struct{ o Options }

// New returns a server and registers its handler for peers' messages with the fleet.
func New(o Options) *Server {
	s := &Server{o}
	o.Fleet.Mux().Register(kindEvents, wire.Handle(func(_ context.Context, _ string, f *event.Filter) ([]event.Event, error) {
		return s.localEvents(*f), nil
	}))
	return s
}

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 256 << 10

// Register adds the routes of the operators' API to e.
func (s *Server) Register(e *echo.Echo) {
	g := e.Group("/v1", s.authenticate)
	g.GET("/status", s.status)
	g.GET("/events", s.events)
	g.GET("/timeline", s.timeline)
	g.POST("/drains/:target", s.drain)
	g.GET("/blocked", s.listBlocked)
	g.DELETE("/blocked/:asks", s.releaseBlocked)
	g.GET("/resources/:kind", s.list)
	g.GET("/resources/:kind/:name", s.read)
	g.POST("/resources/:kind", s.create)
	g.PUT("/resources/:kind/:name", s.update)
	g.DELETE("/resources/:kind/:name", s.remove)
}

// errorBody is the JSON body of a rejection.
type errorBody struct {
	Error *conf.Rejection `json:"error"`
}

// codeBadKey is the code of the rejection of a key that belongs to no operator.
const codeBadKey conf.Code = "badKey"

func (s *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		key, ok := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		if !ok || !s.isOperatorKey(key) {
			return c.JSON(http.StatusUnauthorized, errorBody{&conf.Rejection{Code: codeBadKey, Text: "the key belongs to no operator"}})
		}
		return next(c)
	}
}

func (s *Server) isOperatorKey(key string) bool {
	hash := conf.HashKey(key)
	for _, h := range s.o.OperatorKeyHashes {
		if subtle.ConstantTimeCompare([]byte(h), []byte(hash)) == 1 {
			return true
		}
	}
	return s.o.Conf.Snapshot().IsOperatorKey(key)
}

var httpStatusByCode = map[conf.Code]int{
	conf.CodeInvalid: http.StatusUnprocessableEntity, conf.CodeNotFound: http.StatusNotFound,
	conf.CodeExists: http.StatusConflict, conf.CodeStale: http.StatusConflict,
	conf.CodeReference: http.StatusUnprocessableEntity, conf.CodeInUse: http.StatusConflict,
	conf.CodeUnknownKind: http.StatusNotFound, conf.CodeCompacted: http.StatusGone,
	conf.CodeUnavailable: http.StatusServiceUnavailable, conf.CodeUnknown: http.StatusServiceUnavailable,
}

func writeRejection(c echo.Context, r *conf.Rejection) error {
	httpStatus, ok := httpStatusByCode[r.Code]
	if !ok {
		httpStatus = http.StatusBadRequest
	}
	return c.JSON(httpStatus, errorBody{r})
}

func invalidField(field, text string) *conf.Rejection {
	return &conf.Rejection{Code: conf.CodeInvalid, Text: "the request has faults", Faults: []conf.Fault{{Field: field, Text: text}}}
}
