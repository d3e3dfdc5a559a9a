package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
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
}

// Times of connections to targets.
const (
	// openLimit bounds the opening of a connection; targets answer within a
	// few milliseconds, and a lost packet is sent again after a second.
	openLimit = 1200 * time.Millisecond
	// unackedLimit breaks a connection whose bytes nobody acknowledges, so that
	// a target without power is noticed.
	unackedLimit = 2500 * time.Millisecond
	// probeEvery and probes do the same while only answers are awaited.
	probeEvery = time.Second
	probes     = 2
	// keepDefault is how long an idle connection is used where the target does
	// not say how long it keeps one.
	keepDefault = 4 * time.Second
	// keepMargin is left of the time that a target says.
	keepMargin = 700 * time.Millisecond
	// idleMost bounds the idle connections to one target.
	idleMost = 24
	// waitStep is the pause between looks for a free connection.
	waitStep = 5 * time.Millisecond
)

// ErrFull says that the target has as many connections as it may have.
var ErrFull = errors.New("all connections to the target are in use")

// Outgoing is one request to a target.
type Outgoing struct {
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Fresh asks for a connection that was used a moment ago or a new one, so
	// that the request does not meet one that the target is just closing.
	Fresh time.Duration
}

// SendError is a failure to get an answer.
type SendError struct {
	// Sent tells that any byte of the request may have reached the target.
	Sent  bool
	cause error
}

// Error describes the failure.
func (e *SendError) Error() string {
	if e.Sent {
		return "after sending: " + e.cause.Error()
	}
	return "before sending: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.cause }

// WasSent reports whether a failed request may have reached its target.
func WasSent(err error) bool {
	var s *SendError
	return errors.As(err, &s) && s.Sent
}

// Incoming is the answer of a target, whose body is still to be read.
type Incoming struct {
	Status int
	Header http.Header
	// Length is -1 where the answer says none.
	Length int64
	body   io.Reader
	line   *line
	stop   func() bool
	wrote  chan error
	whole  bool
	failed bool
}

// Read reads the body. It returns io.EOF only when the answer is whole.
func (in *Incoming) Read(b []byte) (int, error) {
	n, err := in.body.Read(b)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		in.whole = true
	default:
		in.failed = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept only when the answer and the
// request are whole and nothing else has arrived.
func (in *Incoming) Close() {
	alive := in.stop()
	l := in.line
	in.line = nil
	if l == nil {
		return
	}
	if !alive || !in.reusable() || l.r.Buffered() > 0 || l.dead() {
		l.pool.drop(l)
		return
	}
	l.pool.put(l, in.Header.Get("Keep-Alive"))
}

// Spoil makes Close give up the connection.
func (in *Incoming) Spoil() { in.failed = true }

func (in *Incoming) reusable() bool {
	if in.failed || !in.whole || in.Header.Get("Connection") == "close" {
		return false
	}
	select {
	case err := <-in.wrote:
		return err == nil
	default:
		// The target answered before it had read the request.
		return false
	}
}

// line is one connection to a target.
type line struct {
	pool    *Pool
	address string
	conn    *net.TCPConn
	r       *bufio.Reader
	used    time.Time
}

// dead reports whether the connection was closed by the target or holds bytes
// that nobody asked for.
func (l *line) dead() bool {
	raw, err := l.conn.SyscallConn()
	if err != nil {
		return true
	}
	dead := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, err := syscall.Read(int(fd), b[:])
		dead = n > 0 || (n == 0 && err == nil) || (err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR))
		return true
	})
	return dead || err != nil
}

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

// Send sends a request and returns the answer's head. The caller must Close
// the answer. An error is a *SendError.
func (p *Pool) Send(ctx context.Context, address string, out *Outgoing) (*Incoming, error) {
	l, err := p.get(ctx, address, out.Fresh)
	if err != nil {
		return nil, &SendError{cause: err}
	}
	in := &Incoming{line: l, wrote: make(chan error, 1)}
	in.stop = context.AfterFunc(ctx, func() { l.conn.SetDeadline(time.Unix(1, 0)) })
	go writer{l, out, in.wrote}.run()
	if err := in.head(out.Method); err != nil {
		in.failed = true
		in.Close()
		if c := context.Cause(ctx); c != nil {
			err = c
		}
		return nil, &SendError{Sent: true, cause: err}
	}
	return in, nil
}

// head reads the head of the answer.
func (in *Incoming) head(method string) error {
	for {
		resp, err := http.ReadResponse(in.line.r, &http.Request{Method: method})
		if err != nil {
			return errors.WithStack(err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		in.Status, in.Header, in.Length, in.body = resp.StatusCode, resp.Header, resp.ContentLength, resp.Body
		if resp.Close {
			in.Header.Set("Connection", "close")
		}
		return nil
	}
}

// writer writes one request.
type writer struct {
	line *line
	out  *Outgoing
	done chan<- error
}

func (w writer) run() {
	err := w.write()
	if err != nil {
		// The answer will not come; reading ends too.
		w.line.conn.CloseWrite()
	}
	w.done <- err
}

func (w writer) write() error {
	var b strings.Builder
	b.WriteString(w.out.Method + " " + w.out.URI + " HTTP/1.1\r\nHost: " + w.out.Host + "\r\n")
	if err := w.out.Header.Write(&b); err != nil {
		return errors.WithStack(err)
	}
	if len(w.out.Body) > 0 || (w.out.Method != http.MethodGet && w.out.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(w.out.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	parts := net.Buffers{[]byte(b.String())}
	if len(w.out.Body) > 0 {
		parts = append(parts, w.out.Body)
	}
	_, err := parts.WriteTo(w.line.conn)
	return errors.WithStack(err)
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

func (p *Pool) open(ctx context.Context, address string) (*line, error) {
	d := net.Dialer{
		Timeout: openLimit,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeEvery, Interval: probeEvery, Count: probes,
		},
		Control: func(_, _ string, c syscall.RawConn) error { return c.Control(setUnacked) },
	}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		p.poolMu.Lock()
		p.peer(address).open--
		p.poolMu.Unlock()
		return nil, errors.WithStack(err)
	}
	if p.Opened != nil {
		p.Opened.Inc()
	}
	return &line{pool: p, address: address, conn: conn.(*net.TCPConn), r: bufio.NewReaderSize(conn, readSize)}, nil
}

// readSize is the buffer of a connection: a head and some events fit.
const readSize = 4 << 10

// tcpUserTimeout is the socket option of the kernel, in milliseconds.
const tcpUserTimeout = 18

func setUnacked(fd uintptr) {
	// Without the option a dead target is noticed later, by the probes.
	_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedLimit.Milliseconds()))
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
