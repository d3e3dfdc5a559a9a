// Package fleet owns the membership of the fleet: the other daemons and their heartbeats, the
// platform's box list, the drain orders for targets, the cells, and the links to peers.
//
// It must not know what daemons are assigned to do. Other packages add parts to the heartbeats
// and register handlers for their messages.
package fleet

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/memory"
	"embertally.dev/core/plat"
	"embertally.dev/core/wire"
)

// BoxLister reads the platform's list of boxes.
type BoxLister interface {
	// Read returns the list. changed is false if the list is the same as last time.
	Read(ctx context.Context) (boxes []plat.Box, changed bool, err error)
}

// Options configures a Fleet.
type Options struct {
	// Name is the name of this daemon's box, and Incarnation identifies this run of its process.
	Name        string
	Incarnation string
	// Address is this daemon's peer address and Domain its failure domain. Full heartbeats carry
	// them, so that a peer that cannot read the box list finds this daemon. With an empty
	// address such a peer cannot find it.
	Address string
	Domain  string
	// Seeds are the peers named in the settings. They are used until the box list has been read,
	// and afterwards only those that the list names or whose heartbeats arrive.
	Seeds []Peer
	// HeartbeatInterval is the interval between heartbeats.
	HeartbeatInterval time.Duration
	// SuspectAfter is how long a peer may send no heartbeat before it counts as lost.
	SuspectAfter time.Duration
	// BoxPollInterval is the interval between reads of the box list.
	BoxPollInterval time.Duration
	// Boxes reads the box list; if nil, peers are those of Seeds and of received heartbeats.
	Boxes BoxLister
	// TLS returns the client-side configuration; nil for connections without TLS.
	TLS func() *tls.Config
	// Memory, if set, bounds what is held of messages while they are read.
	Memory *memory.Budget
	Log    *event.Log
}

// Fleet tracks the daemons of the fleet and maintains the current View.
//
// Lock order: fleetMu is not held while parts, callbacks or the log are called; the locks of
// links are taken under it.
type Fleet struct {
	opts    Options
	mux     wire.Mux
	view    atomic.Pointer[View]
	trigger chan struct{}
	// parts supply the parts of heartbeats; filled before Run.
	parts []namedPart
	// onResume are called after this process was stopped or suspended; filled before Run.
	onResume []func(gap time.Duration)

	fleetMu sync.Mutex
	// peerStates holds what the heartbeats of each peer reported, by name. Guarded by fleetMu.
	peerStates map[string]*peerState
	// links holds the links to peers by name. Guarded by fleetMu.
	links map[string]*wire.Link
	// closedUnheard and closedReplaced count the unheard calls and the replaced connections of closed
	// links. Guarded by fleetMu.
	closedUnheard, closedReplaced int64
	boxes                         map[string]plat.Box   // the box list, by name; guarded by fleetMu
	boxesLoaded                   bool                  // true once the box list was read; guarded by fleetMu
	cells                         cellCache             // guarded by fleetMu
	drainOrders                   map[string]DrainOrder // by target; guarded by fleetMu
	draining                      bool                  // guarded by fleetMu
	// lostUntil is until when a peer of another cell counts as lost, by name. Guarded by
	// fleetMu.
	lostUntil map[string]clock.Time
	// lastContact is when a heartbeat or the box list was last received. Guarded by fleetMu.
	lastContact clock.Time
}

// New returns a fleet whose view contains this daemon only.
func New(opts Options) *Fleet {
	f := &Fleet{
		opts: opts, trigger: make(chan struct{}, 1), peerStates: map[string]*peerState{}, links: map[string]*wire.Link{},
		drainOrders: map[string]DrainOrder{}, lostUntil: map[string]clock.Time{},
	}
	f.mux.Memory = opts.Memory
	f.mux.Register(kindHeartbeat, wire.Handle(f.receive))
	f.Attach("marks", (*drainOrderPart)(f))
	f.rebuild()
	return f
}

// Mux returns the mux on which other packages register their message handlers.
func (f *Fleet) Mux() *wire.Mux { return &f.mux }

// Attach adds a part, identified by name, to the heartbeats. It must be called before Run.
func (f *Fleet) Attach(name string, p Part) { f.parts = append(f.parts, namedPart{name, p}) }

// OnResume registers g to be called after this process was stopped or suspended for longer than
// Options.SuspectAfter. It must be called before Run.
func (f *Fleet) OnResume(g func(gap time.Duration)) { f.onResume = append(f.onResume, g) }

// View returns the current view of the fleet.
func (f *Fleet) View() *View { return f.view.Load() }

// TriggerHeartbeat triggers heartbeats ahead of schedule, when their content has changed.
func (f *Fleet) TriggerHeartbeat() {
	select {
	case f.trigger <- struct{}{}:
	default:
	}
}

// Drain makes this daemon take no new assignments.
func (f *Fleet) Drain() {
	f.fleetMu.Lock()
	f.draining = true
	f.fleetMu.Unlock()
	f.rebuild()
	f.TriggerHeartbeat()
}

// LastContact returns when a heartbeat of a peer or the box list was last received.
func (f *Fleet) LastContact() clock.Time {
	f.fleetMu.Lock()
	defer f.fleetMu.Unlock()
	return f.lastContact
}

// Run serves peers on l and keeps the view current until ctx ends.
func (f *Fleet) Run(ctx context.Context, l net.Listener) {
	var wg sync.WaitGroup
	wg.Go(func() { f.mux.Serve(ctx, l) })
	if f.opts.Boxes != nil {
		wg.Go(func() { boxReader{f}.run(ctx) })
	}
	f.loop(ctx)
	wg.Wait()
	f.fleetMu.Lock()
	defer f.fleetMu.Unlock()
	for _, link := range f.links {
		link.Close()
	}
}
