package spread

import (
	"context"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/cache"
	"embertally.dev/core/clock"
)

const (
	// heartbeatSlack is how much longer a daemon waits for a peer's heartbeat than for a store's
	// own response before it sends the peer a request, in case a heartbeat was lost.
	heartbeatSlack = 400 * time.Millisecond
	// maxHeartbeatChanges bounds the changes of one store in a heartbeat; with more the peers
	// request them.
	maxHeartbeatChanges = 200
	// maxInboxChanges bounds the received changes of one store that are not taken yet.
	maxInboxChanges = 2000
)

// publishedState is the position up to which a store's changes were published to peers.
type publishedState struct {
	epoch, next int64
	freshAt     clock.Time
}

// indexUpdate is the part of a heartbeat that publishes changes of one store.
type indexUpdate struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Address  string
	// From is the position after which Segments holds all changes; Next is the position after them.
	From        int64
	Epoch       int64
	Next        int64
	Segments    []indexedSegment
	ClockMillis int64 // the time of the targets' clock
	AgeMillis   int64 // how long ago the store reported this
}

// Collect returns this daemon's part of a heartbeat: the changes of the stores that it watches for
// its cell and that have responded since the last heartbeat.
func (s *StoreIndexes) Collect(bool) any {
	now := clock.Now()
	s.publishedMu.Lock()
	defer s.publishedMu.Unlock()
	clear(s.publishing)
	var out []indexUpdate
	for _, address := range s.indexes.Stores() {
		if source, err := s.source(address); err != nil || source.publishes {
			continue
		}
		last, recorded := s.published[address]
		got, ok := s.indexes.EventsSince(address, last.next, false, now)
		state := publishedState{got.Epoch, got.Next, now.Add(-got.Age)}
		if !ok || !state.freshAt.After(last.freshAt) {
			continue
		}
		s.publishing[address] = state
		update := indexUpdate{
			Address: address, From: last.next, Epoch: got.Epoch, Next: got.Next, Segments: segmentsOf(got.Changes),
			ClockMillis: got.Clock.Milliseconds(), AgeMillis: ageMillis(got.Age),
		}
		if !recorded || last.epoch != got.Epoch || got.Gap || len(got.Changes) > maxHeartbeatChanges {
			// Peers request the earlier changes.
			update.From, update.Segments = got.Next, nil
		}
		out = append(out, update)
	}
	if out == nil {
		return nil
	}
	return out
}

// Told records that a round of heartbeats was sent.
func (s *StoreIndexes) Told() {
	s.publishedMu.Lock()
	defer s.publishedMu.Unlock()
	for address, state := range s.publishing {
		s.published[address] = state
	}
	clear(s.publishing)
}

// Receive stores the changes that a peer publishes for stores that it watches for this daemon.
func (s *StoreIndexes) Receive(peer string, raw []byte) {
	var updates []indexUpdate
	if err := msgpack.Unmarshal(raw, &updates); err != nil {
		// A peer of another version gets a request instead.
		return
	}
	now := clock.Now()
	for i := range updates {
		if source, err := s.source(updates[i].Address); err == nil && source.publishes && source.peer == peer {
			s.inbox.put(&updates[i], now)
		}
	}
}

// indexInbox holds the published changes of stores until they are taken. The zero value is ready to
// use.
type indexInbox struct {
	inboxMu sync.Mutex
	// updates holds the changes received for each store, by address. Guarded by inboxMu.
	updates map[string]*receivedUpdate
	// wake holds, by address, a channel that is closed when changes arrive for a store that is
	// waited for. Guarded by inboxMu.
	wake map[string]chan struct{}
}

// receivedUpdate holds the changes received for one store.
type receivedUpdate struct {
	// from is the position after which events holds all changes.
	from   int64
	events cache.SegmentEvents
	// at is when the latest of them arrived.
	at clock.Time
}

// put adds the changes of a heartbeat.
func (b *indexInbox) put(u *indexUpdate, now clock.Time) {
	b.inboxMu.Lock()
	defer b.inboxMu.Unlock()
	if b.updates == nil {
		b.updates = map[string]*receivedUpdate{}
	}
	next := &receivedUpdate{from: u.From, at: now, events: cache.SegmentEvents{
		Epoch: u.Epoch, Next: u.Next, Changes: changesOf(u.Segments),
		Clock: time.Duration(u.ClockMillis) * time.Millisecond, Age: reportedAge(u.AgeMillis),
	}}
	if old := b.updates[u.Address]; old != nil && old.continuedBy(next) {
		next.from, next.events.Changes = old.from, append(old.events.Changes, next.events.Changes...)
	}
	b.updates[u.Address] = next
	if wake := b.wake[u.Address]; wake != nil {
		close(wake)
		delete(b.wake, u.Address)
	}
}

// continuedBy reports whether next follows u without missing changes, so that the two may be
// merged.
func (u *receivedUpdate) continuedBy(next *receivedUpdate) bool {
	return u.events.Epoch == next.events.Epoch && u.from <= next.from && next.from <= u.events.Next &&
		u.events.Next <= next.events.Next && len(u.events.Changes) < maxInboxChanges
}

// take returns and removes the received changes of a store or, if there are none, returns nil and a
// channel that is closed when some arrive.
func (b *indexInbox) take(address string) (*receivedUpdate, <-chan struct{}) {
	b.inboxMu.Lock()
	defer b.inboxMu.Unlock()
	if u := b.updates[address]; u != nil {
		delete(b.updates, address)
		return u, nil
	}
	if b.wake == nil {
		b.wake = map[string]chan struct{}{}
	}
	if b.wake[address] == nil {
		b.wake[address] = make(chan struct{})
	}
	return nil, b.wake[address]
}

// await returns the changes of a store after a position as received in heartbeats; false where none
// arrived in time, or changes after the position are missing.
func (b *indexInbox) await(ctx context.Context, address string, since int64, wait time.Duration) (cache.SegmentEvents, bool) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		u, wake := b.take(address)
		switch {
		case u != nil && (u.from > since || u.events.Next < since):
			return cache.SegmentEvents{}, false
		case u != nil:
			delay := clock.Since(u.at)
			u.events.Age += delay
			u.events.Clock += delay
			return u.events, true
		}
		select {
		case <-ctx.Done():
			return cache.SegmentEvents{}, false
		case <-wake:
		case <-timeout.C:
			return cache.SegmentEvents{}, false
		}
	}
}
