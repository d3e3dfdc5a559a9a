package fleet

import (
	"maps"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/event"
)

// maxDrainOrders bounds the drain orders that are stored. Orders for further targets are
// ignored.
const maxDrainOrders = 4096

// SetMark applies an operator's drain order to a target and sends it to peers. leaving is false
// to cancel the drain.
func (f *Fleet) SetMark(target string, leaving bool) {
	m := DrainOrder{Leaving: leaving, Stamp: time.Now().UnixNano()}
	f.fleetMu.Lock()
	if old := f.drainOrders[target]; m.Stamp <= old.Stamp {
		m.Stamp = old.Stamp + 1
	}
	f.fleetMu.Unlock()
	f.merge(map[string]DrainOrder{target: m})
	f.Kick()
}

// merge stores the orders that are newer than the recorded ones and reports whether there were
// any.
func (f *Fleet) merge(drainOrders map[string]DrainOrder) bool {
	f.fleetMu.Lock()
	var taken []string
	for target, m := range drainOrders {
		old, known := f.drainOrders[target]
		if m.Stamp <= old.Stamp || (!known && len(f.drainOrders) >= maxDrainOrders) {
			continue
		}
		f.drainOrders[target] = m
		taken = append(taken, target)
	}
	f.fleetMu.Unlock()
	if len(taken) == 0 {
		return false
	}
	f.rebuild()
	for _, target := range taken {
		code := event.TargetReturning
		if drainOrders[target].Leaving {
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
	var drainOrders map[string]DrainOrder
	if msgpack.Unmarshal(body, &drainOrders) != nil {
		return
	}
	f := (*Fleet)(p)
	if f.merge(drainOrders) {
		f.Kick()
	}
}
