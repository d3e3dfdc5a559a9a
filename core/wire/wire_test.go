package wire

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"embertally.dev/core/bugs"
	"embertally.dev/core/testip"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type hello struct {
	Text string `msgpack:"t"`
}

// serve serves m on a new listener until the test ends.
func serve(t *testing.T, m *Mux) string {
	t.Helper()
	l, err := testip.Listen()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { m.Serve(ctx, l) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return l.Addr().String()
}

func TestCallsReturnResponses(t *testing.T) {
	g := gomega.NewWithT(t)
	var m Mux
	m.Register("echo", Handle(func(_ context.Context, from string, h *hello) (*hello, error) {
		switch h.Text {
		case "fail":
			return nil, errors.New("as requested")
		case "nothing":
			return nil, nil
		}
		return &hello{from + ":" + h.Text}, nil
	}))
	link := NewLink("me", "peer", serve(t, &m), nil)
	defer link.Close()
	tests := []struct {
		name, text, want string
		kind             Kind
		err              error
	}{
		{"response", "hi", "me:hi", "echo", nil},
		{"error", "fail", "", "echo", ErrRemote},
		{"nil", "nothing", "", "echo", nil},
		{"unknown kind", "hi", "", "other", ErrRemote},
		{"large", strings.Repeat("x", 1<<20), "me:" + strings.Repeat("x", 1<<20), "echo", nil},
	}
	for _, tc := range tests {
		var got hello
		err := link.Call(context.Background(), tc.kind, hello{tc.text}, &got)
		if tc.err == nil {
			g.Expect(err).NotTo(gomega.HaveOccurred(), tc.name)
		} else {
			g.Expect(errors.Is(err, tc.err)).To(gomega.BeTrue(), tc.name)
		}
		g.Expect(got.Text).To(gomega.Equal(tc.want), tc.name)
	}
	// What has arrived may not have been counted yet.
	difference := func() int { return int(link.Bytes() - m.Bytes()) }
	g.Eventually(difference, "10s", "1ms").Should(gomega.Equal(helloBytes(t)), "both sides count the same except for the hello")
	g.Consistently(difference, "50ms", "5ms").Should(gomega.Equal(helloBytes(t)))
}

func helloBytes(t *testing.T) int {
	t.Helper()
	raw, err := encode(&envelope{Kind: kindHello, Body: []byte{0xa2, 'm', 'e'}})
	if err != nil {
		t.Fatal(err)
	}
	return len(raw)
}

func TestCallWithoutListenerIsNotSent(t *testing.T) {
	link := NewLink("me", "peer", "127.0.0.1:1", nil)
	defer link.Close()
	err := link.Call(context.Background(), "echo", hello{}, nil)
	gomega.NewWithT(t).Expect(errors.Is(err, ErrNotSent)).To(gomega.BeTrue())
}

func TestLostConnectionFailsCallsAndIsReopened(t *testing.T) {
	g := gomega.NewWithT(t)
	var m Mux
	handling := make(chan struct{}, 1)
	m.Register("hang", func(ctx context.Context, _ string, _ []byte) (any, error) {
		handling <- struct{}{}
		<-ctx.Done()
		return nil, ctx.Err()
	})
	m.Register("echo", Handle(func(_ context.Context, _ string, h *hello) (*hello, error) { return h, nil }))
	link := NewLink("me", "peer", serve(t, &m), nil)
	defer link.Close()
	failed := make(chan error, 1)
	go func() { failed <- link.Call(context.Background(), "hang", hello{}, nil) }()
	<-handling
	m.closeAll()
	g.Eventually(failed, "20s").Should(gomega.Receive(gomega.HaveOccurred()))
	var got hello
	g.Eventually(func() error { return link.Call(context.Background(), "echo", hello{"again"}, &got) }, "20s").Should(gomega.Succeed())
	g.Expect(got.Text).To(gomega.Equal("again"))
}

func TestConnectionsWithoutHelloAreRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	rejected := make(chan error, 8)
	m := Mux{OnReject: func(_ string, err error) { rejected <- err }}
	address := serve(t, &m)
	frames := [][]byte{
		[]byte("GET / HTTP/1.1\r\n\r\n"),
		{0, 0, 0, 1, 0xc0},
		{0xff, 0xff, 0xff, 0xff},
	}
	for _, f := range frames {
		c, err := net.Dial("tcp", address)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = c.Write(f)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		c.Close()
		g.Eventually(rejected, "20s").Should(gomega.Receive(gomega.HaveOccurred()))
	}
}

func FuzzDecode(f *testing.F) {
	good, err := encode(&envelope{ID: 1, Kind: "k", Body: []byte{0xc0}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(good[:len(good)-1])
	f.Add([]byte{0, 0, 0, 0})
	f.Add(binary.BigEndian.AppendUint32(nil, MaxFrame+1))
	f.Add(binary.BigEndian.AppendUint32(nil, MaxFrame))
	f.Fuzz(func(t *testing.T, raw []byte) {
		e, n, err := decode(bytes.NewReader(raw), nil)
		if err != nil {
			return
		}
		if n > len(raw) || e == nil {
			t.Fatalf("read %d of %d bytes", n, len(raw))
		}
	})
}

// A handler that panics must not end the process, since the sender repeats its request to other
// daemons, which would crash one after the other.
func TestHandlerPanicIsReturnedAsError(t *testing.T) {
	g := gomega.NewWithT(t)
	var reported atomic.Int64
	t.Cleanup(bugs.Handle(func(string, []byte) { reported.Add(1) }))
	var m Mux
	m.Register("fatal", Handle(func(context.Context, string, *hello) (*hello, error) {
		panic("unexpected state")
	}))
	m.Register("echo", Handle(func(_ context.Context, _ string, h *hello) (*hello, error) { return h, nil }))
	link := NewLink("me", "peer", serve(t, &m), nil)
	defer link.Close()
	var got hello
	g.Expect(link.Call(context.Background(), "fatal", &hello{"x"}, &got)).To(gomega.MatchError(ErrRemote))
	g.Expect(link.Call(context.Background(), "echo", &hello{"still there"}, &got)).To(gomega.Succeed())
	g.Expect(got.Text).To(gomega.Equal("still there"))
	g.Expect(reported.Load()).To(gomega.Equal(int64(1)))
}
