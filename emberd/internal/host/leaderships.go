package host

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"embertally.dev/core/fleet"
	"embertally.dev/core/lease"
	"embertally.dev/core/order"
	"embertally.dev/core/wait"
)

// updatePartitions is the number of partitions of the workers for weight updates. The loss of a
// daemon delays the workers of its partitions by about four seconds. With more partitions than
// workers that may load at a time (2 to 12 on the users' sites), too many would load.
const updatePartitions = 4

// ownerSeparator separates the name and the incarnation of the daemon that holds a lease.
const ownerSeparator = "/"

// newLeadership returns the lease to send weight updates to one partition of the workers. A daemon
// ranks lower with each other such lease it holds, so that the leases spread over the daemons.
func (h *Host) newLeadership(partition int, incarnation string) *lease.Timed {
	key := keyWeightUpdates + strconv.Itoa(partition)
	return lease.NewTimed(lease.TimedOptions{
		Key: key, Holder: h.settings.Name + ownerSeparator + incarnation, MinGap: h.settings.Bounds.OrderGap,
		Store: h.store, WatchCache: h.watchCache, Log: h.log, MayHold: mayHoldLease,
		Rank:       func() int { return h.assignmentRank(key) + ranksPerLeadership*h.heldLeaderships() },
		HasWork:    func() bool { return h.weightUpdater.HasOutdated(partition) },
		Ineligible: func() bool { return h.ineligible() || h.reachesNoTarget() },
	})
}

// mayHoldLease reports whether the value of a lease's key is that of a daemon: its name and its incarnation.
func mayHoldLease(value string) bool {
	i := strings.LastIndex(value, ownerSeparator)
	return i > 0 && uuid.Validate(value[i+len(ownerSeparator):]) == nil
}

// cellLeadership holds the lease to send weight updates to the workers of this daemon's cell, for
// services whose workers are divided among the cells. The cell may change.
type cellLeadership struct {
	host  *Host
	owner string // name and incarnation of this daemon
	lease atomic.Pointer[lease.Timed]
}

// cellPollInterval is the interval at which run checks which cell this daemon is in.
const cellPollInterval = 500 * time.Millisecond

// Current returns the lease for the workers of the current cell, or nil.
func (c *cellLeadership) Current() order.Leadership {
	t := c.lease.Load()
	if t == nil {
		// A nil *lease.Timed in the interface would not equal nil.
		return nil
	}
	return t
}

// run holds the lease of the cell that this daemon is in, and switches leases when the cell changes,
// until ctx is cancelled.
func (c *cellLeadership) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	label, stop := "", context.CancelFunc(func() {})
	defer func() { stop() }()
	for wait.For(ctx, cellPollInterval) {
		if current := c.host.fleet.View().CellLabel(); current != label {
			stop()
			label = current
			timed := c.newLease(label)
			leaseCtx, cancel := context.WithCancel(ctx)
			stop = cancel
			c.lease.Store(timed)
			wg.Go(func() { timed.Run(leaseCtx) })
		}
	}
}

// newLease returns the lease for the workers of a cell. It is held only while some of them have
// outdated weights.
func (c *cellLeadership) newLease(label string) *lease.Timed {
	h, key := c.host, keyCells+label
	return lease.NewTimed(lease.TimedOptions{
		Key: key, Holder: c.owner, MinGap: h.settings.Bounds.OrderGap, Store: h.store, WatchCache: h.watchCache, Log: h.log, LastContact: h.watchCache.FreshAsOf, MayHold: mayHoldLease,
		Rank:    func() int { return fleet.RankOf(fleet.Key(key), h.fleet.View().ExpectedEligible(), h.settings.Name) },
		HasWork: h.weightUpdater.CellHasOutdated,
		Ineligible: func() bool {
			return h.ineligible() || h.reachesNoTarget() || !h.weightUpdater.CellHasOutdated()
		},
	})
}

// ineligible reports whether this daemon must not acquire a lease.
func (h *Host) ineligible() bool { return h.draining.Load() || time.Since(h.started) < startupDelay }

// leaseReleaseDelay is how long a daemon without a path to any target keeps its leases: their next holder
// waits, so that a short loss is no reason to pass them on.
const leaseReleaseDelay = time.Second

// reachesNoTarget reports whether this daemon has been partitioned from all targets for some time while
// another one is not. Orders are given by a daemon's own connections only: for a target, orders from two
// boxes are those of two holders.
func (h *Host) reachesNoTarget() bool {
	return h.pool.Partitioned() && h.pool.SinceArrival() >= leaseReleaseDelay &&
		h.detours.PartitionedPeers() < len(h.fleet.View().Eligible())-1
}

// startupDelay is how long after its start a daemon acquires no lease. Until daemons that start
// together have found each other, each ranks first for all leases and tries to acquire them, which
// costs about fifteen billed calls per daemon. The users' boxes start within 0.3 s; a
// daemon is found once its key has been written and read.
const startupDelay = 1500 * time.Millisecond

// ranksPerLeadership is how many ranks a daemon moves down for each partition lease that it holds.
const ranksPerLeadership = 3

// heldLeaderships counts the partition leases that this daemon holds according to the watch cache.
func (h *Host) heldLeaderships() int {
	n := 0
	for _, p := range h.watchCache.WithPrefix(keyWeightUpdates) {
		if strings.HasPrefix(string(p.Value), h.settings.Name+ownerSeparator) {
			n++
		}
	}
	return n
}
