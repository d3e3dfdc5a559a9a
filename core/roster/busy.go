package roster

import "sync"

// busyTargets is the set of targets at which this daemon has work, so that a heartbeat need not
// visit all targets (BenchmarkCollect). The zero value is empty.
//
// Lock order: busyMu before a target's targetMu.
type busyTargets struct {
	busyMu sync.Mutex
	// set contains all targets that have work, and may contain some that no longer have any.
	// Guarded by busyMu.
	set map[*Target]bool
}

// add records that a target has work. It is called after the work was counted.
func (b *busyTargets) add(t *Target) {
	b.busyMu.Lock()
	defer b.busyMu.Unlock()
	if b.set == nil {
		b.set = map[*Target]bool{}
	}
	b.set[t] = true
}

// loads returns the work at each target that has any.
func (b *busyTargets) loads() map[string]Load {
	b.busyMu.Lock()
	defer b.busyMu.Unlock()
	out := make(map[string]Load, len(b.set))
	for t := range b.set {
		l := t.LocalLoad()
		if l == (Load{}) {
			delete(b.set, t)
			continue
		}
		out[t.id] = l
	}
	return out
}
