package host

import (
	"encoding/json"
	"strings"
	"time"

	"embertally.dev/core/cache"
	"embertally.dev/core/canary"
	"embertally.dev/core/fleet"
	"embertally.dev/core/lease"
	"embertally.dev/core/order"
	"embertally.dev/core/plat"
	"embertally.dev/core/spread"
	"embertally.dev/platform"
)

// buildAssignments creates the components for work that only some daemons do at a time, with the
// leases for it, and the leased key by which other daemons find this one.
func (h *Host) buildAssignments(incarnation string, engines *platform.Engines) {
	var leaderships []order.Leadership
	for partition := range updatePartitions {
		leadership := h.newLeadership(partition, incarnation)
		h.leaderships = append(h.leaderships, leadership)
		leaderships = append(leaderships, leadership)
	}
	h.cellLeadership = &cellLeadership{host: h, owner: h.settings.Name + ownerSeparator + incarnation}
	h.weightUpdater = order.NewWeightUpdater(order.WeightUpdaterOptions{
		Sharded: h.watchCacheSync.Sharded, InOwnCell: h.watchCacheSync.InOwnCell, CellLeadership: h.cellLeadership.Current,
		Name: h.settings.Name, Leaderships: leaderships, Client: engines, Roster: h.roster,
		Table: h.relay.Table, Desired: h.desired.Newest, Notify: h.fleet.TriggerHeartbeat, Observer: h.updateNotifier, Log: h.log,
	})
	h.sweeper = cache.NewSweeper(cache.SweepOptions{
		Stores: h.storeIndexes, Log: h.log, Superseded: h.desired.SupersededSince, ViewError: spread.MaxDatingError,
		Rank: h.storeIndexSync.AssignmentRank,
	})
	h.presence = h.newPresence()
	h.buildRollouts(incarnation)
}

// buildRollouts creates the rollout controller and its lease.
func (h *Host) buildRollouts(incarnation string) {
	owner := h.settings.Name + ownerSeparator + incarnation
	leadership := lease.NewTimed(lease.TimedOptions{
		Key: keyRollouts, Holder: owner, MinGap: h.settings.Bounds.OrderGap, Store: h.store, WatchCache: h.watchCache, Log: h.log, MayHold: mayHoldLease,
		Rank:       func() int { return h.assignmentRank(keyRollouts) },
		HasWork:    func() bool { return !h.canary.AllDecided() },
		Ineligible: func() bool { return h.ineligible() || h.canary.AllDecided() },
	})
	h.leaderships = append(h.leaderships, leadership)
	h.rollouts = canary.NewController(canary.Options{
		Guard: &h.canary, Fleet: h.fleet, Incarnation: owner, Leadership: leadership, Store: h.store, WatchCache: h.watchCache,
		Holder: h.rolloutHolder, Status: platform.RolloutStatus, Log: h.log,
	})
}

// rolloutHolder returns the name of the daemon that decides rollouts, or "".
func (h *Host) rolloutHolder() string {
	pair, _ := h.watchCache.Pair(keyRollouts)
	name, _, _ := strings.Cut(string(pair.Value), ownerSeparator)
	return name
}

// newPresence returns the leased key by which other daemons find this one.
func (h *Host) newPresence() *lease.Presence {
	// The value has the form of an entry of the box list.
	value, err := json.Marshal(plat.Box{
		Name: h.settings.Name, Role: plat.RoleEntry, Address: h.settings.Peers, Domain: h.settings.Domain, State: plat.BoxLive,
	})
	if err != nil {
		// A struct of strings can always be encoded.
		panic(err)
	}
	return &lease.Presence{
		Key: keyBoxes + h.settings.Name, Value: value, TTL: boxTTL, Store: h.store, WatchCache: h.watchCache, Log: h.log,
	}
}

// boxTTL is how long a daemon that no longer renews its key stays in the box list. Heartbeats
// detect its loss earlier, and each renewal costs a tenth of a platform call.
const boxTTL = 12 * time.Second

// assignmentRank returns this daemon's rank, from 0, for an assignment that only daemons which watch the
// coordination store themselves can hold.
func (h *Host) assignmentRank(assignment string) int {
	return fleet.RankOf(fleet.Key(assignment), h.watchCacheSync.WatchingDaemons(), h.settings.Name)
}
