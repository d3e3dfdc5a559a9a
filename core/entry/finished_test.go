package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/onsi/gomega"

	"embertally.dev/core/conf"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/home"
	"embertally.dev/core/route"
	"embertally.dev/core/target"
)

// brokenEngine has run the prompts that several engines get, of which the first is cut off.
type brokenEngine struct {
	runs atomic.Int64
	// last is the message before which the connection of the first run is lost.
	last string
}

// run answers a prompt. The first run makes two tokens and ends with a stop; another one would go on.
func (b *brokenEngine) run(w http.ResponseWriter, r *http.Request) {
	messages := []struct{ name, id, text, finish string }{
		{"first token", "1", "one ", "null"}, {"second token", "2", "two", "null"}, {"finish", "", "", `"stop"`}, {"end", "", "", ""},
	}
	first := b.runs.Add(1) == 1
	if !first {
		messages[0].text, messages[1].text = "three ", "four"
	}
	for _, m := range messages {
		switch {
		case first && m.name == b.last:
			panic(http.ErrAbortHandler)
		case m.name == "end":
			io.WriteString(w, "data: [DONE]\n\n")
			return
		case m.id != "":
			fmt.Fprintf(w, "id: %s\n", m.id)
		}
		fmt.Fprintf(w, "data: {\"id\":%q,\"system_fingerprint\":\"v1\",\"choices\":[{\"text\":%q,\"finish_reason\":%s}]}\n\n",
			r.Header.Get(target.HeaderRequestID), m.text, m.finish)
		http.NewResponseController(w).Flush()
	}
}

// ServeHTTP implements http.Handler.
func (b *brokenEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/completions":
		b.run(w, r)
	case "/v1/cache/events":
		time.Sleep(20 * time.Millisecond)
		load := target.Load{Incarnation: "1", FreeBlocks: 100, TotalBlocks: 100, PrefillTokensPerSecond: 8000, BlockBytes: 1, Weights: []target.Weights{{Model: "m", Version: "v1"}}}
		json.NewEncoder(w).Encode(target.EventBatch{Load: load})
	case "/v1/cache/contents":
		io.WriteString(w, "{}")
	default:
		http.NotFound(w, r)
	}
}

// answerOf returns the text of the answer to a prompt that emberd run gives to one of two engines, and its body.
func answerOf(t *testing.T, engine http.Handler, prompt string) (text string, body []byte) {
	g := gomega.NewWithT(t)
	events := &event.Log{}
	resources := []conf.Change{
		{Kind: conf.KindOrganisation, Name: "one", Spec: fmt.Appendf(nil, `{"keyHashes":[%q]}`, conf.HashKey("secret"))},
		{Kind: conf.KindDeployment, Name: "d", Spec: []byte(`{"model":"m","weightVersion":"v1"}`)},
		{Kind: conf.KindPolicy, Name: "p", Spec: []byte(`{"organisation":"one","deployments":["d"]}`)},
	}
	for _, name := range []string{"w1", "w2"} {
		server := httptest.NewServer(engine)
		t.Cleanup(server.Close)
		resources = append(resources, conf.Change{Kind: conf.KindTarget, Name: name, Spec: fmt.Appendf(nil, `{"type":"engine","url":%q,"deployments":["d"]}`, server.URL)})
	}
	for i := range resources {
		resources[i].Seq = uint64(i + 1)
	}
	store, f := conf.NewStore(events), fleet.New(fleet.Options{Name: "box", Log: events})
	store.Replace(conf.Full{Seq: uint64(len(resources)), Resources: resources})
	client := &http.Client{Transport: target.NewTransport()}
	owner := home.New(home.Options{Placement: route.LowestCost, Conf: store, Fleet: f, Log: events, Client: client, LoadInterval: 20 * time.Millisecond})
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { owner.Run(ctx) })
	t.Cleanup(func() { stop(); wg.Wait(); client.CloseIdleConnections() })
	g.Eventually(owner.WarmedUp, "10s", "10ms").Should(gomega.BeTrue())
	e := echo.New()
	New(Options{
		Conf: store, Fleet: f, ContextOwner: owner, Log: events, EngineClient: client, MaxBodyBytes: 1 << 20, MaxRunningPerOrganisation: 1,
		NotReadyReason: func() string { return "" },
	}).Register(e)
	server := httptest.NewServer(MarkEnds(e))
	defer server.Close()
	req, err := http.NewRequest(http.MethodPost, server.URL+"/v1/completions", strings.NewReader(prompt))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	req.Header.Set("Authorization", "Bearer secret")
	resp, err := client.Do(req)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer resp.Body.Close()
	body, err = io.ReadAll(resp.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, m := range regexp.MustCompile(`"text":"([^"]*)"`).FindAllSubmatch(body, -1) {
		text += string(m[1])
	}
	return text, body
}

// Guards against tokens of a second run behind those of one that had told its end, whose connection was lost before the end marker.
func TestAnswerThatToldItsEndIsNotContinued(t *testing.T) {
	for _, tc := range []struct {
		last   string
		stream bool
		// text is what the caller may have.
		text string
	}{
		{"second token", true, "one three four"},
		{"end", true, "one two"},
		{"end", false, "one two"},
	} {
		t.Run(fmt.Sprintf("lost before the %s, stream %t", tc.last, tc.stream), func(t *testing.T) {
			engine := &brokenEngine{last: tc.last}
			text, body := answerOf(t, engine, fmt.Sprintf(`{"model":"d","prompt":"x","stream":%t}`, tc.stream))
			gomega.NewWithT(t).Expect(text).To(gomega.Equal(tc.text), "after %d runs: %s", engine.runs.Load(), body)
		})
	}
}

// gapEngine first runs the prompt in two messages, between which tokens may be lost, and breaks off its resumption.
type gapEngine struct {
	brokenEngine
	// id and text are those of the last message of that run.
	id, text string
}

// ServeHTTP implements http.Handler.
func (e *gapEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case strings.HasPrefix(r.URL.Path, "/v1/streams/"):
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case r.URL.Path != "/v1/completions" || e.runs.Load() > 0:
		e.brokenEngine.ServeHTTP(w, r)
		return
	}
	e.runs.Add(1)
	const message = "id: %s\ndata: {\"id\":%q,\"system_fingerprint\":\"v1\",\"choices\":[{\"text\":%q,\"finish_reason\":%s}]}\n\n"
	id := r.Header.Get(target.HeaderRequestID)
	fmt.Fprintf(w, message, "1", id, "one ", "null")
	fmt.Fprintf(w, message, e.id, id, e.text, `"stop"`)
}

// Guards against an answer that ends early as whole, by the end that a message states which shows that tokens are missing.
func TestEndThatWasStatedAfterAGapIsNoEnd(t *testing.T) {
	for _, tc := range []struct {
		name, id, text string
		stream         bool
		want           string
	}{
		{"no gap", "2", "two", true, "one two"},
		{"a token is missing", "3", "last", true, "one three four"},
		{"a token is missing, not streamed", "3", "last", false, "one three four"},
		{"the token has no number", "", "last", true, "one three four"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			engine := &gapEngine{id: tc.id, text: tc.text}
			text, body := answerOf(t, engine, fmt.Sprintf(`{"model":"d","prompt":"x","stream":%t}`, tc.stream))
			gomega.NewWithT(t).Expect(text).To(gomega.Equal(tc.want), "after %d runs: %s", engine.runs.Load(), body)
		})
	}
}

// Guards against more tokens than the caller allows, by a second run behind one that had made them all and was cut off before its end.
func TestAnswerThatHasAllItsTokensIsNotContinued(t *testing.T) {
	for _, tc := range []struct {
		name      string
		last      string
		maxTokens int
		stream    bool
		want      string
	}{
		{"more are allowed", "finish", 4, true, "one twothree four"},
		{"no more are allowed", "finish", 2, true, "one two"},
		{"no more are allowed, not streamed", "finish", 2, false, "one two"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			engine := &brokenEngine{last: tc.last}
			text, body := answerOf(t, engine, fmt.Sprintf(`{"model":"d","prompt":"x","max_tokens":%d,"stream":%t}`, tc.maxTokens, tc.stream))
			gomega.NewWithT(t).Expect(text).To(gomega.Equal(tc.want), "after %d runs: %s", engine.runs.Load(), body)
		})
	}
}
