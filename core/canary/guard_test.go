package canary

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func order(version string, revision int64) Order {
	return Order{Service: "s", Version: version, Lasts: 12 * time.Second, Revision: revision}
}

// All daemons together keep to the share, including those that receive the order late, start during
// the rollout or have a stale copy of the orders, however few requests each gets.
func TestACanaryVersionGetsItsShareFromAllDaemons(t *testing.T) {
	tests := []struct {
		name              string
		daemons, requests int
		// orderAt is the index of each daemon's request from which on it has the order.
		orderAt  int
		stale    bool
		maxShare float64
	}{
		{"a few daemons", 8, 2000, 0, false, 0.1},
		{"many daemons with few requests each", 90, 20, 0, false, 0.1},
		{"daemons that receive the order late", 8, 2000, 1000, false, 0.05},
		{"daemons with a stale copy", 8, 2000, 0, true, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			canaryRequests, all := 0, 0
			for range tc.daemons {
				guard := &Guard{CanaryShare: 0.1, OrdersCurrent: func() bool { return !tc.stale }}
				for i := range tc.requests {
					if i == tc.orderAt {
						guard.SetOrder(order("v2", 5))
					}
					all++
					if filter := guard.Choose("s"); filter.Preferred == "v2" {
						canaryRequests++
					} else if i >= tc.orderAt {
						g.Expect(filter.Allows("v2")).To(gomega.BeFalse())
						g.Expect(filter.Allows("v1")).To(gomega.BeTrue())
					}
				}
			}
			g.Expect(float64(canaryRequests)).To(gomega.BeNumerically("<=", tc.maxShare*float64(all)))
			if tc.maxShare > 0 && tc.requests > 100 {
				g.Expect(float64(canaryRequests)).To(gomega.BeNumerically(">", tc.maxShare*float64(all)/2))
			}
		})
	}
}

// Versions that requests may go to, as orders and states arrive.
func TestChooseAllowsVersions(t *testing.T) {
	state := func(order int64, version string, p Phase, blocked ...string) State {
		return State{Order: order, Version: version, Phase: p, Blocked: blocked}
	}
	tests := []struct {
		name      string
		steps     func(g *Guard)
		preferred string
		excluded  []string
	}{
		{"no order", func(*Guard) {}, "", nil},
		{"an order without a state", func(g *Guard) { g.SetOrder(order("v2", 5)) }, "", []string{"v2"}},
		{"trying", func(g *Guard) { g.SetOrder(order("v2", 5)); g.SetState("s", state(5, "v2", Trying)) }, "", []string{"v2"}},
		{"moving", func(g *Guard) { g.SetOrder(order("v2", 5)); g.SetState("s", state(5, "v2", Moving)) }, "v2", nil},
		{"completed", func(g *Guard) { g.SetOrder(order("v2", 5)); g.SetState("s", state(5, "v2", Completed)) }, "v2", nil},
		{"rolled back", func(g *Guard) { g.SetOrder(order("v2", 5)); g.SetState("s", state(5, "v2", RolledBack, "v2")) }, "", []string{"v2"}},
		{"rolled back, the order withdrawn", func(g *Guard) {
			g.SetState("s", state(5, "v2", RolledBack, "v2"))
			g.SetOrder(Order{Service: "s"})
		}, "", []string{"v2"}},
		{"another order while trying", func(g *Guard) {
			g.SetState("s", state(5, "v2", Trying))
			g.SetOrder(order("v3", 9))
		}, "", []string{"v2", "v3"}},
		{"another order after one that was completed", func(g *Guard) {
			g.SetState("s", state(5, "v2", Completed))
			g.SetOrder(order("v3", 9))
		}, "", []string{"v3"}},
		{"the same version again", func(g *Guard) {
			g.SetOrder(order("v2", 9))
			g.SetState("s", state(9, "v2", Moving))
		}, "v2", nil},
		{"withdrawn while trying", func(g *Guard) {
			g.SetOrder(order("v2", 5))
			g.SetState("s", state(5, "v2", Trying))
			g.SetOrder(Order{Service: "s"})
		}, "", []string{"v2"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			guard := &Guard{CanaryShare: 0.1}
			tc.steps(guard)
			filter := guard.Choose("s")
			g.Expect(filter.Preferred).To(gomega.Equal(tc.preferred))
			g.Expect(filter.Excluded).To(gomega.HaveLen(len(tc.excluded)))
			for _, v := range tc.excluded {
				g.Expect(filter.Allows(v)).To(gomega.BeFalse(), v)
			}
			g.Expect(guard.Choose("other")).To(gomega.Equal(VersionFilter{}))
		})
	}
}

func TestARequestThatFailedOnACanaryVersionGoesToAnother(t *testing.T) {
	g := gomega.NewWithT(t)
	filter := VersionFilter{Preferred: "v2", TargetShare: 0.06}.WithoutCanary()
	g.Expect(filter.Preferred).To(gomega.BeEmpty())
	g.Expect(filter.Allows("v2")).To(gomega.BeFalse())
	moving := VersionFilter{Preferred: "v2"}
	g.Expect(moving.WithoutCanary()).To(gomega.Equal(moving))
}

// A stream goes on at the version that began it in each phase, but not at one that was rolled back: that gets no requests.
func TestResumedStreamsFollowTheirVersion(t *testing.T) {
	for _, tc := range []struct {
		name     string
		phase    Phase
		old, new bool
	}{
		{"no rollout", "", true, true},
		{"trying", Trying, true, true},
		{"moving", Moving, true, true},
		{"completed", Completed, true, true},
		{"rolled back", RolledBack, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var guard Guard
			if tc.phase != "" {
				guard.SetOrder(Order{Service: "s", Version: "v2", Lasts: time.Minute, Revision: 5})
				guard.SetState("s", State{Order: 5, Version: "v2", Phase: tc.phase})
			}
			for version, allowed := range map[string]bool{"v1": tc.old, "v2": tc.new} {
				filter := guard.Resume("s", version).WithoutCanary()
				g.Expect(filter.Allows(version)).To(gomega.Equal(allowed), version)
				for _, other := range []string{"v1", "v2", "v3", ""} {
					g.Expect(other != version && filter.Allows(other)).To(gomega.BeFalse(), "%s for a stream of %s", other, version)
				}
			}
		})
	}
}

// Requests that had begun before an order came were not counted, and their ends were taken for those of later ones: the
// old targets counted as idle while requests of minutes ran there.
func TestRequestsThatBeganBeforeTheOrderCountUntilTheyEnd(t *testing.T) {
	tests := []struct {
		name string
		// before and after are the versions of the requests that begin before and after the order, and ended those of
		// the requests that end then.
		before, after, ended []string
		want                 int // requests at old targets
	}{
		{"none", nil, nil, nil, 0},
		{"begun after", nil, []string{"v1", "v2"}, nil, 1},
		{"begun after, ended", nil, []string{"v1", "v2"}, []string{"v1"}, 0},
		{"begun before", []string{"v1"}, nil, nil, 1},
		{"begun before, ended", []string{"v1"}, nil, []string{"v1"}, 0},
		{"begun before and after, one ended", []string{"v1"}, []string{"v1"}, []string{"v1"}, 1},
		{"begun before at the new version", []string{"v2"}, nil, nil, 0},
		{"two old versions", []string{"v0", "v1"}, []string{"v2"}, []string{"v0"}, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var guard Guard
			for _, version := range tc.before {
				guard.RequestStarted("s", version)
			}
			guard.SetOrder(Order{Service: "s", Version: "v2", Lasts: time.Minute, Revision: 1})
			for _, version := range tc.after {
				guard.RequestStarted("s", version)
			}
			for _, version := range tc.ended {
				guard.RequestEnded("s", version)
			}
			reports := guard.Reports()
			g.Expect(reports).To(gomega.HaveLen(1))
			g.Expect(reports[0].RunningOnOld).To(gomega.Equal(tc.want))
		})
	}
}
