// Package home owns the work that is assigned to a daemon for contexts, workers and links.
// As the context owner it decides where requests of a context go. It follows workers' cache
// events and load, schedules the links to stores, and imports and exports blocks of cached
// contexts.
//
// It must not know callers: it receives a request as lengths and hashes. All of its state is
// hints that may be lost with the daemon.
package home

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/cache"
	"embertally.dev/core/conf"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/route"
	"embertally.dev/core/target"
	"embertally.dev/core/wire"
)

// Options configures an Owner.
type Options struct {
	// Domain is this daemon's failure domain.
	Domain    string
	Placement route.Placement
	Conf      *conf.Store
	Fleet     *fleet.Fleet
	Log       *event.Log
	// Client reaches engines and stores.
	Client *http.Client
	// LoadInterval is the interval at which a worker's load is read.
	LoadInterval time.Duration
	// IncarnationReplaced, if set, is called with the name of a worker incarnation when a report
	// shows that another one has replaced it. It must not block.
	IncarnationReplaced func(incarnation string)
}

// Owner does the assigned work of one daemon.
type Owner struct {
	o           Options
	index       cache.Index
	loads       loads
	links       links
	assignments assignments
	// exports are the contexts queued for export.
	exports chan export
	// roundRobin counts requests for round-robin placement.
	roundRobin atomic.Uint64
	// configured sets configuredAt once, when this daemon is first seen to have a
	// configuration.
	configured    sync.Once
	configuredAt  time.Time
	cachedTargets atomic.Pointer[cellTargets]
	warmedUp      atomic.Bool // set once WarmedUp has returned true
	stats         Stats
	// storeMu guards downUntil.
	storeMu   sync.Mutex
	downUntil map[string]time.Time // by store; no queries are sent until then
}

// Stats counts events since the daemon started.
type Stats struct {
	Placed, Imports, ImportedBlocks, ImportsRejected atomic.Int64
	Exports, ExportedBlocks, ExportsFailed           atomic.Int64
	LinkBytes                                        atomic.Int64
	// CacheLosses counts contexts owned here of which a worker lost blocks.
	CacheLosses atomic.Int64
}

// maxExports bounds the export queue.
const maxExports = 256

// New returns an Owner and registers its messages with the fleet.
func New(o Options) *Owner {
	h := &Owner{
		o: o, loads: loads{onReplaced: o.IncarnationReplaced},
		exports: make(chan export, maxExports), downUntil: map[string]time.Time{},
	}
	h.assignments.owner = h
	m := o.Fleet.Mux()
	m.Register(kindPlace, wire.Handle(h.place))
	m.Register(kindOutcome, wire.Handle(h.recordOutcome))
	m.Register(kindLost, wire.Handle(h.recordLost))
	m.Register(kindResynced, wire.Handle(h.recordResynced))
	m.Register(kindLinkRequest, wire.Handle(func(ctx context.Context, _ string, req *linkRequest) (linkGrant, error) {
		return h.links.acquire(ctx, req)
	}))
	m.Register(kindLinkRelease, wire.Handle(func(_ context.Context, _ string, d *linkRelease) (struct{}, error) {
		h.links.release(d)
		return struct{}{}, nil
	}))
	o.Fleet.Attach("loads", &h.loads)
	o.Fleet.Attach("links", &h.links)
	return h
}

// Stats returns the live counters.
func (h *Owner) Stats() *Stats { return &h.stats }

// Contexts returns the number of contexts recorded here.
func (h *Owner) Contexts() int { return h.index.Len() }

// Run does the assigned work until ctx ends.
func (h *Owner) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for range exporters {
		wg.Go(func() { exporter{h}.run(ctx) })
	}
	h.assignments.run(ctx)
	wg.Wait()
}

// maxOwnersQueried is how many daemons of a cell are queried, in rank order, until one
// decides.
const maxOwnersQueried = 2

// Place finds a worker for a request by querying the context owner. If the context's cell
// has no worker for it, the next cell is tried.
func (h *Owner) Place(ctx context.Context, view *fleet.View, req *PlacementRequest) (PlacementResult, error) {
	root := req.Root().Short()
	noWorker, lastErr := PlacementResult{}, errors.New("no daemon placed the request")
	for _, cell := range view.OwnerCells(root) {
		ans, err := h.placeInCell(ctx, view, cell, root, req)
		if err != nil {
			lastErr = err
			continue
		}
		if ans.Verdict != route.NoWorker {
			return ans, nil
		}
		noWorker, lastErr = ans, nil
	}
	return noWorker, lastErr
}

// placeInCell queries the daemons of one cell until one decides.
func (h *Owner) placeInCell(ctx context.Context, view *fleet.View, cell int, root uint64, req *PlacementRequest) (ans PlacementResult, err error) {
	err = errors.Errorf("cell %d has no daemon", cell)
	for _, name := range view.Owners(cell, root, maxOwnersQueried) {
		if ctx.Err() != nil {
			return ans, errors.WithStack(ctx.Err())
		}
		if name == view.Self() {
			ans, err = h.place(ctx, name, req)
		} else {
			ans, err = h.callOwner(ctx, name, req)
		}
		if err == nil {
			return ans, nil
		}
	}
	return ans, err
}

// The wait for one daemon's decision, including an import, is bounded because a daemon that
// has just stopped responding still counts as live.
const (
	ownerTimeout    = 3 * time.Second
	minOwnerTimeout = 300 * time.Millisecond
)

// callOwner sends the request to a remote daemon. It waits for up to half of the time that
// remains until the deadline, within the bounds above.
func (h *Owner) callOwner(ctx context.Context, name string, req *PlacementRequest) (PlacementResult, error) {
	timeout := ownerTimeout
	if req.Deadline > 0 {
		timeout = min(timeout, max(minOwnerTimeout, req.Deadline/2))
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var ans PlacementResult
	return ans, h.o.Fleet.Call(ctx, name, kindPlace, req, &ans)
}

// notifyTimeout bounds a notification to another daemon.
const notifyTimeout = 2 * time.Second

// ReportOutcome reports the outcome of a request to the context owner.
func (h *Owner) ReportOutcome(view *fleet.View, owner string, d *Outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	if owner == view.Self() || owner == "" {
		h.recordOutcome(ctx, owner, d)
		return
	}
	// A lost notification only costs a hint.
	_ = h.o.Fleet.Notify(ctx, owner, kindOutcome, d)
}

var errNotWarmedUp = errors.New("the daemon has not received the load of all workers yet")

// place decides about a request whose context is owned here.
func (h *Owner) place(ctx context.Context, _ string, req *PlacementRequest) (PlacementResult, error) {
	switch {
	case len(req.Chain) > maxChain:
		return PlacementResult{}, errors.New("prompt has too many blocks")
	case !h.WarmedUp():
		// The sender tries the next daemon, which may have the load of the workers.
		return PlacementResult{}, errNotWarmedUp
	}
	snap, view, now := h.o.Conf.Snapshot(), h.o.Fleet.View(), time.Now()
	root, shorts := req.Root(), cache.Shorts(req.Chain)
	state := h.index.Find(root.Short(), shorts)
	found := h.queryStores(ctx, snap, view, req, root, &state)
	workers, blockBytes := h.candidates(snap, view, req, state, now)
	d := route.Place(h.o.Placement, h.request(req, root), workers, h.importSources(snap, state, blockBytes))
	ans := PlacementResult{
		Verdict: d.Verdict, Worker: d.Chosen.Worker, Expected: d.Chosen.Expected,
		RetryAfter: d.RetryAfter, Options: d.Cheapest, Owner: view.Self(),
	}
	if d.Verdict != route.Placed {
		return ans, nil
	}
	ans.WorkerIncarnation = h.loads.incarnation(ans.Worker)
	h.stats.Placed.Add(1)
	h.loads.addPending(d.Chosen.Worker, pendingRequest{
		request: req.Request, tokens: d.Chosen.Recomputed, blocks: len(req.Chain), priority: req.Priority, at: now,
	})
	for _, w := range workers {
		if w.Name == ans.Worker {
			ans.CachedBlocks = w.CachedBlocks
		}
	}
	if d.Chosen.Import.Blocks() > 0 {
		h.importContext(ctx, snap, req, root, found, d.Chosen.Import, &ans)
	}
	return ans, nil
}

// maxChain is the maximum number of blocks of one prompt.
const maxChain = 1 << 16

// request returns req in the form that route.Place expects.
func (h *Owner) request(req *PlacementRequest, root cache.Hash) route.Request {
	return route.Request{
		Tokens: req.Tokens, Blocks: len(req.Chain), BlockTokens: cache.BlockTokens,
		Deadline: req.Deadline, Weights: req.Costs, ContextHash: fleet.Key(root.String()),
		Turn: h.roundRobin.Add(1), Random: rand.Float64(),
	}
}

// oneWayLatency returns the assumed one-way latency to a target in the same or another failure
// domain.
func oneWayLatency(sameDomain bool) time.Duration {
	if sameDomain {
		return 100 * time.Microsecond
	}
	return time.Millisecond
}

// candidates returns the workers that may serve the request, and the size of a block in
// bytes.
func (h *Owner) candidates(snap *conf.Snapshot, view *fleet.View, req *PlacementRequest, state cache.ContextState, now time.Time) ([]route.Worker, int64) {
	var out []route.Worker
	blockBytes := int64(0)
	weights := WeightsName(req.Salt)
	for _, name := range h.engines(snap, view, req) {
		load, ok := h.loads.load(name, req.Priority, now)
		if !ok || !slices.Contains(load.Weights, weights) {
			continue
		}
		t := snap.Target(name)
		w := route.Worker{
			Name: name, QueuedTokens: load.tokensAhead, FreeBlocks: max(1, load.availableBlocks),
			Running: load.Running, PrefillPerSecond: float64(load.Speed),
			OneWayLatency: oneWayLatency(t.Domain == h.o.Domain),
		}
		if w.PrefillPerSecond == 0 {
			w.PrefillPerSecond = t.PrefillSpeed()
		}
		for _, cached := range state.Workers {
			if cached.Worker == name {
				w.CachedBlocks = cached.Blocks
			}
		}
		blockBytes = max(blockBytes, int64(load.BlockBytes))
		out = append(out, w)
	}
	return out, blockBytes
}

// WeightsName returns the name of loaded weights as used in load reports: "model@version", with
// "+adapter" if there is one.
func WeightsName(s cache.Salt) string {
	name := s.Model + "@" + s.WeightVersion
	if s.Adapter != "" {
		name += "+" + s.Adapter
	}
	return name
}

// engines returns the names of the cell's workers that the request may use.
func (h *Owner) engines(snap *conf.Snapshot, view *fleet.View, req *PlacementRequest) []string {
	all := h.targets(snap, view).usable[req.Deployment]
	if len(req.Exclude)+len(req.Targets) == 0 {
		return all
	}
	var out []string
	for _, name := range all {
		if !slices.Contains(req.Exclude, name) && (len(req.Targets) == 0 || slices.Contains(req.Targets, name)) {
			out = append(out, name)
		}
	}
	return out
}

// Ready returns how many live workers of a deployment in this cell have the weights loaded,
// and how many there are in total.
func (h *Owner) Ready(snap *conf.Snapshot, view *fleet.View, deployment string, s cache.Salt) (ready, total int) {
	names := h.engines(snap, view, &PlacementRequest{Deployment: deployment})
	return h.loads.ready(names, WeightsName(s), time.Now())
}

// Versions returns the weight versions of a model that live workers have loaded.
func (h *Owner) Versions(snap *conf.Snapshot, view *fleet.View, deployment, model string) []string {
	var out []string
	now := time.Now()
	for _, name := range h.engines(snap, view, &PlacementRequest{Deployment: deployment}) {
		load, ok := h.loads.load(name, 0, now)
		if !ok {
			continue
		}
		for _, weights := range load.Weights {
			if v, ok := versionOf(weights, model); ok && !slices.Contains(out, v) {
				out = append(out, v)
			}
		}
	}
	return out
}

// versionOf returns the version in the name of loaded weights. It returns false if they are
// of another model or have an adapter.
func versionOf(weights, model string) (string, bool) {
	if len(weights) <= len(model) || weights[:len(model)] != model || weights[len(model)] != '@' {
		return "", false
	}
	v := weights[len(model)+1:]
	for _, c := range v {
		if c == '+' {
			return "", false
		}
	}
	return v, true
}

// recordOutcome handles the outcome of a request.
func (h *Owner) recordOutcome(_ context.Context, _ string, d *Outcome) (struct{}, error) {
	now := time.Now()
	h.loads.removePending(d.Worker, d.Request)
	if d.Failed {
		h.loads.markFailed(d.Worker, now)
		return struct{}{}, nil
	}
	if !d.Prefilled || len(d.Chain) == 0 || len(d.Chain) > maxChain {
		return struct{}{}, nil
	}
	root, shorts := cache.Root(d.Salt.Seed(), d.Chain, d.RootBlocks), cache.Shorts(d.Chain)
	h.index.SetWorkerBlocks(root.Short(), shorts, d.Worker, len(d.Chain), now)
	if h.o.Placement.Exports() && len(d.Chain) >= d.ExportFrom {
		h.enqueueExport(export{root: root, salt: d.Salt, chain: d.Chain, worker: d.Worker})
	}
	return struct{}{}, nil
}

// recordLost handles blocks that a worker no longer holds.
func (h *Owner) recordLost(_ context.Context, _ string, n *blockNotice) (struct{}, error) {
	h.index.RemoveWorkerBlocks(n.Worker, n.Blocks)
	h.stats.CacheLosses.Add(int64(len(n.Blocks)))
	return struct{}{}, nil
}

// recordResynced handles the full contents that a worker holds after a gap in its events.
func (h *Owner) recordResynced(_ context.Context, _ string, n *blockNotice) (struct{}, error) {
	h.index.ReplaceWorkerBlocks(n.Worker, n.Blocks)
	return struct{}{}, nil
}

func (h *Owner) engine(t *conf.Target) *target.Engine { return target.NewEngine(t.URL, h.o.Client) }
func (h *Owner) store(t *conf.Target) *target.Store   { return target.NewStore(t.URL, h.o.Client) }

// notifyBlocks sends a block notice to a daemon. If the notice is lost, the recorded blocks
// stay wrong until a request finds out.
func (h *Owner) notifyBlocks(name string, kind wire.Kind, n *blockNotice) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	switch {
	case name != h.o.Fleet.View().Self():
		_ = h.o.Fleet.Notify(ctx, name, kind, n)
	case kind == kindLost:
		_, _ = h.recordLost(ctx, name, n)
	default:
		_, _ = h.recordResynced(ctx, name, n)
	}
}

// warmUpTimeout is how long a new daemon that has a configuration waits for reports of the
// workers.
const warmUpTimeout = 5 * time.Second

// WarmedUp reports whether the load of enough workers is known to place requests: every usable
// worker has reported, or warmUpTimeout has passed.
func (h *Owner) WarmedUp() bool {
	if h.warmedUp.Load() {
		return true
	}
	if !h.o.Conf.Loaded() {
		// Without a configuration no worker is known, which does not mean that there is
		// none.
		return false
	}
	snap, view, now := h.o.Conf.Snapshot(), h.o.Fleet.View(), time.Now()
	h.configured.Do(func() { h.configuredAt = now })
	if now.Sub(h.configuredAt) < warmUpTimeout {
		for _, name := range h.targets(snap, view).workers {
			if _, ok := h.loads.load(name, 0, now); !ok && view.Usable(name, snap.Target(name)) {
				return false
			}
		}
	}
	h.warmedUp.Store(true)
	return true
}

// WorkerStatus is the recent state of a worker, for operators. QueuedTokens counts prompt tokens,
// Running requests, FreeBlocks and TotalBlocks KV-cache blocks; LoadedWeights names the loaded weights. Age is the time
// since the worker reported it.
type WorkerStatus struct {
	QueuedTokens  int
	Running       int
	FreeBlocks    int
	TotalBlocks   int
	LoadedWeights []string
	Loading       bool
	Age           time.Duration
}

// WorkerStatus returns the state of a worker, or false if there is no recent report.
func (h *Owner) WorkerStatus(name string) (WorkerStatus, bool) {
	now := time.Now()
	l, ok := h.loads.load(name, 0, now)
	return WorkerStatus{l.tokensAhead, l.Running, l.Free, l.Total, l.Weights, l.Loading, now.Sub(l.takenAt)}, ok
}

// LinkStatus returns the backlog of a store's link in bytes and its rate in bytes per
// second.
func (h *Owner) LinkStatus(store string, t *conf.Target) (backlog int64, rate float64) {
	return h.links.state(store, t.LinkCapacity())
}
