package host

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/plat"
)

// itoa formats a number in decimal.
func itoa(n int64) string { return strconv.FormatInt(n, 10) }

// boxList reads the list of daemons' boxes from the watch cache of the coordination store. It is not
// safe for concurrent use.
type boxList struct {
	watchCache *plat.WatchCache
	log        *event.Log
	// loggedInvalid holds the revisions of the keys that were logged as invalid.
	loggedInvalid map[string]int64
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

// readBox reads a box's key. A value that the daemon of that box didn't write is an error: one that names another box
// could take that box out of the fleet for good.
func readBox(p plat.Pair) (plat.Box, error) {
	var box plat.Box
	if err := json.Unmarshal(p.Value, &box); err != nil {
		return box, errors.WithStack(err)
	}
	host, portText, _ := net.SplitHostPort(box.Address)
	port, err := strconv.ParseUint(portText, 10, 16)
	switch {
	case p.Key != keyBoxes+box.Name:
		return box, errors.Errorf("it names box %q", box.Name)
	case box.Role != plat.RoleEntry:
		return box, errors.Errorf("its role is %q", box.Role)
	case box.State != plat.BoxLive && box.State != plat.BoxLeaving:
		return box, errors.Errorf("its state is %q", box.State)
	case host == "" || port == 0 || err != nil:
		return box, errors.Errorf("its address is %q", box.Address)
	}
	return box, nil
}

// logInvalid logs, once for each change of the key, why a box's key is ignored.
func (b *boxList) logInvalid(p plat.Pair, err error) {
	if b.loggedInvalid == nil {
		b.loggedInvalid = map[string]int64{}
	}
	if b.loggedInvalid[p.Key] != p.ModRevision {
		b.loggedInvalid[p.Key] = p.ModRevision
		b.log.Emit(event.ConfUnderived, event.Ref{Resource: p.Key}, err.Error())
	}
}

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
		box, err := readBox(p)
		if err != nil {
			b.logInvalid(p, err)
			continue
		}
		b.last[p.Key] = box
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
