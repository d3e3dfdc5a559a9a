package host

import (
	"embertally.dev/core/bugs"
	"embertally.dev/core/cache"
	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/plat"
	"embertally.dev/core/spread"
	"embertally.dev/core/table"
)

// observe takes changes of the platform's store.
func (h *Host) observe(changes []plat.Change) {
	var newest *table.Table
	for _, c := range changes {
		survive(c.Key, func() {
			if t := h.take(c); t != nil {
				newest = t
			}
		})
	}
	if newest != nil {
		survive("the configuration", func() { h.apply(newest) })
	}
}

// survive runs what takes a change of the store, or what a peer tells of it. One that would end the
// process is passed over: all daemons read the same, and would end of it at each start.
func survive(what string, f func()) {
	defer func() {
		if why := recover(); why != nil {
			bugs.Report("%s, as the store or a peer tells it: %v", what, why)
		}
	}()
	f()
}

// take takes one change, and returns the configuration that it holds, if any.
func (h *Host) take(c plat.Change) *table.Table {
	h.poison.Observe(c)
	h.rollouts.Observe(c)
	news, err := h.decoder.Read(c)
	h.complain(c.Key, err)
	switch {
	case news.Unusable != "":
		h.unlist(news.Unusable)
	case err != nil:
	case news.Target != nil:
		if former := h.roster.Put(*news.Target); former != nil {
			h.pool.CloseIdle(former.Entry().Address)
		}
	case news.Gone != "" && c.Dropped:
		h.roster.MakeExternal(news.Gone)
	case news.Gone != "" && c.Restored:
		h.roster.RecordMissing(news.Gone)
	case news.Gone != "":
		h.gone(news.Gone)
	case news.Evacuation != nil && c.Restored:
		h.holdEvacuation(news.Evacuation.Domain, c.Key)
	case news.Evacuation != nil:
		h.takeEvacuation(c.Pair, news.Evacuation)
	case news.Rollout != nil && c.Restored:
		// Operators did not take it back, and write it again.
	case news.Rollout != nil:
		h.takeRollout(c.Pair, news.Rollout)
	default:
		h.takeVersions(c.Pair, news)
	}
	return news.Table
}

// entryOf reads what a key of the store says of a target.
func (h *Host) entryOf(p plat.Pair) (spread.Entry, bool) {
	e, ok := h.decoder.Entry(p)
	if !ok {
		return spread.Entry{}, false
	}
	return spread.Entry{Name: e.Name, Service: e.Service, Domain: e.Domain}, true
}

// complain logs why a key cannot be read, once until it can be read again: targets write
// their entries with each heartbeat. Only the observer calls it.
func (h *Host) complain(key string, err error) {
	if err == nil {
		delete(h.unread, key)
		return
	}
	if h.unread == nil {
		h.unread = map[string]bool{}
	}
	if !h.unread[key] {
		h.unread[key] = true
		h.log.Emit(event.ConfUnderived, event.Ref{Resource: key}, err.Error())
	}
}

// unlist removes a target whose entry names nothing that can be used.
func (h *Host) unlist(name string) {
	t := h.roster.ByName(name)
	h.roster.RemoveUnusable(name)
	if t != nil {
		h.pool.CloseIdle(t.Entry().Address)
	}
}

// gone removes a target and its idle connections.
func (h *Host) gone(name string) {
	t := h.roster.ByName(name)
	h.roster.Remove(name, clock.Now())
	if t != nil && h.roster.ByName(name) == nil {
		h.pool.CloseIdle(t.Entry().Address)
	}
}

// removed hears that a run of a target is over. One that was leaving ended as planned.
func (h *Host) removed(run string, leaving bool) {
	if !leaving {
		h.poison.Ended(run)
	}
}

// storeInfo is what the cache needs to know of a store.
func storeInfo(s *table.Store, tokenBytes int) cache.StoreInfo {
	return cache.StoreInfo{
		Address: s.Address, Domain: s.Domain, Room: s.Tokens, First: s.First,
		TokenTime: table.LinkTime(tokenBytes, s.LinkBits), Watchers: s.Watchers,
	}
}
