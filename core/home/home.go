// Package home owns the duties that a daemon has for contexts, workers and
// links: it decides where the requests of its contexts go, follows workers'
// cache events and load, shares the links to stores, and moves kept context.
//
// It must not know of callers: a request comes to it as lengths and hashes.
// All that it knows is hints that may be lost with the daemon.
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

// Options of a home.
type Options struct {
	// Domain is this daemon's failure domain.
	Domain    string
	Placement route.Placement
	Conf      *conf.Store
	Fleet     *fleet.Fleet
	Log       *event.Log
	// Client reaches engines and stores.
	Client *http.Client
	// LoadPause is the time between readings of a worker's load.
	LoadPause time.Duration
	// Ended, if set, hears of runs of workers that ended, as their successors tell. It must
	// return at once.
	Ended func(run string)
}

// Home has the duties of one daemon.
type Home struct {
	o      Options
	index  cache.Index
	loads  loads
	links  links
	duties duties
	// exports are the contexts that wait to be exported.
	exports chan export
	turn    atomic.Uint64
	// configured sets began, when this daemon was first seen to have a configuration.
	configured sync.Once
	began      time.Time
	planned    atomic.Pointer[plan]
	warm       atomic.Bool // Warm was true once
	stats      Stats
	// storeMu guards storeDown.
	storeMu   sync.Mutex
	storeDown map[string]time.Time // until when a store is not asked
}

// Stats counts what a home did since it started.
type Stats struct {
	Placed, Imports, ImportedBlocks, ImportsRejected atomic.Int64
	Exports, ExportedBlocks, ExportsFailed           atomic.Int64
	LinkBytes                                        atomic.Int64
	// CacheLosses counts the contexts at home here of which a worker lost blocks.
	CacheLosses atomic.Int64
}

// maxExports bounds the exports that wait.
const maxExports = 256

// New returns a home and registers its messages with the fleet.
func New(o Options) *Home {
	h := &Home{o: o, loads: loads{ended: o.Ended}, exports: make(chan export, maxExports), storeDown: map[string]time.Time{}}
	h.duties.home = h
	m := o.Fleet.Mux()
	m.Register(kindPlace, wire.Handle(h.place))
	m.Register(kindDone, wire.Handle(h.done))
	m.Register(kindLost, wire.Handle(h.lost))
	m.Register(kindResynced, wire.Handle(h.resynced))
	m.Register(kindLinkAsk, wire.Handle(func(ctx context.Context, _ string, a *linkAsk) (linkTurn, error) {
		return h.links.ask(ctx, a)
	}))
	m.Register(kindLinkDone, wire.Handle(func(_ context.Context, _ string, d *linkDone) (struct{}, error) {
		h.links.end(d)
		return struct{}{}, nil
	}))
	o.Fleet.Attach("loads", &h.loads)
	o.Fleet.Attach("links", &h.links)
	return h
}

// Stats returns the counts; they go on counting.
func (h *Home) Stats() *Stats { return &h.stats }

// Contexts returns how many contexts are known here.
func (h *Home) Contexts() int { return h.index.Len() }

// Run has the duties until ctx ends.
func (h *Home) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for range exporters {
		wg.Go(func() { exporter{h}.run(ctx) })
	}
	h.duties.run(ctx)
	wg.Wait()
}

// homesAsked is how many daemons are asked before this one decides itself.
const homesAsked = 2

// Place finds a worker for a request, by asking the home of its context. Where
// the context's cell has no worker for it, the next cell counts.
func (h *Home) Place(ctx context.Context, view *fleet.View, a *Ask) (Answer, error) {
	root := a.Root().Short()
	none, last := Answer{}, errors.New("no daemon decided")
	for _, cell := range view.HomeCells(root) {
		ans, err := h.placeIn(ctx, view, cell, root, a)
		if err != nil {
			last = err
			continue
		}
		if ans.Verdict != route.NoWorker {
			return ans, nil
		}
		none, last = ans, nil
	}
	return none, last
}

// placeIn asks the daemons of one cell until one decides.
func (h *Home) placeIn(ctx context.Context, view *fleet.View, cell int, root uint64, a *Ask) (ans Answer, err error) {
	err = errors.Errorf("cell %d has no daemon", cell)
	for _, name := range view.Homes(cell, root, homesAsked) {
		if ctx.Err() != nil {
			return ans, errors.WithStack(ctx.Err())
		}
		if name == view.Self() {
			ans, err = h.place(ctx, name, a)
		} else {
			ans, err = h.askHome(ctx, name, a)
		}
		if err == nil {
			return ans, nil
		}
	}
	return ans, err
}

// homeLimit bounds the wait for one daemon's decision, with its import: a
// daemon that froze just now still counts as alive.
const (
	homeLimit = 3 * time.Second
	homeLeast = 300 * time.Millisecond
)

func (h *Home) askHome(ctx context.Context, name string, a *Ask) (Answer, error) {
	limit := homeLimit
	if a.Deadline > 0 {
		limit = min(limit, max(homeLeast, a.Deadline/2))
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var ans Answer
	return ans, h.o.Fleet.Call(ctx, name, kindPlace, a, &ans)
}

// tellLimit bounds a notice to the home of a context.
const tellLimit = 2 * time.Second

// Finish tells the home of a context how a request ended.
func (h *Home) Finish(view *fleet.View, home string, d *Done) {
	ctx, cancel := context.WithTimeout(context.Background(), tellLimit)
	defer cancel()
	if home == view.Self() || home == "" {
		h.done(ctx, home, d)
		return
	}
	// A lost notice costs a hint, nothing else.
	_ = h.o.Fleet.Notify(ctx, home, kindDone, d)
}

var errNotWarm = errors.New("the daemon has not heard of all workers yet")

// place decides about a request whose context is at home here.
func (h *Home) place(ctx context.Context, _ string, a *Ask) (Answer, error) {
	switch {
	case len(a.Chain) > maxChain:
		return Answer{}, errors.New("chain is too long")
	case !h.Warm():
		// The asker goes to the next daemon, which knows the workers.
		return Answer{}, errNotWarm
	}
	snap, view, now := h.o.Conf.Snapshot(), h.o.Fleet.View(), time.Now()
	root, shorts := a.Root(), cache.Shorts(a.Chain)
	pos := h.index.Find(root.Short(), shorts)
	found := h.look(ctx, snap, view, a, root, &pos)
	workers, blockBytes := h.candidates(snap, view, a, pos, now)
	d := route.Place(h.o.Placement, h.request(a, root), workers, h.kept(snap, pos, blockBytes))
	ans := Answer{
		Verdict: d.Verdict, Worker: d.Chosen.Worker, Expected: d.Chosen.Expected,
		RetryAfter: d.RetryAfter, Weighed: d.Weighed, Home: view.Self(),
	}
	if d.Verdict != route.Placed {
		return ans, nil
	}
	ans.Boot = h.loads.boot(ans.Worker)
	h.stats.Placed.Add(1)
	h.loads.place(d.Chosen.Worker, placed{
		request: a.Request, tokens: d.Chosen.Recomputed, blocks: len(a.Chain), priority: a.Priority, at: now,
	})
	for _, w := range workers {
		if w.Name == ans.Worker {
			ans.Held = w.Held
		}
	}
	if d.Chosen.Import.Blocks() > 0 {
		h.fetch(ctx, snap, a, root, found, d.Chosen.Import, &ans)
	}
	return ans, nil
}

// maxChain bounds the blocks of one prompt.
const maxChain = 1 << 16

func (h *Home) request(a *Ask, root cache.Hash) route.Request {
	return route.Request{
		Tokens: a.Tokens, Blocks: len(a.Chain), BlockTokens: cache.BlockTokens,
		Deadline: a.Deadline, Prices: a.Prices, Context: fleet.Key(root.String()),
		Turn: h.turn.Add(1), Chance: rand.Float64(),
	}
}

// distance is the one-way time to a target by failure domain, until measured.
func distance(same bool) time.Duration {
	if same {
		return 100 * time.Microsecond
	}
	return time.Millisecond
}

// candidates returns the workers that may answer, and the size of a block.
func (h *Home) candidates(snap *conf.Snapshot, view *fleet.View, a *Ask, pos cache.Position, now time.Time) ([]route.Worker, int64) {
	var out []route.Worker
	blockBytes := int64(0)
	weights := Weights(a.Salt)
	for _, name := range h.engines(snap, view, a) {
		load, ok := h.loads.load(name, a.Priority, now)
		if !ok || !slices.Contains(load.Holds, weights) {
			continue
		}
		t := snap.Target(name)
		w := route.Worker{
			Name: name, QueuedTokens: load.waiting, Room: max(1, load.room), Running: load.Running, Speed: float64(load.Speed),
			Distance: distance(t.Domain == h.o.Domain),
		}
		if w.Speed == 0 {
			w.Speed = t.Prefill()
		}
		for _, held := range pos.Holdings {
			if held.Worker == name {
				w.Held = held.Blocks
			}
		}
		blockBytes = max(blockBytes, int64(load.BlockBytes))
		out = append(out, w)
	}
	return out, blockBytes
}

// Weights names loaded weights as load reports do.
func Weights(s cache.Salt) string {
	name := s.Model + "@" + s.WeightVersion
	if s.Adapter != "" {
		name += "+" + s.Adapter
	}
	return name
}

// engines returns the workers of the cell that the request may use.
func (h *Home) engines(snap *conf.Snapshot, view *fleet.View, a *Ask) []string {
	all := h.plan(snap, view).usable[a.Deployment]
	if len(a.Exclude)+len(a.Targets) == 0 {
		return all
	}
	var out []string
	for _, name := range all {
		if !slices.Contains(a.Exclude, name) && (len(a.Targets) == 0 || slices.Contains(a.Targets, name)) {
			out = append(out, name)
		}
	}
	return out
}

// Ready returns how many live workers of a deployment hold the weights, of how
// many, over the whole cell.
func (h *Home) Ready(snap *conf.Snapshot, view *fleet.View, deployment string, s cache.Salt) (ready, total int) {
	names := h.engines(snap, view, &Ask{Deployment: deployment})
	return h.loads.holds(names, Weights(s), time.Now())
}

// Versions returns the weight versions of a model that live workers hold.
func (h *Home) Versions(snap *conf.Snapshot, view *fleet.View, deployment, model string) []string {
	var out []string
	now := time.Now()
	for _, name := range h.engines(snap, view, &Ask{Deployment: deployment}) {
		load, ok := h.loads.load(name, 0, now)
		if !ok {
			continue
		}
		for _, held := range load.Holds {
			if v, ok := versionOf(held, model); ok && !slices.Contains(out, v) {
				out = append(out, v)
			}
		}
	}
	return out
}

func versionOf(held, model string) (string, bool) {
	if len(held) <= len(model) || held[:len(model)] != model || held[len(model)] != '@' {
		return "", false
	}
	v := held[len(model)+1:]
	for _, c := range v {
		if c == '+' {
			return "", false
		}
	}
	return v, true
}

// done takes how a request ended.
func (h *Home) done(_ context.Context, _ string, d *Done) (struct{}, error) {
	now := time.Now()
	h.loads.done(d.Worker, d.Request)
	if d.Failed {
		h.loads.fail(d.Worker, now)
		return struct{}{}, nil
	}
	if !d.Prefilled || len(d.Chain) == 0 || len(d.Chain) > maxChain {
		return struct{}{}, nil
	}
	root, shorts := cache.Root(d.Salt.Seed(), d.Chain, d.Roots), cache.Shorts(d.Chain)
	h.index.Held(root.Short(), shorts, d.Worker, len(d.Chain), now)
	if h.o.Placement.Exports() && len(d.Chain) >= d.ExportFrom {
		h.wishExport(export{root: root, salt: d.Salt, chain: d.Chain, worker: d.Worker})
	}
	return struct{}{}, nil
}

// lost takes what a worker no longer holds.
func (h *Home) lost(_ context.Context, _ string, m *marks) (struct{}, error) {
	h.index.Lose(m.Worker, m.Marks)
	h.stats.CacheLosses.Add(int64(len(m.Marks)))
	return struct{}{}, nil
}

// resynced takes what a worker holds after a gap in its events.
func (h *Home) resynced(_ context.Context, _ string, m *marks) (struct{}, error) {
	h.index.Resync(m.Worker, m.Marks)
	return struct{}{}, nil
}

func (h *Home) engine(t *conf.Target) *target.Engine { return target.NewEngine(t.URL, h.o.Client) }
func (h *Home) store(t *conf.Target) *target.Store   { return target.NewStore(t.URL, h.o.Client) }

// tell sends marks to a daemon; where they are lost, requests find out.
func (h *Home) tell(name string, kind wire.Kind, m *marks) {
	ctx, cancel := context.WithTimeout(context.Background(), tellLimit)
	defer cancel()
	switch {
	case name != h.o.Fleet.View().Self():
		_ = h.o.Fleet.Notify(ctx, name, kind, m)
	case kind == kindLost:
		_, _ = h.lost(ctx, name, m)
	default:
		_, _ = h.resynced(ctx, name, m)
	}
}

// warmLimit is how long a new daemon that has a configuration waits to hear of the
// workers.
const warmLimit = 5 * time.Second

// Warm reports whether enough is known of the workers to place requests: of
// all that may be used a load is known, or they had the time to tell it.
func (h *Home) Warm() bool {
	if h.warm.Load() {
		return true
	}
	if !h.o.Conf.Loaded() {
		// No worker is named yet, which is not the same as none being there.
		return false
	}
	snap, view, now := h.o.Conf.Snapshot(), h.o.Fleet.View(), time.Now()
	h.configured.Do(func() { h.began = now })
	if now.Sub(h.began) < warmLimit {
		for _, name := range h.plan(snap, view).workers {
			if _, ok := h.loads.load(name, 0, now); !ok && view.Usable(name, snap.Target(name)) {
				return false
			}
		}
	}
	h.warm.Store(true)
	return true
}

// WorkerStatus is what is known of a worker, for operators.
type WorkerStatus struct {
	Queued  int
	Running int
	Free    int
	Total   int
	Holds   []string
	Loading bool
}

// Worker returns what is known of a worker, or false where nothing is fresh.
func (h *Home) Worker(name string) (WorkerStatus, bool) {
	l, ok := h.loads.load(name, 0, time.Now())
	return WorkerStatus{l.waiting, l.Running, l.Free, l.Total, l.Holds, l.Loading}, ok
}

// LinkStatus returns the backlog in bytes and the rate in bytes a second of a
// store's link.
func (h *Home) LinkStatus(store string, t *conf.Target) (backlog int64, rate float64) {
	return h.links.state(store, t.Link())
}
