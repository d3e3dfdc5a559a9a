// Package daemon owns the life of one emberd process: its settings, its keys,
// the putting together of the slices, readiness, and the planned stop.
//
// It must not decide anything that a slice decides.
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
	set    Settings
	log    *event.Log
	kv     *plat.KV
	store  *conf.Store
	fleet  *fleet.Fleet
	spread *spread.ConfigReplicator
	home   *home.Owner
	once   *once.Once
	entry  *entry.Server
	poison *poison.Guard
	admin  *admin.Server
	sync   *conf.Syncer
	orders *order.Holder

	callerKeys, operatorKeys, peerKeys *keys

	// platformMeter and targetMeter count control bytes: to the platform's
	// services, and to targets beside callers' requests.
	platformMeter, targetMeter plat.Meter

	draining atomic.Bool
	// ready tells that the daemon was ready at the last look.
	ready atomic.Bool
	// wokeAt is when the process found that it had been stopped; nil once it knows
	// again that it is current.
	wokeAt atomic.Pointer[clock.Time]
}

// New puts a daemon together.
func New(set Settings) (*Daemon, error) {
	d := &Daemon{set: set}
	d.log = event.NewLog(set.Name, os.Stderr, event.Format(set.Log.Format), event.Level(set.Log.Level))
	bugs.Handle(func(text string, stack []byte) {
		d.log.Emit(event.InvariantBroken, event.Ref{}, text+"\n"+string(stack))
	})
	if err := d.readKeys(); err != nil {
		return nil, err
	}
	incarnation := newIncarnation()
	platform := plat.NewClient(&d.platformMeter)
	d.kv = plat.NewKV(set.Platform.KeyValue, platform)
	d.store = conf.NewStore(d.log)
	d.fleet = fleet.New(d.fleetOptions(incarnation, platform))
	d.fleet.Mux().Refused = func(address string, err error) {
		d.log.Emit(event.PeerRefused, event.Ref{}, address+": "+err.Error())
	}
	d.fleet.OnWake(func(time.Duration) {
		now := clock.Now()
		d.wokeAt.Store(&now)
	})
	d.spread = spread.New(d.store, d.fleet, d.kv)
	d.sync = conf.NewSyncer(d.store, d.kv, d.spread, d.log)
	d.build(incarnation)
	return d, nil
}

// newIncarnation names this run of the daemon.
func newIncarnation() string {
	const digits = 12
	return strings.ReplaceAll(uuid.NewString(), "-", "")[:digits]
}

func (d *Daemon) readKeys() error {
	for _, k := range []struct {
		into  **keys
		files TLS
	}{
		{&d.callerKeys, d.set.Callers.TLS},
		{&d.operatorKeys, d.set.Operators.TLS},
		{&d.peerKeys, d.set.Peers.TLS},
	} {
		got, err := newKeys(k.files, d.log)
		if err != nil {
			return err
		}
		*k.into = got
	}
	return nil
}

func (d *Daemon) fleetOptions(incarnation string, platform *http.Client) fleet.Options {
	o := fleet.Options{
		Name: d.set.Name, Incarnation: incarnation, Heartbeat: d.set.Peers.Heartbeat,
		Suspect: d.set.Peers.Suspect, BoxPause: d.set.Platform.BoxPause, Log: d.log,
	}
	for _, s := range d.set.Peers.Seeds {
		o.Seeds = append(o.Seeds, fleet.Peer{Name: s.Name, Address: s.Address, Domain: s.Domain})
	}
	if d.set.Platform.BoxList != "" {
		o.Boxes = plat.NewBoxList(d.set.Platform.BoxList, platform)
	}
	if d.peerKeys != nil {
		o.TLS = d.peerKeys.client
	}
	return o
}

func (d *Daemon) build(incarnation string) {
	engines := &http.Client{Transport: target.NewTransport()}
	following := target.NewTransport()
	d.targetMeter.Measure(following)
	control := &http.Client{Transport: following}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	d.poison = poison.New(poison.Options{Fleet: d.fleet, Try: canDial, Log: d.log})
	d.home = home.New(home.Options{
		IncarnationReplaced: d.poison.Ended,
		Domain:              d.set.Domain,
		Placement:           route.Placement(d.set.Placement), Conf: d.store, Fleet: d.fleet, Log: d.log,
		Client: control, LoadInterval: d.set.Limits.LoadPause,
	})
	d.once = once.New(once.Options{
		Name: d.set.Name, Incarnation: incarnation, Window: d.set.Limits.ClaimWindow,
		Fleet: d.fleet, KV: d.kv, Log: d.log,
	})
	d.orders = order.New(order.Options{
		Name: d.set.Name, Conf: d.store, Fleet: d.fleet, Workers: d.home, KV: d.kv, Log: d.log, Client: control,
	})
	d.entry = entry.New(entry.Options{
		Conf: d.store, Fleet: d.fleet, Home: d.home, Once: d.once, Poison: d.poison, Log: d.log,
		Engines: engines,
		Calls:   &http.Client{Transport: target.NewTransport(), CheckRedirect: noRedirect},
		Single:  &http.Client{Transport: target.NewTransportWithoutReuse(), CheckRedirect: noRedirect},
		MaxBody: d.set.Limits.MaxBodyBytes, MaxRunning: d.set.Limits.MaxRunning, Ready: d.NotReady,
	})
	d.admin = admin.New(admin.Options{
		Conf: d.store, Writer: conf.NewWriter(d.store, d.kv, d.log), Spread: d.spread, Fleet: d.fleet, Home: d.home, Poison: d.poison, Log: d.log,
		Duties:    append([]string{spread.WatchAssignment, order.Duty(0)}, once.Duties()...),
		KeyHashes: d.set.OperatorKeyHashes, Ready: d.NotReady, Running: d.entry.Running,
	})
}

// dialLimit bounds the opening of a connection to an engine whose last one ended.
const dialLimit = time.Second

// canDial opens a connection to an address and closes it.
func canDial(ctx context.Context, address string) error {
	conn, err := (&net.Dialer{Timeout: dialLimit}).DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(conn.Close())
}

// NotReady says why the daemon takes no requests, or "".
func (d *Daemon) NotReady() string {
	switch {
	case d.draining.Load():
		return "the daemon is stopping"
	case !d.spread.Current():
		return "the daemon does not have the latest configuration that it knows of"
	case !d.home.WarmedUp():
		return "the daemon has not heard of all workers yet"
	case d.isolated():
		return "the daemon hears nothing of peers, box list and key-value service"
	case !d.knowsAfterWake():
		return "the daemon was stopped for a while and does not know yet whether its configuration is current"
	}
	return ""
}

// isolated reports whether nothing outside was heard for too long.
func (d *Daemon) isolated() bool {
	last := d.fleet.Contact()
	if at := d.store.Confirmed(); at.After(last) {
		last = at
	}
	return !last.IsZero() && clock.Since(last) > d.set.Limits.IsolatedStop
}

// knowsAfterWake reports whether the configuration was confirmed since the
// process found that it had been stopped. Where the service is down, hearing
// peers for as long as they may be silent is enough: none was ahead.
func (d *Daemon) knowsAfterWake() bool {
	at := d.wokeAt.Load()
	if at == nil {
		return true
	}
	if d.store.Confirmed().After(*at) || (d.spread.AnyPeerLoaded() && clock.Since(*at) > d.set.Peers.Suspect) {
		d.wokeAt.CompareAndSwap(at, nil)
		return true
	}
	return false
}

// Run runs the daemon until ctx ends, then stops as planned: no new requests,
// and the running ones go on until they end or the drain limit passes.
func (d *Daemon) Run(ctx context.Context) error {
	ls, err := d.listen()
	if err != nil {
		return err
	}
	work, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { d.fleet.Run(work, ls.peers) })
	for _, run := range []func(context.Context){d.sync.Run, d.spread.Run, d.home.Run, d.once.Run, d.orders.Run, d.loop} {
		wg.Go(func() { run(work) })
	}
	for _, k := range []*keys{d.callerKeys, d.operatorKeys, d.peerKeys} {
		if k != nil {
			wg.Go(func() { k.run(work) })
		}
	}
	callers := d.serve(&wg, ls.callers, d.callerRoutes())
	operators := d.serve(&wg, ls.operators, d.operatorRoutes())
	d.log.Emit(event.DaemonStarted, event.Ref{}, "callers "+ls.callers.Addr().String()+", operators "+ls.operators.Addr().String())
	<-ctx.Done()
	// Connections end with their next answer, so that none is cut idle while
	// a caller sends on it.
	callers.SetKeepAlivesEnabled(false)
	d.drain()
	d.closeServer(callers)
	d.log.Emit(event.DaemonStopped, event.Ref{}, "")
	d.closeServer(operators)
	stop()
	wg.Wait()
	return nil
}

type listeners struct{ callers, operators, peers net.Listener }

func (d *Daemon) listen() (listeners, error) {
	var ls listeners
	for _, l := range []struct {
		into    *net.Listener
		address string
		keys    *keys
	}{
		{&ls.callers, d.set.Callers.Address, d.callerKeys},
		{&ls.operators, d.set.Operators.Address, d.operatorKeys},
		{&ls.peers, d.set.Peers.Address, d.peerKeys},
	} {
		got, err := net.Listen("tcp", l.address)
		if err != nil {
			return ls, errors.WithStack(err)
		}
		if l.keys != nil {
			got = tls.NewListener(got, l.keys.server())
		}
		*l.into = got
	}
	return ls, nil
}

// Bounds of HTTP connections.
const (
	headerLimit = 10 * time.Second
	idleLimit   = 2 * time.Minute
	maxHeader   = 64 << 10
)

func (d *Daemon) serve(wg *sync.WaitGroup, l net.Listener, h http.Handler) *http.Server {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerLimit, IdleTimeout: idleLimit, MaxHeaderBytes: maxHeader}
	wg.Go(func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			bugs.Report("listener %v ended: %v", l.Addr(), err)
		}
	})
	return srv
}

func (d *Daemon) callerRoutes() http.Handler {
	e := echo.New()
	d.entry.Register(e)
	d.health(e)
	return e
}

func (d *Daemon) operatorRoutes() http.Handler {
	e := echo.New()
	d.admin.Register(e)
	d.health(e)
	e.GET("/debug/vars", echo.WrapHandler(expvar.Handler()))
	return e
}

// health tells the balancer and operators apart what is alive and what is
// ready.
func (d *Daemon) health(e *echo.Echo) {
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "alive\n") })
	e.GET("/readyz", func(c echo.Context) error {
		if why := d.NotReady(); why != "" {
			return c.String(http.StatusServiceUnavailable, why+"\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
}

// readyPause is the time between looks at readiness.
const readyPause = 250 * time.Millisecond

// loop records when readiness changes.
func (d *Daemon) loop(ctx context.Context) {
	wait.Every(ctx, readyPause, func() {
		why := d.NotReady()
		if d.ready.Swap(why == "") == (why == "") {
			return
		}
		if why == "" {
			d.log.Emit(event.DaemonReady, event.Ref{}, "")
		} else {
			d.log.Emit(event.DaemonNotReady, event.Ref{}, why)
		}
	})
}

// Pauses of a planned stop.
const (
	// leaveTime is how long the daemon still answers new connections, with a
	// refusal that says not run, so that the balancer can notice.
	leaveTime = time.Second
	drainLook = 50 * time.Millisecond
)

// drain waits until the running requests have ended.
func (d *Daemon) drain() {
	d.draining.Store(true)
	d.fleet.Drain()
	d.log.Emit(event.DaemonDraining, event.Ref{}, "")
	began := time.Now()
	for time.Since(began) < d.set.Limits.DrainLimit {
		if d.entry.Running() == 0 && time.Since(began) > leaveTime {
			return
		}
		time.Sleep(drainLook)
	}
}

// closeLimit bounds the closing of a listener with its connections.
const closeLimit = 5 * time.Second

func (d *Daemon) closeServer(srv *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), closeLimit)
	defer cancel()
	if srv.Shutdown(ctx) != nil {
		srv.Close()
	}
}
