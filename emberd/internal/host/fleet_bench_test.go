package host

import (
	"context"
	"fmt"
	"io"
	"sync"
	"syscall"
	"testing"
	"time"

	"embertally.dev/core/event"
	"embertally.dev/platform/stand"
)

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// fleetHost returns daemon number n of a fleet that runs in one process. Each daemon has its own
// loopback address.
func fleetHost(b *testing.B, n int, store string) *Host {
	ip := fmt.Sprintf("127.8.%d.%d", n/200, 1+n%200)
	settings := Defaults()
	settings.Name, settings.Domain = fmt.Sprintf("box-%03d", n), fmt.Sprintf("z%d", n%4)
	settings.Callers, settings.Readiness, settings.Peers, settings.Metrics = ip+":7001", ip+":7002", ip+":7003", ip+":7004"
	settings.Store, settings.MemoryMB, settings.LogLevel = store, 128, "error"
	if faults := settings.check(); len(faults) > 0 {
		b.Fatal(faults)
	}
	h := New(settings)
	h.spool.Close()
	h.spool = event.NewSpool(io.Discard)
	return h
}

// targetsPerDaemon is the number of targets in the store for each daemon.
const targetsPerDaemon = 10

// BenchmarkFleet measures the processor time per daemon of a fleet that runs in one process with
// a store that lists ten targets per daemon: from the start of all daemons until each has found
// the others, and without load. Run it with -benchtime 1x, and with -cpuprofile for a profile.
func BenchmarkFleet(b *testing.B) {
	for _, daemons := range []int{8, 80, 300} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			for range b.N {
				measureFleet(b, daemons)
			}
		})
	}
}

const (
	// idleTime is how long the fleet is measured without load.
	idleTime = 10 * time.Second
	// maxStartTime bounds the processor time of the start of all daemons.
	maxStartTime = 100 * time.Second
)

// measureFleet starts a fleet and reports its processor time and its calls to the store.
func measureFleet(b *testing.B, daemons int) {
	store := stand.NewStore()
	defer store.Close()
	for i := range daemons * targetsPerDaemon {
		// Nothing listens at the address, since no request is sent.
		store.Put(fmt.Sprintf("servers/i-%04d", i), map[string]any{
			"Service": "llm", "Address": "127.9.0.1:9", "Zone": "z0", "Slots": 8, "State": "ready", "ColdLeftMs": 0, "CallSeq": 0,
			"Models": []map[string]any{{"Name": stand.Model, "Version": 1}},
		})
	}
	store.Configure(1, "k1")
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	start := processorTime(b)
	var hosts []*Host
	for i := range daemons {
		h := fleetHost(b, i, store.Address())
		hosts = append(hosts, h)
		wg.Go(func() {
			if err := h.Run(ctx); err != nil {
				b.Error(err)
			}
		})
	}
	for _, h := range hosts {
		for len(h.fleet.View().Peers()) < daemons-1 || h.notReadyReason() != "" {
			if processorTime(b)-start > maxStartTime {
				b.Fatalf("%s has found %d peers; not ready: %q", h.settings.Name, len(h.fleet.View().Peers()), h.notReadyReason())
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	ready := processorTime(b)
	time.Sleep(idleTime)
	end := processorTime(b)
	perDaemon := float64(daemons) * float64(time.Millisecond)
	b.ReportMetric(float64(ready-start)/perDaemon, "ms-start/daemon")
	b.ReportMetric(float64(end-ready)/perDaemon/idleTime.Seconds(), "ms-rest/daemon/s")
	b.ReportMetric(float64(store.Calls())/float64(daemons), "calls/daemon")
}
