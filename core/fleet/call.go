package fleet

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/wire"
)

// link returns the link to a peer. It creates one if there is none or the peer's address has
// changed.
func (f *Fleet) link(p Peer) *wire.Link {
	f.fleetMu.Lock()
	defer f.fleetMu.Unlock()
	l := f.links[p.Name]
	if l == nil || l.Address() != p.Address {
		if l != nil {
			f.closeLink(l)
		}
		l = wire.NewLink(f.opts.Name, p.Name, p.Address, f.opts.TLS)
		l.Memory = f.opts.Memory
		l.OnReplaced = func(silence time.Duration) { f.connectionReplaced(p.Name, silence) }
		f.links[p.Name] = l
	}
	return l
}

// closeLink closes a link that is no longer used and keeps its counts. It is called with fleetMu held.
func (f *Fleet) closeLink(l *wire.Link) {
	l.Close()
	f.closedUnheard += l.UnheardCalls()
	f.closedReplaced += l.Replaced()
}

// ErrNoPeer means that the view does not contain the daemon, or has no address for it.
var ErrNoPeer = errors.New("unknown daemon")

// holdDown is how long a peer of another cell counts as lost after a failed call.
const holdDown = 2 * time.Second

// connectionReplaced records that a connection to a peer had gone silent. The peer has missed the
// heartbeats sent on it.
func (f *Fleet) connectionReplaced(peer string, silence time.Duration) {
	f.opts.Log.Emit(event.ConnectionReplaced, event.Ref{}, peer+", silent for "+silence.Round(time.Millisecond).String())
	f.TriggerHeartbeat()
}

// Call sends a request to a peer and waits for its response.
func (f *Fleet) Call(ctx context.Context, peer string, kind wire.Kind, req, resp any) error {
	return f.callPeer(peer, func(l *wire.Link) error { return l.Call(ctx, kind, req, resp) })
}

// Query is Call for a request that the peer may handle twice: it is sent once more if its connection
// is lost.
func (f *Fleet) Query(ctx context.Context, peer string, kind wire.Kind, req, resp any) error {
	return f.callPeer(peer, func(l *wire.Link) error { return l.Query(ctx, kind, req, resp) })
}

// callPeer makes a call on the link to a peer, and records a failure.
func (f *Fleet) callPeer(peer string, call func(*wire.Link) error) error {
	p, ok := f.View().Peer(peer)
	if !ok || p.Address == "" {
		return errors.Wrapf(wire.ErrNotSent, "%s: %v", peer, ErrNoPeer)
	}
	err := call(f.link(p))
	if err != nil && !errors.Is(err, wire.ErrRemote) {
		f.fleetMu.Lock()
		f.lostUntil[peer] = clock.Now().Add(holdDown)
		f.fleetMu.Unlock()
	}
	return err
}

// OpenStream opens a connection to a peer and requests a stream on it; see wire.OpenStream.
func (f *Fleet) OpenStream(ctx context.Context, peer string, kind wire.Kind, req, resp any) (net.Conn, error) {
	p, ok := f.View().Peer(peer)
	if !ok || p.Address == "" {
		return nil, errors.Wrapf(wire.ErrNotSent, "%s: %v", peer, ErrNoPeer)
	}
	return wire.OpenStream(ctx, f.opts.Name, p.Name, p.Address, f.opts.TLS, kind, req, resp)
}

// Notify sends a message that gets no response.
func (f *Fleet) Notify(ctx context.Context, peer string, kind wire.Kind, msg any) error {
	p, ok := f.View().Peer(peer)
	if !ok || p.Address == "" {
		return errors.Wrapf(wire.ErrNotSent, "%s: %v", peer, ErrNoPeer)
	}
	return f.link(p).Notify(ctx, kind, msg)
}

// Bytes returns the number of bytes exchanged with peers.
func (f *Fleet) Bytes() int64 {
	n := f.mux.Bytes()
	f.fleetMu.Lock()
	defer f.fleetMu.Unlock()
	for _, l := range f.links {
		n += l.Bytes()
	}
	return n
}

// UnheardCalls returns the number of calls to peers that ended without a response while nothing else
// was received on their connection either.
func (f *Fleet) UnheardCalls() int64 {
	return f.sumLinks(&f.closedUnheard, (*wire.Link).UnheardCalls)
}

// Replaced returns the number of connections to peers that had gone silent and were replaced.
func (f *Fleet) Replaced() int64 { return f.sumLinks(&f.closedReplaced, (*wire.Link).Replaced) }

// sumLinks returns the sum of a count over all links. closed is that of the closed ones; it is guarded
// by fleetMu.
func (f *Fleet) sumLinks(closed *int64, count func(*wire.Link) int64) int64 {
	f.fleetMu.Lock()
	defer f.fleetMu.Unlock()
	n := *closed
	for _, l := range f.links {
		n += count(l)
	}
	return n
}
