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

// Times and bounds of one swap.
const (
	// announceTime is how long before the order the other daemons are told of
	// it, so that they send the worker no more requests: a heartbeat that comes
	// at once takes some 10 ms, a lost packet is sent again within 40.
	announceTime = 80 * time.Millisecond
	// orderLimit bounds one order or report; workers answer in milliseconds.
	orderLimit = 700 * time.Millisecond
	// pollPause spaces the reports of a worker that loads. A report is priced
	// as a health check.
	pollPause = 150 * time.Millisecond
	// repeatPause is how long an order without an answer may take to show in a
	// report before it is given again.
	repeatPause = 900 * time.Millisecond
	// jobLimit bounds one swap: runs end first, and a load takes about a
	// second, longer while many load.
	jobLimit = 9 * time.Second
	// firstOrdered is how long a worker counts as about to change its weights from
	// the beginning of its swap, and stillOrdered from each report on. Done ends
	// either sooner; they bound it where this daemon is lost.
	firstOrdered = jobLimit / 3
	stillOrdered = time.Second
	// toldOrdered is how long other cells take a worker to be about to change its weights
	// from when they are told, and tellPause the pause until they are told again: one
	// message may be lost.
	toldOrdered = 1500 * time.Millisecond
	tellPause   = 600 * time.Millisecond
	// lookTries is how often a report is asked for before the swap fails.
	lookTries = 3
	// rightPause and rightTries bound the wait for a renewal of the right.
	rightPause = 50 * time.Millisecond
	rightTries = 12
)

// job is the swap of one worker.
type job struct {
	s       *Swapper
	target  *roster.Target
	model   string
	version int64
	// ordered is when the order was last given; zero before.
	ordered time.Time
	// told is when the audience was last told that the swap goes on.
	told time.Time
	// seen is what the worker last reported.
	seen WorkerState
}

// run makes the swap and records how it ended.
func (j *job) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, jobLimit)
	defer cancel()
	s, id := j.s, j.target.ID()
	s.o.Roster.BeginUpdate(id, time.Now().Add(firstOrdered))
	s.o.Changed()
	j.goesOn()
	err := j.swap(ctx)
	s.o.Roster.EndUpdate(id)
	defer s.o.Changed()
	s.swapMu.Lock()
	defer s.swapMu.Unlock()
	delete(s.jobs, id)
	if err != nil {
		s.rest[id] = time.Now().Add(restTime)
		s.o.Log.Emit(event.OrderRejected, event.Ref{Target: id}, fmt.Sprintf("%s version %d: %v", j.model, j.version, err))
		return
	}
	delete(s.rest, id)
	s.o.Roster.RecordVersion(id, j.model, j.version)
	if s.o.Audience != nil {
		s.o.Audience.UpdateEnded(j.target, j.model, j.version)
	}
}

// goesOn tells the audience now and then that the swap goes on.
func (j *job) goesOn() {
	if j.s.o.Audience == nil || time.Since(j.told) < tellPause {
		return
	}
	j.told = time.Now()
	j.s.o.Audience.UpdateStarted(j.target, j.model, toldOrdered)
}

// Reasons why a swap failed.
var (
	errNoRight = errors.New("the right to give orders was lost")
	errLong    = errors.New("the worker did not finish in time")
	errAnother = errors.New("another run of the worker answers")
)

// swap gives the order and waits until the worker holds the weights.
func (j *job) swap(ctx context.Context) error {
	wait.For(ctx, announceTime)
	if err := j.look(ctx); err != nil {
		return err
	}
	for j.seen.Weights[j.model] < j.version || j.seen.Busy {
		if ctx.Err() != nil {
			return errLong
		}
		if j.due() {
			if err := j.give(ctx); err != nil {
				return err
			}
		}
		wait.For(ctx, pollPause)
		if err := j.look(ctx); err != nil && ctx.Err() == nil {
			return err
		}
		j.s.o.Roster.BeginUpdate(j.target.ID(), time.Now().Add(stillOrdered))
		j.goesOn()
	}
	return nil
}

// due reports whether the order is to be given now.
func (j *job) due() bool {
	return !j.seen.Busy && j.seen.Weights[j.model] < j.version && time.Since(j.ordered) > repeatPause
}

// look asks the worker what it holds. Answers may be lost.
func (j *job) look(ctx context.Context) error {
	var err error
	for range lookTries {
		own, cancel := context.WithTimeout(ctx, orderLimit)
		var st WorkerState
		st, err = j.s.o.Commander.State(own, j.target.Entry().Address, j.target.ID())
		cancel()
		if err == nil && st.Run != "" && st.Run != j.target.ID() {
			j.s.o.Roster.RecordReplaced(j.target.ID())
			return errAnother
		}
		if err == nil {
			j.seen = st
			return nil
		}
		wait.For(ctx, pollPause)
	}
	return err
}

// give gives the order once.
func (j *job) give(ctx context.Context) error {
	right := j.s.right(j.target, j.s.divided(j.target.Entry().Service))
	if right == nil {
		return errNoRight
	}
	fence, may := right.Act()
	for n := 0; !may && right.Held() && n < rightTries; n++ {
		wait.For(ctx, rightPause)
		fence, may = right.Act()
	}
	if !may {
		return errNoRight
	}
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	j.ordered = time.Now()
	id := j.target.ID()
	v, err := j.s.o.Commander.Order(ctx, j.target.Entry().Address, WeightOrder{
		Target: id, Model: j.model, Version: j.version, Holder: j.s.o.Name, Fence: fence, After: j.seen.Orders,
	})
	text := fmt.Sprintf("%s version %d, fence %d, after order %d", j.model, j.version, fence, j.seen.Orders)
	if err != nil {
		j.s.o.Log.Emit(event.OrderSent, event.Ref{Target: id}, text+", no answer: "+err.Error())
		return nil
	}
	j.s.o.Log.Emit(event.OrderSent, event.Ref{Target: id}, text+": "+v.String())
	switch v {
	case Fenced:
		right.Refused(fence)
		return errNoRight
	case Elsewhere, Refused:
		return errors.Errorf("the worker says %s", v)
	}
	return nil
}
