package roster

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/event"
)

func TestDomainEvacuations(t *testing.T) {
	const warmUp = 3 * time.Second
	at := time.Unix(1000, 0)
	tests := []struct {
		name string
		// steps request an evacuation (true) or cancel it (false), a second apart.
		steps []bool
		// after is the time of the check, counted from the first step.
		after     time.Duration
		evacuated bool
		duration  time.Duration
		warmingUp bool
	}{
		{"none", nil, 0, false, 0, false},
		{"active", []bool{true}, 5 * time.Second, true, 5 * time.Second, false},
		{"requested twice", []bool{true, true}, 5 * time.Second, true, 5 * time.Second, false},
		{"just cancelled", []bool{true, false}, time.Second, false, 0, true},
		{"cancelled for as long as the warm-up lasts", []bool{true, false}, time.Second + warmUp, false, 0, false},
		{"requested again", []bool{true, false, true}, 4 * time.Second, true, 2 * time.Second, false},
		{"cancelled without one", []bool{false}, time.Second, false, 0, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := New(&event.Log{}, nil)
			e := entry("a")
			e.Domain = "d"
			r.Put(e)
			for i, on := range tc.steps {
				r.Evacuate("d", on, at.Add(time.Duration(i)*time.Second))
			}
			now := at.Add(tc.after)
			duration, on := r.Evacuated("d", now)
			g.Expect(on).To(gomega.Equal(tc.evacuated))
			g.Expect(duration).To(gomega.Equal(tc.duration))
			g.Expect(r.WarmingUp(r.Target("a"), warmUp, now)).To(gomega.Equal(tc.warmingUp))
			_, on = r.Evacuated("other", now)
			g.Expect(on).To(gomega.BeFalse())
		})
	}
}

func TestWarmUpFollowsListEntry(t *testing.T) {
	g := gomega.NewWithT(t)
	r := New(&event.Log{}, nil)
	e := entry("a")
	e.WarmUp = 3 * time.Second
	r.Put(e)
	now := time.Now()
	g.Expect(r.WarmingUp(r.Target("a"), time.Second, now.Add(2*time.Second))).To(gomega.BeTrue())
	g.Expect(r.WarmingUp(r.Target("a"), time.Second, now.Add(4*time.Second))).To(gomega.BeFalse())
	e.WarmUp = 0
	r.Put(e)
	g.Expect(r.WarmingUp(r.Target("a"), time.Second, now)).To(gomega.BeFalse(), "its entry shows the warm-up as over")
	e.WarmUp = time.Minute
	r.Put(e)
	g.Expect(r.WarmingUp(r.Target("a"), time.Second, now.Add(50*time.Second))).To(gomega.BeTrue(),
		"its entry shows a new warm-up while it serves")
}
