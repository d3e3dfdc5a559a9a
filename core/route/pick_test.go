package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"embertally.dev/core/learn"
)

// prices returns the cost model of the tests.
func prices() *Prices {
	return &Prices{Token: 0.0004, Late: 0.25, Again: 0.0008, Copied: 0.000012, Old: 0.2, Connect: 0.03, Across: 4, Wait: 0.1}
}

// estimate returns the estimate of a prior without observations.
func estimate(p learn.Prior) *learn.Estimate { return learn.NewTimes().Estimate("k", &p, time.Now()) }

// engines returns the estimate for workers that prefill 50 tokens per millisecond.
func engines() *learn.Estimate {
	return estimate(learn.Prior{
		Fixed: 50 * time.Millisecond, Own: 20 * time.Millisecond, Before: 20 * time.Millisecond, Beside: 50 * time.Millisecond,
		Waiting: time.Second, Crowd: 300 * time.Millisecond, Spread: 0.5, Weight: 5,
	})
}

// calls returns the estimate for plain targets that take 40 ms.
func calls() *learn.Estimate {
	return estimate(learn.Prior{Fixed: 40 * time.Millisecond, Beside: 10 * time.Millisecond, Waiting: 40 * time.Millisecond, Spread: 0.5, Weight: 5})
}

func TestPick(t *testing.T) {
	with := func(change func(*Candidate)) Candidate {
		c := Candidate{Slots: 16, Memory: 100000, Pace: 1}
		if change != nil {
			change(&c)
		}
		return c
	}
	long := Asked{Tokens: 17000, Bytes: 17000, Aim: 800 * time.Millisecond, Left: 10 * time.Second, Rate: 20}
	short := Asked{Tokens: 400, Bytes: 400, Aim: 600 * time.Millisecond, Left: 5 * time.Second, Rate: 20}
	call := Asked{Bytes: 600, Aim: 300 * time.Millisecond, Left: time.Second, Rate: 10}
	tests := []struct {
		name    string
		request Asked
		list    []Candidate
		want    int
	}{
		{"no candidates", long, nil, -1},
		{"shortest queue", long, []Candidate{with(func(c *Candidate) { c.Unread = 20000 }), with(nil)}, 1},
		{"cached segments", long, []Candidate{with(nil), with(func(c *Candidate) { c.Kept = 12000; c.Unread = 1000 })}, 1},
		{"copy rather than recompute", long, []Candidate{with(func(c *Candidate) { c.Again = 12000 }), with(func(c *Candidate) { c.Copied = 12000; c.CopyTime = 90 * time.Millisecond })}, 1},
		{"cached rather than copied", long, []Candidate{with(func(c *Candidate) { c.Copied = 12000; c.CopyTime = 90 * time.Millisecond }), with(func(c *Candidate) { c.Kept = 12000 })}, 1},
		{"slow copy", long, []Candidate{with(func(c *Candidate) { c.Copied = 12000; c.CopyTime = time.Second }), with(func(c *Candidate) { c.Copied = 12000; c.Unread = 10000 })}, 1},
		{"new weights", short, []Candidate{with(func(c *Candidate) { c.Old = true }), with(nil)}, 1},
		{"old weights rather than a long queue", long, []Candidate{with(func(c *Candidate) { c.Old = true }), with(func(c *Candidate) { c.Unread = 60000 })}, 0},
		{"memory occupied by running requests", long, []Candidate{with(func(c *Candidate) { c.Held = 95000; c.Running = 6 }), with(func(c *Candidate) { c.Unread = 10000 })}, 1},
		{"failing target", call, []Candidate{with(func(c *Candidate) { c.Faults = 0.5 }), with(func(c *Candidate) { c.Running = 4 })}, 1},
		{"slow target", call, []Candidate{with(func(c *Candidate) { c.Pace = 8 }), with(func(c *Candidate) { c.Running = 8 })}, 1},
		{"slightly slower target with cached segments", short, []Candidate{with(func(c *Candidate) { c.Pace = 1.6; c.Running = 8; c.Kept = 300 }), with(func(c *Candidate) { c.Again = 300 })}, 0},
		{"much slower target with cached segments", short, []Candidate{with(func(c *Candidate) { c.Pace = 8; c.Kept = 300 }), with(func(c *Candidate) { c.Again = 300 })}, 1},
		{"full target", call, []Candidate{with(func(c *Candidate) { c.Running = 40 }), with(func(c *Candidate) { c.Running = 12 })}, 1},
		{"same failure domain", call, []Candidate{with(func(c *Candidate) { c.Far = true }), with(nil)}, 1},
		{"open connection", call, []Candidate{with(func(c *Candidate) { c.Cold = true }), with(func(c *Candidate) { c.Running = 2 })}, 1},
		{"lapsed target last", call, []Candidate{with(func(c *Candidate) { c.Doubtful = true }), with(func(c *Candidate) { c.Running = 20 })}, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			e := engines()
			if tc.request.Tokens == 0 {
				e = calls()
			}
			for _, random := range []float64{0, 0.5, 0.999} {
				chosen, _ := Pick(&tc.request, tc.list, e, prices(), random)
				gomega.NewWithT(t).Expect(chosen).To(gomega.Equal(tc.want))
			}
		})
	}
}

// A request that is going to miss its objective anyway costs other callers more than its
// own caller gains, so that its Gain is not positive. The operator's serving costs never
// make Gain negative.
func TestGainExcludesServingCosts(t *testing.T) {
	long := Asked{Tokens: 17000, Aim: 800 * time.Millisecond, Left: 10 * time.Second, Rate: 60}
	tests := []struct {
		name      string
		candidate Candidate
		positive  bool
	}{
		{"idle", Candidate{Slots: 16, Memory: 100000}, true},
		{"everything is recomputed", Candidate{Slots: 16, Memory: 100000, Again: 17000}, true},
		{"replaced weights, cross-domain, not connected", Candidate{Slots: 16, Memory: 100000, Old: true, Far: true, Cold: true}, true},
		{"queue of one second", Candidate{Slots: 16, Memory: 100000, Unread: 50000}, false},
		{"no memory", Candidate{Slots: 16, Memory: 100000, Held: 99000, Running: 6}, false},
		{"always fails", Candidate{Slots: 16, Memory: 100000, Faults: 1}, false},
	}
	for _, tc := range tests {
		j := Evaluate(&long, &tc.candidate, engines(), prices())
		gomega.NewWithT(t).Expect(j.Gain > 0).To(gomega.Equal(tc.positive), "%s: %+v", tc.name, j)
	}
}

// For any input, utilities are finite, probabilities are between 0 and 1, and a target that
// is slower, more loaded or fails more often has no higher Worth.
func TestEvaluateIsSound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Asked{
			Tokens: rapid.IntRange(0, 40000).Draw(t, "tokens"), Aim: time.Duration(rapid.IntRange(0, 2000).Draw(t, "aim")) * time.Millisecond,
			Spent: time.Duration(rapid.IntRange(0, 3000).Draw(t, "spent")) * time.Millisecond,
			Left:  time.Duration(rapid.IntRange(-100, 10000).Draw(t, "left")) * time.Millisecond, Rate: rapid.Float64Range(0, 100).Draw(t, "rate"),
		}
		c := Candidate{
			Running: rapid.IntRange(0, 60).Draw(t, "running"), Slots: rapid.IntRange(0, 20).Draw(t, "slots"), Unread: rapid.IntRange(0, 90000).Draw(t, "unread"),
			Held: rapid.IntRange(0, 150000).Draw(t, "held"), Memory: rapid.IntRange(0, 100000).Draw(t, "memory"), Kept: rapid.IntRange(0, 40000).Draw(t, "kept"),
			Again: rapid.IntRange(0, 40000).Draw(t, "again"), CopyTime: time.Duration(rapid.IntRange(0, 2000).Draw(t, "copy")) * time.Millisecond,
			Faults: rapid.Float64Range(0, 1).Draw(t, "faults"), Pace: rapid.Float64Range(0, 8).Draw(t, "pace"),
		}
		e := engines()
		j := Evaluate(&a, &c, e, prices())
		if !(j.Worth <= 1e9 && j.Worth >= -1e9 && j.Gain >= j.Worth && j.Expected >= 0) {
			t.Fatalf("%+v", j)
		}
		if j.InTime < 0 || j.InTime > j.Served || j.Served > 1 {
			t.Fatalf("probabilities %+v", j)
		}
		for _, worse := range []func(*Candidate){
			func(c *Candidate) { c.Unread += 5000 },
			func(c *Candidate) { c.Faults = 1 },
			func(c *Candidate) { c.Again += 1000 },
			func(c *Candidate) { c.Far, c.Cold, c.Old = true, true, true },
		} {
			d := c
			worse(&d)
			if k := Evaluate(&a, &d, e, prices()); k.Worth > j.Worth+1e-9 {
				t.Fatalf("%+v has a higher Worth than %+v: %+v, %+v", d, c, k, j)
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
		chosen, _ := Pick(&Asked{Aim: time.Second, Left: time.Second}, list, calls(), prices(), float64(i)/4+0.01)
		g.Expect(chosen).To(gomega.Equal(i))
	}
}

func BenchmarkPick(b *testing.B) {
	for _, workers := range []int{20, 110} {
		b.Run(fmt.Sprint(workers, " workers"), func(b *testing.B) {
			list := make([]Candidate, workers)
			for i := range list {
				list[i] = Candidate{Slots: 64, Memory: 70000, Running: i % 7, Unread: i * 100, Held: i * 400, Kept: i % 3 * 1000}
			}
			a, e := Asked{Tokens: 12000, Aim: time.Second, Left: 10 * time.Second, Rate: 14}, engines()
			b.ReportAllocs()
			for b.Loop() {
				Pick(&a, list, e, prices(), 0.3)
			}
		})
	}
}
