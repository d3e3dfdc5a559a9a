package relay

import (
	"math"
	"slices"

	"embertally.dev/core/canary"
	"embertally.dev/core/fleet"
	"embertally.dev/core/roster"
)

// versions returns the targets of a list that a request may go to where a version is on trial: of
// that version only a few, so that each of them gets as many requests as if all did.
func (p *proxiedRequest) applyRollout(list []*roster.Target) []*roster.Target {
	trial := p.versions.Trial
	if trial != "" && !slices.ContainsFunc(list, func(t *roster.Target) bool { return t.Entry().Version != trial }) {
		p.versions = canary.Side{Not: slices.DeleteFunc(p.versions.Not, func(v string) bool { return v == trial })}
	}
	if p.versions.Few <= 0 {
		return list
	}
	var names []string
	for _, t := range list {
		if t.Entry().Version == p.versions.Prefer {
			names = append(names, t.ID())
		}
	}
	few := map[string]bool{}
	for _, name := range fleet.RankFirst(fleet.Key(p.versions.Prefer), names, int(math.Ceil(p.versions.Few*float64(len(names))))) {
		few[name] = true
	}
	var out []*roster.Target
	for _, t := range list {
		if t.Entry().Version != p.versions.Prefer || few[t.ID()] {
			out = append(out, t)
		}
	}
	return out
}

// preferred returns the options of the version that a request is to go to, or all where there are
// none.
func (p *proxiedRequest) preferVersion(options []eligibleTarget) []eligibleTarget {
	if p.versions.Prefer == "" {
		return options
	}
	var out []eligibleTarget
	for _, o := range options {
		if o.entry.Version == p.versions.Prefer {
			out = append(out, o)
		}
	}
	if len(out) == 0 {
		return options
	}
	return out
}
