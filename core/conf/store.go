// Package conf owns the configuration: the resources, their checks, the
// committed sequence of changes in the key-value service, and the snapshot
// that is in force in this daemon.
//
// A change is committed when the service holds it, and accepted when every
// live daemon has it in force. The package must not know how requests use the
// configuration, nor how peers are reached: what it needs of them it declares
// as interfaces.
package conf

import (
	"sync"
	"sync/atomic"

	"embertally.dev/core/bugs"
	"embertally.dev/core/clock"
	"embertally.dev/core/event"
)

// keptChanges bounds the changes kept for watches that resume and for peers
// that lag.
const keptChanges = 1024

// Store holds the snapshot in force. The zero value holds the empty one.
//
// Lock order: storeMu is taken alone.
type Store struct {
	log *event.Log

	snap atomic.Pointer[Snapshot]

	storeMu sync.Mutex
	// recent holds the latest changes with dense sequences, the last one
	// being that of the snapshot. Guarded by storeMu.
	recent []Change
	// changed is closed and replaced at each change. Guarded by storeMu.
	changed chan struct{}
	// confirmed is when the snapshot was last known to be the latest that the
	// service holds. Guarded by storeMu.
	confirmed clock.Time
	// loaded tells that a whole configuration was read. Guarded by storeMu.
	loaded bool
}

// NewStore returns an empty store that reports to log.
func NewStore(log *event.Log) *Store { return &Store{log: log} }

// Snapshot returns the configuration in force.
func (s *Store) Snapshot() *Snapshot {
	if snap := s.snap.Load(); snap != nil {
		return snap
	}
	return emptySnapshot
}

// Loaded reports whether a whole configuration was ever read.
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

// Confirm records that at time t the snapshot with sequence seq was the latest.
func (s *Store) Confirm(seq uint64, t clock.Time) {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	if s.Snapshot().seq >= seq && t.After(s.confirmed) {
		s.confirmed = t
	}
}

// Confirmed returns when the snapshot was last known to be the latest.
func (s *Store) Confirmed() clock.Time {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	return s.confirmed
}

// Apply puts changes in force. Those that are in force already are passed
// over; it returns false, changing nothing, if the rest does not follow the
// snapshot without a gap.
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
	if !s.loaded || !dense(snap.seq, changes) {
		return false
	}
	next, bad := snap.with(changes)
	s.reportBad(bad)
	s.recent = append(s.recent, changes...)
	if extra := len(s.recent) - keptChanges; extra > 0 {
		s.recent = append([]Change(nil), s.recent[extra:]...)
	}
	s.put(next)
	for _, c := range changes {
		s.log.Emit(event.ConfApplied, event.Ref{Resource: string(c.Kind) + "/" + c.Name}, "sequence "+version(c.Seq))
	}
	return true
}

// dense reports whether changes follow seq without a gap.
func dense(seq uint64, changes []Change) bool {
	for _, c := range changes {
		if c.Seq != seq+1 {
			return false
		}
		seq++
	}
	return true
}

// Full is a whole configuration read from the service or a peer.
type Full struct {
	Seq          uint64   `msgpack:"s"`
	HeadRevision int64    `msgpack:"h"`
	Resources    []Change `msgpack:"r"`
}

// Replace puts a whole configuration in force if it is newer than the one in
// force, or the first.
func (s *Store) Replace(f Full) bool {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	if s.loaded && f.Seq <= s.Snapshot().seq {
		return false
	}
	next, bad := emptySnapshot.with(f.Resources)
	next.seq, next.headRevision = f.Seq, f.HeadRevision
	s.reportBad(bad)
	s.recent = nil
	s.loaded = true
	s.put(next)
	s.log.Emit(event.ConfResynced, event.Ref{}, "sequence "+version(f.Seq))
	return true
}

// Full returns the whole configuration in force.
func (s *Store) Full() (Full, error) {
	snap := s.Snapshot()
	all, err := snap.All()
	return Full{Seq: snap.seq, HeadRevision: snap.headRevision, Resources: all}, err
}

func (s *Store) reportBad(bad []error) {
	for _, err := range bad {
		s.log.Emit(event.ConfUnderived, event.Ref{}, err.Error())
	}
}

// put makes next the snapshot; the caller holds storeMu.
func (s *Store) put(next *Snapshot) {
	if s.Snapshot().seq > next.seq {
		bugs.Report("configuration would go back from %d to %d", s.Snapshot().seq, next.seq)
		return
	}
	s.snap.Store(next)
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Since returns the changes after seq, or ok false if they are not kept.
func (s *Store) Since(seq uint64) (changes []Change, ok bool) {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	now := s.Snapshot().seq
	if seq >= now {
		return nil, true
	}
	missing := now - seq
	if missing > uint64(len(s.recent)) {
		return nil, false
	}
	return append([]Change(nil), s.recent[uint64(len(s.recent))-missing:]...), true
}
