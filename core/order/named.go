package order

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"embertally.dev/core/cache"
	"embertally.dev/core/clock"
)

// NamedWeights records which versions of each model's weights operators have named, and between which times.
// The zero value is ready for use.
//
// A daemon receives a version some time after operators have named it: at once while it follows the store, much
// later if it has just started or was out of touch. What must end some time after the naming is measured from
// the earliest possible time, and what must not begin before it from the reception.
type NamedWeights struct {
	namedMu sync.Mutex
	// versions holds the latest maxNamedVersions versions of each model, in ascending order. For any version, the
	// first one that is newer has a notBefore at which operators had named no newer version at all. Guarded by namedMu.
	versions map[string][]namedVersion
}

// maxNamedVersions bounds the recorded versions of one model.
const maxNamedVersions = 32

// namedVersion is one version that operators have named.
type namedVersion struct {
	version int64
	// notBefore is a time by which it had not been named; zero if none is known.
	notBefore clock.Time
	// received is when this daemon received it.
	received clock.Time
}

// replacedForever is the age of what may have been replaced at any time in the past.
const replacedForever = time.Duration(math.MaxInt64)

// notBeforeAge returns the longest time for which the version may have been named.
func (v namedVersion) notBeforeAge(now clock.Time) time.Duration {
	if v.notBefore.IsZero() {
		return replacedForever
	}
	return now.Sub(v.notBefore)
}

// Name records a version of a model that this daemon has received, unless a newer one is recorded. notBefore is
// a time by which operators had named neither it nor another version that is not recorded; zero if none is known.
func (n *NamedWeights) Name(model string, version int64, notBefore clock.Time) {
	n.namedMu.Lock()
	defer n.namedMu.Unlock()
	list := n.versions[model]
	if len(list) > 0 && list[len(list)-1].version >= version {
		return
	}
	n.insert(model, namedVersion{version: version, notBefore: notBefore, received: clock.Now()})
}

// insert adds a version that is not recorded. It is called with namedMu held.
func (n *NamedWeights) insert(model string, v namedVersion) {
	if n.versions == nil {
		n.versions = map[string][]namedVersion{}
	}
	list := n.versions[model]
	i, _ := slices.BinarySearchFunc(list, v.version, func(e namedVersion, version int64) int { return cmp.Compare(e.version, version) })
	list = slices.Insert(list, i, v)
	for len(list) > maxNamedVersions {
		// What the forgotten version had replaced counts as replaced by the next one.
		if list[0].notBefore.Before(list[1].notBefore) {
			list[1].notBefore = list[0].notBefore
		}
		list = list[1:]
	}
	n.versions[model] = list
}

// Newest returns the newest version of a model that operators have named, or 0 if there is none.
func (n *NamedWeights) Newest(model string) int64 {
	n.namedMu.Lock()
	defer n.namedMu.Unlock()
	list := n.versions[model]
	if len(list) == 0 {
		return 0
	}
	return list[len(list)-1].version
}

// replacement returns the first version of a model that is newer than the given one.
func (n *NamedWeights) replacement(model string, version int64) (namedVersion, bool) {
	n.namedMu.Lock()
	defer n.namedMu.Unlock()
	for _, v := range n.versions[model] {
		if v.version > version {
			return v, true
		}
	}
	return namedVersion{}, false
}

// ReplacedFor returns the longest time for which a newer version may have been named, or 0 if there is none.
// It is the largest duration if that may have been at any time.
func (n *NamedWeights) ReplacedFor(model string, version int64) time.Duration {
	v, replaced := n.replacement(model, version)
	if !replaced {
		return 0
	}
	return v.notBeforeAge(clock.Now())
}

// minRecheck is how soon it is looked again at the earliest whether a version that is in use has been replaced.
const minRecheck = time.Second

// UsableFor returns for how much longer requests may begin on a version that may be used for a time after a newer one was
// named. If there is no newer one, it returns when to ask again.
func (n *NamedWeights) UsableFor(model string, version int64, usable time.Duration) time.Duration {
	replaced := n.ReplacedFor(model, version)
	if replaced == 0 {
		return max(usable, minRecheck)
	}
	return usable - replaced
}

// OutdatedFor returns for how long a version may not begin requests any more, as far as this daemon has known of it; 0
// if it may. It may while no newer version can have been named for longer than usable.
func (n *NamedWeights) OutdatedFor(model string, version int64, usable time.Duration) time.Duration {
	v, replaced := n.replacement(model, version)
	if !replaced {
		return 0
	}
	now := clock.Now()
	over := v.notBeforeAge(now) - usable
	if over <= 0 {
		return 0
	}
	return max(1, min(over, now.Sub(v.received)))
}

// SupersededSince returns when this daemon received the first version that is newer than the one in a cache
// salt; false if there is none or the salt names no version.
func (n *NamedWeights) SupersededSince(salt string) (clock.Time, bool) {
	model, version, ok := cache.SaltVersion(salt)
	if !ok {
		return clock.Time{}, false
	}
	v, replaced := n.replacement(model, version)
	return v.received, replaced
}

// maxDatingGap is how much later than its earliest possible naming a version is received by a daemon that follows
// the store.
const maxDatingGap = 2 * time.Second

// undated reports whether a version was received so long after its earliest possible naming that another daemon may
// know better, and not so long ago that it does not matter any more.
func (v namedVersion) undated(now clock.Time, within time.Duration) bool {
	return (v.notBefore.IsZero() || v.received.Sub(v.notBefore) > maxDatingGap) && now.Sub(v.received) < within
}

// hasUndated reports whether a version of any model is undated.
func (n *NamedWeights) hasUndated(within time.Duration) bool {
	n.namedMu.Lock()
	defer n.namedMu.Unlock()
	now := clock.Now()
	for _, list := range n.versions {
		if slices.ContainsFunc(list, func(v namedVersion) bool { return v.undated(now, within) }) {
			return true
		}
	}
	return false
}

// versionAge is a version in a message.
type versionAge struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Model    string
	Version  int64
	// NotBeforeMillis is how long ago it had not been named yet, rounded up; -1 if that is not known.
	NotBeforeMillis int64
}

// maxAgeMillis bounds the ages that peers report.
const maxAgeMillis = 1000 * 3600 * 24 * 365

// ages returns the versions of all models, also those whose earliest possible naming is not known: without them a
// receiver would date what they replaced by the next version.
func (n *NamedWeights) ages() []versionAge {
	n.namedMu.Lock()
	defer n.namedMu.Unlock()
	now := clock.Now()
	var out []versionAge
	for model, list := range n.versions {
		for _, v := range list {
			millis := int64(-1)
			if !v.notBefore.IsZero() {
				millis = now.Sub(v.notBefore).Milliseconds() + 1
			}
			out = append(out, versionAge{Model: model, Version: v.version, NotBeforeMillis: millis})
		}
	}
	return out
}

// merge records what a peer has responded to a request that was sent at a time. All versions that the peer knows are
// taken, since its statement about one of them says nothing of those before, and of two statements about one version
// the later time. Versions that this daemon has not received yet are left to the store. It returns what it has dated
// by the peer.
func (n *NamedWeights) merge(ages []versionAge, requested clock.Time) (dated []versionAge) {
	n.namedMu.Lock()
	defer n.namedMu.Unlock()
	for _, age := range ages {
		list := n.versions[age.Model]
		if age.Version <= 0 || len(list) == 0 || age.Version > list[len(list)-1].version {
			continue
		}
		var notBefore clock.Time
		if age.NotBeforeMillis >= 0 {
			notBefore = requested.Add(-time.Duration(min(age.NotBeforeMillis, maxAgeMillis)) * time.Millisecond)
		}
		i := slices.IndexFunc(list, func(v namedVersion) bool { return v.version >= age.Version })
		switch {
		case list[i].version > age.Version:
			// This daemon has known since then that what the version replaced is replaced.
			n.insert(age.Model, namedVersion{version: age.Version, notBefore: notBefore, received: list[i].received})
		case notBefore.After(list[i].notBefore):
			list[i].notBefore = notBefore
		default:
			continue
		}
		dated = append(dated, age)
	}
	return dated
}
