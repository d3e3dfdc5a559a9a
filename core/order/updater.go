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

// WeightUpdaterOptions configure a WeightUpdater.
type WeightUpdaterOptions struct {
	Name string
	// Leaderships are the leadership leases, one per partition of the workers; the hash of a worker's
	// incarnation selects its partition. If the holder of one is lost, the other partitions continue.
	Leaderships []Leadership
	// Sharded, if set, reports whether a service is sharded by cell: then each cell sends the
	// orders to its own workers. InOwnCell reports whether a worker belongs to this daemon's cell, and
	// CellLeadership returns the lease for the cell's workers, or nil.
	Sharded        func(service string) bool
	InOwnCell      func(name, domain string) bool
	CellLeadership func() Leadership
	Client         WorkerClient
	Roster         *roster.Roster
	// Table returns the applied configuration, or nil.
	Table func() *table.Table
	// Desired returns the newest desired version of a model's weights.
	Desired func(model string) int64
	// Notify is called when an update starts or ends, to notify other daemons at once. It must be
	// set.
	Notify func()
	// Observer is notified of updates in addition, or nil.
	Observer UpdateObserver
	Log      *event.Log
}

// UpdateObserver is notified of weight updates on behalf of daemons that this one's heartbeats do
// not reach.
type UpdateObserver interface {
	// UpdateStarted reports that a worker is about to change its weights. Unless notified again, the
	// receiver assumes so for the given duration.
	UpdateStarted(t *roster.Target, model string, duration time.Duration)
	// UpdateEnded reports that a worker has loaded a version of the weights.
	UpdateEnded(t *roster.Target, model string, version int64)
}

// WeightUpdater brings the workers to the desired weights, a limited number at a time and idle ones
// first, while this daemon holds a leadership lease. It keeps no state that a successor needs: the
// workers report what they have loaded.
type WeightUpdater struct {
	o WeightUpdaterOptions

	updatesMu sync.Mutex
	updates   map[string]*weightUpdate // by target; guarded by updatesMu
	// retryAt is when the update of a target may be tried again after a failure. Guarded by
	// updatesMu.
	retryAt map[string]time.Time
	// lastExtra is when the last update beyond a partition's own quota started. Guarded by updatesMu.
	lastExtra time.Time
}

// NewWeightUpdater returns a WeightUpdater.
func NewWeightUpdater(o WeightUpdaterOptions) *WeightUpdater {
	return &WeightUpdater{o: o, updates: map[string]*weightUpdate{}, retryAt: map[string]time.Time{}}
}

// Times and limits of starting updates.
const (
	// leaderInterval is the time between checks. While the desired and loaded versions agree, a
	// check makes no calls.
	leaderInterval = 100 * time.Millisecond
	// followerInterval is the same for a daemon that holds no lease: nearly all of a large fleet.
	followerInterval = 500 * time.Millisecond
	// retryDelay is the delay after a failed update.
	retryDelay = time.Second
	// updateDivisor and minUpdates set how many workers update at a time: the larger of minUpdates
	// and a part of the workers. On the users' sites loads stay fast up to a fifth to a seventh of
	// the workers loading, and a worker spends about as long on finishing its requests as on
	// loading.
	updateDivisor = 3
	minUpdates    = 3
	// extraInterval is the least time between updates beyond a partition's own quota, so that other
	// daemons are notified of one before the next starts.
	extraInterval = 100 * time.Millisecond
)

// leadership returns the lease for orders to a worker, or nil if this daemon can't hold it. sharded
// reports whether the worker's service is sharded by cell.
func (s *WeightUpdater) leadership(t *roster.Target, sharded bool) Leadership {
	if !sharded {
		return s.o.Leaderships[fleet.Key(t.ID())%uint64(len(s.o.Leaderships))]
	}
	if e := t.Entry(); !s.o.InOwnCell(e.Name, e.Domain) {
		return nil
	}
	return s.o.CellLeadership()
}

// sharded reports whether a service is sharded by cell.
func (s *WeightUpdater) sharded(service string) bool {
	return s.o.Sharded != nil && s.o.Sharded(service)
}

// partitions returns the number of leases that the workers of a service are spread over. For a
// sharded service that is one: only the workers of this daemon's cell count.
func (s *WeightUpdater) partitions(service string) int {
	if s.sharded(service) {
		return 1
	}
	return len(s.o.Leaderships)
}

// CellHasOutdated reports whether a worker of this daemon's cell has older weights than desired.
func (s *WeightUpdater) CellHasOutdated() bool {
	return s.anyOutdated(true, func(t *roster.Target) bool {
		e := t.Entry()
		return s.o.InOwnCell(e.Name, e.Domain)
	})
}

// HasOutdated reports whether a worker of a partition has older weights than desired.
func (s *WeightUpdater) HasOutdated(partition int) bool {
	return s.anyOutdated(false, func(t *roster.Target) bool {
		return s.leadership(t, false) == s.o.Leaderships[partition]
	})
}

// anyOutdated reports whether a selected worker has older weights than desired. It considers
// either the sharded services or the others.
func (s *WeightUpdater) anyOutdated(sharded bool, selected func(*roster.Target) bool) bool {
	t := s.o.Table()
	if t == nil {
		return false
	}
	for _, svc := range t.Services() {
		if s.sharded(svc.Name) != sharded {
			continue
		}
		for _, model := range s.models(svc) {
			version := s.o.Desired(model)
			for _, w := range s.o.Roster.ByService(svc.Name) {
				if hasOutdated(svc, w, model, version) && selected(w) {
					return true
				}
			}
		}
	}
	return false
}

// models returns the models whose weights the workers of a service keep: those of the configuration, and those that
// the workers report, since a configuration may call their service a plain one.
func (s *WeightUpdater) models(svc *table.Service) []string {
	if svc.Engine != nil {
		return svc.Engine.Models
	}
	var out []string
	for _, w := range s.o.Roster.ByService(svc.Name) {
		for model := range w.Entry().Weights {
			if !slices.Contains(out, model) {
				out = append(out, model)
			}
		}
	}
	slices.Sort(out)
	return out
}

// hasOutdated reports whether a worker of a service has older weights of a model than a version. The targets of a
// plain service need not have any.
func hasOutdated(svc *table.Service, w *roster.Target, model string, version int64) bool {
	loaded, reported := w.Entry().Weights[model]
	return loaded < version && (reported || svc.Engine != nil)
}

// Run sends orders until ctx ends.
func (s *WeightUpdater) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for wait.For(ctx, s.interval()) {
		for _, u := range s.startable() {
			wg.Go(func() { u.run(ctx) })
		}
	}
}

// interval returns the time until the next check.
func (s *WeightUpdater) interval() time.Duration {
	if s.isLeader() {
		return leaderInterval
	}
	return followerInterval
}

// startable returns the updates to start now.
func (s *WeightUpdater) startable() []*weightUpdate {
	t := s.o.Table()
	if t == nil || !s.isLeader() {
		return nil
	}
	s.updatesMu.Lock()
	defer s.updatesMu.Unlock()
	var out []*weightUpdate
	for _, svc := range t.Services() {
		for _, model := range s.models(svc) {
			out = append(out, s.startableOf(svc, model)...)
		}
	}
	return out
}

// isLeader reports whether this daemon holds any lease. All but a few of a fleet hold none.
func (s *WeightUpdater) isLeader() bool {
	if slices.ContainsFunc(s.o.Leaderships, Leadership.Held) {
		return true
	}
	if s.o.CellLeadership == nil {
		return false
	}
	cell := s.o.CellLeadership()
	return cell != nil && cell.Held()
}

// progress is the state of the updates of one model.
type progress struct {
	workers int
	// outdated holds the workers whose update may start, by their lease.
	outdated map[Leadership][]*roster.Target
	// running counts this daemon's updates by lease, total those of all daemons.
	running map[Leadership]int
	total   int
}

// progress returns the state of the updates of a model to a version. It is called with updatesMu
// held.
func (s *WeightUpdater) progress(svc *table.Service, model string, version int64, now time.Time) progress {
	service := svc.Name
	workers := s.o.Roster.ByService(service)
	pr := progress{outdated: map[Leadership][]*roster.Target{}, running: map[Leadership]int{}}
	// Heartbeats announce the updates of other daemons.
	updating, sharded := s.o.Roster.Updating(now), s.sharded(service)
	for _, t := range workers {
		leadership := s.leadership(t, sharded)
		if leadership == nil {
			continue
		}
		if _, reported := t.Entry().Weights[model]; !reported && svc.Engine == nil {
			continue
		}
		pr.workers++
		switch {
		case s.updates[t.ID()] != nil:
			pr.running[leadership]++
			pr.total++
		case updating[t.ID()]:
			pr.total++
		case hasOutdated(svc, t, model, version) && !s.shuttingDown(t) && now.After(s.retryAt[t.ID()]) && leadership.Held():
			pr.outdated[leadership] = append(pr.outdated[leadership], t)
		}
	}
	return pr
}

// shuttingDown reports whether a worker is shutting down: a load of weights would be lost with it.
func (s *WeightUpdater) shuttingDown(t *roster.Target) bool {
	_, shuttingDown := s.o.Roster.ShuttingDown(t)
	return shuttingDown
}

// startableOf returns the updates of one model to start now. It is called with updatesMu held.
func (s *WeightUpdater) startableOf(svc *table.Service, model string) []*weightUpdate {
	version := s.o.Desired(model)
	now := time.Now()
	pr := s.progress(svc, model, version, now)
	var out []*weightUpdate
	for leadership, list := range pr.outdated {
		sortOutdated(list, model)
		for _, t := range list {
			if pr.running[leadership] >= ownQuota(pr.workers, s.partitions(svc.Name)) &&
				!s.allowExtra(pr.total, pr.workers, now) {
				break
			}
			pr.running[leadership]++
			pr.total++
			u := &weightUpdate{updater: s, target: t, model: model, version: version}
			s.updates[t.ID()] = u
			out = append(out, u)
		}
	}
	return out
}

// sortOutdated sorts workers into the order of their updates. The oldest weights come first: soon
// no new requests may start on them.
func sortOutdated(list []*roster.Target, model string) {
	slices.SortStableFunc(list, func(a, b *roster.Target) int {
		return cmp.Or(cmp.Compare(a.Entry().Weights[model], b.Entry().Weights[model]), cmp.Compare(activeRequests(a), activeRequests(b)))
	})
}

// ownQuota returns how many updates of a partition may run regardless of other partitions.
func ownQuota(workers, partitions int) int { return max(1, workers/updateDivisor/partitions) }

// allowExtra reports whether a partition may start one more update because other partitions have
// fewer workers left. Heartbeats must have announced the last one first.
func (s *WeightUpdater) allowExtra(total, workers int, now time.Time) bool {
	if total >= max(minUpdates, workers/updateDivisor) || now.Sub(s.lastExtra) < extraInterval {
		return false
	}
	s.lastExtra = now
	return true
}

// activeRequests returns how many requests an update interrupts.
func activeRequests(t *roster.Target) int {
	l := t.Load()
	return l.OccupiedTokens + l.Running
}
