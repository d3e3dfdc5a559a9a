package play

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/certs"
)

// Caller sends requests to entry boxes as an organisation's program would.
type Caller struct {
	client *http.Client
}

const idleConns = 64

// NewCaller returns a caller that trusts certificates signed by the one in the
// file ca. Without a file, it uses the system's certificate authorities.
func NewCaller(ca string) (*Caller, error) {
	t := &http.Transport{MaxIdleConnsPerHost: idleConns, DisableCompression: true}
	if ca != "" {
		pool, err := certs.Pool(ca)
		if err != nil {
			return nil, err
		}
		t.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	return &Caller{client: &http.Client{Transport: t}}, nil
}

// HTTP returns the caller's HTTP client.
func (c *Caller) HTTP() *http.Client { return c.client }

// Refusal is the JSON error with which an entry box refuses a request.
type Refusal struct {
	Status           int    `json:"-"`
	Code             string `json:"code"`
	Ran              string `json:"ran"`
	Message          string `json:"message"`
	RetryAfterMillis int64  `json:"retryAfterMillis"`
}

// Reply is the result of one request.
type Reply struct {
	Request string
	Text    string
	// Complete reports whether the answer was received to its end.
	Complete bool
	Status   int
	// FirstToken is the time from sending to the first token, Elapsed to the end.
	FirstToken, Elapsed time.Duration
	// PromptTokens, CachedTokens and Tokens are the usage that the answer states.
	PromptTokens, CachedTokens, Tokens int
	Body                               []byte
	// Replayed reports whether the answer was recorded from an earlier execution.
	Replayed bool
	Refusal  *Refusal
	// Err is a connection failure, or a response that cannot be read.
	Err error
}

// Prompt sends a prompt and reads the streamed answer.
func (c *Caller) Prompt(ctx context.Context, box, key, model, prompt string, tokens int) Reply {
	body := struct {
		Model         string `json:"model"`
		Prompt        string `json:"prompt"`
		MaxTokens     int    `json:"max_tokens"`
		Stream        bool   `json:"stream"`
		StreamOptions struct {
			IncludeUsage bool `json:"include_usage"`
		} `json:"stream_options"`
	}{Model: model, Prompt: prompt, MaxTokens: tokens, Stream: true}
	body.StreamOptions.IncludeUsage = true
	raw, err := json.Marshal(body)
	if err != nil {
		return Reply{Err: errors.WithStack(err)}
	}
	start := time.Now()
	resp, err := c.send(ctx, http.MethodPost, box+"/v1/completions", key, "", "", raw)
	if err != nil {
		return Reply{Err: err, Elapsed: time.Since(start)}
	}
	defer resp.Body.Close()
	r := Reply{Request: resp.Header.Get("X-Request-Id"), Status: resp.StatusCode}
	if resp.StatusCode != http.StatusOK {
		r.readRefusal(resp)
		r.Elapsed = time.Since(start)
		return r
	}
	r.readStream(resp.Body, start)
	r.Elapsed = time.Since(start)
	return r
}

// Call calls a plain service, with an idempotency key unless it is empty.
func (c *Caller) Call(ctx context.Context, box, key, method, path, idempotency string, body []byte) Reply {
	return c.CallWith(ctx, box, key, method, path, "Idempotency-Key", idempotency, body)
}

// CallWith calls a plain service with an additional header, unless its value is
// empty.
func (c *Caller) CallWith(ctx context.Context, box, key, method, path, header, value string, body []byte) Reply {
	start := time.Now()
	resp, err := c.send(ctx, method, box+path, key, header, value, body)
	if err != nil {
		return Reply{Err: err, Elapsed: time.Since(start)}
	}
	defer resp.Body.Close()
	r := Reply{
		Request: resp.Header.Get("X-Request-Id"), Status: resp.StatusCode,
		Replayed: resp.Header.Get("X-Embertally-Replayed") == "true",
	}
	if resp.StatusCode != http.StatusOK {
		r.readRefusal(resp)
	} else if r.Body, r.Err = io.ReadAll(resp.Body); r.Err == nil {
		r.Complete = true
	}
	r.Elapsed = time.Since(start)
	return r
}

func (c *Caller) send(ctx context.Context, method, url, key, header, value string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	if value != "" {
		req.Header.Set(header, value)
		// The transport must not retry the call by itself.
		req.GetBody = nil
	}
	resp, err := c.client.Do(req)
	return resp, errors.WithStack(err)
}

func (r *Reply) readRefusal(resp *http.Response) {
	raw, err := io.ReadAll(resp.Body)
	var body struct {
		Error *Refusal `json:"error"`
	}
	if err != nil || json.Unmarshal(raw, &body) != nil || body.Error == nil {
		r.Err = errors.Errorf("status %d without a typed refusal: %.100s", resp.StatusCode, raw)
		return
	}
	body.Error.Status = resp.StatusCode
	r.Refusal = body.Error
}

// streamChunk is one message of a streamed answer.
type streamChunk struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		Details          struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error *Refusal `json:"error"`
}

func (r *Reply) readStream(body io.Reader, start time.Time) {
	lines := bufio.NewScanner(body)
	var text strings.Builder
	finished := false
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.Complete = finished
			break
		}
		var c streamChunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			r.Err = errors.WithStack(err)
			return
		}
		if c.Error != nil {
			r.Refusal = c.Error
			break
		}
		if c.Usage != nil {
			r.PromptTokens, r.CachedTokens, r.Tokens = c.Usage.PromptTokens, c.Usage.Details.CachedTokens, c.Usage.CompletionTokens
		}
		for _, ch := range c.Choices {
			if ch.Text != "" && r.FirstToken == 0 {
				r.FirstToken = time.Since(start)
			}
			text.WriteString(ch.Text)
			finished = finished || ch.FinishReason != nil
		}
	}
	r.Text = text.String()
	if err := lines.Err(); err != nil {
		r.Err = errors.WithStack(err)
	}
}
