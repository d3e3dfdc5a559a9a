package entry

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"

	"embertally.dev/core/conf"
	"embertally.dev/core/event"
	"embertally.dev/core/home"
)

// BenchmarkToken relays one token: reads the engine's message, checks it and writes the caller's.
func BenchmarkToken(b *testing.B) {
	s := New(Options{Log: &event.Log{}})
	p := &promptRequest{s: s, q: &request{id: "r"}, body: &common{Model: "m", Stream: true}, format: completionFormat{}, deployment: &conf.Deployment{}}
	p.placement = home.PlacementRequest{Request: "r"}
	p.placement.Salt.WeightVersion = "v1"
	p.out = writer{c: echo.New().NewContext(httptest.NewRequest(http.MethodPost, "/", nil), discard{header: http.Header{}}), req: p}
	a := &attempt{promptRequest: p, id: "r-0"}
	// Start after the first token, which also sends a report to the context owner.
	a.tokens, a.promptRequest.tokens = 1, 1
	b.ReportAllocs()
	for b.Loop() {
		raw, err := json.Marshal(chunk{ID: "r-0", SystemFingerprint: "v1", Choices: []choice{{Text: "word "}}})
		if err != nil {
			b.Fatal(err)
		}
		in := fmt.Sprintf("id: %d\ndata: %s\n\n", a.tokens+1, raw)
		ev, err := readEvent(bufio.NewReaderSize(strings.NewReader(in), 512))
		if err != nil {
			b.Fatal(err)
		}
		if err := a.handleEvent(ev); err != nil {
			b.Fatal(err)
		}
	}
}

// discard is a response writer that drops what is written.
type discard struct{ header http.Header }

func (d discard) Header() http.Header            { return d.header }
func (discard) Write(p []byte) (int, error)      { return len(p), nil }
func (discard) WriteHeader(int)                  {}
func (discard) Flush()                           {}
func (discard) SetWriteDeadline(time.Time) error { return nil }
