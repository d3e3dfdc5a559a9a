package relay

import (
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/fleet"
)

// shard makes the services sharded: each daemon keeps only the workers of its own cell. Workers of
// the cells for which removed returns true are dropped everywhere.
func (h *fleetRig) shard(removed func(cell int) bool) {
	for i, f := range h.fleets {
		r, view := h.rigs[i], f.View()
		r.relay.options.Sharded = func(string) bool { return true }
		r.relay.options.InOwnCell = func(string, string) bool { return true }
		r.relay.options.CellDaemonCount = func() int { return f.View().CellSize() }
		for _, id := range h.workers {
			if cell := view.TargetCell(id, ""); cell != view.Cell() || removed(cell) {
				r.roster.MakeExternal(id)
			}
		}
	}
}

// Daemons that list only their cell's workers serve each prompt from the cell that owns its
// context.
func TestShardedPromptsAreServedByOwnerCell(t *testing.T) {
	const daemons = 24
	h := newFleetRig(t, daemons, 12, always(stream(true, "id: 1\ndata: a\n\n")))
	h.allowSlowOwners()
	h.shard(func(int) bool { return false })
	const context = "c1"
	owner := h.fleets[0].View().KeyCell(fleet.Key(context))
	for i := range daemons {
		got := h.send(i, context)
		h.g.Expect(got.status).To(gomega.Equal(http.StatusOK), "daemon %d: %s", i, got.body)
		h.waitIdle()
	}
	for _, s := range h.rigs[0].received() {
		h.g.Expect(h.fleets[0].View().TargetCell(s.target, "")).To(gomega.Equal(owner))
	}
}

// A cell without targets of a service uses those of other cells.
func TestCellWithoutTargetsUsesOtherCells(t *testing.T) {
	const daemons = 24
	h := newFleetRig(t, daemons, 12, always(stream(true, "id: 1\ndata: a\n\n")))
	emptyCell := h.fleets[0].View().Cell()
	h.shard(func(cell int) bool { return cell == emptyCell })
	for i, f := range h.fleets {
		if f.View().Cell() != emptyCell {
			continue
		}
		got := h.rigs[i].send(http.MethodPost, "/stream/", "x", "Model", "m", "Parts", "own:100")
		h.g.Expect(got.status).To(gomega.Equal(http.StatusOK), "daemon %d: %s", i, got.body)
	}
}

// A target that is listed only in another cell is used while that cell's list is fresh.
func TestOwnerWithStaleTargetListIsIgnored(t *testing.T) {
	tests := []struct {
		name    string
		age     time.Duration
		sharded bool
		want    bool
	}{
		{"fresh", 100 * time.Millisecond, true, true},
		{"stale", maxExternalListAge + time.Millisecond, true, false},
		{"service that is not sharded", 0, false, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, nil)
			r.relay.owners = &ContextOwners{relay: r.relay, fleet: fleet.New(fleet.Options{Name: "me", Log: r.log})}
			r.relay.options.Sharded = func(string) bool { return tc.sharded }
			r.relay.options.CellDaemonCount = func() int { return 1 }
			p := &proxiedRequest{
				relay: r.relay, table: r.relay.Table(), service: "llm", route: &testRoutes[2],
				tried: map[string]int{},
			}
			response := &placementResponse{
				Target: "w9@1", WeightVersion: 1, ListAge: tc.age,
				Entry: placementEntry{Name: "w9", Address: "127.0.0.1:1", Slots: 4},
			}
			c := p.choiceFromResponse(r.relay.Table().Service("llm"), "peer", &placementRequest{}, response)
			r.g.Expect(c != nil).To(gomega.Equal(tc.want))
		})
	}
}
