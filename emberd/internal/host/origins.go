package host

import (
	"math"
	"slices"
	"sync"
	"time"

	"embertally.dev/core/clock"
	"embertally.dev/core/fleet"
	"embertally.dev/core/origin"
	"embertally.dev/core/plat"
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

const (
	// maxListAge is the age of a list by which streams still begin at the versions that it has: a daemon that is cut off
	// cannot know of a version's going. It includes the last writes of a stream after its deadline.
	maxListAge = 30 * time.Second
	// maxVersionAbsence is for how long a version's targets may be away without its being new when they return: less than
	// all daemons remember it for, since each hears of its going at another time.
	maxVersionAbsence = 30 * time.Second
)

// versionWindow returns for how long after its targets have left the list a version counts as one at which streams have
// begun that may be resumed: targets that are no longer listed go on writing. noBound means for ever.
func (h *Host) versionWindow() time.Duration { return h.attemptBound.window(clock.Now()) }

// noBound is the time of attempts that a configuration does not bound.
const noBound = time.Duration(math.MaxInt64)

// attemptBound knows the longest time that an attempt takes at a stream that may be resumed, by all configurations under
// which streams began that may still be resumed. Each daemon knows it without a message, also one that nobody reaches. The
// zero value bounds attempts by 0: without a configuration there are none.
type attemptBound struct {
	boundMu sync.Mutex
	// current is that of the latest configuration. Guarded by boundMu.
	current time.Duration
	// former are those of earlier ones that bound attempts less. Guarded by boundMu.
	former []formerBound
}

// formerBound is a bound that counts until a time, or for ever if it is noBound.
type formerBound struct {
	bound time.Duration
	until clock.Time
	// read is set if the bound was read from the store, and is not of a configuration that this daemon has applied.
	read bool
}

// windowOf returns the version window where attempts take up to a time.
func windowOf(attempt time.Duration) time.Duration {
	const others = origin.Retention + maxListAge + versionSettleTime
	if attempt > noBound-others {
		return noBound
	}
	return attempt + others
}

// set records the bound of a configuration that is being applied.
func (a *attemptBound) set(longest time.Duration, bounded bool) {
	if !bounded {
		longest = noBound
	}
	now := clock.Now()
	a.boundMu.Lock()
	defer a.boundMu.Unlock()
	a.former = slices.DeleteFunc(a.former, func(f formerBound) bool { return f.over(now) || f.bound <= longest })
	if a.current > longest {
		a.former = append(a.former, newFormerBound(a.current, now, false))
	}
	a.current = longest
}

// add records the bound of attempts that began until now at streams that could not be resumed, and now may be.
func (a *attemptBound) add(bound time.Duration) {
	a.boundMu.Lock()
	defer a.boundMu.Unlock()
	a.former = append(a.former, newFormerBound(bound, clock.Now(), false))
}

// addRead records the bound of attempts that the store holds: they may begin until now by a configuration that this daemon
// has not applied.
func (a *attemptBound) addRead(bound time.Duration) {
	now := clock.Now()
	a.boundMu.Lock()
	defer a.boundMu.Unlock()
	a.former = slices.DeleteFunc(a.former, func(f formerBound) bool { return f.over(now) || (f.read && f.bound <= bound) })
	a.former = append(a.former, newFormerBound(bound, now, true))
}

// forgetFormer records that no attempt goes on that began by a former configuration.
func (a *attemptBound) forgetFormer() {
	a.boundMu.Lock()
	defer a.boundMu.Unlock()
	a.former = nil
}

// newFormerBound returns the bound of attempts that no longer begin.
func newFormerBound(bound time.Duration, now clock.Time, read bool) formerBound {
	f := formerBound{bound: bound, read: read}
	if bound != noBound {
		f.until = now.Add(windowOf(bound))
	}
	return f
}

// over reports whether a bound no longer counts.
func (f formerBound) over(now clock.Time) bool { return f.bound != noBound && now.After(f.until) }

// window returns the version window.
func (a *attemptBound) window(now clock.Time) time.Duration { return windowOf(a.longest(now)) }

// longest returns the longest time of an attempt.
func (a *attemptBound) longest(now clock.Time) time.Duration { return a.longestOf(now, true) }

// appliedLongest returns the longest time of an attempt by the configurations that this daemon has applied.
func (a *attemptBound) appliedLongest(now clock.Time) time.Duration { return a.longestOf(now, false) }

// longestOf returns the longest time of an attempt, with those that were read if read is set.
func (a *attemptBound) longestOf(now clock.Time, read bool) time.Duration {
	a.boundMu.Lock()
	defer a.boundMu.Unlock()
	longest := a.current
	for _, f := range a.former {
		if !f.over(now) && (read || !f.read) {
			longest = max(longest, f.bound)
		}
	}
	return longest
}

// untilSettled returns for how much longer no stream may begin at a version of a service's targets.
func (h *Host) untilSettled(service, version string) time.Duration {
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
	if len(h.roster.Versions(service, h.versionWindow())) != 1 {
		return false
	}
	return h.versionWatch.complete(service, h.versionWindow()) ||
		!slices.ContainsFunc(h.listedPeers(), func(peer string) bool { return !h.roster.HeardVersions(peer) })
}

// listedNames returns the names of the other daemons of a view that are listed.
func listedNames(view *fleet.View) []string {
	var out []string
	for _, p := range view.Peers() {
		if p.Listed {
			out = append(out, p.Name)
		}
	}
	return out
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
	// sinceRevision is a revision of the store from which on none can have been missed. Guarded by watchMu.
	sinceRevision int64
	// inherited holds the services for which that is the beginning, since another daemon has proven it. Guarded by
	// watchMu.
	inherited map[string]bool
}

// restart records that versions may have been missed until now, up to a revision of the store.
func (v *versionWatch) restart(revision int64) {
	v.watchMu.Lock()
	defer v.watchMu.Unlock()
	v.since, v.sinceRevision, v.inherited = clock.Now(), revision, nil
}

// inherit records that another daemon, which knows all versions up to a revision of the store, has proven that a service has
// had a single version. It does nothing and returns false if versions may have been missed after that revision: one that
// came and went before this daemon's first list is in neither list.
func (v *versionWatch) inherit(service string, revision int64) bool {
	v.watchMu.Lock()
	defer v.watchMu.Unlock()
	if plat.StoreIncarnation(revision) != plat.StoreIncarnation(v.sinceRevision) || revision < v.sinceRevision {
		return false
	}
	if v.inherited == nil {
		v.inherited = map[string]bool{}
	}
	v.inherited[service] = true
	return true
}

// complete reports whether all versions of a service have been seen that were listed within a window.
func (v *versionWatch) complete(service string, window time.Duration) bool {
	v.watchMu.Lock()
	defer v.watchMu.Unlock()
	return v.since.IsZero() || v.inherited[service] || clock.Since(v.since) >= window
}

// restartVersionWatch records that versions may have been missed until now, up to a revision of the store.
func (h *Host) restartVersionWatch(revision int64) {
	h.versionWatch.restart(revision)
	h.roster.ForgetHeardVersions()
}

// recordSnapshot records that a snapshot is about to replace what was known as of last: a version that came and went in
// between is not in it, and one that is may have been away.
func (h *Host) recordSnapshot(last, asOf clock.Time, revision int64) {
	if last.IsZero() && h.settings.FirstStart {
		return
	}
	h.restartVersionWatch(revision)
	if !last.IsZero() && asOf.Sub(last) > maxVersionAbsence {
		h.roster.RenewVersions()
	}
}

// serviceVersions returns what this daemon can say of the versions of a service's targets.
func (h *Host) serviceVersions(service string) (string, origin.Proof) {
	// The list holds only a shard of the targets of a sharded service.
	if h.viewAge() > versionMaxViewAge || h.watchCacheSync.Sharded(service) {
		return "", origin.Several
	}
	if t := h.relay.Table(); t != nil && t.SplitsStreams(service) {
		// A stream may have begun at another service of its route.
		return "", origin.Several
	}
	window := h.versionWindow()
	versions := h.roster.Versions(service, window)
	switch {
	case len(versions) != 1:
		return "", origin.Several
	case h.versionWatch.complete(service, window):
		return versions[0], origin.Sole
	}
	return versions[0], origin.Unproven
}

// keepsOrigins reports whether it is worth the writes to keep in the coordination store where streams of a service began:
// this daemon knows several versions of it.
func (h *Host) keepsOrigins(service string) bool {
	return len(h.roster.Versions(service, h.versionWindow())) > 1
}

// checkVersionWatch records that versions may have been missed while the watch cache is old, or empty though the whole
// system has started before.
func (h *Host) checkVersionWatch() {
	fresh := h.watchCache.FreshAsOf()
	if fresh.IsZero() && h.settings.FirstStart {
		return
	}
	if fresh.IsZero() || clock.Since(fresh) > versionMaxViewAge {
		h.restartVersionWatch(h.watchCache.Revision())
	}
}
