package plat

import (
	"context"
	"strings"

	"github.com/pkg/errors"

	"embertally.dev/core/wait"
)

// pager is a Reader that can return keys page by page. The store charges for each page as for a
// call.
type pager interface {
	// Pages calls f with the pages of a span, ordered by key, until f returns false or the last
	// page was passed, for which more is false. A watch from the revision after the given one
	// misses no change to the keys passed.
	Pages(ctx context.Context, span Span, f func(pairs []Pair, revision int64, more bool) bool) error
}

// maxOutlineReads is how often the outline is read while it grows: daemons that start together
// find few of each other in it at first.
const maxOutlineReads = 3

// readFirst reads the keys of the outline first where not all keys fit one page. done is true if
// no more has to be read: everything was, or this daemon takes changes from peers.
func (m *WatchCache) readFirst(ctx context.Context) (done bool, err error) {
	p, pages := m.reader.(pager)
	if !pages || m.FirstPrefix == "" {
		return false, nil
	}
	for previous, try := -1, 0; try < maxOutlineReads; try++ {
		outline, whole, err := m.readOutline(ctx, p)
		if whole || err != nil {
			return whole, err
		}
		m.seed(outline)
		// The view of the fleet is built from these keys, and Follows depends on the view; leave
		// it time to update.
		wait.For(ctx, m.gather())
		if m.followsPeers() {
			return true, errors.WithStack(errFollowsPeers)
		}
		if len(outline) == previous {
			return false, nil
		}
		previous = len(outline)
	}
	return false, nil
}

// readOutline reads pages until all keys of the outline were read. If that was the whole span,
// it is applied as a snapshot and whole is true.
func (m *WatchCache) readOutline(ctx context.Context, p pager) (outline []Pair, whole bool, err error) {
	var all []Pair
	first := int64(0)
	err = p.Pages(ctx, m.span, func(pairs []Pair, revision int64, more bool) bool {
		if first == 0 {
			first = revision
		}
		all, whole = append(all, pairs...), !more
		last := ""
		if len(pairs) > 0 {
			last = pairs[len(pairs)-1].Key
		}
		return last < m.FirstPrefix || strings.HasPrefix(last, m.FirstPrefix)
	})
	if err != nil {
		return nil, false, err
	}
	if whole {
		m.applyRead(all, first)
		return nil, true, nil
	}
	for _, pair := range all {
		if strings.HasPrefix(pair.Key, m.FirstPrefix) {
			outline = append(outline, pair)
		}
	}
	return outline, false, nil
}

// seed fills the cache with the keys of the outline until there is a snapshot. It sets no
// revision, since the keys need not be of the same one.
func (m *WatchCache) seed(outline []Pair) {
	m.cacheMu.Lock()
	defer m.cacheMu.Unlock()
	if m.revision > 0 {
		return
	}
	m.editCount++
	for key := range m.pairs {
		delete(m.pairs, key)
	}
	for _, p := range outline {
		m.pairs[p.Key] = p
	}
}

// HasData reports whether the cache contains anything, if only the outline.
func (m *WatchCache) HasData() bool {
	m.cacheMu.Lock()
	defer m.cacheMu.Unlock()
	return m.revision > 0 || len(m.pairs) > 0
}
