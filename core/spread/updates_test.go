package spread_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/roster"
	"embertally.dev/core/spread"
)

// updateMember is one daemon of a fleet of several cells with the same workers.
type updateMember struct {
	fleet   *fleet.Fleet
	roster  *roster.Roster
	updates *spread.WeightUpdateNotifier
}

// updateFleet runs daemons with some workers in their rosters.
func updateFleet(t *testing.T, daemons, workers int) ([]*updateMember, []string) {
	seeds, listeners := seedsAndListeners(t, daemons)
	var wg sync.WaitGroup
	t.Cleanup(wg.Wait)
	var out []*updateMember
	var names []string
	for i := range workers {
		names = append(names, fmt.Sprintf("w-%02d", i))
	}
	for i, seed := range seeds {
		m := &updateMember{roster: roster.New(&event.Log{}, nil)}
		m.fleet = fleet.New(fleet.Options{
			Name: seed.Name, Incarnation: seed.Name + "-1", Seeds: seeds, HeartbeatInterval: heartbeat,
			SuspectAfter: suspect, Log: &event.Log{},
		})
		m.fleet.Attach("roster", roster.HeartbeatPart{Roster: m.roster})
		m.updates = spread.NewWeightUpdateNotifier(m.fleet, m.roster)
		for _, w := range names {
			m.roster.Put(roster.Entry{ID: w, Service: "llm", Address: "127.0.0.1:1", Slots: 1, Weights: map[string]int64{"m": 1}})
		}
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		wg.Go(func() { m.fleet.Run(ctx, listeners[i]) })
		out = append(out, m)
	}
	return out, names
}

// Daemons of the cell that uses a worker are notified of its weight update although a daemon of
// another cell gives the order.
func TestTheCellThatUsesAWorkerIsNotifiedOfItsUpdate(t *testing.T) {
	g := gomega.NewWithT(t)
	members, names := updateFleet(t, 24, 12)
	initiator := members[0]
	g.Expect(initiator.fleet.View().Cells()).To(gomega.Equal(2))
	other := ""
	for _, w := range names {
		if initiator.fleet.View().ShareCell(names, w) != initiator.fleet.View().Cell() {
			other = w
		}
	}
	g.Expect(other).NotTo(gomega.BeEmpty())
	var users []*updateMember
	for _, m := range members {
		for _, w := range m.fleet.View().CellShare(names) {
			if w == other {
				users = append(users, m)
			}
		}
	}
	g.Expect(len(users)).To(gomega.BeNumerically(">", 2), "the cell that uses it")
	all := func(condition func(*updateMember) bool) func() bool {
		return func() bool {
			for _, m := range users {
				if !condition(m) {
					return false
				}
			}
			return true
		}
	}
	ordered := func(m *updateMember) bool { return m.roster.Updating(time.Now())[other] }
	released := func(m *updateMember) bool { return !ordered(m) }
	updated := func(m *updateMember) bool { return m.roster.Target(other).Entry().Weights["m"] == 2 }
	g.Eventually(func() bool {
		// Notified again and again, as long as the update goes on.
		initiator.updates.UpdateStarted(initiator.roster.Target(other), "m", time.Minute)
		return all(ordered)()
	}, "30s", "50ms").Should(gomega.BeTrue())
	g.Expect(users[0].roster.Updating(time.Now().Add(3*time.Second))).NotTo(gomega.HaveKey(other),
		"the hold of a remote notice is bounded")
	initiator.updates.UpdateEnded(initiator.roster.Target(other), "m", 2)
	g.Eventually(all(updated), "30s", "10ms").Should(gomega.BeTrue())
	g.Eventually(all(released), "30s", "10ms").Should(gomega.BeTrue())
}
