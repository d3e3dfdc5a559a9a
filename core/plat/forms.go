package plat

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrSessionOver says that a session has ended and its keys are gone.
var ErrSessionOver = errors.New("the session is over")

// Reader reads keys of the key-value service and waits for their changes.
// There are two forms of it: KV, and the one of the users' platform.
type Reader interface {
	// Range reads the keys of a span, and the revision that a watch may start
	// after without missing a change.
	Range(ctx context.Context, span Span) ([]Pair, int64, error)
	// Watch calls f with the changes from the given revision on until ctx
	// ends, f fails or the service breaks off. A call of f without changes
	// reports that there were none up to its revision. It fails with ErrCompacted where the service
	// does not have that revision, or is in a later era.
	Watch(ctx context.Context, span Span, from int64, f func(changes []Change, revision int64) error) error
}

// Writer commits transactions.
type Writer interface {
	// Commit carries out t. An error that is ErrUnknown means that t may have
	// taken effect, or may still do so while its compares hold.
	Commit(ctx context.Context, t Txn) (Outcome, error)
}

// Sessions are leases of the service: keys written under a session end with it
// unless it is renewed in time.
type Sessions interface {
	// Open begins a session that lives for ttl after each renewal.
	Open(ctx context.Context, ttl time.Duration) (Session, error)
	// Renew fails with ErrSessionOver where the session has ended, or the service is in a later era.
	Renew(ctx context.Context, session Session) error
	// End ends a session with its keys. The service must be in the session's era.
	End(ctx context.Context, session Session) error
}

// Store is all that the system needs of a key-value service with sessions.
type Store interface {
	Reader
	Writer
	Sessions
}
