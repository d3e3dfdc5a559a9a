package poison

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/plat"
	"embertally.dev/core/wait"
)

// BlockPrefix is the prefix of blocked requests in the coordination store. Removing a key there
// releases the block.
const BlockPrefix = "embertally/blocked/"

const (
	// storeInterval is the time between checks of what the store holds, and storeRankDelay how
	// long the second crash tracker waits for the first to write a block.
	storeInterval  = time.Second
	storeRankDelay = 3 * time.Second
	// storeTimeout bounds one write.
	storeTimeout = time.Second
	// maxCacheAge is the age up to which the watch cache is trusted on whether a key exists.
	maxCacheAge = 2500 * time.Millisecond
)

// storedBlock is a block as stored in the coordination store, for operators and for daemons that
// start.
type storedBlock struct {
	Organisation string `json:"organisation"`
	// Expires is when the block expires by the time of day, which may differ between daemons.
	Expires time.Time `json:"until"`
	Stamp   int64     `json:"stamp"`
	// Consecutive is the number of consecutive blocks of the request.
	Consecutive int `json:"times"`
	// Parts are the parts that are blocked; empty if one request is.
	Parts []string `json:"parts,omitempty"`
}

// Observe processes a change of the coordination store; it ignores keys other than blocks.
func (g *Guard) Observe(c plat.Change) {
	name, isBlock := strings.CutPrefix(c.Key, BlockPrefix)
	if !isBlock {
		return
	}
	d, ok := ParseDigest(name)
	if !ok {
		g.o.Log.Emit(event.ConfUnderived, event.Ref{Resource: c.Key}, "the key is not a request digest")
		return
	}
	if c.DeletedByRestore {
		// Nobody removed it; its crash trackers write it again.
		return
	}
	if c.Deleted {
		g.forget(d)
		g.blocks.release(d, "its key was removed from the coordination store")
		return
	}
	var s storedBlock
	if err := json.Unmarshal(c.Value, &s); err != nil {
		g.o.Log.Emit(event.ConfUnderived, event.Ref{Resource: c.Key}, err.Error())
		return
	}
	if s.Stamp > maxStamp() {
		g.o.Log.Emit(event.ConfUnderived, event.Ref{Resource: c.Key}, "its stamp lies far in the future")
		return
	}
	b := block{Request: d, Organisation: s.Organisation, Stamp: s.Stamp, Consecutive: min(max(1, s.Consecutive), 16), Parts: s.Parts}
	b.Remaining = s.remaining(b.duration())
	g.blocks.merge([]block{b}, "it is in the coordination store")
}

// remaining returns how long the block lasts, at most the whole time of such a block. That is also assumed if it has
// expired by the time of day, which may be wrong: crash trackers remove the key when the block ends.
func (s *storedBlock) remaining(whole time.Duration) time.Duration {
	if left := time.Until(s.Expires); left > 0 {
		return min(left, whole)
	}
	return whole
}

// Run writes the blocks that this daemon tracks to the coordination store and removes expired ones,
// until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	if g.o.Store == nil {
		return
	}
	wait.Every(ctx, storeInterval, func() { g.syncStore(ctx) })
}

// syncStore brings the store up to date.
func (g *Guard) syncStore(ctx context.Context) {
	if g.o.WatchCache.Down() || clock.Since(g.o.WatchCache.FreshAsOf()) > maxCacheAge {
		return
	}
	list := g.blocks.list()
	view := g.o.Fleet.View()
	for i := range list {
		b := &list[i]
		rank := fleet.RankOf(shortKey(b.Request), view.NotDraining(), view.Self())
		if rank >= trackersPerRequest {
			continue
		}
		// Lower-ranked crash trackers wait for the first, so that each block is written once.
		if age := b.duration() - b.Remaining; age < time.Duration(rank)*storeRankDelay {
			continue
		}
		if err := g.syncBlock(ctx, b); err != nil {
			g.o.Log.Emit(event.ConfUnknown, event.Ref{Resource: BlockPrefix + b.Request.String()}, err.Error())
		}
	}
}

// syncBlock writes or removes one block, unless the store is already up to date.
func (g *Guard) syncBlock(ctx context.Context, b *block) error {
	name := BlockPrefix + b.Request.String()
	pair, found := g.o.WatchCache.Pair(name)
	txn := plat.Txn{Compares: []plat.Compare{{Key: name, ModRevision: pair.ModRevision}}}
	var s storedBlock
	switch {
	case b.Remaining <= 0 || b.Released:
		if !found {
			return nil
		}
		txn.Deletes = []string{name}
	case found && json.Unmarshal(pair.Value, &s) == nil && s.Stamp >= b.Stamp && s.Stamp <= maxStamp():
		return nil
	default:
		raw, err := json.Marshal(storedBlock{b.Organisation, time.Now().Add(b.Remaining), b.Stamp, b.Consecutive, b.Parts})
		if err != nil {
			return err
		}
		txn.Puts = []plat.Put{{Key: name, Value: raw}}
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	// If the key differs from the watch cache, the next check sees it.
	_, err := g.o.Store.Commit(ctx, txn)
	return err
}
