package plat_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/plat"
	"embertally.dev/core/wait"
)

// A response may take longer than CallTimeout in total, as long as no gap between its bytes is that
// long.
func TestCallFailsOnlyWhenDataStalls(t *testing.T) {
	const response = `{"header":{"revision":"7"},"kvs":[{"key":"YQ==","value":"eA==","mod_revision":"3"}]}`
	tests := []struct {
		name string
		// bytes is how many bytes of the response are sent.
		bytes int
		err   error
	}{
		{"slow", len(response), nil},
		{"stalls midway", len(response) / 2, wait.ErrIdleTimeout},
		{"never begins", 0, wait.ErrIdleTimeout},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			// The time of the bubble does not pass while the process stands still.
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				interval := plat.CallTimeout * 5 / 4 / time.Duration(len(response))
				l := pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
				done := make(chan struct{})
				srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					for _, char := range strings.Split(response, "")[:tc.bytes] {
						wait.For(r.Context(), interval)
						// An error means that the caller has disconnected, and is ignored.
						_, _ = w.Write([]byte(char))
						w.(http.Flusher).Flush()
					}
					if tc.err != nil {
						<-done
					}
				})}
				go func() { _ = srv.Serve(l) }()
				defer srv.Close()
				defer close(done)
				transport := &http.Transport{DialContext: l.dial}
				defer transport.CloseIdleConnections()
				start := time.Now()
				pairs, revision, err := plat.NewKV([]string{"http://store"}, &plat.Client{Transport: transport}).Range(context.Background(), plat.Prefix("a"))
				g.Expect(errors.Is(err, tc.err)).To(gomega.BeTrue(), "%v", err)
				// From its start, or from the last byte.
				want := time.Duration(tc.bytes) * interval
				if tc.err != nil {
					want += plat.CallTimeout
				}
				g.Expect(time.Since(start)).To(gomega.Equal(want))
				if tc.err == nil {
					g.Expect(revision).To(gomega.Equal(int64(7)))
					g.Expect(pairs).To(gomega.HaveLen(1))
				}
			})
		})
	}
}

// pipeListener is a listener of connections within the process.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	here, there := net.Pipe()
	select {
	case l.conns <- there:
		return here, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (l pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l pipeListener) Close() error { close(l.closed); return nil }

// Addr implements net.Listener.
func (pipeListener) Addr() net.Addr { return &net.TCPAddr{} }
