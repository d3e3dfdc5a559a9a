package clock_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/clock"
)

func TestSuspendAdvancesTheClock(t *testing.T) {
	g := gomega.NewWithT(t)
	before, monotonic := clock.Now(), time.Now()
	clock.Suspend(time.Minute)
	g.Expect(clock.Since(before)).To(gomega.BeNumerically("~", time.Minute+time.Since(monotonic), time.Second))
	g.Expect(time.Since(monotonic)).To(gomega.BeNumerically("<", 30*time.Second))
}

func TestTimesAreOrdered(t *testing.T) {
	g := gomega.NewWithT(t)
	now := clock.Now()
	later := now.Add(time.Second)
	g.Expect(now.IsZero()).To(gomega.BeFalse())
	g.Expect(clock.Time{}.IsZero()).To(gomega.BeTrue())
	g.Expect(clock.Time{}.Before(now)).To(gomega.BeTrue())
	g.Expect(later.After(now)).To(gomega.BeTrue())
	g.Expect(later.Sub(now)).To(gomega.Equal(time.Second))
	g.Expect(clock.Until(later)).To(gomega.BeNumerically("~", time.Second, 100*time.Millisecond))
	g.Expect(clock.Now().Before(now)).To(gomega.BeFalse())
}

// One call takes 206 ns, since it is a system call.
func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		clock.Now()
	}
}
