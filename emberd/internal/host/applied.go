package host

import (
	"context"
	"strings"
	"sync"
	"time"

	"embertally.dev/core/cache"
	"embertally.dev/core/canary"
	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/plat"
	"embertally.dev/core/table"
	"embertally.dev/core/wait"
	"embertally.dev/platform"
)

// firstTable holds the first configuration that was read from a store which may have been restored
// from an older copy. It is applied once peers have been queried for a newer one.
type firstTable struct {
	mu      sync.Mutex
	pending *table.Table // the configuration until then, else nil; guarded by mu
}

const (
	// peersPollInterval is the interval at which awaitPeers looks for peers, and peersTimeout
	// bounds its wait for the fleet to read the box list.
	peersPollInterval = 50 * time.Millisecond
	peersTimeout      = 500 * time.Millisecond
	// pullRetryDelay is the delay before peers are queried again when none has responded.
	pullRetryDelay = time.Second
)

// watchStoreIncarnations queries peers for newer values when the first snapshot of each store
// incarnation has been read, until ctx is cancelled.
func (h *Host) watchStoreIncarnations(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.incarnationCheck:
		}
		if h.watchCache.StoreIncarnation() == 0 {
			continue
		}
		for deadline := time.Now().Add(restoredGrace); !h.pullApplied(ctx) && time.Now().Before(deadline); {
			if !wait.For(ctx, pullRetryDelay) {
				return
			}
		}
	}
}

// triggerIncarnationCheck makes watchStoreIncarnations query the peers. It never blocks, since the
// watch cache calls it with its lock held.
func (h *Host) triggerIncarnationCheck() {
	select {
	case h.incarnationCheck <- struct{}{}:
	default:
		// A check is already pending.
	}
}

// pullApplied queries peers for values that are newer than the store's, and applies the first
// configuration if it is still pending. It returns false if there are peers and none has responded.
func (h *Host) pullApplied(ctx context.Context) bool {
	done := !h.awaitPeers(ctx) || h.applied.Pull(ctx, h.receivePeerValue) > 0
	h.firstTable.mu.Lock()
	h.applied.MarkReady()
	pending := h.firstTable.pending
	h.firstTable.pending = nil
	h.firstTable.mu.Unlock()
	if pending != nil {
		h.applyTable(pending)
	}
	return done
}

// awaitPeers waits until the fleet has peers, and reports whether there are any.
func (h *Host) awaitPeers(ctx context.Context) bool {
	for deadline := time.Now().Add(peersTimeout); ; {
		if len(h.fleet.View().Peers()) > 0 {
			return true
		}
		if h.isOnlyBox() || !time.Now().Before(deadline) || !wait.For(ctx, peersPollInterval) {
			return false
		}
	}
}

// isOnlyBox reports whether the store lists no other box.
func (h *Host) isOnlyBox() bool {
	for _, p := range h.watchCache.WithPrefix(keyBoxes) {
		if strings.TrimPrefix(p.Key, keyBoxes) != h.settings.Name {
			return false
		}
	}
	return true
}

// receivePeerValue applies a value of a peer that is newer than the store's or that the store lacks.
func (h *Host) receivePeerValue(p plat.Pair) {
	recoverPanic(p.Key, func() { h.applyPeerValue(p) })
}

// applyPeerValue is receivePeerValue without the recovery from panics.
func (h *Host) applyPeerValue(p plat.Pair) {
	update, err := h.decoder.Decode(plat.Change{Pair: p})
	if err != nil {
		h.log.Emit(event.ConfUnderived, event.Ref{Resource: p.Key}, err.Error())
		return
	}
	switch {
	case update.Evacuation != nil:
		h.roster.Evacuate(update.Evacuation.Domain, true, time.Now())
		h.endEvacuationLater(update.Evacuation.Domain, p.Key)
	case update.Rollout != nil:
		h.applyRollout(p, update.Rollout)
	default:
		h.applyVersioned(p, update, clock.Time{})
	}
	if update.Table != nil {
		h.applyTable(update.Table)
	}
}

// applyVersioned records a configuration that is being applied, and records and applies desired
// weights. The versions of both only increase. notBefore is a time by which operators had not written them; zero if
// none is known.
func (h *Host) applyVersioned(p plat.Pair, update platform.Update, notBefore clock.Time) {
	switch {
	case update.Table != nil:
		h.applied.Set(p, update.Table.Version())
	case update.DesiredWeights != nil:
		h.applied.Set(p, update.DesiredWeights.Version)
		h.desired.Name(update.DesiredWeights.Model, update.DesiredWeights.Version, notBefore)
		h.log.Emit(event.WeightsNamed, event.Ref{Resource: p.Key}, "version "+itoa(update.DesiredWeights.Version)+
			", until now current as of "+ageText(h.watchCache.FreshAsOf())+", not named before "+ageText(notBefore))
	}
}

// ageText formats how long ago something was for a log line; "never" for the zero value.
func ageText(t clock.Time) string {
	if t.IsZero() {
		return "never"
	}
	return clock.Since(t).Round(time.Millisecond).String() + " ago"
}

// applyRollout applies operators' order to roll out a version. Its revision is 0 if they withdrew it.
func (h *Host) applyRollout(p plat.Pair, o *canary.Order) {
	if o.Revision == 0 {
		h.applied.Remove(p.Key)
	} else {
		h.applied.Set(p, 0)
	}
	h.canary.SetOrder(*o)
	h.log.Emit(event.ConfApplied, event.Ref{Resource: p.Key}, "rollout of version "+o.Version+", duration "+o.Lasts.String())
}

// applyEvacuation starts or ends the evacuation of a failure domain.
func (h *Host) applyEvacuation(p plat.Pair, e *platform.Evacuation) {
	if e.Active {
		h.applied.Set(p, 0)
	} else {
		h.applied.Remove(p.Key)
	}
	h.roster.Evacuate(e.Domain, e.Active, time.Now())
}

// restoredGrace is how long an evacuation that is missing from a restored store stays applied, since
// operators write again what the store has lost. It also bounds how long querying peers is retried.
const restoredGrace = 10 * time.Second

// endEvacuationLater ends an evacuation that is missing from a restored store. It does so after
// restoredGrace, unless the evacuation has been written again by then.
func (h *Host) endEvacuationLater(domain, key string) {
	time.AfterFunc(restoredGrace, func() { h.endEvacuation(domain, key) })
}

// evacuationCheckInterval is the least time between checks whether an evacuation has ended.
const evacuationCheckInterval = 250 * time.Millisecond

// endEvacuation ends an evacuation that is missing from a restored store. If that has been restored once more
// meanwhile, operators have the whole time again. Time for which this daemon does not know the store's contents does not
// count: they may have written it again.
func (h *Host) endEvacuation(domain, key string) {
	if _, present := h.watchCache.Pair(key); present {
		return
	}
	known := h.watchCache.FreshAsOf().Sub(h.watchCache.StoreIncarnationSince())
	if remaining := restoredGrace - known; remaining > 0 {
		time.AfterFunc(max(evacuationCheckInterval, min(remaining, restoredGrace)), func() { h.endEvacuation(domain, key) })
		return
	}
	h.applied.Remove(key)
	h.roster.Evacuate(domain, false, time.Now())
}

// applyFromStore applies a configuration of the store. If the store may have been restored from a
// copy, the first one stays pending until peers have been queried.
func (h *Host) applyFromStore(t *table.Table) {
	h.firstTable.mu.Lock()
	mustWait := !h.applied.Ready() && h.watchCache.StoreIncarnation() > 0
	if mustWait {
		h.firstTable.pending = t
	}
	h.firstTable.mu.Unlock()
	if !mustWait {
		h.applyTable(t)
	}
}

// applyTable applies a configuration, unless a newer one is already applied.
func (h *Host) applyTable(t *table.Table) {
	h.applyMu.Lock()
	defer h.applyMu.Unlock()
	old := h.relay.Table()
	if old != nil && old.Version() > t.Version() {
		h.log.Emit(event.ConfRejected, event.Ref{}, "version "+itoa(t.Version())+" is older than the applied "+itoa(old.Version()))
		return
	}
	if old != nil && t.MakesResumable(old) {
		h.attemptBound.add(h.streamBound.longest(clock.Now()))
	}
	h.streamBound.set(t.LongestStream())
	h.attemptBound.set(t.LongestResumable())
	h.routeServices.set(t, clock.Now())
	h.relay.SetTable(t)
	h.log.Emit(event.ConfApplied, event.Ref{}, "version "+itoa(t.Version()))
	tokenBytes := 0
	for _, svc := range t.Engines() {
		tokenBytes = max(tokenBytes, svc.Engine.BytesPerToken)
	}
	var stores []cache.StoreInfo
	for _, s := range t.Stores() {
		stores = append(stores, storeInfo(s, tokenBytes))
	}
	h.storeIndexes.Set(h.workCtx, stores)
}
