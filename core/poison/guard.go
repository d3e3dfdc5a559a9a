package poison

import (
	"context"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/plat"
	"embertally.dev/core/wire"
)

const (
	kindEnd   wire.Kind = "poison.end"
	kindBlock wire.Kind = "poison.block"
)

// Options of a guard.
type Options struct {
	Fleet *fleet.Fleet
	// Try opens a connection to the address of a run of a target, and keeps it for use.
	Try func(ctx context.Context, address string) error
	Log *event.Log
	// Store and Mirror are the platform's store and what is known of it: it keeps the
	// blocks for daemons that start when no other one is there. Both may be nil.
	Store  plat.Writer
	Mirror *plat.Mirror
}

// Guard keeps requests from targets that end of them.
//
// A daemon whose connection to a target ends under a request finds out whether the target's
// run ended: a new connection is refused, or the platform's list says so. If so it tells the
// keepers of the request: two daemons of the whole fleet, by rendezvous of the fingerprint,
// so that the ends are counted in one place whichever daemons saw them. At the third run a
// keeper blocks the request: it tells two daemons of each cell, whose heartbeats tell the
// others, and writes it to the platform's store. So it takes a few messages in a row until
// all daemons know, however many there are, and none of them needs the store.
type Guard struct {
	o      Options
	sends  sends
	keeper *keeper
	blocks *blocks

	knownMu sync.Mutex
	// known holds how many runs ended under requests that this daemon told of, by what
	// keepers answered. Guarded by knownMu.
	known map[Fingerprint]int
	// runs counts the runs of targets that ended under requests of this daemon. Guarded by
	// knownMu.
	runs int64
}

// New returns a guard. It must be called before the fleet runs.
func New(o Options) *Guard {
	b := newBlocks(o.Log, o.Fleet.Kick)
	g := &Guard{o: o, blocks: b, keeper: newKeeper(o.Log), known: map[Fingerprint]int{}}
	o.Fleet.Attach("blocks", b)
	o.Fleet.Mux().Register(kindEnd, wire.Handle(g.hearEnd))
	o.Fleet.Mux().Register(kindBlock, wire.Handle(g.hearBlocks))
	return g
}

// Blocked returns for how much longer a request must not be sent, if it must not.
func (g *Guard) Blocked(f Fingerprint) (time.Duration, bool) {
	if g == nil {
		return 0, false
	}
	return g.blocks.left(f)
}

// Ends returns how many runs of targets ended under a request as far as this daemon heard.
func (g *Guard) Ends(f Fingerprint) int {
	if g == nil {
		return 0
	}
	g.knownMu.Lock()
	defer g.knownMu.Unlock()
	return g.known[f]
}

// Good records that a request ended well at a run of a target. Where it is blocked it was not
// what the others ended of, unless this run ends as well.
func (g *Guard) Good(f Fingerprint, organisation, run string) {
	if g == nil {
		return
	}
	g.sends.good(run, sent{f, organisation})
	if _, blocked := g.blocks.left(f); blocked {
		go prover{g, f, run}.run()
	}
}

// Answers records that a run of a target answers.
func (g *Guard) Answers(run string) {
	if g != nil {
		g.sends.answers(run)
	}
}

// Lost records that the connection to a run of a target ended while a request was there,
// and finds out whether the run did.
func (g *Guard) Lost(f Fingerprint, organisation, run, address string) {
	if g == nil {
		return
	}
	who := sent{f, organisation}
	ended, first := g.sends.lost(run, who)
	switch {
	case ended:
		go teller{g, run, []sent{who}}.run()
	case first:
		go prober{g, run, address}.run()
	}
}

// Refused records that a run of a target takes no connections.
func (g *Guard) Refused(run string, err error) {
	if g != nil && errors.Is(err, syscall.ECONNREFUSED) {
		g.ended(run, true)
	}
}

// Ended records that the platform's list says that a run of a target ended, not as planned.
func (g *Guard) Ended(run string) {
	if g != nil {
		g.ended(run, false)
	}
}

// ended tells the keepers what was there when a run ended. seen tells that it refused a
// connection.
func (g *Guard) ended(run string, seen bool) {
	if list := g.sends.end(run, seen); len(list) > 0 {
		g.knownMu.Lock()
		g.runs++
		g.knownMu.Unlock()
		g.o.Log.Emit(event.TargetEnded, event.Ref{Target: run}, "under "+strconv.Itoa(len(list))+" requests of this daemon")
		go teller{g, run, list}.run()
	}
}
