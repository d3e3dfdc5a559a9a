package relay

import (
	"sync"

	"embertally.dev/core/roster"
)

// targetShare holds those of a service's targets that this daemon uses.
type targetShare struct {
	// all are the targets of the service, and shardVersion identifies the partition; see
	// Options.ShardVersion.
	all          []*roster.Target
	shardVersion any
	// own are the targets that this daemon uses, and fraction is the fraction of the service's
	// requests that they serve.
	own      []*roster.Target
	fraction float64
}

// shareCache caches the shares by service, so that targets are not ranked for each request. The
// zero value is ready for use.
type shareCache struct {
	sharesMu sync.Mutex
	services map[string]*targetShare // guarded by sharesMu
}

// get returns the share of a service. It is computed again only if the targets or the
// partition have changed.
func (s *shareCache) get(service string, all []*roster.Target, o *Options) *targetShare {
	var shardVersion any
	if o.ShardVersion != nil {
		shardVersion = o.ShardVersion()
	}
	s.sharesMu.Lock()
	defer s.sharesMu.Unlock()
	if cached := s.services[service]; cached != nil && shardVersion != nil &&
		cached.shardVersion == shardVersion && sameList(cached.all, all) {
		return cached
	}
	var out *targetShare
	if o.Sharded != nil && o.Sharded(service) {
		out = shardedShare(all, o)
	} else {
		out = computeShare(all, o)
	}
	out.shardVersion = shardVersion
	if s.services == nil {
		s.services = map[string]*targetShare{}
	}
	s.services[service] = out
	return out
}

// computeShare computes the share of a service that is not sharded.
func computeShare(all []*roster.Target, o *Options) *targetShare {
	names := make([]string, len(all))
	for i, t := range all {
		names[i] = t.ID()
	}
	own := map[string]bool{}
	for _, name := range o.OwnTargets(names) {
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

// shardedShare returns the targets that belong to this daemon's cell. They serve the same fraction
// of the requests as the cell has of the daemons.
func shardedShare(all []*roster.Target, o *Options) *targetShare {
	out := &targetShare{all: all, fraction: float64(o.CellDaemonCount()) / float64(max(1, o.DaemonCount()))}
	for _, t := range all {
		if e := t.Entry(); o.InOwnCell(e.Name, e.Domain) {
			out.own = append(out.own, t)
		}
	}
	return out
}

// sameList reports whether two slices are the same list.
func sameList(a, b []*roster.Target) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
