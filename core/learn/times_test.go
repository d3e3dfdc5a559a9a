package learn

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// prior returns the prior of the tests.
func prior() *Prior {
	return &Prior{
		Fixed: 50 * time.Millisecond, PerThousandOwn: 20 * time.Millisecond,
		PerThousandQueued: 20 * time.Millisecond, Utilisation: 50 * time.Millisecond,
		QueuedPerSlot: time.Second, MemoryPressure: 300 * time.Millisecond, LogStdDev: 0.5, Observations: 5,
	}
}

func TestEstimateOfPrior(t *testing.T) {
	g := gomega.NewWithT(t)
	e := NewTimes().Estimate("k", prior(), time.Now())
	g.Expect(e.Count()).To(gomega.BeZero())
	g.Expect(e.Time(Factors{})).To(gomega.BeNumerically("~", 50*time.Millisecond, time.Millisecond))
	g.Expect(e.Time(Factors{OwnTokens: 1000, QueuedTokens: 2000})).To(gomega.BeNumerically("~", 110*time.Millisecond, time.Millisecond))
	queueing, service := e.Components(Factors{OwnTokens: 1000, QueuedTokens: 2000, Utilisation: 1})
	g.Expect(queueing).To(gomega.BeNumerically("~", 40*time.Millisecond, time.Millisecond))
	g.Expect(service).To(gomega.BeNumerically("~", 120*time.Millisecond, time.Millisecond))
	g.Expect(e.Probability(1)).To(gomega.BeNumerically("~", 0.5, 0.05))
	g.Expect(e.Probability(math.Exp(0.5))).To(gomega.BeNumerically("~", 0.84, 0.05))
}

// The speed of a target is learned from 150 responses whatever the prior is, although every
// tenth response takes three times as long for another reason.
func TestSpeedsAreLearned(t *testing.T) {
	tests := []struct {
		name          string
		fixed, tokens time.Duration
	}{
		{"as expected", 50 * time.Millisecond, 20 * time.Millisecond},
		{"five times slower", 250 * time.Millisecond, 100 * time.Millisecond},
		{"five times faster", 10 * time.Millisecond, 4 * time.Millisecond},
		{"slow start, fast prefill", 200 * time.Millisecond, 5 * time.Millisecond},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := rand.New(rand.NewPCG(1, 2))
			l, now := NewTimes(), time.Now()
			truth := func(f Factors) time.Duration {
				return tc.fixed + time.Duration(f.OwnTokens+f.QueuedTokens)*tc.tokens/1000
			}
			for range 150 {
				f := Factors{OwnTokens: r.IntN(12000), QueuedTokens: r.IntN(8000)}
				took := time.Duration(float64(truth(f)) * math.Exp(0.2*r.NormFloat64()))
				if r.IntN(10) == 0 {
					took *= 3
				}
				l.Observe("k", prior(), f, took, now)
				now = now.Add(50 * time.Millisecond)
			}
			e := l.Estimate("k", prior(), now.Add(time.Second))
			g.Expect(e.Count()).To(gomega.BeNumerically(">", 100))
			for _, f := range []Factors{{OwnTokens: 1000}, {OwnTokens: 10000}, {OwnTokens: 3000, QueuedTokens: 6000}} {
				g.Expect(float64(e.Time(f)) / float64(truth(f))).To(gomega.BeNumerically("~", 1.1, 0.3))
			}
			g.Expect(e.Quantile(0.99)).To(gomega.BeNumerically(">", 2), "slow answers are in the distribution")
		})
	}
}

func TestChangedTimesAreLearned(t *testing.T) {
	g := gomega.NewWithT(t)
	l, now := NewTimes(), time.Now()
	observe := func(took time.Duration) {
		for range 500 {
			l.Observe("k", prior(), Factors{}, took, now)
			now = now.Add(40 * time.Millisecond)
		}
	}
	observe(50 * time.Millisecond)
	observe(150 * time.Millisecond)
	g.Expect(l.Estimate("k", prior(), now.Add(time.Second)).Time(Factors{})).To(gomega.BeNumerically(">", 100*time.Millisecond))
}

// For any observations, an estimate's times are positive and bounded, and its probabilities
// do not decrease and stay within 0 and 1.
func TestEstimatesAreSound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := NewTimes(), time.Now()
		for range rapid.IntRange(0, 60).Draw(t, "observations") {
			f := Factors{
				OwnTokens:      rapid.IntRange(0, 1<<24).Draw(t, "own"),
				QueuedTokens:   rapid.IntRange(0, 1<<26).Draw(t, "queued"),
				Utilisation:    rapid.Float64Range(0, 1).Draw(t, "utilisation"),
				QueuedPerSlot:  rapid.Float64Range(0, 50).Draw(t, "queued per slot"),
				MemoryPressure: rapid.Float64Range(0, 2).Draw(t, "memory pressure"),
			}
			took := time.Duration(rapid.Int64Range(-int64(time.Hour), int64(time.Hour)).Draw(t, "took"))
			// The clock may stand still or go back.
			now = now.Add(time.Duration(rapid.Int64Range(-int64(time.Minute), int64(time.Minute)).Draw(t, "pause")))
			l.Observe("k", prior(), f, took, now)
		}
		e := l.Estimate("k", prior(), now.Add(time.Second))
		for _, f := range []Factors{{}, {OwnTokens: 1 << 24}, {QueuedTokens: 12000, MemoryPressure: 1}} {
			if e.Time(f) <= 0 || e.Time(f) > 1000*time.Hour {
				t.Fatalf("%v for %+v", e.Time(f), f)
			}
		}
		last := 0.0
		for ratio := 0.0; ratio < 20; ratio += 0.1 {
			c := e.Probability(ratio)
			if c < last || c > 1 {
				t.Fatalf("probability decreases from %v to %v at ratio %v", last, c, ratio)
			}
			last = c
		}
	})
}

func TestTimesRejectsOutOfRangeObservations(t *testing.T) {
	g := gomega.NewWithT(t)
	l, now := NewTimes(), time.Now()
	for _, took := range []time.Duration{0, -time.Second, 2 * maxTime} {
		l.Observe("k", prior(), Factors{}, took, now)
	}
	g.Expect(l.Rejected()).To(gomega.Equal(3))
	g.Expect(l.Estimate("k", prior(), now).Count()).To(gomega.BeZero())
}

func TestWaitBudgetEndsWhenAnotherTargetIsMoreLikely(t *testing.T) {
	g := gomega.NewWithT(t)
	l, now := NewTimes(), time.Now()
	// One response in twenty takes five times as long.
	for i := range 400 {
		took := 30 * time.Millisecond
		if i%20 == 0 {
			took = 150 * time.Millisecond
		}
		l.Observe("k", prior(), Factors{}, took, now)
		now = now.Add(time.Millisecond)
	}
	e := l.Estimate("k", prior(), now.Add(time.Second))
	expected := e.Time(Factors{})
	budget := e.WaitBudget(140*time.Millisecond, expected, expected, 0.1)
	g.Expect(budget).To(gomega.BeNumerically(">", 25*time.Millisecond))
	g.Expect(budget).To(gomega.BeNumerically("<", 110*time.Millisecond))
	g.Expect(e.WaitBudget(35*time.Millisecond, expected, expected, 0.1)).To(gomega.Equal(35*time.Millisecond), "too little time remains for another target")
	g.Expect(e.WaitBudget(time.Second, expected, 3*time.Second, 0.1)).To(gomega.Equal(time.Second),
		"the other target is not more likely")
}
