package spread

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/cache"
	"embertally.dev/core/clock"
	"embertally.dev/core/fleet"
	"embertally.dev/core/wait"
	"embertally.dev/core/wire"
)

const kindStoreIndex wire.Kind = "spread.shelf"

// StoreIndexes keeps the index of what KV-cache stores hold. A store admits a few watchers at a
// time, and each request is billed. In a larger fleet only a few daemons of the whole fleet may
// send requests to a store; one of each cell sends its requests to the first of these, and
// publishes the changes to the others of its cell in heartbeats.
type StoreIndexes struct {
	direct cache.StoreClient
	fleet  *fleet.Fleet
	// indexes holds the contents that peers are served from. It is set by Serve.
	indexes *cache.StoreIndexes
	// ranks holds which daemons may send requests to each store, for the latest view.
	ranks atomic.Pointer[storeRanks]
	inbox indexInbox

	// backoff holds the peers that did not respond to a request about a store.
	backoff wait.Backoff[indexLink]

	publishedMu sync.Mutex
	// published is the position up to which each store's changes were published to peers of the
	// cell; publishing holds those of the heartbeats that are being built. Guarded by publishedMu.
	published, publishing map[string]publishedState
}

// NewStoreIndexes returns StoreIndexes that watch stores by way of direct. Serve must be called
// before it is used.
func NewStoreIndexes(direct cache.StoreClient, f *fleet.Fleet) *StoreIndexes {
	return &StoreIndexes{
		direct: direct, fleet: f, published: map[string]publishedState{}, publishing: map[string]publishedState{},
		backoff: wait.Backoff[indexLink]{Initial: backoffFirst, Max: backoffMax},
	}
}

// Serve makes this daemon respond to requests of peers from indexes. It must be called before the
// fleet runs.
func (s *StoreIndexes) Serve(indexes *cache.StoreIndexes) {
	s.indexes = indexes
	s.fleet.Mux().Register(kindStoreIndex, wire.Handle(s.handleIndex))
	s.fleet.Attach("shelves", s)
}

const (
	// maxSourcesTried is how many sources of a store's index are tried for one call.
	maxSourcesTried = 3
	// peerTimeout is the time for a peer's response in addition to its wait.
	peerTimeout = 600 * time.Millisecond
	// maxPageSegments is how many segments one page of a store's contents holds: some 60 bytes each
	// make 48 KB, which take 38 ms on a link of 10 Mbit/s and 0.5 s where 11 peers request at once.
	maxPageSegments = 800
)

// indexRequest requests a store's changes after Since, or all of its contents, from a peer.
type indexRequest struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack   struct{} `msgpack:",as_array"`
	Address    string
	Since      int64
	All        bool
	WaitMillis int64 // how long the response may wait for a change
	// PageAfter is the last segment of the preceding page, where all contents are requested.
	PageAfter indexedSegment
	// AgeMillis is the age of the requester's copy: the response comes as soon as the peer has a
	// newer one, changed or not.
	AgeMillis int64
}

// indexResponse holds the changes or contents of a store.
type indexResponse struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	// Epoch changes when the store restarts, which invalidates positions. Next is the position
	// after Segments. Gap is set if changes before Segments are lost.
	Epoch    int64
	Next     int64
	Gap      bool
	Segments []indexedSegment
	// ClockMillis is the time of the targets' clock at the response.
	ClockMillis int64
	// More is set if further pages of the contents follow.
	More bool
	// AgeMillis is how long before the response the store reported this.
	AgeMillis int64
}

// indexedSegment is one segment that a store holds, or a change of one.
type indexedSegment struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Salt     string
	ID       string
	// Tokens is the segment's length; 0 where the store no longer holds it.
	Tokens int
}

// Events returns the changes of a store since a position; the response may wait for one as long as
// wait.
func (s *StoreIndexes) Events(ctx context.Context, address string, since int64, wait time.Duration) (cache.SegmentEvents, error) {
	return s.try(ctx, address, func(source indexSource) (cache.SegmentEvents, error) {
		switch {
		case source.peer == "":
			start := clock.Now()
			ev, err := s.direct.Events(ctx, address, since, wait)
			return dated(ev, start, wait), err
		case source.publishes:
			if ev, ok := s.inbox.await(ctx, address, since, wait+heartbeatSlack); ok {
				return ev, nil
			}
			wait = 0
		}
		req := &indexRequest{
			Address: address, Since: since, WaitMillis: wait.Milliseconds(),
			AgeMillis: ageMillis(s.indexes.Age(address, clock.Now())),
		}
		return s.eventsFrom(ctx, source.peer, req)
	})
}

// eventsFrom returns the changes of a store's index at a peer.
func (s *StoreIndexes) eventsFrom(ctx context.Context, peer string, req *indexRequest) (cache.SegmentEvents, error) {
	start := clock.Now()
	got, err := s.request(ctx, peer, req)
	if err != nil {
		return cache.SegmentEvents{}, err
	}
	return dated(got.events(), start, time.Duration(req.WaitMillis)*time.Millisecond), nil
}

// dated adds to the age of a response how long it was under way at least: it was sent at the latest when the
// request's time to wait was over.
func dated(ev cache.SegmentEvents, start clock.Time, wait time.Duration) cache.SegmentEvents {
	underWay := max(0, clock.Since(start)-wait)
	ev.Age += underWay
	if ev.Clock > 0 {
		ev.Clock += underWay
	}
	return ev
}

// Contents returns everything that a store holds.
func (s *StoreIndexes) Contents(ctx context.Context, address string) (cache.SegmentEvents, error) {
	return s.try(ctx, address, func(source indexSource) (cache.SegmentEvents, error) {
		if source.peer == "" {
			return s.direct.Contents(ctx, address)
		}
		return s.fetchContents(ctx, source.peer, address)
	})
}

// try calls request with the sources of a store's index one after the other until one responds.
func (s *StoreIndexes) try(ctx context.Context, address string, request func(indexSource) (cache.SegmentEvents, error)) (ev cache.SegmentEvents, err error) {
	for range maxSourcesTried {
		source, sourceErr := s.source(address)
		if sourceErr != nil {
			return ev, cmp.Or(err, sourceErr)
		}
		began := time.Now()
		ev, err = request(source)
		if source.peer == "" {
			return ev, err
		}
		link := indexLink{source.peer, address}
		if err == nil {
			s.backoff.RecordSuccess(link, time.Now())
			return ev, nil
		}
		s.backoff.RecordFailure(link, began, time.Now())
		if ctx.Err() != nil {
			return ev, err
		}
	}
	return ev, err
}

// indexLink identifies a peer as the source of a store's index.
type indexLink struct{ peer, address string }

var errOtherEpoch = errors.New("the store's epoch changed between two pages")

// fetchContents reads all contents of a store that a peer has recorded. The pages are not one
// snapshot: changes made meanwhile come after the position of the first page.
func (s *StoreIndexes) fetchContents(ctx context.Context, peer, address string) (cache.SegmentEvents, error) {
	req := &indexRequest{Address: address, All: true}
	start := clock.Now()
	first, err := s.request(ctx, peer, req)
	if err != nil {
		return cache.SegmentEvents{}, err
	}
	out := first.events()
	for page := first; page.More && len(page.Segments) > 0; {
		req.PageAfter = page.Segments[len(page.Segments)-1]
		if page, err = s.request(ctx, peer, req); err != nil {
			return cache.SegmentEvents{}, err
		}
		if page.Epoch != first.Epoch {
			return cache.SegmentEvents{}, errors.WithStack(errOtherEpoch)
		}
		out.Changes = append(out.Changes, page.events().Changes...)
	}
	// The contents are complete as of the first page.
	return dated(out, start, 0), nil
}

// Free frees segments of a store.
func (s *StoreIndexes) Free(ctx context.Context, address string, epoch int64, segments []cache.SegmentName) error {
	return s.direct.Free(ctx, address, epoch, segments)
}

// request sends one request to a peer.
func (s *StoreIndexes) request(ctx context.Context, peer string, req *indexRequest) (*indexResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.WaitMillis)*time.Millisecond+peerTimeout)
	defer cancel()
	var got indexResponse
	if err := s.fleet.Query(ctx, peer, kindStoreIndex, req, &got); err != nil {
		return nil, err
	}
	return &got, nil
}

// events converts a response.
func (r *indexResponse) events() cache.SegmentEvents {
	out := cache.SegmentEvents{
		Epoch: r.Epoch, Next: r.Next, Gap: r.Gap,
		Clock: time.Duration(r.ClockMillis) * time.Millisecond, Age: reportedAge(r.AgeMillis),
	}
	out.Changes = changesOf(r.Segments)
	return out
}

var errUnknownIndex = errors.New("this daemon has no index of the store")

// handleIndex responds with this daemon's index of a store; it waits for changes.
func (s *StoreIndexes) handleIndex(ctx context.Context, _ string, req *indexRequest) (*indexResponse, error) {
	arrived := clock.Now()
	newer := arrived.Add(freshnessSlack - reportedAge(req.AgeMillis))
	timeout := time.NewTimer(time.Duration(req.WaitMillis) * time.Millisecond)
	defer timeout.Stop()
	for last := req.WaitMillis <= 0; ; {
		updated := s.indexes.Changed(req.Address)
		now := clock.Now()
		got, ok := s.indexes.EventsSince(req.Address, req.Since, req.All, now)
		switch {
		case !ok:
			return nil, errors.WithStack(errUnknownIndex)
		case req.All:
			return pageOf(got, req.PageAfter), nil
		case last, got.Gap, len(got.Changes) > 0, now.Add(-got.Age).After(newer):
			return responseOf(got), nil
		}
		select {
		case <-ctx.Done():
			return nil, errors.WithStack(ctx.Err())
		case <-updated:
		case <-timeout.C:
			last = true
		}
	}
}

// responseOf converts events to a response.
func responseOf(ev cache.SegmentEvents) *indexResponse {
	return &indexResponse{
		Epoch: ev.Epoch, Next: ev.Next, Gap: ev.Gap, Segments: segmentsOf(ev.Changes),
		ClockMillis: ev.Clock.Milliseconds(), AgeMillis: ageMillis(ev.Age),
	}
}

// segmentsOf converts changes to their form in messages.
func segmentsOf(changes []cache.SegmentChange) []indexedSegment {
	var out []indexedSegment
	for _, c := range changes {
		out = append(out, indexedSegment{Salt: c.Salt, ID: c.ID, Tokens: c.Tokens})
	}
	return out
}

// changesOf is the reverse of segmentsOf.
func changesOf(segments []indexedSegment) []cache.SegmentChange {
	var out []cache.SegmentChange
	for _, segment := range segments {
		out = append(out, cache.SegmentChange{
			SegmentName: cache.SegmentName{Salt: segment.Salt, ID: segment.ID}, Tokens: segment.Tokens,
		})
	}
	return out
}

// pageOf returns the page of contents that follows a segment.
func pageOf(ev cache.SegmentEvents, after indexedSegment) *indexResponse {
	out := responseOf(ev)
	slices.SortFunc(out.Segments, indexedSegment.compare)
	from, found := slices.BinarySearchFunc(out.Segments, after, indexedSegment.compare)
	if found {
		from++
	}
	rest := out.Segments[from:]
	n := min(len(rest), maxPageSegments)
	out.Segments, out.More = rest[:n], n < len(rest)
	return out
}

// compare orders segments by salt, then by ID.
func (p indexedSegment) compare(q indexedSegment) int {
	return cmp.Or(strings.Compare(p.Salt, q.Salt), strings.Compare(p.ID, q.ID))
}
