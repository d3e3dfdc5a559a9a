package wait

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/pkg/errors"
)

func TestFor(t *testing.T) {
	ended, end := context.WithCancel(context.Background())
	end()
	for _, tc := range []struct {
		name   string
		ctx    context.Context
		d      time.Duration
		passed bool
	}{
		{"the time passes", context.Background(), time.Millisecond, true},
		{"the context has ended", ended, time.Hour, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := For(tc.ctx, tc.d); got != tc.passed {
				t.Errorf("For(%v) = %v, want %v", tc.d, got, tc.passed)
			}
		})
	}
}

func TestEveryCallsUntilTheContextEnds(t *testing.T) {
	ctx, end := context.WithCancel(context.Background())
	calls := 0
	Every(ctx, time.Millisecond, func() {
		if calls++; calls == 3 {
			end()
		}
	})
	if calls < 3 {
		t.Errorf("Every made %d calls, want at least 3", calls)
	}
}

// drip is an answer of which a piece comes after each pause, and then nothing.
type drip struct {
	ctx    context.Context
	pause  time.Duration
	pieces int
}

func (d *drip) Read(b []byte) (int, error) {
	if d.pieces--; d.pieces < 0 {
		<-d.ctx.Done()
		return 0, context.Cause(d.ctx)
	}
	if !For(d.ctx, d.pause) {
		return 0, context.Cause(d.ctx)
	}
	return copy(b, "x"), nil
}

func TestPatiencePassesOnlyInSilence(t *testing.T) {
	const silence, pause, pieces = 400 * time.Millisecond, 50 * time.Millisecond, 20
	ctx, p := Patiently(context.Background(), silence, silence)
	defer p.Stop()
	got, err := io.ReadAll(p.Reader(&drip{ctx, pause, pieces}))
	if len(got) != pieces {
		t.Errorf("read %d pieces in more than twice the silence, want %d", len(got), pieces)
	}
	if err = p.Reason(err); !errors.Is(err, ErrSilent) {
		t.Errorf("ended with %v, want ErrSilent", err)
	}
	if err := p.Reason(nil); err != nil {
		t.Errorf("a call that went well has the reason %v", err)
	}
}

func TestPatienceLeavesOtherErrorsAlone(t *testing.T) {
	_, p := Patiently(context.Background(), time.Hour, time.Hour)
	p.Stop()
	if err := p.Reason(io.ErrUnexpectedEOF); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("reason %v", err)
	}
}
