package learn

import (
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
)

func TestATargetThatFailsOrIsSlowIsKnownAndTriedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	var l Targets
	now := time.Now()
	g.Expect(l.State("a", "s", now)).To(gomega.Equal(TargetState{Pace: 1, Faults: serviceFaults}))
	for range 20 {
		l.Answered("a", "s", false, now)
		l.Timed("a", "s", 6, now)
		for range 5 {
			l.Answered("b", "s", true, now)
			l.Timed("b", "s", 1, now)
		}
	}
	a, b := l.State("a", "s", now), l.State("b", "s", now)
	g.Expect(a.Faults).To(gomega.BeNumerically(">", 0.85))
	g.Expect(a.Pace).To(gomega.BeNumerically(">", 4))
	g.Expect(b.Faults).To(gomega.BeNumerically("<", 0.05))
	g.Expect(b.Pace).To(gomega.BeNumerically("~", 1, 0.01))
	later := l.State("a", "s", now.Add(15*time.Second))
	g.Expect(later.Faults).To(gomega.BeNumerically("<", 0.2))
	g.Expect(later.Pace).To(gomega.BeNumerically("<", 1.2))
}

// Where all targets of a service fail as often, none of them is the worse for it.
func TestFailuresOfAServiceAreNotATargets(t *testing.T) {
	g := gomega.NewWithT(t)
	var l Targets
	now := time.Now()
	for i := range 200 {
		l.Answered([]string{"a", "b"}[i%2], "s", i%10 != 0 && i%10 != 1, now)
	}
	g.Expect(l.State("new", "s", now).Faults).To(gomega.BeNumerically("~", 0.2, 0.05))
	g.Expect(l.State("a", "s", now).Faults).To(gomega.BeNumerically("~", l.State("b", "s", now).Faults, 0.1))
}

func TestOneLateAnswerIsNoPace(t *testing.T) {
	g := gomega.NewWithT(t)
	var l Targets
	now := time.Now()
	for range 4 {
		l.Timed("a", "s", 1, now)
	}
	l.Timed("a", "s", 40, now)
	g.Expect(l.State("a", "s", now).Pace).To(gomega.BeNumerically("<", 1.6))
}

func TestPeersHearOfTargetsOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	var mine, other Targets
	now := time.Now()
	for range 10 {
		mine.Answered("a", "s", false, now)
		mine.Timed("a", "s", 4, now)
	}
	raw, err := msgpack.Marshal(mine.Collect(false))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	mine.Answered("b", "s", true, now)
	other.Receive("mine", raw)
	got, want := other.State("a", "s", time.Now()), mine.State("a", "s", time.Now())
	g.Expect(got.Pace).To(gomega.BeNumerically("~", want.Pace, 0.2))
	g.Expect(got.Faults).To(gomega.BeNumerically("~", want.Faults, 0.1))
	mine.Told()
	g.Expect(mine.Collect(false)).To(gomega.HaveKey("b"))
	mine.Told()
	g.Expect(mine.Collect(false)).To(gomega.BeNil())
}

func TestNonsenseDoesNotPoisonTargets(t *testing.T) {
	tests := []struct {
		name string
		news targetNews
	}{
		{"more faults than answers", targetNews{Service: "s", Answers: 1, Faults: 5}},
		{"answers below none", targetNews{Service: "s", Answers: -4, Faults: -4}},
		{"answers without end", targetNews{Service: "s", Answers: math.MaxInt32, Faults: math.MaxInt32}},
		{"no number", targetNews{Service: "s", Times: 1, Slow: float32(math.NaN())}},
		{"slower than any", targetNews{Service: "s", Times: 1, Slow: 1e9}},
		{"a time without a count", targetNews{Service: "s", Slow: 2}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var l Targets
			raw, err := msgpack.Marshal(map[string]targetNews{"a": tc.news})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			l.Receive("mad", raw)
			g.Expect(l.State("a", "s", time.Now())).To(gomega.Equal(TargetState{Pace: 1, Faults: serviceFaults}))
			g.Expect(l.Rejected()).To(gomega.Equal(1))
		})
	}
	var l Targets
	l.Receive("mad", []byte("no msgpack"))
	for _, ratio := range []float64{0, -3, math.NaN(), math.Inf(1)} {
		l.Timed("a", "s", ratio, time.Now())
	}
	gomega.NewWithT(t).Expect(l.State("a", "s", time.Now()).Pace).To(gomega.Equal(1.0))
}

func TestRateIsOfLately(t *testing.T) {
	g := gomega.NewWithT(t)
	var r Rate
	now := time.Now()
	g.Expect(r.PerSecond(now)).To(gomega.BeZero())
	for range 1000 {
		r.Add(2, now)
		now = now.Add(10 * time.Millisecond)
	}
	r.Add(math.Inf(1), now)
	r.Add(-5, now)
	g.Expect(r.PerSecond(now)).To(gomega.BeNumerically("~", 200, 20))
	g.Expect(r.PerSecond(now.Add(20 * time.Second))).To(gomega.BeNumerically("<", 1))
}
