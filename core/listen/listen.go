// Package listen owns the connections that a daemon has accepted: how many are open, and how much memory the heads of
// their requests take, from the first byte until the request has been answered.
//
// It must not know what the requests mean.
package listen

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/memory"
)

// Options configures a Listener.
type Options struct {
	// MaxConnections bounds the open connections; 0 means no bound.
	MaxConnections int
	// Heads means that HTTP requests arrive on the connections, so that their heads are counted. The server must have been
	// passed to Attach.
	Heads bool
	// MaxHeadBytes, if set, returns the most bytes of a request's head, 0 for no bound.
	MaxHeadBytes func() int
	// Memory, if set, bounds what heads hold.
	Memory *memory.Budget
	// WriteTimeout is how long a client may read nothing of what is written; 0 means defaultWriteTimeout. It applies where
	// Heads is set.
	WriteTimeout time.Duration
	// Ended, if set, is called for connections that the Listener has ended, at most once in reportInterval.
	Ended func(address string, reason Reason)
}

// Reason is why a Listener has ended a connection.
type Reason int

// Reasons to end a connection.
const (
	// Unfinished means that the connection's place was needed before the head of its first request was whole.
	Unfinished Reason = iota
	// Idle means that the connection's place was needed while it was between two requests.
	Idle
	// NoBody means that the connection's place was needed while the body of a request was not whole.
	NoBody
	// Full means that there was no place for a new connection.
	Full
	// HeadTooLong means that the head of a request exceeded MaxHeadBytes.
	HeadTooLong
	// NoMemory means that the head of a request found no room in Memory.
	NoMemory
	// reasons is the number of reasons.
	reasons
)

var reasonNames = [reasons]string{"unfinished", "idle", "noBody", "full", "headTooLong", "noMemory"}

// String returns the reason as written in log lines and metrics.
func (r Reason) String() string { return reasonNames[r] }

// Reasons returns all reasons.
func Reasons() []Reason { return []Reason{Unfinished, Idle, NoBody, Full, HeadTooLong, NoMemory} }

// Listener bounds the connections that another one accepts. When there are too many, a new one takes the place of the one
// that has waited longest without a whole request; if there is none, the new one is closed.
type Listener struct {
	net.Listener
	options Options
	counts  [reasons]atomic.Int64
	// reported is when Ended was called last, in nanoseconds after epoch.
	reported atomic.Int64

	connsMu sync.Mutex
	conns   map[*Conn]bool // the open connections; guarded by connsMu
}

// New returns a Listener of the connections that l accepts.
func New(l net.Listener, options Options) *Listener {
	return &Listener{Listener: l, options: options, conns: map[*Conn]bool{}}
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.connsMu.Lock()
	defer l.connsMu.Unlock()
	return len(l.conns)
}

// Ended returns how many connections were ended for a reason.
func (l *Listener) Ended(reason Reason) int64 { return l.counts[reason].Load() }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			if temporary(err) {
				// It may have been the last descriptor.
				l.evict(nil)
			}
			// http.Server goes on after a net.Error that passes, without looking into wrapped errors.
			return nil, err
		}
		c := &Conn{Conn: inner, listener: l, held: l.options.Memory.Hold(memory.CallerHeads)}
		c.since.Store(int64(time.Since(epoch)))
		if l.add(c) || (l.evict(c) && l.add(c)) {
			return c, nil
		}
		l.ended(c, Full)
		reset(inner)
	}
}

// epoch is the time from which the times of connections count.
var epoch = time.Now()

// temporary reports whether Accept may be called again after an error.
func temporary(err error) bool {
	var e net.Error
	//lint:ignore SA1019 http.Server calls Accept again after such an error
	return errors.As(err, &e) && e.Temporary()
}

// defaultWriteTimeout is as long as streams wait for a slow client.
const defaultWriteTimeout = 10 * time.Second

// writeTimeout returns the timeout in force.
func (l *Listener) writeTimeout() time.Duration {
	if l.options.WriteTimeout > 0 {
		return l.options.WriteTimeout
	}
	return defaultWriteTimeout
}

// add records a connection if there is a place for it.
func (l *Listener) add(c *Conn) bool {
	l.connsMu.Lock()
	defer l.connsMu.Unlock()
	if l.options.MaxConnections > 0 && len(l.conns) >= l.options.MaxConnections {
		return false
	}
	l.conns[c] = true
	return true
}

func (l *Listener) remove(c *Conn) {
	l.connsMu.Lock()
	defer l.connsMu.Unlock()
	delete(l.conns, c)
}

// evict ends the connection that has waited longest without a whole request, and reports whether there was one. Those that
// have never sent one go first, and those that lack the rest of a body go last.
func (l *Listener) evict(newcomer *Conn) bool {
	for {
		victim, reason := l.longestWaiting(newcomer)
		if victim == nil {
			return false
		}
		waited := stateWaiting
		if reason == NoBody {
			waited = stateBody
		}
		if !victim.state.CompareAndSwap(waited, stateEnded) {
			// Its request has arrived in the meantime.
			continue
		}
		l.ended(victim, reason)
		victim.end()
		return true
	}
}

// longestWaiting returns the connection to evict and why, or nil.
func (l *Listener) longestWaiting(newcomer *Conn) (victim *Conn, reason Reason) {
	l.connsMu.Lock()
	defer l.connsMu.Unlock()
	for c := range l.conns {
		why := Unfinished
		switch state := c.state.Load(); {
		case c == newcomer || state == stateServing || state == stateEnded:
			continue
		case state == stateBody:
			why = NoBody
		case c.idle.Load():
			why = Idle
		}
		if victim == nil || why < reason || why == reason && c.since.Load() < victim.since.Load() {
			victim, reason = c, why
		}
	}
	return victim, reason
}

// reportInterval keeps log lines few while many connections are ended.
const reportInterval = 100 * time.Millisecond

// ended counts and reports a connection that the Listener ends.
func (l *Listener) ended(c *Conn, reason Reason) {
	l.counts[reason].Add(1)
	now, last := time.Since(epoch), l.reported.Load()
	if l.options.Ended != nil && now-time.Duration(last) >= reportInterval && l.reported.CompareAndSwap(last, int64(now)) {
		l.options.Ended(c.RemoteAddr().String(), reason)
	}
}

// TCP returns the TCP connection below conn, or nil.
func TCP(conn net.Conn) *net.TCPConn {
	for {
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		conn = wrapper.NetConn()
	}
	tcp, _ := conn.(*net.TCPConn)
	return tcp
}

// reset ends a connection without waiting for what its other end has not read. Errors mean that it has ended.
func reset(conn net.Conn) {
	if tcp := TCP(conn); tcp != nil {
		_ = tcp.SetLinger(0)
		_ = tcp.Close()
		return
	}
	_ = conn.Close()
}
