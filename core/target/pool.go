package target

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/wait"
)

// Pool keeps connections to targets and sends requests on them, each exactly
// once. Unlike the standard transport it never repeats a request by itself,
// says whether a failed one may have arrived, bounds the connections to each
// target, and gives up a connection on which bytes arrive that nobody asked
// for. The zero value is ready.
//
// Lock order: poolMu is taken alone.
type Pool struct {
	// Opened counts the connections that were opened, if set.
	Opened interface{ Inc() }

	poolMu sync.Mutex
	peers  map[string]*peer // guarded by poolMu
}

// peer is what the pool knows of one address.
type peer struct {
	idle []*line
	open int
	most int
	// keep is how long the target keeps an idle connection.
	keep time.Duration
	// trip is the least time that a connection took to open: a round trip.
	trip time.Duration
}

// Bounds of kept connections.
const (
	// keepDefault is how long an idle connection is used where the target does
	// not say how long it keeps one.
	keepDefault = 4 * time.Second
	// keepMargin is left of the time that a target says.
	keepMargin = 700 * time.Millisecond
	// directWrite is the body up to which a request fits into the buffers of a
	// connection, so that its writing does not wait for the target to read.
	directWrite = 4 << 10
	// wroteWait is how long the end of a longer request's writing is waited for
	// when its answer is whole: the last write has returned by then or the
	// target has not read the request.
	wroteWait = 10 * time.Millisecond
	// idleMost bounds the idle connections to one target.
	idleMost = 24
	// waitStep is the pause between looks for a free connection.
	waitStep = 5 * time.Millisecond
)

// ErrFull says that the target has as many connections as it may have.
var ErrFull = errors.New("all connections to the target are in use")

// SetMost bounds the connections to an address; 0 means no bound.
func (p *Pool) SetMost(address string, most int) {
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	p.peer(address).most = most
}

// peer returns what is known of an address. It is called with poolMu held.
func (p *Pool) peer(address string) *peer {
	if p.peers == nil {
		p.peers = map[string]*peer{}
	}
	got := p.peers[address]
	if got == nil {
		got = &peer{keep: keepDefault}
		p.peers[address] = got
	}
	return got
}

// Forget closes the idle connections to an address that is gone.
func (p *Pool) Forget(address string) {
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	known := p.peers[address]
	if known == nil {
		return
	}
	for _, l := range known.idle {
		l.conn.Close()
		known.open--
	}
	known.idle = nil
	if known.open <= 0 {
		delete(p.peers, address)
	}
}

// Room returns how many more requests the connections to an address bear.
func (p *Pool) Room(address string) int {
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	known := p.peers[address]
	if known == nil || known.most == 0 {
		return idleMost
	}
	return known.most - known.open + len(known.idle)
}

// Warm reports whether a connection to an address is open and idle.
func (p *Pool) Warm(address string) bool {
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	known := p.peers[address]
	if known == nil || len(known.idle) == 0 {
		return false
	}
	return time.Since(known.idle[len(known.idle)-1].used) < known.keep
}

// Send sends a request and returns the answer's head. The caller must Close
// the answer. An error is a *SendError.
func (p *Pool) Send(ctx context.Context, address string, out *Outgoing) (*Incoming, error) {
	l, err := p.get(ctx, address, out.Fresh)
	if err != nil {
		return nil, &SendError{cause: err}
	}
	if out.May != nil {
		if err := out.May(); err != nil {
			p.giveBack(l)
			return nil, &SendError{cause: err}
		}
	}
	in := &Incoming{line: l, wrote: make(chan error, 1)}
	began := time.Now()
	in.stop = context.AfterFunc(ctx, func() { l.conn.SetDeadline(time.Unix(1, 0)) })
	w := writer{l, out, in.wrote}
	if len(out.Body) <= directWrite {
		w.run()
	} else {
		go w.run()
	}
	if err := in.head(out.Method); err != nil {
		early := !l.used.IsZero() && time.Since(began) < p.trip(l)
		in.failed = true
		in.Close()
		if c := context.Cause(ctx); c != nil {
			err = c
		}
		return nil, &SendError{Sent: true, Early: early, cause: err}
	}
	return in, nil
}

// Try opens a connection to an address and keeps it for the next request.
func (p *Pool) Try(ctx context.Context, address string) error {
	p.poolMu.Lock()
	known := p.peer(address)
	full := known.most > 0 && known.open >= known.most
	if !full {
		known.open++
	}
	p.poolMu.Unlock()
	if full {
		return errors.WithStack(ErrFull)
	}
	l, err := p.open(ctx, address)
	if err != nil {
		return err
	}
	p.put(l, "")
	return nil
}

// trip returns the round trip of a connection: an end that comes sooner after a request was
// there before the target could read it. A request that was sent to a second worker while that
// one was ending as well, of something else, was taken for what it ended of.
//
// The least time that a connection to the address took to open stands in where the kernel
// measures none: it is longer by what the processes wait for their processor. Taken by itself it
// passed over one end in four tries on a busy machine.
func (p *Pool) trip(l *line) time.Duration {
	if measured := l.leastTrip(); measured > 0 {
		return measured
	}
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	if known := p.peers[l.address]; known != nil {
		return known.trip
	}
	return 0
}

// get returns a connection to an address, waiting a little where all are used.
func (p *Pool) get(ctx context.Context, address string, fresh time.Duration) (*line, error) {
	for {
		l, may := p.take(address, fresh)
		if l != nil {
			return l, nil
		}
		if may {
			return p.open(ctx, address)
		}
		if !wait.For(ctx, waitStep) {
			return nil, errors.WithStack(ErrFull)
		}
	}
}

// take returns an idle connection that is still alive, or whether a new one
// may be opened, which is then counted.
func (p *Pool) take(address string, fresh time.Duration) (*line, bool) {
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	known := p.peer(address)
	most := known.keep
	if fresh > 0 {
		most = min(most, fresh)
	}
	for len(known.idle) > 0 {
		l := known.idle[len(known.idle)-1]
		known.idle = known.idle[:len(known.idle)-1]
		if time.Since(l.used) < most && !l.dead() {
			return l, false
		}
		l.conn.Close()
		known.open--
	}
	if known.most > 0 && known.open >= known.most {
		return nil, false
	}
	known.open++
	return nil, true
}

// drop closes a connection.
func (p *Pool) drop(l *line) {
	l.conn.Close()
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	if known := p.peers[l.address]; known != nil {
		known.open--
	}
}

// put keeps a connection for the next request.
func (p *Pool) put(l *line, keepAlive string) {
	l.used = time.Now()
	p.keepIdle(l, keepAlive)
}

// giveBack keeps a connection that was not used after all; it is as old as before to the target.
func (p *Pool) giveBack(l *line) {
	if l.used.IsZero() {
		l.used = time.Now()
	}
	p.keepIdle(l, "")
}

// keepIdle puts a connection to the idle ones.
func (p *Pool) keepIdle(l *line, keepAlive string) {
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	known := p.peer(l.address)
	if d, ok := keepTime(keepAlive); ok {
		known.keep = d
	}
	if len(known.idle) >= idleMost {
		l.conn.Close()
		known.open--
		return
	}
	known.idle = append(known.idle, l)
}

// keepTime reads how long the target keeps an idle connection.
func keepTime(header string) (time.Duration, bool) {
	for _, f := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(f), "=")
		secs, err := strconv.Atoi(value)
		if name != "timeout" || err != nil {
			continue
		}
		return max(0, time.Duration(secs)*time.Second-keepMargin), true
	}
	return 0, false
}
