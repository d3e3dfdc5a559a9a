package target

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"embertally.dev/core/testip"
)

// An answer without a length that the box in between cut off must not look whole.
func TestEndOfDetourIsNotTheEndOfTheAnswer(t *testing.T) {
	for _, tc := range []struct {
		name string
		sent []byte
		want error
	}{
		{"closed by the target", []byte{0, 2, 'o', 'k', 0, 0}, nil},
		{"reset by the target", []byte{0, 2, 'o', 'k', 0xff, 0xff}, syscall.ECONNRESET},
		{"cut after a chunk", []byte{0, 2, 'o', 'k'}, ErrDetourLost},
		{"cut in a chunk", []byte{0, 5, 'o', 'k'}, ErrDetourLost},
		{"cut in a header", []byte{0, 2, 'o', 'k', 0}, ErrDetourLost},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			got, err := io.ReadAll(NewDetourReader(bytes.NewReader(tc.sent)))
			g.Expect(string(got)).To(gomega.Equal("ok"))
			g.Expect(errors.Is(err, tc.want)).To(gomega.BeTrue(), "%v", err)
		})
	}
}

// fakeDetour is another box that reaches targets by their addresses, which are their names too.
type fakeDetour struct {
	// err is the result if no connection is opened.
	err    error
	opened atomic.Int32
}

func (d *fakeDetour) Open(_ context.Context, address string) (net.Conn, string, error) {
	if d.err != nil {
		return nil, "", d.err
	}
	d.opened.Add(1)
	to, err := net.Dial("tcp", address)
	if err != nil {
		return nil, "", errors.WithStack(ErrTargetRefused)
	}
	l, err := testip.Listen()
	if err != nil {
		return nil, "", err
	}
	defer l.Close()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		return nil, "", err
	}
	box, err := l.Accept()
	if err != nil {
		return nil, "", err
	}
	go func() {
		ForwardResponses(box, to, &Writes{}, nil)
		box.Close()
	}()
	go func() {
		// An error means that the connection has ended.
		_, _ = io.Copy(to, box)
		to.Close()
	}()
	return conn, "box", nil
}

func (*fakeDetour) Usable(string) bool { return true }

func (*fakeDetour) RecordLost(string) {}

// pathRig is a pool with targets whose direct paths a test breaks: the pool knows each target by the
// address of its path.
type pathRig struct {
	t      *testing.T
	g      *gomega.WithT
	pool   *Pool
	detour *fakeDetour
	// paths are the addresses of the paths, and targets those behind them.
	paths, targets []string
	listeners      []net.Listener
}

func newPathRig(t *testing.T, targets int) *pathRig {
	r := &pathRig{t: t, g: gomega.NewWithT(t), detour: &fakeDetour{}}
	r.pool = &Pool{Detour: r.detour}
	for range targets {
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "yes") })}
		for _, addresses := range []*[]string{&r.paths, &r.targets} {
			l, err := testip.Listen()
			r.g.Expect(err).NotTo(gomega.HaveOccurred())
			*addresses = append(*addresses, l.Addr().String())
			if addresses == &r.paths {
				r.listeners = append(r.listeners, l)
			}
			go server.Serve(l)
		}
		t.Cleanup(func() { server.Close() })
	}
	return r
}

// listen restores the path at an address.
func (r *pathRig) listen(address string) {
	l, err := net.Listen("tcp", address)
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "yes") })}
	go server.Serve(l)
	r.t.Cleanup(func() { server.Close() })
}

// send sends a request to a target and returns the box by way of which it was answered.
func (r *pathRig) send(i int) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	resp, err := r.pool.Send(ctx, r.paths[i], &Request{
		Method: "GET", URI: "/", Host: "h", Header: http.Header{}, Target: r.targets[i], ReplaceSlowOpen: true,
	})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	r.g.Expect(string(body)).To(gomega.Equal("yes"))
	return resp.Box(), err
}

func TestRequestsReturnToTheDirectPath(t *testing.T) {
	r := newPathRig(t, 3)
	for i := range r.paths {
		box, err := r.send(i)
		r.g.Expect(err).NotTo(gomega.HaveOccurred())
		r.g.Expect(box).To(gomega.BeEmpty())
	}
	for i := range r.paths {
		r.listeners[i].Close()
		r.pool.CloseIdle(r.paths[i])
	}
	failed := 0
	for n := range 12 {
		box, err := r.send(n % 3)
		if err != nil {
			r.g.Expect(Unverified(err)).To(gomega.BeTrue())
			failed++
			continue
		}
		r.g.Expect(box).To(gomega.Equal("box"))
	}
	r.g.Expect(failed).To(gomega.BeNumerically("<=", 1), "the first failure is not evidence of a partition")
	r.g.Expect(r.pool.Partitioned()).To(gomega.BeTrue())
	for i, address := range r.paths {
		r.listen(address)
		r.g.Eventually(func() (string, error) { return r.send(i) }, "10s", "20ms").Should(gomega.BeEmpty())
	}
	r.g.Eventually(r.pool.BrokenPaths, "10s").Should(gomega.BeZero())
	r.g.Expect(r.pool.Partitioned()).To(gomega.BeFalse())
}

// A refused connection at a partitioned box was taken for a crash of the target.
func TestConnectionRefusedHereIsNotRefusedByTheTarget(t *testing.T) {
	for _, tc := range []struct {
		name    string
		detour  error
		refused bool
	}{
		{"another box connects", nil, false},
		{"another box is refused", ErrTargetRefused, true},
		{"no other box can tell", errors.New("none reaches it"), false},
		{"there is no other box", ErrNoDetour, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newPathRig(t, 1)
			r.listeners[0].Close()
			r.detour.err = tc.detour
			err := r.pool.Connect(context.Background(), r.paths[0], r.targets[0])
			r.g.Expect(errors.Is(err, syscall.ECONNREFUSED)).To(gomega.Equal(tc.refused), "%v", err)
			r.g.Expect(err == nil).To(gomega.Equal(tc.detour == nil))
		})
	}
}

func TestVerdictOnATargetThatRefusesHere(t *testing.T) {
	for _, tc := range []struct {
		name   string
		detour error
		want   error
	}{
		{"reachable", nil, nil},
		{"refused", ErrTargetRefused, syscall.ECONNREFUSED},
		{"silent", ErrTargetSilent, ErrTargetSilent},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newPathRig(t, 2)
			_, err := r.send(0)
			r.g.Expect(err).NotTo(gomega.HaveOccurred())
			r.listeners[1].Close()
			r.detour.err = tc.detour
			verdict := make(chan error, 1)
			_, err = r.pool.Send(context.Background(), r.paths[1], &Request{
				Method: "GET", URI: "/", Header: http.Header{}, Target: r.targets[1], OnVerdict: func(err error) { verdict <- err },
			})
			r.g.Expect(Unverified(err)).To(gomega.BeTrue())
			var got error
			r.g.Eventually(verdict, "10s").Should(gomega.Receive(&got))
			r.g.Expect(errors.Is(got, tc.want)).To(gomega.BeTrue(), "%v", got)
		})
	}
}

// A path that requests had no need of, as open connections sufficed or other targets did, stayed broken.
func TestBrokenPathIsFoundToWorkWithoutARequestThatNeedsIt(t *testing.T) {
	r := newPathRig(t, 2)
	for i := range r.paths {
		_, err := r.send(i)
		r.g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	r.listeners[0].Close()
	r.pool.pathFailed(r.paths[0], time.Now(), syscall.ECONNREFUSED)
	// The box is not partitioned.
	_, err := r.send(1)
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.pool.poolMu.Lock()
	r.pool.addresses[r.paths[0]].path.wantedAt = time.Time{}
	r.pool.poolMu.Unlock()
	time.Sleep(4 * probeEvery)
	r.g.Expect(r.pool.BrokenPaths()).To(gomega.Equal(1))
	r.listen(r.paths[0])
	r.g.Eventually(r.pool.BrokenPaths, "30s").Should(gomega.BeZero())
}

// At a quiet box two targets that crash at once look like a partition, which peers at rest can't deny.
func TestSoundTargetIsReachedWhileABoxWronglyCountsAsPartitioned(t *testing.T) {
	r := newPathRig(t, 3)
	for i := range r.paths {
		_, err := r.send(i)
		r.g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	r.detour.err = errors.New("none can tell")
	for i := range 2 {
		r.listeners[i].Close()
		r.pool.CloseIdle(r.paths[i])
		r.pool.pathFailed(r.paths[i], time.Now(), syscall.ECONNREFUSED)
	}
	r.g.Expect(r.pool.Partitioned()).To(gomega.BeTrue())
	box, err := r.send(2)
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.g.Expect(box).To(gomega.BeEmpty())
	r.g.Expect(r.pool.Partitioned()).To(gomega.BeFalse())
}

// A box that was cut off from all targets of one service still reached another service's, took its network to work, and
// told other boxes that the targets it was cut off from were dead.
func TestBoxWithManyFailingPathsGivesNoVerdict(t *testing.T) {
	const targets = 6
	for _, tc := range []struct {
		name    string
		failing int
		// tells reports whether a failure to connect is to be a verdict on the target.
		tells bool
	}{
		{"one", 1, true},
		{"two", 2, true},
		{"half", 3, true},
		{"most", 4, false},
		{"all but one", 5, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newPathRig(t, targets)
			for i := range r.paths {
				_, err := r.send(i)
				r.g.Expect(err).NotTo(gomega.HaveOccurred())
			}
			for i := range tc.failing {
				r.listeners[i].Close()
				r.pool.CloseIdle(r.paths[i])
				r.pool.pathFailed(r.paths[i], time.Now(), os.ErrDeadlineExceeded)
			}
			r.g.Eventually(func() error { _, err := r.send(targets - 1); return err }).Should(gomega.Succeed())
			_, err := r.pool.Dial(context.Background(), r.paths[0])
			r.g.Expect(err).To(gomega.HaveOccurred())
			r.g.Expect(aboutTarget(err)).To(gomega.Equal(tc.tells), "%v", err)
		})
	}
}

func TestFailuresThatBeganBeforeAnArrivalAreNoPartition(t *testing.T) {
	r := newPathRig(t, 3)
	for i := range r.paths {
		_, err := r.send(i)
		r.g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	began := time.Now()
	time.Sleep(time.Millisecond)
	r.pool.pathWorks(r.paths[0])
	for _, path := range r.paths {
		r.pool.pathFailed(path, began, os.ErrDeadlineExceeded)
	}
	r.g.Expect(r.pool.Partitioned()).To(gomega.BeFalse(), "the attempts began before the box was seen to reach a target")
	r.g.Expect(r.pool.BrokenPaths()).To(gomega.Equal(2), "a path that has worked since is not broken")
	began = time.Now()
	for _, path := range r.paths {
		r.pool.pathFailed(path, began, os.ErrDeadlineExceeded)
	}
	r.g.Expect(r.pool.Partitioned()).To(gomega.BeTrue())
	time.Sleep(time.Millisecond)
	for _, path := range r.paths {
		r.pool.pathWorks(path)
	}
	for _, path := range r.paths {
		r.pool.pathFailed(path, began, os.ErrDeadlineExceeded)
	}
	r.g.Expect(r.pool.BrokenPaths()).To(gomega.BeZero(), "the attempts began while the box was partitioned")
}
