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

// EngineOptions configures the size and speed of an emulated engine.
type EngineOptions struct {
	// Name is the target's name.
	Name string
	// Blocks is the capacity of the KV cache in blocks.
	Blocks int
	// BlockBytes is the size of one KV-cache block.
	BlockBytes int
	// PrefillTokensPerSecond is the prefill speed while no other stream runs.
	PrefillTokensPerSecond float64
	// TokenTime is the time between two tokens of a response.
	TokenTime time.Duration
	// EventLag is the delay until a cache event can be read; LoadLag is the interval between load
	// reports.
	EventLag, LoadLag time.Duration
	// Latency is the round-trip time that is added to each request.
	Latency time.Duration
	// ChecksFence makes the engine reject orders with an outdated fencing token.
	ChecksFence bool
	// Weights are loaded from the start.
	Weights []target.Weights
	// WeightStore is the URL of the weight store; if it is empty, weights load without delay.
	WeightStore string
}

// Engine emulates a model engine. A response is a function of model, weights
// version and prompt alone, so that a test can verify that it is complete and
// correct. A block whose content does not match its hash changes every response
// that uses it.
type Engine struct {
	Server
	o           EngineOptions
	incarnation string

	engineMu      sync.Mutex
	cache         blockCache              // guarded by engineMu
	stagedImports map[string]stagedImport // guarded by engineMu
	streams       map[string]*stream      // guarded by engineMu
	queue         []*stream               // waiting for prefill; guarded by engineMu
	prefilling    bool                    // a prefiller runs; guarded by engineMu
	running       int                     // streams in prefill or generation; guarded by engineMu
	weights       []target.Weights        // guarded by engineMu
	loading       bool                    // guarded by engineMu
	maxFence      uint64                  // highest fencing token received; guarded by engineMu
	orders        []target.Order          // accepted; guarded by engineMu
	loadReport    target.Load             // last published, behind the current load; guarded by engineMu
	executions    []EngineExecution       // guarded by engineMu
	prefillTime   time.Duration           // total; guarded by engineMu
	crashText     string                  // prompts that contain it crash the engine; guarded by engineMu
	crashed       bool                    // guarded by engineMu
	pushback
	stop context.CancelFunc // ends the reporter
}

// stagedImport holds imported blocks until they are committed.
type stagedImport struct {
	parent cache.Hash
	blocks []transferredBlock
}

// EngineExecution records one prompt that an engine computed.
type EngineExecution struct {
	// Arrived is when the engine received the prompt.
	Arrived time.Time `json:"arrived"`
	// Started is when its prefill started.
	Started time.Time `json:"began"`
	// Request is the request ID.
	Request string `json:"request"`
	// Version is the weights version.
	Version string `json:"version"`
	// Tokens is the length of the prompt in tokens.
	Tokens int `json:"tokens"`
	// CachedTokens is the number of prompt tokens taken from the cache.
	CachedTokens int `json:"cached"`
	// Salt is the prompt's cache salt.
	Salt string `json:"salt"`
	// PromptStart is the start of the prompt, at most maxPromptStart bytes.
	PromptStart string `json:"head"`
	// Corrupted is set if the content of a cached block did not match its hash.
	Corrupted bool `json:"spoiled"`
}

// stream is one response, from the receipt of its prompt until it has been read
// completely.
type stream struct {
	id           string
	prompt       target.Prompt
	version      string
	adapter      string
	chain        []cache.Hash
	cachedTokens int
	corrupted    bool
	arrived      time.Time
	ctx          context.Context
	cancel       context.CancelFunc
	tokens       []string
	finished     bool
	changed      chan struct{} // closed and replaced at each change of tokens or finished
	readers      int
}

// NewEngine starts an emulated engine that listens at address.
func NewEngine(address string, o EngineOptions) (*Engine, error) {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		o: o, incarnation: uuid.NewString(), stagedImports: map[string]stagedImport{}, streams: map[string]*stream{},
		weights: slices.Clone(o.Weights), stop: cancel,
	}
	e.cache.init(o.Blocks, o.EventLag)
	e.loadReport = e.currentLoad()
	e.latency = o.Latency
	go reporter{e}.run(ctx)
	return e, e.start(address, func(r *echo.Echo) {
		r.POST("/v1/completions", e.complete)
		r.GET("/v1/streams/:id", e.resume)
		r.DELETE("/v1/streams/:id", e.cancelStream)
		r.GET("/v1/cache/events", e.pollEvents)
		r.GET("/v1/cache/contents", e.contents)
		r.POST("/v1/cache/import", e.importBlocks)
		r.POST("/v1/cache/commit", e.commit)
		r.POST("/v1/cache/export", e.exportBlocks)
		r.POST("/v1/orders", e.order)
		r.POST("/evict", func(c echo.Context) error { e.EvictAll(); return c.NoContent(http.StatusNoContent) })
		r.GET("/runs", func(c echo.Context) error { return c.JSON(http.StatusOK, e.Executions()) })
		r.GET("/orders", func(c echo.Context) error { return c.JSON(http.StatusOK, e.Orders()) })
	})
}

// Close stops the engine without waiting for requests.
func (e *Engine) Close() {
	e.stop()
	e.Server.Close()
}

// CrashOn makes the engine crash, for good, when it receives a prompt that contains text.
func (e *Engine) CrashOn(text string) {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	e.crashText = text
}

// Crashed reports whether a prompt has crashed the engine.
func (e *Engine) Crashed() bool {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	return e.crashed
}

// Executions returns a record of every prompt that was computed.
func (e *Engine) Executions() []EngineExecution {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	return append([]EngineExecution{}, e.executions...)
}

// Orders returns every order that was accepted.
func (e *Engine) Orders() []target.Order {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	return append([]target.Order{}, e.orders...)
}

// HasVersion reports whether this version of any model is loaded.
func (e *Engine) HasVersion(version string) bool {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	return slices.ContainsFunc(e.weights, func(w target.Weights) bool { return w.Version == version })
}

// Churn adds chains of new blocks to the cache, as prompts would, until ctx is done;
// a full cache evicts others for them.
func (e *Engine) Churn(ctx context.Context, perSecond float64) {
	t := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer t.Stop()
	seed := cache.Salt{Organisation: "churn", Model: e.incarnation}.Seed()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		chain := cache.Chain(seed, strings.Repeat(fmt.Sprintf("%08d", n), churnChainBlocks*cache.BlockBytes/8))
		blocks := make([]transferredBlock, len(chain))
		for i, h := range chain {
			blocks[i] = transferredBlock{target.Block{Hash: h}, expectedContent(h, "")}
		}
		e.engineMu.Lock()
		e.cache.add(seed, blocks)
		e.engineMu.Unlock()
	}
}

// churnChainBlocks is the length of a chain that Churn adds.
const churnChainBlocks = 16

// EvictAll evicts every block from the cache.
func (e *Engine) EvictAll() {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	e.cache.evict(len(e.cache.blocks))
}

// CachedBlocks returns the number of cached blocks.
func (e *Engine) CachedBlocks() int {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	return len(e.cache.blocks)
}

// priorityClasses is the number of priorities that a load report distinguishes.
const priorityClasses = 10

// currentLoad returns the load at this moment, with the queued prompt tokens that need
// computation for each priority; the caller holds engineMu.
func (e *Engine) currentLoad() target.Load {
	l := target.Load{
		Incarnation: e.incarnation, Running: e.running, TotalBlocks: e.o.Blocks, FreeBlocks: e.o.Blocks - len(e.cache.blocks),
		PrefillTokensPerSecond: e.o.PrefillTokensPerSecond, BlockBytes: e.o.BlockBytes,
		Weights: slices.Clone(e.weights), Loading: e.loading,
	}
	queued := make([]int, priorityClasses)
	for _, s := range e.queue {
		p := min(max(0, -s.prompt.Priority), priorityClasses-1)
		queued[p] += max(1, cache.Tokens(len(s.prompt.Prompt))-e.cache.cachedPrefix(s.chain)*cache.BlockTokens)
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

// reporter updates the load report at intervals of LoadLag, at least 10 ms.
type reporter struct{ e *Engine }

func (r reporter) run(ctx context.Context) {
	interval := max(r.e.o.LoadLag, 10*time.Millisecond)
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		r.e.engineMu.Lock()
		r.e.loadReport = r.e.currentLoad()
		r.e.engineMu.Unlock()
	}
}

// hasWeights reports whether these weights are loaded, with the adapter unless it is
// empty; the caller holds engineMu.
func (e *Engine) hasWeights(model, version, adapter string) bool {
	for _, w := range e.weights {
		if w.Model == model && w.Version == version && (adapter == "" || slices.Contains(w.Adapters, adapter)) {
			return true
		}
	}
	return false
}

// complete queues a prompt and streams its response.
func (e *Engine) complete(c echo.Context) error {
	var p target.Prompt
	if err := json.NewDecoder(c.Request().Body).Decode(&p); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	var salt cache.Hash
	if err := salt.UnmarshalText([]byte(p.CacheSalt)); err != nil {
		return c.String(http.StatusBadRequest, "cache_salt: "+err.Error())
	}
	if e.rejects(c.Response().Header()) {
		return c.String(http.StatusServiceUnavailable, "the engine rests\n")
	}
	model, adapter, _ := strings.Cut(p.Model, ":")
	s := &stream{
		id: c.Request().Header.Get(target.HeaderRequestID), prompt: p, adapter: adapter,
		version: c.Request().Header.Get(target.HeaderWeightVersion),
		chain:   cache.Chain(salt, p.Prompt), arrived: time.Now(), changed: make(chan struct{}),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	e.engineMu.Lock()
	if !e.hasWeights(model, s.version, adapter) {
		e.engineMu.Unlock()
		return c.String(http.StatusConflict, "these weights are not loaded\n")
	}
	if e.crashText != "" && strings.Contains(p.Prompt, e.crashText) {
		e.crashed = true
		e.engineMu.Unlock()
		e.Close()
		return resetConnection(c)
	}
	e.streams[s.id] = s
	e.queue = append(e.queue, s)
	if !e.prefilling {
		e.prefilling = true
		go prefiller{e}.run()
	}
	e.engineMu.Unlock()
	return e.writeStream(c, s, 0)
}

// prefiller computes the queued prompts one at a time until the queue is empty.
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
			p.e.streamStopped()
		}
	}
}

// next removes the prompt with the highest priority (the lowest number) from the queue. It
// returns nil, and ends the prefiller, if the queue is empty.
func (p prefiller) next() *stream {
	e := p.e
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	e.queue = slices.DeleteFunc(e.queue, func(s *stream) bool { return s.ctx.Err() != nil })
	if len(e.queue) == 0 {
		e.prefilling = false
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

// maxPromptStart is how many bytes of a prompt a record contains.
const maxPromptStart = 64

// prefillSlowdownPerStream is the share by which each running stream slows a prefill down.
const prefillSlowdownPerStream = 0.02

// prefill adds the prompt's blocks to the cache and returns how long their
// computation takes.
func (e *Engine) prefill(s *stream) time.Duration {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	hits := e.cache.cachedPrefix(s.chain)
	s.corrupted = e.cache.corrupted(s.chain[:hits], s.version)
	s.cachedTokens = min(hits*cache.BlockTokens, cache.Tokens(len(s.prompt.Prompt))-1)
	fresh := make([]transferredBlock, 0, len(s.chain)-hits)
	for _, h := range s.chain[hits:] {
		fresh = append(fresh, transferredBlock{target.Block{Hash: h}, expectedContent(h, s.version)})
	}
	e.cache.touch(s.chain[:hits])
	e.cache.add(parentBlock(s.chain, hits), fresh)
	tokens := cache.Tokens(len(s.prompt.Prompt)) - s.cachedTokens
	speed := e.o.PrefillTokensPerSecond / (1 + prefillSlowdownPerStream*float64(e.running))
	took := time.Duration(float64(tokens) / speed * float64(time.Second))
	e.prefillTime += took
	e.executions = append(e.executions, EngineExecution{
		Arrived: s.arrived, Started: time.Now(), Request: s.id, Version: s.version, Tokens: cache.Tokens(len(s.prompt.Prompt)), CachedTokens: s.cachedTokens, Corrupted: s.corrupted,
		Salt: s.prompt.CacheSalt, PromptStart: s.prompt.Prompt[:min(len(s.prompt.Prompt), maxPromptStart)],
	})
	e.running++
	return took
}

// parentBlock returns the hash of the block before index at, zero for the first.
func parentBlock(chain []cache.Hash, at int) cache.Hash {
	if at == 0 {
		return cache.Hash{}
	}
	return chain[at-1]
}
