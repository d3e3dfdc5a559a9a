package relay

import (
	"hash/maphash"
	"sync"
)

// maxUsedIDs is how many attempt IDs a daemon remembers.
const maxUsedIDs = 1 << 14

// usedIDs remembers the attempt IDs of requests that may run once and were admitted, and of requests that were refused
// with the promise that they never run. The zero value is ready for use.
type usedIDs struct {
	usedMu sync.Mutex
	// seed makes hashes that callers cannot foresee. Guarded by usedMu, like the fields below.
	seed maphash.Seed
	// hashes holds those of the newest IDs, in a ring of maxUsedIDs whose oldest is at next.
	hashes []uint64
	next   int
	// known holds the same hashes.
	known map[uint64]struct{}
}

// use records an ID and reports whether it was not known.
func (u *usedIDs) use(id string) bool {
	u.usedMu.Lock()
	defer u.usedMu.Unlock()
	if u.known == nil {
		u.seed, u.known = maphash.MakeSeed(), map[uint64]struct{}{}
	}
	hash := maphash.String(u.seed, id)
	if _, found := u.known[hash]; found {
		return false
	}
	u.known[hash] = struct{}{}
	if len(u.hashes) < maxUsedIDs {
		u.hashes = append(u.hashes, hash)
		return true
	}
	delete(u.known, u.hashes[u.next])
	u.hashes[u.next] = hash
	u.next = (u.next + 1) % maxUsedIDs
	return true
}
