package learn

import (
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
)

func TestLinkSlowdownIsLearnedAndDecays(t *testing.T) {
	g := gomega.NewWithT(t)
	var l Links
	now := time.Now()
	g.Expect(l.State("store", now).Slowdown).To(gomega.Equal(1.0))
	// All copies from the store take four times as long as configured.
	for i := range 40 {
		to := []string{"w1", "w2", "w3", "w4"}[i%4]
		expected := l.State("store", now).Slowdown * l.State(to, now).Slowdown
		l.Sample("store", to, 4/expected, 1, now)
		now = now.Add(30 * time.Millisecond)
	}
	g.Expect(l.State("store", now).Slowdown).To(gomega.BeNumerically(">", 2.5))
	g.Expect(l.State("w1", now).Slowdown).To(gomega.BeNumerically("<", 2))
	g.Expect(l.State("other", now).Slowdown).To(gomega.Equal(1.0))
	g.Expect(l.State("store", now.Add(10*time.Second)).Slowdown).To(gomega.BeNumerically("<", 1.25))
}

func TestCopiesWaitForEarlierCopies(t *testing.T) {
	g := gomega.NewWithT(t)
	var l Links
	now := time.Now()
	l.Begin("store", "w1", 100*time.Millisecond, now)
	l.Begin("store", "w2", 50*time.Millisecond, now)
	g.Expect(l.State("store", now).Wait).To(gomega.Equal(150 * time.Millisecond))
	g.Expect(l.State("w2", now).Wait).To(gomega.Equal(50 * time.Millisecond))
	g.Expect(l.State("store", now.Add(120*time.Millisecond)).Wait).To(gomega.Equal(30 * time.Millisecond))
	g.Expect(l.State("store", now.Add(time.Second)).Wait).To(gomega.BeZero())
	for range 1000 {
		l.Begin("store", "w1", time.Second, now)
	}
	g.Expect(l.State("store", now).Wait).To(gomega.Equal(maxBusy))
}

func TestLinkObservationsAreReportedOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	var local, remote Links
	now := time.Now()
	local.Begin("store", "w1", time.Second, now)
	local.Sample("store", "w1", 8, 1, now)
	raw, err := msgpack.Marshal(local.Collect(false))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	local.Begin("later", "w1", time.Second, now)
	local.Told()
	remote.Receive("local", raw)
	g.Expect(remote.State("store", now).Wait).To(gomega.BeNumerically("~", time.Second, 100*time.Millisecond))
	g.Expect(remote.State("store", now).Slowdown).To(
		gomega.BeNumerically("~", local.State("store", now).Slowdown, 0.01))
	report, ok := local.Collect(false).(*linkReport)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(report.Copies).To(gomega.HaveLen(1))
	local.Told()
	g.Expect(local.Collect(false)).To(gomega.BeNil())
}

// Invalid reports of a faulty peer and invalid observations are rejected or bounded.
func TestLinksRejectInvalidReports(t *testing.T) {
	tests := []struct {
		name     string
		report   linkReport
		rejected int
	}{
		{"copy of negative duration", linkReport{Copies: []linkCopy{{From: "store", To: "w", Micros: -5}}}, 1},
		{"copy of excessive duration", linkReport{Copies: []linkCopy{{From: "store", To: "w", Micros: math.MaxInt64}}}, 1},
		{"sample of NaN", linkReport{Samples: []linkSample{{Address: "store", LogSlowdown: float32(math.NaN()), Weight: 1}}}, 1},
		{"infinite sample", linkReport{Samples: []linkSample{{Address: "store", LogSlowdown: float32(math.Inf(1)), Weight: 1}}}, 1},
		{"excessive weight", linkReport{Samples: []linkSample{{Address: "store", LogSlowdown: 1, Weight: 1e9}}}, 1},
		{"excessive slowdown", linkReport{Samples: []linkSample{{Address: "store", LogSlowdown: 1e9, Weight: 1}}}, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var l Links
			raw, err := msgpack.Marshal(&tc.report)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			l.Receive("faulty", raw)
			st := l.State("store", time.Now())
			g.Expect(st.Slowdown).To(gomega.And(gomega.BeNumerically(">=", 1),
				gomega.BeNumerically("<=", maxLinkSlowdown)))
			g.Expect(st.Wait).To(gomega.BeNumerically("<=", maxBusy))
			g.Expect(l.Rejected()).To(gomega.Equal(tc.rejected))
		})
	}
	g := gomega.NewWithT(t)
	var l Links
	for _, ratio := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		l.Sample("store", "w", ratio, 1, time.Now())
	}
	l.Receive("faulty", []byte("no msgpack"))
	g.Expect(l.State("store", time.Now())).To(gomega.Equal(LinkState{Slowdown: 1}))
}

func TestMeanDecays(t *testing.T) {
	g := gomega.NewWithT(t)
	var m Mean
	now := time.Now()
	g.Expect(m.Value(7, 1, now, time.Second)).To(gomega.Equal(7.0))
	g.Expect(m.Add(math.NaN(), 1, now, time.Second)).To(gomega.BeFalse())
	g.Expect(m.Add(1, -1, now, time.Second)).To(gomega.BeFalse())
	for range 3 {
		g.Expect(m.Add(11, 1, now, time.Second)).To(gomega.BeTrue())
	}
	g.Expect(m.Value(7, 1, now, time.Second)).To(gomega.BeNumerically("~", 10, 1e-9))
	g.Expect(m.Value(7, 1, now.Add(time.Second), time.Second)).To(gomega.BeNumerically("~", (7+11*1.5)/2.5, 1e-9))
	// A clock that goes back does not increase the weight of samples.
	g.Expect(m.Value(7, 1, now.Add(-time.Hour), time.Second)).To(gomega.BeNumerically("~", 10, 1e-9))
}
