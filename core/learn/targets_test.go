package learn

import (
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
)

func TestFailingOrSlowTargetIsLearnedAndDecays(t *testing.T) {
	g := gomega.NewWithT(t)
	var l Targets
	now := time.Now()
	g.Expect(l.State("a", "s", now)).To(gomega.Equal(TargetState{Slowdown: 1, FailureShare: priorFailures}))
	for range 20 {
		l.ObserveResponse("a", "s", false, now)
		l.ObserveTime("a", "s", 6, now)
		for range 5 {
			l.ObserveResponse("b", "s", true, now)
			l.ObserveTime("b", "s", 1, now)
		}
	}
	a, b := l.State("a", "s", now), l.State("b", "s", now)
	g.Expect(a.FailureShare).To(gomega.BeNumerically(">", 0.85))
	g.Expect(a.Slowdown).To(gomega.BeNumerically(">", 4))
	g.Expect(b.FailureShare).To(gomega.BeNumerically("<", 0.05))
	g.Expect(b.Slowdown).To(gomega.BeNumerically("~", 1, 0.01))
	later := l.State("a", "s", now.Add(15*time.Second))
	g.Expect(later.FailureShare).To(gomega.BeNumerically("<", 0.2))
	g.Expect(later.Slowdown).To(gomega.BeNumerically("<", 1.2))
}

// If all targets of a service fail equally often, they have similar shares of failures,
// and so has a new target.
func TestServiceFailuresAreThePriorOfTargets(t *testing.T) {
	g := gomega.NewWithT(t)
	var l Targets
	now := time.Now()
	for i := range 200 {
		l.ObserveResponse([]string{"a", "b"}[i%2], "s", i%10 != 0 && i%10 != 1, now)
	}
	g.Expect(l.State("new", "s", now).FailureShare).To(gomega.BeNumerically("~", 0.2, 0.05))
	g.Expect(l.State("a", "s", now).FailureShare).To(
		gomega.BeNumerically("~", l.State("b", "s", now).FailureShare, 0.1))
}

func TestOneSlowResponseHardlyChangesSlowdown(t *testing.T) {
	g := gomega.NewWithT(t)
	var l Targets
	now := time.Now()
	for range 4 {
		l.ObserveTime("a", "s", 1, now)
	}
	l.ObserveTime("a", "s", 40, now)
	g.Expect(l.State("a", "s", now).Slowdown).To(gomega.BeNumerically("<", 1.6))
}

func TestTargetObservationsAreReportedOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	var local, remote Targets
	now := time.Now()
	for range 10 {
		local.ObserveResponse("a", "s", false, now)
		local.ObserveTime("a", "s", 4, now)
	}
	raw, err := msgpack.Marshal(local.Collect(false))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	local.ObserveResponse("b", "s", true, now)
	remote.Receive("local", raw)
	got, want := remote.State("a", "s", time.Now()), local.State("a", "s", time.Now())
	g.Expect(got.Slowdown).To(gomega.BeNumerically("~", want.Slowdown, 0.2))
	g.Expect(got.FailureShare).To(gomega.BeNumerically("~", want.FailureShare, 0.1))
	local.Told()
	g.Expect(local.Collect(false)).To(gomega.HaveKey("b"))
	local.Told()
	g.Expect(local.Collect(false)).To(gomega.BeNil())
}

func TestTargetsRejectInvalidReports(t *testing.T) {
	tests := []struct {
		name   string
		report targetReport
	}{
		{"more failures than responses", targetReport{Service: "s", Responses: 1, Failures: 5}},
		{"negative responses", targetReport{Service: "s", Responses: -4, Failures: -4}},
		{"excessive responses", targetReport{Service: "s", Responses: math.MaxInt32, Failures: math.MaxInt32}},
		{"sum of NaN", targetReport{Service: "s", Times: 1, LogSlowdown: float32(math.NaN())}},
		{"excessive slowdown", targetReport{Service: "s", Times: 1, LogSlowdown: 1e9}},
		{"slowdown without times", targetReport{Service: "s", LogSlowdown: 2}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var l Targets
			raw, err := msgpack.Marshal(map[string]targetReport{"a": tc.report})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			l.Receive("faulty", raw)
			g.Expect(l.State("a", "s", time.Now())).To(gomega.Equal(TargetState{Slowdown: 1, FailureShare: priorFailures}))
			g.Expect(l.Rejected()).To(gomega.Equal(1))
		})
	}
	var l Targets
	l.Receive("faulty", []byte("no msgpack"))
	for _, ratio := range []float64{0, -3, math.NaN(), math.Inf(1)} {
		l.ObserveTime("a", "s", ratio, time.Now())
	}
	gomega.NewWithT(t).Expect(l.State("a", "s", time.Now()).Slowdown).To(gomega.Equal(1.0))
}

func TestRateFollowsRecentArrivals(t *testing.T) {
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
