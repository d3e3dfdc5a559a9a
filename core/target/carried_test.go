package target

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	"github.com/onsi/gomega"

	"embertally.dev/core/testip"
)

// carry sends a request with an ID and returns the connection that carried it.
func carry(t *testing.T, p *Pool, address, id string) Carriage {
	t.Helper()
	resp, err := p.Send(t.Context(), address, &Request{ID: id, Method: http.MethodGet, URI: "/", Host: "h"})
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	if _, err := io.Copy(io.Discard, resp); err != nil {
		t.Fatal(err)
	}
	return resp.Carriage()
}

// Guards against a copy of a response that is taken for the response to the same request on its second way.
func TestConnectionCarriesNoIDTwice(t *testing.T) {
	tests := []struct {
		name    string
		maxOpen int
		ids     []string
		// connections is the number of connections that the requests take.
		connections int64
	}{
		{"other IDs", 0, []string{"a", "b", "c"}, 1},
		{"no ID", 0, []string{"", "", ""}, 1},
		{"again at once", 0, []string{"a", "a"}, 2},
		{"again later", 0, []string{"a", "b", "c", "a", "d"}, 2},
		{"again and again", 0, []string{"a", "a", "a", "a"}, 4},
		{"on the only connection", 1, []string{"a", "a", "b"}, 2},
		{"on both connections", 2, []string{"a", "a", "a", "b"}, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := serve(t, func(c net.Conn, n int64, _ *http.Request) bool {
				body := strconv.FormatInt(n, 10)
				_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
				return err == nil
			})
			p := &Pool{}
			p.SetMaxConns(s.address, test.maxOpen)
			carried := map[string]bool{}
			for _, id := range test.ids {
				carriage := carry(t, p, s.address, id)
				g.Expect(carriage.Repeated()).To(gomega.BeFalse(), "%s: %s", id, carriage)
				key := fmt.Sprintf("%s on %d", id, carriage.connection)
				g.Expect(id != "" && carried[key]).To(gomega.BeFalse(), key)
				carried[key] = true
			}
			g.Expect(s.conns.Load()).To(gomega.Equal(test.connections))
		})
	}
}

// Guards against a connection that carries requests whose IDs it does not remember.
func TestConnectionThatRemembersNoMoreIDsIsClosed(t *testing.T) {
	g := gomega.NewWithT(t)
	s := serve(t, func(c net.Conn, _ int64, _ *http.Request) bool {
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	p := &Pool{}
	first := carry(t, p, s.address, "0")
	for i := 1; i < maxCarried; i++ {
		g.Expect(carry(t, p, s.address, strconv.Itoa(i)).connection).To(gomega.Equal(first.connection))
	}
	g.Expect(carry(t, p, s.address, "next").connection).NotTo(gomega.Equal(first.connection))
	g.Expect(s.conns.Load()).To(gomega.BeEquivalentTo(2))
}

// Guards against a connection that is borrowed though an idle one of the own share can make room.
func TestRoomForARequestIsMadeAmongOwnConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := testip.Listen()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { l.Close() })
	pools, address := lendingPools{{}, {}}, l.Addr().String()
	p := pools[0]
	p.Lender, p.Detour = pools, &fakeDetour{}
	p.SetMaxConns(address, 1)
	own, err := p.get(t.Context(), address, &Request{Target: address})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	borrowed, err := p.get(t.Context(), address, &Request{Target: address})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(borrowed.borrowed).To(gomega.BeTrue())
	for _, conn := range []*poolConn{borrowed, own} {
		conn.carried.add(hashID("a"))
		p.put(conn, "")
	}
	conn, err := p.get(t.Context(), address, &Request{ID: "a", Target: address})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(conn.borrowed).To(gomega.BeFalse())
}
