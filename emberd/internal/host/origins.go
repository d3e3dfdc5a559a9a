package host

import (
	"slices"
	"sync"
	"time"

	"embertally.dev/core/clock"
	"embertally.dev/core/fleet"
	"embertally.dev/core/origin"
	"embertally.dev/core/spread"
)

// versionMaxViewAge is the maximum age of the watch cache at which this daemon says that a service has a single
// version: a target of another version may have been listed since.
const versionMaxViewAge = 2 * time.Second

// settleMargin is for clocks that do not run equally fast, and for ages that are rounded in messages.
const settleMargin = 150 * time.Millisecond

// versionSettleTime is for how long a version must be known to some daemon before streams begin at it while the service
// has other versions. Each view that is young enough to prove a single version then contains it, also at a daemon that
// nobody reaches: it follows that all streams that may be resumed there began at that one.
const versionSettleTime = versionMaxViewAge + spread.MaxDatingError + settleMargin

// maxVersionAbsence is for how long a version's targets may be away without its being new when they return: less than all
// daemons remember it for, since each hears of its going at another time.
const maxVersionAbsence = 30 * time.Second

// untilSettled returns for how much longer no stream may begin at a version of a service's targets.
func (h *Host) untilSettled(service, version string) time.Duration {
	if h.watchCacheSync.Sharded(service) {
		// No daemon proves a single version of it.
		return 0
	}
	remaining := versionSettleTime - h.roster.VersionAge(service, version)
	if remaining <= 0 || h.roster.VersionSettled(service, version) {
		return 0
	}
	if h.onlyVersion(service) {
		h.roster.SettleVersion(service, version)
		return 0
	}
	return remaining
}

// onlyVersion reports whether a service has had a single version for as long as streams may be resumed: this daemon has
// seen all versions since, or each other daemon that is listed has reported those that it knows.
func (h *Host) onlyVersion(service string) bool {
	if len(h.roster.Versions(service, origin.Retention)) != 1 {
		return false
	}
	return h.versionWatch.complete(service) || !slices.ContainsFunc(h.fleet.View().Peers(), func(p fleet.Peer) bool {
		return p.Listed && !h.roster.HeardVersions(p.Name)
	})
}

// unsettledVersions returns the number of listed versions at which no stream may begin yet.
func (h *Host) unsettledVersions() int {
	n := 0
	for service, versions := range h.roster.ListedVersions() {
		for _, version := range versions {
			if h.untilSettled(service, version) > 0 {
				n++
			}
		}
	}
	return n
}

// versionWatch knows for how long this daemon has seen all versions of the targets.
type versionWatch struct {
	watchMu sync.Mutex
	// since is from when on no version can have been missed; zero for the beginning of the whole system. Guarded by
	// watchMu.
	since clock.Time
	// inherited holds the services for which that is the beginning, since another daemon has proven it. Guarded by
	// watchMu.
	inherited map[string]bool
}

// restart records that versions may have been missed until now.
func (v *versionWatch) restart() {
	v.watchMu.Lock()
	defer v.watchMu.Unlock()
	v.since, v.inherited = clock.Now(), nil
}

// inherit records that another daemon has proven that a service has had a single version.
func (v *versionWatch) inherit(service string) {
	v.watchMu.Lock()
	defer v.watchMu.Unlock()
	if v.inherited == nil {
		v.inherited = map[string]bool{}
	}
	v.inherited[service] = true
}

// complete reports whether all versions that streams may be resumed at have been seen.
func (v *versionWatch) complete(service string) bool {
	v.watchMu.Lock()
	defer v.watchMu.Unlock()
	return v.since.IsZero() || v.inherited[service] || clock.Since(v.since) >= origin.Retention
}

// serviceVersions returns what this daemon can say of the versions of a service's targets.
func (h *Host) serviceVersions(service string) (string, origin.Proof) {
	// The list holds only a shard of the targets of a sharded service.
	if h.viewAge() > versionMaxViewAge || h.watchCacheSync.Sharded(service) {
		return "", origin.Several
	}
	versions := h.roster.Versions(service, origin.Retention)
	switch {
	case len(versions) != 1:
		return "", origin.Several
	case h.versionWatch.complete(service):
		return versions[0], origin.Sole
	}
	return versions[0], origin.Unproven
}

// keepsOrigins reports whether it is worth the writes to keep in the coordination store where streams of a service began:
// this daemon knows several versions of it.
func (h *Host) keepsOrigins(service string) bool {
	return len(h.roster.Versions(service, origin.Retention)) > 1
}

// checkVersionWatch records that versions may have been missed while the watch cache is old, or empty though the whole
// system has started before.
func (h *Host) checkVersionWatch() {
	fresh := h.watchCache.FreshAsOf()
	if fresh.IsZero() && h.settings.FirstStart {
		return
	}
	if fresh.IsZero() || clock.Since(fresh) > versionMaxViewAge {
		h.versionWatch.restart()
	}
}
