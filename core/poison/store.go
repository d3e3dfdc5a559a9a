package poison

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/plat"
	"embertally.dev/core/wait"
)

// KeyBlocks is the prefix under which blocked requests stand in the platform's store. Who
// removes a key there takes the block back.
const KeyBlocks = "embertally/blocked/"

const (
	// storeLook is the pause between looks whether the store holds what it must, and
	// storeWait how long the second keeper leaves it to the first.
	storeLook = time.Second
	storeWait = 3 * time.Second
	// storeLimit bounds one write.
	storeLimit = time.Second
	// storeFresh is the age up to which the copy of the store says whether a key is there.
	storeFresh = 2500 * time.Millisecond
)

// storedBlock is a block as it stands in the store, for operators and for daemons that start.
type storedBlock struct {
	Organisation string `json:"organisation"`
	// Until is its end by the time of day, which may differ by seconds between daemons.
	Until time.Time `json:"until"`
	Stamp int64     `json:"stamp"`
	Times int       `json:"times"`
}

// Observe takes a change of the platform's store; others than of blocks are passed over.
func (g *Guard) Observe(c plat.Change) {
	name, ours := strings.CutPrefix(c.Key, KeyBlocks)
	if !ours {
		return
	}
	f, ok := Parse(name)
	if !ok {
		g.o.Log.Emit(event.ConfUnderived, event.Ref{Resource: c.Key}, "the key names no request")
		return
	}
	if c.Restored {
		// Nobody removed it: its keepers write it again.
		return
	}
	if c.Deleted {
		g.keeper.clear(f)
		g.blocks.release(f, "its key was removed from the platform's store")
		return
	}
	var s storedBlock
	if err := json.Unmarshal(c.Value, &s); err != nil {
		g.o.Log.Emit(event.ConfUnderived, event.Ref{Resource: c.Key}, err.Error())
		return
	}
	b := block{Request: f, Organisation: s.Organisation, Stamp: s.Stamp, Times: min(max(1, s.Times), 16), Left: time.Until(s.Until)}
	if b.Left > 0 {
		g.blocks.merge([]block{b}, "it stands in the platform's store")
	}
}

// Run writes the blocks of which this daemon is a keeper to the platform's store and removes
// those that ended, until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	if g.o.Store == nil {
		return
	}
	wait.Every(ctx, storeLook, func() { g.store(ctx) })
}

// store makes the store hold what it must.
func (g *Guard) store(ctx context.Context) {
	if g.o.Mirror.Down() || clock.Since(g.o.Mirror.Fresh()) > storeFresh {
		return
	}
	list := g.blocks.list()
	view := g.o.Fleet.View()
	for i := range list {
		b := &list[i]
		place := fleet.Place(key(b.Request), view.Listed(), view.Self())
		if place >= keepers {
			continue
		}
		// The last keepers wait for the first, so that the store is written to once.
		if age := b.lasts() - b.Left; age < time.Duration(place)*storeWait {
			continue
		}
		if err := g.storeBlock(ctx, b); err != nil {
			g.o.Log.Emit(event.ConfUnknown, event.Ref{Resource: KeyBlocks + b.Request.String()}, err.Error())
		}
	}
}

// storeBlock writes or removes one block, unless the store holds what it must.
func (g *Guard) storeBlock(ctx context.Context, b *block) error {
	name := KeyBlocks + b.Request.String()
	pair, there := g.o.Mirror.Pair(name)
	txn := plat.Txn{Compares: []plat.Compare{{Key: name, ModRevision: pair.ModRevision}}}
	var s storedBlock
	switch {
	case b.Left <= 0 || b.Released:
		if !there {
			return nil
		}
		txn.Deletes = []string{name}
	case there && json.Unmarshal(pair.Value, &s) == nil && s.Stamp >= b.Stamp:
		return nil
	default:
		raw, err := json.Marshal(storedBlock{b.Organisation, time.Now().Add(b.Left), b.Stamp, b.Times})
		if err != nil {
			return err
		}
		txn.Puts = []plat.Put{{Key: name, Value: raw}}
	}
	ctx, cancel := context.WithTimeout(ctx, storeLimit)
	defer cancel()
	// Where the key is not as the copy says, the next look sees it.
	_, err := g.o.Store.Commit(ctx, txn)
	return err
}
