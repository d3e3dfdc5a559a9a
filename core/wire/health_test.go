package wire

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/testip"
)

// silentListener makes the first connection that it accepts silent: nothing is read from it or written
// to it. The others work.
type silentListener struct {
	net.Listener
	accepted atomic.Int64
}

func (l *silentListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil || l.accepted.Add(1) > 1 {
			return c, err
		}
		go io.Copy(io.Discard, c)
	}
}

// serveSilent serves m behind a silentListener.
func serveSilent(t *testing.T, m *Mux) *silentListener {
	l, err := testip.Listen()
	if err != nil {
		t.Fatal(err)
	}
	out := &silentListener{Listener: l}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { m.Serve(ctx, out); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return out
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	const greeting Kind = "greeting"
	tests := []struct {
		name string
		send func(ctx context.Context, l *Link) error
		// ok is whether the message that finds the connection silent succeeds.
		ok bool
	}{
		{"query", func(ctx context.Context, l *Link) error { return l.Query(ctx, greeting, 1, nil) }, true},
		{"call", func(ctx context.Context, l *Link) error { return l.Call(ctx, greeting, 1, nil) }, false},
		{"notification", func(ctx context.Context, l *Link) error { return l.Notify(ctx, greeting, 1) }, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var handled atomic.Int64
			m := &Mux{}
			m.Register(greeting, Handle(func(context.Context, string, *int) (struct{}, error) {
				handled.Add(1)
				return struct{}{}, nil
			}))
			l := NewLink("a", "b", serveSilent(t, m).Addr().String(), nil)
			t.Cleanup(l.Close)
			var replaced atomic.Int64
			l.OnReplaced = func(time.Duration) { replaced.Add(1) }
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			err := tc.send(ctx, l)
			g.Expect(err == nil).To(gomega.Equal(tc.ok))
			g.Eventually(replaced.Load, "10s", "5ms").Should(gomega.Equal(int64(1)))
			g.Expect(tc.send(ctx, l)).To(gomega.Succeed())
			g.Eventually(handled.Load, "10s", "5ms").Should(gomega.BeNumerically(">", 0))
			g.Expect(l.Opened()).To(gomega.Equal(int64(2)))
		})
	}
}

func TestConnectionToASlowHandlerIsKept(t *testing.T) {
	g := gomega.NewWithT(t)
	const slow Kind = "slow"
	m := &Mux{}
	m.Register(slow, Handle(func(context.Context, string, *int) (struct{}, error) {
		time.Sleep(2 * (probeAfter + replaceAfter))
		return struct{}{}, nil
	}))
	link := NewLink("a", "b", serve(t, m), nil)
	defer link.Close()
	g.Expect(link.Call(context.Background(), slow, 1, nil)).To(gomega.Succeed())
	g.Expect(link.Opened()).To(gomega.Equal(int64(1)))
	g.Expect(link.Replaced()).To(gomega.BeZero())
}
