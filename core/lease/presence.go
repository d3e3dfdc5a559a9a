package lease

import (
	"context"
	"time"

	"embertally.dev/core/event"
	"embertally.dev/core/plat"
	"embertally.dev/core/wait"
)

// Presence keeps a key in the coordination store while this process lives, so that others can find
// it. The key expires after TTL without a renewal.
type Presence struct {
	Key        string
	Value      []byte
	TTL        time.Duration
	Store      plat.Store
	WatchCache *plat.WatchCache
	Log        *event.Log
	// session is zero while none is open; only Run uses it.
	session plat.Session
	// reachable reports that the store responded at the last attempt.
	reachable bool
}

const (
	// renewalsPerTTL is how many renewals fall into the key's TTL.
	renewalsPerTTL = 4
	// initialRetryDelay is the delay after the first failed attempt. It doubles with each further
	// failure, up to the interval of renewals: 295 daemons that retried every 0.4 s made most of
	// 8,889 billed calls in an outage of eight seconds.
	initialRetryDelay = 400 * time.Millisecond
)

// Run keeps the key until ctx ends, and then removes it.
func (p *Presence) Run(ctx context.Context) {
	delay, retry := time.Duration(0), initialRetryDelay
	for {
		delay, retry = p.delays(p.step(ctx), retry)
		if !wait.For(ctx, delay) {
			p.endSession()
			return
		}
	}
}

// delays returns the delay after an attempt that returned err, and the delay after the next
// failure. retry is the present delay after a failure.
func (p *Presence) delays(err error, retry time.Duration) (delay, next time.Duration) {
	regular := p.TTL / renewalsPerTTL
	switch {
	case err == nil:
		return regular, initialRetryDelay
	case isSessionEnded(err):
		// The store is reachable and the key has expired.
		return initialRetryDelay, initialRetryDelay
	}
	return min(retry, regular), min(2*retry, regular)
}

// step renews the session or writes the key. A nil error means that the key exists.
func (p *Presence) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := p.renew(ctx)
	if err == nil {
		p.reachable = true
		return nil
	}
	if isSessionEnded(err) {
		p.session = plat.Session{}
	}
	if p.reachable {
		p.Log.Emit(event.ServiceDown, event.Ref{Resource: p.Key}, err.Error())
	}
	p.reachable = false
	return err
}

// renew renews the session, and writes the key if it is missing or differs.
func (p *Presence) renew(ctx context.Context) error {
	if p.session != (plat.Session{}) {
		if err := p.Store.Renew(ctx, p.session); err != nil {
			return err
		}
		if pair, found := p.WatchCache.Pair(p.Key); found && string(pair.Value) == string(p.Value) {
			return nil
		}
	}
	return p.writeKey(ctx)
}

// writeKey writes the key, replacing what a former incarnation of this daemon left there.
func (p *Presence) writeKey(ctx context.Context) error {
	if p.session == (plat.Session{}) {
		session, err := p.Store.Open(ctx, p.TTL)
		if err != nil {
			return err
		}
		p.session = session
	}
	_, err := p.Store.Commit(ctx, plat.Txn{Puts: []plat.Put{{Key: p.Key, Value: p.Value, Session: p.session}}})
	return err
}

// endSession ends the session, which removes the key.
func (p *Presence) endSession() {
	if p.session == (plat.Session{}) || p.session.StoreIncarnation != p.WatchCache.StoreIncarnation() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	// If this fails, the key expires a little later.
	_ = p.Store.End(ctx, p.session)
}
