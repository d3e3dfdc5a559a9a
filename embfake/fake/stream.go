package fake

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"embertally.dev/core/cache"
)

// decoder generates one answer.
type decoder struct {
	e *Engine
	s *stream
}

func (d decoder) run() {
	e, s := d.e, d.s
	gen := newAnswer(s.prompt.Model, s.version, s.prompt.Prompt, s.spoiled)
	for n := 0; n < s.prompt.MaxTokens && s.ctx.Err() == nil; n++ {
		if n > 0 {
			select {
			case <-time.After(e.o.TokenTime):
			case <-s.ctx.Done():
			}
		}
		word := gen.next()
		e.engineMu.Lock()
		s.tokens = append(s.tokens, word)
		s.move()
		e.engineMu.Unlock()
	}
	e.engineMu.Lock()
	s.finished = true
	s.move()
	e.engineMu.Unlock()
	e.ended()
	time.AfterFunc(streamKept, func() { e.forget(s) })
}

// ended counts an answer that no longer runs.
func (e *Engine) ended() {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	e.running--
}

// streamKept is how long a finished or unread stream can be taken up.
const streamKept = 5 * time.Second

func (e *Engine) forget(s *stream) {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	if e.streams[s.id] == s && s.readers == 0 {
		delete(e.streams, s.id)
	}
	if s.readers == 0 {
		s.cancel()
	}
}

func (s *stream) move() {
	close(s.moved)
	s.moved = make(chan struct{})
}

// Answer returns what an engine answers to a text: the judge's measure.
func Answer(model, version, text string, tokens int) string {
	gen := newAnswer(model, version, text, false)
	var b strings.Builder
	for range tokens {
		b.WriteString(gen.next())
	}
	return b.String()
}

// answer generates words, each a function of all text before it.
type answer struct {
	h interface {
		Write([]byte) (int, error)
		Sum64() uint64
	}
}

func newAnswer(model, version, text string, spoiled bool) answer {
	h := fnv.New64a()
	h.Write([]byte(model + "@" + version + "\x00"))
	if spoiled {
		h.Write([]byte("spoiled"))
	}
	h.Write([]byte(text))
	return answer{h}
}

func (a answer) next() string {
	word := fmt.Sprintf("%04x ", a.h.Sum64()>>48)
	a.h.Write([]byte(word))
	return word
}

func (e *Engine) resume(c echo.Context) error {
	after, err := strconv.Atoi(c.QueryParam("after"))
	if err != nil {
		return c.String(http.StatusBadRequest, "after must be a number\n")
	}
	e.engineMu.Lock()
	s := e.streams[c.Param("id")]
	e.engineMu.Unlock()
	if s == nil {
		return c.String(http.StatusNotFound, "no such stream\n")
	}
	return e.send(c, s, after)
}

func (e *Engine) cancelStream(c echo.Context) error {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	if s := e.streams[c.Param("id")]; s != nil {
		s.cancel()
		delete(e.streams, s.id)
	}
	return c.NoContent(http.StatusNoContent)
}

// send writes a stream from a token on.
func (e *Engine) send(c echo.Context, s *stream, after int) error {
	e.engineMu.Lock()
	s.readers++
	e.engineMu.Unlock()
	defer e.left(s)
	w := sender{c: c, e: e, s: s, name: s.id}
	if e.Take(Cross) {
		w.name = "another-request"
	}
	for n := after; ; {
		e.engineMu.Lock()
		tokens, finished, moved := s.tokens, s.finished, s.moved
		e.engineMu.Unlock()
		for ; n < len(tokens); n++ {
			if err := w.token(n, tokens[n]); err != nil {
				return err
			}
			if e.Take(CutStream) {
				return e.cut(c, s)
			}
		}
		if finished {
			return w.end()
		}
		select {
		case <-moved:
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

// left gives up a stream that nobody takes up.
func (e *Engine) left(s *stream) {
	e.engineMu.Lock()
	s.readers--
	e.engineMu.Unlock()
	time.AfterFunc(streamKept, func() { e.forget(s) })
}

func (e *Engine) cut(c echo.Context, s *stream) error {
	if e.Take(ForgetStream) {
		e.engineMu.Lock()
		delete(e.streams, s.id)
		s.cancel()
		e.engineMu.Unlock()
	}
	return hangUp(c)
}

// sender writes a stream in the published form.
type sender struct {
	c     echo.Context
	e     *Engine
	s     *stream
	name  string
	begun bool
}

type wireChoice struct {
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type wireUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

type wireChunk struct {
	ID          string       `json:"id"`
	Object      string       `json:"object"`
	Fingerprint string       `json:"system_fingerprint"`
	Choices     []wireChoice `json:"choices"`
	Usage       *wireUsage   `json:"usage,omitempty"`
}

func (w *sender) token(n int, word string) error {
	ch := w.chunk()
	ch.Choices = []wireChoice{{Text: word}}
	times := 1
	if w.e.Value(Repeat) > 0 {
		times = 2
	}
	for range times {
		if err := w.event(strconv.Itoa(n+1), ch); err != nil {
			return err
		}
	}
	return nil
}

func (w *sender) chunk() wireChunk {
	return wireChunk{ID: w.name, Object: "text_completion", Fingerprint: w.s.version, Choices: []wireChoice{}}
}

func (w *sender) event(id string, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	var b bytes.Buffer
	if id != "" {
		b.WriteString("id: " + id + "\n")
	}
	b.WriteString("data: ")
	b.Write(raw)
	b.WriteString("\n\n")
	return w.write(b.Bytes())
}

func (w *sender) write(raw []byte) error {
	if !w.begun {
		w.begun = true
		w.c.Response().Header().Set("Content-Type", "text/event-stream")
		w.c.Response().WriteHeader(http.StatusOK)
	}
	if _, err := w.c.Response().Write(raw); err != nil {
		return err
	}
	w.c.Response().Flush()
	return nil
}

func (w *sender) end() error {
	if w.e.Take(Truncate) {
		return nil
	}
	reason := "length"
	ch := w.chunk()
	ch.Choices = []wireChoice{{FinishReason: &reason}}
	if err := w.event("", ch); err != nil {
		return err
	}
	ch = w.chunk()
	ch.Usage = &wireUsage{PromptTokens: cache.Tokens(len(w.s.prompt.Prompt)), CompletionTokens: len(w.s.tokens)}
	ch.Usage.Details.CachedTokens = w.s.cached
	if err := w.event("", ch); err != nil {
		return err
	}
	return w.write([]byte("data: [DONE]\n\n"))
}
