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

	"embertally.dev/core/bugs"
	"embertally.dev/core/memory"
)

// Handler handles one kind of message and returns the response. from is the sender's name; with
// TLS it was checked against the sender's certificate. body is the encoded message.
type Handler func(ctx context.Context, from string, body []byte) (any, error)

// Handle returns a Handler that decodes the message and passes it to f.
func Handle[Req, Resp any](f func(ctx context.Context, from string, req *Req) (Resp, error)) Handler {
	return func(ctx context.Context, from string, body []byte) (any, error) {
		var req Req
		if err := Unmarshal(body, &req); err != nil {
			return nil, errors.Wrap(err, "message")
		}
		return f(ctx, from, &req)
	}
}

// Mux accepts connections from peers and passes their messages to the registered handlers.
type Mux struct {
	// handlers are the handlers by kind; filled before Serve and only read afterwards.
	handlers map[Kind]Handler
	// streams are the handlers of requests to open streams, by kind; as handlers.
	streams map[Kind]StreamHandler
	// OnReject, if set, is called for each connection that is rejected because the peer did not
	// prove its name.
	OnReject func(address string, err error)
	// Memory, if set, bounds what is held of frames while they are read. It is set before Serve.
	Memory *memory.Budget
	bytes  atomic.Int64

	connsMu sync.Mutex
	// conns are the open connections. Guarded by connsMu.
	conns map[net.Conn]bool
	// closed means that no further connections are accepted. Guarded by connsMu.
	closed bool
}

// Register makes h the handler of kind. It must be called before Serve.
func (m *Mux) Register(kind Kind, h Handler) {
	if m.handlers == nil {
		m.handlers = map[Kind]Handler{}
	}
	m.handlers[kind] = h
}

// handler returns the handler of kind, or nil.
func (m *Mux) handler(kind Kind) Handler {
	if kind == kindPing {
		return func(context.Context, string, []byte) (any, error) { return nil, nil }
	}
	return m.handlers[kind]
}

// Bytes returns the number of bytes of frames read and written.
func (m *Mux) Bytes() int64 { return m.bytes.Load() }

// Limits of the serving side.
const (
	handshakeTimeout = 5 * time.Second
	// maxRunning bounds the messages of one connection that are handled concurrently.
	maxRunning = 512
	// maxConns bounds the connections of all peers together.
	maxConns = 1024
	// idleLimit is how long a connection may carry nothing from the peer, which probes unused ones.
	idleLimit = 4 * idleProbeInterval
)

// Serve accepts connections from l and handles their messages until ctx ends.
func (m *Mux) Serve(ctx context.Context, l net.Listener) {
	stop := context.AfterFunc(ctx, func() { l.Close(); m.shutdown() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !m.add(c) {
			c.Close()
			continue
		}
		s := &serverConn{mux: m, conn: c, slots: make(chan struct{}, maxRunning)}
		wg.Go(func() { s.run(ctx) })
	}
}

// acceptRetryDelay is the delay after an error of Accept, such as too many open files.
const acceptRetryDelay = 20 * time.Millisecond

// add records a connection and reports whether it is to be served. A connection accepted while the
// others are being closed must not be served: serving would last until the peer closes it, and if
// the peer is stopping too and waits in the same way, both would wait forever.
func (m *Mux) add(c net.Conn) bool {
	m.connsMu.Lock()
	defer m.connsMu.Unlock()
	if m.closed || len(m.conns) >= maxConns {
		return false
	}
	if m.conns == nil {
		m.conns = map[net.Conn]bool{}
	}
	m.conns[c] = true
	return true
}

func (m *Mux) remove(c net.Conn) {
	m.connsMu.Lock()
	defer m.connsMu.Unlock()
	delete(m.conns, c)
}

// shutdown closes all connections and makes add reject further ones.
func (m *Mux) shutdown() {
	m.connsMu.Lock()
	m.closed = true
	m.connsMu.Unlock()
	m.closeAll()
}

func (m *Mux) closeAll() {
	m.connsMu.Lock()
	defer m.connsMu.Unlock()
	for c := range m.conns {
		c.Close()
	}
}

// serverConn is a connection that a peer has opened to this daemon.
type serverConn struct {
	mux   *Mux
	conn  net.Conn
	from  string        // the peer's name, set by readHello
	slots chan struct{} // has one element for each message that is being handled

	writeMu sync.Mutex // held while a frame is written
}

func (s *serverConn) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.mux.remove(s.conn)
	defer s.conn.Close()
	err := s.readHello(ctx)
	if err == nil && !markServing(s.conn) {
		return
	}
	if err != nil {
		if s.mux.OnReject != nil && ctx.Err() == nil {
			s.mux.OnReject(s.conn.RemoteAddr().String(), err)
		}
		return
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	r := bufio.NewReaderSize(s.conn, readBuffer)
	for {
		s.conn.SetReadDeadline(time.Now().Add(idleLimit))
		e, n, err := decode(r, s.mux.Memory)
		if err != nil {
			return
		}
		s.mux.bytes.Add(int64(n))
		if h := s.mux.streams[e.Kind]; h != nil {
			// Nothing follows the request until it is accepted, so that r is empty.
			s.serveStream(ctx, h, e)
			return
		}
		s.slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-s.slots }()
			s.respond(ctx, e)
		})
	}
}

// markServing tells a bounded listener that a peer has proved its name, so that its connection keeps its place. It returns
// false if the connection has already lost it.
func markServing(conn net.Conn) bool {
	if inner, ok := conn.(interface{ NetConn() net.Conn }); ok {
		if bounded, ok := inner.NetConn().(interface{ Serve() bool }); ok {
			return bounded.Serve()
		}
	}
	if bounded, ok := conn.(interface{ Serve() bool }); ok {
		return bounded.Serve()
	}
	return true
}

// readBuffer is the size in bytes of the buffer that frames are read through.
const readBuffer = 8 << 10

// readHello reads the peer's name from its first message and, with TLS, checks that its
// certificate contains it.
func (s *serverConn) readHello(ctx context.Context) error {
	s.conn.SetDeadline(time.Now().Add(handshakeTimeout))
	defer s.conn.SetDeadline(time.Time{})
	var names []string
	tc, secure := s.conn.(*tls.Conn)
	if secure {
		if err := tc.HandshakeContext(ctx); err != nil {
			return errors.Wrap(err, "handshake")
		}
		names = certNames(tc)
	}
	e, _, err := decode(s.conn, s.mux.Memory)
	if err != nil {
		return err
	}
	if err := msgpack.Unmarshal(e.Body, &s.from); err != nil || e.Kind != kindHello {
		return errors.New("first message is not a valid hello")
	}
	if secure && !slices.Contains(names, s.from) {
		return errors.Errorf("certificate does not contain the name %q", s.from)
	}
	return nil
}

// certNames returns the names in the peer's certificate.
func certNames(c *tls.Conn) []string {
	certs := c.ConnectionState().PeerCertificates
	if len(certs) == 0 {
		return nil
	}
	return append([]string{certs[0].Subject.CommonName}, certs[0].DNSNames...)
}

const kindHello Kind = "hello"

// errInternal is the response to a message whose handler panicked.
var errInternal = errors.New("internal error: handler panicked")

// callHandler calls h and converts a panic to an error. If the panic ended the process, the
// sender would repeat its request to other daemons, which would crash in turn.
func callHandler(ctx context.Context, h Handler, from string, e *envelope) (response any, err error) {
	defer func() {
		if reason := recover(); reason != nil {
			bugs.Report("message %s from %s: %v", e.Kind, from, reason)
			response, err = nil, errors.WithStack(errInternal)
		}
	}()
	return h(ctx, from, e.Body)
}

func (s *serverConn) respond(ctx context.Context, e *envelope) {
	h := s.mux.handler(e.Kind)
	response := &envelope{ID: e.ID}
	if h == nil {
		response.Err = "no handler for " + string(e.Kind)
	} else if v, err := callHandler(ctx, h, s.from, e); err != nil {
		response.Err = err.Error()
	} else if response.Body, err = msgpack.Marshal(v); err != nil {
		response.Err = err.Error()
	}
	if e.ID == 0 {
		return
	}
	frame, err := encode(response)
	if err != nil {
		frame, err = encode(&envelope{ID: e.ID, Err: err.Error()})
	}
	if err != nil {
		return
	}
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := s.conn.Write(frame)
	s.mux.bytes.Add(int64(n))
	if err != nil {
		s.conn.Close()
	}
}

// writeTimeout bounds the time to write one frame, since the peer may not read.
const writeTimeout = 10 * time.Second
