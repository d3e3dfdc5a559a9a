package memkv

import (
	"maps"

	"embertally.dev/core/plat"
)

// Copy is a snapshot of the store.
type Copy struct {
	number      int64 // the store's own revision number
	data        map[string]plat.Pair
	sessions    map[int64][]string
	lastSession int64
}

// Copy returns a snapshot of the store.
func (k *KV) Copy() *Copy {
	k.mu.Lock()
	defer k.mu.Unlock()
	return &Copy{plat.StoreRevision(k.revision), maps.Clone(k.data), maps.Clone(k.sessions), k.lastSession}
}

// Restore sets the store to a snapshot, in the next store incarnation. Revision numbers and
// session IDs from after the snapshot are assigned again. Watches that wait fail with
// ErrCompacted.
func (k *KV) Restore(c *Copy) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.incarnation++
	k.revision = plat.Revision(k.incarnation, c.number)
	k.historyStart = k.revision
	k.history, k.delayed, k.lastSession = nil, nil, c.lastSession
	k.sessions = maps.Clone(c.sessions)
	k.data = make(map[string]plat.Pair, len(c.data))
	for key, p := range c.data {
		p.ModRevision = plat.Revision(k.incarnation, plat.StoreRevision(p.ModRevision))
		k.data[key] = p
	}
	if k.changed != nil {
		close(k.changed)
		k.changed = nil
	}
}

// StoreIncarnation returns the store incarnation, which is the number of calls of Restore.
func (k *KV) StoreIncarnation() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.incarnation
}
