package host

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/clock"
	"embertally.dev/core/entry"
	"embertally.dev/core/event"
	"embertally.dev/core/listen"
	"embertally.dev/core/memory"
	"embertally.dev/core/plat"
	"embertally.dev/platform"
)

// listeners holds the daemon's listening sockets.
type listeners struct{ callers, readiness, peers, metrics *listen.Listener }

// listen opens all listeners. The error names the address that cannot be opened.
func (h *Host) listen() (listeners, error) {
	var ls listeners
	bounds, err := h.connectionBounds()
	if err != nil {
		return ls, err
	}
	for _, l := range []struct {
		into           **listen.Listener
		name, address  string
		maxConnections int
		options        listen.Options
	}{
		{&ls.callers, "callers", h.settings.Callers, bounds.callers, listen.Options{Heads: true, MaxHeadBytes: h.maxHeadBytes}},
		{&ls.readiness, "readiness", h.settings.Readiness, bounds.auxiliary, listen.Options{Heads: true}},
		{&ls.peers, "peers", h.settings.Peers, bounds.peers, listen.Options{}},
		{&ls.metrics, "metrics", h.settings.Metrics, bounds.auxiliary, listen.Options{Heads: true}},
	} {
		got, err := net.Listen("tcp", l.address)
		if err != nil {
			return ls, errors.WithStack(err)
		}
		l.options.MaxConnections, l.options.Memory = l.maxConnections, &h.headMemory
		l.options.Ended = func(address string, reason listen.Reason) {
			h.log.Emit(event.ConnectionEnded, event.Ref{}, l.name+", "+address+": "+reason.String())
		}
		*l.into = listen.New(got, l.options)
		h.registerConnections(l.name, *l.into)
	}
	return ls, nil
}

// registerConnections registers the metrics of a listener.
func (h *Host) registerConnections(name string, l *listen.Listener) {
	h.stats.Gauge(`connections{of="`+name+`"}`, func() float64 { return float64(l.Open()) })
	for _, reason := range listen.Reasons() {
		h.stats.Gauge(`connections_ended_total{of="`+name+`",reason="`+reason.String()+`"}`, func() float64 { return float64(l.Ended(reason)) })
	}
}

// maxHeadBytes returns the longest head of a caller's request; 0 if the configuration sets no limit.
func (h *Host) maxHeadBytes() int {
	if t := h.relay.Table(); t != nil {
		return t.Limits().MaxHeaderBytes
	}
	return 0
}

// connectionBounds bounds the open connections of the listeners.
type connectionBounds struct{ callers, peers, auxiliary int }

// Bounds of the listeners' connections beside the shares of the process's descriptors.
const (
	// connectionBytes is what an idle connection takes: two buffers, a stack and what the server keeps of it.
	connectionBytes       = 24 << 10
	connectionMemoryShare = 0.2
	// maxCallers and maxPeers leave room below the 4,096 descriptors that a process may usually have.
	maxCallers = 2048
	maxPeers   = 1024
	// maxAuxiliary is enough for probes and collectors of metrics, which are few.
	maxAuxiliary = 64
)

// connectionBounds returns the bounds for the process's memory and descriptors.
func (h *Host) connectionBounds() (connectionBounds, error) {
	sockets, err := listen.Sockets()
	if err != nil {
		return connectionBounds{}, err
	}
	callers := h.settings.MaxConnections
	if callers == 0 {
		callers = min(maxCallers, int(connectionMemoryShare*float64(h.settings.MemoryMB<<20))/connectionBytes)
	}
	return connectionBounds{
		callers:   listen.Share(sockets, listen.CallersShare, callers),
		peers:     listen.Share(sockets, listen.PeersShare, maxPeers),
		auxiliary: listen.Share(sockets, listen.AuxiliaryShare, maxAuxiliary),
	}, nil
}

// Bounds of the HTTP servers' connections.
const (
	// headerTimeout is longer than the header time that the users' configurations allow callers (3 s).
	headerTimeout = 6 * time.Second
	// idleTimeout is longer than the users' idle timeouts (15 s), so that the caller closes an
	// idle connection first: if the daemon did, a request could arrive at the same time and fail.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds what is read of a caller's header, before the configuration's limit applies.
	maxHeaderBytes = 256 << 10
)

// serve starts a server on a listener. It runs until it is closed.
func (h *Host) serve(wg *sync.WaitGroup, l net.Listener, handler http.Handler) *http.Server {
	srv := &http.Server{
		Handler: entry.MarkEnds(listen.Handler(handler)), ConnContext: entry.ConnContext,
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	listen.Attach(srv)
	wg.Go(func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			h.log.Emit(event.InvariantBroken, event.Ref{}, "listener "+l.Addr().String()+" failed: "+err.Error())
		}
	})
	return srv
}

// readiness returns the handler of the platform's readiness probe.
func (h *Host) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if reason := h.notReadyReason(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		// A write fails if the prober has disconnected; it probes again.
		_, _ = w.Write([]byte("ready\n"))
	})
	return mux
}

// metrics returns the handler that serves the metrics.
func (h *Host) metrics() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { h.stats.Write(w) })
	return mux
}

// configurationVersion returns the version of the applied configuration; 0 if there is none.
func (h *Host) configurationVersion() float64 {
	t := h.relay.Table()
	if t == nil {
		return 0
	}
	return float64(t.Version())
}

// boolValue returns 1 for true and 0 for false.
func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// secondsSince returns the seconds since a point in time; 0 for the zero value.
func secondsSince(t clock.Time) float64 {
	if t.IsZero() {
		return 0
	}
	return clock.Since(t).Seconds()
}

// registerGauges registers the metrics that are computed when they are read.
func (h *Host) registerGauges() {
	for _, g := range []struct {
		name string
		f    func() float64
	}{
		{"requests_running", func() float64 { return float64(h.relay.Running()) }},
		{"queue_waiting", func() float64 { return float64(h.relay.Waiting()) }},
		{"store_contact_seconds", func() float64 { return clock.Since(h.watchCache.LastContact()).Seconds() }},
		{"store_era", func() float64 { return float64(h.watchCache.StoreIncarnation()) }},
		{"daemons", func() float64 { return float64(h.daemonCounter.count()) }},
		{"kept_tokens", func() float64 { return float64(h.storeIndexes.Tokens()) }},
		{"log_lines_dropped_total", func() float64 { return float64(h.spool.Dropped()) }},
		{"configuration_version", h.configurationVersion},
		{"knowledge_age_seconds", func() float64 { return h.viewAge().Seconds() }},
		{"knowledge_revision", func() float64 { return float64(plat.StoreRevision(h.watchCache.Revision())) }},
		{"knowledge_missing_seconds", func() float64 { return secondsSince(h.watchCache.UnfetchedSince()) }},
		{"peer_knowledge_age_seconds", func() float64 { return secondsSince(h.watchCacheSync.FreshestPeerCopy()) }},
		{"store_read_seconds_max", func() float64 { return h.store.LongestRead().Seconds() }},
		{"store_items_invalid_total", func() float64 { return float64(h.store.InvalidItems()) }},
		{"mirror_bytes_told_total", func() float64 { return float64(h.watchCacheSync.BytesSent()) }},
		{"mirror_questions_failed_total", func() float64 { return float64(h.watchCacheSync.RequestsFailed()) }},
		{"blocked_requests", func() float64 { return float64(h.poison.BlockedCount()) }},
		{"suspected_requests", func() float64 { return float64(h.poison.SuspectCount()) }},
		{"targets_leaving_by_answer", func() float64 { shuttingDown, _ := h.roster.SelfReportCounts(); return float64(shuttingDown) }},
		{"targets_resting", func() float64 { _, underPushback := h.roster.SelfReportCounts(); return float64(underPushback) }},
		{"targets_limited", func() float64 { return float64(len(h.roster.RateLimitedTargets())) }},
		{"targets_brittle", func() float64 { return float64(h.roster.BrittleTargets()) }},
		{"targets_slow_to_connect", func() float64 { return float64(h.roster.SlowCount(time.Now())) }},
		{"target_connections_opening", func() float64 { return float64(h.pool.Opening()) }},
		{"target_paths_broken", func() float64 { return float64(h.pool.BrokenPaths()) }},
		{"targets_unreachable", func() float64 { return boolValue(h.partitioned.Load()) }},
		{"peers_without_targets", func() float64 { return float64(h.detours.PartitionedPeers()) }},
		{"detours_open", func() float64 { return float64(h.detours.OpenConnections()) }},
		{"detours_forwarded", func() float64 { return float64(h.detours.Forwarded()) }},
		{"targets_ended_total", func() float64 { return float64(h.poison.CrashCount()) }},
		{"targets_listed", func() float64 { listed, _ := h.roster.Sizes(); return float64(listed) }},
		{"stream_origins_unsaved", func() float64 { return float64(h.origins.Unsaved()) }},
		{"stream_origins_conflicting_total", func() float64 { return float64(h.origins.Conflicts()) }},
		{"versions_unsettled", func() float64 { return float64(h.unsettledVersions()) }},
		{"routes_unsettled", func() float64 { return float64(h.routeServices.unsettled(clock.Now())) }},
		{"targets_guests", func() float64 { _, external := h.roster.Sizes(); return float64(external) }},
		{"cell_daemons", func() float64 { return float64(h.fleet.View().CellSize()) }},
		{"rollouts_undecided", func() float64 { return float64(h.canary.Undecided()) }},
		{"workers_reserved", func() float64 { return float64(h.relay.ReservedWorkers()) }},
		{"pause_reports_rejected_total", func() float64 { return float64(h.pauses.Rejected()) }},
		{"peer_calls_unheard_total", func() float64 { return float64(h.fleet.UnheardCalls()) }},
		{"peer_connections_replaced_total", func() float64 { return float64(h.fleet.Replaced()) }},
		{"store_connections_replaced_total", func() float64 { return float64(h.storeClient.Replaced()) }},
		{"target_control_connections_replaced_total", func() float64 { return float64(h.engineClient.Replaced()) }},
		{"store_calls_unheard_total", func() float64 { return float64(h.storeClient.UnheardCalls()) }},
		{"target_calls_unheard_total", func() float64 { return float64(h.engineClient.UnheardCalls()) }},
		{"holdings_refused_total", func() float64 {
			return float64(h.memory.Refused() + h.controlMemory.Refused() + h.headMemory.Refused())
		}},
		{"retry_extra", h.relay.RetryExtra},
		{"peer_bytes_total", func() float64 { return float64(h.fleet.Bytes()) }},
	} {
		h.stats.Gauge(g.name, g.f)
	}
	for _, kind := range memory.Kinds() {
		held := func() (now, most float64) {
			for _, budget := range []*memory.Budget{&h.memory, &h.controlMemory, &h.headMemory} {
				n, m := budget.Held(kind)
				now, most = now+float64(n), most+float64(m)
			}
			return now, most
		}
		h.stats.Gauge(`held_bytes{of="`+kind.String()+`"}`, func() float64 { now, _ := held(); return now })
		h.stats.Gauge(`held_bytes_max{of="`+kind.String()+`"}`, func() float64 { _, most := held(); return most })
	}
}
