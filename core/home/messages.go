package home

import (
	"time"

	"embertally.dev/core/cache"
	"embertally.dev/core/route"
	"embertally.dev/core/wire"
)

// Message kinds between daemons.
const (
	kindPlace       wire.Kind = "home.place"
	kindOutcome     wire.Kind = "home.done"
	kindLost        wire.Kind = "home.lost"
	kindResynced    wire.Kind = "home.resynced"
	kindLinkRequest wire.Kind = "home.linkAsk"
	kindLinkRelease wire.Kind = "home.linkDone"
)

// PlacementRequest is a request for a worker, sent to the context owner.
type PlacementRequest struct {
	Request    string     `msgpack:"i"`
	Deployment string     `msgpack:"d"`
	Salt       cache.Salt `msgpack:"s"`
	// RootBlocks is the number of first blocks that identify the context.
	RootBlocks int          `msgpack:"r"`
	Chain      []cache.Hash `msgpack:"c"`
	// Tokens is the length of the prompt.
	Tokens int `msgpack:"t"`
	// Deadline is the time remaining until the first token is due; zero if it has been sent
	// already.
	Deadline time.Duration     `msgpack:"l"`
	Priority int               `msgpack:"p"`
	Costs    route.CostWeights `msgpack:"w"`
	// Targets restricts the choice of workers; empty allows all of the deployment.
	Targets []string `msgpack:"a,omitempty"`
	// Exclude are the workers that failed this request or are under pushback.
	Exclude []string `msgpack:"x,omitempty"`
}

// seed returns the hash that starts the chain.
func (req *PlacementRequest) seed() cache.Hash { return req.Salt.Seed() }

// Root returns the hash that identifies the context.
func (req *PlacementRequest) Root() cache.Hash {
	return cache.Root(req.seed(), req.Chain, req.RootBlocks)
}

// PlacementResult is the decision where a request goes, with its reasons.
type PlacementResult struct {
	Verdict    route.Verdict  `msgpack:"v"`
	Worker     string         `msgpack:"w"`
	Expected   time.Duration  `msgpack:"e"`
	RetryAfter time.Duration  `msgpack:"r,omitempty"`
	Options    []route.Option `msgpack:"o,omitempty"`
	// CachedBlocks is how many first blocks of the prompt the worker was recorded as holding.
	CachedBlocks int `msgpack:"h"`
	// ImportedBlocks is the number of blocks read from a store for the request, and LinkBytes the
	// bytes moved for that.
	ImportedBlocks int   `msgpack:"m"`
	LinkBytes      int64 `msgpack:"b,omitempty"`
	// Owner is the daemon that decided.
	Owner string `msgpack:"n"`
	// WorkerIncarnation identifies the incarnation of the worker, if the owner has it.
	WorkerIncarnation string `msgpack:"z,omitempty"`
}

// Incarnation returns the name of the chosen worker's incarnation.
func (ans *PlacementResult) Incarnation() string {
	return incarnationName(ans.Worker, ans.WorkerIncarnation)
}

// Incarnation returns the name of a worker's incarnation, or "" if this daemon has no report of
// it.
func (h *Owner) Incarnation(worker string) string {
	incarnation := h.loads.incarnation(worker)
	if incarnation == "" {
		return ""
	}
	return incarnationName(worker, incarnation)
}

// incarnationName returns the name of one incarnation of a worker, which may restart under
// the same worker name.
func incarnationName(worker, incarnation string) string { return worker + "@" + incarnation }

// Outcome reports the outcome of a request to the context owner.
type Outcome struct {
	Request    string       `msgpack:"i"`
	Salt       cache.Salt   `msgpack:"s"`
	RootBlocks int          `msgpack:"r"`
	Chain      []cache.Hash `msgpack:"c"`
	Worker     string       `msgpack:"w"`
	// Prefilled is set if the worker computed the whole prompt, so that it holds its blocks.
	Prefilled bool `msgpack:"p"`
	// ExportFrom is the minimum length of a context to export, in blocks.
	ExportFrom int `msgpack:"x"`
	// Failed is set if the worker did not respond.
	Failed bool `msgpack:"f,omitempty"`
}

// blockNotice notifies the owner of contexts which blocks a worker lost or holds.
type blockNotice struct {
	Worker string           `msgpack:"w"`
	Blocks []cache.BlockRef `msgpack:"m"`
}

// linkRequest requests permission for a transfer from the scheduler of a store's link.
type linkRequest struct {
	Store        string `msgpack:"s"`
	Organisation string `msgpack:"o"`
	Bytes        int64  `msgpack:"b"`
	// Waiting is set if a caller waits for the transfer.
	Waiting bool `msgpack:"w"`
}

// linkGrant permits a transfer.
type linkGrant struct {
	ID uint64 `msgpack:"i"`
}

// linkRelease ends a transfer.
type linkRelease struct {
	Store string `msgpack:"s"`
	ID    uint64 `msgpack:"i"`
	// Bytes and Took are the size and duration of the transfer; zero if it failed.
	Bytes int64         `msgpack:"b"`
	Took  time.Duration `msgpack:"t"`
}

// workerLoad is the load of a worker, sent to the daemons of its cell by the one that
// follows it.
type workerLoad struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Worker   string
	// Queued is the number of queued prompt tokens by priority, lowest first. Free and Total
	// count blocks, and Speed is in prompt tokens per second.
	Queued     []int
	Running    int
	Free       int
	Total      int
	Speed      float32
	BlockBytes int
	Loading    bool
	// Weights lists the loaded weights as "model@version", with "+adapter" for adapters; nil
	// means unchanged.
	Weights []string
	// AgeMillis is the age of the report when it was sent.
	AgeMillis int
	// Incarnation identifies the worker's incarnation. It is sent with Weights.
	Incarnation string
}

// linkState is the state of a link, sent by its scheduler to the daemons of its cell.
type linkState struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Store    string
	// Backlog is in bytes, and Rate in bytes per second.
	Backlog int64
	Rate    float64
}
