package learn

import (
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

func TestRetentionPriorFallsWithDepth(t *testing.T) {
	g := gomega.NewWithT(t)
	var r Retention
	now := time.Now()
	g.Expect(r.Probability("s", 0.1, now)).To(gomega.BeNumerically(">", 0.99))
	g.Expect(r.Probability("s", priorDepth, now)).To(gomega.BeNumerically("~", 0.5, 0.01))
	g.Expect(r.Probability("s", 2, now)).To(gomega.BeZero())
	g.Expect(r.Probability("s", math.NaN(), now)).To(gomega.BeZero())
}

func TestRetentionIsLearnedByDepth(t *testing.T) {
	g := gomega.NewWithT(t)
	var local, remote Retention
	now := time.Now()
	// Workers of this service evict segments at a depth of about 0.55.
	for range 40 {
		local.Observe("s", 0.45, true, now)
		local.Observe("s", 0.65, false, now)
	}
	g.Expect(local.Probability("s", 0.45, now)).To(gomega.BeNumerically(">", 0.95))
	g.Expect(local.Probability("s", 0.65, now)).To(gomega.BeNumerically("<", 0.2))
	g.Expect(local.Probability("another", 0.65, now)).To(gomega.BeNumerically(">", 0.9))
	raw, err := msgpack.Marshal(local.Collect(false))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	local.Told()
	g.Expect(local.Collect(false)).To(gomega.BeNil())
	remote.Receive("local", raw)
	g.Expect(remote.Probability("s", 0.65, time.Now())).To(gomega.BeNumerically("<", 0.2))
}

func TestRetentionRejectsInvalidObservations(t *testing.T) {
	g := gomega.NewWithT(t)
	var r Retention
	now := time.Now()
	for _, depth := range []float64{-1, math.NaN(), math.Inf(1), 1e12} {
		r.Observe("s", depth, false, now)
	}
	raw, err := msgpack.Marshal([]depthSample{{Service: "s", Depth: -3}, {Service: "s", Depth: float32(math.Inf(1))}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	r.Receive("faulty", raw)
	r.Receive("faulty", []byte("no msgpack"))
	g.Expect(r.Rejected()).To(gomega.Equal(6))
	g.Expect(r.Collect(false)).To(gomega.BeNil())
	g.Expect(r.Probability("s", 0.1, now)).To(gomega.BeNumerically(">", 0.99))
}

// For any observations, the probability is between 0 and 1.
func TestRetentionProbabilityIsInRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Retention
		now := time.Now()
		for range rapid.IntRange(0, 100).Draw(t, "observations") {
			r.Observe("s", rapid.Float64Range(-1, 3).Draw(t, "depth"), rapid.Bool().Draw(t, "cached"), now)
			now = now.Add(time.Duration(rapid.IntRange(-1000, 5000).Draw(t, "pause")) * time.Millisecond)
		}
		p := r.Probability("s", rapid.Float64Range(-1, 3).Draw(t, "queried depth"), now)
		if !(p >= 0 && p <= 1) {
			t.Fatalf("probability %v", p)
		}
	})
}
