package host

import (
	"context"
	"net/http"
	"time"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/wait"
)

// notReady says why the daemon takes no requests, or "".
func (h *Host) notReady() string {
	switch {
	case h.draining.Load():
		return "the daemon is stopping"
	case h.relay.Table() == nil:
		return "no configuration is known"
	case h.lacks(clock.Now()) > 0:
		return "a newer configuration has not arrived"
	}
	return ""
}

// readyLook is the pause between looks at readiness.
const readyLook = 100 * time.Millisecond

// loop records when readiness changes.
func (h *Host) loop(ctx context.Context) {
	ready := false
	wait.Every(ctx, readyLook, func() {
		why := h.notReady()
		if ready == (why == "") {
			return
		}
		if ready = why == ""; ready {
			h.log.Emit(event.DaemonReady, event.Ref{}, "configuration "+itoa(h.relay.Table().Version()))
		} else {
			h.log.Emit(event.DaemonNotReady, event.Ref{}, why)
		}
	})
}

// Times of a planned stop.
const (
	// noticeTime is how long the platform may take to send no more new
	// connections: two questions for readiness, a second apart.
	noticeTime = 2600 * time.Millisecond
	// stopMargin is left of the stop's time for the end of the process.
	stopMargin = 700 * time.Millisecond
	drainLook  = 50 * time.Millisecond
)

// drain answers what comes until callers have gone elsewhere; then it refuses
// what still comes on kept connections, since a long answer might not end in
// time, and waits for running requests.
func (h *Host) drain(callers *http.Server) {
	began := time.Now()
	h.draining.Store(true)
	h.relay.CloseConnections()
	h.fleet.Drain()
	h.log.Emit(event.DaemonDraining, event.Ref{}, "")
	end := began.Add(h.set.Bounds.Stop - stopMargin)
	for time.Now().Before(end) {
		if time.Since(began) > noticeTime {
			h.relay.RefuseRequests()
			if h.relay.Running() == 0 {
				break
			}
		}
		time.Sleep(drainLook)
	}
	// Only idle connections are left, and requests that outlast the stop.
	callers.SetKeepAlivesEnabled(false)
	time.Sleep(drainLook)
}
