package relay

import (
	"slices"

	"embertally.dev/core/table"
)

// regions are lists of regions that each bind a request: where it may run and its context
// may be kept. Without a list it may be anywhere.
type regions [][]string

// regionsOf returns those of a route and an organisation, which may be nil.
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

// allow reports whether all lists name a region; one that is not known ("") none does.
func (rs regions) allows(region string) bool {
	for _, list := range rs {
		if region == "" || !slices.Contains(list, region) {
			return false
		}
	}
	return true
}

// allowed reports whether the request may run, and its context be kept, in a failure
// domain.
func (p *proxiedRequest) domainAllowed(domain string) bool {
	return len(p.regions) == 0 || p.regions.allows(p.relay.options.Regions[domain])
}
