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

// applyChanges applies changes of the coordination store, in order. Of several configurations only
// the last one is applied, after all other changes.
func (h *Host) applyChanges(changes []plat.Change) {
	var newest *table.Table
	notBefore := h.notBefore()
	for _, c := range changes {
		recoverPanic(c.Key, func() {
			if t := h.applyChange(c, notBefore); t != nil {
				newest = t
			}
		})
	}
	if newest != nil {
		recoverPanic("the configuration", func() { h.applyFromStore(newest) })
	}
}

// recoverPanic runs f, which applies a value from the store or from a peer, and reports a panic as a bug
// instead of crashing: all daemons read the same values, and would crash at each start. source names the
// value in the report.
func recoverPanic(source string, f func()) {
	defer func() {
		if reason := recover(); reason != nil {
			bugs.Report("panic while applying %s from the store or a peer: %v", source, reason)
		}
	}()
	f()
}

// applyChange applies one change, except for a configuration, which it returns. notBefore is a time by which the change
// had not been made; zero if none is known.
func (h *Host) applyChange(c plat.Change, notBefore clock.Time) *table.Table {
	h.poison.Observe(c)
	h.rollouts.Observe(c)
	h.origins.Observe(c)
	h.observeAttempts(c)
	update, err := h.decoder.Decode(c)
	h.logUnreadable(c.Key, err)
	switch {
	case update.UnusableTarget != "":
		h.removeUnusable(update.UnusableTarget)
	case err != nil:
	case update.Target != nil:
		if former := h.roster.Put(*update.Target); former != nil {
			h.pool.CloseIdle(former.Entry().Address)
		}
	case update.RemovedTarget != "" && c.LeftShard:
		h.roster.MakeExternal(update.RemovedTarget)
	case update.RemovedTarget != "" && c.DeletedByRestore:
		h.roster.RecordMissing(update.RemovedTarget)
	case update.RemovedTarget != "":
		h.removeTarget(update.RemovedTarget)
	case update.Evacuation != nil && c.DeletedByRestore:
		h.endEvacuationLater(update.Evacuation.Domain, c.Key)
	case update.Evacuation != nil:
		h.applyEvacuation(c.Pair, update.Evacuation)
	case update.Rollout != nil && c.DeletedByRestore:
		// The restored store lost the rollout: operators did not withdraw it, and write it again.
	case update.Rollout != nil:
		h.applyRollout(c.Pair, update.Rollout)
	default:
		h.applyVersioned(c.Pair, update, notBefore)
	}
	return update.Table
}

// notBefore returns a time by which operators had not written what the observers of the watch cache receive now; zero
// if none is known. The first snapshot holds values of any age. A store that may have been restored lacks values that
// peers are still to be asked for.
func (h *Host) notBefore() clock.Time {
	if h.watchCache.StoreIncarnation() > 0 && !h.applied.Ready() {
		return clock.Time{}
	}
	return h.watchCache.FreshAsOf()
}

// parseEntry returns the target's entry in a pair of the store; false if the pair is not one.
func (h *Host) parseEntry(p plat.Pair) (spread.Entry, bool) {
	e, ok := h.decoder.DecodeEntry(p)
	if !ok {
		return spread.Entry{}, false
	}
	return spread.Entry{Name: e.Name, Service: e.Service, Domain: e.Domain}, true
}

// logUnreadable logs why a key's value cannot be parsed. It does so once until the value can be parsed
// again, because targets write their entries with each heartbeat. Only applyChange calls it.
func (h *Host) logUnreadable(key string, err error) {
	if err == nil {
		delete(h.unreadable, key)
		return
	}
	if h.unreadable == nil {
		h.unreadable = map[string]bool{}
	}
	if !h.unreadable[key] {
		h.unreadable[key] = true
		h.log.Emit(event.ConfUnderived, event.Ref{Resource: key}, err.Error())
	}
}

// removeUnusable removes a target whose entry is no longer usable, and closes its idle connections.
func (h *Host) removeUnusable(name string) {
	t := h.roster.ByName(name)
	h.roster.RemoveUnusable(name)
	if t != nil {
		h.pool.CloseIdle(t.Entry().Address)
	}
}

// removeTarget removes a target, and closes its idle connections if the roster no longer has it.
func (h *Host) removeTarget(name string) {
	t := h.roster.ByName(name)
	h.roster.Remove(name, clock.Now())
	if t != nil && h.roster.ByName(name) == nil {
		h.pool.CloseIdle(t.Entry().Address)
	}
}

// incarnationRemoved is called when an incarnation of a target has been removed. Unless it was shutting
// down, it counts as crashed.
func (h *Host) incarnationRemoved(incarnation string, shuttingDown bool) {
	if !shuttingDown {
		h.poison.RecordListedCrash(incarnation)
	}
}

// storeInfo describes a KV-cache store for package cache. tokenBytes is the size of one cached token.
func storeInfo(s *table.Store, tokenBytes int) cache.StoreInfo {
	return cache.StoreInfo{
		Address: s.Address, Domain: s.Domain, Capacity: s.CapacityTokens, FirstByteDelay: s.FirstByteLatency,
		TokenTime: table.LinkTime(tokenBytes, s.LinkBitsPerSecond), MaxWatchers: s.MaxWatchers,
	}
}
