package wait

import (
	"context"
	"testing"
	"time"
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
