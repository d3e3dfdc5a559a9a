package host

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/platform"
)

// listeners are what the daemon listens on.
type listeners struct{ callers, readiness, peers, metrics net.Listener }

// listen opens all listeners, or says which one cannot be.
func (h *Host) listen() (listeners, error) {
	var ls listeners
	for _, l := range []struct {
		into    *net.Listener
		address string
	}{
		{&ls.callers, h.set.Callers},
		{&ls.readiness, h.set.Readiness},
		{&ls.peers, h.set.Peers},
		{&ls.metrics, h.set.Metrics},
	} {
		got, err := net.Listen("tcp", l.address)
		if err != nil {
			return ls, errors.WithStack(err)
		}
		*l.into = got
	}
	return ls, nil
}

// Bounds of callers' connections.
const (
	// headerLimit is above what the users' configurations allow callers (3 s).
	headerLimit = 6 * time.Second
	// idleLimit is above the users' idle times (15 s), so that a kept
	// connection is closed by its caller and not under a request.
	idleLimit = 2 * time.Minute
)

// serve answers on a listener until its server is closed.
func (h *Host) serve(wg *sync.WaitGroup, l net.Listener, handler http.Handler) *http.Server {
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: headerLimit, IdleTimeout: idleLimit}
	wg.Go(func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			h.log.Emit(event.InvariantBroken, event.Ref{}, "listener "+l.Addr().String()+" ended: "+err.Error())
		}
	})
	return srv
}

// readiness answers the platform's question.
func (h *Host) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if why := h.notReady(); why != "" {
			http.Error(w, why, http.StatusServiceUnavailable)
			return
		}
		// A question whose asker has gone is asked again.
		_, _ = w.Write([]byte("ready\n"))
	})
	return mux
}

// metrics answers with the figures.
func (h *Host) metrics() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { h.stats.Write(w) })
	return mux
}

// gauges adds the figures that are asked for when they are read.
func (h *Host) gauges() {
	for _, g := range []struct {
		name string
		f    func() float64
	}{
		{"requests_running", func() float64 { return float64(h.relay.Running()) }},
		{"store_contact_seconds", func() float64 { return clock.Since(h.mirror.Contact()).Seconds() }},
		{"store_era", func() float64 { return float64(h.mirror.Era()) }},
		{"daemons", func() float64 { return float64(h.daemons.count()) }},
		{"kept_tokens", func() float64 { return float64(h.kept.Tokens()) }},
		{"log_lines_dropped_total", func() float64 { return float64(h.spool.Dropped()) }},
		{"knowledge_age_seconds", func() float64 { return h.age().Seconds() }},
		{"mirror_bytes_told_total", func() float64 { return float64(h.mirrors.BytesSent()) }},
		{"mirror_questions_failed_total", func() float64 { return float64(h.mirrors.RequestsFailed()) }},
		{"blocked_requests", func() float64 { return float64(h.poison.Blocks()) }},
		{"suspected_requests", func() float64 { return float64(h.poison.Suspects()) }},
		{"targets_leaving_by_answer", func() float64 { leaving, _ := h.roster.SelfReportCounts(); return float64(leaving) }},
		{"targets_resting", func() float64 { _, resting := h.roster.SelfReportCounts(); return float64(resting) }},
		{"targets_limited", func() float64 { return float64(len(h.roster.RateLimitedTargets())) }},
		{"targets_ended_total", func() float64 { return float64(h.poison.EndedRuns()) }},
		{"targets_listed", func() float64 { listed, _ := h.roster.Sizes(); return float64(listed) }},
		{"targets_guests", func() float64 { _, guests := h.roster.Sizes(); return float64(guests) }},
		{"cell_daemons", func() float64 { return float64(h.fleet.View().CellSize()) }},
		{"rollouts_undecided", func() float64 { return float64(h.canary.Undecided()) }},
		{"peer_bytes_total", func() float64 { return float64(h.fleet.Bytes()) }},
	} {
		h.stats.Gauge(g.name, g.f)
	}
}
