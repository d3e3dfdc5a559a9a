// Package canary owns roll-outs: operators ask that the requests of a service move to targets of
// another version, which were started beside the old ones. It owns how many requests the new
// version gets meanwhile, what is known of its answers against those of the old one at the same
// time, and the decision to complete the roll-out or to take it back.
//
// It must not know how targets are chosen, nor how the platform writes orders and states.
package canary

import (
	"slices"
	"time"

	"embertally.dev/core/plat"
)

// Order is what operators ask for a service.
type Order struct {
	Service string
	// Version is the one that requests are to move to.
	Version string
	// Lasts is the time within which the roll-out is to be decided.
	Lasts time.Duration
	// Revision is that of the order in the platform's store; it names the order.
	Revision int64
}

// Phase is how far a roll-out is.
type Phase string

// Phases. Trying and Moving end in Completed or RolledBack.
const (
	// Trying: the new version gets a small share of the requests.
	Trying Phase = "trying"
	// Moving: it gets all new requests, and the old targets end what they have.
	Moving Phase = "moving"
	// Completed: the old targets are stopped.
	Completed Phase = "completed"
	// RolledBack: the new version gets nothing.
	RolledBack Phase = "rolledBack"
)

// Over reports whether the roll-out is decided.
func (p Phase) Over() bool { return p == Completed || p == RolledBack }

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

// State is how far the roll-out of a service is, as the platform's store keeps it.
type State struct {
	// Order is the revision of the order that it is about.
	Order   int64  `json:"order"`
	Version string `json:"version"`
	Phase   Phase  `json:"phase"`
	// Blocked are versions that get nothing, whatever is asked for later: they were taken back, or
	// their order was replaced before it was decided.
	Blocked []string `json:"blocked,omitempty"`
	// Begun is when the order was first seen, in Unix milliseconds. It serves daemons that start
	// during the roll-out.
	Begun int64 `json:"begun"`
	// Why says what decided it.
	Why string `json:"why,omitempty"`
}

// about reports whether the state is that of an order. An order that a store which came back from an
// older copy tells, or that is written there again, is the same one by another revision.
func (st *State) about(o *Order) bool {
	return st.Order == o.Revision || (st.Version == o.Version && plat.Era(st.Order) < plat.Era(o.Revision) && o.Revision != 0)
}

// older reports whether the state is from before another one.
func (st *State) older(than *State) bool {
	return st.Order < than.Order || (st.Order == than.Order && st.Phase.rank() < than.Phase.rank())
}

// Side says which versions of a service a request may go to. The zero value allows all.
type Side struct {
	// Prefer is the version to use if one of its targets can be used; "" stands for none.
	Prefer string
	// Not are the versions that must not be used.
	Not []string
	// Trial is the version on trial where it is one of Not: it is used all the same where no target
	// of another version is listed, as when operators ask for the version that all have.
	Trial string
	// Few is the part of the preferred version's targets that is used, so that each gets as many
	// requests as if it had all of its share; 0 stands for all.
	Few float64
}

// Allows reports whether a request may go to a version at all.
func (s *Side) Allows(version string) bool { return !slices.Contains(s.Not, version) }

// Aside returns which versions a request may go to that failed at a version on trial.
func (s Side) Aside() Side {
	if s.Few == 0 {
		return s
	}
	return Side{Not: append(slices.Clone(s.Not), s.Prefer)}
}

// Sum is what is known of the answers to one kind of request by one version.
type Sum struct {
	// Answers is how many came, and Bad how many of these were failures of the target.
	Answers, Bad int
	// Times is how many times to a first answer were observed, and Log and Square the sums of the
	// logarithms of each over the expected time, and of their squares.
	Times       int
	Log, Square float64
}

// add adds what another daemon knows.
func (s *Sum) add(o Sum) {
	s.Answers += o.Answers
	s.Bad += o.Bad
	s.Times += o.Times
	s.Log += o.Log
	s.Square += o.Square
}

// Pair is what is known of one kind of request by both versions.
type Pair struct{ New, Old Sum }

// Report is what one daemon knows of the roll-out of a service.
type Report struct {
	Service string
	// Order is the revision of the order, and Phase the one that the daemon goes by.
	Order int64
	Phase Phase
	// OldRunning is how many requests the daemon has on their way to other versions.
	OldRunning int
	Routes     map[string]Pair
}
