// Package target owns the clients of what the system routes to: model engines
// and store boxes. The clients of plain services are ordinary HTTP and stand
// where calls are relayed.
//
// It must not know which target is chosen or why. It repeats nothing by
// itself.
package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/cache"
)

// Headers between the system and engines.
const (
	HeaderRequestID     = "X-Request-Id"
	HeaderWeightVersion = "X-Weight-Version"
)

// StatusError is a reply of a target with a status other than success.
type StatusError struct {
	Status int
	Text   string
	// Rest is how long the target wants nothing, where it says so.
	Rest time.Duration
}

// Error describes the reply.
func (e *StatusError) Error() string {
	return "target answered " + strconv.Itoa(e.Status) + ": " + e.Text
}

// Status returns the HTTP status in err, or 0.
func Status(err error) int {
	var s *StatusError
	if errors.As(err, &s) {
		return s.Status
	}
	return 0
}

// Rest returns the rest that the reply of a target in err asks for, or 0.
func Rest(err error) time.Duration {
	var s *StatusError
	if errors.As(err, &s) {
		return s.Rest
	}
	return 0
}

const (
	dialLimit = time.Second
	// idlePerTarget bounds the connections kept open to one target.
	idlePerTarget = 32
	idleLimit     = 30 * time.Second
)

// NewTransport returns the transport for engines and stores.
func NewTransport() *http.Transport {
	d := &net.Dialer{Timeout: dialLimit}
	return &http.Transport{
		DialContext: d.DialContext, MaxIdleConnsPerHost: idlePerTarget, IdleConnTimeout: idleLimit,
		DisableCompression: true,
	}
}

// NewOnceTransport returns a transport that opens a connection for each call.
// The standard transport repeats some calls by itself when a kept connection
// fails; on a new connection it never does.
func NewOnceTransport() *http.Transport {
	t := NewTransport()
	t.DisableKeepAlives = true
	return t
}

// Block names the content of one block in a store.
type Block struct {
	Hash cache.Hash `json:"hash"`
	// Generation is the store's number for this writing of the block; a block
	// that was freed and written again has another.
	Generation uint64 `json:"generation"`
	// Sum is the checksum of the content as hexadecimal digits.
	Sum string `json:"sum"`
}

// Engine is a client of one model engine.
type Engine struct {
	url    string
	client *http.Client
}

// NewEngine returns a client of the engine at url.
func NewEngine(url string, client *http.Client) *Engine { return &Engine{url, client} }

// News is what an engine tells who follows it.
type News struct {
	Events []cache.Note `json:"events"`
	Load   Load         `json:"load"`
}

// News gathers cache events after seq for the given time and returns them with
// the load. One call for both, and for many events, is most of what keeps
// following cheap.
func (e *Engine) News(ctx context.Context, seq uint64, gather time.Duration) (News, error) {
	ctx, cancel := context.WithTimeout(ctx, gather+callLimit)
	defer cancel()
	var n News
	path := "/v1/cache/events?after=" + strconv.FormatUint(seq, 10) + "&gatherMillis=" + strconv.FormatInt(gather.Milliseconds(), 10)
	return n, e.do(ctx, http.MethodGet, path, nil, &n)
}

// callLimit bounds short calls of targets.
const callLimit = 2 * time.Second

// CacheContents reads all blocks that the engine holds.
func (e *Engine) CacheContents(ctx context.Context) (cache.Contents, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*callLimit)
	defer cancel()
	var c cache.Contents
	return c, e.do(ctx, http.MethodGet, "/v1/cache/contents", nil, &c)
}

// Weights is one loaded set of weights of an engine.
type Weights struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	// Adapters are loaded with the weights.
	Adapters []string `json:"adapters,omitempty"`
}

// Load is an engine's report of its work, which lags.
type Load struct {
	// Boot tells one run of the engine from the next.
	Boot string `json:"boot"`
	// QueuedTokens is the waiting prompt tokens by priority, lowest first.
	QueuedTokens []int `json:"queuedTokens"`
	Running      int   `json:"running"`
	FreeBlocks   int   `json:"freeBlocks"`
	TotalBlocks  int   `json:"totalBlocks"`
	// PrefillTokensPerSecond is the measured speed; zero if unknown.
	PrefillTokensPerSecond float64   `json:"prefillTokensPerSecond"`
	BlockBytes             int       `json:"blockBytes"`
	Weights                []Weights `json:"weights"`
	Loading                bool      `json:"loading,omitempty"`
}

// Staged says what an engine read from a store. Nothing of it is used until a
// request names it.
type Staged struct {
	ID     string  `json:"id"`
	Blocks []Block `json:"blocks"`
	Bytes  int64   `json:"bytes"`
}

// Import makes the engine read blocks, which follow parent, from a store.
func (e *Engine) Import(ctx context.Context, store string, parent cache.Hash, blocks []Block) (Staged, error) {
	body := struct {
		Store  string     `json:"store"`
		Parent cache.Hash `json:"parent"`
		Blocks []Block    `json:"blocks"`
	}{store, parent, blocks}
	var s Staged
	return s, e.do(ctx, http.MethodPost, "/v1/cache/import", body, &s)
}

// Commit makes the first n staged blocks part of the engine's cache and drops
// the rest.
func (e *Engine) Commit(ctx context.Context, id string, n int) error {
	body := struct {
		ID     string `json:"id"`
		Blocks int    `json:"blocks"`
	}{id, n}
	return e.do(ctx, http.MethodPost, "/v1/cache/commit", body, nil)
}

// Exported says what an engine wrote to a store.
type Exported struct {
	Blocks []Block `json:"blocks"`
	Bytes  int64   `json:"bytes"`
}

// Export makes the engine write blocks to a store.
func (e *Engine) Export(ctx context.Context, store string, hashes []cache.Hash) (Exported, error) {
	body := struct {
		Store  string       `json:"store"`
		Hashes []cache.Hash `json:"hashes"`
	}{store, hashes}
	var x Exported
	return x, e.do(ctx, http.MethodPost, "/v1/cache/export", body, &x)
}

// Order is a fenced order to an engine.
type Order struct {
	// Fence rises with each holder of orders; an engine that checks it
	// refuses a lower one than it has seen.
	Fence uint64 `json:"fence"`
	// Expires is when the order must no longer begin.
	Expires  time.Time `json:"expires"`
	Model    string    `json:"model"`
	Version  string    `json:"version"`
	Adapters []string  `json:"adapters,omitempty"`
}

// Order sends an order to load weights.
func (e *Engine) Order(ctx context.Context, o Order) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	return e.do(ctx, http.MethodPost, "/v1/orders", o, nil)
}

// Prompt is a request to an engine in the published completions form, with
// the published extensions for cache salts, priorities and transfers.
type Prompt struct {
	Model         string        `json:"model"`
	Prompt        string        `json:"prompt"`
	MaxTokens     int           `json:"max_tokens"`
	Temperature   *float64      `json:"temperature,omitempty"`
	Seed          *int64        `json:"seed,omitempty"`
	Stop          []string      `json:"stop,omitempty"`
	Stream        bool          `json:"stream"`
	StreamOptions StreamOptions `json:"stream_options"`
	CacheSalt     string        `json:"cache_salt"`
	// Priority follows the engines' form: the lowest number goes first.
	Priority int `json:"priority"`
}

// StreamOptions are the published options of a stream.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Stream begins a streamed answer. The caller closes the reply's body.
func (e *Engine) Stream(ctx context.Context, id, version string, p Prompt) (*http.Response, error) {
	raw, err := json.Marshal(p)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url+"/v1/completions", bytes.NewReader(raw))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequestID, id)
	req.Header.Set(HeaderWeightVersion, version)
	return e.send(req)
}

// Resume goes on with a stream after n tokens were received.
func (e *Engine) Resume(ctx context.Context, id string, n int) (*http.Response, error) {
	path := e.url + "/v1/streams/" + id + "?after=" + strconv.Itoa(n)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return e.send(req)
}

// Cancel ends a stream.
func (e *Engine) Cancel(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	return e.do(ctx, http.MethodDelete, "/v1/streams/"+id, nil, nil)
}

func (e *Engine) send(req *http.Request) (*http.Response, error) { return send(e.client, req) }

func (e *Engine) do(ctx context.Context, method, path string, body, reply any) error {
	return do(ctx, e.client, method, e.url+path, body, reply)
}

func send(client *http.Client, req *http.Request) (*http.Response, error) {
	resp, err := client.Do(req)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if resp.StatusCode/100 == 2 {
		return resp, nil
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, errorText))
	// What can't be read asks for nothing; the error's text goes into the log.
	rest, _ := AskedRest(resp.StatusCode, resp.Header)
	return nil, errors.WithStack(&StatusError{Status: resp.StatusCode, Text: string(text), Rest: rest})
}

const (
	// errorText bounds what is read of an error's text.
	errorText = 512
	// maxReply bounds a reply that is read whole.
	maxReply = 64 << 20
)

func do(ctx context.Context, client *http.Client, method, url string, body, reply any) error {
	var in io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return errors.WithStack(err)
		}
		in = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, in)
	if err != nil {
		return errors.WithStack(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := send(client, req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil || reply == nil {
		return errors.WithStack(err)
	}
	return errors.Wrap(json.Unmarshal(got, reply), "reply of a target")
}
