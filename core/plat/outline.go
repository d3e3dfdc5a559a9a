package plat

import (
	"context"
	"strings"

	"github.com/pkg/errors"

	"embertally.dev/core/wait"
)

// pager is a reader that gives keys page by page. Each page is a priced call.
type pager interface {
	// Pages calls f with the pages of a span, ordered by key, until f returns false or the last
	// one, of which more is false. The revision is one that a watch may start after without
	// missing a change of what was given.
	Pages(ctx context.Context, span Span, f func(pairs []Pair, revision int64, more bool) bool) error
}

// outlineTries is how often the outline is read while it grows: daemons that start together know
// few of each other at first.
const outlineTries = 3

// sketch reads the keys of the outline where all keys do not fit one page, and reports whether no
// more is to be read: it was everything, or others follow the service for this daemon.
func (m *Mirror) sketch(ctx context.Context) (done bool, err error) {
	p, pages := m.from.(pager)
	if !pages || m.Outline == "" {
		return false, nil
	}
	for known, try := -1, 0; try < outlineTries; try++ {
		outline, whole, err := m.readOutline(ctx, p)
		if whole || err != nil {
			return whole, err
		}
		m.seed(outline)
		// The view goes by what was read before Follows goes by the view.
		wait.For(ctx, m.gather())
		if m.rests() {
			return true, errors.WithStack(errRests)
		}
		if len(outline) == known {
			return false, nil
		}
		known = len(outline)
	}
	return false, nil
}

// readOutline reads pages until the outline is there. Where that was everything it is taken.
func (m *Mirror) readOutline(ctx context.Context, p pager) (outline []Pair, whole bool, err error) {
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
		return last < m.Outline || strings.HasPrefix(last, m.Outline)
	})
	if err != nil {
		return nil, false, err
	}
	if whole {
		m.read(all, first)
		return nil, true, nil
	}
	for _, pair := range all {
		if strings.HasPrefix(pair.Key, m.Outline) {
			outline = append(outline, pair)
		}
	}
	return outline, false, nil
}

// seed takes keys of the outline, which is not a copy of any revision.
func (m *Mirror) seed(outline []Pair) {
	m.mirrorMu.Lock()
	defer m.mirrorMu.Unlock()
	if m.revision > 0 {
		return
	}
	m.edits++
	for key := range m.pairs {
		delete(m.pairs, key)
	}
	for _, p := range outline {
		m.pairs[p.Key] = p
	}
}

// Known reports whether the copy holds anything, if only the outline.
func (m *Mirror) Known() bool {
	m.mirrorMu.Lock()
	defer m.mirrorMu.Unlock()
	return m.revision > 0 || len(m.pairs) > 0
}
