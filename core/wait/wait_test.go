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
