package spread

import (
	"context"
	"time"

	"embertally.dev/core/fleet"
	"embertally.dev/core/roster"
	"embertally.dev/core/wire"
)

const kindWeightUpdate wire.Kind = "spread.swap"

const (
	// noticePeers is how many daemons of a cell are notified of a weight update; each notifies its
	// cell.
	noticePeers = 2
	// noticeTimeout bounds the sending of one notice.
	noticeTimeout = 500 * time.Millisecond
	// maxRemoteHold bounds how long a worker gets no requests because of another daemon's notice.
	maxRemoteHold = 2 * time.Second
)

// WeightUpdateNotifier notifies the cell that uses a worker when a weight update of the worker is
// about to start, while it runs, and when it has completed.
//
// Heartbeats reach only the cell of the daemon that gives the order. Without a notice each daemon
// of the worker's own cell would learn of the update only when the worker rejects a request.
type WeightUpdateNotifier struct {
	fleet  *fleet.Fleet
	roster *roster.Roster
	// Sharded, if set, reports whether the targets of a service are sharded between the cells. It
	// is set before use.
	Sharded func(service string) bool
}

// NewWeightUpdateNotifier returns a WeightUpdateNotifier. It must be called before the fleet runs.
func NewWeightUpdateNotifier(f *fleet.Fleet, r *roster.Roster) *WeightUpdateNotifier {
	s := &WeightUpdateNotifier{fleet: f, roster: r}
	f.Mux().Register(kindWeightUpdate, wire.Handle(s.handleNotice))
	return s
}

// updateNotice notifies another cell of a weight update.
type updateNotice struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Target   string
	Model    string
	// Version is the version that the worker has now; 0 until the update has completed.
	Version int64
	// Remaining is for how much longer the worker is to get no requests, until the update has
	// completed.
	Remaining time.Duration
}

// UpdateStarted notifies the worker's cell that a weight update is about to start or still runs,
// and takes about the time remaining.
func (s *WeightUpdateNotifier) UpdateStarted(t *roster.Target, model string, remaining time.Duration) {
	s.notify(t, &updateNotice{Target: t.ID(), Model: model, Remaining: remaining})
}

// UpdateEnded notifies the worker's cell that the worker has a version of the weights.
func (s *WeightUpdateNotifier) UpdateEnded(t *roster.Target, model string, version int64) {
	s.notify(t, &updateNotice{Target: t.ID(), Model: model, Version: version})
}

// notify sends a notice to the worker's cell, if that is not this daemon's.
func (s *WeightUpdateNotifier) notify(t *roster.Target, n *updateNotice) {
	view := s.fleet.View()
	cell := s.cellOf(view, t)
	if cell == view.Cell() {
		return
	}
	for _, peer := range view.Owners(cell, fleet.Key(t.ID()), noticePeers) {
		go noticeSender{s.fleet, peer, n}.run()
	}
}

// cellOf returns the cell that uses a worker.
func (s *WeightUpdateNotifier) cellOf(view *fleet.View, t *roster.Target) int {
	e := t.Entry()
	if s.Sharded != nil && s.Sharded(e.Service) {
		return view.TargetCell(e.Name, e.Domain)
	}
	var names []string
	for _, other := range s.roster.ByService(e.Service) {
		names = append(names, other.ID())
	}
	return view.ShareCell(names, t.ID())
}

// noticeSender sends one notice to one peer.
type noticeSender struct {
	fleet  *fleet.Fleet
	peer   string
	notice *updateNotice
}

func (s noticeSender) run() {
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	// A daemon that misses the notice gets rejections from the worker, as it would without one.
	_ = s.fleet.Notify(ctx, s.peer, kindWeightUpdate, s.notice)
}

// handleNotice records a notice, which this daemon's heartbeats pass on to its cell.
func (s *WeightUpdateNotifier) handleNotice(_ context.Context, _ string, n *updateNotice) (struct{}, error) {
	if n.Version > 0 {
		s.roster.RecordVersion(n.Target, n.Model, n.Version)
		s.roster.EndUpdate(n.Target)
	} else {
		s.roster.BeginUpdate(n.Target, time.Now().Add(min(max(0, n.Remaining), maxRemoteHold)))
	}
	s.fleet.TriggerHeartbeat()
	return struct{}{}, nil
}
