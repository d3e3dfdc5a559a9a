package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"
	"github.com/onsi/gomega"
)

// Guards against bodies of prompts that are read in part or otherwise than they were sent, and numbers out of range.
func FuzzPromptBody(f *testing.F) {
	for _, text := range []string{
		"", "null", "{}", `{"model":"m","prompt":"p","max_tokens":5,"stop":"x"}`, `{"model":"m","prompt":"p","stop":["x","y"],"n":1,"seed":-1,"temperature":1e300}`, `{"model":"m","max_tokens":65537}`,
		`{"model":"m","max_tokens":-1}`, `{"model":"m","n":2}`, `{"model":"m"}{}`, `{"model":"m"} x`, `{"model":"m","more":1}`, `{"model":"m","MODEL":"n"}`, `{"model":"m","stop":{}}`, `{"model":"m","max_tokens":1e2}`,
		strings.Repeat("[", 10_001),
	} {
		f.Add([]byte(text))
	}
	const largest = 32 << 10
	f.Fuzz(func(t *testing.T, raw []byte) {
		type completionBody struct {
			common
			Prompt string `json:"prompt"`
		}
		s, q := &Server{o: Options{MaxBodyBytes: largest}}, &request{organisation: "o"}
		read := func(raw []byte) (body completionBody, refusal *Refusal) {
			c := echo.New().NewContext(httptest.NewRequest(http.MethodPost, "/v1/completions", bytes.NewReader(raw)), httptest.NewRecorder())
			if refusal = s.decode(c, q, &body); refusal == nil {
				refusal = body.validate()
			}
			return body, refusal
		}
		body, refusal := read(raw)
		if refusal != nil {
			if refusal.Ran != NotRun {
				t.Fatalf("%q: %+v", raw, refusal)
			}
			return
		}
		if !json.Valid(raw) || len(raw) > largest || body.Model == "" || body.MaxTokens < 1 || body.MaxTokens > maxAnswerTokens || body.N > 1 {
			t.Fatalf("%q as %+v", raw, body)
		}
		encode := func(body completionBody) []byte {
			out, err := json.Marshal(&body)
			if err != nil {
				t.Fatal(err)
			}
			return out
		}
		encoded := encode(body)
		again, refusal := read(encoded)
		if refusal != nil && len(encoded) <= largest {
			t.Fatalf("%q as %q, refused with %v", raw, encoded, refusal)
		}
		if second := encode(again); refusal == nil && !bytes.Equal(encoded, second) {
			t.Fatalf("%q as %q, then %q", raw, encoded, second)
		}
	})
}

// Callers' libraries send null for what is not set, which became one empty text to stop at.
func TestStopOfNullIsNone(t *testing.T) {
	var body common
	g := gomega.NewWithT(t)
	g.Expect(json.Unmarshal([]byte(`{"stop":null}`), &body)).To(gomega.Succeed())
	g.Expect(body.Stop).To(gomega.BeEmpty())
	g.Expect(json.Unmarshal([]byte(`{"stop":["a",null]}`), &body)).NotTo(gomega.Succeed())
	g.Expect(json.Unmarshal([]byte(`{"stop":["a","b"]}`), &body)).To(gomega.Succeed())
	g.Expect(body.Stop).To(gomega.BeEquivalentTo([]string{"a", "b"}))
}

// Guards against paths that a target reads otherwise than the daemon.
func FuzzServicePath(f *testing.F) {
	for _, path := range []string{"", "/", "/renewals/7?x=1", "/a%20b", "/status/../renewals", "/status/%2e%2E/renewals", "/status%2Frenewals", "//x", "/a%5cb", "/.", "/%252e%252e/x", "/a;b", "/\x00"} {
		f.Add(path)
	}
	f.Fuzz(func(t *testing.T, path string) {
		u, err := url.ParseRequestURI("/services/pay" + path)
		if err != nil || (path != "" && path[0] != '/' && path[0] != '?') {
			return
		}
		got, refusal := servicePath(u, "pay")
		if refusal != nil {
			if refusal.Ran != NotRun {
				t.Fatalf("%q: %+v", path, refusal)
			}
			return
		}
		plain, err := url.PathUnescape(got)
		if err != nil || got[0] != '/' || strings.Contains(plain, "//") || strings.Contains(plain, `\`) || strings.Count(plain, "/") != strings.Count(got, "/") {
			t.Fatalf("%q: %q, %v", path, got, err)
		}
		for _, segment := range strings.Split(plain, "/") {
			if segment == "." || segment == ".." {
				t.Fatalf("%q: %q", path, got)
			}
		}
	})
}
