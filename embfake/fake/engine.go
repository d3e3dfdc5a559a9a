package fake

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"embertally.dev/core/cache"
	"embertally.dev/core/target"
)

// EngineOptions are the size and speed of an engine.
type EngineOptions struct {
	Name string
	// Blocks is the room of its cache in blocks.
	Blocks     int
	BlockBytes int
	// PrefillTokensPerSecond is its speed on prompt tokens.
	PrefillTokensPerSecond float64
	// TokenTime is the time between two tokens of an answer.
	TokenTime time.Duration
	// EventLag and LoadLag are how late cache events and load reports are.
	EventLag, LoadLag time.Duration
	// Latency is the time there and back of each request.
	Latency time.Duration
	// ChecksFence tells that orders with an old fence are refused.
	ChecksFence bool
	Weights     []target.Weights
	// WeightStore is the URL of the weight store; empty loads at once.
	WeightStore string
}

// Engine stands in for a model engine. An answer is a function of model,
// weight version and text alone, so that a judge can tell a whole and right
// answer from any other; a block whose content is not that of its hash spoils
// every answer that uses it.
type Engine struct {
	Server
	o    EngineOptions
	boot string

	engineMu sync.Mutex
	cache    blockCache         // guarded by engineMu
	staged   map[string]staging // guarded by engineMu
	streams  map[string]*stream // guarded by engineMu
	queue    []*stream          // waiting for prefill; guarded by engineMu
	working  bool               // a prefill runs; guarded by engineMu
	running  int                // streams that generate; guarded by engineMu
	weights  []target.Weights   // guarded by engineMu
	loading  bool               // guarded by engineMu
	fence    uint64             // highest seen; guarded by engineMu
	orders   []target.Order     // taken; guarded by engineMu
	report   target.Load        // the latest report, which lags; guarded by engineMu
	runs     []EngineRun        // guarded by engineMu
	busy     time.Duration      // prefill time; guarded by engineMu
	fatal    string             // text whose prompts end the engine; guarded by engineMu
	over     bool               // guarded by engineMu
	resting
	close context.CancelFunc
}

type staging struct {
	parent cache.Hash
	blocks []carried
}

// EngineRun is one prompt that an engine answered.
type EngineRun struct {
	// Arrived is when the prompt reached the engine.
	Arrived time.Time `json:"arrived"`
	// Began is when its prompt was computed.
	Began   time.Time `json:"began"`
	Request string    `json:"request"`
	Version string    `json:"version"`
	Tokens  int       `json:"tokens"`
	// Cached is the prompt tokens that were not computed.
	Cached int `json:"cached"`
	// Salt is the prompt's cache salt and Head its first bytes.
	Salt string `json:"salt"`
	Head string `json:"head"`
	// Spoiled tells that a block's content was not that of its hash.
	Spoiled bool `json:"spoiled"`
}

// stream is one answer, from its prompt until it was read whole.
type stream struct {
	id       string
	prompt   target.Prompt
	version  string
	adapter  string
	chain    []cache.Hash
	cached   int
	spoiled  bool
	arrived  time.Time
	ctx      context.Context
	cancel   context.CancelFunc
	tokens   []string
	finished bool
	moved    chan struct{} // closed and replaced at each change
	readers  int
}

// NewEngine starts an engine at address.
func NewEngine(address string, o EngineOptions) (*Engine, error) {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		o: o, boot: uuid.NewString(), staged: map[string]staging{}, streams: map[string]*stream{},
		weights: slices.Clone(o.Weights), close: cancel,
	}
	e.cache.init(o.Blocks, o.EventLag)
	e.report = e.measure()
	e.latency = o.Latency
	go reporter{e}.run(ctx)
	return e, e.start(address, func(r *echo.Echo) {
		r.POST("/v1/completions", e.complete)
		r.GET("/v1/streams/:id", e.resume)
		r.DELETE("/v1/streams/:id", e.cancelStream)
		r.GET("/v1/cache/events", e.news)
		r.GET("/v1/cache/contents", e.contents)
		r.POST("/v1/cache/import", e.importBlocks)
		r.POST("/v1/cache/commit", e.commit)
		r.POST("/v1/cache/export", e.exportBlocks)
		r.POST("/v1/orders", e.order)
		r.POST("/evict", func(c echo.Context) error { e.EvictAll(); return c.NoContent(http.StatusNoContent) })
		r.GET("/runs", func(c echo.Context) error { return c.JSON(http.StatusOK, e.Runs()) })
		r.GET("/orders", func(c echo.Context) error { return c.JSON(http.StatusOK, e.Orders()) })
	})
}

// Close stops the engine at once.
func (e *Engine) Close() {
	e.close()
	e.Server.Close()
}

// EndOf makes the engine end for good when it begins to run a prompt that contains a text.
func (e *Engine) EndOf(text string) {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	e.fatal = text
}

// Over reports whether a prompt has ended the engine.
func (e *Engine) Over() bool {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	return e.over
}

// Runs returns every prompt that was answered.
func (e *Engine) Runs() []EngineRun {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	return append([]EngineRun{}, e.runs...)
}

// Orders returns every order that was taken.
func (e *Engine) Orders() []target.Order {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	return append([]target.Order{}, e.orders...)
}

// Holds reports whether the engine has loaded a version of any model.
func (e *Engine) Holds(version string) bool {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	return slices.ContainsFunc(e.weights, func(w target.Weights) bool { return w.Version == version })
}

// Churn adds and removes runs of blocks, as prompts would, until ctx ends.
func (e *Engine) Churn(ctx context.Context, perSecond float64) {
	t := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer t.Stop()
	seed := cache.Salt{Organisation: "churn", Model: e.boot}.Seed()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		chain := cache.Chain(seed, strings.Repeat(fmt.Sprintf("%08d", n), churnBlocks*cache.BlockBytes/8))
		list := make([]carried, len(chain))
		for i, h := range chain {
			list[i] = carried{target.Block{Hash: h}, contentOf(h, "")}
		}
		e.engineMu.Lock()
		e.cache.add(seed, list)
		e.engineMu.Unlock()
	}
}

// churnBlocks is the length of a run that Churn adds.
const churnBlocks = 16

// EvictAll pushes every block out of the cache.
func (e *Engine) EvictAll() {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	e.cache.evict(len(e.cache.blocks))
}

// Blocks returns how many blocks the engine holds.
func (e *Engine) Blocks() int {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	return len(e.cache.blocks)
}

// priorities is how many classes a load report tells apart.
const priorities = 10

// measure returns the load as it is now; the caller holds engineMu.
func (e *Engine) measure() target.Load {
	l := target.Load{
		Incarnation: e.boot, Running: e.running, TotalBlocks: e.o.Blocks, FreeBlocks: e.o.Blocks - len(e.cache.blocks),
		PrefillTokensPerSecond: e.o.PrefillTokensPerSecond, BlockBytes: e.o.BlockBytes,
		Weights: slices.Clone(e.weights), Loading: e.loading,
	}
	queued := make([]int, priorities)
	for _, s := range e.queue {
		p := min(max(0, -s.prompt.Priority), priorities-1)
		queued[p] += max(1, cache.Tokens(len(s.prompt.Prompt))-e.cache.held(s.chain)*cache.BlockTokens)
	}
	last := 0
	for p, n := range queued {
		if n > 0 {
			last = p + 1
		}
	}
	l.QueuedTokens = queued[:last]
	return l
}

// reporter makes the load reports, which lag.
type reporter struct{ e *Engine }

func (r reporter) run(ctx context.Context) {
	pause := max(r.e.o.LoadLag, 10*time.Millisecond)
	t := time.NewTicker(pause)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		r.e.engineMu.Lock()
		r.e.report = r.e.measure()
		r.e.engineMu.Unlock()
	}
}

// holds reports whether weights are loaded; the caller holds engineMu.
func (e *Engine) holds(model, version, adapter string) bool {
	for _, w := range e.weights {
		if w.Model == model && w.Version == version && (adapter == "" || slices.Contains(w.Adapters, adapter)) {
			return true
		}
	}
	return false
}

func (e *Engine) complete(c echo.Context) error {
	var p target.Prompt
	if err := json.NewDecoder(c.Request().Body).Decode(&p); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	var salt cache.Hash
	if err := salt.UnmarshalText([]byte(p.CacheSalt)); err != nil {
		return c.String(http.StatusBadRequest, "cache_salt: "+err.Error())
	}
	if e.turnsAway(c.Response().Header()) {
		return c.String(http.StatusServiceUnavailable, "the engine rests\n")
	}
	model, adapter, _ := strings.Cut(p.Model, ":")
	s := &stream{
		id: c.Request().Header.Get(target.HeaderRequestID), prompt: p, adapter: adapter,
		version: c.Request().Header.Get(target.HeaderWeightVersion),
		chain:   cache.Chain(salt, p.Prompt), arrived: time.Now(), moved: make(chan struct{}),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	e.engineMu.Lock()
	if !e.holds(model, s.version, adapter) {
		e.engineMu.Unlock()
		return c.String(http.StatusConflict, "these weights are not loaded\n")
	}
	if e.fatal != "" && strings.Contains(p.Prompt, e.fatal) {
		e.over = true
		e.engineMu.Unlock()
		e.Close()
		return hangUp(c)
	}
	e.streams[s.id] = s
	e.queue = append(e.queue, s)
	if !e.working {
		e.working = true
		go prefiller{e}.run()
	}
	e.engineMu.Unlock()
	return e.send(c, s, 0)
}

// prefiller computes prompts, one after the other, while any wait.
type prefiller struct{ e *Engine }

func (p prefiller) run() {
	for {
		s := p.next()
		if s == nil {
			return
		}
		took := p.e.prefill(s)
		select {
		case <-time.After(took):
			go decoder{p.e, s}.run()
		case <-s.ctx.Done():
			p.e.ended()
		}
	}
}

// next takes the waiting prompt of the highest priority.
func (p prefiller) next() *stream {
	e := p.e
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	e.queue = slices.DeleteFunc(e.queue, func(s *stream) bool { return s.ctx.Err() != nil })
	if len(e.queue) == 0 {
		e.working = false
		return nil
	}
	best := 0
	for i, s := range e.queue {
		if s.prompt.Priority < e.queue[best].prompt.Priority {
			best = i
		}
	}
	s := e.queue[best]
	e.queue = slices.Delete(e.queue, best, best+1)
	return s
}

// headBytes is how much of a prompt a record holds.
const headBytes = 64

// perRunning is how much each running answer slows a prefill, as a share.
const perRunning = 0.02

// prefill takes the prompt's blocks into the cache and returns how long it
// takes.
func (e *Engine) prefill(s *stream) time.Duration {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	held := e.cache.held(s.chain)
	s.spoiled = e.cache.spoiled(s.chain[:held], s.version)
	s.cached = min(held*cache.BlockTokens, cache.Tokens(len(s.prompt.Prompt))-1)
	fresh := make([]carried, 0, len(s.chain)-held)
	for _, h := range s.chain[held:] {
		fresh = append(fresh, carried{target.Block{Hash: h}, contentOf(h, s.version)})
	}
	e.cache.use(s.chain[:held])
	e.cache.add(parentOf(s.chain, held), fresh)
	tokens := cache.Tokens(len(s.prompt.Prompt)) - s.cached
	speed := e.o.PrefillTokensPerSecond / (1 + perRunning*float64(e.running))
	took := time.Duration(float64(tokens) / speed * float64(time.Second))
	e.busy += took
	e.runs = append(e.runs, EngineRun{
		Arrived: s.arrived, Began: time.Now(), Request: s.id, Version: s.version, Tokens: cache.Tokens(len(s.prompt.Prompt)), Cached: s.cached, Spoiled: s.spoiled,
		Salt: s.prompt.CacheSalt, Head: s.prompt.Prompt[:min(len(s.prompt.Prompt), headBytes)],
	})
	e.running++
	return took
}

func parentOf(chain []cache.Hash, at int) cache.Hash {
	if at == 0 {
		return cache.Hash{}
	}
	return chain[at-1]
}
