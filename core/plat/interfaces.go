package plat

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/clock"
)

// ErrSessionEnded means that a session has ended and its keys were deleted.
var ErrSessionEnded = errors.New("session has ended")

// Reader reads keys of the coordination store and watches them for changes. It is implemented by
// KV, for etcd's JSON gateway, and by the client of the users' platform.
type Reader interface {
	// Range returns the keys of a span, and a revision such that a watch from the next one
	// misses no change.
	Range(ctx context.Context, span Span) ([]Pair, int64, error)
	// Watch calls f with the changes from the given revision on until ctx ends, f fails or the
	// connection to the store breaks. A call of f without changes reports that there were none
	// up to its revision. The changes and those of the former calls are all that the store
	// acknowledged before asOf, which is zero if that is not known. Watch fails with ErrCompacted if
	// the store no longer has that revision or is in a later store incarnation.
	Watch(ctx context.Context, span Span, from int64, f func(changes []Change, revision int64, asOf clock.Time) error) error
}

// Writer commits transactions.
type Writer interface {
	// Commit executes t. An error that is ErrOutcomeUnknown means that t may have taken
	// effect, or may still do so while its compares hold.
	Commit(ctx context.Context, t Txn) (Outcome, error)
}

// Sessions manages the store's sessions, which are leases: keys written under a session are
// deleted with it unless it is renewed in time.
type Sessions interface {
	// Open starts a session that lasts for ttl after each renewal.
	Open(ctx context.Context, ttl time.Duration) (Session, error)
	// Renew extends a session. It fails with ErrSessionEnded if the session has ended or the
	// store is in a later store incarnation.
	Renew(ctx context.Context, session Session) error
	// End ends a session and deletes its keys. The store must be in the session's store
	// incarnation.
	End(ctx context.Context, session Session) error
}

// Store is the complete interface that the system needs of a coordination store.
type Store interface {
	Reader
	Writer
	Sessions
}
