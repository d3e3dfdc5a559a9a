// Package canary owns rollouts. Operators request that a service's requests move to targets of
// another version, which run beside the old ones. The package owns how many requests the new
// version receives meanwhile, the statistics of its answers and of the old version's at the same
// time, and the decision to complete the rollout or roll it back.
//
// It must not know how targets are chosen, or how the platform encodes orders and states.
package canary

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/plat"
)

// Order is an operators' request for a service.
type Order struct {
	Service string
	// Version is the version that requests are to move to.
	Version string
	// Lasts is the time within which the rollout must be decided.
	Lasts time.Duration
	// Revision is the order's revision in the coordination store; it identifies the order.
	Revision int64
}

// Phase is the phase of a rollout.
type Phase string

// Phases. Trying and Moving end in Completed or RolledBack.
const (
	// Trying: the new version gets a small share of the requests.
	Trying Phase = "trying"
	// Moving: it gets all new requests, and the old targets finish theirs.
	Moving Phase = "moving"
	// Completed: the old targets are stopped.
	Completed Phase = "completed"
	// RolledBack: the new version gets no requests.
	RolledBack Phase = "rolledBack"
)

// Decided reports whether the rollout is decided.
func (p Phase) Decided() bool { return p == Completed || p == RolledBack }

// rank orders the phases of one order.
func (p Phase) rank() int {
	switch p {
	case Completed, RolledBack:
		return 2
	case Moving:
		return 1
	}
	return 0
}

// State is the state of a service's rollout, as stored in the coordination store.
type State struct {
	// Order is the revision of the order that the state belongs to.
	Order   int64  `json:"order"`
	Version string `json:"version"`
	Phase   Phase  `json:"phase"`
	// Blocked lists versions that get no requests whatever is ordered later: they were rolled back,
	// or their order was replaced before it was decided.
	Blocked []string `json:"blocked,omitempty"`
	// StartedMs is when the order was first seen, in Unix milliseconds, for daemons that start during
	// the rollout.
	StartedMs int64 `json:"begun"`
	// Reason is the reason for the decision.
	Reason string `json:"why,omitempty"`
}

// validate returns an error if a state that was written at a revision is not one that a daemon can have written.
func (st *State) validate(revision int64) error {
	switch {
	case st.Order <= 0 || st.Order > revision:
		return errors.Errorf("the state is of order %d, which did not exist at revision %d", st.Order, revision)
	case st.Phase != Trying && st.Phase != Moving && !st.Phase.Decided():
		return errors.Errorf("unknown phase %q", st.Phase)
	}
	return nil
}

// isFor reports whether the state belongs to an order. An order read from a store restored from an
// older copy, or written there again, is the same one under another revision.
func (st *State) isFor(o *Order) bool {
	return st.Order == o.Revision || (st.Version == o.Version &&
		plat.StoreIncarnation(st.Order) < plat.StoreIncarnation(o.Revision) && o.Revision != 0)
}

// olderThan reports whether the state precedes another one.
func (st *State) olderThan(other *State) bool {
	return st.Order < other.Order || (st.Order == other.Order && st.Phase.rank() < other.Phase.rank())
}

// VersionFilter states which versions of a service a request may go to. The zero value allows all.
type VersionFilter struct {
	// Preferred is the version to use if one of its targets is available; "" means none.
	Preferred string `msgpack:"Prefer"`
	// Excluded lists the versions that must not be used.
	Excluded []string `msgpack:"Not"`
	// Canary is the canary version if it is listed in Excluded. It is used all the same if no target of
	// another version is listed, for example when operators order the version that all targets
	// have.
	Canary string `msgpack:"Trial"`
	// Bound means that a request may go to the version Only and to no other, whatever Preferred and Canary say: it
	// resumes a stream that this version began.
	Bound bool
	Only  string
	// TargetShare is the share of the preferred version's targets to use; 0 means all. A canary version
	// gets the same share of the requests, so each of these targets gets as many as it would get
	// after the rollout.
	TargetShare float64 `msgpack:"Few"`
}

// Allows reports whether a request may go to a version.
func (f *VersionFilter) Allows(version string) bool {
	return !slices.Contains(f.Excluded, version) && (!f.Bound || version == f.Only)
}

// WithoutCanary returns the versions allowed to a request that failed on the canary version.
func (f VersionFilter) WithoutCanary() VersionFilter {
	if f.TargetShare == 0 || f.Bound {
		return f
	}
	return VersionFilter{Excluded: append(slices.Clone(f.Excluded), f.Preferred)}
}

// Sum holds the statistics of one version's answers to one kind of request.
type Sum struct {
	// Answers is the number of answers, and Bad how many of these were failures of the target.
	Answers, Bad int
	// Times is the number of observed times to the first answer. Log and Square are the sums of the
	// logarithms of observed over expected time, and of their squares.
	Times       int
	Log, Square float64
}

// add adds another daemon's statistics.
func (s *Sum) add(o Sum) {
	s.Answers += o.Answers
	s.Bad += o.Bad
	s.Times += o.Times
	s.Log += o.Log
	s.Square += o.Square
}

// Pair holds the statistics of both versions for one kind of request.
type Pair struct{ New, Old Sum }

// Report holds one daemon's statistics of a service's rollout.
type Report struct {
	Service string
	// Order is the revision of the order, and Phase the phase that the daemon has applied.
	Order int64
	Phase Phase
	// RunningOnOld is the number of the daemon's requests in flight on other versions.
	RunningOnOld int `msgpack:"OldRunning"`
	// Routes holds the statistics by route.
	Routes map[string]Pair
}
