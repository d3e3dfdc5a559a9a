package fleet

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/wire"
)

// Part supplies one component's part of the heartbeats. If it has a method Told, that is called
// after each round of heartbeats.
type Part interface {
	// Collect returns the body for one heartbeat, or nil for none. With full it covers the whole
	// state, otherwise only what changed.
	Collect(full bool) any
	// Receive handles the body from a peer's heartbeat.
	Receive(peer string, body []byte)
}

type namedPart struct {
	name string
	part Part
}

const kindHeartbeat wire.Kind = "fleet.beat"

// heartbeat is the message that daemons of a cell send each other at intervals.
type heartbeat struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack    struct{} `msgpack:",as_array"`
	Incarnation string
	Draining    bool
	// Full means that the parts carry the whole state, not only what changed.
	Full bool
	// AckedIncarnation acknowledges a full heartbeat: it is the incarnation of the receiver that
	// the sender last received one from. Until the receiver sees its own incarnation here, it
	// keeps sending full ones.
	AckedIncarnation string
	Parts            []heartbeatPart
	// Address and Domain are the sender's peer address and failure domain; set in full
	// heartbeats only.
	Address string
	Domain  string
}

// heartbeatPart is the body of one Part, by the name it was attached with.
type heartbeatPart struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	Body     msgpack.RawMessage
}

// peerState is what a peer's heartbeats reported.
type peerState struct {
	lastHeartbeat clock.Time
	incarnation   string
	draining      bool
	alive         bool // false once no heartbeat arrived for longer than Options.SuspectAfter
	// address and domain are the peer's, from its last full heartbeat; empty if that carried
	// none.
	address string
	domain  string
	// fullIncarnation is the incarnation of the peer that sent its last full heartbeat.
	fullIncarnation string
	// ackedIncarnation is the incarnation of this daemon from which the peer last acknowledged a
	// full heartbeat.
	ackedIncarnation string
	// sinceFull counts the heartbeats sent to the peer since the last full one.
	sinceFull int
	// linkOpened is Opened of the peer's link when the last heartbeat was sent.
	linkOpened int64
}

// batchDelay is the delay of heartbeats after TriggerHeartbeat, so that changes made
// together go out in one.
// It is short because with regular heartbeats alone load reports are 75 ms old on average, and
// daemons that choose by loads of that age all pick the same worker.
const batchDelay = 5 * time.Millisecond

// loop sends heartbeats and detects lost peers until ctx ends.
func (f *Fleet) loop(ctx context.Context) {
	last := clock.Now()
	t := time.NewTimer(f.opts.HeartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-f.trigger:
			time.Sleep(batchDelay)
		}
		t.Reset(f.interval())
		if gap := clock.Since(last); gap > f.opts.SuspectAfter {
			f.resumed(gap)
		}
		last = clock.Now()
		f.detectLost(last)
		f.sendHeartbeats(ctx)
	}
}

// Heartbeat rates of large fleets.
const (
	// From largeFleetCells cells on, heartbeats without changes are sent largeFleetFactor times
	// less often. Changes are sent at once.
	largeFleetCells  = 3
	largeFleetFactor = 2
	// minHeartbeats is the minimum number of heartbeats within Options.SuspectAfter, and
	// minHeartbeatsDomains the same where cells lie within failure domains: in fleets of that
	// size, most of a daemon's wakeups are due to heartbeats.
	minHeartbeats        = 4
	minHeartbeatsDomains = 3
)

// interval returns the longest time between two heartbeats.
func (f *Fleet) interval() time.Duration {
	view := f.View()
	switch {
	case view.cells < largeFleetCells:
		return f.opts.HeartbeatInterval
	case view.plan != nil && len(view.plan.domains) > 0:
		return max(f.opts.HeartbeatInterval, f.opts.SuspectAfter/minHeartbeatsDomains)
	}
	return max(f.opts.HeartbeatInterval, min(largeFleetFactor*f.opts.HeartbeatInterval, f.opts.SuspectAfter/minHeartbeats))
}

// resumed restarts the timeouts of all live peers, since their heartbeats could not arrive while
// this process was stopped or suspended, and calls the functions registered with OnResume.
func (f *Fleet) resumed(gap time.Duration) {
	f.fleetMu.Lock()
	now := clock.Now()
	for _, state := range f.peerStates {
		if state.alive {
			state.lastHeartbeat = now
		}
	}
	f.fleetMu.Unlock()
	for _, g := range f.onResume {
		g(gap)
	}
}

// forgetAfter is how long the state of a peer is kept after its last heartbeat.
const forgetAfter = 10 * time.Minute

// detectLost marks the peers as lost whose last heartbeat is older than Options.SuspectAfter.
func (f *Fleet) detectLost(now clock.Time) {
	f.fleetMu.Lock()
	var lost []string
	for name, state := range f.peerStates {
		if state.alive && now.Sub(state.lastHeartbeat) > f.opts.SuspectAfter {
			state.alive = false
			lost = append(lost, name)
		}
		if !state.alive && now.Sub(state.lastHeartbeat) > forgetAfter {
			delete(f.peerStates, name)
		}
	}
	f.fleetMu.Unlock()
	for _, name := range lost {
		f.opts.Log.Emit(event.PeerDown, event.Ref{}, name)
	}
	if len(lost) > 0 {
		f.rebuild()
	}
}

// fullEvery is the number of heartbeats to a peer from one full one to the next.
const fullEvery = 20

// sendTimeout bounds the sending of one heartbeat.
const sendTimeout = 500 * time.Millisecond

// sendHeartbeats sends a heartbeat to each peer of this daemon's cell, full or with changes
// only.
func (f *Fleet) sendHeartbeats(ctx context.Context) {
	var partial, full *heartbeat
	view := f.View()
	for _, p := range view.peers {
		if p.Cell != view.cell || p.Address == "" {
			continue
		}
		msg := &partial
		wantsFull, received := f.wantsFull(p)
		if wantsFull {
			msg = &full
		}
		if *msg == nil {
			*msg = f.collect(wantsFull)
		}
		own := **msg
		own.AckedIncarnation = received
		go sender{f, p, &own}.run(ctx)
	}
	for _, p := range f.parts {
		if t, ok := p.part.(interface{ Told() }); ok {
			t.Told()
		}
	}
}

// wantsFull reports whether the next heartbeat to the peer is a full one, and which incarnation
// of the peer sent the last full one received.
func (f *Fleet) wantsFull(p Peer) (full bool, received string) {
	f.fleetMu.Lock()
	defer f.fleetMu.Unlock()
	state := f.peerStates[p.Name]
	if state == nil {
		return true, ""
	}
	state.sinceFull++
	reopened := false
	if l := f.links[p.Name]; l != nil {
		// Heartbeats sent on the former connection may be lost.
		opened := l.Opened()
		reopened, state.linkOpened = opened != state.linkOpened, opened
	}
	if state.ackedIncarnation == f.opts.Incarnation && state.sinceFull < fullEvery && !reopened {
		return false, state.fullIncarnation
	}
	state.sinceFull = 0
	return true, state.fullIncarnation
}

// collect assembles a heartbeat from all parts, without the parts that cannot be encoded.
func (f *Fleet) collect(full bool) *heartbeat {
	f.fleetMu.Lock()
	msg := &heartbeat{Incarnation: f.opts.Incarnation, Draining: f.draining, Full: full}
	if full {
		msg.Address, msg.Domain = f.opts.Address, f.opts.Domain
	}
	f.fleetMu.Unlock()
	for _, p := range f.parts {
		v := p.part.Collect(full)
		if v == nil {
			continue
		}
		raw, err := msgpack.Marshal(v)
		if err == nil {
			msg.Parts = append(msg.Parts, heartbeatPart{Name: p.name, Body: raw})
		}
	}
	return msg
}

// sender sends one heartbeat to one peer.
type sender struct {
	f    *Fleet
	peer Peer
	msg  *heartbeat
}

func (s sender) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	// The next heartbeat makes up for one that is lost.
	_ = s.f.link(s.peer).Notify(ctx, kindHeartbeat, s.msg)
}

// receive handles a peer's heartbeat.
func (f *Fleet) receive(_ context.Context, from string, msg *heartbeat) (struct{}, error) {
	if f.record(from, msg) {
		f.opts.Log.Emit(event.PeerUp, event.Ref{}, from)
		f.rebuild()
	}
	for _, received := range msg.Parts {
		for _, p := range f.parts {
			if p.name == received.Name {
				p.part.Receive(from, received.Body)
			}
		}
	}
	return struct{}{}, nil
}

// record stores a heartbeat's content and reports whether it changes the view.
func (f *Fleet) record(from string, msg *heartbeat) bool {
	f.fleetMu.Lock()
	defer f.fleetMu.Unlock()
	now := clock.Now()
	f.lastContact = now
	state := f.peerStates[from]
	if state == nil {
		state = &peerState{}
		f.peerStates[from] = state
	}
	changed := !state.alive || state.incarnation != msg.Incarnation || state.draining != msg.Draining
	state.lastHeartbeat, state.alive = now, true
	state.incarnation, state.draining, state.ackedIncarnation = msg.Incarnation, msg.Draining, msg.AckedIncarnation
	if msg.Full {
		state.fullIncarnation = msg.Incarnation
		changed = changed || state.address != msg.Address
		state.address, state.domain = msg.Address, msg.Domain
	}
	return changed
}
