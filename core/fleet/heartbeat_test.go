package fleet

import (
	"context"
	"net"
	"sync"
	"testing"

	"github.com/onsi/gomega"

	"embertally.dev/core/event"
	"embertally.dev/core/testip"
	"embertally.dev/core/wire"
)

func TestHeartbeatAfterALostConnectionIsFull(t *testing.T) {
	g := gomega.NewWithT(t)
	f := New(Options{Name: "a", Incarnation: "a-1", Log: &event.Log{}})
	l, err := testip.Listen()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	peer := Peer{Name: "b", Address: l.Addr().String()}
	f.peerStates["b"] = &peerState{ackedIncarnation: "a-1"}
	link := f.link(peer)
	defer link.Close()
	send := func() error { return link.Notify(context.Background(), kindHeartbeat, &heartbeat{}) }
	full := func() bool {
		out, _ := f.wantsFull(peer)
		return out
	}
	// serve accepts connections at l until the returned function is called, which closes them.
	serve := func(l net.Listener) (stop func()) {
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { (&wire.Mux{}).Serve(ctx, l) })
		return func() { cancel(); wg.Wait() }
	}
	stop := serve(l)
	g.Expect(send()).To(gomega.Succeed())
	full()
	g.Expect(full()).To(gomega.BeFalse(), "on the same connection")
	stop()
	l, err = net.Listen("tcp", peer.Address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer serve(l)()
	g.Eventually(func() int64 { send(); return link.Opened() }, "10s", "5ms").Should(gomega.Equal(int64(2)))
	g.Expect(full()).To(gomega.BeTrue(), "the first one on another connection")
	g.Expect(full()).To(gomega.BeFalse())
}
