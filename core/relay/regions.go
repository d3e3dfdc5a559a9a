package relay

import (
	"slices"

	"embertally.dev/core/table"
)

// regions are lists of regions that all restrict where a request may run and its context may be
// cached. Without a list there is no restriction.
type regions [][]string

// regionsOf returns the lists of a route and an organisation, which may be nil.
func regionsOf(r *table.Route, o *table.Organisation) regions {
	var out regions
	if len(r.Regions) > 0 {
		out = append(out, r.Regions)
	}
	if o != nil && len(o.Regions) > 0 {
		out = append(out, o.Regions)
	}
	return out
}

// allows reports whether all lists contain a region. An unknown region ("") is in none.
func (rs regions) allows(region string) bool {
	for _, list := range rs {
		if region == "" || !slices.Contains(list, region) {
			return false
		}
	}
	return true
}

// domainAllowed reports whether the request may run, and its context be cached, in a failure
// domain.
func (p *proxiedRequest) domainAllowed(domain string) bool {
	return len(p.regions) == 0 || p.regions.allows(p.relay.options.Regions[domain])
}
