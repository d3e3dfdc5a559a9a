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

// Times of opening connections and of noticing dead ones.
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
)

// readSize is the buffer of a connection: a head and some events fit.
const readSize = 4 << 10

// tcpUserTimeout is the socket option of the kernel, in milliseconds.
const tcpUserTimeout = 18

// line is one connection to a target.
type line struct {
	pool    *Pool
	address string
	conn    *net.TCPConn
	r       *bufio.Reader
	used    time.Time
}

// open opens a connection, which take has counted.
func (p *Pool) open(ctx context.Context, address string) (*line, error) {
	d := net.Dialer{
		Timeout: openLimit,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeEvery, Interval: probeEvery, Count: probes,
		},
		Control: func(_, _ string, c syscall.RawConn) error { return c.Control(setUnacked) },
	}
	began := time.Now()
	conn, err := d.DialContext(ctx, "tcp", address)
	p.opened(address, time.Since(began), err)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if p.Opened != nil {
		p.Opened.Inc()
	}
	return &line{pool: p, address: address, conn: conn.(*net.TCPConn), r: bufio.NewReaderSize(conn, readSize)}, nil
}

// opened records how the opening of a connection went.
func (p *Pool) opened(address string, took time.Duration, err error) {
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	known := p.peer(address)
	switch {
	case err != nil:
		known.open--
	case known.trip == 0 || took < known.trip:
		known.trip = took
	}
}

// setUnacked sets unackedLimit on a connection.
func setUnacked(fd uintptr) {
	// Without the option a dead target is noticed later, by the probes.
	_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedLimit.Milliseconds()))
}

// leastTrip returns the least round trip that the kernel measured on the connection, or 0.
func (l *line) leastTrip() time.Duration {
	raw, err := l.conn.SyscallConn()
	if err != nil {
		return 0
	}
	var info *unix.TCPInfo
	controlErr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if controlErr != nil || err != nil || info.Min_rtt == ^uint32(0) {
		// Not measured.
		return 0
	}
	return time.Duration(info.Min_rtt) * time.Microsecond
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
