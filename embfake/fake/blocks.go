package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"embertally.dev/core/cache"
	"embertally.dev/core/target"
)

// expectedContent returns the content of the block with hash h, as computed with
// the weights of this version.
func expectedContent(h cache.Hash, version string) string {
	return "kv of " + h.String() + " under " + version
}

// cachedBlock is one block in an engine's KV cache.
type cachedBlock struct {
	parent   cache.Hash
	content  string
	children int    // cached blocks that follow it directly
	lastUse  uint64 // useCount at the last use
}

// delayedEvent is a cache event that can be read after a delay.
type delayedEvent struct {
	cache.CacheEvent
	visibleAt time.Time
}

// blockCache is an engine's KV cache. It evicts the least recently used blocks that
// no cached block follows.
type blockCache struct {
	capacity int           // in blocks
	lag      time.Duration // until an event is visible
	blocks   map[cache.Hash]*cachedBlock
	useCount uint64 // uses so far; orders them
	seq      uint64 // sequence number of the last event
	events   []delayedEvent
}

func (b *blockCache) init(capacity int, lag time.Duration) {
	b.capacity, b.lag = capacity, lag
	b.blocks = map[cache.Hash]*cachedBlock{}
}

// cachedPrefix returns how many blocks at the start of a chain are cached.
func (b *blockCache) cachedPrefix(chain []cache.Hash) int {
	for i, h := range chain {
		if b.blocks[h] == nil {
			return i
		}
	}
	return len(chain)
}

// corrupted reports whether the content of any block differs from what the weights
// of this version compute.
func (b *blockCache) corrupted(chain []cache.Hash, version string) bool {
	return slices.ContainsFunc(chain, func(h cache.Hash) bool { return b.blocks[h].content != expectedContent(h, version) })
}

// touch marks the blocks of a chain as used now.
func (b *blockCache) touch(chain []cache.Hash) {
	b.useCount++
	for _, h := range chain {
		b.blocks[h].lastUse = b.useCount
	}
}

// add inserts a chain of blocks that follows parent, and evicts others if the
// cache is over its capacity.
func (b *blockCache) add(parent cache.Hash, blocks []transferredBlock) {
	if len(blocks) == 0 {
		return
	}
	b.useCount++
	run := cache.BlockRun{Parent: parent.Short()}
	for _, c := range blocks {
		if b.blocks[c.Hash] == nil {
			b.blocks[c.Hash] = &cachedBlock{parent: parent, content: c.Content, lastUse: b.useCount}
			if p := b.blocks[parent]; p != nil {
				p.children++
			}
		}
		b.blocks[c.Hash].lastUse = b.useCount
		run.Blocks = append(run.Blocks, c.Hash.Short())
		parent = c.Hash
	}
	b.record(cache.CacheEvent{Stored: &run})
	if extra := len(b.blocks) - b.capacity; extra > 0 {
		b.evict(extra + b.capacity/extraEvictionDivisor)
	}
}

// extraEvictionDivisor sets how much is evicted beyond the need: the capacity divided by
// it. Otherwise every prompt would have to search for blocks to evict.
const extraEvictionDivisor = 64

// evict removes n blocks, or all if there are fewer.
func (b *blockCache) evict(n int) {
	type leaf struct {
		hash    cache.Hash
		lastUse uint64
	}
	var evicted []cache.Hash
	for len(evicted) < n && len(b.blocks) > 0 {
		var leaves []leaf
		for h, c := range b.blocks {
			if c.children == 0 {
				leaves = append(leaves, leaf{h, c.lastUse})
			}
		}
		slices.SortFunc(leaves, func(x, y leaf) int { return int(int64(x.lastUse) - int64(y.lastUse)) })
		// Follow the least recently used chain back from its last block, as far as no other
		// chain shares its blocks and none was used later.
		for h := leaves[0].hash; len(evicted) < n; {
			c := b.blocks[h]
			delete(b.blocks, h)
			evicted = append(evicted, h)
			p := b.blocks[c.parent]
			if p == nil {
				break
			}
			p.children--
			if p.children > 0 || p.lastUse > leaves[0].lastUse {
				break
			}
			h = c.parent
		}
	}
	if len(evicted) > 0 {
		b.record(cache.CacheEvent{Removed: cache.Shorts(evicted)})
	}
}

// maxEvents bounds the stored events. Beyond it the older half is dropped.
const maxEvents = 4096

// record stores an event under the next sequence number.
func (b *blockCache) record(ev cache.CacheEvent) {
	b.seq++
	ev.Seq = b.seq
	b.events = append(b.events, delayedEvent{ev, time.Now().Add(b.lag)})
	if len(b.events) > maxEvents {
		b.events = append([]delayedEvent(nil), b.events[len(b.events)-maxEvents/2:]...)
	}
}

// visibleAfter returns the events after sequence number seq that are visible at now.
func (b *blockCache) visibleAfter(seq uint64, now time.Time) []cache.CacheEvent {
	var out []cache.CacheEvent
	for _, ev := range b.events {
		if ev.visibleAt.After(now) {
			break
		}
		if ev.Seq > seq {
			out = append(out, ev.CacheEvent)
		}
	}
	return out
}

// pollEvents waits for gatherMillis, so that events are batched, and responds with the
// events that are visible by then and the load report.
func (e *Engine) pollEvents(c echo.Context) error {
	after, err1 := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	gather, err2 := strconv.Atoi(c.QueryParam("gatherMillis"))
	if err1 != nil || err2 != nil {
		return c.String(http.StatusBadRequest, "after and gatherMillis must be numbers\n")
	}
	select {
	case <-time.After(time.Duration(gather) * time.Millisecond):
	case <-c.Request().Context().Done():
		return nil
	}
	e.engineMu.Lock()
	visible := e.cache.visibleAfter(after, time.Now())
	out := target.EventBatch{Load: e.loadReport}
	e.engineMu.Unlock()
	for _, ev := range visible {
		if !e.Take(DropEvents) {
			out.Events = append(out.Events, ev)
		}
	}
	return c.JSON(http.StatusOK, out)
}

// contents responds with every cached chain. Chains that share a prefix repeat it.
func (e *Engine) contents(c echo.Context) error {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	all := cache.Contents{Seq: e.cache.seq}
	for h, b := range e.cache.blocks {
		if b.children == 0 {
			all.BlockRuns = append(all.BlockRuns, e.cache.chainTo(h))
		}
	}
	return c.JSON(http.StatusOK, all)
}

// chainTo returns the cached chain that ends with block h.
func (b *blockCache) chainTo(h cache.Hash) cache.BlockRun {
	var run cache.BlockRun
	for c := b.blocks[h]; c != nil; c = b.blocks[h] {
		run.Blocks = append(run.Blocks, h.Short())
		run.Parent, h = c.parent.Short(), c.parent
	}
	slices.Reverse(run.Blocks)
	return run
}

// transferClient carries the engines' requests to KV-cache stores and the weight store.
var transferClient = &http.Client{Transport: target.NewTransport()}

// post sends body as JSON and decodes the response into reply if its status is 200.
func post(ctx context.Context, url string, body, reply any) (int, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := transferClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, nil
	}
	return resp.StatusCode, json.NewDecoder(resp.Body).Decode(reply)
}

// importBlocks reads blocks from a KV-cache store and stages them for commit.
func (e *Engine) importBlocks(c echo.Context) error {
	var body struct {
		Store  string         `json:"store"`
		Parent cache.Hash     `json:"parent"`
		Blocks []target.Block `json:"blocks"`
	}
	if err := c.Bind(&body); err != nil {
		return err
	}
	wanted := blockList{}
	for _, b := range body.Blocks {
		wanted.Blocks = append(wanted.Blocks, transferredBlock{Block: b})
	}
	var got blockList
	status, err := post(c.Request().Context(), body.Store+"/v1/blocks/read", wanted, &got)
	if err != nil || status != http.StatusOK {
		return c.String(http.StatusBadGateway, "the store did not answer\n")
	}
	out := target.ImportResult{ID: uuid.NewString(), Bytes: int64(len(got.Blocks) * e.o.BlockBytes)}
	for i := range got.Blocks {
		got.Blocks[i].Checksum = Checksum(got.Blocks[i].Content)
		out.Blocks = append(out.Blocks, got.Blocks[i].Block)
	}
	e.engineMu.Lock()
	e.stagedImports[out.ID] = stagedImport{body.Parent, got.Blocks}
	e.engineMu.Unlock()
	time.AfterFunc(stagedTimeout, func() { e.takeStaged(out.ID) })
	return c.JSON(http.StatusOK, out)
}

// stagedTimeout is how long staged blocks wait to be committed.
const stagedTimeout = 30 * time.Second

// takeStaged removes a staged import and returns it.
func (e *Engine) takeStaged(id string) (stagedImport, bool) {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	s, ok := e.stagedImports[id]
	delete(e.stagedImports, id)
	return s, ok
}

// commit adds the first blocks of a staged import to the cache.
func (e *Engine) commit(c echo.Context) error {
	var body struct {
		ID     string `json:"id"`
		Blocks int    `json:"blocks"`
	}
	if err := c.Bind(&body); err != nil {
		return err
	}
	s, ok := e.takeStaged(body.ID)
	if !ok || body.Blocks < 0 || body.Blocks > len(s.blocks) {
		return c.String(http.StatusNotFound, "no such staged blocks\n")
	}
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	e.cache.add(s.parent, s.blocks[:body.Blocks])
	return c.NoContent(http.StatusNoContent)
}

// exportBlocks writes a chain to a KV-cache store, up to the first block that is not
// cached.
func (e *Engine) exportBlocks(c echo.Context) error {
	var body struct {
		Store  string       `json:"store"`
		Hashes []cache.Hash `json:"hashes"`
	}
	if err := c.Bind(&body); err != nil {
		return err
	}
	var sent blockList
	e.engineMu.Lock()
	for _, h := range body.Hashes {
		b := e.cache.blocks[h]
		if b == nil {
			break
		}
		sent.Blocks = append(sent.Blocks, transferredBlock{target.Block{Hash: h}, b.content})
	}
	e.engineMu.Unlock()
	var got blockList
	status, err := post(c.Request().Context(), body.Store+"/v1/blocks/write", sent, &got)
	if status == http.StatusInsufficientStorage {
		return c.String(http.StatusInsufficientStorage, "the store is full\n")
	}
	if err != nil || status != http.StatusOK {
		return c.String(http.StatusBadGateway, "the store did not answer\n")
	}
	out := target.ExportResult{Bytes: int64(len(got.Blocks) * e.o.BlockBytes)}
	for i, b := range got.Blocks {
		b.Checksum = Checksum(sent.Blocks[i].Content)
		out.Blocks = append(out.Blocks, b.Block)
	}
	return c.JSON(http.StatusOK, out)
}

// order accepts an order to load weights, unless its fencing token is outdated or
// weights are loading.
func (e *Engine) order(c echo.Context) error {
	var o target.Order
	if err := c.Bind(&o); err != nil {
		return err
	}
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	switch {
	case e.o.ChecksFence && o.FencingToken < e.maxFence:
		return c.String(http.StatusPreconditionFailed, "the fence is old\n")
	case e.loading:
		return c.String(http.StatusTooManyRequests, "weights are loading\n")
	}
	e.maxFence = max(e.maxFence, o.FencingToken)
	e.orders = append(e.orders, o)
	if e.hasWeights(o.Model, o.Version, "") {
		return c.NoContent(http.StatusAccepted)
	}
	e.loading = true
	go loader{e, o}.run()
	return c.NoContent(http.StatusAccepted)
}

// loader loads the weights that an order names. The model's former weights stay in use
// until then.
type loader struct {
	e *Engine
	o target.Order
}

func (l loader) run() {
	e := l.e
	if e.o.WeightStore != "" {
		resp, err := transferClient.Get(e.o.WeightStore + "/v1/weights/" + l.o.Model + "/" + l.o.Version)
		if err == nil {
			resp.Body.Close()
		}
	}
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	e.loading = false
	e.weights = slices.DeleteFunc(e.weights, func(w target.Weights) bool { return w.Model == l.o.Model })
	e.weights = append(e.weights, target.Weights{Model: l.o.Model, Version: l.o.Version, Adapters: l.o.Adapters})
}
