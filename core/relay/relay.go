// Package relay owns the callers' side of routed requests: a request is matched
// to a route, sent to a target of the route's service, and the target's answer
// is passed on unchanged and whole.
//
// It must not know how the headers of callers and targets are named (see
// Dialect), where the routing table comes from, or how a target's cost is
// worked out (package route).
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
	"embertally.dev/core/poison"
	"embertally.dev/core/roster"
	"embertally.dev/core/route"
	"embertally.dev/core/table"
	"embertally.dev/core/target"
)

// Options of a relay.
type Options struct {
	Dialect Dialect
	Roster  *roster.Roster
	Pool    *target.Pool
	Kept    *cache.Kept
	Where   *cache.Where
	Links   *learn.Links
	// Retention is what is learned of how long workers hold parts.
	Retention *learn.Retention
	// Times and Targets are what is learned of the targets' answers, and Engines
	// and Calls what is expected of model workers and of plain calls before.
	Times          *learn.Times
	Targets        *learn.Targets
	Engines, Calls learn.Prior
	// Prices say what answers are worth.
	Prices route.Prices
	// Without switches mechanisms off.
	Without Without
	Log     *event.Log
	Stats   *Stats
	// Poison keeps requests from targets that end of them; nil stands for none.
	Poison *poison.Guard
	// Canary keeps requests to what roll-outs allow; nil stands for none.
	Canary *canary.Guard
	// Placement chooses the workers; the zero value stands for route.Returning.
	Placement route.Placement
	// Domain is the failure domain of this daemon.
	Domain string
	// Regions holds the region of each failure domain. It must not be changed.
	Regions map[string]string
	// Named returns the newest version named of a model's weights.
	Named func(model string) int64
	// Outdated reports whether weights were replaced so long ago that no request
	// may begin on them any more.
	Outdated func(model string, version int64) bool
	// Age returns how old this daemon's knowledge of the platform's store is.
	Age func() time.Duration
	// StoreDown reports whether the platform's store is known not to answer; nil
	// stands for never.
	StoreDown func() bool
	// Current reports whether this daemon's configuration is known to be
	// current, so that it may say that a route or key does not exist.
	Current func() bool
	// Lacks returns for how long a newer configuration has been known to be there
	// without having arrived, if that is too long to handle anything by the one in
	// force; nil stands for never.
	Lacks func() time.Duration
	// CopyMay reports whether parts may be copied from stores: the daemon has
	// heard lately which weights are named.
	CopyMay func() bool
	// Placed hears of each long prompt that is sent, so that other daemons learn
	// of it at once. It must be set.
	Placed func()
	// Share returns the workers that this daemon's requests go to, where a large
	// fleet shares them out so that daemons know the load of theirs.
	Share func(names []string) []string
	// Basis returns what Share goes by: as long as it is the same, so are shares. nil
	// stands for not known.
	Basis func() any
	// Divided reports whether the cells of a large fleet divide the targets of a service, so that
	// this daemon may hold only those of its cell; nil stands for never.
	Divided func(service string) bool
	// Uses reports whether a target of a divided service falls to this daemon's cell.
	Uses func(name, domain string) bool
	// CellDaemons returns how many daemons this one's cell has.
	CellDaemons func() int
	// Daemons returns how many daemons share the connections to targets.
	Daemons func() int
	// Place returns how many daemons come before this one for a target, of how many that
	// may send to it: those of its cell, or of the whole fleet.
	Place func(target string, cell bool) (place, of int)
	// Choosers returns the first n other daemons of those among which Place counts; nil stands for
	// none.
	Choosers func(t *roster.Target, n int) []string
	// A cold target gets at most ColdOver times what its service says it bears in a second,
	// and ColdExtra beside, from all daemons together.
	ColdOver, ColdExtra float64
	// RetryShare, RetryExtra and RetryWindow bound repeated sends over all
	// daemons together.
	RetryShare  float64
	RetryExtra  float64
	RetryWindow time.Duration
}

// Relay answers callers.
type Relay struct {
	options Options
	table   atomic.Pointer[table.Table]
	// turn counts the choices.
	choiceCount atomic.Uint64
	// began is the origin of the steady time that allowances count in.
	start            time.Time
	running          atomic.Int64
	closeConnections atomic.Bool
	// closed tells that new requests are refused: the planned stop is near.
	refusing atomic.Bool
	// homes, if set, are asked about contexts that other cells have at home. Set
	// before the first request.
	owners *Homes
	warmUp warmUpLimiter
	shares shareCache
	// waiters are the requests that wait for a token of a limited target.
	permitWaiters permitWaiters

	// chooseMu is held from a look at the targets until the choice is counted at one.
	chooseMu sync.Mutex

	budgetMu sync.Mutex
	// allowances bound repeated sends by service. Guarded by allowMu.
	retryBudgets map[string]*route.Allowance
	// rates are the worth of the requests that come for each service. Guarded by
	// allowMu.
	arrivalRates map[string]*learn.Rate
}

// New returns a relay that has no table yet.
func New(o Options) *Relay {
	if o.Placement == "" {
		o.Placement = route.Returning
	}
	if o.Canary == nil {
		o.Canary = &canary.Guard{}
	}
	return &Relay{options: o, start: time.Now(), retryBudgets: map[string]*route.Allowance{}, arrivalRates: map[string]*learn.Rate{}}
}

// SetTable puts a configuration in force. Running requests keep theirs.
func (rl *Relay) SetTable(t *table.Table) { rl.table.Store(t) }

// Table returns the configuration in force, or nil.
func (rl *Relay) Table() *table.Table { return rl.table.Load() }

// Running returns how many requests have not ended.
func (rl *Relay) Running() int64 { return rl.running.Load() }

// Close makes each answer the last one on its connection: a planned stop has
// begun.
func (rl *Relay) Close() { rl.closeConnections.Store(true) }

// Refuse makes the relay refuse new requests: the planned stop is about to end.
func (rl *Relay) Refuse() { rl.refusing.Store(true) }

// outageLeast is how much longer an outage of the platform's store is expected to
// last at least: they last for seconds.
const minOutage = time.Second

// unready returns how much longer the daemon is expected to know no configuration:
// as long as it has known none, and longer where the platform's store is out.
func (rl *Relay) notReadyFor() time.Duration {
	elapsed := time.Since(rl.start)
	if rl.options.StoreDown != nil && rl.options.StoreDown() {
		return max(elapsed, minOutage)
	}
	return elapsed
}

// divided reports whether the cells divide the targets of a service.
func (rl *Relay) sharded(service string) bool {
	return rl.options.Divided != nil && rl.options.Divided(service)
}

// lacks returns for how long a newer configuration has been lacking, if that is too
// long to handle anything by the one in force.
func (rl *Relay) configOverdue() time.Duration {
	if rl.options.Lacks == nil {
		return 0
	}
	return rl.options.Lacks()
}

// ServeHTTP answers one request.
func (rl *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rl.running.Add(1)
	defer rl.running.Add(-1)
	rl.options.Stats.Requests.Inc()
	if rl.closeConnections.Load() {
		w.Header().Set("Connection", "close")
	}
	p := &proxiedRequest{relay: rl, w: w, r: r, start: time.Now(), suspends: newSuspendDetector(), originDomain: rl.options.Domain, tried: map[string]int{}}
	refusal := p.admit()
	if refusal == nil {
		refusal = p.run()
	}
	p.finish(refusal)
}

// gone reports whether the caller has closed its connection.
func callerGone(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }
