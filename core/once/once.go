// Package once ensures that calls which may not be repeated run at most once. It owns the claims that
// must be committed before a call is sent to a target, and the recorded outcomes.
//
// It must not know what a call does or how it is relayed. The guarantee depends on guarded writes
// only; clocks only determine how long a claim is stored.
package once

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/lease"
	"embertally.dev/core/plat"
	"embertally.dev/core/wait"
	"embertally.dev/core/wire"
)

// kv is the part of the coordination store's client that claims use.
type kv interface {
	lease.KV
	Range(ctx context.Context, span plat.Span) ([]plat.Pair, int64, error)
}

// peers is the interface to the other daemons.
type peers interface {
	// Owner returns the daemon to which a shard is assigned, or "".
	Owner(shard int) string
	// Running reports whether the incarnation of a daemon is alive.
	Running(name, incarnation string) bool
	Call(ctx context.Context, peer string, kind wire.Kind, req, resp any) error
}

// fleetPeers implements peers by the fleet's membership.
type fleetPeers struct{ *fleet.Fleet }

// Owner returns the daemon to which a shard is assigned, or "".
func (p fleetPeers) Owner(shard int) string {
	return p.View().FleetAssignee(fleet.Key(assignment(shard)))
}

// Running reports whether the incarnation of a daemon is alive.
func (p fleetPeers) Running(name, incarnation string) bool {
	for _, peer := range p.View().Peers() {
		if peer.Name == name {
			return peer.Alive && peer.Incarnation == incarnation
		}
	}
	return false
}

// DefaultWindow is how long an idempotency key is valid after the time that it carries.
const DefaultWindow = 10 * time.Minute

// Options configures Once.
type Options struct {
	// Name and Incarnation identify this daemon.
	Name        string
	Incarnation string
	// Window is how long an idempotency key is valid; zero means DefaultWindow.
	Window time.Duration
	Fleet  *fleet.Fleet
	KV     kv
	Log    *event.Log
}

// Once claims calls for this daemon and owns the shards of claims that are assigned to it. It must
// be created with New.
type Once struct {
	name        string
	incarnation string
	window      time.Duration
	peers       peers
	kv          kv
	log         *event.Log
	shards      [shardCount]*shard
	// committedBatches counts the batches that this daemon has committed.
	committedBatches atomic.Int64
	// settlements holds the results of attempts that wait to be sent to an owner.
	settlements chan *settlement
	// claimTimeout bounds the wait for a claim to be committed.
	claimTimeout time.Duration
	tickets      *tickets
}

// maxSettlements bounds the results of attempts that wait to be sent to an owner.
const maxSettlements = 4096

// New returns a Once and registers its message handlers with the fleet.
func New(o Options) *Once {
	c := newOnce(o, fleetPeers{o.Fleet})
	o.Fleet.Mux().Register(kindClaim, wire.Handle(func(ctx context.Context, _ string, m *Claim) (ClaimResponse, error) {
		ctx, cancel := context.WithTimeout(ctx, c.claimTimeout)
		defer cancel()
		return c.shards[m.Key.shard()].claim(ctx, m), nil
	}))
	o.Fleet.Mux().Register(kindSettle, wire.Handle(func(ctx context.Context, _ string, m *settlement) (bool, error) {
		return c.shards[m.Key.shard()].settleAndWait(ctx, m), nil
	}))
	o.Fleet.Mux().Register(kindTicket, wire.Handle(func(_ context.Context, _ string, m *ticketClaim) (ClaimResponse, error) {
		return c.grantTicket(m), nil
	}))
	o.Fleet.Mux().Register(kindTicketSettle, wire.Handle(func(_ context.Context, _ string, m *settlement) (bool, error) {
		c.tickets.settle(m)
		return true, nil
	}))
	return c
}

func newOnce(o Options, p peers) *Once {
	c := &Once{
		name: o.Name, incarnation: o.Incarnation, window: o.Window, peers: p, kv: o.KV, log: o.Log,
		settlements: make(chan *settlement, maxSettlements), claimTimeout: defaultClaimTimeout, tickets: newTickets(),
	}
	if c.window == 0 {
		c.window = DefaultWindow
	}
	for i := range c.shards {
		c.shards[i] = &shard{n: i, once: c, wakeup: make(chan struct{}, 1)}
	}
	return c
}

// Run owns the assigned shards and sends results of attempts to owners, until ctx ends.
func (c *Once) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range c.shards {
		wg.Go(func() { s.run(ctx) })
	}
	for range settlerCount {
		wg.Go(func() { settler{c}.run(ctx) })
	}
	wg.Wait()
}

// settlerCount is how many results of attempts are sent concurrently.
const settlerCount = 64

// CommittedBatches returns how many batches this daemon has committed.
func (c *Once) CommittedBatches() int64 { return c.committedBatches.Load() }

// OwnedShards returns how many shards this daemon owns.
func (c *Once) OwnedShards() int {
	n := 0
	for _, s := range c.shards {
		if s.isOwned() {
			n++
		}
	}
	return n
}

// assignment returns the name of the assignment of a shard.
func assignment(shard int) string { return "once/" + strconv.Itoa(shard) }

// Assignments returns the names of the assignments of all shards.
func Assignments() []string {
	out := make([]string, shardCount)
	for i := range out {
		out[i] = assignment(i)
	}
	return out
}

func (c *Once) isAssigned(shard int) bool { return c.ownerOf(shard) == c.name }

func (c *Once) ownerOf(shard int) string { return c.peers.Owner(shard) }

// running reports whether the incarnation of a daemon is alive.
func (c *Once) running(name, incarnation string) bool {
	if name == c.name {
		return incarnation == c.incarnation
	}
	return c.peers.Running(name, incarnation)
}

// defaultClaimTimeout bounds the wait for a claim to be committed.
const defaultClaimTimeout = 3 * time.Second

// Attempt is a granted claim. Exactly one of its methods must be called.
type Attempt struct {
	once      *Once
	key       Key
	keyMillis int64
	id        string
	// issuer is the daemon that issued the ticket; empty for a claim by idempotency key.
	issuer string
	// recorded is until when the claim is recorded, and with it the result of the attempt.
	recorded clock.Time
}

// recordedUntil returns until when the claim of a key is recorded, by this daemon's time of day.
func (c *Once) recordedUntil(keyMillis int64) clock.Time {
	return clock.Now().Add(min(time.Until(time.UnixMilli(keyMillis)), maxClockSkew) + c.window + maxClockSkew)
}

// Claim requests the right to run a call. Unless the state is Granted, the call must not be run and
// this attempt has not run it.
func (c *Once) Claim(ctx context.Context, key Key, keyTime time.Time, digest uint64) (*Attempt, ClaimResponse) {
	ctx, cancel := context.WithTimeout(ctx, c.claimTimeout)
	defer cancel()
	m := &Claim{
		Key: key, KeyMillis: keyTime.UnixMilli(), Attempt: uuid.NewString(),
		Requester: c.name, Incarnation: c.incarnation, Digest: digest,
	}
	a := &Attempt{once: c, key: key, keyMillis: m.KeyMillis, id: m.Attempt, recorded: c.recordedUntil(m.KeyMillis)}
	ans := c.claimFromOwner(ctx, m)
	if ans.State == Unavailable {
		// The claim may have been committed nevertheless: release it.
		a.Release()
	}
	if ans.State != Granted {
		return nil, ans
	}
	return a, ans
}

// claimFromOwner sends the claim until a daemon that owns the shard responds. Resending is safe: the
// claim of one attempt is granted to this requester only.
func (c *Once) claimFromOwner(ctx context.Context, m *Claim) ClaimResponse {
	for {
		ans, err := c.requestClaim(ctx, m)
		if err == nil && ans.State != notOwner {
			return ans
		}
		if err != nil && !errors.Is(err, wire.ErrNotSent) {
			return ClaimResponse{State: Unavailable}
		}
		t := time.NewTimer(ownerRetryInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return ClaimResponse{State: Unavailable}
		case <-t.C:
		}
	}
}

// ownerRetryInterval is the time between requests while a shard changes its owner.
const ownerRetryInterval = 50 * time.Millisecond

func (c *Once) requestClaim(ctx context.Context, m *Claim) (ClaimResponse, error) {
	n := m.Key.shard()
	owner := c.ownerOf(n)
	if owner == c.name {
		return c.shards[n].claim(ctx, m), nil
	}
	if owner == "" {
		return ClaimResponse{State: notOwner}, nil
	}
	var ans ClaimResponse
	return ans, c.peers.Call(ctx, owner, kindClaim, m, &ans)
}

// RecordOutcome records the outcome of the call.
func (a *Attempt) RecordOutcome(o Outcome) {
	if len(o.Body) > MaxOutcomeBody {
		o.Body, o.BodyOmitted = nil, true
	}
	a.settle(resultRan, o)
}

// Release releases the claim: nothing was sent to a target.
func (a *Attempt) Release() { a.settle(resultNotRun, Outcome{}) }

// RecordUnknown records that it is not known whether the call ran.
func (a *Attempt) RecordUnknown() { a.settle(resultUnknown, Outcome{}) }

func (a *Attempt) settle(r attemptResult, o Outcome) {
	m := &settlement{Key: a.key, KeyMillis: a.keyMillis, Attempt: a.id, Result: r, Outcome: o, issuer: a.issuer, recorded: a.recorded}
	select {
	case a.once.settlements <- m:
	default:
		// A claim without a result counts as running or unknown, which is safe.
	}
}

// settler sends results of attempts to the owners of their shards and to the issuers of tickets.
type settler struct{ *Once }

// settleTimeout bounds one delivery of a result to an owner, which responds once the result is committed.
const settleTimeout = 5 * time.Second

func (s settler) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.settlements:
			if !s.deliver(ctx, m) {
				s.retryLater(ctx, m)
			}
		}
	}
}

// retryLater has a result delivered again after the others that wait, unless the claim is recorded no longer.
func (s settler) retryLater(ctx context.Context, m *settlement) {
	if !wait.For(ctx, retryInterval) || clock.Until(m.recorded) <= 0 {
		return
	}
	select {
	case s.settlements <- m:
	default:
		// As in Attempt.settle.
	}
}

// deliver sends a result once and reports whether it was accepted.
func (s settler) deliver(ctx context.Context, m *settlement) bool {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	n := m.Key.shard()
	to, kind := s.ownerOf(n), kindSettle
	if m.issuer != "" {
		to, kind = m.issuer, kindTicketSettle
	}
	switch {
	case to == s.name && kind == kindTicketSettle:
		s.tickets.settle(m)
		return true
	case to == s.name:
		return s.shards[n].settleAndWait(ctx, m)
	}
	var accepted bool
	return s.peers.Call(ctx, to, kind, m, &accepted) == nil && accepted
}
