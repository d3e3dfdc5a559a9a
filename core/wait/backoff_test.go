package wait

import (
	"testing"
	"time"
)

func TestBackoff(t *testing.T) {
	// attempt is an attempt with its beginning and end in seconds.
	type attempt struct {
		began, ended int
		succeeded    bool
	}
	for _, tc := range []struct {
		name     string
		attempts []attempt
		// ready is the second from which on another attempt may be made.
		ready int
	}{
		{"no attempt", nil, 0},
		{"failure", []attempt{{began: 0, ended: 3}}, 5},
		{"failures in a row", []attempt{{began: 0, ended: 3}, {began: 5, ended: 8}}, 12},
		{"many failures in a row", []attempt{{began: 0, ended: 3}, {began: 5, ended: 8}, {began: 12, ended: 13}, {began: 21, ended: 22}}, 32},
		{"failures at the same time", []attempt{{began: 0, ended: 3}, {began: 1, ended: 4}, {began: 2, ended: 5}}, 5},
		{"failure, then success", []attempt{{began: 0, ended: 3}, {began: 5, ended: 6, succeeded: true}}, 0},
		{"failure of an attempt that began before a success", []attempt{{began: 1, ended: 2, succeeded: true}, {began: 0, ended: 3}}, 0},
		{"failure after a success", []attempt{{began: 0, ended: 3}, {began: 5, ended: 6, succeeded: true}, {began: 6, ended: 7}}, 9},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := Backoff[string]{Initial: 2 * time.Second, Max: 10 * time.Second}
			base := time.Now()
			at := func(seconds int) time.Time { return base.Add(time.Duration(seconds) * time.Second) }
			for _, a := range tc.attempts {
				if a.succeeded {
					b.RecordSuccess("k", at(a.ended))
				} else {
					b.RecordFailure("k", at(a.began), at(a.ended))
				}
			}
			if !b.Ready("k", at(tc.ready)) {
				t.Errorf("Ready after %d s = false, want true", tc.ready)
			}
			if tc.ready > 0 && b.Ready("k", at(tc.ready).Add(-time.Millisecond)) {
				t.Errorf("Ready before %d s = true, want false", tc.ready)
			}
			if !b.Ready("other", base) {
				t.Error("Ready of another key = false, want true")
			}
		})
	}
}
