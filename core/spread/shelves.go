package spread

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/cache"
	"embertally.dev/core/fleet"
	"embertally.dev/core/wire"
)

const kindShelf wire.Kind = "spread.shelf"

// Shelves asks stores what they hold. In a small fleet each daemon asks each
// store; in a large one, one daemon of each cell does and the others ask it,
// since a store answers only a few followers at a time.
type Shelves struct {
	direct cache.Watcher
	fleet  *fleet.Fleet
	// kept is what this daemon tells peers from. Set before Run.
	kept *cache.Kept

	badMu sync.Mutex
	// bad holds until when a peer that did not answer is not asked. Guarded by
	// badMu.
	bad map[string]time.Time
}

// NewShelves returns a watcher of stores. Serve must be called before it is
// used.
func NewShelves(direct cache.Watcher, f *fleet.Fleet) *Shelves {
	return &Shelves{direct: direct, fleet: f, bad: map[string]time.Time{}}
}

// Serve makes peers learn from kept. It must be called before the fleet runs.
func (s *Shelves) Serve(kept *cache.Kept) {
	s.kept = kept
	s.fleet.Mux().Register(kindShelf, wire.Handle(s.answer))
}

const (
	// directFleet is the size up to which each daemon asks each store: the
	// users' stores answer 12 followers.
	directFleet = 10
	// askers is how many daemons of a cell may ask a store: a second one where
	// the first does not answer.
	askers = 2
	// badTime is how long a peer that did not answer is not asked.
	badTime = time.Second
	// peerLimit is left for a peer's answer beside its wait.
	peerLimit = 600 * time.Millisecond
	// partsRoom is how many parts one page of a store's contents holds: some 60 bytes
	// each make 48 KB, which take 38 ms on a link of 10 Mbit/s and 0.5 s where 11
	// peers ask at once.
	partsRoom = 800
)

// source returns the peer that asks a store for this daemon, or "" where this
// daemon asks it itself. Only the first two in rank ever do: a store that
// refuses some of its followers refuses the first in rank as likely as others.
func (s *Shelves) source(address string) (peer string, err error) {
	view := s.fleet.View()
	if len(view.Peers()) < directFleet {
		return "", nil
	}
	now := time.Now()
	s.badMu.Lock()
	defer s.badMu.Unlock()
	ranked := fleet.Rank(fleet.Key("shelf/"+address), view.OnDuty())
	for _, name := range ranked[:min(askers, len(ranked))] {
		if name == view.Self() {
			return "", nil
		}
		if now.After(s.bad[name]) {
			return name, nil
		}
	}
	return "", errors.WithStack(errUnknownShelf)
}

// shelfAsk asks a peer for what a store told after Since, or for everything.
type shelfAsk struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack   struct{} `msgpack:",as_array"`
	Address    string
	Since      int64
	All        bool
	WaitMillis int64
	// Page is the last part of the page before, where everything is asked for.
	Page shelfPart
}

// shelfAnswer is what the store told.
type shelfAnswer struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Epoch    int64
	Next     int64
	Gap      bool
	Parts    []shelfPart
	// ClockMillis is the targets' clock at the answer.
	ClockMillis int64
	// More tells that further pages of everything follow.
	More bool
}

// shelfPart is one change of it.
type shelfPart struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Salt     string
	ID       string
	Tokens   int
}

// Events returns the changes of a store since a point.
func (s *Shelves) Events(ctx context.Context, address string, since int64, wait time.Duration) (cache.PartEvents, error) {
	peer, err := s.source(address)
	if err != nil {
		return cache.PartEvents{}, err
	}
	if peer == "" {
		return s.direct.Events(ctx, address, since, wait)
	}
	got, err := s.ask(ctx, peer, &shelfAsk{Address: address, Since: since, WaitMillis: wait.Milliseconds()})
	if err != nil {
		return cache.PartEvents{}, err
	}
	return got.events(), nil
}

// Contents returns everything that a store holds.
func (s *Shelves) Contents(ctx context.Context, address string) (cache.PartEvents, error) {
	peer, err := s.source(address)
	if err != nil {
		return cache.PartEvents{}, err
	}
	if peer == "" {
		return s.direct.Contents(ctx, address)
	}
	return s.pages(ctx, peer, address)
}

var errOtherEpoch = errors.New("the store began anew between two pages")

// pages reads everything that a peer knows a store to hold. The pages are not of one
// moment: what changes meanwhile follows the point of the first.
func (s *Shelves) pages(ctx context.Context, peer, address string) (cache.PartEvents, error) {
	ask := &shelfAsk{Address: address, All: true}
	first, err := s.ask(ctx, peer, ask)
	if err != nil {
		return cache.PartEvents{}, err
	}
	out := first.events()
	for page := first; page.More && len(page.Parts) > 0; {
		ask.Page = page.Parts[len(page.Parts)-1]
		if page, err = s.ask(ctx, peer, ask); err != nil {
			return cache.PartEvents{}, err
		}
		if page.Epoch != first.Epoch {
			return cache.PartEvents{}, errors.WithStack(errOtherEpoch)
		}
		more := page.events()
		out.Changes, out.Clock = append(out.Changes, more.Changes...), more.Clock
	}
	return out, nil
}

// Free frees parts of a store.
func (s *Shelves) Free(ctx context.Context, address string, epoch int64, parts []cache.PartName) error {
	return s.direct.Free(ctx, address, epoch, parts)
}

// ask asks a peer once; one that fails is not asked for badTime.
func (s *Shelves) ask(ctx context.Context, peer string, ask *shelfAsk) (*shelfAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(ask.WaitMillis)*time.Millisecond+peerLimit)
	defer cancel()
	var got shelfAnswer
	if err := s.fleet.Call(ctx, peer, kindShelf, ask, &got); err != nil {
		s.badMu.Lock()
		s.bad[peer] = time.Now().Add(badTime)
		s.badMu.Unlock()
		return nil, err
	}
	return &got, nil
}

// events returns what a peer told.
func (a *shelfAnswer) events() cache.PartEvents {
	out := cache.PartEvents{Epoch: a.Epoch, Next: a.Next, Gap: a.Gap, Clock: time.Duration(a.ClockMillis) * time.Millisecond}
	for _, p := range a.Parts {
		out.Changes = append(out.Changes, cache.PartChange{PartName: cache.PartName{Salt: p.Salt, ID: p.ID}, Tokens: p.Tokens})
	}
	return out
}

var errUnknownShelf = errors.New("the store's state is not known here")

// answer tells a peer what this daemon knows of a store, waiting for a change.
func (s *Shelves) answer(ctx context.Context, _ string, ask *shelfAsk) (*shelfAnswer, error) {
	end := time.Now().Add(time.Duration(ask.WaitMillis) * time.Millisecond)
	t := time.NewTicker(awaitLook)
	defer t.Stop()
	for {
		got, ok := s.kept.Told(ask.Address, ask.Since, ask.All, time.Now())
		if !ok {
			return nil, errors.WithStack(errUnknownShelf)
		}
		if ask.All {
			return pageOf(got, ask.Page), nil
		}
		if got.Gap || len(got.Changes) > 0 || !time.Now().Before(end) {
			return shelfOf(got), nil
		}
		select {
		case <-ctx.Done():
			return nil, errors.WithStack(ctx.Err())
		case <-t.C:
		}
	}
}

// shelfOf writes what a store told as peers send it.
func shelfOf(ev cache.PartEvents) *shelfAnswer {
	out := &shelfAnswer{Epoch: ev.Epoch, Next: ev.Next, Gap: ev.Gap, ClockMillis: ev.Clock.Milliseconds()}
	for _, c := range ev.Changes {
		out.Parts = append(out.Parts, shelfPart{Salt: c.Salt, ID: c.ID, Tokens: c.Tokens})
	}
	return out
}

// pageOf writes the page of everything that follows a part.
func pageOf(ev cache.PartEvents, after shelfPart) *shelfAnswer {
	out := shelfOf(ev)
	slices.SortFunc(out.Parts, shelfPart.compare)
	from, found := slices.BinarySearchFunc(out.Parts, after, shelfPart.compare)
	if found {
		from++
	}
	rest := out.Parts[from:]
	n := min(len(rest), partsRoom)
	out.Parts, out.More = rest[:n], n < len(rest)
	return out
}

// compare orders parts by their names.
func (p shelfPart) compare(q shelfPart) int {
	return cmp.Or(strings.Compare(p.Salt, q.Salt), strings.Compare(p.ID, q.ID))
}
