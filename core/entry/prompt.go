package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"embertally.dev/core/cache"
	"embertally.dev/core/conf"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/home"
	"embertally.dev/core/poison"
	"embertally.dev/core/route"
	"embertally.dev/core/target"
)

// defaultMaxTokens bounds the answer, in tokens, if the caller sets no max_tokens.
const defaultMaxTokens = 256

// common holds the fields that completions and chat completions share. The names of common,
// streamOptions and message appear in the decoder's errors, which are sent to callers.
type common struct {
	Model         string         `json:"model"`
	MaxTokens     int            `json:"max_tokens"`
	Temperature   *float64       `json:"temperature"`
	Seed          *int64         `json:"seed"`
	Stop          stopSequences  `json:"stop"`
	Stream        bool           `json:"stream"`
	StreamOptions *streamOptions `json:"stream_options"`
	N             int            `json:"n"`
	// User is accepted and ignored: the key identifies the caller.
	User string `json:"user"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// stopSequences is decoded from one text, a list of texts, or null for none.
type stopSequences []string

// UnmarshalJSON decodes a single text, a list of texts, or null. Pointers tell null from an empty text.
func (s *stopSequences) UnmarshalJSON(raw []byte) error {
	var one *string
	if json.Unmarshal(raw, &one) == nil {
		*s = nil
		if one != nil {
			*s = stopSequences{*one}
		}
		return nil
	}
	var many []*string
	if err := json.Unmarshal(raw, &many); err != nil || slices.Contains(many, nil) {
		return errors.New("stop must be a text or a list of texts")
	}
	*s = make(stopSequences, len(many))
	for i, text := range many {
		(*s)[i] = *text
	}
	return nil
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completions handles a request of the completions API.
func (s *Server) completions(c echo.Context, q *request) *Refusal {
	var body struct {
		common
		Prompt string `json:"prompt"`
	}
	if r := s.decode(c, q, &body); r != nil {
		return r
	}
	return s.servePrompt(c, q, &body.common, body.Prompt, completionFormat{})
}

// chat handles a request of the chat completions API.
func (s *Server) chat(c echo.Context, q *request) *Refusal {
	var body struct {
		common
		Messages            []message `json:"messages"`
		MaxCompletionTokens int       `json:"max_completion_tokens"`
	}
	if r := s.decode(c, q, &body); r != nil {
		return r
	}
	if len(body.Messages) == 0 {
		return badField("messages", "needs at least one message")
	}
	var text strings.Builder
	for i, m := range body.Messages {
		if !slices.Contains([]string{"system", "developer", "user", "assistant", "tool"}, m.Role) {
			return badField(fmt.Sprintf("messages[%d].role", i), "is not a known role")
		}
		// The length keeps the content of one message from being read as several messages.
		fmt.Fprintf(&text, "<%s %d>\n%s\n", m.Role, len(m.Content), m.Content)
	}
	text.WriteString("<assistant>\n")
	body.MaxTokens = max(body.MaxTokens, body.MaxCompletionTokens)
	return s.servePrompt(c, q, &body.common, text.String(), chatFormat{})
}

func badField(field, text string) *Refusal {
	return refuse(http.StatusBadRequest, CodeBadRequest, NotRun, field+" "+text)
}

// decode decodes the body into into and sets the request digest. Unknown fields are refused.
func (s *Server) decode(c echo.Context, q *request, into any) *Refusal {
	raw, r := s.readBody(c)
	if r != nil {
		return r
	}
	// The host is left out: it differs between boxes.
	req := c.Request()
	q.digest = poison.DigestOf(&poison.Request{
		Organisation: q.organisation, Method: req.Method, URI: req.RequestURI, Body: raw,
	})
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return refuse(http.StatusBadRequest, CodeBadRequest, NotRun, "the body cannot be read: "+err.Error())
	}
	if _, err := dec.Token(); err != io.EOF {
		return refuse(http.StatusBadRequest, CodeBadRequest, NotRun, "there is more after the end of the body")
	}
	return nil
}

// maxAnswerTokens bounds max_tokens.
const maxAnswerTokens = 1 << 16

func (b *common) validate() *Refusal {
	switch {
	case b.Model == "":
		return badField("model", "is required")
	case b.MaxTokens < 0 || b.MaxTokens > maxAnswerTokens:
		return badField("max_tokens", "must be from 1 to 65536")
	case b.N > 1:
		return badField("n", "must be 1: this system gives one answer")
	}
	if b.MaxTokens == 0 {
		b.MaxTokens = defaultMaxTokens
	}
	return nil
}

// promptRequest is one prompt with the state of its answer, over all attempts.
type promptRequest struct {
	s      *Server
	q      *request
	body   *common
	format responseFormat
	policy *conf.Policy
	// policyName is the policy under which the request is counted while it waits.
	policyName     string
	deployment     *conf.Deployment
	deploymentName string
	prompt         string
	placement      home.PlacementRequest
	out            writer

	// text is the answer so far and tokens its number of tokens.
	text         strings.Builder
	tokens       int
	finishReason string
	usage        usage
	// firstTokenAt is when the first token arrived; zero before.
	firstTokenAt time.Time
	// waiting reports whether the request is counted in Server.waiting.
	waiting bool
	// decision is the latest placement decision, with the chosen worker.
	decision home.PlacementResult
}

type usage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	Details          usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// servePrompt validates and answers a prompt.
func (s *Server) servePrompt(c echo.Context, q *request, body *common, text string, f responseFormat) *Refusal {
	if r := body.validate(); r != nil {
		return r
	}
	p := &promptRequest{s: s, q: q, body: body, format: f, prompt: text}
	if r := p.resolve(); r != nil {
		return r
	}
	if r := s.blocked(q); r != nil {
		return r
	}
	if r := p.enqueue(); r != nil {
		return r
	}
	defer p.dequeue()
	p.out = writer{c: c, req: p}
	return p.answer(c.Request().Context())
}

// resolve sets the deployment, the policy and the placement request with the weight version.
func (p *promptRequest) resolve() *Refusal {
	name, adapter, _ := strings.Cut(p.body.Model, ":")
	p.deploymentName, p.deployment = name, p.q.snap.Deployment(name)
	p.policyName, p.policy = p.q.snap.Policy(p.q.organisation, conf.KindDeployment, name)
	if p.deployment == nil || p.policy == nil {
		// Both cases get the same answer, so that callers can't probe for names of other organisations.
		return refuse(http.StatusNotFound, CodeNotFound, NotRun, "there is no model of this name for your organisation")
	}
	if adapter != "" && !slices.Contains(p.deployment.Adapters, adapter) {
		return refuse(http.StatusNotFound, CodeNotFound, NotRun, "the model has no adapter of this name")
	}
	salt := cache.Salt{
		Organisation: p.q.organisation, Model: p.deployment.Model,
		WeightVersion: p.deployment.WeightVersion, Adapter: adapter,
	}
	salt.WeightVersion = p.chooseVersion(salt)
	w := p.policy.Weights
	p.placement = home.PlacementRequest{
		Request: p.q.id, Deployment: name, Salt: salt, RootBlocks: p.deployment.RootBlocksOrDefault(),
		Chain: cache.Chain(salt.Seed(), p.prompt), Tokens: cache.Tokens(len(p.prompt)),
		Priority: p.policy.Priority, Targets: p.policy.Targets,
		Costs: route.CostWeights{
			FirstToken: orOne(w.FirstToken), SecondsPerToken: w.RecomputedSeconds / 1000, SecondsPerByte: w.LinkSeconds / 1e6,
		},
	}
	return nil
}

func orOne(v float64) float64 {
	if v == 0 {
		return 1
	}
	return v
}

// chooseVersion returns the weight version that the request uses. During a weight update, a share of
// the contexts that grows with the number of updated workers uses the new version; the others use a
// version that the remaining workers have loaded.
func (p *promptRequest) chooseVersion(salt cache.Salt) string {
	ready, total := p.s.o.ContextOwner.Ready(p.q.snap, p.q.view, p.deploymentName, salt)
	if ready == total {
		return salt.WeightVersion
	}
	head := p.prompt[:min(len(p.prompt), p.deployment.RootBlocksOrDefault()*cache.BlockBytes)]
	const scale = 1 << 20
	fraction := float64(fleet.Key(salt.Organisation+"/"+head)%scale) / scale
	if route.UseDesiredVersion(fraction, ready, total) {
		return salt.WeightVersion
	}
	for _, v := range p.s.o.ContextOwner.Versions(p.q.snap, p.q.view, p.deploymentName, salt.Model) {
		if v != salt.WeightVersion {
			return v
		}
	}
	return salt.WeightVersion
}

// enqueue counts the request among those without a first token.
func (p *promptRequest) enqueue() *Refusal {
	s := p.s
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	if s.waiting[p.policyName] >= p.policy.MaxQueueOrDefault() {
		return refuse(http.StatusTooManyRequests, CodeQueueFull, NotRun, "too many requests of the policy wait here").after(queueFullRetryAfter)
	}
	s.waiting[p.policyName]++
	p.waiting = true
	return nil
}

// dequeue removes the request from those without a first token.
func (p *promptRequest) dequeue() {
	if !p.waiting {
		return
	}
	p.waiting = false
	s := p.s
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	s.waiting[p.policyName]--
	if s.waiting[p.policyName] == 0 {
		delete(s.waiting, p.policyName)
	}
}

// maxAttempts bounds the targets that one request is sent to.
const maxAttempts = 4

// errCallerDisconnected reports that the caller closed its connection.
var errCallerDisconnected = errors.New("caller closed its connection")

// answer places the prompt and relays the answer. If a worker fails, the answer continues on another.
func (p *promptRequest) answer(ctx context.Context) *Refusal {
	var lastErr error
	for try := 0; try < maxAttempts; try++ {
		if r := p.s.blocked(p.q); r != nil {
			return p.fail(r)
		}
		if try > 0 && (p.mayCrashEngines(try) || !p.s.spendRetry()) {
			break
		}
		if r := p.place(ctx); r != nil {
			if r.Code == CodeNoTarget && p.switchVersion() {
				continue
			}
			return p.fail(r)
		}
		lastErr = p.tryWorker(ctx)
		if lastErr == nil {
			return p.complete()
		}
		if ctx.Err() != nil || errors.Is(lastErr, errCallerDisconnected) {
			p.s.callerDisconnected(p.q)
			return nil
		}
		p.s.o.Log.Emit(event.RequestRetried, p.ref(), lastErr.Error())
		exclude := append(p.placement.Exclude, p.decision.Worker)
		p.switchVersion()
		p.placement.Exclude = exclude
	}
	return p.fail(refuse(http.StatusBadGateway, CodeTargetFailed, NotRun, "no worker gave an answer").after(queueFullRetryAfter))
}

// blocked returns a refusal for a prompt that crashed too many engines, and nil for others. The
// refusal states notRun even after attempts: a prompt may be repeated, so a partial run has no
// effect.
func (s *Server) blocked(q *request) *Refusal {
	remaining, isBlocked := s.o.Poison.Blocked(q.sent())
	if !isBlocked {
		return nil
	}
	return refuse(http.StatusServiceUnavailable, CodeCrashesTargets, NotRun,
		"engines end of this prompt; it is given to none").after(remaining)
}

const (
	// crashLimit is the number of engines that crashed under a prompt at which the request stops
	// retrying it. With four engines per request, two requests crashed all eight engines of a site.
	crashLimit = 2
	// crashReportWait is how long reports of crashes are waited for before a prompt is sent to a
	// third engine: time for several messages between daemons of a region.
	crashReportWait = 30 * time.Millisecond
)

// mayCrashEngines reports whether a prompt that was sent to tried engines may be what crashed them.
func (p *promptRequest) mayCrashEngines(tried int) bool {
	if tried >= crashLimit {
		time.Sleep(crashReportWait)
	}
	return p.s.o.Poison.Crashes(p.q.digest) >= crashLimit
}

// switchVersion resolves the request again and reports whether it now uses another weight version.
// That happens only before the first token, after a weight update has overtaken the request.
func (p *promptRequest) switchVersion() bool {
	if p.tokens > 0 {
		return false
	}
	before := p.placement.Salt.WeightVersion
	return p.resolve() == nil && p.placement.Salt.WeightVersion != before
}

func (p *promptRequest) ref() event.Ref {
	r := p.q.ref(p.decision.Worker)
	r.Context = p.placement.Root().String()
	return r
}

// fail returns the refusal as the response, or sends it as the last message of a stream that has
// tokens already.
func (p *promptRequest) fail(r *Refusal) *Refusal {
	if p.tokens == 0 || !p.body.Stream {
		return r
	}
	p.s.stats.StreamsBroken.Add(1)
	broken := refuse(0, CodeStreamBroken, Unknown, "the answer could not be continued: "+r.Message)
	p.s.o.Log.Emit(event.StreamBroken, p.ref(), r.Error())
	p.s.recordWritten(p.q, p.out.event(broken.asEvent(p.q.id)))
	return nil
}

// placeSlack is added to the deadline to bound the choice of a worker.
const placeSlack = time.Second

// place requests a worker from the context owner.
func (p *promptRequest) place(ctx context.Context) *Refusal {
	deadline := p.policy.Deadline.Or(conf.DefaultDeadline)
	p.placement.Deadline = max(time.Millisecond, deadline-time.Since(p.q.start))
	if p.tokens > 0 {
		p.extendPrompt()
		// The deadline applies to the first token, which has been sent.
		p.placement.Deadline = 0
	}
	ctx, cancel := context.WithTimeout(ctx, deadline+placeSlack)
	defer cancel()
	pushedBack, soonest := p.s.underPushback(p.q.snap, func(t *conf.Target) bool { return t.Serves(p.deploymentName) })
	req := p.placement
	req.Exclude = append(pushedBack, p.placement.Exclude...)
	ans, err := p.s.o.ContextOwner.Place(ctx, p.s.o.Fleet.View(), &req)
	if err != nil {
		return refuse(http.StatusServiceUnavailable, CodeNoTarget, NotRun, "no worker could be chosen").after(queueFullRetryAfter)
	}
	p.decision = ans
	switch ans.Verdict {
	case route.NoWorker:
		if len(pushedBack) > 0 {
			return refuse(http.StatusServiceUnavailable, CodeNoTarget, NotRun, "the workers that hold the model rest").after(soonest)
		}
		return refuse(http.StatusServiceUnavailable, CodeNoTarget, NotRun, "no worker holds the model now").after(noWorkerRetryAfter)
	case route.TooLate:
		text := fmt.Sprintf("the first token would come in %v, later than its deadline", ans.Expected.Round(time.Millisecond))
		return refuse(http.StatusServiceUnavailable, CodeDeadlineCannotBeMet, NotRun, text).after(max(ans.RetryAfter, queueFullRetryAfter))
	}
	p.s.o.Log.Emit(event.RequestPlaced, p.ref(), explain(&p.placement, &ans))
	return nil
}

// noWorkerRetryAfter is the Retry-After if no worker has loaded the model.
const noWorkerRetryAfter = 2 * time.Second

// extendPrompt appends the answer so far to the prompt that is placed.
func (p *promptRequest) extendPrompt() {
	text := p.prompt + p.text.String()
	p.placement.Chain = cache.Chain(p.placement.Salt.Seed(), text)
	p.placement.Tokens = cache.Tokens(len(text))
}

// explain describes a placement decision for the log.
func explain(a *home.PlacementRequest, ans *home.PlacementResult) string {
	var b strings.Builder
	fmt.Fprintf(&b, "decided by %s; %d tokens in %d blocks, weights %s; cached %d, imported %d blocks; expected first token %v; options:",
		ans.Owner, a.Tokens, len(a.Chain), home.WeightsName(a.Salt), ans.CachedBlocks, ans.ImportedBlocks, ans.Expected.Round(100*time.Microsecond))
	for _, o := range ans.Options {
		fmt.Fprintf(&b, " [%s queue %v import %d blocks in %v prefill %d tokens in %v cost %.4f]",
			o.Worker, o.Queue.Round(100*time.Microsecond), o.Import.Blocks(), o.Transfer.Round(100*time.Microsecond),
			o.Recomputed, o.Prefill.Round(100*time.Microsecond), o.Cost)
	}
	return b.String()
}

// reportAttempt reports the progress of the attempt to the context owner, in the background.
// prefilled means that the worker has prefilled the prompt, failed that the worker failed.
func (p *promptRequest) reportAttempt(prefilled, failed bool) {
	o := &home.Outcome{
		Request: p.q.id, Salt: p.placement.Salt, RootBlocks: p.placement.RootBlocks, Chain: p.placement.Chain, Worker: p.decision.Worker,
		Prefilled: prefilled, ExportFrom: p.deployment.MinExportBlocksOrDefault(), Failed: failed,
	}
	go attemptReport{p.s.o.ContextOwner, p.q.view, p.decision.Owner, o}.send()
}

// attemptReport is a report on an attempt for a context owner.
type attemptReport struct {
	sender  *home.Owner
	view    *fleet.View
	owner   string
	outcome *home.Outcome
}

// send sends the report.
func (t attemptReport) send() { t.sender.ReportOutcome(t.view, t.owner, t.outcome) }

// tryWorker relays the answer of the chosen worker. After an error the request may continue on
// another worker.
func (p *promptRequest) tryWorker(ctx context.Context) error {
	t := p.q.snap.Target(p.decision.Worker)
	if t == nil {
		// The context owner has a newer configuration than the request's snapshot.
		t = p.s.o.Conf.Snapshot().Target(p.decision.Worker)
	}
	if t == nil {
		return errors.New("chosen worker is not in the configuration of this daemon")
	}
	a := &attempt{
		promptRequest: p, target: t, engine: target.NewEngine(t.URL, p.s.o.EngineClient),
		id: fmt.Sprintf("%s-%d", p.q.id, len(p.placement.Exclude)),
	}
	if !p.s.pushbacks.AllowAttempt(p.decision.Worker) {
		p.reportAttempt(false, false)
		return errors.New("chosen worker is under pushback")
	}
	err := a.relay(ctx)
	if pushback := target.Pushback(err); pushback > 0 {
		p.s.recordPushback(p.q, p.decision.Worker, p.s.o.ContextOwner.Incarnation(p.decision.Worker), pushback)
	}
	if err != nil && a.sent {
		a.cancel()
	}
	disconnected := ctx.Err() != nil || errors.Is(err, errCallerDisconnected)
	failed := err != nil && !disconnected && target.Status(err) == 0
	if failed || a.tokens == 0 {
		p.reportAttempt(false, failed)
	}
	return err
}

// complete accounts for a complete answer and sends its end to the caller.
func (p *promptRequest) complete() *Refusal {
	p.s.recordAccepted(p.q, p.decision.Worker)
	p.s.o.Poison.RecordSuccess(p.q.sent(), p.decision.Incarnation())
	p.usage.CompletionTokens = p.tokens
	p.usage.TotalTokens = p.usage.PromptTokens + p.tokens
	st := &p.s.stats
	st.Tokens.Add(int64(p.tokens))
	st.PromptTokens.Add(int64(p.usage.PromptTokens))
	st.CachedTokens.Add(int64(p.usage.Details.CachedTokens))
	if p.s.recordWritten(p.q, p.out.finish()); !p.q.complete {
		return nil
	}
	p.s.o.Log.Emit(event.RequestDone, p.ref(), fmt.Sprintf("%d of %d prompt tokens cached, %d tokens, first after %v",
		p.usage.Details.CachedTokens, p.usage.PromptTokens, p.tokens, p.firstTokenAt.Sub(p.q.start).Round(100*time.Microsecond)))
	return nil
}
