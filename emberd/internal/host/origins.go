package host

import (
	"sync"
	"time"

	"embertally.dev/core/clock"
	"embertally.dev/core/origin"
)

// versionMaxViewAge is the maximum age of the watch cache at which this daemon says that a service has a single
// version: a target of another version may have been listed since.
const versionMaxViewAge = 2 * time.Second

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
