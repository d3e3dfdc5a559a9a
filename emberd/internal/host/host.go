// Package host owns the life of an emberd that serves on a platform which keeps
// the configuration and the list of targets in its store: the settings, the
// putting together of the slices, readiness, and the planned stop.
//
// It must not decide anything that a slice decides, and it must not know how
// the platform names things (see package platform).
package host

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"embertally.dev/core/bugs"
	"embertally.dev/core/cache"
	"embertally.dev/core/canary"
	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/learn"
	"embertally.dev/core/lease"
	"embertally.dev/core/order"
	"embertally.dev/core/plat"
	"embertally.dev/core/poison"
	"embertally.dev/core/relay"
	"embertally.dev/core/roster"
	"embertally.dev/core/route"
	"embertally.dev/core/spread"
	"embertally.dev/core/target"
	"embertally.dev/platform"
)

// Keys of the system in the platform's store.
const (
	keyBoxes = "embertally/boxes/"
	keySwap  = "embertally/duty/weights/"
	keyCells = "embertally/duty/cells/"
	// keyRollouts is held by the daemon that decides about roll-outs.
	keyRollouts = "embertally/duty/rollouts"
)

// Host is one running daemon.
type Host struct {
	set   Settings
	log   *event.Log
	spool *event.Spool
	stats *relay.Stats

	store     *platform.Store
	decoder   platform.Decoder
	mirror    *plat.Mirror
	mirrors   *spread.WatchCacheSync
	fleet     *fleet.Fleet
	roster    *roster.Roster
	shelves   *spread.StoreIndexes
	kept      *cache.StoreIndexes
	where     cache.WorkerCaches
	links     learn.Links
	retention learn.Retention
	times     *learn.Times
	targets   learn.Targets
	pool      *target.Pool
	relay     *relay.Relay
	homes     *relay.ContextOwners
	poison    *poison.Guard
	canary    canary.Guard
	rollouts  *canary.Controller
	rights    []*lease.Timed
	cellRight *cellRight
	swapper   *order.Swapper
	swaps     *spread.WeightUpdateNotifier
	sweeper   *cache.Sweeper
	presence  *lease.Presence
	named     named
	inForce   *spread.AppliedValues
	first     firstTable
	// entered receives when the store may be in another era.
	entered chan struct{}
	daemons daemons

	putMu sync.Mutex // held while a configuration is put in force

	// unread holds the keys that could not be read; only the observer uses it.
	unread map[string]bool
	// began is when the process started.
	began    time.Time
	draining atomic.Bool
	// work ends when the process is about to.
	work context.Context
}

// New puts a daemon together.
func New(set Settings) *Host {
	h := &Host{set: set, began: time.Now(), stats: relay.NewStats(), times: learn.NewTimes(), spool: event.NewSpool(os.Stdout)}
	h.log = event.NewLog(set.Name, h.spool, event.FormatJSON, event.Level(set.LogLevel))
	h.log.SetPace(&event.Pace{PerSecond: set.LogRate})
	bugs.Handle(func(text string, stack []byte) {
		h.log.Emit(event.InvariantBroken, event.Ref{}, text+"\n"+string(stack))
	})
	incarnation := uuid.NewString()
	h.store = platform.NewStore("http://"+set.Store, newClient())
	h.mirror = plat.NewMirror(h.store, plat.Prefix(""), h.log)
	h.mirror.Observe(h.observe)
	h.entered = make(chan struct{}, 1)
	h.mirror.Entered = h.noteEra
	h.roster = roster.New(h.log, h.mirror.Regained)
	h.fleet = fleet.New(fleet.Options{
		Name: set.Name, Incarnation: incarnation, Address: set.Peers, Domain: set.Domain,
		Heartbeat: set.Tuning.Heartbeat, Suspect: set.Tuning.Suspect,
		BoxPause: boxPause, Boxes: &boxes{mirror: h.mirror}, Log: h.log,
	})
	h.fleet.Attach("roster", roster.HeartbeatPart{Roster: h.roster})
	h.mirrors = spread.NewWatchCacheSync(h.mirror, h.fleet, h.log)
	h.inForce = spread.NewAppliedValues(h.mirrors)
	h.inForce.ShuttingDown = h.roster.RecentShutdowns
	h.inForce.OnShuttingDown = func(run string) { h.roster.RecordShutdown(run, roster.ByPeer) }
	h.mirror.Outline, h.mirrors.EntryParser = keyBoxes, h.entryOf
	h.store.Hold = h.mirrors.WatchWait
	h.where.Capacity = h.memory
	h.fleet.Attach("where", &h.where)
	h.fleet.Attach("links", &h.links)
	h.fleet.Attach("targets", &h.targets)
	h.fleet.Attach("retention", &h.retention)
	engines := platform.NewEngines(newClient())
	engines.Leaves = func(run string) { h.roster.RecordShutdown(run, roster.ByAnswer) }
	h.shelves = spread.NewStoreIndexes(engines, h.fleet)
	h.kept = cache.NewStoreIndexes(h.shelves, h.log)
	h.shelves.Serve(h.kept)
	h.pool = &target.Pool{Opened: h.stats.Opened}
	h.daemons.view = h.fleet.View
	h.poison = poison.New(poison.Options{Fleet: h.fleet, Try: h.pool.Connect, Log: h.log, Store: h.store, Mirror: h.mirror})
	h.roster.Removed = h.removed
	h.roster.Rank = h.place
	h.canary.Share = set.Bounds.ExposeShare
	h.canary.Fresh = func() bool { return h.age() < rolloutFresh }
	h.buildRelay()
	h.homes = relay.NewContextOwners(h.relay, h.fleet)
	h.swaps = spread.NewWeightUpdateNotifier(h.fleet, h.roster)
	h.swaps.Sharded = h.mirrors.Sharded
	h.buildDuties(incarnation, engines)
	h.gauges()
	return h
}

// place returns how many daemons come before this one for a target, of how many that may choose it.
func (h *Host) place(t *roster.Target) (place, of int) {
	return h.fleet.View().Place(fleet.Key(t.ID()), h.cellChooses(t))
}

// cellChooses reports whether only the daemons of one cell choose a target, since the cells share
// the targets of its service out.
func (h *Host) cellChooses(t *roster.Target) bool {
	service, table := t.Entry().Service, h.relay.Table()
	if table == nil || h.mirrors.Sharded(service) {
		return true
	}
	svc := table.Service(service)
	return svc != nil && svc.Engine != nil
}

// rolloutFresh is how old what is known of the store may be where requests go to a version on trial:
// it may have been taken back since.
const rolloutFresh = 2 * time.Second

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
func (h *Host) age() time.Duration { return clock.Since(h.mirror.Fresh()) }

// current reports whether the configuration in force is known to be the newest.
func (h *Host) current() bool { return h.age() < h.set.Bounds.Contact && !h.mirror.Behind() }

// lackShare is the part of the bound on a configuration for which a daemon goes on
// without a newer one that it knows to be there. The rest may have passed before it
// heard of it: a daemon that tells others reads 1 MB over 10 Mbit/s in 1.1 s.
const lackShare = 0.5

// lacks returns for how long a newer configuration has been known to be there, if that
// is too long to handle anything by the former one; else 0.
func (h *Host) lacks(now clock.Time) time.Duration {
	since := h.mirror.LateSince()
	if since.IsZero() {
		return 0
	}
	lasts := now.Sub(since)
	if lasts < time.Duration(lackShare*float64(h.set.Bounds.Configuration)) {
		return 0
	}
	return lasts
}

// beginMargin is left of the time in which a request may begin on older weights
// for its wait at the worker.
const beginMargin = 4 * time.Second

// memory returns how many tokens of context a worker holds, or 0.
func (h *Host) memory(worker string) int {
	target, t := h.roster.Target(worker), h.relay.Table()
	if target == nil || t == nil {
		return 0
	}
	svc := t.Service(target.Entry().Service)
	if svc == nil || svc.Engine == nil {
		return 0
	}
	return svc.Engine.MemoryTokens
}

// buildRelay makes the relay that answers callers.
func (h *Host) buildRelay() {
	h.relay = relay.New(relay.Options{
		Dialect: platform.Dialect{}, Roster: h.roster, Pool: h.pool, StoreIndex: h.kept, WorkerCaches: &h.where, Links: &h.links, Retention: &h.retention, FirstAnswerTimes: h.times, TargetStats: &h.targets,
		EnginePrior: h.set.Expect.Engines.prior(), CallPrior: h.set.Expect.Calls.prior(), Costs: h.set.Prices.prices(), Disabled: h.set.Without,
		Log: h.log, Stats: h.stats, Poison: h.poison, Canary: &h.canary,
		Placement: route.Placement(h.set.Placement), PublishState: h.fleet.Kick,
		Domain: h.set.Domain, Regions: h.set.Regions, DesiredWeights: h.named.version, DaemonCount: h.daemons.count,
		OwnTargets:   func(names []string) []string { return h.fleet.View().Share(names) },
		ShardVersion: h.mirrors.ShardVersion,
		Sharded:      h.mirrors.Sharded, InOwnCell: h.mirrors.InOwnCell, CellDaemonCount: func() int { return h.fleet.View().CellSize() },
		Rank: func(target string, cell bool) (int, int) { return h.fleet.View().Place(fleet.Key(target), cell) },
		RankedDaemons: func(t *roster.Target, n int) []string {
			return h.fleet.View().Ranked(fleet.Key(t.ID()), h.cellChooses(t), n)
		},
		WarmUpFactor: h.set.Bounds.ColdOver, WarmUpExtra: h.set.Bounds.ColdExtra,
		WeightsOutdated: func(model string, version int64) bool {
			return h.named.age(model, version) > h.set.Bounds.Weights-beginMargin
		},
		ViewAge:       h.age,
		StoreDown:     h.mirror.Down,
		ConfigCurrent: h.current,
		ConfigOverdue: func() time.Duration { return h.lacks(clock.Now()) },
		MayCopy:       func() bool { return h.age() < cache.MaxDesiredAge },
		RetryShare:    h.set.Retries.Share, RetryExtra: h.set.Retries.Extra, RetryWindow: h.set.Retries.Window,
	})
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
	h.start(work, duties, &wg)
	callers := h.serve(&wg, ls.callers, h.relay)
	side := []*http.Server{h.serve(&wg, ls.readiness, h.readiness()), h.serve(&wg, ls.metrics, h.metrics())}
	h.log.Emit(event.DaemonStarted, event.Ref{}, "callers "+h.set.Callers+", domain "+h.set.Domain)
	<-ctx.Done()
	endDuties()
	h.drain(callers)
	h.log.Emit(event.DaemonStopped, event.Ref{}, "")
	for _, srv := range append(side, callers) {
		// The process ends; what closing a listener reports changes nothing.
		_ = srv.Close()
	}
	stop()
	wg.Wait()
	h.spool.Close()
	return nil
}

// start runs the slices: those that only some daemons do end with duties, at
// the beginning of a planned stop, the others with work.
func (h *Host) start(work, duties context.Context, wg *sync.WaitGroup) {
	for _, run := range []func(context.Context){h.mirror.Run, h.mirrors.Run, h.homes.Run, h.presence.Run, h.poison.Run, h.rollouts.Run, h.watchEras, h.loop} {
		wg.Go(func() { run(work) })
	}
	for _, run := range []func(context.Context){h.swapper.Run, h.sweeper.Run} {
		wg.Go(func() { run(duties) })
	}
	wg.Go(func() { h.cellRight.run(duties) })
	for _, t := range h.rights {
		wg.Go(func() { t.Run(duties) })
	}
}
