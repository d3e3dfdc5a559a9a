package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// A limit below the usual times abandons good connections; one near a second waits for the
// retransmission of a lost packet.
func TestOpenLimit(t *testing.T) {
	ms := time.Millisecond
	repeat := func(n int, d time.Duration) []time.Duration {
		out := make([]time.Duration, n)
		for i := range out {
			out[i] = d
		}
		return out
	}
	for _, tc := range []struct {
		name     string
		took     []time.Duration
		shortest time.Duration
		want     time.Duration
	}{
		{"nothing known", nil, 0, unknownOpenLimit},
		{"few observations", repeat(minOpenSamples-1, ms), 0, unknownOpenLimit},
		{"fast targets", repeat(30, ms), 0, minOpenLimit},
		{"distant targets", repeat(30, 80*ms), 0, 240 * ms},
		{"a lossy link", append(repeat(40, ms), repeat(3, 1001*ms)...), 0, minOpenLimit},
		{"a very lossy link", append(repeat(20, ms), repeat(10, 1001*ms)...), 0, maxOpenLimit},
		{"all slow", repeat(30, 300*ms), 0, 900 * ms},
		{"all very slow", repeat(30, 600*ms), 0, openTimeout},
		{"one distant target among near ones", repeat(30, ms), 60 * ms, 210 * ms},
		{"old observations are dropped", append(repeat(30, time.Second), repeat(openSamples, ms)...), 0, minOpenLimit},
	} {
		t.Run(tc.name, func(t *testing.T) {
			o := openTimes{}
			for _, took := range tc.took {
				o.add(took)
			}
			gomega.NewWithT(t).Expect(o.limit(tc.shortest)).To(gomega.Equal(tc.want))
		})
	}
}

// A process without a processor for a while finds its timer expired and the connection open at the
// same time. It must not abandon it, nor wait without end.
func TestOpenWaitDoesNotCountPauses(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newOpenWait(50 * time.Millisecond)
	g.Expect(w.advance(200 * time.Millisecond)).To(gomega.BeFalse())
	for range openWaitSteps - 1 {
		g.Expect(w.advance(10 * time.Millisecond)).To(gomega.BeFalse())
	}
	g.Expect(w.advance(10 * time.Millisecond)).To(gomega.BeTrue())
	w = newOpenWait(50 * time.Millisecond)
	for steps := 1; !w.advance(time.Second); steps++ {
		g.Expect(steps).To(gomega.BeNumerically("<", 2*openWaitSteps), "it ends")
	}
}

// A probe on an idle connection would be lost if the target were dark, and would not tell it.
func TestNewConnectionUsesNoIdleOne(t *testing.T) {
	g := gomega.NewWithT(t)
	s := serve(t, func(c net.Conn, _ int64, _ *http.Request) bool { return writeResponse(c, "yes", "") })
	p := &Pool{}
	p.SetMaxConns(s.address, 1)
	for range 2 {
		in, err := p.Send(context.Background(), s.address, &Request{
			Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, NewConnection: true,
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = io.ReadAll(in)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		in.Close()
	}
	g.Expect(s.conns.Load()).To(gomega.Equal(int64(2)))
}

// A connection that opens, or a request that ends, after its target was removed left an idle connection
// that nothing would use or close.
func TestNoConnectionIsKeptToRemovedAddress(t *testing.T) {
	g := gomega.NewWithT(t)
	s := serve(t, func(c net.Conn, _ int64, _ *http.Request) bool { return writeResponse(c, "yes", "") })
	p := &Pool{}
	in, err := p.Send(context.Background(), s.address, &Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.ReadAll(in)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	p.CloseIdle(s.address)
	in.Close()
	g.Expect(p.HasIdle(s.address)).To(gomega.BeFalse())
	g.Expect(p.addresses).To(gomega.BeEmpty())
	for range 2 {
		_, err = get(p, s.address)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(s.conns.Load()).To(gomega.Equal(int64(2)), "an address that is used again keeps its connections")
}
