package order

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"embertally.dev/core/event"
	"embertally.dev/core/roster"
	"embertally.dev/core/table"
)

// fakeLeadership is a lease that the test grants and revokes.
type fakeLeadership struct {
	mu      sync.Mutex
	fence   uint64
	refused uint64
}

func (l *fakeLeadership) Held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence > l.refused
}

func (l *fakeLeadership) Act() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence, l.fence > l.refused
}

func (l *fakeLeadership) RecordFenced(fence uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused = max(l.refused, fence)
}

// fakeWorkers executes each order at the next state request.
type fakeWorkers struct {
	mu     sync.Mutex
	states map[string]WorkerState
	orders []WeightOrder
	// verdict overrides the response to an order; nil accepts it.
	verdict    func(n int, o WeightOrder) (Verdict, error)
	running    int
	maxRunning int
}

func (w *fakeWorkers) Order(_ context.Context, _ string, o WeightOrder) (Verdict, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := len(w.orders)
	w.orders = append(w.orders, o)
	if w.verdict != nil {
		if v, err := w.verdict(n, o); v != Accepted || err != nil {
			return v, err
		}
	}
	if st := w.states[o.Target]; st.AcceptedOrders != o.AcceptedBefore {
		return Conflict, nil
	}
	w.states[o.Target] = WorkerState{
		Busy: true, AcceptedOrders: o.AcceptedBefore + 1, Weights: map[string]int64{"m": o.Version},
	}
	w.running++
	w.maxRunning = max(w.maxRunning, w.running)
	return Accepted, nil
}

func (w *fakeWorkers) State(_ context.Context, _, target string) (WorkerState, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	st := w.states[target]
	if st.Busy {
		done := st
		done.Busy = false
		w.states[target] = done
		w.running--
	}
	return st, nil
}

func (w *fakeWorkers) sentOrders() []WeightOrder {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]WeightOrder(nil), w.orders...)
}

// fakeObserver records the notifications of updates, in order.
type fakeObserver struct {
	mu     sync.Mutex
	events []string
}

func (o *fakeObserver) UpdateStarted(t *roster.Target, _ string, _ time.Duration) {
	o.record("started " + t.ID())
}

func (o *fakeObserver) UpdateEnded(t *roster.Target, _ string, version int64) {
	o.record(fmt.Sprintf("ended %s %d", t.ID(), version))
}

func (o *fakeObserver) record(what string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.events = append(o.events, what)
}

func (o *fakeObserver) all() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]string(nil), o.events...)
}

type testUpdater struct {
	g          *gomega.WithT
	workers    *fakeWorkers
	leadership *fakeLeadership
	roster     *roster.Roster
	updater    *WeightUpdater
	// observer is notified of updates.
	observer      *fakeObserver
	desired       atomic.Int64
	notifications atomic.Int64
}

func newTestUpdater(t *testing.T, n int) *testUpdater {
	return newTestUpdaterWith(t, n, func(*WeightUpdaterOptions) {})
}

// newTestUpdaterWith is newTestUpdater with changed options.
func newTestUpdaterWith(t *testing.T, n int, change func(*WeightUpdaterOptions)) *testUpdater {
	r := &testUpdater{
		g: gomega.NewWithT(t), workers: &fakeWorkers{states: map[string]WorkerState{}},
		leadership: &fakeLeadership{fence: 7}, observer: &fakeObserver{},
	}
	r.desired.Store(2)
	r.roster = roster.New(&event.Log{}, nil)
	for i := range n {
		id := fmt.Sprintf("w%02d", i)
		r.roster.Put(roster.Entry{ID: id, Service: "llm", Address: id, Weights: map[string]int64{"m": 1}})
		r.workers.states[id] = WorkerState{Weights: map[string]int64{"m": 1}}
	}
	tbl := table.New(table.Spec{Services: []table.Service{{Name: "llm", Engine: &table.Engine{Models: []string{"m"}}}}})
	o := WeightUpdaterOptions{
		Name: "me", Leaderships: []Leadership{r.leadership}, Client: r.workers, Roster: r.roster,
		Table: func() *table.Table { return tbl }, Desired: func(string) int64 { return r.desired.Load() },
		Notify: func() { r.notifications.Add(1) }, Observer: r.observer, Log: &event.Log{},
	}
	change(&o)
	r.updater = NewWeightUpdater(o)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { r.updater.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return r
}

func (r *testUpdater) outdated() int {
	n := 0
	for _, t := range r.roster.ByService("llm") {
		if t.Entry().Weights["m"] < r.desired.Load() {
			n++
		}
	}
	return n
}

func TestAllWorkersGetTheDesiredWeightsAFewAtATime(t *testing.T) {
	r := newTestUpdater(t, 9)
	r.g.Expect(r.updater.HasOutdated(0)).To(gomega.BeTrue())
	r.g.Eventually(r.outdated, "30s", "10ms").Should(gomega.BeZero())
	r.g.Expect(r.updater.HasOutdated(0)).To(gomega.BeFalse())
	sent := r.workers.sentOrders()
	r.g.Expect(sent).To(gomega.HaveLen(9))
	for _, o := range sent {
		r.g.Expect(o.Fence).To(gomega.Equal(uint64(7)))
		r.g.Expect(o.AcceptedBefore).To(gomega.BeZero())
	}
	r.workers.mu.Lock()
	defer r.workers.mu.Unlock()
	r.g.Expect(r.workers.maxRunning).To(gomega.BeNumerically("<=", 3))
}

func TestEachUpdateNotifiesOtherDaemonsAtStartAndEnd(t *testing.T) {
	r := newTestUpdater(t, 3)
	r.g.Eventually(r.outdated, "30s", "10ms").Should(gomega.BeZero())
	r.g.Eventually(r.notifications.Load, "30s", "10ms").Should(gomega.Equal(int64(6)))
}

// The daemons that use the worker must be notified before the order is sent.
func TestTheObserverIsNotifiedOfEachUpdate(t *testing.T) {
	r := newTestUpdater(t, 1)
	r.workers.mu.Lock()
	r.workers.verdict = func(int, WeightOrder) (Verdict, error) {
		if len(r.observer.all()) == 0 {
			return 0, errors.New("the observer was not notified")
		}
		return Accepted, nil
	}
	r.workers.mu.Unlock()
	r.g.Eventually(r.outdated, "30s", "10ms").Should(gomega.BeZero())
	r.g.Eventually(r.observer.all, "30s", "10ms").Should(gomega.ContainElement("ended w00 2"))
	events := r.observer.all()
	r.g.Expect(events[0]).To(gomega.Equal("started w00"))
	r.g.Expect(r.workers.sentOrders()).To(gomega.HaveLen(1), "the first order was accepted")
}

func TestWithoutTheLeaseNoOrderIsSent(t *testing.T) {
	r := newTestUpdater(t, 2)
	r.g.Eventually(r.outdated, "30s", "10ms").Should(gomega.BeZero())
	sent := len(r.workers.sentOrders())
	r.leadership.RecordFenced(7)
	r.desired.Store(3)
	r.g.Consistently(func() int { return len(r.workers.sentOrders()) }, "500ms", "20ms").Should(gomega.Equal(sent))
}

func TestAnOrderWithoutResponseIsSentAgainAndCountsOnce(t *testing.T) {
	r := newTestUpdater(t, 1)
	r.workers.mu.Lock()
	r.workers.verdict = func(n int, _ WeightOrder) (Verdict, error) {
		if n == 0 {
			return 0, errors.New("no response")
		}
		return Accepted, nil
	}
	r.workers.mu.Unlock()
	r.g.Eventually(r.outdated, "30s", "10ms").Should(gomega.BeZero())
	r.g.Expect(r.workers.sentOrders()).To(gomega.HaveLen(2))
	// The first one, executed late, would find that the worker has accepted another.
	v, err := r.workers.Order(context.Background(), "w00", r.workers.sentOrders()[0])
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.g.Expect(v).To(gomega.Equal(Conflict))
}

func TestAFencedHolderStops(t *testing.T) {
	r := newTestUpdater(t, 3)
	r.workers.mu.Lock()
	r.workers.verdict = func(int, WeightOrder) (Verdict, error) { return Fenced, nil }
	r.workers.mu.Unlock()
	r.g.Eventually(r.leadership.Held, "30s", "10ms").Should(gomega.BeFalse())
	r.g.Eventually(func() int {
		r.updater.updatesMu.Lock()
		defer r.updater.updatesMu.Unlock()
		return len(r.updater.updates)
	}, "30s", "10ms").Should(gomega.BeZero())
	r.g.Expect(len(r.workers.sentOrders())).To(gomega.BeNumerically("<=", 3))
}

// With a service sharded by cell, the holder of a cell's lease sends orders only to the workers of
// the cell, under that lease.
func TestACellSendsOrdersToItsOwnWorkers(t *testing.T) {
	inCell := func(name, _ string) bool { return name < "w04" }
	cell := &fakeLeadership{fence: 9}
	r := newTestUpdaterWith(t, 9, func(o *WeightUpdaterOptions) {
		o.Sharded, o.InOwnCell = func(string) bool { return true }, inCell
		o.CellLeadership = func() Leadership { return cell }
	})
	outdated := func() (local, remote int) {
		for _, t := range r.roster.ByService("llm") {
			switch {
			case t.Entry().Weights["m"] >= r.desired.Load():
			case inCell(t.ID(), ""):
				local++
			default:
				remote++
			}
		}
		return local, remote
	}
	r.g.Expect(r.updater.CellHasOutdated()).To(gomega.BeTrue())
	r.g.Expect(r.updater.HasOutdated(0)).To(gomega.BeFalse(),
		"the partitions are for services that are not sharded by cell")
	r.g.Eventually(func() int { local, _ := outdated(); return local }, "30s", "10ms").Should(gomega.BeZero())
	r.g.Expect(r.updater.CellHasOutdated()).To(gomega.BeFalse())
	_, remote := outdated()
	r.g.Expect(remote).To(gomega.Equal(5))
	for _, o := range r.workers.sentOrders() {
		r.g.Expect(inCell(o.Target, "")).To(gomega.BeTrue())
		r.g.Expect(o.Fence).To(gomega.Equal(uint64(9)))
	}
}

// Checks run many times a second. They query once per service whether it is sharded, and do not
// visit the workers of services that are not selected.
func TestTheCostOfChecksDoesNotGrowWithTheWorkers(t *testing.T) {
	const workers = 500
	shardQueries, cellQueries := 0, 0
	r := newTestUpdaterWith(t, workers, func(o *WeightUpdaterOptions) {
		o.Sharded = func(string) bool { shardQueries++; return true }
		o.InOwnCell = func(string, string) bool { cellQueries++; return true }
		o.CellLeadership = func() Leadership { return nil }
		// The updater's own loop must not count.
		o.Leaderships = []Leadership{&fakeLeadership{}}
	})
	r.g.Expect(r.updater.HasOutdated(0)).To(gomega.BeFalse())
	r.g.Expect([]int{shardQueries, cellQueries}).To(gomega.Equal([]int{1, 0}))
	r.updater.updatesMu.Lock()
	defer r.updater.updatesMu.Unlock()
	shardQueries = 0
	r.updater.progress(&table.Service{Name: "llm", Engine: &table.Engine{Models: []string{"m"}}}, "m", 2, time.Now())
	r.g.Expect(shardQueries).To(gomega.Equal(1))
}

// A daemon without its cell's lease sends no orders.
func TestNoOrdersWithoutTheLeaseOfTheCell(t *testing.T) {
	r := newTestUpdaterWith(t, 3, func(o *WeightUpdaterOptions) {
		o.Sharded, o.InOwnCell = func(string) bool { return true }, func(string, string) bool { return true }
		o.CellLeadership = func() Leadership { return nil }
	})
	r.g.Expect(r.updater.CellHasOutdated()).To(gomega.BeTrue())
	r.g.Consistently(r.workers.sentOrders, "700ms", "50ms").Should(gomega.BeEmpty())
}

func TestTheOldestWeightsAreUpdatedFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	ros := roster.New(&event.Log{}, nil)
	for i, v := range []int64{2, 1, 2, 1, 1, 1} {
		ros.Put(roster.Entry{ID: fmt.Sprint(i), Service: "llm", Weights: map[string]int64{"m": v}})
	}
	s := NewWeightUpdater(WeightUpdaterOptions{
		Leaderships: []Leadership{&fakeLeadership{fence: 1}}, Roster: ros, Log: &event.Log{},
		Desired: func(string) int64 { return 3 },
	})
	for _, j := range s.startableOf(&table.Service{Name: "llm", Engine: &table.Engine{Models: []string{"m"}}}, "m") {
		g.Expect(j.target.Entry().Weights["m"]).To(gomega.Equal(int64(1)))
	}
	g.Expect(time.Duration(updateTimeout)).To(gomega.BeNumerically(">", 3*time.Second))
}

// A restarted worker counts its orders from zero: the state of its former incarnation is not used
// for an order.
func TestARestartedWorkerGetsNoOrderOfItsFormerIncarnation(t *testing.T) {
	r := newTestUpdater(t, 1)
	r.g.Eventually(r.outdated, "30s", "10ms").Should(gomega.BeZero())
	sent := len(r.workers.sentOrders())
	r.workers.mu.Lock()
	r.workers.states["w00"] = WorkerState{Incarnation: "w00@2", Weights: map[string]int64{"m": 1}}
	r.workers.mu.Unlock()
	r.desired.Store(3)
	r.g.Eventually(func() *roster.Target { return r.roster.Target("w00") }, "30s", "10ms").Should(gomega.BeNil())
	r.g.Expect(r.workers.sentOrders()).To(gomega.HaveLen(sent))
	r.workers.mu.Lock()
	r.workers.states["w00@2"] = WorkerState{Incarnation: "w00@2", Weights: map[string]int64{"m": 1}}
	r.workers.mu.Unlock()
	r.roster.Put(roster.Entry{ID: "w00@2", Name: "w00", Service: "llm", Address: "w00", Weights: map[string]int64{"m": 1}})
	r.g.Eventually(r.outdated, "30s", "10ms").Should(gomega.BeZero())
	last := r.workers.sentOrders()[sent]
	r.g.Expect(last.Target).To(gomega.Equal("w00@2"))
	r.g.Expect(last.AcceptedBefore).To(gomega.BeZero())
}

// A daemon without any lease does not visit the workers.
func TestWithoutAnyLeaseNoWorkerIsVisited(t *testing.T) {
	r := newTestUpdater(t, 1)
	r.g.Eventually(r.outdated, "30s", "10ms").Should(gomega.BeZero())
	r.g.Expect(r.updater.isLeader()).To(gomega.BeTrue())
	r.leadership.RecordFenced(7)
	r.g.Expect(r.updater.isLeader()).To(gomega.BeFalse())
	r.desired.Store(3)
	r.g.Expect(r.updater.startable()).To(gomega.BeEmpty())
}

func TestAnOrderThatIsSentAgainIsForTheNewestWeights(t *testing.T) {
	r := newTestUpdaterWith(t, 1, func(*WeightUpdaterOptions) {})
	r.workers.mu.Lock()
	r.workers.verdict = func(n int, _ WeightOrder) (Verdict, error) {
		if n == 0 {
			r.desired.Store(3)
			return Accepted, errors.New("the response is lost")
		}
		return Accepted, nil
	}
	r.workers.mu.Unlock()
	r.g.Eventually(r.outdated, "30s", "10ms").Should(gomega.BeZero())
	orders := r.workers.sentOrders()
	r.g.Expect(orders[0].Version).To(gomega.Equal(int64(2)))
	for _, o := range orders[1:] {
		r.g.Expect(o.Version).To(gomega.Equal(int64(3)))
	}
}

func TestTargetsWithoutWeightsDoNotCountAsWorkersOfAPlainService(t *testing.T) {
	g := gomega.NewWithT(t)
	ros := roster.New(&event.Log{}, nil)
	for i := range 30 {
		e := roster.Entry{ID: fmt.Sprint(i), Service: "app"}
		if i < 3 {
			e.Weights = map[string]int64{"m": 1}
		}
		ros.Put(e)
	}
	s := NewWeightUpdater(WeightUpdaterOptions{
		Leaderships: []Leadership{&fakeLeadership{fence: 1}}, Roster: ros, Log: &event.Log{},
		Desired: func(string) int64 { return 2 },
	})
	s.updatesMu.Lock()
	defer s.updatesMu.Unlock()
	pr := s.progress(&table.Service{Name: "app"}, "m", 2, time.Now())
	g.Expect(pr.workers).To(gomega.Equal(3))
}
