package home

import (
	"time"

	"embertally.dev/core/cache"
	"embertally.dev/core/route"
	"embertally.dev/core/wire"
)

// Kinds of messages between daemons.
const (
	kindPlace    wire.Kind = "home.place"
	kindDone     wire.Kind = "home.done"
	kindLost     wire.Kind = "home.lost"
	kindResynced wire.Kind = "home.resynced"
	kindLinkAsk  wire.Kind = "home.linkAsk"
	kindLinkDone wire.Kind = "home.linkDone"
)

// Ask is a request for a worker, sent to the home of its context.
type Ask struct {
	Request    string     `msgpack:"i"`
	Deployment string     `msgpack:"d"`
	Salt       cache.Salt `msgpack:"s"`
	// Roots is how many first blocks name the context.
	Roots int          `msgpack:"r"`
	Chain []cache.Hash `msgpack:"c"`
	// Tokens is the length of the prompt.
	Tokens int `msgpack:"t"`
	// Deadline is the time left until the first token is due; zero means that
	// it has been given.
	Deadline time.Duration `msgpack:"l"`
	Priority int           `msgpack:"p"`
	Prices   route.Policy  `msgpack:"w"`
	// Targets restricts the workers; empty means all of the deployment.
	Targets []string `msgpack:"a,omitempty"`
	// Exclude are workers that failed this request, and those that asked the daemon for rest.
	Exclude []string `msgpack:"x,omitempty"`
}

// seed returns the start of the chain.
func (a *Ask) seed() cache.Hash { return a.Salt.Seed() }

// Root returns the hash that names the context.
func (a *Ask) Root() cache.Hash { return cache.Root(a.seed(), a.Chain, a.Roots) }

// Answer says where a request goes and why.
type Answer struct {
	Verdict    route.Verdict  `msgpack:"v"`
	Worker     string         `msgpack:"w"`
	Expected   time.Duration  `msgpack:"e"`
	RetryAfter time.Duration  `msgpack:"r,omitempty"`
	Weighed    []route.Option `msgpack:"o,omitempty"`
	// Held is how many blocks the worker was believed to hold.
	Held int `msgpack:"h"`
	// Imported is how many blocks were read from a store for the request.
	Imported  int   `msgpack:"m"`
	LinkBytes int64 `msgpack:"b,omitempty"`
	// Home is the daemon that decided.
	Home string `msgpack:"n"`
	// Boot names the run of the worker, as far as its home knows.
	Boot string `msgpack:"z,omitempty"`
}

// Run names the run of the chosen worker.
func (a *Answer) Run() string { return runName(a.Worker, a.Boot) }

// RunOf names the run of a worker as far as this daemon knows, or returns "".
func (h *Home) RunOf(worker string) string {
	boot := h.loads.boot(worker)
	if boot == "" {
		return ""
	}
	return runName(worker, boot)
}

// runName names one run of a worker: it may start again under its name.
func runName(worker, boot string) string { return worker + "@" + boot }

// Done tells the home of a context how a request ended.
type Done struct {
	Request string       `msgpack:"i"`
	Salt    cache.Salt   `msgpack:"s"`
	Roots   int          `msgpack:"r"`
	Chain   []cache.Hash `msgpack:"c"`
	Worker  string       `msgpack:"w"`
	// Prefilled tells that the worker computed the whole prompt, so that it
	// holds its blocks.
	Prefilled bool `msgpack:"p"`
	// ExportFrom is the shortest context worth keeping, in blocks.
	ExportFrom int `msgpack:"x"`
	// Failed tells that the worker did not answer.
	Failed bool `msgpack:"f,omitempty"`
}

// marks tells the home of contexts what a worker lost or holds.
type marks struct {
	Worker string       `msgpack:"w"`
	Marks  []cache.Mark `msgpack:"m"`
}

// linkAsk asks the scheduler of a store's link for its turn.
type linkAsk struct {
	Store        string `msgpack:"s"`
	Organisation string `msgpack:"o"`
	Bytes        int64  `msgpack:"b"`
	Waiting      bool   `msgpack:"w"`
}

// linkTurn allows a transfer.
type linkTurn struct {
	ID uint64 `msgpack:"i"`
}

// linkDone ends a transfer.
type linkDone struct {
	Store string `msgpack:"s"`
	ID    uint64 `msgpack:"i"`
	// Bytes and Took are what was moved and in which time; zero if it failed.
	Bytes int64         `msgpack:"b"`
	Took  time.Duration `msgpack:"t"`
}

// workerLoad is what the follower of a worker tells its cell.
type workerLoad struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Worker   string
	// Queued is the waiting prompt tokens by priority, lowest first.
	Queued     []int
	Running    int
	Free       int
	Total      int
	Speed      float32
	BlockBytes int
	Loading    bool
	// Holds lists loaded weights as "model@version", with adapters after "+";
	// nil says that they are as before.
	Holds []string
	// AgeMillis is how old the report was when it was sent.
	AgeMillis int
	// Boot names the run of the worker; it is told with Holds.
	Boot string
}

// linkState is what the scheduler of a link tells its cell.
type linkState struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Store    string
	Backlog  int64
	Rate     float64
}
