package home

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/cache"
	"embertally.dev/core/conf"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/route"
	"embertally.dev/core/target"
)

// manifests are the manifests found for a request, by store.
type manifests map[string]*target.Manifest

// stores returns the stores of the cell in the order in which a context is placed on them.
// Every daemon computes the same order, so a stored context is found without an index.
func (h *Owner) stores(snap *conf.Snapshot, view *fleet.View, root cache.Hash) []string {
	return fleet.Rank(root.Short(), h.targets(snap, view).stores)
}

// maxStoresQueried bounds the stores that are queried for one context.
const maxStoresQueried = 2

// queryStores queries the stores for a context, unless they have been queried already. It
// adds what they hold to state.
func (h *Owner) queryStores(ctx context.Context, snap *conf.Snapshot, view *fleet.View, req *PlacementRequest, root cache.Hash, state *cache.ContextState) manifests {
	d := snap.Deployment(req.Deployment)
	if state.StoresQueried || !h.o.Placement.Exports() || d == nil || len(req.Chain) < d.MinExportBlocksOrDefault() {
		return nil
	}
	names := h.stores(snap, view, root)
	names = names[:min(len(names), maxStoresQueried)]
	found := make([]*target.Manifest, len(names))
	failed := make([]bool, len(names))
	var wg sync.WaitGroup
	for i, name := range names {
		if h.isDown(name) {
			failed[i] = true
			continue
		}
		wg.Go(func() {
			m, err := h.store(snap.Target(name)).Manifest(ctx, root)
			found[i], failed[i] = m, err != nil
			if err != nil && ctx.Err() == nil {
				h.markDown(name)
			}
		})
	}
	wg.Wait()
	now, shorts, out := time.Now(), cache.Shorts(req.Chain), manifests{}
	for i, m := range found {
		if failed[i] {
			continue
		}
		n := matchingBlocks(m, req)
		h.index.SetStoreBlocks(root.Short(), shorts, names[i], n, now)
		if n > 0 {
			out[names[i]] = m
			state.Stores = append(state.Stores, cache.StoreBlocks{Store: names[i], Blocks: n})
		}
	}
	return out
}

// matchingBlocks returns how many first blocks of the chain a manifest lists. It is zero for
// a manifest of another organisation, model, weight version or adapter.
func matchingBlocks(m *target.Manifest, req *PlacementRequest) int {
	if m == nil || m.Salt != req.Salt {
		return 0
	}
	n := min(len(m.Blocks), len(req.Chain))
	for i := range n {
		if m.Blocks[i].Hash != req.Chain[i] {
			return i
		}
	}
	return n
}

// storeRetryDelay is how long a store that failed is not queried.
const storeRetryDelay = 2 * time.Second

// markDown records that a store failed.
func (h *Owner) markDown(store string) {
	h.storeMu.Lock()
	defer h.storeMu.Unlock()
	h.downUntil[store] = time.Now().Add(storeRetryDelay)
}

// isDown reports whether a store failed within storeRetryDelay.
func (h *Owner) isDown(store string) bool {
	h.storeMu.Lock()
	defer h.storeMu.Unlock()
	return time.Now().Before(h.downUntil[store])
}

// storeLatency is the assumed delay before the first byte from a store.
const storeLatency = 3 * time.Millisecond

// importSources returns the stores that hold blocks of the context, in the form that
// route.Place expects.
func (h *Owner) importSources(snap *conf.Snapshot, state cache.ContextState, blockBytes int64) []route.StoredContext {
	var out []route.StoredContext
	for _, k := range state.Stores {
		t := snap.Target(k.Store)
		if t == nil || h.isDown(k.Store) {
			continue
		}
		backlog, rate := h.links.state(k.Store, t.LinkCapacity())
		out = append(out, route.StoredContext{
			Store: k.Store, Blocks: k.Blocks, BlockBytes: blockBytes,
			LinkBytesPerSecond: rate, BacklogBytes: backlog, Latency: storeLatency,
		})
	}
	return out
}

// importContext makes the chosen worker read blocks from a store and records the result.
// After a failure the worker computes the blocks again.
func (h *Owner) importContext(ctx context.Context, snap *conf.Snapshot, req *PlacementRequest, root cache.Hash, found manifests, imp route.Import, ans *PlacementResult) {
	ref := event.Ref{
		Request: req.Request, Context: root.String(), Organisation: req.Salt.Organisation,
		Target: ans.Worker,
	}
	n, bytes, err := h.importBlocks(ctx, snap, req, root, found[imp.Store], imp, ans.Worker)
	h.stats.LinkBytes.Add(bytes)
	ans.LinkBytes = bytes
	if err != nil {
		h.stats.ImportsRejected.Add(1)
		h.o.Log.Emit(event.ImportRejected, ref, imp.Store+": "+err.Error())
	}
	if n == 0 {
		return
	}
	ans.ImportedBlocks = n
	h.stats.Imports.Add(1)
	h.stats.ImportedBlocks.Add(int64(n))
	h.index.SetWorkerBlocks(root.Short(), cache.Shorts(req.Chain), ans.Worker, imp.From+n, time.Now())
	h.o.Log.Emit(event.ContextImported, ref, fmt.Sprintf("%d blocks, %d bytes from %s", n, bytes, imp.Store))
}

// importBlocks makes a worker read blocks from a store and returns how many were committed
// and how many bytes were moved.
func (h *Owner) importBlocks(ctx context.Context, snap *conf.Snapshot, req *PlacementRequest, root cache.Hash, m *target.Manifest, imp route.Import, worker string) (int, int64, error) {
	st := snap.Target(imp.Store)
	if m == nil {
		var err error
		m, err = h.store(st).Manifest(ctx, root)
		if err != nil {
			h.markDown(imp.Store)
			return 0, 0, err
		}
	}
	to := min(imp.To, matchingBlocks(m, req))
	if to <= imp.From {
		h.index.SetStoreBlocks(root.Short(), cache.Shorts(req.Chain), imp.Store, to, time.Now())
		return 0, 0, errors.New("the store no longer holds the context")
	}
	parent := req.seed()
	if imp.From > 0 {
		parent = req.Chain[imp.From-1]
	}
	want := m.Blocks[imp.From:to]
	release, err := h.acquireLink(ctx, imp.Store, req.Salt.Organisation, int64(len(want)*h.blockBytes(worker)), true)
	if err != nil {
		return 0, 0, err
	}
	start := time.Now()
	e := h.engine(snap.Target(worker))
	staged, err := e.Import(ctx, st.URL, parent, want)
	release(staged.Bytes, time.Since(start))
	if err != nil {
		h.markDown(imp.Store)
		return 0, 0, err
	}
	return h.commit(ctx, e, req, root, imp, want, staged)
}

// commit compares the blocks that the worker read with the manifest and commits those before
// the first mismatch.
func (h *Owner) commit(ctx context.Context, e *target.Engine, req *PlacementRequest, root cache.Hash, imp route.Import, want []target.Block, staged target.ImportResult) (int, int64, error) {
	verified := 0
	for verified < min(len(staged.Blocks), len(want)) && staged.Blocks[verified] == want[verified] {
		verified++
	}
	err := e.Commit(ctx, staged.ID, verified)
	if err != nil {
		return 0, staged.Bytes, err
	}
	if verified < len(want) {
		h.index.SetStoreBlocks(root.Short(), cache.Shorts(req.Chain), imp.Store, imp.From+verified, time.Now())
		err = errors.Errorf("%d of %d blocks differ from the manifest", len(want)-verified, len(want))
	}
	return verified, staged.Bytes, err
}

// blockBytes returns the size of a block on a worker, or 0 if there is no recent report.
func (h *Owner) blockBytes(worker string) int {
	load, _ := h.loads.load(worker, 0, time.Now())
	return load.BlockBytes
}

// Bounds of the wait for a link.
const (
	importLinkTimeout = 2 * time.Second
	exportLinkTimeout = 60 * time.Second
)

// acquireLink waits for a link and returns the function that releases it. waiting means that
// a caller waits for the transfer: it goes ahead if the link's scheduler does not respond,
// while an export does not.
func (h *Owner) acquireLink(ctx context.Context, store, organisation string, bytes int64, waiting bool) (release func(int64, time.Duration), err error) {
	timeout := exportLinkTimeout
	if waiting {
		timeout = importLinkTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	view := h.o.Fleet.View()
	name := view.Assignee(fleet.Key("link/" + store))
	req := &linkRequest{Store: store, Organisation: organisation, Bytes: bytes, Waiting: waiting}
	if name == view.Self() || name == "" {
		grant, err := h.links.acquire(ctx, req)
		if err != nil {
			return nil, err
		}
		return func(n int64, took time.Duration) {
			h.links.release(&linkRelease{Store: store, ID: grant.ID, Bytes: n, Took: took})
		}, nil
	}
	var grant linkGrant
	if err := h.o.Fleet.Call(ctx, name, kindLinkRequest, req, &grant); err != nil {
		if waiting && ctx.Err() == nil {
			return func(int64, time.Duration) {}, nil
		}
		return nil, err
	}
	return func(n int64, took time.Duration) {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		// If the notification is lost, the scheduler ends the transfer after grantTimeout.
		_ = h.o.Fleet.Notify(ctx, name, kindLinkRelease,
			&linkRelease{Store: store, ID: grant.ID, Bytes: n, Took: took})
	}, nil
}

// export is a context that may be written to a store, and the worker that holds it.
type export struct {
	root   cache.Hash
	salt   cache.Salt
	chain  []cache.Hash
	worker string
}

// exporters is the number of concurrent exports of a daemon.
const exporters = 2

// enqueueExport queues an export, unless one of the context is running or queued, a store
// holds the context already, or the queue is full.
func (h *Owner) enqueueExport(x export) {
	if !h.index.BeginExport(x.root.Short(), len(x.chain)) {
		return
	}
	select {
	case h.exports <- x:
	default:
		h.index.EndExport(x.root.Short())
	}
}

// exporter writes contexts to stores, one at a time.
type exporter struct{ *Owner }

// run handles queued exports until ctx ends.
func (e exporter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case x := <-e.exports:
			e.handle(ctx, x)
		}
	}
}

// exportTimeout bounds one export.
const exportTimeout = 90 * time.Second

// handle runs one export and logs its result.
func (e exporter) handle(ctx context.Context, x export) {
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	defer e.index.EndExport(x.root.Short())
	ref := event.Ref{Context: x.root.String(), Organisation: x.salt.Organisation, Target: x.worker}
	store, n, err := e.write(ctx, x)
	if err != nil {
		e.stats.ExportsFailed.Add(1)
		e.o.Log.Emit(event.ExportFailed, ref, err.Error())
		return
	}
	if n > 0 {
		e.stats.Exports.Add(1)
		e.stats.ExportedBlocks.Add(int64(n))
		e.o.Log.Emit(event.ContextExported, ref, fmt.Sprintf("%d blocks to %s", n, store))
	}
}

// write exports the blocks of a context that are missing in the first store that is not
// down.
func (e exporter) write(ctx context.Context, x export) (store string, written int, err error) {
	snap, view := e.o.Conf.Snapshot(), e.o.Fleet.View()
	worker := snap.Target(x.worker)
	if worker == nil {
		return "", 0, errors.New("the worker is no longer configured")
	}
	for _, name := range e.stores(snap, view, x.root) {
		if e.isDown(name) {
			continue
		}
		n, err := e.writeTo(ctx, x, name, snap.Target(name), e.engine(worker))
		return name, n, err
	}
	return "", 0, errors.New("no store is available")
}

// writeTo exports the blocks that one store lacks, and returns how many it wrote.
func (e exporter) writeTo(ctx context.Context, x export, name string, t *conf.Target, eng *target.Engine) (int, error) {
	st := e.store(t)
	manifest, err := st.Manifest(ctx, x.root)
	if err != nil {
		e.markDown(name)
		return 0, err
	}
	req := &PlacementRequest{Salt: x.salt, Chain: x.chain}
	stored := matchingBlocks(manifest, req)
	if stored == len(x.chain) {
		e.index.SetStoreBlocks(x.root.Short(), cache.Shorts(x.chain), name, stored, time.Now())
		return 0, nil
	}
	missing := x.chain[stored:]
	out, err := e.exportBlocks(ctx, x, name, st, eng, missing)
	if err != nil {
		return 0, err
	}
	m := target.Manifest{Root: x.root, Salt: x.salt}
	if stored > 0 {
		m.Blocks = append(m.Blocks, manifest.Blocks[:stored]...)
	}
	m.Blocks = append(m.Blocks, out.Blocks...)
	n := matchingBlocks(&m, req)
	m.Blocks = m.Blocks[:n]
	if n <= stored {
		return 0, errors.New("the worker no longer holds the blocks")
	}
	if err := st.PutManifest(ctx, m); err != nil {
		return 0, err
	}
	e.index.SetStoreBlocks(x.root.Short(), cache.Shorts(x.chain), name, n, time.Now())
	return n - stored, nil
}

// exportBlocks acquires the link and copies blocks to a store. If the store is full, it
// removes other contexts there and tries once more.
func (e exporter) exportBlocks(ctx context.Context, x export, name string, st *target.Store, eng *target.Engine, missing []cache.Hash) (target.ExportResult, error) {
	bytes := int64(len(missing) * e.blockBytes(x.worker))
	for attempt := 0; ; attempt++ {
		release, err := e.acquireLink(ctx, name, x.salt.Organisation, bytes, false)
		if err != nil {
			return target.ExportResult{}, err
		}
		start := time.Now()
		out, err := eng.Export(ctx, st.URL(), missing)
		release(out.Bytes, time.Since(start))
		e.stats.LinkBytes.Add(out.Bytes)
		if target.Status(err) != http.StatusInsufficientStorage || attempt > 0 {
			return out, err
		}
		if err := e.reclaim(ctx, name, st, len(missing)); err != nil {
			return target.ExportResult{}, err
		}
	}
}

// reclaim removes contexts from a full store until the given number of blocks is free.
func (e exporter) reclaim(ctx context.Context, name string, st *target.Store, blocks int) error {
	u, err := st.Usage(ctx)
	if err != nil {
		return err
	}
	list := make([]route.EvictionCandidate, len(u.Contexts))
	for i, c := range u.Contexts {
		list[i] = route.EvictionCandidate{Index: i, Blocks: c.Blocks, IdleSeconds: c.IdleSeconds, Reads: c.Reads}
	}
	need := blocks - (u.TotalBlocks - u.UsedBlocks) + u.TotalBlocks/reclaimDivisor
	removed := route.ChooseEvictions(list, need)
	for _, i := range removed {
		if err := st.Remove(ctx, u.Contexts[i].Root); err != nil {
			return err
		}
	}
	e.o.Log.Emit(event.StoreReclaimed, event.Ref{Target: name}, fmt.Sprintf("%d contexts", len(removed)))
	return nil
}

// reclaimDivisor sets what is freed in a full store beyond the need: one reclaimDivisor-th
// of its blocks, so that the next exports find free capacity.
const reclaimDivisor = 50
