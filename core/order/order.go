// Package order owns the orders that make workers load weights: which weights,
// how many loads run at a time, and that only orders of the holder of a lease
// take effect.
//
// A Holder orders the loads that the deployments of a configuration require. A
// WeightUpdater brings the workers of a roster to the desired versions.
//
// It must not know how requests are placed. Orders do not ensure that a request
// runs on the intended weights: each request names its version, and each
// response is checked for it.
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
	"embertally.dev/core/clock"
	"embertally.dev/core/conf"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/home"
	"embertally.dev/core/lease"
	"embertally.dev/core/plat"
	"embertally.dev/core/target"
	"embertally.dev/core/wait"
)

// KeyPrefix is the prefix of all keys of this package in the coordination
// store.
const KeyPrefix = "embertally/order/"

// slotPrefix is the prefix of the slots. Each load that runs in the fleet
// occupies one.
const slotPrefix = KeyPrefix + "slots/"

// kv is the part of the coordination store's client that a Holder uses.
type kv interface {
	lease.KV
	Range(ctx context.Context, span plat.Span) ([]plat.Pair, int64, error)
}

// workers provides the status of workers.
type workers interface {
	WorkerStatus(name string) (home.WorkerStatus, bool)
	// Workers returns the engines of this cell.
	Workers(snap *conf.Snapshot, view *fleet.View) []string
}

// Options configure a Holder.
type Options struct {
	Name    string
	Conf    *conf.Store
	Fleet   *fleet.Fleet
	Workers workers
	KV      kv
	Log     *event.Log
	Client  *http.Client
}

// Holder sends orders to the workers of a cell while this daemon has the
// assignment to do so. The zero value is not usable; see New.
type Holder struct {
	o     Options
	lease lease.Lease
	// takenAt is when the lease was taken.
	takenAt clock.Time
	// lastSent is when each worker was last sent an order.
	lastSent map[string]clock.Time
}

// New returns a Holder.
func New(o Options) *Holder { return &Holder{o: o, lastSent: map[string]clock.Time{}} }

const (
	// checkInterval is the time between checks of the weights that workers
	// have loaded.
	checkInterval = 500 * time.Millisecond
	// orderTTL is how long after its commit an order may be sent. A worker that
	// does not check fencing tokens gets no order of a new holder until the last
	// order of the former one has expired.
	orderTTL = 5 * time.Second
	// resendAfter is how long a worker may take to report that it is loading
	// before the order is sent again.
	resendAfter = 4 * time.Second
)

// Assignment returns the name of the assignment to send orders in a cell.
func Assignment(cell int) string { return "order/" + strconv.Itoa(cell) }

// Run sends orders while this daemon has the assignment, until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	wait.Every(ctx, checkInterval, func() { h.step(ctx) })
}

// slot is the stored record of a running load.
type slot struct {
	Worker     string `json:"worker"`
	Deployment string `json:"deployment"`
	Version    string `json:"version"`
	Fence      uint64 `json:"fence"`

	// key and revision are those of the record in the store.
	key      string
	revision int64
}

// wantedLoad is a load that a worker still has to do.
type wantedLoad struct {
	worker     string
	target     *conf.Target
	deployment string
	spec       *conf.Deployment
}

func (w *wantedLoad) order(fence uint64, expires time.Time) target.Order {
	return target.Order{
		FencingToken: fence, Expires: expires, Model: w.spec.Model, Version: w.spec.WeightVersion, Adapters: w.spec.Adapters,
	}
}

// step checks once. If no load is wanted, it does not call the coordination
// store.
func (h *Holder) step(ctx context.Context) {
	snap, view := h.o.Conf.Snapshot(), h.o.Fleet.View()
	if view.Assignee(fleet.Key(Assignment(view.Cell()))) != view.Self() {
		h.lease = lease.Lease{}
		return
	}
	missing := h.wantedLoads(snap, view)
	if len(missing) == 0 && len(h.lastSent) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, plat.CallTimeout)
	defer cancel()
	if !h.ensureLease(ctx, view) {
		return
	}
	slots, err := h.readSlots(ctx)
	if err != nil {
		return
	}
	slots = h.releaseSlots(ctx, snap, view, slots, missing)
	for _, w := range missing {
		if slots = h.startLoad(ctx, w, slots); !h.lease.Held() {
			return
		}
	}
}

// wantedLoads returns the loads that the configuration requires.
func (h *Holder) wantedLoads(snap *conf.Snapshot, view *fleet.View) []wantedLoad {
	var out []wantedLoad
	for _, worker := range h.o.Workers.Workers(snap, view) {
		t := snap.Target(worker)
		st, ok := h.o.Workers.WorkerStatus(worker)
		if !ok || !view.Usable(worker, t) {
			continue
		}
		for _, name := range t.Deployments {
			d := snap.Deployment(name)
			if d != nil && !hasWeights(st, d) {
				out = append(out, wantedLoad{worker, t, name, d})
			}
		}
	}
	return out
}

// hasWeights reports whether a worker has loaded all weights and adapters of a
// deployment.
func hasWeights(st home.WorkerStatus, d *conf.Deployment) bool {
	salt := cache.Salt{Model: d.Model, WeightVersion: d.WeightVersion}
	for _, a := range append([]string{""}, d.Adapters...) {
		salt.Adapter = a
		if !slices.Contains(st.LoadedWeights, home.WeightsName(salt)) {
			return false
		}
	}
	return true
}

// ensureLease takes the lease unless this daemon holds it, and reports success.
func (h *Holder) ensureLease(ctx context.Context, view *fleet.View) bool {
	if h.lease.Held() {
		return true
	}
	l, err := lease.Take(ctx, h.o.KV, KeyPrefix+"cell/"+strconv.Itoa(view.Cell()), h.o.Name)
	if err != nil {
		return false
	}
	h.lease, h.takenAt = l, clock.Now()
	h.o.Log.Emit(event.LeaseTaken, event.Ref{}, fmt.Sprintf("%s, epoch %d", Assignment(view.Cell()), l.Epoch()))
	return true
}

func (h *Holder) readSlots(ctx context.Context) ([]slot, error) {
	pairs, _, err := h.o.KV.Range(ctx, plat.Prefix(slotPrefix))
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

// releaseSlots frees the slots of this cell whose load is finished or no longer
// wanted, and returns the remaining slots.
func (h *Holder) releaseSlots(ctx context.Context, snap *conf.Snapshot, view *fleet.View, slots []slot, missing []wantedLoad) []slot {
	var remaining []slot
	for _, s := range slots {
		wanted := slices.ContainsFunc(missing, func(w wantedLoad) bool { return w.worker == s.Worker && w.deployment == s.Deployment })
		local := view.CellOf(s.Worker) == view.Cell()
		if !local || wanted || h.mayLoad(snap, view, s) {
			remaining = append(remaining, s)
			continue
		}
		txn := plat.Txn{
			Compares: []plat.Compare{h.lease.Guard(), {Key: s.key, ModRevision: s.revision}},
			Deletes:  []string{s.key},
		}
		if !h.commit(ctx, txn) {
			remaining = append(remaining, s)
			continue
		}
		delete(h.lastSent, s.Worker)
		h.o.Log.Emit(event.OrderDone, event.Ref{Target: s.Worker}, s.Deployment+" "+s.Version)
	}
	return remaining
}

// mayLoad reports whether the worker of a slot loads, or may still begin to: until its order has expired, a report that it
// doesn't load says nothing unless it has the weights.
func (h *Holder) mayLoad(snap *conf.Snapshot, view *fleet.View, s slot) bool {
	st, found := h.o.Workers.WorkerStatus(s.Worker)
	if found && st.Loading {
		return true
	}
	if !view.Usable(s.Worker, snap.Target(s.Worker)) {
		return false
	}
	d := snap.Deployment(s.Deployment)
	if found && d != nil && d.WeightVersion == s.Version && hasWeights(st, d) {
		return false
	}
	sent, known := h.lastSent[s.Worker]
	if !known {
		// A former holder sent it.
		sent = h.takenAt
	}
	if !found {
		st.Age = 0
	}
	return clock.Since(sent)-st.Age <= orderTTL
}

// startLoad reserves a slot for a load and sends the order. If the worker has a
// slot already, it may send the order again.
func (h *Holder) startLoad(ctx context.Context, w wantedLoad, slots []slot) []slot {
	i := slices.IndexFunc(slots, func(s slot) bool { return s.Worker == w.worker })
	if i >= 0 {
		h.resend(ctx, w, slots[i])
		return slots
	}
	key := freeSlot(slots, w.spec.MaxLoadsOrDefault())
	if key == "" || !h.mayOrder(w) {
		h.o.Log.Emit(event.OrderDeferred, event.Ref{Target: w.worker}, w.deployment+" "+w.spec.WeightVersion)
		return slots
	}
	s := slot{Worker: w.worker, Deployment: w.deployment, Version: w.spec.WeightVersion, Fence: h.lease.Fence(), key: key}
	raw, err := json.Marshal(s)
	if err != nil {
		return slots
	}
	expires := clock.Now().Add(orderTTL)
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

// mayOrder reports whether this holder may send orders to a worker yet.
func (h *Holder) mayOrder(w wantedLoad) bool {
	return w.target.ChecksFence || clock.Since(h.takenAt) > orderTTL
}

// resend sends an order again if the worker does not report that it is loading.
func (h *Holder) resend(ctx context.Context, w wantedLoad, s slot) {
	st, found := h.o.Workers.WorkerStatus(w.worker)
	if !found || st.Loading || clock.Since(h.lastSent[w.worker]) < resendAfter || !h.mayOrder(w) {
		return
	}
	raw, err := json.Marshal(slot{Worker: w.worker, Deployment: w.deployment, Version: w.spec.WeightVersion, Fence: h.lease.Fence()})
	if err != nil {
		return
	}
	expires := clock.Now().Add(orderTTL)
	txn := plat.Txn{
		Compares: []plat.Compare{h.lease.Guard(), {Key: s.key, ModRevision: s.revision}},
		Puts:     []plat.Put{{Key: s.key, Value: raw}},
	}
	if h.commit(ctx, txn) {
		h.send(ctx, w, expires)
	}
}

// freeSlot returns the key of an unused slot, or "".
func freeSlot(slots []slot, maxLoads int) string {
	for i := range maxLoads {
		key := slotPrefix + strconv.Itoa(i)
		if !slices.ContainsFunc(slots, func(s slot) bool { return s.key == key }) {
			return key
		}
	}
	return ""
}

// commit executes a guarded write. An unknown outcome counts as a failure: the
// next check reads the result. A failed guard ends the lease.
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

// send sends an order unless it has expired since its commit.
func (h *Holder) send(ctx context.Context, w wantedLoad, expires clock.Time) {
	h.lastSent[w.worker] = clock.Now()
	ref := event.Ref{Target: w.worker}
	remaining := clock.Until(expires)
	if remaining <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	fence := h.lease.Fence()
	fencing := "fence checked"
	if !w.target.ChecksFence {
		fencing = "fence not checked, sent after the former holder's orders expired"
	}
	err := target.NewEngine(w.target.URL, h.o.Client).Order(ctx, w.order(fence, time.Now().Add(remaining)))
	if err != nil {
		h.o.Log.Emit(event.OrderRejected, ref, err.Error())
		return
	}
	h.o.Log.Emit(event.OrderSent, ref, fmt.Sprintf("%s %s, fence %d, %s", w.deployment, w.spec.WeightVersion, fence, fencing))
}
