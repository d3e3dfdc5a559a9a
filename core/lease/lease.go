// Package lease owns the right to act alone: a key in the key-value service
// whose epoch rises with each holder.
//
// Who should hold a lease is decided elsewhere, from who is alive. Whether an
// act of a holder counts is decided here, by a compare in the same
// transaction. No clock is involved: a holder that was paused and wakes fails
// the compare.
package lease

import (
	"context"
	"encoding/json"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"embertally.dev/core/plat"
)

// KV is what a lease needs of the key-value service.
type KV interface {
	Read(ctx context.Context, key string) (*plat.Pair, error)
	Commit(ctx context.Context, t plat.Txn) (plat.Outcome, error)
}

// Lease is the right to act as the holder of a key. The zero value is no
// lease; its guard never holds.
type Lease struct {
	key      string
	epoch    uint64
	revision int64
}

// record is the value of a lease's key.
type record struct {
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
	// Taking tells a holder whose write lost its answer that it took effect.
	Taking string `json:"taking"`
}

// ErrTaken says that another holder took the lease at the same time.
var ErrTaken = errors.New("lease was taken by another")

// Take makes holder the holder of key, whoever held it before.
func Take(ctx context.Context, kv KV, key, holder string) (Lease, error) {
	old, err := kv.Read(ctx, key)
	if err != nil {
		return Lease{}, err
	}
	next := record{Holder: holder, Epoch: 1, Taking: uuid.NewString()}
	compare := plat.Compare{Key: key}
	if old != nil {
		var was record
		if err := json.Unmarshal(old.Value, &was); err != nil {
			return Lease{}, errors.Wrapf(err, "lease %s", key)
		}
		next.Epoch = was.Epoch + 1
		compare.ModRevision = old.ModRevision
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
	return settle(ctx, kv, key, next)
}

// settle reads back whether a taking took effect.
func settle(ctx context.Context, kv KV, key string, next record) (Lease, error) {
	now, err := kv.Read(ctx, key)
	if err != nil {
		return Lease{}, err
	}
	if now == nil {
		return Lease{}, errors.WithStack(ErrTaken)
	}
	var is record
	if err := json.Unmarshal(now.Value, &is); err != nil || is.Taking != next.Taking {
		return Lease{}, errors.WithStack(ErrTaken)
	}
	return Lease{key: key, epoch: next.Epoch, revision: now.ModRevision}, nil
}

// Held reports whether this is a lease at all.
func (l Lease) Held() bool { return l.epoch > 0 }

// Epoch returns the number of the holder among those of the key.
func (l Lease) Epoch() uint64 { return l.epoch }

// Fence returns the number that fences the holder's orders. It rises with
// every holder of every lease, so that a target which passes from one lease to
// another sees it rise as well.
func (l Lease) Fence() uint64 { return uint64(max(0, l.revision)) }

// Guard returns the condition under which acts of this holder count.
func (l Lease) Guard() plat.Compare {
	if !l.Held() {
		// A key that exists never has this revision.
		return plat.Compare{Key: l.key, ModRevision: -1}
	}
	return plat.Compare{Key: l.key, ModRevision: l.revision}
}

// isOver reports whether the service says that a session has ended.
func isOver(err error) bool { return errors.Is(err, plat.ErrSessionOver) }
