package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/testip"
)

// breakingTarget reads some bytes of each connection and resets it.
type breakingTarget struct {
	l net.Listener
	// bytes is how many bytes it reads; received gets the number that it has read.
	bytes    int
	received chan int
}

// loop accepts connections.
func (b *breakingTarget) loop() {
	for {
		c, err := b.l.Accept()
		if err != nil {
			return
		}
		n, _ := io.ReadFull(c, make([]byte, b.bytes))
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
		b.received <- n
	}
}

// throughTarget opens connections to a target as another box would, and lends them.
type throughTarget struct{ address string }

// Open implements Detour.
func (d throughTarget) Open(ctx context.Context, _ string) (net.Conn, string, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", d.address)
	return c, "box", err
}

// Borrow implements Lender.
func (d throughTarget) Borrow(ctx context.Context, target string) (net.Conn, string, error) {
	return d.Open(ctx, target)
}

// Usable implements Detour.
func (throughTarget) Usable(string) bool { return true }

// RecordLost implements Detour.
func (throughTarget) RecordLost(string) {}

// Guards against TWICE and REFUSED: a request of which a target has received a byte counts as not sent.
func TestRequestOfWhichAByteArrivedMayHaveArrived(t *testing.T) {
	body := strings.Repeat("x", 40)
	for _, way := range []string{"direct", "by way of another box", "on a borrowed connection"} {
		t.Run(way, func(t *testing.T) {
			g := gomega.NewWithT(t)
			for n := range 100 { // fewer than the request has
				l, err := testip.Listen()
				g.Expect(err).NotTo(gomega.HaveOccurred())
				target, address := &breakingTarget{l: l, bytes: n, received: make(chan int, 4)}, l.Addr().String()
				go target.loop()
				pool, through := &Pool{}, throughTarget{address}
				switch way {
				case "by way of another box":
					// Nothing listens at the address that this box knows.
					closed, err := testip.Listen()
					g.Expect(err).NotTo(gomega.HaveOccurred())
					closed.Close()
					pool.Detour, address = through, closed.Addr().String()
				case "on a borrowed connection":
					pool.Detour, pool.Lender = through, through
					pool.SetMaxConns(address, 1)
					pool.poolMu.Lock()
					pool.state(address).open = 1
					pool.poolMu.Unlock()
				}
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				_, err = pool.Send(ctx, address, &Request{
					Method: http.MethodPost, URI: "/pay/1", Host: "h", Header: http.Header{"Id": {"try-1"}}, Body: []byte(body), Target: "i-1", SecondOpen: true,
				})
				cancel()
				g.Expect(err).To(gomega.HaveOccurred())
				if got := <-target.received; got > 0 {
					g.Expect(MayHaveArrived(err)).To(gomega.BeTrue(), "%d bytes arrived: %v", got, err)
				}
				l.Close()
			}
		})
	}
}
