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
)

// Handler answers one kind of message. from is the proven name of the sender.
type Handler func(ctx context.Context, from string, body []byte) (any, error)

// Handle makes a typed handler: f gets the message decoded.
func Handle[Req, Resp any](f func(ctx context.Context, from string, req *Req) (Resp, error)) Handler {
	return func(ctx context.Context, from string, body []byte) (any, error) {
		var req Req
		if err := msgpack.Unmarshal(body, &req); err != nil {
			return nil, errors.Wrap(err, "message")
		}
		return f(ctx, from, &req)
	}
}

// Mux answers the messages of other daemons.
type Mux struct {
	// handlers is filled before Serve and only read afterwards.
	handlers map[Kind]Handler
	// Refused, if set, hears of connections that did not prove their name.
	Refused func(address string, err error)
	bytes   atomic.Int64

	connsMu sync.Mutex
	// conns are the open connections. Guarded by connsMu.
	conns map[net.Conn]bool
	// closed tells that no connection is taken any more. Guarded by connsMu.
	closed bool
}

// Register makes h answer kind. It must not be called after Serve.
func (m *Mux) Register(kind Kind, h Handler) {
	if m.handlers == nil {
		m.handlers = map[Kind]Handler{}
	}
	m.handlers[kind] = h
}

// Bytes returns how many bytes of frames were read and written.
func (m *Mux) Bytes() int64 { return m.bytes.Load() }

// Bounds of the serving side.
const (
	handshakeLimit = 5 * time.Second
	// running bounds the calls of one connection that are answered at once.
	running = 512
	// maxConns bounds the connections of all peers.
	maxConns = 1024
)

// Serve answers connections of l until ctx ends.
func (m *Mux) Serve(ctx context.Context, l net.Listener) {
	stop := context.AfterFunc(ctx, func() { l.Close(); m.end() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			time.Sleep(acceptPause)
			continue
		}
		if !m.add(c) {
			c.Close()
			continue
		}
		s := &served{mux: m, conn: c, slots: make(chan struct{}, running)}
		wg.Go(func() { s.run(ctx) })
	}
}

// acceptPause spaces tries to accept after an error, such as too many files.
const acceptPause = 20 * time.Millisecond

// add records a connection and reports whether it is to be served. One that was accepted
// while the others were closed would be served until its peer closes it; where the peer
// stops as well and waits in the same way, both would for ever.
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

// end closes all connections and takes no more.
func (m *Mux) end() {
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

// served is one connection of a peer to this daemon.
type served struct {
	mux   *Mux
	conn  net.Conn
	from  string
	slots chan struct{}

	writeMu sync.Mutex // held while a frame is written
}

func (s *served) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.mux.remove(s.conn)
	defer s.conn.Close()
	if err := s.greet(ctx); err != nil {
		if s.mux.Refused != nil && ctx.Err() == nil {
			s.mux.Refused(s.conn.RemoteAddr().String(), err)
		}
		return
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	r := bufio.NewReaderSize(s.conn, readBuffer)
	for {
		e, n, err := decode(r)
		if err != nil {
			return
		}
		s.mux.bytes.Add(int64(n))
		s.slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-s.slots }()
			s.answer(ctx, e)
		})
	}
}

const readBuffer = 8 << 10

// greet reads the peer's name and checks it against its certificate.
func (s *served) greet(ctx context.Context) error {
	s.conn.SetDeadline(time.Now().Add(handshakeLimit))
	defer s.conn.SetDeadline(time.Time{})
	var names []string
	tc, secure := s.conn.(*tls.Conn)
	if secure {
		if err := tc.HandshakeContext(ctx); err != nil {
			return errors.Wrap(err, "handshake")
		}
		names = certNames(tc)
	}
	e, _, err := decode(s.conn)
	if err != nil {
		return err
	}
	if err := msgpack.Unmarshal(e.Body, &s.from); err != nil || e.Kind != kindHello {
		return errors.New("the first message is not a greeting")
	}
	if secure && !slices.Contains(names, s.from) {
		return errors.Errorf("the certificate does not name %q", s.from)
	}
	return nil
}

// certNames returns the boxes that the other side's certificate names.
func certNames(c *tls.Conn) []string {
	certs := c.ConnectionState().PeerCertificates
	if len(certs) == 0 {
		return nil
	}
	return append([]string{certs[0].Subject.CommonName}, certs[0].DNSNames...)
}

const kindHello Kind = "hello"

// errBroken is what a peer is told whose message met a state that the program rules out.
var errBroken = errors.New("the daemon met a state that it rules out")

// guarded handles a message. One that would end the process is answered with an error: who
// sent it asks other daemons next, which would end in their turn.
func guarded(ctx context.Context, h Handler, from string, e *envelope) (reply any, err error) {
	defer func() {
		if why := recover(); why != nil {
			bugs.Report("message %s of %s: %v", e.Kind, from, why)
			reply, err = nil, errors.WithStack(errBroken)
		}
	}()
	return h(ctx, from, e.Body)
}

func (s *served) answer(ctx context.Context, e *envelope) {
	h := s.mux.handlers[e.Kind]
	reply := &envelope{ID: e.ID}
	if h == nil {
		reply.Err = "no handler for " + string(e.Kind)
	} else if v, err := guarded(ctx, h, s.from, e); err != nil {
		reply.Err = err.Error()
	} else if reply.Body, err = msgpack.Marshal(v); err != nil {
		reply.Err = err.Error()
	}
	if e.ID == 0 {
		return
	}
	frame, err := encode(reply)
	if err != nil {
		frame, err = encode(&envelope{ID: e.ID, Err: err.Error()})
	}
	if err != nil {
		return
	}
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	s.conn.SetWriteDeadline(time.Now().Add(writeLimit))
	n, err := s.conn.Write(frame)
	s.mux.bytes.Add(int64(n))
	if err != nil {
		s.conn.Close()
	}
}

// writeLimit bounds the writing of one frame to a peer that does not read.
const writeLimit = 10 * time.Second
