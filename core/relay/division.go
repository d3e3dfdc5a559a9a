package relay

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/fleet"
	"embertally.dev/core/roster"
	"embertally.dev/core/route"
	"embertally.dev/core/table"
)

// divisionInterval is the time between two computations of a service's division.
const divisionInterval = 250 * time.Millisecond

// serviceDivision is the division of a service's workers.
type serviceDivision struct {
	route.Division
	// workers are those that this daemon uses, and reserved those of them that are reserved for the
	// suffering kinds.
	workers  []*roster.Target
	reserved map[*roster.Target]bool
	// updatedAt is when the division was computed, and startedAt when the first one of the service was,
	// or the first one after a pause of divisionExpiry.
	updatedAt, startedAt time.Time
}

// division returns how a service's workers are divided, or nil if that is switched off. It is called
// with chooseMu held.
func (rl *Relay) division(svc *table.Service, now time.Time) *serviceDivision {
	if svc.Engine == nil || rl.options.Pauses == nil || rl.options.Disabled.Division {
		return nil
	}
	previous := rl.divisions[svc.Name]
	if previous == nil {
		previous = &serviceDivision{updatedAt: now, startedAt: now}
	} else if now.Sub(previous.updatedAt) < divisionInterval {
		return previous
	}
	d := &serviceDivision{
		workers:   rl.shares.get(svc.Name, rl.options.Roster.ByService(svc.Name), &rl.options).own,
		updatedAt: now, startedAt: previous.startedAt,
	}
	if now.Sub(previous.updatedAt) > divisionExpiry {
		d.startedAt = now
	}
	kinds := rl.streamKinds(svc, now)
	// A daemon that has just started, or goes on after a pause, takes any peer's division, so that the
	// cell's does not end when the daemon whose name comes first restarts.
	settled := now.Sub(d.startedAt) >= divisionTTL
	if agreed, found := rl.divisionPeers.agreed(svc.Name, rl.options.Name, settled, now); found {
		d.Division = agreed
		d.Expect(kinds, len(d.workers))
	} else {
		d.Division = route.Divide(kinds, len(d.workers), &previous.Division, now.Sub(previous.updatedAt))
	}
	switch {
	case d.Share == 0:
	case d.Share == previous.Share && sameList(d.workers, previous.workers):
		d.reserved = previous.reserved
	default:
		d.reserved = reservedTargets(d.workers, d.Share)
	}
	if rl.divisions == nil {
		rl.divisions = map[string]*serviceDivision{}
	}
	rl.divisions[svc.Name] = d
	rl.divisionPeers.publish(svc.Name, d.Division, settled && len(kinds) > 0)
	return d
}

// ReservedWorkers returns the number of workers that are reserved for streams that suffer from prefill.
func (rl *Relay) ReservedWorkers() int {
	rl.chooseMu.Lock()
	defer rl.chooseMu.Unlock()
	count := 0
	for _, d := range rl.divisions {
		count += len(d.reserved)
	}
	return count
}

// reservedTargets returns the given share of the workers: those whose IDs have the lowest hashes, so
// that all daemons with the same list and share return the same, and a worker that appears or
// disappears moves at most one other.
func reservedTargets(workers []*roster.Target, share float64) map[*roster.Target]bool {
	count := min(max(int(math.Round(share*float64(len(workers)))), 1), len(workers))
	ordered := slices.Clone(workers)
	slices.SortFunc(ordered, func(a, b *roster.Target) int {
		return cmp.Or(cmp.Compare(fleet.Key(a.ID()), fleet.Key(b.ID())), cmp.Compare(a.ID(), b.ID()))
	})
	out := make(map[*roster.Target]bool, count)
	for _, t := range ordered[:count] {
		out[t] = true
	}
	return out
}

// applyDivision sets what the division expects of pauses at the candidates.
func (p *proxiedRequest) applyDivision(d *serviceDivision, candidates []route.Candidate, alternatives []alternative) {
	if d == nil || d.Share == 0 {
		return
	}
	for i := range candidates {
		d.Weigh(&candidates[i], p.route.Name, d.reserved[alternatives[i].eligible.target])
	}
}

// recordDivision sets on which side of the division a choice is.
func (p *proxiedRequest) recordDivision(d *serviceDivision, c *choice) {
	if d == nil || d.Share == 0 {
		return
	}
	c.side = sideOther
	_, suffers := d.Reserved[p.route.Name]
	switch reserved := d.reserved[c.target]; {
	case suffers && reserved:
		c.side = sideReserved
	case suffers:
		c.side = sideOverflow
	case reserved:
		c.side = sideIntrusion
	}
}

// divisionPeers exchanges the divisions of the daemons of a cell. All use that of the daemon whose
// name comes first: if each decided by itself, prompts that one daemon keeps away from a worker would
// arrive there from another. It is attached to heartbeats. The zero value is ready for use.
type divisionPeers struct {
	mu sync.Mutex
	// own holds the divisions that this daemon uses, by service. Guarded by mu.
	own map[string]ownDivision
	// peers holds the last report of each peer whose report is used, by name. Guarded by mu.
	peers map[string]receivedDivisions
}

// ownDivision is a division of this daemon, and when it was computed.
type ownDivision struct {
	at     time.Time
	report divisionReport
}

// receivedDivisions is a peer's report, by service.
type receivedDivisions struct {
	at       time.Time
	services map[string]divisionReport
}

// divisionReport is a division as it is sent to peers.
type divisionReport struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Share    float64
	Reserved map[string]float64
	Pause    time.Duration
}

// divisionTTL is how long a peer's report is used: several heartbeats may be lost.
const divisionTTL = 1500 * time.Millisecond

// divisionExpiry is how long this daemon's division is sent after it was computed. A division is
// computed when a request of the service is served: a daemon that gets none any more must not decide
// for the others. It is longer than the usual time between two requests of a small service.
const divisionExpiry = 10 * time.Second

// division returns the division that a report describes.
func (r *divisionReport) division() route.Division {
	return route.Division{Share: r.Share, Reserved: r.Reserved, Pause: r.Pause}
}

// publish sets the division of a service for the next heartbeats. A daemon that has just started or
// knows no requests of the service publishes nothing.
func (d *divisionPeers) publish(service string, division route.Division, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !known {
		delete(d.own, service)
		return
	}
	if d.own == nil {
		d.own = map[string]ownDivision{}
	}
	d.own[service] = ownDivision{
		time.Now(), divisionReport{Share: division.Share, Reserved: division.Reserved, Pause: division.Pause},
	}
}

// agreed returns the division of the peer whose name comes first, or false if there is none. A daemon
// that is settled uses only peers whose names come before its own.
func (d *divisionPeers) agreed(service, self string, settled bool, now time.Time) (route.Division, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	first, found := "", false
	for name, received := range d.peers {
		_, reported := received.services[service]
		if reported && now.Sub(received.at) < divisionTTL && (!found || name < first) && (!settled || name < self) {
			first, found = name, true
		}
	}
	r := d.peers[first].services[service]
	return r.division(), found
}

// Collect returns this daemon's divisions for a heartbeat, or nil.
func (d *divisionPeers) Collect(bool) any {
	if out := d.collect(time.Now()); len(out) > 0 {
		return out
	}
	return nil
}

// collect is Collect at a given time.
func (d *divisionPeers) collect(now time.Time) map[string]divisionReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]divisionReport, len(d.own))
	for service, own := range d.own {
		if now.Sub(own.at) > divisionExpiry {
			delete(d.own, service)
			continue
		}
		out[service] = own.report
	}
	return out
}

// Receive stores a peer's divisions.
func (d *divisionPeers) Receive(peer string, raw []byte) {
	var services map[string]divisionReport
	if err := msgpack.Unmarshal(raw, &services); err != nil {
		// A peer of another version sent it.
		return
	}
	for service, report := range services {
		if division := report.division(); !division.Valid() {
			delete(services, service)
		}
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.peers == nil {
		d.peers = map[string]receivedDivisions{}
	}
	maps.DeleteFunc(d.peers, func(_ string, r receivedDivisions) bool { return now.Sub(r.at) >= divisionTTL })
	d.peers[peer] = receivedDivisions{now, services}
}

// DivisionPart returns the part of heartbeats that exchanges divisions.
func (rl *Relay) DivisionPart() fleet.Part { return &rl.divisionPeers }
