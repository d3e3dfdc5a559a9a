package spread

import (
	"slices"
	"sync"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/fleet"
	"embertally.dev/core/plat"
)

// Entry is what the list of targets says of one target as far as dividing it goes.
type Entry struct{ Name, Service, Domain string }

const (
	// leastDivided is how many targets of a service there are for each cell at least where the
	// cells divide them. Names fall to cells by hash, so that of this mean a cell gets a fifth more
	// or less.
	leastDivided = 24
	// leastEntries is how many there are at least: below that a whole list is one page of the
	// store.
	leastEntries = 500
)

// entries knows which keys of the mirror are entries of targets, and how many each service has.
// The zero value knows none.
type entries struct {
	entriesMu sync.Mutex
	byKey     map[string]Entry // guarded by entriesMu
	counts    map[string]int   // by service; guarded by entriesMu
}

// set records what a key says now; nothing where there is no entry.
func (e *entries) set(key string, entry Entry, there bool) {
	e.entriesMu.Lock()
	defer e.entriesMu.Unlock()
	if e.byKey == nil {
		e.byKey, e.counts = map[string]Entry{}, map[string]int{}
	}
	if was, known := e.byKey[key]; known {
		if e.counts[was.Service]--; e.counts[was.Service] == 0 {
			delete(e.counts, was.Service)
		}
		delete(e.byKey, key)
	}
	if there {
		e.byKey[key] = entry
		e.counts[entry.Service]++
	}
}

// entry returns what a key says.
func (e *entries) entry(key string) (Entry, bool) {
	e.entriesMu.Lock()
	defer e.entriesMu.Unlock()
	entry, known := e.byKey[key]
	return entry, known
}

// divided returns the services whose targets some cells divide between them, in order.
func (e *entries) divided(cells int) []string {
	e.entriesMu.Lock()
	defer e.entriesMu.Unlock()
	if cells < rootedCells {
		return nil
	}
	var out []string
	for service, n := range e.counts {
		if n >= max(leastEntries, leastDivided*cells) {
			out = append(out, service)
		}
	}
	slices.Sort(out)
	return out
}

// observe keeps the entries current.
func (s *Mirrors) observe(changes []plat.Change) {
	for _, c := range changes {
		entry, there := Entry{}, false
		if !c.Deleted {
			entry, there = s.entryOf(c.Pair)
		}
		s.entries.set(c.Key, entry, there)
	}
}

// entryOf reads a pair.
func (s *Mirrors) entryOf(p plat.Pair) (Entry, bool) {
	if s.Entry == nil {
		return Entry{}, false
	}
	return s.Entry(p)
}

// shardView is what one asker is told of the mirror.
type shardView struct {
	mirrors *Mirrors
	// holds names the shard; "" where the asker is told everything that is held here.
	holds string
	// shard is that of the asker where entries of other cells are left out; else nil.
	shard   *fleet.Shard
	divided []string
}

// shardName names the shard of a cell where some services are divided.
type shardName struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Shard    string
	Divided  []string
}

// name writes it.
func (n *shardName) name() string {
	// Strings can always be encoded.
	raw, _ := msgpack.Marshal(n)
	return string(raw)
}

// readShardName reads what name wrote; the name of all keys names no shard.
func readShardName(name string) shardName {
	var n shardName
	if name == "" {
		return n
	}
	if err := msgpack.Unmarshal([]byte(name), &n); err != nil {
		return shardName{}
	}
	return n
}

var errOtherShard = errors.New("the peer holds another shard")

// viewFor returns what an asker is told, or nil where another shard is held here.
func (s *Mirrors) viewFor(ask *mirrorAsk) *shardView {
	held := s.mirror.Shard()
	if held != "" {
		if ask.Shard == nil || ask.Shard.ID() != readShardName(held).Shard {
			return nil
		}
		return &shardView{mirrors: s, holds: held}
	}
	if ask.Shard == nil {
		return &shardView{mirrors: s}
	}
	divided := s.entries.divided(ask.Shard.FleetCells)
	if len(divided) == 0 {
		return &shardView{mirrors: s}
	}
	name := shardName{Shard: ask.Shard.ID(), Divided: divided}
	return &shardView{mirrors: s, holds: name.name(), shard: ask.Shard, divided: divided}
}

// former returns what an asker was told that holds all keys, or another shard of the same services;
// false where it holds something else.
func (v *shardView) former(held string) (*shardView, bool) {
	if held == "" {
		// It lacks nothing: what is left to it is to let go.
		return &shardView{mirrors: v.mirrors}, true
	}
	n := readShardName(held)
	if v.shard == nil || n.Shard == "" || !slices.Equal(n.Divided, v.divided) {
		return nil, false
	}
	var shard fleet.Shard
	if err := msgpack.Unmarshal([]byte(n.Shard), &shard); err != nil {
		return nil, false
	}
	return &shardView{mirrors: v.mirrors, holds: held, shard: &shard, divided: n.Divided}, true
}

// keeps reports whether the asker is told of a pair.
func (v *shardView) keeps(p plat.Pair) bool {
	if v.shard == nil {
		return true
	}
	entry, known := v.mirrors.entries.entry(p.Key)
	if !known {
		// The mirror may hold it already without having told of it.
		entry, known = v.mirrors.entryOf(p)
	}
	if !known || !slices.Contains(v.divided, entry.Service) {
		return true
	}
	return v.shard.Holds(entry.Name, entry.Domain)
}

// filter returns the changes that the asker is told of.
func (v *shardView) filter(changes []plat.Change) []plat.Change {
	if v.shard == nil {
		return changes
	}
	return slices.DeleteFunc(changes, func(c plat.Change) bool { return !v.keeps(c.Pair) })
}

// tells reports whether the asker is told of any of some changes.
func (v *shardView) tells(changes []plat.Change) bool {
	return slices.ContainsFunc(changes, func(c plat.Change) bool { return v.keeps(c.Pair) })
}

// drops reports whether this daemon holds a pair no longer that falls to another cell's shard.
func (s *Mirrors) drops(shard *fleet.Shard, holds string) func(plat.Pair) bool {
	v := &shardView{mirrors: s, holds: holds, shard: shard, divided: readShardName(holds).Divided}
	return func(p plat.Pair) bool { return !v.keeps(p) }
}

// Divided reports whether the cells divide the targets of a service between them.
func (s *Mirrors) Divided(service string) bool {
	if held := s.mirror.Shard(); held != "" {
		return slices.Contains(readShardName(held).Divided, service)
	}
	view := s.fleet.View()
	return slices.Contains(s.entries.divided(view.Cells()), service)
}

// Basis names what Uses goes by: as long as it is the same, so are the answers.
func (s *Mirrors) Basis() any {
	type basis struct {
		view  *fleet.View
		shard string
	}
	return basis{s.fleet.View(), s.mirror.Shard()}
}

// Uses reports whether a target of a divided service falls to this daemon's cell. Of a copy that
// is itself that of a cell all do, so that the change to another one leaves no gap.
func (s *Mirrors) Uses(name, domain string) bool {
	return s.mirror.Shard() != "" || s.fleet.View().Shard().Holds(name, domain)
}
