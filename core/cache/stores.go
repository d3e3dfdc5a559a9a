package cache

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
)

// StoreIndexes tracks which prompt segments the KV-cache stores hold, from their events. The zero
// value is not usable; see NewStoreIndexes.
//
// Lock order: indexesMu is never held together with another lock of this package.
type StoreIndexes struct {
	client StoreClient
	log    *event.Log

	indexesMu sync.Mutex
	indexes   map[string]*storeIndex // by address; guarded by indexesMu
}

// NewStoreIndexes returns StoreIndexes that follow no stores until Set is called.
func NewStoreIndexes(client StoreClient, log *event.Log) *StoreIndexes {
	return &StoreIndexes{client: client, log: log, indexes: map[string]*storeIndex{}}
}

// Set starts following the given stores and stops following all others. Following ends with
// ctx.
func (s *StoreIndexes) Set(ctx context.Context, stores []StoreInfo) {
	s.indexesMu.Lock()
	defer s.indexesMu.Unlock()
	wanted := map[string]bool{}
	for _, info := range stores {
		wanted[info.Address] = true
		if existing := s.indexes[info.Address]; existing != nil {
			existing.info = info
			continue
		}
		storeCtx, cancel := context.WithCancel(ctx)
		ix := &storeIndex{info: info, stop: cancel, changed: make(chan struct{})}
		ix.clear()
		s.indexes[info.Address] = ix
		go storeFollower{s, info.Address}.run(storeCtx)
	}
	for address, ix := range s.indexes {
		if !wanted[address] {
			ix.stop()
			delete(s.indexes, address)
		}
	}
}

// transferTimeout bounds a transfer from a store. The engine discards a transfer that takes
// longer, so a segment may be freed this long after the last decision to transfer it.
const transferTimeout = 1200 * time.Millisecond

// maxFill is the fill, as a share of the capacity, above which nothing more is written to a
// store.
const maxFill = 0.985

// TransferTimeout returns the maximum duration of a transfer that is decided now.
func TransferTimeout() time.Duration { return transferTimeout }

// EventsSince returns the changes that a store reported after since, or its whole contents if all
// is set, for a peer that does not query the store itself. It returns false if this daemon's
// view of the store is not current.
func (s *StoreIndexes) EventsSince(address string, since int64, all bool, now clock.Time) (SegmentEvents, bool) {
	s.indexesMu.Lock()
	defer s.indexesMu.Unlock()
	ix := s.indexes[address]
	if ix == nil || !ix.fresh(now) {
		return SegmentEvents{}, false
	}
	return ix.eventsSince(since, all, now), true
}

// Changed returns a channel that is closed when the store next reports or stops responding, or
// nil if the store is not followed.
func (s *StoreIndexes) Changed(address string) <-chan struct{} {
	s.indexesMu.Lock()
	defer s.indexesMu.Unlock()
	if ix := s.indexes[address]; ix != nil {
		return ix.changed
	}
	return nil
}

// Age returns the time since the store last reported its clock, directly or through a peer.
func (s *StoreIndexes) Age(address string, now clock.Time) time.Duration {
	s.indexesMu.Lock()
	defer s.indexesMu.Unlock()
	if ix := s.indexes[address]; ix != nil {
		return now.Sub(ix.reportedAt)
	}
	return now.Sub(clock.Time{})
}

// MaxWatchers returns how many daemons may follow a store at a time, or 0 if that is not
// configured.
func (s *StoreIndexes) MaxWatchers(address string) int {
	s.indexesMu.Lock()
	defer s.indexesMu.Unlock()
	if ix := s.indexes[address]; ix != nil {
		return ix.info.MaxWatchers
	}
	return 0
}

// StoredSegment is a store that holds a segment.
type StoredSegment struct {
	Address string
	// Tokens is the number of tokens held.
	Tokens int
	// Deadline is the time on the targets' clock after which a transfer must be discarded.
	Deadline time.Duration

	info *StoreInfo
}

// TransferTime returns the expected duration of the transfer to a failure domain, from the
// configured speed of the store's link.
func (s StoredSegment) TransferTime(domain string) time.Duration {
	return s.info.transferTime(s.Tokens, domain)
}

// Find returns the stores that hold a segment.
func (s *StoreIndexes) Find(name SegmentName, now clock.Time) []StoredSegment {
	s.indexesMu.Lock()
	defer s.indexesMu.Unlock()
	var out []StoredSegment
	for _, ix := range s.indexes {
		tokens := ix.segments[name]
		if tokens == 0 || !ix.fresh(now) {
			continue
		}
		info := ix.info
		out = append(out, StoredSegment{
			Address: info.Address, Tokens: tokens,
			Deadline: ix.storeClock + now.Sub(ix.reportedAt) + transferTimeout, info: &info,
		})
	}
	return out
}

// ChooseStore returns the address of the store that should hold a segment, or "" if a store holds
// it already or none has free capacity. It considers only stores in failure domains that
// allowed accepts. Daemons with the same view choose the same store.
func (s *StoreIndexes) ChooseStore(name SegmentName, tokens int, allowed func(domain string) bool, now clock.Time) string {
	s.indexesMu.Lock()
	defer s.indexesMu.Unlock()
	best, bestScore := "", 0.0
	for address, ix := range s.indexes {
		if ix.segments[name] > 0 {
			return ""
		}
		if !allowed(ix.info.Domain) || !ix.fresh(now) ||
			float64(ix.usedTokens+tokens) > maxFill*float64(ix.info.Capacity) {
			continue
		}
		score := ix.score(name)
		if score > bestScore {
			best, bestScore = address, score
		}
	}
	return best
}

// Outdated returns up to limit segments of a store whose salt keep rejects, and the epoch
// they were seen in. It calls keep once per salt: calling it for each of 13,000 segments
// four times a second took more of a daemon's processor time than its heartbeats.
func (s *StoreIndexes) Outdated(address string, limit int, keep func(salt string) bool) ([]SegmentName, int64) {
	s.indexesMu.Lock()
	defer s.indexesMu.Unlock()
	ix := s.indexes[address]
	if ix == nil || !ix.synced {
		return nil, 0
	}
	rejected := map[string]bool{}
	for salt := range ix.salts {
		if !keep(salt) {
			rejected[salt] = true
		}
	}
	if len(rejected) == 0 {
		return nil, 0
	}
	var out []SegmentName
	for name := range ix.segments {
		if rejected[name.Salt] {
			out = append(out, name)
		}
		if len(out) == limit {
			break
		}
	}
	slices.SortFunc(out, func(a, b SegmentName) int { return strings.Compare(a.Salt+a.ID, b.Salt+b.ID) })
	return out, ix.epoch
}

// Free frees segments of a store that were seen in the given epoch.
func (s *StoreIndexes) Free(ctx context.Context, address string, epoch int64, segments []SegmentName) error {
	if err := s.client.Free(ctx, address, epoch, segments); err != nil {
		return errors.Wrap(err, address)
	}
	s.indexesMu.Lock()
	defer s.indexesMu.Unlock()
	ix := s.indexes[address]
	if ix == nil || ix.epoch != epoch {
		return nil
	}
	for _, name := range segments {
		ix.set(name, 0)
	}
	s.log.Emit(event.StoreReclaimed, event.Ref{Target: address},
		strconv.Itoa(len(segments))+" segments of outdated weights")
	return nil
}

// Stores returns the addresses of the followed stores, sorted.
func (s *StoreIndexes) Stores() []string {
	s.indexesMu.Lock()
	defer s.indexesMu.Unlock()
	var out []string
	for address := range s.indexes {
		out = append(out, address)
	}
	slices.Sort(out)
	return out
}

// Tokens returns the number of tokens that all followed stores hold.
func (s *StoreIndexes) Tokens() int {
	s.indexesMu.Lock()
	defer s.indexesMu.Unlock()
	n := 0
	for _, ix := range s.indexes {
		n += ix.usedTokens
	}
	return n
}
