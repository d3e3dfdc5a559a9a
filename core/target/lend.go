package target

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
)

// The connections that a target takes are divided evenly among the daemons. A daemon that needs more than its
// share has another one open a connection and forward its bytes. The connection counts at the lender until it is
// closed, whatever becomes of the borrower, so that all daemons together never exceed the limit.

// Lender opens connections out of the shares of other boxes.
type Lender interface {
	// Borrow opens a connection to a target out of another box's share and returns the name of that box. The
	// error wraps ErrFull if none lends one.
	Borrow(ctx context.Context, target string) (conn net.Conn, box string, err error)
}

const (
	// noLenderTime is how long no connection is borrowed after no box lent one.
	noLenderTime = 100 * time.Millisecond
	// borrowedIdleTime is how long a borrowed connection is kept without a request.
	borrowedIdleTime = time.Second
	// lenderReserve is the part of a lender's share, as a divisor, that it keeps for its own next requests.
	lenderReserve = 4
)

// ownOpen returns the number of open connections that count against this daemon's share.
func (s *addressState) ownOpen() int { return s.open - s.borrowed }

// full reports whether this daemon's share is used up.
func (s *addressState) full() bool { return s.maxOpen > 0 && s.ownOpen() >= s.maxOpen }

// remove counts a connection as closed.
func (s *addressState) remove(conn *poolConn) {
	s.open--
	if conn.borrowed {
		s.borrowed--
	}
}

// mayBorrow reports whether another box may lend a connection.
func (p *Pool) mayBorrow(s *addressState) bool {
	return p.Lender != nil && s.full() && !time.Now().Before(s.noLenderUntil)
}

// borrow opens a connection out of another box's share.
func (p *Pool) borrow(ctx context.Context, address, target string) (*poolConn, error) {
	p.poolMu.Lock()
	state := p.state(address)
	may := p.mayBorrow(state) && target != ""
	if may {
		state.open++
		state.borrowed++
	}
	p.poolMu.Unlock()
	if !may {
		return nil, errors.WithStack(ErrFull)
	}
	conn, box, err := p.Lender.Borrow(ctx, target)
	if err != nil {
		p.poolMu.Lock()
		defer p.poolMu.Unlock()
		state := p.state(address)
		state.open--
		state.borrowed--
		state.noLenderUntil = time.Now().Add(noLenderTime)
		p.forget(address, state)
		return nil, err
	}
	c := p.throughBox(address, conn, box)
	c.borrowed = true
	return c, nil
}

// Lend opens a connection for another box out of this daemon's share, which is maxOpen; 0 means no bound. The
// caller must call release when it has closed the connection.
func (p *Pool) Lend(ctx context.Context, address string, maxOpen int) (conn net.Conn, release func(), err error) {
	if !p.reserveLent(address, maxOpen) {
		return nil, nil, errors.WithStack(ErrFull)
	}
	release = func() {
		p.poolMu.Lock()
		defer p.poolMu.Unlock()
		if state := p.addresses[address]; state != nil {
			state.open--
			p.forget(address, state)
		}
	}
	conn, err = p.Dial(ctx, address)
	if err != nil {
		release()
		return nil, nil, err
	}
	return conn, release, nil
}

// reserveLent counts a connection to lend, in place of one that is idle if the share is used up, and reports
// whether this daemon can spare it.
func (p *Pool) reserveLent(address string, maxOpen int) bool {
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	state := p.state(address)
	state.maxOpen = maxOpen
	if maxOpen == 0 {
		state.open++
		return true
	}
	var idle *poolConn
	inUse := state.ownOpen()
	for _, conn := range state.idle {
		if !conn.borrowed {
			inUse--
			if idle == nil || conn.lastUsed.Before(idle.lastUsed) {
				idle = conn
			}
		}
	}
	if state.borrowed > 0 || inUse >= maxOpen-maxOpen/lenderReserve || (state.full() && idle == nil) {
		return false
	}
	if state.full() {
		state.dropIdle(idle)
	}
	state.open++
	return true
}

// dropIdle closes an idle connection.
func (s *addressState) dropIdle(conn *poolConn) {
	for i, c := range s.idle {
		if c == conn {
			s.idle = append(s.idle[:i:i], s.idle[i+1:]...)
			break
		}
	}
	conn.stream.Close()
	s.remove(conn)
}
