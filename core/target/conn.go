package target

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Timeouts for opening connections and for detecting dead ones.
const (
	// openTimeout bounds the opening of a connection. Targets respond within a few milliseconds,
	// and a lost packet is retransmitted after a second. A request usually waits less; see
	// openTimes.
	openTimeout = 1200 * time.Millisecond
	// unackedTimeout breaks a connection with unacknowledged bytes, so that a target that lost
	// power is detected.
	unackedTimeout = 2500 * time.Millisecond
	// probeInterval and probeCount do the same while the connection only waits for a response.
	probeInterval = time.Second
	probeCount    = 2
)

// readBufferSize is the size of a connection's read buffer: a header and some events fit.
const readBufferSize = 4 << 10

// tcpUserTimeout is the number of the kernel's socket option TCP_USER_TIMEOUT, whose value is in
// milliseconds.
const tcpUserTimeout = 18

// poolConn is one connection to a target.
type poolConn struct {
	pool    *Pool
	address string
	// number tells it from the other connections of the pool.
	number uint64
	// carried holds the requests that were written to it.
	carried carriedIDs
	// stream carries requests; tcp is the connection under it.
	stream net.Conn
	tcp    *net.TCPConn
	// r reads head, which reads what the target sends.
	r    *bufio.Reader
	head *headReader
	// box is the box that the connection leads through, and detour reads what arrives by way of it;
	// empty and nil for a direct connection.
	box    string
	detour *DetourReader
	// borrowed is set if it counts against the share of the box that it leads through.
	borrowed bool
	// lastUsed is when the last request on it ended, or when it was first kept without one; zero if
	// it was never kept.
	lastUsed time.Time
}

// open opens a connection, which reserve has counted, without learning how long it takes.
func (p *Pool) open(ctx context.Context, address string) (*poolConn, error) {
	return p.openInGroup(ctx, address, "")
}

// openInGroup opens a connection, which reserve has counted.
func (p *Pool) openInGroup(ctx context.Context, address, group string) (*poolConn, error) {
	began := time.Now()
	conn, err := p.connect(ctx, address, group)
	if err != nil && ctx.Err() == nil {
		p.countFailure(err)
		p.pathFailed(address, began, err)
	}
	return conn, err
}

// connect is openInGroup without recording a failure: that of a search for working paths is no new
// evidence.
func (p *Pool) connect(ctx context.Context, address, group string) (*poolConn, error) {
	start := time.Now()
	conn, err := dialer().DialContext(ctx, "tcp", address)
	elapsed := time.Since(start)
	if err == nil {
		p.pathWorks(address)
	}
	p.recordOpen(address, elapsed, err)
	if err == nil && group != "" {
		p.learnOpenTime(group, elapsed)
	}
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if p.Opened != nil {
		p.Opened.Inc()
	}
	head := &headReader{r: arrivalConn{conn, &p.arrivals}}
	return &poolConn{
		pool: p, address: address, number: p.connections.Add(1), stream: conn, tcp: conn.(*net.TCPConn),
		head: head, r: bufio.NewReaderSize(head, readBufferSize),
	}, nil
}

// dialer returns the dialer for connections to targets.
func dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: openTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error { return c.Control(setUserTimeout) },
	}
}

// arrivalConn is a direct connection that records when something arrives.
type arrivalConn struct {
	net.Conn
	arrivals *arrivals
}

// Read implements net.Conn.
func (c arrivalConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.arrivals.record()
	}
	return n, err
}

// NetConn returns the connection itself.
func (c arrivalConn) NetConn() net.Conn { return c.Conn }

// recordOpen records the result of opening a connection.
func (p *Pool) recordOpen(address string, elapsed time.Duration, err error) {
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	state := p.state(address)
	state.opening--
	switch {
	case err != nil:
		state.open--
		p.forget(address, state)
	case state.roundTrip == 0 || elapsed < state.roundTrip:
		state.roundTrip = elapsed
	}
}

// countFailure counts a failed attempt to open a connection.
func (p *Pool) countFailure(err error) {
	var timeout net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		if p.Refused != nil {
			p.Refused.Inc()
		}
	case errors.As(err, &timeout) && timeout.Timeout():
		if p.Unanswered != nil {
			p.Unanswered.Inc()
		}
	}
}

// setUserTimeout sets unackedTimeout on a connection.
func setUserTimeout(fd uintptr) {
	// Without the option a dead target is detected later, by the probes.
	_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
}

// minRoundTrip returns the shortest round trip that the kernel measured on the connection, or 0.
func (c *poolConn) minRoundTrip() time.Duration {
	info := c.info()
	if info == nil || info.Min_rtt == ^uint32(0) {
		// There is no measurement.
		return 0
	}
	return time.Duration(info.Min_rtt) * time.Microsecond
}

// info returns the kernel's state of the connection, or nil.
func (c *poolConn) info() *unix.TCPInfo {
	return tcpInfo(c.tcp)
}

// silentTime is the time after which a request that is not acknowledged is noticed: the kernel sends
// unacknowledged bytes again after at least 200 ms, and a single lost packet is acknowledged then.
const silentTime = 300 * time.Millisecond

// silenceCheck checks whether the target acknowledges a request.
type silenceCheck struct {
	conn *poolConn
	// sent is when the request was sent.
	sent     time.Time
	onSilent func()
}

// run calls onSilent if the target does not acknowledge.
func (s silenceCheck) run() {
	info, p := s.conn.info(), s.conn.pool
	if info == nil || !unacknowledged(info) {
		return
	}
	if s.conn.box != "" {
		p.Detour.RecordLost(s.conn.box)
		return
	}
	p.pathFailed(s.conn.address, s.sent, nil)
	p.closeSilent(s.conn.address, s.sent)
	s.onSilent()
}

// unacknowledged reports whether bytes were sent again and are still not acknowledged.
func unacknowledged(info *unix.TCPInfo) bool { return info.Unacked > 0 && info.Retransmits > 0 }

// isDead reports whether the target closed the connection or sent bytes that belong to no request.
func (c *poolConn) isDead() bool {
	if c.detour != nil && c.detour.Buffered() > 0 {
		return true
	}
	raw, err := c.tcp.SyscallConn()
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
