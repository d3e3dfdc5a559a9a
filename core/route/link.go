package route

import (
	"cmp"
	"slices"
)

// Transfer is one wish to use a store's link.
type Transfer struct {
	ID           uint64
	Organisation string
	Bytes        int64
	// Waiting tells that a caller waits for it; exports have no waiter.
	Waiting bool
}

// Link shares the time of one store's link. Transfers that callers wait for
// come first; within a class the organisation that used the least lately comes
// first. The zero value is an idle link.
type Link struct {
	waiting []Transfer
	active  []Transfer
	// used is each organisation's share of the bytes moved lately.
	used []usage
}

type usage struct {
	organisation string
	bytes        float64
}

const (
	// activeImports bounds the transfers for waiting callers at once.
	activeImports = 4
	// activeExports bounds the exports at once.
	activeExports = 1
	// importsBesideExport is how many imports may run where an export begins:
	// with none allowed, exports wait until the blocks have been pushed out.
	importsBesideExport = 1
	// maxWaiting bounds the transfers that wait for one link.
	maxWaiting = 1024
	// maxUsers bounds the organisations whose use is remembered.
	maxUsers = 256
	// fade is what stays of an organisation's use at each transfer.
	fade = 0.98
)

// Ask adds a wish; it returns false if too many wait.
func (l *Link) Ask(t Transfer) bool {
	if len(l.waiting) >= maxWaiting {
		return false
	}
	l.waiting = append(l.waiting, t)
	return true
}

// Next returns the transfer that may begin now, if one may.
func (l *Link) Next() (Transfer, bool) {
	best := -1
	for i, t := range l.waiting {
		if l.allows(t) && (best < 0 || l.before(t, l.waiting[best])) {
			best = i
		}
	}
	if best < 0 {
		return Transfer{}, false
	}
	t := l.waiting[best]
	l.waiting = slices.Delete(l.waiting, best, best+1)
	l.active = append(l.active, t)
	l.charge(t)
	return t, true
}

func (l *Link) allows(t Transfer) bool {
	imports, exports := 0, 0
	for _, a := range l.active {
		if a.Waiting {
			imports++
		} else {
			exports++
		}
	}
	if t.Waiting {
		return imports < activeImports
	}
	return imports <= importsBesideExport && exports < activeExports && !l.callerWaits()
}

func (l *Link) callerWaits() bool {
	return slices.ContainsFunc(l.waiting, func(t Transfer) bool { return t.Waiting })
}

func (l *Link) before(a, b Transfer) bool {
	if a.Waiting != b.Waiting {
		return a.Waiting
	}
	ua, ub := l.use(a.Organisation), l.use(b.Organisation)
	if ua != ub {
		return ua < ub
	}
	return a.ID < b.ID
}

func (l *Link) use(organisation string) float64 {
	for _, u := range l.used {
		if u.organisation == organisation {
			return u.bytes
		}
	}
	return 0
}

func (l *Link) charge(t Transfer) {
	found := false
	for i := range l.used {
		l.used[i].bytes *= fade
		if l.used[i].organisation == t.Organisation {
			l.used[i].bytes += float64(t.Bytes)
			found = true
		}
	}
	if !found {
		l.used = append(l.used, usage{t.Organisation, float64(t.Bytes)})
	}
	if len(l.used) > maxUsers {
		least := slices.MinFunc(l.used, func(a, b usage) int { return cmp.Compare(a.bytes, b.bytes) })
		l.used = slices.DeleteFunc(l.used, func(u usage) bool { return u == least })
	}
}

// Done ends a transfer, whether it began or still waits.
func (l *Link) Done(id uint64) {
	same := func(t Transfer) bool { return t.ID == id }
	l.active = slices.DeleteFunc(l.active, same)
	l.waiting = slices.DeleteFunc(l.waiting, same)
}

// Backlog returns the bytes that waiting callers' transfers have before them.
func (l *Link) Backlog() int64 {
	var n int64
	for _, list := range [][]Transfer{l.active, l.waiting} {
		for _, t := range list {
			if t.Waiting {
				n += t.Bytes
			}
		}
	}
	return n
}
