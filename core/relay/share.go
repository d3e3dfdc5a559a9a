package relay

import (
	"sync"

	"embertally.dev/core/roster"
)

// share is the part of a service's targets that this daemon's requests go to.
type share struct {
	// of are all targets of the service, and basis what they were shared out by.
	of    []*roster.Target
	basis any
	// own are those of this daemon, and part how many of all they are.
	own  []*roster.Target
	part float64
}

// shares remembers the shares of services, so that targets are not ranked anew for each request. The
// zero value remembers none.
type shares struct {
	sharesMu sync.Mutex
	services map[string]*share // guarded by sharesMu
}

// of returns the share of a service, worked out anew where its targets or what they are
// shared out by have changed.
func (s *shares) of(service string, all []*roster.Target, o *Options) *share {
	var basis any
	if o.Basis != nil {
		basis = o.Basis()
	}
	s.sharesMu.Lock()
	defer s.sharesMu.Unlock()
	if was := s.services[service]; was != nil && basis != nil && was.basis == basis && sameList(was.of, all) {
		return was
	}
	var out *share
	if o.Divided != nil && o.Divided(service) {
		out = dividedShare(all, o)
	} else {
		out = shareOf(all, o)
	}
	out.basis = basis
	if s.services == nil {
		s.services = map[string]*share{}
	}
	s.services[service] = out
	return out
}

// shareOf works a share out.
func shareOf(all []*roster.Target, o *Options) *share {
	names := make([]string, len(all))
	for i, t := range all {
		names[i] = t.ID()
	}
	mine := map[string]bool{}
	for _, name := range o.Share(names) {
		mine[name] = true
	}
	out := &share{of: all, part: float64(len(mine)) / float64(max(1, len(all)))}
	for _, t := range all {
		if mine[t.ID()] {
			out.own = append(out.own, t)
		}
	}
	return out
}

// dividedShare returns the targets that fall to this daemon's cell, which serve as large a part of
// the requests as the cell has of the daemons.
func dividedShare(all []*roster.Target, o *Options) *share {
	out := &share{of: all, part: float64(o.CellDaemons()) / float64(max(1, o.Daemons()))}
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
