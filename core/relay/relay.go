// Package relay forwards callers' requests to targets. It matches a request to a route, sends it to
// a target of the route's service, and passes the target's response on complete and unchanged.
//
// It must not know the names of the headers used with callers and targets (see Dialect), where the
// routing table comes from, or how a target's cost is computed (package route).
package relay

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/cache"
	"embertally.dev/core/canary"
	"embertally.dev/core/event"
	"embertally.dev/core/learn"
	"embertally.dev/core/origin"
	"embertally.dev/core/poison"
	"embertally.dev/core/roster"
	"embertally.dev/core/route"
	"embertally.dev/core/table"
	"embertally.dev/core/target"
)

// Options configures a Relay.
type Options struct {
	// Name is the name of this daemon.
	Name    string
	Dialect Dialect
	Roster  *roster.Roster
	Pool    *target.Pool
	// StoreIndex is the index of the segments in KV-cache stores, WorkerCaches that of the segments
	// cached by workers.
	StoreIndex   *cache.StoreIndexes
	WorkerCaches *cache.WorkerCaches
	// Links is the learned speed and load of the links of stores and workers.
	Links *learn.Links
	// LateCopies is the learned probability that copies arrive after their time limit.
	LateCopies *learn.LateCopies
	// Retention is the learned probability that a segment is still in a worker's KV cache.
	Retention *learn.Retention
	// Pauses is the learned share of streams that miss their gap objective, and the demand by kind
	// of request. Nil learns nothing.
	Pauses *learn.Pauses
	// FirstAnswerTimes and TargetStats are statistics of the targets' responses. EnginePrior and
	// CallPrior are the priors of the time to a first answer, for model workers and for plain
	// calls.
	FirstAnswerTimes       *learn.Times
	TargetStats            *learn.Targets
	EnginePrior, CallPrior learn.Prior
	// Random returns random numbers in [0, 1). Nil means those of math/rand.
	Random func() float64
	// Costs is the cost model: the utility of answers and the cost of serving them.
	Costs route.CostModel
	// Disabled disables single mechanisms.
	Disabled Disabled
	Log      *event.Log
	Stats    *Stats
	// Poison blocks requests that crash targets. Nil blocks none.
	Poison *poison.Guard
	// Canary restricts requests to the versions that a rollout allows. Nil restricts none.
	Canary *canary.Guard
	// Origins knows which version of a service's targets began each stream that callers may resume. Nil knows none,
	// so that no stream is resumed by another request than the one that began it.
	Origins StreamOrigins
	// UntilSettled returns for how much longer no stream may begin at a version of a service's targets, since a daemon
	// may not know yet that the service has it. Nil means that streams begin anywhere.
	UntilSettled func(service, version string) time.Duration
	// UntilRouteSettled returns for how much longer no stream may begin at a service by the route of a host and path, since
	// a daemon may not know yet that the route leads there. Nil means that streams begin at once.
	UntilRouteSettled func(host, path, service string) time.Duration
	// Placement is the policy that chooses workers. The zero value means route.LowestCost.
	Placement route.Placement
	// Domain is the failure domain of this daemon.
	Domain string
	// Regions maps each failure domain to its region. It must not be changed.
	Regions map[string]string
	// DesiredWeights returns the desired version of a model's weights.
	DesiredWeights func(model string) int64
	// WeightsOutdated returns for how long this daemon has known that a version of the weights was superseded so long
	// ago that no request may start on it; 0 if requests may.
	WeightsOutdated func(model string, version int64) time.Duration
	// WeightsUsableFor, if set, returns for how much longer requests that were sent may begin on a version of the weights, as
	// far as this daemon knows. If the version is not replaced, it returns when to ask again.
	WeightsUsableFor func(model string, version int64) time.Duration
	// ReplacedFor, if set, returns for a log line how long a version of the weights has been replaced as far as this
	// daemon knows; 0 if it is the newest.
	ReplacedFor func(model string, version int64) time.Duration
	// ViewAge returns the age of this daemon's view of the coordination store.
	ViewAge func() time.Duration
	// Knowledge, if set, describes for a log line by what this daemon takes its configuration for
	// current.
	Knowledge func() string
	// StoreDown reports whether the coordination store is known to be unreachable. Nil means never.
	StoreDown func() bool
	// ConfigCurrent reports whether this daemon's configuration is known to be current. Only then
	// may it answer that a route or key does not exist.
	ConfigCurrent func() bool
	// ConfigOverdue returns how long a newer configuration, or what may be one, has existed without having
	// arrived. It is 0 while the applied one may still be used. Nil means always 0.
	ConfigOverdue func() time.Duration
	// MayCopy reports whether segments may be copied from KV-cache stores: the daemon's view of the
	// desired weights is recent enough.
	MayCopy func() bool
	// PublishState is called when the load of a target or its reported state has changed, to
	// publish that to the other daemons at once. It must be set.
	PublishState func()
	// OwnTargets returns those of the given workers that this daemon uses. A large fleet partitions
	// its workers, so that a daemon has recorded the load of the ones that it uses.
	OwnTargets func(names []string) []string
	// ShardVersion returns a value that stays equal as long as OwnTargets uses the same partition.
	// Nil means that its results must not be cached.
	ShardVersion func() any
	// Sharded reports whether the targets of a service are sharded by cell, so that this daemon may
	// list only those of its own cell. Nil means never.
	Sharded func(service string) bool
	// InOwnCell reports whether a target of a sharded service belongs to this daemon's cell.
	InOwnCell func(name, domain string) bool
	// CellDaemonCount returns the number of daemons in this daemon's cell.
	CellDaemonCount func() int
	// DaemonCount returns the number of daemons that share the connections to targets.
	DaemonCount func() int
	// Rank returns this daemon's rank, from 0, among the daemons that may send to a target, and
	// their number. They are the daemons of its cell, or of the whole fleet.
	Rank func(target string, cell bool) (rank, of int)
	// RankedDaemons returns the n best-ranked other daemons among those that Rank counts. Nil means
	// none.
	RankedDaemons func(t *roster.Target, n int) []string
	// All daemons together send a target that is warming up at most WarmUpFactor times the rate
	// that its service configures, plus WarmUpExtra requests per second.
	WarmUpFactor, WarmUpExtra float64
	// RetryShare, RetryExtra and RetryWindow bound the retries of all daemons together: within
	// RetryWindow, RetryShare for each request, plus RetryExtra.
	RetryShare  float64
	RetryExtra  float64
	RetryWindow time.Duration
}

// StreamOrigins knows where streams began.
type StreamOrigins interface {
	// Record records that an organisation's attempt brought events of a stream.
	Record(organisation, attempt string, s origin.Stream)
	// Find returns where the stream began of which an organisation's attempt brought the first event. service is the
	// one that it is resumed at.
	Find(ctx context.Context, organisation, attempt, service string) origin.Finding
}

// Relay is the HTTP handler for callers' requests.
type Relay struct {
	options Options
	table   atomic.Pointer[table.Table]
	// choiceCount counts the local decisions, for placements that take the workers in turn.
	choiceCount atomic.Uint64
	// start is the origin of the monotonic time used by retryBudgets.
	start   time.Time
	running atomic.Int64
	// stopAt is when a graceful shutdown ends; nil before it begins.
	stopAt atomic.Pointer[time.Time]
	// refusing is set late in a graceful shutdown: new requests are refused.
	refusing atomic.Bool
	// ended is cancelled at the end of a graceful shutdown: requests that are left are answered without their targets.
	ended context.Context
	end   context.CancelFunc
	// owners queries the owners of contexts in other cells. It may be nil, and is set before the
	// first request.
	owners *ContextOwners
	warmUp warmUpLimiter
	shares shareCache
	// permitWaiters holds the services with a request that waits for a permit.
	permitWaiters permitWaiters
	// admission holds the requests that wait for a target.
	admission *admission
	hedgeGate hedgeGate
	// usedIDs are those that no further request that may run once may have.
	usedIDs usedIDs

	// chooseMu is held from reading the targets' load until the chosen target's load is updated.
	chooseMu sync.Mutex
	// divisionPeers exchanges the divisions with peers.
	divisionPeers divisionPeers
	// divisions holds the divisions of workers, by service. Guarded by chooseMu.
	divisions map[string]*serviceDivision

	budgetMu sync.Mutex
	// retryBudgets bounds the retries, by service. Guarded by budgetMu.
	retryBudgets map[string]*route.RetryBudget
	// arrivalRates is the utility of the requests that arrive, by service. Guarded by budgetMu.
	arrivalRates map[string]*learn.Rate
}

// New returns a relay without a routing table.
func New(o Options) *Relay {
	if o.Placement == "" {
		o.Placement = route.LowestCost
	}
	if o.Canary == nil {
		o.Canary = &canary.Guard{}
	}
	rl := &Relay{
		options: o, start: time.Now(), retryBudgets: map[string]*route.RetryBudget{},
		arrivalRates: map[string]*learn.Rate{},
	}
	rl.admission = newAdmission(&rl.options)
	rl.ended, rl.end = context.WithCancel(context.Background())
	if o.Pool != nil {
		o.Pool.OnFound = rl.recordReachable
	}
	return rl
}

// recordReachable records that the path to an address works again, so that the target there is no longer passed over
// for it.
func (rl *Relay) recordReachable(address string) {
	for _, t := range rl.options.Roster.AtAddress(address) {
		t.RecordResponse()
	}
	rl.CapacityChanged()
}

// CapacityChanged is called when a target may have become able to take a request by what others
// report.
func (rl *Relay) CapacityChanged() { rl.admission.capacityChanged(false) }

// loadRemoved is called after this daemon removed load from a target.
func (rl *Relay) loadRemoved() { rl.admission.capacityChanged(true) }

// SetTable applies a configuration. Running requests keep the one they started with.
func (rl *Relay) SetTable(t *table.Table) { rl.table.Store(t) }

// Table returns the applied configuration, or nil.
func (rl *Relay) Table() *table.Table { return rl.table.Load() }

// Running returns the number of unfinished requests.
func (rl *Relay) Running() int64 { return rl.running.Load() }

// Waiting returns the number of requests that wait for a target.
func (rl *Relay) Waiting() int64 { return rl.admission.waiting.Load() }

// BeginStop starts a graceful shutdown: from now on each answer closes its connection, and requests that may
// take longer than until end are refused.
func (rl *Relay) BeginStop(end time.Time) { rl.stopAt.Store(&end) }

// stopping reports whether a graceful shutdown has begun.
func (rl *Relay) stopping() bool { return rl.stopAt.Load() != nil }

// RefuseRequests makes the relay refuse new requests, late in a graceful shutdown.
func (rl *Relay) RefuseRequests() { rl.refusing.Store(true) }

// EndRequests ends the requests that are left at the end of a graceful shutdown: those that were not sent are refused, and
// those without an answer get one that tells that the outcome is unknown. Streams that have begun break off.
func (rl *Relay) EndRequests() { rl.end() }

// isEnded reports whether EndRequests was called.
func (rl *Relay) isEnded() bool { return rl.ended.Err() != nil }

// minOutage is the least expected remaining time of an outage of the coordination store: outages
// last for seconds.
const minOutage = time.Second

// notReadyFor returns how much longer the daemon is expected to be without a configuration: as long
// as it has been so far, and at least minOutage if the coordination store is down.
func (rl *Relay) notReadyFor() time.Duration {
	elapsed := time.Since(rl.start)
	if rl.options.StoreDown != nil && rl.options.StoreDown() {
		return max(elapsed, minOutage)
	}
	return elapsed
}

// sharded reports whether the targets of a service are sharded by cell.
func (rl *Relay) sharded(service string) bool {
	return rl.options.Sharded != nil && rl.options.Sharded(service)
}

// configOverdue returns how long a newer configuration has been missing, or 0 while the applied one
// may still be used.
func (rl *Relay) configOverdue() time.Duration {
	if rl.options.ConfigOverdue == nil {
		return 0
	}
	return rl.options.ConfigOverdue()
}

// ServeHTTP answers one request.
func (rl *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rl.running.Add(1)
	defer rl.running.Add(-1)
	rl.options.Stats.Requests.Inc()
	if rl.stopping() {
		w.Header().Set("Connection", "close")
	}
	p := &proxiedRequest{
		relay: rl, w: w, r: r, start: time.Now(), suspends: newSuspendDetector(),
		originDomain: rl.options.Domain, tried: map[string]int{}, rejectedAt: map[string]bool{},
	}
	defer p.releaseHoldings()
	refusal := p.admit()
	if refusal == nil {
		refusal = p.run()
	} else {
		p.discardBody()
	}
	p.finish(refusal)
}

// callerDisconnected reports whether the caller has closed its connection.
func callerDisconnected(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }
