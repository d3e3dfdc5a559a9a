package plat

import (
	"context"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/event"
)

// Mirror keeps a copy of some keys of the key-value service current, with one
// watch. The zero value is not usable; see NewMirror.
//
// Lock order: mirrorMu is taken alone; observers are called without it.
type Mirror struct {
	from Reader
	span Span
	log  *event.Log
	// observers are filled before Run.
	observers []func([]Change)

	mirrorMu sync.Mutex
	pairs    map[string]Pair // guarded by mirrorMu
	// revision is the highest that was seen; 0 before the first copy. Guarded
	// by mirrorMu.
	revision int64
	// contact is when the service last answered. Guarded by mirrorMu.
	contact time.Time
	// regained is when the service answered again after a silence. Guarded by
	// mirrorMu.
	regained time.Time
	// silence is how long that silence was. Guarded by mirrorMu.
	silence time.Duration
	down    bool // guarded by mirrorMu
}

// NewMirror returns a mirror of the keys in span.
func NewMirror(from Reader, span Span, log *event.Log) *Mirror {
	return &Mirror{from: from, span: span, log: log, pairs: map[string]Pair{}}
}

// Observe makes f hear of all changes, in order, from one goroutine. It must be
// called before Run.
func (m *Mirror) Observe(f func([]Change)) { m.observers = append(m.observers, f) }

// Pauses of a mirror.
const (
	// retryPause and retryMost space the tries while the service does not
	// answer. The platform prices each call, also refused ones, and a daemon
	// must follow again well within the 3 s that the users' rules give it.
	retryPause = 150 * time.Millisecond
	retryMost  = 500 * time.Millisecond
	// downAfter is the silence that counts as an outage: watches answer at
	// least every two seconds.
	downAfter = 2500 * time.Millisecond
)

// Run keeps the copy current until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	pause := retryPause
	whole := false
	for ctx.Err() == nil {
		err := m.follow(ctx, &whole)
		if ctx.Err() != nil {
			return
		}
		if m.since() < retryPause {
			pause = retryPause
		}
		m.lost(err)
		wait(ctx, pause/2+rand.N(pause/2))
		pause = min(2*pause, retryMost)
	}
}

// follow copies everything where needed, then watches.
func (m *Mirror) follow(ctx context.Context, whole *bool) error {
	if !*whole {
		if err := m.copy(ctx); err != nil {
			return err
		}
		*whole = true
	}
	err := m.from.Watch(ctx, m.span, m.Revision()+1, func(changes []Change, revision int64) error {
		m.apply(changes, revision)
		return nil
	})
	if errors.Is(err, ErrCompacted) {
		*whole = false
		m.log.Emit(event.ConfResynced, event.Ref{}, "the service has given up the history; everything is read anew")
		// The history is gone but the service answers: read at once.
		return m.follow(ctx, whole)
	}
	return err
}

// copy reads everything and tells the observers what differs.
func (m *Mirror) copy(ctx context.Context) error {
	pairs, revision, err := m.from.Range(ctx, m.span)
	if err != nil {
		return err
	}
	m.apply(m.differences(pairs), revision)
	return nil
}

func (m *Mirror) differences(pairs []Pair) []Change {
	m.mirrorMu.Lock()
	defer m.mirrorMu.Unlock()
	gone := maps.Clone(m.pairs)
	var changes []Change
	for _, p := range pairs {
		old, known := gone[p.Key]
		delete(gone, p.Key)
		if !known || old.ModRevision != p.ModRevision {
			changes = append(changes, Change{Pair: p})
		}
	}
	for key := range gone {
		changes = append(changes, Change{Pair: Pair{Key: key}, Deleted: true})
	}
	return changes
}

func (m *Mirror) apply(changes []Change, revision int64) {
	m.mirrorMu.Lock()
	m.hear(time.Now())
	for _, c := range changes {
		if c.Deleted {
			delete(m.pairs, c.Key)
		} else {
			m.pairs[c.Key] = c.Pair
		}
	}
	m.revision = max(m.revision, revision)
	m.mirrorMu.Unlock()
	if len(changes) == 0 {
		return
	}
	for _, f := range m.observers {
		f(changes)
	}
}

// hear records an answer. It is called with mirrorMu held.
func (m *Mirror) hear(now time.Time) {
	if gap := now.Sub(m.contact); !m.contact.IsZero() && (gap > downAfter || m.down) {
		m.regained, m.silence = now, gap
		m.log.Emit(event.ServiceUp, event.Ref{}, "silent for "+gap.Round(time.Millisecond).String())
	}
	m.down = false
	m.contact = now
}

// lost records that the service broke off.
func (m *Mirror) lost(err error) {
	m.mirrorMu.Lock()
	defer m.mirrorMu.Unlock()
	if m.down || time.Since(m.contact) < downAfter {
		return
	}
	m.down = true
	text := "nothing was heard"
	if err != nil {
		text = err.Error()
	}
	m.log.Emit(event.ServiceDown, event.Ref{}, text)
}

func (m *Mirror) since() time.Duration {
	m.mirrorMu.Lock()
	defer m.mirrorMu.Unlock()
	return time.Since(m.contact)
}

// Contact returns when the service last answered; zero before the first time.
func (m *Mirror) Contact() time.Time {
	m.mirrorMu.Lock()
	defer m.mirrorMu.Unlock()
	return m.contact
}

// Regained returns when the last outage ended, and how long it was.
func (m *Mirror) Regained() (time.Time, time.Duration) {
	m.mirrorMu.Lock()
	defer m.mirrorMu.Unlock()
	return m.regained, m.silence
}

// Revision returns the highest revision seen.
func (m *Mirror) Revision() int64 {
	m.mirrorMu.Lock()
	defer m.mirrorMu.Unlock()
	return m.revision
}

// Pair returns the copy of a key.
func (m *Mirror) Pair(key string) (Pair, bool) {
	m.mirrorMu.Lock()
	defer m.mirrorMu.Unlock()
	p, ok := m.pairs[key]
	return p, ok
}

// Under returns the copies of the keys that begin with prefix, in no order.
func (m *Mirror) Under(prefix string) []Pair {
	m.mirrorMu.Lock()
	defer m.mirrorMu.Unlock()
	var out []Pair
	for key, p := range m.pairs {
		if strings.HasPrefix(key, prefix) {
			out = append(out, p)
		}
	}
	return out
}

// wait returns after d or when ctx ends.
func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
