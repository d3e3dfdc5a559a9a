package relay

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/clock"
	"embertally.dev/core/entry"
	"embertally.dev/core/event"
	"embertally.dev/core/poison"
	"embertally.dev/core/roster"
	"embertally.dev/core/table"
	"embertally.dev/core/target"
)

// attempt sends the request to one target and passes its response on. If the target takes too long,
// the request may go to a second target meanwhile.
func (p *proxiedRequest) attempt(ctx context.Context, c *choice) (outcome, *bufferedResponse) {
	req, err := p.targetRequest(c)
	if err != nil {
		p.relay.options.Roster.ReturnPermit(c.target, c.permit)
		c.discard()
		return outcomeInvalid, nil
	}
	f := p.newFlight(c)
	if !p.startProbe(c) {
		f.end()
		p.relay.options.Roster.ReturnPermit(c.target, c.permit)
		return outcomeUnavailable, nil
	}
	if delay, ok := p.hedgeDelay(c, time.Now()); ok {
		return p.race(ctx, f, req, delay)
	}
	defer f.end()
	ctx, cancel := p.waitBudget(ctx, c)
	defer cancel()
	p.beginExecution()
	f.send(ctx, req)
	return p.conclude(f)
}

// flight is one attempt from its start to the end of its response.
type flight struct {
	relay   *Relay
	service string
	version string
	c       *choice
	sent    time.Time
	// ctx ends the attempt.
	ctx context.Context
	// resp and err are the result of sending. bodyErr is set if the body broke off before its first
	// byte.
	resp         *target.Response
	err, bodyErr error
	// prefilled is set once the prompt no longer counts as queued: at the first event or response.
	prefilled bool
	// streams is set if a response with status 200 is a stream.
	streams bool
	// begin bounds when the request may begin at the target.
	begin beginBound
}

// newFlight counts an attempt that is about to be sent.
func (p *proxiedRequest) newFlight(c *choice) *flight {
	c.sentVersion = c.target.Entry().Version
	f := &flight{relay: p.relay, service: p.service, version: c.sentVersion, c: c, streams: p.route.Kind == table.Stream}
	f.begin.left = p.beginsWithin(c)
	c.addLoad()
	p.relay.options.Canary.RequestStarted(f.service, f.version)
	// If another cell made the choice, the context owner there publishes the load.
	if p.meta.PromptTokens > 0 && c.report == nil && !p.relay.options.Disabled.Publishing {
		p.relay.options.PublishState()
	}
	return f
}

// end takes back what newFlight counted.
func (f *flight) end() {
	f.begin.end()
	load := f.c.load
	if f.prefilled {
		load.QueuedTokens = 0
	}
	f.c.target.RemoveLoad(load)
	f.relay.loadRemoved()
	f.relay.options.Canary.RequestEnded(f.service, f.version)
	f.c.report.reportEnd()
}

// recordFirst records that the request has begun, so that its prompt is prefilled.
func (f *flight) recordFirst() {
	f.begin.stop()
	if !f.prefilled {
		f.prefilled = true
		f.c.target.RemoveLoad(roster.Load{QueuedTokens: f.c.load.QueuedTokens})
		f.relay.loadRemoved()
	}
}

// start counts the sending of the attempt and sets its context.
func (f *flight) start(ctx context.Context) {
	f.ctx, f.sent = f.begin.start(ctx), time.Now()
	f.c.sentAt = clock.Now()
	f.relay.options.Stats.Attempts.Inc()
	if f.c.permit.Taken {
		f.relay.options.Stats.RateLimitedAttempts.Inc()
	}
}

// send sends the request and reads the header of the response.
func (f *flight) send(ctx context.Context, req *target.Request) {
	f.start(ctx)
	f.exchange(req)
}

// exchange is send after start.
func (f *flight) exchange(req *target.Request) {
	f.resp, f.err = f.relay.options.Pool.Send(f.ctx, f.c.target.Entry().Address, req)
	if f.err == nil {
		f.relay.recordResponsive(f.c.target)
		if !f.passesOnEvents() {
			f.begin.stop()
		}
	}
}

// passesOnEvents reports whether the response is passed on event by event.
func (f *flight) passesOnEvents() bool { return f.streams && f.resp.Status == http.StatusOK }

// conclude records the result of sending and passes the response on.
func (p *proxiedRequest) conclude(f *flight) (outcome, *bufferedResponse) {
	c, resp := f.c, f.resp
	p.lastTarget = c.target
	p.endProbe(c)
	if f.err != nil {
		return p.classifyNoResponse(f), nil
	}
	defer resp.Close()
	if f.bodyErr != nil {
		p.note("broke off before the first byte of its body: %v", errors.Cause(f.bodyErr))
	}
	if carriage := resp.Carriage(); p.attempts > 0 || carriage.Repeated() {
		p.note("%s: %s", c.target.ID(), carriage)
	}
	if box := resp.Box(); box != "" {
		p.note("by way of %s", box)
		p.relay.options.Stats.DetouredAttempts.Inc()
	}
	respMeta := p.relay.options.Dialect.ParseResponse(resp.Status, resp.Header)
	if out, ok := p.checkResponse(c, resp, &respMeta); !ok {
		return out, nil
	}
	p.attempts++
	p.relay.options.Poison.RecordResponsive(c.target.ID())
	if respMeta.WeightVersion > 0 {
		p.relay.options.Roster.RecordVersion(c.target.ID(), p.meta.Model, respMeta.WeightVersion)
	}
	if f.passesOnEvents() {
		return p.passOnStream(f, &respMeta), nil
	}
	return p.passOnPlain(c, resp, &respMeta, f.sent)
}

// errSlow ends the wait for a slow target if another one may be faster.
var errSlow = errors.New("the target is too slow")

// retryAdvantage is by how much the probability of an on-time answer must be higher at another
// target before a slow one is abandoned: the second attempt takes a slot there.
const retryAdvantage = 0.1

// waitBudget bounds the wait for a response while another target may still respond on time.
func (p *proxiedRequest) waitBudget(ctx context.Context, c *choice) (context.Context, context.CancelFunc) {
	now := time.Now()
	remaining := p.route.LatencyObjective - now.Sub(p.start)
	if p.route.Kind != table.Repeatable || p.executions+1 >= p.route.MaxAttempts || remaining <= 0 ||
		c.onlyCandidate || p.relay.options.Disabled.WaitBudget || !p.relay.options.Disabled.Hedges {
		return context.WithCancel(ctx)
	}
	budget := p.estimate(now).WaitBudget(remaining, c.evaluation.Expected, c.evaluation.Expected, retryAdvantage)
	if budget >= remaining {
		return context.WithCancel(ctx)
	}
	return context.WithTimeoutCause(ctx, budget, errSlow)
}

// classifyNoResponse records an attempt without a response and returns its outcome.
func (p *proxiedRequest) classifyNoResponse(f *flight) outcome {
	ctx, c, err := f.ctx, f.c, f.err
	p.note("%v", errors.Cause(err))
	if carriage, ok := target.CarriageOf(err); ok {
		p.note("%s: %s", c.target.ID(), carriage)
	}
	sent := !p.retract(proofOfNothingSent(err))
	if sent {
		p.attempts++
	} else {
		p.relay.options.Roster.ReturnPermit(c.target, c.permit)
	}
	var unavailable *unavailableError
	switch {
	case errors.As(err, &unavailable), errors.Is(err, errBlocked), errors.Is(err, errOutdated):
		return outcomeUnavailable
	case callerDisconnected(p.r.Context()):
		return outcomeCallerDisconnected
	case p.relay.isEnded():
		return outcomeStopped
	case errors.Is(err, target.ErrFull):
		return outcomeNotSent
	case errors.Is(err, target.ErrSlowOpen):
		p.recordSlowOpen(c)
		return outcomeSlowOpen
	case !time.Now().Before(p.deadline):
		if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			p.recordResponse(c, false)
		}
		return outcomeTimedOut
	case errors.Is(err, errLateBegin) && !sent:
		return outcomeUnavailable
	case errors.Is(context.Cause(ctx), errSlow), errors.Is(err, errLateBegin):
		p.recordResponse(c, false)
		return outcomeIncomplete
	}
	verified, partitioned := !target.Unverified(err), p.relay.options.Pool.PartitionedSince(f.sent)
	if !sent {
		switch {
		case verified:
			p.recordNoResponse(c)
			p.relay.options.Poison.RecordDialError(c.target.ID(), err)
		case !partitioned && !p.relay.options.Pool.WorkedSince(c.target.Entry().Address, f.sent):
			// Only this box passes the target over, until it is known whether another one reaches it, or its own path
			// works again.
			c.target.RecordNoResponse(time.Now())
		}
		return outcomeNotSent
	}
	if verified && !partitioned {
		p.recordNoResponse(c)
	}
	if !target.ClosedEarly(err) {
		p.recordDisconnect(c, err, 0)
	}
	return outcomeIncomplete
}

// recordDisconnect records that the connection to a target closed under the request. The request
// may have crashed the target, and its caller may repeat it. begun is how long some of
// the answer had been there, or 0.
func (p *proxiedRequest) recordDisconnect(c *choice, err error, begun time.Duration) {
	if errors.Is(err, target.ErrDetourLost) {
		return
	}
	p.relay.options.Stats.Disconnects[begun > 0].Inc()
	sent := p.sent
	if begun >= poison.ProofTime {
		// The target probably crashed of something else.
		sent.Parts, sent.Answering = nil, true
	}
	if _, shuttingDown := p.relay.options.Roster.ShuttingDown(c.target); !shuttingDown {
		p.relay.options.Poison.RecordLostConnection(sent, c.target.ID(), c.target.Entry().Address)
	}
}

// recordSuccess records that a target completed the request, as far as its response tells.
func (p *proxiedRequest) recordSuccess(c *choice, resp *target.Response) {
	guard := p.relay.options.Poison
	if resp.Framing() == target.FramingConnection {
		guard.RecordUnprovenEnd(p.sent, c.target.ID())
		return
	}
	guard.RecordSuccess(p.sent, c.target.ID())
}

// organisationName returns the name of the caller's organisation, or "".
func (p *proxiedRequest) organisationName() string {
	if p.organisation == nil {
		return ""
	}
	return p.organisation.Name
}

// checkResponse reports whether a response is the target's answer to this request; if not it returns
// the outcome of the attempt.
func (p *proxiedRequest) checkResponse(c *choice, resp *target.Response, respMeta *ResponseMeta) (outcome, bool) {
	says := respMeta.statement(p.meta.AttemptID)
	p.noteStatement(c, resp, respMeta, says)
	misdirected := resp.Status == http.StatusMisdirectedRequest
	if says != saysNothing {
		p.recordSelfReport(c, misdirected, respMeta)
	}
	if says == saysExecuted {
		return outcomeDone, true
	}
	p.attempts++
	if !p.retract(proofOfRejection(says)) {
		resp.Discard()
		p.recordResponse(c, false)
		return outcomeIncomplete, false
	}
	sameTarget := respMeta.Target == "" || respMeta.Target == c.target.Entry().Name
	if !misdirected || sameTarget {
		p.rejectedAt[resp.Carriage().Address()] = true
	}
	switch {
	case misdirected:
		p.relay.options.Stats.Misdirected.Inc()
		if respMeta.WeightVersion > 0 && sameTarget {
			p.relay.options.Roster.RecordOtherVersion(c.target.ID(), p.meta.Model, c.weightVersion, respMeta.WeightVersion)
		}
		if !sameTarget {
			// The address now belongs to another target.
			p.recordNoResponse(c)
		}
	default:
		p.relay.options.Stats.NotExecuted.Inc()
		p.recordReload(c)
	}
	// If this fails, only the connection is not reused; the rejection is already known.
	_, _ = io.Copy(io.Discard, io.LimitReader(resp, maxDrainBytes))
	return outcomeRejected, false
}

// noteStatement records what a response says of the request's execution, unless it is an ordinary answer.
func (p *proxiedRequest) noteStatement(c *choice, resp *target.Response, respMeta *ResponseMeta, says statement) {
	if says == saysExecuted && !isPromise(resp.Status) {
		return
	}
	text := respMeta.describe(resp.Status, p.meta.AttemptID)
	p.note("%s: %s: %s; %s", c.target.ID(), text, says, resp.Carriage())
	if says != saysNothing {
		return
	}
	p.relay.options.Stats.MismatchedResponses.Inc()
	if respMeta.NotExecuted || respMeta.Contradictory {
		p.relay.options.Stats.UnprovenRejections.Inc()
	}
	p.relay.options.Log.Emit(event.AnswerRejected, p.ref(), "the response is not used: "+text)
}

// reloadTime is how long all daemons of the cell skip a worker that rejected a request while its
// weights were older than desired. Weight-update orders are published only in the cell of the
// daemon that gives them, which may be another one.
const reloadTime = 700 * time.Millisecond

// recordReload skips a worker that appears to be changing its weights.
func (p *proxiedRequest) recordReload(c *choice) {
	if c.weightVersion == 0 || c.weightVersion >= p.relay.options.DesiredWeights(p.meta.Model) {
		return
	}
	c.report.recordReload()
	p.relay.options.Roster.RecordReloading(c.target.ID(), time.Now().Add(reloadTime))
	p.relay.options.PublishState()
}

// maxDrainBytes bounds how much of a rejection's body is read so that its connection can be reused.
const maxDrainBytes = 16 << 10

// targetRequest returns the request as it is sent to the target, or an error if it must not be sent.
func (p *proxiedRequest) targetRequest(c *choice) (*target.Request, error) {
	if p.executions > 0 && !p.route.MayRepeat() {
		return nil, p.invalidAttempt(errors.New("the request may run once, and an earlier attempt may have run"))
	}
	h := make(http.Header, len(p.r.Header)+8)
	hopByHop := strings.Split(p.r.Header.Get("Connection"), ",")
	for name, values := range p.r.Header {
		if !entry.HopHeader(name) && !containsName(hopByHop, name) && name != "Content-Length" && name != "Expect" {
			h[name] = values
		}
	}
	p.adjustForSuspend()
	meta := p.attemptMeta(c)
	if err := p.relay.options.Dialect.WriteAttempt(h, &meta); err != nil {
		return nil, p.invalidAttempt(err)
	}
	p.note("%s is told salt %q, weights %d, priority %d", meta.Target, meta.CacheSalt, meta.WeightVersion, meta.Priority)
	p.noteReplacedWeights(c)
	out := &target.Request{
		ID: p.meta.AttemptID, Method: p.r.Method, URI: p.r.RequestURI, Host: p.r.Host, Header: h, Body: p.body,
		BeforeWrite: p.availabilityCheck(c),
	}
	if !p.route.MayRepeat() {
		out.MaxIdle = maxIdleForOnce
	}
	p.setOpenRace(out, c)
	return out, nil
}

// invalidAttempt records why an attempt must not be sent, and returns it.
func (p *proxiedRequest) invalidAttempt(err error) error {
	p.relay.options.Stats.InvalidAttempts.Inc()
	p.relay.options.Log.Emit(event.InvariantBroken, p.ref(), err.Error())
	return err
}

// noteReplacedWeights records that the target of a choice has replaced weights.
func (p *proxiedRequest) noteReplacedWeights(c *choice) {
	version := c.weightVersion
	desired := p.relay.options.DesiredWeights(p.meta.Model)
	if version == 0 || version >= desired || p.relay.options.ReplacedFor == nil {
		return
	}
	p.relay.options.Stats.ReplacedAttempts.Inc()
	service := "an engine"
	if !p.isPrompt() {
		service = "a plain service"
	}
	p.note("weights %d of %s were replaced %s ago as far as known, %d is desired", version, service,
		p.relay.options.ReplacedFor(p.meta.Model, version).Round(time.Millisecond), desired)
}

// attemptMeta returns what the target of a choice is told, whoever chose it and however the request is sent.
// What protects organisations and versions of weights comes from the request and its configuration, never
// from the load that the choice counts.
func (p *proxiedRequest) attemptMeta(c *choice) AttemptMeta {
	return AttemptMeta{
		Timeout: time.Until(p.deadline), Target: c.target.ID(), Organisation: p.organisationName(),
		CacheSalt: p.cacheSalt(c.weightVersion).String(), Engine: p.isPrompt(), WeightVersion: c.weightVersion,
		Priority: p.priority(), CopyFrom: c.transfers.copyFrom, CopyDeadline: c.transfers.copyDeadline,
		StoreTo: c.transfers.storeTo, LastEventID: p.lastEventID,
	}
}

// isPrompt reports whether the request is for a service of model workers.
func (p *proxiedRequest) isPrompt() bool {
	svc := p.table.Service(p.service)
	return svc != nil && svc.Engine != nil
}

// unavailableError reports why an attempt was not sent.
type unavailableError struct{ reason roster.UnavailabilityReason }

// Error implements error.
func (e *unavailableError) Error() string { return "the target " + e.reason.String() }

// errOutdated means that the weights of the target became outdated after it was chosen.
var errOutdated = errors.New("the target's weights were replaced too long ago")

// weightsOutdated returns for how long it has been known that no request may begin on a version of the weights of the
// request's model; 0 if requests may. It does not matter whether the configuration names an engine: targets report their
// weights themselves. 0 stands for no weights.
func (p *proxiedRequest) weightsOutdated(version int64) time.Duration {
	if version <= 0 {
		return 0
	}
	return p.relay.options.WeightsOutdated(p.meta.Model, version)
}

// errBlocked means that the request became known to crash targets after its target was chosen.
var errBlocked = errors.New(crashesTargets)

// availabilityCheck returns the check that runs once there is a connection, before the request is
// written.
func (p *proxiedRequest) availabilityCheck(c *choice) func() error {
	return func() error {
		if p.blocked() {
			return errors.WithStack(errBlocked)
		}
		if p.weightsOutdated(c.weightVersion) > 0 {
			return errors.WithStack(errOutdated)
		}
		if reason := p.relay.options.Roster.Admit(c.target, c.permit); reason != roster.Available {
			return &unavailableError{reason}
		}
		return nil
	}
}

// maxIdleForOnce is the idle time after which a connection is not used for a request that may be
// executed only once: targets may close idle connections without notice.
const maxIdleForOnce = 1500 * time.Millisecond

// containsName reports whether a list of header names contains a name.
func containsName(list []string, name string) bool {
	for _, s := range list {
		if strings.EqualFold(strings.TrimSpace(s), name) {
			return true
		}
	}
	return false
}
