package order

import "context"

// WeightOrder instructs a worker to load a version of a model's weights.
type WeightOrder struct {
	// Target is the incarnation of the worker that the order is for.
	Target  string
	Model   string
	Version int64
	// Holder is the name of the daemon that sends the order, and Fence the fencing
	// token of its lease.
	Holder string
	Fence  uint64
	// AcceptedBefore is the number of orders the worker had accepted before this one.
	// The worker rejects the order if it has accepted others, so that an order
	// that arrives late does not undo a newer one.
	AcceptedBefore int64
}

// Verdict is a worker's response to an order.
type Verdict int

// Verdicts.
const (
	// Accepted: the worker will load the weights.
	Accepted Verdict = iota
	// AlreadyLoaded: it has loaded them already.
	AlreadyLoaded
	// Conflict: it is busy with another order, or has accepted others.
	Conflict
	// Fenced: it has seen a higher fencing token.
	Fenced
	// OtherIncarnation: another incarnation has its address.
	OtherIncarnation
	// Rejected: it rejects the order, as it does not support it or the version is not
	// the desired one.
	Rejected
)

// String returns the verdict as written in log lines.
func (v Verdict) String() string {
	return [...]string{"taken", "held", "conflict", "fenced", "elsewhere", "refused"}[v]
}

// WorkerState is a worker's report about orders.
type WorkerState struct {
	// Incarnation is the incarnation of the worker that reports, or "" if it does not
	// report one.
	Incarnation string
	Busy        bool
	// AcceptedOrders is the number of orders the worker has accepted.
	AcceptedOrders int64
	// Weights holds the loaded version of each model.
	Weights map[string]int64
}

// WorkerClient sends orders to workers.
type WorkerClient interface {
	// Order sends an order. After an error it may have been accepted, or may be
	// accepted later.
	Order(ctx context.Context, address string, o WeightOrder) (Verdict, error)
	// State requests the state of the worker at an address. target is the
	// incarnation expected there.
	State(ctx context.Context, address, target string) (WorkerState, error)
}

// Leadership is the leadership lease for sending orders.
type Leadership interface {
	// Held reports whether this daemon holds the lease.
	Held() bool
	// Act returns the fencing token of an order, and whether the order may be sent now.
	Act() (uint64, bool)
	// RecordFenced records that a worker has seen a higher fencing token.
	RecordFenced(fence uint64)
}
