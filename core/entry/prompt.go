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

// defaultMaxTokens is used where the caller names no length.
const defaultMaxTokens = 256

// common are the fields that both published forms share.
type common struct {
	Model         string         `json:"model"`
	MaxTokens     int            `json:"max_tokens"`
	Temperature   *float64       `json:"temperature"`
	Seed          *int64         `json:"seed"`
	Stop          stops          `json:"stop"`
	Stream        bool           `json:"stream"`
	StreamOptions *streamOptions `json:"stream_options"`
	N             int            `json:"n"`
	// User is taken and not used: the key decides who is calling.
	User string `json:"user"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// stops is one text or a list of texts.
type stops []string

// UnmarshalJSON reads both published forms.
func (s *stops) UnmarshalJSON(raw []byte) error {
	var one string
	if json.Unmarshal(raw, &one) == nil {
		*s = stops{one}
		return nil
	}
	var many []string
	if err := json.Unmarshal(raw, &many); err != nil {
		return errors.New("stop must be a text or a list of texts")
	}
	*s = many
	return nil
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completions answers the published completions form.
func (s *Server) completions(c echo.Context, q *request) *Refusal {
	var body struct {
		common
		Prompt string `json:"prompt"`
	}
	if r := s.decode(c, q, &body); r != nil {
		return r
	}
	return s.prompt(c, q, &body.common, body.Prompt, completionForm{})
}

// chat answers the published chat form.
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
		// The length keeps a message from passing for several.
		fmt.Fprintf(&text, "<%s %d>\n%s\n", m.Role, len(m.Content), m.Content)
	}
	text.WriteString("<assistant>\n")
	body.MaxTokens = max(body.MaxTokens, body.MaxCompletionTokens)
	return s.prompt(c, q, &body.common, text.String(), chatForm{})
}

func badField(field, text string) *Refusal {
	return refuse(http.StatusBadRequest, CodeBadRequest, NotRun, field+" "+text)
}

// decode reads a body strictly: a field that would be passed over is refused.
func (s *Server) decode(c echo.Context, q *request, into any) *Refusal {
	raw, r := s.readBody(c)
	if r != nil {
		return r
	}
	// Callers reach each box under a host of its own.
	req := c.Request()
	q.asks = poison.Of(&poison.Request{Organisation: q.organisation, Method: req.Method, URI: req.RequestURI, Body: raw})
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

// mostTokens bounds the length of an answer.
const mostTokens = 1 << 16

func (b *common) check() *Refusal {
	switch {
	case b.Model == "":
		return badField("model", "is required")
	case b.MaxTokens < 0 || b.MaxTokens > mostTokens:
		return badField("max_tokens", "must be from 1 to 65536")
	case b.N > 1:
		return badField("n", "must be 1: this system gives one answer")
	}
	if b.MaxTokens == 0 {
		b.MaxTokens = defaultMaxTokens
	}
	return nil
}

// run is one prompt on its way to an answer.
type run struct {
	s      *Server
	q      *request
	body   *common
	form   form
	policy *conf.Policy
	// policyName is what waiting requests are counted under.
	policyName string
	deployment *conf.Deployment
	name       string // of the deployment
	prompt     string
	ask        home.PlacementRequest
	out        writer

	// text is the answer so far and tokens its length.
	text   strings.Builder
	tokens int
	finish string
	usage  usage
	// first is when the first token came; zero before.
	first   time.Time
	waiting bool
	// last is how the worker in use was chosen.
	last home.PlacementResult
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

// prompt answers one prompt.
func (s *Server) prompt(c echo.Context, q *request, body *common, text string, f form) *Refusal {
	if r := body.check(); r != nil {
		return r
	}
	p := &run{s: s, q: q, body: body, form: f, prompt: text}
	if r := p.resolve(); r != nil {
		return r
	}
	if r := s.blocked(q); r != nil {
		return r
	}
	if r := p.wait(); r != nil {
		return r
	}
	defer p.unwait()
	p.out = writer{c: c, run: p}
	return p.answer(c.Request().Context())
}

// resolve finds the deployment, the policy and the weight version.
func (p *run) resolve() *Refusal {
	name, adapter, _ := strings.Cut(p.body.Model, ":")
	p.name, p.deployment = name, p.q.snap.Deployment(name)
	p.policyName, p.policy = p.q.snap.Policy(p.q.organisation, conf.KindDeployment, name)
	if p.deployment == nil || p.policy == nil {
		// Both cases read the same, so that nobody learns others' names.
		return refuse(http.StatusNotFound, CodeNotFound, NotRun, "there is no model of this name for your organisation")
	}
	if adapter != "" && !slices.Contains(p.deployment.Adapters, adapter) {
		return refuse(http.StatusNotFound, CodeNotFound, NotRun, "the model has no adapter of this name")
	}
	salt := cache.Salt{
		Organisation: p.q.organisation, Model: p.deployment.Model,
		WeightVersion: p.deployment.WeightVersion, Adapter: adapter,
	}
	salt.WeightVersion = p.version(salt)
	w := p.policy.Weights
	p.ask = home.PlacementRequest{
		Request: p.q.id, Deployment: name, Salt: salt, RootBlocks: p.deployment.Roots(),
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

// version chooses the weights while a swap rolls: a share of the contexts that
// grows with the workers that hold the wanted ones, and all others what the
// other workers hold.
func (p *run) version(salt cache.Salt) string {
	ready, total := p.s.o.Home.Ready(p.q.snap, p.q.view, p.name, salt)
	if ready == total {
		return salt.WeightVersion
	}
	head := p.prompt[:min(len(p.prompt), p.deployment.Roots()*cache.BlockBytes)]
	const scale = 1 << 20
	fraction := float64(fleet.Key(salt.Organisation+"/"+head)%scale) / scale
	if route.UseDesiredVersion(fraction, ready, total) {
		return salt.WeightVersion
	}
	for _, v := range p.s.o.Home.Versions(p.q.snap, p.q.view, p.name, salt.Model) {
		if v != salt.WeightVersion {
			return v
		}
	}
	return salt.WeightVersion
}

// wait counts the request among those without a first token.
func (p *run) wait() *Refusal {
	s := p.s
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	if s.waiting[p.policyName] >= p.policy.Queue() {
		return refuse(http.StatusTooManyRequests, CodeQueueFull, NotRun, "too many requests of the policy wait here").after(queuePause)
	}
	s.waiting[p.policyName]++
	p.waiting = true
	return nil
}

func (p *run) unwait() {
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

// mostTries bounds the workers that one request is given to.
const mostTries = 4

// errGone says that the caller closed its connection.
var errGone = errors.New("caller has gone")

// answer places the prompt and relays the answer, on another worker where one
// fails.
func (p *run) answer(ctx context.Context) *Refusal {
	var last error
	for try := 0; try < mostTries; try++ {
		if r := p.s.blocked(p.q); r != nil {
			return p.end(r)
		}
		if try > 0 && (p.mayEndEngines(try) || !p.s.mayRetry()) {
			break
		}
		if r := p.place(ctx); r != nil {
			if r.Code == CodeNoTarget && p.moved() {
				continue
			}
			return p.end(r)
		}
		last = p.attempt(ctx)
		if last == nil {
			return p.finishUp()
		}
		if ctx.Err() != nil || errors.Is(last, errGone) {
			p.s.gone(p.q)
			return nil
		}
		p.s.o.Log.Emit(event.RequestRetried, p.ref(), last.Error())
		exclude := append(p.ask.Exclude, p.last.Worker)
		p.moved()
		p.ask.Exclude = exclude
	}
	return p.end(refuse(http.StatusBadGateway, CodeTargetFailed, NotRun, "no worker gave an answer").after(queuePause))
}

// blocked refuses a prompt under which too many engines ended, and returns nil for others. A
// prompt may be repeated, so that what ran of it does not count.
func (s *Server) blocked(q *request) *Refusal {
	left, on := s.o.Poison.Blocked(q.asks)
	if !on {
		return nil
	}
	return refuse(http.StatusServiceUnavailable, CodeEndsTargets, NotRun, "engines end of this prompt; it is given to none").after(left)
}

const (
	// endsMost is how many engines may have ended under a prompt before it is given to no
	// more of them within its try. With four engines to a try, two tries ended all eight of a
	// site.
	endsMost = 2
	// endsWait is how long the word is waited for that an engine ended, before a prompt goes
	// to a third one: some messages between daemons of a region.
	endsWait = 30 * time.Millisecond
)

// mayEndEngines reports whether a prompt that was given to some engines may be what ended
// them.
func (p *run) mayEndEngines(tried int) bool {
	if tried >= endsMost {
		time.Sleep(endsWait)
	}
	return p.s.o.Poison.Ends(p.q.asks) >= endsMost
}

// moved reports whether the request goes on under other weights: before its
// first token, and where a swap has passed it by.
func (p *run) moved() bool {
	if p.tokens > 0 {
		return false
	}
	before := p.ask.Salt.WeightVersion
	return p.resolve() == nil && p.ask.Salt.WeightVersion != before
}

func (p *run) ref() event.Ref {
	r := p.q.ref(p.last.Worker)
	r.Context = p.ask.Root().String()
	return r
}

// end gives a refusal to the caller: as the answer, or as the last message of
// a stream that has begun.
func (p *run) end(r *Refusal) *Refusal {
	if p.tokens == 0 || !p.body.Stream {
		return r
	}
	p.s.stats.Broken.Add(1)
	broken := refuse(0, CodeStreamBroken, Unknown, "the answer could not be continued: "+r.Message)
	p.s.o.Log.Emit(event.StreamBroken, p.ref(), r.Error())
	p.out.event(broken.asEvent(p.q.id))
	return nil
}

// placeSlack is added to the deadline as the bound on choosing a worker.
const placeSlack = time.Second

// place asks for a worker.
func (p *run) place(ctx context.Context) *Refusal {
	deadline := p.policy.Deadline.Or(conf.DefaultDeadline)
	p.ask.Deadline = max(time.Millisecond, deadline-time.Since(p.q.began))
	if p.tokens > 0 {
		p.continueFrom()
		// The first token has been given; the deadline was for that.
		p.ask.Deadline = 0
	}
	ctx, cancel := context.WithTimeout(ctx, deadline+placeSlack)
	defer cancel()
	resting, first := p.s.resting(p.q.snap, func(t *conf.Target) bool { return t.Serves(p.name) })
	ask := p.ask
	ask.Exclude = append(resting, p.ask.Exclude...)
	ans, err := p.s.o.Home.Place(ctx, p.s.o.Fleet.View(), &ask)
	if err != nil {
		return refuse(http.StatusServiceUnavailable, CodeNoTarget, NotRun, "no worker could be chosen").after(queuePause)
	}
	p.last = ans
	switch ans.Verdict {
	case route.NoWorker:
		if len(resting) > 0 {
			return refuse(http.StatusServiceUnavailable, CodeNoTarget, NotRun, "the workers that hold the model rest").after(first)
		}
		return refuse(http.StatusServiceUnavailable, CodeNoTarget, NotRun, "no worker holds the model now").after(noWorkerPause)
	case route.TooLate:
		text := fmt.Sprintf("the first token would come in %v, later than its deadline", ans.Expected.Round(time.Millisecond))
		return refuse(http.StatusServiceUnavailable, CodeTooLate, NotRun, text).after(max(ans.RetryAfter, queuePause))
	}
	p.s.o.Log.Emit(event.RequestPlaced, p.ref(), explain(&p.ask, &ans))
	return nil
}

// noWorkerPause is when to come back where no worker holds the model.
const noWorkerPause = 2 * time.Second

// continueFrom makes what was answered so far part of the prompt.
func (p *run) continueFrom() {
	text := p.prompt + p.text.String()
	p.ask.Chain = cache.Chain(p.ask.Salt.Seed(), text)
	p.ask.Tokens = cache.Tokens(len(text))
}

// explain writes why a request goes where it goes.
func explain(a *home.PlacementRequest, ans *home.PlacementResult) string {
	var b strings.Builder
	fmt.Fprintf(&b, "decided by %s; %d tokens in %d blocks, weights %s; held %d, imported %d blocks; expected first token %v; weighed:",
		ans.Owner, a.Tokens, len(a.Chain), home.WeightsName(a.Salt), ans.HeldBlocks, ans.ImportedBlocks, ans.Expected.Round(100*time.Microsecond))
	for _, o := range ans.Options {
		fmt.Fprintf(&b, " [%s queue %v import %d blocks in %v prefill %d tokens in %v cost %.4f]",
			o.Worker, o.Queue.Round(100*time.Microsecond), o.Import.Blocks(), o.Transfer.Round(100*time.Microsecond),
			o.Recomputed, o.Prefill.Round(100*time.Microsecond), o.Cost)
	}
	return b.String()
}

// tell tells the home of the context how the attempt went.
func (p *run) tell(prefilled, failed bool) {
	d := &home.Outcome{
		Request: p.q.id, Salt: p.ask.Salt, RootBlocks: p.ask.RootBlocks, Chain: p.ask.Chain, Worker: p.last.Worker,
		Prefilled: prefilled, ExportFrom: p.deployment.ExportFrom(), Failed: failed,
	}
	go teller{p.s.o.Home, p.q.view, p.last.Owner, d}.run()
}

// teller tells a home how a request went, beside the request.
type teller struct {
	from *home.Owner
	view *fleet.View
	home string
	done *home.Outcome
}

func (t teller) run() { t.from.ReportOutcome(t.view, t.home, t.done) }

// attempt relays the answer of the chosen worker. After an error the request
// may go on elsewhere.
func (p *run) attempt(ctx context.Context) error {
	t := p.q.snap.Target(p.last.Worker)
	if t == nil {
		// The home is ahead of the request's snapshot.
		t = p.s.o.Conf.Snapshot().Target(p.last.Worker)
	}
	if t == nil {
		return errors.New("the chosen worker is not configured here")
	}
	a := &attempt{run: p, target: t, engine: target.NewEngine(t.URL, p.s.o.Engines), id: fmt.Sprintf("%s-%d", p.q.id, len(p.ask.Exclude))}
	if !p.s.rests.Take(p.last.Worker) {
		p.tell(false, false)
		return errors.New("the worker rests")
	}
	err := a.relay(ctx)
	if rest := target.Pushback(err); rest > 0 {
		p.s.turned(p.q, p.last.Worker, p.s.o.Home.Incarnation(p.last.Worker), rest)
	}
	if err != nil && a.sent {
		a.cancel()
	}
	gone := ctx.Err() != nil || errors.Is(err, errGone)
	failed := err != nil && !gone && target.Status(err) == 0
	if failed || a.tokens == 0 {
		p.tell(false, failed)
	}
	return err
}

// finishUp ends an answer that is whole.
func (p *run) finishUp() *Refusal {
	p.s.took(p.q, p.last.Worker)
	p.s.o.Poison.Good(p.q.asks, p.q.organisation, p.last.Incarnation())
	p.usage.CompletionTokens = p.tokens
	p.usage.TotalTokens = p.usage.PromptTokens + p.tokens
	st := &p.s.stats
	st.Tokens.Add(int64(p.tokens))
	st.PromptTokens.Add(int64(p.usage.PromptTokens))
	st.CachedTokens.Add(int64(p.usage.Details.CachedTokens))
	if err := p.out.finish(); err != nil {
		p.s.gone(p.q)
		return nil
	}
	p.s.o.Log.Emit(event.RequestDone, p.ref(), fmt.Sprintf("%d of %d prompt tokens cached, %d tokens, first after %v",
		p.usage.Details.CachedTokens, p.usage.PromptTokens, p.tokens, p.first.Sub(p.q.began).Round(100*time.Microsecond)))
	return nil
}
