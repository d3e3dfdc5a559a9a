package canary

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func order(version string, revision int64) Order {
	return Order{Service: "s", Version: version, Lasts: 12 * time.Second, Revision: revision}
}

// All daemons together keep to the share, also those that hear late, start during the roll-out or
// know nothing fresh; and however few requests each gets.
func TestAVersionOnTrialGetsItsShareOfAllDaemons(t *testing.T) {
	tests := []struct {
		name              string
		daemons, requests int
		// late is the request of each daemon from which on it knows of the order.
		late  int
		stale bool
		most  float64
	}{
		{"a few daemons", 8, 2000, 0, false, 0.1},
		{"many daemons with few requests each", 90, 20, 0, false, 0.1},
		{"daemons that hear late", 8, 2000, 1000, false, 0.05},
		{"daemons that know nothing fresh", 8, 2000, 0, true, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			tried, all := 0, 0
			for range tc.daemons {
				guard := &Guard{Share: 0.1, Fresh: func() bool { return !tc.stale }}
				for i := range tc.requests {
					if i == tc.late {
						guard.SetOrder(order("v2", 5))
					}
					all++
					if side := guard.Choose("s"); side.Prefer == "v2" {
						tried++
					} else if i >= tc.late {
						g.Expect(side.Allows("v2")).To(gomega.BeFalse())
						g.Expect(side.Allows("v1")).To(gomega.BeTrue())
					}
				}
			}
			g.Expect(float64(tried)).To(gomega.BeNumerically("<=", tc.most*float64(all)))
			if tc.most > 0 && tc.requests > 100 {
				g.Expect(float64(tried)).To(gomega.BeNumerically(">", tc.most*float64(all)/2))
			}
		})
	}
}

// Which versions requests may go to as orders and states come.
func TestVersionsThatRequestsMayGoTo(t *testing.T) {
	state := func(order int64, version string, p Phase, blocked ...string) State {
		return State{Order: order, Version: version, Phase: p, Blocked: blocked}
	}
	tests := []struct {
		name   string
		steps  func(g *Guard)
		prefer string
		not    []string
	}{
		{"no order", func(*Guard) {}, "", nil},
		{"an order that nobody has begun", func(g *Guard) { g.SetOrder(order("v2", 5)) }, "", []string{"v2"}},
		{"on trial", func(g *Guard) { g.SetOrder(order("v2", 5)); g.SetState("s", state(5, "v2", Trying)) }, "", []string{"v2"}},
		{"moving", func(g *Guard) { g.SetOrder(order("v2", 5)); g.SetState("s", state(5, "v2", Moving)) }, "v2", nil},
		{"completed", func(g *Guard) { g.SetOrder(order("v2", 5)); g.SetState("s", state(5, "v2", Completed)) }, "v2", nil},
		{"rolled back", func(g *Guard) { g.SetOrder(order("v2", 5)); g.SetState("s", state(5, "v2", RolledBack, "v2")) }, "", []string{"v2"}},
		{"rolled back, the order withdrawn", func(g *Guard) {
			g.SetState("s", state(5, "v2", RolledBack, "v2"))
			g.SetOrder(Order{Service: "s"})
		}, "", []string{"v2"}},
		{"another order in the middle", func(g *Guard) {
			g.SetState("s", state(5, "v2", Trying))
			g.SetOrder(order("v3", 9))
		}, "", []string{"v2", "v3"}},
		{"another order after one that was completed", func(g *Guard) {
			g.SetState("s", state(5, "v2", Completed))
			g.SetOrder(order("v3", 9))
		}, "", []string{"v3"}},
		{"the same version once more", func(g *Guard) {
			g.SetOrder(order("v2", 9))
			g.SetState("s", state(9, "v2", Moving))
		}, "v2", nil},
		{"withdrawn on trial", func(g *Guard) {
			g.SetOrder(order("v2", 5))
			g.SetState("s", state(5, "v2", Trying))
			g.SetOrder(Order{Service: "s"})
		}, "", []string{"v2"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			guard := &Guard{Share: 0.1}
			tc.steps(guard)
			side := guard.Choose("s")
			g.Expect(side.Prefer).To(gomega.Equal(tc.prefer))
			g.Expect(side.Not).To(gomega.HaveLen(len(tc.not)))
			for _, v := range tc.not {
				g.Expect(side.Allows(v)).To(gomega.BeFalse(), v)
			}
			g.Expect(guard.Choose("other")).To(gomega.Equal(Side{}))
		})
	}
}

func TestARequestThatFailedAtAVersionOnTrialGoesToAnother(t *testing.T) {
	g := gomega.NewWithT(t)
	side := Side{Prefer: "v2", Few: 0.06}.Aside()
	g.Expect(side.Prefer).To(gomega.BeEmpty())
	g.Expect(side.Allows("v2")).To(gomega.BeFalse())
	moving := Side{Prefer: "v2"}
	g.Expect(moving.Aside()).To(gomega.Equal(moving))
}
