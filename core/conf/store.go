// Package conf owns the configuration: the resources, their validation, the
// committed sequence of changes in the coordination store, and the snapshot
// that this daemon has applied.
//
// A change is committed when the coordination store contains it, and has
// converged when every live daemon has applied it. The package must not know
// how requests use the configuration, nor how peers are reached: it declares
// what it needs of peers and of the coordination store as interfaces.
package conf

import (
	"sync"
	"sync/atomic"

	"embertally.dev/core/bugs"
	"embertally.dev/core/clock"
	"embertally.dev/core/event"
)

// maxRecentChanges is the number of latest changes kept in memory for resumed watches
// and for peers that lack them.
const maxRecentChanges = 1024

// Store holds the applied snapshot; in the zero value it is empty.
//
// Lock order: storeMu is taken before the locks of log. No other lock is taken while it
// is held.
type Store struct {
	log *event.Log

	snap atomic.Pointer[Snapshot]

	storeMu sync.Mutex
	// recent holds the latest changes with consecutive sequences, up to that
	// of the snapshot. Guarded by storeMu.
	recent []Change
	// changed is closed and replaced at each change. Guarded by storeMu.
	changed chan struct{}
	// confirmed is when the snapshot was last known to be the latest in the
	// coordination store, and verified the same as shown by the answer to a
	// question. Guarded by storeMu.
	confirmed, verified clock.Time
	// loaded is set once a full configuration was applied. Guarded by storeMu.
	loaded bool
}

// NewStore returns an empty store that emits its events to log.
func NewStore(log *event.Log) *Store { return &Store{log: log} }

// Snapshot returns the applied configuration.
func (s *Store) Snapshot() *Snapshot {
	if snap := s.snap.Load(); snap != nil {
		return snap
	}
	return emptySnapshot
}

// Loaded reports whether a full configuration was ever applied.
func (s *Store) Loaded() bool {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	return s.loaded
}

// Changed returns a channel that is closed at the next change.
func (s *Store) Changed() <-chan struct{} {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// Verify is Confirm where the answer to a question has shown that seq was the latest
// committed sequence at time t. What arrives unasked may have been under way for long.
func (s *Store) Verify(seq uint64, t clock.Time) {
	s.Confirm(seq, t)
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	if s.Snapshot().seq >= seq && t.After(s.verified) {
		s.verified = t
	}
}

// Verified returns when the snapshot was the latest for the last time, as shown by the
// answer to a question.
func (s *Store) Verified() clock.Time {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	return s.verified
}

// Confirm records that seq was the latest committed sequence at time t. It has
// no effect if the applied snapshot is older than seq.
func (s *Store) Confirm(seq uint64, t clock.Time) {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	if s.Snapshot().seq >= seq && t.After(s.confirmed) {
		s.confirmed = t
	}
}

// Confirmed returns when the snapshot was last verified to be the latest.
func (s *Store) Confirmed() clock.Time {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	return s.confirmed
}

// Apply applies changes, except those already applied. It returns false and changes
// nothing if the remaining ones do not follow the snapshot without a gap.
func (s *Store) Apply(changes []Change) bool {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	snap := s.Snapshot()
	for len(changes) > 0 && changes[0].Seq <= snap.seq {
		changes = changes[1:]
	}
	if len(changes) == 0 {
		return true
	}
	if !s.loaded || !consecutive(snap.seq, changes) {
		return false
	}
	next, undecodable := snap.with(changes)
	s.reportUndecodable(undecodable)
	s.recent = append(s.recent, changes...)
	if extra := len(s.recent) - maxRecentChanges; extra > 0 {
		s.recent = append([]Change(nil), s.recent[extra:]...)
	}
	s.setSnapshot(next)
	for _, c := range changes {
		s.log.Emit(event.ConfApplied, event.Ref{Resource: string(c.Kind) + "/" + c.Name}, "sequence "+version(c.Seq))
	}
	return true
}

// consecutive reports whether changes follow seq without a gap.
func consecutive(seq uint64, changes []Change) bool {
	for _, c := range changes {
		if c.Seq != seq+1 {
			return false
		}
		seq++
	}
	return true
}

// Full is a full configuration, read from the coordination store or a peer.
type Full struct {
	Seq          uint64   `msgpack:"s"`
	HeadRevision int64    `msgpack:"h"`
	Resources    []Change `msgpack:"r"`
}

// Replace applies a full configuration if it is the first, or newer than the
// applied one. It reports whether it did.
func (s *Store) Replace(f Full) bool {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	if s.loaded && f.Seq <= s.Snapshot().seq {
		return false
	}
	next, undecodable := emptySnapshot.with(f.Resources)
	next.seq, next.headRevision = f.Seq, f.HeadRevision
	s.reportUndecodable(undecodable)
	s.recent = nil
	s.loaded = true
	s.setSnapshot(next)
	s.log.Emit(event.ConfResynced, event.Ref{}, "sequence "+version(f.Seq))
	return true
}

// Full returns the full applied configuration.
func (s *Store) Full() (Full, error) {
	snap := s.Snapshot()
	resources, err := snap.AsChanges()
	return Full{Seq: snap.seq, HeadRevision: snap.headRevision, Resources: resources}, err
}

func (s *Store) reportUndecodable(errs []error) {
	for _, err := range errs {
		s.log.Emit(event.ConfUnderived, event.Ref{}, err.Error())
	}
}

// setSnapshot makes next the applied snapshot; the caller holds storeMu.
func (s *Store) setSnapshot(next *Snapshot) {
	if s.Snapshot().seq > next.seq {
		bugs.Report("configuration sequence would go back from %d to %d", s.Snapshot().seq, next.seq)
		return
	}
	s.snap.Store(next)
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Since returns the changes after seq; ok is false if they are no longer kept.
func (s *Store) Since(seq uint64) (changes []Change, ok bool) {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	current := s.Snapshot().seq
	if seq >= current {
		return nil, true
	}
	missing := current - seq
	if missing > uint64(len(s.recent)) {
		return nil, false
	}
	return append([]Change(nil), s.recent[uint64(len(s.recent))-missing:]...), true
}
