// Package target owns the clients of the targets: model engines and KV-cache stores, and the
// connection pool for requests to any target. Plain services are called by ordinary HTTP in the
// code that forwards requests to them.
//
// It must not know which target is chosen or why. It never retries.
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

// Headers of requests to engines.
const (
	HeaderRequestID     = "X-Request-Id"
	HeaderWeightVersion = "X-Weight-Version"
)

// StatusError is a response of a target with a status other than success.
type StatusError struct {
	Status int
	Text   string
	// Pushback is the pushback in the response; 0 if there is none.
	Pushback time.Duration
}

// Error returns the status and the start of the response's body.
func (e *StatusError) Error() string {
	return "target responded with status " + strconv.Itoa(e.Status) + ": " + e.Text
}

// Status returns the HTTP status in err, or 0.
func Status(err error) int {
	var s *StatusError
	if errors.As(err, &s) {
		return s.Status
	}
	return 0
}

// Pushback returns the pushback of the response in err, or 0.
func Pushback(err error) time.Duration {
	var s *StatusError
	if errors.As(err, &s) {
		return s.Pushback
	}
	return 0
}

const (
	dialTimeout = time.Second
	// maxIdlePerTarget bounds the idle connections kept to one target.
	maxIdlePerTarget = 32
	idleTimeout      = 30 * time.Second
)

// NewTransport returns the transport for engines and KV-cache stores.
func NewTransport() *http.Transport {
	d := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: d.DialContext, MaxIdleConnsPerHost: maxIdlePerTarget, IdleConnTimeout: idleTimeout,
		DisableCompression: true,
	}
}

// NewTransportWithoutReuse returns a transport that opens a connection for each call. The standard
// transport retries some calls by itself when a reused connection fails, but never on a new
// connection.
func NewTransportWithoutReuse() *http.Transport {
	t := NewTransport()
	t.DisableKeepAlives = true
	return t
}

// Block identifies the content of one KV-cache block in a store.
type Block struct {
	Hash cache.Hash `json:"hash"`
	// Generation is the store's number for this write of the block. It changes when the block is
	// freed and written again.
	Generation uint64 `json:"generation"`
	// Checksum is the checksum of the content in hexadecimal digits.
	Checksum string `json:"sum"`
}

// Engine is a client of one model engine.
type Engine struct {
	url    string
	client *http.Client
}

// NewEngine returns a client of the engine at url.
func NewEngine(url string, client *http.Client) *Engine { return &Engine{url, client} }

// EventBatch is an engine's response to a poll for cache events.
type EventBatch struct {
	Events []cache.CacheEvent `json:"events"`
	Load   Load               `json:"load"`
}

// PollEvents waits for batchTime, and returns the cache events after seq together with the load.
// Polling is cheap mainly because one call returns both, and many events at once.
func (e *Engine) PollEvents(ctx context.Context, seq uint64, batchTime time.Duration) (EventBatch, error) {
	ctx, cancel := context.WithTimeout(ctx, batchTime+callTimeout)
	defer cancel()
	var batch EventBatch
	path := "/v1/cache/events?after=" + strconv.FormatUint(seq, 10) +
		"&gatherMillis=" + strconv.FormatInt(batchTime.Milliseconds(), 10)
	return batch, e.do(ctx, http.MethodGet, path, nil, &batch)
}

// callTimeout bounds short calls of targets.
const callTimeout = 2 * time.Second

// CacheContents returns all KV-cache blocks that the engine holds.
func (e *Engine) CacheContents(ctx context.Context) (cache.Contents, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	var c cache.Contents
	return c, e.do(ctx, http.MethodGet, "/v1/cache/contents", nil, &c)
}

// Weights is one set of weights loaded by an engine.
type Weights struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	// Adapters are the adapters loaded with the weights.
	Adapters []string `json:"adapters,omitempty"`
}

// Load is an engine's report of its work, which lags behind.
type Load struct {
	// Incarnation identifies the engine's incarnation.
	Incarnation string `json:"boot"`
	// QueuedTokens holds the numbers of waiting prompt tokens by priority, lowest first.
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

// ImportResult is the result of an import. The blocks are not used until a request refers to them.
type ImportResult struct {
	ID     string  `json:"id"`
	Blocks []Block `json:"blocks"`
	Bytes  int64   `json:"bytes"`
}

// Import has the engine read blocks, which follow parent in the prefix hash chain, from a store.
func (e *Engine) Import(ctx context.Context, store string, parent cache.Hash, blocks []Block) (ImportResult, error) {
	body := struct {
		Store  string     `json:"store"`
		Parent cache.Hash `json:"parent"`
		Blocks []Block    `json:"blocks"`
	}{store, parent, blocks}
	var s ImportResult
	return s, e.do(ctx, http.MethodPost, "/v1/cache/import", body, &s)
}

// Commit adds the first n staged blocks to the engine's cache and drops the others.
func (e *Engine) Commit(ctx context.Context, id string, n int) error {
	body := struct {
		ID     string `json:"id"`
		Blocks int    `json:"blocks"`
	}{id, n}
	return e.do(ctx, http.MethodPost, "/v1/cache/commit", body, nil)
}

// ExportResult is the result of an export to a store.
type ExportResult struct {
	Blocks []Block `json:"blocks"`
	Bytes  int64   `json:"bytes"`
}

// Export has the engine write blocks to a store.
func (e *Engine) Export(ctx context.Context, store string, hashes []cache.Hash) (ExportResult, error) {
	body := struct {
		Store  string       `json:"store"`
		Hashes []cache.Hash `json:"hashes"`
	}{store, hashes}
	var x ExportResult
	return x, e.do(ctx, http.MethodPost, "/v1/cache/export", body, &x)
}

// Order is a fenced order to an engine.
type Order struct {
	// FencingToken increases each time another daemon becomes the one that gives orders. An engine that
	// checks it rejects orders with a lower value than it has seen.
	FencingToken uint64 `json:"fence"`
	// Expires is the time after which the engine must not start to carry out the order.
	Expires  time.Time `json:"expires"`
	Model    string    `json:"model"`
	Version  string    `json:"version"`
	Adapters []string  `json:"adapters,omitempty"`
}

// Order sends an order to load weights.
func (e *Engine) Order(ctx context.Context, o Order) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return e.do(ctx, http.MethodPost, "/v1/orders", o, nil)
}

// Prompt is a request to an engine in the published completions format, with the published
// extensions for cache salts and priorities.
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
	// Priority uses the engines' convention: the lowest number is served first.
	Priority int `json:"priority"`
}

// StreamOptions are the published options of a streamed response.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Stream starts a streamed response. The caller closes its body.
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

// Resume continues a stream after n received tokens.
func (e *Engine) Resume(ctx context.Context, id string, n int) (*http.Response, error) {
	path := e.url + "/v1/streams/" + id + "?after=" + strconv.Itoa(n)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return e.send(req)
}

// Cancel cancels a stream.
func (e *Engine) Cancel(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return e.do(ctx, http.MethodDelete, "/v1/streams/"+id, nil, nil)
}

func (e *Engine) send(req *http.Request) (*http.Response, error) { return send(e.client, req) }

func (e *Engine) do(ctx context.Context, method, path string, body, result any) error {
	return do(ctx, e.client, method, e.url+path, body, result)
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
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorText))
	// An unreadable pushback counts as none; the error's text is logged.
	pushback, _ := ParsePushback(resp.StatusCode, resp.Header)
	return nil, errors.WithStack(&StatusError{Status: resp.StatusCode, Text: string(text), Pushback: pushback})
}

const (
	// maxErrorText bounds the bytes read of an error's text.
	maxErrorText = 512
	// maxResponse bounds the size of a response that is read completely.
	maxResponse = 64 << 20
)

func do(ctx context.Context, client *http.Client, method, url string, body, result any) error {
	var reader io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return errors.WithStack(err)
		}
		reader = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return errors.WithStack(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := send(client, req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	if err != nil || result == nil {
		return errors.WithStack(err)
	}
	return errors.Wrap(json.Unmarshal(got, result), "parse the response of a target")
}
