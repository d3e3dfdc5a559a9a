// Package detour owns the connections to targets that lead through other boxes: for a daemon whose own
// path to a target is broken it finds another daemon that reaches the target, and it forwards
// connections for such daemons.
//
// Requests stay with the daemon that received them, which chooses targets, counts attempts and load, and
// keeps deadlines; the box in between forwards bytes. The package must not know about requests.
package detour

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/fleet"
	"embertally.dev/core/target"
	"embertally.dev/core/wait"
	"embertally.dev/core/wire"
)

// kindOpen is the kind of requests for connections to targets.
const kindOpen wire.Kind = "detour.open"

// kindLend is the kind of requests for connections that count against the share of the box that opens them.
const kindLend wire.Kind = "detour.lend"

// Bounds of opening connections through other boxes.
const (
	// openTimeout bounds the wait for one box: a connection to a target usually opens within
	// milliseconds, and the box gives up after a quarter of a second.
	openTimeout = 300 * time.Millisecond
	// maxBoxes is how many boxes are asked for one connection, and maxVerdicts how many of them may find
	// that the target does not respond: a box in the same domain may be cut off from it as well.
	maxBoxes    = 4
	maxVerdicts = 2
	// backoffFirst and backoffMax bound how long a box is not asked that did not open a connection.
	backoffFirst = 200 * time.Millisecond
	backoffMax   = 2 * time.Second
	// lostTime is how long open connections through a box are not used after one of them broke.
	lostTime = 500 * time.Millisecond
	// reportTime is how long a peer's report that it is partitioned holds without another one.
	reportTime = time.Second
	// maxForwarded bounds the connections that this daemon forwards for others.
	maxForwarded = 256
)

// preference is the number of connections by which a box may be ahead of a less preferred one: bytes
// that pass between failure domains cost.
const preference = 8

// verdict is the result of a request for a connection.
type verdict uint8

// Verdicts.
const (
	// opened: the connection follows.
	opened verdict = iota
	// refused and silent: the target refuses connections or does not answer, at a box whose network
	// works.
	refused
	silent
	// cannotTell: the box cannot reach the target, has not listed it, or forwards for too many.
	cannotTell
	// full: the box needs its share of the target's connections itself.
	full
)

// openRequest requests a connection to a target.
type openRequest struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Target   string
}

// openResponse is the result.
type openResponse struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Verdict  verdict
}

// Options configure Boxes.
type Options struct {
	// Domain is the failure domain of this daemon.
	Domain string
	Fleet  *fleet.Fleet
	Pool   *target.Pool
	// Locate returns the address and the failure domain of a listed target.
	Locate func(target string) (address, domain string, listed bool)
	// ConnectionShare returns how many connections to a listed target this daemon may have; 0 means no bound.
	ConnectionShare func(target string) int
	// Opened counts the connections opened through other boxes, Failed those that none could open, and
	// Forwarded those opened for others.
	Opened, Failed, Forwarded interface{ Inc() }
	// Borrowed counts the connections that other boxes lent, and Lent those lent to them.
	Borrowed, Lent interface{ Inc() }
}

// Boxes opens connections to targets through other boxes, and forwards for them. It implements
// target.Detour.
//
// Lock order: nothing is called with boxesMu held; the pool calls with its own lock held.
type Boxes struct {
	o       Options
	backoff wait.Backoff[string]
	// lendBackoff is how long boxes are not asked that did not lend a connection.
	lendBackoff wait.Backoff[string]

	boxesMu sync.Mutex
	// open is the number of open connections through each box. Guarded by boxesMu.
	open map[string]int
	// lostAt is when a connection through a box last broke. Guarded by boxesMu.
	lostAt map[string]time.Time
	// partitionedAt is when a peer last reported that it reaches no target. Guarded by boxesMu.
	partitionedAt map[string]time.Time
	forwarded     int  // connections that are forwarded now; guarded by boxesMu
	closed        bool // this daemon forwards no further ones; guarded by boxesMu
}

// New returns Boxes and makes the pool use them. It must be called before the fleet runs.
func New(o Options) *Boxes {
	b := &Boxes{
		o: o, backoff: wait.Backoff[string]{Initial: backoffFirst, Max: backoffMax},
		lendBackoff: wait.Backoff[string]{Initial: lendBackoffFirst, Max: lendBackoffMax},
		open:        map[string]int{}, lostAt: map[string]time.Time{}, partitionedAt: map[string]time.Time{},
	}
	o.Pool.Detour, o.Pool.Lender = b, b
	o.Fleet.Mux().RegisterStream(kindOpen, wire.HandleStream(b.handleOpen))
	o.Fleet.Mux().RegisterStream(kindLend, wire.HandleStream(b.handleLend))
	o.Fleet.Attach("paths", b)
	return b
}

// errNoBox means that no other box opened a connection and none could tell why.
var errNoBox = errors.New("no other box reaches the target")

// Open implements target.Detour.
func (b *Boxes) Open(ctx context.Context, targetID string) (net.Conn, string, error) {
	_, domain, _ := b.o.Locate(targetID)
	candidates, alive := b.candidates(domain, &b.backoff, time.Now())
	if !alive {
		return nil, "", errors.WithStack(target.ErrNoDetour)
	}
	var found error
	verdicts := 0
	for _, box := range candidates[:min(len(candidates), maxBoxes)] {
		conn, verdict := b.openThrough(ctx, box, targetID)
		switch verdict {
		case opened:
			b.o.Opened.Inc()
			return conn, box, nil
		case refused:
			found = target.ErrTargetRefused
			verdicts++
		case silent:
			found = target.ErrTargetSilent
			verdicts++
		default:
		}
		if verdicts >= maxVerdicts || ctx.Err() != nil {
			break
		}
	}
	b.o.Failed.Inc()
	if found == nil {
		found = errNoBox
	}
	return nil, "", errors.WithStack(found)
}

// openThrough requests a connection from one box.
func (b *Boxes) openThrough(ctx context.Context, box, targetID string) (net.Conn, verdict) {
	began := time.Now()
	conn, verdict := b.request(ctx, box, kindOpen, targetID)
	switch {
	case verdict != cannotTell:
		b.backoff.RecordSuccess(box, time.Now())
	case ctx.Err() == nil:
		b.backoff.RecordFailure(box, began, time.Now())
	default:
		// The request that needed the connection is over, as with the slower one of two attempts. That shows
		// nothing of the box.
	}
	return conn, verdict
}

// request makes one kind of request for a connection to one box.
func (b *Boxes) request(ctx context.Context, box string, kind wire.Kind, targetID string) (net.Conn, verdict) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	var response openResponse
	conn, err := b.o.Fleet.OpenStream(ctx, box, kind, &openRequest{Target: targetID}, &response)
	if err != nil {
		return nil, cannotTell
	}
	if response.Verdict != opened {
		conn.Close()
		return nil, response.Verdict
	}
	b.addOpen(box, 1)
	return &countedConn{Conn: conn, onClose: sync.OnceFunc(func() { b.addOpen(box, -1) })}, opened
}

// closeInterval is the interval at which idle connections through other boxes are checked.
const closeInterval = 200 * time.Millisecond

// Run closes idle connections that are not needed any more, or whose box shuts down or is lost, until
// ctx ends.
func (b *Boxes) Run(ctx context.Context) {
	wait.Every(ctx, closeInterval, func() {
		if b.OpenConnections() > 0 {
			b.o.Pool.CloseDetours()
		}
	})
}

// countedConn is a connection that is counted until it is closed.
type countedConn struct {
	net.Conn
	onClose func()
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.onClose()
	return c.Conn.Close()
}

// NetConn returns the connection itself.
func (c *countedConn) NetConn() net.Conn {
	if inner, ok := c.Conn.(interface{ NetConn() net.Conn }); ok {
		return inner.NetConn()
	}
	return c.Conn
}

// addOpen changes the number of open connections through a box.
func (b *Boxes) addOpen(box string, n int) {
	b.boxesMu.Lock()
	defer b.boxesMu.Unlock()
	if b.open[box] += n; b.open[box] <= 0 {
		delete(b.open, box)
	}
}

// candidates returns the boxes to ask for a connection to a target in a domain, best first, and whether
// any other box is alive.
func (b *Boxes) candidates(domain string, backoff *wait.Backoff[string], now time.Time) (boxes []string, alive bool) {
	view := b.o.Fleet.View()
	scores := map[string]int{}
	b.boxesMu.Lock()
	defer b.boxesMu.Unlock()
	for _, p := range view.Peers() {
		if !p.Alive || p.Draining || p.Address == "" {
			continue
		}
		alive = true
		if now.Sub(b.partitionedAt[p.Name]) < reportTime || !backoff.Ready(p.Name, now) {
			continue
		}
		boxes = append(boxes, p.Name)
		score := b.open[p.Name]
		if p.Domain != b.o.Domain {
			score += preference
			if p.Domain != domain {
				score += preference
			}
		}
		if p.Cell != view.Cell() {
			// Daemons of other cells may not list the target.
			score += maxForwarded
		}
		scores[p.Name] = score
	}
	rand.Shuffle(len(boxes), func(i, j int) { boxes[i], boxes[j] = boxes[j], boxes[i] })
	slices.SortStableFunc(boxes, func(x, y string) int { return cmp.Compare(scores[x], scores[y]) })
	return boxes, alive
}

// Usable implements target.Detour.
func (b *Boxes) Usable(box string) bool {
	p, found := b.o.Fleet.View().Peer(box)
	if !found || !p.Alive || p.Draining {
		return false
	}
	b.boxesMu.Lock()
	defer b.boxesMu.Unlock()
	now := time.Now()
	return now.Sub(b.lostAt[box]) >= lostTime && now.Sub(b.partitionedAt[box]) >= reportTime
}

// RecordLost implements target.Detour.
func (b *Boxes) RecordLost(box string) {
	now := time.Now()
	b.backoff.RecordFailure(box, now, now)
	b.boxesMu.Lock()
	defer b.boxesMu.Unlock()
	b.lostAt[box] = now
}

// OpenConnections returns the number of open connections through other boxes, and Forwarded that of
// those forwarded for others.
func (b *Boxes) OpenConnections() int {
	b.boxesMu.Lock()
	defer b.boxesMu.Unlock()
	n := 0
	for _, open := range b.open {
		n += open
	}
	return n
}

// Forwarded returns the number of connections forwarded for others now.
func (b *Boxes) Forwarded() int {
	b.boxesMu.Lock()
	defer b.boxesMu.Unlock()
	return b.forwarded
}

// PartitionedPeers returns the number of peers that reported lately that they reach no target.
func (b *Boxes) PartitionedPeers() int {
	b.boxesMu.Lock()
	defer b.boxesMu.Unlock()
	n := 0
	for _, at := range b.partitionedAt {
		if time.Since(at) < reportTime {
			n++
		}
	}
	return n
}

// Collect implements fleet.Part: a daemon that reaches no target reports so.
func (b *Boxes) Collect(bool) any {
	if !b.o.Pool.Partitioned() {
		return nil
	}
	return true
}

// Receive implements fleet.Part.
func (b *Boxes) Receive(peer string, _ []byte) {
	b.boxesMu.Lock()
	defer b.boxesMu.Unlock()
	b.partitionedAt[peer] = time.Now()
}
