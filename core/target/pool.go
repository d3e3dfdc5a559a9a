package target

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/memory"
	"embertally.dev/core/wait"
)

// Pool keeps connections to targets and sends requests on them, each exactly once. Unlike the
// standard transport it never retries a request by itself, reports whether a failed one may have
// arrived, bounds the connections to each target, and discards a connection on which unrequested
// bytes arrive. The zero value is ready to use.
//
// Lock order: locks of the Detour are taken under poolMu.
type Pool struct {
	// Opened, if set, counts the connections that were opened. Refused counts attempts to open one that
	// were refused, and Unanswered those that got no answer at all.
	Opened, Refused, Unanswered interface{ Inc() }
	// Repeated, if set, counts the requests that were written to a connection that had carried their ID before, which no
	// request should be. PassedOver counts those that were not sent on an idle connection for that reason, Retired the
	// connections that were closed since they remember no more requests.
	Repeated, PassedOver, Retired interface{ Inc() }
	// Detour, if set, opens connections where this box's own path to a target is broken.
	Detour Detour
	// Lender, if set, opens connections where this box's share of a target's connections is used up.
	Lender Lender
	// Memory, if set, bounds what is held of responses. It is set before use.
	Memory *memory.Budget
	// OnPartitioned, if set, is called at intervals with the result of Partitioned while paths are
	// failing, by one goroutine at a time.
	OnPartitioned func(partitioned bool)

	// OnFound, if set, is called with an address when the search for paths that work again has opened a
	// connection there. It is set before use.
	OnFound func(address string)

	arrivals arrivals
	// connections is the number of connections that were opened, and the number of the last one.
	connections atomic.Uint64

	poolMu    sync.Mutex
	addresses map[string]*addressState // guarded by poolMu
	openTimes map[string]*openTimes    // by Request.Group; guarded by poolMu
	searching bool                     // a pathSearch runs; guarded by poolMu
	// lastFailedAt is when the last attempt began at which a path failed. Guarded by poolMu.
	lastFailedAt time.Time
	// recoveredAt is when something arrived after this box had counted as partitioned. Guarded by poolMu.
	recoveredAt time.Time
}

// addressState is the state of the connections to one address.
type addressState struct {
	idle []*poolConn
	// open is the number of connections, including idle ones and those being opened.
	open int
	// opening is the number of those that are being opened.
	opening int
	// borrowed is the number of those that count against the share of another box.
	borrowed int
	// noLenderUntil is the time until which no connection is borrowed.
	noLenderUntil time.Time
	// maxOpen bounds the open ones that are not borrowed; 0 means no bound.
	maxOpen int
	// keepAlive is how long the target keeps an idle connection.
	keepAlive time.Duration
	// roundTrip is the shortest time that a connection took to open.
	roundTrip time.Duration
	// respondedAt is when a response last began on any connection.
	respondedAt time.Time
	path        path
	// abandoned is the number of connections being opened that no request waits for.
	abandoned int
	// verifying is set while a verifier runs.
	verifying bool
	// removed is set from CloseIdle until the next request: no connection is kept.
	removed bool
}

// Bounds of idle connections and of writing.
const (
	// defaultKeepAlive is how long an idle connection is reused if the target does not state how
	// long it keeps one.
	defaultKeepAlive = 4 * time.Second
	// keepAliveMargin is subtracted from the time that a target states.
	keepAliveMargin = 700 * time.Millisecond
	// maxDirectWrite is the largest body that is written synchronously. Such a request fits into
	// the buffers of a connection, so that writing it does not wait for the target to read.
	maxDirectWrite = 4 << 10
	// writeWait is how long to wait for the writing of a longer request to finish once its response
	// is complete: by then the last write has returned, or the target has not read the request.
	writeWait = 10 * time.Millisecond
	// maxIdle bounds the idle connections to one target.
	maxIdle = 24
	// pollInterval is the interval between checks for a free connection.
	pollInterval = 5 * time.Millisecond
)

// ErrFull means that the target has as many connections as it may have.
var ErrFull = errors.New("all connections to the target are in use")

// SetMaxConns bounds the connections to an address; 0 means no bound.
func (p *Pool) SetMaxConns(address string, maxOpen int) {
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	p.state(address).maxOpen = maxOpen
}

// state returns the state of an address, and creates it if needed. It is called with poolMu held.
func (p *Pool) state(address string) *addressState {
	if p.addresses == nil {
		p.addresses = map[string]*addressState{}
	}
	state := p.addresses[address]
	if state == nil {
		state = &addressState{keepAlive: defaultKeepAlive}
		p.addresses[address] = state
	}
	return state
}

// CloseIdle closes the idle connections to an address that was removed. Those in use are closed when
// their requests end, unless the address is used again.
func (p *Pool) CloseIdle(address string) {
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	state := p.addresses[address]
	if state == nil {
		return
	}
	for _, conn := range state.idle {
		conn.stream.Close()
		state.remove(conn)
	}
	state.idle, state.removed = nil, true
	p.forget(address, state)
}

// forget removes the state of a removed address once no connection is open. It is called with poolMu
// held.
func (p *Pool) forget(address string, state *addressState) {
	if state.removed && state.open <= 0 {
		delete(p.addresses, address)
	}
}

// FreeCapacity returns how many more requests can be sent to an address at once.
func (p *Pool) FreeCapacity(address string) int {
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	state := p.addresses[address]
	if state == nil || state.maxOpen == 0 {
		return maxIdle
	}
	free := state.maxOpen - state.ownOpen() + len(state.idle)
	if free <= 0 && p.mayBorrow(state) {
		return 1
	}
	return free
}

// Opening returns the number of connections that are being opened, to all addresses.
func (p *Pool) Opening() int {
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	n := 0
	for _, state := range p.addresses {
		n += state.opening
	}
	return n
}

// OnlyOpening reports whether all connections to an address that is full are still being opened, so
// that the target may have room for requests.
func (p *Pool) OnlyOpening(address string) bool {
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	state := p.addresses[address]
	return state != nil && state.opening > 0 && state.opening == state.open
}

// HasIdle reports whether an idle connection to an address is open.
func (p *Pool) HasIdle(address string) bool {
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	state := p.addresses[address]
	if state == nil || len(state.idle) == 0 {
		return false
	}
	return time.Since(state.idle[len(state.idle)-1].lastUsed) < state.keepAlive
}

// Send sends a request and returns the response with its header read. The caller must Close the
// response. An error is a *SendError.
func (p *Pool) Send(ctx context.Context, address string, req *Request) (*Response, error) {
	conn, err := p.get(ctx, address, req)
	if err != nil {
		return nil, &SendError{cause: err}
	}
	// An idle connection is returned also if the context has ended.
	err = context.Cause(ctx)
	if err == nil && req.BeforeWrite != nil {
		err = req.BeforeWrite()
	}
	if err != nil {
		p.putUnused(conn)
		return nil, &SendError{cause: err}
	}
	resp := &Response{conn: conn, written: make(chan struct{}), done: ctx.Done()}
	start := time.Now()
	resp.box, resp.carriage = conn.box, conn.carry(req)
	resp.stopCancel = context.AfterFunc(ctx, func() { conn.tcp.SetDeadline(time.Unix(1, 0)) })
	w := writer{conn, req, &resp.writes, resp.written}
	resp.writes.Begin()
	if len(req.Body) <= maxDirectWrite {
		w.run()
	} else {
		go w.run()
	}
	if req.OnSilent != nil {
		defer time.AfterFunc(silentTime, silenceCheck{conn, start, req.OnSilent}.run).Stop()
	}
	if err := resp.readHead(req.Method); err != nil {
		early := !conn.lastUsed.IsZero() && time.Since(start) < p.roundTrip(conn)
		resp.failed = true
		resp.Close()
		switch {
		case errors.Is(ctx.Err(), context.DeadlineExceeded):
			p.closeSilent(address, start)
		case ctx.Err() == nil && !early:
			p.connectionFailed(conn, err)
		}
		if c := context.Cause(ctx); c != nil {
			err = c
		}
		return nil, &SendError{MayHaveArrived: true, ClosedEarly: early, cause: err, carriage: resp.carriage}
	}
	p.recordResponse(address)
	return resp, nil
}

// recordResponse records that a response has begun.
func (p *Pool) recordResponse(address string) {
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	if state := p.addresses[address]; state != nil {
		state.respondedAt = time.Now()
	}
}

// connectionFailed records that a connection broke under a request.
func (p *Pool) connectionFailed(conn *poolConn, err error) {
	switch {
	case conn.box == "":
		p.pathFailed(conn.address, time.Now(), nil)
	case errors.Is(err, ErrDetourLost):
		p.Detour.RecordLost(conn.box)
	}
}

// closeSilent closes the idle connections to an address that have been unused since before a request
// that was not answered, unless another one was answered meanwhile: the connections may carry nothing
// any more, and each would cost a request.
func (p *Pool) closeSilent(address string, since time.Time) {
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	state := p.addresses[address]
	if state == nil || state.respondedAt.After(since) {
		return
	}
	used := func(conn *poolConn) bool { return conn.lastUsed.After(since) }
	for _, conn := range state.idle {
		if !used(conn) {
			conn.stream.Close()
			state.remove(conn)
		}
	}
	state.idle = slices.DeleteFunc(state.idle, func(conn *poolConn) bool { return !used(conn) })
	p.forget(address, state)
}

// Connect opens a connection to a target at an address and keeps it for the next request. If that
// fails, it tries to open one through another box; the error is that of Send.
func (p *Pool) Connect(ctx context.Context, address, target string) error {
	p.poolMu.Lock()
	state := p.state(address)
	state.removed = false
	full := state.full()
	if !full {
		state.open++
		state.opening++
	}
	p.poolMu.Unlock()
	if full {
		return errors.WithStack(ErrFull)
	}
	conn, err := p.open(ctx, address)
	if err != nil && p.Detour != nil {
		var detourErr error
		p.reserveExtra(address)
		if conn, detourErr = p.openDetour(ctx, address, target); detourErr != nil {
			err = joinErrors(err, detourErr)
		} else {
			err = nil
		}
	}
	if err != nil {
		return err
	}
	p.put(conn, "")
	return nil
}

// roundTrip returns the round trip of a connection. A connection that is closed sooner after a
// request was sent was closed before the target could read the request. Without this check, a
// request sent to a second worker that was crashing for another reason was taken for the cause of
// that crash.
//
// If the kernel has no measurement, the shortest time to open a connection to the address is used.
// It is longer, because it includes the time that processes wait for a processor: used alone, it
// hid one crash in four tries on a busy box.
func (p *Pool) roundTrip(conn *poolConn) time.Duration {
	if measured := conn.minRoundTrip(); measured > 0 {
		return measured
	}
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	if state := p.addresses[conn.address]; state != nil {
		return state.roundTrip
	}
	return 0
}

// get returns a connection to an address. If all are in use, it waits until one is free or ctx
// ends.
func (p *Pool) get(ctx context.Context, address string, req *Request) (*poolConn, error) {
	for {
		conn, canOpen := p.reserve(address, req)
		if conn != nil {
			return conn, nil
		}
		if canOpen {
			return p.openFor(ctx, address, req)
		}
		if conn, err := p.borrow(ctx, address, req.Target); err == nil {
			return conn, nil
		}
		if !wait.For(ctx, pollInterval) {
			return nil, errors.WithStack(ErrFull)
		}
	}
}

// reserve returns an idle connection that is still alive and has not carried the request, or whether a new one may be
// opened. In that case the new one is counted already. With NewConnection no idle connection is returned. One that may
// not be used is closed if that makes room for a new one.
func (p *Pool) reserve(address string, req *Request) (*poolConn, bool) {
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	state := p.state(address)
	state.removed = false
	p.want(state)
	maxIdleTime := state.keepAlive
	if req.MaxIdle > 0 {
		maxIdleTime = min(maxIdleTime, req.MaxIdle)
	}
	onlyNew, partitioned := req.NewConnection, p.partitioned()
	// carried is an idle connection that has carried the request, if possible one whose end makes room.
	var carried *poolConn
	id := hashID(req.ID)
	for i := len(state.idle) - 1; i >= 0 && (!onlyNew || state.full()); i-- {
		conn := state.idle[i]
		if partitioned && conn.box == "" && !onlyNew {
			// It may carry requests again once the box has its paths back.
			continue
		}
		if !onlyNew && conn.carried.has(id) {
			if carried == nil || !conn.borrowed {
				carried = conn
			}
			continue
		}
		state.idle = slices.Delete(state.idle, i, i+1)
		if !onlyNew && time.Since(conn.lastUsed) < maxIdleTime && !conn.isDead() && p.fits(conn, state, partitioned) {
			return conn, false
		}
		conn.stream.Close()
		state.remove(conn)
	}
	if carried != nil && p.PassedOver != nil {
		p.PassedOver.Inc()
	}
	if carried != nil && !carried.borrowed && state.full() {
		state.dropIdle(carried)
	}
	if state.full() {
		return nil, false
	}
	state.open++
	state.opening++
	return nil, true
}

// fits reports whether a connection leads to the target the way that is to be used: through another box
// only while this box's own path is failing or its share is used up, and that box still works. It is called with poolMu held.
func (p *Pool) fits(conn *poolConn, state *addressState, partitioned bool) bool {
	if conn.box == "" {
		return true
	}
	if conn.borrowed {
		return state.full() && p.Detour.Usable(conn.box)
	}
	return (partitioned || !state.path.failedAt.IsZero()) && p.Detour.Usable(conn.box)
}

// CloseDetours closes the idle connections through other boxes that are not needed any more, or whose
// box is not usable.
func (p *Pool) CloseDetours() {
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	partitioned := p.partitioned()
	for address, state := range p.addresses {
		state.idle = slices.DeleteFunc(state.idle, func(conn *poolConn) bool {
			limit := state.keepAlive
			if conn.borrowed {
				limit = borrowedIdleTime
			}
			if p.fits(conn, state, partitioned) && (conn.box == "" || time.Since(conn.lastUsed) < limit) {
				return false
			}
			conn.stream.Close()
			state.remove(conn)
			return true
		})
		p.forget(address, state)
	}
}

// closeConn closes a connection and no longer counts it as open.
func (p *Pool) closeConn(conn *poolConn) {
	conn.stream.Close()
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	if state := p.addresses[conn.address]; state != nil {
		state.remove(conn)
		p.forget(conn.address, state)
	}
}

// put keeps a connection for the next request.
func (p *Pool) put(conn *poolConn, keepAlive string) {
	conn.lastUsed = time.Now()
	p.keepIdle(conn, keepAlive)
}

// putUnused keeps a connection on which nothing was sent. For the target its idle time has not
// restarted.
func (p *Pool) putUnused(conn *poolConn) {
	if conn.lastUsed.IsZero() {
		conn.lastUsed = time.Now()
	}
	p.keepIdle(conn, "")
}

// keepIdle adds a connection to the idle ones.
func (p *Pool) keepIdle(conn *poolConn, keepAlive string) {
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	state := p.state(conn.address)
	if d, ok := parseKeepAlive(keepAlive); ok {
		state.keepAlive = d
	}
	retired := conn.carried.full()
	if retired && p.Retired != nil {
		p.Retired.Inc()
	}
	if state.removed || retired || len(state.idle) >= maxIdle {
		conn.stream.Close()
		state.remove(conn)
		p.forget(conn.address, state)
		return
	}
	state.idle = append(state.idle, conn)
}

// parseKeepAlive returns how long to reuse an idle connection according to a Keep-Alive header.
func parseKeepAlive(header string) (time.Duration, bool) {
	for _, f := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(f), "=")
		secs, err := strconv.Atoi(value)
		if name != "timeout" || err != nil {
			continue
		}
		return max(0, time.Duration(secs)*time.Second-keepAliveMargin), true
	}
	return 0, false
}
