package wire

import (
	"context"
	"net"
	"sync"
	"testing"

	"github.com/onsi/gomega"

	"embertally.dev/core/testip"
)

// twoConnListener accepts one connection at once, and another one after the first was closed.
type twoConnListener struct {
	net.Listener
	first, second         net.Conn
	closed                <-chan struct{}
	firstOnce, secondOnce sync.Once
}

func (l *twoConnListener) Accept() (net.Conn, error) {
	var out net.Conn
	l.firstOnce.Do(func() { out = l.first })
	if out != nil {
		return out, nil
	}
	l.secondOnce.Do(func() {
		<-l.closed
		out = l.second
	})
	if out != nil {
		return out, nil
	}
	return l.Listener.Accept()
}

// Regression test: a connection accepted while the Mux stops must not be served until its peer
// closes it, since the peer may be waiting in the same way.
func TestConnectionAcceptedDuringShutdownIsClosed(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := testip.Listen()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	first, firstPeer := net.Pipe()
	second, secondPeer := net.Pipe()
	defer secondPeer.Close()
	closed := make(chan struct{})
	go func() {
		// The Mux closes the first connection together with all others it has recorded.
		firstPeer.Read(make([]byte, 1))
		close(closed)
	}()
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	var m Mux
	go func() {
		m.Serve(ctx, &twoConnListener{Listener: l, first: first, second: second, closed: closed})
		close(stopped)
	}()
	g.Eventually(func() int {
		m.connsMu.Lock()
		defer m.connsMu.Unlock()
		return len(m.conns)
	}, "30s", "1ms").Should(gomega.Equal(1))
	cancel()
	// Without a hello from the second peer, reading it would take up to handshakeTimeout.
	go func() {
		frame, err := encode(&envelope{Kind: kindHello, Body: []byte{0xa1, 'p'}})
		if err == nil {
			secondPeer.Write(frame)
		}
	}()
	g.Eventually(stopped, "30s", "1ms").Should(gomega.BeClosed())
}
