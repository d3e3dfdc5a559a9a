// Package lease owns leadership leases: keys in the coordination store whose epoch or fencing
// token rises with each holder.
//
// It must not know which daemon should hold a lease; the callers decide that from their view of the
// fleet's membership. Whether an action of a holder of a Lease takes effect depends on a compare in
// the same transaction, not on a clock: a holder that was suspended and resumes fails the compare.
package lease

import (
	"context"
	"encoding/json"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"embertally.dev/core/plat"
)

// KV is the part of the coordination store that a Lease uses.
type KV interface {
	Read(ctx context.Context, key string) (*plat.Pair, error)
	Commit(ctx context.Context, t plat.Txn) (plat.Outcome, error)
}

// Lease is a leadership lease on a key. The zero value is no lease; its guard never holds.
type Lease struct {
	key      string
	epoch    uint64
	revision int64
}

// record is the value of a lease's key.
type record struct {
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
	// Taking identifies one attempt to take the lease, so that a holder whose write got no response
	// can tell whether it took effect.
	Taking string `json:"taking"`
}

// ErrTaken means that another holder took the lease at the same time.
var ErrTaken = errors.New("lease was taken by another")

// Take makes holder the holder of key, whoever held it before.
func Take(ctx context.Context, kv KV, key, holder string) (Lease, error) {
	current, err := kv.Read(ctx, key)
	if err != nil {
		return Lease{}, err
	}
	next := record{Holder: holder, Epoch: 1, Taking: uuid.NewString()}
	compare := plat.Compare{Key: key}
	if current != nil {
		var former record
		if err := json.Unmarshal(current.Value, &former); err != nil {
			return Lease{}, errors.Wrapf(err, "lease %s", key)
		}
		next.Epoch = former.Epoch + 1
		compare.ModRevision = current.ModRevision
	}
	raw, err := json.Marshal(next)
	if err != nil {
		return Lease{}, errors.WithStack(err)
	}
	txn := plat.Txn{Compares: []plat.Compare{compare}, Puts: []plat.Put{{Key: key, Value: raw}}}
	out, err := kv.Commit(ctx, txn)
	if err == nil && out.Succeeded {
		return Lease{key: key, epoch: next.Epoch, revision: out.Revision}, nil
	}
	return confirmTake(ctx, kv, key, next)
}

// confirmTake reads back whether an attempt to take the lease took effect.
func confirmTake(ctx context.Context, kv KV, key string, next record) (Lease, error) {
	current, err := kv.Read(ctx, key)
	if err != nil {
		return Lease{}, err
	}
	if current == nil {
		return Lease{}, errors.WithStack(ErrTaken)
	}
	var stored record
	if err := json.Unmarshal(current.Value, &stored); err != nil || stored.Taking != next.Taking {
		return Lease{}, errors.WithStack(ErrTaken)
	}
	return Lease{key: key, epoch: next.Epoch, revision: current.ModRevision}, nil
}

// Held reports whether the lease was taken. Whether it still applies is decided by the compare with
// Guard.
func (l Lease) Held() bool { return l.epoch > 0 }

// Epoch returns the number of this holder in the sequence of the key's holders.
func (l Lease) Epoch() uint64 { return l.epoch }

// Fence returns the fencing token for the holder's orders. It rises with every holder of every
// lease, so a target whose orders come under another lease sees it rise as well.
func (l Lease) Fence() uint64 { return uint64(max(0, l.revision)) }

// Guard returns the condition under which the holder's writes take effect.
func (l Lease) Guard() plat.Compare {
	if !l.Held() {
		// No key ever has this revision.
		return plat.Compare{Key: l.key, ModRevision: -1}
	}
	return plat.Compare{Key: l.key, ModRevision: l.revision}
}

// isSessionEnded reports whether the coordination store answered that a session has expired.
func isSessionEnded(err error) bool { return errors.Is(err, plat.ErrSessionEnded) }
