package wire

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/memory"
)

// ErrRemote wraps errors returned by the peer's handler. After any other error of a call except
// ErrNotSent it is unknown whether the peer handled the message.
var ErrRemote = errors.New("peer returned an error")

// ErrNotSent means that a message was not sent, not even in part.
var ErrNotSent = errors.New("message was not sent")

// Link makes calls to one peer over one connection, which it opens when needed.
type Link struct {
	name string
	// peer is the name of the box that the peer's certificate must contain.
	peer    string
	address string
	// tls returns the TLS configuration; nil for connections without TLS.
	tls   func() *tls.Config
	bytes atomic.Int64
	// unheardCalls counts the calls that ended without a response although nothing else was received
	// on their connection either.
	unheardCalls atomic.Int64

	// Memory, if set, bounds what is held of frames while they are read. It is set before the first call.
	Memory *memory.Budget
	// OnReplaced, if set, is called when another connection has replaced one that had gone silent. It
	// is set before the first call.
	OnReplaced func(silence time.Duration)
	// opened counts the connections used so far, replaced those that had gone silent and were replaced.
	opened, replaced atomic.Int64

	linkMu sync.Mutex
	// conn is the current connection, or nil. Guarded by linkMu.
	conn *clientConn
	// lastFailure is when opening a connection last failed. Guarded by linkMu.
	lastFailure time.Time
	closed      bool // guarded by linkMu
}

// NewLink returns a link from this daemon, called name, to peer at address. With TLS, the peer's
// certificate must contain the name peer.
func NewLink(name, peer, address string, conf func() *tls.Config) *Link {
	return &Link{name: name, peer: peer, address: address, tls: conf}
}

// Address returns the peer's address.
func (l *Link) Address() string { return l.address }

// Bytes returns the number of bytes of frames read and written.
func (l *Link) Bytes() int64 { return l.bytes.Load() }

// UnheardCalls returns the number of calls that ended without a response while nothing else was
// received on their connection either.
func (l *Link) UnheardCalls() int64 { return l.unheardCalls.Load() }

// Replaced returns the number of connections that had gone silent and were replaced.
func (l *Link) Replaced() int64 { return l.replaced.Load() }

// Opened returns the number of connections used so far. If it has risen, messages sent before without
// a response may be lost.
func (l *Link) Opened() int64 { return l.opened.Load() }

// Close closes the connection; running calls fail.
func (l *Link) Close() {
	l.linkMu.Lock()
	defer l.linkMu.Unlock()
	l.closed = true
	if l.conn != nil {
		l.conn.fail()
	}
}

// Call sends req and decodes the response into resp, unless that is nil.
func (l *Link) Call(ctx context.Context, kind Kind, req, resp any) error {
	_, err := l.call(ctx, kind, req, resp)
	return err
}

// Query is Call for a request that the peer may handle twice: if the connection is lost before the
// response, the request is sent once more on another one.
func (l *Link) Query(ctx context.Context, kind Kind, req, resp any) error {
	lost, err := l.call(ctx, kind, req, resp)
	if lost && ctx.Err() == nil {
		_, err = l.call(ctx, kind, req, resp)
	}
	return err
}

// call makes a call and reports whether it failed because the connection was lost.
func (l *Link) call(ctx context.Context, kind Kind, req, resp any) (lost bool, err error) {
	d, err := l.open(ctx)
	if err != nil {
		return false, errors.Wrapf(ErrNotSent, "%s: %v", kind, err)
	}
	c := &call{done: make(chan struct{})}
	sent := time.Now()
	id, err := d.add(c)
	if err != nil {
		return false, err
	}
	defer d.remove(id)
	if err := l.send(d, &envelope{ID: id, Kind: kind}, req); err != nil {
		return true, err
	}
	select {
	case <-ctx.Done():
		if !d.heardSince(sent) {
			l.unheardCalls.Add(1)
		}
		return false, errors.Wrapf(ctx.Err(), "%s to %s", kind, l.address)
	case <-d.broken:
		return true, errors.Errorf("%s to %s: connection lost", kind, l.address)
	case <-c.done:
	}
	if c.response.Err != "" {
		return false, errors.Wrap(ErrRemote, c.response.Err)
	}
	if resp == nil || len(c.response.Body) == 0 {
		// A nil response has no body.
		return false, nil
	}
	return false, errors.Wrap(msgpack.Unmarshal(c.response.Body, resp), "decode response")
}

// Notify sends a message whose response does not matter.
func (l *Link) Notify(ctx context.Context, kind Kind, msg any) error {
	d, err := l.open(ctx)
	if err != nil {
		return errors.Wrapf(ErrNotSent, "%s: %v", kind, err)
	}
	return l.send(d, &envelope{ID: d.acknowledgementID(), Kind: kind}, msg)
}

func (l *Link) send(d *clientConn, e *envelope, msg any) error {
	body, err := msgpack.Marshal(msg)
	if err != nil {
		return errors.WithStack(err)
	}
	e.Body = body
	frame, err := encode(e)
	if err != nil {
		return err
	}
	n, err := d.write(frame)
	l.bytes.Add(int64(n))
	return err
}

// redialDelay is the shortest time from a failure to open a connection to the next attempt.
const redialDelay = 100 * time.Millisecond

func (l *Link) open(ctx context.Context) (*clientConn, error) {
	l.linkMu.Lock()
	defer l.linkMu.Unlock()
	if l.closed {
		return nil, errors.New("link closed")
	}
	if l.conn != nil && l.conn.alive() {
		return l.conn, nil
	}
	if time.Since(l.lastFailure) < redialDelay {
		return nil, errors.Errorf("connection to %s failed just now", l.address)
	}
	d, err := l.dial(ctx)
	if err != nil {
		l.lastFailure = time.Now()
		return nil, err
	}
	l.use(d)
	return d, nil
}

// use makes d the current connection. It is called with linkMu held.
func (l *Link) use(d *clientConn) {
	l.conn = d
	l.opened.Add(1)
	go d.run()
}

const dialTimeout = time.Second

func (l *Link) dial(ctx context.Context) (*clientConn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := connect(ctx, l.peer, l.address, l.tls)
	if err != nil {
		return nil, err
	}
	d := newClientConn(l, conn)
	if err := l.send(d, &envelope{Kind: kindHello}, l.name); err != nil {
		conn.Close()
		return nil, err
	}
	return d, nil
}

// call is a call that waits for its response.
type call struct {
	response *envelope
	done     chan struct{}
}

// clientConn is a connection that a Link has opened.
type clientConn struct {
	link   *Link
	conn   net.Conn
	broken chan struct{} // closed when the connection is closed
	// heardAt is when bytes were last received, as the time since epoch.
	heardAt atomic.Int64

	writeMu sync.Mutex // held while a frame is written

	callsMu sync.Mutex
	calls   map[uint64]*call // guarded by callsMu
	lastID  uint64           // ID of the last call; guarded by callsMu
	closed  bool             // true once broken is closed; guarded by callsMu
	health  health           // guarded by callsMu
}

func newClientConn(l *Link, conn net.Conn) *clientConn {
	d := &clientConn{link: l, conn: conn, broken: make(chan struct{}), calls: map[uint64]*call{}}
	d.heardAt.Store(int64(time.Since(epoch)))
	return d
}

// maxCalls bounds the calls that wait for a response on one connection.
const maxCalls = 4096

func (d *clientConn) add(c *call) (uint64, error) {
	d.callsMu.Lock()
	defer d.callsMu.Unlock()
	if d.closed || len(d.calls) >= maxCalls {
		return 0, errors.Wrap(ErrNotSent, "connection is closed or has too many waiting calls")
	}
	d.lastID++
	d.calls[d.lastID] = c
	d.expectResponse(time.Now())
	return d.lastID, nil
}

func (d *clientConn) remove(id uint64) {
	d.callsMu.Lock()
	defer d.callsMu.Unlock()
	delete(d.calls, id)
}

// epoch is the origin of the times that clientConn stores as atomic integers.
var epoch = time.Now()

// Read reads from the connection and records when bytes were received.
func (d *clientConn) Read(b []byte) (int, error) {
	n, err := d.conn.Read(b)
	if n > 0 {
		d.heardAt.Store(int64(time.Since(epoch)))
	}
	return n, err
}

// heardSince reports whether any bytes were received after t.
func (d *clientConn) heardSince(t time.Time) bool {
	return d.heardAt.Load() > int64(t.Sub(epoch))
}

func (d *clientConn) alive() bool {
	d.callsMu.Lock()
	defer d.callsMu.Unlock()
	return !d.closed
}

func (d *clientConn) fail() {
	d.callsMu.Lock()
	defer d.callsMu.Unlock()
	if !d.closed {
		d.closed = true
		close(d.broken)
		d.conn.Close()
		if d.health.timer != nil {
			d.health.timer.Stop()
		}
	}
}

func (d *clientConn) write(frame []byte) (int, error) {
	d.writeMu.Lock()
	defer d.writeMu.Unlock()
	d.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := d.conn.Write(frame)
	if err != nil {
		d.fail()
	}
	return n, errors.WithStack(err)
}

// run delivers responses to their calls until the connection breaks.
func (d *clientConn) run() {
	defer d.fail()
	d.watchHealth()
	r := bufio.NewReaderSize(d, readBuffer)
	for {
		e, n, err := decode(r, d.link.Memory)
		if err != nil {
			return
		}
		d.link.bytes.Add(int64(n))
		if c := d.take(e.ID); c != nil {
			c.response = e
			close(c.done)
		}
	}
}

// take returns the call that a response belongs to, or nil, and removes it.
func (d *clientConn) take(id uint64) *call {
	d.callsMu.Lock()
	defer d.callsMu.Unlock()
	c := d.calls[id]
	delete(d.calls, id)
	d.responseReceived(time.Now())
	return c
}
