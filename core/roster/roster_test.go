package roster

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
)

func entry(id string) Entry {
	return Entry{ID: id, Service: "s", Address: "10.0.0.1:1", Slots: 4, Weights: map[string]int64{"m": 1}}
}

func ids(list []*Target) []string {
	out := []string{}
	for _, t := range list {
		out = append(out, t.ID())
	}
	return out
}

func TestPutAndRemove(t *testing.T) {
	g := gomega.NewWithT(t)
	r := New(&event.Log{}, nil)
	r.Put(entry("b"))
	r.Put(entry("a"))
	g.Expect(ids(r.ByService("s"))).To(gomega.Equal([]string{"a", "b"}))
	shuttingDown := entry("a")
	shuttingDown.ShuttingDown = true
	r.Put(shuttingDown)
	g.Expect(r.Target("a").Entry().ShuttingDown).To(gomega.BeTrue())
	existing := r.Target("a")
	r.Remove("a", clock.Now())
	g.Expect(ids(r.ByService("s"))).To(gomega.Equal([]string{"b"}))
	g.Expect(existing.Health(time.Now()).Removed).To(gomega.BeTrue())
	r.Remove("none", clock.Now())
}

func TestEntriesLapsedInAnOutageMayReturn(t *testing.T) {
	tests := []struct {
		name         string
		outage       time.Duration
		shuttingDown bool
		retained     bool
	}{
		{"after an outage", 4 * time.Second, false, true},
		{"after a short outage", 100 * time.Millisecond, false, false},
		{"was shutting down", 4 * time.Second, true, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			now, clockNow := time.Now(), clock.Now()
			r := New(&event.Log{}, func() (clock.Time, time.Duration) { return clockNow, tc.outage })
			e := entry("a")
			e.ShuttingDown = tc.shuttingDown
			r.Put(e)
			r.Remove("a", clockNow)
			g.Expect(r.Target("a") != nil).To(gomega.Equal(tc.retained))
			if !tc.retained {
				return
			}
			g.Expect(r.Target("a").Health(now).Lapsed).To(gomega.BeTrue())
			r.Put(e)
			r.removeLapsed("a")
			g.Expect(r.Target("a").Health(now).Lapsed).To(gomega.BeFalse())
			r.Remove("a", clockNow)
			r.removeLapsed("a")
			g.Expect(r.Target("a")).To(gomega.BeNil())
		})
	}
}

func TestTargetRemovedWhileOnlyThisDaemonWasCutOffGetsNoRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	start := clock.Now()
	var known atomic.Bool
	r := New(&event.Log{}, func() (clock.Time, time.Duration) {
		if known.Load() {
			return start, 0
		}
		return start, 4 * time.Second
	})
	r.Put(entry("a"))
	r.Remove("a", clock.Now())
	g.Expect(r.Target("a").Health(time.Now()).Lapsed).To(gomega.BeTrue())
	known.Store(true)
	g.Eventually(func() *Target { return r.Target("a") }, lapsedEntryTime/2, "10ms").Should(gomega.BeNil())
}

func TestWeightsOnlyRise(t *testing.T) {
	g := gomega.NewWithT(t)
	r := New(&event.Log{}, nil)
	r.Put(entry("a"))
	r.RecordVersion("a", "m", 3)
	r.RecordVersion("a", "m", 2)
	r.Put(entry("a")) // an entry written before
	g.Expect(r.Target("a").Entry().Weights["m"]).To(gomega.Equal(int64(3)))
	r.RecordVersion("none", "m", 9)
}

func TestSuspectTimeGrowsAndResets(t *testing.T) {
	g := gomega.NewWithT(t)
	r := New(&event.Log{}, nil)
	r.Put(entry("a"))
	a, now := r.Target("a"), time.Now()
	a.RecordNoResponse(now)
	g.Expect(a.Health(now).Suspect).To(gomega.BeTrue())
	g.Expect(a.Health(now.Add(suspectTime)).Suspect).To(gomega.BeFalse())
	a.RecordNoResponse(now)
	g.Expect(a.Health(now.Add(suspectTime)).Suspect).To(gomega.BeTrue())
	g.Expect(a.Health(now.Add(maxSuspectTime)).Suspect).To(gomega.BeFalse())
	a.RecordResponse()
	g.Expect(a.Health(now).Suspect).To(gomega.BeFalse())
}

func TestPeerLoadsAreAddedAndExpire(t *testing.T) {
	g := gomega.NewWithT(t)
	local, remote := New(&event.Log{}, nil), New(&event.Log{}, nil)
	local.Put(entry("a"))
	remote.Put(entry("a"))
	local.Target("a").AddLoad(Load{Running: 1, QueuedTokens: 10, OccupiedTokens: 10})
	remote.Target("a").AddLoad(Load{Running: 2, QueuedTokens: 5, OccupiedTokens: 7})
	remote.BeginUpdate("a", time.Now().Add(time.Minute))
	raw, err := msgpack.Marshal(HeartbeatPart{remote}.Collect(false))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	HeartbeatPart{local}.Receive("remote", raw)
	g.Expect(local.Target("a").Load()).To(gomega.Equal(Load{Running: 3, QueuedTokens: 15, OccupiedTokens: 17}))
	g.Expect(local.Updating(time.Now())).To(gomega.HaveKey("a"))
	local.EndUpdate("a")
	g.Expect(local.Updating(time.Now())).To(gomega.BeEmpty())
	local.sumPeerLoads(time.Now().Add(2 * peerLoadTTL))
	g.Expect(local.Target("a").Load()).To(gomega.Equal(Load{Running: 1, QueuedTokens: 10, OccupiedTokens: 10}))
	HeartbeatPart{local}.Receive("remote", []byte("no msgpack"))
	local.Target("a").RemoveLoad(Load{Running: 1, QueuedTokens: 10, OccupiedTokens: 10})
	g.Expect(local.Target("a").LocalLoad()).To(gomega.Equal(Load{}))
}

// sendHeartbeat passes one heartbeat from one roster to another.
func sendHeartbeat(g *gomega.WithT, from, to *Roster) {
	raw, err := msgpack.Marshal(HeartbeatPart{from}.Collect(false))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	HeartbeatPart{to}.Receive("from", raw)
}

func TestWeightUpdateEndReachesPeers(t *testing.T) {
	g := gomega.NewWithT(t)
	owner, peer, third := New(&event.Log{}, nil), New(&event.Log{}, nil), New(&event.Log{}, nil)
	for _, r := range []*Roster{owner, peer, third} {
		r.Put(entry("a"))
	}
	now := time.Now()
	owner.BeginUpdate("a", now.Add(time.Minute))
	sendHeartbeat(g, owner, peer)
	g.Expect(peer.Updating(now)).To(gomega.HaveKey("a"))
	sendHeartbeat(g, peer, third)
	g.Expect(third.Updating(now)).To(gomega.BeEmpty(), "only the daemon that gave the order reports it")
	owner.RecordVersion("a", "m", 2)
	owner.EndUpdate("a")
	sendHeartbeat(g, owner, peer)
	g.Expect(peer.Updating(now)).To(gomega.BeEmpty())
	g.Expect(peer.Target("a").Entry().Weights["m"]).To(gomega.Equal(int64(2)))
}

func TestWeightUpdateOfLostPeerExpires(t *testing.T) {
	g := gomega.NewWithT(t)
	owner, peer := New(&event.Log{}, nil), New(&event.Log{}, nil)
	peer.Put(entry("a"))
	now := time.Now()
	owner.BeginUpdate("a", now.Add(3*time.Second))
	sendHeartbeat(g, owner, peer)
	peer.sumPeerLoads(now.Add(2 * peerLoadTTL))
	g.Expect(peer.Updating(now.Add(2 * time.Second))).To(gomega.HaveKey("a"))
	g.Expect(peer.Updating(now.Add(4 * time.Second))).To(gomega.BeEmpty())
}

func TestReloadingReachesPeers(t *testing.T) {
	g := gomega.NewWithT(t)
	local, remote := New(&event.Log{}, nil), New(&event.Log{}, nil)
	local.Put(Entry{ID: "w"})
	now := time.Now()
	local.RecordReloading("w", now.Add(time.Hour))
	raw, err := msgpack.Marshal(HeartbeatPart{local}.Collect(false))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	HeartbeatPart{remote}.Receive("peer", raw)
	g.Expect(remote.Reloading(now)).To(gomega.HaveKey("w"))
	g.Expect(remote.Reloading(now.Add(time.Minute))).To(gomega.BeEmpty(), "the time that a peer reports is bounded")
	g.Expect(remote.Updating(now)).To(gomega.BeEmpty())
}

func TestHeartbeatHoldsOnlyBusyTargets(t *testing.T) {
	g := gomega.NewWithT(t)
	r := New(&event.Log{}, nil)
	for _, id := range []string{"a", "b", "c"} {
		r.Put(entry(id))
	}
	loads := func() map[string]Load { return (HeartbeatPart{r}).Collect(false).(*heartbeatBody).Loads }
	g.Expect(loads()).To(gomega.BeEmpty())
	one := Load{Running: 1, QueuedTokens: 5}
	r.Target("a").AddLoad(one)
	r.Target("b").AddLoad(one)
	g.Expect(loads()).To(gomega.Equal(map[string]Load{"a": one, "b": one}))
	r.Target("a").RemoveLoad(one)
	g.Expect(loads()).To(gomega.Equal(map[string]Load{"b": one}))
	r.Target("a").AddLoad(one)
	g.Expect(loads()).To(gomega.HaveLen(2), "it has work again")
	removed := r.Target("b")
	r.RemoveUnusable("b")
	g.Expect(loads()).To(gomega.HaveKey("b"), "its work is unfinished")
	removed.RemoveLoad(one)
	g.Expect(loads()).To(gomega.Equal(map[string]Load{"a": one}))
}

// A stream may be resumed after the targets of its version have gone: such a version must still count.
func TestVersionsOutliveTheirTargets(t *testing.T) {
	g := gomega.NewWithT(t)
	r := New(&event.Log{}, nil)
	r.Put(Entry{ID: "a", Service: "s", Version: "v1"})
	r.Put(Entry{ID: "b", Service: "s", Version: "v2"})
	r.Put(Entry{ID: "c", Service: "other", Version: "v9"})
	g.Expect(r.Versions("s", time.Minute)).To(gomega.ConsistOf("v1", "v2"))
	r.RemoveUnusable("b")
	g.Expect(r.Versions("s", time.Minute)).To(gomega.ConsistOf("v1", "v2"))
	// The same incarnation may also be listed with another version.
	r.Put(Entry{ID: "a", Service: "s", Version: "v3"})
	g.Expect(r.Versions("s", time.Minute)).To(gomega.ConsistOf("v1", "v2", "v3"))
	clock.Suspend(2 * time.Minute)
	g.Expect(r.Versions("s", time.Minute)).To(gomega.ConsistOf("v3"))
	for i := range 3 * maxVersionRecords {
		r.Put(Entry{ID: "a", Service: "s", Version: "w" + itoa(int64(i))})
	}
	g.Expect(len(r.Versions("s", time.Minute))).To(gomega.Equal(maxVersionRecords))
}

// A daemon that starts learns from its peers for how long they have known each version.
func TestVersionAgesAreToldToPeers(t *testing.T) {
	g := gomega.NewWithT(t)
	old, started := New(&event.Log{}, nil), New(&event.Log{}, nil)
	old.VersionMemory, old.MaxVersionAbsence = func() time.Duration { return time.Minute }, time.Minute
	old.Put(Entry{ID: "a", Service: "s", Version: "v1"})
	old.Put(Entry{ID: "b", Service: "s", Version: "v2"})
	old.RemoveUnusable("b")
	clock.Suspend(10 * time.Second)
	started.Put(Entry{ID: "a", Service: "s", Version: "v1"})
	g.Expect(started.VersionAge("s", "v1")).To(gomega.BeNumerically("<", time.Second))
	tell := func(full bool) {
		raw, err := msgpack.Marshal(HeartbeatPart{old}.Collect(full))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		HeartbeatPart{started}.Receive("old", raw)
	}
	tell(false)
	g.Expect(started.HeardVersions("old")).To(gomega.BeFalse())
	tell(true)
	g.Expect(started.HeardVersions("old")).To(gomega.BeTrue())
	g.Expect(started.VersionAge("s", "v1")).To(gomega.BeNumerically(">=", 10*time.Second))
	g.Expect(started.Versions("s", time.Minute)).To(gomega.ConsistOf("v1", "v2"))
	clock.Suspend(time.Minute)
	g.Expect(started.Versions("s", time.Minute)).To(gomega.ConsistOf("v1"))
}

// A version that returns is new unless this daemon's own list tells that it was away for a moment: what peers say of it may
// have been under way for any time.
func TestAgeOfAVersionThatReturns(t *testing.T) {
	const moment = 10 * time.Second
	for _, tc := range []struct {
		name string
		// away is for how long the version is away, and behind for how long the list had not been current before it went.
		away, behind time.Duration
		// late tells whether a peer's report from before the absence arrives during or after it.
		late  string
		known bool
	}{
		{"for a moment", moment / 2, 0, "", true},
		{"for long", 2 * moment, 0, "", false},
		{"for a moment since it was seen to go", moment / 2, moment, "", false},
		{"for long, a late report arrives meanwhile", 2 * moment, 0, "meanwhile", false},
		{"for long, a late report arrives afterwards", 2 * moment, 0, "afterwards", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			peer, r := New(&event.Log{}, nil), New(&event.Log{}, nil)
			asOf := clock.Now()
			r.MaxVersionAbsence, r.ListAsOf = moment, func() clock.Time { return asOf }
			entry := Entry{ID: "a", Service: "s", Version: "v1"}
			for _, list := range []*Roster{peer, r} {
				list.Put(entry)
			}
			clock.Suspend(time.Minute)
			report, err := msgpack.Marshal(HeartbeatPart{peer}.Collect(true))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			asOf = clock.Now().Add(-tc.behind)
			r.RemoveUnusable("a")
			clock.Suspend(tc.away)
			if tc.late == "meanwhile" {
				HeartbeatPart{r}.Receive("peer", report)
			}
			asOf = clock.Now()
			r.Put(entry)
			if tc.late == "afterwards" {
				HeartbeatPart{r}.Receive("peer", report)
			}
			known := r.VersionAge("s", "v1") >= time.Minute
			g.Expect(known).To(gomega.Equal(tc.known))
			g.Expect(tc.known || r.VersionAge("s", "v1") < time.Second).To(gomega.BeTrue())
		})
	}
}

// Guards against requests to a target that this daemon updates after its process has not run for a while.
func TestOwnWeightUpdateLastsUntilItsEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	owner, peer := New(&event.Log{}, nil), New(&event.Log{}, nil)
	owner.Put(entry("a"))
	now := time.Now()
	owner.BeginUpdate("a", now.Add(time.Second))
	owner.HoldUpdate("a")
	sendHeartbeat(g, owner, peer)
	later := now.Add(time.Minute)
	g.Expect(owner.Updating(later)).To(gomega.HaveKey("a"))
	g.Expect(owner.Availability(later).Reason(owner.Target("a"))).To(gomega.Equal(UpdatingWeights))
	g.Expect(owner.Admit(owner.Target("a"), Permit{})).To(gomega.Equal(UpdatingWeights))
	g.Expect(peer.Updating(later)).To(gomega.BeEmpty(), "the daemon may be lost")
	owner.EndUpdate("a")
	g.Expect(owner.Updating(now)).To(gomega.BeEmpty())
}
