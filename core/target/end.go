package target

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// The kernel reports a reset of a connection once, to the call that meets it first. While a request is being written
// that may be the write, and a read then gets an ordinary end. So the end of a connection is an end of what the other
// side sent only if the write has not failed, and if the kernel has not taken the connection for reset.

// Kernel's states of a connection, as in its header tcp_states.h.
const (
	stateUnknown = 0
	stateClosed  = 7
)

// connStateNames are the names of the states by number.
var connStateNames = [...]string{
	"unknown", "ESTABLISHED", "SYN_SENT", "SYN_RECV", "FIN_WAIT1", "FIN_WAIT2", "TIME_WAIT", "CLOSE", "CLOSE_WAIT", "LAST_ACK", "LISTEN", "CLOSING",
}

// connState returns the name of the state in the kernel's information on a connection, which may be nil.
func connState(info *unix.TCPInfo) string {
	if info == nil || int(info.State) >= len(connStateNames) {
		return connStateNames[stateUnknown]
	}
	return connStateNames[info.State]
}

// tcpInfo returns the kernel's information on a connection, or nil.
func tcpInfo(conn *net.TCPConn) *unix.TCPInfo {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil
	}
	var info *unix.TCPInfo
	controlErr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if controlErr != nil || err != nil {
		return nil
	}
	return info
}

// Writes is what is known of the writes on a connection. The zero value means that none has begun.
type Writes struct {
	writesMu sync.Mutex
	pending  bool  // guarded by writesMu
	err      error // the first failure; guarded by writesMu
}

// Begin records that a write begins.
func (w *Writes) Begin() {
	w.writesMu.Lock()
	defer w.writesMu.Unlock()
	w.pending = true
}

// End records the result of the write that Begin recorded.
func (w *Writes) End(err error) {
	w.writesMu.Lock()
	defer w.writesMu.Unlock()
	w.pending = false
	if w.err == nil {
		w.err = err
	}
}

// state returns whether a write has begun and not ended, and the first failure.
func (w *Writes) state() (pending bool, err error) {
	w.writesMu.Lock()
	defer w.writesMu.Unlock()
	return w.pending, w.err
}

// Intervals at which a connection is checked on which what was written is not acknowledged yet.
const (
	firstEndCheck = time.Millisecond
	maxEndCheck   = 20 * time.Millisecond
)

// VerifyEnd returns nil if the other side of a connection, whose reading has ended, has closed it after all that it sent,
// and an error if the connection was reset. What was written last may still cause a reset, so that it waits until all of
// it is acknowledged. done ends the wait, with os.ErrDeadlineExceeded.
func VerifyEnd(conn net.Conn, writes *Writes, done <-chan struct{}) error {
	for interval := firstEndCheck; ; interval = min(2*interval, maxEndCheck) {
		pending, err := writes.state()
		if err != nil {
			return err
		}
		info := tcpInfo(rawConn(conn))
		switch {
		case info != nil && info.State == stateClosed:
			return errors.WithStack(syscall.ECONNRESET)
		case !pending && (info == nil || info.Unacked == 0 && info.Notsent_bytes == 0):
			return nil
		}
		timer := time.NewTimer(interval)
		select {
		case <-done:
			timer.Stop()
			return errors.WithStack(os.ErrDeadlineExceeded)
		case <-timer.C:
		}
	}
}

// verifyEnd is VerifyEnd for a response whose body ends with its connection.
func (resp *Response) verifyEnd() error {
	if resp.conn == nil {
		return errors.WithStack(net.ErrClosed)
	}
	err := VerifyEnd(resp.conn.tcp, &resp.writes, resp.done)
	if err != nil && resp.conn.box != "" {
		return detourError(err)
	}
	return err
}

// DescribeEnd describes for a log line how a response ended whose body ends with its connection: how far the request had
// been written, and in which state the kernel has the connection.
func (resp *Response) DescribeEnd() string {
	text := "request written"
	switch pending, err := resp.writes.state(); {
	case err != nil:
		text = "request not written: " + err.Error()
	case pending:
		text = "request still being written"
	}
	if resp.conn == nil {
		return text
	}
	return text + ", connection in state " + connState(resp.conn.info())
}
