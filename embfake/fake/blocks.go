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

// contentOf is what a block with the hash contains that was computed with the
// weights of a version.
func contentOf(h cache.Hash, version string) string {
	return "kv of " + h.String() + " under " + version
}

// cached is one block in an engine's cache.
type cached struct {
	parent   cache.Hash
	content  string
	children int
	used     uint64
}

// timedNote is a cache event that shows after a lag.
type timedNote struct {
	cache.CacheEvent
	shown time.Time
}

// blockCache is an engine's cache: the block that was not used for longest and
// that no other needs goes first.
type blockCache struct {
	room   int
	lag    time.Duration
	blocks map[cache.Hash]*cached
	clock  uint64
	seq    uint64
	notes  []timedNote
}

func (b *blockCache) init(room int, lag time.Duration) {
	b.room, b.lag = room, lag
	b.blocks = map[cache.Hash]*cached{}
}

// held returns how many first blocks of a chain are cached.
func (b *blockCache) held(chain []cache.Hash) int {
	for i, h := range chain {
		if b.blocks[h] == nil {
			return i
		}
	}
	return len(chain)
}

// spoiled reports whether any block's content is not that of its hash under the
// weights.
func (b *blockCache) spoiled(chain []cache.Hash, version string) bool {
	return slices.ContainsFunc(chain, func(h cache.Hash) bool { return b.blocks[h].content != contentOf(h, version) })
}

func (b *blockCache) use(chain []cache.Hash) {
	b.clock++
	for _, h := range chain {
		b.blocks[h].used = b.clock
	}
}

// add takes blocks that follow parent into the cache.
func (b *blockCache) add(parent cache.Hash, list []carried) {
	if len(list) == 0 {
		return
	}
	b.clock++
	run := cache.BlockRun{Parent: parent.Short()}
	for _, c := range list {
		if b.blocks[c.Hash] == nil {
			b.blocks[c.Hash] = &cached{parent: parent, content: c.Content, used: b.clock}
			if p := b.blocks[parent]; p != nil {
				p.children++
			}
		}
		b.blocks[c.Hash].used = b.clock
		run.Blocks = append(run.Blocks, c.Hash.Short())
		parent = c.Hash
	}
	b.note(cache.CacheEvent{Stored: &run})
	if extra := len(b.blocks) - b.room; extra > 0 {
		b.evict(extra + b.room/evictShare)
	}
}

// evictShare is the part of the room that is freed beyond the need, so that
// not every prompt has to look for blocks to push out.
const evictShare = 64

// evict pushes n blocks out.
func (b *blockCache) evict(n int) {
	type old struct {
		hash cache.Hash
		used uint64
	}
	var gone []cache.Hash
	for len(gone) < n && len(b.blocks) > 0 {
		var leaves []old
		for h, c := range b.blocks {
			if c.children == 0 {
				leaves = append(leaves, old{h, c.used})
			}
		}
		slices.SortFunc(leaves, func(x, y old) int { return int(int64(x.used) - int64(y.used)) })
		// One chain after the other, from its last block on.
		for h := leaves[0].hash; len(gone) < n; {
			c := b.blocks[h]
			delete(b.blocks, h)
			gone = append(gone, h)
			p := b.blocks[c.parent]
			if p == nil {
				break
			}
			p.children--
			if p.children > 0 || p.used > leaves[0].used {
				break
			}
			h = c.parent
		}
	}
	if len(gone) > 0 {
		b.note(cache.CacheEvent{Removed: cache.Shorts(gone)})
	}
}

// keptNotes bounds the events that can still be read.
const keptNotes = 4096

func (b *blockCache) note(n cache.CacheEvent) {
	b.seq++
	n.Seq = b.seq
	b.notes = append(b.notes, timedNote{n, time.Now().Add(b.lag)})
	if len(b.notes) > keptNotes {
		b.notes = append([]timedNote(nil), b.notes[len(b.notes)-keptNotes/2:]...)
	}
}

// after returns the events after seq that show by now.
func (b *blockCache) after(seq uint64, now time.Time) []cache.CacheEvent {
	var out []cache.CacheEvent
	for _, n := range b.notes {
		if n.shown.After(now) {
			break
		}
		if n.Seq > seq {
			out = append(out, n.CacheEvent)
		}
	}
	return out
}

// news answers, after the time of gathering, with the events that show by then
// and the load.
func (e *Engine) news(c echo.Context) error {
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
	list := e.cache.after(after, time.Now())
	out := target.EventBatch{Load: e.report}
	e.engineMu.Unlock()
	for _, n := range list {
		if !e.Take(DropEvents) {
			out.Events = append(out.Events, n)
		}
	}
	return c.JSON(http.StatusOK, out)
}

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

// chainTo returns the chain that ends in a block.
func (b *blockCache) chainTo(h cache.Hash) cache.BlockRun {
	var run cache.BlockRun
	for c := b.blocks[h]; c != nil; c = b.blocks[h] {
		run.Blocks = append(run.Blocks, h.Short())
		run.Parent, h = c.parent.Short(), c.parent
	}
	slices.Reverse(run.Blocks)
	return run
}

// transferClient moves blocks between engines and stores.
var transferClient = &http.Client{Transport: target.NewTransport()}

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

func (e *Engine) importBlocks(c echo.Context) error {
	var body struct {
		Store  string         `json:"store"`
		Parent cache.Hash     `json:"parent"`
		Blocks []target.Block `json:"blocks"`
	}
	if err := c.Bind(&body); err != nil {
		return err
	}
	ask := blockList{}
	for _, b := range body.Blocks {
		ask.Blocks = append(ask.Blocks, carried{Block: b})
	}
	var got blockList
	status, err := post(c.Request().Context(), body.Store+"/v1/blocks/read", ask, &got)
	if err != nil || status != http.StatusOK {
		return c.String(http.StatusBadGateway, "the store did not answer\n")
	}
	out := target.ImportResult{ID: uuid.NewString(), Bytes: int64(len(got.Blocks) * e.o.BlockBytes)}
	for i := range got.Blocks {
		got.Blocks[i].Sum = Sum(got.Blocks[i].Content)
		out.Blocks = append(out.Blocks, got.Blocks[i].Block)
	}
	e.engineMu.Lock()
	e.staged[out.ID] = staging{body.Parent, got.Blocks}
	e.engineMu.Unlock()
	time.AfterFunc(stagedKept, func() { e.unstage(out.ID) })
	return c.JSON(http.StatusOK, out)
}

// stagedKept is how long staged blocks wait for their commit.
const stagedKept = 30 * time.Second

func (e *Engine) unstage(id string) (staging, bool) {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	s, ok := e.staged[id]
	delete(e.staged, id)
	return s, ok
}

func (e *Engine) commit(c echo.Context) error {
	var body struct {
		ID     string `json:"id"`
		Blocks int    `json:"blocks"`
	}
	if err := c.Bind(&body); err != nil {
		return err
	}
	s, ok := e.unstage(body.ID)
	if !ok || body.Blocks < 0 || body.Blocks > len(s.blocks) {
		return c.String(http.StatusNotFound, "no such staged blocks\n")
	}
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	e.cache.add(s.parent, s.blocks[:body.Blocks])
	return c.NoContent(http.StatusNoContent)
}

func (e *Engine) exportBlocks(c echo.Context) error {
	var body struct {
		Store  string       `json:"store"`
		Hashes []cache.Hash `json:"hashes"`
	}
	if err := c.Bind(&body); err != nil {
		return err
	}
	var send blockList
	e.engineMu.Lock()
	for _, h := range body.Hashes {
		b := e.cache.blocks[h]
		if b == nil {
			break
		}
		send.Blocks = append(send.Blocks, carried{target.Block{Hash: h}, b.content})
	}
	e.engineMu.Unlock()
	var got blockList
	status, err := post(c.Request().Context(), body.Store+"/v1/blocks/write", send, &got)
	if status == http.StatusInsufficientStorage {
		return c.String(http.StatusInsufficientStorage, "the store is full\n")
	}
	if err != nil || status != http.StatusOK {
		return c.String(http.StatusBadGateway, "the store did not answer\n")
	}
	out := target.ExportResult{Bytes: int64(len(got.Blocks) * e.o.BlockBytes)}
	for i, b := range got.Blocks {
		b.Sum = Sum(send.Blocks[i].Content)
		out.Blocks = append(out.Blocks, b.Block)
	}
	return c.JSON(http.StatusOK, out)
}

func (e *Engine) order(c echo.Context) error {
	var o target.Order
	if err := c.Bind(&o); err != nil {
		return err
	}
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	switch {
	case e.o.ChecksFence && o.Fence < e.fence:
		return c.String(http.StatusPreconditionFailed, "the fence is old\n")
	case e.loading:
		return c.String(http.StatusTooManyRequests, "weights are loading\n")
	}
	e.fence = max(e.fence, o.Fence)
	e.orders = append(e.orders, o)
	if e.holds(o.Model, o.Version, "") {
		return c.NoContent(http.StatusAccepted)
	}
	e.loading = true
	go loader{e, o}.run()
	return c.NoContent(http.StatusAccepted)
}

// loader loads weights; the former ones stay until it is done.
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
