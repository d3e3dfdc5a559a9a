package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/clock"
)

func TestRepeatedSuccessesRuleOutARequestAsCause(t *testing.T) {
	tests := []struct {
		name         string
		incarnations []string // those at which it completed well, in order
		want         bool     // whether it still counts as one that completed well
	}{
		{"never", nil, false},
		{"once, just before", []string{"a"}, false},
		{"twice", []string{"a", "a"}, false},
		{"three times", []string{"a", "a", "a"}, true},
		{"three times, the last at another incarnation", []string{"a", "a", "b"}, true},
		{"three times in turn", []string{"a", "b", "a"}, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var s attempts
			sent := sentOf(digestOf("the same again"))
			for _, incarnation := range tc.incarnations {
				s.recordEnd(incarnation, sent, true)
			}
			s.recordLoss("a", sent)
			inFlight, _, _ := s.recordCrash("a", false)
			g.Expect(inFlight).NotTo(gomega.BeEmpty(), "it was in flight")
			g.Expect(s.recentlySucceeded(sent.Request)).To(gomega.Equal(tc.want), fmt.Sprint(tc.incarnations))
		})
	}
}

// Where connections of a target broke again and again, a crash was put down to all requests that were ever under way on one.
func TestACrashIsPutDownToNoLossLongBefore(t *testing.T) {
	const interval = lossWindow - time.Second
	tests := []struct {
		name string
		// losses is how many connections break, one each interval, and wait the time from the last one to the crash.
		losses int
		wait   time.Duration
		// want is how many of them, the last ones, may have been broken by the crash.
		want int
	}{
		{"one, at the crash", 1, 0, 1},
		{"one, long before", 1, lossWindow + time.Second, 0},
		{"two, the first may still be", 2, 0, 2},
		{"two, the first too long before", 2, 2 * time.Second, 1},
		{"ten over a minute", 10, 0, 2},
		{"ten, the last too long before", 10, lossWindow + time.Second, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var s attempts
			var want []Sent
			lost := clock.Now()
			for i := range tc.losses {
				if i > 0 {
					clock.Suspend(interval)
				}
				sent := sentOf(digestOf(fmt.Sprint(i)))
				if i == tc.losses-tc.want {
					lost = clock.Now()
				}
				s.recordLoss("a", sent)
				if i >= tc.losses-tc.want {
					want = append(want, sent)
				}
			}
			clock.Suspend(tc.wait)
			inFlight, at, first := s.recordCrash("a", false)
			g.Expect(first).To(gomega.BeTrue())
			g.Expect(inFlight).To(gomega.Equal(want))
			if tc.want > 0 {
				g.Expect(at.Sub(lost)).To(gomega.BeNumerically("~", 0, time.Second), "the time of the crash")
			}
		})
	}
}
