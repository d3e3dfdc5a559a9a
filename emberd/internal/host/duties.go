package host

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"embertally.dev/core/cache"
	"embertally.dev/core/fleet"
	"embertally.dev/core/lease"
	"embertally.dev/core/order"
	"embertally.dev/core/plat"
	"embertally.dev/platform"
)

// swapParts is how many parts the workers fall into for orders. The loss of a
// daemon delays the workers of its parts by about four seconds; more parts than
// workers that load at a time (2 to 12 on the users' sites) would load too many.
const swapParts = 4

// buildDuties makes what only some daemons do at a time, and the key that
// others find this daemon by.
func (h *Host) buildDuties(incarnation string, engines *platform.Engines) {
	var rights []order.Right
	for part := range swapParts {
		t := h.newRight(part, incarnation)
		h.rights = append(h.rights, t)
		rights = append(rights, t)
	}
	h.swapper = order.NewSwapper(order.SwapOptions{
		Name: h.set.Name, Rights: rights, Commander: engines, Roster: h.roster,
		Table: h.relay.Table, Named: h.named.version, Changed: h.fleet.Kick, Log: h.log,
	})
	h.sweeper = cache.NewSweeper(cache.SweepOptions{
		Kept: h.kept, Log: h.log, Superseded: h.named.superseded,
		Rank: func(address string) int { return h.rank("store/" + address) },
	})
	h.presence = h.newPresence()
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

// rank says how many others come before this daemon for a duty.
func (h *Host) rank(duty string) int {
	names := h.fleet.View().OnDuty()
	at := slices.Index(fleet.Rank(fleet.Key(duty), names), h.set.Name)
	if at < 0 {
		return len(names)
	}
	return at
}

// newRight returns the right to give orders to one part of the workers. A
// daemon that holds others comes later for it, so that they spread.
func (h *Host) newRight(part int, incarnation string) *lease.Timed {
	key := keySwap + strconv.Itoa(part)
	return lease.NewTimed(lease.TimedOptions{
		Key: key, Owner: h.set.Name + "/" + incarnation, Apart: h.set.Bounds.OrderApart,
		Store: h.store, Mirror: h.mirror, Log: h.log,
		Rank:   func() int { return h.rank(key) + holderRanks*h.held() },
		Urgent: func() bool { return h.swapper.Wanted(part) },
		Idle:   func() bool { return h.draining.Load() || time.Since(h.began) < settleTime },
	})
}

// settleTime is how long after its start a daemon takes no right. Until daemons
// that start together know of each other, each ranks first for all rights and
// tries to take them, which costs some fifteen priced calls a daemon. The users'
// boxes start within 0.3 s; a box is known once its key was written and read.
const settleTime = 1500 * time.Millisecond

// holderRanks is by how many daemons one comes later for each right it holds.
const holderRanks = 3

// held counts the rights that the mirror shows this daemon to hold.
func (h *Host) held() int {
	n := 0
	for _, p := range h.mirror.Under(keySwap) {
		if strings.HasPrefix(string(p.Value), h.set.Name+"/") {
			n++
		}
	}
	return n
}
