package fleet

import (
	"maps"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/event"
)

// maxDrainOrders is the maximum number of drain orders stored. Orders for further targets are
// ignored.
const maxDrainOrders = 4096

// SetDrain applies an operator's drain order to a target and sends it to peers. drain is false to
// cancel the drain.
func (f *Fleet) SetDrain(target string, drain bool) {
	order := DrainOrder{Drain: drain, Stamp: time.Now().UnixNano()}
	f.fleetMu.Lock()
	if old := f.drainOrders[target]; order.Stamp <= old.Stamp {
		order.Stamp = old.Stamp + 1
	}
	f.fleetMu.Unlock()
	f.merge(map[string]DrainOrder{target: order})
	f.TriggerHeartbeat()
}

// merge stores the orders that are newer than the recorded ones and reports whether there were
// any.
func (f *Fleet) merge(orders map[string]DrainOrder) bool {
	f.fleetMu.Lock()
	var accepted []string
	for target, order := range orders {
		old, recorded := f.drainOrders[target]
		if order.Stamp <= old.Stamp || (!recorded && len(f.drainOrders) >= maxDrainOrders) {
			continue
		}
		f.drainOrders[target] = order
		accepted = append(accepted, target)
	}
	f.fleetMu.Unlock()
	if len(accepted) == 0 {
		return false
	}
	f.rebuild()
	for _, target := range accepted {
		code := event.TargetReturning
		if orders[target].Drain {
			code = event.TargetLeaving
		}
		f.opts.Log.Emit(code, event.Ref{Target: target}, "")
	}
	return true
}

// drainOrderPart puts all drain orders into every heartbeat: there are few.
type drainOrderPart Fleet

// Collect returns the drain orders.
func (p *drainOrderPart) Collect(bool) any {
	f := (*Fleet)(p)
	f.fleetMu.Lock()
	defer f.fleetMu.Unlock()
	if len(f.drainOrders) == 0 {
		return nil
	}
	return maps.Clone(f.drainOrders)
}

// Receive merges a peer's drain orders and forwards new ones to other peers.
func (p *drainOrderPart) Receive(_ string, body []byte) {
	var orders map[string]DrainOrder
	if msgpack.Unmarshal(body, &orders) != nil {
		return
	}
	f := (*Fleet)(p)
	if f.merge(orders) {
		f.TriggerHeartbeat()
	}
}
