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
	"maps"
	"net"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/event"
	"embertally.dev/core/plat"
	"embertally.dev/core/wire"
)

// Part is what a slice attaches to heartbeats. A part with a method Told hears
// when a round of heartbeats was sent.
type Part interface {
	// Collect returns the part of one heartbeat, or nil for none. full asks
	// for everything, not only for what changed.
	Collect(full bool) any
	// Receive takes the part of a peer's heartbeat.
	Receive(peer string, body []byte)
}

// BoxLister reads the platform's list of boxes.
type BoxLister interface {
	// Read returns the list, or changed false if it is the same as last time.
	Read(ctx context.Context) (boxes []plat.Box, changed bool, err error)
}

// Options of a fleet.
type Options struct {
	Name        string
	Incarnation string
	// Address and Domain are told in heartbeats, so that a peer that cannot read
	// the box list finds this daemon; an empty address is not told.
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
	marks      map[string]Mark     // guarded by fleetMu
	draining   bool                // guarded by fleetMu
	// failed is until when a peer of another cell counts as lost. Guarded by
	// fleetMu.
	failed map[string]time.Time
	// contact is when anything of the fleet or platform was last heard.
	// Guarded by fleetMu.
	contact time.Time
}

type namedPart struct {
	name string
	part Part
}

// heard is what is known of a peer from its heartbeats.
type heard struct {
	at          time.Time
	incarnation string
	draining    bool
	alive       bool
	// address and domain are the peer's where it told them.
	address string
	domain  string
	// full is the incarnation of the peer that a full heartbeat was taken from.
	full string
	// acknowledged is this daemon's incarnation of which the peer says that it
	// has taken a full heartbeat.
	acknowledged string
	// beats counts the heartbeats sent since the last full one.
	beats int
}

const kindBeat wire.Kind = "fleet.beat"

// beat is a heartbeat.
type beat struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack    struct{} `msgpack:",as_array"`
	Incarnation string
	Draining    bool
	// Full tells that the parts say everything, not only what changed.
	Full bool
	// Taken is the receiver's incarnation of which the sender has taken a full
	// heartbeat; without it the receiver goes on sending full ones.
	Taken string
	Parts []beatPart
	// Address and Domain are the sender's; full heartbeats tell them.
	Address string
	Domain  string
}

type beatPart struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	Body     msgpack.RawMessage
}

// New returns a fleet that knows only this daemon.
func New(o Options) *Fleet {
	f := &Fleet{
		o: o, kick: make(chan struct{}, 1), heard: map[string]*heard{}, links: map[string]*wire.Link{},
		marks: map[string]Mark{}, failed: map[string]time.Time{},
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
func (f *Fleet) Contact() time.Time {
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

// kickPause gathers what changes together. Daemons that choose on loads of 75 ms
// ago, the mean age with heartbeats alone, all take the same worker.
const kickPause = 5 * time.Millisecond

// loop sends heartbeats and notices lost peers.
func (f *Fleet) loop(ctx context.Context) {
	last := time.Now()
	t := time.NewTicker(f.o.Heartbeat)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-f.kick:
			time.Sleep(kickPause)
		}
		if gap := time.Since(last); gap > f.o.Suspect {
			f.wake(gap)
		}
		last = time.Now()
		f.notice(last)
		f.send(ctx)
	}
}

// wake gives the peers time to be heard again after this process was stopped.
func (f *Fleet) wake(gap time.Duration) {
	f.fleetMu.Lock()
	now := time.Now()
	for _, h := range f.heard {
		if h.alive {
			h.at = now
		}
	}
	f.fleetMu.Unlock()
	for _, g := range f.woke {
		g(gap)
	}
}

// notice marks peers that were silent for too long.
func (f *Fleet) notice(now time.Time) {
	f.fleetMu.Lock()
	var lost []string
	for name, h := range f.heard {
		if h.alive && now.Sub(h.at) > f.o.Suspect {
			h.alive = false
			lost = append(lost, name)
		}
		if !h.alive && now.Sub(h.at) > forgetAfter {
			delete(f.heard, name)
		}
	}
	f.fleetMu.Unlock()
	for _, name := range lost {
		f.o.Log.Emit(event.PeerDown, event.Ref{}, name)
	}
	if len(lost) > 0 {
		f.rebuild()
	}
}

// forgetAfter is how long a lost peer is remembered.
const forgetAfter = 10 * time.Minute

// fullEvery is how many heartbeats lie between full ones.
const fullEvery = 20

// sendLimit bounds the sending of one heartbeat.
const sendLimit = 500 * time.Millisecond

func (f *Fleet) send(ctx context.Context) {
	var part, full *beat
	view := f.View()
	for _, p := range view.peers {
		if p.Cell != view.cell || p.Address == "" {
			continue
		}
		msg := &part
		wantsFull, taken := f.wantsFull(p)
		if wantsFull {
			msg = &full
		}
		if *msg == nil {
			*msg = f.collect(wantsFull)
		}
		own := **msg
		own.Taken = taken
		go sender{f, p, &own}.run(ctx)
	}
	for _, p := range f.parts {
		if t, ok := p.part.(interface{ Told() }); ok {
			t.Told()
		}
	}
}

// wantsFull reports whether the peer's next heartbeat is a full one, and which
// incarnation of the peer a full one was taken from.
func (f *Fleet) wantsFull(p Peer) (full bool, taken string) {
	f.fleetMu.Lock()
	defer f.fleetMu.Unlock()
	h := f.heard[p.Name]
	if h == nil {
		return true, ""
	}
	h.beats++
	if h.acknowledged == f.o.Incarnation && h.beats < fullEvery {
		return false, h.full
	}
	h.beats = 0
	return true, h.full
}

func (f *Fleet) collect(full bool) *beat {
	f.fleetMu.Lock()
	b := &beat{Incarnation: f.o.Incarnation, Draining: f.draining, Full: full}
	if full {
		b.Address, b.Domain = f.o.Address, f.o.Domain
	}
	f.fleetMu.Unlock()
	for _, p := range f.parts {
		v := p.part.Collect(full)
		if v == nil {
			continue
		}
		raw, err := msgpack.Marshal(v)
		if err == nil {
			b.Parts = append(b.Parts, beatPart{Name: p.name, Body: raw})
		}
	}
	return b
}

// sender sends one heartbeat to one peer.
type sender struct {
	f    *Fleet
	peer Peer
	msg  *beat
}

func (s sender) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sendLimit)
	defer cancel()
	// A heartbeat that is lost is made up for by the next.
	_ = s.f.link(s.peer).Notify(ctx, kindBeat, s.msg)
}

// receive takes a heartbeat.
func (f *Fleet) receive(_ context.Context, from string, b *beat) (struct{}, error) {
	if f.hear(from, b) {
		f.o.Log.Emit(event.PeerUp, event.Ref{}, from)
		f.rebuild()
	}
	for _, bp := range b.Parts {
		for _, p := range f.parts {
			if p.name == bp.Name {
				p.part.Receive(from, bp.Body)
			}
		}
	}
	return struct{}{}, nil
}

// hear records a heartbeat and reports whether the view changes by it.
func (f *Fleet) hear(from string, b *beat) bool {
	f.fleetMu.Lock()
	defer f.fleetMu.Unlock()
	now := time.Now()
	f.contact = now
	h := f.heard[from]
	if h == nil {
		h = &heard{}
		f.heard[from] = h
	}
	changed := !h.alive || h.incarnation != b.Incarnation || h.draining != b.Draining
	h.at, h.alive = now, true
	h.incarnation, h.draining, h.acknowledged = b.Incarnation, b.Draining, b.Taken
	if b.Full {
		h.full = b.Incarnation
		changed = changed || h.address != b.Address
		h.address, h.domain = b.Address, b.Domain
	}
	return changed
}

// rebuild makes the view anew from what is known.
func (f *Fleet) rebuild() {
	f.fleetMu.Lock()
	defer f.fleetMu.Unlock()
	v := &View{
		self: f.o.Name, boxes: f.boxes, boxesKnown: f.boxesKnown, marks: maps.Clone(f.marks),
		draining: f.draining, at: time.Now(),
	}
	known := f.knownPeers()
	v.cells = cellCount(len(known) + 1)
	v.cell = v.CellOf(f.o.Name)
	for _, p := range known {
		f.fill(&p, v)
		v.peers = append(v.peers, p)
		if p.Alive && !p.Draining && p.Cell == v.cell {
			v.duty = append(v.duty, p.Name)
		}
	}
	if !f.draining {
		v.duty = append(v.duty, f.o.Name)
	}
	sort.Strings(v.duty)
	f.view.Store(v)
	for name, l := range f.links {
		if _, known := v.peer(name); !known {
			l.Close()
			delete(f.links, name)
		}
	}
}

// fill completes a peer from what its heartbeats said.
func (f *Fleet) fill(p *Peer, v *View) {
	p.Cell = v.CellOf(p.Name)
	if h := f.heard[p.Name]; h != nil {
		p.Alive, p.Incarnation, p.Draining = h.alive, h.incarnation, h.draining
	}
	if p.Cell != v.cell {
		p.Alive = v.at.After(f.failed[p.Name])
	}
	box := f.boxes[p.Name]
	p.Listed = box.State == plat.BoxLive
	if box.State == plat.BoxLeaving {
		p.Draining = true
	}
}

// knownPeers joins the box list with the settings; the list counts where both
// name a peer. Without a list, peers that are heard count as well.
func (f *Fleet) knownPeers() []Peer {
	byName := map[string]Peer{}
	for _, s := range f.o.Seeds {
		_, listed := f.boxes[s.Name]
		heard := f.heard[s.Name]
		if !f.boxesKnown || listed || (heard != nil && heard.alive) {
			byName[s.Name] = s
		}
	}
	for _, b := range f.boxes {
		if b.Role == plat.RoleEntry {
			byName[b.Name] = Peer{Name: b.Name, Address: b.Address, Domain: b.Domain}
		}
	}
	if !f.boxesKnown {
		f.addHeard(byName)
	}
	delete(byName, f.o.Name)
	out := slices.Collect(maps.Values(byName))
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// addHeard adds the peers that told where they are. It is called with fleetMu
// held.
func (f *Fleet) addHeard(byName map[string]Peer) {
	for name, h := range f.heard {
		if _, known := byName[name]; !known && h.alive && h.address != "" {
			byName[name] = Peer{Name: name, Address: h.address, Domain: h.domain}
		}
	}
}

func (f *Fleet) link(p Peer) *wire.Link {
	f.fleetMu.Lock()
	defer f.fleetMu.Unlock()
	l := f.links[p.Name]
	if l == nil || l.Address() != p.Address {
		if l != nil {
			l.Close()
		}
		l = wire.NewLink(f.o.Name, p.Name, p.Address, f.o.TLS)
		f.links[p.Name] = l
	}
	return l
}

// ErrNoPeer says that a daemon is not known.
var ErrNoPeer = errors.New("no such daemon is known")

// failPause is how long a peer of another cell counts as lost after a failed
// call.
const failPause = 2 * time.Second

// Call sends a message to a peer and waits for its answer.
func (f *Fleet) Call(ctx context.Context, peer string, kind wire.Kind, req, resp any) error {
	p, ok := f.View().peer(peer)
	if !ok || p.Address == "" {
		return errors.Wrapf(wire.ErrNotSent, "%s: %v", peer, ErrNoPeer)
	}
	err := f.link(p).Call(ctx, kind, req, resp)
	if err != nil && !errors.Is(err, wire.ErrRemote) {
		f.fleetMu.Lock()
		f.failed[peer] = time.Now().Add(failPause)
		f.fleetMu.Unlock()
	}
	return err
}

// Notify sends a message that gets no answer.
func (f *Fleet) Notify(ctx context.Context, peer string, kind wire.Kind, msg any) error {
	p, ok := f.View().peer(peer)
	if !ok || p.Address == "" {
		return errors.Wrapf(wire.ErrNotSent, "%s: %v", peer, ErrNoPeer)
	}
	return f.link(p).Notify(ctx, kind, msg)
}

func (v *View) peer(name string) (Peer, bool) {
	i, ok := slices.BinarySearchFunc(v.peers, name, func(p Peer, n string) int {
		if p.Name < n {
			return -1
		}
		if p.Name > n {
			return 1
		}
		return 0
	})
	if !ok {
		return Peer{}, false
	}
	return v.peers[i], true
}

// Bytes returns how many bytes went between this daemon and its peers.
func (f *Fleet) Bytes() int64 {
	n := f.mux.Bytes()
	f.fleetMu.Lock()
	defer f.fleetMu.Unlock()
	for _, l := range f.links {
		n += l.Bytes()
	}
	return n
}
