package order

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"embertally.dev/core/roster"
)

// busyWorker is a worker that first finishes its runs when it gets an order, until finish is set.
type busyWorker struct {
	orders atomic.Int64
	finish atomic.Bool
	// mute is how many of the following state requests it does not answer.
	mute atomic.Int64
	// stall is for how long the update stands still in the next state request, past the request's own time.
	stall atomic.Int64
}

func (w *busyWorker) Order(context.Context, string, WeightOrder) (Verdict, error) {
	if w.orders.Add(1) > 1 {
		return Conflict, nil
	}
	return Accepted, nil
}

func (w *busyWorker) State(ctx context.Context, _, _ string) (WorkerState, error) {
	time.Sleep(time.Duration(w.stall.Swap(0)))
	switch {
	case w.mute.Load() > 0:
		w.mute.Add(-1)
		<-ctx.Done()
		return WorkerState{}, errors.WithStack(ctx.Err())
	case w.orders.Load() == 0:
		return WorkerState{Weights: map[string]int64{"m": 1}}, nil
	case w.finish.Load():
		return WorkerState{AcceptedOrders: 1, Weights: map[string]int64{"m": 2}}, nil
	}
	return WorkerState{Busy: true, AcceptedOrders: 1, Weights: map[string]int64{"m": 1}}, nil
}

// An update was given up, and the worker got requests again, while it still finished its runs and rejected all others. It got
// them also after its daemon had not run for as long as the worker was marked.
func TestAWorkerGetsNoRequestsWhileItCarriesOutAnOrder(t *testing.T) {
	tests := []struct {
		name string
		// runs is how long its runs take after the order, and mute how many state requests it does not answer meanwhile.
		runs time.Duration
		mute int64
		// stall is for how long the update stands still meanwhile.
		stall time.Duration
	}{
		{"short runs", time.Second, 0, 0},
		{"runs that are longer than an update may take without a sign of life", updateTimeout + 3*time.Second, 0, 0},
		{"answers of its state are lost", 2 * initialMarkTime, stateTries - 1, 0},
		{"the daemon stands still", 2 * initialMarkTime, 0, 2 * markTime},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			w := &busyWorker{}
			r := newTestUpdaterWith(t, 1, func(o *WeightUpdaterOptions) { o.Client = w })
			r.g.Eventually(w.orders.Load, "30s", "5ms").Should(gomega.Equal(int64(1)))
			time.AfterFunc(initialMarkTime, func() {
				w.mute.Store(tc.mute)
				w.stall.Store(int64(tc.stall))
			})
			admit := func() roster.UnavailabilityReason { return r.roster.Admit(r.roster.Target("w00"), roster.Permit{}) }
			r.g.Consistently(admit, tc.runs, "5ms").Should(gomega.Equal(roster.UpdatingWeights))
			w.finish.Store(true)
			r.g.Eventually(admit, "30s", "5ms").Should(gomega.Equal(roster.Available))
			r.g.Expect(r.outdated()).To(gomega.BeZero())
			r.g.Expect(w.orders.Load()).To(gomega.Equal(int64(1)))
		})
	}
}
