package relay

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"embertally.dev/core/roster"
)

// A box that reaches no target said "no target answers" where one of them had been passed over before the
// others were tried, as if the targets were dead.
func TestRefusalOfAPartitionedBoxNamesTheBox(t *testing.T) {
	r := newRig(t, nil)
	box := &otherBox{}
	r.relay.options.Pool.Detour = box
	for _, id := range []string{"a", "b", "c"} {
		r.target(id, "plain", always(respond(http.StatusOK, "yes")))
		box.hide(r, id)
		box.addresses.Store(id, "127.0.0.1:1")
	}
	r.g.Eventually(func() bool {
		r.send(http.MethodPost, "/once/x", "x")
		return r.relay.options.Pool.Partitioned()
	}, "10s", "20ms").Should(gomega.BeTrue())
	for _, id := range []string{"a", "b", "c"} {
		r.roster.Target(id).RecordNoResponse(time.Now())
	}
	got := r.send(http.MethodPost, "/once/x", "x")
	r.g.Expect(got.status).To(gomega.Equal(http.StatusServiceUnavailable))
	r.g.Expect(got.body).To(gomega.ContainSubstring("this box reaches no target"))
}

// recoveringDetour opens no connection, and says so only once the box's own paths work again.
type recoveringDetour struct {
	noDetour
	// waits is set once connections are to be waited for. Each asks, and then waits until recovered is closed.
	waits     atomic.Bool
	asked     chan struct{}
	recovered chan struct{}
}

func (d *recoveringDetour) Open(context.Context, string) (net.Conn, string, error) {
	if d.waits.Load() {
		d.asked <- struct{}{}
		<-d.recovered
	}
	return nil, "", d.err
}

// Guards against a box that goes on refusing requests when its paths are back: attempts that began before counted against
// the targets if they ended when the box no longer counted as partitioned.
func TestRequestsThatBeganInAPartitionDoNotCountAgainstTargets(t *testing.T) {
	r := newRig(t, nil)
	box := &recoveringDetour{noDetour: noDetour{errors.New("no other box reaches the target")}, asked: make(chan struct{}, 1), recovered: make(chan struct{})}
	pool := r.relay.options.Pool
	pool.Detour = box
	served, other := r.target("a", "plain", always(respond(http.StatusOK, "yes"))), r.target("b", "llm", always(reject))
	for _, target := range []*fakeTarget{served, other} {
		target.l.Close()
		_, err := pool.Dial(t.Context(), target.l.Addr().String())
		r.g.Expect(err).To(gomega.HaveOccurred())
	}
	r.g.Expect(pool.Partitioned()).To(gomega.BeTrue())
	box.waits.Store(true)
	chosen := r.roster.Target("a")
	p := r.request(http.MethodPost, "/once/")
	p.deadline = time.Now().Add(time.Minute)
	ended := make(chan outcome)
	go func() {
		out, _ := p.attempt(t.Context(), &choice{target: chosen, load: roster.Load{Running: 1}})
		ended <- out
	}()
	<-box.asked
	other.listenAgain()
	r.g.Eventually(pool.Partitioned, waitTimeout, pollInterval).Should(gomega.BeFalse())
	close(box.recovered)
	r.g.Expect(<-ended).To(gomega.Equal(outcomeNotSent))
	r.g.Expect(chosen.Health(time.Now()).Suspect).To(gomega.BeFalse())
}

// Guards against a box that goes on refusing requests when all its paths are back: targets to which it had found no path
// were passed over for as long as their failures in a row had lasted.
func TestTargetsAreUsedOnceTheirPathsAreBack(t *testing.T) {
	r := newRig(t, nil)
	pool := r.relay.options.Pool
	pool.Detour = noDetour{errors.New("no other box reaches the target")}
	r.target("b", "plain", always(respond(http.StatusOK, "yes")))
	r.g.Expect(r.send(http.MethodPost, "/once/x", "x").status).To(gomega.Equal(http.StatusOK))
	lost := r.target("a", "plain", always(respond(http.StatusOK, "yes")))
	lost.l.Close()
	target := r.roster.Target("a")
	const attempts = 5
	for range attempts {
		p := r.request(http.MethodPost, "/once/")
		p.deadline = time.Now().Add(time.Minute)
		out, _ := p.attempt(t.Context(), &choice{target: target, load: roster.Load{Running: 1}})
		r.g.Expect(out).To(gomega.Equal(outcomeNotSent))
	}
	r.g.Expect(pool.Partitioned()).To(gomega.BeFalse())
	r.g.Expect(target.Health(time.Now()).Suspect).To(gomega.BeTrue())
	lost.listenAgain()
	r.g.Eventually(pool.BrokenPaths, waitTimeout, pollInterval).Should(gomega.BeZero())
	r.g.Eventually(func() bool { return target.Health(time.Now()).Suspect }, "100ms", pollInterval).Should(gomega.BeFalse())
}
