package order

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/clock"
	"embertally.dev/core/conf"
	"embertally.dev/core/event"
	"embertally.dev/core/home"
	"embertally.dev/core/lease"
	"embertally.dev/core/memkv"
	"embertally.dev/core/nettest"
)

// idleWorkers are workers that load nothing.
type idleWorkers struct{ workers }

func (idleWorkers) WorkerStatus(string) (home.WorkerStatus, bool) { return home.WorkerStatus{}, true }

func TestNoOrderIsSentAfterItExpiredDuringASystemSuspend(t *testing.T) {
	tests := []struct {
		name    string
		suspend time.Duration
		sent    int64
	}{
		{"no suspend", 0, 1},
		{"short", orderTTL / 2, 1},
		{"until the order has expired", orderTTL, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var sent atomic.Int64
			engine := nettest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { sent.Add(1) }))
			t.Cleanup(engine.Close)
			kv := &memkv.KV{}
			h := New(Options{Name: "a", Workers: idleWorkers{}, KV: kv, Log: &event.Log{}, Client: engine.Client()})
			var err error
			h.lease, err = lease.Take(context.Background(), kv, KeyPrefix+"cell/0", "a")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			kv.SetFault(func() memkv.Fault {
				clock.Suspend(tc.suspend)
				return memkv.NoFault
			})
			w := wantedLoad{"w", &conf.Target{URL: engine.URL, ChecksFence: true}, "d", &conf.Deployment{Model: "m", WeightVersion: "2"}}
			slots := h.startLoad(context.Background(), w, nil)
			g.Expect(slots).To(gomega.HaveLen(1), "the slot is taken")
			g.Expect(sent.Load()).To(gomega.Equal(tc.sent))
		})
	}
}
