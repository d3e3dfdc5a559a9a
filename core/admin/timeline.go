package admin

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"embertally.dev/core/event"
	"embertally.dev/core/wire"
)

const kindEvents wire.Kind = "admin.events"

// collectTimeout bounds the wait for other daemons' events.
const collectTimeout = 3 * time.Second

// localEvents returns the events of this process that f selects.
func (s *Server) localEvents(f event.Filter) []event.Event {
	return event.Merge([][]event.Event{s.o.Log.Since(0, maxEvents)}, f)
}

// timeline responds with the events of all daemons, merged into one timeline.
func (s *Server) timeline(c echo.Context) error {
	f := event.Filter{Ref: event.Ref{
		Request: c.QueryParam("request"), Context: c.QueryParam("context"),
		Organisation: c.QueryParam("organisation"), Target: c.QueryParam("target"), Resource: c.QueryParam("resource"),
	}}
	if text := c.QueryParam("code"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			return writeRejection(c, invalidField("code", "must be a number of docs/EVENTS.md"))
		}
		f.Code = event.Code(n)
	}
	lists, unreachable := s.collect(c.Request().Context(), f)
	body := struct {
		Events []event.Event `json:"events"`
		// Unreachable lists the daemons whose events could not be fetched.
		Unreachable []string `json:"silent,omitempty"`
	}{event.Merge(lists, event.Filter{}), unreachable}
	return c.JSON(http.StatusOK, body)
}

// collect requests the selected events from every daemon. It returns one list for each
// daemon that responded, and the names of the others.
func (s *Server) collect(ctx context.Context, f event.Filter) (lists [][]event.Event, unreachable []string) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	lists = append(lists, s.localEvents(f))
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, p := range s.o.Fleet.View().Peers() {
		wg.Go(func() {
			var events []event.Event
			err := s.o.Fleet.Call(ctx, p.Name, kindEvents, &f, &events)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unreachable = append(unreachable, p.Name)
				return
			}
			lists = append(lists, events)
		})
	}
	wg.Wait()
	return lists, unreachable
}

// maxEvents is the maximum number of events in one response.
const maxEvents = 4096

func (s *Server) events(c echo.Context) error {
	from := uint64(0)
	if text := c.QueryParam("from"); text != "" {
		var err error
		if from, err = strconv.ParseUint(text, 10, 64); err != nil {
			return writeRejection(c, invalidField("from", "must be a number"))
		}
	}
	body := struct {
		Events []event.Event `json:"events"`
	}{s.o.Log.Since(from, maxEvents)}
	return c.JSON(http.StatusOK, body)
}
