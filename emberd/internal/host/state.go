package host

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"embertally.dev/core/cache"
	"embertally.dev/core/clock"
	"embertally.dev/core/fleet"
	"embertally.dev/core/plat"
)

// itoa writes a number as it stands in log lines.
func itoa(n int64) string { return strconv.FormatInt(n, 10) }

// named knows which versions of each model's weights were named.
type named struct {
	namedMu sync.Mutex
	// versions holds what was named of each model, in rising order. Guarded by
	// namedMu.
	versions map[string][]namedVersion
}

// namedMost bounds the versions kept of one model.
const namedMost = 32

// namedVersion is one version that was named.
type namedVersion struct {
	version int64
	// since is when this daemon learned of it.
	since clock.Time
}

// set records that a version of a model was named; an older one changes nothing.
func (n *named) set(model string, version int64) {
	n.namedMu.Lock()
	defer n.namedMu.Unlock()
	if n.versions == nil {
		n.versions = map[string][]namedVersion{}
	}
	list := n.versions[model]
	if len(list) > 0 && list[len(list)-1].version >= version {
		return
	}
	list = append(list, namedVersion{version, clock.Now()})
	n.versions[model] = list[max(0, len(list)-namedMost):]
}

// version returns the newest version of a model; 0 where none is named.
func (n *named) version(model string) int64 {
	n.namedMu.Lock()
	defer n.namedMu.Unlock()
	list := n.versions[model]
	if len(list) == 0 {
		return 0
	}
	return list[len(list)-1].version
}

// replaced returns since when this daemon knows of newer weights than a
// version; false where there are none.
func (n *named) replaced(model string, version int64) (clock.Time, bool) {
	n.namedMu.Lock()
	defer n.namedMu.Unlock()
	for _, v := range n.versions[model] {
		if v.version > version {
			return v.since, true
		}
	}
	return clock.Time{}, false
}

// age returns how long a version has been replaced; 0 where it is the newest.
func (n *named) age(model string, version int64) time.Duration {
	since, replaced := n.replaced(model, version)
	if !replaced {
		return 0
	}
	return clock.Since(since)
}

// superseded returns since when newer weights than those of a salt are named.
func (n *named) superseded(salt string) (clock.Time, bool) {
	model, version, ok := cache.SaltVersion(salt)
	if !ok {
		return clock.Time{}, false
	}
	return n.replaced(model, version)
}

// boxes reads the list of daemons from the mirror of the platform's store.
type boxes struct {
	mirror *plat.Mirror
	// edits of the mirror at the last reading, and state of the boxes' keys then; only the
	// reader uses them.
	edits int64
	state boxesState
	// last holds the boxes of the last reading by key, and era is that of the mirror then. Only the
	// reader uses them.
	last map[string]plat.Box
	era  int64
	// missing holds, until held, the boxes that the mirror lacked when its era rose. Only the reader
	// uses them.
	missing map[string]plat.Box
	held    clock.Time
}

// boxHold is how long a box that a restored store lacks stays in the list: each daemon writes its key
// again within a quarter of boxLife.
const boxHold = boxLife / 2

// boxesState tells whether the boxes' keys are as they were: a new or changed one raises
// the latest revision, and one that goes changes the count.
type boxesState struct {
	read   bool
	latest int64
	count  int
}

// Read returns the list. Most changes of the mirror are of targets, at which the boxes are not read
// anew.
func (b *boxes) Read(context.Context) ([]plat.Box, bool, error) {
	over := b.missing != nil && !clock.Now().Before(b.held)
	if over {
		b.missing = nil
	}
	edits, era := b.mirror.Edits(), b.mirror.Era()
	if edits == b.edits && !over {
		return nil, false, nil
	}
	b.edits = edits
	pairs := b.mirror.Under(keyBoxes)
	state := boxesState{read: true, count: len(pairs)}
	for _, p := range pairs {
		state.latest = max(state.latest, p.ModRevision)
	}
	if state == b.state && !over {
		return nil, false, nil
	}
	b.state = state
	if b.last != nil && era > b.era {
		b.missing, b.held = b.last, clock.Now().Add(boxHold)
	}
	b.last, b.era = map[string]plat.Box{}, era
	for _, p := range pairs {
		var box plat.Box
		if err := json.Unmarshal(p.Value, &box); err == nil {
			b.last[p.Key] = box
		}
		// A key that no daemon wrote so names none; the others still count.
	}
	for key, box := range b.missing {
		if _, there := b.last[key]; !there {
			b.last[key] = box
		}
	}
	return slices.Collect(maps.Values(b.last)), true, nil
}

// daemons counts the daemons that share the connections to targets.
type daemons struct {
	view func() *fleet.View

	countMu sync.Mutex
	most    int        // guarded by countMu
	at      clock.Time // when most was counted; guarded by countMu
}

// countLife is how long the highest count holds: a daemon that is not heard
// may still use its connections.
const countLife = 15 * time.Second

// count returns the highest count of daemons lately, this one included.
func (d *daemons) count() int {
	now := len(d.view().Peers()) + 1
	d.countMu.Lock()
	defer d.countMu.Unlock()
	if now >= d.most || clock.Since(d.at) > countLife {
		d.most, d.at = now, clock.Now()
	}
	return d.most
}
