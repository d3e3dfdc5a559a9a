package relay

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/clock"
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

func newQueueRig(t *testing.T) *queueRig {
	q := &queueRig{rig: newRig(t, nil)}
	q.relay.SetTable(table.New(table.Spec{
		Version: 1, Routes: testRoutes, Services: []table.Service{{Name: "plain"}},
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
	q := newQueueRig(t)
	start := time.Now()
	got := q.send(http.MethodPost, "/once/", "x", "Key", "other", "Deadline", "60000")
	q.g.Expect(got.status).To(gomega.Equal(http.StatusServiceUnavailable))
	q.g.Expect(got.body).To(gomega.ContainSubstring(`"ran":"notRun"`))
	q.g.Expect(got.header.Get("Come-Back")).NotTo(gomega.BeEmpty())
	q.g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 1900*time.Millisecond), "the route's timeout is 2 s")
	q.g.Expect(q.received()).To(gomega.BeEmpty())
}

// The clock of timers stops while the box is suspended, so that requests would wait on after their
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

// deadline.
func TestQueueChecksDeadlinesAfterSuspend(t *testing.T) {
	q := newQueueRig(t)
	q.sendWaiting("/repeatable/", "other")
	start := time.Now()
	clock.Suspend(time.Minute)
	q.callers.Wait()
	q.g.Expect(time.Since(start)).To(gomega.BeNumerically("<", time.Second), "the route's timeout is 2 s")
	q.g.Expect(q.relay.admission.waiting.Load()).To(gomega.BeZero())
}
