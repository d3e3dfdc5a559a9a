package plat

import (
	"context"
	"strings"

	"github.com/pkg/errors"

	"embertally.dev/core/clock"
	"embertally.dev/core/wait"
)

// pager is a Reader that can return keys page by page. The store charges for each page as for a
// call.
type pager interface {
	// Pages calls f with the pages of a span, ordered by key, until f returns false or the last
	// page was passed, for which more is false. A watch from the revision after the one passed
	// misses no change to the keys of the page.
	Pages(ctx context.Context, span Span, f func(pairs []Pair, revision int64, more bool) bool) error
}

// maxOutlineReads is how often the outline, the keys with FirstPrefix, is read at most while it
// grows: daemons that start together find few of each other in it at first.
const maxOutlineReads = 3

// readFirst reads the outline if not all keys fit one page. done is true if no more has to be read:
// everything was, or this daemon takes changes from peers.
func (w *WatchCache) readFirst(ctx context.Context) (done bool, err error) {
	p, pages := w.reader.(pager)
	if !pages || w.FirstPrefix == "" {
		return false, nil
	}
	for previous, try := -1, 0; try < maxOutlineReads; try++ {
		outline, complete, err := w.readOutline(ctx, p)
		if complete || err != nil {
			return complete, err
		}
		w.seed(outline)
		// The view of the fleet is built from these keys, and WatchesStore depends on the view;
		// leave it time to update.
		wait.For(ctx, w.batchTime())
		if w.followsPeers() {
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
// it is applied as a snapshot and complete is true.
func (w *WatchCache) readOutline(ctx context.Context, p pager) (outline []Pair, complete bool, err error) {
	var all []Pair
	first, asOf := int64(0), clock.Now()
	err = p.Pages(ctx, w.span, func(pairs []Pair, revision int64, more bool) bool {
		if first == 0 {
			first = revision
		}
		all, complete = append(all, pairs...), !more
		last := ""
		if len(pairs) > 0 {
			last = pairs[len(pairs)-1].Key
		}
		return last < w.FirstPrefix || strings.HasPrefix(last, w.FirstPrefix)
	})
	if err != nil {
		return nil, false, err
	}
	if complete {
		return nil, true, w.applyRead(all, first, asOf)
	}
	for _, pair := range all {
		if strings.HasPrefix(pair.Key, w.FirstPrefix) {
			outline = append(outline, pair)
		}
	}
	return outline, false, nil
}

// seed fills the cache with the keys of the outline until there is a snapshot. It sets no
// revision, since the keys need not be of the same one.
func (w *WatchCache) seed(outline []Pair) {
	w.cacheMu.Lock()
	defer w.cacheMu.Unlock()
	if w.revision > 0 {
		return
	}
	w.editCount++
	for key := range w.pairs {
		delete(w.pairs, key)
	}
	for _, p := range outline {
		w.pairs[p.Key] = p
	}
}

// HasData reports whether the cache contains anything, if only the outline.
func (w *WatchCache) HasData() bool {
	w.cacheMu.Lock()
	defer w.cacheMu.Unlock()
	return w.revision > 0 || len(w.pairs) > 0
}
