package origin

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/plat"
	"embertally.dev/core/wait"
)

// KeyPrefix is the prefix of the records in the coordination store.
const KeyPrefix = "embertally/origins/"

// Copy is this daemon's copy of the coordination store.
type Copy interface {
	// WithPrefix returns the pairs whose keys begin with a prefix, in no order.
	WithPrefix(prefix string) []plat.Pair
	// Down reports whether the store does not answer.
	Down() bool
}

const (
	// saveInterval is the time between two writes of the whole fleet.
	saveInterval = 100 * time.Millisecond
	// saveTimeout bounds one write, and saveRetryDelay is the pause after one that failed.
	saveTimeout    = time.Second
	saveRetryDelay = time.Second
	// saveRankDelay is for how long a daemon leaves a record to each of those that rank before it. maxUnsavedAge is for
	// how long a record is kept for that, and until this daemon knows several versions.
	saveRankDelay = 3 * time.Second
	maxUnsavedAge = 3 * saveRankDelay
	// maxUnsaved bounds the records that are to be written; the oldest are dropped first.
	maxUnsaved = maxHeld
	// pageRecords is how many records one key holds, some 6 KB. maxPages is how many keys are written at once.
	pageRecords = 256
	maxPages    = 8
	// maxPageAge is for how long records are added to a key.
	maxPageAge = 10 * time.Second
	// cleanInterval is the time between checks for keys that are too old, and maxDeletes how many are removed at once.
	cleanInterval = 5 * time.Second
	maxDeletes    = 32
)

// archive keeps the records of this daemon's cell in the coordination store, for daemons that start when no other one is
// left. Each key is a page, which is written again until it is full. What a page says stays true, so that it needs no
// lease: that it is removed after recordTTL only saves space.
type archive struct {
	book  *Book
	fleet *fleet.Fleet
	store plat.Writer
	copy  Copy
	log   *event.Log
	// incarnation makes the keys of this process distinct.
	incarnation string
	// wake has an element when there are unsaved records.
	wake chan struct{}

	// open is the page that records are added to, and pages the number of pages so far. Only run uses them.
	open  page
	pages int
	// ages holds since when each page has been as it is. Only clean uses it.
	ages map[string]pageAge
}

// page is one key of the store with the records that were written there.
type page struct {
	key     string
	records []toldRecord
	// modRevision is that of the last write; 0 before it.
	modRevision int64
	began       clock.Time
}

// pageAge is since when a page has had a revision.
type pageAge struct {
	modRevision int64
	since       clock.Time
}

// run writes records until ctx ends.
func (a *archive) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		}
		for a.book.Unsaved() > 0 && ctx.Err() == nil {
			pause := saveInterval * time.Duration(a.fleet.View().Cells())
			if err := a.save(ctx); err != nil {
				a.log.Emit(event.ConfUnknown, event.Ref{Resource: a.open.key}, err.Error())
				// The write may still be executed.
				a.open = page{}
				pause = saveRetryDelay
			}
			wait.For(ctx, pause)
		}
	}
}

// rank returns this daemon's rank, from 0, among those that write the records of its cell.
func (a *archive) rank() int {
	view := a.fleet.View()
	return fleet.RankOf(fleet.Key(KeyPrefix+view.CellLabel()), view.Eligible(), view.Self())
}

// save writes the records that this daemon is to write by now.
func (a *archive) save(ctx context.Context) error {
	now := clock.Now()
	due := a.book.dueUnsaved(now, time.Duration(a.rank())*saveRankDelay)
	if len(due) == 0 || a.copy.Down() {
		return nil
	}
	if now.Sub(a.open.began) > maxPageAge {
		a.open = page{}
	}
	due = due[:min(len(due), maxPages*pageRecords-len(a.open.records))]
	pages := a.paginate(due, now)
	var txn plat.Txn
	for _, p := range pages {
		value, err := json.Marshal(storedGroups(p.records, time.Now()))
		if err != nil {
			return err
		}
		txn.Compares = append(txn.Compares, plat.Compare{Key: p.key, ModRevision: p.modRevision})
		txn.Puts = append(txn.Puts, plat.Put{Key: p.key, Value: value})
	}
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	outcome, err := a.store.Commit(ctx, txn)
	if err != nil {
		return err
	}
	if !outcome.Succeeded {
		// The page was removed or lost by a restore; its records are written to the next one.
		a.open = page{}
		return nil
	}
	a.open = pages[len(pages)-1]
	a.open.modRevision = outcome.Revision
	a.book.dropUnsaved(due)
	return nil
}

// paginate adds records to the open page and, once that is full, to new ones.
func (a *archive) paginate(list []toldRecord, now clock.Time) []page {
	p := a.open
	p.records = slices.Clip(p.records)
	var out []page
	for i, r := range list {
		if len(p.records) >= pageRecords {
			if i > 0 {
				out = append(out, p)
			}
			p = page{}
		}
		if p.key == "" {
			a.pages++
			p.key, p.began = KeyPrefix+a.fleet.View().Self()+"/"+a.incarnation+"-"+strconv.Itoa(a.pages), now
		}
		p.records = append(p.records, r)
	}
	return append(out, p)
}

// storedRecord is where a stream began according to the coordination store.
type storedRecord struct {
	stream Stream
	// page is the key that holds it, and written when that was last written by its writer's clock; zero if not known.
	page    string
	written time.Time
}

// find returns the record of a key, unless the pages hold none, or several of which none is by a later configuration than the others.
func (a *archive) find(k key) (out storedRecord, found bool) {
	wanted := k.bytes()
	var all []Stream
	for _, pair := range a.copy.WithPrefix(KeyPrefix) {
		stored, err := parsePage(pair.Value)
		if err != nil {
			a.log.Emit(event.ConfUnderived, event.Ref{Resource: pair.Key}, err.Error())
			continue
		}
		for _, g := range stored {
			if !g.contains(wanted) {
				continue
			}
			s := g.stream()
			all = append(all, s)
			if len(all) > 1 && s.Config <= out.stream.Config {
				continue
			}
			out = storedRecord{stream: s, page: pair.Key}
			if g.Written > 0 {
				out.written = time.Unix(g.Written, 0)
			}
		}
	}
	differs := func(s Stream) bool { return !s.sameTarget(out.stream) && !s.precedes(out.stream) }
	if len(all) == 0 || slices.ContainsFunc(all, differs) {
		return storedRecord{}, false
	}
	return out, true
}

// storedGroup is a toldGroup in the coordination store, a page being a list of them.
type storedGroup struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Config  int64  `json:"config,omitempty"`
	// Written is when the page was written, in seconds since 1970 by the writer's clock. Only log lines use it.
	Written int64  `json:"written,omitempty"`
	Keys    []byte `json:"keys"`
}

// stream returns the place that the records of the group name.
func (g storedGroup) stream() Stream {
	return Stream{Service: g.Service, Version: g.Version, Config: g.Config}
}

// storedGroups returns records in the form in which they are stored at a time.
func storedGroups(list []toldRecord, written time.Time) []storedGroup {
	var out []storedGroup
	for _, g := range group(list) {
		out = append(out, storedGroup{
			Service: g.Stream.Service, Version: g.Stream.Version, Config: g.Stream.Config, Written: written.Unix(),
			Keys: g.Keys[:len(g.Keys)-len(g.Keys)%keyBytes],
		})
	}
	return out
}

// parsePage parses the value of a page.
func parsePage(value []byte) ([]storedGroup, error) {
	var out []storedGroup
	if err := json.Unmarshal(value, &out); err != nil {
		return nil, err
	}
	return out, nil
}

// contains reports whether a group has a key.
func (g storedGroup) contains(k []byte) bool {
	for b := g.Keys; len(b) >= keyBytes; b = b[keyBytes:] {
		if bytes.Equal(b[:keyBytes], k) {
			return true
		}
	}
	return false
}

// runClean removes pages that have not changed for longer than a stream may be resumed, until ctx ends.
func (a *archive) runClean(ctx context.Context) {
	wait.Every(ctx, cleanInterval, func() {
		if err := a.clean(ctx); err != nil {
			// The next check tries again.
			a.log.Emit(event.ConfUnknown, event.Ref{Resource: KeyPrefix}, err.Error())
		}
	})
}

// clean removes the old pages that this daemon is to remove.
func (a *archive) clean(ctx context.Context) error {
	now, ages := clock.Now(), map[string]pageAge{}
	view := a.fleet.View()
	var txn plat.Txn
	for _, pair := range a.copy.WithPrefix(KeyPrefix) {
		age, known := a.ages[pair.Key]
		if !known || age.modRevision != pair.ModRevision {
			age = pageAge{pair.ModRevision, now}
		}
		ages[pair.Key] = age
		if now.Sub(age.since) <= recordTTL || len(txn.Deletes) >= maxDeletes {
			continue
		}
		if fleet.RankOf(fleet.Key(pair.Key), view.NotDraining(), view.Self()) == 0 {
			txn.Compares = append(txn.Compares, plat.Compare{Key: pair.Key, ModRevision: pair.ModRevision})
			txn.Deletes = append(txn.Deletes, pair.Key)
		}
	}
	a.ages = ages
	if len(txn.Deletes) == 0 || a.copy.Down() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	_, err := a.store.Commit(ctx, txn)
	return err
}

// Observe takes note of a change of the coordination store: what another daemon has written need not be written again.
func (b *Book) Observe(c plat.Change) {
	if c.Deleted || !strings.HasPrefix(c.Key, KeyPrefix) {
		return
	}
	groups, err := parsePage(c.Value)
	if err != nil {
		// find logs it where it matters.
		return
	}
	var saved []toldRecord
	for _, g := range groups {
		told := toldGroup{Stream: g.stream(), Keys: g.Keys}
		saved = append(saved, told.ungroup(clock.Time{})...)
	}
	b.dropUnsaved(saved)
}

// addUnsaved has records written to the store. It is called with bookMu held.
func (b *Book) addUnsaved(list ...toldRecord) {
	if b.archive == nil || len(list) == 0 {
		return
	}
	b.unsaved = append(b.unsaved, list...)
	b.unsaved = b.unsaved[max(0, len(b.unsaved)-maxUnsaved):]
	select {
	case b.archive.wake <- struct{}{}:
	default:
	}
}

// Unsaved returns the number of records that are not known to be in the coordination store.
func (b *Book) Unsaved() int {
	b.bookMu.Lock()
	defer b.bookMu.Unlock()
	return len(b.unsaved)
}

// dueUnsaved returns the unsaved records that are older than delay and worth a write, and drops those that are too old.
func (b *Book) dueUnsaved(now clock.Time, delay time.Duration) []toldRecord {
	b.bookMu.Lock()
	defer b.bookMu.Unlock()
	b.unsaved = slices.DeleteFunc(b.unsaved, func(r toldRecord) bool { return now.Sub(r.at) > maxUnsavedAge })
	durable := map[string]bool{}
	var out []toldRecord
	for _, r := range b.unsaved {
		service := r.stream.Service
		if _, known := durable[service]; !known {
			// This daemon may hear of a second version only after the one that tells the records.
			durable[service] = b.o.Durable == nil || b.o.Durable(service)
		}
		if durable[service] && now.Sub(r.at) >= delay {
			out = append(out, r)
		}
	}
	return out
}

// dropUnsaved removes records that are in the store.
func (b *Book) dropUnsaved(saved []toldRecord) {
	type content struct {
		key    key
		stream Stream
	}
	b.bookMu.Lock()
	defer b.bookMu.Unlock()
	if len(b.unsaved) == 0 {
		return
	}
	index := make(map[content]bool, len(saved))
	for _, r := range saved {
		index[content{r.key, r.stream}] = true
	}
	b.unsaved = slices.DeleteFunc(b.unsaved, func(r toldRecord) bool { return index[content{r.key, r.stream}] })
}
