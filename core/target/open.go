package target

import (
	"context"
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
	if !req.ReplaceSlowOpen {
		conn, err := p.openInGroup(ctx, address, req.Group)
		if req.OnOpen != nil {
			req.OnOpen(false, err)
		}
		return conn, err
	}
	o := opener{
		pool: p, address: address, group: req.Group, onOpen: req.OnOpen,
		result: make(chan openResult), abandoned: make(chan struct{}),
	}
	go o.run()
	return o.wait(ctx, p.OpenLimit(address, req.Group))
}

// opener opens one connection, also beyond the time that its request waits.
type opener struct {
	pool           *Pool
	address, group string
	onOpen         func(late bool, err error)
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
func (o *opener) run() {
	conn, err := o.pool.openInGroup(context.Background(), o.address, o.group)
	select {
	case o.result <- openResult{conn, err}:
		return
	case <-o.abandoned:
	}
	if err == nil {
		o.pool.putUnused(conn)
	}
	if o.onOpen != nil {
		o.onOpen(true, err)
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
			if o.onOpen != nil {
				o.onOpen(false, r.err)
			}
			return r.conn, r.err
		case <-ctx.Done():
			close(o.abandoned)
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
		if o.onOpen != nil {
			o.onOpen(false, r.err)
		}
		return r.conn, r.err
	default:
		close(o.abandoned)
		return nil, errors.WithStack(ErrSlowOpen)
	}
}
