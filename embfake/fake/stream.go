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

// decoder generates the tokens of one response after its prefill.
type decoder struct {
	e *Engine
	s *stream
}

func (d decoder) run() {
	e, s := d.e, d.s
	gen := newTextGenerator(s.prompt.Model, s.version, s.prompt.Prompt, s.corrupted)
	for n := 0; n < s.prompt.MaxTokens && s.ctx.Err() == nil; n++ {
		if n > 0 {
			select {
			case <-time.After(e.o.TokenTime):
			case <-s.ctx.Done():
			}
		}
		word := gen.nextWord()
		e.engineMu.Lock()
		s.tokens = append(s.tokens, word)
		s.notify()
		e.engineMu.Unlock()
	}
	e.engineMu.Lock()
	s.finished = true
	s.notify()
	e.engineMu.Unlock()
	e.streamStopped()
	time.AfterFunc(streamRetention, func() { e.removeUnread(s) })
}

// streamStopped counts a stream that is no longer in prefill or generation.
func (e *Engine) streamStopped() {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	e.running--
}

// streamRetention is how long a stream can be resumed after it has finished or its
// reader has disconnected.
const streamRetention = 5 * time.Second

// removeUnread cancels a stream that nobody reads, and removes it unless its ID is already in
// use by another.
func (e *Engine) removeUnread(s *stream) {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	if e.streams[s.id] == s && s.readers == 0 {
		delete(e.streams, s.id)
	}
	if s.readers == 0 {
		s.cancel()
	}
}

// notify wakes the readers; the caller holds engineMu.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ExpectedResponse returns the correct response of an engine to a prompt, for comparison in tests.
func ExpectedResponse(model, version, text string, tokens int) string {
	gen := newTextGenerator(model, version, text, false)
	var b strings.Builder
	for range tokens {
		b.WriteString(gen.nextWord())
	}
	return b.String()
}

// textGenerator generates words, each a function of all text before it, so that a resumed
// response goes on as the original would.
type textGenerator struct {
	// h hashes all text so far.
	h interface {
		Write([]byte) (int, error)
		Sum64() uint64
	}
}

func newTextGenerator(model, version, text string, corrupted bool) textGenerator {
	h := fnv.New64a()
	h.Write([]byte(model + "@" + version + "\x00"))
	if corrupted {
		h.Write([]byte("spoiled"))
	}
	h.Write([]byte(text))
	return textGenerator{h}
}

func (g textGenerator) nextWord() string {
	word := fmt.Sprintf("%04x ", g.h.Sum64()>>48)
	g.h.Write([]byte(word))
	return word
}

// resume sends a stream on from the token after the number in "after".
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
	return e.writeStream(c, s, after)
}

// cancelStream stops the computation of a stream and removes it.
func (e *Engine) cancelStream(c echo.Context) error {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	if s := e.streams[c.Param("id")]; s != nil {
		s.cancel()
		delete(e.streams, s.id)
	}
	return c.NoContent(http.StatusNoContent)
}

// writeStream writes a stream from token index after on.
func (e *Engine) writeStream(c echo.Context, s *stream, after int) error {
	e.engineMu.Lock()
	s.readers++
	e.engineMu.Unlock()
	defer e.readerLeft(s)
	w := streamWriter{c: c, e: e, s: s, id: s.id}
	if e.Take(WrongRequestID) {
		w.id = "another-request"
	}
	for n := after; ; {
		e.engineMu.Lock()
		tokens, finished, changed := s.tokens, s.finished, s.changed
		e.engineMu.Unlock()
		for ; n < len(tokens); n++ {
			if err := w.token(n, tokens[n]); err != nil {
				return err
			}
			if e.Take(CutStream) {
				return e.breakStream(c, s)
			}
		}
		if finished {
			return w.end()
		}
		select {
		case <-changed:
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

// readerLeft schedules the removal of a stream in case no reader resumes it.
func (e *Engine) readerLeft(s *stream) {
	e.engineMu.Lock()
	s.readers--
	e.engineMu.Unlock()
	time.AfterFunc(streamRetention, func() { e.removeUnread(s) })
}

// breakStream resets the connection of a stream, and makes the engine forget the stream if
// the fault ForgetStream is on.
func (e *Engine) breakStream(c echo.Context, s *stream) error {
	if e.Take(ForgetStream) {
		e.engineMu.Lock()
		delete(e.streams, s.id)
		s.cancel()
		e.engineMu.Unlock()
	}
	return resetConnection(c)
}

// streamWriter writes a stream as server-sent events in the form of the completions API.
type streamWriter struct {
	c          echo.Context
	e          *Engine
	s          *stream
	id         string // request ID in the chunks
	headerSent bool
}

// wireChoice is part of a wireChunk.
type wireChoice struct {
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// wireUsage counts the tokens of a request.
type wireUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// wireChunk is one message of a completion stream.
type wireChunk struct {
	ID          string       `json:"id"`
	Object      string       `json:"object"`
	Fingerprint string       `json:"system_fingerprint"`
	Choices     []wireChoice `json:"choices"`
	Usage       *wireUsage   `json:"usage,omitempty"`
}

// token writes the token with index n.
func (w *streamWriter) token(n int, word string) error {
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

// chunk returns a message without choices.
func (w *streamWriter) chunk() wireChunk {
	return wireChunk{ID: w.id, Object: "text_completion", Fingerprint: w.s.version, Choices: []wireChoice{}}
}

// event writes v as an event; an empty id is omitted.
func (w *streamWriter) event(id string, v any) error {
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

// write writes the header if needed, then raw, and flushes.
func (w *streamWriter) write(raw []byte) error {
	if !w.headerSent {
		w.headerSent = true
		w.c.Response().Header().Set("Content-Type", "text/event-stream")
		w.c.Response().WriteHeader(http.StatusOK)
	}
	if _, err := w.c.Response().Write(raw); err != nil {
		return err
	}
	w.c.Response().Flush()
	return nil
}

// end writes the finish reason, the usage and the end marker.
func (w *streamWriter) end() error {
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
	ch.Usage.Details.CachedTokens = w.s.cachedTokens
	if err := w.event("", ch); err != nil {
		return err
	}
	return w.write([]byte("data: [DONE]\n\n"))
}
