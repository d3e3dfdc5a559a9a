package roster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
)

// limitBound is the number of requests that users allow a target within limitSpan.
func limitBound(perSecond float64) int { return int(1.5*perSecond*4) + 5 }

const limitSpan = 4 * time.Second

// limitSim simulates, with its own clock, daemons that send to one rate-limited target.
type limitSim struct {
	random  *rand.Rand
	buckets []limitState
	// ranks holds each daemon's rank; two daemons may have the same one. total is the number of
	// daemons that they assume.
	ranks    []int
	total    int
	arrivals []time.Duration
}

// simulate has each daemon receive requests at a mean rate of demand for a while. Each request
// takes up to transit to arrive at the target.
func (s *limitSim) simulate(start clock.Time, perSecond, demand float64, duration, transit time.Duration) {
	for i := range s.buckets {
		s.buckets[i].set(true, perSecond, start)
		s.buckets[i].setRank(s.ranks[i], s.total, start)
		for at := time.Duration(0); at < duration; {
			at += time.Duration(s.random.ExpFloat64() / demand * float64(time.Second))
			if now := start.Add(at); s.buckets[i].wait(now) == 0 {
				s.buckets[i].takePermit(now)
				s.arrivals = append(s.arrivals, at+time.Duration(s.random.Float64()*float64(transit)))
			}
		}
	}
}

// maxArrivals returns the largest number of arrivals within limitSpan.
func (s *limitSim) maxArrivals() int {
	highest := 0
	for _, from := range s.arrivals {
		n := 0
		for _, at := range s.arrivals {
			if at >= from && at-from <= limitSpan {
				n++
			}
		}
		highest = max(highest, n)
	}
	return highest
}

// The bound does not depend on the fleet's size: h daemons with full buckets let through h + 4 s of
// the rate, and h is at most 4 + the rate.
func TestRateLimitHoldsAcrossDaemons(t *testing.T) {
	const duration, transit = 40 * time.Second, 500 * time.Millisecond
	for _, daemons := range []int{1, 8, 295, 986} {
		for _, perSecond := range []float64{0, 0.01, 0.5, 1, 2.9, 4.9, 20, 300} {
			for seed := range uint64(5) {
				name := fmt.Sprintf("%d daemons, %g a second, seed %d", daemons, perSecond, seed)
				random := rand.New(rand.NewPCG(seed, 1))
				sim := &limitSim{
					random: random, buckets: make([]limitState, daemons),
					ranks: random.Perm(daemons), total: daemons,
				}
				sim.simulate(clock.Now(), perSecond, 5, duration, transit)
				g := gomega.NewWithT(t)
				g.Expect(sim.maxArrivals()).To(gomega.BeNumerically("<=", limitBound(perSecond)), name)
				if used := min(perSecond, float64(min(daemons, minSenders))); perSecond >= minRate {
					minSent := used * (duration - time.Duration(float64(minSenders)/perSecond*float64(time.Second))).Seconds() / 2
					g.Expect(float64(len(sim.arrivals))).To(gomega.BeNumerically(">=", minSent),
						name+": at least half of the limit is used")
				}
			}
		}
	}
}

// While daemons start or stop they may disagree about the fleet, and two may compute the same rank.
func TestRateLimitHoldsWhenDaemonsShareARank(t *testing.T) {
	for _, perSecond := range []float64{0, 0.5, 2.9, 4.9, 20} {
		for seed := range uint64(20) {
			const daemons = 40
			random := rand.New(rand.NewPCG(seed, 2))
			sim := &limitSim{random: random, buckets: make([]limitState, daemons), total: daemons}
			for i := range daemons {
				sim.ranks = append(sim.ranks, i)
			}
			// One daemon more than intended sends.
			sim.ranks[daemons-1] = 0
			sim.simulate(clock.Now(), perSecond, 50, 30*time.Second, 0)
			gomega.NewWithT(t).Expect(sim.maxArrivals()).To(gomega.BeNumerically("<=", limitBound(perSecond)), "%g a second, seed %d", perSecond, seed)
		}
	}
}

// newLimited returns a roster with one target to which only this daemon sends.
func newLimited(log *event.Log) (*Roster, *Target) {
	r := New(log, nil)
	r.Rank = func(*Target) (int, int) { return 0, 1 }
	r.Put(incarnationEntry("a@1000", 1000))
	return r, r.Target("a@1000")
}

// statedRate returns the limit of a response that states a rate.
func statedRate(perSecond float64) RateLimit { return RateLimit{Stated: true, PerSecond: perSecond} }

func TestRateLimitFollowsResponses(t *testing.T) {
	type response struct {
		limit RateLimit
		// early means that the request was sent before the first response arrived, and rejected that
		// the target rejected it.
		early, rejected bool
	}
	tests := []struct {
		name      string
		responses []response
		want      float64 // -1 for none
	}{
		{"never stated", []response{{}}, -1},
		{"stated", []response{{limit: statedRate(5)}}, 5},
		{"no longer stated", []response{{limit: statedRate(5)}, {}}, -1},
		{"no longer stated in a rejection", []response{{limit: statedRate(5)}, {rejected: true}}, 5},
		{"stated in a rejection", []response{{limit: statedRate(5), rejected: true}}, 5},
		{"not stated in the response to an older request", []response{{limit: statedRate(5)}, {early: true}}, 5},
		{"another rate", []response{{limit: statedRate(5)}, {limit: statedRate(7)}}, 7},
		{"a higher rate in the response to an older request", []response{{limit: statedRate(5)}, {limit: statedRate(7), early: true}}, 5},
		{"a lower rate in the response to an older request", []response{{limit: statedRate(5)}, {limit: statedRate(3), early: true}}, 3},
		{"an unreadable rate", []response{{limit: statedRate(5)}, {limit: RateLimit{Invalid: "x"}}}, 5},
		{"an unreadable rate first", []response{{limit: RateLimit{Invalid: "x"}}}, -1},
		{"zero", []response{{limit: statedRate(0)}}, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r, _ := newLimited(&event.Log{})
			before := clock.Now()
			for _, resp := range tc.responses {
				sent := before
				if !resp.early {
					clock.Suspend(time.Millisecond)
					sent = clock.Now()
				}
				clock.Suspend(time.Millisecond)
				r.RecordLimit("a@1000", resp.limit, sent, !resp.rejected)
			}
			if tc.want < 0 {
				g.Expect(r.RateLimitedTargets()).To(gomega.BeEmpty())
				return
			}
			g.Expect(r.RateLimitedTargets()).To(gomega.HaveLen(1))
			g.Expect(r.RateLimitedTargets()[0].PerSecond).To(gomega.Equal(tc.want))
		})
	}
}

// A rate limit belongs to the incarnation that stated it, and the permit of a request that was not
// sent is returned.
func TestRateLimitPermits(t *testing.T) {
	g := gomega.NewWithT(t)
	r, target := newLimited(&event.Log{})
	permit, ok := r.TakePermit(target)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(permit).To(gomega.Equal(Permit{}), "there is no limit")
	g.Expect(r.RecordLimit("a@1000", statedRate(2), clock.Now(), true)).To(gomega.BeTrue())
	g.Expect(r.Admit(target, permit)).To(gomega.Equal(RateLimited), "it was stated after the target was chosen")
	reason, wait := r.Availability(time.Now()).Reason(target)
	g.Expect(reason).To(gomega.Equal(RateLimited))
	g.Expect(wait).To(gomega.BeNumerically("~", 500*time.Millisecond, 100*time.Millisecond))

	clock.Suspend(500 * time.Millisecond)
	permit, ok = r.TakePermit(target)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(r.Admit(target, permit)).To(gomega.Equal(Available))
	_, ok = r.TakePermit(target)
	g.Expect(ok).To(gomega.BeFalse())
	r.ReturnPermit(target, permit)
	permit, ok = r.TakePermit(target)
	g.Expect(ok).To(gomega.BeTrue(), "the permit was returned")
	g.Expect(r.RecordLimit("a@1000", statedRate(1), clock.Now(), true)).To(gomega.BeTrue())
	r.ReturnPermit(target, permit)
	_, ok = r.TakePermit(target)
	g.Expect(ok).To(gomega.BeFalse(), "the limit has changed since")

	g.Expect(r.Admit(target, Permit{Taken: true, Remote: true})).To(gomega.Equal(Available),
		"the remote daemon took a permit")
	clock.Suspend(time.Minute)
	g.Expect(r.Admit(target, Permit{Remote: true})).To(gomega.Equal(RateLimited),
		"the remote daemon had recorded no limit")
	g.Expect(r.Admit(target, Permit{})).To(gomega.Equal(Available))
	g.Expect(r.Admit(target, Permit{})).To(gomega.Equal(RateLimited))

	r.Put(incarnationEntry("a@2000", 2000))
	g.Expect(r.Admit(r.Target("a@2000"), Permit{})).To(gomega.Equal(Available), "the next incarnation stated none")
}

// Daemons that are not senders of a rate-limited target send it nothing, and a limit that ended
// does not stay with a daemon that missed the notification.
func TestRateLimitReachesPeers(t *testing.T) {
	g := gomega.NewWithT(t)
	from, _ := newLimited(&event.Log{})
	to, target := newLimited(&event.Log{})
	to.Rank = func(*Target) (int, int) { return minSenders + 2, 100 }
	heartbeat := func() { sendHeartbeat(g, from, to) }
	from.RecordLimit("a@1000", statedRate(2), clock.Now(), true)
	heartbeat()
	g.Expect(to.Admit(target, Permit{})).To(gomega.Equal(RateLimited))
	clock.Suspend(time.Hour)
	g.Expect(to.Admit(target, Permit{})).To(gomega.Equal(RateLimited))
	from.RecordLimit("a@1000", statedRate(50), clock.Now(), true)
	heartbeat()
	g.Expect(to.RateLimitedTargets()[0].PerSecond).To(gomega.Equal(50.0))
	clock.Suspend(time.Second)
	from.RecordLimit("a@1000", RateLimit{}, clock.Now(), true)
	clock.Suspend(2 * limitEndNotifyTime)
	heartbeat()
	g.Expect(to.RateLimitedTargets()).NotTo(gomega.BeEmpty(), "the peer missed the notification")
	sendHeartbeat(g, to, from)
	heartbeat()
	g.Expect(to.RateLimitedTargets()).To(gomega.BeEmpty(), "it was notified again")
	g.Expect(from.RateLimitedTargets()).To(gomega.BeEmpty())
}

// A target that states another rate in each response causes one log line a second.
func TestRateLimitLogLinesAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	log := &event.Log{}
	r, _ := newLimited(log)
	for i := range 50 {
		clock.Suspend(time.Millisecond)
		r.RecordLimit("a@1000", RateLimit{Stated: true, PerSecond: float64(i), Invalid: "x"}, clock.Now(), true)
	}
	lines := map[event.Code]int{}
	for _, ev := range log.Since(0, 1000) {
		lines[ev.Code]++
	}
	g.Expect(lines[event.TargetLimits]).To(gomega.Equal(1))
	g.Expect(lines[event.TargetUnreadable]).To(gomega.Equal(1))
	clock.Suspend(limitLogInterval)
	r.RecordLimit("a@1000", RateLimit{}, clock.Now(), true)
	g.Expect(log.Since(0, 1000)[len(log.Since(0, 1000))-1].Code).To(gomega.Equal(event.TargetUnlimited))
}

// A rate that changes with each response must not postpone a daemon's next permit for ever.
func TestFrequentRateChangesDoNotDelayPermits(t *testing.T) {
	g := gomega.NewWithT(t)
	var l limitState
	now := clock.Now()
	l.set(true, 2, now)
	l.setRank(3, 4, now)
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		l.set(true, 1.9, now)
		l.set(true, 2, now)
	}
	g.Expect(l.wait(now)).To(gomega.BeZero())
}
