package order

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/clock"
	"embertally.dev/core/conf"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/home"
	"embertally.dev/core/lease"
	"embertally.dev/core/memkv"
	"embertally.dev/core/testip"
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
			engine := testip.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { sent.Add(1) }))
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

// reportedWorkers are workers with the same report, made at a time; there is none while it is zero.
type reportedWorkers struct {
	names   []string
	at      clock.Time
	loading bool
}

func (w *reportedWorkers) Workers(*conf.Snapshot, *fleet.View) []string { return w.names }

func (w *reportedWorkers) WorkerStatus(string) (home.WorkerStatus, bool) {
	return home.WorkerStatus{LoadedWeights: []string{"m@v1"}, Loading: w.loading, Age: clock.Since(w.at)}, !w.at.IsZero()
}

// A version was withdrawn right after a worker had been ordered to load it: by a report from before the order the load
// counted as over, and others began beside it.
func TestALoadThatMayStillBeginKeepsItsSlot(t *testing.T) {
	tests := []struct {
		name string
		// wait is the time from the withdrawal of the version to the last report, which is older by age.
		wait, age       time.Duration
		loading, silent bool
		want            int64 // workers that have got an order once the next version is named
	}{
		{"a report from before the order", 0, time.Second, false, false, 1},
		{"a report from before the order, and no other until it has expired", orderTTL, orderTTL + time.Second, false, false, 1},
		{"a report from before the order expired", orderTTL / 2, 0, false, false, 1},
		{"no report before the order expired", orderTTL / 2, 0, false, true, 1},
		{"no report", orderTTL + time.Second, 0, false, true, 2},
		{"the load has begun", 2 * orderTTL, 0, true, false, 1},
		{"the order has expired unseen", orderTTL + time.Second, 0, false, false, 2},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var ordered atomic.Int64
			engine := testip.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ordered.Add(1) }))
			t.Cleanup(engine.Close)
			store, seq := conf.NewStore(&event.Log{}), uint64(0)
			set := func(kind conf.Kind, name, spec string) conf.Change {
				seq++
				return conf.Change{Seq: seq, Kind: kind, Name: name, Spec: json.RawMessage(spec)}
			}
			deployment := func(version string) conf.Change {
				return set(conf.KindDeployment, "d", fmt.Sprintf(`{"model":"m","weightVersion":%q,"maxLoads":1}`, version))
			}
			resources := []conf.Change{deployment("v1")}
			w := &reportedWorkers{names: []string{"w1", "w2"}, at: clock.Now()}
			for _, name := range w.names {
				resources = append(resources, set(conf.KindTarget, name, fmt.Sprintf(`{"type":"engine","url":%q,"deployments":["d"],"checksFence":true}`, engine.URL)))
			}
			store.Replace(conf.Full{Seq: seq, Resources: resources})
			h := New(Options{
				Name: "me", Conf: store, Fleet: fleet.New(fleet.Options{Name: "me", Log: &event.Log{}}), Workers: w,
				KV: &memkv.KV{}, Log: &event.Log{}, Client: engine.Client(),
			})
			step := func() { h.step(context.Background()) }
			store.Apply([]conf.Change{deployment("v2")})
			step()
			g.Expect(ordered.Load()).To(gomega.Equal(int64(1)))
			store.Apply([]conf.Change{deployment("v1")})
			clock.Suspend(tc.wait)
			if w.at, w.loading = clock.Now().Add(-tc.age), tc.loading; tc.silent {
				w.at = clock.Time{}
			}
			step()
			if w.names = []string{"w2"}; tc.silent {
				w.at = clock.Now()
			}
			store.Apply([]conf.Change{deployment("v3")})
			step()
			g.Expect(ordered.Load()).To(gomega.Equal(tc.want))
		})
	}
}
