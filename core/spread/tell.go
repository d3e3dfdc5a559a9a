package spread

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/clock"
	"embertally.dev/core/fleet"
	"embertally.dev/core/plat"
)

// mirrorAsk asks a peer for the changes after a revision.
type mirrorAsk struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	After    int64
	// WaitMillis is how long the answer may wait for a change.
	WaitMillis int64
	// Page is the last key of the page before, where a whole copy is read.
	Page string
	// AgeMillis is how old the asker's copy is: the answer comes as soon as the peer's
	// is fresher, also without a change.
	AgeMillis int64
	// Shard is that of the asker's cell, and Held names what its copy holds.
	Shard *fleet.Shard
	Held  string
}

// mirrorAnswer holds them.
type mirrorAnswer struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	// All tells that Changes are a page of everything, not what came after a
	// revision.
	All      bool
	Changes  []mirrorChange
	Revision int64
	// AgeMillis is how old the sender's copy is.
	AgeMillis int64
	// More tells that there is more than this answer holds.
	More bool
	// WaitedMillis is how long the answer waited for a change.
	WaitedMillis int64
	// Holds names the shard that the answer is of; "" stands for all keys.
	Holds string
	// Other tells that the sender holds another shard than was asked for, and says nothing else.
	Other bool
	// Moved tells that Changes hold beside what is new what the asker's former shard lacked, and
	// that it may drop what its new one lacks.
	Moved bool
}

// mirrorChange is one change as peers send it.
type mirrorChange struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool
	// Late tells that the value is to be asked for by itself.
	Late bool
}

// answer tells a peer what has changed.
func (s *Mirrors) answer(ctx context.Context, _ string, ask *mirrorAsk) (*mirrorAnswer, error) {
	began := clock.Now()
	if s.viewFor(ask) == nil {
		return &mirrorAnswer{Other: true}, nil
	}
	s.await(ctx, ask)
	waited := clock.Since(began)
	fresh := s.mirror.Fresh()
	if fresh.IsZero() {
		return nil, errors.New("this daemon knows nothing yet")
	}
	// What is held may have changed meanwhile.
	v := s.viewFor(ask)
	if v == nil {
		return &mirrorAnswer{Other: true}, nil
	}
	out := s.some(ask, v)
	out.AgeMillis, out.WaitedMillis = ageMillis(clock.Since(fresh)), waited.Milliseconds()
	for _, c := range out.Changes {
		s.told.Add(int64(len(c.Value)))
	}
	return out, nil
}

// some returns as many of the changes that a peer asks for as one answer holds.
func (s *Mirrors) some(ask *mirrorAsk, v *shardView) *mirrorAnswer {
	changes, revision, whole := s.mirror.Since(ask.After)
	if !whole || ask.Page != "" {
		return s.page(ask.Page, v)
	}
	if ask.Held != v.holds {
		return s.moved(ask, v, changes, revision)
	}
	changes = v.filter(changes)
	n := fitting(changes)
	for n < len(changes) && n > 0 && changes[n].ModRevision == changes[n-1].ModRevision {
		// What was written together is told together.
		n++
	}
	more := n < len(changes)
	if more {
		revision = changes[n-1].ModRevision
	}
	return &mirrorAnswer{Changes: told(changes[:n]), Revision: revision, More: more, Holds: v.holds}
}

// moved returns what a peer lacks whose cell has another shard now: cells change with each few boxes
// that come or go. Where that does not fit one answer, everything is told page by page.
//
// changes are those up to a revision, which the answer names: what it lacked is read a moment later,
// and of changes in between the peer hears next.
func (s *Mirrors) moved(ask *mirrorAsk, v *shardView, changes []plat.Change, revision int64) *mirrorAnswer {
	former, ok := v.former(ask.Held)
	if !ok {
		return s.page("", v)
	}
	lacked, _ := s.mirror.All("", func(p plat.Pair) bool { return v.keeps(p) && !former.keeps(p) })
	changes = append(v.filter(changes), lacked...)
	if fitting(changes) < len(changes) {
		return s.page("", v)
	}
	return &mirrorAnswer{Changes: told(changes), Revision: revision, Holds: v.holds, Moved: true}
}

// page returns the page of everything that follows a key.
func (s *Mirrors) page(after string, v *shardView) *mirrorAnswer {
	rest, revision := s.mirror.All(after, v.keeps)
	n := fitting(rest)
	return &mirrorAnswer{All: true, Changes: told(rest[:n]), Revision: revision, More: n < len(rest), Holds: v.holds}
}

// fitting returns how many of some changes one answer holds; at least one.
func fitting(changes []plat.Change) int {
	size := 0
	for i, c := range changes {
		size += len(c.Key) + len(c.Value)
		if size > answerRoom && i > 0 {
			return i
		}
	}
	return len(changes)
}

// told returns changes as peers get them.
func told(changes []plat.Change) []mirrorChange {
	out := make([]mirrorChange, len(changes))
	for i, c := range changes {
		out[i] = mirrorChange{Key: c.Key, Value: c.Value, Revision: c.ModRevision, Deleted: c.Deleted, Late: c.Late}
	}
	return out
}

// await returns when there is something to tell or the wait is over.
func (s *Mirrors) await(ctx context.Context, ask *mirrorAsk) {
	arrived := clock.Now()
	end := arrived.Add(time.Duration(ask.WaitMillis) * time.Millisecond)
	fresher := arrived.Add(sameAnswer - toldAge(ask.AgeMillis))
	over := time.NewTimer(clock.Until(end))
	defer over.Stop()
	for seen := ask.After; ; {
		news := s.mirror.News()
		var told bool
		if told, seen = s.tells(ask, seen); told || !s.mirror.Fresh().Before(fresher) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-over.C:
			return
		case <-news:
		}
	}
}

// tells reports whether there are changes after a revision that a peer is to hear of, and the
// revision up to which it looked.
func (s *Mirrors) tells(ask *mirrorAsk, after int64) (bool, int64) {
	revision := s.mirror.Revision()
	if revision <= after {
		return false, after
	}
	v := s.viewFor(ask)
	if v == nil || ask.Held != v.holds {
		return true, after
	}
	changes, revision, whole := s.mirror.Since(after)
	return !whole || v.tells(changes), revision
}
