package cache

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
)

// Kept knows which parts the stores hold, from their events. The zero value is
// not usable; see NewKept.
//
// Lock order: keptMu is taken alone.
type Kept struct {
	watcher Watcher
	log     *event.Log

	keptMu  sync.Mutex
	shelves map[string]*shelf // by address; guarded by keptMu
}

// NewKept returns a view of stores that are named by Set.
func NewKept(watcher Watcher, log *event.Log) *Kept {
	return &Kept{watcher: watcher, log: log, shelves: map[string]*shelf{}}
}

// Set follows the given stores, and no others.
func (k *Kept) Set(ctx context.Context, stores []StoreInfo) {
	k.keptMu.Lock()
	defer k.keptMu.Unlock()
	wanted := map[string]bool{}
	for _, s := range stores {
		wanted[s.Address] = true
		if old := k.shelves[s.Address]; old != nil {
			old.info = s
			continue
		}
		own, cancel := context.WithCancel(ctx)
		sh := &shelf{info: s, stop: cancel, news: make(chan struct{})}
		sh.empty()
		k.shelves[s.Address] = sh
		go shelfFollower{k, s.Address}.run(own)
	}
	for address, sh := range k.shelves {
		if !wanted[address] {
			sh.stop()
			delete(k.shelves, address)
		}
	}
}

// copyLimit bounds a transfer from a store; the engine throws away one that
// takes longer, so that a part may be freed that long after its last use was
// decided.
const copyLimit = 1200 * time.Millisecond

// fullShare is the fill above which nothing more is sent to a store.
const fullShare = 0.985

// CopyLimit returns how long a transfer that is decided now may take.
func CopyLimit() time.Duration { return copyLimit }

// Told returns what a store told after a point, for a peer that does not ask
// the store itself, or everything where all is set. It fails where this daemon
// does not know the store's state.
func (k *Kept) Told(address string, since int64, all bool, now clock.Time) (PartEvents, bool) {
	k.keptMu.Lock()
	defer k.keptMu.Unlock()
	sh := k.shelves[address]
	if sh == nil || !sh.fresh(now) {
		return PartEvents{}, false
	}
	return sh.told(since, all, now), true
}

// News returns a channel that is closed when a store is heard again or lost; nil where
// it is not followed.
func (k *Kept) News(address string) <-chan struct{} {
	k.keptMu.Lock()
	defer k.keptMu.Unlock()
	if sh := k.shelves[address]; sh != nil {
		return sh.news
	}
	return nil
}

// Age returns how old what is known of a store is.
func (k *Kept) Age(address string, now clock.Time) time.Duration {
	k.keptMu.Lock()
	defer k.keptMu.Unlock()
	if sh := k.shelves[address]; sh != nil {
		return now.Sub(sh.heard)
	}
	return now.Sub(clock.Time{})
}

// Watchers returns how many daemons may follow a store at a time; 0 where that is not
// stated.
func (k *Kept) Watchers(address string) int {
	k.keptMu.Lock()
	defer k.keptMu.Unlock()
	if sh := k.shelves[address]; sh != nil {
		return sh.info.Watchers
	}
	return 0
}

// Place is a store that holds a part.
type Place struct {
	Address string
	// Tokens is how many are kept.
	Tokens int
	// Until is the time on the targets' clock after which a transfer must be
	// thrown away.
	Until time.Duration

	info *StoreInfo
}

// Time returns how long the transfer to a domain takes as the store's link is
// configured.
func (p Place) Time(domain string) time.Duration { return p.info.transfer(p.Tokens, domain) }

// Find returns the stores that hold a part.
func (k *Kept) Find(name PartName, now clock.Time) []Place {
	k.keptMu.Lock()
	defer k.keptMu.Unlock()
	var out []Place
	for _, sh := range k.shelves {
		tokens := sh.parts[name]
		if tokens == 0 || !sh.fresh(now) {
			continue
		}
		info := sh.info
		out = append(out, Place{Address: info.Address, Tokens: tokens, Until: sh.clock + now.Sub(sh.heard) + copyLimit, info: &info})
	}
	return out
}

// Room returns the store where a part that no store holds is to be kept, in a failure
// domain that allowed reports to be one for it, or "". Daemons that know the same choose
// the same.
func (k *Kept) Room(name PartName, tokens int, allowed func(domain string) bool, now clock.Time) string {
	k.keptMu.Lock()
	defer k.keptMu.Unlock()
	best, high := "", 0.0
	for address, sh := range k.shelves {
		if sh.parts[name] > 0 {
			return ""
		}
		if !allowed(sh.info.Domain) || !sh.fresh(now) || float64(sh.used+tokens) > fullShare*float64(sh.info.Room) {
			continue
		}
		score := sh.score(name)
		if score > high {
			best, high = address, score
		}
	}
	return best
}

// Outdated returns the parts of a store whose salt keep refuses, at most most
// of them, and the epoch that they were seen in. It asks keep once for each salt: asked
// for each of 13,000 parts four times a second it took more of a daemon's processor than
// its heartbeats.
func (k *Kept) Outdated(address string, most int, keep func(salt string) bool) ([]PartName, int64) {
	k.keptMu.Lock()
	defer k.keptMu.Unlock()
	sh := k.shelves[address]
	if sh == nil || !sh.known {
		return nil, 0
	}
	gone := map[string]bool{}
	for salt := range sh.salts {
		if !keep(salt) {
			gone[salt] = true
		}
	}
	if len(gone) == 0 {
		return nil, 0
	}
	var out []PartName
	for name := range sh.parts {
		if gone[name.Salt] {
			out = append(out, name)
		}
		if len(out) == most {
			break
		}
	}
	slices.SortFunc(out, func(a, b PartName) int { return strings.Compare(a.Salt+a.ID, b.Salt+b.ID) })
	return out, sh.epoch
}

// Free frees parts of a store that were seen in an epoch.
func (k *Kept) Free(ctx context.Context, address string, epoch int64, parts []PartName) error {
	if err := k.watcher.Free(ctx, address, epoch, parts); err != nil {
		return errors.Wrap(err, address)
	}
	k.keptMu.Lock()
	defer k.keptMu.Unlock()
	sh := k.shelves[address]
	if sh == nil || sh.epoch != epoch {
		return nil
	}
	for _, name := range parts {
		sh.set(name, 0)
	}
	k.log.Emit(event.StoreReclaimed, event.Ref{Target: address}, strconv.Itoa(len(parts))+" parts of other weights")
	return nil
}

// Stores returns the addresses that are followed.
func (k *Kept) Stores() []string {
	k.keptMu.Lock()
	defer k.keptMu.Unlock()
	var out []string
	for address := range k.shelves {
		out = append(out, address)
	}
	slices.Sort(out)
	return out
}

// Tokens returns how many tokens all stores hold.
func (k *Kept) Tokens() int {
	k.keptMu.Lock()
	defer k.keptMu.Unlock()
	n := 0
	for _, sh := range k.shelves {
		n += sh.used
	}
	return n
}
