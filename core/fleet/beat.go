package fleet

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
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

type namedPart struct {
	name string
	part Part
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
	// Address and Domain are the sender's; only full heartbeats carry them.
	Address string
	Domain  string
}

type beatPart struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	Body     msgpack.RawMessage
}

// heard is what is known of a peer from its heartbeats.
type heard struct {
	at          clock.Time
	incarnation string
	draining    bool
	alive       bool
	// address and domain are the peer's, from its last full heartbeat; empty if
	// that carried none.
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

// kickPause is how long a heartbeat that Kick asks for waits, so that changes made
// together go out in one. It is short since daemons that choose on loads of 75 ms
// ago, the mean age with regular heartbeats alone, all take the same worker.
const kickPause = 5 * time.Millisecond

// loop sends heartbeats and notices lost peers.
func (f *Fleet) loop(ctx context.Context) {
	last := clock.Now()
	t := time.NewTimer(f.o.Heartbeat)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-f.kick:
			time.Sleep(kickPause)
		}
		t.Reset(f.pause())
		if gap := clock.Since(last); gap > f.o.Suspect {
			f.wake(gap)
		}
		last = clock.Now()
		f.notice(last)
		f.send(ctx)
	}
}

// Heartbeats of a large fleet.
const (
	// calmCells is the number of cells from which on heartbeats that tell nothing new come
	// calmShare times as seldom. What is new is told at once.
	calmCells = 3
	calmShare = 2
	// leastBeats is how many heartbeats fall into the silence after which a peer counts as
	// lost, and farBeats the same where cells lie within domains: there they are what most
	// of a daemon's wakes are for.
	leastBeats = 4
	farBeats   = 3
)

// pause returns how long after one heartbeat the next comes at the latest.
func (f *Fleet) pause() time.Duration {
	view := f.View()
	switch {
	case view.cells < calmCells:
		return f.o.Heartbeat
	case view.plan != nil && len(view.plan.domains) > 0:
		return max(f.o.Heartbeat, f.o.Suspect/farBeats)
	}
	return max(f.o.Heartbeat, min(calmShare*f.o.Heartbeat, f.o.Suspect/leastBeats))
}

// wake gives the peers time to be heard again after this process was stopped.
func (f *Fleet) wake(gap time.Duration) {
	f.fleetMu.Lock()
	now := clock.Now()
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

// forgetAfter is how long a lost peer is remembered.
const forgetAfter = 10 * time.Minute

// notice marks peers that were silent for too long.
func (f *Fleet) notice(now clock.Time) {
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

// fullEvery is how many heartbeats lie between full ones.
const fullEvery = 20

// sendLimit bounds the sending of one heartbeat.
const sendLimit = 500 * time.Millisecond

// send sends each peer of this daemon's cell a heartbeat, full or with changes only.
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

// collect makes a heartbeat with the parts of all slices.
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
	now := clock.Now()
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
