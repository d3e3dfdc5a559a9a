package relay

import (
	"hash/maphash"
	"net/http"
	"sync"

	"embertally.dev/core/entry"
)

// maxUsedIDs is how many attempt IDs a daemon remembers, of each kind.
const maxUsedIDs = 1 << 14

// usedIDs remembers the attempt IDs of requests that may run once. The zero value is ready for use.
type usedIDs struct {
	usedMu sync.Mutex
	// seed makes hashes that callers cannot foresee. It is set with the first ID. Guarded by usedMu, like the fields below.
	seed   maphash.Seed
	seeded bool
	// admitted holds the requests that may run or have run, refused those of which their callers were told that they never
	// will. None that admitted holds is added to refused.
	admitted, refused idRing
}

// hash returns the hash of an ID. It is called with usedMu held.
func (u *usedIDs) hash(id string) uint64 {
	if !u.seeded {
		u.seed, u.seeded = maphash.MakeSeed(), true
	}
	return maphash.String(u.seed, id)
}

// admit records that a request may run, and reports false if its ID is known.
func (u *usedIDs) admit(id string) bool {
	u.usedMu.Lock()
	defer u.usedMu.Unlock()
	hash := u.hash(id)
	return !u.refused.has(hash) && u.admitted.add(hash)
}

// refuse records that a request never runs, and reports false if one with its ID was admitted.
func (u *usedIDs) refuse(id string) bool {
	u.usedMu.Lock()
	defer u.usedMu.Unlock()
	hash := u.hash(id)
	if u.admitted.has(hash) {
		return false
	}
	u.refused.add(hash)
	return true
}

// idRing holds the hashes of the newest IDs. The zero value is empty.
type idRing struct {
	// hashes has at most maxUsedIDs, of which the oldest is at next once there are that many.
	hashes []uint64
	next   int
	// known holds the same hashes.
	known map[uint64]struct{}
}

// has reports whether the ring holds a hash.
func (r *idRing) has(hash uint64) bool {
	_, found := r.known[hash]
	return found
}

// add adds a hash, and reports false if the ring holds it.
func (r *idRing) add(hash uint64) bool {
	if r.has(hash) {
		return false
	}
	if r.known == nil {
		r.known = map[uint64]struct{}{}
	}
	r.known[hash] = struct{}{}
	if len(r.hashes) < maxUsedIDs {
		r.hashes = append(r.hashes, hash)
		return true
	}
	delete(r.known, r.hashes[r.next])
	r.hashes[r.next] = hash
	r.next = (r.next + 1) % maxUsedIDs
	return true
}

// admitID refuses a request that may run once if its ID is that of an earlier one.
func (p *proxiedRequest) admitID() *entry.Refusal {
	if p.route.MayRepeat() {
		return nil
	}
	if !p.relay.usedIDs.admit(p.meta.AttemptID) {
		return p.refuseID()
	}
	p.ownsID = true
	return nil
}

// mayPromise reports whether the caller may be told that the request never runs, which holds for all that have its ID. It
// records that the caller is told so.
func (p *proxiedRequest) mayPromise() bool {
	switch {
	case p.ownsID, p.meta.AttemptID == "", p.route != nil && p.route.MayRepeat():
		return true
	case p.meta.ForTarget:
		// A daemon that a list of targets names has to answer so, whatever the ID.
		return true
	}
	return p.relay.usedIDs.refuse(p.meta.AttemptID)
}

// refuseID returns the refusal of a request whose ID is that of an earlier one.
func (p *proxiedRequest) refuseID() *entry.Refusal {
	p.relay.options.Stats.ReusedIDs.Inc()
	return entry.NewRefusal(http.StatusBadRequest, entry.CodeIDReused, entry.Unknown,
		"the ID is that of an earlier attempt, which may have run; each attempt of a request that may run once needs its own", 0)
}
