package plat

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Meter counts the bytes on the connections of an HTTP client.
type Meter struct{ bytes atomic.Int64 }

// Bytes returns the number of bytes read and written.
func (m *Meter) Bytes() int64 { return m.bytes.Load() }

// Measure makes m count the bytes on the connections that t opens from now on.
func (m *Meter) Measure(t *http.Transport) {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{Timeout: CallTimeout}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		return &meteredConn{c, m}, nil
	}
}

type meteredConn struct {
	net.Conn
	meter *Meter
}

// Read reads from the connection and counts the bytes.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.bytes.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.bytes.Add(int64(n))
	return n, err
}

// platformIdle is how long an idle connection to the platform stays open.
const platformIdle = 30 * time.Second

// NewClient returns a client for the platform's services whose bytes m counts.
func NewClient(m *Meter) *Client {
	t := &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: platformIdle, DisableCompression: true}
	m.Measure(t)
	return &Client{Transport: t}
}
