package plat

import (
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Client is an HTTP client for one service of the platform, or for the control calls of targets.
// The zero value uses the standard transport.
type Client struct {
	// Transport opens the connections; if nil, the standard one does. It is set before use.
	Transport *http.Transport
	// unheardCalls counts the calls on reused connections that ended without any response.
	unheardCalls atomic.Int64
}

// UnheardCalls returns the number of calls on reused connections that ended without any response.
func (c *Client) UnheardCalls() int64 { return c.unheardCalls.Load() }

// Do sends a request, exactly once.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	var reused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused.Store(info.Reused) }}
	client := http.Client{}
	if c.Transport != nil {
		client.Transport = c.Transport
	}
	resp, err := client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil && reused.Load() && req.Context().Err() != nil {
		c.unheardCalls.Add(1)
	}
	return resp, errors.WithStack(err)
}
