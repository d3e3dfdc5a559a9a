package spread

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/clock"
	"embertally.dev/core/fleet"
	"embertally.dev/core/plat"
)

// changesRequest requests the changes after a revision from a peer.
type changesRequest struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	// AfterRevision is the revision up to which the requester's cache is complete.
	AfterRevision int64
	// WaitMillis is how many milliseconds the response may wait for a change.
	WaitMillis int64
	// PageAfter is the last key of the preceding page, where a full copy is read.
	PageAfter string
	// AgeMillis is the age of the requester's cache: the response comes as soon as the peer's cache
	// is fresher, also without a change.
	AgeMillis int64
	// Shard is the shard of the requester's cell; nil requests all keys. CacheShard names the shard
	// that the requester's cache holds.
	Shard      *fleet.Shard
	CacheShard string
}

// changesResponse is the response to a changesRequest.
type changesResponse struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	// FullCopy is set if Changes are a page of the whole cache, not the changes after a revision.
	FullCopy bool
	Changes  []wireChange
	// Revision is the revision of the cache that Changes lead to; of the pages of a full copy only
	// the first one's counts.
	Revision int64
	// AgeMillis is the age of the sender's cache in milliseconds.
	AgeMillis int64
	// More is set if further responses follow this one.
	More bool
	// WaitedMillis is how many milliseconds the response waited for a change.
	WaitedMillis int64
	// ShardName names the shard that Changes belong to; "" stands for all keys.
	ShardName string
	// ShardMismatch is set, with no other field, if the sender's cache holds another shard than the
	// one requested.
	ShardMismatch bool
	// ShardChanged is set if Changes also hold the pairs of the new shard that the requester's
	// former one lacked; the requester may drop the pairs outside its new shard.
	ShardChanged bool
}

// wireChange is one change in a message.
type wireChange struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Key      string
	Value    []byte
	// Revision is the one at which the key was changed.
	Revision int64
	Deleted  bool
	// Unfetched is set if the value is omitted and must be fetched separately.
	Unfetched bool
}

// handleChanges responds to a peer's changesRequest.
func (s *WatchCacheSync) handleChanges(ctx context.Context, _ string, req *changesRequest) (*changesResponse, error) {
	start := clock.Now()
	if s.viewFor(req) == nil {
		return &changesResponse{ShardMismatch: true}, nil
	}
	s.awaitChange(ctx, req)
	elapsed := clock.Since(start)
	fresh := s.watchCache.CachedAsOf()
	if fresh.IsZero() {
		return nil, errors.New("the watch cache of this daemon is still empty")
	}
	// The shard may have changed during the wait.
	v := s.viewFor(req)
	if v == nil {
		return &changesResponse{ShardMismatch: true}, nil
	}
	out := s.changesPage(req, v)
	out.AgeMillis, out.WaitedMillis = ageMillis(clock.Since(fresh)), elapsed.Milliseconds()
	for _, c := range out.Changes {
		s.bytesSent.Add(int64(len(c.Value)))
	}
	return out, nil
}

// changesPage returns as many of the requested changes as fit one response.
func (s *WatchCacheSync) changesPage(req *changesRequest, v *shardView) *changesResponse {
	changes, revision, whole := s.watchCache.ChangesSince(req.AfterRevision)
	if !whole || req.PageAfter != "" {
		return s.fullCopyPage(req.PageAfter, v)
	}
	if req.CacheShard != v.name {
		return s.shardChange(req, v, changes, revision)
	}
	changes = v.filter(changes)
	n := countFitting(changes)
	for n < len(changes) && n > 0 && changes[n].ModRevision == changes[n-1].ModRevision {
		// Changes of one revision are sent in one response.
		n++
	}
	more := n < len(changes)
	if more {
		revision = changes[n-1].ModRevision
	}
	return &changesResponse{Changes: wireChanges(changes[:n]), Revision: revision, More: more, ShardName: v.name}
}

// shardChange returns what a peer lacks after its cell's shard has changed, which happens with
// every few boxes that come or go. Where that does not fit one response, it returns the first page
// of a full copy.
//
// changes are those up to revision, which the response names. The lacking pairs are read a moment
// later; the changes in between come with the next response.
func (s *WatchCacheSync) shardChange(req *changesRequest, v *shardView, changes []plat.Change, revision int64) *changesResponse {
	former, ok := v.formerView(req.CacheShard)
	if !ok {
		return s.fullCopyPage("", v)
	}
	lacking, _ := s.watchCache.Snapshot("", func(p plat.Pair) bool { return v.includes(p) && !former.includes(p) })
	changes = append(v.filter(changes), lacking...)
	if countFitting(changes) < len(changes) {
		return s.fullCopyPage("", v)
	}
	return &changesResponse{Changes: wireChanges(changes), Revision: revision, ShardName: v.name, ShardChanged: true}
}

// fullCopyPage returns the page of the cache that follows a key.
func (s *WatchCacheSync) fullCopyPage(after string, v *shardView) *changesResponse {
	rest, revision := s.watchCache.Snapshot(after, v.includes)
	n := countFitting(rest)
	return &changesResponse{
		FullCopy: true, Changes: wireChanges(rest[:n]), Revision: revision, More: n < len(rest),
		ShardName: v.name,
	}
}

// countFitting returns how many of the changes fit one response; at least one.
func countFitting(changes []plat.Change) int {
	size := 0
	for i, c := range changes {
		size += len(c.Key) + len(c.Value)
		if size > maxResponseBytes && i > 0 {
			return i
		}
	}
	return len(changes)
}

// wireChanges converts changes to their form in messages.
func wireChanges(changes []plat.Change) []wireChange {
	out := make([]wireChange, len(changes))
	for i, c := range changes {
		out[i] = wireChange{
			Key: c.Key, Value: c.Value, Revision: c.ModRevision, Deleted: c.Deleted,
			Unfetched: c.Unfetched,
		}
	}
	return out
}

// awaitChange waits until there are changes to send, the cache is fresher than the requester's, or
// the requested wait is over.
func (s *WatchCacheSync) awaitChange(ctx context.Context, req *changesRequest) {
	arrived := clock.Now()
	deadline := arrived.Add(time.Duration(req.WaitMillis) * time.Millisecond)
	fresher := arrived.Add(freshnessSlack - reportedAge(req.AgeMillis))
	timeout := time.NewTimer(clock.Until(deadline))
	defer timeout.Stop()
	for checked := req.AfterRevision; ; {
		updated := s.watchCache.Changed()
		var changed bool
		if changed, checked = s.hasChangesFor(req, checked); changed || !s.watchCache.CachedAsOf().Before(fresher) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timeout.C:
			return
		case <-updated:
		}
	}
}

// hasChangesFor reports whether there are changes after a revision that the requester is to
// receive, and the revision up to which it checked.
func (s *WatchCacheSync) hasChangesFor(req *changesRequest, after int64) (bool, int64) {
	revision := s.watchCache.Revision()
	if revision <= after {
		return false, after
	}
	v := s.viewFor(req)
	if v == nil || req.CacheShard != v.name {
		return true, after
	}
	changes, revision, whole := s.watchCache.ChangesSince(after)
	return !whole || v.includesAny(changes), revision
}
