package relay

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/clock"
	"embertally.dev/core/queue"
	"embertally.dev/core/roster"
	"embertally.dev/core/table"
)

// queueRig is a rig with one target that is full, and organisations of two ranks.
type queueRig struct {
	*rig
	callers sync.WaitGroup
}

// fullLoad is what fills the target.
var fullLoad = roster.Load{Running: plainMaxLoad}

func newQueueRig(t *testing.T) *queueRig { return newQueueRigWithTimeout(t, routeTimeout) }

// newQueueRigWithTimeout returns a rig all of whose routes have a timeout.
func newQueueRigWithTimeout(t *testing.T, timeout time.Duration) *queueRig {
	q := &queueRig{rig: newRig(t, nil)}
	routes := slices.Clone(testRoutes)
	for i := range routes {
		routes[i].Timeout = timeout
	}
	q.relay.SetTable(table.New(table.Spec{
		Version: 1, Routes: routes, Services: []table.Service{{Name: "plain"}},
		Organisations: []table.Organisation{{Name: "urgent", Keys: []string{"urgent"}}, {Name: "other", Keys: []string{"other"}, Priority: 2}},
	}))
	f := q.target("t", "plain", always(respond(200, "x")))
	q.roster.Put(roster.Entry{ID: "t", Service: "plain", Address: f.l.Addr().String(), Slots: 1})
	q.roster.Target("t").AddLoad(fullLoad)
	return q
}

// sendWaiting sends a request that has to wait, and returns once it does.
func (q *queueRig) sendWaiting(path, key string, headers ...string) {
	before := q.relay.admission.waiting.Load()
	q.callers.Go(func() { q.send(http.MethodPost, path, "x", append([]string{"Key", key}, headers...)...) })
	q.g.Eventually(q.relay.admission.waiting.Load, waitTimeout, "1ms").Should(gomega.Equal(before + 1))
}

// order returns the organisations of the requests in the order in which the target received them.
func (q *queueRig) order() string {
	q.callers.Wait()
	var out []string
	for _, s := range q.received() {
		out = append(out, s.header.Get("Organisation"))
	}
	return strings.Join(out, " ")
}

// Requests that poll on their own get a free slot by chance, whatever their rank.
func TestFreedCapacityGoesToTheFirstInOrder(t *testing.T) {
	tests := []struct {
		name  string
		off   bool
		order string
	}{
		{"by rank", false, "urgent urgent other other other"},
		{"queue switched off", true, "other other other urgent urgent"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			q := newQueueRig(t)
			q.relay.options.Disabled.Queue = tc.off
			for _, key := range []string{"other", "other", "other", "urgent", "urgent"} {
				q.sendWaiting("/repeatable/", key, "Deadline", "60000")
			}
			q.roster.Target("t").RemoveLoad(roster.Load{Running: 1})
			q.relay.CapacityChanged()
			q.g.Expect(q.order()).To(gomega.Equal(tc.order))
		})
	}
}

// Without reports, a daemon gives a free slot to a request although a more urgent one waits at another.
func TestRequestYieldsToUrgentOneAtAnotherDaemon(t *testing.T) {
	from, to := newQueueRig(t), newQueueRig(t)
	from.sendWaiting("/repeatable/", "urgent", "Deadline", "60000")
	// A short wait is not reported.
	time.Sleep(30 * time.Millisecond)
	raw, err := msgpack.Marshal(QueuePart{from.relay}.Collect(false))
	from.g.Expect(err).NotTo(gomega.HaveOccurred())
	QueuePart{from.relay}.Told()
	QueuePart{to.relay}.Receive("from", raw)
	to.roster.Target("t").RemoveLoad(fullLoad)
	to.sendWaiting("/repeatable/", "other", "Deadline", "60000")
	// The report counts for some time only.
	to.g.Expect(to.order()).To(gomega.Equal("other"))
	to.g.Expect(QueuePart{to.relay}.Collect(false)).NotTo(gomega.BeNil(), "a shortage is reported for some seconds")
	from.roster.Target("t").RemoveLoad(fullLoad)
	from.relay.CapacityChanged()
	from.g.Expect(from.order()).To(gomega.Equal("urgent"))
}

// A caller that has disconnected must not hold a place in the queue.
func TestDisconnectedCallerLeavesQueue(t *testing.T) {
	q := newQueueRig(t)
	q.sendWaiting("/repeatable/", "other")
	q.front.CloseClientConnections()
	q.g.Eventually(q.relay.admission.waiting.Load, waitTimeout, pollInterval).Should(gomega.BeZero())
	q.g.Expect(q.order()).To(gomega.BeEmpty())
}

// A request must not wait until its deadline once it is known that nothing frees capacity.
func TestHopelessRequestIsRejectedEarly(t *testing.T) {
	q := newQueueRigWithTimeout(t, 2*time.Second)
	start := time.Now()
	got := q.send(http.MethodPost, "/once/", "x", "Key", "other", "Deadline", "60000")
	q.g.Expect(got.status).To(gomega.Equal(http.StatusServiceUnavailable))
	q.g.Expect(got.body).To(gomega.ContainSubstring(`"ran":"notRun"`))
	q.g.Expect(got.header.Get("Come-Back")).NotTo(gomega.BeEmpty())
	q.g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 1900*time.Millisecond), "the route's timeout is 2 s")
	q.g.Expect(q.received()).To(gomega.BeEmpty())
}

// Without the queue's estimates, a request waits only as long as it can be on time; it waited until its
// deadline.
func TestQueueSwitchedOffEndsWaitAtObjective(t *testing.T) {
	q := newQueueRig(t)
	q.relay.options.Disabled.Queue = true
	start := time.Now()
	got := q.send(http.MethodPost, "/once/", "x", "Key", "other", "Deadline", "60000")
	q.g.Expect(got.status).To(gomega.Equal(http.StatusServiceUnavailable))
	q.g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 1300*time.Millisecond), "the objective is 1 s")
}

// The clock of timers stops while the box is suspended, so that requests would wait on after their
// deadline.
func TestQueueChecksDeadlinesAfterSuspend(t *testing.T) {
	q := newQueueRigWithTimeout(t, 2*time.Second)
	q.sendWaiting("/repeatable/", "other")
	start := time.Now()
	clock.Suspend(time.Minute)
	q.callers.Wait()
	q.g.Expect(time.Since(start)).To(gomega.BeNumerically("<", time.Second), "the route's timeout is 2 s")
	q.g.Expect(q.relay.admission.waiting.Load()).To(gomega.BeZero())
}

// A daemon at its limits rejects the last request in order, which may have its turn. The turn then went
// to the arriving request before the admission knew it, and the relay panicked.
func TestArrivalDisplacesRequestThatHasItsTurn(t *testing.T) {
	g, now := gomega.NewWithT(t), time.Now()
	a := newAdmission(&Options{})
	a.limits.MaxRequests = 1
	request := queue.Request{Kind: "a", Rank: 1, Work: 1, StartBy: now.Add(time.Minute), LatestStart: now.Add(time.Minute)}
	unchanged := func(*queue.Request) {}
	last := a.register("s", request, now)
	g.Expect(a.enqueue(last, 0, unchanged).Waits).To(gomega.BeTrue())
	a.capacityChanged(true)
	_, hasTurn := a.outcome(last)
	g.Expect(hasTurn).To(gomega.BeTrue())
	request.Kind, request.Rank = "b", 0
	first := a.register("s", request, now)
	g.Expect(a.enqueue(first, a.changes.Load(), unchanged).Waits).To(gomega.BeTrue())
	rejection, _ := a.outcome(last)
	g.Expect(rejection).NotTo(gomega.BeNil())
	_, hasTurn = a.outcome(first)
	g.Expect(hasTurn).To(gomega.BeTrue())
	a.leave(first)
	g.Expect(a.waiting.Load()).To(gomega.BeZero())
}

// A request that was rejected during its turn and found a target all the same may have to wait again
// after a failed attempt. The rejection of its first wait then ended the second one.
func TestRejectionConcernsOneWait(t *testing.T) {
	g, now := gomega.NewWithT(t), time.Now()
	a := newAdmission(&Options{})
	w := a.register("s", queue.Request{Kind: "a", Work: 1, StartBy: now.Add(time.Minute), LatestStart: now.Add(time.Minute)}, now)
	unchanged := func(*queue.Request) {}
	g.Expect(a.enqueue(w, 0, unchanged).Waits).To(gomega.BeTrue())
	a.capacityChanged(true)
	a.queuesMu.Lock()
	w.service.queue.Leave(&w.request, now)
	w.service.reject(queue.Rejection{Request: &w.request, ReturnAt: now}, now)
	a.queuesMu.Unlock()
	a.admit(w, now)
	a.leave(w)
	g.Expect(a.enqueue(w, a.changes.Load(), unchanged).Waits).To(gomega.BeTrue())
	a.leave(w)
}

// Hedges are the first thing to stop in a shortage, but they went on while a request waited without a
// turn because it yielded to those of other daemons.
func TestNoHedgesWhileRequestYields(t *testing.T) {
	q := newQueueRig(t)
	report := queue.Report{Classes: []queue.ClassReport{{Work: 100, FirstWork: 100, DueMillis: 60000}}}
	raw, err := msgpack.Marshal(map[string]*queue.Report{"plain": &report})
	q.g.Expect(err).NotTo(gomega.HaveOccurred())
	QueuePart{q.relay}.Receive("peer", raw)
	q.sendWaiting("/repeatable/", "other", "Deadline", "60000")
	p := &proxiedRequest{relay: q.relay, service: "plain", table: q.relay.Table()}
	q.g.Expect(p.mayHedge(time.Now())).To(gomega.BeFalse())
	q.front.CloseClientConnections()
	q.callers.Wait()
}
