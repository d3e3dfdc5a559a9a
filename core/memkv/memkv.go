// Package memkv owns an in-memory coordination store for the tests of packages that use one. A
// test can inject a fault into each commit.
//
// It must not know what the tests keep in it.
package memkv

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/clock"
	"embertally.dev/core/plat"
)

// Fault is the fault injected into a commit.
type Fault int

// The faults of commits.
const (
	// NoFault means no fault.
	NoFault Fault = iota
	// LostResponse applies the commit but loses the response.
	LostResponse
	// LostRequest loses the request: the commit is not applied and gets no response.
	LostRequest
	// Delayed delays the commit: it gets no response and is applied just before the next one, if
	// its compares hold then.
	Delayed
)

// KV is an in-memory coordination store. The zero value is empty and has no faults.
type KV struct {
	mu       sync.Mutex
	revision int64
	data     map[string]plat.Pair
	history  []plat.Change // in order
	delayed  []plat.Txn    // commits with the fault Delayed
	changed  chan struct{} // closed at the next change; nil while no watch waits
	writes   int           // commits that took effect
	down     bool          // true while every call fails
	fault    func() Fault  // chooses the fault of each commit; nil for none
	// sessions holds the keys of each open session by its ID.
	sessions    map[int64][]string
	lastSession int64 // ID of the last session opened
	// incarnation is the store incarnation, which Restore increments; all revisions are of it.
	incarnation int64
	// historyStart is the revision after which history is complete.
	historyStart int64
}

// SetFault makes f choose the fault of each commit.
func (k *KV) SetFault(f func() Fault) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fault = f
}

// SetDown makes every call fail, until it is called with false.
func (k *KV) SetDown(down bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.down = down
}

// Writes returns the number of commits that took effect.
func (k *KV) Writes() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.writes
}

var errDown = errors.New("store is down")

// Read returns one key, or nil if it does not exist.
func (k *KV) Read(ctx context.Context, key string) (*plat.Pair, error) {
	pairs, _, err := k.Range(ctx, plat.Span{From: key, To: key + "\x00"})
	if err != nil || len(pairs) == 0 {
		return nil, err
	}
	return &pairs[0], nil
}

// Range returns the keys of span, ordered by key, and the current revision.
func (k *KV) Range(_ context.Context, span plat.Span) ([]plat.Pair, int64, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.down {
		return nil, 0, errDown
	}
	var out []plat.Pair
	for key, p := range k.data {
		if in(span, key) {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b plat.Pair) int { return strings.Compare(a.Key, b.Key) })
	return out, k.revision, nil
}

// in reports whether a span contains a key; a span To "\x00" contains all later keys.
func in(s plat.Span, key string) bool { return key >= s.From && (key < s.To || s.To == "\x00") }

// Commit executes t with the fault that the function set by SetFault chooses.
func (k *KV) Commit(_ context.Context, t plat.Txn) (plat.Outcome, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.down {
		return plat.Outcome{}, plat.ErrOutcomeUnknown
	}
	delayed := k.delayed
	k.delayed = nil
	for _, d := range delayed {
		k.apply(d)
	}
	fault := NoFault
	if k.fault != nil {
		fault = k.fault()
	}
	switch fault {
	case LostRequest:
		return plat.Outcome{}, plat.ErrOutcomeUnknown
	case Delayed:
		k.delayed = append(k.delayed, t)
		return plat.Outcome{}, plat.ErrOutcomeUnknown
	}
	for _, p := range t.Puts {
		if _, open := k.sessions[p.Session.ID]; p.Session.ID != 0 && (!open || p.Session.StoreIncarnation != k.incarnation) {
			return plat.Outcome{}, plat.ErrSessionEnded
		}
	}
	out := k.apply(t)
	if fault == LostResponse {
		return plat.Outcome{}, plat.ErrOutcomeUnknown
	}
	return out, nil
}

func (k *KV) apply(t plat.Txn) plat.Outcome {
	for _, c := range t.Compares {
		if k.data[c.Key].ModRevision != c.ModRevision {
			return plat.Outcome{Revision: k.revision}
		}
	}
	if k.data == nil {
		k.data = map[string]plat.Pair{}
	}
	k.revision++
	k.writes++
	for _, p := range t.Puts {
		if p.Session.ID != 0 {
			k.sessions[p.Session.ID] = append(k.sessions[p.Session.ID], p.Key)
		}
		pair := plat.Pair{Key: p.Key, Value: p.Value, ModRevision: k.revision}
		k.data[p.Key] = pair
		k.history = append(k.history, plat.Change{Pair: pair})
	}
	for _, key := range t.Deletes {
		k.remove(plat.Span{From: key, To: key + "\x00"})
	}
	if t.DeleteRange != nil {
		k.remove(*t.DeleteRange)
	}
	if k.changed != nil {
		close(k.changed)
		k.changed = nil
	}
	return plat.Outcome{Succeeded: true, Revision: k.revision}
}

func (k *KV) remove(s plat.Span) {
	for key := range k.data {
		if in(s, key) {
			delete(k.data, key)
			k.history = append(k.history, plat.Change{Pair: plat.Pair{Key: key, ModRevision: k.revision}, Deleted: true})
		}
	}
}

// Open starts a session, which lasts until End or Expire.
func (k *KV) Open(context.Context, time.Duration) (plat.Session, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.down {
		return plat.Session{}, errDown
	}
	if k.sessions == nil {
		k.sessions = map[int64][]string{}
	}
	k.lastSession++
	k.sessions[k.lastSession] = nil
	return plat.Session{ID: k.lastSession, StoreIncarnation: k.incarnation}, nil
}

// Renew fails if a session has ended. It does not extend a session: they expire by Expire only.
func (k *KV) Renew(_ context.Context, session plat.Session) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.down {
		return errDown
	}
	if _, open := k.sessions[session.ID]; !open || session.StoreIncarnation != k.incarnation {
		return plat.ErrSessionEnded
	}
	return nil
}

// End ends a session and deletes its keys.
func (k *KV) End(_ context.Context, session plat.Session) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.down {
		return errDown
	}
	k.end(session.ID)
	return nil
}

// Expire ends all sessions and deletes their keys, as if none had been renewed in time.
func (k *KV) Expire() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for id := range k.sessions {
		k.end(id)
	}
}

func (k *KV) end(id int64) {
	keys := k.sessions[id]
	delete(k.sessions, id)
	k.revision++
	for _, key := range keys {
		k.remove(plat.Span{From: key, To: key + "\x00"})
	}
	if k.changed != nil {
		close(k.changed)
		k.changed = nil
	}
}

// Watch calls f with the changes of span from a revision on, until ctx ends, f fails or the
// store is down when it wakes up.
func (k *KV) Watch(ctx context.Context, span plat.Span, from int64, f func([]plat.Change, int64, clock.Time) error) error {
	for {
		k.mu.Lock()
		if k.down {
			k.mu.Unlock()
			return errDown
		}
		if plat.StoreIncarnation(from) != k.incarnation || (k.historyStart > 0 && from <= k.historyStart) {
			k.mu.Unlock()
			return plat.ErrCompacted
		}
		var list []plat.Change
		for _, c := range k.history {
			if c.ModRevision >= from && in(span, c.Key) {
				list = append(list, c)
			}
		}
		from = k.revision + 1
		revision, asOf := k.revision, clock.Now()
		if k.changed == nil {
			k.changed = make(chan struct{})
		}
		changed := k.changed
		k.mu.Unlock()
		if err := f(list, revision, asOf); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// WithPrefix returns the pairs whose keys begin with prefix, ordered by key; none while the store is
// down.
func (k *KV) WithPrefix(prefix string) []plat.Pair {
	// Range fails only while the store is down, and then returns nothing.
	pairs, _, _ := k.Range(context.Background(), plat.Prefix(prefix))
	return pairs
}
