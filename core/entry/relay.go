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

// attempt is one attempt of a prompt request at one worker.
type attempt struct {
	*promptRequest
	target *conf.Target
	engine *target.Engine
	// id identifies the attempt at the engine, so that a late response to an earlier attempt is
	// recognised.
	id string
	// sent reports whether the engine may have received the attempt.
	sent bool
	// tokens is how many answer tokens this attempt has produced.
	tokens int
	// finish is the finish reason that the engine stated: no token follows. Empty before it.
	finish string
	// done reports whether the answer is complete. finish is set then.
	done bool
}

// chunk is one message of an engine's stream, in the format of the completions API.
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
	// stallTimeout bounds the time between two messages of a stream.
	stallTimeout = 5 * time.Second
	// firstTokenFactor and firstTokenSlack bound the wait for the first token: the expected time
	// multiplied by the factor, plus the slack.
	firstTokenFactor = 4
	firstTokenSlack  = 3 * time.Second
	// maxResumes bounds the consecutive resumptions of a stream that yield no token.
	maxResumes = 2
	// maxEventBytes bounds one message of a stream.
	maxEventBytes = 1 << 20
	// resumeDelay is the delay before each resumption of a stream.
	resumeDelay = 50 * time.Millisecond
)

var errStalled = errors.New("stream stalled: no data within the time limit")

// relay forwards the engine's stream to the caller and resumes it at the same engine when it breaks.
func (a *attempt) relay(ctx context.Context) error {
	err := a.streamOnce(ctx, a.start)
	a.recordFailure(ctx, err)
	for n := 0; n < maxResumes && a.resumable(ctx, err); n++ {
		time.Sleep(resumeDelay)
		a.s.stats.StreamsResumed.Add(1)
		a.s.o.Log.Emit(event.StreamResumed, a.ref(), "after token "+strconv.Itoa(a.promptRequest.tokens)+": "+err.Error())
		before := a.tokens
		err = a.streamOnce(ctx, a.resume)
		a.recordFailure(ctx, err)
		if a.tokens > before {
			n = 0
		}
	}
	return err
}

// recordFailure reports a lost or refused connection to the poison guard: the prompt may have crashed
// the engine.
func (a *attempt) recordFailure(ctx context.Context, err error) {
	guard, incarnation := a.s.o.Poison, a.decision.Incarnation()
	switch {
	case err == nil, ctx.Err() != nil, target.Status(err) != 0:
	case errors.Is(err, errCallerDisconnected), errors.Is(err, errWrongResponse), errors.Is(err, errStalled):
	case errors.Is(err, syscall.ECONNREFUSED):
		guard.RecordDialError(incarnation, err)
	case a.q.view.Usable(a.decision.Worker, a.target):
		if u, parsed := url.Parse(a.target.URL); parsed == nil {
			guard.RecordLostConnection(a.q.sent(), incarnation, u.Host)
		}
	}
}

// resumable reports whether the stream may be resumed at the same engine.
func (a *attempt) resumable(ctx context.Context, err error) bool {
	if err == nil || ctx.Err() != nil || a.tokens == 0 ||
		errors.Is(err, errCallerDisconnected) || errors.Is(err, errWrongResponse) {
		return false
	}
	return target.Status(err) == 0
}

func (a *attempt) start(ctx context.Context) (*http.Response, error) {
	a.sent = true
	return a.engine.Stream(ctx, a.id, a.placement.Salt.WeightVersion, target.Prompt{
		Model: a.model(), Prompt: a.prompt + a.text.String(), MaxTokens: a.body.MaxTokens - a.promptRequest.tokens,
		Temperature: a.body.Temperature, Seed: a.body.Seed, Stop: a.body.Stop, Stream: true,
		StreamOptions: target.StreamOptions{IncludeUsage: true}, CacheSalt: a.placement.Salt.Seed().String(),
		Priority: -a.placement.Priority,
	})
}

func (a *attempt) model() string {
	if a.placement.Salt.Adapter == "" {
		return a.placement.Salt.Model
	}
	return a.placement.Salt.Model + ":" + a.placement.Salt.Adapter
}

func (a *attempt) resume(ctx context.Context) (*http.Response, error) {
	return a.engine.Resume(ctx, a.id, a.tokens)
}

// cancelTimeout bounds the request that cancels an attempt at its engine.
const cancelTimeout = time.Second

func (a *attempt) cancel() {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	// An engine that misses this request stops by itself when the stream is not resumed.
	_ = a.engine.Cancel(ctx, a.id)
}

// streamOnce opens the stream and forwards it until it ends or breaks.
func (a *attempt) streamOnce(ctx context.Context, open func(context.Context) (*http.Response, error)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timeout := stallTimeout
	if a.tokens == 0 {
		timeout = firstTokenFactor*a.decision.Expected + firstTokenSlack
	}
	stallTimer := time.AfterFunc(timeout, func() { cancel(errStalled) })
	defer stallTimer.Stop()
	resp, err := open(ctx)
	if err != nil {
		return stallCause(ctx, err)
	}
	defer resp.Body.Close()
	r := bufio.NewReaderSize(resp.Body, 4<<10)
	for !a.done {
		ev, err := readEvent(r)
		if err != nil && a.finish == "" && a.promptRequest.tokens >= a.body.MaxTokens {
			a.finish = "length"
		}
		if err != nil && a.finish != "" {
			a.complete()
			return nil
		}
		if err != nil {
			return stallCause(ctx, err)
		}
		a.s.stats.RelayedBytes.Add(int64(len(ev.data)))
		stallTimer.Reset(stallTimeout)
		if err := a.handleEvent(ev); err != nil {
			return err
		}
	}
	return nil
}

// stallCause returns errStalled if that ended ctx, else err.
func stallCause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil && errors.Is(c, errStalled) {
		return c
	}
	return err
}

// serverEvent is one server-sent event.
type serverEvent struct {
	id   string
	data []byte
}

var errEventTooLong = errors.New("message of the stream exceeds the size limit")

// readEvent reads one server-sent event of at most maxEventBytes.
func readEvent(r *bufio.Reader) (serverEvent, error) {
	var ev serverEvent
	size := 0
	for {
		line, err := r.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			line, err = readLongLine(r, line)
		}
		if err != nil {
			return ev, errors.WithStack(err)
		}
		if size += len(line); size > maxEventBytes {
			return ev, errors.WithStack(errEventTooLong)
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

// readLongLine reads the remainder of a line that did not fit into the reader's buffer and returns
// the whole line.
func readLongLine(r *bufio.Reader, head []byte) ([]byte, error) {
	out := append([]byte(nil), head...)
	for {
		more, err := r.ReadSlice('\n')
		out = append(out, more...)
		if len(out) > maxEventBytes {
			return nil, errEventTooLong
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return out, err
		}
	}
}

// errWrongResponse reports a response that belongs to another request or to other weights.
var errWrongResponse = errors.New("target returned the response to another request")

var (
	errTokenGap  = errors.New("stream skipped a token")
	errTruncated = errors.New("stream ended before the answer was complete")
)

// handleEvent processes one message of the engine's stream.
func (a *attempt) handleEvent(ev serverEvent) error {
	if string(ev.data) == "[DONE]" {
		if a.finish == "" {
			return errors.WithStack(errTruncated)
		}
		a.complete()
		return nil
	}
	var c chunk
	if err := json.Unmarshal(ev.data, &c); err != nil {
		return errors.Wrap(err, "decode stream message")
	}
	if c.ID != a.id || c.SystemFingerprint != a.placement.Salt.WeightVersion {
		a.s.o.Log.Emit(event.AnswerRejected, a.ref(), "answer "+c.ID+" with weights "+c.SystemFingerprint)
		return errors.WithStack(errWrongResponse)
	}
	if c.Usage != nil && a.usage.PromptTokens == 0 {
		a.usage = *c.Usage
	}
	if len(c.Choices) == 0 {
		return nil
	}
	return a.token(ev.id, c.Choices[0])
}

// complete records that the engine has sent the whole answer.
func (a *attempt) complete() { a.done, a.finishReason = true, a.finish }

// token forwards one token to the caller. The id of its event is the token's number within the
// attempt, from 1; after a resumption, tokens that were received before are skipped.
func (a *attempt) token(id string, ch choice) error {
	if ch.Text != "" {
		n, err := strconv.Atoi(id)
		if err != nil {
			return errors.Wrap(err, "token number in event id")
		}
		if n > a.tokens+1 {
			return errors.WithStack(errTokenGap)
		}
		if n <= a.tokens {
			ch.Text = ""
		}
	}
	if ch.FinishReason != nil {
		a.finish = *ch.FinishReason
	}
	if ch.Text == "" {
		return nil
	}
	a.tokens++
	a.promptRequest.tokens++
	if a.tokens == 1 {
		// The worker has prefilled the prompt: its blocks can be exported while they are still
		// cached there.
		a.reportAttempt(true, false)
	}
	if a.firstTokenAt.IsZero() {
		a.firstTokenAt = time.Now()
		a.dequeue()
	}
	a.text.WriteString(ch.Text)
	return a.out.token(ch.Text)
}

// responseFormat builds responses in the format of one API.
type responseFormat interface {
	// chunk returns one message of a stream. finish is the finish reason, empty before the end;
	// first marks the first message.
	chunk(id, model, text, finish string, first bool) any
	// full returns a response that is not streamed.
	full(id, model, text, finish string, u usage) any
}

// writer sends the answer to the caller.
type writer struct {
	c   echo.Context
	req *promptRequest
	// headerSent reports whether the header of the stream was sent.
	headerSent bool
}

// writeTimeout bounds the writing of one message to a slow caller.
const writeTimeout = 20 * time.Second

// token sends one token to the caller if it requested a stream.
func (w *writer) token(text string) error {
	if !w.req.body.Stream {
		return nil
	}
	first := !w.headerSent
	w.writeHeader()
	return w.message(w.req.format.chunk(w.req.q.id, w.req.body.Model, text, "", first))
}

func (w *writer) writeHeader() {
	if w.headerSent {
		return
	}
	w.headerSent = true
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
	if err := rc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.WithStack(err)
	}
	line := make([]byte, 0, len(raw)+8)
	line = append(line, "data: "...)
	line = append(line, raw...)
	line = append(line, "\n\n"...)
	if _, err := w.c.Response().Write(line); err != nil {
		return errors.Wrap(errCallerDisconnected, err.Error())
	}
	if err := rc.Flush(); err != nil {
		return errors.Wrap(errCallerDisconnected, err.Error())
	}
	return nil
}

// finish sends the full answer, or the end of a stream.
func (w *writer) finish() error {
	p := w.req
	if !p.body.Stream {
		return w.c.JSON(http.StatusOK, p.format.full(p.q.id, p.body.Model, p.text.String(), p.finishReason, p.usage))
	}
	w.writeHeader()
	if err := w.message(p.format.chunk(p.q.id, p.body.Model, "", p.finishReason, false)); err != nil {
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
