package wire

import (
	"context"
	"time"
)

// Times of the detection of connections that carry nothing any more although nobody closed them. The
// users' rules treat such a connection like one that was reset, so that a configuration must reach a
// daemon within 2 s also when all of them go silent at once.
const (
	// probeAfter is how long nothing may be received while a response is expected before a probe is
	// sent: the peer may be holding the response back.
	probeAfter = 200 * time.Millisecond
	// replaceAfter is how long nothing may be received after the probe before another connection is
	// opened.
	replaceAfter = 250 * time.Millisecond
	// replaceInterval is the least time between two attempts to replace a connection, and
	// replaceTimeout bounds one: the peer may be down.
	replaceInterval = time.Second
	replaceTimeout  = time.Second
	// acknowledgeInterval is how often a notification requests a response, which shows that the
	// connection carries them.
	acknowledgeInterval = 500 * time.Millisecond
	// idleProbeInterval is how long a connection may be unused before a probe is sent.
	idleProbeInterval = 30 * time.Second
)

// kindPing is a request that the peer responds to at once. Peers without a handler for it respond with
// an error, which shows as much.
const kindPing Kind = "wire.ping"

// health is what a connection's own traffic shows of whether it still works.
type health struct {
	// expectedSince is since when a response has been expected without anything being received; zero
	// while none is.
	expectedSince time.Time
	// probed is set once a probe was sent since then.
	probed bool
	// acknowledgedAt is when a notification last requested a response.
	acknowledgedAt time.Time
	// timer calls check; nil until the connection is in use.
	timer *time.Timer
}

// watchHealth starts the checks. Until then the connection's own opening is the check.
func (d *clientConn) watchHealth() {
	d.callsMu.Lock()
	defer d.callsMu.Unlock()
	if d.closed {
		return
	}
	delay := idleProbeInterval
	if !d.health.expectedSince.IsZero() {
		delay = probeAfter
	}
	d.health.timer = time.AfterFunc(delay, d.check)
}

// expectResponse records that a request is about to be sent. It is called with callsMu held.
func (d *clientConn) expectResponse(now time.Time) {
	if !d.health.expectedSince.IsZero() {
		return
	}
	d.health.expectedSince, d.health.probed = now, false
	if d.health.timer != nil {
		d.health.timer.Reset(probeAfter)
	}
}

// responseReceived records a response. It is called with callsMu held.
func (d *clientConn) responseReceived(now time.Time) {
	d.health.expectedSince, d.health.probed = time.Time{}, false
	if len(d.calls) > 0 {
		d.health.expectedSince = now
	}
}

// acknowledgementID returns the ID for a notification: that of a call that nobody waits for if a
// response is to show that the connection works, else 0.
func (d *clientConn) acknowledgementID() uint64 {
	d.callsMu.Lock()
	now := time.Now()
	due := now.Sub(d.health.acknowledgedAt) >= acknowledgeInterval
	if due {
		d.health.acknowledgedAt = now
	}
	d.callsMu.Unlock()
	if !due {
		return 0
	}
	id, err := d.add(&call{done: make(chan struct{})})
	if err != nil {
		// The connection is closed, which sending will show.
		return 0
	}
	return id
}

// check is called when the connection has been idle for long, or nothing has been received for some
// time while a response is expected.
func (d *clientConn) check() {
	d.callsMu.Lock()
	defer d.callsMu.Unlock()
	if d.closed {
		return
	}
	h, now := &d.health, time.Now()
	since := h.expectedSince
	if heard := epoch.Add(time.Duration(d.heardAt.Load())); !since.IsZero() && heard.After(since) {
		// Part of a response.
		since, h.expectedSince, h.probed = heard, heard, false
	}
	switch silence := now.Sub(since); {
	case since.IsZero():
		h.timer.Reset(idleProbeInterval)
		if idle := time.Since(epoch) - time.Duration(d.heardAt.Load()); idle >= idleProbeInterval {
			go prober{d}.run()
		}
	case silence < probeAfter:
		h.timer.Reset(probeAfter - silence)
	case !h.probed:
		h.probed = true
		h.timer.Reset(replaceAfter)
		go prober{d}.run()
	case silence < probeAfter+replaceAfter:
		h.timer.Reset(probeAfter + replaceAfter - silence)
	default:
		h.timer.Reset(replaceInterval)
		go replacer{d, now}.run()
	}
}

// prober sends a probe on a connection.
type prober struct{ conn *clientConn }

func (p prober) run() {
	id, err := p.conn.add(&call{done: make(chan struct{})})
	if err != nil {
		return
	}
	// A failure closes the connection.
	_ = p.conn.link.send(p.conn, &envelope{ID: id, Kind: kindPing}, nil)
}

// replacer replaces a silent connection, provided that the peer responds on another one.
type replacer struct {
	silent *clientConn
	// start is when the replacement was begun.
	start time.Time
}

func (r replacer) run() {
	link := r.silent.link
	ctx, cancel := context.WithTimeout(context.Background(), replaceTimeout)
	defer cancel()
	d, err := link.dial(ctx)
	if err != nil {
		// The peer is down, or slow on all connections.
		return
	}
	if !d.answersFirst(ctx) || r.silent.heardSince(r.start) || !link.replace(r.silent, d) {
		d.fail()
		return
	}
	silence := time.Since(epoch) - time.Duration(r.silent.heardAt.Load())
	r.silent.fail()
	link.replaced.Add(1)
	if link.OnReplaced != nil {
		link.OnReplaced(silence)
	}
}

// answersFirst sends a probe on a connection that is not in use yet, and reports whether the peer
// responds before ctx ends.
func (d *clientConn) answersFirst(ctx context.Context) bool {
	stop := context.AfterFunc(ctx, d.fail)
	defer stop()
	prober{d}.run()
	e, _, err := decode(d, d.link.Memory)
	if err != nil {
		return false
	}
	d.take(e.ID)
	return true
}

// replace makes d the current connection in place of another one, unless that is no longer current.
func (l *Link) replace(silent, d *clientConn) bool {
	l.linkMu.Lock()
	defer l.linkMu.Unlock()
	if l.closed || l.conn != silent {
		return false
	}
	l.use(d)
	return true
}
