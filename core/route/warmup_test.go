package route

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestWarmUpShareStaysWithinMaxRate(t *testing.T) {
	tests := []struct {
		name    string
		maxRate float64
		daemons int
		// sum is the total share of all daemons, and first that of the first one.
		sum, first int
	}{
		{"one daemon", 26, 1, 13, 13},
		{"eight", 26, 8, 13, 2},
		{"sixteen, one cell", 26, 16, 13, 1},
		{"seventy-nine, a plain service", 26, 79, 13, 1},
		{"hundreds", 26, 385, 13, 1},
		{"less than one per view", 1.9, 8, 0, 0},
		{"unknown number", 26, 0, 0, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			sum := 0
			for rank := range tc.daemons {
				sum += WarmUpShare(tc.maxRate, tc.daemons, rank)
			}
			g.Expect(sum).To(gomega.Equal(tc.sum))
			g.Expect(WarmUpShare(tc.maxRate, tc.daemons, 0)).To(gomega.Equal(tc.first))
			g.Expect(float64(sum * ConcurrentViews)).To(gomega.BeNumerically("<=", tc.maxRate))
		})
	}
}

// Half of the daemons do not yet know that the other half has been lost or added: the sum
// of what each sends by its own list of boxes stays within the maximum rate.
func TestWarmUpShareWithTwoMembershipViews(t *testing.T) {
	g := gomega.NewWithT(t)
	const maxRate = 26
	for _, daemons := range []int{1, 4, 8, 16, 79, 385} {
		sum := 0
		for rank := range daemons {
			sum += WarmUpShare(maxRate, daemons, rank)
		}
		listed := max(1, daemons/2)
		for rank := range listed {
			sum += WarmUpShare(maxRate, listed, rank)
		}
		g.Expect(sum).To(gomega.BeNumerically("<=", maxRate), "%d daemons", daemons)
	}
}

func TestWarmUpLimiterLimitsOverASlidingWindow(t *testing.T) {
	g := gomega.NewWithT(t)
	var limiter WarmUpLimiter
	start := time.Unix(1000, 0)
	g.Expect(limiter.Idle(start)).To(gomega.BeTrue())
	for _, step := range []struct {
		after   time.Duration
		allowed bool
	}{{0, true}, {500 * time.Millisecond, true}, {600 * time.Millisecond, false}, {1040 * time.Millisecond, false}, {1060 * time.Millisecond, true}, {1540 * time.Millisecond, false}, {1560 * time.Millisecond, true}} {
		now := start.Add(step.after)
		allowed := limiter.Allows(2, now)
		g.Expect(allowed).To(gomega.Equal(step.allowed), step.after.String())
		if allowed {
			limiter.RecordAttempt(now)
		}
	}
	g.Expect(limiter.Allows(0, start.Add(time.Hour))).To(gomega.BeFalse())
	g.Expect(limiter.Idle(start.Add(time.Hour))).To(gomega.BeTrue())
}
