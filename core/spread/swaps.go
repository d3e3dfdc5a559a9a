package spread

import (
	"context"
	"time"

	"embertally.dev/core/fleet"
	"embertally.dev/core/roster"
	"embertally.dev/core/wire"
)

const kindSwap wire.Kind = "spread.swap"

const (
	// swapAudience is how many daemons of a cell are told of a swap; each tells its cell.
	swapAudience = 2
	// swapLimit bounds the sending of one message.
	swapLimit = 500 * time.Millisecond
	// swapMost bounds the time for which a worker is passed over on another daemon's word.
	swapMost = 2 * time.Second
)

// Swaps tells the cell that uses a worker when the worker is about to change its weights
// and when it has.
//
// Heartbeats tell only the cell of the daemon that gives the order. The daemons of the
// worker's own cell would find out by being refused, each for itself.
type Swaps struct {
	fleet  *fleet.Fleet
	roster *roster.Roster
	// Divided, if set, reports whether the cells divide the targets of a service. It is set
	// before use.
	Divided func(service string) bool
}

// NewSwaps returns what tells of swaps. It must be called before the fleet runs.
func NewSwaps(f *fleet.Fleet, r *roster.Roster) *Swaps {
	s := &Swaps{fleet: f, roster: r}
	f.Mux().Register(kindSwap, wire.Handle(s.hear))
	return s
}

// swapNews is what another cell is told of a swap.
type swapNews struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Target   string
	Model    string
	// Version is what the worker holds now; 0 where the swap has only begun.
	Version int64
	// Lasts is for how much longer the worker is to be passed over where it has.
	Lasts time.Duration
}

// Began tells that a worker is about to change its weights, for about some more time.
func (s *Swaps) Began(t *roster.Target, model string, lasts time.Duration) {
	s.tell(t, &swapNews{Target: t.ID(), Model: model, Lasts: lasts})
}

// Ended tells that a worker holds a version of the weights.
func (s *Swaps) Ended(t *roster.Target, model string, version int64) {
	s.tell(t, &swapNews{Target: t.ID(), Model: model, Version: version})
}

// tell sends news to the worker's cell, where that is another one.
func (s *Swaps) tell(t *roster.Target, n *swapNews) {
	view := s.fleet.View()
	cell := s.user(view, t)
	if cell == view.Cell() {
		return
	}
	for _, peer := range view.Homes(cell, fleet.Key(t.ID()), swapAudience) {
		go swapTeller{s.fleet, peer, n}.run()
	}
}

// user returns the cell that uses a worker.
func (s *Swaps) user(view *fleet.View, t *roster.Target) int {
	e := t.Entry()
	if s.Divided != nil && s.Divided(e.Service) {
		return view.TargetCell(e.Name, e.Domain)
	}
	var names []string
	for _, other := range s.roster.Of(e.Service) {
		names = append(names, other.ID())
	}
	return view.SharedBy(names, t.ID())
}

// swapTeller sends news of one swap to one peer.
type swapTeller struct {
	fleet *fleet.Fleet
	peer  string
	news  *swapNews
}

func (t swapTeller) run() {
	ctx, cancel := context.WithTimeout(context.Background(), swapLimit)
	defer cancel()
	// Who does not hear of it is refused by the worker, as before.
	_ = t.fleet.Notify(ctx, t.peer, kindSwap, t.news)
}

// hear takes news, which this daemon's heartbeats tell its cell.
func (s *Swaps) hear(_ context.Context, _ string, n *swapNews) (struct{}, error) {
	if n.Version > 0 {
		s.roster.Learn(n.Target, n.Model, n.Version)
		s.roster.Done(n.Target)
	} else {
		s.roster.Order(n.Target, time.Now().Add(min(max(0, n.Lasts), swapMost)))
	}
	s.fleet.Kick()
	return struct{}{}, nil
}
