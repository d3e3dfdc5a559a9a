package wait

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
)

// ErrIdleTimeout reports that no data of an answer arrived within the idle timeout.
var ErrIdleTimeout = errors.New("no data received within the idle timeout")

// IdleTimeout is an idle timeout: it cancels a call when no data of its answer has arrived for too long.
// It doesn't bound the total time, because a bound for that would depend on the size of the answer.
type IdleTimeout struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	idle   time.Duration
	timer  *time.Timer
}

// WithIdleTimeout returns the context of a call with an idle timeout. firstByte bounds the wait for the start
// of the answer, idle each later wait for data. Stop must be called at the end.
func WithIdleTimeout(ctx context.Context, firstByte, idle time.Duration) (context.Context, *IdleTimeout) {
	p := &IdleTimeout{idle: idle}
	p.ctx, p.cancel = context.WithCancelCause(ctx)
	p.timer = time.AfterFunc(firstByte, func() { p.cancel(ErrIdleTimeout) })
	return p.ctx, p
}

// Stop cancels the call's context.
func (p *IdleTimeout) Stop() {
	p.timer.Stop()
	p.cancel(nil)
}

// Cause returns ErrSilent if err comes from a call that the idle timeout cancelled, else err.
func (p *IdleTimeout) Cause(err error) error {
	if err != nil && errors.Is(context.Cause(p.ctx), ErrIdleTimeout) {
		return errors.WithStack(ErrIdleTimeout)
	}
	return err
}

// Reader returns a reader of the call's answer that restarts the idle timeout with each read of data.
func (p *IdleTimeout) Reader(r io.Reader) io.Reader { return &idleReader{r, p} }

// idleReader restarts the idle timeout whenever data arrives.
type idleReader struct {
	source  io.Reader
	timeout *IdleTimeout
}

// Read reads from the source.
func (r *idleReader) Read(b []byte) (int, error) {
	n, err := r.source.Read(b)
	if n > 0 {
		r.timeout.timer.Reset(r.timeout.idle)
	}
	return n, err
}
