package host

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"embertally.dev/core/clock"
	"embertally.dev/core/fleet"
	"embertally.dev/core/plat"
)

// itoa formats a number in decimal.
func itoa(n int64) string { return strconv.FormatInt(n, 10) }

// boxList reads the list of daemons' boxes from the watch cache of the coordination store. It is not
// safe for concurrent use.
type boxList struct {
	watchCache *plat.WatchCache
	// edits is the watch cache's edit count at the last read, and state the state of the boxes'
	// keys.
	edits int64
	state boxKeysState
	// last holds the boxes of the last read by key, and incarnation is the store incarnation then.
	last        map[string]plat.Box
	incarnation int64
	// missing holds the boxes of the last read before the latest restore of the store. They stay
	// in the list until missingUntil.
	missing      map[string]plat.Box
	missingUntil clock.Time
}

// boxGrace is how long a box that is missing from a restored store stays in the list. Each daemon
// writes its key again within a quarter of boxTTL.
const boxGrace = boxTTL / 2

// boxKeysState shows whether the boxes' keys have changed: a new or changed key raises the latest
// revision, and a removed one changes the count.
type boxKeysState struct {
	read   bool // false before the first read
	latest int64
	count  int
}

// Read returns the list, or nil and false if it has not changed since the last read. Most changes of
// the watch cache are of targets; after them the boxes are not parsed again.
func (b *boxList) Read(context.Context) ([]plat.Box, bool, error) {
	expired := b.missing != nil && !clock.Now().Before(b.missingUntil)
	if expired {
		b.missing = nil
	}
	edits, incarnation := b.watchCache.EditCount(), b.watchCache.StoreIncarnation()
	if edits == b.edits && !expired {
		return nil, false, nil
	}
	b.edits = edits
	pairs := b.watchCache.WithPrefix(keyBoxes)
	state := boxKeysState{read: true, count: len(pairs)}
	for _, p := range pairs {
		state.latest = max(state.latest, p.ModRevision)
	}
	if state == b.state && !expired {
		return nil, false, nil
	}
	b.state = state
	if b.last != nil && incarnation > b.incarnation {
		b.missing, b.missingUntil = b.last, clock.Now().Add(boxGrace)
	}
	b.last, b.incarnation = map[string]plat.Box{}, incarnation
	for _, p := range pairs {
		var box plat.Box
		if err := json.Unmarshal(p.Value, &box); err == nil {
			b.last[p.Key] = box
		}
		// A value that cannot be parsed was not written by a daemon, and is ignored.
	}
	for key, box := range b.missing {
		if _, listed := b.last[key]; !listed {
			b.last[key] = box
		}
	}
	return slices.Collect(maps.Values(b.last)), true, nil
}

// daemonCounter counts the daemons that share the connections to targets.
type daemonCounter struct {
	view func() *fleet.View

	mu        sync.Mutex
	highest   int        // guarded by mu
	countedAt clock.Time // when highest was last counted; guarded by mu
}

// countMaxAge is how long the highest count is used after it was last reached: a daemon that sends
// no heartbeats may still use its connections.
const countMaxAge = 15 * time.Second

// count returns the highest recent count of daemons, this one included.
func (d *daemonCounter) count() int {
	current := len(d.view().Peers()) + 1
	d.mu.Lock()
	defer d.mu.Unlock()
	if current >= d.highest || clock.Since(d.countedAt) > countMaxAge {
		d.highest, d.countedAt = current, clock.Now()
	}
	return d.highest
}
