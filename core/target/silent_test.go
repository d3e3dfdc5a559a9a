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

func TestOneRequestFindsAllSilentConnectionsOfATarget(t *testing.T) {
	const conns = 4
	g := gomega.NewWithT(t)
	var old sync.Map
	var silent atomic.Bool
	together, end := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(end) })
	s := serve(t, func(c net.Conn, n int64, _ *http.Request) bool {
		if silent.Load() {
			if _, isOld := old.Load(c); isOld {
				<-end
				return false
			}
			return writeResponse(c, "ok", "")
		}
		old.Store(c, true)
		if n == conns {
			close(together)
		}
		<-together
		return writeResponse(c, "ok", "")
	})
	p := &Pool{}
	send := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		if !silent.Load() {
			ctx = context.Background()
		}
		resp, err := p.Send(ctx, s.address, &Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}})
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp)
		resp.Close()
		return err
	}
	var wg sync.WaitGroup
	for range conns {
		wg.Go(func() { g.Expect(send()).To(gomega.Succeed()) })
	}
	wg.Wait()
	silent.Store(true)
	g.Expect(send()).NotTo(gomega.Succeed())
	for range conns {
		g.Expect(send()).To(gomega.Succeed())
	}
}
