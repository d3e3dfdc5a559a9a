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

var start = time.Unix(1000, 0)

func TestLoadsCountWhatReportsCannotShowYet(t *testing.T) {
	g := gomega.NewWithT(t)
	var l loads
	l.set(workerLoad{Worker: "w", Queued: []int{100, 0, 50}, Total: 300, Holds: []string{}}, start)
	tests := []struct{ priority, waiting int }{{0, 150}, {1, 50}, {2, 50}, {3, 0}, {9, 0}}
	for _, tc := range tests {
		w, ok := l.load("w", tc.priority, start)
		g.Expect(ok).To(gomega.BeTrue())
		g.Expect(w.waiting).To(gomega.Equal(tc.waiting), fmt.Sprint("priority ", tc.priority))
	}
	l.place("w", placed{request: "r", tokens: 1000, blocks: 16, priority: 1, at: start})
	w, _ := l.load("w", 1, start)
	g.Expect([]int{w.waiting, w.room}).To(gomega.Equal([]int{1050, 284}))
	w, _ = l.load("w", 2, start)
	g.Expect(w.waiting).To(gomega.Equal(50), "a lower priority does not delay")

	l.set(workerLoad{Worker: "w", Queued: []int{0, 1000}, Total: 300}, start.Add(reportLag/2))
	w, _ = l.load("w", 1, start.Add(reportLag/2))
	g.Expect(w.waiting).To(gomega.Equal(2000), "a report that may not show it yet does not end the correction")
	l.done("w", "r")
	w, _ = l.load("w", 1, start.Add(reportLag/2))
	g.Expect(w.waiting).To(gomega.Equal(1000))
}

func TestLoadsOfSilentOrFailedWorkersDoNotCount(t *testing.T) {
	g := gomega.NewWithT(t)
	var l loads
	l.set(workerLoad{Worker: "w", Holds: []string{"m@v1"}}, start)
	_, ok := l.load("w", 0, start.Add(staleAfter+time.Second))
	g.Expect(ok).To(gomega.BeFalse())
	l.fail("w", start)
	_, ok = l.load("w", 0, start)
	g.Expect(ok).To(gomega.BeFalse())
	_, ok = l.load("w", 0, start.Add(2*failPause))
	g.Expect(ok).To(gomega.BeTrue())
	_, ok = l.load("v", 0, start)
	g.Expect(ok).To(gomega.BeFalse())
	ready, total := l.holds([]string{"w", "v"}, "m@v1", start)
	g.Expect([]int{ready, total}).To(gomega.Equal([]int{1, 1}))
	g.Expect(l.set(workerLoad{Worker: "w", AgeMillis: 60000}, start)).To(gomega.BeFalse(), "an older report is passed over")
}

func TestLoadsTellOnlyWhatChanged(t *testing.T) {
	g := gomega.NewWithT(t)
	var mine, theirs loads
	report := workerLoad{Worker: "w", Running: 3, Holds: []string{"m@v1"}}
	mine.setOwn(report, time.Now())
	raw, err := msgpack.Marshal(mine.Collect(false))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	theirs.Receive("peer", raw)
	w, ok := theirs.load("w", 0, time.Now())
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(w.Running).To(gomega.Equal(3))
	mine.setOwn(report, time.Now())
	g.Expect(mine.Collect(false)).To(gomega.BeNil(), "nothing new")
	report.Running = 4
	mine.setOwn(report, time.Now())
	raw, err = msgpack.Marshal(mine.Collect(false))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	theirs.Receive("peer", raw)
	w, _ = theirs.load("w", 0, time.Now())
	g.Expect(w.Running).To(gomega.Equal(4))
	g.Expect(w.Holds).To(gomega.Equal([]string{"m@v1"}), "weights are told once")
	g.Expect(mine.Collect(true)).To(gomega.HaveLen(1))
	mine.disown("w")
	g.Expect(mine.Collect(true)).To(gomega.BeNil())
	theirs.Receive("peer", []byte("no message"))
}

func TestLinksGiveTurnsAndTakeThemBack(t *testing.T) {
	g := gomega.NewWithT(t)
	var l links
	ctx := context.Background()
	var turns []linkTurn
	for range 4 {
		turn, err := l.ask(ctx, &linkAsk{Store: "s", Organisation: "o", Bytes: 1 << 20, Waiting: true})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		turns = append(turns, turn)
	}
	backlog, rate := l.state("s", 7)
	g.Expect(backlog).To(gomega.Equal(int64(4 << 20)))
	g.Expect(rate).To(gomega.Equal(7.0), "not measured yet")
	short, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	_, err := l.ask(short, &linkAsk{Store: "s", Organisation: "o", Bytes: 1, Waiting: true})
	g.Expect(err).To(gomega.MatchError(context.DeadlineExceeded), "nobody ended a transfer")
	for _, turn := range turns {
		l.end(&linkDone{Store: "s", ID: turn.ID, Bytes: 1 << 20, Took: time.Second})
		l.end(&linkDone{Store: "s", ID: turn.ID, Bytes: 1 << 20, Took: time.Second})
	}
	backlog, rate = l.state("s", 7)
	g.Expect(backlog).To(gomega.BeZero())
	g.Expect(rate).To(gomega.Equal(float64(1 << 20)))
}

// A manifest names only what is the asker's own and in order.
func TestFitting(t *testing.T) {
	salt := cache.Salt{Organisation: "o", Model: "m", WeightVersion: "v1"}
	chain := cache.Chain(salt.Seed(), strings.Repeat("x", 4*cache.BlockBytes))
	blocks := func(hashes ...cache.Hash) []target.Block {
		var out []target.Block
		for _, h := range hashes {
			out = append(out, target.Block{Hash: h})
		}
		return out
	}
	rival, next := salt, salt
	rival.Organisation, next.WeightVersion = "rival", "v2"
	tests := []struct {
		name     string
		manifest *target.Manifest
		want     int
	}{
		{"none", nil, 0},
		{"whole", &target.Manifest{Salt: salt, Blocks: blocks(chain...)}, 4},
		{"shorter", &target.Manifest{Salt: salt, Blocks: blocks(chain[:2]...)}, 2},
		{"longer", &target.Manifest{Salt: salt, Blocks: blocks(append(chain[:4:4], chain[0])...)}, 4},
		{"another text after two", &target.Manifest{Salt: salt, Blocks: blocks(chain[0], chain[1], chain[3])}, 2},
		{"another organisation's", &target.Manifest{Salt: rival, Blocks: blocks(chain...)}, 0},
		{"other weights'", &target.Manifest{Salt: next, Blocks: blocks(chain...)}, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			got := fitting(tc.manifest, &Ask{Salt: salt, Chain: chain})
			gomega.NewWithT(t).Expect(got).To(gomega.Equal(tc.want))
		})
	}
}

func TestVersionsOfWeights(t *testing.T) {
	tests := []struct {
		held, model, want string
		ok                bool
	}{
		{"m@v1", "m", "v1", true},
		{"m@v1+a", "m", "", false},
		{"mm@v1", "m", "", false},
		{"m", "m", "", false},
	}
	for _, tc := range tests {
		got, ok := versionOf(tc.held, tc.model)
		gomega.NewWithT(t).Expect([]any{got, ok}).To(gomega.Equal([]any{tc.want, tc.ok}), tc.held)
	}
}

// A heartbeat that says only what changed and was meant for the former process
// of a box tells a new one nothing: without the weights the worker would count
// as holding none until the next full one.
func TestLoadsWithoutKnownWeightsAreNotTaken(t *testing.T) {
	g := gomega.NewWithT(t)
	var l loads
	l.set(workerLoad{Worker: "w", Running: 1}, start)
	_, ok := l.load("w", 0, start)
	g.Expect(ok).To(gomega.BeFalse())
	l.set(workerLoad{Worker: "w", Running: 1, Holds: []string{"m@v1"}, AgeMillis: 1}, start)
	w, ok := l.load("w", 0, start)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(w.Holds).To(gomega.Equal([]string{"m@v1"}))
	l.set(workerLoad{Worker: "w", Running: 2}, start.Add(time.Second))
	w, _ = l.load("w", 0, start.Add(time.Second))
	g.Expect(w.Holds).To(gomega.Equal([]string{"m@v1"}))
}

// A daemon that has just started is known to its peers before it knows the
// workers; it must not say that there are none.
func TestNewHomeDoesNotDecide(t *testing.T) {
	g := gomega.NewWithT(t)
	f := fleet.New(fleet.Options{Name: "me", Log: &event.Log{}})
	store := conf.NewStore(&event.Log{})
	spec := func(s string) json.RawMessage { return json.RawMessage(s) }
	store.Replace(conf.Full{Seq: 2, Resources: []conf.Change{
		{Seq: 1, Kind: conf.KindDeployment, Name: "d", Spec: spec(`{"model":"m","weightVersion":"v1"}`)},
		{Seq: 2, Kind: conf.KindTarget, Name: "w", Spec: spec(`{"type":"engine","url":"http://127.0.0.1:1","deployments":["d"]}`)},
	}})
	h := New(Options{Placement: route.Returning, Conf: store, Fleet: f, Log: &event.Log{}})
	ask := &Ask{Deployment: "d", Salt: cache.Salt{Organisation: "o", Model: "m", WeightVersion: "v1"}, Tokens: 10}
	_, err := h.Place(context.Background(), f.View(), ask)
	g.Expect(err).To(gomega.MatchError(errNotWarm))
	h.loads.set(workerLoad{Worker: "w", Holds: []string{"m@v1"}, Speed: 8000}, time.Now())
	ans, err := h.Place(context.Background(), f.View(), ask)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(ans.Worker).To(gomega.Equal("w"))
}

// Peers ask a daemon that is just heard of, also before its configuration has come.
func TestADaemonWithoutAConfigurationDecidesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	h := New(Options{
		Placement: route.Returning, Conf: conf.NewStore(&event.Log{}), Fleet: fleet.New(fleet.Options{Name: "me", Log: &event.Log{}}), Log: &event.Log{},
	})
	_, err := h.place(context.Background(), "peer", &Ask{Chain: []cache.Hash{{1}}})
	g.Expect(err).To(gomega.MatchError(errNotWarm))
	g.Expect(h.Warm()).To(gomega.BeFalse())
}
