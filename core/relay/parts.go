package relay

import (
	"strings"
	"time"

	"embertally.dev/core/cache"
	"embertally.dev/core/table"
)

// copyLeast is the size, in tokens, from which a part is copied from a store or
// kept there: below, a copy takes longer than the prompt's reading.
const copyLeast = 1000

// copyable returns how many of the first shared parts are copied and kept: those
// up to the last large one. Engines copy no part after one that no place is named
// for, so that small parts before a large one count with it.
func (p *pass) copyable() int {
	n := 0
	for i, part := range p.sharedParts() {
		if part.Tokens >= copyLeast {
			n = i + 1
		}
	}
	return n
}

// sharedParts are the parts that other requests have as well: all but the last.
func (p *pass) sharedParts() []cache.Part {
	if len(p.ask.Parts) < 2 {
		return nil
	}
	return p.ask.Parts[:len(p.ask.Parts)-1]
}

// shared is how many tokens they have.
func (p *pass) shared() int {
	n := 0
	for _, part := range p.sharedParts() {
		n += part.Tokens
	}
	return n
}

// source is where a worker gets a part from.
type source struct {
	// here tells that the worker is believed to hold the part.
	here bool
	// read tells that some worker has read the part lately.
	read bool
	// address is the store or worker that the part can be copied from, or "".
	address string
	// time is how long the copy takes.
	time time.Duration
	// until is when a copy is void, on the targets' clock; 0 for workers, which
	// free nothing that they hand out.
	until time.Duration
}

// workerFirst is the wait before the first byte of a copy between workers.
const workerFirst = 61 * time.Millisecond

// source finds the part at an index of the prompt for a worker.
func (p *pass) source(svc *table.Service, o option, at int, now time.Time) source {
	var out source
	name, part := p.partName(o, at), p.ask.Parts[at]
	holder, read := p.relay.o.Where.Find(name, now)
	out.here, out.read = holder == o.target.ID(), read
	// Parts of superseded weights in stores are about to be freed.
	if o.version >= p.relay.o.Named(p.ask.Model) && p.relay.o.CopyMay() {
		if place, ok := p.relay.o.Kept.Find(name, o.entry.Domain, now); ok {
			out.address, out.time, out.until = place.Address, place.Time, place.Until
			return out
		}
	}
	if holder == "" || out.here {
		return out
	}
	t := p.relay.o.Roster.Target(holder)
	if t == nil || t.Entry().Weights[p.ask.Model] != o.version || t.Health(now).Suspect {
		return out
	}
	out.address = t.Entry().Address
	out.time = workerFirst + table.LinkTime(part.Tokens*svc.Engine.TokenBytes, svc.Engine.LinkBits)
	return out
}

// sources finds the copyable parts for a worker, in the order of the prompt. copied
// is how many of them are copied: the first ones that all have an address.
func (p *pass) sources(svc *table.Service, o option, now time.Time) (list []source, copied int) {
	for at := range p.copyable() {
		list = append(list, p.source(svc, o, at, now))
	}
	for copied < len(list) && list[copied].address != "" {
		copied++
	}
	return list, copied
}

// copies says where parts are copied from and which stores they are sent to, and
// records that the worker will hold them.
func (p *pass) copies(svc *table.Service, c *choice, o option, now time.Time) {
	if len(p.sharedParts()) == 0 || o.version == 0 || !p.relay.o.Placement.Exports() {
		return
	}
	list, copied := p.sources(svc, o, now)
	p.setCopy(&c.sending, list[:copied])
	if o.version >= p.relay.o.Named(p.ask.Model) {
		p.setKeep(&c.sending, list, o, now)
	}
	for i := range list {
		p.relay.o.Where.Note(p.partName(o, i), o.target.ID(), now)
	}
}

// partName returns the name under which the part at an index of the prompt is kept
// with the worker's weights.
func (p *pass) partName(o option, at int) cache.PartName {
	return cache.PartName{Salt: p.salt(o.version).String(), ID: p.ask.Parts[at].ID}
}

// setCopy names the addresses that the first parts are copied from, and until when.
func (p *pass) setCopy(to *Sending, copied []source) {
	if len(copied) == 0 {
		return
	}
	to.Copy = make([]string, len(p.ask.Parts))
	for i, src := range copied {
		to.Copy[i] = src.address
		if src.until > 0 && (to.CopyUntil == 0 || src.until < to.CopyUntil) {
			to.CopyUntil = src.until
		}
	}
	p.note("copied from %s", strings.Join(to.Copy, ","))
}

// setKeep names the stores that parts are sent to: those parts that no store has
// and that one has room for.
func (p *pass) setKeep(to *Sending, list []source, o option, now time.Time) {
	stores := make([]string, len(p.ask.Parts))
	keeps := false
	for i, src := range list {
		if src.until != 0 {
			// A store has it.
			continue
		}
		stores[i] = p.relay.o.Kept.Room(p.partName(o, i), p.ask.Parts[i].Tokens, now)
		keeps = keeps || stores[i] != ""
	}
	if keeps {
		to.Keep = stores
		p.note("sent to %s", strings.Join(stores, ","))
	}
}
