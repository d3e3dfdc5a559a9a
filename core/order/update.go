package order

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/event"
	"embertally.dev/core/roster"
	"embertally.dev/core/wait"
)

// Times and limits of one weight update.
const (
	// announceLead is how long before the order the other daemons are notified
	// of it, so that they send the worker no more requests: a heartbeat sent at
	// once takes some 10 ms, and a lost packet is sent again within 40 ms.
	announceLead = 80 * time.Millisecond
	// orderTimeout bounds one order or state request; workers respond in
	// milliseconds.
	orderTimeout = 700 * time.Millisecond
	// pollInterval spaces the state requests to a worker that is loading. Each
	// costs as much as a health check.
	pollInterval = 150 * time.Millisecond
	// reorderAfter is how long an order without a response may take to show in the
	// worker's state before it is sent again.
	reorderAfter = 900 * time.Millisecond
	// updateTimeout is how long an update goes on without the worker reporting that it carries out the order. The
	// worker first finishes its requests, however long they run, and a load takes about a second, longer while many
	// load.
	updateTimeout = 9 * time.Second
	// initialMarkTime is how long peers mark a worker as about to change its
	// weights from the start of its update, and markTime from each state
	// request on. EndUpdate removes the mark sooner; these times bound it if this
	// daemon is lost.
	initialMarkTime = updateTimeout / 3
	markTime        = time.Second
	// remoteMarkTime is how long other cells mark a worker as about to change
	// its weights after a notification, and notifyInterval the time until the
	// next one: one message may be lost.
	remoteMarkTime = 1500 * time.Millisecond
	notifyInterval = 600 * time.Millisecond
	// stateTries bounds the attempts to request the state before the update fails.
	stateTries = 3
	// leadershipPoll and maxLeadershipPolls bound the wait for a renewal of the
	// lease.
	leadershipPoll     = 50 * time.Millisecond
	maxLeadershipPolls = 12
)

// weightUpdate is the weight update of one worker.
type weightUpdate struct {
	updater *WeightUpdater
	target  *roster.Target
	model   string
	version int64
	// ordered is when the order was last sent; zero before.
	ordered time.Time
	// busy is when the worker last reported that it carries out an order, or when the update started.
	busy time.Time
	// notified is when the observer was last notified that the update is in
	// progress.
	notified time.Time
	// state is the worker's last reported state.
	state WorkerState
}

// run executes the update and records its result.
func (u *weightUpdate) run(ctx context.Context) {
	s, id := u.updater, u.target.ID()
	u.busy = time.Now()
	s.o.Roster.HoldUpdate(id)
	s.o.Roster.BeginUpdate(id, u.busy.Add(initialMarkTime))
	s.o.Notify()
	u.notifyProgress()
	err := u.execute(ctx)
	s.o.Roster.EndUpdate(id)
	defer s.o.Notify()
	s.updatesMu.Lock()
	defer s.updatesMu.Unlock()
	delete(s.updates, id)
	if err != nil {
		s.retryAt[id] = time.Now().Add(retryDelay)
		s.o.Log.Emit(event.OrderRejected, event.Ref{Target: id}, fmt.Sprintf("%s version %d: %v", u.model, u.version, err))
		return
	}
	delete(s.retryAt, id)
	s.o.Roster.RecordVersion(id, u.model, u.version)
	if s.o.Observer != nil {
		s.o.Observer.UpdateEnded(u.target, u.model, u.version)
	}
}

// notifyProgress notifies the observer, every notifyInterval, that the update
// is in progress.
func (u *weightUpdate) notifyProgress() {
	if u.updater.o.Observer == nil || time.Since(u.notified) < notifyInterval {
		return
	}
	u.notified = time.Now()
	u.updater.o.Observer.UpdateStarted(u.target, u.model, remoteMarkTime)
}

// Reasons why an update failed.
var (
	errNoLeadership     = errors.New("the lease for sending orders was lost")
	errTimeout          = errors.New("the worker did not finish in time")
	errOtherIncarnation = errors.New("another incarnation of the worker responds")
)

// execute sends the order and waits until the worker has loaded the weights.
func (u *weightUpdate) execute(ctx context.Context) error {
	wait.For(ctx, announceLead)
	if err := u.pollState(ctx); err != nil {
		return err
	}
	for u.state.Weights[u.model] < u.version || u.state.Busy {
		if ctx.Err() != nil || time.Since(u.busy) > updateTimeout {
			return errTimeout
		}
		if u.orderDue() {
			u.version = max(u.version, u.updater.o.Desired(u.model))
			if err := u.sendOrder(ctx); err != nil {
				return err
			}
		}
		wait.For(ctx, pollInterval)
		if err := u.pollState(ctx); err != nil && ctx.Err() == nil {
			return err
		}
	}
	return nil
}

// orderDue reports whether the order is to be sent now.
func (u *weightUpdate) orderDue() bool {
	return !u.state.Busy && u.state.Weights[u.model] < u.version && time.Since(u.ordered) > reorderAfter
}

// pollState requests the worker's state, and marks the worker meanwhile. Responses may be lost.
func (u *weightUpdate) pollState(ctx context.Context) error {
	var err error
	for range stateTries {
		u.updater.o.Roster.BeginUpdate(u.target.ID(), time.Now().Add(markTime))
		u.notifyProgress()
		tryCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		var st WorkerState
		st, err = u.updater.o.Client.State(tryCtx, u.target.Entry().Address, u.target.ID())
		cancel()
		if err == nil && st.Incarnation != "" && st.Incarnation != u.target.ID() {
			u.updater.o.Roster.RecordReplaced(u.target.ID())
			return errOtherIncarnation
		}
		if err == nil {
			if u.state = st; st.Busy {
				u.busy = time.Now()
			}
			return nil
		}
		wait.For(ctx, pollInterval)
	}
	return err
}

// sendOrder sends the order once.
func (u *weightUpdate) sendOrder(ctx context.Context) error {
	leadership := u.updater.leadership(u.target, u.updater.sharded(u.target.Entry().Service))
	if leadership == nil {
		return errNoLeadership
	}
	fence, allowed := leadership.Act()
	for n := 0; !allowed && leadership.Held() && n < maxLeadershipPolls; n++ {
		wait.For(ctx, leadershipPoll)
		fence, allowed = leadership.Act()
	}
	if !allowed {
		return errNoLeadership
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	u.ordered = time.Now()
	id := u.target.ID()
	v, err := u.updater.o.Client.Order(ctx, u.target.Entry().Address, WeightOrder{
		Target: id, Model: u.model, Version: u.version, Holder: u.updater.o.Name, Fence: fence,
		AcceptedBefore: u.state.AcceptedOrders,
	})
	text := fmt.Sprintf("%s version %d, fence %d, after order %d",
		u.model, u.version, fence, u.state.AcceptedOrders)
	if err != nil {
		u.updater.o.Log.Emit(event.OrderSent, event.Ref{Target: id}, text+", no answer: "+err.Error())
		return nil
	}
	u.updater.o.Log.Emit(event.OrderSent, event.Ref{Target: id}, text+": "+v.String())
	switch v {
	case Fenced:
		leadership.RecordFenced(fence)
		return errNoLeadership
	case OtherIncarnation, Rejected:
		return errors.Errorf("the worker answered: %s", v)
	}
	return nil
}
