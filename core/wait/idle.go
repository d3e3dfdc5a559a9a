package wait

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
)

// ErrIdleTimeout reports that no data of a response arrived within the idle timeout.
var ErrIdleTimeout = errors.New("no data received within the idle timeout")

// IdleTimeout cancels a call when no data of its response has arrived for too long. It doesn't bound
// the total time, because that bound would depend on the size of the response.
type IdleTimeout struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	idle   time.Duration
	timer  *time.Timer
}

// WithIdleTimeout returns the context of a call with an idle timeout. firstByte bounds the wait for
// the start of the response, idle each later wait for data. Stop must be called at the end.
func WithIdleTimeout(ctx context.Context, firstByte, idle time.Duration) (context.Context, *IdleTimeout) {
	t := &IdleTimeout{idle: idle}
	t.ctx, t.cancel = context.WithCancelCause(ctx)
	t.timer = time.AfterFunc(firstByte, func() { t.cancel(ErrIdleTimeout) })
	return t.ctx, t
}

// Stop cancels the call's context.
func (t *IdleTimeout) Stop() {
	t.timer.Stop()
	t.cancel(nil)
}

// Cause returns ErrIdleTimeout if err comes from a call that the idle timeout cancelled, else err.
func (t *IdleTimeout) Cause(err error) error {
	if err != nil && errors.Is(context.Cause(t.ctx), ErrIdleTimeout) {
		return errors.WithStack(ErrIdleTimeout)
	}
	return err
}

// Reader returns a reader of the call's response that restarts the idle timeout with each read of
// data.
func (t *IdleTimeout) Reader(r io.Reader) io.Reader { return &idleReader{r, t} }

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
