package home

import (
	"embertally.dev/core/conf"
	"embertally.dev/core/fleet"
)

// cellTargets are the targets of this cell under one configuration and one view of the
// fleet. It is immutable and rebuilt when either changes, so that a request need not scan
// the targets of the whole fleet.
type cellTargets struct {
	snap *conf.Snapshot
	view *fleet.View
	// workers are the engines of the cell, usable or not, sorted by name.
	workers []string
	// usable are the engines of each deployment that may receive new work.
	usable map[string][]string
	// stores are the usable stores.
	stores []string
}

// targets returns the targets for a snapshot and a view.
func (h *Owner) targets(snap *conf.Snapshot, view *fleet.View) *cellTargets {
	if c := h.cachedTargets.Load(); c != nil && c.snap == snap && c.view == view {
		return c
	}
	c := &cellTargets{snap: snap, view: view, usable: map[string][]string{}}
	for _, r := range snap.List(conf.KindTarget) {
		t := r.Spec().(*conf.Target)
		if view.CellOf(r.Name()) == view.Cell() {
			c.add(r.Name(), t, view.Usable(r.Name(), t))
		}
	}
	h.cachedTargets.Store(c)
	return c
}

// add sorts a target into the lists.
func (c *cellTargets) add(name string, t *conf.Target, usable bool) {
	if t.Type == conf.TypeEngine {
		c.workers = append(c.workers, name)
	}
	switch {
	case !usable:
	case t.Type == conf.TypeStore:
		c.stores = append(c.stores, name)
	case t.Type == conf.TypeEngine:
		for _, d := range t.Deployments {
			c.usable[d] = append(c.usable[d], name)
		}
	}
}

// Workers returns the names of the engines of this cell.
func (h *Owner) Workers(snap *conf.Snapshot, view *fleet.View) []string {
	return h.targets(snap, view).workers
}
