// Package once owns the requests that may not be repeated: the claims that
// must be committed before a call is handed to a target, and their outcomes.
//
// It must not know what a call does or how it is relayed. At most once rests
// on guarded writes alone; clocks only decide how long a claim is remembered.
package once

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/lease"
	"embertally.dev/core/plat"
	"embertally.dev/core/wire"
)

// kv is what claims need of the key-value service.
type kv interface {
	lease.KV
	Range(ctx context.Context, span plat.Span) ([]plat.Pair, int64, error)
}

// peers is what claims need of the other daemons.
type peers interface {
	// Owner returns who has the duty of owning a shard.
	Owner(shard int) string
	// Running reports whether a daemon still runs in the incarnation.
	Running(name, incarnation string) bool
	Call(ctx context.Context, peer string, kind wire.Kind, req, resp any) error
}

// fleetPeers are the peers as the fleet knows them.
type fleetPeers struct{ *fleet.Fleet }

// Owner returns who has the duty of owning a shard.
func (p fleetPeers) Owner(shard int) string { return p.View().DutyOf(fleet.Key(duty(shard))) }

// Running reports whether a daemon still runs in the incarnation.
func (p fleetPeers) Running(name, incarnation string) bool {
	for _, peer := range p.View().Peers() {
		if peer.Name == name {
			return peer.Alive && peer.Incarnation == incarnation
		}
	}
	return false
}

// DefaultWindow is how long a key may be used.
const DefaultWindow = 10 * time.Minute

// Options of Once.
type Options struct {
	Name        string
	Incarnation string
	// Window is how long a key may be used; zero means DefaultWindow.
	Window time.Duration
	Fleet  *fleet.Fleet
	KV     kv
	Log    *event.Log
}

// Once claims calls and owns this daemon's shards of claims.
type Once struct {
	name        string
	incarnation string
	window      time.Duration
	peers       peers
	kv          kv
	log         *event.Log
	shards      [shards]*shard
	writes      atomic.Int64
	settling    chan *settle
	// limit bounds the wait for a claim to be committed.
	limit   time.Duration
	tickets *tickets
}

// maxSettling bounds the ends of attempts that wait to be told to an owner.
const maxSettling = 4096

// New returns Once and registers its messages with the fleet.
func New(o Options) *Once {
	c := newOnce(o, fleetPeers{o.Fleet})
	o.Fleet.Mux().Register(kindClaim, wire.Handle(func(ctx context.Context, _ string, m *Claim) (Answer, error) {
		ctx, cancel := context.WithTimeout(ctx, c.limit)
		defer cancel()
		return c.shards[m.Key.shard()].claim(ctx, m), nil
	}))
	o.Fleet.Mux().Register(kindSettle, wire.Handle(func(ctx context.Context, _ string, m *settle) (bool, error) {
		return c.shards[m.Key.shard()].settled(ctx, m), nil
	}))
	o.Fleet.Mux().Register(kindTicket, wire.Handle(func(_ context.Context, _ string, m *ticketAsk) (Answer, error) {
		return c.grantTicket(m), nil
	}))
	o.Fleet.Mux().Register(kindTicketSettle, wire.Handle(func(_ context.Context, _ string, m *settle) (bool, error) {
		c.tickets.settle(m)
		return true, nil
	}))
	return c
}

func newOnce(o Options, p peers) *Once {
	c := &Once{
		name: o.Name, incarnation: o.Incarnation, window: o.Window, peers: p, kv: o.KV, log: o.Log,
		settling: make(chan *settle, maxSettling), limit: claimLimit, tickets: newTickets(),
	}
	if c.window == 0 {
		c.window = DefaultWindow
	}
	for i := range c.shards {
		c.shards[i] = &shard{n: i, owner: c, kick: make(chan struct{}, 1)}
	}
	return c
}

// Run owns shards and tells ends until ctx ends.
func (c *Once) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range c.shards {
		wg.Go(func() { s.run(ctx) })
	}
	for range settlers {
		wg.Go(func() { settler{c}.run(ctx) })
	}
	wg.Wait()
}

// settlers is how many ends of attempts are told at once.
const settlers = 64

// Writes returns how many batches this daemon committed.
func (c *Once) Writes() int64 { return c.writes.Load() }

// Owned returns how many shards this daemon owns.
func (c *Once) Owned() int {
	n := 0
	for _, s := range c.shards {
		if s.isOwned() {
			n++
		}
	}
	return n
}

func duty(shard int) string { return "once/" + strconv.Itoa(shard) }

// Duties returns the names of the duties of owning shards.
func Duties() []string {
	out := make([]string, shards)
	for i := range out {
		out[i] = duty(i)
	}
	return out
}

func (c *Once) hasDuty(shard int) bool { return c.ownerOf(shard) == c.name }

func (c *Once) ownerOf(shard int) string { return c.peers.Owner(shard) }

// running reports whether a daemon still runs in the incarnation.
func (c *Once) running(name, incarnation string) bool {
	if name == c.name {
		return incarnation == c.incarnation
	}
	return c.peers.Running(name, incarnation)
}

// claimLimit bounds the wait for a claim to be committed.
const claimLimit = 3 * time.Second

// Attempt is a granted claim. Exactly one of its methods must be called.
type Attempt struct {
	once *Once
	key  Key
	id   string
	// issuer is who granted a ticket; empty for claims.
	issuer string
}

// Claim asks for the right to run a call. With any answer but Granted the
// call must not be run, and this try has not run it.
func (c *Once) Claim(ctx context.Context, key Key, keyTime time.Time, digest uint64) (*Attempt, Answer) {
	ctx, cancel := context.WithTimeout(ctx, c.limit)
	defer cancel()
	m := &Claim{
		Key: key, KeyMillis: keyTime.UnixMilli(), Attempt: uuid.NewString(),
		Asker: c.name, Incarnation: c.incarnation, Print: digest,
	}
	a := &Attempt{once: c, key: key, id: m.Attempt}
	ans := c.askOwner(ctx, m)
	if ans.State == Unavailable {
		// The claim may be committed all the same: give it back.
		a.NotRun()
	}
	if ans.State != Granted {
		return nil, ans
	}
	return a, ans
}

// askOwner asks until a daemon that owns the shard answers. Asking again is
// safe: the claim of one attempt is granted to this asker alone.
func (c *Once) askOwner(ctx context.Context, m *Claim) Answer {
	for {
		ans, err := c.ask(ctx, m)
		if err == nil && ans.State != notOwner {
			return ans
		}
		if err != nil && !errors.Is(err, wire.ErrNotSent) {
			return Answer{State: Unavailable}
		}
		t := time.NewTimer(ownerPause)
		select {
		case <-ctx.Done():
			t.Stop()
			return Answer{State: Unavailable}
		case <-t.C:
		}
	}
}

// ownerPause spaces the looks for the owner of a shard that changes hands.
const ownerPause = 50 * time.Millisecond

func (c *Once) ask(ctx context.Context, m *Claim) (Answer, error) {
	n := m.Key.shard()
	owner := c.ownerOf(n)
	if owner == c.name {
		return c.shards[n].claim(ctx, m), nil
	}
	if owner == "" {
		return Answer{State: notOwner}, nil
	}
	var ans Answer
	return ans, c.peers.Call(ctx, owner, kindClaim, m, &ans)
}

// Ran records the outcome of the call.
func (a *Attempt) Ran(o Outcome) {
	if len(o.Body) > MaxKeptBody {
		o.Body, o.Cut = nil, true
	}
	a.tell(endRan, o)
}

// NotRun gives the claim back: nothing was sent to a target.
func (a *Attempt) NotRun() { a.tell(endNotRun, Outcome{}) }

// Unknown records that it is not known whether the call ran.
func (a *Attempt) Unknown() { a.tell(endUnknown, Outcome{}) }

func (a *Attempt) tell(e end, o Outcome) {
	select {
	case a.once.settling <- &settle{Key: a.key, Attempt: a.id, End: e, Outcome: o, issuer: a.issuer}:
	default:
		// Without its end the claim reads as running or unknown, which is safe.
	}
}

// settler tells the ends of attempts to the owners of their shards.
type settler struct{ *Once }

// settleLimit bounds how long one end is tried to be told.
const settleLimit = 20 * time.Second

// settleWait bounds one telling, which ends when the service holds it.
const settleWait = 5 * time.Second

func (s settler) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.settling:
			s.handle(ctx, m)
		}
	}
}

func (s settler) handle(ctx context.Context, m *settle) {
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	for !s.tell(ctx, m) {
		t := time.NewTimer(retryPause)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
	}
}

func (s settler) tell(ctx context.Context, m *settle) bool {
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
		return s.shards[n].settled(ctx, m)
	}
	ctx, cancel := context.WithTimeout(ctx, settleWait)
	defer cancel()
	var taken bool
	return s.peers.Call(ctx, to, kind, m, &taken) == nil && taken
}
