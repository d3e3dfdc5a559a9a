package home

import (
	"embertally.dev/core/conf"
	"embertally.dev/core/fleet"
)

// plan is what one configuration and one view of the fleet say of the targets
// of this cell. It never changes; it is made anew when either changes, so that
// a request does not look through the targets of the whole fleet.
type plan struct {
	snap *conf.Snapshot
	view *fleet.View
	// workers are the engines of the cell, usable or not, ordered by name.
	workers []string
	// usable are the engines of each deployment that may get new work.
	usable map[string][]string
	// stores are the stores that may be used.
	stores []string
}

// plan returns the plan for a snapshot and a view.
func (h *Home) plan(snap *conf.Snapshot, view *fleet.View) *plan {
	if p := h.planned.Load(); p != nil && p.snap == snap && p.view == view {
		return p
	}
	p := &plan{snap: snap, view: view, usable: map[string][]string{}}
	for _, r := range snap.List(conf.KindTarget) {
		t := r.Spec().(*conf.Target)
		if view.CellOf(r.Name()) == view.Cell() {
			p.add(r.Name(), t, view.Usable(r.Name(), t))
		}
	}
	h.planned.Store(p)
	return p
}

func (p *plan) add(name string, t *conf.Target, usable bool) {
	if t.Type == conf.TypeEngine {
		p.workers = append(p.workers, name)
	}
	switch {
	case !usable:
	case t.Type == conf.TypeStore:
		p.stores = append(p.stores, name)
	case t.Type == conf.TypeEngine:
		for _, d := range t.Deployments {
			p.usable[d] = append(p.usable[d], name)
		}
	}
}

// Workers returns the engines of this cell.
func (h *Home) Workers(snap *conf.Snapshot, view *fleet.View) []string {
	return h.plan(snap, view).workers
}
