package target

import (
	"bytes"
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"embertally.dev/core/memory"
)

// Bounds of the head of a response, with all interim responses before it. A line takes more memory than its bytes, and is
// counted for itself.
const (
	maxHeadBytes = 64 << 10
	maxHeadLines = 512
)

// ErrHeadTooLong means that what a target sent in place of a response is longer than a head may be.
var ErrHeadTooLong = errors.New("the head of the response is too long")

// headTooLongError is ErrHeadTooLong with what was read.
type headTooLongError struct{ bytes, lines int }

// Error returns what was read.
func (e *headTooLongError) Error() string {
	return fmt.Sprintf("%v: %d bytes and %d lines without its end", ErrHeadTooLong, e.bytes, e.lines)
}

// Is reports whether the other error is ErrHeadTooLong.
func (*headTooLongError) Is(other error) bool { return other == ErrHeadTooLong }

// headReader reads a connection and bounds what is read of a head.
type headReader struct {
	r io.Reader
	// holding is set while a head is being read. bytes and lines are what was read since.
	holding *memory.Holding
	bytes   int
	lines   int
	// err is set once the head was too long or found no room. A parser may return another error for that.
	err error
}

// begin bounds what is read until end.
func (h *headReader) begin(budget *memory.Budget) {
	h.holding, h.bytes, h.lines, h.err = budget.Hold(memory.Heads), 0, 0, nil
}

// end ends what begin began.
func (h *headReader) end() {
	h.holding.Release()
	h.holding = nil
}

// Read implements io.Reader. It is called for a head only if what was read before does not complete it.
func (h *headReader) Read(b []byte) (int, error) {
	if h.holding == nil {
		return h.r.Read(b)
	}
	if h.bytes >= maxHeadBytes || h.lines >= maxHeadLines {
		h.err = errors.WithStack(&headTooLongError{h.bytes, h.lines})
		return 0, h.err
	}
	n, err := h.r.Read(b)
	h.bytes += n
	h.lines += bytes.Count(b[:n], []byte{'\n'})
	if h.err = h.holding.Grow(int64(n)); h.err != nil {
		return 0, h.err
	}
	return n, err
}

// readHead reads the status and header of the response, and skips interim responses.
func (resp *Response) readHead(method string) error {
	resp.conn.head.begin(resp.conn.pool.Memory)
	defer resp.conn.head.end()
	for {
		parsed, err := http.ReadResponse(resp.conn.r, &http.Request{Method: method})
		if resp.conn.head.err != nil {
			return resp.conn.head.err
		}
		if err != nil {
			return errors.WithStack(err)
		}
		if parsed.StatusCode < http.StatusOK {
			continue
		}
		resp.Status, resp.Header, resp.Length, resp.body = parsed.StatusCode, parsed.Header,
			parsed.ContentLength, parsed.Body
		resp.framing = framingOf(parsed)
		if parsed.Close {
			resp.Header.Set("Connection", "close")
		}
		return nil
	}
}
