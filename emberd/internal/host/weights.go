package host

import (
	"sync"
	"time"

	"embertally.dev/core/cache"
	"embertally.dev/core/clock"
)

// desiredWeights records which versions of each model's weights operators have requested. The zero
// value is ready for use.
type desiredWeights struct {
	mu sync.Mutex
	// versions holds the latest maxVersionsPerModel versions of each model, in ascending order.
	// Guarded by mu.
	versions map[string][]desiredVersion
}

// maxVersionsPerModel bounds the recorded versions of one model.
const maxVersionsPerModel = 32

// desiredVersion is one version that operators have requested.
type desiredVersion struct {
	version int64
	// since is when this daemon received it.
	since clock.Time
}

// set records the desired version of a model, unless a newer one is recorded.
func (d *desiredWeights) set(model string, version int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.versions == nil {
		d.versions = map[string][]desiredVersion{}
	}
	list := d.versions[model]
	if len(list) > 0 && list[len(list)-1].version >= version {
		return
	}
	list = append(list, desiredVersion{version, clock.Now()})
	d.versions[model] = list[max(0, len(list)-maxVersionsPerModel):]
}

// version returns the newest desired version of a model, or 0 if there is none.
func (d *desiredWeights) version(model string) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.versions[model]
	if len(list) == 0 {
		return 0
	}
	return list[len(list)-1].version
}

// replacedSince returns when this daemon received the first version that is newer than the given
// one; false if there is none.
func (d *desiredWeights) replacedSince(model string, version int64) (clock.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, v := range d.versions[model] {
		if v.version > version {
			return v.since, true
		}
	}
	return clock.Time{}, false
}

// replacedFor returns how long a version has been replaced by a newer one, or 0 if there is none.
func (d *desiredWeights) replacedFor(model string, version int64) time.Duration {
	since, replaced := d.replacedSince(model, version)
	if !replaced {
		return 0
	}
	return clock.Since(since)
}

// supersededSince returns when this daemon received the first version that is newer than the one in
// a cache salt; false if there is none or the salt names no version.
func (d *desiredWeights) supersededSince(salt string) (clock.Time, bool) {
	model, version, ok := cache.SaltVersion(salt)
	if !ok {
		return clock.Time{}, false
	}
	return d.replacedSince(model, version)
}
