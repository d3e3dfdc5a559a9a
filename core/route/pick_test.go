package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"embertally.dev/core/learn"
)

// costs returns the cost model of the tests.
func costs() *CostModel {
	return &CostModel{
		UtilityPerToken: 0.0004, PastObjectiveShare: 0.25, RecomputePerToken: 0.0008,
		CopyPerToken: 0.000012, OldWeightsPenalty: 0.2, NewConnectionCost: 0.03,
		CrossDomainPerMiB: 4, DelayPenalty: 0.1,
	}
}

// estimate returns the estimate of a prior without observations.
func estimate(p learn.Prior) *learn.Estimate { return learn.NewTimes().Estimate("k", &p, time.Now()) }

// engines returns the estimate for workers that prefill 50 tokens per millisecond.
func engines() *learn.Estimate {
	return estimate(learn.Prior{
		Fixed: 50 * time.Millisecond, PerThousandOwn: 20 * time.Millisecond,
		PerThousandQueued: 20 * time.Millisecond, Utilisation: 50 * time.Millisecond,
		QueuedPerSlot: time.Second, MemoryPressure: 300 * time.Millisecond, LogStdDev: 0.5, Observations: 5,
	})
}

// calls returns the estimate for plain targets that take 40 ms.
func calls() *learn.Estimate {
	return estimate(learn.Prior{
		Fixed: 40 * time.Millisecond, Utilisation: 10 * time.Millisecond,
		QueuedPerSlot: 40 * time.Millisecond, LogStdDev: 0.5, Observations: 5,
	})
}

func TestPick(t *testing.T) {
	with := func(change func(*Candidate)) Candidate {
		c := Candidate{Slots: 16, MemoryTokens: 100000, Slowdown: 1}
		if change != nil {
			change(&c)
		}
		return c
	}
	long := PickRequest{
		Tokens: 17000, Bytes: 17000, Objective: 800 * time.Millisecond, Remaining: 10 * time.Second,
		UtilityRate: 20,
	}
	short := PickRequest{
		Tokens: 400, Bytes: 400, Objective: 600 * time.Millisecond, Remaining: 5 * time.Second,
		UtilityRate: 20,
	}
	call := PickRequest{Bytes: 600, Objective: 300 * time.Millisecond, Remaining: time.Second, UtilityRate: 10}
	tests := []struct {
		name    string
		request PickRequest
		list    []Candidate
		want    int
	}{
		{"no candidates", long, nil, -1},
		{"shortest queue", long, []Candidate{with(func(c *Candidate) { c.QueuedTokens = 20000 }), with(nil)}, 1},
		{"cached segments", long, []Candidate{with(nil), with(func(c *Candidate) { c.CachedTokens = 12000; c.QueuedTokens = 1000 })}, 1},
		{"copy rather than recompute", long, []Candidate{with(func(c *Candidate) { c.RecomputedTokens = 12000 }), with(func(c *Candidate) { c.CopiedTokens = 12000; c.CopyTime = 90 * time.Millisecond })}, 1},
		{"cached rather than copied", long, []Candidate{with(func(c *Candidate) { c.CopiedTokens = 12000; c.CopyTime = 90 * time.Millisecond }), with(func(c *Candidate) { c.CachedTokens = 12000 })}, 1},
		{"slow copy", long, []Candidate{with(func(c *Candidate) { c.CopiedTokens = 12000; c.CopyTime = time.Second }), with(func(c *Candidate) { c.CopiedTokens = 12000; c.QueuedTokens = 10000 })}, 1},
		{"new weights", short, []Candidate{with(func(c *Candidate) { c.OldWeights = true }), with(nil)}, 1},
		{"old weights rather than a long queue", long, []Candidate{with(func(c *Candidate) { c.OldWeights = true }), with(func(c *Candidate) { c.QueuedTokens = 60000 })}, 0},
		{"memory occupied by running requests", long, []Candidate{with(func(c *Candidate) { c.OccupiedTokens = 95000; c.Running = 6 }), with(func(c *Candidate) { c.QueuedTokens = 10000 })}, 1},
		{"failing target", call, []Candidate{with(func(c *Candidate) { c.FailureShare = 0.5 }), with(func(c *Candidate) { c.Running = 4 })}, 1},
		{"slow target", call, []Candidate{with(func(c *Candidate) { c.Slowdown = 8 }), with(func(c *Candidate) { c.Running = 8 })}, 1},
		{"slightly slower target with cached segments", short, []Candidate{with(func(c *Candidate) { c.Slowdown = 1.6; c.Running = 8; c.CachedTokens = 300 }), with(func(c *Candidate) { c.RecomputedTokens = 300 })}, 0},
		{"much slower target with cached segments", short, []Candidate{with(func(c *Candidate) { c.Slowdown = 8; c.CachedTokens = 300 }), with(func(c *Candidate) { c.RecomputedTokens = 300 })}, 1},
		{"full target", call, []Candidate{with(func(c *Candidate) { c.Running = 40 }), with(func(c *Candidate) { c.Running = 12 })}, 1},
		{"same failure domain", call, []Candidate{with(func(c *Candidate) { c.CrossDomain = true }), with(nil)}, 1},
		{"open connection", call, []Candidate{with(func(c *Candidate) { c.NoConnection = true }), with(func(c *Candidate) { c.Running = 2 })}, 1},
		{"lapsed target last", call, []Candidate{with(func(c *Candidate) { c.Lapsed = true }), with(func(c *Candidate) { c.Running = 20 })}, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			e := engines()
			if tc.request.Tokens == 0 {
				e = calls()
			}
			for _, random := range []float64{0, 0.5, 0.999} {
				chosen, _ := Pick(&tc.request, tc.list, e, costs(), random)
				gomega.NewWithT(t).Expect(chosen).To(gomega.Equal(tc.want))
			}
		})
	}
}

// A request that is going to miss its objective anyway costs other callers more than its
// own caller gains, so that its CallerUtility is not positive. The operator's serving
// costs never make it negative.
func TestCallerUtilityExcludesServingCosts(t *testing.T) {
	long := PickRequest{
		Tokens: 17000, Objective: 800 * time.Millisecond, Remaining: 10 * time.Second,
		UtilityRate: 60,
	}
	tests := []struct {
		name      string
		candidate Candidate
		positive  bool
	}{
		{"idle", Candidate{Slots: 16, MemoryTokens: 100000}, true},
		{"everything is recomputed", Candidate{Slots: 16, MemoryTokens: 100000, RecomputedTokens: 17000}, true},
		{"replaced weights, cross-domain, not connected", Candidate{Slots: 16, MemoryTokens: 100000, OldWeights: true, CrossDomain: true, NoConnection: true}, true},
		{"queue of one second", Candidate{Slots: 16, MemoryTokens: 100000, QueuedTokens: 50000}, false},
		{"no memory", Candidate{Slots: 16, MemoryTokens: 100000, OccupiedTokens: 99000, Running: 6}, false},
		{"always fails", Candidate{Slots: 16, MemoryTokens: 100000, FailureShare: 1}, false},
	}
	for _, tc := range tests {
		ev := Evaluate(&long, &tc.candidate, engines(), costs())
		gomega.NewWithT(t).Expect(ev.CallerUtility > 0).To(gomega.Equal(tc.positive), "%s: %+v", tc.name, ev)
	}
}

// For any input, utilities are finite, probabilities are between 0 and 1, and a target that
// is slower, more loaded or fails more often has no higher NetUtility.
func TestEvaluateIsSound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		req := PickRequest{
			Tokens:      rapid.IntRange(0, 40000).Draw(t, "tokens"),
			Objective:   time.Duration(rapid.IntRange(0, 2000).Draw(t, "objective")) * time.Millisecond,
			Elapsed:     time.Duration(rapid.IntRange(0, 3000).Draw(t, "elapsed")) * time.Millisecond,
			Remaining:   time.Duration(rapid.IntRange(-100, 10000).Draw(t, "remaining")) * time.Millisecond,
			UtilityRate: rapid.Float64Range(0, 100).Draw(t, "rate"),
		}
		c := Candidate{
			Running: rapid.IntRange(0, 60).Draw(t, "running"),
			Slots:   rapid.IntRange(0, 20).Draw(t, "slots"), QueuedTokens: rapid.IntRange(0, 90000).Draw(t, "queued"),
			OccupiedTokens:   rapid.IntRange(0, 150000).Draw(t, "occupied"),
			MemoryTokens:     rapid.IntRange(0, 100000).Draw(t, "memory"),
			CachedTokens:     rapid.IntRange(0, 40000).Draw(t, "cached"),
			RecomputedTokens: rapid.IntRange(0, 40000).Draw(t, "recomputed"),
			CopyTime:         time.Duration(rapid.IntRange(0, 2000).Draw(t, "copy")) * time.Millisecond,
			FailureShare:     rapid.Float64Range(0, 1).Draw(t, "failure share"),
			Slowdown:         rapid.Float64Range(0, 8).Draw(t, "slowdown"),
		}
		e := engines()
		ev := Evaluate(&req, &c, e, costs())
		if !(ev.NetUtility <= 1e9 && ev.NetUtility >= -1e9 && ev.CallerUtility >= ev.NetUtility && ev.Expected >= 0) {
			t.Fatalf("%+v", ev)
		}
		if ev.WithinObjective < 0 || ev.WithinObjective > ev.BeforeDeadline || ev.BeforeDeadline > 1 {
			t.Fatalf("probabilities %+v", ev)
		}
		for _, worse := range []func(*Candidate){
			func(c *Candidate) { c.QueuedTokens += 5000 },
			func(c *Candidate) { c.FailureShare = 1 },
			func(c *Candidate) { c.RecomputedTokens += 1000 },
			func(c *Candidate) { c.CrossDomain, c.NoConnection, c.OldWeights = true, true, true },
		} {
			d := c
			worse(&d)
			if worseEv := Evaluate(&req, &d, e, costs()); worseEv.NetUtility > ev.NetUtility+1e-9 {
				t.Fatalf("%+v has a higher NetUtility than %+v: %+v, %+v", d, c, worseEv, ev)
			}
		}
	})
}

func TestPickSelectsAtRandomAmongEquals(t *testing.T) {
	g := gomega.NewWithT(t)
	list := make([]Candidate, 4)
	for i := range list {
		list[i] = Candidate{Slots: 4}
	}
	for i := range list {
		chosen, _ := Pick(&PickRequest{Objective: time.Second, Remaining: time.Second}, list, calls(),
			costs(), float64(i)/4+0.01)
		g.Expect(chosen).To(gomega.Equal(i))
	}
}

func BenchmarkPick(b *testing.B) {
	for _, workers := range []int{20, 110} {
		b.Run(fmt.Sprint(workers, " workers"), func(b *testing.B) {
			list := make([]Candidate, workers)
			for i := range list {
				list[i] = Candidate{
					Slots: 64, MemoryTokens: 70000, Running: i % 7, QueuedTokens: i * 100,
					OccupiedTokens: i * 400, CachedTokens: i % 3 * 1000,
				}
			}
			req, e := PickRequest{
				Tokens: 12000, Objective: time.Second, Remaining: 10 * time.Second, UtilityRate: 14,
			}, engines()
			b.ReportAllocs()
			for b.Loop() {
				Pick(&req, list, e, costs(), 0.3)
			}
		})
	}
}
