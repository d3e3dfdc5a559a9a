package target

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

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
	// May, if set, is asked when a connection is there and nothing was written yet. Where it
	// returns an error nothing is, and the error is the cause of Send's.
	May func() error
}

// SendError is a failure to get an answer.
type SendError struct {
	// Sent tells that any byte of the request may have reached the target.
	Sent bool
	// Early tells that a kept connection ended sooner than an answer could have come over
	// it: it was closed before the request arrived.
	Early bool
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

// WasEarly reports whether a request failed on a connection that its target had closed before.
func WasEarly(err error) bool {
	var s *SendError
	return errors.As(err, &s) && s.Early
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

// reusable reports whether the answer and the request are whole.
func (in *Incoming) reusable() bool {
	if in.failed || !in.whole || in.Header.Get("Connection") == "close" {
		return false
	}
	t := time.NewTimer(wroteWait)
	defer t.Stop()
	select {
	case err := <-in.wrote:
		return err == nil
	case <-t.C:
		// The target answered before it had read the request.
		return false
	}
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

// run writes the request and says how that ended.
func (w writer) run() {
	err := w.write()
	if err != nil {
		// The answer will not come; reading ends too. Where this fails the
		// connection is closed already.
		_ = w.line.conn.CloseWrite()
	}
	w.done <- err
}

// write writes the head and the body.
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
