package relay

import (
	"strings"
	"time"

	"embertally.dev/core/cache"
	"embertally.dev/core/table"
)

// copyFrom is the size, in tokens, from which a part is copied from a store or
// kept there: below, a copy takes longer than the prompt's reading.
const copyFrom = 1000

// copyable returns how many of the first shared parts are copied and kept: those
// up to the last large one. Engines copy no part after one that no place is named
// for, so that small parts before a large one count with it.
func (p *pass) copyable() int {
	n := 0
	for i, part := range p.sharedParts() {
		if part.Tokens >= copyFrom {
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
	time    time.Duration
	// until is when a copy is void, on the targets' clock; 0 for workers, which
	// free nothing that they hand out.
	until time.Duration
}

// workerFirst is the wait before the first byte of a copy between workers.
const workerFirst = 61 * time.Millisecond

// source finds a part for a worker.
func (p *pass) source(svc *table.Service, o option, part cache.Part, now time.Time) source {
	var out source
	name := cache.PartName{Salt: p.salt(o.version).String(), ID: part.ID}
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

// sources finds the copyable parts for a worker, and how many of them are copied:
// none after one that is nowhere.
func (p *pass) sources(svc *table.Service, o option, now time.Time) (list []source, copied int) {
	broken := false
	for i, part := range p.sharedParts()[:p.copyable()] {
		src := p.source(svc, o, part, now)
		list = append(list, src)
		broken = broken || src.address == ""
		if !broken {
			copied = i + 1
		}
	}
	return list, copied
}

// copies names where parts are copied from and which stores they are sent to.
func (p *pass) copies(svc *table.Service, c *choice, o option, now time.Time) {
	shared := p.sharedParts()
	if len(shared) == 0 || o.version == 0 || !p.relay.o.Placement.Exports() {
		return
	}
	from, to := make([]string, len(p.ask.Parts)), make([]string, len(p.ask.Parts))
	keeps := false
	newest := o.version >= p.relay.o.Named(p.ask.Model)
	list, copied := p.sources(svc, o, now)
	for i, src := range list {
		name := cache.PartName{Salt: c.sending.Salt, ID: shared[i].ID}
		if i < copied {
			from[i] = src.address
			if src.until > 0 && (c.sending.CopyUntil == 0 || src.until < c.sending.CopyUntil) {
				c.sending.CopyUntil = src.until
			}
		}
		if src.until == 0 && newest {
			// No store has it.
			to[i] = p.relay.o.Kept.Room(name, shared[i].Tokens, now)
			keeps = keeps || to[i] != ""
		}
		p.relay.o.Where.Note(name, o.target.ID(), now)
	}
	if copied > 0 {
		c.sending.Copy = from
		p.note("copied from %s", strings.Join(from, ","))
	}
	if keeps {
		c.sending.Keep = to
		p.note("sent to %s", strings.Join(to, ","))
	}
}
