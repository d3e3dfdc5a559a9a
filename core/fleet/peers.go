package fleet

import (
	"maps"
	"slices"
	"sort"
	"sync"

	"embertally.dev/core/clock"
	"embertally.dev/core/plat"
)

// rebuild makes the view anew from what is known.
func (f *Fleet) rebuild() {
	f.fleetMu.Lock()
	defer f.fleetMu.Unlock()
	v := &View{
		self: f.o.Name, boxes: f.boxes, boxesKnown: f.boxesKnown, marks: maps.Clone(f.marks),
		domain: f.o.Domain, draining: f.draining, at: clock.Now(),
	}
	known := f.knownPeers()
	f.cells.set(planCells(f.domainSizes(known)))
	v.plan = f.cells.plan
	v.cells = v.plan.count()
	v.cell = f.cells.of(f.o.Name, f.o.Domain)
	v.shard = v.newShard()
	for _, p := range known {
		f.fill(&p, v)
		v.peers = append(v.peers, p)
		if p.Draining || p.Cell != v.cell {
			continue
		}
		if p.Alive {
			v.duty = append(v.duty, p.Name)
		}
		if p.Alive || p.Incarnation == "" {
			v.expected = append(v.expected, p.Name)
		}
	}
	if !f.draining {
		v.duty = append(v.duty, f.o.Name)
		v.expected = append(v.expected, f.o.Name)
	}
	v.listed = sync.OnceValue(v.allListed)
	v.domains = sync.OnceValue(func() map[string][]string { return v.byDomain(f.o.Domain) })
	sort.Strings(v.duty)
	sort.Strings(v.expected)
	f.view.Store(v)
	f.closeLinks(v)
}

// domainSizes returns how many daemons each failure domain has, this one included.
func (f *Fleet) domainSizes(known []Peer) map[string]int {
	sizes := map[string]int{f.o.Domain: 1}
	for _, p := range known {
		sizes[p.Domain]++
	}
	return sizes
}

// closeLinks closes the links to peers that a view no longer names. It is called
// with fleetMu held.
func (f *Fleet) closeLinks(v *View) {
	for name, l := range f.links {
		if _, known := v.peer(name); !known {
			l.Close()
			delete(f.links, name)
		}
	}
}

// fill completes a peer from its heartbeats and the box list. It is called with
// fleetMu held.
func (f *Fleet) fill(p *Peer, v *View) {
	p.Cell = f.cells.of(p.Name, p.Domain)
	if h := f.heard[p.Name]; h != nil {
		p.Alive, p.Incarnation, p.Draining = h.alive, h.incarnation, h.draining
	}
	if p.Cell != v.cell {
		p.Alive = v.at.After(f.failed[p.Name])
	}
	box := f.boxes[p.Name]
	p.Listed = box.State == plat.BoxLive
	if box.State == plat.BoxLeaving {
		p.Draining = true
	}
}

// knownPeers joins the box list with the settings; the list counts where both
// name a peer. Without a list, peers whose heartbeats carried an address count as
// well. It is called with fleetMu held.
func (f *Fleet) knownPeers() []Peer {
	byName := map[string]Peer{}
	for _, s := range f.o.Seeds {
		_, listed := f.boxes[s.Name]
		heard := f.heard[s.Name]
		if !f.boxesKnown || listed || (heard != nil && heard.alive) {
			byName[s.Name] = s
		}
	}
	for _, b := range f.boxes {
		if b.Role == plat.RoleEntry {
			byName[b.Name] = Peer{Name: b.Name, Address: b.Address, Domain: b.Domain}
		}
	}
	if !f.boxesKnown {
		f.addHeard(byName)
	}
	delete(byName, f.o.Name)
	out := slices.Collect(maps.Values(byName))
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// addHeard adds the live peers whose heartbeats carried an address. It is called
// with fleetMu held.
func (f *Fleet) addHeard(byName map[string]Peer) {
	for name, h := range f.heard {
		if _, known := byName[name]; !known && h.alive && h.address != "" {
			byName[name] = Peer{Name: name, Address: h.address, Domain: h.domain}
		}
	}
}
