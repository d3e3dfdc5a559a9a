package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/cache"
	"embertally.dev/core/entry"
	"embertally.dev/core/event"
	"embertally.dev/core/roster"
	"embertally.dev/core/table"
	"embertally.dev/core/target"
	"embertally.dev/core/wait"
)

// pass is one request on its way. It is used by one goroutine.
type pass struct {
	f     *Relay
	w     http.ResponseWriter
	r     *http.Request
	began time.Time
	until time.Time

	ask          Ask
	route        *table.Route
	organisation *table.Organisation
	table        *table.Table
	body         []byte
	service      string

	// tried counts the sends to each target.
	tried map[string]int
	// sends counts the sends that arrived or may have, runs those of them that
	// may have run.
	sends, runs int
	// last is the target of the last send.
	last *roster.Target
	// begun tells that the head of the answer was passed on.
	begun bool
	// after is the last event that the caller has.
	after string
	first time.Time
	// aborted tells that the answer was cut.
	aborted bool
	// notes are the decisions, for the log.
	notes []string
}

// outcome says how one send ended.
type outcome int

const (
	// done: the caller has the whole answer.
	done outcome = iota
	// notSent: no byte reached the target.
	notSent
	// refused: the target says that it did not run the request.
	refused
	// broken: there is no answer, or not a whole one; it may have run.
	broken
	// bad: the target answered with a failure that a repeatable request may
	// try again elsewhere; the answer is kept.
	bad
	// left: the caller has gone.
	left
	// late: the time is up.
	late
	// cut: part of the answer was passed on and it cannot be completed.
	cut
)

var outcomeNames = [...]string{"done", "notSent", "refused", "broken", "bad", "left", "late", "cut"}

// String returns the outcome as it stands in log lines.
func (o outcome) String() string { return outcomeNames[o] }

// lateMargin is how long after the limit the target's own last word is still
// waited for; the users' rules allow half a second.
const lateMargin = 60 * time.Millisecond

// run sends the request until it is answered, or says why not.
func (p *pass) run() *entry.Refusal {
	p.service = p.route.Service(draw())
	p.f.earn(p.service)
	if p.ask.Prompt > 0 {
		p.f.count(p.service, p.ask.Prompt)
	}
	p.after = p.ask.After
	ctx, cancel := context.WithDeadline(p.r.Context(), p.until.Add(lateMargin))
	defer cancel()
	var kept *plainAnswer
	unsent := 0
	for {
		c, why := p.chooseSoon(ctx)
		if c == nil {
			return p.giveUp(kept, why)
		}
		p.last = c.target
		p.tried[c.target.ID()]++
		out, ans := p.attempt(ctx, c)
		p.note("%s=%s", c.target.ID(), out)
		if ans != nil {
			kept = ans
		}
		switch out {
		case done, left, cut:
			return nil
		case late:
			return p.giveUp(kept, "the time is up")
		case notSent:
			// The target got nothing; another one may get the request.
			if unsent++; unsent >= unsentMost {
				return p.giveUp(kept, "no target can be reached")
			}
		case refused, broken, bad:
			if !p.again(out) {
				return p.giveUp(kept, "it may not be sent again")
			}
		}
	}
}

// Times of waiting for a place at a target.
const (
	// holdShare is the part of the aim that a request without a place waits
	// before it is refused: the users count a refusal up to a quarter as early.
	holdShare = 0.2
	holdLook  = 15 * time.Millisecond
)

// chooseSoon chooses a target, waiting a little while all are full.
func (p *pass) chooseSoon(ctx context.Context) (*choice, string) {
	end := p.began.Add(time.Duration(holdShare * float64(p.route.Aim)))
	for {
		c, why := p.choose()
		if c != nil || why != allFull || !time.Now().Before(end) {
			return c, why
		}
		if !wait.For(ctx, holdLook) {
			return nil, why
		}
	}
}

// Bounds on sends of one request.
const (
	// refusedMost is how many targets may refuse a request before it is given
	// up: more would only add to an overload.
	refusedMost = 2
	// unsentMost is how many targets may be unreachable.
	unsentMost = 4
	// shortest is the time below which a send is not worth while: a target
	// would only throw the request away.
	shortest = 20 * time.Millisecond
)

// again reports whether the request may be sent once more, and takes the send
// out of what is allowed.
func (p *pass) again(out outcome) bool {
	switch {
	case time.Until(p.until) < shortest:
		return false
	case out != refused && !p.route.MayRepeat():
		return false
	case p.runs >= p.route.Attempts:
		return false
	case p.sends-p.runs > refusedMost:
		return false
	}
	if !p.f.mayRepeat(p.service) {
		p.note("retries are used up")
		return false
	}
	p.f.o.Stats.Repeated.Inc()
	return true
}

// giveUp is the final answer of a request that got none from a target.
func (p *pass) giveUp(kept *plainAnswer, why string) *entry.Refusal {
	p.note("given up: %s", why)
	switch {
	case p.begun:
		p.aborted = true
		return nil
	case kept != nil:
		kept.write(p)
		return nil
	case p.runs == 0:
		return p.notNow(entry.CodeNoTarget, "no target takes the request now: "+why)
	case !time.Now().Before(p.until):
		return entry.NewRefusal(http.StatusGatewayTimeout, entry.CodeTimeout, entry.Unknown, "no answer came in time", 0)
	}
	return entry.NewRefusal(http.StatusBadGateway, entry.CodeOutcomeUnknown, entry.Unknown, "the target gave no answer; whether it ran is not known", 0)
}

// attempt sends the request to one target and passes its answer on.
func (p *pass) attempt(ctx context.Context, c *choice) (outcome, *plainAnswer) {
	c.target.Begin(c.load)
	read := false
	defer func() {
		l := c.load
		if read {
			l.Unread = 0
		}
		c.target.End(l)
	}()
	// The prompt counts as unread until the first event or answer.
	onFirst := func() {
		if !read {
			read = true
			c.target.End(roster.Load{Unread: c.load.Unread})
		}
	}
	sent := time.Now()
	p.f.o.Stats.Sent.Inc()
	ctx, cancel := p.patience(ctx, c)
	defer cancel()
	in, err := p.f.o.Pool.Send(ctx, c.target.Entry().Address, p.outgoing(c))
	if err != nil {
		return p.unanswered(ctx, c, err), nil
	}
	defer in.Close()
	reply := p.f.o.Dialect.Reply(in.Status, in.Header)
	if out, ok := p.check(c, in, &reply); !ok {
		return out, nil
	}
	p.sends++
	p.runs++
	if reply.Weights > 0 {
		p.f.o.Roster.Learn(c.target.ID(), p.ask.Model, reply.Weights)
	}
	if p.route.Kind == table.Stream && in.Status == http.StatusOK {
		out := p.stream(c, in, sent, onFirst)
		return out, nil
	}
	return p.plain(c, in, sent)
}

var errSlow = errors.New("the target was slower than others are")

// patienceShare is the share of the aim after which a repeatable call that has
// no answer yet is sent to another target. A call's work is a fifth of its aim
// on the users' sites.
const patienceShare = 0.6

// patience bounds the wait for an answer that another target may still give in
// time.
func (p *pass) patience(ctx context.Context, c *choice) (context.Context, context.CancelFunc) {
	if p.route.Kind != table.Repeatable || p.runs+1 >= p.route.Attempts || p.route.Aim <= 0 || c.alone {
		return context.WithCancel(ctx)
	}
	return context.WithTimeoutCause(ctx, time.Duration(float64(p.route.Aim)*patienceShare), errSlow)
}

// unanswered records a send without any answer.
func (p *pass) unanswered(ctx context.Context, c *choice, err error) outcome {
	p.note("%v", errors.Cause(err))
	sent := target.WasSent(err)
	if sent {
		p.sends++
		p.runs++
	}
	switch {
	case gone(p.r.Context()):
		return left
	case errors.Is(err, target.ErrFull):
		return notSent
	case !time.Now().Before(p.until):
		if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			c.target.Answered(time.Now(), false, 0)
		}
		return late
	case errors.Is(context.Cause(ctx), errSlow):
		c.target.Answered(time.Now(), false, 0)
		return broken
	}
	c.target.Silent(time.Now())
	if !sent {
		return notSent
	}
	return broken
}

// check decides whether an answer is the target's answer to this request.
func (p *pass) check(c *choice, in *target.Incoming, reply *Reply) (outcome, bool) {
	moved := in.Status == http.StatusMisdirectedRequest
	switch {
	case reply.ID != "" && reply.ID != p.ask.ID, reply.ID == "" && !reply.NotRun && !moved:
		p.f.o.Stats.Foreign.Inc()
		p.f.o.Log.Emit(event.AnswerRejected, p.ref(), "the answer names request "+strconv.Quote(reply.ID))
		in.Spoil()
		p.sends++
		p.runs++
		c.target.Answered(time.Now(), false, 0)
		return broken, false
	case moved:
		p.f.o.Stats.Moved.Inc()
		if reply.Weights > 0 {
			p.f.o.Roster.Learn(c.target.ID(), p.ask.Model, reply.Weights)
		}
		if reply.Target != "" && reply.Target != c.target.ID() {
			// Another target has the address now.
			c.target.Silent(time.Now())
		}
	case reply.NotRun:
		p.f.o.Stats.NotRun.Inc()
	default:
		return done, true
	}
	io.Copy(io.Discard, io.LimitReader(in, drainMost))
	p.sends++
	return refused, false
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
	s := c.sending
	s.Deadline = time.Until(p.until)
	s.After = p.after
	if p.organisation != nil {
		s.Organisation = p.organisation.Name
	}
	p.f.o.Dialect.Sending(h, &s)
	out := &target.Outgoing{Method: p.r.Method, URI: p.r.RequestURI, Host: p.r.Host, Header: h, Body: p.body}
	if !p.route.MayRepeat() {
		out.Fresh = freshLimit
	}
	return out
}

// freshLimit is the idle time after which a connection is not used for what
// may run only once: targets may close idle connections without notice.
const freshLimit = 1500 * time.Millisecond

func names(list []string, name string) bool {
	for _, s := range list {
		if strings.EqualFold(strings.TrimSpace(s), name) {
			return true
		}
	}
	return false
}

// plainMost is how much of an answer is read before any of it is passed on, so
// that one that breaks off can be replaced.
const plainMost = 256 << 10

// plainAnswer is a whole answer of a target.
type plainAnswer struct {
	status int
	header http.Header
	body   []byte
}

// plain passes on an answer that is not a stream.
func (p *pass) plain(c *choice, in *target.Incoming, sent time.Time) (outcome, *plainAnswer) {
	body, err := readAll(nil, io.LimitReader(in, plainMost))
	if err != nil {
		return p.brokenOff(c, err), nil
	}
	ans := &plainAnswer{in.Status, in.Header, body}
	good := in.Status < http.StatusInternalServerError
	reply := p.f.o.Dialect.Reply(in.Status, in.Header)
	if (in.Status/100 == 2 && !reply.Sealed) || reply.Encoded {
		in.Spoil()
		c.target.Answered(time.Now(), false, 0)
		p.note("the answer is not signed")
		return broken, nil
	}
	c.target.Answered(time.Now(), good, p.pace(c, time.Since(sent)))
	if !good && p.route.MayRepeat() {
		return bad, ans
	}
	p.first = time.Now()
	if len(body) < plainMost {
		ans.write(p)
		return done, nil
	}
	return p.long(ans, in), nil
}

// long passes on an answer that is too large to be kept whole.
func (p *pass) long(ans *plainAnswer, in *target.Incoming) outcome {
	ans.head(p, in.Length)
	if _, err := p.w.Write(ans.body); err != nil {
		return left
	}
	if _, err := io.Copy(p.w, in); err != nil {
		p.aborted = true
		return cut
	}
	return done
}

// brokenOff records an answer that broke off while it was read.
func (p *pass) brokenOff(c *choice, err error) outcome {
	p.note("%v", errors.Cause(err))
	now := time.Now()
	c.target.Answered(now, false, 0)
	switch {
	case gone(p.r.Context()):
		return left
	case !now.Before(p.until):
		return late
	}
	return broken
}

// pace is the time to a first answer over that which was expected.
func (p *pass) pace(c *choice, took time.Duration) float64 {
	if c.expected <= 0 {
		return 0
	}
	return float64(took) / float64(c.expected)
}

func (a *plainAnswer) head(p *pass, length int64) {
	h := p.w.Header()
	for name, values := range a.header {
		if !entry.HopHeader(name) && name != "Content-Length" {
			h[name] = values
		}
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if p.f.closing.Load() {
		h.Set("Connection", "close")
	}
	p.begun = true
	p.w.WriteHeader(a.status)
}

func (a *plainAnswer) write(p *pass) {
	a.head(p, int64(len(a.body)))
	if p.r.Method == http.MethodHead {
		return
	}
	if _, err := p.w.Write(a.body); err != nil {
		p.note("the caller has gone: %v", err)
	}
}

// end gives the final answer where there is none yet, and writes the log line.
func (p *pass) end(r *entry.Refusal) {
	st := p.f.o.Stats
	took := time.Since(p.began)
	switch {
	case gone(p.r.Context()):
		st.Gone.Inc()
		p.log(event.CallerGone, took)
	case r != nil:
		st.Refused.Inc()
		p.f.o.Dialect.Refusal(p.w.Header(), p.ask.ID, r.RetryAfter)
		p.note("%s", r.Error())
		if err := r.Write(p.w, p.ask.ID); err != nil {
			p.note("the caller has gone: %v", err)
		}
		p.log(event.RequestRefused, took)
	case p.aborted:
		st.Cut.Inc()
		p.log(event.StreamBroken, took)
		// The connection is reset, so that the answer does not look whole.
		panic(http.ErrAbortHandler)
	default:
		st.Done.Inc()
		st.Whole.Update(took.Seconds())
		p.log(event.RequestDone, took)
	}
}

func (p *pass) note(format string, args ...any) {
	p.notes = append(p.notes, fmt.Sprintf(format, args...))
}

func (p *pass) ref() event.Ref {
	ref := event.Ref{Request: p.ask.ID}
	if p.last != nil {
		ref.Target = p.last.ID()
	}
	if p.organisation != nil {
		ref.Organisation = p.organisation.Name
	}
	if p.route != nil {
		ref.Resource = p.route.Name
	}
	return ref
}

func (p *pass) log(code event.Code, took time.Duration) {
	first := ""
	if !p.first.IsZero() {
		first = " first " + p.first.Sub(p.began).Round(time.Millisecond).String()
	}
	var version int64
	if p.table != nil {
		version = p.table.Version()
	}
	text := fmt.Sprintf("took %s%s, configuration %d known %s ago, sends %d, runs %d; %s",
		took.Round(time.Millisecond), first, version, p.f.o.Age().Round(10*time.Millisecond), p.sends, p.runs, strings.Join(p.notes, "; "))
	p.f.o.Log.Emit(code, p.ref(), text)
}

// salt returns the name under which the parts of a request are kept by a
// worker with a version of the weights.
func (p *pass) salt(version int64) cache.PartSalt {
	s := cache.PartSalt{Model: p.ask.Model, Version: version}
	if p.organisation != nil && p.organisation.Isolated {
		s.Wall = p.organisation.Name
	}
	return s
}
