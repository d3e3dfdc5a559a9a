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
func (p *pass) versions(list []*roster.Target) []*roster.Target {
	trial := p.side.Trial
	if trial != "" && !slices.ContainsFunc(list, func(t *roster.Target) bool { return t.Entry().Version != trial }) {
		p.side = canary.Side{Not: slices.DeleteFunc(p.side.Not, func(v string) bool { return v == trial })}
	}
	if p.side.Few <= 0 {
		return list
	}
	var names []string
	for _, t := range list {
		if t.Entry().Version == p.side.Prefer {
			names = append(names, t.ID())
		}
	}
	few := map[string]bool{}
	for _, name := range fleet.RankFirst(fleet.Key(p.side.Prefer), names, int(math.Ceil(p.side.Few*float64(len(names))))) {
		few[name] = true
	}
	var out []*roster.Target
	for _, t := range list {
		if t.Entry().Version != p.side.Prefer || few[t.ID()] {
			out = append(out, t)
		}
	}
	return out
}

// preferred returns the options of the version that a request is to go to, or all where there are
// none.
func (p *pass) preferred(options []option) []option {
	if p.side.Prefer == "" {
		return options
	}
	var out []option
	for _, o := range options {
		if o.entry.Version == p.side.Prefer {
			out = append(out, o)
		}
	}
	if len(out) == 0 {
		return options
	}
	return out
}
