package relay

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// errLateBegin ends an attempt that its target has not begun by the time until which requests may begin on its weights.
var errLateBegin = errors.New("it has not begun, and may no longer on these replaced weights")

// beginBound ends an attempt at a target that has not begun it in time: how long a request waits in a target's queue
// is not known. It is started once.
type beginBound struct {
	// left returns for how much longer the request may begin; nil if it may at any time.
	left func() time.Duration

	boundMu sync.Mutex
	cancel  context.CancelCauseFunc // nil before start; guarded by boundMu
	timer   *time.Timer             // nil once the request has begun; guarded by boundMu
}

// start returns the context of the attempt.
func (b *beginBound) start(ctx context.Context) context.Context {
	if b.left == nil {
		return ctx
	}
	b.boundMu.Lock()
	defer b.boundMu.Unlock()
	ctx, b.cancel = context.WithCancelCause(ctx)
	b.timer = time.AfterFunc(max(0, b.left()), b.run)
	return ctx
}

// run ends the attempt, unless the request has begun or may still begin.
func (b *beginBound) run() {
	b.boundMu.Lock()
	defer b.boundMu.Unlock()
	if b.timer == nil {
		return
	}
	if left := b.left(); left > 0 {
		b.timer.Reset(left)
		return
	}
	b.cancel(errLateBegin)
}

// stop records that the request has begun.
func (b *beginBound) stop() {
	b.boundMu.Lock()
	defer b.boundMu.Unlock()
	if b.timer != nil {
		b.timer.Stop()
		b.timer = nil
	}
}

// end releases the context once the attempt has ended.
func (b *beginBound) end() {
	b.stop()
	b.boundMu.Lock()
	defer b.boundMu.Unlock()
	if b.cancel != nil {
		b.cancel(nil)
	}
}

// beginsWithin returns for how much longer the request may begin at the target of a choice; nil if that is not bounded. A
// request that may be sent once only is left to its target: nobody else could answer it.
func (p *proxiedRequest) beginsWithin(c *choice) func() time.Duration {
	usableFor := p.relay.options.WeightsUsableFor
	if usableFor == nil || c.weightVersion <= 0 || !p.route.MayRepeat() {
		return nil
	}
	model, version := p.meta.Model, c.weightVersion
	return func() time.Duration { return usableFor(model, version) }
}
