package target

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// ErrSlowOpen means that a connection took longer to open than those to similar targets usually do.
// Nothing has been sent.
var ErrSlowOpen = errors.New("the connection takes longer to open than usual")

// OpenLimit returns the time after which the opening of a connection to an address is abandoned. It
// is the longest that a request with Request.ReplaceSlowOpen usually loses at a target that does not
// respond.
func (p *Pool) OpenLimit(address, group string) time.Duration {
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	var shortest time.Duration
	if state := p.addresses[address]; state != nil {
		shortest = state.roundTrip
	}
	times := p.openTimes[group]
	if times == nil {
		times = &openTimes{}
	}
	return times.limit(shortest)
}

// learnOpenTime records the time that a connection to a target of a group took to open.
func (p *Pool) learnOpenTime(group string, elapsed time.Duration) {
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	if p.openTimes == nil {
		p.openTimes = map[string]*openTimes{}
	}
	if p.openTimes[group] == nil {
		p.openTimes[group] = &openTimes{}
	}
	p.openTimes[group].add(elapsed)
}

// openFor opens a connection for a request, which reserve has counted.
func (p *Pool) openFor(ctx context.Context, address string, req *Request) (*poolConn, error) {
	if !p.hasDetour(req) {
		return p.openDirect(ctx, address, req)
	}
	if p.needsDetour(address) {
		conn, err := p.openDetour(ctx, address, req.Target)
		noneCanTell := err != nil && !aboutTarget(err)
		if !errors.Is(err, ErrNoDetour) && !(noneCanTell && p.pathUnknown(address)) {
			return conn, p.detourOpened(req, err)
		}
		p.reserveExtra(address)
	}
	conn, err := p.openDirect(ctx, address, req)
	if err == nil || ctx.Err() != nil {
		return conn, err
	}
	if req.SecondOpen || p.Partitioned() {
		p.reserveExtra(address)
		conn, detourErr := p.openDetour(ctx, address, req.Target)
		if req.OnlyTarget && errors.Is(err, ErrSlowOpen) && !errors.Is(detourErr, ErrTargetRefused) && detourErr != nil {
			p.reserveExtra(address)
			return p.openInGroup(ctx, address, req.Group)
		}
		if detourErr != nil {
			detourErr = joinErrors(err, detourErr)
		}
		return conn, p.detourOpened(req, detourErr)
	}
	if !errors.Is(err, ErrSlowOpen) {
		p.verify(address, req, err)
	}
	return nil, unverifiedError{err}
}

// detourOpened reports the result of opening a connection through another box for a request.
func (p *Pool) detourOpened(req *Request, err error) error {
	switch {
	case err == nil:
		if req.OnOpen != nil {
			req.OnOpen(false, nil)
		}
		return nil
	case aboutTarget(err), errors.Is(err, ErrNoDetour), errors.Is(err, syscall.ECONNREFUSED):
		return err
	}
	return unverifiedError{err}
}

// openDirect opens a direct connection for a request.
func (p *Pool) openDirect(ctx context.Context, address string, req *Request) (*poolConn, error) {
	if !req.ReplaceSlowOpen {
		conn, err := p.openInGroup(ctx, address, req.Group)
		if req.OnOpen != nil {
			req.OnOpen(false, err)
		}
		return conn, err
	}
	dialCtx, cancel := context.WithCancel(context.Background())
	o := opener{
		pool: p, address: address, req: req, began: time.Now(), cancel: cancel,
		result: make(chan openResult), abandoned: make(chan struct{}),
	}
	go o.run(dialCtx)
	return o.wait(ctx, p.OpenLimit(address, req.Group))
}

// opener opens one connection, also beyond the time that its request waits.
type opener struct {
	pool    *Pool
	address string
	req     *Request
	began   time.Time
	// cancel ends the opening.
	cancel context.CancelFunc
	// result is received by the request, unless abandoned is closed.
	result    chan openResult
	abandoned chan struct{}
}

// openResult is the result of opening a connection.
type openResult struct {
	conn *poolConn
	err  error
}

// run opens the connection. It does not end with the request's context: that the target responds
// after all is worth knowing for other requests, and openTimeout bounds it.
func (o *opener) run(ctx context.Context) {
	defer o.cancel()
	conn, err := o.pool.openInGroup(ctx, o.address, o.req.Group)
	select {
	case o.result <- openResult{conn, err}:
		return
	case <-o.abandoned:
	}
	if err == nil {
		o.pool.putUnused(conn)
	}
	if ctx.Err() != nil {
		// Another one goes on.
		return
	}
	o.pool.endAbandoned(o.address)
	switch {
	case err != nil && o.pool.hasDetour(o.req):
		o.pool.verify(o.address, o.req, err)
	case o.req.OnOpen != nil:
		o.req.OnOpen(true, err)
	}
}

// abandonOpening lets the connection open in the background. One that does so is enough to learn whether
// the target responds; further ones would take up the target's connections.
func (o *opener) abandonOpening() {
	o.pool.poolMu.Lock()
	defer o.pool.poolMu.Unlock()
	defer close(o.abandoned)
	state := o.pool.state(o.address)
	if state.abandoned > 0 {
		o.cancel()
		return
	}
	state.abandoned++
}

// endAbandoned records that a connection that was abandoned has opened or failed.
func (p *Pool) endAbandoned(address string) {
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	if state := p.addresses[address]; state != nil {
		state.abandoned--
	}
}

// wait waits for the connection up to limit or until ctx ends.
func (o *opener) wait(ctx context.Context, limit time.Duration) (*poolConn, error) {
	w := newOpenWait(limit)
	timer := time.NewTimer(w.step)
	defer timer.Stop()
	for {
		start := time.Now()
		select {
		case r := <-o.result:
			if o.req.OnOpen != nil {
				o.req.OnOpen(false, r.err)
			}
			return r.conn, r.err
		case <-ctx.Done():
			o.abandonOpening()
			return nil, errors.WithStack(ctx.Err())
		case <-timer.C:
		}
		if w.advance(time.Since(start)) {
			return o.abandon()
		}
		timer.Reset(w.step)
	}
}

// abandon ends the wait, unless the connection has just opened.
func (o *opener) abandon() (*poolConn, error) {
	select {
	case r := <-o.result:
		if o.req.OnOpen != nil {
			o.req.OnOpen(false, r.err)
		}
		return r.conn, r.err
	default:
		o.abandonOpening()
		o.pool.pathFailed(o.address, o.began, nil)
		return nil, errors.WithStack(ErrSlowOpen)
	}
}
