package target

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// darkListener returns the address of a listener whose queue is full, so that the kernel drops the
// first packets of further connections, as a target without power does.
func darkListener(t *testing.T) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for range 4 {
		c, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { c.Close() })
	}
	t.Fatal("the queue of the listener does not fill")
	return ""
}

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
	rapid.Check(t, func(t *rapid.T) {
		w := newOpenWait(time.Duration(rapid.IntRange(1, 1000).Draw(t, "limit")) * time.Millisecond)
		onTime := 0
		for n := 1; ; n++ {
			took := time.Duration(rapid.IntRange(0, 3000).Draw(t, "took")) * time.Millisecond
			if took <= w.step {
				onTime++
			}
			if w.advance(took) {
				break
			}
			if n > 2*openWaitSteps || onTime >= openWaitSteps {
				t.Fatal("the wait does not end")
			}
		}
	})
}

// A request waited 1.2 s for a connection to a target that had become unresponsive.
func TestSlowOpenIsAbandonedAndContinues(t *testing.T) {
	g := gomega.NewWithT(t)
	address, p := darkListener(t), &Pool{}
	for range 30 {
		p.learnOpenTime("g", time.Millisecond)
	}
	late := make(chan error, 1)
	request := &Request{
		Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, Group: "g", ReplaceSlowOpen: true,
		OnOpen: func(isLate bool, err error) {
			if isLate {
				late <- err
			}
		},
	}
	start := time.Now()
	_, err := p.Send(context.Background(), address, request)
	g.Expect(err).To(gomega.MatchError(ErrSlowOpen))
	g.Expect(MayHaveArrived(err)).To(gomega.BeFalse())
	g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 300*time.Millisecond))
	var lateErr error
	g.Eventually(late, 3*time.Second).Should(gomega.Receive(&lateErr))
	g.Expect(lateErr).To(gomega.HaveOccurred())
	g.Expect(p.FreeCapacity(address)).To(gomega.Equal(maxIdle))
	g.Expect(p.addresses[address].open).To(gomega.BeZero())
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
