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

// manifests are those found for a request, by store.
type manifests map[string]*target.Manifest

// stores returns the stores of the cell in the order in which the context is
// placed on them. Anyone computes the same order, so that a kept context is
// found without an index.
func (h *Home) stores(snap *conf.Snapshot, view *fleet.View, root cache.Hash) []string {
	return fleet.Rank(root.Short(), h.plan(snap, view).stores)
}

// storesAsked bounds the stores that are asked for one context.
const storesAsked = 2

// look asks the stores for a context that is not known here yet.
func (h *Home) look(ctx context.Context, snap *conf.Snapshot, view *fleet.View, a *Ask, root cache.Hash, pos *cache.Position) manifests {
	d := snap.Deployment(a.Deployment)
	if pos.Looked || !h.o.Placement.Exports() || d == nil || len(a.Chain) < d.ExportFrom() {
		return nil
	}
	names := h.stores(snap, view, root)
	names = names[:min(len(names), storesAsked)]
	got := make([]*target.Manifest, len(names))
	failed := make([]bool, len(names))
	var wg sync.WaitGroup
	for i, name := range names {
		if h.isDown(name) {
			failed[i] = true
			continue
		}
		wg.Go(func() {
			m, err := h.store(snap.Target(name)).Manifest(ctx, root)
			got[i], failed[i] = m, err != nil
			if err != nil && ctx.Err() == nil {
				h.down(name)
			}
		})
	}
	wg.Wait()
	now, shorts, out := time.Now(), cache.Shorts(a.Chain), manifests{}
	for i, m := range got {
		if failed[i] {
			continue
		}
		n := fitting(m, a)
		h.index.Kept(root.Short(), shorts, names[i], n, now)
		if n > 0 {
			out[names[i]] = m
			pos.Keepings = append(pos.Keepings, cache.Keeping{Store: names[i], Blocks: n})
		}
	}
	return out
}

// fitting returns how many first blocks of the chain a manifest names. A
// manifest of another organisation or weight version names none.
func fitting(m *target.Manifest, a *Ask) int {
	if m == nil || m.Salt != a.Salt {
		return 0
	}
	n := min(len(m.Blocks), len(a.Chain))
	for i := range n {
		if m.Blocks[i].Hash != a.Chain[i] {
			return i
		}
	}
	return n
}

// downPause is how long a store that did not answer is not asked.
const downPause = 2 * time.Second

func (h *Home) down(store string) {
	h.storeMu.Lock()
	defer h.storeMu.Unlock()
	h.storeDown[store] = time.Now().Add(downPause)
}

func (h *Home) isDown(store string) bool {
	h.storeMu.Lock()
	defer h.storeMu.Unlock()
	return time.Now().Before(h.storeDown[store])
}

// storeLatency is the time before the first byte from a store.
const storeLatency = 3 * time.Millisecond

// kept returns what the stores keep in the form that decisions need.
func (h *Home) kept(snap *conf.Snapshot, pos cache.Position, blockBytes int64) []route.Kept {
	var out []route.Kept
	for _, k := range pos.Keepings {
		t := snap.Target(k.Store)
		if t == nil || h.isDown(k.Store) {
			continue
		}
		backlog, rate := h.links.state(k.Store, t.Link())
		out = append(out, route.Kept{
			Store: k.Store, Blocks: k.Blocks, BlockBytes: blockBytes,
			Rate: rate, Backlog: backlog, Latency: storeLatency,
		})
	}
	return out
}

// fetch makes the chosen worker read blocks from a store, checks what it read
// and commits what passed. A failure costs computing the blocks again.
func (h *Home) fetch(ctx context.Context, snap *conf.Snapshot, a *Ask, root cache.Hash, found manifests, im route.Import, ans *Answer) {
	ref := event.Ref{Request: a.Request, Context: root.String(), Organisation: a.Salt.Organisation, Target: ans.Worker}
	n, bytes, err := h.imports(ctx, snap, a, root, found[im.Store], im, ans.Worker)
	h.stats.LinkBytes.Add(bytes)
	ans.LinkBytes = bytes
	if err != nil {
		h.stats.ImportsRejected.Add(1)
		h.o.Log.Emit(event.ImportRejected, ref, im.Store+": "+err.Error())
	}
	if n == 0 {
		return
	}
	ans.Imported = n
	h.stats.Imports.Add(1)
	h.stats.ImportedBlocks.Add(int64(n))
	h.index.Held(root.Short(), cache.Shorts(a.Chain), ans.Worker, im.From+n, time.Now())
	h.o.Log.Emit(event.ContextImported, ref, fmt.Sprintf("%d blocks, %d bytes from %s", n, bytes, im.Store))
}

// imports returns how many blocks were committed and how many bytes moved.
func (h *Home) imports(ctx context.Context, snap *conf.Snapshot, a *Ask, root cache.Hash, m *target.Manifest, im route.Import, worker string) (int, int64, error) {
	st := snap.Target(im.Store)
	if m == nil {
		var err error
		m, err = h.store(st).Manifest(ctx, root)
		if err != nil {
			h.down(im.Store)
			return 0, 0, err
		}
	}
	to := min(im.To, fitting(m, a))
	if to <= im.From {
		h.index.Kept(root.Short(), cache.Shorts(a.Chain), im.Store, to, time.Now())
		return 0, 0, errors.New("the store no longer keeps the context")
	}
	parent := a.seed()
	if im.From > 0 {
		parent = a.Chain[im.From-1]
	}
	want := m.Blocks[im.From:to]
	end, err := h.turnFor(ctx, im.Store, a.Salt.Organisation, int64(len(want)*h.blockBytes(worker)), true)
	if err != nil {
		return 0, 0, err
	}
	began := time.Now()
	e := h.engine(snap.Target(worker))
	staged, err := e.Import(ctx, st.URL, parent, want)
	end(staged.Bytes, time.Since(began))
	if err != nil {
		h.down(im.Store)
		return 0, 0, err
	}
	return h.commit(ctx, e, a, root, im, want, staged)
}

// commit compares what the worker read with the manifest and commits the
// blocks before the first that differs.
func (h *Home) commit(ctx context.Context, e *target.Engine, a *Ask, root cache.Hash, im route.Import, want []target.Block, staged target.Staged) (int, int64, error) {
	good := 0
	for good < min(len(staged.Blocks), len(want)) && staged.Blocks[good] == want[good] {
		good++
	}
	err := e.Commit(ctx, staged.ID, good)
	if err != nil {
		return 0, staged.Bytes, err
	}
	if good < len(want) {
		h.index.Kept(root.Short(), cache.Shorts(a.Chain), im.Store, im.From+good, time.Now())
		err = errors.Errorf("%d of %d blocks differ from the manifest", len(want)-good, len(want))
	}
	return good, staged.Bytes, err
}

func (h *Home) blockBytes(worker string) int {
	load, _ := h.loads.load(worker, 0, time.Now())
	return load.BlockBytes
}

// turnLimits bound the wait for a link's turn.
const (
	importTurnLimit = 2 * time.Second
	exportTurnLimit = 60 * time.Second
)

// turnFor waits for the turn of a transfer and returns how to end it. Where
// the scheduler does not answer, a transfer that a caller waits for goes ahead
// and an export does not.
func (h *Home) turnFor(ctx context.Context, store, organisation string, bytes int64, waiting bool) (end func(int64, time.Duration), err error) {
	limit := exportTurnLimit
	if waiting {
		limit = importTurnLimit
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	view := h.o.Fleet.View()
	name := view.Duty(fleet.Key("link/" + store))
	ask := &linkAsk{Store: store, Organisation: organisation, Bytes: bytes, Waiting: waiting}
	if name == view.Self() || name == "" {
		turn, err := h.links.ask(ctx, ask)
		if err != nil {
			return nil, err
		}
		return func(n int64, took time.Duration) {
			h.links.end(&linkDone{Store: store, ID: turn.ID, Bytes: n, Took: took})
		}, nil
	}
	var turn linkTurn
	if err := h.o.Fleet.Call(ctx, name, kindLinkAsk, ask, &turn); err != nil {
		if waiting && ctx.Err() == nil {
			return func(int64, time.Duration) {}, nil
		}
		return nil, err
	}
	return func(n int64, took time.Duration) {
		ctx, cancel := context.WithTimeout(context.Background(), tellLimit)
		defer cancel()
		// A lost notice ends by the turn's limit.
		_ = h.o.Fleet.Notify(ctx, name, kindLinkDone, &linkDone{Store: store, ID: turn.ID, Bytes: n, Took: took})
	}, nil
}

// export is a context that may be written to a store.
type export struct {
	root   cache.Hash
	salt   cache.Salt
	chain  []cache.Hash
	worker string
}

// exporters is how many exports one daemon runs at once.
const exporters = 2

// wishExport queues an export unless one is running, a store keeps the context
// already, or too many wait.
func (h *Home) wishExport(x export) {
	if !h.index.BeginExport(x.root.Short(), len(x.chain)) {
		return
	}
	select {
	case h.exports <- x:
	default:
		h.index.EndExport(x.root.Short())
	}
}

// exporter writes contexts to stores, one after the other.
type exporter struct{ *Home }

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

// exportLimit bounds one export.
const exportLimit = 90 * time.Second

func (e exporter) handle(ctx context.Context, x export) {
	ctx, cancel := context.WithTimeout(ctx, exportLimit)
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

// write exports what the first store that answers lacks of a context.
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
	return "", 0, errors.New("no store can be used")
}

func (e exporter) writeTo(ctx context.Context, x export, name string, t *conf.Target, eng *target.Engine) (int, error) {
	st := e.store(t)
	old, err := st.Manifest(ctx, x.root)
	if err != nil {
		e.down(name)
		return 0, err
	}
	ask := &Ask{Salt: x.salt, Chain: x.chain}
	have := fitting(old, ask)
	if have == len(x.chain) {
		e.index.Kept(x.root.Short(), cache.Shorts(x.chain), name, have, time.Now())
		return 0, nil
	}
	lack := x.chain[have:]
	out, err := e.send(ctx, x, name, st, eng, lack)
	if err != nil {
		return 0, err
	}
	m := target.Manifest{Root: x.root, Salt: x.salt}
	if have > 0 {
		m.Blocks = append(m.Blocks, old.Blocks[:have]...)
	}
	m.Blocks = append(m.Blocks, out.Blocks...)
	n := fitting(&m, ask)
	m.Blocks = m.Blocks[:n]
	if n <= have {
		return 0, errors.New("the worker no longer holds the blocks")
	}
	if err := st.PutManifest(ctx, m); err != nil {
		return 0, err
	}
	e.index.Kept(x.root.Short(), cache.Shorts(x.chain), name, n, time.Now())
	return n - have, nil
}

// send moves blocks in the link's turn; a full store gives up others first.
func (e exporter) send(ctx context.Context, x export, name string, st *target.Store, eng *target.Engine, lack []cache.Hash) (target.Exported, error) {
	bytes := int64(len(lack) * e.blockBytes(x.worker))
	for try := 0; ; try++ {
		end, err := e.turnFor(ctx, name, x.salt.Organisation, bytes, false)
		if err != nil {
			return target.Exported{}, err
		}
		began := time.Now()
		out, err := eng.Export(ctx, st.URL(), lack)
		end(out.Bytes, time.Since(began))
		e.stats.LinkBytes.Add(out.Bytes)
		if target.Status(err) != http.StatusInsufficientStorage || try > 0 {
			return out, err
		}
		if err := e.reclaim(ctx, name, st, len(lack)); err != nil {
			return target.Exported{}, err
		}
	}
}

// reclaim makes a full store give up contexts until blocks are free.
func (e exporter) reclaim(ctx context.Context, name string, st *target.Store, blocks int) error {
	u, err := st.Usage(ctx)
	if err != nil {
		return err
	}
	list := make([]route.Shed, len(u.Contexts))
	for i, c := range u.Contexts {
		list[i] = route.Shed{Index: i, Blocks: c.Blocks, IdleSeconds: c.IdleSeconds, Reads: c.Reads}
	}
	need := blocks - (u.TotalBlocks - u.UsedBlocks) + u.TotalBlocks/reclaimShare
	gone := route.GiveUp(list, need)
	for _, i := range gone {
		if err := st.Remove(ctx, u.Contexts[i].Root); err != nil {
			return err
		}
	}
	e.o.Log.Emit(event.StoreReclaimed, event.Ref{Target: name}, fmt.Sprintf("%d contexts", len(gone)))
	return nil
}

// reclaimShare is the part of a full store that is freed beyond the need, so
// that the next exports find room.
const reclaimShare = 50
