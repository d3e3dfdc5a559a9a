package host

import (
	"context"
	"strings"
	"sync"
	"time"

	"embertally.dev/core/cache"
	"embertally.dev/core/canary"
	"embertally.dev/core/event"
	"embertally.dev/core/plat"
	"embertally.dev/core/table"
	"embertally.dev/core/wait"
	"embertally.dev/platform"
)

// firstTable is the first configuration of a store that may have come back from an older copy. It is
// put in force once peers were asked for a newer one.
type firstTable struct {
	firstMu sync.Mutex
	held    *table.Table // the configuration until then; guarded by firstMu
}

const (
	// peersLook is the pause between looks for peers, and peersLimit bounds the wait for the list of
	// boxes to reach the fleet.
	peersLook  = 50 * time.Millisecond
	peersLimit = 500 * time.Millisecond
	// askAgain is the pause before peers are asked again where none has answered.
	askAgain = time.Second
)

// watchEras asks peers at the first copy of each era of the store, until ctx ends.
func (h *Host) watchEras(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.entered:
		}
		if h.mirror.Era() == 0 {
			continue
		}
		for end := time.Now().Add(restoredHold); !h.askInForce(ctx) && time.Now().Before(end); {
			if !wait.For(ctx, askAgain) {
				return
			}
		}
	}
}

// noteEra wakes watchEras.
func (h *Host) noteEra() {
	select {
	case h.entered <- struct{}{}:
	default:
		// It is about to look.
	}
}

// askInForce asks peers for what is newer than the store's copy, and ends the wait of the first
// configuration. It returns false where there are peers and none has answered.
func (h *Host) askInForce(ctx context.Context) bool {
	done := !h.awaitPeers(ctx) || h.inForce.Pull(ctx, h.takeInForce) > 0
	h.first.firstMu.Lock()
	h.inForce.MarkReady()
	held := h.first.held
	h.first.held = nil
	h.first.firstMu.Unlock()
	if held != nil {
		h.put(held)
	}
	return done
}

// awaitPeers waits until the fleet knows of peers, and reports whether there are any.
func (h *Host) awaitPeers(ctx context.Context) bool {
	for end := time.Now().Add(peersLimit); ; {
		if len(h.fleet.View().Peers()) > 0 {
			return true
		}
		if h.isAlone() || !time.Now().Before(end) || !wait.For(ctx, peersLook) {
			return false
		}
	}
}

// isAlone reports whether the store lists no other box.
func (h *Host) isAlone() bool {
	for _, p := range h.mirror.Under(keyBoxes) {
		if strings.TrimPrefix(p.Key, keyBoxes) != h.set.Name {
			return false
		}
	}
	return true
}

// takeInForce takes a value from a peer that the store lacks.
func (h *Host) takeInForce(p plat.Pair) {
	survive(p.Key, func() { h.takeFromPeer(p) })
}

func (h *Host) takeFromPeer(p plat.Pair) {
	news, err := h.decoder.Read(plat.Change{Pair: p})
	if err != nil {
		h.log.Emit(event.ConfUnderived, event.Ref{Resource: p.Key}, err.Error())
		return
	}
	switch {
	case news.Evacuation != nil:
		h.roster.Evacuate(news.Evacuation.Domain, true, time.Now())
		h.holdEvacuation(news.Evacuation.Domain, p.Key)
	case news.Rollout != nil:
		h.takeRollout(p, news.Rollout)
	default:
		h.takeVersions(p, news)
	}
	if news.Table != nil {
		h.put(news.Table)
	}
}

// takeVersions takes the values of operators whose versions only rise.
func (h *Host) takeVersions(p plat.Pair, news platform.News) {
	switch {
	case news.Table != nil:
		h.inForce.Set(p, news.Table.Version())
	case news.Named != nil:
		h.inForce.Set(p, news.Named.Version)
		h.named.set(news.Named.Model, news.Named.Version)
		h.log.Emit(event.ConfApplied, event.Ref{Resource: p.Key}, "weights named, version "+itoa(news.Named.Version))
	}
}

// takeRollout takes what operators ask for a service; the order's revision is 0 where they took it back.
func (h *Host) takeRollout(p plat.Pair, o *canary.Order) {
	if o.Revision == 0 {
		h.inForce.Remove(p.Key)
	} else {
		h.inForce.Set(p, 0)
	}
	h.canary.SetOrder(*o)
	h.log.Emit(event.ConfApplied, event.Ref{Resource: p.Key}, "roll-out of version "+o.Version+" in "+o.Lasts.String())
}

// takeEvacuation takes what operators ask for a failure domain.
func (h *Host) takeEvacuation(p plat.Pair, e *platform.Evacuation) {
	if e.On {
		h.inForce.Set(p, 0)
	} else {
		h.inForce.Remove(p.Key)
	}
	h.roster.Evacuate(e.Domain, e.On, time.Now())
}

// restoredHold is how long an evacuation that a restored store lacks stays in force: operators write
// again what it has lost.
const restoredHold = 10 * time.Second

// holdEvacuation takes an evacuation back that a restored store lacks, unless it is written again.
func (h *Host) holdEvacuation(domain, key string) {
	time.AfterFunc(restoredHold, func() {
		if _, there := h.mirror.Pair(key); !there {
			h.inForce.Remove(key)
			h.roster.Evacuate(domain, false, time.Now())
		}
	})
}

// apply takes a configuration of the store. The first one waits until peers were asked, where the
// store may have come back from a copy.
func (h *Host) apply(t *table.Table) {
	h.first.firstMu.Lock()
	holds := !h.inForce.Ready() && h.mirror.Era() > 0
	if holds {
		h.first.held = t
	}
	h.first.firstMu.Unlock()
	if !holds {
		h.put(t)
	}
}

// put puts a configuration in force, unless a newer one is.
func (h *Host) put(t *table.Table) {
	h.putMu.Lock()
	defer h.putMu.Unlock()
	if old := h.relay.Table(); old != nil && old.Version() > t.Version() {
		h.log.Emit(event.ConfRejected, event.Ref{}, "version "+itoa(t.Version())+" is older than "+itoa(old.Version()))
		return
	}
	h.relay.SetTable(t)
	h.log.Emit(event.ConfApplied, event.Ref{}, "version "+itoa(t.Version()))
	tokenBytes := 0
	for _, svc := range t.Engines() {
		tokenBytes = max(tokenBytes, svc.Engine.TokenBytes)
	}
	var stores []cache.StoreInfo
	for _, s := range t.Stores() {
		stores = append(stores, storeInfo(s, tokenBytes))
	}
	h.kept.Set(h.work, stores)
}
