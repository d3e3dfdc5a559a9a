package canary

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/plat"
	"embertally.dev/core/wait"
	"embertally.dev/core/wire"
)

const kindReport wire.Kind = "canary.report"

// KeyStates is the prefix of the keys in which the platform's store keeps how far roll-outs are.
const KeyStates = "embertally/rollout/"

// Right is the right to decide about roll-outs.
type Right interface {
	// Act reports whether this daemon may decide now.
	Act() (fence uint64, may bool)
	Held() bool
}

// Options of a controller.
type Options struct {
	Guard *Guard
	Fleet *fleet.Fleet
	// Run tells one run of this daemon from the next.
	Run    string
	Right  Right
	Store  plat.Writer
	Mirror *plat.Mirror
	// Holder returns the daemon that holds the right, or "".
	Holder func() string
	// Status returns what the operators are to read of a roll-out.
	Status func(service string, st State) plat.Put
	Log    *event.Log
}

// Controller tells the daemon with the right to decide what this one knows, and decides where that
// is this one. What a successor needs stands in the platform's store and in the other daemons'
// next reports.
type Controller struct {
	o Options

	reportsMu sync.Mutex
	// reports holds the last report of each run of a daemon, by service. Guarded by reportsMu.
	reports map[string]map[string]received
}

// received is a report and when it came.
type received struct {
	report Report
	at     clock.Time
}

// Times of roll-outs.
const (
	// look is the pause between reports, and between decisions: a version that is found to be bad
	// must get nothing a few seconds after its first answers.
	look = 300 * time.Millisecond
	// idleLook is the pause while there is no roll-out.
	idleLook = time.Second
	// reportLimit bounds the sending of a report, and writeLimit a write of the store.
	reportLimit = 500 * time.Millisecond
	writeLimit  = time.Second
	// reportLife is how long a daemon counts as one that may have requests at old targets.
	reportLife = 2 * time.Second
)

// NewController returns a controller. It must be called before the fleet runs.
func NewController(o Options) *Controller {
	c := &Controller{o: o, reports: map[string]map[string]received{}}
	o.Fleet.Mux().Register(kindReport, wire.Handle(c.hear))
	return c
}

// message is what a daemon tells the one that decides.
type message struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Run      string
	Reports  []Report
}

// Run reports and decides until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	for wait.For(ctx, c.pause()) {
		c.step(ctx)
	}
}

// pause returns how long the next look may wait.
func (c *Controller) pause() time.Duration {
	if c.o.Guard.Over() {
		return idleLook
	}
	return look
}

// step reports, and decides where this daemon has the right to.
func (c *Controller) step(ctx context.Context) {
	reports := c.o.Guard.Reports()
	if len(reports) == 0 && len(c.o.Guard.lost()) == 0 {
		return
	}
	self := c.o.Fleet.View().Self()
	switch holder := c.o.Holder(); holder {
	case "":
	case self:
		c.take(c.o.Run, reports)
	default:
		c.tell(ctx, holder, &message{Run: c.o.Run, Reports: reports})
	}
	if c.o.Right.Held() {
		c.decide(ctx)
	}
}

// tell sends what this daemon knows. What is lost is sent again with the next report.
func (c *Controller) tell(ctx context.Context, holder string, m *message) {
	ctx, cancel := context.WithTimeout(ctx, reportLimit)
	defer cancel()
	if err := c.o.Fleet.Notify(ctx, holder, kindReport, m); err != nil {
		c.o.Log.Emit(event.PeerNotTold, event.Ref{}, holder+" of a roll-out: "+err.Error())
	}
}

// hear takes another daemon's reports.
func (c *Controller) hear(_ context.Context, _ string, m *message) (struct{}, error) {
	c.take(m.Run, m.Reports)
	return struct{}{}, nil
}

// take keeps the reports of one run of a daemon.
func (c *Controller) take(run string, reports []Report) {
	c.reportsMu.Lock()
	defer c.reportsMu.Unlock()
	for _, r := range reports {
		if c.reports[r.Service] == nil {
			c.reports[r.Service] = map[string]received{}
		}
		c.reports[r.Service][run] = received{r, clock.Now()}
	}
}

// evidence returns what is known of an order, and whether old targets have ended their work.
func (c *Controller) evidence(o *Order, phase Phase) (Evidence, bool) {
	c.reportsMu.Lock()
	defer c.reportsMu.Unlock()
	e, idle := Evidence{}, true
	for run, got := range c.reports[o.Service] {
		if got.report.Order != o.Revision {
			delete(c.reports[o.Service], run)
			continue
		}
		e.add(got.report.Routes)
		if clock.Since(got.at) <= reportLife && (got.report.Phase != phase || got.report.OldRunning > 0) {
			idle = false
		}
	}
	return e, idle
}

// decide takes the next step of each roll-out.
func (c *Controller) decide(ctx context.Context) {
	for _, r := range c.o.Guard.lost() {
		c.write(ctx, &r.order, r.state)
	}
	for _, r := range c.o.Guard.open() {
		if !r.state.about(&r.order) {
			c.write(ctx, &r.order, begun(&r))
			continue
		}
		evidence, idle := c.evidence(&r.order, r.state.Phase)
		course := Course{Phase: r.state.Phase, Elapsed: r.elapsed(time.Now()), Lasts: r.order.Lasts, Evidence: evidence, Idle: idle}
		next, why := course.Next()
		if next == r.state.Phase {
			continue
		}
		st := r.state
		st.Phase, st.Why = next, why
		if next == RolledBack {
			st.Blocked = append(slices.Clone(st.Blocked), st.Version)
		}
		c.write(ctx, &r.order, st)
	}
}

// elapsed returns for how long the order has been there. A daemon that has started since goes by the
// time of day that the first one wrote.
func (r *open) elapsed(now time.Time) time.Duration {
	written := now.Sub(time.UnixMilli(r.state.Begun))
	if written > r.order.Lasts {
		// A clock that jumped decides nothing.
		written = 0
	}
	return max(r.since, written)
}

// begun returns the first state of an order.
func begun(r *open) State {
	st := State{Order: r.order.Revision, Version: r.order.Version, Phase: Trying, Begun: time.Now().Add(-r.since).UnixMilli()}
	st.Blocked = slices.Clone(r.state.Blocked)
	if r.state.Order != 0 && !r.state.Phase.Over() {
		st.Blocked = append(st.Blocked, r.state.Version)
	}
	st.Blocked = slices.DeleteFunc(st.Blocked, func(v string) bool { return v == st.Version })
	return st
}

// write makes a state known to all daemons and to the operators, if this daemon may still decide
// and nobody else has.
func (c *Controller) write(ctx context.Context, o *Order, st State) {
	if _, may := c.o.Right.Act(); !may {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeLimit)
	defer cancel()
	value, err := json.Marshal(st)
	if err != nil {
		// Strings and numbers can always be encoded.
		return
	}
	key := KeyStates + o.Service
	known, _ := c.o.Mirror.Pair(key)
	out, err := c.o.Store.Commit(ctx, plat.Txn{
		Compares: []plat.Compare{{Key: key, ModRevision: known.ModRevision}},
		Puts:     []plat.Put{{Key: key, Value: value}, c.o.Status(o.Service, st)},
	})
	text := string(st.Phase) + " to version " + st.Version
	if st.Why != "" {
		text += ": " + st.Why
	}
	switch {
	case err != nil:
		// The mirror shows whether it took effect; the next look goes on from there.
		text += "; not known to be written: " + err.Error()
	case !out.Succeeded:
		text += "; not written, another state is there"
	}
	c.o.Log.Emit(event.RolloutStep, event.Ref{Resource: o.Service}, text)
}

// Observe takes a change of the platform's store.
func (c *Controller) Observe(change plat.Change) {
	service, is := strings.CutPrefix(change.Key, KeyStates)
	if !is {
		return
	}
	if change.Restored {
		c.o.Guard.Lose(service)
		return
	}
	var st State
	if !change.Deleted {
		if err := json.Unmarshal(change.Value, &st); err != nil {
			c.o.Log.Emit(event.ConfUnderived, event.Ref{Resource: change.Key}, err.Error())
			return
		}
	}
	c.o.Guard.SetState(service, st)
}
