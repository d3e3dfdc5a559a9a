package host

import (
	"strings"
	"sync"
	"time"

	"embertally.dev/core/clock"
	"embertally.dev/core/table"
)

// routeServices knows since when requests of each host and path go to each service by the configurations that this daemon
// has applied. Another daemon may not have received the latest one, and takes streams up where the former one leads. The
// zero value has applied none.
type routeServices struct {
	prefixesMu sync.Mutex
	// prefixes has a route for each host and prefix of the latest configuration, and of former ones while a daemon may
	// still go by them. It leads to where the latest configuration leads. Guarded by prefixesMu.
	prefixes *table.Table
	// led holds since when the routes of prefixes lead to their services. Guarded by prefixesMu.
	led map[*table.Route]ledServices
}

// ledServices knows since when a route leads to its services.
type ledServices struct {
	// since holds, by service, since when requests went there, and at no time elsewhere only; zero if no stream can
	// have begun elsewhere.
	since map[string]clock.Time
	// removed is when the configuration last had the prefix, or a shorter one if it has none by now; zero if it has it.
	removed clock.Time
}

// over reports whether no daemon still goes by a configuration that has the prefix.
func (l ledServices) over(now clock.Time) bool {
	return !l.removed.IsZero() && now.Sub(l.removed) >= versionSettleTime
}

// set records that a configuration is being applied.
func (s *routeServices) set(t *table.Table, now clock.Time) {
	s.prefixesMu.Lock()
	defer s.prefixesMu.Unlock()
	seen := map[string]bool{}
	var routes []table.Route
	var led []ledServices
	add := func(host, prefix string, removed clock.Time) {
		host = strings.ToLower(host)
		if seen[host+prefix] {
			return
		}
		seen[host+prefix] = true
		r, l := table.Route{Host: host, Prefix: prefix}, ledServices{since: map[string]clock.Time{}, removed: removed}
		former, existed := s.former(host, prefix, now)
		if leading := t.Match(host, prefix); leading != nil {
			r.Splits = leading.Splits
		} else if existed {
			l.since = former.since
		}
		for _, split := range r.Splits {
			since, before := former.since[split.Service]
			if existed && !before {
				since = now
			}
			l.since[split.Service] = since
		}
		routes, led = append(routes, r), append(led, l)
	}
	for _, r := range t.Routes() {
		add(r.Host, r.Prefix, clock.Time{})
	}
	for r, l := range s.led {
		if removed := l.removed; !l.over(now) {
			if removed.IsZero() || (len(r.Splits) > 0 && t.Match(r.Host, r.Prefix) == nil) {
				removed = now
			}
			add(r.Host, r.Prefix, removed)
		}
	}
	s.prefixes, s.led = table.New(table.Spec{Routes: routes}), map[*table.Route]ledServices{}
	for i := range routes {
		s.led[&routes[i]] = led[i]
	}
}

// former returns where requests of a host and path went until now, and whether there was a route for them. It is called
// with prefixesMu held.
func (s *routeServices) former(host, path string, now clock.Time) (ledServices, bool) {
	if s.prefixes == nil {
		return ledServices{}, false
	}
	r := s.prefixes.Match(host, path)
	l, existed := s.led[r]
	if !existed || (l.over(now) && len(r.Splits) == 0) {
		return ledServices{}, false
	}
	return l, true
}

// untilSettled returns for how much longer no stream may begin at a service by the route of a host and path. It is 0 for a
// service to which the route does not lead: requests keep the configuration with which they began.
func (s *routeServices) untilSettled(host, path, service string, now clock.Time) time.Duration {
	s.prefixesMu.Lock()
	defer s.prefixesMu.Unlock()
	if s.prefixes == nil {
		return 0
	}
	return untilSettledSince(s.led[s.prefixes.Match(host, path)].since[service], now)
}

// untilSettledSince returns for how much longer no stream may begin where requests go since a time.
func untilSettledSince(since, now clock.Time) time.Duration {
	if since.IsZero() {
		return 0
	}
	return max(0, versionSettleTime-now.Sub(since))
}

// unsettled returns the number of routes that lead to a service at which no stream may begin yet.
func (s *routeServices) unsettled(now clock.Time) int {
	s.prefixesMu.Lock()
	defer s.prefixesMu.Unlock()
	n := 0
	for _, l := range s.led {
		for _, since := range l.since {
			if untilSettledSince(since, now) > 0 {
				n++
				break
			}
		}
	}
	return n
}

// untilRouteSettled returns for how much longer no stream may begin at a service by the route of a host and path.
func (h *Host) untilRouteSettled(host, path, service string) time.Duration {
	return h.routeServices.untilSettled(host, path, service, clock.Now())
}
