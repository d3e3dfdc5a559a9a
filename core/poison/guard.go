package poison

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/plat"
	"embertally.dev/core/wire"
)

const (
	kindCrash wire.Kind = "poison.end"
	kindBlock wire.Kind = "poison.block"
)

// Options configure a Guard.
type Options struct {
	Fleet *fleet.Fleet
	// Dial opens a connection to the address of an incarnation of a target and keeps it for use. It
	// returns an error that wraps ECONNREFUSED only if the target itself refuses connections.
	Dial func(ctx context.Context, address, incarnation string) error
	Log  *event.Log
	// Store is the coordination store and WatchCache its copy here. The store keeps the blocks for
	// daemons that start while no other one is up. Both may be nil.
	Store      plat.Writer
	WatchCache *plat.WatchCache
}

// Guard blocks requests that crash targets.
//
// A daemon whose connection to a target breaks under a request finds out whether the target's
// incarnation crashed: it refuses a new connection, or the platform's list says so. In that case
// the daemon reports the crash to the crash trackers of the request, two daemons of the whole fleet
// chosen by rendezvous hashing of the request digest, so that the crashes are counted in one place
// whichever daemons saw them. At the third incarnation a crash tracker blocks the request: it
// notifies two daemons of each cell, whose heartbeats notify the others, and writes the block to
// the coordination store. Each daemon receives it over a chain of a few messages, whatever the size
// of the fleet, and none of them needs the store.
//
// Prompts that crash targets may differ and only share a part. All crashes under prompts are therefore also
// reported to two daemons of the fleet that compare them (see partTracker). Which parts were answered well is
// recorded by each daemon and asked for only before a block.
type Guard struct {
	o        Options
	attempts attempts
	tracker  *crashTracker
	blocks   *blockList
	parts    partSuccesses
	suspects partTracker

	countsMu sync.Mutex
	// crashCounts holds the number of incarnations that crashed under each request that this daemon
	// reported, as returned by crash trackers. Guarded by countsMu.
	crashCounts map[Digest]crashCount
	// crashCount is the number of incarnations that crashed under requests of this daemon. Guarded
	// by countsMu.
	crashCount int64
}

// New returns a Guard. It must be called before the fleet runs.
func New(o Options) *Guard {
	g := &Guard{o: o, tracker: newCrashTracker(o.Log), crashCounts: map[Digest]crashCount{}}
	g.blocks = newBlockList(o.Log, o.Fleet.TriggerHeartbeat, g.suspects.forget)
	o.Fleet.Attach("blocks", g.blocks)
	o.Fleet.Mux().Register(kindPartCrash, wire.Handle(g.receivePartCrash))
	o.Fleet.Mux().Register(kindSuccesses, wire.Handle(g.receiveSuccessesQuery))
	o.Fleet.Mux().Register(kindCrash, wire.Handle(g.receiveCrash))
	o.Fleet.Mux().Register(kindBlock, wire.Handle(g.receiveBlocks))
	return g
}

// forget removes the crashes counted here for a block that was revoked.
func (g *Guard) forget(d Digest) {
	g.tracker.forget(d)
	g.suspects.forget(d)
}

// Blocked returns how much longer a request is blocked, by itself or by parts that it holds, and whether it is.
func (g *Guard) Blocked(sent Sent) (time.Duration, bool) {
	if g == nil {
		return 0, false
	}
	_, remaining, blocked := g.blocks.match(&sent)
	return remaining, blocked
}

// BlockName returns the text by which log lines name the block of a request, or "" if it is not blocked.
func (g *Guard) BlockName(sent Sent) string {
	if g == nil {
		return ""
	}
	d, _, blocked := g.blocks.match(&sent)
	if !blocked {
		return ""
	}
	return g.blocks.text(d)
}

// crashCount is a number of crashes, and when it was reported.
type crashCount struct {
	crashes int
	at      clock.Time
}

// Crashes returns the number of incarnations that crashed under a request, as last reported to
// this daemon by crash trackers; 0 if none of them counts any more.
func (g *Guard) Crashes(d Digest) int {
	if g == nil {
		return 0
	}
	g.countsMu.Lock()
	defer g.countsMu.Unlock()
	c, found := g.crashCounts[d]
	if !found || clock.Since(c.at) > crashWindow {
		return 0
	}
	return c.crashes
}

// RecordSuccess records that a request completed well at an incarnation of a target. If the request
// is blocked, this shows that it did not cause the earlier crashes, unless this incarnation crashes
// as well.
func (g *Guard) RecordSuccess(sent Sent, incarnation string) {
	if g == nil {
		return
	}
	g.attempts.recordEnd(incarnation, sent, true)
	g.parts.record(sent, incarnation)
	if d, _, blocked := g.blocks.match(&sent); blocked {
		go unblocker{g, d, sent, incarnation}.run()
	}
}

// ProofTime is how long a target must go on after it began an answer to show that the answer does not crash it.
const ProofTime = delayedCrashWindow

// RecordProgress records that an incarnation of a target has been answering a request for ProofTime. The parts of
// its prompt don't crash targets that begin to answer.
func (g *Guard) RecordProgress(sent Sent, incarnation string) {
	if g != nil {
		g.parts.record(sent, incarnation)
	}
}

// RecordUnprovenEnd records that a request ended at an incarnation of a target, and that nothing tells whether
// it completed well or the target broke it off. It is no evidence for the request, and may still have caused
// a crash.
func (g *Guard) RecordUnprovenEnd(sent Sent, incarnation string) {
	if g != nil {
		g.attempts.recordEnd(incarnation, sent, false)
	}
}

// RecordResponsive records that an incarnation of a target responds.
func (g *Guard) RecordResponsive(incarnation string) {
	if g != nil {
		g.attempts.markResponsive(incarnation)
	}
}

// RecordLostConnection records that the connection to an incarnation of a target broke while a
// request was in flight there, and finds out whether the incarnation crashed.
func (g *Guard) RecordLostConnection(sent Sent, incarnation, address string) {
	if g == nil {
		return
	}
	crashed, first := g.attempts.recordLoss(incarnation, sent)
	switch {
	case crashed:
		go crashReporter{g, incarnation, []Sent{sent}}.run()
		g.recordPartCrash(incarnation, clock.Now(), []Sent{sent})
	case first:
		go prober{g, incarnation, address}.run()
	}
}

// RecordDialError records a failed connection attempt. Only a refused connection counts as a crash.
func (g *Guard) RecordDialError(incarnation string, err error) {
	if g != nil && errors.Is(err, syscall.ECONNREFUSED) {
		g.recordCrash(incarnation, true)
	}
}

// RecordListedCrash records that an incarnation of a target ended unplanned, according to the
// platform's list.
func (g *Guard) RecordListedCrash(incarnation string) {
	if g != nil {
		g.recordCrash(incarnation, false)
	}
}

// recordCrash reports to the crash trackers the requests that were at an incarnation when it
// crashed. refused states that it refused a connection.
func (g *Guard) recordCrash(incarnation string, refused bool) {
	list, at, first := g.attempts.recordCrash(incarnation, refused)
	if first {
		g.parts.withdraw(incarnation, at)
	}
	if len(list) > 0 {
		g.recordPartCrash(incarnation, at, list)
		g.countsMu.Lock()
		g.crashCount++
		g.countsMu.Unlock()
		g.o.Log.Emit(event.TargetEnded, event.Ref{Target: incarnation}, "under "+strconv.Itoa(len(list))+" requests of this daemon: "+listSent(list))
		go crashReporter{g, incarnation, list}.run()
	}
}

// maxLoggedRequests bounds the requests that a log line names.
const maxLoggedRequests = 8

// listSent returns the text by which a log line names requests.
func listSent(list []Sent) string {
	texts := make([]string, 0, maxLoggedRequests)
	for _, sent := range list[:min(len(list), maxLoggedRequests)] {
		texts = append(texts, sent.String())
	}
	return strings.Join(texts, "; ")
}
