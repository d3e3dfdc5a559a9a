package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/clock"
	"embertally.dev/core/entry"
	"embertally.dev/core/event"
	"embertally.dev/core/roster"
	"embertally.dev/core/table"
	"embertally.dev/core/target"
)

// attempt sends the request to one target and passes its answer on.
func (p *pass) attempt(ctx context.Context, c *choice) (outcome, *plainAnswer) {
	c.take()
	version := c.target.Entry().Version
	p.relay.o.Canary.Begin(p.service, version)
	// Of a choice of another cell its home tells; nobody here sends to its workers.
	if p.ask.Prompt > 0 && c.order == nil && !p.relay.o.Without.Telling {
		p.relay.o.Placed()
	}
	read := false
	defer func() {
		l := c.load
		if read {
			l.Unread = 0
		}
		c.target.End(l)
		p.relay.o.Canary.End(p.service, version)
		c.order.ended()
	}()
	// The prompt counts as unread until the first event or answer.
	onFirst := func() {
		if !read {
			read = true
			c.target.End(roster.Load{Unread: c.load.Unread})
		}
	}
	sent := time.Now()
	c.sent = clock.Now()
	p.relay.o.Stats.Sent.Inc()
	if c.token.Held {
		p.relay.o.Stats.SentLimited.Inc()
	}
	ctx, cancel := p.patience(ctx, c)
	defer cancel()
	in, err := p.relay.o.Pool.Send(ctx, c.target.Entry().Address, p.outgoing(c))
	if err != nil {
		return p.unanswered(ctx, c, err), nil
	}
	defer in.Close()
	reply := p.relay.o.Dialect.Reply(in.Status, in.Header)
	if out, ok := p.check(c, in, &reply); !ok {
		return out, nil
	}
	p.sends++
	p.runs++
	p.relay.o.Poison.Answers(c.target.ID())
	if reply.Weights > 0 {
		p.relay.o.Roster.Learn(c.target.ID(), p.ask.Model, reply.Weights)
	}
	if p.route.Kind == table.Stream && in.Status == http.StatusOK {
		out := p.stream(c, in, &reply, sent, onFirst)
		return out, nil
	}
	return p.plain(c, in, &reply, sent)
}

// errSlow ends the wait for a target that another one may be quicker than.
var errSlow = errors.New("the target was slower than others are")

// patienceMargin is by how much the chance of an answer in time must be larger at
// another target before a slow one is left: a second send costs a place there.
const patienceMargin = 0.1

// patience bounds the wait for an answer that another target may still give in
// time.
func (p *pass) patience(ctx context.Context, c *choice) (context.Context, context.CancelFunc) {
	now := time.Now()
	left := p.route.Aim - now.Sub(p.began)
	if p.route.Kind != table.Repeatable || p.runs+1 >= p.route.Attempts || left <= 0 || c.alone || p.relay.o.Without.Patience {
		return context.WithCancel(ctx)
	}
	wait := p.estimate(now).Patience(left, c.judged.Expected, c.judged.Expected, patienceMargin)
	if wait >= left {
		return context.WithCancel(ctx)
	}
	return context.WithTimeoutCause(ctx, wait, errSlow)
}

// unanswered records a send without any answer.
func (p *pass) unanswered(ctx context.Context, c *choice, err error) outcome {
	p.note("%v", errors.Cause(err))
	sent := target.WasSent(err)
	if sent {
		p.sends++
		p.runs++
	} else {
		p.relay.o.Roster.Return(c.target, c.token)
	}
	var stop *stopError
	switch {
	case errors.As(err, &stop):
		return stopped
	case gone(p.r.Context()):
		return left
	case errors.Is(err, target.ErrFull):
		return notSent
	case !time.Now().Before(p.until):
		if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			p.answered(c, false)
		}
		return late
	case errors.Is(context.Cause(ctx), errSlow):
		p.answered(c, false)
		return broken
	}
	p.silent(c)
	if !sent {
		p.relay.o.Poison.Refused(c.target.ID(), err)
		return notSent
	}
	if !target.WasEarly(err) {
		p.lost(c)
	}
	return broken
}

// lost records that the connection to a target ended under the request. It may have been the
// request that ended the target, and its caller may repeat it.
func (p *pass) lost(c *choice) {
	if _, leaves := p.relay.o.Roster.Leaving(c.target); !leaves {
		p.relay.o.Poison.Lost(p.asks, p.organisationName(), c.target.ID(), c.target.Entry().Address)
	}
}

// ranWell records that the request ended well at a target.
func (p *pass) ranWell(c *choice) {
	p.relay.o.Poison.Good(p.asks, p.organisationName(), c.target.ID())
}

// organisationName returns the name of the caller's organisation, or "".
func (p *pass) organisationName() string {
	if p.organisation == nil {
		return ""
	}
	return p.organisation.Name
}

// check decides whether an answer is the target's answer to this request.
func (p *pass) check(c *choice, in *target.Incoming, reply *Reply) (outcome, bool) {
	moved := in.Status == http.StatusMisdirectedRequest
	p.hear(c, moved, reply)
	switch {
	case reply.ID != "" && reply.ID != p.ask.ID, reply.ID == "" && !reply.NotRun && !moved:
		p.relay.o.Stats.Foreign.Inc()
		p.relay.o.Log.Emit(event.AnswerRejected, p.ref(), "the answer names request "+strconv.Quote(reply.ID))
		in.Spoil()
		p.sends++
		p.runs++
		p.answered(c, false)
		return broken, false
	case moved:
		p.relay.o.Stats.Moved.Inc()
		if reply.Weights > 0 {
			p.relay.o.Roster.Learn(c.target.ID(), p.ask.Model, reply.Weights)
		}
		if reply.Target != "" && reply.Target != c.target.Entry().Name {
			// Another target has the address now.
			p.silent(c)
		}
	case reply.NotRun:
		p.relay.o.Stats.NotRun.Inc()
		p.reloads(c)
	default:
		return done, true
	}
	// Where this fails the connection is not kept; the refusal is known already.
	_, _ = io.Copy(io.Discard, io.LimitReader(in, drainMost))
	p.sends++
	return refused, false
}

// reloadTime is how long a worker that refused a request while older weights than named are
// on it is passed over by all daemons of the cell. Orders are told in the cell of the
// daemon that gives them, which may be another one.
const reloadTime = 700 * time.Millisecond

// reloads passes over a worker that seems to change its weights.
func (p *pass) reloads(c *choice) {
	if c.sending.Weights == 0 || c.sending.Weights >= p.relay.o.Named(p.ask.Model) {
		return
	}
	c.order.refused()
	p.relay.o.Roster.Reloads(c.target.ID(), time.Now().Add(reloadTime))
	p.relay.o.Placed()
}

// drainMost bounds what is read of a refusal so that its connection can be
// kept.
const drainMost = 16 << 10

// outgoing is the request as the target gets it.
func (p *pass) outgoing(c *choice) *target.Outgoing {
	h := make(http.Header, len(p.r.Header)+8)
	hop := strings.Split(p.r.Header.Get("Connection"), ",")
	for name, values := range p.r.Header {
		if !entry.HopHeader(name) && !names(hop, name) && name != "Content-Length" && name != "Expect" {
			h[name] = values
		}
	}
	p.wake()
	s := c.sending
	s.Deadline = time.Until(p.until)
	s.After = p.after
	s.Organisation = p.organisationName()
	p.relay.o.Dialect.Sending(h, &s)
	out := &target.Outgoing{Method: p.r.Method, URI: p.r.RequestURI, Host: p.r.Host, Header: h, Body: p.body, May: p.mayGo(c)}
	if !p.route.MayRepeat() {
		out.Fresh = freshLimit
	}
	return out
}

// stopError says why a send did not go out.
type stopError struct{ why roster.Stop }

// Error describes the reason.
func (e *stopError) Error() string { return "the target " + e.why.String() }

// mayGo returns what is asked before the bytes of a choice go out.
func (p *pass) mayGo(c *choice) func() error {
	return func() error {
		if stop := p.relay.o.Roster.Enter(c.target, c.token); stop != roster.Open {
			return &stopError{stop}
		}
		return nil
	}
}

// freshLimit is the idle time after which a connection is not used for what
// may run only once: targets may close idle connections without notice.
const freshLimit = 1500 * time.Millisecond

// names reports whether a list of header names holds a name.
func names(list []string, name string) bool {
	for _, s := range list {
		if strings.EqualFold(strings.TrimSpace(s), name) {
			return true
		}
	}
	return false
}
