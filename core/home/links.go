package home

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/route"
)

// links schedules the links of the stores that this daemon has the duty for,
// and knows the state of the others. The zero value is ready.
type links struct {
	linksMu sync.Mutex
	// sched are the links scheduled here by store. Guarded by linksMu.
	sched map[string]*scheduled
	// known is what other schedulers said. Guarded by linksMu.
	known map[string]linkState
	next  uint64 // last transfer's number; guarded by linksMu
}

// scheduled is one link with those who wait for their turn.
type scheduled struct {
	link route.Link
	// turns are closed when the transfer may begin.
	turns map[uint64]chan struct{}
	// rate is the measured capacity in bytes a second; zero until measured.
	rate    float64
	changed bool
}

var errLinkBusy = errors.New("too many transfers wait for the link")

// turnLimit bounds how long a transfer may hold its turn without saying that
// it is done.
const turnLimit = 20 * time.Second

// ask waits for the turn of a transfer.
func (l *links) ask(ctx context.Context, a *linkAsk) (linkTurn, error) {
	id, turn, ok := l.enqueue(a)
	if !ok {
		return linkTurn{}, errLinkBusy
	}
	select {
	case <-ctx.Done():
		l.end(&linkDone{Store: a.Store, ID: id})
		return linkTurn{}, ctx.Err()
	case <-turn:
		time.AfterFunc(turnLimit, func() { l.end(&linkDone{Store: a.Store, ID: id}) })
		return linkTurn{ID: id}, nil
	}
}

func (l *links) enqueue(a *linkAsk) (uint64, chan struct{}, bool) {
	l.linksMu.Lock()
	defer l.linksMu.Unlock()
	s := l.of(a.Store)
	l.next++
	t := route.Transfer{ID: l.next, Organisation: a.Organisation, Bytes: a.Bytes, Waiting: a.Waiting}
	if !s.link.Ask(t) {
		return 0, nil, false
	}
	turn := make(chan struct{})
	s.turns[t.ID] = turn
	s.start()
	return t.ID, turn, true
}

func (l *links) of(store string) *scheduled {
	if l.sched == nil {
		l.sched, l.known = map[string]*scheduled{}, map[string]linkState{}
	}
	s := l.sched[store]
	if s == nil {
		s = &scheduled{turns: map[uint64]chan struct{}{}}
		l.sched[store] = s
	}
	return s
}

// start lets all transfers begin that may.
func (s *scheduled) start() {
	s.changed = true
	for {
		t, ok := s.link.Next()
		if !ok {
			return
		}
		if turn := s.turns[t.ID]; turn != nil {
			close(turn)
		}
	}
}

// rateShare is how much one transfer moves the measured rate.
const rateShare = 0.2

// minMeasured is the shortest transfer that says something of the rate.
const minMeasured = 64 << 10

// end ends a transfer. Ending one twice does nothing.
func (l *links) end(d *linkDone) {
	l.linksMu.Lock()
	defer l.linksMu.Unlock()
	s := l.of(d.Store)
	if s.turns[d.ID] == nil {
		return
	}
	delete(s.turns, d.ID)
	if d.Bytes >= minMeasured && d.Took > 0 {
		s.measure(float64(d.Bytes) / d.Took.Seconds())
	}
	s.link.Done(d.ID)
	s.start()
}

func (s *scheduled) measure(rate float64) {
	if s.rate == 0 {
		s.rate = rate
		return
	}
	s.rate += rateShare * (rate - s.rate)
}

// state returns the backlog of a link and its measured rate, or def.
func (l *links) state(store string, def float64) (backlog int64, rate float64) {
	l.linksMu.Lock()
	defer l.linksMu.Unlock()
	st := l.known[store]
	if s := l.sched[store]; s != nil {
		st = linkState{Store: store, Backlog: s.link.Backlog(), Rate: s.rate}
	}
	if st.Rate == 0 {
		st.Rate = def
	}
	return st.Backlog, st.Rate
}

// Collect returns the states of the links scheduled here that changed.
func (l *links) Collect(full bool) any {
	l.linksMu.Lock()
	defer l.linksMu.Unlock()
	var out []linkState
	for store, s := range l.sched {
		if full || s.changed {
			s.changed = s.changed && full
			out = append(out, linkState{Store: store, Backlog: s.link.Backlog(), Rate: s.rate})
		}
	}
	if len(out) == 0 {
		return nil
	}
	return out
}

// Receive takes a scheduler's states.
func (l *links) Receive(_ string, body []byte) {
	var list []linkState
	if msgpack.Unmarshal(body, &list) != nil {
		return
	}
	l.linksMu.Lock()
	defer l.linksMu.Unlock()
	if l.known == nil {
		l.sched, l.known = map[string]*scheduled{}, map[string]linkState{}
	}
	for _, s := range list {
		l.known[s.Store] = s
	}
}
