package cache

import (
	"context"
	"strconv"
	"time"

	"embertally.dev/core/event"
	"embertally.dev/core/wait"
)

// Timing of store queries.
const (
	// longPollWait is how long a store may hold a query until there are changes. The
	// platform charges for queries that wait less than 200 ms.
	longPollWait = time.Second
	// firstPollWait is the same for a store whose clock is not yet known: until it is,
	// nothing may be copied, which costs more than the query.
	firstPollWait = time.Millisecond
	// responseAllowance is the time allowed for the response beyond the wait.
	responseAllowance = time.Second
	// retryDelay is the delay after a failed query.
	retryDelay = 400 * time.Millisecond
	// batchDelay is the delay after a successful query, which batches changes that come one
	// by one.
	batchDelay = 100 * time.Millisecond
)

// storeFollower keeps the index of one store up to date.
type storeFollower struct {
	indexes *StoreIndexes
	address string
}

// run queries the store until ctx ends.
func (f storeFollower) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if !f.indexes.clockUnknown(f.address) {
				wait.For(ctx, batchDelay)
			}
			continue
		}
		f.indexes.markDown(f.address, err)
		wait.For(ctx, retryDelay)
	}
}

// step fetches the whole contents if the index is not in sync, else the changes.
func (f storeFollower) step(ctx context.Context) error {
	since, synced := f.indexes.position(f.address)
	if !synced {
		contents, err := f.indexes.client.Contents(ctx, f.address)
		if err != nil {
			return err
		}
		f.indexes.replace(f.address, contents)
		return nil
	}
	return f.poll(ctx, since)
}

// poll fetches the changes after since.
func (f storeFollower) poll(ctx context.Context, since int64) error {
	ctx, cancel := context.WithTimeout(ctx, longPollWait+responseAllowance)
	defer cancel()
	wait := longPollWait
	if f.indexes.clockUnknown(f.address) {
		// The contents listing does not include the targets' clock, which copies need.
		wait = firstPollWait
	}
	ev, err := f.indexes.client.Events(ctx, f.address, since, wait)
	if err != nil {
		return err
	}
	f.indexes.apply(f.address, ev)
	return nil
}

// position returns where the next query to a store continues, and whether its index is in
// sync.
func (s *StoreIndexes) position(address string) (int64, bool) {
	s.indexesMu.Lock()
	defer s.indexesMu.Unlock()
	ix := s.indexes[address]
	if ix == nil {
		return 0, false
	}
	return ix.next, ix.synced
}

// clockUnknown reports whether a followed store has not yet reported its clock.
func (s *StoreIndexes) clockUnknown(address string) bool {
	s.indexesMu.Lock()
	defer s.indexesMu.Unlock()
	ix := s.indexes[address]
	return ix != nil && ix.reportedAt.IsZero()
}

// replace sets the index of a store to its whole contents.
func (s *StoreIndexes) replace(address string, contents SegmentEvents) {
	s.indexesMu.Lock()
	defer s.indexesMu.Unlock()
	ix := s.indexes[address]
	if ix == nil {
		return
	}
	ix.clear()
	ix.epoch, ix.next, ix.synced = contents.Epoch, contents.Next, true
	ix.history, ix.historyStart = nil, contents.Next
	ix.apply(contents)
	s.log.Emit(event.CacheResynced, event.Ref{Target: address}, strconv.Itoa(len(ix.segments))+" segments")
}

// apply applies changes to the index of a store. A gap, a new epoch, or an answer to an earlier query empties it.
func (s *StoreIndexes) apply(address string, ev SegmentEvents) {
	s.indexesMu.Lock()
	defer s.indexesMu.Unlock()
	ix := s.indexes[address]
	if ix == nil {
		return
	}
	if ev.Epoch != ix.epoch || ev.Gap || ev.Next < ix.next {
		ix.synced = false
		ix.clear()
		s.log.Emit(event.CacheGap, event.Ref{Target: address}, "epoch "+strconv.FormatInt(ev.Epoch, 10)+", position "+strconv.FormatInt(ev.Next, 10)+" after "+strconv.FormatInt(ix.next, 10))
		return
	}
	ix.next = ev.Next
	ix.addHistory(ev)
	ix.apply(ev)
}

// markDown records that a query to a store failed.
func (s *StoreIndexes) markDown(address string, err error) {
	s.indexesMu.Lock()
	defer s.indexesMu.Unlock()
	ix := s.indexes[address]
	if ix == nil {
		return
	}
	if !ix.down {
		s.log.Emit(event.TargetSuspect, event.Ref{Target: address}, "store: "+err.Error())
	}
	ix.down = true
	ix.notify()
}
