package listen

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/memory"
)

// States of a connection.
const (
	// stateWaiting means that the connection waits for a request or reads its head.
	stateWaiting int32 = iota
	// stateBody means that the body of a request is not whole.
	stateBody
	// stateServing means that a request is being served.
	stateServing
	// stateEnded means that the Listener has ended the connection.
	stateEnded
)

// Conn is a connection that a Listener has accepted. Its Read counts the heads of requests before the server parses them.
type Conn struct {
	net.Conn
	listener *Listener
	state    atomic.Int32
	// since is when the connection began to wait, in nanoseconds after epoch.
	since atomic.Int64
	// idle means that a request has been answered and nothing of the next one has been read.
	idle atomic.Bool

	headMu sync.Mutex
	// held is what the head that is being read or the request that is being served holds. Guarded by headMu.
	held *memory.Holding
	head headScanner // guarded by headMu
	// afterHead bounds what the server has read after the head that is being served and, where the body is sent in chunks,
	// after the last bytes that ended with an empty line. Guarded by headMu.
	afterHead int64
	// bodyBytes is the length of the served request's body; -1 if it is sent in chunks. Guarded by headMu.
	bodyBytes int64
	tail      lineTail // guarded by headMu
	// closed means that nothing is held any more. Guarded by headMu.
	closed bool

	// writeDeadline is the deadline that the server or a handler has set; nil means none.
	writeDeadline atomic.Pointer[time.Time]
}

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Memory that a server and a handler take for the head of a request, at most: a field of a map with its list, name and
// value, and the copy that is passed on.
const (
	bytesPerByte = 2
	bytesPerLine = 256
	// minLineBytes is the length of the shortest header line.
	minLineBytes = len("a:\n")
	// bufferBytes is the size of the server's buffer, which may hold the beginning of the next request.
	bufferBytes = 4 << 10
	// headSlack is what a head may have beyond MaxHeadBytes: its request line, and spaces, which the limit does not count.
	headSlack = 8 << 10
)

// errEnded means that the Listener has ended the connection.
var errEnded = errors.New("the connection was ended")

// headError is why the head of a request is not read any further.
type headError struct {
	reason Reason
	// response is written to the client.
	response string
}

// Error implements error.
func (e *headError) Error() string { return "head refused: " + e.reason.String() }

const (
	refusalFields  = "Content-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"
	refusalTimeout = 500 * time.Millisecond
)

var (
	errTooLong = &headError{HeadTooLong, "HTTP/1.1 431 Request Header Fields Too Large\r\n" + refusalFields + "the header is too large\n"}
	// A request of which the head was not whole has not been executed.
	errNoMemory = &headError{NoMemory, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n" + refusalFields + "too many long heads are being read\n"}
)

// Read implements net.Conn. Bytes of a head that finds no room are discarded.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 || !c.listener.options.Heads {
		// The error may be one that http.Server compares.
		return n, err
	}
	refused := c.count(b[:n])
	if refused == nil {
		return n, err
	}
	var refusal *headError
	if errors.As(refused, &refusal) {
		c.listener.ended(c, refusal.reason)
		c.refuse(refusal, b)
	}
	// After such an error, http.Server writes no response of its own.
	return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: refused}
}

// count counts bytes that were read.
func (c *Conn) count(b []byte) error {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	if c.closed || c.state.Load() == stateEnded {
		return errEnded
	}
	c.tail.add(b)
	if state := c.state.Load(); state != stateWaiting {
		if c.noteBody(len(b)) && state == stateBody && !c.state.CompareAndSwap(stateBody, stateServing) {
			return errEnded
		}
		return nil
	}
	c.idle.Store(false)
	used, lines, whole := c.head.scan(b)
	if limit := c.maxHeadBytes(); limit > 0 && c.head.bytes > limit {
		return errTooLong
	}
	if c.held.Grow(int64(used)*bytesPerByte+int64(lines)*bytesPerLine) != nil {
		return errNoMemory
	}
	if whole {
		c.afterHead = int64(len(b) - used)
		if !c.state.CompareAndSwap(stateWaiting, stateServing) {
			return errEnded
		}
	}
	return nil
}

// maxHeadBytes returns the bound of a head; 0 means none.
func (c *Conn) maxHeadBytes() int {
	f := c.listener.options.MaxHeadBytes
	if f == nil {
		return 0
	}
	if limit := f(); limit > 0 {
		return limit + headSlack
	}
	return 0
}

// refuse writes a refusal and discards what arrives for a while, since closing with unread bytes resets the connection, so
// that the refusal may be lost. b is overwritten.
func (c *Conn) refuse(refusal *headError, b []byte) {
	end := time.Now().Add(refusalTimeout)
	if c.SetDeadline(end) != nil {
		return
	}
	if _, err := io.WriteString(c.Conn, refusal.response); err != nil {
		return
	}
	if c.CloseWrite() != nil {
		return
	}
	for time.Now().Before(end) {
		if _, err := c.Conn.Read(b); err != nil {
			return
		}
	}
}

// Write implements net.Conn. It ends the connection if its client reads nothing for a while.
func (c *Conn) Write(b []byte) (int, error) {
	if !c.listener.options.Heads {
		return c.Conn.Write(b)
	}
	written := 0
	for piece := range slices.Chunk(b, writePiece) {
		deadline := time.Now().Add(c.listener.writeTimeout())
		if set := c.writeDeadline.Load(); set != nil && set.Before(deadline) {
			deadline = *set
		}
		if err := c.Conn.SetWriteDeadline(deadline); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil {
			// http.Server compares errors.
			return written, err
		}
	}
	return written, nil
}

// writePiece is the most that is written within one write timeout.
const writePiece = 64 << 10

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	if t.IsZero() {
		c.writeDeadline.Store(nil)
	} else {
		c.writeDeadline.Store(&t)
	}
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the sending half of the connection. http.Server uses it to end a connection with a response.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return errors.WithStack(half.CloseWrite())
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.release()
	// http.Server compares the error.
	return c.Conn.Close()
}

// end closes a connection that must not wait for its client.
func (c *Conn) end() {
	c.release()
	reset(c.Conn)
}

// release gives back the connection's place and memory.
func (c *Conn) release() {
	c.listener.remove(c)
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.closed = true
	c.held.Release()
}

// Serve marks the connection as in use, so that it is not evicted. It returns false if it has been evicted.
func (c *Conn) Serve() bool {
	return c.state.CompareAndSwap(stateWaiting, stateServing) || c.state.Load() == stateServing
}

// beginRequest records that a handler gets a request, and reports whether it may.
func (c *Conn) beginRequest(r *http.Request) bool {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	if c.state.CompareAndSwap(stateWaiting, stateServing) {
		// The end of the head was in the server's buffer.
		c.afterHead = max(c.afterHead-int64(sizeOf(r)), 0)
	}
	c.bodyBytes = r.ContentLength
	if !c.noteBody(0) {
		c.state.CompareAndSwap(stateServing, stateBody)
	}
	return c.state.Load() != stateEnded
}

// noteBody adds bytes that were read after the head, and reports whether the body may be whole. It is called with headMu held.
func (c *Conn) noteBody(n int) (whole bool) {
	c.afterHead += int64(n)
	if c.bodyBytes >= 0 {
		return c.afterHead >= c.bodyBytes
	}
	// The last chunk ends with an empty line. Others may, too.
	if c.afterHead == 0 || !c.tail.blank() {
		return false
	}
	c.afterHead = 0
	return true
}

// endRequest records that a request has been answered and that the connection waits for the next one. The beginning of that
// may be in the server's buffer.
func (c *Conn) endRequest() {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.held.Release()
	c.head = headScanner{}
	c.since.Store(int64(time.Since(epoch)))
	c.idle.Store(true)
	c.afterHead = min(max(c.afterHead-max(c.bodyBytes, 0), 0), bufferBytes)
	if !c.closed && c.held.Grow(c.afterHead*bytesPerByte+c.afterHead/int64(minLineBytes)*bytesPerLine) != nil {
		// The next Read fails. Few clients send a request before the last one is answered.
		c.closed = true
	}
	if !c.state.CompareAndSwap(stateServing, stateWaiting) {
		c.state.CompareAndSwap(stateBody, stateWaiting)
	}
}

// sizeOf returns the least size of a request's head.
func sizeOf(r *http.Request) int {
	const separators = len(":\r\n")
	sum := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("  \r\n\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			sum += len(name) + len(value) + separators
		}
	}
	return sum
}

// headScanner finds the end of a request's head. The zero value is at its beginning.
type headScanner struct {
	// bytes is the length of what has been scanned.
	bytes int
	// begun means that a line that is not empty has been scanned.
	begun bool
	// inLine means that the current line is not empty.
	inLine bool
}

// scan scans bytes. It returns how many of them belong to the head, how many lines end in them, and whether the head is whole.
func (s *headScanner) scan(b []byte) (used, lines int, whole bool) {
	for i, char := range b {
		switch {
		case char == '\n' && s.inLine:
			s.inLine = false
			lines++
		case char == '\n' && s.begun:
			s.bytes += i + 1
			return i + 1, lines, true
		case char != '\n' && char != '\r':
			s.begun, s.inLine = true, true
		}
	}
	s.bytes += len(b)
	return len(b), lines, false
}

// lineTail is the last bytes that were read.
type lineTail [3]byte

// add adds bytes that were read.
func (t *lineTail) add(b []byte) {
	for _, char := range b[max(len(b)-len(t), 0):] {
		t[0], t[1], t[2] = t[1], t[2], char
	}
}

// blank reports whether the bytes end with an empty line.
func (t *lineTail) blank() bool {
	return t[2] == '\n' && (t[1] == '\n' || t[1] == '\r' && t[0] == '\n')
}

// connKey is the key of a request's Conn in its context.
type connKey struct{}

// Attach prepares a server for connections of a Listener with Heads. It is called before Serve, and keeps the server's Handler,
// ConnContext and ConnState.
func Attach(srv *http.Server) {
	connContext, connState := srv.ConnContext, srv.ConnState
	srv.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if c, ok := conn.(*Conn); ok {
			ctx = context.WithValue(ctx, connKey{}, c)
		}
		if connContext != nil {
			ctx = connContext(ctx, conn)
		}
		return ctx
	}
	srv.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*Conn); ok && state == http.StateIdle {
			c.endRequest()
		}
		if connState != nil {
			connState(conn, state)
		}
	}
}

// Handler returns a handler of requests on connections of a Listener with Heads. It passes on none whose connection was ended.
func Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*Conn); ok && !c.beginRequest(r) {
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
		// The server reads what is left of the body. An error means that the connection has ended.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(finishTimeout))
	})
}

// finishTimeout bounds the time in which the server ends a request after its handler, since the client may not send its body.
const finishTimeout = 5 * time.Second
