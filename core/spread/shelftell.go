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
	// tellSlack is by how much longer than a store's own answer takes a daemon waits
	// for a peer's heartbeat before it asks: for a heartbeat that was lost.
	tellSlack = 400 * time.Millisecond
	// tellMost bounds the changes of one store in a heartbeat; with more the peers ask
	// for them.
	tellMost = 200
	// inboxMost bounds what waits to be taken of one store.
	inboxMost = 2000
)

// shelfPoint is how far peers were told of a store.
type shelfPoint struct {
	epoch, next int64
	heard       clock.Time
}

// shelfNews is what a heartbeat tells of one store.
type shelfNews struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Address  string
	// From is the point after which Parts tell all changes.
	From        int64
	Epoch       int64
	Next        int64
	Parts       []shelfPart
	ClockMillis int64
	AgeMillis   int64
}

// Collect returns what this daemon's heartbeat tells of the stores that it asks for its
// cell, of those that told something since.
func (s *Shelves) Collect(bool) any {
	now := clock.Now()
	s.toldMu.Lock()
	defer s.toldMu.Unlock()
	clear(s.telling)
	var out []shelfNews
	for _, address := range s.kept.Stores() {
		if from, err := s.source(address); err != nil || from.tells {
			continue
		}
		was, known := s.told[address]
		got, ok := s.kept.Told(address, was.next, false, now)
		point := shelfPoint{got.Epoch, got.Next, now.Add(-got.Age)}
		if !ok || !point.heard.After(was.heard) {
			continue
		}
		s.telling[address] = point
		news := shelfNews{
			Address: address, From: was.next, Epoch: got.Epoch, Next: got.Next, Parts: partsOf(got.Changes),
			ClockMillis: got.Clock.Milliseconds(), AgeMillis: ageMillis(got.Age),
		}
		if !known || was.epoch != got.Epoch || got.Gap || len(got.Changes) > tellMost {
			// Peers ask for what lies before.
			news.From, news.Parts = got.Next, nil
		}
		out = append(out, news)
	}
	if out == nil {
		return nil
	}
	return out
}

// Told records that a round of heartbeats was sent.
func (s *Shelves) Told() {
	s.toldMu.Lock()
	defer s.toldMu.Unlock()
	for address, point := range s.telling {
		s.told[address] = point
	}
	clear(s.telling)
}

// Receive takes what a peer tells of the stores that it asks for this daemon.
func (s *Shelves) Receive(peer string, raw []byte) {
	var told []shelfNews
	if err := msgpack.Unmarshal(raw, &told); err != nil {
		// A peer of another version is asked instead.
		return
	}
	now := clock.Now()
	for i := range told {
		if from, err := s.source(told[i].Address); err == nil && from.tells && from.peer == peer {
			s.inbox.put(&told[i], now)
		}
	}
}

// shelfInbox holds what heartbeats told of stores until it is taken. The zero value is
// ready.
type shelfInbox struct {
	inboxMu sync.Mutex
	// news holds what was told of each store. Guarded by inboxMu.
	news map[string]*shelfArrival
	// wake is closed and replaced where something is told of a store that is waited
	// for. Guarded by inboxMu.
	wake map[string]chan struct{}
}

// shelfArrival is what was told of one store.
type shelfArrival struct {
	// from is the point after which events tell all changes.
	from   int64
	events cache.PartEvents
	// at is when the latest of it arrived.
	at clock.Time
}

// put adds what a heartbeat told.
func (b *shelfInbox) put(n *shelfNews, now clock.Time) {
	b.inboxMu.Lock()
	defer b.inboxMu.Unlock()
	if b.news == nil {
		b.news = map[string]*shelfArrival{}
	}
	next := &shelfArrival{from: n.From, at: now, events: cache.PartEvents{
		Epoch: n.Epoch, Next: n.Next, Changes: changesOf(n.Parts),
		Clock: time.Duration(n.ClockMillis) * time.Millisecond, Age: toldAge(n.AgeMillis),
	}}
	if old := b.news[n.Address]; old != nil && old.leadsTo(next) {
		next.from, next.events.Changes = old.from, append(old.events.Changes, next.events.Changes...)
	}
	b.news[n.Address] = next
	if wake := b.wake[n.Address]; wake != nil {
		close(wake)
		delete(b.wake, n.Address)
	}
}

// leadsTo reports whether next tells all changes since.
func (a *shelfArrival) leadsTo(next *shelfArrival) bool {
	return a.events.Epoch == next.events.Epoch && a.from <= next.from && next.from <= a.events.Next &&
		a.events.Next <= next.events.Next && len(a.events.Changes) < inboxMost
}

// take returns what was told of a store and is not taken yet, or nil and what ends the
// wait for it.
func (b *shelfInbox) take(address string) (*shelfArrival, <-chan struct{}) {
	b.inboxMu.Lock()
	defer b.inboxMu.Unlock()
	if a := b.news[address]; a != nil {
		delete(b.news, address)
		return a, nil
	}
	if b.wake == nil {
		b.wake = map[string]chan struct{}{}
	}
	if b.wake[address] == nil {
		b.wake[address] = make(chan struct{})
	}
	return nil, b.wake[address]
}

// await returns what heartbeats told of a store after a point; false where they told
// nothing in time, or not all since.
func (b *shelfInbox) await(ctx context.Context, address string, since int64, wait time.Duration) (cache.PartEvents, bool) {
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		a, wake := b.take(address)
		switch {
		case a != nil && (a.from > since || a.events.Next < since):
			return cache.PartEvents{}, false
		case a != nil:
			stayed := clock.Since(a.at)
			a.events.Age += stayed
			a.events.Clock += stayed
			return a.events, true
		}
		select {
		case <-ctx.Done():
			return cache.PartEvents{}, false
		case <-wake:
		case <-end.C:
			return cache.PartEvents{}, false
		}
	}
}
