package host

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"embertally.dev/core/cache"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/lease"
	"embertally.dev/core/order"
	"embertally.dev/core/plat"
	"embertally.dev/core/relay"
	"embertally.dev/core/roster"
	"embertally.dev/core/spread"
	"embertally.dev/core/table"
	"embertally.dev/core/target"
	"embertally.dev/platform"
)

// Keys of the system in the platform's store.
const (
	keyBoxes = "embertally/boxes/"
	keySwap  = "embertally/duty/weights/"
)

// swapParts is how many parts the workers fall into for orders. The loss of a
// daemon delays the workers of its parts by about four seconds; more parts than
// workers that load at a time (2 to 12 on the users' sites) would load too many.
const swapParts = 4

// Host is one running daemon.
type Host struct {
	set   Settings
	log   *event.Log
	spool *event.Spool
	stats *relay.Stats

	store    *platform.Store
	decoder  platform.Decoder
	mirror   *plat.Mirror
	mirrors  *spread.Mirrors
	fleet    *fleet.Fleet
	roster   *roster.Roster
	kept     *cache.Kept
	where    cache.Where
	pool     *target.Pool
	relay    *relay.Relay
	rights   []*lease.Timed
	swapper  *order.Swapper
	sweeper  *cache.Sweeper
	presence *lease.Presence
	named    named
	daemons  daemons

	draining atomic.Bool
	// work ends when the process is about to.
	work context.Context
}

// New puts a daemon together.
func New(set Settings) *Host {
	h := &Host{set: set, stats: relay.NewStats(), spool: event.NewSpool(os.Stdout)}
	h.log = event.NewLog(set.Name, h.spool, event.FormatJSON, event.Level(set.LogLevel))
	h.log.SetPace(&event.Pace{PerSecond: set.LogRate})
	incarnation := uuid.NewString()
	h.store = platform.NewStore("http://"+set.Store, newClient())
	h.mirror = plat.NewMirror(h.store, plat.Prefix(""), h.log)
	h.mirror.Observe(h.observe)
	h.roster = roster.New(h.log, h.mirror.Regained)
	h.fleet = fleet.New(fleet.Options{
		Name: set.Name, Incarnation: incarnation, Heartbeat: set.Tuning.Heartbeat, Suspect: set.Tuning.Suspect,
		BoxPause: boxPause, Boxes: &boxes{mirror: h.mirror}, Log: h.log,
	})
	h.fleet.Attach("roster", roster.Share{Roster: h.roster})
	h.mirrors = spread.NewMirrors(h.mirror, h.fleet)
	h.fleet.Attach("where", &h.where)
	engines := platform.NewEngines(newClient())
	shelves := spread.NewShelves(engines, h.fleet)
	h.kept = cache.NewKept(shelves, h.log)
	shelves.Serve(h.kept)
	h.pool = &target.Pool{Opened: h.stats.Opened}
	h.daemons.view = h.fleet.View
	h.buildRelay()
	h.buildDuties(incarnation, engines)
	h.gauges()
	return h
}

// boxPause is the pause between looks at the mirror's copy of the list.
const boxPause = 200 * time.Millisecond

// clientIdle is how long the connections of control calls are kept.
const clientIdle = 10 * time.Second

// newClient returns a client for control calls.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 4, IdleConnTimeout: clientIdle, DisableCompression: true,
	}}
}

// age returns how old the knowledge of the platform's store is.
func (h *Host) age() time.Duration { return time.Since(h.mirror.Fresh()) }

// beginMargin is left of the time in which a request may begin on older weights
// for its wait at the worker.
const beginMargin = 4 * time.Second

func (h *Host) buildRelay() {
	h.relay = relay.New(relay.Options{
		Dialect: platform.Dialect{}, Roster: h.roster, Pool: h.pool, Kept: h.kept, Where: &h.where, Log: h.log, Stats: h.stats,
		Domain: h.set.Domain, Named: h.named.version, Daemons: h.daemons.count,
		Share: func(names []string) []string { return h.fleet.View().Share(names) },
		Outdated: func(model string, version int64) bool {
			return h.named.age(model, version) > h.set.Bounds.Weights-beginMargin
		},
		Age:        h.age,
		Current:    func() bool { return h.age() < h.set.Bounds.Contact },
		CopyMay:    func() bool { return h.age() < cache.CopyFresh },
		RetryShare: h.set.Retries.Share, RetryExtra: h.set.Retries.Extra, RetryWindow: h.set.Retries.Window,
	})
}

func (h *Host) buildDuties(incarnation string, engines *platform.Engines) {
	var rights []order.Right
	for part := range swapParts {
		t := h.newRight(part, incarnation)
		h.rights = append(h.rights, t)
		rights = append(rights, t)
	}
	h.swapper = order.NewSwapper(order.SwapOptions{
		Name: h.set.Name, Rights: rights, Commander: engines, Roster: h.roster,
		Table: h.relay.Table, Named: h.named.version, Log: h.log,
	})
	h.sweeper = cache.NewSweeper(cache.SweepOptions{
		Kept: h.kept, Log: h.log, Superseded: h.named.superseded,
		Rank: func(address string) int { return h.rank("store/" + address) },
	})
	// What a box is found by, as the box list names it.
	value, err := json.Marshal(plat.Box{
		Name: h.set.Name, Role: plat.RoleEntry, Address: h.set.Peers, Domain: h.set.Domain, State: plat.BoxLive,
	})
	if err != nil {
		// Strings can always be encoded.
		panic(err)
	}
	h.presence = &lease.Presence{
		Key: keyBoxes + h.set.Name, Value: value, Life: boxLife, Store: h.store, Mirror: h.mirror, Log: h.log,
	}
}

// boxLife is how long a silent daemon stays in the list. Heartbeats say sooner
// that it is lost; renewing costs the platform a tenth of a call.
const boxLife = 12 * time.Second

// rank says how many others come before this daemon for a duty.
func (h *Host) rank(duty string) int {
	names := h.fleet.View().OnDuty()
	at := slices.Index(fleet.Rank(fleet.Key(duty), names), h.set.Name)
	if at < 0 {
		return len(names)
	}
	return at
}

// newRight returns the right to give orders to one part of the workers. A
// daemon that holds others comes later for it, so that they spread.
func (h *Host) newRight(part int, incarnation string) *lease.Timed {
	key := keySwap + strconv.Itoa(part)
	return lease.NewTimed(lease.TimedOptions{
		Key: key, Owner: h.set.Name + "/" + incarnation, Apart: h.set.Bounds.OrderApart,
		Store: h.store, Mirror: h.mirror, Log: h.log,
		Rank:   func() int { return h.rank(key) + holderRanks*h.held() },
		Urgent: func() bool { return h.swapper.Wanted(part) },
		Idle:   h.draining.Load,
	})
}

// holderRanks is by how many daemons one comes later for each right it holds.
const holderRanks = 3

// held counts the rights that the mirror shows this daemon to hold.
func (h *Host) held() int {
	n := 0
	for _, p := range h.mirror.Under(keySwap) {
		if strings.HasPrefix(string(p.Value), h.set.Name+"/") {
			n++
		}
	}
	return n
}

// observe takes changes of the platform's store.
func (h *Host) observe(changes []plat.Change) {
	var newest *table.Table
	for _, c := range changes {
		news, err := h.decoder.Read(c)
		if err != nil {
			h.log.Emit(event.ConfUnderived, event.Ref{Resource: c.Key}, err.Error())
			continue
		}
		switch {
		case news.Table != nil:
			newest = news.Table
		case news.Target != nil:
			h.roster.Put(*news.Target)
		case news.Gone != "":
			h.gone(news.Gone)
		case news.Named != nil:
			h.named.set(news.Named.Model, news.Named.Version)
			h.log.Emit(event.ConfApplied, event.Ref{Resource: c.Key}, "weights named, version "+itoa(news.Named.Version))
		}
	}
	if newest != nil {
		h.apply(newest)
	}
}

// gone removes a target and its idle connections.
func (h *Host) gone(id string) {
	t := h.roster.Target(id)
	h.roster.Remove(id, time.Now())
	if t != nil && h.roster.Target(id) == nil {
		h.pool.Forget(t.Entry().Address)
	}
}

// apply puts a configuration in force, unless a newer one is.
func (h *Host) apply(t *table.Table) {
	if old := h.relay.Table(); old != nil && old.Version() > t.Version() {
		h.log.Emit(event.ConfRejected, event.Ref{}, "version "+itoa(t.Version())+" is older than "+itoa(old.Version()))
		return
	}
	h.relay.SetTable(t)
	h.log.Emit(event.ConfApplied, event.Ref{}, "version "+itoa(t.Version()))
	tokenBytes := 0
	for _, svc := range t.Engines() {
		tokenBytes = max(tokenBytes, svc.Engine.TokenBytes)
	}
	var stores []cache.StoreInfo
	for _, s := range t.Stores() {
		stores = append(stores, storeInfo(s, tokenBytes))
	}
	h.kept.Set(h.work, stores)
}

const bitsPerByte = 8

func storeInfo(s *table.Store, tokenBytes int) cache.StoreInfo {
	info := cache.StoreInfo{Address: s.Address, Domain: s.Domain, Room: s.Tokens, First: s.First}
	if s.LinkBits > 0 {
		info.TokenTime = time.Duration(float64(tokenBytes) * bitsPerByte / s.LinkBits * float64(time.Second))
	}
	return info
}

// notReady says why the daemon takes no requests, or "".
func (h *Host) notReady() string {
	switch {
	case h.draining.Load():
		return "the daemon is stopping"
	case h.relay.Table() == nil:
		return "no configuration is known"
	}
	return ""
}

// Run serves until ctx ends, then stops as planned.
func (h *Host) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	h.work = work
	ls, err := h.listen()
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	wg.Go(func() { h.fleet.Run(work, ls.peers) })
	duties, endDuties := context.WithCancel(work)
	defer endDuties()
	for _, run := range []func(context.Context){h.mirror.Run, h.mirrors.Run, h.presence.Run, h.loop} {
		wg.Go(func() { run(work) })
	}
	for _, run := range []func(context.Context){h.swapper.Run, h.sweeper.Run} {
		wg.Go(func() { run(duties) })
	}
	for _, t := range h.rights {
		wg.Go(func() { t.Run(duties) })
	}
	callers := h.serve(&wg, ls.callers, h.relay)
	side := []*http.Server{h.serve(&wg, ls.readiness, h.readiness()), h.serve(&wg, ls.metrics, h.metrics())}
	h.log.Emit(event.DaemonStarted, event.Ref{}, "callers "+h.set.Callers+", domain "+h.set.Domain)
	<-ctx.Done()
	endDuties()
	h.drain(callers)
	h.log.Emit(event.DaemonStopped, event.Ref{}, "")
	for _, srv := range append(side, callers) {
		srv.Close()
	}
	stop()
	wg.Wait()
	h.spool.Close()
	return nil
}

type listeners struct{ callers, readiness, peers, metrics net.Listener }

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

func (h *Host) serve(wg *sync.WaitGroup, l net.Listener, handler http.Handler) *http.Server {
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: headerLimit, IdleTimeout: idleLimit}
	wg.Go(func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			h.log.Emit(event.InvariantBroken, event.Ref{}, "listener "+l.Addr().String()+" ended: "+err.Error())
		}
	})
	return srv
}

func (h *Host) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if why := h.notReady(); why != "" {
			http.Error(w, why, http.StatusServiceUnavailable)
			return
		}
		w.Write([]byte("ready\n"))
	})
	return mux
}

func (h *Host) metrics() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { h.stats.Write(w) })
	return mux
}

func (h *Host) gauges() {
	for _, g := range []struct {
		name string
		f    func() float64
	}{
		{"requests_running", func() float64 { return float64(h.relay.Running()) }},
		{"store_contact_seconds", func() float64 { return time.Since(h.mirror.Contact()).Seconds() }},
		{"daemons", func() float64 { return float64(h.daemons.count()) }},
		{"kept_tokens", func() float64 { return float64(h.kept.Tokens()) }},
		{"log_lines_dropped_total", func() float64 { return float64(h.spool.Dropped()) }},
		{"peer_bytes_total", func() float64 { return float64(h.fleet.Bytes()) }},
	} {
		h.stats.Gauge(g.name, g.f)
	}
}

// readyLook is the pause between looks at readiness.
const readyLook = 100 * time.Millisecond

// loop records when readiness changes.
func (h *Host) loop(ctx context.Context) {
	t := time.NewTicker(readyLook)
	defer t.Stop()
	ready := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		why := h.notReady()
		if ready == (why == "") {
			continue
		}
		if ready = why == ""; ready {
			h.log.Emit(event.DaemonReady, event.Ref{}, "configuration "+itoa(h.relay.Table().Version()))
		} else {
			h.log.Emit(event.DaemonNotReady, event.Ref{}, why)
		}
	}
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
	h.relay.Close()
	h.fleet.Drain()
	h.log.Emit(event.DaemonDraining, event.Ref{}, "")
	end := began.Add(h.set.Bounds.Stop - stopMargin)
	for time.Now().Before(end) {
		if time.Since(began) > noticeTime {
			h.relay.Refuse()
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
