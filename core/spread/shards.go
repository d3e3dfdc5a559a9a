package spread

import (
	"slices"
	"sync"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/fleet"
	"embertally.dev/core/plat"
)

// Entry holds the fields of a target's entry that determine its shard.
type Entry struct{ Name, Service, Domain string }

const (
	// minTargetsPerCell is the least number of targets for each cell with which a service is
	// sharded. Names are assigned to cells by hash, so that at this mean a cell gets a fifth more
	// or less.
	minTargetsPerCell = 24
	// minTargets is the least number of targets of a sharded service: below that the whole list is
	// one page of the store.
	minTargets = 500
)

// entryIndex holds which keys of the watch cache are entries of targets, and how many each service
// has. The zero value is empty.
type entryIndex struct {
	entriesMu sync.Mutex
	byKey     map[string]Entry // guarded by entriesMu
	counts    map[string]int   // by service; guarded by entriesMu
}

// set records the entry of a key, or its removal where exists is false.
func (e *entryIndex) set(key string, entry Entry, exists bool) {
	e.entriesMu.Lock()
	defer e.entriesMu.Unlock()
	if e.byKey == nil {
		e.byKey, e.counts = map[string]Entry{}, map[string]int{}
	}
	if former, indexed := e.byKey[key]; indexed {
		if e.counts[former.Service]--; e.counts[former.Service] == 0 {
			delete(e.counts, former.Service)
		}
		delete(e.byKey, key)
	}
	if exists {
		e.byKey[key] = entry
		e.counts[entry.Service]++
	}
}

// entry returns the entry of a key.
func (e *entryIndex) entry(key string) (Entry, bool) {
	e.entriesMu.Lock()
	defer e.entriesMu.Unlock()
	entry, found := e.byKey[key]
	return entry, found
}

// sharded returns the services that are sharded between the given number of cells, in order.
func (e *entryIndex) sharded(cells int) []string {
	e.entriesMu.Lock()
	defer e.entriesMu.Unlock()
	if cells < minCellsForRelays {
		return nil
	}
	var out []string
	for service, n := range e.counts {
		if n >= max(minTargets, minTargetsPerCell*cells) {
			out = append(out, service)
		}
	}
	slices.Sort(out)
	return out
}

// observe updates the index with changes.
func (s *WatchCacheSync) observe(changes []plat.Change) {
	for _, c := range changes {
		entry, exists := Entry{}, false
		if !c.Deleted {
			entry, exists = s.parseEntry(c.Pair)
		}
		s.entries.set(c.Key, entry, exists)
	}
}

// parseEntry parses a pair as an entry.
func (s *WatchCacheSync) parseEntry(p plat.Pair) (Entry, bool) {
	if s.EntryParser == nil {
		return Entry{}, false
	}
	return s.EntryParser(p)
}

// shardView selects the pairs that one requester is to receive.
type shardView struct {
	cacheSync *WatchCacheSync
	// name names the shard; "" where the requester receives everything that is cached here.
	name string
	// shard is that of the requester where entries of other cells are left out; else nil.
	shard   *fleet.Shard
	sharded []string // the sharded services, in order
}

// shardName identifies the shard of a cell and the services that are sharded.
type shardName struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Shard    string
	Sharded  []string
}

// encode returns the name as a string.
func (n *shardName) encode() string {
	// Strings can always be encoded.
	raw, _ := msgpack.Marshal(n)
	return string(raw)
}

// parseShardName decodes a result of encode; the name of all keys, "", yields no shard.
func parseShardName(name string) shardName {
	var n shardName
	if name == "" {
		return n
	}
	if err := msgpack.Unmarshal([]byte(name), &n); err != nil {
		return shardName{}
	}
	return n
}

var errOtherShard = errors.New("the peer's watch cache holds another shard")

// viewFor returns the selection for a requester, or nil where this cache holds another shard.
func (s *WatchCacheSync) viewFor(req *changesRequest) *shardView {
	cached := s.watchCache.Shard()
	if cached != "" {
		if req.Shard == nil || req.Shard.ID() != parseShardName(cached).Shard {
			return nil
		}
		return &shardView{cacheSync: s, name: cached}
	}
	if req.Shard == nil {
		return &shardView{cacheSync: s}
	}
	sharded := s.entries.sharded(req.Shard.FleetCells)
	if len(sharded) == 0 {
		return &shardView{cacheSync: s}
	}
	name := shardName{Shard: req.Shard.ID(), Sharded: sharded}
	return &shardView{cacheSync: s, name: name.encode(), shard: req.Shard, sharded: sharded}
}

// formerView returns the selection that a requester's cache holds, if it holds all keys or another
// shard of the same services; else false.
func (v *shardView) formerView(cached string) (*shardView, bool) {
	if cached == "" {
		// It lacks nothing; it only has to drop pairs.
		return &shardView{cacheSync: v.cacheSync}, true
	}
	n := parseShardName(cached)
	if v.shard == nil || n.Shard == "" || !slices.Equal(n.Sharded, v.sharded) {
		return nil, false
	}
	var shard fleet.Shard
	if err := msgpack.Unmarshal([]byte(n.Shard), &shard); err != nil {
		return nil, false
	}
	return &shardView{cacheSync: v.cacheSync, name: cached, shard: &shard, sharded: n.Sharded}, true
}

// includes reports whether the requester is to receive a pair.
func (v *shardView) includes(p plat.Pair) bool {
	if v.shard == nil {
		return true
	}
	entry, found := v.cacheSync.entries.entry(p.Key)
	if !found {
		// The watch cache may hold the pair before its observers are notified.
		entry, found = v.cacheSync.parseEntry(p)
	}
	if !found || !slices.Contains(v.sharded, entry.Service) {
		return true
	}
	return v.shard.Contains(entry.Name, entry.Domain)
}

// filter returns the changes that the requester is to receive.
func (v *shardView) filter(changes []plat.Change) []plat.Change {
	if v.shard == nil {
		return changes
	}
	return slices.DeleteFunc(changes, func(c plat.Change) bool { return !v.includes(c.Pair) })
}

// includesAny reports whether the requester is to receive any of the changes.
func (v *shardView) includesAny(changes []plat.Change) bool {
	return slices.ContainsFunc(changes, func(c plat.Change) bool { return v.includes(c.Pair) })
}

// outsideShard returns a function that reports whether a pair belongs to another cell's shard, so
// that this daemon drops it.
func (s *WatchCacheSync) outsideShard(shard *fleet.Shard, name string) func(plat.Pair) bool {
	v := &shardView{cacheSync: s, name: name, shard: shard, sharded: parseShardName(name).Sharded}
	return func(p plat.Pair) bool { return !v.includes(p) }
}

// Sharded reports whether the targets of a service are sharded between the cells.
func (s *WatchCacheSync) Sharded(service string) bool {
	if cached := s.watchCache.Shard(); cached != "" {
		return slices.Contains(parseShardName(cached).Sharded, service)
	}
	view := s.fleet.View()
	return slices.Contains(s.entries.sharded(view.Cells()), service)
}

// ShardVersion returns a comparable value that the results of InOwnCell depend on: while it is
// equal, so are they.
func (s *WatchCacheSync) ShardVersion() any {
	type shardVersion struct {
		view  *fleet.View
		shard string
	}
	return shardVersion{s.fleet.View(), s.watchCache.Shard()}
}

// InOwnCell reports whether a target of a sharded service belongs to this daemon's cell. While the
// cache itself holds a shard, all its targets do, so that a change of shards leaves no gap.
func (s *WatchCacheSync) InOwnCell(name, domain string) bool {
	return s.watchCache.Shard() != "" || s.fleet.View().Shard().Contains(name, domain)
}
