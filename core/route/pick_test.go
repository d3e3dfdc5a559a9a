package route

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestPick(t *testing.T) {
	worker := func(change func(*Candidate)) Candidate {
		c := Candidate{Slots: 16, Memory: 100000, Pace: 1}
		if change != nil {
			change(&c)
		}
		return c
	}
	long, short := Asked{Tokens: 17000}, Asked{Tokens: 400}
	call := Asked{Work: 50 * time.Millisecond}
	tests := []struct {
		name string
		ask  Asked
		list []Candidate
		want int
	}{
		{"none", long, nil, -1},
		{"shortest queue", long, []Candidate{worker(func(c *Candidate) { c.Unread = 20000 }), worker(nil)}, 1},
		{"holder of the parts", long, []Candidate{worker(nil), worker(func(c *Candidate) { c.Kept = 12000; c.Unread = 1000 })}, 1},
		{"copy rather than read again", long, []Candidate{worker(func(c *Candidate) { c.Again = 12000 }), worker(func(c *Candidate) { c.Copied = 12000; c.CopyTime = 90 * time.Millisecond })}, 1},
		{"new weights", short, []Candidate{worker(func(c *Candidate) { c.Old = true }), worker(nil)}, 1},
		{"old weights before a long queue", long, []Candidate{worker(func(c *Candidate) { c.Old = true }), worker(func(c *Candidate) { c.Unread = 40000 })}, 0},
		{"memory spoken for", long, []Candidate{worker(func(c *Candidate) { c.Held = 95000 }), worker(func(c *Candidate) { c.Unread = 10000 })}, 1},
		{"long prompt keeps away from workers for short ones", long, []Candidate{worker(func(c *Candidate) { c.Short = true }), worker(func(c *Candidate) { c.Unread = 17000 })}, 1},
		{"short prompt is read between long ones", short, []Candidate{worker(func(c *Candidate) { c.Again = 350 }), worker(func(c *Candidate) { c.Unread = 100000 })}, 1},
		{"bad answers", call, []Candidate{worker(func(c *Candidate) { c.Faults = 0.5 }), worker(func(c *Candidate) { c.Running = 4 })}, 1},
		{"slow target", call, []Candidate{worker(func(c *Candidate) { c.Pace = 8 }), worker(func(c *Candidate) { c.Running = 8 })}, 1},
		{"one late answer does not move a session", short, []Candidate{worker(func(c *Candidate) { c.Pace = 2.4; c.Running = 12; c.Kept = 300 }), worker(func(c *Candidate) { c.Again = 300 })}, 0},
		{"slow worker", short, []Candidate{worker(func(c *Candidate) { c.Pace = 7; c.Kept = 300 }), worker(func(c *Candidate) { c.Again = 300 })}, 1},
		{"full target", call, []Candidate{worker(func(c *Candidate) { c.Running = 16 }), worker(func(c *Candidate) { c.Running = 12 })}, 1},
		{"near target", call, []Candidate{worker(func(c *Candidate) { c.Far = true }), worker(nil)}, 1},
		{"doubtful target last", call, []Candidate{worker(func(c *Candidate) { c.Doubtful = true }), worker(func(c *Candidate) { c.Running = 20 })}, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			for _, chance := range []float64{0, 0.5, 0.999} {
				gomega.NewWithT(t).Expect(Pick(tc.ask, tc.list, chance)).To(gomega.Equal(tc.want))
			}
		})
	}
}

// A worker that answers as fast as an idle one can is not taken for slow.
func TestExpectedTimeHoldsTheFixedTimeOfAWorker(t *testing.T) {
	idle := Candidate{Slots: 16, Memory: 100000, Pace: 1}
	gomega.NewWithT(t).Expect(Cost(Asked{Tokens: 100}, idle)).To(gomega.BeNumerically(">=", firstTime))
}

func TestEqualsAreTakenByChance(t *testing.T) {
	g := gomega.NewWithT(t)
	list := make([]Candidate, 4)
	for i := range list {
		list[i] = Candidate{Slots: 4}
	}
	for i := range list {
		g.Expect(Pick(Asked{}, list, float64(i)/4+0.01)).To(gomega.Equal(i))
	}
}

func TestPlacementsToMeasureAgainst(t *testing.T) {
	list := []Candidate{{Slots: 4, Unread: 500}, {Slots: 4, Unread: 900, Kept: 5000}, {Slots: 4, Unread: 100, Again: 5000}}
	spot := Spot{Context: 7, Turn: 5, Chance: 0.5}
	tests := []struct {
		placement Placement
		list      []Candidate
		want      int
	}{
		{Returning, list, 1},
		{RoundRobin, list, 2},
		{LeastTokens, list, 2},
		{StickyHash, list, 1},
		{StickyHash, nil, -1},
	}
	for _, tc := range tests {
		gomega.NewWithT(t).Expect(PickBy(tc.placement, Asked{Tokens: 5100}, tc.list, spot)).To(gomega.Equal(tc.want), string(tc.placement))
	}
}

func TestAllowanceSlides(t *testing.T) {
	g := gomega.NewWithT(t)
	a := &Allowance{Share: 0.2, Extra: 1, Window: 10 * time.Second}
	g.Expect(a.Spend(0)).To(gomega.BeTrue())
	g.Expect(a.Spend(0)).To(gomega.BeFalse())
	for range 10 {
		a.Earn(time.Second)
	}
	g.Expect(a.Spend(time.Second)).To(gomega.BeTrue())
	g.Expect(a.Spend(time.Second)).To(gomega.BeTrue())
	g.Expect(a.Spend(time.Second)).To(gomega.BeFalse())
	g.Expect(a.Spend(13 * time.Second)).To(gomega.BeTrue())
	g.Expect(a.Spend(13 * time.Second)).To(gomega.BeFalse())
	g.Expect((&Allowance{Extra: 9}).Spend(0)).To(gomega.BeFalse())
}

func TestWorkersAreSetAsideOnlyForAMix(t *testing.T) {
	tests := []struct {
		name        string
		short, long int
		want        int
	}{
		{"nothing known", 0, 0, 5},
		{"both", 100, 100, 5},
		{"short only", 200, 0, 0},
		{"long only", 0, 200, 0},
	}
	for _, tc := range tests {
		var m Mix
		for range tc.short {
			m.Count(100)
		}
		for range tc.long {
			m.Count(10000)
		}
		gomega.NewWithT(t).Expect(m.ShortWorkers(18)).To(gomega.Equal(tc.want), tc.name)
	}
}

func TestSpeedIsLearned(t *testing.T) {
	g := gomega.NewWithT(t)
	var s Speed
	g.Expect(s.Time(55000)).To(gomega.BeNumerically("~", time.Second, time.Millisecond))
	s.Sample(100, time.Second) // too short to tell
	for range 200 {
		s.Sample(16000, firstTime+100*time.Millisecond)
	}
	g.Expect(s.Time(16000)).To(gomega.BeNumerically("~", 100*time.Millisecond, 2*time.Millisecond))
	for range 200 {
		s.Sample(1<<20, firstTime+time.Millisecond)
	}
	g.Expect(s.Time(speedMost)).To(gomega.BeNumerically(">=", 990*time.Millisecond))
}
