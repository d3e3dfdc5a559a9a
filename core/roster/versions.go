package roster

import (
	"slices"
	"time"

	"embertally.dev/core/clock"
)

// versionRecord is what is known of one version of a service's targets.
type versionRecord struct {
	// since is from when on a daemon has had a target of the version on its list, but for absences up to
	// MaxVersionAbsence. The list had it before.
	since clock.Time
	// unlistedAt is when a target of the version was last taken off a list or changed its version; zero if none was.
	unlistedAt clock.Time
	// listed is whether this daemon's own list has a target of the version. listedAsOf is as of when the last such list was
	// current before the present absence, lackedAt as of when the last list was that had none; zero if there was none.
	listed               bool
	listedAsOf, lackedAt clock.Time
	// settled is set by SettleVersion.
	settled bool
}

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
	for version, record := range r.versions[service] {
		if record.recent(now, within) {
			add(version)
		}
	}
	return out
}

// recent reports whether a target of the version was taken off a list within a time.
func (v *versionRecord) recent(now clock.Time, within time.Duration) bool {
	return !v.unlistedAt.IsZero() && now.Sub(v.unlistedAt) <= within
}

// VersionAge returns for how long this daemon, or a peer that has reported it, has had targets of a version on its
// list; 0 if none has.
func (r *Roster) VersionAge(service, version string) time.Duration {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	record := r.versions[service][version]
	if record == nil {
		return 0
	}
	return clock.Since(record.since)
}

// serviceVersion identifies a version of a service's targets.
type serviceVersion struct{ service, version string }

// SettleVersion records that a version has been the only one of its service, so that whoever knows a later one knows it
// as well.
func (r *Roster) SettleVersion(service, version string) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	if record := r.versions[service][version]; record != nil {
		record.settled = true
	}
}

// VersionSettled reports whether SettleVersion was called for a version since its targets were last away for longer than
// MaxVersionAbsence.
func (r *Roster) VersionSettled(service, version string) bool {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	record := r.versions[service][version]
	return record != nil && record.settled
}

// ListedVersions returns the versions that are listed, by service.
func (r *Roster) ListedVersions() map[string][]string {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	out := map[string][]string{}
	for key := range r.listedVersions() {
		out[key.service] = append(out[key.service], key.version)
	}
	return out
}

// listedVersions returns the versions of all services that are listed. It is called with rosterMu held.
func (r *Roster) listedVersions() map[serviceVersion]bool {
	out := map[serviceVersion]bool{}
	for _, t := range r.targets {
		e := t.Entry()
		out[serviceVersion{e.Service, e.Version}] = true
	}
	return out
}

// maxVersionRecords bounds the versions of a service that are remembered besides those of listed targets. The one that
// was listed longest ago gives way.
const maxVersionRecords = 64

// versionRecord returns the record of a version, and creates it if needed. It is called with rosterMu held.
func (r *Roster) versionRecord(service, version string, now clock.Time) *versionRecord {
	if r.versions == nil {
		r.versions = map[string]map[string]*versionRecord{}
	}
	records := r.versions[service]
	if records == nil {
		records = map[string]*versionRecord{}
		r.versions[service] = records
	}
	record := records[version]
	if record == nil {
		if len(records) >= maxVersionRecords {
			r.dropOldestVersion(service)
		}
		record = &versionRecord{since: now}
		records[version] = record
	}
	return record
}

// dropOldestVersion drops the record of the version that was taken off a list longest ago, if there is one. It is
// called with rosterMu held.
func (r *Roster) dropOldestVersion(service string) {
	oldest, found := "", false
	records := r.versions[service]
	for version, record := range records {
		if !record.listed && !record.unlistedAt.IsZero() && (!found || record.unlistedAt.Before(records[oldest].unlistedAt)) {
			oldest, found = version, true
		}
	}
	if found {
		delete(records, oldest)
	}
}

// listAsOf returns as of when the list was current before the change that is being recorded; zero before the first list.
func (r *Roster) listAsOf() clock.Time {
	if r.ListAsOf == nil {
		return clock.Time{}
	}
	return r.ListAsOf()
}

// recordVersionListed records that a target of a version is listed. It is called with rosterMu held.
func (r *Roster) recordVersionListed(service, version string) {
	now := clock.Now()
	record := r.versionRecord(service, version, now)
	if record.listed {
		return
	}
	record.listed = true
	if !record.listedAsOf.IsZero() && now.Sub(record.listedAsOf) <= r.MaxVersionAbsence {
		return
	}
	// Other daemons may have forgotten it, if they knew it. Only this daemon's own list tells for how long it was away: what a
	// peer says of it may have been under way for any time.
	record.lackedAt = r.listAsOf()
	if !record.listedAsOf.IsZero() || record.since.Before(record.lackedAt) {
		record.since, record.settled = now, false
	}
}

// recordVersionUnlisted records that a target with an entry is no longer listed. It is called with rosterMu held, once
// that is so.
func (r *Roster) recordVersionUnlisted(e *Entry) {
	now := clock.Now()
	record := r.versionRecord(e.Service, e.Version, now)
	record.unlistedAt = now
	for _, t := range r.targets {
		if other := t.Entry(); other.Service == e.Service && other.Version == e.Version {
			return
		}
	}
	record.listed, record.listedAsOf = false, r.listAsOf()
	if record.listedAsOf.IsZero() {
		record.listedAsOf = now
	}
}

// recordVersionIgnored records that the list has an entry that this daemon does not use, though others may. It is called
// with rosterMu held.
func (r *Roster) recordVersionIgnored(e *Entry) {
	now := clock.Now()
	r.versionRecord(e.Service, e.Version, now).unlistedAt = now
}

// RenewVersions records that each version may have been away for longer than MaxVersionAbsence without being seen.
func (r *Roster) RenewVersions() {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	now := clock.Now()
	for _, records := range r.versions {
		for _, record := range records {
			record.since, record.lackedAt, record.settled = now, now, false
		}
	}
}

// ForgetHeardVersions records that what peers have told may lack versions that this daemon has not seen.
func (r *Roster) ForgetHeardVersions() {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	r.versionPeers = nil
}

// versionMemory returns for how long a version is remembered after its targets have gone.
func (r *Roster) versionMemory() time.Duration {
	if r.VersionMemory == nil {
		return 0
	}
	return r.VersionMemory()
}

// versionAge is a version in a heartbeat.
type versionAge struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Service  string
	Version  string
	// ListedMillis is how long ago the sender first knew a target of the version, and UnlistedMillis how long ago the
	// last one was taken off its list; -1 if it still lists one.
	ListedMillis, UnlistedMillis int64
}

// versionAges returns the versions that are listed or were so within memory. It is called with rosterMu held.
func (r *Roster) versionAges(memory time.Duration) []versionAge {
	listed, now := r.listedVersions(), clock.Now()
	var out []versionAge
	for service, records := range r.versions {
		for version, record := range records {
			age := versionAge{Service: service, Version: version, ListedMillis: now.Sub(record.since).Milliseconds(), UnlistedMillis: -1}
			switch {
			case listed[serviceVersion{service, version}]:
			case record.recent(now, memory):
				age.UnlistedMillis = now.Sub(record.unlistedAt).Milliseconds()
			default:
				continue
			}
			out = append(out, age)
		}
	}
	return out
}

// HeardVersions reports whether a peer has told this daemon which versions it knows.
func (r *Roster) HeardVersions(peer string) bool {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	return r.versionPeers[peer]
}

// maxVersionAgeMillis bounds the ages that peers report.
const maxVersionAgeMillis = 3600 * 1000

// mergeVersionAges records all versions that a peer knows. Those that it still lists count as taken off a list now, since this
// daemon may not list them. It is called with rosterMu held.
func (r *Roster) mergeVersionAges(peer string, ages []versionAge) {
	if r.versionPeers == nil {
		r.versionPeers = map[string]bool{}
	}
	r.versionPeers[peer] = true
	now := clock.Now()
	ago := func(millis int64) clock.Time {
		return now.Add(-time.Duration(min(max(0, millis), maxVersionAgeMillis)) * time.Millisecond)
	}
	for _, age := range ages {
		record := r.versionRecord(age.Service, age.Version, now)
		// What is older than a list without the version is about a former time.
		if since := ago(age.ListedMillis); since.Before(record.since) && !since.Before(record.lackedAt) {
			record.since = since
		}
		unlistedAt := now
		if age.UnlistedMillis >= 0 {
			unlistedAt = ago(age.UnlistedMillis)
		}
		if record.unlistedAt.Before(unlistedAt) {
			record.unlistedAt = unlistedAt
		}
	}
}
