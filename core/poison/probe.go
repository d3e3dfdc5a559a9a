package poison

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// unblocker releases a block if the incarnation at which the request completed well survives.
type unblocker struct {
	guard *Guard
	// block is the digest of what is blocked.
	block       Digest
	sent        Sent
	incarnation string
}

func (p unblocker) run() {
	time.Sleep(delayedCrashWindow + simultaneousWindow)
	if !p.guard.attempts.recentlySucceeded(p.sent.Request) || !p.guard.attempts.isAlive(p.incarnation) {
		return
	}
	p.guard.forget(p.block)
	p.guard.release(p.block, "it completed well at "+p.incarnation)
}

// prober finds out whether an incarnation of a target crashed after its connection broke.
type prober struct {
	guard                *Guard
	incarnation, address string
}

// Timeouts and delays of probing.
const (
	// dialTimeout bounds one attempt to connect; an attempt that hangs is no evidence of a crash.
	dialTimeout = time.Second
	// redialDelay is the delay before the second attempt: a process that exits closes its
	// connections and its listener in any order.
	redialDelay = 100 * time.Millisecond
)

func (p prober) run() {
	for try := range 2 {
		if try > 0 {
			time.Sleep(redialDelay)
		}
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		err := p.guard.o.Dial(ctx, p.address, p.incarnation)
		cancel()
		if errors.Is(err, syscall.ECONNREFUSED) {
			p.guard.recordCrash(p.incarnation, true)
			return
		}
	}
	// The platform's list will show whether it crashed.
}
