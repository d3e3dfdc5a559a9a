package cache

import (
	"context"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"embertally.dev/core/clock"
)

// shelf is one store. All of it is guarded by Kept.keptMu.
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
	// salts counts the parts of each salt: there are few.
	salts map[string]int
	// heard is when the store last told its clock, to this daemon or to one that told
	// it on, and clock what it said.
	heard clock.Time
	clock time.Duration
	// news is closed and replaced when the store was heard or lost.
	news chan struct{}
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

// heardLimit is the age up to which what a store said is acted on.
const heardLimit = 2500 * time.Millisecond

// fresh reports whether what is known of the store may be acted on.
func (sh *shelf) fresh(now clock.Time) bool {
	return sh.known && !sh.down && now.Sub(sh.heard) < heardLimit
}

// take applies changes to what the store is known to hold.
func (sh *shelf) take(ev PartEvents) {
	for _, c := range ev.Changes {
		sh.set(c.PartName, c.Tokens)
	}
	sh.down = false
	if ev.Clock > 0 {
		sh.heard, sh.clock = clock.Now().Add(-ev.Age), ev.Clock-ev.Age
	}
	sh.wake()
}

// set records how many tokens of a part are kept.
func (sh *shelf) set(name PartName, tokens int) {
	was := sh.parts[name]
	sh.used += tokens - was
	switch {
	case tokens > 0:
		sh.parts[name] = tokens
		if was == 0 {
			sh.salts[name.Salt]++
		}
	case was > 0:
		delete(sh.parts, name)
		if sh.salts[name.Salt]--; sh.salts[name.Salt] == 0 {
			delete(sh.salts, name.Salt)
		}
	}
}

// empty forgets all parts.
func (sh *shelf) empty() { sh.parts, sh.salts, sh.used = map[PartName]int{}, map[string]int{}, 0 }

// wake ends the waits for news.
func (sh *shelf) wake() {
	close(sh.news)
	sh.news = make(chan struct{})
}

// remember keeps changes for peers, the latest batchMost answers of them.
func (sh *shelf) remember(ev PartEvents) {
	if len(ev.Changes) > 0 {
		sh.history = append(sh.history, keptBatch{ev.Next, ev.Changes})
	}
	if len(sh.history) > batchMost {
		sh.base = sh.history[0].next
		sh.history = sh.history[1:]
	}
}

// told returns what the store told after a point, or everything where all is
// set.
func (sh *shelf) told(since int64, all bool, now clock.Time) PartEvents {
	age := now.Sub(sh.heard)
	out := PartEvents{Epoch: sh.epoch, Next: sh.next, Clock: sh.clock + age, Age: age}
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
	return out
}

// score ranks the store for a part: a weighted draw by hashing, in which larger
// stores take more.
func (sh *shelf) score(name PartName) float64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(name.Salt)
	d.WriteString(name.ID)
	d.WriteString(sh.info.Address)
	draw := float64(d.Sum64()%weightSteps+1) / (weightSteps + 1)
	return -float64(sh.info.Room) / math.Log(draw)
}

// weightSteps is the resolution of the draw.
const weightSteps = 1 << 20
