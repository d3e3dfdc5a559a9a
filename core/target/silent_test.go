package target

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
)

// One request that is not answered was followed by others on connections that are as old and as silent.
func TestOneRequestFindsAllSilentConnectionsOfATarget(t *testing.T) {
	const conns = 4
	g := gomega.NewWithT(t)
	var old sync.Map
	var silent atomic.Bool
	// onSilent counts the requests on connections that are silent.
	var onSilent atomic.Int64
	// Connections are kept for longer than the process may stand still.
	const kept = "Keep-Alive: timeout=600\r\n"
	together, end := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(end) })
	s := serve(t, func(c net.Conn, n int64, _ *http.Request) bool {
		if silent.Load() {
			if _, isOld := old.Load(c); isOld {
				onSilent.Add(1)
				<-end
				return false
			}
			return writeResponse(c, "ok", kept)
		}
		old.Store(c, true)
		if n == conns {
			close(together)
		}
		<-together
		return writeResponse(c, "ok", kept)
	})
	p := &Pool{}
	send := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		req := &Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}}
		resp, err := p.Send(ctx, s.address, req)
		for range maxExchanges {
			if !notSent(err) || ctx.Err() != nil {
				break
			}
			resp, err = p.Send(ctx, s.address, req)
		}
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp)
		resp.Close()
		return err
	}
	var wg sync.WaitGroup
	for range conns {
		wg.Go(func() { g.Expect(send(time.Minute)).To(gomega.Succeed()) })
	}
	wg.Wait()
	silent.Store(true)
	g.Expect(send(200 * time.Millisecond)).NotTo(gomega.Succeed())
	for range conns {
		g.Expect(send(time.Minute)).To(gomega.Succeed())
	}
	g.Expect(onSilent.Load()).To(gomega.Equal(int64(1)))
}
