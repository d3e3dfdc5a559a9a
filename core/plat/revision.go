package plat

// The store's revisions increase within one store incarnation only: a store that is restored from
// an older copy starts another incarnation, in which it assigns the same revision numbers again.
// A revision in this package is one number that combines the store incarnation, in its upper
// bits, and the store's own revision number, so that comparisons of revisions are valid across
// incarnations. For a store without incarnations it equals the store's own number.

const (
	// incarnationShift is the number of bits of a revision that hold the store's own number.
	incarnationShift = 40
	// MaxStoreRevision is the highest number of the store's own that a revision can hold.
	MaxStoreRevision = 1<<incarnationShift - 1
	// MaxStoreIncarnation is the highest store incarnation that a revision can hold. Revisions
	// serve as fencing tokens, which are sent as numbers that must be exact in a float64.
	MaxStoreIncarnation = 1<<(53-incarnationShift) - 1
)

// Revision combines a store incarnation and the store's own revision number.
func Revision(incarnation, number int64) int64 { return incarnation<<incarnationShift | number }

// StoreIncarnation returns the store incarnation of a revision; 0 where the store has none.
func StoreIncarnation(revision int64) int64 { return max(0, revision) >> incarnationShift }

// StoreRevision returns the store's own revision number of a revision. Negative revisions, which no
// key has, are returned unchanged.
func StoreRevision(revision int64) int64 {
	if revision < 0 {
		return revision
	}
	return revision & (1<<incarnationShift - 1)
}

// Session identifies a session of the store. The zero value means no session.
type Session struct {
	ID int64
	// StoreIncarnation is the store incarnation in which the session was opened. In a later one
	// the same ID may belong to another session.
	StoreIncarnation int64
}
