package roster

import "sync"

// busyTargets are the targets that this daemon has work at, so that a heartbeat need not ask all
// (BenchmarkCollect). The zero value holds none.
//
// Lock order: busyMu before a target's targetMu.
type busyTargets struct {
	busyMu sync.Mutex
	// set holds all targets that have work, and may hold some that have none any more.
	// Guarded by busyMu.
	set map[*Target]bool
}

// add records that a target has work. It is called after its work was counted.
func (b *busyTargets) add(t *Target) {
	b.busyMu.Lock()
	defer b.busyMu.Unlock()
	if b.set == nil {
		b.set = map[*Target]bool{}
	}
	b.set[t] = true
}

// loads returns the work at each target that has some.
func (b *busyTargets) loads() map[string]Load {
	b.busyMu.Lock()
	defer b.busyMu.Unlock()
	out := make(map[string]Load, len(b.set))
	for t := range b.set {
		l := t.Own()
		if l == (Load{}) {
			delete(b.set, t)
			continue
		}
		out[t.id] = l
	}
	return out
}
