package order

import (
	"context"
	"strconv"
	"time"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/wait"
	"embertally.dev/core/wire"
)

const kindNamedWeights wire.Kind = "order.named"

const (
	// namedPollInterval is the interval at which peers are asked while a version is undated.
	namedPollInterval = 200 * time.Millisecond
	// namedTimeout bounds one request.
	namedTimeout = 500 * time.Millisecond
	// namedPeers is how many peers are asked at a time.
	namedPeers = 3
)

// NamedWeightsSync asks peers when versions of weights were named, where this daemon has received them late. A
// daemon that has just started cannot know it, and takes them for named long ago until a peer says otherwise.
type NamedWeightsSync struct {
	named *NamedWeights
	fleet *fleet.Fleet
	log   *event.Log
	// within is for how long after its reception the age of a version matters.
	within time.Duration
	// asked is the number of requests sent so far. Only Run uses it.
	asked int
}

// namedRequest requests what a peer knows of all versions of weights.
type namedRequest struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
}

// namedResponse is the response to a namedRequest.
type namedResponse struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Versions []versionAge
}

// NewNamedWeightsSync returns a NamedWeightsSync. It must be called before the fleet runs. within is for how long
// replaced weights may be used.
func NewNamedWeightsSync(n *NamedWeights, f *fleet.Fleet, within time.Duration, log *event.Log) *NamedWeightsSync {
	s := &NamedWeightsSync{named: n, fleet: f, within: within, log: log}
	f.Mux().Register(kindNamedWeights, wire.Handle(s.handleNamed))
	return s
}

// handleNamed responds to a peer's namedRequest.
func (s *NamedWeightsSync) handleNamed(context.Context, string, *namedRequest) (*namedResponse, error) {
	return &namedResponse{Versions: s.named.ages()}, nil
}

// Run asks peers until ctx ends.
func (s *NamedWeightsSync) Run(ctx context.Context) {
	wait.Every(ctx, namedPollInterval, func() {
		if s.named.hasUndated(s.within) {
			s.ask(ctx)
		}
	})
}

// ask sends requests to the next few live peers.
func (s *NamedWeightsSync) ask(ctx context.Context) {
	var live []string
	for _, p := range s.fleet.View().Peers() {
		if p.Alive {
			live = append(live, p.Name)
		}
	}
	for range min(namedPeers, len(live)) {
		s.asked++
		go namedQuery{s, live[s.asked%len(live)]}.run(ctx)
	}
}

// namedQuery asks one peer.
type namedQuery struct {
	*NamedWeightsSync
	peer string
}

func (q namedQuery) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, namedTimeout)
	defer cancel()
	// The ages count from the request: the response may have been on its way for long.
	requested := clock.Now()
	var got namedResponse
	if err := q.fleet.Query(ctx, q.peer, kindNamedWeights, &namedRequest{}, &got); err != nil {
		// The next request goes to other peers.
		q.log.Emit(event.PeerNotTold, event.Ref{}, q.peer+", dates of named weights: "+err.Error())
		return
	}
	for _, age := range q.named.merge(got.Versions, requested) {
		q.log.Emit(event.WeightsNamed, event.Ref{Resource: age.Model}, age.text(q.peer))
	}
}

// text describes for a log line what a peer has responded about a version.
func (a versionAge) text(peer string) string {
	out := "version " + strconv.FormatInt(a.Version, 10) + " by " + peer
	if a.NotBeforeMillis < 0 {
		return out + ", which cannot date it"
	}
	return out + ", not named before " + (time.Duration(a.NotBeforeMillis) * time.Millisecond).String() + " ago"
}
