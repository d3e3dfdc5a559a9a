package spread

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/cache"
	"embertally.dev/core/clock"
	"embertally.dev/core/fleet"
	"embertally.dev/core/wait"
	"embertally.dev/core/wire"
)

const kindShelf wire.Kind = "spread.shelf"

// Shelves asks stores what they hold. A store answers a few followers at a time, and each
// question is priced. In a fleet of more daemons than that a few daemons of the whole
// fleet may ask a store, one of each cell asks the first of these, and in its cell tells
// the others in heartbeats.
type Shelves struct {
	direct cache.Watcher
	fleet  *fleet.Fleet
	// kept is what this daemon tells peers from. Set before Run.
	kept *cache.Kept
	// ranks are who may ask each store in the latest view.
	ranks atomic.Pointer[shelfRanks]
	inbox shelfInbox

	// silent are the peers that did not answer what they were asked of a store.
	silent wait.Backoff[shelfLink]

	toldMu sync.Mutex
	// told is what peers of the cell were told last of each store, and telling what
	// the heartbeats that are being made tell. Guarded by toldMu.
	told, telling map[string]shelfPoint
}

// NewShelves returns a watcher of stores. Serve must be called before it is
// used.
func NewShelves(direct cache.Watcher, f *fleet.Fleet) *Shelves {
	return &Shelves{
		direct: direct, fleet: f, told: map[string]shelfPoint{}, telling: map[string]shelfPoint{},
		silent: wait.Backoff[shelfLink]{First: silentTime, Most: silentMost},
	}
}

// Serve makes peers learn from kept. It must be called before the fleet runs.
func (s *Shelves) Serve(kept *cache.Kept) {
	s.kept = kept
	s.fleet.Mux().Register(kindShelf, wire.Handle(s.answer))
	s.fleet.Attach("shelves", s)
}

const (
	// sourcesTried is how many of those that may tell of a store are tried at once.
	sourcesTried = 3
	// peerLimit is left for a peer's answer beside its wait.
	peerLimit = 600 * time.Millisecond
	// partsRoom is how many parts one page of a store's contents holds: some 60 bytes
	// each make 48 KB, which take 38 ms on a link of 10 Mbit/s and 0.5 s where 11
	// peers ask at once.
	partsRoom = 800
)

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
	// AgeMillis is how old the asker's knowledge is: the answer comes as soon as the
	// peer knows something newer, changed or not.
	AgeMillis int64
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
	// AgeMillis is how long before the answer the store told it.
	AgeMillis int64
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
func (s *Shelves) Events(ctx context.Context, address string, since int64, hold time.Duration) (cache.PartEvents, error) {
	return s.try(ctx, address, func(from shelfSource) (cache.PartEvents, error) {
		switch {
		case from.peer == "":
			return s.direct.Events(ctx, address, since, hold)
		case from.tells:
			if ev, ok := s.inbox.await(ctx, address, since, hold+tellSlack); ok {
				return ev, nil
			}
			hold = 0
		}
		ask := &shelfAsk{Address: address, Since: since, WaitMillis: hold.Milliseconds(), AgeMillis: ageMillis(s.kept.Age(address, clock.Now()))}
		got, err := s.ask(ctx, from.peer, ask)
		if err != nil {
			return cache.PartEvents{}, err
		}
		return got.events(), nil
	})
}

// Contents returns everything that a store holds.
func (s *Shelves) Contents(ctx context.Context, address string) (cache.PartEvents, error) {
	return s.try(ctx, address, func(from shelfSource) (cache.PartEvents, error) {
		if from.peer == "" {
			return s.direct.Contents(ctx, address)
		}
		return s.pages(ctx, from.peer, address)
	})
}

// try asks those that may tell of a store one after the other until one answers.
func (s *Shelves) try(ctx context.Context, address string, ask func(shelfSource) (cache.PartEvents, error)) (ev cache.PartEvents, err error) {
	for range sourcesTried {
		from, none := s.source(address)
		if none != nil {
			return ev, cmp.Or(err, none)
		}
		ev, err = ask(from)
		if from.peer == "" {
			return ev, err
		}
		link := shelfLink{from.peer, address}
		if err == nil {
			s.silent.Worked(link)
			return ev, nil
		}
		s.silent.Failed(link, time.Now())
		if ctx.Err() != nil {
			return ev, err
		}
	}
	return ev, err
}

// shelfLink is a peer as the one that tells of a store.
type shelfLink struct{ peer, address string }

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
		out.Changes, out.Clock, out.Age = append(out.Changes, more.Changes...), more.Clock, more.Age
	}
	return out, nil
}

// Free frees parts of a store.
func (s *Shelves) Free(ctx context.Context, address string, epoch int64, parts []cache.PartName) error {
	return s.direct.Free(ctx, address, epoch, parts)
}

// ask asks a peer once.
func (s *Shelves) ask(ctx context.Context, peer string, ask *shelfAsk) (*shelfAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(ask.WaitMillis)*time.Millisecond+peerLimit)
	defer cancel()
	var got shelfAnswer
	if err := s.fleet.Call(ctx, peer, kindShelf, ask, &got); err != nil {
		return nil, err
	}
	return &got, nil
}

// events returns what a peer told.
func (a *shelfAnswer) events() cache.PartEvents {
	out := cache.PartEvents{
		Epoch: a.Epoch, Next: a.Next, Gap: a.Gap,
		Clock: time.Duration(a.ClockMillis) * time.Millisecond, Age: toldAge(a.AgeMillis),
	}
	out.Changes = changesOf(a.Parts)
	return out
}

var errUnknownShelf = errors.New("the store's state is not known here")

// answer tells a peer what this daemon knows of a store, waiting for news.
func (s *Shelves) answer(ctx context.Context, _ string, ask *shelfAsk) (*shelfAnswer, error) {
	arrived := clock.Now()
	newer := arrived.Add(sameAnswer - toldAge(ask.AgeMillis))
	end := time.NewTimer(time.Duration(ask.WaitMillis) * time.Millisecond)
	defer end.Stop()
	for last := ask.WaitMillis <= 0; ; {
		news := s.kept.News(ask.Address)
		now := clock.Now()
		got, ok := s.kept.Told(ask.Address, ask.Since, ask.All, now)
		switch {
		case !ok:
			return nil, errors.WithStack(errUnknownShelf)
		case ask.All:
			return pageOf(got, ask.Page), nil
		case last, got.Gap, len(got.Changes) > 0, now.Add(-got.Age).After(newer):
			return shelfOf(got), nil
		}
		select {
		case <-ctx.Done():
			return nil, errors.WithStack(ctx.Err())
		case <-news:
		case <-end.C:
			last = true
		}
	}
}

// shelfOf writes what a store told as peers send it.
func shelfOf(ev cache.PartEvents) *shelfAnswer {
	return &shelfAnswer{
		Epoch: ev.Epoch, Next: ev.Next, Gap: ev.Gap, Parts: partsOf(ev.Changes),
		ClockMillis: ev.Clock.Milliseconds(), AgeMillis: ageMillis(ev.Age),
	}
}

// partsOf writes changes as peers send them.
func partsOf(changes []cache.PartChange) []shelfPart {
	var out []shelfPart
	for _, c := range changes {
		out = append(out, shelfPart{Salt: c.Salt, ID: c.ID, Tokens: c.Tokens})
	}
	return out
}

// changesOf reads them.
func changesOf(parts []shelfPart) []cache.PartChange {
	var out []cache.PartChange
	for _, p := range parts {
		out = append(out, cache.PartChange{PartName: cache.PartName{Salt: p.Salt, ID: p.ID}, Tokens: p.Tokens})
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
