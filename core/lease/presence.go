package lease

import (
	"context"
	"time"

	"embertally.dev/core/event"
	"embertally.dev/core/plat"
	"embertally.dev/core/wait"
)

// Presence keeps one key in the service for as long as this process lives, so
// that others can find it. The key goes when the process is silent for Life.
type Presence struct {
	Key    string
	Value  []byte
	Life   time.Duration
	Store  plat.Store
	Mirror *plat.Mirror
	Log    *event.Log
	// session is zero while none is open; only run uses it.
	session plat.Session
	// seen tells that the service was reached at the last try.
	seen bool
}

const (
	// presenceShare is how many renewals fall into the key's life.
	presenceShare = 4
	// presenceRetry is the pause before the first try after one that failed. Each further
	// one is twice as long, up to the pause between renewals: 295 daemons that tried every
	// 0.4 s made most of 8,889 priced calls in an outage of eight seconds.
	presenceRetry = 400 * time.Millisecond
)

// Run keeps the key until ctx ends, and then removes it.
func (p *Presence) Run(ctx context.Context) {
	pause, retry := time.Duration(0), presenceRetry
	for {
		pause, retry = p.pauses(p.step(ctx), retry)
		if !wait.For(ctx, pause) {
			p.leave()
			return
		}
	}
}

// pauses returns the pause after a try that ended with err, and the retry after the next
// one that fails.
func (p *Presence) pauses(err error, retry time.Duration) (pause, next time.Duration) {
	regular := p.Life / presenceShare
	switch {
	case err == nil:
		return regular, presenceRetry
	case isOver(err):
		// The service answers and the key has gone.
		return presenceRetry, presenceRetry
	}
	return min(retry, regular), min(2*retry, regular)
}

// step renews the session or writes the key; without an error the key is there.
func (p *Presence) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	err := p.renew(ctx)
	if err == nil {
		p.seen = true
		return nil
	}
	if isOver(err) {
		p.session = plat.Session{}
	}
	if p.seen {
		p.Log.Emit(event.ServiceDown, event.Ref{Resource: p.Key}, err.Error())
	}
	p.seen = false
	return err
}

// renew renews the session, and writes the key where it is not as it must be.
func (p *Presence) renew(ctx context.Context) error {
	if p.session != (plat.Session{}) {
		if err := p.Store.Renew(ctx, p.session); err != nil {
			return err
		}
		if pair, there := p.Mirror.Pair(p.Key); there && string(pair.Value) == string(p.Value) {
			return nil
		}
	}
	return p.write(ctx)
}

// write makes the key, whatever a former run of this daemon left there.
func (p *Presence) write(ctx context.Context) error {
	if p.session == (plat.Session{}) {
		session, err := p.Store.Open(ctx, p.Life)
		if err != nil {
			return err
		}
		p.session = session
	}
	_, err := p.Store.Commit(ctx, plat.Txn{Puts: []plat.Put{{Key: p.Key, Value: p.Value, Session: p.session}}})
	return err
}

// leave ends the session, with which the key goes.
func (p *Presence) leave() {
	if p.session == (plat.Session{}) || p.session.Era != p.Mirror.Era() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	// Where this fails the key goes by itself a little later.
	_ = p.Store.End(ctx, p.session)
}
