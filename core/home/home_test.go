package home

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/cache"
	"embertally.dev/core/conf"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/route"
	"embertally.dev/core/target"
)

var baseTime = time.Unix(1000, 0)

func TestLoadsCountPendingRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	var l loads
	l.set(workerLoad{Worker: "w", Queued: []int{100, 0, 50}, Total: 300, Weights: []string{}}, baseTime)
	tests := []struct{ priority, tokensAhead int }{{0, 150}, {1, 50}, {2, 50}, {3, 0}, {9, 0}}
	for _, tc := range tests {
		w, ok := l.load("w", tc.priority, baseTime)
		g.Expect(ok).To(gomega.BeTrue())
		g.Expect(w.tokensAhead).To(gomega.Equal(tc.tokensAhead), fmt.Sprint("priority ", tc.priority))
	}
	l.addPending("w", pendingRequest{request: "r", tokens: 1000, blocks: 16, priority: 1, at: baseTime})
	w, _ := l.load("w", 1, baseTime)
	g.Expect([]int{w.tokensAhead, w.availableBlocks}).To(gomega.Equal([]int{1050, 284}))
	w, _ = l.load("w", 2, baseTime)
	g.Expect(w.tokensAhead).To(gomega.Equal(50), "requests of a lower priority do not delay")

	l.set(workerLoad{Worker: "w", Queued: []int{0, 1000}, Total: 300}, baseTime.Add(reportLag/2))
	w, _ = l.load("w", 1, baseTime.Add(reportLag/2))
	g.Expect(w.tokensAhead).To(gomega.Equal(2000),
		"a report that may not include the request does not remove it from pending")
	l.removePending("w", "r")
	w, _ = l.load("w", 1, baseTime.Add(reportLag/2))
	g.Expect(w.tokensAhead).To(gomega.Equal(1000))
}

func TestLoadsOfStaleOrFailedWorkersAreIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	var l loads
	l.set(workerLoad{Worker: "w", Weights: []string{"m@v1"}}, baseTime)
	_, ok := l.load("w", 0, baseTime.Add(maxReportAge+time.Second))
	g.Expect(ok).To(gomega.BeFalse())
	l.markFailed("w", baseTime)
	_, ok = l.load("w", 0, baseTime)
	g.Expect(ok).To(gomega.BeFalse())
	_, ok = l.load("w", 0, baseTime.Add(2*failureBackoff))
	g.Expect(ok).To(gomega.BeTrue())
	_, ok = l.load("v", 0, baseTime)
	g.Expect(ok).To(gomega.BeFalse())
	ready, total := l.ready([]string{"w", "v"}, "m@v1", baseTime)
	g.Expect([]int{ready, total}).To(gomega.Equal([]int{1, 1}))
	g.Expect(l.set(workerLoad{Worker: "w", AgeMillis: 60000}, baseTime)).To(gomega.BeFalse(),
		"an older report is ignored")
}

func TestLoadsSendOnlyChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	var local, remote loads
	report := workerLoad{Worker: "w", Running: 3, Weights: []string{"m@v1"}}
	local.setFollowed(report, time.Now())
	raw, err := msgpack.Marshal(local.Collect(false))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	remote.Receive("peer", raw)
	w, ok := remote.load("w", 0, time.Now())
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(w.Running).To(gomega.Equal(3))
	local.setFollowed(report, time.Now())
	g.Expect(local.Collect(false)).To(gomega.BeNil(), "nothing changed")
	report.Running = 4
	local.setFollowed(report, time.Now())
	raw, err = msgpack.Marshal(local.Collect(false))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	remote.Receive("peer", raw)
	w, _ = remote.load("w", 0, time.Now())
	g.Expect(w.Running).To(gomega.Equal(4))
	g.Expect(w.Weights).To(gomega.Equal([]string{"m@v1"}), "weights are sent once and kept")
	g.Expect(local.Collect(true)).To(gomega.HaveLen(1))
	local.unfollow("w")
	g.Expect(local.Collect(true)).To(gomega.BeNil())
	remote.Receive("peer", []byte("no message"))
}

func TestLinksGrantAndReleaseTransfers(t *testing.T) {
	g := gomega.NewWithT(t)
	var l links
	ctx := context.Background()
	var grants []linkGrant
	for range 4 {
		grant, err := l.acquire(ctx, &linkRequest{Store: "s", Organisation: "o", Bytes: 1 << 20, Waiting: true})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		grants = append(grants, grant)
	}
	backlog, rate := l.state("s", 7)
	g.Expect(backlog).To(gomega.Equal(int64(4 << 20)))
	g.Expect(rate).To(gomega.Equal(7.0), "not measured yet")
	shortCtx, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	_, err := l.acquire(shortCtx, &linkRequest{Store: "s", Organisation: "o", Bytes: 1, Waiting: true})
	g.Expect(err).To(gomega.MatchError(context.DeadlineExceeded), "no transfer was released")
	for _, grant := range grants {
		l.release(&linkRelease{Store: "s", ID: grant.ID, Bytes: 1 << 20, Took: time.Second})
		l.release(&linkRelease{Store: "s", ID: grant.ID, Bytes: 1 << 20, Took: time.Second})
	}
	backlog, rate = l.state("s", 7)
	g.Expect(backlog).To(gomega.BeZero())
	g.Expect(rate).To(gomega.Equal(float64(1 << 20)))
}

// A manifest matches only under the salt of the request, and only up to the first different
// block.
func TestMatchingBlocks(t *testing.T) {
	salt := cache.Salt{Organisation: "o", Model: "m", WeightVersion: "v1"}
	chain := cache.Chain(salt.Seed(), strings.Repeat("x", 4*cache.BlockBytes))
	blocks := func(hashes ...cache.Hash) []target.Block {
		var out []target.Block
		for _, h := range hashes {
			out = append(out, target.Block{Hash: h})
		}
		return out
	}
	otherOrg, otherVersion := salt, salt
	otherOrg.Organisation, otherVersion.WeightVersion = "rival", "v2"
	tests := []struct {
		name     string
		manifest *target.Manifest
		want     int
	}{
		{"none", nil, 0},
		{"whole", &target.Manifest{Salt: salt, Blocks: blocks(chain...)}, 4},
		{"shorter", &target.Manifest{Salt: salt, Blocks: blocks(chain[:2]...)}, 2},
		{"longer", &target.Manifest{Salt: salt, Blocks: blocks(append(chain[:4:4], chain[0])...)}, 4},
		{"different after two blocks", &target.Manifest{Salt: salt, Blocks: blocks(chain[0], chain[1], chain[3])}, 2},
		{"another organisation's salt", &target.Manifest{Salt: otherOrg, Blocks: blocks(chain...)}, 0},
		{"another weight version", &target.Manifest{Salt: otherVersion, Blocks: blocks(chain...)}, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			got := matchingBlocks(tc.manifest, &PlacementRequest{Salt: salt, Chain: chain})
			gomega.NewWithT(t).Expect(got).To(gomega.Equal(tc.want))
		})
	}
}

func TestVersionOf(t *testing.T) {
	tests := []struct {
		weights, model, want string
		ok                   bool
	}{
		{"m@v1", "m", "v1", true},
		{"m@v1+a", "m", "", false},
		{"mm@v1", "m", "", false},
		{"m", "m", "", false},
	}
	for _, tc := range tests {
		got, ok := versionOf(tc.weights, tc.model)
		gomega.NewWithT(t).Expect([]any{got, ok}).To(gomega.Equal([]any{tc.want, tc.ok}), tc.weights)
	}
}

// A heartbeat that contains only changes and was meant for the previous daemon process of a
// box must be ignored by its successor: without the weights the worker would count as
// holding none until the next full heartbeat.
func TestFirstReportWithoutWeightsIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	var l loads
	l.set(workerLoad{Worker: "w", Running: 1}, baseTime)
	_, ok := l.load("w", 0, baseTime)
	g.Expect(ok).To(gomega.BeFalse())
	l.set(workerLoad{Worker: "w", Running: 1, Weights: []string{"m@v1"}, AgeMillis: 1}, baseTime)
	w, ok := l.load("w", 0, baseTime)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(w.Weights).To(gomega.Equal([]string{"m@v1"}))
	l.set(workerLoad{Worker: "w", Running: 2}, baseTime.Add(time.Second))
	w, _ = l.load("w", 0, baseTime.Add(time.Second))
	g.Expect(w.Weights).To(gomega.Equal([]string{"m@v1"}))
}

// Peers list a daemon that has just started before it has the load of the workers. It must
// not respond that there is no worker.
func TestNewDaemonDoesNotPlaceRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	f := fleet.New(fleet.Options{Name: "me", Log: &event.Log{}})
	store := conf.NewStore(&event.Log{})
	spec := func(s string) json.RawMessage { return json.RawMessage(s) }
	store.Replace(conf.Full{Seq: 2, Resources: []conf.Change{
		{Seq: 1, Kind: conf.KindDeployment, Name: "d", Spec: spec(`{"model":"m","weightVersion":"v1"}`)},
		{Seq: 2, Kind: conf.KindTarget, Name: "w", Spec: spec(`{"type":"engine","url":"http://127.0.0.1:1","deployments":["d"]}`)},
	}})
	h := New(Options{Placement: route.LowestCost, Conf: store, Fleet: f, Log: &event.Log{}})
	req := &PlacementRequest{
		Deployment: "d", Salt: cache.Salt{Organisation: "o", Model: "m", WeightVersion: "v1"},
		Tokens: 10,
	}
	_, err := h.Place(context.Background(), f.View(), req)
	g.Expect(err).To(gomega.MatchError(errNotWarmedUp))
	h.loads.set(workerLoad{Worker: "w", Weights: []string{"m@v1"}, Speed: 8000}, time.Now())
	ans, err := h.Place(context.Background(), f.View(), req)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(ans.Worker).To(gomega.Equal("w"))
}

// Peers query a daemon as soon as they discover it, possibly before it has received its
// configuration.
func TestUnconfiguredDaemonDoesNotPlaceRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	h := New(Options{
		Placement: route.LowestCost, Conf: conf.NewStore(&event.Log{}),
		Fleet: fleet.New(fleet.Options{Name: "me", Log: &event.Log{}}), Log: &event.Log{},
	})
	_, err := h.place(context.Background(), "peer", &PlacementRequest{Chain: []cache.Hash{{1}}})
	g.Expect(err).To(gomega.MatchError(errNotWarmedUp))
	g.Expect(h.WarmedUp()).To(gomega.BeFalse())
}
