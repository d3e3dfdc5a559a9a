package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"embertally.dev/core/event"
)

// slowRoster returns a roster with n targets of service "s".
func slowRoster(n int) (*Roster, []*Target) {
	r := New(&event.Log{}, nil)
	for i := range n {
		r.Put(Entry{ID: fmt.Sprintf("t%03d", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", i)})
	}
	return r, r.ByService("s")
}

// A target that is avoided for too long costs capacity, and one that gets all requests at once after
// each period costs each of them the wait.
func TestSlowTargetIsProbed(t *testing.T) {
	g := gomega.NewWithT(t)
	r, targets := slowRoster(9)
	a, now := targets[0], time.Now()
	r.RecordSlowOpen(a, now)
	g.Expect(a.SlowStatus(0, now)).To(gomega.Equal(SlowAvoided))
	after := now.Add(slowOpenTime)
	g.Expect(a.SlowStatus(0, after)).To(gomega.Equal(SlowProbation))
	g.Expect(a.SlowStatus(1, after)).To(gomega.Equal(SlowAvoided))
	g.Expect(a.SlowStatus(1, after.Add(probeStagger))).To(gomega.Equal(SlowProbation))
	g.Expect(a.StartProbe(0, after)).To(gomega.BeTrue())
	g.Expect(a.StartProbe(0, after)).To(gomega.BeFalse())
	// The probe fails: the next period is longer, up to the bound.
	r.RecordSlowOpen(a, after.Add(time.Millisecond))
	g.Expect(a.SlowStatus(0, after.Add(slowOpenTime+time.Millisecond))).To(gomega.Equal(SlowAvoided))
	for range 10 {
		after = after.Add(maxSlowOpenTime + time.Millisecond)
		r.RecordSlowOpen(a, after)
	}
	g.Expect(a.SlowStatus(0, after.Add(maxSlowOpenTime))).To(gomega.Equal(SlowProbation))
	g.Expect(a.SlowStatus(0, after.Add(maxSlowOpenTime+probationTime))).To(gomega.Equal(NotSlow))
	g.Expect(a.SlowStatus(0, after)).To(gomega.Equal(SlowAvoided))
	g.Expect(r.RecordResponsive(a, after.Add(time.Millisecond))).To(gomega.BeTrue())
	g.Expect(a.SlowStatus(0, after.Add(time.Millisecond))).To(gomega.Equal(NotSlow))
}

// If all targets are slow at once, avoiding them would leave none.
func TestAtMostAThirdIsAvoided(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 100).Draw(t, "targets")
		r, targets := slowRoster(n)
		now := time.Now()
		for range rapid.IntRange(0, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			target := targets[rapid.IntRange(0, n-1).Draw(t, "target")]
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				r.RecordResponsive(target, now)
			case 1:
				r.recordPeerSlow(target, now, now)
			default:
				r.RecordSlowOpen(target, now)
			}
			slow := 0
			for _, other := range targets {
				if other.HasSlowConnections(now) {
					slow++
				}
			}
			if 3*slow > n {
				t.Fatalf("%d of %d targets are avoided", slow, n)
			}
		}
	})
}

// A daemon with a broken link must not have all daemons avoid targets; one that sees a quarter of
// the targets dark must report them.
func TestOnlyAWorkingDaemonReportsSlowTargets(t *testing.T) {
	for _, tc := range []struct{ responsive, slow, want int }{{0, 5, 0}, {5, 10, 2}, {60, 20, 20}, {2, 1, 1}} {
		r, targets := slowRoster(90)
		reported, now := 0, time.Now()
		for i, target := range targets[:tc.responsive+tc.slow] {
			if i < tc.responsive {
				r.RecordResponsive(target, now)
			} else if r.RecordSlowOpen(target, now) {
				reported++
			}
		}
		gomega.NewWithT(t).Expect(reported).To(gomega.Equal(tc.want), "%+v", tc)
	}
}

// All daemons avoid a target at the first slow connection of one, and use it again at the first
// response to one. Repeated, late and invalid reports change nothing.
func TestSlowConnectionsReachPeers(t *testing.T) {
	g := gomega.NewWithT(t)
	a, targets := slowRoster(9)
	b, peers := slowRoster(9)
	send := func() []byte {
		raw, err := msgpack.Marshal(SlowPart{a}.Collect(false))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return raw
	}
	for _, target := range targets[1:] {
		a.RecordResponsive(target, time.Now())
	}
	g.Expect(SlowPart{a}.Collect(false)).To(gomega.BeNil())
	g.Expect(a.RecordSlowOpen(targets[0], time.Now())).To(gomega.BeTrue())
	slow := send()
	SlowPart{b}.Receive("a", slow)
	g.Expect(peers[0].SlowStatus(0, time.Now())).To(gomega.Equal(SlowAvoided))
	g.Expect(a.RecordResponsive(targets[0], time.Now())).To(gomega.BeTrue())
	SlowPart{b}.Receive("a", send())
	g.Expect(peers[0].SlowStatus(0, time.Now())).To(gomega.Equal(NotSlow))
	SlowPart{b}.Receive("a", slow)
	g.Expect(peers[0].SlowStatus(0, time.Now())).To(gomega.Equal(NotSlow), "a response is later than what is repeated")
	for _, age := range []int64{-5, slowReportTime.Milliseconds() + 1} {
		raw, err := msgpack.Marshal(&slowBody{Slow: map[string]int64{"t001": age, "unknown": 1}})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		SlowPart{b}.Receive("a", raw)
	}
	SlowPart{b}.Receive("a", []byte{0xc1})
	g.Expect(b.SlowCount(time.Now())).To(gomega.BeZero())
}
