// Package table owns the routing table of a site: the routes of requests, the organisations with
// their keys, and the services.
//
// A Table is immutable; each new configuration gets a new one. The package must not know where a
// configuration comes from or how it is encoded there.
package table

import (
	"maps"
	"net"
	"slices"
	"sort"
	"strings"
	"time"
)

// Kind determines whether the requests of a route may run more than once.
type Kind int

// The kinds of routes.
const (
	// Once may run at most once.
	Once Kind = iota
	// Repeatable may run more than once.
	Repeatable
	// Stream is answered with events. It may run at most once, unless the route is resumable.
	Stream
)

// String returns the kind's name in log lines.
func (k Kind) String() string { return [...]string{"once", "repeatable", "stream"}[k] }

// Split is the share of a route's requests that goes to one service.
type Split struct {
	Service string
	Weight  int
}

// Route describes how the requests under one path prefix of one host are served.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable reports whether another worker may continue a stream.
	Resumable bool
	// Timeout bounds the total time of a request; 0 means that the route sets no bound.
	Timeout time.Duration
	// LatencyObjective is the latency objective of an answer.
	LatencyObjective time.Duration
	// GapObjective is the objective for the pause between two events of a stream.
	GapObjective time.Duration
	// FirstEventTimeout is how long callers wait for the first event of a stream, if they give it up
	// before their deadline; 0 means that they do not.
	FirstEventTimeout time.Duration
	Priority          int
	// MaxAttempts bounds the attempts of one request that may have run at a target, at least 1.
	MaxAttempts int
	// Public reports whether requests need no key.
	Public bool
	// Splits holds at least one entry; weights are not negative.
	Splits []Split
	// Regions are the regions where requests may run and their context may be cached; empty means
	// all. The organisation's regions restrict requests as well.
	Regions []string
}

// MayRepeat reports whether a request may be sent again after it may have run.
func (r *Route) MayRepeat() bool { return r.Kind == Repeatable || (r.Kind == Stream && r.Resumable) }

// Service picks a service by weight for a random number from [0, 1).
func (r *Route) Service(random float64) string {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	position := random * float64(total)
	for _, s := range r.Splits {
		if position -= float64(s.Weight); position < 0 {
			return s.Service
		}
	}
	return r.Splits[0].Service
}

// Includes reports whether the route leads to a service.
func (r *Route) Includes(service string) bool {
	return slices.ContainsFunc(r.Splits, func(s Split) bool { return s.Service == service })
}

// Engine describes the model workers of a service.
type Engine struct {
	// Models are the names of the models that the workers serve.
	Models []string
	// Slots is how many requests a worker runs concurrently.
	Slots int
	// MemoryTokens is the capacity of a worker's KV cache, in tokens.
	MemoryTokens int
	// BytesPerToken is the size of one token in the KV cache, in bytes.
	BytesPerToken int
	// LinkBitsPerSecond is the bandwidth of a worker's link, in bits per second.
	LinkBitsPerSecond float64
}

// Store describes a KV-cache store.
type Store struct {
	// Address is IP and port.
	Address string
	// Domain is the failure domain.
	Domain string
	// CapacityTokens is the capacity in tokens.
	CapacityTokens int
	// LinkBitsPerSecond is the bandwidth of the store's link, in bits per second.
	LinkBitsPerSecond float64
	// FirstByteLatency is the latency of each transfer until its first byte.
	FirstByteLatency time.Duration
	// Managed reports whether the store evicts nothing by itself.
	Managed bool
	// MaxWatchers bounds the daemons that watch the store's events at a time.
	MaxWatchers int
}

// bitsPerByte converts sizes in bytes to bits on a link.
const bitsPerByte = 8

// LinkTime returns how long the transfer of size bytes takes over a link with a bandwidth in bits per
// second; 0 if the bandwidth is unknown.
func LinkTime(size int, bitsPerSecond float64) time.Duration {
	if bitsPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(size) * bitsPerByte / bitsPerSecond * float64(time.Second))
}

// WarmUp describes the warm-up of targets that have just started. The zero value means no warm-up.
type WarmUp struct {
	// Duration is how long the warm-up lasts after a target's start.
	Duration time.Duration
	// RequestsPerSecond bounds the requests per second to a target that is warming up; 0 means no bound.
	RequestsPerSecond float64
}

// Service is one service of a site.
type Service struct {
	Name   string
	WarmUp WarmUp
	// MaxConnsPerTarget bounds the connections to one target from all clients; 0 means no bound.
	MaxConnsPerTarget int
	// Engine is nil for plain services and KV-cache stores.
	Engine *Engine
	// Store is nil for all services but KV-cache stores.
	Store *Store
}

// Organisation is a customer with its keys.
type Organisation struct {
	Name     string
	Keys     []string
	Priority int
	// Isolated reports that no cached context is shared with other organisations.
	Isolated bool
	// Regions restrict its requests like those of a route.
	Regions []string
}

// Limits bounds callers' requests. Zero means no bound.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the time in which a header arrives.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time that a connection stays open without a request.
	IdleTimeout time.Duration
}

// Spec is the content of a table.
type Spec struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Table is the routing table of one configuration. It is immutable.
type Table struct {
	version int64
	// hosts holds the routes of each host, longest prefix first.
	hosts    map[string][]*Route
	services map[string]*Service
	keys     map[string]*Organisation
	limits   Limits
	// requiresKeys reports whether the configuration has organisations, so that requests need keys.
	requiresKeys bool
	// shared is the scope of the callers that are not isolated.
	shared Scope
	// split holds the services for which SplitsStreams is true.
	split map[string]bool
}

// New returns the table of a spec, which must not be modified afterwards.
func New(s Spec) *Table {
	t := &Table{
		version: s.Version, hosts: map[string][]*Route{}, services: map[string]*Service{},
		keys: map[string]*Organisation{}, limits: s.Limits, requiresKeys: len(s.Organisations) > 0,
	}
	for i := range s.Routes {
		r := &s.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range s.Services {
		t.services[s.Services[i].Name] = &s.Services[i]
	}
	var isolated []string
	for i := range s.Organisations {
		if s.Organisations[i].Isolated {
			isolated = append(isolated, s.Organisations[i].Name)
		}
		for _, k := range s.Organisations[i].Keys {
			t.keys[k] = &s.Organisations[i]
		}
	}
	t.shared = sharedScope(isolated)
	t.split = splitServices(s.Routes)
	return t
}

// splitServices returns the services of the routes that divide streams which may be resumed among several.
func splitServices(routes []Route) map[string]bool {
	out := map[string]bool{}
	for i := range routes {
		r := &routes[i]
		if !r.streamResumable() || len(r.Splits) < 2 {
			continue
		}
		for _, s := range r.Splits {
			out[s.Service] = true
		}
	}
	return out
}

// SplitsStreams reports whether streams that may be resumed are divided between a service and others, so that the service
// does not follow from the route.
func (t *Table) SplitsStreams(service string) bool { return t.split[service] }

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.version }

// Limits returns the bounds of callers' requests.
func (t *Table) Limits() Limits { return t.limits }

// RequiresKeys reports whether requests on routes that are not public need a key.
func (t *Table) RequiresKeys() bool { return t.requiresKeys }

// Match returns the route with the longest matching prefix of the host, or nil. A port in host is
// ignored.
func (t *Table) Match(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Organisation returns the organisation that holds a key, or nil.
func (t *Table) Organisation(key string) *Organisation { return t.keys[key] }

// Routes returns all routes.
func (t *Table) Routes() []*Route { return slices.Concat(slices.Collect(maps.Values(t.hosts))...) }

// LongestResumable returns the longest time that a request for a stream that may be resumed takes, and whether there is a
// bound.
func (t *Table) LongestResumable() (longest time.Duration, bounded bool) {
	return t.longest((*Route).streamResumable)
}

// LongestStream is LongestResumable for all streams.
func (t *Table) LongestStream() (longest time.Duration, bounded bool) {
	return t.longest(func(r *Route) bool { return r.Kind == Stream })
}

// longest returns the longest time that a request of some routes takes, and whether there is a bound.
func (t *Table) longest(include func(*Route) bool) (longest time.Duration, bounded bool) {
	for _, routes := range t.hosts {
		for _, r := range routes {
			if !include(r) {
				continue
			}
			if r.Timeout <= 0 {
				return 0, false
			}
			longest = max(longest, r.Timeout)
		}
	}
	return longest, true
}

// streamResumable reports whether the route's streams may be resumed.
func (r *Route) streamResumable() bool { return r.Kind == Stream && r.Resumable }

// MakesResumable reports whether streams may be resumed that began by a former configuration in which they could not be.
func (t *Table) MakesResumable(former *Table) bool {
	became := func(now, before *Route) bool {
		return now != nil && now.streamResumable() && before != nil && before.Kind == Stream && !before.Resumable
	}
	return slices.ContainsFunc(t.Routes(), func(r *Route) bool { return became(r, former.Match(r.Host, r.Prefix)) }) ||
		slices.ContainsFunc(former.Routes(), func(r *Route) bool { return became(t.Match(r.Host, r.Prefix), r) })
}

// Service returns a service, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Stores returns the KV-cache stores, ordered by address.
func (t *Table) Stores() []*Store {
	var out []*Store
	for _, s := range t.services {
		if s.Store != nil {
			out = append(out, s.Store)
		}
	}
	slices.SortFunc(out, func(a, b *Store) int { return strings.Compare(a.Address, b.Address) })
	return out
}

// Services returns all services, ordered by name.
func (t *Table) Services() []*Service {
	return slices.SortedFunc(maps.Values(t.services), func(a, b *Service) int { return strings.Compare(a.Name, b.Name) })
}

// Engines returns the services of model workers, ordered by name.
func (t *Table) Engines() []*Service {
	var out []*Service
	for _, s := range t.services {
		if s.Engine != nil {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *Service) int { return strings.Compare(a.Name, b.Name) })
	return out
}
