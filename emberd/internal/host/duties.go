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
	"embertally.dev/platform"
)

// buildDuties makes what only some daemons do at a time, and the key that
// others find this daemon by.
func (h *Host) buildDuties(incarnation string, engines *platform.Engines) {
	var rights []order.Right
	for part := range swapParts {
		t := h.newRight(part, incarnation)
		h.rights = append(h.rights, t)
		rights = append(rights, t)
	}
	h.cellRight = &cellRight{host: h, owner: h.set.Name + ownerSeparator + incarnation}
	h.swapper = order.NewSwapper(order.SwapOptions{
		Divided: h.mirrors.Sharded, Uses: h.mirrors.InOwnCell, Cell: h.cellRight.Right,
		Name: h.set.Name, Rights: rights, Commander: engines, Roster: h.roster,
		Table: h.relay.Table, Named: h.named.version, Changed: h.fleet.Kick, Audience: h.swaps, Log: h.log,
	})
	h.sweeper = cache.NewSweeper(cache.SweepOptions{
		Stores: h.kept, Log: h.log, Superseded: h.named.superseded,
		Rank: h.shelves.AssignmentRank,
	})
	h.presence = h.newPresence()
	h.buildRollouts(incarnation)
}

// buildRollouts makes what decides about roll-outs.
func (h *Host) buildRollouts(incarnation string) {
	owner := h.set.Name + ownerSeparator + incarnation
	right := lease.NewTimed(lease.TimedOptions{
		Key: keyRollouts, Owner: owner, Apart: h.set.Bounds.OrderApart, Store: h.store, Mirror: h.mirror, Log: h.log,
		Rank:   func() int { return h.rank(keyRollouts) },
		Urgent: func() bool { return !h.canary.Over() },
		Idle:   func() bool { return h.idle() || h.canary.Over() },
	})
	h.rights = append(h.rights, right)
	h.rollouts = canary.NewController(canary.Options{
		Guard: &h.canary, Fleet: h.fleet, Run: owner, Right: right, Store: h.store, Mirror: h.mirror,
		Holder: h.rolloutHolder, Status: platform.RolloutSays, Log: h.log,
	})
}

// rolloutHolder returns the daemon that decides about roll-outs, or "".
func (h *Host) rolloutHolder() string {
	pair, _ := h.mirror.Pair(keyRollouts)
	name, _, _ := strings.Cut(string(pair.Value), ownerSeparator)
	return name
}

// newPresence returns the key that others find this daemon by.
func (h *Host) newPresence() *lease.Presence {
	// What a box is found by, as the box list names it.
	value, err := json.Marshal(plat.Box{
		Name: h.set.Name, Role: plat.RoleEntry, Address: h.set.Peers, Domain: h.set.Domain, State: plat.BoxLive,
	})
	if err != nil {
		// Strings can always be encoded.
		panic(err)
	}
	return &lease.Presence{
		Key: keyBoxes + h.set.Name, Value: value, Life: boxLife, Store: h.store, Mirror: h.mirror, Log: h.log,
	}
}

// boxLife is how long a silent daemon stays in the list. Heartbeats say sooner
// that it is lost; renewing costs the platform a tenth of a call.
const boxLife = 12 * time.Second

// rank says how many others come before this daemon for a duty that only those who ask the
// platform's store can have.
func (h *Host) rank(duty string) int {
	return fleet.Place(fleet.Key(duty), h.mirrors.WatchingDaemons(), h.set.Name)
}
