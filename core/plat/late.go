package plat

import (
	"context"

	"embertally.dev/core/clock"
)

// largeValue is the size from which a value goes to peers by itself. What is smaller
// must never wait behind one that is larger: on a link of 10 Mbit/s, the slowest of
// the users' boxes, this size takes 26 ms and the largest that the users' store holds
// 840 ms, and a daemon tells up to 19 others. Entries of targets have some 200
// bytes, configurations 5 KB to 1 MB, most of them less than this.
const largeValue = 32 << 10

// Large reports whether a value goes to peers by itself.
func Large(value []byte) bool { return len(value) >= largeValue }

// lateValue is a value that has not arrived.
type lateValue struct {
	// revision is the least that it must have.
	revision int64
	// since is when it was first known that what is here is replaced.
	since clock.Time
}

// slim returns the change without its value where that is large.
func (c Change) slim() Change {
	if !Large(c.Value) {
		return c
	}
	return Change{Pair: Pair{Key: c.Key, ModRevision: c.ModRevision}, Late: true}
}

// await records that a value has not arrived. It is called with mirrorMu held.
func (m *Mirror) await(key string, revision int64) {
	v, late := m.late[key]
	if !late {
		v.since = clock.Now()
	}
	v.revision = revision
	m.late[key] = v
}

// Arrive takes a value that was late. It changes nothing where a newer one is known,
// or the key is gone.
func (m *Mirror) Arrive(p Pair) {
	m.tellMu.Lock()
	defer m.tellMu.Unlock()
	m.mirrorMu.Lock()
	wanted, late := m.late[p.Key]
	if !late || p.ModRevision < wanted.revision {
		m.mirrorMu.Unlock()
		return
	}
	delete(m.late, p.Key)
	m.pairs[p.Key] = p
	m.mirrorMu.Unlock()
	m.tell([]Change{{Pair: p}})
}

// Fetch asks the service itself for the value of one key. It returns false where the
// service has none.
func (m *Mirror) Fetch(ctx context.Context, key string) (Pair, bool, error) {
	pairs, _, err := m.from.Range(ctx, Prefix(key))
	if err != nil {
		return Pair{}, false, err
	}
	for _, p := range pairs {
		if p.Key == key {
			return p, true, nil
		}
	}
	return Pair{}, false, nil
}

// Behind reports whether a value is known to be there that has not arrived.
func (m *Mirror) Behind() bool {
	m.mirrorMu.Lock()
	defer m.mirrorMu.Unlock()
	return len(m.late) > 0
}

// Late returns the keys whose values have not arrived, without the values and with
// the revisions that they have at least.
func (m *Mirror) Late() []Pair {
	m.mirrorMu.Lock()
	defer m.mirrorMu.Unlock()
	var out []Pair
	for key, v := range m.late {
		out = append(out, Pair{Key: key, ModRevision: v.revision})
	}
	return out
}

// LateSince returns since when a value has been lacking; zero where none is.
func (m *Mirror) LateSince() clock.Time {
	m.mirrorMu.Lock()
	defer m.mirrorMu.Unlock()
	var first clock.Time
	for _, v := range m.late {
		if first.IsZero() || v.since.Before(first) {
			first = v.since
		}
	}
	return first
}
