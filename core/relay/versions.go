package relay

import (
	"math"
	"slices"

	"embertally.dev/core/canary"
	"embertally.dev/core/fleet"
	"embertally.dev/core/roster"
)

// applyRollout returns the targets of a list that the request may go to during a rollout. While a
// canary version is evaluated, only some of its targets are used, so that each of them gets as many
// requests as in a completed rollout.
func (p *proxiedRequest) applyRollout(list []*roster.Target) []*roster.Target {
	canaryVersion := p.versions.Canary
	if canaryVersion != "" && !slices.ContainsFunc(list, func(t *roster.Target) bool { return t.Entry().Version != canaryVersion }) {
		p.versions = canary.VersionFilter{Excluded: slices.DeleteFunc(p.versions.Excluded, func(v string) bool { return v == canaryVersion })}
	}
	if p.versions.TargetShare <= 0 {
		return list
	}
	var ids []string
	for _, t := range list {
		if t.Entry().Version == p.versions.Preferred {
			ids = append(ids, t.ID())
		}
	}
	subset := map[string]bool{}
	for _, id := range fleet.RankFirst(fleet.Key(p.versions.Preferred), ids, int(math.Ceil(p.versions.TargetShare*float64(len(ids))))) {
		subset[id] = true
	}
	var out []*roster.Target
	for _, t := range list {
		if t.Entry().Version != p.versions.Preferred || subset[t.ID()] {
			out = append(out, t)
		}
	}
	return out
}

// preferVersion returns the targets of the preferred version, or all if there are none.
func (p *proxiedRequest) preferVersion(targets []eligibleTarget) []eligibleTarget {
	if p.versions.Preferred == "" {
		return targets
	}
	var out []eligibleTarget
	for _, t := range targets {
		if t.entry.Version == p.versions.Preferred {
			out = append(out, t)
		}
	}
	if len(out) == 0 {
		return targets
	}
	return out
}
