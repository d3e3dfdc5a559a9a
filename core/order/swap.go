package order

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/roster"
	"embertally.dev/core/table"
	"embertally.dev/core/wait"
)

// SwapOptions of a swapper.
type SwapOptions struct {
	Name string
	// Rights are the rights to give orders to parts of the workers; the hash of
	// a worker's run says which part it belongs to. Where the holder of one is
	// lost, the other parts go on.
	Rights []Right
	// Divided, if set, reports whether the cells divide the workers of a service: then each cell
	// gives the orders to its own. Uses reports whether a worker falls to this daemon's cell, and
	// Cell returns the right to its workers, or nil.
	Divided   func(service string) bool
	Uses      func(name, domain string) bool
	Cell      func() Right
	Commander Commander
	Roster    *roster.Roster
	// Table returns the configuration in force, or nil.
	Table func() *table.Table
	// Named returns the newest version named of a model's weights.
	Named func(model string) int64
	// Changed makes other daemons hear at once that a swap has begun or ended. It must be set.
	Changed func()
	// Audience hears of swaps beside, or nil.
	Audience Audience
	Log      *event.Log
}

// Audience hears of swaps for daemons that this one's heartbeats do not reach.
type Audience interface {
	// UpdateStarted tells that a worker is about to change its weights, for about some more time.
	UpdateStarted(t *roster.Target, model string, lasts time.Duration)
	// UpdateEnded tells that a worker holds a version of the weights.
	UpdateEnded(t *roster.Target, model string, version int64)
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

// Times and bounds of beginning swaps.
const (
	// swapLook is the pause between looks; without a difference between what
	// is named and held a look costs nothing outside.
	swapLook = 100 * time.Millisecond
	// awayLook is the same for a daemon that holds no right: nearly all of a large fleet.
	awayLook = 500 * time.Millisecond
	// restTime is the pause after a swap that failed.
	restTime = time.Second
	// swapDivisor sets how many workers change at a time. On the users' sites
	// loads stay fast up to a fifth to a seventh of the workers, and a worker
	// ends its runs for about as long as it loads.
	swapDivisor = 3
	swapLeast   = 3
	// extraPause is the least time between swaps beyond a part's own, in which
	// other daemons hear of the first.
	extraPause = 100 * time.Millisecond
)

// right returns the right to give orders to a worker, or nil where this daemon cannot have it. divided
// is that of the worker's service.
func (s *Swapper) right(t *roster.Target, divided bool) Right {
	if !divided {
		return s.o.Rights[fleet.Key(t.ID())%uint64(len(s.o.Rights))]
	}
	if e := t.Entry(); !s.o.Uses(e.Name, e.Domain) {
		return nil
	}
	return s.o.Cell()
}

// divided reports whether the cells divide the workers of a service.
func (s *Swapper) divided(service string) bool { return s.o.Divided != nil && s.o.Divided(service) }

// parts returns how many rights the workers fall to that this daemon knows of a service.
func (s *Swapper) parts(service string) int {
	if s.divided(service) {
		return 1
	}
	return len(s.o.Rights)
}

// CellWanted reports whether a worker that falls to this daemon's cell holds older weights than are
// named.
func (s *Swapper) CellWanted() bool {
	return s.wanted(true, func(t *roster.Target) bool {
		e := t.Entry()
		return s.o.Uses(e.Name, e.Domain)
	})
}

// Wanted reports whether a worker of a part holds older weights than are
// named.
func (s *Swapper) Wanted(part int) bool {
	return s.wanted(false, func(t *roster.Target) bool { return s.right(t, false) == s.o.Rights[part] })
}

// wanted reports whether a worker that is meant holds older weights than are named. It looks at the
// services that the cells divide, or at the others.
func (s *Swapper) wanted(divided bool, meant func(*roster.Target) bool) bool {
	t := s.o.Table()
	if t == nil {
		return false
	}
	for _, svc := range t.Engines() {
		if s.divided(svc.Name) != divided {
			continue
		}
		for _, model := range svc.Engine.Models {
			version := s.o.Named(model)
			for _, w := range s.o.Roster.ByService(svc.Name) {
				if w.Entry().Weights[model] < version && meant(w) {
					return true
				}
			}
		}
	}
	return false
}

// Run gives orders until ctx ends.
func (s *Swapper) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for wait.For(ctx, s.pause()) {
		for _, j := range s.next() {
			wg.Go(func() { j.run(ctx) })
		}
	}
}

// pause returns how long the next look may wait.
func (s *Swapper) pause() time.Duration {
	if s.holds() {
		return swapLook
	}
	return awayLook
}

// next returns the swaps to begin now.
func (s *Swapper) next() []*job {
	t := s.o.Table()
	if t == nil || !s.holds() {
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

// holds reports whether this daemon holds any right. All but a few of a fleet hold none.
func (s *Swapper) holds() bool {
	if slices.ContainsFunc(s.o.Rights, Right.Held) {
		return true
	}
	if s.o.Cell == nil {
		return false
	}
	cell := s.o.Cell()
	return cell != nil && cell.Held()
}

// progress is how far the swaps of one model are.
type progress struct {
	workers int
	// behind holds the workers that a swap may begin at, by the right to it.
	behind map[Right][]*roster.Target
	// running counts this daemon's swaps by right, total those of all daemons.
	running map[Right]int
	total   int
}

// progress returns how far the swaps of a model to a version are. It is called
// with swapMu held.
func (s *Swapper) progress(service, model string, version int64, now time.Time) progress {
	workers := s.o.Roster.ByService(service)
	pr := progress{behind: map[Right][]*roster.Target{}, running: map[Right]int{}}
	// Other daemons' swaps are told in heartbeats.
	ordered, divided := s.o.Roster.Updating(now), s.divided(service)
	for _, t := range workers {
		right := s.right(t, divided)
		if right == nil {
			continue
		}
		pr.workers++
		switch {
		case s.jobs[t.ID()] != nil:
			pr.running[right]++
			pr.total++
		case ordered[t.ID()]:
			pr.total++
		case t.Entry().Weights[model] < version && !s.leaves(t) && now.After(s.rest[t.ID()]) && right.Held():
			pr.behind[right] = append(pr.behind[right], t)
		}
	}
	return pr
}

// leaves reports whether a worker leaves: the load of weights would end with it.
func (s *Swapper) leaves(t *roster.Target) bool {
	_, leaves := s.o.Roster.ShuttingDown(t)
	return leaves
}

// nextOf returns the swaps of one model to begin now. It is called with swapMu
// held.
func (s *Swapper) nextOf(service, model string) []*job {
	version := s.o.Named(model)
	now := time.Now()
	pr := s.progress(service, model, version, now)
	var out []*job
	for right, list := range pr.behind {
		sortBehind(list, model)
		for _, t := range list {
			if pr.running[right] >= own(pr.workers, s.parts(service)) && !s.extra(pr.total, pr.workers, now) {
				break
			}
			pr.running[right]++
			pr.total++
			j := &job{s: s, target: t, model: model, version: version}
			s.jobs[t.ID()] = j
			out = append(out, j)
		}
	}
	return out
}

// sortBehind puts workers in the order of their swaps. The oldest weights come
// first: requests may not begin on them for long.
func sortBehind(list []*roster.Target, model string) {
	slices.SortStableFunc(list, func(a, b *roster.Target) int {
		return cmp.Or(cmp.Compare(a.Entry().Weights[model], b.Entry().Weights[model]), cmp.Compare(weight(a), weight(b)))
	})
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
	return l.OccupiedTokens + l.Running
}
