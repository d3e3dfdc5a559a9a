package daemon

import (
	"expvar"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"embertally.dev/core/conf"
	"embertally.dev/core/memory"
)

// variable is one metric published by expvar. docs/OPERATIONS.md lists all of them.
type variable struct {
	name    string
	meaning string // its description in docs/OPERATIONS.md
	value   func(d *Daemon) any
}

// counter returns a value function that loads a counter.
func counter(f func(d *Daemon) *atomic.Int64) func(*Daemon) any {
	return func(d *Daemon) any { return f(d).Load() }
}

// variables holds all published metrics, in the order of docs/OPERATIONS.md.
var variables = []variable{
	{"requests", "Callers' requests received.", counter(func(d *Daemon) *atomic.Int64 { return &d.entry.Stats().Requests })},
	{"requestsDone", "Requests answered whole.", counter(func(d *Daemon) *atomic.Int64 { return &d.entry.Stats().Completed })},
	{"requestsRefused", "Requests refused.", counter(func(d *Daemon) *atomic.Int64 { return &d.entry.Stats().Refused })},
	{"requestsRetried", "Tries beyond the first.", counter(func(d *Daemon) *atomic.Int64 { return &d.entry.Stats().Retried })},
	{"requestsRunning", "Requests that have not ended.", func(d *Daemon) any { return d.entry.Running() }},
	{"streamsResumed", "Broken streams that were taken up again.", counter(func(d *Daemon) *atomic.Int64 { return &d.entry.Stats().StreamsResumed })},
	{"streamsBroken", "Streams ended with an explicit error.", counter(func(d *Daemon) *atomic.Int64 { return &d.entry.Stats().StreamsBroken })},
	{"callersGone", "Requests whose caller closed its connection.", counter(func(d *Daemon) *atomic.Int64 { return &d.entry.Stats().CallersDisconnected })},
	{"calls", "Calls of plain services.", counter(func(d *Daemon) *atomic.Int64 { return &d.entry.Stats().Calls })},
	{"callsUnknown", "Calls that were cut with an unknown outcome.", counter(func(d *Daemon) *atomic.Int64 { return &d.entry.Stats().CallsUnknown })},
	{"promptTokens", "Prompt tokens of answered requests.", counter(func(d *Daemon) *atomic.Int64 { return &d.entry.Stats().PromptTokens })},
	{"cachedTokens", "Prompt tokens that workers did not compute.", counter(func(d *Daemon) *atomic.Int64 { return &d.entry.Stats().CachedTokens })},
	{"answerTokens", "Tokens given to callers.", counter(func(d *Daemon) *atomic.Int64 { return &d.entry.Stats().Tokens })},
	{"relayedBytes", "Bytes of answers relayed. They are not control.", counter(func(d *Daemon) *atomic.Int64 { return &d.entry.Stats().RelayedBytes })},
	{"placed", "Decisions made here as the home of a context.", counter(func(d *Daemon) *atomic.Int64 { return &d.contextOwner.Stats().Placed })},
	{"imports", "Contexts read from stores.", counter(func(d *Daemon) *atomic.Int64 { return &d.contextOwner.Stats().Imports })},
	{"importedBlocks", "Blocks read from stores and committed.", counter(func(d *Daemon) *atomic.Int64 { return &d.contextOwner.Stats().ImportedBlocks })},
	{"importsRejected", "Imports with blocks that failed their checks, or that failed whole.", counter(func(d *Daemon) *atomic.Int64 { return &d.contextOwner.Stats().ImportsRejected })},
	{"exports", "Contexts written to stores.", counter(func(d *Daemon) *atomic.Int64 { return &d.contextOwner.Stats().Exports })},
	{"exportedBlocks", "Blocks written to stores.", counter(func(d *Daemon) *atomic.Int64 { return &d.contextOwner.Stats().ExportedBlocks })},
	{"exportsFailed", "Exports that did not finish.", counter(func(d *Daemon) *atomic.Int64 { return &d.contextOwner.Stats().ExportsFailed })},
	{"linkBytes", "Bytes moved over the links to stores for this daemon.", counter(func(d *Daemon) *atomic.Int64 { return &d.contextOwner.Stats().LinkBytes })},
	{"cacheLosses", "Contexts whose home is here of which a worker lost blocks.", counter(func(d *Daemon) *atomic.Int64 { return &d.contextOwner.Stats().CacheLosses })},
	{"contexts", "Contexts whose home is here.", func(d *Daemon) any { return d.contextOwner.Contexts() }},
	{"claimWrites", "Batches of claims committed.", func(d *Daemon) any { return d.once.CommittedBatches() }},
	{"claimShards", "Shards of claims owned here.", func(d *Daemon) any { return d.once.OwnedShards() }},
	{"configurationSequence", "Sequence of the configuration in force.", func(d *Daemon) any { return d.config.Snapshot().Seq() }},
	{"organisations", "Organisations in the configuration.", func(d *Daemon) any { return d.config.Snapshot().Count(conf.KindOrganisation) }},
	{"keyValueCalls", "Calls of the key-value service, a watch counting as one.", func(d *Daemon) any { return d.kv.Calls() }},
	{"keyValueBytes", "Bytes to and from the key-value service.", func(d *Daemon) any { return d.kv.Bytes() }},
	{"peerBytes", "Bytes to and from other daemons.", func(d *Daemon) any { return d.fleet.Bytes() }},
	{"controlBytes", "Bytes of control: to and from peers, the platform's services, and targets beside callers' requests.", func(d *Daemon) any { return d.fleet.Bytes() + d.platformMeter.Bytes() + d.targetMeter.Bytes() }},
	{"controlPlatformBytes", "The part of controlBytes to and from the platform's services.", func(d *Daemon) any { return d.platformMeter.Bytes() }},
	{"controlTargetBytes", "The part of controlBytes to and from targets.", func(d *Daemon) any { return d.targetMeter.Bytes() }},
	{"headBytes", "Memory counted for the heads of requests that are being read or served.", func(d *Daemon) any { now, _ := d.headMemory.Held(memory.CallerHeads); return now }},
	{"connectionsEnded", "Clients' connections that were ended since their place or memory was needed; connectionEnded lines name the reasons.", counter(func(d *Daemon) *atomic.Int64 { return &d.connectionsEnded })},
	{"processorSeconds", "Processor time of the process in seconds.", func(*Daemon) any { return processorTime().Seconds() }},
	{"goroutines", "Goroutines of the process.", func(*Daemon) any { return runtime.NumGoroutine() }},
}

// publish registers the metrics with expvar, which serves them at /debug/vars.
func publish(d *Daemon) {
	for _, v := range variables {
		expvar.Publish(v.name, expvar.Func(func() any { return v.value(d) }))
	}
}

// processorTime returns the user and system CPU time of the process, or 0 if it cannot be read.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
