package entry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"syscall"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"embertally.dev/core/conf"
	"embertally.dev/core/event"
	"embertally.dev/core/target"
)

// attempt is one try of a prompt at one worker.
type attempt struct {
	*run
	target *conf.Target
	engine *target.Engine
	// id names the try at the engine, so that a late answer of a former try
	// is told apart.
	id string
	// sent tells that the engine may know of the try.
	sent bool
	// tokens is how many tokens this try gave.
	tokens int
	// done tells that the engine said that the answer is whole.
	done bool
}

// chunk is one message of an engine's stream in the published form.
type chunk struct {
	ID                string   `json:"id"`
	SystemFingerprint string   `json:"system_fingerprint"`
	Choices           []choice `json:"choices"`
	Usage             *usage   `json:"usage"`
}

type choice struct {
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// Bounds of a relayed stream.
const (
	// stallLimit is how long a stream may be silent after its first token.
	stallLimit = 5 * time.Second
	// firstFactor and firstSlack bound the wait for a first token, from what
	// was expected.
	firstFactor = 4
	firstSlack  = 3 * time.Second
	// resumes bounds how often a stream is taken up at the same engine.
	resumes = 2
	// maxLine bounds one message of a stream.
	maxLine = 1 << 20
	// resumePause spaces the tries to take up a stream.
	resumePause = 50 * time.Millisecond
)

var errStalled = errors.New("the worker was silent for too long")

// relay passes on the stream of the engine and takes it up again where it
// breaks.
func (a *attempt) relay(ctx context.Context) error {
	err := a.once(ctx, a.begin)
	a.ended(ctx, err)
	for n := 0; n < resumes && a.resumable(ctx, err); n++ {
		time.Sleep(resumePause)
		a.s.stats.Resumed.Add(1)
		a.s.o.Log.Emit(event.StreamResumed, a.ref(), "after token "+strconv.Itoa(a.run.tokens)+": "+err.Error())
		before := a.tokens
		err = a.once(ctx, a.resume)
		a.ended(ctx, err)
		if a.tokens > before {
			n = 0
		}
	}
	return err
}

// ended records that the connection to the engine ended, or that it takes none: the engine may
// have ended of the prompt.
func (a *attempt) ended(ctx context.Context, err error) {
	guard, run := a.s.o.Poison, a.last.Incarnation()
	switch {
	case err == nil, ctx.Err() != nil, target.Status(err) != 0:
	case errors.Is(err, errGone), errors.Is(err, errForeign), errors.Is(err, errStalled):
	case errors.Is(err, syscall.ECONNREFUSED):
		guard.Refused(run, err)
	case a.q.view.Usable(a.last.Worker, a.target):
		if u, parsed := url.Parse(a.target.URL); parsed == nil {
			guard.Lost(a.q.asks, a.q.organisation, run, u.Host)
		}
	}
}

// resumable reports whether the stream may be taken up at the same engine.
func (a *attempt) resumable(ctx context.Context, err error) bool {
	if err == nil || ctx.Err() != nil || a.tokens == 0 || errors.Is(err, errGone) || errors.Is(err, errForeign) {
		return false
	}
	return target.Status(err) == 0
}

func (a *attempt) begin(ctx context.Context) (*http.Response, error) {
	a.sent = true
	return a.engine.Stream(ctx, a.id, a.ask.Salt.WeightVersion, target.Prompt{
		Model: a.model(), Prompt: a.prompt + a.text.String(), MaxTokens: a.body.MaxTokens - a.run.tokens,
		Temperature: a.body.Temperature, Seed: a.body.Seed, Stop: a.body.Stop, Stream: true,
		StreamOptions: target.StreamOptions{IncludeUsage: true}, CacheSalt: a.ask.Salt.Seed().String(),
		Priority: -a.ask.Priority,
	})
}

func (a *attempt) model() string {
	if a.ask.Salt.Adapter == "" {
		return a.ask.Salt.Model
	}
	return a.ask.Salt.Model + ":" + a.ask.Salt.Adapter
}

func (a *attempt) resume(ctx context.Context) (*http.Response, error) {
	return a.engine.Resume(ctx, a.id, a.tokens)
}

// cancelLimit bounds the telling of an engine to stop.
const cancelLimit = time.Second

func (a *attempt) cancel() {
	ctx, stop := context.WithTimeout(context.Background(), cancelLimit)
	defer stop()
	// An engine that does not hear it stops when nobody takes the stream up.
	_ = a.engine.Cancel(ctx, a.id)
}

// once opens the stream and passes it on until it ends or breaks.
func (a *attempt) once(ctx context.Context, open func(context.Context) (*http.Response, error)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limit := stallLimit
	if a.tokens == 0 {
		limit = firstFactor*a.last.Expected + firstSlack
	}
	watch := time.AfterFunc(limit, func() { cancel(errStalled) })
	defer watch.Stop()
	resp, err := open(ctx)
	if err != nil {
		return cause(ctx, err)
	}
	defer resp.Body.Close()
	r := bufio.NewReaderSize(resp.Body, 4<<10)
	for !a.done {
		ev, err := readEvent(r)
		if err != nil {
			return cause(ctx, err)
		}
		a.s.stats.RelayedBytes.Add(int64(len(ev.data)))
		watch.Reset(stallLimit)
		if err := a.take(ev); err != nil {
			return err
		}
	}
	return nil
}

func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil && errors.Is(c, errStalled) {
		return c
	}
	return err
}

// serverEvent is one event of a stream.
type serverEvent struct {
	id   string
	data []byte
}

var errLine = errors.New("a message of the stream is too long")

// readEvent reads one server-sent event.
func readEvent(r *bufio.Reader) (serverEvent, error) {
	var ev serverEvent
	size := 0
	for {
		line, err := r.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			line, err = longLine(r, line)
		}
		if err != nil {
			return ev, errors.WithStack(err)
		}
		if size += len(line); size > maxLine {
			return ev, errors.WithStack(errLine)
		}
		line = bytes.TrimRight(line, "\r\n")
		switch {
		case len(line) == 0:
			if ev.data != nil {
				return ev, nil
			}
		case bytes.HasPrefix(line, []byte("data:")):
			if ev.data != nil {
				ev.data = append(ev.data, '\n')
			}
			ev.data = append(ev.data, bytes.TrimPrefix(line[5:], []byte(" "))...)
		case bytes.HasPrefix(line, []byte("id:")):
			ev.id = string(bytes.TrimPrefix(line[3:], []byte(" ")))
		}
	}
}

// longLine reads the rest of a line that did not fit the reader's buffer.
func longLine(r *bufio.Reader, head []byte) ([]byte, error) {
	out := append([]byte(nil), head...)
	for {
		more, err := r.ReadSlice('\n')
		out = append(out, more...)
		if len(out) > maxLine {
			return nil, errLine
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return out, err
		}
	}
}

// errForeign says that an answer belongs to another request or other weights.
var errForeign = errors.New("the worker gave the answer of another request")

var (
	errGap   = errors.New("the stream left out a token")
	errShort = errors.New("the stream ended before the answer was whole")
)

// take passes on one message of the engine's stream.
func (a *attempt) take(ev serverEvent) error {
	if string(ev.data) == "[DONE]" {
		if a.finish == "" {
			return errors.WithStack(errShort)
		}
		a.done = true
		return nil
	}
	var c chunk
	if err := json.Unmarshal(ev.data, &c); err != nil {
		return errors.Wrap(err, "stream")
	}
	if c.ID != a.id || c.SystemFingerprint != a.ask.Salt.WeightVersion {
		a.s.o.Log.Emit(event.AnswerRejected, a.ref(), "answer "+c.ID+" with weights "+c.SystemFingerprint)
		return errors.WithStack(errForeign)
	}
	if c.Usage != nil && a.usage.PromptTokens == 0 {
		a.usage = *c.Usage
	}
	if len(c.Choices) == 0 {
		return nil
	}
	return a.token(ev.id, c.Choices[0])
}

// token passes on one token, whose number in this try is the event's id.
func (a *attempt) token(id string, ch choice) error {
	if ch.FinishReason != nil {
		a.finish = *ch.FinishReason
	}
	if ch.Text == "" {
		return nil
	}
	n, err := strconv.Atoi(id)
	if err != nil {
		return errors.Wrap(err, "number of a token")
	}
	if n <= a.tokens {
		return nil
	}
	if n != a.tokens+1 {
		return errors.WithStack(errGap)
	}
	a.tokens++
	a.run.tokens++
	if a.tokens == 1 {
		// The worker has computed the prompt: its blocks can be exported while
		// it still holds them.
		a.tell(true, false)
	}
	if a.first.IsZero() {
		a.first = time.Now()
		a.unwait()
	}
	a.text.WriteString(ch.Text)
	return a.out.token(ch.Text)
}

// form writes answers in one of the published forms.
type form interface {
	// chunk is one message of a stream; finish is empty before the end.
	chunk(id, model, text, finish string, first bool) any
	// whole is an answer that is not streamed.
	whole(id, model, text, finish string, u usage) any
}

// writer gives an answer to the caller.
type writer struct {
	c     echo.Context
	run   *run
	begun bool
}

// writeLimit bounds the writing of one message to a slow caller.
const writeLimit = 20 * time.Second

// token gives one token to the caller, if it wants a stream.
func (w *writer) token(text string) error {
	if !w.run.body.Stream {
		return nil
	}
	first := !w.begun
	w.begin()
	return w.message(w.run.form.chunk(w.run.q.id, w.run.body.Model, text, "", first))
}

func (w *writer) begin() {
	if w.begun {
		return
	}
	w.begun = true
	h := w.c.Response().Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	w.c.Response().WriteHeader(http.StatusOK)
}

func (w *writer) message(v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return errors.WithStack(err)
	}
	return w.event(raw)
}

func (w *writer) event(raw []byte) error {
	rc := http.NewResponseController(w.c.Response().Writer)
	if err := rc.SetWriteDeadline(time.Now().Add(writeLimit)); err != nil {
		return errors.WithStack(err)
	}
	line := make([]byte, 0, len(raw)+8)
	line = append(line, "data: "...)
	line = append(line, raw...)
	line = append(line, "\n\n"...)
	if _, err := w.c.Response().Write(line); err != nil {
		return errors.Wrap(errGone, err.Error())
	}
	if err := rc.Flush(); err != nil {
		return errors.Wrap(errGone, err.Error())
	}
	return nil
}

// finish ends the answer.
func (w *writer) finish() error {
	p := w.run
	if !p.body.Stream {
		return w.c.JSON(http.StatusOK, p.form.whole(p.q.id, p.body.Model, p.text.String(), p.finish, p.usage))
	}
	w.begin()
	if err := w.message(p.form.chunk(p.q.id, p.body.Model, "", p.finish, false)); err != nil {
		return err
	}
	if p.body.StreamOptions != nil && p.body.StreamOptions.IncludeUsage {
		if err := w.message(usageChunk{ID: p.q.id, Model: p.body.Model, Choices: []struct{}{}, Usage: p.usage}); err != nil {
			return err
		}
	}
	return w.event([]byte("[DONE]"))
}

type usageChunk struct {
	ID      string     `json:"id"`
	Model   string     `json:"model"`
	Choices []struct{} `json:"choices"`
	Usage   usage      `json:"usage"`
}
