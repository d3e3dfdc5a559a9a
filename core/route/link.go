package route

import (
	"cmp"
	"slices"
)

// Transfer is a request to use a store's link.
type Transfer struct {
	ID           uint64
	Organisation string
	Bytes        int64
	// CallerWaits reports that a caller waits for the transfer. It is set for imports and
	// not for exports.
	CallerWaits bool
}

// Link schedules the transfers over one store's link. Imports come before exports;
// within each class the organisation with the least recent use comes first. The zero
// value is an idle link.
type Link struct {
	queued []Transfer
	active []Transfer
	// used holds the decayed number of bytes that each organisation transferred.
	used []organisationUse
}

// organisationUse is the recorded use of one organisation.
type organisationUse struct {
	organisation string
	bytes        float64
}

const (
	// maxActiveImports bounds the concurrent imports.
	maxActiveImports = 4
	// maxActiveExports bounds the concurrent exports.
	maxActiveExports = 1
	// maxImportsAtExport bounds the imports that may run when an export starts. With
	// 0, exports would wait until the worker has evicted the blocks.
	maxImportsAtExport = 1
	// maxQueued bounds the transfers that are queued for one link.
	maxQueued = 1024
	// maxOrganisations bounds the organisations whose use is recorded.
	maxOrganisations = 256
	// usageDecay is the factor by which recorded use decays at each transfer.
	usageDecay = 0.98
)

// Enqueue enqueues a transfer. It returns false if the queue is full.
func (l *Link) Enqueue(t Transfer) bool {
	if len(l.queued) >= maxQueued {
		return false
	}
	l.queued = append(l.queued, t)
	return true
}

// Next starts the transfer that is first in turn and may start now, and returns it.
func (l *Link) Next() (Transfer, bool) {
	best := -1
	for i, t := range l.queued {
		if l.allows(t) && (best < 0 || l.before(t, l.queued[best])) {
			best = i
		}
	}
	if best < 0 {
		return Transfer{}, false
	}
	t := l.queued[best]
	l.queued = slices.Delete(l.queued, best, best+1)
	l.active = append(l.active, t)
	l.charge(t)
	return t, true
}

// allows reports whether a transfer may start beside the active ones.
func (l *Link) allows(t Transfer) bool {
	imports, exports := 0, 0
	for _, a := range l.active {
		if a.CallerWaits {
			imports++
		} else {
			exports++
		}
	}
	if t.CallerWaits {
		return imports < maxActiveImports
	}
	return imports <= maxImportsAtExport && exports < maxActiveExports && !l.importQueued()
}

// importQueued reports whether an import is queued.
func (l *Link) importQueued() bool {
	return slices.ContainsFunc(l.queued, func(t Transfer) bool { return t.CallerWaits })
}

// before reports whether a starts before b.
func (l *Link) before(a, b Transfer) bool {
	if a.CallerWaits != b.CallerWaits {
		return a.CallerWaits
	}
	usedA, usedB := l.usedBytes(a.Organisation), l.usedBytes(b.Organisation)
	if usedA != usedB {
		return usedA < usedB
	}
	return a.ID < b.ID
}

// usedBytes returns the decayed number of bytes that an organisation transferred.
func (l *Link) usedBytes(organisation string) float64 {
	for _, u := range l.used {
		if u.organisation == organisation {
			return u.bytes
		}
	}
	return 0
}

// charge adds a transfer to its organisation's use and decays that of all.
func (l *Link) charge(t Transfer) {
	found := false
	for i := range l.used {
		l.used[i].bytes *= usageDecay
		if l.used[i].organisation == t.Organisation {
			l.used[i].bytes += float64(t.Bytes)
			found = true
		}
	}
	if !found {
		l.used = append(l.used, organisationUse{t.Organisation, float64(t.Bytes)})
	}
	if len(l.used) > maxOrganisations {
		least := slices.MinFunc(l.used, func(a, b organisationUse) int { return cmp.Compare(a.bytes, b.bytes) })
		l.used = slices.DeleteFunc(l.used, func(u organisationUse) bool { return u == least })
	}
}

// Remove removes a transfer, whether it is active or queued.
func (l *Link) Remove(id uint64) {
	isTransfer := func(t Transfer) bool { return t.ID == id }
	l.active = slices.DeleteFunc(l.active, isTransfer)
	l.queued = slices.DeleteFunc(l.queued, isTransfer)
}

// Backlog returns the total size in bytes of the active and queued imports.
func (l *Link) Backlog() int64 {
	var n int64
	for _, list := range [][]Transfer{l.active, l.queued} {
		for _, t := range list {
			if t.CallerWaits {
				n += t.Bytes
			}
		}
	}
	return n
}
