package wire

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// ErrRemote wraps errors that the other daemon answered with. Every other
// error of a call means that the answer, if any, is not known.
var ErrRemote = errors.New("peer answered with an error")

// ErrNotSent says that a call did not leave this daemon.
var ErrNotSent = errors.New("message was not sent")

// Link makes calls to one other daemon over one connection, which it opens
// when needed.
type Link struct {
	name string
	// peer is the box that must answer.
	peer    string
	address string
	// tls is nil for plain connections.
	tls   func() *tls.Config
	bytes atomic.Int64

	linkMu sync.Mutex
	// conn is the open connection, or nil. Guarded by linkMu.
	conn *dialled
	// failed is when opening last failed. Guarded by linkMu.
	failed time.Time
	closed bool // guarded by linkMu
}

// NewLink returns a link on which this daemon, called name, reaches peer at
// address. With TLS the peer's certificate must name it.
func NewLink(name, peer, address string, conf func() *tls.Config) *Link {
	return &Link{name: name, peer: peer, address: address, tls: conf}
}

// Address returns where the link leads.
func (l *Link) Address() string { return l.address }

// Bytes returns how many bytes of frames were read and written.
func (l *Link) Bytes() int64 { return l.bytes.Load() }

// Close ends the connection; running calls fail.
func (l *Link) Close() {
	l.linkMu.Lock()
	defer l.linkMu.Unlock()
	l.closed = true
	if l.conn != nil {
		l.conn.fail()
	}
}

// Call sends req and decodes the answer into resp, unless that is nil.
func (l *Link) Call(ctx context.Context, kind Kind, req, resp any) error {
	d, err := l.open(ctx)
	if err != nil {
		return errors.Wrapf(ErrNotSent, "%s: %v", kind, err)
	}
	c := &call{done: make(chan struct{})}
	id, err := d.add(c)
	if err != nil {
		return err
	}
	defer d.drop(id)
	if err := l.send(d, &envelope{ID: id, Kind: kind}, req); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "%s to %s", kind, l.address)
	case <-d.broken:
		return errors.Errorf("%s to %s: connection broke", kind, l.address)
	case <-c.done:
	}
	if c.answer.Err != "" {
		return errors.Wrap(ErrRemote, c.answer.Err)
	}
	if resp == nil || len(c.answer.Body) == 0 {
		// An answer that is nil has no body.
		return nil
	}
	return errors.Wrap(msgpack.Unmarshal(c.answer.Body, resp), "answer")
}

// Notify sends a message that gets no answer.
func (l *Link) Notify(ctx context.Context, kind Kind, msg any) error {
	d, err := l.open(ctx)
	if err != nil {
		return errors.Wrapf(ErrNotSent, "%s: %v", kind, err)
	}
	return l.send(d, &envelope{Kind: kind}, msg)
}

func (l *Link) send(d *dialled, e *envelope, msg any) error {
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

// redialPause spaces tries to open a connection.
const redialPause = 100 * time.Millisecond

func (l *Link) open(ctx context.Context) (*dialled, error) {
	l.linkMu.Lock()
	defer l.linkMu.Unlock()
	if l.closed {
		return nil, errors.New("link is closed")
	}
	if l.conn != nil && l.conn.alive() {
		return l.conn, nil
	}
	if time.Since(l.failed) < redialPause {
		return nil, errors.Errorf("%s did not answer just now", l.address)
	}
	d, err := l.dial(ctx)
	if err != nil {
		l.failed = time.Now()
		return nil, err
	}
	l.conn = d
	return d, nil
}

const dialLimit = time.Second

func (l *Link) dial(ctx context.Context) (*dialled, error) {
	ctx, cancel := context.WithTimeout(ctx, dialLimit)
	defer cancel()
	var nd net.Dialer
	conn, err := nd.DialContext(ctx, "tcp", l.address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if l.tls != nil {
		tc := tls.Client(conn, l.tls())
		if err := tc.HandshakeContext(ctx); err != nil {
			conn.Close()
			return nil, errors.Wrap(err, "handshake")
		}
		if !slices.Contains(certNames(tc), l.peer) {
			conn.Close()
			return nil, errors.Errorf("the certificate at %s does not name %q", l.address, l.peer)
		}
		conn = tc
	}
	d := &dialled{conn: conn, broken: make(chan struct{}), calls: map[uint64]*call{}}
	if err := l.send(d, &envelope{Kind: kindHello}, l.name); err != nil {
		conn.Close()
		return nil, err
	}
	go d.run(&l.bytes)
	return d, nil
}

// call is one call that waits for its answer.
type call struct {
	answer *envelope
	done   chan struct{}
}

// dialled is one open connection of a link.
type dialled struct {
	conn   net.Conn
	broken chan struct{} // closed when the connection has ended

	writeMu sync.Mutex // held while a frame is written

	callsMu sync.Mutex
	calls   map[uint64]*call // guarded by callsMu
	next    uint64           // last call's number; guarded by callsMu
	ended   bool             // guarded by callsMu
}

// maxCalls bounds the calls that wait on one connection.
const maxCalls = 4096

func (d *dialled) add(c *call) (uint64, error) {
	d.callsMu.Lock()
	defer d.callsMu.Unlock()
	if d.ended || len(d.calls) >= maxCalls {
		return 0, errors.Wrap(ErrNotSent, "connection has ended or is full")
	}
	d.next++
	d.calls[d.next] = c
	return d.next, nil
}

func (d *dialled) drop(id uint64) {
	d.callsMu.Lock()
	defer d.callsMu.Unlock()
	delete(d.calls, id)
}

func (d *dialled) alive() bool {
	d.callsMu.Lock()
	defer d.callsMu.Unlock()
	return !d.ended
}

func (d *dialled) fail() {
	d.callsMu.Lock()
	defer d.callsMu.Unlock()
	if !d.ended {
		d.ended = true
		close(d.broken)
		d.conn.Close()
	}
}

func (d *dialled) write(frame []byte) (int, error) {
	d.writeMu.Lock()
	defer d.writeMu.Unlock()
	d.conn.SetWriteDeadline(time.Now().Add(writeLimit))
	n, err := d.conn.Write(frame)
	if err != nil {
		d.fail()
	}
	return n, errors.WithStack(err)
}

// run hands answers to their calls until the connection ends.
func (d *dialled) run(bytes *atomic.Int64) {
	defer d.fail()
	r := bufio.NewReaderSize(d.conn, readBuffer)
	for {
		e, n, err := decode(r)
		if err != nil {
			return
		}
		bytes.Add(int64(n))
		d.callsMu.Lock()
		c := d.calls[e.ID]
		delete(d.calls, e.ID)
		d.callsMu.Unlock()
		if c != nil {
			c.answer = e
			close(c.done)
		}
	}
}
