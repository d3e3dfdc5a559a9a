package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/roster"
	"embertally.dev/core/route"
)

// send sends one heartbeat's divisions from a daemon to another.
func (d *divisionPeers) send(g *gomega.WithT, name string, to *divisionPeers) {
	raw, err := msgpack.Marshal(d.Collect(false))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	to.Receive(name, raw)
}

// If each daemon used its own division, prompts that one keeps away from a worker would come from another.
func TestDaemonsAgreeOnOneDivision(t *testing.T) {
	g := gomega.NewWithT(t)
	divided := func(share float64) route.Division {
		return route.Division{Share: share, Reserved: map[string]float64{"short": 0.3}}
	}
	now := time.Now()
	var a, b, c divisionPeers
	a.publish("s", divided(0.2), true)
	b.publish("s", divided(0.3), true)
	a.send(g, "a", &b)
	a.send(g, "a", &c)
	b.send(g, "b", &a)
	b.send(g, "b", &c)
	tests := []struct {
		name    string
		daemon  *divisionPeers
		self    string
		settled bool
		at      time.Time
		share   float64 // of the agreed division; 0 if the daemon decides by itself
	}{
		{"the first decides", &a, "a", true, now, 0},
		{"the second follows", &b, "b", true, now, 0.2},
		{"the third follows the first", &c, "c", true, now, 0.2},
		{"the first has just started", &a, "a", false, now, 0.3},
		{"the first was lost or its heartbeats are late", &b, "b", true, now.Add(2 * divisionTTL), 0},
		{"an isolated daemon", &divisionPeers{}, "z", true, now, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			d, found := tc.daemon.agreed("s", tc.self, tc.settled, tc.at)
			g.Expect(found).To(gomega.Equal(tc.share > 0))
			g.Expect(d.Share).To(gomega.Equal(tc.share))
		})
	}

	// A daemon that has just started has no reason to divide, and must not end the others' division.
	a.publish("s", route.Division{}, false)
	g.Expect(a.Collect(false)).To(gomega.BeNil())
}

// A faulty peer must not reserve all workers for one kind.
func TestInvalidDivisionsAreIgnored(t *testing.T) {
	tests := []struct {
		name   string
		report divisionReport
	}{
		{"share above 1", divisionReport{Share: 3, Reserved: map[string]float64{"short": 0.3}}},
		{"share that leaves the others hardly a worker", divisionReport{Share: 0.95, Reserved: map[string]float64{"short": 0.3}}},
		{"share without kinds", divisionReport{Share: 0.3}},
		{"kinds without share", divisionReport{Reserved: map[string]float64{"short": 0.3}}},
		{"no probability", divisionReport{Share: 0.3, Reserved: map[string]float64{"short": 7}}},
		{"negative pause", divisionReport{Pause: -time.Second}},
		{"pause longer than any daemon decides", divisionReport{Pause: time.Hour}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			raw, err := msgpack.Marshal(map[string]divisionReport{"s": tc.report})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			var d divisionPeers
			d.Receive("a", raw)
			d.Receive("b", []byte("no msgpack"))
			_, found := d.agreed("s", "z", true, time.Now())
			g.Expect(found).To(gomega.BeFalse())
		})
	}
}

// A daemon that no longer chooses for a service, since its callers left or its table changed, would
// decide for the cell for ever with its last division.
func TestOldDivisionIsNotSent(t *testing.T) {
	g := gomega.NewWithT(t)
	var d divisionPeers
	d.publish("s", route.Division{Share: 0.2, Reserved: map[string]float64{"short": 0.3}}, true)
	g.Expect(d.collect(time.Now())).To(gomega.HaveLen(1))
	g.Expect(d.collect(time.Now().Add(2 * divisionExpiry))).To(gomega.BeEmpty())
}

// Daemons that restart under new names must not fill the memory.
func TestLostPeersAreForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	var a, b divisionPeers
	a.publish("s", route.Division{}, true)
	a.send(g, "a-1", &b)
	b.peers["a-1"] = receivedDivisions{time.Now().Add(-2 * divisionTTL), nil}
	a.send(g, "a-2", &b)
	g.Expect(b.peers).To(gomega.HaveLen(1))
}

// The first daemon by name goes on after a pause: the division that the others came to meanwhile must
// not be replaced by what it knew before.
func TestPausedDaemonTakesTheDivisionOfOthers(t *testing.T) {
	r := newRig(t, nil)
	rl, now := r.relay, time.Now()
	rl.options.Name = "a"
	svc := rl.Table().Service("llm")
	for i := range 10 {
		r.roster.Put(roster.Entry{ID: fmt.Sprint("w-", i), Service: "llm", Address: fmt.Sprint("127.0.0.1:", i+1), Slots: 4})
	}
	rl.division(svc, now)
	now = now.Add(2 * divisionTTL)
	r.g.Expect(rl.division(svc, now).Share).To(gomega.BeZero())
	now = now.Add(time.Minute)
	report := divisionReport{Share: 0.3, Reserved: map[string]float64{"gap": 0.3}}
	rl.divisionPeers.peers = map[string]receivedDivisions{"b": {now, map[string]divisionReport{"llm": report}}}
	r.g.Expect(rl.division(svc, now).Share).To(gomega.Equal(0.3))
}
