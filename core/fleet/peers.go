package fleet

import (
	"maps"
	"slices"
	"sort"
	"sync"

	"embertally.dev/core/clock"
	"embertally.dev/core/plat"
)

// rebuild replaces the view by one of the current state.
func (f *Fleet) rebuild() {
	f.fleetMu.Lock()
	defer f.fleetMu.Unlock()
	v := &View{
		self: f.opts.Name, boxes: f.boxes, boxesLoaded: f.boxesLoaded, drainOrders: maps.Clone(f.drainOrders),
		domain: f.opts.Domain, draining: f.draining, builtAt: clock.Now(),
	}
	peers := f.collectPeers()
	f.cells.set(planCells(f.domainSizes(peers)))
	v.plan = f.cells.plan
	v.cells = v.plan.count()
	v.cell = f.cells.of(f.opts.Name, f.opts.Domain)
	v.shard = v.newShard()
	for _, p := range peers {
		f.fill(&p, v)
		v.peers = append(v.peers, p)
		if p.Draining || p.Cell != v.cell {
			continue
		}
		if p.Alive {
			v.eligible = append(v.eligible, p.Name)
		}
		if p.Alive || p.Incarnation == "" {
			v.expected = append(v.expected, p.Name)
		}
	}
	if !f.draining {
		v.eligible = append(v.eligible, f.opts.Name)
		v.expected = append(v.expected, f.opts.Name)
	}
	v.notDraining = sync.OnceValue(v.listNotDraining)
	v.domains = sync.OnceValue(func() map[string][]string { return v.byDomain(f.opts.Domain) })
	sort.Strings(v.eligible)
	sort.Strings(v.expected)
	f.view.Store(v)
	f.closeLinks(v)
}

// domainSizes returns the number of daemons in each failure domain, this one included.
func (f *Fleet) domainSizes(peers []Peer) map[string]int {
	sizes := map[string]int{f.opts.Domain: 1}
	for _, p := range peers {
		sizes[p.Domain]++
	}
	return sizes
}

// closeLinks closes the links to peers that are not in v. It is called with fleetMu held.
func (f *Fleet) closeLinks(v *View) {
	for name, l := range f.links {
		if _, ok := v.Peer(name); !ok {
			f.closeLink(l)
			delete(f.links, name)
		}
	}
}

// fill completes a peer's entry from its heartbeats and the box list. It is called with fleetMu
// held.
func (f *Fleet) fill(p *Peer, v *View) {
	p.Cell = f.cells.of(p.Name, p.Domain)
	if state := f.peerStates[p.Name]; state != nil {
		p.Alive, p.Incarnation, p.Draining = state.alive, state.incarnation, state.draining
	}
	if p.Cell != v.cell {
		p.Alive = v.builtAt.After(f.lostUntil[p.Name])
	}
	box := f.boxes[p.Name]
	p.Listed = box.State == plat.BoxLive
	if box.State == plat.BoxLeaving {
		p.Draining = true
	}
}

// collectPeers merges the box list and the seeds, ordered by name; where both name a peer, the
// box list takes precedence. Until the box list was read, live peers whose heartbeats carried an
// address are included too. It is called with fleetMu held.
func (f *Fleet) collectPeers() []Peer {
	byName := map[string]Peer{}
	for _, s := range f.opts.Seeds {
		_, listed := f.boxes[s.Name]
		state := f.peerStates[s.Name]
		if !f.boxesLoaded || listed || (state != nil && state.alive) {
			byName[s.Name] = s
		}
	}
	for _, b := range f.boxes {
		if b.Role == plat.RoleEntry {
			byName[b.Name] = Peer{Name: b.Name, Address: b.Address, Domain: b.Domain}
		}
	}
	if !f.boxesLoaded {
		f.addFromHeartbeats(byName)
	}
	delete(byName, f.opts.Name)
	out := slices.Collect(maps.Values(byName))
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// addFromHeartbeats adds the live peers whose heartbeats carried an address. It is called with
// fleetMu held.
func (f *Fleet) addFromHeartbeats(byName map[string]Peer) {
	for name, state := range f.peerStates {
		if _, ok := byName[name]; !ok && state.alive && state.address != "" {
			byName[name] = Peer{Name: name, Address: state.address, Domain: state.domain}
		}
	}
}
