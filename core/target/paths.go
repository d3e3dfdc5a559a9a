package target

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/wait"
)

// A box may lose its own path to targets that other boxes reach. Hence the pool keeps the state of the
// path to each address, apart from what is known of the target there: a path is broken from a failure
// of a direct connection until something arrives on one.

// Times of the search for paths that work again.
const (
	// probeEvery is the time between two searches, which doubles up to maxProbeEvery while none is found.
	probeEvery    = 100 * time.Millisecond
	maxProbeEvery = 800 * time.Millisecond
	// probesAtOnce is the number of addresses that are tried at once.
	probesAtOnce = 3
	// pathWanted is how long after the last request for an address its broken path is tried in each search,
	// and unwantedEvery the time between attempts after that: requests may pass the target over because
	// they would need a new connection.
	pathWanted    = 5 * time.Second
	unwantedEvery = 3 * time.Second
	// minFailedPaths is the number of paths without any sign of life since the last one of any target
	// from which on this box counts as partitioned.
	minFailedPaths = 2
)

// path is the state of this box's own path to an address.
type path struct {
	// failedAt is when the last attempt began at which a direct connection failed or gave no sign of life for
	// longer than usual; zero if none did since something last arrived on one. How the path is after the
	// beginning, the failure does not tell.
	failedAt time.Time
	// workedAt is when a direct connection last opened.
	workedAt time.Time
	// broken is set by a definite failure, until a direct connection opens. refused is set if that was a
	// refused connection.
	broken, refused bool
	// wantedAt is when a request last needed a connection, and probedAt when the path was last tried.
	wantedAt, probedAt time.Time
}

// arrivals records when anything last arrived from any target on a direct connection. The zero value
// means never.
type arrivals struct{ nanos atomic.Int64 }

// start is the origin of the times of arrivals.
var start = time.Now()

// record records an arrival now.
func (a *arrivals) record() { a.nanos.Store(int64(time.Since(start))) }

// last returns the time of the last arrival, or one before any failure.
func (a *arrivals) last() time.Time { return start.Add(time.Duration(a.nanos.Load())) }

// pathFailed records that a direct connection could not be opened in an attempt that began at a time, or
// without a cause that one gave no sign of life for longer than usual since then.
func (p *Pool) pathFailed(address string, began time.Time, cause error) {
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	state := p.state(address)
	if began.Before(state.path.workedAt) || began.Before(p.recoveredAt) {
		// The path has worked since, or what failed was all paths.
		return
	}
	if began.After(p.lastFailedAt) {
		p.lastFailedAt = began
	}
	if began.After(state.path.failedAt) {
		state.path.failedAt = began
	}
	state.path.wantedAt = time.Now()
	if cause != nil {
		state.path.broken, state.path.refused = true, errors.Is(cause, syscall.ECONNREFUSED)
	}
	if state.path.broken || p.partitioned() {
		p.search()
	}
}

// pathWorks records that a direct connection to an address opened.
func (p *Pool) pathWorks(address string) {
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	if p.partitioned() {
		p.recoveredAt = time.Now()
	}
	p.arrivals.record()
	if state := p.addresses[address]; state != nil {
		state.path.failedAt, state.path.broken, state.path.workedAt = time.Time{}, false, time.Now()
	}
}

// Partitioned reports whether this box seems to have lost its paths to all targets: nothing has arrived
// from any of them since several, or the only one, gave no sign of life.
func (p *Pool) Partitioned() bool {
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	return p.partitioned()
}

// PartitionedSince reports whether this box counts as partitioned, or has done so at some time after the given one.
func (p *Pool) PartitionedSince(then time.Time) bool {
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	return p.partitioned() || then.Before(p.recoveredAt)
}

// WorkedSince reports whether a direct connection to an address has opened after a time.
func (p *Pool) WorkedSince(address string, then time.Time) bool {
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	state := p.addresses[address]
	return state != nil && then.Before(state.path.workedAt)
}

// SinceArrival returns the time since something last arrived from any target on a direct connection.
func (p *Pool) SinceArrival() time.Duration { return time.Since(p.arrivals.last()) }

// partitioned is Partitioned with poolMu held.
func (p *Pool) partitioned() bool {
	last, failed, used := p.arrivals.last(), 0, 0
	if p.Detour == nil || !p.lastFailedAt.After(last) {
		return false
	}
	for _, state := range p.addresses {
		if state.path.failedAt.After(last) {
			failed++
		}
		if state.roundTrip > 0 || !state.path.failedAt.IsZero() {
			used++
		}
	}
	return failed > 0 && failed >= min(minFailedPaths, used)
}

// BrokenPaths returns the number of addresses to which this box's own path is broken.
func (p *Pool) BrokenPaths() int {
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	n := 0
	for _, state := range p.addresses {
		if state.path.broken {
			n++
		}
	}
	return n
}

// pathUnknown reports whether nothing has failed on the path to an address since something last arrived
// from any target, so that only other paths' failures speak against it.
func (p *Pool) pathUnknown(address string) bool {
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	path := p.state(address).path
	return !path.broken && !path.failedAt.After(p.arrivals.last())
}

// needsDetour reports whether a connection to an address is opened through another box at once.
func (p *Pool) needsDetour(address string) bool {
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	return p.want(p.state(address))
}

// want records that a request needs a connection to an address, and reports whether this box's own path
// is failing; then the search for a working one goes on. It is called with poolMu held.
func (p *Pool) want(state *addressState) bool {
	if !state.path.broken && !p.partitioned() {
		return false
	}
	state.path.wantedAt = time.Now()
	p.search()
	return true
}

// search starts the search for paths that work again. It is called with poolMu held.
func (p *Pool) search() {
	if p.searching || p.Detour == nil {
		return
	}
	p.searching = true
	go pathSearch{p}.run()
}

// pathSearch opens direct connections to addresses whose paths failed, so that no request has to try.
type pathSearch struct{ pool *Pool }

// run searches until no path is failing.
func (s pathSearch) run() {
	pause := probeEvery
	for {
		due, partitioned, found := s.next(time.Now())
		if s.pool.OnPartitioned != nil {
			s.pool.OnPartitioned(partitioned)
		}
		if !found {
			return
		}
		results := make(chan bool, len(due))
		for _, address := range due {
			go pathProbe{s.pool, address, results}.run()
		}
		worked := false
		for range due {
			worked = <-results || worked
		}
		if worked {
			pause = probeEvery
			continue
		}
		wait.For(context.Background(), pause)
		pause = min(2*pause, maxProbeEvery)
	}
}

// next returns the addresses to try next, those first that have not been tried for longest, whether the
// box is partitioned, and whether the search goes on.
func (s pathSearch) next(now time.Time) (due []string, partitioned, found bool) {
	p := s.pool
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	partitioned = p.partitioned()
	for range probesAtOnce {
		next := ""
		for address, state := range p.addresses {
			// A box that wrongly counts as partitioned finds out at the targets that have not failed.
			failing := (state.path.broken || partitioned) && !state.removed
			found = found || failing
			wanted := now.Sub(state.path.wantedAt) < pathWanted || now.Sub(state.path.probedAt) >= unwantedEvery
			if failing && wanted && state.path.probedAt != now && (next == "" || state.path.probedAt.Before(p.addresses[next].path.probedAt)) {
				next = address
			}
		}
		if next == "" {
			break
		}
		p.addresses[next].path.probedAt = now
		due = append(due, next)
	}
	p.searching = found
	return due, partitioned, found
}

// pathProbe tries one path.
type pathProbe struct {
	pool    *Pool
	address string
	result  chan<- bool
}

// run opens a connection and keeps it for the next request.
func (b pathProbe) run() {
	ctx, cancel := context.WithTimeout(context.Background(), b.pool.OpenLimit(b.address, ""))
	defer cancel()
	b.pool.reserveExtra(b.address)
	conn, err := b.pool.connect(ctx, b.address, "")
	if err == nil {
		b.pool.putUnused(conn)
		if b.pool.OnFound != nil {
			b.pool.OnFound(b.address)
		}
	}
	b.result <- err == nil
}

// evidenceAge is how old an arrival may be that shows that this box's network works.
const evidenceAge = time.Second

// errPathFailing means that this box's own path to a target is failing as well.
var errPathFailing = errors.New("this box's own path to the target is failing")

// Dial opens a direct connection for another box, which counts it against its own share of the target's
// connections. The error is ErrTargetRefused or ErrTargetSilent if this box's network works, and else
// tells nothing about the target.
func (p *Pool) Dial(ctx context.Context, address string) (net.Conn, error) {
	if failing, refused := p.failing(address); failing {
		return nil, p.verdict(ctx, address, refused, errPathFailing)
	}
	dialCtx, cancel := context.WithTimeout(ctx, p.OpenLimit(address, ""))
	defer cancel()
	began := time.Now()
	conn, err := dialer().DialContext(dialCtx, "tcp", address)
	if err == nil {
		p.pathWorks(address)
		return arrivalConn{conn, &p.arrivals}, nil
	}
	refused := errors.Is(err, syscall.ECONNREFUSED)
	if refused {
		p.pathFailed(address, began, err)
	} else {
		p.pathFailed(address, began, nil)
	}
	return nil, p.verdict(ctx, address, refused, err)
}

// failing records that another box needs a connection to an address, and reports whether this box's own
// path there is failing, and by refused connections.
func (p *Pool) failing(address string) (failing, refused bool) {
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	state := p.state(address)
	p.want(state)
	return state.path.broken || state.path.failedAt.After(p.arrivals.last()), state.path.refused
}

// verdict returns what a failure to reach a target shows: something about the target only if this box
// reaches others, and if it is silence, most of them.
func (p *Pool) verdict(ctx context.Context, address string, refused bool, err error) error {
	switch {
	case ctx.Err() != nil, !refused && p.mostPathsFail(), !p.networkWorks(ctx, address):
		return errors.WithStack(err)
	case refused:
		return errors.WithStack(ErrTargetRefused)
	}
	return errors.WithStack(ErrTargetSilent)
}

// mostPathsFail reports whether more than half of several paths fail. Then this box's network is a likelier cause than
// the targets, also if what is left works: a box may lose the paths to one service's targets only.
func (p *Pool) mostPathsFail() bool {
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	last, failing, used := p.arrivals.last(), 0, 0
	for _, state := range p.addresses {
		if state.removed || (state.roundTrip == 0 && state.path.failedAt.IsZero()) {
			continue
		}
		used++
		if state.path.broken || state.path.failedAt.After(last) {
			failing++
		}
	}
	return failing >= minFailedPaths && 2*failing > used
}

// networkWorks reports whether this box reaches targets other than the one at an address: something
// arrived from one just now, or another connection opens. If no other target is known, it says so too.
func (p *Pool) networkWorks(ctx context.Context, except string) bool {
	if time.Since(p.arrivals.last()) < evidenceAge && !p.Partitioned() {
		return true
	}
	other := p.otherAddress(except)
	if other == "" {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, p.OpenLimit(other, ""))
	defer cancel()
	p.reserveExtra(other)
	conn, err := p.connect(ctx, other, "")
	if err != nil {
		return false
	}
	p.putUnused(conn)
	return true
}

// otherAddress returns an address other than the given one to which a connection has opened, or "".
func (p *Pool) otherAddress(except string) string {
	p.poolMu.Lock()
	defer p.poolMu.Unlock()
	for address, state := range p.addresses {
		if address != except && state.roundTrip > 0 && !state.removed && !state.path.broken {
			return address
		}
	}
	return ""
}
