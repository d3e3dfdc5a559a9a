package relay

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"embertally.dev/core/table"
)

func TestRouteAndOrganisationRegionsBothApply(t *testing.T) {
	tests := []struct {
		name                string
		route, organisation []string
		// allowed are the workers that may run the request: w1 in the north, w2 in the south, w3 in a
		// domain without a known region.
		allowed []string
	}{
		{"none", nil, nil, []string{"w1", "w2", "w3"}},
		{"of the route", []string{"north"}, nil, []string{"w1"}},
		{"of the organisation", nil, []string{"south", "east"}, []string{"w2"}},
		{"both", []string{"north", "south"}, []string{"south"}, []string{"w2"}},
		{"no common region", []string{"north"}, []string{"south"}, nil},
		{"no workers in the region", []string{"east"}, nil, nil},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, nil)
			r.relay.options.Regions = map[string]string{"d1": "north", "d2": "south"}
			old := r.relay.Table()
			routes := append([]table.Route(nil), testRoutes...)
			for i := range routes {
				routes[i].Regions = tc.route
			}
			r.relay.SetTable(table.New(table.Spec{
				Version: old.Version() + 1, Routes: routes, Services: []table.Service{*old.Service("plain"), *old.Service("llm")},
				Organisations: []table.Organisation{{Name: "org", Keys: []string{"secret"}, Regions: tc.organisation}},
			}))
			// All workers break off each stream, so that requests are retried.
			for i := 1; i <= 3; i++ {
				id := fmt.Sprintf("w%d", i)
				r.target(id, "llm", always(hangUp))
				e := *r.roster.Target(id).Entry()
				e.Domain = fmt.Sprintf("d%d", i)
				r.roster.Put(e)
			}
			for range 6 {
				got := r.send("POST", "/stream/x", "b", "Model", "m", "Parts", "a:10 b:10")
				if len(tc.allowed) == 0 {
					r.g.Expect(got.status).To(gomega.Equal(503), "refused at once, not executed")
				}
			}
			if len(tc.allowed) > 0 {
				r.g.Expect(r.received()).NotTo(gomega.BeEmpty())
			}
			for _, s := range r.received() {
				r.g.Expect(tc.allowed).To(gomega.ContainElement(s.target))
			}
		})
	}
}

// The choice of an owner that has not received the caller's regions, or has wrong ones, is rejected.
func TestOwnerChoiceOutsideRegionsIsRejected(t *testing.T) {
	r := newRig(t, nil)
	r.relay.options.Regions = map[string]string{"d1": "north", "d2": "south"}
	r.target("w1", "llm", always(hangUp))
	e := *r.roster.Target("w1").Entry()
	e.Domain = "d2"
	r.roster.Put(e)
	p := &proxiedRequest{
		relay: r.relay, table: r.relay.Table(), service: "llm", route: &testRoutes[2],
		tried: map[string]int{}, regions: regions{{"north"}},
	}
	r.relay.owners = &ContextOwners{}
	response := &placementResponse{Target: "w1", WeightVersion: 1}
	r.g.Expect(p.choiceFromResponse(r.relay.Table().Service("llm"), "peer", &placementRequest{}, response)).To(gomega.BeNil())
	request := p.newPlacementRequest(p.start)
	r.g.Expect(request.Regions).To(gomega.Equal(regions{{"north"}}))
	remote, _ := (&ContextOwners{relay: r.relay}).requestOf(request)
	r.g.Expect(remote.domainAllowed("d1")).To(gomega.BeTrue())
	r.g.Expect(remote.domainAllowed("d2")).To(gomega.BeFalse())
}
