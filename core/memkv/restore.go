package memkv

import (
	"maps"

	"embertally.dev/core/plat"
)

// Copy is a state of the service at one moment.
type Copy struct {
	number   int64
	data     map[string]plat.Pair
	sessions map[int64][]string
	opened   int64
}

// Copy returns a copy of the service.
func (k *KV) Copy() *Copy {
	k.mu.Lock()
	defer k.mu.Unlock()
	return &Copy{plat.Number(k.revision), maps.Clone(k.data), maps.Clone(k.sessions), k.opened}
}

// Restore makes the service come back from a copy, in the next era. Revisions and names of sessions
// are given out again.
func (k *KV) Restore(c *Copy) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.era++
	k.revision = plat.Revision(k.era, c.number)
	k.base = k.revision
	k.history, k.late, k.opened = nil, nil, c.opened
	k.sessions = maps.Clone(c.sessions)
	k.data = make(map[string]plat.Pair, len(c.data))
	for key, p := range c.data {
		p.ModRevision = plat.Revision(k.era, plat.Number(p.ModRevision))
		k.data[key] = p
	}
	if k.moved != nil {
		close(k.moved)
		k.moved = nil
	}
}

// Era returns how often the service has come back from a copy.
func (k *KV) Era() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.era
}
