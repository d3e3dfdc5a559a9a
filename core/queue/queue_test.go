package queue

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// demand is one kind of request that arrives at a service.
type demand struct {
	rank         int
	organisation string
	perSecond    float64
	work         time.Duration
	objective    time.Duration
	deadline     time.Duration
	// ignoresReturn makes rejected callers return at once, whatever time they were told.
	ignoresReturn bool
	// believed is the work told to the queue as a multiple of the real work; 0 means 1.
	believed float64
	// burst is how long the demand lasts; 0 means all the time.
	burst time.Duration
}

// result counts what the callers of a demand got.
type result struct {
	arrived, onTime, late, unserved int
	// returned counts the requests that returned as promised and, of those, admitted the ones that
	// were served.
	returned, admitted int
}

func (r result) shareOnTime() float64 { return float64(r.onTime) / float64(max(1, r.arrived)) }
func (r result) shareServed() float64 { return float64(r.onTime+r.late) / float64(max(1, r.arrived)) }

// caller is a request of the simulation.
type caller struct {
	request Request
	// queue is that of the daemon that has the request.
	queue  *Queue
	demand int
	first  time.Time
	digest Digest
	// returning is set once a rejection named a time.
	returning bool
}

// simulation is one service with some slots behind some daemons, driven by events in the order of
// their time.
type simulation struct {
	queues []*Queue
	// heartbeat is the interval at which daemons report to each other, and delay how long a report
	// takes. No reports are sent if heartbeat is 0.
	heartbeat, delay time.Duration
	slots            int
	demands          []demand
	results          []result
	// events are sorted by their time, the last one first.
	events   []simEvent
	random   *rand.Rand
	count    int
	now, end time.Time
	// dead is the number of daemons that were killed, the first ones.
	dead int
	// overdue counts the requests that waited on when they could no longer be served.
	overdue int
	live    map[*Request]*caller
}

type simEvent struct {
	at  time.Time
	run func()
}

var origin = time.Unix(1000, 0)

// simulate prepares a service under some demands.
func simulate(seed uint64, daemons, maxWaiting int, demands ...demand) *simulation {
	s := &simulation{
		slots: slots, demands: demands, results: make([]result, len(demands)), random: rand.New(rand.NewPCG(seed, 1)),
		now: origin, end: origin.Add(simulated), live: map[*Request]*caller{},
	}
	for range daemons {
		s.queues = append(s.queues, New(&Limits{MaxRequests: maxWaiting, MaxBytes: 1 << 30}, false))
	}
	return s
}

func (s *simulation) after(d time.Duration, run func()) {
	at := s.now.Add(d)
	i, _ := slices.BinarySearchFunc(s.events, at, func(e simEvent, at time.Time) int { return at.Compare(e.at) })
	s.events = slices.Insert(s.events, i, simEvent{at, run})
}

func (s *simulation) run() *simulation {
	for i := range s.demands {
		s.after(0, func() { s.arrive(i) })
	}
	s.after(tick, s.tick)
	for i := range s.queues {
		s.after(time.Duration(i)*time.Millisecond, func() { s.report(i) })
	}
	for len(s.events) > 0 {
		e := s.events[len(s.events)-1]
		s.events = s.events[:len(s.events)-1]
		s.now = e.at
		e.run()
	}
	return s
}

const tick = 5 * time.Millisecond

func (s *simulation) tick() {
	waiting := 0
	for _, q := range s.queues {
		for _, r := range q.Expire(s.now) {
			s.reject(s.live[r.Request], r.ReturnAt)
		}
		waiting += q.Len()
	}
	s.fill()
	for r := range s.live {
		if r.Waiting() && r.LatestStart.Before(s.now) {
			s.overdue++
		}
	}
	if s.now.Before(s.end) || waiting > 0 {
		s.after(tick, s.tick)
	}
}

// report sends the report of a daemon to the others.
func (s *simulation) report(i int) {
	if s.heartbeat == 0 || s.now.After(s.end) {
		return
	}
	if r := s.queues[i].Report(s.now); r != nil && i >= s.dead {
		s.queues[i].Reported()
		s.after(s.delay, func() {
			for j, q := range s.queues {
				if own := *r; j != i {
					q.Receive(strconv.Itoa(i), &own, s.now)
				}
			}
		})
	}
	s.after(s.heartbeat, func() { s.report(i) })
}

// kill ends a daemon. The callers of the requests that wait there try again.
func (s *simulation) kill(i int) {
	for r, c := range s.live {
		if c.queue == s.queues[i] {
			delete(s.live, r)
			s.after(10*time.Millisecond, func() { s.offer(c) })
		}
	}
	s.dead++
	s.queues[i] = New(&Limits{}, false)
}

// arrive adds a new request of a demand and schedules the next one.
func (s *simulation) arrive(i int) {
	d := &s.demands[i]
	if s.now.After(s.end) || d.burst > 0 && s.now.After(origin.Add(d.burst)) {
		return
	}
	s.after(time.Duration(s.random.ExpFloat64()/d.perSecond*float64(time.Second)), func() { s.arrive(i) })
	c := &caller{demand: i, first: s.now}
	s.count++
	binary.LittleEndian.PutUint64(c.digest[:], uint64(s.count))
	s.results[i].arrived++
	s.offer(c)
}

// offer presents a request to the queue, when it arrives or returns.
func (s *simulation) offer(c *caller) {
	d := &s.demands[c.demand]
	c.request = Request{
		Kind: d.organisation, Rank: d.rank, Organisation: d.organisation, Digest: c.digest,
		Work: d.work.Seconds() * max(d.believed, 1e-9), Bytes: 1000,
		StartBy: c.first.Add(d.objective - d.work), LatestStart: c.first.Add(d.deadline - d.work),
	}
	r := &c.request
	s.live[r] = c
	c.queue = s.queues[s.dead+s.random.IntN(len(s.queues)-s.dead)]
	c.queue.Register(r, s.now)
	if r.Returning() {
		s.results[c.demand].returned++
	}
	if s.slots > 0 && c.queue.MayTry(r, false, s.now) {
		s.start(c)
		return
	}
	v, rejected := c.queue.Wait(r, s.now)
	if !v.Waits {
		s.reject(c, v.ReturnAt)
	}
	for _, other := range rejected {
		s.reject(s.live[other.Request], other.ReturnAt)
	}
}

// reject ends the wait of a request, whose caller returns while that is of use.
func (s *simulation) reject(c *caller, returnAt time.Time) {
	d := &s.demands[c.demand]
	delete(s.live, &c.request)
	if d.ignoresReturn {
		returnAt = s.now.Add(20 * time.Millisecond)
	}
	if returnAt.IsZero() || returnAt.After(c.first.Add(d.deadline-d.work)) {
		s.results[c.demand].unserved++
		return
	}
	c.returning = true
	s.after(returnAt.Sub(s.now), func() { s.offer(c) })
}

// start occupies a slot for a request.
func (s *simulation) start(c *caller) {
	d := &s.demands[c.demand]
	s.slots--
	c.queue.Admit(&c.request, s.now)
	delete(s.live, &c.request)
	if c.request.Returning() {
		s.results[c.demand].admitted++
	}
	switch done := s.now.Add(d.work).Sub(c.first); {
	case done <= d.objective:
		s.results[c.demand].onTime++
	case done <= d.deadline:
		s.results[c.demand].late++
	default:
		s.results[c.demand].unserved++
	}
	s.after(time.Duration(float64(d.work)*(0.7+0.6*s.random.Float64())), s.release)
}

// release frees a slot and fills it.
func (s *simulation) release() {
	s.slots++
	s.fill()
}

// fill gives the free slots to waiting requests. The daemons try in any order.
func (s *simulation) fill() {
	for _, i := range s.random.Perm(len(s.queues)) {
		for s.slots > 0 {
			r := s.queues[i].Next(s.now, func(string) bool { return false })
			if r == nil {
				break
			}
			s.start(s.live[r])
		}
	}
}

// ten slots of 50 ms serve 200 requests per second.
const (
	slots     = 10
	simulated = 10 * time.Second
	work      = 50 * time.Millisecond
)

func ordinary(organisation string, rank int, perSecond float64) demand {
	return demand{
		rank: rank, organisation: organisation, perSecond: perSecond, work: work,
		objective: 400 * time.Millisecond, deadline: 4 * time.Second, believed: 1,
	}
}

// Overload must cost the less urgent, the greedy and the hopeless requests, not the others.
func TestOverload(t *testing.T) {
	greedy := ordinary("greedy", 1, 400)
	abusive := ordinary("abusive", 1, 300)
	abusive.ignoresReturn = true
	impatient := ordinary("impatient", 1, 400)
	impatient.deadline = 300 * time.Millisecond
	overestimated, underestimated := ordinary("b", 1, 280), ordinary("b", 1, 280)
	overestimated.believed, underestimated.believed = 3, 1/3.
	burst := ordinary("burst", 1, 300)
	burst.burst, burst.deadline = 3*time.Second, 20*time.Second
	keeps := func(g *gomega.WithT, s *simulation) {
		g.Expect(s.results[0].shareOnTime()).To(gomega.BeNumerically(">", 0.98))
		g.Expect(s.results[1].onTime + s.results[1].late).To(gomega.BeNumerically(">", 70*simulated.Seconds()))
	}
	tests := []struct {
		name string
		// maxWaiting bounds the queue.
		maxWaiting int
		demands    []demand
		check      func(g *gomega.WithT, s *simulation)
	}{
		{"a high rank keeps its objective at twice the capacity", 4000, []demand{ordinary("a", 0, 120), ordinary("b", 1, 280)}, keeps},
		{"work that is estimated three times too high", 4000, []demand{ordinary("a", 0, 120), overestimated}, keeps},
		{"work that is estimated three times too low", 4000, []demand{ordinary("a", 0, 120), underestimated}, keeps},
		{"a low rank is not starved by a high one above capacity", 4000, []demand{ordinary("a", 0, 400), ordinary("b", 1, 100)}, func(g *gomega.WithT, s *simulation) {
			g.Expect(float64(s.results[1].onTime)/simulated.Seconds()).To(gomega.BeNumerically("~", 20, 2), "a tenth of 200 per second")
			g.Expect(s.results[0].shareServed()).To(gomega.BeNumerically(">", 0.4))
		}},
		{"ten times the demand leaves the others their share", 4000, []demand{greedy, ordinary("b", 1, 40), ordinary("c", 1, 40)}, func(g *gomega.WithT, s *simulation) {
			for _, r := range s.results[1:] {
				g.Expect(r.shareOnTime()).To(gomega.BeNumerically(">", 0.95))
			}
			g.Expect(s.results[0].onTime+s.results[0].late).To(gomega.BeNumerically(">", 100*simulated.Seconds()), "the rest of the capacity")
		}},
		{"callers that return at once gain nothing", 4000, []demand{abusive, ordinary("b", 1, 100)}, func(g *gomega.WithT, s *simulation) {
			g.Expect(s.results[0].returned).To(gomega.BeNumerically("<", s.results[0].arrived/10))
			g.Expect(s.results[1].shareOnTime()).To(gomega.BeNumerically(">", 0.9))
		}},
		{"callers that cannot wait", 4000, []demand{impatient}, func(g *gomega.WithT, s *simulation) {
			g.Expect(s.results[0].shareServed()).To(gomega.BeNumerically("~", 0.5, 0.05))
		}},
		{"callers return after a burst", 100, []demand{burst, ordinary("b", 1, 100)}, func(g *gomega.WithT, s *simulation) {
			g.Expect(s.results[0].returned).To(gomega.BeNumerically(">", 0))
			g.Expect(s.results[0].admitted).To(gomega.Equal(s.results[0].returned))
			g.Expect(s.results[0].shareServed()).To(gomega.BeNumerically(">", 0.9))
			g.Expect(s.results[1].shareServed()).To(gomega.BeNumerically(">", 0.9))
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := simulate(7, 1, tc.maxWaiting, tc.demands...).run()
			t.Logf("%+v", s.results)
			g.Expect(s.overdue).To(gomega.BeZero(), "requests that wait although they can no longer be served")
			tc.check(g, s)
		})
	}
}

// Of many daemons with few requests each, those with urgent requests must get the capacity, whatever
// becomes of single reports.
func TestDaemonsShareTheOrder(t *testing.T) {
	tests := []struct {
		name             string
		heartbeat, delay time.Duration
		killed           int
		onTime, served   float64
	}{
		{"reports in time", 50 * time.Millisecond, 2 * time.Millisecond, 0, 0.98, 190},
		{"half of the daemons are killed with full queues", 50 * time.Millisecond, 2 * time.Millisecond, 10, 0.98, 190},
		{"reports late by a second", 50 * time.Millisecond, time.Second, 0, 0.9, 180},
		{"no reports", 0, 0, 0, 0.8, 190},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := simulate(5, 20, 1000, ordinary("a", 0, 120), ordinary("b", 1, 280))
			s.heartbeat, s.delay = tc.heartbeat, tc.delay
			for i := range tc.killed {
				s.after(simulated/4, func() { s.kill(i) })
			}
			s.run()
			t.Logf("%+v", s.results)
			g.Expect(s.overdue).To(gomega.BeZero())
			g.Expect(s.results[0].shareOnTime()).To(gomega.BeNumerically(">=", tc.onTime))
			served := 0
			for _, r := range s.results {
				served += r.onTime + r.late
			}
			g.Expect(float64(served)/simulated.Seconds()).To(gomega.BeNumerically(">", tc.served), "of 200 per second")
		})
	}
}

// Rejected callers must be spread over the time in which capacity frees, and be served when they
// return.
func TestReturnsAreSpreadAndAdmitted(t *testing.T) {
	g := gomega.NewWithT(t)
	q := New(&Limits{MaxRequests: 1000, MaxBytes: 1 << 20}, false)
	now := origin
	arrive := func(n int, at time.Time) *Request {
		r := &Request{Kind: "k", Work: 0.05, Digest: Digest{byte(n), 1}, StartBy: at.Add(300 * time.Millisecond), LatestStart: at.Add(3 * time.Second)}
		q.Register(r, at)
		return r
	}
	// One request per 20 ms is served while others wait.
	for i := range 200 {
		now = now.Add(20 * time.Millisecond)
		q.Wait(arrive(250, now), now)
		q.Admit(q.Next(now, func(string) bool { return false }), now)
		q.Wait(arrive(250+i%2, now), now)
	}
	var returns []time.Time
	for n := range 100 {
		r := arrive(n, now)
		r.LatestStart = now.Add(-time.Millisecond)
		v, _ := q.Wait(r, now)
		g.Expect(v.Waits).To(gomega.BeFalse())
		returns = append(returns, v.ReturnAt)
	}
	for i := 1; i < len(returns); i++ {
		g.Expect(returns[i]).To(gomega.BeTemporally(">", returns[i-1]))
	}
	early, late := arrive(0, returns[0].Add(-time.Second)), arrive(1, returns[1].Add(returnGrace+time.Second))
	g.Expect(early.Returning()).To(gomega.BeFalse(), "too early")
	g.Expect(late.Returning()).To(gomega.BeFalse(), "expired")
	g.Expect(arrive(0, returns[0]).Returning()).To(gomega.BeFalse(), "an early return ends the promise")
	g.Expect(arrive(3, returns[3]).Returning()).To(gomega.BeTrue())
	g.Expect(arrive(3, returns[3]).Returning()).To(gomega.BeFalse(), "a promise counts once")
	returning := arrive(2, returns[2])
	q.Wait(returning, returns[2])
	g.Expect(q.Next(returns[2], func(string) bool { return false })).To(gomega.BeIdenticalTo(returning))
}

// A caller that returns at another daemon must find its promise, and the order must hold there.
func TestReportsReachPeers(t *testing.T) {
	g := gomega.NewWithT(t)
	now, deadline := origin, origin.Add(time.Minute)
	request := func(id byte, rank int, startBy time.Time) *Request {
		return &Request{Digest: Digest{id}, Rank: rank, Work: 1, StartBy: startBy, LatestStart: deadline}
	}
	from, to := New(&Limits{MaxRequests: 1}, false), New(&Limits{MaxRequests: 10}, false)
	for _, q := range []*Queue{from, to} {
		for range 20 {
			r := request(0, 0, deadline)
			q.Register(r, now)
			q.Admit(r, now)
		}
	}
	first, rejected := request(1, 0, deadline), request(2, 1, deadline)
	from.Register(first, now)
	from.Wait(first, now)
	// Capacity is known after a second of shortage.
	now = now.Add(2 * time.Second)
	from.Register(rejected, now)
	v, _ := from.Wait(rejected, now)
	g.Expect(v.ReturnAt.IsZero()).To(gomega.BeFalse())

	raw, err := msgpack.Marshal(from.Report(now))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var report Report
	g.Expect(msgpack.Unmarshal(raw, &report)).To(gomega.Succeed())
	from.Reported()
	g.Expect(from.Report(now).Promises).To(gomega.BeEmpty(), "a promise is reported once")
	to.Receive("from", &report, now)
	low, high := request(3, 1, deadline), request(4, 0, now.Add(time.Second))
	to.Register(low, now)
	to.Register(high, now)
	g.Expect(to.MayTry(low, false, now)).To(gomega.BeFalse(), "an urgent request waits elsewhere")
	g.Expect(to.MayTry(high, false, now)).To(gomega.BeTrue(), "it is due before that")
	g.Expect(to.MayTry(low, false, now.Add(maxHold))).To(gomega.BeTrue(), "the peer stopped reporting")
	again := request(2, 1, deadline)
	to.Register(again, v.ReturnAt)
	g.Expect(again.Returning()).To(gomega.BeTrue())
	report.Capacity = math.NaN()
	to.Receive("other", &report, now)
	g.Expect(to.peers).NotTo(gomega.HaveKey("other"), "an invalid report")
}

// BenchmarkArrival is the cost of a request that finds capacity while 59 peers report waiting
// requests.
func BenchmarkArrival(b *testing.B) {
	q, now := New(&Limits{MaxRequests: 100}, false), origin
	for i := range 59 {
		q.Receive(strconv.Itoa(i), &Report{Capacity: 1, Classes: []ClassReport{{Work: 1, FirstWork: 1, Class: 2}, {Rank: 1, Work: 1, FirstWork: 1, Class: 2}}}, now)
	}
	for b.Loop() {
		now = now.Add(time.Microsecond)
		r := &Request{Kind: "k", Work: 0.05, StartBy: now.Add(-time.Second), LatestStart: now.Add(time.Second)}
		q.Register(r, now)
		q.MayTry(r, false, now)
		q.Admit(r, now)
	}
}

// Whatever happens, the queue keeps its bounds and counts, and gives out each request once.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		limits := &Limits{MaxRequests: 8, MaxBytes: 100}
		q := New(limits, rapid.Bool().Draw(t, "byArrival"))
		now, waiting := origin, map[*Request]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				start := time.Duration(rapid.IntRange(0, 500).Draw(t, "startBy")) * time.Millisecond
				r := &Request{
					Kind: rapid.SampledFrom([]string{"k", "l"}).Draw(t, "kind"), Rank: rapid.IntRange(0, 2).Draw(t, "rank"),
					Organisation: rapid.SampledFrom([]string{"o", "p"}).Draw(t, "organisation"),
					Work:         rapid.Float64Range(0, 3).Draw(t, "work"), Bytes: rapid.IntRange(0, 40).Draw(t, "bytes"),
					StartBy: now.Add(start), LatestStart: now.Add(start * 2),
					Digest: Digest{byte(rapid.IntRange(0, 3).Draw(t, "digest"))},
				}
				q.Register(r, now)
				v, rejected := q.Wait(r, now)
				g.Expect(r.Waiting()).To(gomega.Equal(v.Waits))
				waiting[r] = v.Waits
				for _, other := range rejected {
					g.Expect(waiting[other.Request]).To(gomega.BeTrue())
					delete(waiting, other.Request)
				}
			case 2:
				if r := q.Next(now, func(kind string) bool { return kind == "l" }); r != nil {
					g.Expect(r.Kind).To(gomega.Equal("k"))
					g.Expect(waiting[r]).To(gomega.BeTrue())
					q.Admit(r, now)
					delete(waiting, r)
				}
			case 3:
				for _, r := range q.Expire(now) {
					g.Expect(waiting[r.Request]).To(gomega.BeTrue())
					delete(waiting, r.Request)
				}
			}
			count, bytes := 0, 0
			for r, waits := range waiting {
				if waits {
					count, bytes = count+1, bytes+r.Bytes
				}
			}
			g.Expect(q.Len()).To(gomega.Equal(count))
			g.Expect([]int{limits.requests, limits.bytes}).To(gomega.Equal([]int{count, bytes}))
			g.Expect(limits.exceeded()).To(gomega.BeFalse())
		}
	})
}

// During a long outage the observed capacity decays towards zero. The expected wait exceeded the range
// of a duration and became negative: hopeless requests waited until their deadline, and rejected
// callers were told to return at once.
func TestLongOutageLeavesNoHope(t *testing.T) {
	for _, outage := range []time.Duration{10 * time.Second, time.Minute, 2 * time.Minute, 10 * time.Minute, time.Hour} {
		t.Run(outage.String(), func(t *testing.T) {
			g := gomega.NewWithT(t)
			q, now := New(&Limits{MaxRequests: 10, MaxBytes: 10}, false), time.Now()
			patient := &Request{Kind: "k", Work: 0.1, StartBy: now.Add(2 * time.Hour), LatestStart: now.Add(2 * time.Hour)}
			admitted := &Request{Kind: "k", Work: 0.1, StartBy: now.Add(time.Minute), LatestStart: now.Add(time.Minute)}
			for _, r := range []*Request{patient, admitted} {
				q.Register(r, now)
				v, _ := q.Wait(r, now)
				g.Expect(v.Waits).To(gomega.BeTrue())
			}
			q.Admit(admitted, now)
			now = now.Add(outage)
			late := &Request{Kind: "k", Work: 0.1, StartBy: now.Add(-time.Second), LatestStart: now.Add(time.Second)}
			q.Register(late, now)
			v, _ := q.Wait(late, now)
			g.Expect(v).To(gomega.Equal(Verdict{ReturnAt: now.Add(maxWait), Expected: maxWait}))
		})
	}
}
