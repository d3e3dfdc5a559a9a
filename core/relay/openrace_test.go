package relay

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/event"
	"embertally.dev/core/roster"
	"embertally.dev/core/target"
	"embertally.dev/core/testip"
)

// darkTarget adds a target that accepts no connections: the queue of its listener is full, so that
// the kernel drops the first packets, as a box without power does.
func (r *rig) darkTarget(id, service string) *roster.Target {
	_, address := r.fullListener()
	r.roster.Put(roster.Entry{ID: id, Service: service, Address: address, Slots: 4, Weights: map[string]int64{"m": 1}})
	return r.roster.Target(id)
}

// fullListener returns the socket and the address of a listener whose queue is full.
func (r *rig) fullListener() (file *os.File, address string) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	file = os.NewFile(uintptr(fd), "listener")
	r.t.Cleanup(func() { file.Close() })
	ip := testip.IP()
	r.g.Expect(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: netip.MustParseAddr(ip).As4()})).To(gomega.Succeed())
	r.g.Expect(syscall.Listen(fd, 0)).To(gomega.Succeed())
	name, err := syscall.Getsockname(fd)
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	address = fmt.Sprint(ip, ":", name.(*syscall.SockaddrInet4).Port)
	for range 4 {
		c, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			break
		}
		r.t.Cleanup(func() { c.Close() })
	}
	return file, address
}

// A request that abandons the only target has no other one to go to, although the connection opens
// when the lost first packet is sent again, after a second.
func TestOnlyTargetIsWaitedFor(t *testing.T) {
	for _, detour := range []target.Detour{nil, detourWithout(target.ErrTargetSilent), detourWithout(target.ErrNoDetour)} {
		t.Run(fmt.Sprint(detour), func(t *testing.T) { testOnlyTargetIsWaitedFor(t, detour) })
	}
}

// detourWithout returns a detour that opens no connection.
func detourWithout(err error) target.Detour { return noDetour{err} }

type noDetour struct{ err error }

func (d noDetour) Open(context.Context, string) (net.Conn, string, error) { return nil, "", d.err }
func (noDetour) Usable(string) bool                                       { return false }
func (noDetour) RecordLost(string)                                        {}

func testOnlyTargetIsWaitedFor(t *testing.T, detour target.Detour) {
	// The lost packet is sent again a second after it, and a connection may take 1.2 s to open: a process that does not run for
	// as long as is between them, or does not listen by then, is refused the connection.
	for plays := 1; ; plays++ {
		r := newRig(t, nil)
		r.relay.options.Pool.Detour = detour
		file, address := r.fullListener()
		l, err := net.FileListener(file)
		r.g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(func() { l.Close() })
		f := &fakeTarget{id: "a", rig: r, l: l, handle: always(respond(200, "yes"))}
		r.roster.Put(roster.Entry{ID: "a", Service: "plain", Address: address, Slots: 4})
		stood := standstill()
		time.AfterFunc(600*time.Millisecond, f.loop)
		start := time.Now()
		status := r.send("POST", "/once/x", "body").status
		took := time.Since(start)
		if stood() > mayStandStill && plays < maxPlays {
			continue
		}
		r.g.Expect(status).To(gomega.Equal(200))
		r.g.Expect(took).To(gomega.BeNumerically(">", 600*time.Millisecond), "the connection opened slowly")
		r.g.Expect(r.relay.options.Stats.SlowOpens.Get()).To(gomega.BeZero())
		r.g.Expect(r.roster.Target("a").HasSlowConnections(time.Now())).To(gomega.BeFalse())
		return
	}
}

// mayStandStill is for how long the process may not run at a time without a play's being repeated.
const mayStandStill = 100 * time.Millisecond

// standstill begins to measure for how long this process does not run at a time. The function that it returns ends that and
// returns the longest time.
func standstill() (stop func() time.Duration) {
	const interval = 5 * time.Millisecond
	end, longest := make(chan struct{}), make(chan time.Duration)
	go func() {
		var most time.Duration
		for last := time.Now(); ; {
			select {
			case <-end:
				longest <- max(most, time.Since(last)-interval)
				return
			case <-time.After(interval):
			}
			most, last = max(most, time.Since(last)-interval), time.Now()
		}
	}()
	return func() time.Duration { close(end); return <-longest }
}

// Requests waited 1.2 s for a connection, one after the other, also those that may not be repeated.
// With the switch they do so again.
func TestSlowConnectionIsReplaced(t *testing.T) {
	for _, tc := range []struct {
		name     string
		disabled bool
		within   time.Duration
	}{
		{"replaced", false, 900 * time.Millisecond},
		{"switched off", true, 3 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, nil)
			r.relay.options.Disabled.OpenRace = tc.disabled
			dark := r.darkTarget("a-dark", "plain")
			for i := range 3 {
				r.target(fmt.Sprintf("b%d", i), "plain", always(respond(200, "yes")))
			}
			// The dark target looks best, since the others have work.
			for _, other := range r.roster.ByService("plain")[1:] {
				other.AddLoad(roster.Load{Running: 8})
			}
			start := time.Now()
			got := r.send("POST", "/once/x", "body")
			r.g.Expect(got.status == 200).To(gomega.Equal(!tc.disabled || time.Since(start) > time.Second))
			r.g.Expect(time.Since(start)).To(gomega.BeNumerically("<", tc.within))
			r.g.Expect(r.relay.options.Stats.SlowOpens.Get() == 0).To(gomega.Equal(tc.disabled))
			r.g.Expect(dark.HasSlowConnections(time.Now())).To(gomega.Equal(!tc.disabled))
			if tc.disabled {
				return
			}
			r.g.Expect(r.received()).To(gomega.HaveLen(1))
			r.g.Expect(r.lastLogLine(event.RequestDone)).To(gomega.ContainSubstring("a-dark=slowOpen"))
			// The next request goes elsewhere at once, and the failure is recorded in the end.
			start = time.Now()
			r.g.Expect(r.send("POST", "/once/x", "body").status).To(gomega.Equal(200))
			r.g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 100*time.Millisecond))
			r.g.Eventually(func() bool { return dark.Health(time.Now()).Suspect }, 2*time.Second).Should(gomega.BeTrue())
		})
	}
}

// One request after the other would lose the time of a probe, and one whose objective is nearly over
// cannot afford it.
func TestOneRequestProbesASlowTarget(t *testing.T) {
	r := newRig(t, nil)
	r.relay.options.Disabled.Targets = true
	dark := r.darkTarget("a-dark", "plain")
	for i := range 5 {
		r.target(fmt.Sprintf("b%d", i), "plain", always(respond(200, "yes")))
	}
	r.roster.RecordSlowOpen(dark, time.Now())
	r.g.Eventually(func() roster.SlowStatus { return dark.SlowStatus(0, time.Now()) }, time.Second, time.Millisecond).
		Should(gomega.Equal(roster.SlowProbation))
	for _, other := range r.roster.ByService("plain")[1:] {
		other.AddLoad(roster.Load{Running: 8})
	}
	before := r.relay.options.Stats.Probes.Get()
	for range 30 {
		r.g.Expect(r.send("POST", "/short/x", "").status).To(gomega.Equal(200))
	}
	r.g.Expect(r.relay.options.Stats.Probes.Get()).To(gomega.Equal(before), "it cannot afford a failed probe")
	// Without idle connections the dark target looks best, since the others have work.
	for _, other := range r.roster.ByService("plain")[1:] {
		r.relay.options.Pool.CloseIdle(other.Entry().Address)
	}
	var wg sync.WaitGroup
	for range 10 {
		wg.Go(func() {
			if got := r.send("POST", "/once/x", "body"); got.status != 200 {
				t.Errorf("status %d: %s", got.status, got.body)
			}
		})
	}
	wg.Wait()
	r.g.Expect(r.relay.options.Stats.Probes.Get()).To(gomega.Equal(before + 1))
	r.g.Expect(r.relay.options.Stats.SlowOpens.Get()).To(gomega.BeNumerically("<=", 2))
}

// A quarter of the targets became dark at once: four tries did not suffice.
func TestManyDarkTargets(t *testing.T) {
	r := newRig(t, nil)
	r.relay.options.Disabled.Targets = true
	for i := range 7 {
		r.darkTarget(fmt.Sprintf("a-dark%d", i), "plain")
	}
	for i := range 21 {
		r.target(fmt.Sprintf("b%02d", i), "plain", always(respond(200, "yes")))
	}
	for range 12 {
		r.g.Expect(r.send("POST", "/once/warm", "").status).To(gomega.Equal(200))
	}
	for _, other := range r.roster.ByService("plain")[7:] {
		other.AddLoad(roster.Load{Running: 8})
	}
	for range 10 {
		start := time.Now()
		r.g.Expect(r.send("POST", "/once/x", "body").status).To(gomega.Equal(200))
		r.g.Expect(time.Since(start)).To(gomega.BeNumerically("<", time.Second))
	}
}
