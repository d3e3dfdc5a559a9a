// Package order owns the orders to workers: which weights they load, how many
// load at a time, and that only the holder of a lease gives orders that count.
//
// It must not know how requests are placed. That no request meets the wrong
// weights does not rest on orders: each request names its version and each
// answer is checked for it.
package order

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/cache"
	"embertally.dev/core/conf"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/home"
	"embertally.dev/core/lease"
	"embertally.dev/core/plat"
	"embertally.dev/core/target"
	"embertally.dev/core/wait"
)

// KeyRoot is the prefix of everything that orders keep in the service.
const KeyRoot = "embertally/order/"

// slotRoot is the prefix of the slots, one for each load that may run at a
// time in the whole fleet.
const slotRoot = KeyRoot + "slots/"

type kv interface {
	lease.KV
	Range(ctx context.Context, span plat.Span) ([]plat.Pair, int64, error)
}

// workers is what orders need to know of workers.
type workers interface {
	WorkerStatus(name string) (home.WorkerStatus, bool)
	// Workers returns the engines of this cell.
	Workers(snap *conf.Snapshot, view *fleet.View) []string
}

// Options of a holder.
type Options struct {
	Name    string
	Conf    *conf.Store
	Fleet   *fleet.Fleet
	Workers workers
	KV      kv
	Log     *event.Log
	Client  *http.Client
}

// Holder gives the orders for the workers of a cell while this daemon has the
// duty. The zero value is not usable; see New.
type Holder struct {
	o     Options
	lease lease.Lease
	// took is when the lease was taken.
	took time.Time
	// sent is when each worker was last sent an order.
	sent map[string]time.Time
}

// New returns a holder.
func New(o Options) *Holder { return &Holder{o: o, sent: map[string]time.Time{}} }

const (
	// lookPause is the time between looks at what workers hold.
	lookPause = 500 * time.Millisecond
	// orderLife is how long after it was committed an order may be sent. A
	// worker that does not check fences gets no order of a new holder before
	// the last order of the former one has outlived this.
	orderLife = 5 * time.Second
	// sendAgain is how long a worker may take to show that it loads.
	sendAgain = 4 * time.Second
)

// Duty returns the name of the duty of giving orders in a cell.
func Duty(cell int) string { return "order/" + strconv.Itoa(cell) }

// Run gives orders while this daemon has the duty, until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	wait.Every(ctx, lookPause, func() { h.step(ctx) })
}

// slot is a running load.
type slot struct {
	Worker     string `json:"worker"`
	Deployment string `json:"deployment"`
	Version    string `json:"version"`
	Fence      uint64 `json:"fence"`

	key      string
	revision int64
}

// want is a load that is wanted of a worker.
type want struct {
	worker     string
	target     *conf.Target
	deployment string
	spec       *conf.Deployment
}

func (w *want) order(fence uint64, expires time.Time) target.Order {
	return target.Order{
		Fence: fence, Expires: expires, Model: w.spec.Model, Version: w.spec.WeightVersion, Adapters: w.spec.Adapters,
	}
}

// step looks once. Where nothing is wanted it does not call the service.
func (h *Holder) step(ctx context.Context) {
	snap, view := h.o.Conf.Snapshot(), h.o.Fleet.View()
	if view.Duty(fleet.Key(Duty(view.Cell()))) != view.Self() {
		h.lease = lease.Lease{}
		return
	}
	wants := h.wants(snap, view)
	if len(wants) == 0 && len(h.sent) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, plat.CallTimeout)
	defer cancel()
	if !h.hold(ctx, view) {
		return
	}
	slots, err := h.slots(ctx)
	if err != nil {
		return
	}
	slots = h.release(ctx, view, slots, wants)
	for _, w := range wants {
		if slots = h.give(ctx, w, slots); !h.lease.Held() {
			return
		}
	}
}

// wants returns the loads that the configuration asks for.
func (h *Holder) wants(snap *conf.Snapshot, view *fleet.View) []want {
	var out []want
	for _, worker := range h.o.Workers.Workers(snap, view) {
		t := snap.Target(worker)
		st, ok := h.o.Workers.WorkerStatus(worker)
		if !ok || !view.Usable(worker, t) {
			continue
		}
		for _, name := range t.Deployments {
			d := snap.Deployment(name)
			if d != nil && !holds(st, d) {
				out = append(out, want{worker, t, name, d})
			}
		}
	}
	return out
}

// holds reports whether a worker holds all that a deployment asks for.
func holds(st home.WorkerStatus, d *conf.Deployment) bool {
	salt := cache.Salt{Model: d.Model, WeightVersion: d.WeightVersion}
	for _, a := range append([]string{""}, d.Adapters...) {
		salt.Adapter = a
		if !slices.Contains(st.Holds, home.WeightsName(salt)) {
			return false
		}
	}
	return true
}

// hold takes the lease if this daemon does not hold it.
func (h *Holder) hold(ctx context.Context, view *fleet.View) bool {
	if h.lease.Held() {
		return true
	}
	l, err := lease.Take(ctx, h.o.KV, KeyRoot+"cell/"+strconv.Itoa(view.Cell()), h.o.Name)
	if err != nil {
		return false
	}
	h.lease, h.took = l, time.Now()
	h.o.Log.Emit(event.LeaseTaken, event.Ref{}, fmt.Sprintf("%s, epoch %d", Duty(view.Cell()), l.Epoch()))
	return true
}

func (h *Holder) slots(ctx context.Context) ([]slot, error) {
	pairs, _, err := h.o.KV.Range(ctx, plat.Prefix(slotRoot))
	if err != nil {
		return nil, err
	}
	out := make([]slot, len(pairs))
	for i, p := range pairs {
		if err := json.Unmarshal(p.Value, &out[i]); err != nil {
			return nil, errors.Wrap(err, p.Key)
		}
		out[i].key, out[i].revision = p.Key, p.ModRevision
	}
	return out, nil
}

// release frees the slots of this cell whose load is done or no longer wanted,
// and returns the rest.
func (h *Holder) release(ctx context.Context, view *fleet.View, slots []slot, wants []want) []slot {
	var rest []slot
	for _, s := range slots {
		wanted := slices.ContainsFunc(wants, func(w want) bool { return w.worker == s.Worker && w.deployment == s.Deployment })
		st, known := h.o.Workers.WorkerStatus(s.Worker)
		mine := view.CellOf(s.Worker) == view.Cell()
		if !mine || wanted || (known && st.Loading) {
			rest = append(rest, s)
			continue
		}
		txn := plat.Txn{
			Compares: []plat.Compare{h.lease.Guard(), {Key: s.key, ModRevision: s.revision}},
			Deletes:  []string{s.key},
		}
		if !h.commit(ctx, txn) {
			rest = append(rest, s)
			continue
		}
		delete(h.sent, s.Worker)
		h.o.Log.Emit(event.OrderDone, event.Ref{Target: s.Worker}, s.Deployment+" "+s.Version)
	}
	return rest
}

// give sends the order for one load, in a slot of its own.
func (h *Holder) give(ctx context.Context, w want, slots []slot) []slot {
	own := slices.IndexFunc(slots, func(s slot) bool { return s.Worker == w.worker })
	if own >= 0 {
		h.again(ctx, w, slots[own])
		return slots
	}
	key := freeSlot(slots, w.spec.Loads())
	if key == "" || !h.mayOrder(w) {
		h.o.Log.Emit(event.OrderDeferred, event.Ref{Target: w.worker}, w.deployment+" "+w.spec.WeightVersion)
		return slots
	}
	s := slot{Worker: w.worker, Deployment: w.deployment, Version: w.spec.WeightVersion, Fence: h.lease.Fence(), key: key}
	raw, err := json.Marshal(s)
	if err != nil {
		return slots
	}
	expires := time.Now().Add(orderLife)
	txn := plat.Txn{
		Compares: []plat.Compare{h.lease.Guard(), {Key: key}},
		Puts:     []plat.Put{{Key: key, Value: raw}},
	}
	if !h.commit(ctx, txn) {
		return slots
	}
	h.send(ctx, w, expires)
	return append(slots, s)
}

// mayOrder reports whether a worker can be sent orders of this holder yet.
func (h *Holder) mayOrder(w want) bool {
	return w.target.ChecksFence || time.Since(h.took) > orderLife
}

// again sends an order once more where the worker does not show that it loads.
func (h *Holder) again(ctx context.Context, w want, s slot) {
	st, known := h.o.Workers.WorkerStatus(w.worker)
	if !known || st.Loading || time.Since(h.sent[w.worker]) < sendAgain || !h.mayOrder(w) {
		return
	}
	raw, err := json.Marshal(slot{Worker: w.worker, Deployment: w.deployment, Version: w.spec.WeightVersion, Fence: h.lease.Fence()})
	if err != nil {
		return
	}
	expires := time.Now().Add(orderLife)
	txn := plat.Txn{
		Compares: []plat.Compare{h.lease.Guard(), {Key: s.key, ModRevision: s.revision}},
		Puts:     []plat.Put{{Key: s.key, Value: raw}},
	}
	if h.commit(ctx, txn) {
		h.send(ctx, w, expires)
	}
}

// freeSlot returns the key of a slot that no load uses.
func freeSlot(slots []slot, loads int) string {
	for i := range loads {
		key := slotRoot + strconv.Itoa(i)
		if !slices.ContainsFunc(slots, func(s slot) bool { return s.key == key }) {
			return key
		}
	}
	return ""
}

// commit carries out a guarded write. An unknown outcome counts as none: the
// next look reads what came of it. A failed guard ends the lease.
func (h *Holder) commit(ctx context.Context, txn plat.Txn) bool {
	out, err := h.o.KV.Commit(ctx, txn)
	if err != nil {
		return false
	}
	if !out.Succeeded {
		h.o.Log.Emit(event.LeaseLost, event.Ref{}, txn.Compares[0].Key)
		h.lease = lease.Lease{}
	}
	return out.Succeeded
}

// send sends an order unless too much time has passed since it was committed.
func (h *Holder) send(ctx context.Context, w want, expires time.Time) {
	h.sent[w.worker] = time.Now()
	ref := event.Ref{Target: w.worker}
	if time.Now().After(expires) {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, expires)
	defer cancel()
	fence := h.lease.Fence()
	how := "fence checked"
	if !w.target.ChecksFence {
		how = "fence not checked, sent after former orders expired"
	}
	err := target.NewEngine(w.target.URL, h.o.Client).Order(ctx, w.order(fence, expires))
	if err != nil {
		h.o.Log.Emit(event.OrderRejected, ref, err.Error())
		return
	}
	h.o.Log.Emit(event.OrderSent, ref, fmt.Sprintf("%s %s, fence %d, %s", w.deployment, w.spec.WeightVersion, fence, how))
}
