package host

import (
	"context"
	"net/http"
	"time"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/wait"
)

// notReadyReason returns why the daemon accepts no requests, or "" if it is ready.
func (h *Host) notReadyReason() string {
	switch {
	case h.draining.Load():
		return "the daemon is stopping"
	case h.relay.Table() == nil:
		return "no configuration is known"
	case h.behindPeers(clock.Now()) > 0:
		return "the coordination store may hold a newer state"
	case h.configOverdue(clock.Now()) > 0:
		return "a newer configuration has not arrived"
	}
	return ""
}

// readyPollInterval is the interval at which readiness is checked.
const readyPollInterval = 100 * time.Millisecond

// watchReadiness logs changes of readiness, and keeps versionWatch true, until ctx is cancelled.
func (h *Host) watchReadiness(ctx context.Context) {
	ready := false
	wait.Every(ctx, readyPollInterval, func() {
		h.checkVersionWatch()
		reason := h.notReadyReason()
		if ready == (reason == "") {
			return
		}
		if ready = reason == ""; ready {
			h.log.Emit(event.DaemonReady, event.Ref{}, "configuration "+itoa(h.relay.Table().Version()))
		} else {
			h.log.Emit(event.DaemonNotReady, event.Ref{}, reason+"; "+h.knowledge())
		}
	})
}

// Times of a graceful shutdown.
const (
	// noticeTime is how long the platform may take to stop sending new connections: two
	// readiness probes, a second apart.
	noticeTime = 2600 * time.Millisecond
	// stopMargin is the part of Bounds.Stop that is reserved for the exit of the process.
	stopMargin = 700 * time.Millisecond
	// answerMargin is the part before that in which requests that are left are answered without their targets.
	answerMargin = 200 * time.Millisecond
	// drainPollInterval is the interval at which drain checks for running requests.
	drainPollInterval = 50 * time.Millisecond
)

// drain serves new requests until the platform has stopped sending connections, if their time ends before
// the shutdown does. Then it refuses requests on connections that stayed open, and waits for running
// requests. Those that are left at its end are answered without their targets.
func (h *Host) drain(callers *http.Server) {
	started := time.Now()
	deadline := started.Add(h.settings.Bounds.Stop - stopMargin)
	end := deadline.Add(-answerMargin)
	h.draining.Store(true)
	h.relay.BeginStop(end)
	h.fleet.Drain()
	h.detours.Close()
	h.log.Emit(event.DaemonDraining, event.Ref{}, "")
	for time.Now().Before(deadline) {
		if time.Since(started) > noticeTime {
			h.relay.RefuseRequests()
			if h.relay.Running() == 0 && h.detours.Forwarded() == 0 {
				break
			}
		}
		if time.Now().After(end) {
			h.relay.EndRequests()
		}
		time.Sleep(drainPollInterval)
	}
	// What remains are idle connections, and streams to callers that do not read.
	callers.SetKeepAlivesEnabled(false)
	time.Sleep(drainPollInterval)
}
