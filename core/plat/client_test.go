package plat_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/plat"
	"embertally.dev/core/testip"
)

// silencedConn is a connection on which nothing arrives once its transport is silent.
type silencedConn struct {
	net.Conn
	silent *atomic.Bool
	closed chan struct{}
	once   sync.Once
}

func (c *silencedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *silencedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func TestClientGivesUpSilentConnections(t *testing.T) {
	const silence = 100 * time.Millisecond
	tests := []struct {
		name string
		// answers is Probe.Answers.
		answers bool
		// slow makes the service respond late on connections that work.
		slow bool
		err  error
		// replaced is the number of connections given up.
		replaced int64
	}{
		{"repeated", true, false, nil, 1},
		{"sent once", false, false, plat.ErrSilent, 1},
		{"slow service", true, true, nil, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var slow atomic.Bool
			srv := testip.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if slow.Load() {
					time.Sleep(3 * silence)
				}
				io.WriteString(w, "ok")
			}))
			t.Cleanup(srv.Close)
			var mu sync.Mutex
			var open []*silencedConn
			transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				mu.Lock()
				defer mu.Unlock()
				s := &silencedConn{Conn: c, silent: &atomic.Bool{}, closed: make(chan struct{})}
				open = append(open, s)
				return s, nil
			}}
			client := &plat.Client{Transport: transport}
			t.Cleanup(transport.CloseIdleConnections)
			send := func() (string, error) {
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				defer cancel()
				req, err := http.NewRequestWithContext(ctx, http.MethodGet, srv.URL, nil)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				resp, err := client.DoProbed(req, plat.Probe{After: silence, Request: req.Clone(ctx), Answers: tc.answers})
				if err != nil {
					return "", err
				}
				defer resp.Body.Close()
				body, err := io.ReadAll(resp.Body)
				return string(body), err
			}
			body, err := send()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(body).To(gomega.Equal("ok"))
			slow.Store(tc.slow)
			if !tc.slow {
				mu.Lock()
				for _, c := range open {
					c.silent.Store(true)
				}
				mu.Unlock()
			}
			body, err = send()
			if tc.err != nil {
				g.Expect(err).To(gomega.MatchError(tc.err))
				body, err = send()
			}
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(body).To(gomega.Equal("ok"))
			g.Expect(client.Replaced()).To(gomega.Equal(tc.replaced))
		})
	}
}
