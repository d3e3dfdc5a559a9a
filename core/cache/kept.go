package cache

import (
	"context"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"embertally.dev/core/event"
	"embertally.dev/core/wait"
)

// Part is one part of a prompt, in the order of the prompt. Parts that stand
// first may be shared among requests.
type Part struct {
	ID     string
	Tokens int
}

// PartSalt is the name under which parts are kept. Parts of other weights, and
// those of an isolated organisation, have another one.
type PartSalt struct {
	Model   string
	Version int64
	// Wall is the isolated organisation, or "".
	Wall string
}

// String returns the salt as engines and stores get it.
func (s PartSalt) String() string {
	return "v" + strconv.FormatInt(s.Version, 10) + "/" + s.Model + "/" + s.Wall
}

// SaltVersion returns the weight version and model of a salt that String wrote.
func SaltVersion(salt string) (model string, version int64, ok bool) {
	head, rest, found := strings.Cut(salt, "/")
	if !found || !strings.HasPrefix(head, "v") {
		return "", 0, false
	}
	version, err := strconv.ParseInt(head[1:], 10, 64)
	model, _, found = strings.Cut(rest, "/")
	return model, version, err == nil && found
}

// PartName names one kept part.
type PartName struct{ Salt, ID string }

// PartChange is one change of what a store holds.
type PartChange struct {
	PartName
	// Tokens is how many are kept now; 0 where the part went.
	Tokens int
}

// PartEvents is what a store tells of its changes.
type PartEvents struct {
	// Epoch changes when the store starts anew.
	Epoch int64
	// Next is where the next question goes on.
	Next int64
	// Gap tells that changes before Changes are lost.
	Gap     bool
	Changes []PartChange
	// Clock is the targets' clock when the store answered.
	Clock time.Duration
}

// Watcher asks stores what they hold.
type Watcher interface {
	// Events returns the changes since a point, waiting for the first.
	Events(ctx context.Context, address string, since int64, wait time.Duration) (PartEvents, error)
	// Contents returns everything that is held.
	Contents(ctx context.Context, address string) (PartEvents, error)
	// Free frees parts of a store in an epoch.
	Free(ctx context.Context, address string, epoch int64, parts []PartName) error
}

// StoreInfo is what is configured of a store.
type StoreInfo struct {
	Address string
	Domain  string
	// Room is how many tokens fit.
	Room int
	// TokenTime is how long one token takes over the store's link.
	TokenTime time.Duration
	// First is the wait before the first byte of a transfer.
	First time.Duration
}

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

// shelf is one store.
type shelf struct {
	info StoreInfo
	stop context.CancelFunc
	// known tells that parts is what the store holds in epoch, as far as its
	// events came.
	known bool
	epoch int64
	next  int64
	parts map[PartName]int
	used  int
	// heard is when the store last answered, and clock what its clock said.
	heard time.Time
	clock time.Duration
	// down tells that it did not answer lately.
	down bool
	// history holds the latest changes for peers, and base is where it begins.
	history []keptBatch
	base    int64
}

// keptBatch is what one answer of a store told.
type keptBatch struct {
	next    int64
	changes []PartChange
}

// batchMost bounds the answers kept for peers.
const batchMost = 256

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
		sh := &shelf{info: s, stop: cancel, parts: map[PartName]int{}}
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

// Times of following stores.
const (
	// eventWait is how long a store may hold a question for changes. The
	// platform prices questions that wait less than 200 ms.
	eventWait = time.Second
	firstWait = 200 * time.Millisecond
	// answerLimit is left for the answer beside.
	answerLimit = time.Second
	// downPause spaces the questions to a store that does not answer.
	downPause = 400 * time.Millisecond
	// settlePause gathers changes that come one by one.
	settlePause = 100 * time.Millisecond
	// heardLimit is the age up to which what a store said is acted on.
	heardLimit = 2500 * time.Millisecond
	// copyLimit bounds a transfer from a store; the engine throws away one that
	// takes longer, so that a part may be freed that long after its last use
	// was decided.
	copyLimit = 1200 * time.Millisecond
	// fullShare is the fill above which nothing more is sent to a store.
	fullShare = 0.985
)

// CopyLimit returns how long a transfer that is decided now may take.
func CopyLimit() time.Duration { return copyLimit }

// shelfFollower follows one store.
type shelfFollower struct {
	k       *Kept
	address string
}

func (f shelfFollower) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			wait.For(ctx, settlePause)
			continue
		}
		f.k.failed(f.address, err)
		wait.For(ctx, downPause)
	}
}

func (f shelfFollower) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, eventWait+answerLimit)
	defer cancel()
	since, known := f.k.at(f.address)
	if !known {
		all, err := f.k.watcher.Contents(ctx, f.address)
		if err != nil {
			return err
		}
		f.k.fill(f.address, all)
		return nil
	}
	wait := eventWait
	if f.k.unheard(f.address) {
		// The list does not tell the targets' clock, which copies need.
		wait = firstWait
	}
	ev, err := f.k.watcher.Events(ctx, f.address, since, wait)
	if err != nil {
		return err
	}
	f.k.apply(f.address, ev)
	return nil
}

func (k *Kept) at(address string) (int64, bool) {
	k.keptMu.Lock()
	defer k.keptMu.Unlock()
	sh := k.shelves[address]
	if sh == nil {
		return 0, false
	}
	return sh.next, sh.known
}

// unheard reports whether a store has not told its clock yet.
func (k *Kept) unheard(address string) bool {
	k.keptMu.Lock()
	defer k.keptMu.Unlock()
	sh := k.shelves[address]
	return sh != nil && sh.heard.IsZero()
}

// fill takes everything that a store holds.
func (k *Kept) fill(address string, all PartEvents) {
	k.keptMu.Lock()
	defer k.keptMu.Unlock()
	sh := k.shelves[address]
	if sh == nil {
		return
	}
	sh.parts, sh.used = map[PartName]int{}, 0
	sh.epoch, sh.next, sh.known = all.Epoch, all.Next, true
	sh.history, sh.base = nil, all.Next
	sh.take(all)
	k.log.Emit(event.CacheResynced, event.Ref{Target: address}, strconv.Itoa(len(sh.parts))+" parts")
}

// apply takes changes of a store.
func (k *Kept) apply(address string, ev PartEvents) {
	k.keptMu.Lock()
	defer k.keptMu.Unlock()
	sh := k.shelves[address]
	if sh == nil {
		return
	}
	if ev.Epoch != sh.epoch || ev.Gap {
		sh.known = false
		sh.parts, sh.used = map[PartName]int{}, 0
		k.log.Emit(event.CacheGap, event.Ref{Target: address}, "epoch "+strconv.FormatInt(ev.Epoch, 10))
		return
	}
	sh.next = ev.Next
	if len(ev.Changes) > 0 {
		sh.history = append(sh.history, keptBatch{ev.Next, ev.Changes})
	}
	if len(sh.history) > batchMost {
		sh.base = sh.history[0].next
		sh.history = sh.history[1:]
	}
	sh.take(ev)
}

// Told returns what a store told after a point, for a peer that does not ask
// the store itself, or everything where all is set. It fails where this daemon
// does not know the store's state.
func (k *Kept) Told(address string, since int64, all bool, now time.Time) (PartEvents, bool) {
	k.keptMu.Lock()
	defer k.keptMu.Unlock()
	sh := k.shelves[address]
	if sh == nil || !sh.fresh(now) {
		return PartEvents{}, false
	}
	out := PartEvents{Epoch: sh.epoch, Next: sh.next, Clock: sh.clock + now.Sub(sh.heard)}
	switch {
	case all:
		for name, tokens := range sh.parts {
			out.Changes = append(out.Changes, PartChange{name, tokens})
		}
	case since < sh.base:
		out.Gap = true
	default:
		for _, b := range sh.history {
			if b.next > since {
				out.Changes = append(out.Changes, b.changes...)
			}
		}
	}
	return out, true
}

func (sh *shelf) take(ev PartEvents) {
	for _, c := range ev.Changes {
		sh.used += c.Tokens - sh.parts[c.PartName]
		if c.Tokens > 0 {
			sh.parts[c.PartName] = c.Tokens
		} else {
			delete(sh.parts, c.PartName)
		}
	}
	sh.down = false
	if ev.Clock > 0 {
		sh.heard, sh.clock = time.Now(), ev.Clock
	}
}

func (k *Kept) failed(address string, err error) {
	k.keptMu.Lock()
	defer k.keptMu.Unlock()
	sh := k.shelves[address]
	if sh == nil {
		return
	}
	if !sh.down {
		k.log.Emit(event.TargetSuspect, event.Ref{Target: address}, "store: "+err.Error())
	}
	sh.down = true
}

// Place says where a part is, or where it shall be kept.
type Place struct {
	Address string
	// Tokens is how many are kept.
	Tokens int
	// Until is the time on the targets' clock after which a transfer must be
	// thrown away.
	Until time.Duration
	// Time is the expected time of the transfer.
	Time time.Duration
}

// Find returns the store that holds a part, nearest first.
func (k *Kept) Find(name PartName, domain string, now time.Time) (Place, bool) {
	k.keptMu.Lock()
	defer k.keptMu.Unlock()
	var best Place
	for _, sh := range k.shelves {
		tokens := sh.parts[name]
		if tokens == 0 || !sh.fresh(now) {
			continue
		}
		p := Place{
			Address: sh.info.Address, Tokens: tokens, Until: sh.clock + now.Sub(sh.heard) + copyLimit,
			Time: sh.transfer(tokens, domain),
		}
		if best.Tokens == 0 || p.Time < best.Time {
			best = p
		}
	}
	return best, best.Tokens > 0
}

// transfer returns how long tokens take to a worker in a domain; links between
// domains carry half.
func (sh *shelf) transfer(tokens int, domain string) time.Duration {
	d := time.Duration(tokens) * sh.info.TokenTime
	if domain != "" && domain != sh.info.Domain {
		d *= 2
	}
	return d + sh.info.First
}

func (sh *shelf) fresh(now time.Time) bool {
	return sh.known && !sh.down && now.Sub(sh.heard) < heardLimit
}

// Room returns the store where a part that no store holds is to be kept, or
// "". Daemons that know the same choose the same.
func (k *Kept) Room(name PartName, tokens int, now time.Time) string {
	k.keptMu.Lock()
	defer k.keptMu.Unlock()
	best, high := "", 0.0
	for address, sh := range k.shelves {
		if sh.parts[name] > 0 {
			return ""
		}
		if !sh.fresh(now) || float64(sh.used+tokens) > fullShare*float64(sh.info.Room) {
			continue
		}
		// A weighted draw by hashing: larger stores take more.
		var d xxhash.Digest
		d.Reset()
		d.WriteString(name.Salt)
		d.WriteString(name.ID)
		d.WriteString(address)
		draw := float64(d.Sum64()%weightSteps+1) / (weightSteps + 1)
		score := -float64(sh.info.Room) / math.Log(draw)
		if score > high {
			best, high = address, score
		}
	}
	return best
}

// weightSteps is the resolution of the draw.
const weightSteps = 1 << 20

// Outdated returns the parts of a store whose salt keep refuses, at most most
// of them, and the epoch that they were seen in.
func (k *Kept) Outdated(address string, most int, keep func(salt string) bool) ([]PartName, int64) {
	k.keptMu.Lock()
	defer k.keptMu.Unlock()
	sh := k.shelves[address]
	if sh == nil || !sh.known {
		return nil, 0
	}
	var out []PartName
	for name := range sh.parts {
		if !keep(name.Salt) {
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
		sh.used -= sh.parts[name]
		delete(sh.parts, name)
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
