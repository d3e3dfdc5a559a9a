package canary

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/plat"
	"embertally.dev/core/wait"
	"embertally.dev/core/wire"
)

const kindReport wire.Kind = "canary.report"

// StatePrefix is the prefix of the keys that hold the states of rollouts in the coordination store.
const StatePrefix = "embertally/rollout/"

// Leadership is the leadership lease for deciding about rollouts.
type Leadership interface {
	// Act returns the lease's fencing token, and whether this daemon may decide now.
	Act() (fence uint64, allowed bool)
	Held() bool
}

// Options configure a Controller.
type Options struct {
	Guard *Guard
	Fleet *fleet.Fleet
	// Incarnation identifies this incarnation of the daemon.
	Incarnation string
	Leadership  Leadership
	Store       plat.Writer
	WatchCache  *plat.WatchCache
	// Holder returns the name of the daemon that holds the lease, or "".
	Holder func() string
	// Status returns the rollout status to publish to operators.
	Status func(service string, st State) plat.Put
	Log    *event.Log
}

// Controller reports this daemon's statistics to the daemon that holds the lease, and makes the
// decisions if that is this one. A successor continues from the coordination store and the other
// daemons' next reports.
type Controller struct {
	o Options

	reportsMu sync.Mutex
	// reports holds the last report of each incarnation of a daemon, by service. Guarded by
	// reportsMu.
	reports map[string]map[string]receivedReport
}

// receivedReport is the last report of an incarnation of a daemon.
type receivedReport struct {
	report Report
	daemon string
	// ended states that a later incarnation of the daemon has reported.
	ended bool
}

// Times of rollouts.
const (
	// reportInterval is the time between reports, and between decisions: a bad version must get no
	// more requests a few seconds after its first answers.
	reportInterval = 300 * time.Millisecond
	// idleInterval is the time between steps while there is no rollout.
	idleInterval = time.Second
	// reportTimeout bounds the sending of a report, and writeTimeout a write to the store.
	reportTimeout = 500 * time.Millisecond
	writeTimeout  = time.Second
)

// NewController returns a Controller. It must be called before the fleet runs.
func NewController(o Options) *Controller {
	c := &Controller{o: o, reports: map[string]map[string]receivedReport{}}
	o.Fleet.Mux().Register(kindReport, wire.Handle(c.receive))
	return c
}

// reportMessage carries a daemon's reports to the holder of the lease.
type reportMessage struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack    struct{} `msgpack:",as_array"`
	Incarnation string
	Reports     []Report
}

// Run reports and decides until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	for wait.For(ctx, c.interval()) {
		c.step(ctx)
	}
}

// interval returns the time until the next step.
func (c *Controller) interval() time.Duration {
	if c.o.Guard.AllDecided() {
		return idleInterval
	}
	return reportInterval
}

// step reports, and decides if this daemon holds the lease.
func (c *Controller) step(ctx context.Context) {
	reports := c.o.Guard.Reports()
	if len(reports) == 0 && len(c.o.Guard.unstored()) == 0 {
		return
	}
	self := c.o.Fleet.View().Self()
	switch holder := c.o.Holder(); holder {
	case "":
	case self:
		c.storeReports(self, c.o.Incarnation, reports)
	default:
		c.sendReports(ctx, holder, &reportMessage{Incarnation: c.o.Incarnation, Reports: reports})
	}
	if c.o.Leadership.Held() {
		c.decide(ctx)
	}
}

// sendReports sends this daemon's reports. The next report covers a lost one.
func (c *Controller) sendReports(ctx context.Context, holder string, m *reportMessage) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if err := c.o.Fleet.Notify(ctx, holder, kindReport, m); err != nil {
		c.o.Log.Emit(event.PeerNotTold, event.Ref{}, holder+": report on a rollout: "+err.Error())
	}
}

// receive stores another daemon's reports.
func (c *Controller) receive(_ context.Context, from string, m *reportMessage) (struct{}, error) {
	c.storeReports(from, m.Incarnation, m.Reports)
	return struct{}{}, nil
}

// storeReports stores the reports of one incarnation of a daemon.
func (c *Controller) storeReports(daemon, incarnation string, reports []Report) {
	c.reportsMu.Lock()
	defer c.reportsMu.Unlock()
	for _, r := range reports {
		if c.reports[r.Service] == nil {
			c.reports[r.Service] = map[string]receivedReport{}
		}
		for other, last := range c.reports[r.Service] {
			if last.daemon == daemon && other != incarnation {
				last.ended = true
				c.reports[r.Service][other] = last
			}
		}
		c.reports[r.Service][incarnation] = receivedReport{report: r, daemon: daemon}
	}
}

// evidence returns all daemons' statistics for an order, and whether the old targets have finished
// their requests. Those of a daemon that is silent go on for all that is known.
func (c *Controller) evidence(o *Order, phase Phase) (Evidence, bool) {
	c.reportsMu.Lock()
	defer c.reportsMu.Unlock()
	e, idle := Evidence{}, true
	for incarnation, last := range c.reports[o.Service] {
		if last.report.Order != o.Revision {
			delete(c.reports[o.Service], incarnation)
			continue
		}
		e.add(last.report.Routes)
		if !last.ended && (last.report.Phase != phase || last.report.RunningOnOld > 0) {
			idle = false
		}
	}
	return e, idle
}

// decide performs the next step of each rollout.
func (c *Controller) decide(ctx context.Context) {
	for _, r := range c.o.Guard.unstored() {
		c.writeState(ctx, &r.order, r.state)
	}
	for _, r := range c.o.Guard.active() {
		if !r.state.isFor(&r.order) {
			c.writeState(ctx, &r.order, initialState(&r))
			continue
		}
		evidence, idle := c.evidence(&r.order, r.state.Phase)
		rollout := Rollout{Phase: r.state.Phase, Elapsed: r.elapsed(time.Now()), Duration: r.order.Lasts, Evidence: evidence, OldIdle: idle}
		next, why := rollout.Next()
		if next == r.state.Phase {
			continue
		}
		st := r.state
		st.Phase, st.Reason = next, why
		if next == RolledBack {
			st.Blocked = append(slices.Clone(st.Blocked), st.Version)
		}
		c.writeState(ctx, &r.order, st)
	}
}

// elapsed returns the time since the order. A daemon that started later uses the wall-clock time
// that the first one stored.
func (r *activeRollout) elapsed(now time.Time) time.Duration {
	stored := now.Sub(time.UnixMilli(r.state.StartedMs))
	if stored > r.order.Lasts {
		// A clock that jumped must not decide.
		stored = 0
	}
	return max(r.sinceReceived, stored)
}

// initialState returns the first state of an order.
func initialState(r *activeRollout) State {
	st := State{
		Order: r.order.Revision, Version: r.order.Version, Phase: Trying,
		StartedMs: time.Now().Add(-r.sinceReceived).UnixMilli(),
	}
	st.Blocked = slices.Clone(r.state.Blocked)
	if r.state.Order != 0 && !r.state.Phase.Decided() {
		st.Blocked = append(st.Blocked, r.state.Version)
	}
	st.Blocked = slices.DeleteFunc(st.Blocked, func(v string) bool { return v == st.Version })
	return st
}

// writeState writes a state for all daemons and operators, if this daemon may still decide and no
// other has.
func (c *Controller) writeState(ctx context.Context, o *Order, st State) {
	if _, allowed := c.o.Leadership.Act(); !allowed {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	value, err := json.Marshal(st)
	if err != nil {
		// Strings and numbers can always be encoded.
		return
	}
	key := StatePrefix + o.Service
	current, _ := c.o.WatchCache.Pair(key)
	out, err := c.o.Store.Commit(ctx, plat.Txn{
		Compares: []plat.Compare{{Key: key, ModRevision: current.ModRevision}},
		Puts:     []plat.Put{{Key: key, Value: value}, c.o.Status(o.Service, st)},
	})
	text := string(st.Phase) + " to version " + st.Version
	if st.Reason != "" {
		text += ": " + st.Reason
	}
	switch {
	case err != nil:
		// The watch cache shows whether it took effect; the next step continues from there.
		text += "; outcome of the write unknown: " + err.Error()
	case !out.Succeeded:
		text += "; not written, the stored state has changed"
	}
	c.o.Log.Emit(event.RolloutStep, event.Ref{Resource: o.Service}, text)
}

// Observe processes a change of the coordination store; it ignores keys other than states of
// rollouts.
func (c *Controller) Observe(change plat.Change) {
	service, isState := strings.CutPrefix(change.Key, StatePrefix)
	if !isState {
		return
	}
	if change.DeletedByRestore {
		c.o.Guard.MarkUnstored(service)
		return
	}
	var st State
	if !change.Deleted {
		err := json.Unmarshal(change.Value, &st)
		if err == nil {
			err = st.validate(change.ModRevision)
		}
		if err != nil {
			c.o.Log.Emit(event.ConfUnderived, event.Ref{Resource: change.Key}, err.Error())
			return
		}
	}
	c.o.Guard.SetState(service, st)
}
