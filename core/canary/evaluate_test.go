package canary

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// answerModel is how one version answers one kind of request.
type answerModel struct {
	// bad is the probability that an answer fails.
	bad float64
	// slow is the factor by which answers take longer.
	slow float64
	// from is the index of the first answer to which bad and slow apply; earlier answers are good.
	from int
}

// sum generates the statistics of n answers.
func (p answerModel) sum(n int, rng *rand.Rand) Sum {
	var s Sum
	for i := range n {
		s.Answers++
		slow := 1.0
		if i >= p.from {
			if rng.Float64() < p.bad {
				s.Bad++
				continue
			}
			slow = max(slow, p.slow)
		}
		log := math.Log(slow) + 0.5*rng.NormFloat64()
		s.Times, s.Log, s.Square = s.Times+1, s.Log+log, s.Square+log*log
	}
	return s
}

// A version that is bad in one of these ways is detected within 50 bad answers, and one as good as
// the old one is not mistaken for bad, over many seeds.
func TestBadVersionsAreDetected(t *testing.T) {
	tests := []struct {
		name     string
		old, new answerModel
		// answers is the number of answers of the new version after which it must be detected.
		answers int
		bad     bool
	}{
		{"good", answerModel{bad: 0.004}, answerModel{bad: 0.004}, 800, false},
		{"good, where one in seven fails", answerModel{bad: 0.14}, answerModel{bad: 0.14}, 800, false},
		{"a third fails", answerModel{bad: 0.004}, answerModel{bad: 0.33}, 60, true},
		{"a third fails, where one in seven does", answerModel{bad: 0.14}, answerModel{bad: 0.47}, 100, true},
		{"all fail", answerModel{}, answerModel{bad: 1}, 20, true},
		{"a third fails later", answerModel{bad: 0.004}, answerModel{bad: 0.33, from: 100}, 190, true},
		{"four times slower", answerModel{}, answerModel{slow: 4}, 40, true},
		{"three times slower later", answerModel{}, answerModel{slow: 3, from: 40}, 200, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			for seed := range uint64(200) {
				rng := rand.New(rand.NewPCG(seed, 7))
				e := Evidence{"route": {New: tc.new.sum(tc.answers, rng), Old: tc.old.sum(10*tc.answers, rng)}}
				if tc.bad {
					g.Expect(e.FailureReason()).NotTo(gomega.BeEmpty(), "seed %d", seed)
				} else {
					g.Expect(e.FailureReason()).To(gomega.BeEmpty(), "seed %d", seed)
				}
			}
		})
	}
}

// A version that fails on one kind of request only is detected by that kind.
func TestAVersionBadOnOneRouteIsDetected(t *testing.T) {
	g := gomega.NewWithT(t)
	e := Evidence{
		"a": {New: Sum{Answers: 500}, Old: Sum{Answers: 5000, Bad: 10}},
		"b": {New: Sum{Answers: 12, Bad: 9}, Old: Sum{Answers: 120, Bad: 1}},
	}
	g.Expect(e.FailureReason()).To(gomega.ContainSubstring("9 of 12 answers of b failed"))
}

func TestNextPhaseOfARollout(t *testing.T) {
	good := Evidence{"r": {New: Sum{Answers: 40}, Old: Sum{Answers: 400}}}
	bad := Evidence{"r": {New: Sum{Answers: 40, Bad: 20}, Old: Sum{Answers: 400}}}
	few := Evidence{"r": {New: Sum{Answers: 2}, Old: Sum{Answers: 400}}}
	tests := []struct {
		name     string
		phase    Phase
		elapsed  time.Duration
		evidence Evidence
		idle     bool
		want     Phase
	}{
		{"just started", Trying, time.Second, good, true, Trying},
		{"good for most of its time", Trying, 9 * time.Second, good, false, Moving},
		{"bad at once", Trying, time.Second, bad, false, RolledBack},
		{"bad while moving", Moving, 10 * time.Second, bad, false, RolledBack},
		{"bad when the old targets are idle", Moving, 10 * time.Second, bad, true, RolledBack},
		{"too few answers yet", Trying, 9 * time.Second, few, false, Trying},
		{"too few answers at the end", Trying, 11500 * time.Millisecond, few, false, RolledBack},
		{"old targets have work", Moving, 10 * time.Second, good, false, Moving},
		{"old targets have none", Moving, 10 * time.Second, good, true, Completed},
		{"old targets still have work at the end", Moving, 11500 * time.Millisecond, good, false, Completed},
		{"completed stays so", Completed, 20 * time.Second, bad, true, Completed},
		{"rolled back stays so", RolledBack, 20 * time.Second, good, true, RolledBack},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := Rollout{Phase: tc.phase, Elapsed: tc.elapsed, Duration: 12 * time.Second, Evidence: tc.evidence, OldIdle: tc.idle}
			got, why := c.Next()
			gomega.NewWithT(t).Expect(got).To(gomega.Equal(tc.want), why)
		})
	}
}
