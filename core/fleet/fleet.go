// Package fleet owns who is there: the other daemons and their heartbeats, the
// platform's box list, the drain orders for targets, the cells, and the links
// to peers.
//
// It must not know what duties daemons have. Other slices attach parts to the
// heartbeats and register the messages that they answer.
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
	"embertally.dev/core/plat"
	"embertally.dev/core/wire"
)

// BoxLister reads the platform's list of boxes.
type BoxLister interface {
	// Read returns the list, or changed false if it is the same as last time.
	Read(ctx context.Context) (boxes []plat.Box, changed bool, err error)
}

// Options of a fleet.
type Options struct {
	Name        string
	Incarnation string
	// Address and Domain go out in full heartbeats, so that a peer that cannot read
	// the box list finds this daemon; without an address it is not found so.
	Address string
	Domain  string
	// Seeds are peers known from the settings, for when the box list cannot be
	// read.
	Seeds []Peer
	// Heartbeat is the time between heartbeats.
	Heartbeat time.Duration
	// Suspect is the silence after which a peer counts as lost.
	Suspect time.Duration
	// BoxPause is the time between readings of the box list.
	BoxPause time.Duration
	Boxes    BoxLister
	// TLS returns the client side's configuration; nil for plain links.
	TLS func() *tls.Config
	Log *event.Log
}

// Fleet keeps the view current.
//
// Lock order: fleetMu is taken alone.
type Fleet struct {
	o    Options
	mux  wire.Mux
	view atomic.Pointer[View]
	kick chan struct{}
	// parts is filled before Run.
	parts []namedPart
	// woke are called when this process was stopped; filled before Run.
	woke []func(gap time.Duration)

	fleetMu sync.Mutex
	// heard is what the last heartbeat of each peer said. Guarded by fleetMu.
	heard map[string]*heard
	// links to peers by name. Guarded by fleetMu.
	links      map[string]*wire.Link
	boxes      map[string]plat.Box // guarded by fleetMu
	boxesKnown bool                // guarded by fleetMu
	cells      cellCache           // guarded by fleetMu
	marks      map[string]Mark     // guarded by fleetMu
	draining   bool                // guarded by fleetMu
	// failed is until when a peer of another cell counts as lost. Guarded by
	// fleetMu.
	failed map[string]clock.Time
	// contact is when anything of the fleet or platform was last heard.
	// Guarded by fleetMu.
	contact clock.Time
}

// New returns a fleet that knows only this daemon.
func New(o Options) *Fleet {
	f := &Fleet{
		o: o, kick: make(chan struct{}, 1), heard: map[string]*heard{}, links: map[string]*wire.Link{},
		marks: map[string]Mark{}, failed: map[string]clock.Time{},
	}
	f.mux.Register(kindBeat, wire.Handle(f.receive))
	f.Attach("marks", (*markPart)(f))
	f.rebuild()
	return f
}

// Mux returns where other slices register the messages that they answer.
func (f *Fleet) Mux() *wire.Mux { return &f.mux }

// Attach adds a part to the heartbeats. It must be called before Run.
func (f *Fleet) Attach(name string, p Part) { f.parts = append(f.parts, namedPart{name, p}) }

// OnWake makes g hear when this process was stopped for longer than a peer
// may be silent. It must be called before Run.
func (f *Fleet) OnWake(g func(gap time.Duration)) { f.woke = append(f.woke, g) }

// View returns the fleet as it is now.
func (f *Fleet) View() *View { return f.view.Load() }

// Kick sends heartbeats soon, as when something in them has changed.
func (f *Fleet) Kick() {
	select {
	case f.kick <- struct{}{}:
	default:
	}
}

// Drain makes this daemon take no new duties.
func (f *Fleet) Drain() {
	f.fleetMu.Lock()
	f.draining = true
	f.fleetMu.Unlock()
	f.rebuild()
	f.Kick()
}

// Contact returns when anything of the fleet or the platform was last heard.
func (f *Fleet) Contact() clock.Time {
	f.fleetMu.Lock()
	defer f.fleetMu.Unlock()
	return f.contact
}

// Run answers peers on l and keeps the view current until ctx ends.
func (f *Fleet) Run(ctx context.Context, l net.Listener) {
	var wg sync.WaitGroup
	wg.Go(func() { f.mux.Serve(ctx, l) })
	if f.o.Boxes != nil {
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
