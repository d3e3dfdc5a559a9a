package wait

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
)

// ErrSilent says that nothing of an answer came for too long.
var ErrSilent = errors.New("nothing came any more")

// Patience ends a call once nothing of its answer has come for too long, however long
// the whole takes: a time limit for the whole would have to fit its size.
type Patience struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	silence time.Duration
	timer   *time.Timer
}

// Patiently returns the context of a call that ends after a silence; first bounds the
// wait for the beginning of the answer. Stop must be called in the end.
func Patiently(ctx context.Context, first, silence time.Duration) (context.Context, *Patience) {
	p := &Patience{silence: silence}
	p.ctx, p.cancel = context.WithCancelCause(ctx)
	p.timer = time.AfterFunc(first, func() { p.cancel(ErrSilent) })
	return p.ctx, p
}

// Stop ends the call's context.
func (p *Patience) Stop() {
	p.timer.Stop()
	p.cancel(nil)
}

// Reason returns ErrSilent for the error of a call that ended after a silence, else the
// error.
func (p *Patience) Reason(err error) error {
	if err != nil && errors.Is(context.Cause(p.ctx), ErrSilent) {
		return errors.WithStack(ErrSilent)
	}
	return err
}

// Reader returns a reader of the call's answer.
func (p *Patience) Reader(r io.Reader) io.Reader { return &patientReader{r, p} }

// patientReader begins the silence anew with each piece that comes.
type patientReader struct {
	from     io.Reader
	patience *Patience
}

// Read reads a piece.
func (r *patientReader) Read(b []byte) (int, error) {
	n, err := r.from.Read(b)
	if n > 0 {
		r.patience.timer.Reset(r.patience.silence)
	}
	return n, err
}
