package cache

import (
	"context"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"embertally.dev/core/clock"
)

// storeIndex is the index of one store's contents. All fields are guarded by
// StoreIndexes.indexesMu.
type storeIndex struct {
	info StoreInfo
	stop context.CancelFunc
	// synced is set while segments matches the contents of the store in epoch, up to the
	// last event received.
	synced bool
	epoch  int64
	// next is the position in the store's events from which the next query continues.
	next int64
	// segments maps each segment held to its tokens, and usedTokens is their sum.
	segments   map[SegmentName]int
	usedTokens int
	// salts counts the segments of each salt. There are few salts.
	salts map[string]int
	// reportedAt is when the store last reported its clock, to this daemon or to a peer that
	// forwarded it; storeClock is the time it reported.
	reportedAt clock.Time
	storeClock time.Duration
	// changed is closed and replaced when the store reports or stops responding.
	changed chan struct{}
	// down is set if the last query failed.
	down bool
	// history holds the latest changes for peers; it covers the events after historyStart.
	history      []changeBatch
	historyStart int64
}

// changeBatch is the changes in one response of a store. next is the position after them.
type changeBatch struct {
	next    int64
	changes []SegmentChange
}

// maxBatches is the number of responses kept for peers.
const maxBatches = 256

// maxViewAge is the age beyond which a store's report is no longer acted on.
const maxViewAge = 2500 * time.Millisecond

// fresh reports whether the view of the store is recent enough to act on.
func (ix *storeIndex) fresh(now clock.Time) bool {
	return ix.synced && !ix.down && now.Sub(ix.reportedAt) < maxViewAge
}

// apply applies changes to the recorded contents, records the store's clock if it was
// reported, and wakes those who wait.
func (ix *storeIndex) apply(ev SegmentEvents) {
	for _, c := range ev.Changes {
		ix.set(c.SegmentName, c.Tokens)
	}
	ix.down = false
	if ev.Clock > 0 {
		ix.reportedAt, ix.storeClock = clock.Now().Add(-ev.Age), ev.Clock-ev.Age
	}
	ix.notify()
}

// maxSegmentTokens bounds the tokens of a segment that a store reports, so that the sum over all segments doesn't overflow.
const maxSegmentTokens = 1 << 30

// set records how many tokens of a segment the store holds. A negative number counts as 0.
func (ix *storeIndex) set(name SegmentName, tokens int) {
	tokens = min(max(0, tokens), maxSegmentTokens)
	before := ix.segments[name]
	ix.usedTokens += tokens - before
	switch {
	case tokens > 0:
		ix.segments[name] = tokens
		if before == 0 {
			ix.salts[name.Salt]++
		}
	case before > 0:
		delete(ix.segments, name)
		if ix.salts[name.Salt]--; ix.salts[name.Salt] == 0 {
			delete(ix.salts, name.Salt)
		}
	}
}

// clear removes all segments.
func (ix *storeIndex) clear() {
	ix.segments, ix.salts, ix.usedTokens = map[SegmentName]int{}, map[string]int{}, 0
}

// notify wakes everyone who waits for a change.
func (ix *storeIndex) notify() {
	close(ix.changed)
	ix.changed = make(chan struct{})
}

// addHistory keeps the changes of one response for peers, and drops the oldest beyond
// maxBatches.
func (ix *storeIndex) addHistory(ev SegmentEvents) {
	if len(ev.Changes) > 0 {
		ix.history = append(ix.history, changeBatch{ev.Next, ev.Changes})
	}
	if len(ix.history) > maxBatches {
		ix.historyStart = ix.history[0].next
		ix.history = ix.history[1:]
	}
}

// eventsSince returns the changes that the store reported after since, or the whole contents
// if all is set.
func (ix *storeIndex) eventsSince(since int64, all bool, now clock.Time) SegmentEvents {
	age := now.Sub(ix.reportedAt)
	out := SegmentEvents{Epoch: ix.epoch, Next: ix.next, Clock: ix.storeClock + age, Age: age}
	switch {
	case all:
		for name, tokens := range ix.segments {
			out.Changes = append(out.Changes, SegmentChange{name, tokens})
		}
	case since < ix.historyStart:
		out.Gap = true
	default:
		for _, b := range ix.history {
			if b.next > since {
				out.Changes = append(out.Changes, b.changes...)
			}
		}
	}
	return out
}

// score ranks the store for a segment by weighted rendezvous hashing, with the capacity as
// the weight. The highest score wins.
func (ix *storeIndex) score(name SegmentName) float64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(name.Salt)
	d.WriteString(name.ID)
	d.WriteString(ix.info.Address)
	draw := float64(d.Sum64()%weightSteps+1) / (weightSteps + 1)
	return -float64(ix.info.Capacity) / math.Log(draw)
}

// weightSteps is the resolution of the hash draw.
const weightSteps = 1 << 20
