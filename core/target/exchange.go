package target

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Request is one request to a target.
type Request struct {
	// ID names the request in the responses to it, and is the same each time the request is sent.
	ID     string
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdle, if positive, is the longest time that a reused connection may have been idle, so
	// that the request does not go out on one that the target is about to close.
	MaxIdle time.Duration
	// BeforeWrite, if set, is called when a connection is open and nothing has been written yet. If
	// it returns an error, nothing is written and the error is the cause of Send's.
	BeforeWrite func() error
	// NewConnection means that no idle connection is used, since the target may no longer respond
	// on it.
	NewConnection bool
	// Target is the ID of the target, by which another box knows it. Empty means that the request goes
	// to its address only.
	Target string
	// SecondOpen means that another connection for the same request did not open before, so that a
	// connection through another box is tried as soon as this one does not open either.
	SecondOpen bool
	// OnlyTarget means that no other target can serve the request: if this one seems to be silent to other
	// boxes too, its connection is waited for, since it may go on.
	OnlyTarget bool
	// OnVerdict, if set, is called by another goroutine when another box has found out whether a target
	// that this one could not connect to is reachable: err is nil if it is, and else tells how it failed.
	OnVerdict func(err error)
	// Group names the targets whose connections are expected to take equally long to open.
	Group string
	// ReplaceSlowOpen means that Send fails with ErrSlowOpen if the connection takes longer to open
	// than usual in the group. Opening then continues, and the connection is kept for the next
	// request.
	ReplaceSlowOpen bool
	// OnOpen, if set, is called when the opening of a new connection has ended. late means that Send
	// has returned without it; the call is then made by another goroutine.
	OnOpen func(late bool, err error)
	// OnSilent, if set, is called by another goroutine if the target has acknowledged nothing of the
	// request for some time, so that it seems to be gone.
	OnSilent func()
}

// SendError is a failure to get a response.
type SendError struct {
	// MayHaveArrived means that bytes of the request may have reached the target.
	MayHaveArrived bool
	// ClosedEarly means that a reused connection was closed sooner than a response could have
	// arrived on it: the target closed it before it received the request.
	ClosedEarly bool
	cause       error
	// carriage is valid if MayHaveArrived is set.
	carriage Carriage
}

// Error returns the cause and whether the request may have been sent.
func (e *SendError) Error() string {
	if e.MayHaveArrived {
		return "after sending: " + e.cause.Error()
	}
	return "before sending: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.cause }

// unverifiedError is a failure to open a connection that may be due to this box's own path.
type unverifiedError struct{ error }

// Unwrap returns the failure.
func (e unverifiedError) Unwrap() error { return e.error }

// Unverified reports whether an error tells about this box's path to a target rather than about the
// target.
func Unverified(err error) bool {
	var u unverifiedError
	return errors.As(err, &u) || errors.Is(err, ErrDetourLost)
}

// MayHaveArrived reports whether a failed request may have reached its target.
func MayHaveArrived(err error) bool {
	var s *SendError
	return errors.As(err, &s) && s.MayHaveArrived
}

// ClosedEarly reports whether a request failed on a connection that its target had closed before.
func ClosedEarly(err error) bool {
	var s *SendError
	return errors.As(err, &s) && s.ClosedEarly
}

// Framing is what tells where the body of a response ends.
type Framing int

const (
	// FramingNone means that the response has no body.
	FramingNone Framing = iota
	// FramingLength means that the header states the length of the body.
	FramingLength
	// FramingChunks means that the last chunk is marked.
	FramingChunks
	// FramingConnection means that the body ends where the target closes the connection. A target that
	// breaks off may close it in the same way.
	FramingConnection
)

var framingNames = [...]string{"none", "length", "chunks", "connection"}

// String returns the framing as written in log lines and metrics.
func (f Framing) String() string { return framingNames[f] }

// framingOf returns the framing of a parsed response.
func framingOf(parsed *http.Response) Framing {
	switch {
	case parsed.Body == http.NoBody:
		return FramingNone
	case parsed.ContentLength >= 0:
		return FramingLength
	case len(parsed.TransferEncoding) > 0:
		return FramingChunks
	}
	return FramingConnection
}

// Response is the response of a target, whose body is still to be read.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body; -1 if the response does not state it.
	Length  int64
	framing Framing
	body    io.Reader
	// readErr is the first error of body, which ends reading: after a reset, the connection under it reports
	// an ordinary end.
	readErr error
	// conn is nil once the exchange has been closed.
	conn *poolConn
	// box is the box that the connection leads through, or "".
	box string
	// carriage tells the connection also after conn is nil.
	carriage Carriage
	// stopCancel detaches the connection from the context, and reports false if the context had
	// ended before.
	stopCancel func() bool
	// writes is about the request, and written is closed once it has been written or that has failed.
	writes  Writes
	written chan struct{}
	// done is closed when the context of the request ends.
	done     <-chan struct{}
	complete bool // the body was read to its end
	failed   bool // the connection must not be reused
}

// ErrUnmarkedEnd ends a body of FramingConnection: the target closed the connection after it had received the whole
// request, and nothing tells whether the body is complete.
var ErrUnmarkedEnd = errors.New("the body ended with its connection")

// Read reads the body. It returns io.EOF only when the framing says that the response is complete, else
// ErrUnmarkedEnd or why it broke off, and each error again.
func (resp *Response) Read(b []byte) (int, error) {
	if resp.readErr != nil {
		return 0, resp.readErr
	}
	n, err := resp.body.Read(b)
	return n, resp.recordRead(err)
}

// recordRead records the result of a read of the body and returns the error that Read returns.
func (resp *Response) recordRead(err error) error {
	if errors.Is(err, io.EOF) && resp.framing == FramingConnection {
		if err = resp.verifyEnd(); err == nil {
			err = errors.WithStack(ErrUnmarkedEnd)
		}
	}
	resp.readErr = err
	switch {
	case err == nil, errors.Is(err, ErrUnmarkedEnd):
	case errors.Is(err, io.EOF):
		resp.complete = true
	default:
		resp.failed = true
		var timeout net.Error
		if resp.conn != nil && !(errors.As(err, &timeout) && timeout.Timeout()) {
			resp.conn.pool.connectionFailed(resp.conn, err)
		}
	}
	return err
}

// EndedUnmarked reports whether a read has ended with ErrUnmarkedEnd.
func (resp *Response) EndedUnmarked() bool { return errors.Is(resp.readErr, ErrUnmarkedEnd) }

// Framing returns what tells where the body ends.
func (resp *Response) Framing() Framing { return resp.framing }

// Carriage returns which connection the response came on.
func (resp *Response) Carriage() Carriage { return resp.carriage }

// Box returns the box that the response came by way of, or "".
func (resp *Response) Box() string { return resp.box }

// awaitBodyBuffer is the size of the buffer for the start of a body: reads of larger buffers bypass
// it afterwards.
const awaitBodyBuffer = 512

// AwaitBody returns once the first byte of the body has arrived, or its end, without consuming it. It
// returns an error if the body broke off before; Read returns that again.
func (resp *Response) AwaitBody() error {
	r := bufio.NewReaderSize(resp.body, awaitBodyBuffer)
	_, err := r.Peek(1)
	resp.body = r
	if err != nil {
		// The reader forgets an error that it has returned.
		err = resp.recordRead(err)
	}
	if err != nil && !IsEnd(err) {
		return errors.WithStack(err)
	}
	return nil
}

// IsEnd reports whether an error of Read is an end that may be that of the whole body.
func IsEnd(err error) bool { return errors.Is(err, io.EOF) || errors.Is(err, ErrUnmarkedEnd) }

// Close ends the exchange. The connection is kept only if the response and the request are complete
// and nothing else has arrived.
func (resp *Response) Close() {
	alive := resp.stopCancel()
	conn := resp.conn
	resp.conn = nil
	if conn == nil {
		return
	}
	if !alive || !resp.reusable() || conn.r.Buffered() > 0 || conn.isDead() {
		conn.pool.closeConn(conn)
		return
	}
	conn.pool.put(conn, resp.Header.Get("Keep-Alive"))
}

// Discard makes Close discard the connection.
func (resp *Response) Discard() { resp.failed = true }

// reusable reports whether the response and the request are complete.
func (resp *Response) reusable() bool {
	if resp.failed || !resp.complete || resp.Header.Get("Connection") == "close" {
		return false
	}
	t := time.NewTimer(writeWait)
	defer t.Stop()
	select {
	case <-resp.written:
		_, err := resp.writes.state()
		return err == nil
	case <-t.C:
		// The target responded before it had read the request.
		return false
	}
}

// writer writes one request.
type writer struct {
	conn *poolConn
	req  *Request
	// writes receives the result, and done is closed after that.
	writes *Writes
	done   chan<- struct{}
}

// run writes the request and reports the result. The caller has recorded that it begins.
func (w writer) run() {
	err := w.write()
	if err != nil {
		// There will be no response, so reading must end as well. If CloseWrite fails, the
		// connection is closed already.
		_ = w.conn.tcp.CloseWrite()
	}
	w.writes.End(err)
	close(w.done)
}

// write writes the request line, the header and the body.
func (w writer) write() error {
	var b strings.Builder
	b.WriteString(w.req.Method + " " + w.req.URI + " HTTP/1.1\r\nHost: " + w.req.Host + "\r\n")
	if err := w.req.Header.Write(&b); err != nil {
		return errors.WithStack(err)
	}
	if len(w.req.Body) > 0 || (w.req.Method != http.MethodGet && w.req.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(w.req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	parts := net.Buffers{[]byte(b.String())}
	if len(w.req.Body) > 0 {
		parts = append(parts, w.req.Body)
	}
	_, err := parts.WriteTo(w.conn.stream)
	return errors.WithStack(err)
}
