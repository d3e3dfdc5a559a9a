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

// gatherLimit bounds the wait for other daemons' events.
const gatherLimit = 3 * time.Second

// own returns this process's events that the filter selects.
func (s *Server) own(f event.Filter) []event.Event {
	return event.Merge([][]event.Event{s.o.Log.Since(0, maxEvents)}, f)
}

// timeline merges the events of all daemons into one ordered line.
func (s *Server) timeline(c echo.Context) error {
	f := event.Filter{Ref: event.Ref{
		Request: c.QueryParam("request"), Context: c.QueryParam("context"),
		Organisation: c.QueryParam("organisation"), Target: c.QueryParam("target"), Resource: c.QueryParam("resource"),
	}}
	if text := c.QueryParam("code"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			return refuse(c, invalid("code", "must be a number of docs/EVENTS.md"))
		}
		f.Code = event.Code(n)
	}
	lists, silent := s.gather(c.Request().Context(), f)
	body := struct {
		Events []event.Event `json:"events"`
		// Silent names the daemons whose events could not be had.
		Silent []string `json:"silent,omitempty"`
	}{event.Merge(lists, event.Filter{}), silent}
	return c.JSON(http.StatusOK, body)
}

// gather asks every daemon for its events.
func (s *Server) gather(ctx context.Context, f event.Filter) (lists [][]event.Event, silent []string) {
	ctx, cancel := context.WithTimeout(ctx, gatherLimit)
	defer cancel()
	lists = append(lists, s.own(f))
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, p := range s.o.Fleet.View().Peers() {
		wg.Go(func() {
			var list []event.Event
			err := s.o.Fleet.Call(ctx, p.Name, kindEvents, &f, &list)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				silent = append(silent, p.Name)
				return
			}
			lists = append(lists, list)
		})
	}
	wg.Wait()
	return lists, silent
}

// maxEvents bounds one reply of events.
const maxEvents = 4096

func (s *Server) events(c echo.Context) error {
	from := uint64(0)
	if text := c.QueryParam("from"); text != "" {
		var err error
		if from, err = strconv.ParseUint(text, 10, 64); err != nil {
			return refuse(c, invalid("from", "must be a number"))
		}
	}
	body := struct {
		Events []event.Event `json:"events"`
	}{s.o.Log.Since(from, maxEvents)}
	return c.JSON(http.StatusOK, body)
}
