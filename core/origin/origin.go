// Package origin records which version of a service's targets began each stream that may be resumed. What two
// versions write does not fit together, so that a stream may go on only at the version that began it, whichever
// daemon takes it up.
//
// A daemon tells the records of the streams that it serves to the daemons of the cell that their keys fall into, and
// one that does not find a record asks some of these. One daemon of each cell also writes them to the coordination store,
// a few times a second, for the case that all processes of the cell end at once. Nothing is told while a service has had
// a single version for as long as a stream may be resumed, and nothing written while only one is known.
//
// The package must not know how targets are chosen, or what a stream contains.
package origin

import (
	"time"

	"embertally.dev/core/clock"
	"embertally.dev/core/fleet"
)

// Stream is where a stream began.
type Stream struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	// Service and Version are those of the target that brought the first event.
	Service, Version string
	// Config is the version of the configuration by which the request got to the service; 0 if it is not known. It is sent
	// apart, see toldGroup.
	Config int64 `msgpack:"-"`
}

// sameTarget reports whether two records name the same service and version.
func (s Stream) sameTarget(other Stream) bool {
	return s.Service == other.Service && s.Version == other.Version
}

// precedes reports whether a stream was where s says by an earlier configuration than where other says.
func (s Stream) precedes(other Stream) bool { return s.Config > 0 && s.Config < other.Config }

const (
	// Retention is how long after its last event a stream may still be resumed.
	Retention = time.Minute
	// RenewInterval is the time after which a stream that goes on is recorded again.
	RenewInterval = Retention / 3
	// recordTTL is how long a record is kept: for Retention after the last event before the next one would be due.
	recordTTL = Retention + RenewInterval
	// minRenewalAge is the least age of a record at which another one of the same stream is a new one and no repetition.
	minRenewalAge = RenewInterval / 2
)

// key identifies a stream by a caller's attempt. An attempt of another organisation has another key.
type key struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack              struct{} `msgpack:",as_array"`
	Organisation, Attempt uint64
}

// newKey returns the key of an organisation's attempt.
func newKey(organisation, attempt string) key {
	return key{Organisation: fleet.Key(organisation), Attempt: fleet.Key(attempt)}
}

// hash returns a value by which the keys are divided among cells and daemons.
func (k key) hash() uint64 { return k.Organisation ^ k.Attempt }

// maxRecords bounds the records of a daemon, some 2 MB.
const maxRecords = 16 << 10

// records holds where streams began, for recordTTL after they were last added. The zero value is ready for use.
type records struct {
	streams map[key]record
	// queues holds the keys of each organisation in the order in which they were added, also those that were
	// added again since.
	queues map[uint64][]queued
	// size is the number of keys in all queues.
	size int
}

// record is where a stream began, and when that was last recorded.
type record struct {
	stream Stream
	at     clock.Time
}

// queued is a key in the queue of its organisation.
type queued struct {
	attempt uint64
	at      clock.Time
}

// add records where a stream began. If there are too many records, those of the organisation with the most give way,
// the oldest first.
func (r *records) add(k key, s Stream, now clock.Time) {
	if r.streams == nil {
		r.streams, r.queues = map[key]record{}, map[uint64][]queued{}
	}
	r.expire(k.Organisation, now)
	if r.size >= maxRecords {
		r.dropOldest(r.largest())
	}
	r.streams[k] = record{s, now}
	r.queues[k.Organisation] = append(r.queues[k.Organisation], queued{k.Attempt, now})
	r.size++
}

// find returns where a stream began, and how old the record is.
func (r *records) find(k key, now clock.Time) (s Stream, age time.Duration, found bool) {
	record, ok := r.streams[k]
	age = now.Sub(record.at)
	return record.stream, age, ok && age <= recordTTL
}

// expire drops the records of an organisation that are too old.
func (r *records) expire(organisation uint64, now clock.Time) {
	for len(r.queues[organisation]) > 0 && now.Sub(r.queues[organisation][0].at) > recordTTL {
		r.dropOldest(organisation)
	}
}

// dropOldest drops the first key in the queue of an organisation, and its record unless it was added again.
func (r *records) dropOldest(organisation uint64) {
	queue := r.queues[organisation]
	k := key{Organisation: organisation, Attempt: queue[0].attempt}
	if r.streams[k].at == queue[0].at {
		delete(r.streams, k)
	}
	r.size--
	if len(queue) == 1 {
		delete(r.queues, organisation)
		return
	}
	r.queues[organisation] = queue[1:]
}

// largest returns the organisation with the longest queue.
func (r *records) largest() uint64 {
	var out uint64
	longest := 0
	for organisation, queue := range r.queues {
		if len(queue) > longest {
			out, longest = organisation, len(queue)
		}
	}
	return out
}
