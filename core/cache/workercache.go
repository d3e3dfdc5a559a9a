package cache

import (
	"container/list"
	"time"
)

// workerCache models the KV cache of one worker as an LRU list, most recently used first.
// The zero value is empty.
type workerCache struct {
	lru      list.List // of *cacheEntry
	segments map[SegmentName]*list.Element
	// tokens is the sum over lru.
	tokens int
	// clock counts the tokens of all uses. Its advance since the last use of a segment is
	// the number of tokens used after it.
	clock int
	// versions is the newest weight version of each model that a request ran on; segments of
	// older versions have been removed.
	versions map[string]int64
	lastUsed time.Time
}

// cacheEntry is one entry of a workerCache. The unshared remainder of a request, which no
// other request uses, has a salt but no ID.
type cacheEntry struct {
	name   SegmentName
	tokens int
	// lastUsed is the cache's clock after the last use.
	lastUsed int
}

// put records the use of a segment. It reports whether the segment has an ID and was added.
func (c *workerCache) put(name SegmentName, tokens int) bool {
	if e := c.segments[name]; e != nil {
		entry := e.Value.(*cacheEntry)
		c.clock += entry.tokens
		entry.lastUsed = c.clock
		c.lru.MoveToFront(e)
		return false
	}
	if tokens <= 0 {
		return false
	}
	c.clock += tokens
	e := c.lru.PushFront(&cacheEntry{name, tokens, c.clock})
	c.tokens += tokens
	if name.ID == "" {
		return false
	}
	if c.segments == nil {
		c.segments = map[SegmentName]*list.Element{}
	}
	c.segments[name] = e
	return true
}

// depth returns the number of tokens used since the start of the last use of a segment, as a
// fraction of the capacity. From 1 on, the segment has probably been evicted.
func (c *workerCache) depth(name SegmentName, capacity int) float64 {
	e := c.segments[name]
	if e == nil || capacity <= 0 {
		return 0
	}
	entry := e.Value.(*cacheEntry)
	return float64(c.clock-entry.lastUsed+entry.tokens) / float64(capacity)
}

// fit evicts the least recently used entries until the others fit the capacity, and returns
// the segments evicted. A capacity of 0 means unknown and evicts nothing.
func (c *workerCache) fit(capacity int) []SegmentName {
	var out []SegmentName
	for capacity > 0 && c.tokens > capacity && c.lru.Len() > 0 {
		out = c.remove(c.lru.Back(), out)
	}
	return out
}

// renew removes the segments of older weights when a request runs on newer ones, and returns
// them.
func (c *workerCache) renew(salt string) []SegmentName {
	model, version, ok := SaltVersion(salt)
	if !ok || c.versions[model] >= version {
		return nil
	}
	if c.versions == nil {
		c.versions = map[string]int64{}
	}
	c.versions[model] = version
	var out []SegmentName
	for e := c.lru.Front(); e != nil; {
		next := e.Next()
		if other, v, ok := SaltVersion(e.Value.(*cacheEntry).name.Salt); ok && other == model && v < version {
			out = c.remove(e, out)
		}
		e = next
	}
	return out
}

// clear removes all entries and returns their segments.
func (c *workerCache) clear() []SegmentName {
	var out []SegmentName
	for c.lru.Len() > 0 {
		out = c.remove(c.lru.Back(), out)
	}
	return out
}

// remove removes an entry and appends the name of its segment, if it has one.
func (c *workerCache) remove(e *list.Element, names []SegmentName) []SegmentName {
	entry := c.lru.Remove(e).(*cacheEntry)
	c.tokens -= entry.tokens
	if entry.name.ID == "" {
		return names
	}
	delete(c.segments, entry.name)
	return append(names, entry.name)
}
