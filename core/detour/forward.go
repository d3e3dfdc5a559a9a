package detour

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/target"
)

// Close makes this daemon forward no further connections; open ones go on.
func (b *Boxes) Close() {
	b.boxesMu.Lock()
	defer b.boxesMu.Unlock()
	b.closed = true
}

// acquire counts a connection to forward and reports whether this daemon forwards it.
func (b *Boxes) acquire() bool {
	b.boxesMu.Lock()
	defer b.boxesMu.Unlock()
	if b.closed || b.forwarded >= maxForwarded {
		return false
	}
	b.forwarded++
	return true
}

// release ends what acquire began.
func (b *Boxes) release() {
	b.boxesMu.Lock()
	defer b.boxesMu.Unlock()
	b.forwarded--
}

// handleOpen opens a connection to a target for another daemon.
func (b *Boxes) handleOpen(ctx context.Context, _ string, request *openRequest) (openResponse, func(net.Conn)) {
	address, _, listed := b.o.Locate(request.Target)
	if !listed || !b.acquire() {
		return openResponse{Verdict: cannotTell}, nil
	}
	conn, err := b.o.Pool.Dial(ctx, address)
	if err != nil {
		b.release()
		return openResponse{Verdict: verdictOf(err)}, nil
	}
	b.o.Forwarded.Inc()
	return openResponse{Verdict: opened}, (&forwarding{boxes: b, target: conn}).serve
}

// Bounds of borrowing.
const (
	// maxLenders is how many boxes are asked for one connection.
	maxLenders = 4
	// lendBackoffFirst and lendBackoffMax bound how long a box is not asked that did not lend one.
	lendBackoffFirst = 50 * time.Millisecond
	lendBackoffMax   = 400 * time.Millisecond
)

// Borrow implements target.Lender.
func (b *Boxes) Borrow(ctx context.Context, targetID string) (net.Conn, string, error) {
	_, domain, _ := b.o.Locate(targetID)
	candidates, _ := b.candidates(domain, &b.lendBackoff, time.Now())
	for _, box := range candidates[:min(len(candidates), maxLenders)] {
		began := time.Now()
		conn, verdict := b.request(ctx, box, kindLend, targetID)
		if verdict == opened {
			b.lendBackoff.RecordSuccess(box, time.Now())
			b.o.Borrowed.Inc()
			return conn, box, nil
		}
		if ctx.Err() != nil {
			break
		}
		b.lendBackoff.RecordFailure(box, began, time.Now())
	}
	return nil, "", errors.WithStack(target.ErrFull)
}

// handleLend opens a connection to a target for another daemon out of this one's share.
func (b *Boxes) handleLend(ctx context.Context, _ string, request *openRequest) (openResponse, func(net.Conn)) {
	address, _, listed := b.o.Locate(request.Target)
	if !listed || !b.acquire() {
		return openResponse{Verdict: cannotTell}, nil
	}
	conn, release, err := b.o.Pool.Lend(ctx, address, b.o.ConnectionShare(request.Target))
	switch {
	case errors.Is(err, target.ErrFull):
		b.release()
		return openResponse{Verdict: full}, nil
	case err != nil:
		b.release()
		return openResponse{Verdict: verdictOf(err)}, nil
	}
	b.o.Lent.Inc()
	f := &forwarding{boxes: b, target: conn}
	return openResponse{Verdict: opened}, func(box net.Conn) {
		defer release()
		f.serve(box)
	}
}

// verdictOf returns what a failure to connect to a target shows.
func verdictOf(err error) verdict {
	switch {
	case errors.Is(err, target.ErrTargetRefused):
		return refused
	case errors.Is(err, target.ErrTargetSilent):
		return silent
	}
	return cannotTell
}

// forwarding forwards one connection.
type forwarding struct {
	boxes *Boxes
	// target is the connection to the target, and box that to the other daemon.
	target, box net.Conn
	// writes is about the requests that are forwarded to the target.
	writes target.Writes
}

// closeTimeout is how long the other daemon may take to close its connection after the target has
// closed its own. What it still sends is discarded: closing with unread bytes would reset the
// connection, and what the target sent last might be lost.
const closeTimeout = 2 * time.Second

// serve forwards until either end closes its connection.
func (f *forwarding) serve(box net.Conn) {
	f.box = box
	defer f.boxes.release()
	defer f.target.Close()
	done := make(chan struct{})
	go f.run(done)
	target.ForwardResponses(box, f.target, &f.writes, done)
	box.SetReadDeadline(time.Now().Add(closeTimeout))
	<-done
}

// run forwards what the other daemon sends. When that closes its connection, the target learns of it at
// once, so that it ends its work.
func (f *forwarding) run(done chan<- struct{}) {
	defer close(done)
	buffer := make([]byte, copyBuffer)
	if _, err := io.CopyBuffer(requestWriter{f}, reader{f.box}, buffer); err != nil {
		// What the target does not take is discarded; see closeTimeout.
		_, _ = io.CopyBuffer(writer{}, reader{f.box}, buffer)
	}
	f.target.Close()
}

// requestWriter writes to the target.
type requestWriter struct{ *forwarding }

// Write implements io.Writer.
func (w requestWriter) Write(b []byte) (int, error) {
	w.writes.Begin()
	n, err := w.target.Write(b)
	w.writes.End(err)
	// io.CopyBuffer returns the error as it is.
	return n, err
}

// copyBuffer is the size of the buffer for requests; most fit.
const copyBuffer = 4 << 10

// reader hides the other methods of a connection, with which io.CopyBuffer would not use its buffer.
type reader struct{ io.Reader }

// writer discards what is written.
type writer struct{}

// Write implements io.Writer.
func (writer) Write(b []byte) (int, error) { return len(b), nil }
