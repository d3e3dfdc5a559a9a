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

// Caller calls entry boxes as an organisation's program would.
type Caller struct {
	client *http.Client
}

const idleConns = 64

// NewCaller returns a caller that trusts the certificates signed by the one in
// the file ca; an empty name trusts nothing but plain connections.
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

// HTTP returns the client that the caller uses.
func (c *Caller) HTTP() *http.Client { return c.client }

// Refused is the typed refusal of an entry box.
type Refused struct {
	Status           int    `json:"-"`
	Code             string `json:"code"`
	Ran              string `json:"ran"`
	Message          string `json:"message"`
	RetryAfterMillis int64  `json:"retryAfterMillis"`
}

// Reply is what came of one request.
type Reply struct {
	Request string
	Text    string
	// Whole tells that the answer ended as a whole one does.
	Whole  bool
	Status int
	// First is the time to the first token, and Took the time to the end.
	First, Took time.Duration
	// PromptTokens, CachedTokens and Tokens are the answer's own figures.
	PromptTokens, CachedTokens, Tokens int
	Body                               []byte
	// Replayed tells that a call's answer was recorded from an earlier run.
	Replayed bool
	Refused  *Refused
	// Err is a failure of the connection.
	Err error
}

// Prompt asks for a streamed answer.
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
	began := time.Now()
	resp, err := c.send(ctx, http.MethodPost, box+"/v1/completions", key, "", "", raw)
	if err != nil {
		return Reply{Err: err, Took: time.Since(began)}
	}
	defer resp.Body.Close()
	r := Reply{Request: resp.Header.Get("X-Request-Id"), Status: resp.StatusCode}
	if resp.StatusCode != http.StatusOK {
		r.refusal(resp)
		r.Took = time.Since(began)
		return r
	}
	r.stream(resp.Body, began)
	r.Took = time.Since(began)
	return r
}

// Call calls a plain service, with an idempotency key if that is not empty.
func (c *Caller) Call(ctx context.Context, box, key, method, path, idempotency string, body []byte) Reply {
	return c.CallWith(ctx, box, key, method, path, "Idempotency-Key", idempotency, body)
}

// CallWith calls a plain service with one more header, if its value is not
// empty.
func (c *Caller) CallWith(ctx context.Context, box, key, method, path, header, value string, body []byte) Reply {
	began := time.Now()
	resp, err := c.send(ctx, method, box+path, key, header, value, body)
	if err != nil {
		return Reply{Err: err, Took: time.Since(began)}
	}
	defer resp.Body.Close()
	r := Reply{
		Request: resp.Header.Get("X-Request-Id"), Status: resp.StatusCode,
		Replayed: resp.Header.Get("X-Embertally-Replayed") == "true",
	}
	if resp.StatusCode != http.StatusOK {
		r.refusal(resp)
	} else if r.Body, r.Err = io.ReadAll(resp.Body); r.Err == nil {
		r.Whole = true
	}
	r.Took = time.Since(began)
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
		// The transport must not repeat the call by itself.
		req.GetBody = nil
	}
	resp, err := c.client.Do(req)
	return resp, errors.WithStack(err)
}

func (r *Reply) refusal(resp *http.Response) {
	raw, err := io.ReadAll(resp.Body)
	var body struct {
		Error *Refused `json:"error"`
	}
	if err != nil || json.Unmarshal(raw, &body) != nil || body.Error == nil {
		r.Err = errors.Errorf("status %d without a typed refusal: %.100s", resp.StatusCode, raw)
		return
	}
	body.Error.Status = resp.StatusCode
	r.Refused = body.Error
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
	Error *Refused `json:"error"`
}

func (r *Reply) stream(body io.Reader, began time.Time) {
	lines := bufio.NewScanner(body)
	var text strings.Builder
	finished := false
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.Whole = finished
			break
		}
		var c streamChunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			r.Err = errors.WithStack(err)
			return
		}
		if c.Error != nil {
			r.Refused = c.Error
			break
		}
		if c.Usage != nil {
			r.PromptTokens, r.CachedTokens, r.Tokens = c.Usage.PromptTokens, c.Usage.Details.CachedTokens, c.Usage.CompletionTokens
		}
		for _, ch := range c.Choices {
			if ch.Text != "" && r.First == 0 {
				r.First = time.Since(began)
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
