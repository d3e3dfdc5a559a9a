package poison

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// prover takes a block back where the run that the request ended well at lives on.
type prover struct {
	guard   *Guard
	request Fingerprint
	name    string
}

func (p prover) run() {
	time.Sleep(tailTime + togetherTime)
	if !p.guard.sends.wasGood(p.request) || !p.guard.sends.lives(p.name) {
		return
	}
	p.guard.keeper.clear(p.request)
	p.guard.release(p.request, "it ended well at "+p.name)
}

// prober finds out whether a run of a target ended whose connection did.
type prober struct {
	guard         *Guard
	name, address string
}

// Times of finding out.
const (
	// tryLimit bounds one try to connect: one that hangs tells nothing.
	tryLimit = time.Second
	// tryAgain is the pause before the second try: a process that ends closes its
	// connections and its listener in any order.
	tryAgain = 100 * time.Millisecond
)

func (p prober) run() {
	for n := range 2 {
		if n > 0 {
			time.Sleep(tryAgain)
		}
		ctx, cancel := context.WithTimeout(context.Background(), tryLimit)
		err := p.guard.o.Try(ctx, p.address)
		cancel()
		if errors.Is(err, syscall.ECONNREFUSED) {
			p.guard.ended(p.name, true)
			return
		}
	}
	// The list will say whether it ended.
}
