package order

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/roster"
	"embertally.dev/core/table"
	"embertally.dev/core/wait"
)

// WeightOrder asks a worker to load a version of a model's weights.
type WeightOrder struct {
	// Target is the run of the worker that the order is for.
	Target  string
	Model   string
	Version int64
	Holder  string
	Fence   uint64
	// After is how many orders the worker has taken before this one; it refuses
	// the order where it has taken others, so that an order which arrives late
	// does not undo a newer one.
	After int64
}

// Verdict is what a worker says to an order.
type Verdict int

// The verdicts of workers.
const (
	// Taken: the worker will load the weights.
	Taken Verdict = iota
	// Held: it has them already.
	Held
	// Conflict: it is busy with another order, or has taken others.
	Conflict
	// Fenced: it has seen a higher fence.
	Fenced
	// Elsewhere: another run has its address.
	Elsewhere
	// Refused: it does not know the order, or the version was not named.
	Refused
)

// String returns the verdict as it stands in log lines.
func (v Verdict) String() string {
	return [...]string{"taken", "held", "conflict", "fenced", "elsewhere", "refused"}[v]
}

// WorkerState is what a worker reports of orders.
type WorkerState struct {
	Busy bool
	// Orders is how many orders the worker has taken.
	Orders int64
	// Weights holds the version of each model.
	Weights map[string]int64
}

// Commander gives orders to workers.
type Commander interface {
	// Order gives an order. After an error it may have been taken, or may be
	// taken later.
	Order(ctx context.Context, address string, o WeightOrder) (Verdict, error)
	State(ctx context.Context, address, target string) (WorkerState, error)
}

// Right is the right to give orders.
type Right interface {
	// Held reports whether this daemon is the one to give orders.
	Held() bool
	// Act returns the number that fences an order, and whether it may be given
	// now.
	Act() (uint64, bool)
	// Refused records that a worker has seen a higher fence.
	Refused(fence uint64)
}

// SwapOptions of a swapper.
type SwapOptions struct {
	Name string
	// Rights are the rights to give orders to parts of the workers; the hash of
	// a worker's run says which part it belongs to. Where the holder of one is
	// lost, the other parts go on.
	Rights    []Right
	Commander Commander
	Roster    *roster.Roster
	// Table returns the configuration in force, or nil.
	Table func() *table.Table
	// Named returns the newest version named of a model's weights.
	Named func(model string) int64
	Log   *event.Log
}

// Swapper brings the workers to the newest weights, some at a time and idle
// ones first, while this daemon has the right to. It keeps nothing that a
// successor needs: the workers say what they hold.
type Swapper struct {
	o SwapOptions

	swapMu sync.Mutex
	jobs   map[string]*job // by target; guarded by swapMu
	// rest is when a target that failed may be tried again. Guarded by swapMu.
	rest map[string]time.Time
	// last is when the last swap beyond a part's own began. Guarded by swapMu.
	last time.Time
}

// NewSwapper returns a swapper.
func NewSwapper(o SwapOptions) *Swapper {
	return &Swapper{o: o, jobs: map[string]*job{}, rest: map[string]time.Time{}}
}

// Times and bounds of swaps.
const (
	// swapLook is the pause between looks; without a difference between what
	// is named and held a look costs nothing outside.
	swapLook = 100 * time.Millisecond
	// announceTime is how long before the order the other daemons hear of it,
	// so that they send the worker no more requests: one or two heartbeats.
	announceTime = 250 * time.Millisecond
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
	// restTime is the pause after a swap that failed.
	restTime = time.Second
	// swapDivisor sets how many workers change at a time. On the users' sites
	// loads stay fast up to a fifth to a seventh of the workers, and a worker
	// ends its runs for about as long as it loads.
	swapDivisor = 3
	swapLeast   = 3
	// extraPause is two heartbeats: other daemons have heard of the swap.
	extraPause = 350 * time.Millisecond
	// rightPause and rightTries bound the wait for a renewal of the right.
	rightPause = 50 * time.Millisecond
	rightTries = 12
)

// right returns the right to give orders to a worker.
func (s *Swapper) right(id string) Right {
	return s.o.Rights[fleet.Key(id)%uint64(len(s.o.Rights))]
}

// Wanted reports whether a worker of a part holds older weights than are
// named.
func (s *Swapper) Wanted(part int) bool {
	t := s.o.Table()
	if t == nil {
		return false
	}
	for _, svc := range t.Engines() {
		for _, model := range svc.Engine.Models {
			version := s.o.Named(model)
			for _, w := range s.o.Roster.Of(svc.Name) {
				if s.right(w.ID()) == s.o.Rights[part] && w.Entry().Weights[model] < version {
					return true
				}
			}
		}
	}
	return false
}

// Run gives orders until ctx ends.
func (s *Swapper) Run(ctx context.Context) {
	tick := time.NewTicker(swapLook)
	defer tick.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, j := range s.next() {
			wg.Go(func() { j.run(ctx) })
		}
	}
}

// next returns the swaps to begin now.
func (s *Swapper) next() []*job {
	t := s.o.Table()
	if t == nil {
		return nil
	}
	s.swapMu.Lock()
	defer s.swapMu.Unlock()
	var out []*job
	for _, svc := range t.Engines() {
		for _, model := range svc.Engine.Models {
			out = append(out, s.nextOf(svc.Name, model)...)
		}
	}
	return out
}

// nextOf returns the swaps of one model to begin now. It is called with swapMu
// held.
func (s *Swapper) nextOf(service, model string) []*job {
	version := s.o.Named(model)
	workers := s.o.Roster.Of(service)
	now := time.Now()
	// Other daemons' swaps are told in heartbeats.
	ordered := s.o.Roster.Ordered(now)
	behind := map[Right][]*roster.Target{}
	running := map[Right]int{}
	total := 0
	for _, t := range workers {
		right := s.right(t.ID())
		switch {
		case s.jobs[t.ID()] != nil:
			running[right]++
			total++
		case ordered[t.ID()]:
			total++
		case t.Entry().Weights[model] < version && !t.Entry().Leaving && now.After(s.rest[t.ID()]) && right.Held():
			behind[right] = append(behind[right], t)
		}
	}
	var out []*job
	for right, list := range behind {
		// The oldest weights come first: requests may not begin on them for long.
		slices.SortStableFunc(list, func(a, b *roster.Target) int {
			return cmp.Or(cmp.Compare(a.Entry().Weights[model], b.Entry().Weights[model]), cmp.Compare(weight(a), weight(b)))
		})
		for _, t := range list {
			if running[right] >= own(len(workers), len(s.o.Rights)) && !s.extra(total, len(workers), now) {
				break
			}
			running[right]++
			total++
			j := &job{s: s, target: t, model: model, version: version}
			s.jobs[t.ID()] = j
			out = append(out, j)
		}
	}
	return out
}

// own is how many swaps of a part may run whatever other parts do.
func own(workers, parts int) int { return max(1, workers/swapDivisor/parts) }

// extra reports whether a part may begin one more swap because other parts
// have fewer workers left. Heartbeats must tell of the last one first.
func (s *Swapper) extra(total, workers int, now time.Time) bool {
	if total >= max(swapLeast, workers/swapDivisor) || now.Sub(s.last) < extraPause {
		return false
	}
	s.last = now
	return true
}

// weight orders workers by what a swap interrupts.
func weight(t *roster.Target) int {
	l := t.Load()
	return l.Held + l.Running
}

// job is the swap of one worker.
type job struct {
	s       *Swapper
	target  *roster.Target
	model   string
	version int64
	// ordered is when the order was last given; zero before.
	ordered time.Time
	// seen is what the worker last reported, once known is set.
	seen  WorkerState
	known bool
}

func (j *job) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, jobLimit)
	defer cancel()
	s, id := j.s, j.target.ID()
	s.o.Roster.Order(id, time.Now().Add(jobLimit/3))
	err := j.swap(ctx)
	s.o.Roster.Done(id)
	s.swapMu.Lock()
	defer s.swapMu.Unlock()
	delete(s.jobs, id)
	if err != nil {
		s.rest[id] = time.Now().Add(restTime)
		s.o.Log.Emit(event.OrderRejected, event.Ref{Target: id}, fmt.Sprintf("%s version %d: %v", j.model, j.version, err))
		return
	}
	delete(s.rest, id)
	s.o.Roster.Learn(id, j.model, j.version)
}

var (
	errNoRight = errors.New("the right to give orders was lost")
	errLong    = errors.New("the worker did not finish in time")
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
		j.s.o.Roster.Order(j.target.ID(), time.Now().Add(time.Second))
	}
	return nil
}

// due reports whether the order is to be given now.
func (j *job) due() bool {
	return !j.seen.Busy && j.seen.Weights[j.model] < j.version && time.Since(j.ordered) > repeatPause
}

// look asks the worker what it holds. One answer may be lost.
func (j *job) look(ctx context.Context) error {
	var err error
	for range 3 {
		own, cancel := context.WithTimeout(ctx, orderLimit)
		var st WorkerState
		st, err = j.s.o.Commander.State(own, j.target.Entry().Address, j.target.ID())
		cancel()
		if err == nil {
			j.seen, j.known = st, true
			return nil
		}
		wait.For(ctx, pollPause)
	}
	return err
}

// give gives the order once.
func (j *job) give(ctx context.Context) error {
	right := j.s.right(j.target.ID())
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
