package target

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"embertally.dev/core/memory"
)

// headReader reads a connection and counts what is read of a head.
type headReader struct {
	r io.Reader
	// holding is set while a head is being read.
	holding *memory.Holding
}

// begin counts what is read until end.
func (h *headReader) begin(budget *memory.Budget) {
	h.holding = budget.Hold(memory.Heads)
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
	n, err := h.r.Read(b)
	if full := h.holding.Grow(int64(n)); full != nil {
		return 0, full
	}
	return n, err
}

// readHead reads the status and header of the response, and skips interim responses.
func (resp *Response) readHead(method string) error {
	resp.conn.head.begin(resp.conn.pool.Memory)
	defer resp.conn.head.end()
	for {
		parsed, err := http.ReadResponse(resp.conn.r, &http.Request{Method: method})
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
