package relay

import (
	"sync"

	"embertally.dev/core/roster"
)

// share is the part of a service's targets that this daemon's requests go to.
type targetShare struct {
	// of are all targets of the service, and basis what they were shared out by.
	all   []*roster.Target
	basis any
	// own are those of this daemon, and part how many of all they are.
	own      []*roster.Target
	fraction float64
}

// shares remembers the shares of services, so that targets are not ranked anew for each request. The
// zero value remembers none.
type shareCache struct {
	sharesMu sync.Mutex
	services map[string]*targetShare // guarded by sharesMu
}

// of returns the share of a service, worked out anew where its targets or what they are
// shared out by have changed.
func (s *shareCache) get(service string, all []*roster.Target, o *Options) *targetShare {
	var basis any
	if o.Basis != nil {
		basis = o.Basis()
	}
	s.sharesMu.Lock()
	defer s.sharesMu.Unlock()
	if cached := s.services[service]; cached != nil && basis != nil && cached.basis == basis && sameList(cached.all, all) {
		return cached
	}
	var out *targetShare
	if o.Divided != nil && o.Divided(service) {
		out = shardedShare(all, o)
	} else {
		out = computeShare(all, o)
	}
	out.basis = basis
	if s.services == nil {
		s.services = map[string]*targetShare{}
	}
	s.services[service] = out
	return out
}

// shareOf works a share out.
func computeShare(all []*roster.Target, o *Options) *targetShare {
	names := make([]string, len(all))
	for i, t := range all {
		names[i] = t.ID()
	}
	own := map[string]bool{}
	for _, name := range o.Share(names) {
		own[name] = true
	}
	out := &targetShare{all: all, fraction: float64(len(own)) / float64(max(1, len(all)))}
	for _, t := range all {
		if own[t.ID()] {
			out.own = append(out.own, t)
		}
	}
	return out
}

// dividedShare returns the targets that fall to this daemon's cell, which serve as large a part of
// the requests as the cell has of the daemons.
func shardedShare(all []*roster.Target, o *Options) *targetShare {
	out := &targetShare{all: all, fraction: float64(o.CellDaemons()) / float64(max(1, o.Daemons()))}
	for _, t := range all {
		if e := t.Entry(); o.Uses(e.Name, e.Domain) {
			out.own = append(out.own, t)
		}
	}
	return out
}

// sameList reports whether two lists are one and the same.
func sameList(a, b []*roster.Target) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
