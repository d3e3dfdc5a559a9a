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

// fakeRight is a right that a test gives and takes.
type fakeRight struct {
	mu      sync.Mutex
	fence   uint64
	refused uint64
}

func (r *fakeRight) Held() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fence > r.refused
}

func (r *fakeRight) Act() (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fence, r.fence > r.refused
}

func (r *fakeRight) Refused(fence uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused = max(r.refused, fence)
}

// fakeWorkers carries out orders at the next report.
type fakeWorkers struct {
	mu     sync.Mutex
	states map[string]WorkerState
	orders []WeightOrder
	// verdict decides about an order; nil takes it.
	verdict func(n int, o WeightOrder) (Verdict, error)
	running int
	most    int
}

func (w *fakeWorkers) Order(_ context.Context, _ string, o WeightOrder) (Verdict, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := len(w.orders)
	w.orders = append(w.orders, o)
	if w.verdict != nil {
		if v, err := w.verdict(n, o); v != Taken || err != nil {
			return v, err
		}
	}
	if st := w.states[o.Target]; st.Orders != o.After {
		return Conflict, nil
	}
	w.states[o.Target] = WorkerState{Busy: true, Orders: o.After + 1, Weights: map[string]int64{"m": o.Version}}
	w.running++
	w.most = max(w.most, w.running)
	return Taken, nil
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

func (w *fakeWorkers) given() []WeightOrder {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]WeightOrder(nil), w.orders...)
}

// swapRig is a swapper before fake workers.
// fakeAudience records what it hears of swaps, in order.
type fakeAudience struct {
	mu    sync.Mutex
	heard []string
}

func (a *fakeAudience) UpdateStarted(t *roster.Target, _ string, _ time.Duration) {
	a.hear("began " + t.ID())
}

func (a *fakeAudience) UpdateEnded(t *roster.Target, _ string, version int64) {
	a.hear(fmt.Sprintf("ended %s %d", t.ID(), version))
}

func (a *fakeAudience) hear(what string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.heard = append(a.heard, what)
}

func (a *fakeAudience) all() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.heard...)
}

type swapRig struct {
	g       *gomega.WithT
	workers *fakeWorkers
	right   *fakeRight
	roster  *roster.Roster
	swapper *Swapper
	// audience is told of swaps.
	audience *fakeAudience
	named    atomic.Int64
	changes  atomic.Int64
}

func newSwapRig(t *testing.T, n int) *swapRig { return newSwapRigWith(t, n, func(*SwapOptions) {}) }

// newSwapRigWith is newSwapRig with options changed.
func newSwapRigWith(t *testing.T, n int, change func(*SwapOptions)) *swapRig {
	r := &swapRig{g: gomega.NewWithT(t), workers: &fakeWorkers{states: map[string]WorkerState{}}, right: &fakeRight{fence: 7}, audience: &fakeAudience{}}
	r.named.Store(2)
	r.roster = roster.New(&event.Log{}, nil)
	for i := range n {
		id := fmt.Sprintf("w%02d", i)
		r.roster.Put(roster.Entry{ID: id, Service: "llm", Address: id, Weights: map[string]int64{"m": 1}})
		r.workers.states[id] = WorkerState{Weights: map[string]int64{"m": 1}}
	}
	tbl := table.New(table.Spec{Services: []table.Service{{Name: "llm", Engine: &table.Engine{Models: []string{"m"}}}}})
	o := SwapOptions{
		Name: "me", Rights: []Right{r.right}, Commander: r.workers, Roster: r.roster,
		Table: func() *table.Table { return tbl }, Named: func(string) int64 { return r.named.Load() },
		Changed: func() { r.changes.Add(1) }, Audience: r.audience, Log: &event.Log{},
	}
	change(&o)
	r.swapper = NewSwapper(o)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { r.swapper.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return r
}

func (r *swapRig) behind() int {
	n := 0
	for _, t := range r.roster.ByService("llm") {
		if t.Entry().Weights["m"] < r.named.Load() {
			n++
		}
	}
	return n
}

func TestAllWorkersGetTheNamedWeightsAFewAtATime(t *testing.T) {
	r := newSwapRig(t, 9)
	r.g.Expect(r.swapper.Wanted(0)).To(gomega.BeTrue())
	r.g.Eventually(r.behind, "30s", "10ms").Should(gomega.BeZero())
	r.g.Expect(r.swapper.Wanted(0)).To(gomega.BeFalse())
	given := r.workers.given()
	r.g.Expect(given).To(gomega.HaveLen(9))
	for _, o := range given {
		r.g.Expect(o.Fence).To(gomega.Equal(uint64(7)))
		r.g.Expect(o.After).To(gomega.BeZero())
	}
	r.workers.mu.Lock()
	defer r.workers.mu.Unlock()
	r.g.Expect(r.workers.most).To(gomega.BeNumerically("<=", 3))
}

func TestOtherDaemonsHearAtOnceOfTheBeginAndEndOfEachSwap(t *testing.T) {
	r := newSwapRig(t, 3)
	r.g.Eventually(r.behind, "30s", "10ms").Should(gomega.BeZero())
	r.g.Eventually(r.changes.Load, "30s", "10ms").Should(gomega.Equal(int64(6)))
}

// The daemons that use the worker must have heard before the order is given.
func TestTheAudienceHearsOfEachSwap(t *testing.T) {
	r := newSwapRig(t, 1)
	r.workers.mu.Lock()
	r.workers.verdict = func(int, WeightOrder) (Verdict, error) {
		if len(r.audience.all()) == 0 {
			return 0, errors.New("nobody has heard of it")
		}
		return Taken, nil
	}
	r.workers.mu.Unlock()
	r.g.Eventually(r.behind, "30s", "10ms").Should(gomega.BeZero())
	r.g.Eventually(r.audience.all, "30s", "10ms").Should(gomega.ContainElement("ended w00 2"))
	heard := r.audience.all()
	r.g.Expect(heard[0]).To(gomega.Equal("began w00"))
	r.g.Expect(r.workers.given()).To(gomega.HaveLen(1), "the first order was taken")
}

func TestWithoutTheRightNoOrderIsGiven(t *testing.T) {
	r := newSwapRig(t, 2)
	r.g.Eventually(r.behind, "30s", "10ms").Should(gomega.BeZero())
	given := len(r.workers.given())
	r.right.Refused(7)
	r.named.Store(3)
	r.g.Consistently(func() int { return len(r.workers.given()) }, "500ms", "20ms").Should(gomega.Equal(given))
}

func TestAnOrderWithoutAnswerIsGivenAgainAndCountsOnce(t *testing.T) {
	r := newSwapRig(t, 1)
	r.workers.mu.Lock()
	r.workers.verdict = func(n int, _ WeightOrder) (Verdict, error) {
		if n == 0 {
			return 0, errors.New("no answer")
		}
		return Taken, nil
	}
	r.workers.mu.Unlock()
	r.g.Eventually(r.behind, "30s", "10ms").Should(gomega.BeZero())
	r.g.Expect(r.workers.given()).To(gomega.HaveLen(2))
	// The first one, carried out late, would find that the worker has taken
	// another.
	v, err := r.workers.Order(context.Background(), "w00", r.workers.given()[0])
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.g.Expect(v).To(gomega.Equal(Conflict))
}

func TestAFencedHolderStops(t *testing.T) {
	r := newSwapRig(t, 3)
	r.workers.mu.Lock()
	r.workers.verdict = func(int, WeightOrder) (Verdict, error) { return Fenced, nil }
	r.workers.mu.Unlock()
	r.g.Eventually(r.right.Held, "30s", "10ms").Should(gomega.BeFalse())
	r.g.Eventually(func() int {
		r.swapper.swapMu.Lock()
		defer r.swapper.swapMu.Unlock()
		return len(r.swapper.jobs)
	}, "30s", "10ms").Should(gomega.BeZero())
	r.g.Expect(len(r.workers.given())).To(gomega.BeNumerically("<=", 3))
}

// Where the cells divide the workers, the holder of a cell's right gives orders to those of the cell
// only, under that right.
func TestACellOrdersItsOwnWorkers(t *testing.T) {
	own := func(name, _ string) bool { return name < "w04" }
	cell := &fakeRight{fence: 9}
	r := newSwapRigWith(t, 9, func(o *SwapOptions) {
		o.Divided, o.Uses = func(string) bool { return true }, own
		o.Cell = func() Right { return cell }
	})
	behind := func() (mine, others int) {
		for _, t := range r.roster.ByService("llm") {
			switch {
			case t.Entry().Weights["m"] >= r.named.Load():
			case own(t.ID(), ""):
				mine++
			default:
				others++
			}
		}
		return mine, others
	}
	r.g.Expect(r.swapper.CellWanted()).To(gomega.BeTrue())
	r.g.Expect(r.swapper.Wanted(0)).To(gomega.BeFalse(), "the parts are for workers that are not divided")
	r.g.Eventually(func() int { mine, _ := behind(); return mine }, "30s", "10ms").Should(gomega.BeZero())
	r.g.Expect(r.swapper.CellWanted()).To(gomega.BeFalse())
	_, others := behind()
	r.g.Expect(others).To(gomega.Equal(5))
	for _, o := range r.workers.given() {
		r.g.Expect(own(o.Target, "")).To(gomega.BeTrue())
		r.g.Expect(o.Fence).To(gomega.Equal(uint64(9)))
	}
}

// Looks for work come many times a second: they ask once for each service whether it is divided, and
// do not look at the workers of services that are not meant.
func TestLooksForOrdersDoNotGrowWithTheWorkers(t *testing.T) {
	const workers = 500
	asked, used := 0, 0
	r := newSwapRigWith(t, workers, func(o *SwapOptions) {
		o.Divided = func(string) bool { asked++; return true }
		o.Uses = func(string, string) bool { used++; return true }
		o.Cell = func() Right { return nil }
		// Its loop is not to count.
		o.Rights = []Right{&fakeRight{}}
	})
	r.g.Expect(r.swapper.Wanted(0)).To(gomega.BeFalse())
	r.g.Expect([]int{asked, used}).To(gomega.Equal([]int{1, 0}))
	r.swapper.swapMu.Lock()
	defer r.swapper.swapMu.Unlock()
	asked = 0
	r.swapper.progress("llm", "m", 2, time.Now())
	r.g.Expect(asked).To(gomega.Equal(1))
}

// A daemon that is not in the cell of any right gives no orders.
func TestNoOrdersWithoutTheRightOfTheCell(t *testing.T) {
	r := newSwapRigWith(t, 3, func(o *SwapOptions) {
		o.Divided, o.Uses = func(string) bool { return true }, func(string, string) bool { return true }
		o.Cell = func() Right { return nil }
	})
	r.g.Expect(r.swapper.CellWanted()).To(gomega.BeTrue())
	r.g.Consistently(r.workers.given, "700ms", "50ms").Should(gomega.BeEmpty())
}

func TestTheOldestWeightsComeFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	ros := roster.New(&event.Log{}, nil)
	for i, v := range []int64{2, 1, 2, 1, 1, 1} {
		ros.Put(roster.Entry{ID: fmt.Sprint(i), Service: "llm", Weights: map[string]int64{"m": v}})
	}
	s := NewSwapper(SwapOptions{
		Rights: []Right{&fakeRight{fence: 1}}, Roster: ros, Log: &event.Log{},
		Named: func(string) int64 { return 3 },
	})
	for _, j := range s.nextOf("llm", "m") {
		g.Expect(j.target.Entry().Weights["m"]).To(gomega.Equal(int64(1)))
	}
	g.Expect(time.Duration(jobLimit)).To(gomega.BeNumerically(">", 3*time.Second))
}

// A worker that has started again counts its orders anew: what was found out about its
// former run is not used for an order.
func TestAWorkerThatStartedAgainGetsNoOrderOfItsFormerRun(t *testing.T) {
	r := newSwapRig(t, 1)
	r.g.Eventually(r.behind, "30s", "10ms").Should(gomega.BeZero())
	given := len(r.workers.given())
	r.workers.mu.Lock()
	r.workers.states["w00"] = WorkerState{Run: "w00@2", Weights: map[string]int64{"m": 1}}
	r.workers.mu.Unlock()
	r.named.Store(3)
	r.g.Eventually(func() *roster.Target { return r.roster.Target("w00") }, "30s", "10ms").Should(gomega.BeNil())
	r.g.Expect(r.workers.given()).To(gomega.HaveLen(given))
	r.workers.mu.Lock()
	r.workers.states["w00@2"] = WorkerState{Run: "w00@2", Weights: map[string]int64{"m": 1}}
	r.workers.mu.Unlock()
	r.roster.Put(roster.Entry{ID: "w00@2", Name: "w00", Service: "llm", Address: "w00", Weights: map[string]int64{"m": 1}})
	r.g.Eventually(r.behind, "30s", "10ms").Should(gomega.BeZero())
	last := r.workers.given()[given]
	r.g.Expect(last.Target).To(gomega.Equal("w00@2"))
	r.g.Expect(last.After).To(gomega.BeZero())
}

// A daemon without any right does not look at the workers.
func TestWithoutAnyRightNoWorkerIsLookedAt(t *testing.T) {
	r := newSwapRig(t, 1)
	r.g.Eventually(r.behind, "30s", "10ms").Should(gomega.BeZero())
	r.g.Expect(r.swapper.holds()).To(gomega.BeTrue())
	r.right.Refused(7)
	r.g.Expect(r.swapper.holds()).To(gomega.BeFalse())
	r.named.Store(3)
	r.g.Expect(r.swapper.next()).To(gomega.BeEmpty())
}
