package host

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"embertally.dev/core/cache"
	"embertally.dev/core/fleet"
	"embertally.dev/core/plat"
)

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

// named knows which version of each model's weights is named.
type named struct {
	namedMu  sync.Mutex
	versions map[string]namedVersion // guarded by namedMu
}

type namedVersion struct {
	version int64
	// since is when this daemon learned of it.
	since time.Time
}

func (n *named) set(model string, version int64) {
	n.namedMu.Lock()
	defer n.namedMu.Unlock()
	if n.versions == nil {
		n.versions = map[string]namedVersion{}
	}
	if n.versions[model].version < version {
		n.versions[model] = namedVersion{version, time.Now()}
	}
}

// version returns the newest version of a model; 0 where none is named.
func (n *named) version(model string) int64 {
	n.namedMu.Lock()
	defer n.namedMu.Unlock()
	return n.versions[model].version
}

// superseded returns since when newer weights than those of a salt are named.
func (n *named) superseded(salt string) (time.Time, bool) {
	model, version, ok := cache.SaltVersion(salt)
	if !ok {
		return time.Time{}, false
	}
	n.namedMu.Lock()
	defer n.namedMu.Unlock()
	v := n.versions[model]
	return v.since, v.version > version
}

// boxes reads the list of daemons from the mirror of the platform's store.
type boxes struct {
	mirror *plat.Mirror
	// revision of the mirror at the last reading; only the reader uses it.
	revision int64
}

// Read returns the list.
func (b *boxes) Read(context.Context) ([]plat.Box, bool, error) {
	revision := b.mirror.Revision()
	if revision == b.revision {
		return nil, false, nil
	}
	b.revision = revision
	var out []plat.Box
	for _, p := range b.mirror.Under(keyBoxes) {
		var box plat.Box
		if err := json.Unmarshal(p.Value, &box); err == nil {
			out = append(out, box)
		}
	}
	return out, true, nil
}

// daemons counts the daemons that share the connections to targets.
type daemons struct {
	view func() *fleet.View

	countMu sync.Mutex
	most    int       // guarded by countMu
	at      time.Time // when most was counted; guarded by countMu
}

// countLife is how long the highest count holds: a daemon that is not heard
// may still use its connections.
const countLife = 15 * time.Second

func (d *daemons) count() int {
	now := len(d.view().Peers()) + 1
	d.countMu.Lock()
	defer d.countMu.Unlock()
	if now >= d.most || time.Since(d.at) > countLife {
		d.most, d.at = now, time.Now()
	}
	return d.most
}
