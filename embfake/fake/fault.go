// Package fake owns emulators of the systems that embertally works with: model
// engine, KV-cache store, weight store, coordination store, box list and plain
// service.
//
// They implement the interfaces that docs/API.md describes, inject the faults
// that tests request and record the requests that they receive. They must not
// know the internals of the daemons.
package fake

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// Fault names a fault that an emulator can inject.
type Fault string

// Faults of emulators. The value of a fault is a number with the meaning that its
// comment states; a count goes down with each use. Zero switches the fault off.
const (
	// Down answers every request with status 503, or resets its connection if the
	// value is above 1.
	Down Fault = "down"
	// Slow delays every response by the value in milliseconds.
	Slow Fault = "slow"
	// LoseResponses resets the connections of so many writes after they took effect.
	LoseResponses Fault = "loseAnswers"
	// StallWatch keeps watches open but sends nothing on them.
	StallWatch Fault = "stallWatch"
	// CutStream resets the connections of so many streams after their next token.
	CutStream Fault = "cutStream"
	// ForgetStream makes the engine forget so many of the streams that CutStream breaks.
	ForgetStream Fault = "forgetStream"
	// Truncate ends so many streams without finish reason, usage and end marker.
	Truncate Fault = "truncate"
	// WrongRequestID gives so many responses the ID of another request.
	WrongRequestID Fault = "cross"
	// Repeat sends each token of every stream twice.
	Repeat Fault = "repeat"
	// DropEvents omits so many cache events.
	DropEvents Fault = "dropEvents"
	// Corrupt changes the content of so many blocks when they are read.
	Corrupt Fault = "corrupt"
	// HalfWrite stores only the first half of the content of so many blocks.
	HalfWrite Fault = "halfWrite"
	// CutBefore resets the connections of so many calls before they are executed.
	CutBefore Fault = "cutBefore"
	// CutAfter resets the connections of so many calls after they were executed.
	CutAfter Fault = "cutAfter"
)

// Faults holds the values of the faults of one emulator. In the zero value all are off.
type Faults struct {
	valuesMu sync.Mutex
	values   map[Fault]float64 // guarded by valuesMu
}

// Set sets the value of a fault.
func (f *Faults) Set(name Fault, value float64) {
	f.valuesMu.Lock()
	defer f.valuesMu.Unlock()
	if f.values == nil {
		f.values = map[Fault]float64{}
	}
	f.values[name] = value
}

// Value returns the value of a fault.
func (f *Faults) Value(name Fault) float64 {
	f.valuesMu.Lock()
	defer f.valuesMu.Unlock()
	return f.values[name]
}

// Take counts a fault down by one and reports whether it was on.
func (f *Faults) Take(name Fault) bool {
	f.valuesMu.Lock()
	defer f.valuesMu.Unlock()
	if f.values[name] <= 0 {
		return false
	}
	f.values[name]--
	return true
}

// applyFaults wraps a handler with the latency and the faults that all emulators have.
func (s *Server) applyFaults(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if c.Path() == faultPath {
			return next(c)
		}
		if down := s.Value(Down); down > 1 {
			return resetConnection(c)
		} else if down > 0 {
			return c.String(http.StatusServiceUnavailable, "down\n")
		}
		if wait := s.latency + time.Duration(s.Value(Slow))*time.Millisecond; wait > 0 {
			select {
			case <-time.After(wait):
			case <-c.Request().Context().Done():
			}
		}
		return next(c)
	}
}

// faultPath sets faults and is exempt from them.
const faultPath = "/fault"

// resetConnection closes the connection with a TCP reset and without a response.
func resetConnection(c echo.Context) error {
	conn, _, err := http.NewResponseController(c.Response().Writer).Hijack()
	if err != nil {
		return errors.WithStack(err)
	}
	if t, ok := conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	return errors.WithStack(conn.Close())
}

// Server is the HTTP server that all emulators embed.
type Server struct {
	Faults
	// latency delays every response; set before start.
	latency time.Duration
	url     string
	srv     *http.Server
}

// URL returns the base URL of the emulator.
func (s *Server) URL() string { return s.url }

// start listens at address, which may have port 0, and serves the routes that register adds.
func (s *Server) start(address string, register func(e *echo.Echo)) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.WithStack(err)
	}
	e := echo.New()
	e.Use(s.applyFaults)
	e.POST(faultPath, func(c echo.Context) error {
		var body struct {
			Name  Fault   `json:"name"`
			Value float64 `json:"value"`
		}
		if err := c.Bind(&body); err != nil {
			return err
		}
		s.Set(body.Name, body.Value)
		return c.NoContent(http.StatusNoContent)
	})
	register(e)
	s.url = "http://" + l.Addr().String()
	s.srv = &http.Server{Handler: e}
	go acceptor{s.srv, l}.run()
	return nil
}

// acceptor accepts the connections of one emulator.
type acceptor struct {
	srv *http.Server
	l   net.Listener
}

func (s acceptor) run() { _ = s.srv.Serve(s.l) }

// Close stops the emulator without waiting for requests.
func (s *Server) Close() {
	if s.srv != nil {
		s.srv.Close()
	}
}
