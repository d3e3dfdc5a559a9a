package home

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/route"
)

// links schedules transfers on the store links assigned to this daemon, and records the
// state of the others. The zero value is ready.
type links struct {
	linksMu sync.Mutex
	// schedulers are the links scheduled here, by store. Guarded by linksMu.
	schedulers map[string]*linkScheduler
	// remote are the states that other schedulers sent, by store. Guarded by linksMu.
	remote map[string]linkState
	lastID uint64 // ID of the last transfer; guarded by linksMu
}

// linkScheduler is one link with the transfers that wait for it or use it.
type linkScheduler struct {
	link route.Link
	// grants has a channel for each transfer by ID; it is closed when the transfer may
	// start.
	grants map[uint64]chan struct{}
	// rate is the measured capacity in bytes per second; zero until measured.
	rate float64
	// changed is set if the state may have changed since the last heartbeat.
	changed bool
}

var errLinkBusy = errors.New("too many transfers wait for the link")

// grantTimeout is how long a transfer may use the link before it is ended without a release.
const grantTimeout = 20 * time.Second

// acquire waits until a transfer may start.
func (l *links) acquire(ctx context.Context, req *linkRequest) (linkGrant, error) {
	id, granted, ok := l.enqueue(req)
	if !ok {
		return linkGrant{}, errLinkBusy
	}
	select {
	case <-ctx.Done():
		l.release(&linkRelease{Store: req.Store, ID: id})
		return linkGrant{}, ctx.Err()
	case <-granted:
		time.AfterFunc(grantTimeout, func() { l.release(&linkRelease{Store: req.Store, ID: id}) })
		return linkGrant{ID: id}, nil
	}
}

// enqueue adds a transfer and returns its ID and the channel closed when it may start. It
// returns false if too many wait.
func (l *links) enqueue(req *linkRequest) (uint64, chan struct{}, bool) {
	l.linksMu.Lock()
	defer l.linksMu.Unlock()
	s := l.scheduler(req.Store)
	l.lastID++
	t := route.Transfer{ID: l.lastID, Organisation: req.Organisation, Bytes: req.Bytes, CallerWaits: req.Waiting}
	if !s.link.Enqueue(t) {
		return 0, nil, false
	}
	granted := make(chan struct{})
	s.grants[t.ID] = granted
	s.startNext()
	return t.ID, granted, true
}

// scheduler returns the scheduler of a store's link; the caller holds linksMu.
func (l *links) scheduler(store string) *linkScheduler {
	if l.schedulers == nil {
		l.schedulers, l.remote = map[string]*linkScheduler{}, map[string]linkState{}
	}
	s := l.schedulers[store]
	if s == nil {
		s = &linkScheduler{grants: map[uint64]chan struct{}{}}
		l.schedulers[store] = s
	}
	return s
}

// startNext starts all transfers that may start now.
func (s *linkScheduler) startNext() {
	s.changed = true
	for {
		t, ok := s.link.Next()
		if !ok {
			return
		}
		if granted := s.grants[t.ID]; granted != nil {
			close(granted)
		}
	}
}

// rateWeight is the weight of one transfer in the moving average of the rate.
const rateWeight = 0.2

// minMeasuredBytes is the size below which a transfer is no measure of the rate.
const minMeasuredBytes = 64 << 10

// release ends a transfer. It has no effect the second time.
func (l *links) release(d *linkRelease) {
	l.linksMu.Lock()
	defer l.linksMu.Unlock()
	s := l.scheduler(d.Store)
	if s.grants[d.ID] == nil {
		return
	}
	delete(s.grants, d.ID)
	if d.Bytes >= minMeasuredBytes && d.Took > 0 {
		s.measure(float64(d.Bytes) / d.Took.Seconds())
	}
	s.link.Remove(d.ID)
	s.startNext()
}

// measure adds a measured rate to the moving average.
func (s *linkScheduler) measure(rate float64) {
	if s.rate == 0 {
		s.rate = rate
		return
	}
	s.rate += rateWeight * (rate - s.rate)
}

// state returns the backlog of a link and its measured rate, or defaultRate if there is
// none.
func (l *links) state(store string, defaultRate float64) (backlog int64, rate float64) {
	l.linksMu.Lock()
	defer l.linksMu.Unlock()
	state := l.remote[store]
	if s := l.schedulers[store]; s != nil {
		state = linkState{Store: store, Backlog: s.link.Backlog(), Rate: s.rate}
	}
	if state.Rate == 0 {
		state.Rate = defaultRate
	}
	return state.Backlog, state.Rate
}

// Collect returns the states of the links scheduled here: those that changed, or all if full
// is set.
func (l *links) Collect(full bool) any {
	l.linksMu.Lock()
	defer l.linksMu.Unlock()
	var out []linkState
	for store, s := range l.schedulers {
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

// Receive records the states that another scheduler sent.
func (l *links) Receive(_ string, body []byte) {
	var list []linkState
	if msgpack.Unmarshal(body, &list) != nil {
		return
	}
	l.linksMu.Lock()
	defer l.linksMu.Unlock()
	if l.remote == nil {
		l.schedulers, l.remote = map[string]*linkScheduler{}, map[string]linkState{}
	}
	for _, s := range list {
		l.remote[s.Store] = s
	}
}
