package fleet

import (
	"maps"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/event"
)

// maxMarks bounds the drain orders that are kept.
const maxMarks = 4096

// SetMark puts an operator's drain order in force here and spreads it.
func (f *Fleet) SetMark(target string, leaving bool) {
	m := Mark{Leaving: leaving, Stamp: time.Now().UnixNano()}
	f.fleetMu.Lock()
	if old := f.marks[target]; m.Stamp <= old.Stamp {
		m.Stamp = old.Stamp + 1
	}
	f.fleetMu.Unlock()
	f.merge(map[string]Mark{target: m})
	f.Kick()
}

// merge takes marks that are newer than those known and reports whether there
// were any.
func (f *Fleet) merge(marks map[string]Mark) bool {
	f.fleetMu.Lock()
	var taken []string
	for target, m := range marks {
		old, known := f.marks[target]
		if m.Stamp <= old.Stamp || (!known && len(f.marks) >= maxMarks) {
			continue
		}
		f.marks[target] = m
		taken = append(taken, target)
	}
	f.fleetMu.Unlock()
	if len(taken) == 0 {
		return false
	}
	f.rebuild()
	for _, target := range taken {
		code := event.TargetReturning
		if marks[target].Leaving {
			code = event.TargetLeaving
		}
		f.o.Log.Emit(code, event.Ref{Target: target}, "")
	}
	return true
}

// markPart spreads the drain orders in every heartbeat: there are few.
type markPart Fleet

// Collect returns the drain orders.
func (p *markPart) Collect(bool) any {
	f := (*Fleet)(p)
	f.fleetMu.Lock()
	defer f.fleetMu.Unlock()
	if len(f.marks) == 0 {
		return nil
	}
	return maps.Clone(f.marks)
}

// Receive takes a peer's drain orders and passes new ones on.
func (p *markPart) Receive(_ string, body []byte) {
	var marks map[string]Mark
	if msgpack.Unmarshal(body, &marks) != nil {
		return
	}
	f := (*Fleet)(p)
	if f.merge(marks) {
		f.Kick()
	}
}
