package host

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"embertally.dev/core/fleet"
	"embertally.dev/core/lease"
	"embertally.dev/core/order"
	"embertally.dev/core/wait"
)

// swapParts is how many parts the workers fall into for orders. The loss of a
// daemon delays the workers of its parts by about four seconds; more parts than
// workers that load at a time (2 to 12 on the users' sites) would load too many.
const swapParts = 4

// ownerSeparator stands between the name of the daemon that holds a right and its run.
const ownerSeparator = "/"

// newRight returns the right to give orders to one part of the workers. A
// daemon that holds others comes later for it, so that they spread.
func (h *Host) newRight(part int, incarnation string) *lease.Timed {
	key := keySwap + strconv.Itoa(part)
	return lease.NewTimed(lease.TimedOptions{
		Key: key, Owner: h.set.Name + ownerSeparator + incarnation, Apart: h.set.Bounds.OrderApart,
		Store: h.store, Mirror: h.mirror, Log: h.log,
		Rank:   func() int { return h.rank(key) + holderRanks*h.held() },
		Urgent: func() bool { return h.swapper.Wanted(part) },
		Idle:   h.idle,
	})
}

// cellRight is the right to give orders to the workers of this daemon's cell, where the cells divide
// them. The cell may change.
type cellRight struct {
	host  *Host
	owner string
	right atomic.Pointer[lease.Timed]
}

// cellLook is the pause between looks at which cell this daemon is in.
const cellLook = 500 * time.Millisecond

// Right returns the right to the workers of the cell, or nil.
func (c *cellRight) Right() order.Right {
	t := c.right.Load()
	if t == nil {
		// As an interface a nil pointer would be a right.
		return nil
	}
	return t
}

// run keeps the right to that of the cell that this daemon is in, until ctx ends.
func (c *cellRight) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	label, stop := "", context.CancelFunc(func() {})
	defer func() { stop() }()
	for wait.For(ctx, cellLook) {
		if now := c.host.fleet.View().Label(); now != label {
			stop()
			label = now
			t := c.timed(label)
			own, cancel := context.WithCancel(ctx)
			stop = cancel
			c.right.Store(t)
			wg.Go(func() { t.Run(own) })
		}
	}
}

// timed returns the right to the workers of a cell. It is taken only while there is something to
// order.
func (c *cellRight) timed(label string) *lease.Timed {
	h, key := c.host, keyCells+label
	return lease.NewTimed(lease.TimedOptions{
		Key: key, Owner: c.owner, Apart: h.set.Bounds.OrderApart, Store: h.store, Mirror: h.mirror, Log: h.log, Known: h.mirror.Fresh,
		Rank:   func() int { return fleet.Place(fleet.Key(key), h.fleet.View().Expected(), h.set.Name) },
		Urgent: h.swapper.CellWanted,
		Idle:   func() bool { return h.idle() || !h.swapper.CellWanted() },
	})
}

// idle reports whether this daemon tries to take no right.
func (h *Host) idle() bool { return h.draining.Load() || time.Since(h.began) < settleTime }

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
		if strings.HasPrefix(string(p.Value), h.set.Name+ownerSeparator) {
			n++
		}
	}
	return n
}
