// Package daemon owns the life cycle of one emberd process: settings, TLS keys, construction
// and wiring of the core packages, readiness, and graceful shutdown.
//
// It must not make decisions that belong to a core package.
package daemon

import (
	"context"
	"crypto/tls"
	"expvar"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"embertally.dev/core/admin"
	"embertally.dev/core/bugs"
	"embertally.dev/core/clock"
	"embertally.dev/core/conf"
	"embertally.dev/core/entry"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/home"
	"embertally.dev/core/listen"
	"embertally.dev/core/memory"
	"embertally.dev/core/once"
	"embertally.dev/core/order"
	"embertally.dev/core/plat"
	"embertally.dev/core/poison"
	"embertally.dev/core/route"
	"embertally.dev/core/spread"
	"embertally.dev/core/target"
	"embertally.dev/core/wait"
)

// Daemon is one running emberd.
type Daemon struct {
	settings     Settings
	log          *event.Log
	kv           *plat.KV // client of the coordination store
	config       *conf.Store
	fleet        *fleet.Fleet
	replicator   *spread.ConfigReplicator
	contextOwner *home.Owner
	once         *once.Once
	entry        *entry.Server
	poison       *poison.Guard
	admin        *admin.Server
	syncer       *conf.Syncer
	orders       *order.Holder

	// The TLS keys of the listeners; nil for a listener without TLS.
	callerKeys, operatorKeys, peerKeys *tlsKeys

	// platformMeter counts the bytes to and from the platform's services, and targetMeter those
	// to and from targets, except for callers' requests.
	platformMeter, targetMeter plat.Meter

	// headMemory bounds what is held of the heads of requests.
	headMemory memory.Budget
	// connectionsEnded counts the connections that were ended since their place or memory was needed.
	connectionsEnded atomic.Int64

	// draining is set when the shutdown begins.
	draining atomic.Bool
	// ready is the readiness at the last check of watchReadiness.
	ready atomic.Bool
	// resumedAt is when the process noticed that it had been suspended; nil once
	// confirmedSinceResume has returned true.
	resumedAt atomic.Pointer[clock.Time]
}

// New wires a daemon together; Run starts it.
func New(settings Settings) (*Daemon, error) {
	d := &Daemon{settings: settings}
	d.headMemory.Limit = settings.Limits.HeadBytes
	d.log = event.NewLog(settings.Name, os.Stderr, event.Format(settings.Log.Format), event.Level(settings.Log.Level))
	bugs.Handle(func(text string, stack []byte) {
		d.log.Emit(event.InvariantBroken, event.Ref{}, text+"\n"+string(stack))
	})
	if err := d.readKeys(); err != nil {
		return nil, err
	}
	incarnation := newIncarnation()
	platform := plat.NewClient(&d.platformMeter)
	d.kv = plat.NewKV(settings.Platform.KeyValue, platform)
	d.config = conf.NewStore(d.log)
	d.fleet = fleet.New(d.fleetOptions(incarnation, platform))
	d.fleet.Mux().OnReject = func(address string, err error) {
		d.log.Emit(event.PeerRefused, event.Ref{}, address+": "+err.Error())
	}
	d.fleet.OnResume(func(time.Duration) {
		now := clock.Now()
		d.resumedAt.Store(&now)
		d.syncer.Recheck()
	})
	d.replicator = spread.New(d.config, d.fleet, d.kv)
	d.syncer = conf.NewSyncer(d.config, d.kv, d.replicator, d.log)
	d.build(incarnation)
	return d, nil
}

// newIncarnation returns a random identifier for this incarnation of the daemon.
func newIncarnation() string {
	const digits = 12
	return strings.ReplaceAll(uuid.NewString(), "-", "")[:digits]
}

// readKeys loads the TLS keys of all listeners.
func (d *Daemon) readKeys() error {
	for _, k := range []struct {
		into  **tlsKeys
		files TLS
	}{
		{&d.callerKeys, d.settings.Callers.TLS},
		{&d.operatorKeys, d.settings.Operators.TLS},
		{&d.peerKeys, d.settings.Peers.TLS},
	} {
		got, err := newTLSKeys(k.files, d.log)
		if err != nil {
			return err
		}
		*k.into = got
	}
	return nil
}

// fleetOptions returns the options of the fleet. platform is the client for the box list.
func (d *Daemon) fleetOptions(incarnation string, platform *plat.Client) fleet.Options {
	o := fleet.Options{
		Name: d.settings.Name, Incarnation: incarnation, HeartbeatInterval: d.settings.Peers.Heartbeat,
		SuspectAfter: d.settings.Peers.Suspect, BoxPollInterval: d.settings.Platform.BoxListInterval, Log: d.log,
	}
	for _, s := range d.settings.Peers.Seeds {
		o.Seeds = append(o.Seeds, fleet.Peer{Name: s.Name, Address: s.Address, Domain: s.Domain})
	}
	if d.settings.Platform.BoxList != "" {
		o.Boxes = plat.NewBoxList(d.settings.Platform.BoxList, platform)
	}
	if d.peerKeys != nil {
		o.TLS = d.peerKeys.client
	}
	return o
}

// build creates the components in the order of their dependencies.
func (d *Daemon) build(incarnation string) {
	engines := &http.Client{Transport: target.NewTransport()}
	controlTransport := target.NewTransport()
	d.targetMeter.Measure(controlTransport)
	control := &http.Client{Transport: controlTransport}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	d.poison = poison.New(poison.Options{Fleet: d.fleet, Dial: tryDial, Log: d.log})
	d.contextOwner = home.New(home.Options{
		IncarnationReplaced: d.poison.RecordListedCrash,
		Domain:              d.settings.Domain,
		Placement:           route.Placement(d.settings.Placement), Conf: d.config, Fleet: d.fleet, Log: d.log,
		Client: control, LoadInterval: d.settings.Limits.LoadInterval,
	})
	d.once = once.New(once.Options{
		Name: d.settings.Name, Incarnation: incarnation, Window: d.settings.Limits.ClaimWindow,
		Fleet: d.fleet, KV: d.kv, Log: d.log,
	})
	d.orders = order.New(order.Options{
		Name: d.settings.Name, Conf: d.config, Fleet: d.fleet, Workers: d.contextOwner, KV: d.kv, Log: d.log, Client: control,
	})
	d.entry = entry.New(entry.Options{
		Conf: d.config, Fleet: d.fleet, ContextOwner: d.contextOwner, Once: d.once, Poison: d.poison, Log: d.log,
		EngineClient:     engines,
		RepeatableClient: &http.Client{Transport: target.NewTransport(), CheckRedirect: noRedirect},
		OnceClient:       &http.Client{Transport: target.NewTransportWithoutReuse(), CheckRedirect: noRedirect},
		MaxBodyBytes:     d.settings.Limits.MaxBodyBytes, MaxRunningPerOrganisation: d.settings.Limits.MaxRunning, NotReadyReason: d.NotReadyReason,
	})
	d.admin = admin.New(admin.Options{
		Conf: d.config, Writer: conf.NewWriter(d.config, d.kv, d.log), Spread: d.replicator, Fleet: d.fleet, ContextOwner: d.contextOwner, Poison: d.poison, Log: d.log,
		Assignments:       append([]string{spread.WatchAssignment, order.Assignment(0)}, once.Assignments()...),
		OperatorKeyHashes: d.settings.OperatorKeyHashes, NotReadyReason: d.NotReadyReason, RequestsRunning: d.entry.Running,
	})
}

// dialTimeout bounds the opening of a connection to a target whose last connection broke.
const dialTimeout = time.Second

// tryDial opens a connection to the address of a target and closes it.
func tryDial(ctx context.Context, address, _ string) error {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(conn.Close())
}

// NotReadyReason returns why the daemon accepts no requests, or "" if it is ready.
func (d *Daemon) NotReadyReason() string {
	switch {
	case d.draining.Load():
		return "the daemon is stopping"
	case !d.replicator.Current():
		return "the daemon does not have the latest configuration that it knows of"
	case !d.contextOwner.WarmedUp():
		return "the daemon has not heard of all workers yet"
	case d.isolated():
		return "the daemon hears nothing of peers, box list and key-value service"
	case !d.confirmedSinceResume():
		return "the daemon was stopped for a while and does not know yet whether its configuration is current"
	}
	return ""
}

// isolated reports whether nothing was received from peers, box list and coordination store for
// Limits.IsolationTimeout.
func (d *Daemon) isolated() bool {
	last := d.fleet.LastContact()
	if at := d.config.Confirmed(); at.After(last) {
		last = at
	}
	return !last.IsZero() && clock.Since(last) > d.settings.Limits.IsolationTimeout
}

// confirmedSinceResume reports whether the configuration has been verified since the process
// noticed that it had been suspended. What arrived unasked may have waited in its sockets. If
// the coordination store is down, it is enough that a live peer that was asked has loaded a
// configuration and Peers.Suspect has passed: in that time each live peer of the cell has sent
// a heartbeat, and none of them has a newer configuration.
func (d *Daemon) confirmedSinceResume() bool {
	at := d.resumedAt.Load()
	if at == nil {
		return true
	}
	byPeers := d.replicator.Answered().After(*at) && clock.Since(*at) > d.settings.Peers.Suspect &&
		d.replicator.PeerAhead(d.config.Snapshot().Seq()) == ""
	if d.config.Verified().After(*at) || byPeers {
		d.resumedAt.CompareAndSwap(at, nil)
		return true
	}
	return false
}

// Run runs the daemon until ctx is cancelled, then shuts down gracefully: it accepts no new
// requests, and waits for the running ones for at most Limits.DrainTimeout.
func (d *Daemon) Run(ctx context.Context) error {
	ls, err := d.listen()
	if err != nil {
		return err
	}
	workCtx, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { d.fleet.Run(workCtx, ls.peers) })
	for _, run := range []func(context.Context){d.syncer.Run, d.replicator.Run, d.contextOwner.Run, d.once.Run, d.orders.Run, d.watchReadiness} {
		wg.Go(func() { run(workCtx) })
	}
	for _, k := range []*tlsKeys{d.callerKeys, d.operatorKeys, d.peerKeys} {
		if k != nil {
			wg.Go(func() { k.run(workCtx) })
		}
	}
	callers := d.serve(&wg, ls.callers, d.callerRoutes())
	operators := d.serve(&wg, ls.operators, d.operatorRoutes())
	d.log.Emit(event.DaemonStarted, event.Ref{}, "callers "+ls.callers.Addr().String()+", operators "+ls.operators.Addr().String())
	<-ctx.Done()
	d.drain()
	d.closeServer(callers)
	d.log.Emit(event.DaemonStopped, event.Ref{}, "")
	d.closeServer(operators)
	stop()
	wg.Wait()
	return nil
}

// listeners holds the daemon's listening sockets.
type listeners struct {
	callers, operators *listen.Listener
	peers              net.Listener
}

// listen opens all listeners. The error names the address that cannot be opened.
func (d *Daemon) listen() (listeners, error) {
	var ls listeners
	sockets, err := listen.Sockets()
	if err != nil {
		return ls, err
	}
	// Heads are counted after decryption.
	for _, l := range []struct {
		into    **listen.Listener
		name    string
		address string
		keys    *tlsKeys
		most    int
	}{
		{&ls.callers, "callers", d.settings.Callers.Address, d.callerKeys, listen.Share(sockets, listen.CallersShare, d.settings.Limits.MaxConnections)},
		{&ls.operators, "operators", d.settings.Operators.Address, d.operatorKeys, listen.Share(sockets, listen.AuxiliaryShare, maxOperatorConns)},
	} {
		got, err := net.Listen("tcp", l.address)
		if err != nil {
			return ls, errors.WithStack(err)
		}
		if l.keys != nil {
			got = tls.NewListener(got, l.keys.server())
		}
		*l.into = d.bound(got, l.name, listen.Options{MaxConnections: l.most, Heads: true, Memory: &d.headMemory})
	}
	peers, err := net.Listen("tcp", d.settings.Peers.Address)
	if err != nil {
		return ls, errors.WithStack(err)
	}
	// Package wire checks certificates.
	ls.peers = d.bound(peers, "peers", listen.Options{MaxConnections: listen.Share(sockets, listen.PeersShare, maxPeerConns)})
	if d.peerKeys != nil {
		ls.peers = tls.NewListener(ls.peers, d.peerKeys.server())
	}
	return ls, nil
}

// Bounds of connections of operators and peers.
const (
	maxOperatorConns = 256
	maxPeerConns     = 1024
)

// bound returns a listener whose connections are bounded.
func (d *Daemon) bound(l net.Listener, name string, options listen.Options) *listen.Listener {
	options.Ended = func(address string, reason listen.Reason) {
		d.connectionsEnded.Add(1)
		d.log.Emit(event.ConnectionEnded, event.Ref{}, name+", "+address+": "+reason.String())
	}
	return listen.New(l, options)
}

// Bounds of the HTTP servers' connections.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// serve starts a server on a listener. It runs until it is closed.
func (d *Daemon) serve(wg *sync.WaitGroup, l net.Listener, h http.Handler) *http.Server {
	srv := &http.Server{
		Handler: entry.MarkEnds(listen.Handler(h)), ConnContext: entry.ConnContext,
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	listen.Attach(srv)
	wg.Go(func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			bugs.Report("listener %v failed: %v", l.Addr(), err)
		}
	})
	return srv
}

// callerRoutes returns the handler of the callers' listener.
func (d *Daemon) callerRoutes() http.Handler {
	e := echo.New()
	e.Use(d.closeWhileDraining)
	d.entry.Register(e)
	d.registerHealth(e)
	return e
}

// closeWhileDraining is middleware that closes each connection after its next response while the daemon shuts down. The
// response says so. Server.SetKeepAlivesEnabled also closes idle connections, on which a caller may have just sent a
// request, and connections after responses that did not say so.
func (d *Daemon) closeWhileDraining(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Response().Before(func() {
			if d.draining.Load() {
				c.Response().Header().Set("Connection", "close")
			}
		})
		return next(c)
	}
}

// operatorRoutes returns the handler of the operators' listener.
func (d *Daemon) operatorRoutes() http.Handler {
	e := echo.New()
	d.admin.Register(e)
	d.registerHealth(e)
	e.GET("/debug/vars", echo.WrapHandler(expvar.Handler()))
	return e
}

// registerHealth registers the liveness and readiness probes for the load balancer and for
// operators.
func (d *Daemon) registerHealth(e *echo.Echo) {
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "alive\n") })
	e.GET("/readyz", func(c echo.Context) error {
		if reason := d.NotReadyReason(); reason != "" {
			return c.String(http.StatusServiceUnavailable, reason+"\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
}

// readyPollInterval is the interval at which readiness is checked.
const readyPollInterval = 250 * time.Millisecond

// watchReadiness logs changes of readiness until ctx is cancelled.
func (d *Daemon) watchReadiness(ctx context.Context) {
	wait.Every(ctx, readyPollInterval, func() {
		if !d.confirmedSinceResume() {
			d.replicator.Verify(ctx)
		}
		reason := d.NotReadyReason()
		if d.ready.Swap(reason == "") == (reason == "") {
			return
		}
		if reason == "" {
			d.log.Emit(event.DaemonReady, event.Ref{}, "")
		} else {
			d.log.Emit(event.DaemonNotReady, event.Ref{}, reason)
		}
	})
}

// Times of a graceful shutdown.
const (
	// noticeTime is how long the daemon still accepts new connections and keeps idle ones, so that the
	// load balancer can notice the shutdown. Requests on them are refused as not executed.
	noticeTime = time.Second
	// drainPollInterval is the interval at which drain checks for running requests.
	drainPollInterval = 50 * time.Millisecond
)

// drain waits until the running requests have ended, for at most Limits.DrainTimeout.
func (d *Daemon) drain() {
	d.draining.Store(true)
	d.fleet.Drain()
	d.log.Emit(event.DaemonDraining, event.Ref{}, "")
	started := time.Now()
	for time.Since(started) < d.settings.Limits.DrainTimeout {
		if d.entry.Running() == 0 && time.Since(started) > noticeTime {
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// closeTimeout bounds the graceful shutdown of an HTTP server.
const closeTimeout = 5 * time.Second

// closeServer shuts a server down, and closes connections that are still open after closeTimeout.
func (d *Daemon) closeServer(srv *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if srv.Shutdown(ctx) != nil {
		// The daemon stops, so an error from closing is of no use.
		_ = entry.CloseServer(srv)
	}
}
