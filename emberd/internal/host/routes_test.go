package host

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/clock"
	"embertally.dev/core/table"
)

// streamRoute returns a route whose streams may be resumed.
func streamRoute(prefix string, services ...string) table.Route {
	r := table.Route{Host: "H", Prefix: prefix, Kind: table.Stream, Resumable: true, Timeout: 10 * time.Second}
	for _, s := range services {
		r.Splits = append(r.Splits, table.Split{Service: s, Weight: 1})
	}
	return r
}

// Guards against streams that begin at a service of which another daemon does not know yet, and against routes that wait though
// no stream can have begun elsewhere, where configurations follow each other at once.
func TestRouteWaitsForEachServiceThatItIsLedTo(t *testing.T) {
	const pause = versionSettleTime / 3
	for _, tc := range []struct {
		name string
		// configs follow each other after a pause; the last one has been there for a pause.
		configs [][]table.Route
		// path is that of the stream; wait is how much longer none begins at service c.
		path string
		wait time.Duration
	}{
		{"the first configuration", [][]table.Route{{streamRoute("/s/", "c")}}, "/s/1", 0},
		{"unchanged", [][]table.Route{{streamRoute("/s/", "c")}, {streamRoute("/s/", "c")}}, "/s/1", 0},
		{"another one is added", [][]table.Route{{streamRoute("/s/", "c")}, {streamRoute("/s/", "c", "d")}}, "/s/1", 0},
		{"the other one is removed", [][]table.Route{{streamRoute("/s/", "c", "d")}, {streamRoute("/s/", "c")}}, "/s/1", 0},
		{"added", [][]table.Route{{streamRoute("/s/", "d")}, {streamRoute("/s/", "c", "d")}}, "/s/1", 2 * pause},
		{"moved", [][]table.Route{{streamRoute("/s/", "d")}, {streamRoute("/s/", "c")}}, "/s/1", 2 * pause},
		{"added, then moved", [][]table.Route{{streamRoute("/s/", "d")}, {streamRoute("/s/", "c", "d")}, {streamRoute("/s/", "c")}}, "/s/1", pause},
		{"moved and back", [][]table.Route{{streamRoute("/s/", "c")}, {streamRoute("/s/", "d")}, {streamRoute("/s/", "c")}}, "/s/1", 2 * pause},
		{"moved twice", [][]table.Route{{streamRoute("/s/", "d")}, {streamRoute("/s/", "e")}, {streamRoute("/s/", "c")}}, "/s/1", 2 * pause},
		{"a new route", [][]table.Route{{streamRoute("/t/", "d")}, {streamRoute("/t/", "d"), streamRoute("/s/", "c")}}, "/s/1", 0},
		{"a new route, then changed", [][]table.Route{{}, {streamRoute("/s/", "d")}, {streamRoute("/s/", "c")}}, "/s/1", 2 * pause},
		{"a new route to a service of another", [][]table.Route{{streamRoute("/t/", "c")}, {streamRoute("/t/", "c"), streamRoute("/s/", "c")}}, "/s/1", 0},
		{"added to another route", [][]table.Route{{streamRoute("/t/", "d"), streamRoute("/s/", "c")}, {streamRoute("/t/", "c", "d"), streamRoute("/s/", "c")}}, "/s/1", 0},
		{"removed and new", [][]table.Route{{streamRoute("/s/", "c")}, {}, {streamRoute("/s/", "c")}}, "/s/1", 0},
		{"removed, new and moved", [][]table.Route{{streamRoute("/s/", "d")}, {}, {streamRoute("/s/", "c")}}, "/s/1", 2 * pause},
		{"removed for long", [][]table.Route{{streamRoute("/s/", "d")}, {}, {}, {}, {}, {streamRoute("/s/", "c")}}, "/s/1", 0},
		{"a longer prefix is added", [][]table.Route{{streamRoute("/s/", "d")}, {streamRoute("/s/", "d"), streamRoute("/s/x/", "c")}}, "/s/x/1", 2 * pause},
		{"a longer prefix is removed", [][]table.Route{{streamRoute("/s/", "c"), streamRoute("/s/x/", "d")}, {streamRoute("/s/", "c")}}, "/s/x/1", 2 * pause},
		{"beside a longer prefix that is removed", [][]table.Route{{streamRoute("/s/", "c"), streamRoute("/s/x/", "d")}, {streamRoute("/s/", "c")}}, "/s/1", 0},
		{"a longer prefix to the same service", [][]table.Route{{streamRoute("/s/", "c")}, {streamRoute("/s/x/", "c")}, {streamRoute("/s/", "c")}}, "/s/x/1", 0},
		{"no longer led to", [][]table.Route{{streamRoute("/s/", "c")}, {streamRoute("/s/", "d")}}, "/s/1", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			h := newTestHost(t)
			for i, routes := range tc.configs {
				h.applyTable(table.New(table.Spec{Version: int64(i + 1), Routes: routes}))
				clock.Suspend(pause)
			}
			const tolerance = 200 * time.Millisecond
			g.Expect(h.untilRouteSettled("h:443", tc.path, "c")).To(gomega.BeNumerically("~", tc.wait, tolerance))
			clock.Suspend(tc.wait)
			g.Expect(h.untilRouteSettled("h:443", tc.path, "c")).To(gomega.BeZero())
		})
	}
}

// The wait follows from the configurations that other daemons may still go by, whatever their order: no stream begins at a service
// to which one of these does not lead, and each stream begins where all of them lead.
func TestRouteWaitsWhileAnyDaemonMayGoByAnotherService(t *testing.T) {
	services, prefixes := []string{"a", "b", "c"}, []string{"/", "/s/", "/s/x/"}
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			now := clock.Now()
			var led routeServices
			type applied struct {
				*table.Table
				until clock.Time
			}
			var configs []applied
			begins, waits := 0, 0
			for range 3000 {
				var routes []table.Route
				for _, prefix := range prefixes {
					if some := random.Perm(len(services))[:random.IntN(3)]; len(some) > 0 {
						r := streamRoute(prefix)
						for _, i := range some {
							r.Splits = append(r.Splits, table.Split{Service: services[i], Weight: 1})
						}
						routes = append(routes, r)
					}
				}
				if len(configs) > 0 {
					configs[len(configs)-1].until = now
				}
				latest := table.New(table.Spec{Routes: routes})
				configs = append(configs, applied{Table: latest})
				led.set(latest, now)
				// conflicts reports whether a daemon may lead a path elsewhere that goes by a configuration of some time ago.
				conflicts := func(path, service string, within time.Duration) bool {
					for i := len(configs) - 1; i >= 0; i-- {
						if c := configs[i]; c.until != (clock.Time{}) && now.Sub(c.until) >= within {
							break
						} else if r := c.Match("h", path); r != nil && !r.Includes(service) {
							return true
						}
					}
					return false
				}
				for range 1 + random.IntN(3) {
					now = now.Add(time.Duration(random.Int64N(int64([]time.Duration{versionSettleTime / 4, 2 * versionSettleTime}[random.IntN(2)]))))
					for _, prefix := range prefixes {
						r := latest.Match("h", prefix+"1")
						if r == nil {
							continue
						}
						for _, split := range r.Splits {
							until := led.untilSettled("h", prefix+"1", split.Service, now)
							if until > 0 {
								waits++
								if !conflicts(prefix+"1", split.Service, 2*versionSettleTime) {
									t.Fatalf("no stream of %s begins at %s for %s, though none can have begun elsewhere", prefix, split.Service, until)
								}
							} else if begins++; conflicts(prefix+"1", split.Service, versionSettleTime) {
								t.Fatalf("a stream of %s begins at %s, though a daemon may lead it elsewhere", prefix, split.Service)
							}
						}
					}
				}
			}
			t.Logf("%d begin, %d wait", begins, waits)
		})
	}
}
