// Package memkv owns a key-value service in memory, for the tests of the
// slices that use one. Faults are decided by the test for each commit.
package memkv

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/plat"
)

// Fate is what becomes of one commit.
type Fate int

// The fates of commits.
const (
	// Answered is the ordinary fate.
	Answered Fate = iota
	// Lost takes effect, but its answer is lost.
	Lost
	// Dropped neither takes effect nor is answered.
	Dropped
	// Late takes effect only before the commit after next, unanswered.
	Late
)

// KV is a key-value service in memory. The zero value is empty and has no
// faults.
type KV struct {
	mu       sync.Mutex
	revision int64
	data     map[string]plat.Pair
	history  []plat.Change
	late     []plat.Txn
	moved    chan struct{}
	writes   int
	down     bool
	fate     func() Fate
	// sessions holds the keys of each open session.
	sessions map[int64][]string
	opened   int64
	// era is that of all revisions; it rises with each Restore.
	era int64
	// base is the revision after which history is whole.
	base int64
}

// SetFate makes f decide about each commit.
func (k *KV) SetFate(f func() Fate) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fate = f
}

// SetDown makes every call fail, or ends that.
func (k *KV) SetDown(down bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.down = down
}

// Writes returns how many commits took effect.
func (k *KV) Writes() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.writes
}

var errDown = errors.New("the service is down")

// Read returns one key, or nil.
func (k *KV) Read(ctx context.Context, key string) (*plat.Pair, error) {
	pairs, _, err := k.Range(ctx, plat.Span{From: key, To: key + "\x00"})
	if err != nil || len(pairs) == 0 {
		return nil, err
	}
	return &pairs[0], nil
}

// Range returns the keys of span, ordered.
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

// in reports whether a span holds a key; an end of "\x00" holds all later keys.
func in(s plat.Span, key string) bool { return key >= s.From && (key < s.To || s.To == "\x00") }

// Commit carries out t as its fate wants.
func (k *KV) Commit(_ context.Context, t plat.Txn) (plat.Outcome, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.down {
		return plat.Outcome{}, plat.ErrUnknown
	}
	late := k.late
	k.late = nil
	for _, old := range late {
		k.apply(old)
	}
	fate := Answered
	if k.fate != nil {
		fate = k.fate()
	}
	switch fate {
	case Dropped:
		return plat.Outcome{}, plat.ErrUnknown
	case Late:
		k.late = append(k.late, t)
		return plat.Outcome{}, plat.ErrUnknown
	}
	for _, p := range t.Puts {
		if _, open := k.sessions[p.Session.ID]; p.Session.ID != 0 && (!open || p.Session.Era != k.era) {
			return plat.Outcome{}, plat.ErrSessionOver
		}
	}
	out := k.apply(t)
	if fate == Lost {
		return plat.Outcome{}, plat.ErrUnknown
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
	if k.moved != nil {
		close(k.moved)
		k.moved = nil
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

// Open begins a session, which lives until it is ended or expired.
func (k *KV) Open(context.Context, time.Duration) (plat.Session, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.down {
		return plat.Session{}, errDown
	}
	if k.sessions == nil {
		k.sessions = map[int64][]string{}
	}
	k.opened++
	k.sessions[k.opened] = nil
	return plat.Session{ID: k.opened, Era: k.era}, nil
}

// Renew fails where a session was ended or expired.
func (k *KV) Renew(_ context.Context, session plat.Session) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.down {
		return errDown
	}
	if _, open := k.sessions[session.ID]; !open || session.Era != k.era {
		return plat.ErrSessionOver
	}
	return nil
}

// End ends a session with its keys.
func (k *KV) End(_ context.Context, session plat.Session) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.down {
		return errDown
	}
	k.end(session.ID)
	return nil
}

// Expire ends all sessions, as if nobody had renewed them.
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
	if k.moved != nil {
		close(k.moved)
		k.moved = nil
	}
}

// Watch calls f with the changes of span from a revision on, until ctx ends or
// the service goes down.
func (k *KV) Watch(ctx context.Context, span plat.Span, from int64, f func([]plat.Change, int64) error) error {
	for {
		k.mu.Lock()
		if k.down {
			k.mu.Unlock()
			return errDown
		}
		if plat.Era(from) != k.era || (k.base > 0 && from <= k.base) {
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
		revision := k.revision
		if k.moved == nil {
			k.moved = make(chan struct{})
		}
		moved := k.moved
		k.mu.Unlock()
		if err := f(list, revision); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-moved:
		}
	}
}

// Under returns the keys that begin with prefix, ordered.
func (k *KV) Under(prefix string) []plat.Pair {
	// A Range fails only while the service is down, and then holds nothing to be read.
	pairs, _, _ := k.Range(context.Background(), plat.Prefix(prefix))
	return pairs
}
