// Package fake owns small stand-ins for the systems that embertally meets: the
// model engine, the store box, the weight store, the key-value service, the
// box list and the plain service.
//
// They speak the interfaces that docs/API.md describes, bring about the faults
// that tests ask for, and record what happened to them. They must not know
// anything of the daemons' insides.
package fake

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// Fault names a switch of a stand-in.
type Fault string

// The faults of stand-ins. The value of a fault is a number whose meaning the
// comment gives; zero switches it off.
const (
	// Down answers every request with an error, or by closing the connection
	// for values over 1.
	Down Fault = "down"
	// Slow delays every answer by the value in milliseconds.
	Slow Fault = "slow"
	// LoseAnswers carries out so many writes and closes their connections.
	LoseAnswers Fault = "loseAnswers"
	// StallWatch keeps watches open and silent.
	StallWatch Fault = "stallWatch"
	// CutStream breaks so many streams after their next token.
	CutStream Fault = "cutStream"
	// ForgetStream makes the engine forget broken streams.
	ForgetStream Fault = "forgetStream"
	// Truncate ends so many streams without their last messages.
	Truncate Fault = "truncate"
	// Cross gives so many streams the name of another request.
	Cross Fault = "cross"
	// Repeat sends each token of streams twice.
	Repeat Fault = "repeat"
	// DropEvents leaves out so many cache events.
	DropEvents Fault = "dropEvents"
	// Corrupt changes the content of so many blocks that are read.
	Corrupt Fault = "corrupt"
	// HalfWrite writes only half of the content of so many blocks.
	HalfWrite Fault = "halfWrite"
	// CutBefore closes so many calls before they run.
	CutBefore Fault = "cutBefore"
	// CutAfter runs so many calls and closes their connections.
	CutAfter Fault = "cutAfter"
)

// Faults are the switches of one stand-in. The zero value has all off.
type Faults struct {
	faultMu sync.Mutex
	values  map[Fault]float64 // guarded by faultMu
}

// Set sets a fault.
func (f *Faults) Set(name Fault, value float64) {
	f.faultMu.Lock()
	defer f.faultMu.Unlock()
	if f.values == nil {
		f.values = map[Fault]float64{}
	}
	f.values[name] = value
}

// Value returns the value of a fault.
func (f *Faults) Value(name Fault) float64 {
	f.faultMu.Lock()
	defer f.faultMu.Unlock()
	return f.values[name]
}

// Take counts a fault down by one and reports whether it was on.
func (f *Faults) Take(name Fault) bool {
	f.faultMu.Lock()
	defer f.faultMu.Unlock()
	if f.values[name] <= 0 {
		return false
	}
	f.values[name]--
	return true
}

// guard applies the latency and the faults that every stand-in has.
func (s *Server) guard(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if c.Path() == faultPath {
			return next(c)
		}
		if down := s.Value(Down); down > 1 {
			return hangUp(c)
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

const faultPath = "/fault"

// hangUp closes the connection without an answer.
func hangUp(c echo.Context) error {
	conn, _, err := http.NewResponseController(c.Response().Writer).Hijack()
	if err != nil {
		return errors.WithStack(err)
	}
	if t, ok := conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	return errors.WithStack(conn.Close())
}

// Server is the listening side that all stand-ins share.
type Server struct {
	Faults
	// latency delays every answer; set before start.
	latency time.Duration
	url     string
	srv     *http.Server
}

// URL returns where the stand-in listens.
func (s *Server) URL() string { return s.url }

// start listens at address, which may have port 0.
func (s *Server) start(address string, register func(e *echo.Echo)) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.WithStack(err)
	}
	e := echo.New()
	e.Use(s.guard)
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
	go serving{s.srv, l}.run()
	return nil
}

// serving is the accepting side of one stand-in.
type serving struct {
	srv *http.Server
	l   net.Listener
}

func (s serving) run() { _ = s.srv.Serve(s.l) }

// Close stops the stand-in at once.
func (s *Server) Close() {
	if s.srv != nil {
		s.srv.Close()
	}
}
