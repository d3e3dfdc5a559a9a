package roster

import (
	"slices"
	"time"

	"embertally.dev/core/clock"
)

// Versions returns the versions of a service's targets that are listed or were so within a time.
func (r *Roster) Versions(service string, within time.Duration) []string {
	var out []string
	add := func(version string) {
		if !slices.Contains(out, version) {
			out = append(out, version)
		}
	}
	for _, t := range r.ByService(service) {
		add(t.Entry().Version)
	}
	now := clock.Now()
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	for version, at := range r.formerVersions[service] {
		if now.Sub(at) <= within {
			add(version)
		}
	}
	return out
}

// maxFormerVersions bounds the versions of a service that are remembered after their targets have gone. The one that
// was listed longest ago gives way.
const maxFormerVersions = 64

// recordFormerVersion records that a target with an entry is no longer listed. It is called with rosterMu held.
func (r *Roster) recordFormerVersion(e *Entry) {
	if r.formerVersions == nil {
		r.formerVersions = map[string]map[string]clock.Time{}
	}
	versions := r.formerVersions[e.Service]
	if versions == nil {
		versions = map[string]clock.Time{}
		r.formerVersions[e.Service] = versions
	}
	if _, found := versions[e.Version]; !found && len(versions) >= maxFormerVersions {
		oldest := e.Version
		for version, at := range versions {
			if oldest == e.Version || at.Before(versions[oldest]) {
				oldest = version
			}
		}
		delete(versions, oldest)
	}
	versions[e.Version] = clock.Now()
}
