// Package memory bounds the bytes that a daemon holds of requests and responses while they are read or sent, all together:
// a bound for each does not bound their sum.
//
// It must not know what the bytes are for, beyond their kind.
package memory

import (
	"fmt"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// Kind is a kind of bytes.
type Kind int

// Kinds of bytes.
const (
	// Requests are bodies of callers' requests.
	Requests Kind = iota
	// CallerHeads are heads of requests, from their first byte until the request has been answered.
	CallerHeads
	// Heads are heads of responses that are being read.
	Heads
	// Bodies are the starts of responses, which are kept until they are passed on.
	Bodies
	// Events are events of streams that are being read.
	Events
	// Calls are responses to calls other than callers' requests: orders, reports and lists of targets.
	Calls
	// Frames are messages of other daemons that are being read.
	Frames
	// kinds is the number of kinds.
	kinds
)

var kindNames = [kinds]string{"requests", "callerHeads", "heads", "bodies", "events", "calls", "frames"}

// String returns the kind as written in log lines and metrics.
func (k Kind) String() string { return kindNames[k] }

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Requests, CallerHeads, Heads, Bodies, Events, Calls, Frames} }

// ErrFull means that a budget has no room for more bytes.
var ErrFull = errors.New("the memory for requests and responses is used up")

// fullError is ErrFull with what found no room.
type fullError struct {
	kind      Kind
	has, more int64
}

// Error returns what found no room.
func (e *fullError) Error() string {
	return fmt.Sprintf("%v: %d bytes of %s beside %d", ErrFull, e.more, e.kind, e.has)
}

// Is reports whether the other error is ErrFull.
func (*fullError) Is(other error) bool { return other == ErrFull }

const (
	// smallHolding is what each request or response may hold even if the budget is used up: what is usual is never
	// refused because of what is large.
	smallHolding = 16 << 10
	// requestShare is the part of the budget that requests may use. The rest is for responses to those that have been
	// sent: these may have been executed, while a request that finds no room has not.
	requestShare = 0.6
)

// Budget bounds the bytes that a daemon holds of all requests and responses together. Whoever asks for more than
// smallHolding when it is used up gives way. The zero value counts without a bound.
type Budget struct {
	// Limit is the bound in bytes; 0 means none. It is set before use.
	Limit int64

	budgetMu sync.Mutex
	held     [kinds]int64 // guarded by budgetMu
	most     [kinds]int64 // the most that was held at a time; guarded by budgetMu
	refused  int64        // guarded by budgetMu
}

// Held returns how many bytes of a kind are held now, and the most that were held at a time.
func (b *Budget) Held(kind Kind) (now, most int64) {
	b.budgetMu.Lock()
	defer b.budgetMu.Unlock()
	return b.held[kind], b.most[kind]
}

// Refused returns how often there was no room.
func (b *Budget) Refused() int64 {
	b.budgetMu.Lock()
	defer b.budgetMu.Unlock()
	return b.refused
}

// add counts bytes of a kind at a holder that has some already, and reports whether there is room.
func (b *Budget) add(kind Kind, has, more int64) bool {
	b.budgetMu.Lock()
	defer b.budgetMu.Unlock()
	total := more
	for _, n := range b.held {
		total += n
	}
	if b.Limit > 0 && has+more > smallHolding && !b.fits(kind, has, more, total) {
		b.refused++
		return false
	}
	b.held[kind] += more
	b.most[kind] = max(b.most[kind], b.held[kind])
	return true
}

// fits reports whether there is room for more bytes of a kind at a holder that has some. total includes them. It is called with budgetMu held.
func (b *Budget) fits(kind Kind, has, more, total int64) bool {
	switch kind {
	case Requests:
		return total <= int64(requestShare*float64(b.Limit))
	case CallerHeads:
		// A head alone always fits; its length is bounded otherwise.
		return total <= b.Limit || total == has+more
	default:
		return total <= b.Limit
	}
}

// remove takes back what add counted.
func (b *Budget) remove(kind Kind, n int64) {
	b.budgetMu.Lock()
	defer b.budgetMu.Unlock()
	b.held[kind] -= n
}

// Holding is what one request or response holds of a budget. A nil budget bounds and counts nothing. It is used by one
// goroutine at a time.
type Holding struct {
	budget *Budget
	kind   Kind
	bytes  int64
}

// Hold returns a holding of nothing yet. The budget may be nil.
func (b *Budget) Hold(kind Kind) *Holding { return &Holding{budget: b, kind: kind} }

// Grow adds bytes to the holding, or returns ErrFull and adds none.
func (h *Holding) Grow(n int64) error {
	if h.budget == nil || n <= 0 {
		return nil
	}
	if !h.budget.add(h.kind, h.bytes, n) {
		return errors.WithStack(&fullError{h.kind, h.bytes, n})
	}
	h.bytes += n
	return nil
}

// Release gives back all that is held.
func (h *Holding) Release() {
	if h.budget != nil && h.bytes > 0 {
		h.budget.remove(h.kind, h.bytes)
	}
	h.bytes = 0
}

// Reader returns a reader whose bytes are added to the holding. It fails with ErrFull where there is no room.
func (h *Holding) Reader(r io.Reader) io.Reader { return heldReader{r, h} }

// heldReader implements Holding.Reader.
type heldReader struct {
	r io.Reader
	h *Holding
}

// Read implements io.Reader. Bytes for which there is no room are discarded.
func (r heldReader) Read(b []byte) (int, error) {
	n, err := r.r.Read(b)
	if full := r.h.Grow(int64(n)); full != nil {
		return 0, full
	}
	// The error may be io.EOF, which readers compare.
	return n, err
}
