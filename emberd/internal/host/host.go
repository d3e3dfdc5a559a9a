// Package host owns the life cycle of an emberd on a platform that keeps the
// configuration and the list of targets in its coordination store: settings,
// construction and wiring of the core packages, readiness, and graceful shutdown.
//
// It must not make decisions that belong to a core package, and it must not know the
// platform's key names and encodings, which package platform owns.
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
	"embertally.dev/core/detour"
	"embertally.dev/core/entry"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/learn"
	"embertally.dev/core/lease"
	"embertally.dev/core/memory"
	"embertally.dev/core/order"
	"embertally.dev/core/origin"
	"embertally.dev/core/plat"
	"embertally.dev/core/poison"
	"embertally.dev/core/relay"
	"embertally.dev/core/roster"
	"embertally.dev/core/route"
	"embertally.dev/core/spread"
	"embertally.dev/core/target"
	"embertally.dev/platform"
)

// Keys that emberd owns in the coordination store; those that end in "/" are prefixes.
const (
	// keyBoxes is followed by the name of a daemon's box.
	keyBoxes = "embertally/boxes/"
	// keyWeightUpdates is followed by the number of a partition of the workers. Its value names the
	// daemon that sends weight updates to them.
	keyWeightUpdates = "embertally/duty/weights/"
	// keyCells is followed by the label of a cell. Its value names the daemon that sends weight updates
	// to the cell's workers.
	keyCells = "embertally/duty/cells/"
	// keyRollouts names the daemon that decides rollouts.
	keyRollouts = "embertally/duty/rollouts"
)

// Host is one running daemon.
type Host struct {
	settings Settings
	log      *event.Log
	spool    *event.Spool
	stats    *relay.Stats

	storeClient, engineClient *plat.Client
	store                     *platform.Store
	// decoder parses the values of the coordination store.
	decoder          platform.Decoder
	watchCache       *plat.WatchCache
	watchCacheSync   *spread.WatchCacheSync
	fleet            *fleet.Fleet
	roster           *roster.Roster
	storeIndexSync   *spread.StoreIndexes
	storeIndexes     *cache.StoreIndexes
	workerCaches     cache.WorkerCaches
	links            learn.Links
	lateCopies       learn.LateCopies
	retention        learn.Retention
	pauses           learn.Pauses
	firstAnswerTimes *learn.Times
	targetStats      learn.Targets
	// memory bounds what is held of requests and responses.
	memory memory.Budget
	// controlMemory bounds what is held of other daemons' messages and the store's responses: requests leave room for these.
	controlMemory memory.Budget
	// headMemory bounds what is held of the heads of requests on all listeners: bodies and responses leave room for these.
	headMemory memory.Budget
	pool       *target.Pool
	detours    *detour.Boxes
	// partitioned is the last result of recordPartition.
	partitioned    atomic.Bool
	relay          *relay.Relay
	contextOwners  *relay.ContextOwners
	poison         *poison.Guard
	canary         canary.Guard
	origins        *origin.Book
	versionWatch   versionWatch
	attemptBound   attemptBound
	streamBound    attemptBound // of all streams, since a configuration may make them resumable
	storedBound    storedBound
	routeServices  routeServices
	rollouts       *canary.Controller
	leaderships    []*lease.Timed
	cellLeadership *cellLeadership
	weightUpdater  *order.WeightUpdater
	updateNotifier *spread.WeightUpdateNotifier
	sweeper        *cache.Sweeper
	presence       *lease.Presence
	desired        order.NamedWeights
	desiredSync    *order.NamedWeightsSync
	applied        *spread.AppliedValues
	firstTable     firstTable
	// incarnationCheck receives when the first snapshot of a store incarnation has been read; its
	// capacity is 1.
	incarnationCheck chan struct{}
	daemonCounter    daemonCounter
	// listedPeers returns the names of the other daemons that are listed.
	listedPeers func() []string

	applyMu sync.Mutex // serialises applyTable

	// unreadable holds the keys whose values cannot be parsed. Only logUnreadable uses it.
	unreadable map[string]bool
	// started is when the process started.
	started time.Time
	// draining is set when the shutdown begins.
	draining atomic.Bool
	// workCtx is cancelled at the end of the shutdown, after drain.
	workCtx context.Context
}

// New wires a daemon together; Run starts it.
func New(settings Settings) *Host {
	h := &Host{settings: settings, started: time.Now(), stats: relay.NewStats(), firstAnswerTimes: learn.NewTimes(), spool: event.NewSpool(os.Stdout)}
	h.log = event.NewLog(settings.Name, h.spool, event.FormatJSON, event.Level(settings.LogLevel))
	h.log.SetLineLimiter(&event.LineLimiter{LinesPerSecond: settings.LogRate})
	bugs.Handle(func(text string, stack []byte) {
		h.log.Emit(event.InvariantBroken, event.Ref{}, text+"\n"+string(stack))
	})
	incarnation := uuid.NewString()
	h.storeClient, h.engineClient = newClient(), newClient()
	h.storeClient.OnReplaced = func() { h.log.Emit(event.ConnectionReplaced, event.Ref{}, "the coordination store") }
	h.engineClient.ManyServices = true
	h.memory.Limit = int64(heldShare * float64(settings.MemoryMB<<20))
	h.headMemory.Limit = int64(headShare * float64(settings.MemoryMB<<20))
	h.controlMemory.Limit, h.storeClient.Memory = h.memory.Limit, &h.controlMemory
	h.engineClient.Memory, h.engineClient.MaxResponse = &h.memory, maxCallResponse
	h.store = platform.NewStore("http://"+settings.Store, h.storeClient)
	h.watchCache = plat.NewWatchCache(h.store, plat.Prefix(""), h.log)
	h.watchCache.Observe(h.applyChanges)
	h.incarnationCheck = make(chan struct{}, 1)
	h.watchCache.OnStoreIncarnation = h.triggerIncarnationCheck
	h.roster = roster.New(h.log, func() (clock.Time, time.Duration) { return h.watchCacheSync.LastOutage() })
	h.roster.VersionMemory, h.roster.MaxVersionAbsence, h.roster.ListAsOf = h.versionWindow, maxVersionAbsence, h.watchCache.FreshAsOf
	h.fleet = fleet.New(fleet.Options{
		Name: settings.Name, Incarnation: incarnation, Address: settings.Peers, Domain: settings.Domain,
		HeartbeatInterval: settings.Tuning.Heartbeat, SuspectAfter: settings.Tuning.Suspect,
		BoxPollInterval: boxPollInterval, Boxes: &boxList{watchCache: h.watchCache, log: h.log}, Memory: &h.controlMemory, Log: h.log,
	})
	h.fleet.Attach("roster", roster.HeartbeatPart{Roster: h.roster})
	h.fleet.Attach("slow", roster.SlowPart{Roster: h.roster})
	h.watchCacheSync = spread.NewWatchCacheSync(h.watchCache, h.fleet, h.log)
	h.applied = spread.NewAppliedValues(h.watchCacheSync)
	h.applied.ShuttingDown = h.roster.RecentShutdowns
	h.applied.OnShuttingDown = func(targetIncarnation string) { h.roster.RecordShutdown(targetIncarnation, roster.ByPeer) }
	h.watchCache.FirstPrefix, h.watchCacheSync.EntryParser = keyBoxes, h.parseEntry
	h.store.WatchWait, h.store.OnData = h.watchCacheSync.WatchWait, h.watchCache.RecordReach
	h.workerCaches.Capacity = h.workerCapacity
	h.fleet.Attach("where", &h.workerCaches)
	h.fleet.Attach("links", &h.links)
	h.fleet.Attach("targets", &h.targetStats)
	h.fleet.Attach("lateCopies", &h.lateCopies)
	h.fleet.Attach("retention", &h.retention)
	h.fleet.Attach("pauses", &h.pauses)
	engines := platform.NewEngines(h.engineClient)
	engines.OnShuttingDown = func(targetIncarnation string) { h.roster.RecordShutdown(targetIncarnation, roster.ByResponse) }
	h.storeIndexSync = spread.NewStoreIndexes(engines, h.fleet)
	h.storeIndexes = cache.NewStoreIndexes(h.storeIndexSync, h.log)
	h.storeIndexSync.Serve(h.storeIndexes)
	h.pool = &target.Pool{
		Memory: &h.memory, Opened: h.stats.Opened, Refused: h.stats.OpensRefused, Unanswered: h.stats.OpensUnanswered,
		Repeated: h.stats.RepeatedOnConnection, PassedOver: h.stats.ConnectionsPassedOver, Retired: h.stats.ConnectionsRetired,
	}
	h.detours = detour.New(detour.Options{
		Domain: settings.Domain, Fleet: h.fleet, Pool: h.pool, Locate: h.locateTarget,
		Opened: h.stats.DetoursOpened, Failed: h.stats.DetoursFailed, Forwarded: h.stats.DetoursForwarded,
		Borrowed: h.stats.ConnectionsBorrowed, Lent: h.stats.ConnectionsLent, ConnectionShare: func(target string) int { return h.relay.ConnectionShare(target) },
	})
	h.pool.OnPartitioned = h.recordPartition
	h.daemonCounter.view = h.fleet.View
	h.listedPeers = func() []string { return listedNames(h.fleet.View()) }
	h.poison = poison.New(poison.Options{Fleet: h.fleet, Dial: h.pool.Connect, Log: h.log, Store: h.store, WatchCache: h.watchCache})
	h.roster.Removed = h.incarnationRemoved
	h.roster.Rank = h.targetRank
	h.canary.CanaryShare = settings.Bounds.CanaryShare
	h.canary.OrdersCurrent = func() bool { return h.viewAge() < rolloutMaxViewAge }
	if !settings.FirstStart {
		h.restartVersionWatch(0)
	}
	h.fleet.OnResume(func(time.Duration) { h.restartVersionWatch(h.watchCache.Revision()) })
	h.watchCache.OnSnapshot = h.recordSnapshot
	h.origins = origin.New(origin.Options{
		Fleet: h.fleet, Versions: h.serviceVersions, ViewAge: h.viewAge, Revision: h.watchCache.AppliedRevision, Inherit: h.versionWatch.inherit,
		Copy: h.watchCache, Store: h.store, Incarnation: incarnation, Log: h.log, Durable: h.keepsOrigins,
	})
	h.buildRelay()
	h.roster.CapacityChanged = h.relay.CapacityChanged
	h.fleet.Attach("division", h.relay.DivisionPart())
	h.fleet.Attach("queue", relay.QueuePart{Relay: h.relay})
	h.contextOwners = relay.NewContextOwners(h.relay, h.fleet)
	h.updateNotifier = spread.NewWeightUpdateNotifier(h.fleet, h.roster)
	h.updateNotifier.Sharded = h.watchCacheSync.Sharded
	h.desiredSync = order.NewNamedWeightsSync(&h.desired, h.fleet, settings.Bounds.OldWeights, h.log)
	h.buildAssignments(incarnation, engines)
	h.registerGauges()
	return h
}

// locateTarget returns the address and the failure domain of a listed target.
func (h *Host) locateTarget(id string) (address, domain string, listed bool) {
	t := h.roster.Target(id)
	if t == nil {
		return "", "", false
	}
	e := t.Entry()
	return e.Address, e.Domain, true
}

// recordPartition records whether this box seems to have lost its paths to all targets.
func (h *Host) recordPartition(partitioned bool) {
	if h.partitioned.Swap(partitioned) == partitioned {
		return
	}
	if partitioned {
		h.log.Emit(event.TargetsUnreachable, event.Ref{}, "connections are opened through other boxes")
	} else {
		h.log.Emit(event.TargetsReachable, event.Ref{}, "")
	}
	h.fleet.TriggerHeartbeat()
}

// targetRank returns this daemon's rank, from 0, among the daemons that may choose a target, and the
// number of these daemons.
func (h *Host) targetRank(t *roster.Target) (rank, daemons int) {
	return h.fleet.View().SelfRank(fleet.Key(t.ID()), h.chosenWithinCell(t))
}

// chosenWithinCell reports whether only the daemons of one cell choose a target, because the targets of
// its service are divided among the cells.
func (h *Host) chosenWithinCell(t *roster.Target) bool {
	service, table := t.Entry().Service, h.relay.Table()
	if table == nil || h.watchCacheSync.Sharded(service) {
		return true
	}
	svc := table.Service(service)
	return svc != nil && svc.Engine != nil
}

// rolloutMaxViewAge is the maximum age of the watch cache at which requests are sent to a canary
// version: operators may have withdrawn the rollout since.
const rolloutMaxViewAge = 2 * time.Second

// boxPollInterval is the interval at which the fleet reads the box list from the watch cache.
const boxPollInterval = 200 * time.Millisecond

// clientIdleTimeout is how long an idle connection for control calls stays open.
const clientIdleTimeout = 10 * time.Second

// heldShare is the share of Settings.MemoryMB for requests and responses that are being read or sent. What is allocated for
// them and not collected yet takes about as much again.
const heldShare = 0.2

// headShare is the same for the heads of requests.
const headShare = 0.06

// Bounds of responses to control calls, by which a target that sends bytes without end cannot fill the memory: the heads
// are a few hundred bytes long, and the longest body lists the segments of a KV-cache store, some 60 bytes each.
const (
	maxCallHead     = 64 << 10
	maxCallResponse = 16 << 20
)

// newClient returns an HTTP client for control calls to the store or to workers.
func newClient() *plat.Client {
	return &plat.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 4, IdleConnTimeout: clientIdleTimeout, DisableCompression: true,
		MaxResponseHeaderBytes: maxCallHead,
	}}
}

// viewAge returns how old the content of the watch cache is.
func (h *Host) viewAge() time.Duration { return clock.Since(h.watchCache.FreshAsOf()) }

// knowledge describes for a log line by what this daemon takes its configuration for current.
func (h *Host) knowledge() string {
	text := "view age " + h.viewAge().Round(10*time.Millisecond).String() + " at revision " + itoa(plat.StoreRevision(h.watchCache.Revision()))
	if fresh := h.watchCacheSync.FreshestPeerCopy(); !fresh.IsZero() {
		text += ", peers " + clock.Since(fresh).Round(10*time.Millisecond).String()
	}
	if reached := h.watchCacheSync.StoreReached(); !reached.IsZero() {
		text += ", store reached " + clock.Since(reached).Round(10*time.Millisecond).String()
	}
	if since := h.watchCache.UnfetchedSince(); !since.IsZero() {
		text += ", a value missing for " + clock.Since(since).Round(10*time.Millisecond).String()
	}
	return text
}

// configCurrent reports whether the applied configuration is known to be the newest, so that this daemon
// may say that something does not exist.
func (h *Host) configCurrent() bool {
	maxAge := min(h.settings.Bounds.StoreSilence, h.settings.Bounds.OldConfiguration)
	return clock.Since(h.watchCache.CurrentAsOf()) < maxAge && !h.watchCache.HasUnfetched()
}

// transitMargin is the part of Bounds.OldConfiguration that is reserved for the time for which the first
// byte of a response of the store was under way: the response is dated by its arrival.
const transitMargin = 100 * time.Millisecond

// maxConfigAge is the age up to which a configuration is used when a newer one may exist.
func (h *Host) maxConfigAge() time.Duration {
	return h.settings.Bounds.OldConfiguration - transitMargin
}

// configOverdue returns for how long the applied configuration has not been known to be current, if a newer
// one may have been acknowledged longer than Bounds.OldConfiguration ago; else 0.
func (h *Host) configOverdue(now clock.Time) time.Duration {
	if overdue := h.behindPeers(now); overdue > 0 {
		return overdue
	}
	age := now.Sub(h.watchCache.CurrentAsOf())
	if !h.watchCache.HasUnfetched() || age <= h.maxConfigAge() {
		return 0
	}
	return age
}

// behindPeers returns the age of the watch cache if that is over maxConfigAge although a newer state may be
// known; else 0. While the store is out of reach for all daemons, they go on together.
func (h *Host) behindPeers(now clock.Time) time.Duration {
	fresh, maxAge := h.watchCache.FreshAsOf(), h.maxConfigAge()
	age := now.Sub(fresh)
	if fresh.IsZero() || age <= maxAge || !h.watchCacheSync.KnowsNewer(now, maxAge) {
		return 0
	}
	return age
}

// oldWeightsMargin is the part of Bounds.OldWeights that is reserved for a request's wait at the worker:
// during it no request is sent to a worker with replaced weights.
const oldWeightsMargin = 4 * time.Second

// beginMargin is the part of it that is left when a request that still waits at the worker is given up: the time until
// the worker learns of that.
const beginMargin = 500 * time.Millisecond

// workerCapacity returns how many tokens a worker's cache has room for; 0 if that is not known.
func (h *Host) workerCapacity(worker string) int {
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

// buildRelay creates the relay that serves callers' requests.
func (h *Host) buildRelay() {
	h.relay = relay.New(relay.Options{
		Name: h.settings.Name, Dialect: platform.Dialect{}, Roster: h.roster, Pool: h.pool, StoreIndex: h.storeIndexes, WorkerCaches: &h.workerCaches, Links: &h.links, LateCopies: &h.lateCopies, Retention: &h.retention, Pauses: &h.pauses, FirstAnswerTimes: h.firstAnswerTimes, TargetStats: &h.targetStats,
		EnginePrior: h.settings.Expected.Engines.prior(), CallPrior: h.settings.Expected.Calls.prior(), Costs: h.settings.Costs.model(), Disabled: h.settings.Disabled,
		Log: h.log, Stats: h.stats, Poison: h.poison, Canary: &h.canary, Origins: h.origins, UntilSettled: h.untilSettled, UntilRouteSettled: h.untilRouteSettled,
		Placement: route.Placement(h.settings.Placement), PublishState: h.fleet.TriggerHeartbeat,
		Domain: h.settings.Domain, Regions: h.settings.Regions, DesiredWeights: h.desired.Newest, DaemonCount: h.daemonCounter.count,
		OwnTargets:   func(names []string) []string { return h.fleet.View().CellShare(names) },
		ShardVersion: h.watchCacheSync.ShardVersion,
		Sharded:      h.watchCacheSync.Sharded, InOwnCell: h.watchCacheSync.InOwnCell, CellDaemonCount: func() int { return h.fleet.View().CellSize() },
		Rank: func(target string, cell bool) (int, int) { return h.fleet.View().SelfRank(fleet.Key(target), cell) },
		RankedDaemons: func(t *roster.Target, n int) []string {
			return h.fleet.View().TopRanked(fleet.Key(t.ID()), h.chosenWithinCell(t), n)
		},
		WarmUpFactor: h.settings.Bounds.WarmUpFactor, WarmUpExtra: h.settings.Bounds.WarmUpExtra,
		WeightsOutdated: func(model string, version int64) time.Duration {
			return h.desired.OutdatedFor(model, version, h.settings.Bounds.OldWeights-oldWeightsMargin)
		},
		WeightsUsableFor: func(model string, version int64) time.Duration {
			return h.desired.UsableFor(model, version, h.settings.Bounds.OldWeights-beginMargin)
		},
		ReplacedFor:   h.desired.ReplacedFor,
		ViewAge:       h.viewAge,
		Knowledge:     h.knowledge,
		StoreDown:     h.watchCache.Down,
		ConfigCurrent: h.configCurrent,
		ConfigOverdue: func() time.Duration { return h.configOverdue(clock.Now()) },
		MayCopy:       func() bool { return h.viewAge() < cache.MaxDesiredAge },
		RetryShare:    h.settings.Retries.PerRequest, RetryExtra: h.settings.Retries.Extra, RetryWindow: h.settings.Retries.Window,
	})
}

// Run serves until ctx is cancelled, then shuts down gracefully.
func (h *Host) Run(ctx context.Context) error {
	workCtx, stop := context.WithCancel(context.Background())
	defer stop()
	h.workCtx = workCtx
	ls, err := h.listen()
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	wg.Go(func() { h.fleet.Run(workCtx, ls.peers) })
	assignmentCtx, endAssignments := context.WithCancel(workCtx)
	defer endAssignments()
	h.start(workCtx, assignmentCtx, &wg)
	callers := h.serve(&wg, ls.callers, h.relay)
	auxiliary := []*http.Server{h.serve(&wg, ls.readiness, h.readiness()), h.serve(&wg, ls.metrics, h.metrics())}
	h.log.Emit(event.DaemonStarted, event.Ref{}, "callers "+h.settings.Callers+", domain "+h.settings.Domain)
	<-ctx.Done()
	endAssignments()
	h.drain(callers)
	h.log.Emit(event.DaemonStopped, event.Ref{}, "")
	for _, srv := range append(auxiliary, callers) {
		// The process is about to exit, so an error from closing is of no use.
		_ = entry.CloseServer(srv)
	}
	stop()
	wg.Wait()
	h.spool.Close()
	return nil
}

// start runs the background loops. Those that need an assignment stop with assignmentCtx, at the
// start of the shutdown; the others stop with workCtx.
func (h *Host) start(workCtx, assignmentCtx context.Context, wg *sync.WaitGroup) {
	for _, run := range []func(context.Context){h.watchCache.Run, h.watchCacheSync.Run, h.contextOwners.Run, h.origins.Run, h.detours.Run, h.desiredSync.Run, h.presence.Run, h.poison.Run, h.rollouts.Run, h.keepAttempts, h.watchStoreIncarnations, h.watchReadiness} {
		wg.Go(func() { run(workCtx) })
	}
	for _, run := range []func(context.Context){h.weightUpdater.Run, h.sweeper.Run} {
		wg.Go(func() { run(assignmentCtx) })
	}
	wg.Go(func() { h.cellLeadership.run(assignmentCtx) })
	for _, t := range h.leaderships {
		wg.Go(func() { t.Run(assignmentCtx) })
	}
}
