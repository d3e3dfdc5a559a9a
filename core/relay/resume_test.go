package relay

import (
	"bufio"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/canary"
	"embertally.dev/core/clock"
	"embertally.dev/core/fleet"
	"embertally.dev/core/origin"
	"embertally.dev/core/plat"
	"embertally.dev/core/roster"
	"embertally.dev/core/table"
)

// worker adds a worker of a version. Of two that may serve a request, the one with less load is chosen.
func (r *rig) worker(id, version string, load int, handle handler) {
	r.versionTarget(id, "llm", version, always(handle))
	r.roster.Target(id).AddLoad(roster.Load{Running: load})
}

// targetsInOrder returns the targets of the requests that were received, in order.
func (r *rig) targetsInOrder() string {
	var out []string
	for _, req := range r.received() {
		out = append(out, req.target)
	}
	return strings.Join(out, " ")
}

const (
	event1 = "id: 1\ndata: word 1\n\n"
	event2 = "id: 2\ndata: word 2\n\n"
)

// A stream that breaks within one answer went on at whichever worker was free.
func TestBrokenStreamGoesOnAtItsVersion(t *testing.T) {
	breaks, goesOn := stream(false, event1), stream(true, event2)
	for _, tc := range []struct {
		name    string
		prepare func(r *rig)
		path    string
		want    string
		// body is what the caller gets, and whole whether it looks complete.
		body  string
		whole bool
	}{
		{"another worker of the version is busier", func(r *rig) {
			r.worker("a", "v1", 0, breaks)
			r.worker("b", "v2", 3, goesOn)
			r.worker("c", "v1", 6, goesOn)
		}, "/stream/x", "a c", event1 + event2, true},
		{"no other worker of the version", func(r *rig) {
			r.worker("a", "v1", 0, breaks)
			r.worker("b", "v2", 3, goesOn)
		}, "/stream/x", "a", event1, false},
		{"the only other one leaves", func(r *rig) {
			r.worker("a", "v1", 0, breaks)
			r.worker("b", "v2", 3, goesOn)
			r.worker("c", "v1", 6, goesOn)
			r.roster.RecordShutdown("c", roster.ByResponse)
		}, "/stream/x", "a", event1, false},
		{"nothing was passed on yet", func(r *rig) {
			r.worker("a", "v1", 0, stream(false, "id: 1\nda"))
			r.worker("b", "v2", 3, stream(true, event1))
		}, "/stream/x", "a b", event1, true},
		{"no list gives a version", func(r *rig) {
			r.worker("a", "", 0, breaks)
			r.worker("b", "", 3, goesOn)
		}, "/stream/x", "a b", event1 + event2, true},
		{"a version on trial", func(r *rig) {
			r.relay.options.Canary.CanaryShare = 2
			r.relay.options.Canary.SetOrder(canary.Order{Service: "llm", Version: "v2", Lasts: time.Minute, Revision: 5})
			r.worker("a", "v2", 0, breaks)
			r.worker("b", "v2", 3, goesOn)
			r.worker("c", "v1", 0, goesOn)
		}, "/stream/x", "a b", event1 + event2, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, nil)
			r.relay.options.Disabled.Hedges = true
			tc.prepare(r)
			got := r.send(http.MethodPost, tc.path, "x", "Model", "m")
			r.g.Expect(r.targetsInOrder()).To(gomega.Equal(tc.want))
			r.g.Expect(got.body).To(gomega.Equal(tc.body))
			r.g.Expect(got.err == nil).To(gomega.Equal(tc.whole))
			stranded := uint64(0)
			if !tc.whole {
				stranded = 1
			}
			r.g.Expect(r.relay.options.Stats.StreamsStranded.Get()).To(gomega.Equal(stranded))
		})
	}
}

// Two attempts at two versions may race; the one whose event is passed on decides.
func TestFirstEventOfRacedAttemptsDecidesTheVersion(t *testing.T) {
	r := newRig(t, nil)
	r.silentTarget("a-silent", "llm")
	r.worker("b", "v2", 6, stream(false, event1))
	r.worker("c", "", 7, stream(true, event2))
	r.worker("d", "v2", 9, stream(true, event2))
	got := r.send(http.MethodPost, "/raced/x", "x", "Model", "m")
	r.g.Expect(r.relay.options.Stats.HedgesWon.Get()).To(gomega.Equal(uint64(1)))
	r.g.Expect(got.body).To(gomega.Equal(event1 + event2))
	r.g.Expect(r.targetsInOrder()).To(gomega.Equal("a-silent b d"))
}

// A caller takes a stream up: it may go on only at the version that began it, also if another one is free.
func TestCallersResumptionGoesToTheVersionThatBeganTheStream(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prepare func(r *rig)
		headers []string
		status  int
		want    string
		text    string
	}{
		{"known", nil, []string{"Resumes", "first", "After", "1"}, 200, "b", ""},
		{"known, without an event", nil, []string{"Resumes", "first"}, 200, "b", ""},
		{"unknown", nil, []string{"Resumes", "nobody", "After", "1"}, 503, "", "not known which version"},
		{"not named", nil, []string{"After", "1"}, 503, "", "not known which version"},
		{"another organisation's", nil, []string{"Resumes", "foreign", "After", "1"}, 503, "", "not known which version"},
		{"no ID", nil, []string{"Resumes", "two words", "After", "1"}, 400, "", "not named by an ID"},
		{"too long", nil, []string{"Resumes", strings.Repeat("x", 201), "After", "1"}, 400, "", "not named by an ID"},
		{"not named, one version alive", func(r *rig) {
			r.worker("c", "v1", 9, stream(true, event2))
		}, []string{"After", "1"}, 503, "", "not known which version"},
		{"its workers have gone", func(r *rig) { r.roster.RemoveUnusable("b") }, []string{"Resumes", "first", "After", "1"}, 503, "", versionGone},
		{"its workers leave", func(r *rig) { r.roster.RecordShutdown("b", roster.ByResponse) }, []string{"Resumes", "first", "After", "1"}, 503, "", versionLeaving},
		{"rolled back", func(r *rig) {
			r.relay.options.Canary.SetOrder(canary.Order{Service: "llm", Version: "v2", Lasts: time.Minute, Revision: 5})
			r.relay.options.Canary.SetState("llm", canary.State{Order: 5, Version: "v2", Phase: canary.RolledBack})
		}, []string{"Resumes", "first", "After", "1"}, 503, "", versionGone},
		{"on trial, whose share is used up", func(r *rig) {
			r.relay.options.Canary.SetOrder(canary.Order{Service: "llm", Version: "v2", Lasts: time.Minute, Revision: 5})
		}, []string{"Resumes", "first", "After", "1"}, 200, "b", ""},
		{"of a service that the route has left", func(r *rig) {
			r.relay.options.Origins.Record("org", "first", origin.Stream{Service: "former", Version: "v9"})
		}, []string{"Resumes", "first", "After", "1"}, 200, "a", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, nil)
			r.relay.options.Disabled.Hedges = true
			r.worker("a", "v1", 0, stream(true, event2))
			r.worker("b", "v2", 9, stream(true, event2))
			r.relay.options.Origins.Record("org", "first", origin.Stream{Service: "llm", Version: "v2"})
			r.relay.options.Origins.Record("other", "foreign", origin.Stream{Service: "llm", Version: "v1"})
			if tc.prepare != nil {
				tc.prepare(r)
			}
			start := time.Now()
			got := r.send(http.MethodPost, "/stream/x", "x", append([]string{"Model", "m", "Deadline", "4000"}, tc.headers...)...)
			r.g.Expect(got.err).NotTo(gomega.HaveOccurred())
			r.g.Expect(got.status).To(gomega.Equal(tc.status))
			r.g.Expect(r.targetsInOrder()).To(gomega.Equal(tc.want))
			if tc.status != http.StatusOK {
				r.g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 2*time.Second))
				r.g.Expect(got.body).To(gomega.ContainSubstring(tc.text))
				r.g.Expect(got.header.Get("Come-Back") != "").To(gomega.Equal(tc.status == 503))
			}
		})
	}
}

// storedRecord is a copy of the coordination store with where the stream of the attempt "first" began.
type storedRecord struct{ origin.Stream }

func (s storedRecord) Down() bool { return false }

func (s storedRecord) WithPrefix(string) []plat.Pair {
	attempt := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, fleet.Key("org")), fleet.Key("first"))
	value := fmt.Sprintf(`[{"service":%q,"version":%q,"keys":%q}]`, s.Service, s.Version, base64.StdEncoding.EncodeToString(attempt))
	return []plat.Pair{{Key: origin.KeyPrefix + "box/1", Value: []byte(value)}}
}

// A record in the store lacks what has happened to the stream since: nothing goes on by it at a service other than its own.
func TestStoredRecordBindsOnlyWithinTheRoute(t *testing.T) {
	for _, tc := range []struct {
		name   string
		stream origin.Stream
		status int
		want   string
	}{
		{"same service", origin.Stream{Service: "llm", Version: "v2"}, 200, "b"},
		{"a service that the route has left", origin.Stream{Service: "former", Version: "v2"}, 503, ""},
		{"a version that is not there", origin.Stream{Service: "llm", Version: "v3"}, 503, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, nil)
			r.relay.options.Disabled.Hedges = true
			r.relay.options.Origins = origin.New(origin.Options{Versions: r.versions, Copy: storedRecord{tc.stream}})
			r.worker("a", "v1", 0, stream(true, event2))
			r.worker("b", "v2", 9, stream(true, event2))
			got := r.send(http.MethodPost, "/stream/x", "x", "Model", "m", "Deadline", "4000", "Resumes", "first", "After", "1")
			r.g.Expect(got.status).To(gomega.Equal(tc.status))
			r.g.Expect(r.targetsInOrder()).To(gomega.Equal(tc.want))
		})
	}
}

// What a service has always had a single version of may be resumed by anybody.
func TestResumptionOfTheOnlyVersion(t *testing.T) {
	r := newRig(t, nil)
	r.worker("a", "v1", 0, stream(true, event2))
	r.worker("b", "v1", 3, stream(true, event2))
	got := r.send(http.MethodPost, "/stream/x", "x", "Model", "m", "After", "1", "Resumes", "nobody")
	r.g.Expect(got.status).To(gomega.Equal(http.StatusOK))
	// One worker of another version is enough to doubt, also after it has gone.
	r.worker("c", "v2", 6, stream(true, event2))
	r.roster.RemoveUnusable("c")
	got = r.send(http.MethodPost, "/stream/x", "x", "Model", "m", "After", "1", "Resumes", "stranger")
	r.g.Expect(got.status).To(gomega.Equal(http.StatusServiceUnavailable))
	r.g.Expect(r.relay.options.Stats.StreamsUnknown.Get()).To(gomega.Equal(uint64(1)))
}

// Each attempt of a chain is recorded, and the first one again, so that callers may name either.
func TestEachAttemptAtAStreamIsRecorded(t *testing.T) {
	r := newRig(t, nil)
	r.relay.options.Disabled.Hedges = true
	r.worker("a", "v1", 0, stream(true, event1, event2))
	r.worker("b", "v2", 9, stream(true, event1, event2))
	r.send(http.MethodPost, "/stream/x", "x", "Model", "m", "Id", "one")
	r.send(http.MethodPost, "/stream/x", "x", "Model", "m", "Id", "two", "Resumes", "one", "After", "1")
	// A free worker of the other version must not get what follows.
	r.roster.Target("a").AddLoad(roster.Load{Running: 10})
	r.roster.Target("b").RemoveLoad(roster.Load{Running: 9})
	for _, id := range []string{"one", "two"} {
		got := r.send(http.MethodPost, "/stream/x", "x", "Model", "m", "Id", "three", "Resumes", id, "After", "1")
		r.g.Expect(got.body).To(gomega.Equal(event2))
	}
	r.g.Expect(r.targetsInOrder()).To(gomega.Equal("a a a a"))
	r.g.Expect(r.relay.options.Stats.StreamsBound.Get()).To(gomega.Equal(uint64(3)))
}

// Guards against a stream that begins at a version which other daemons may not know yet: it goes elsewhere or is refused
// until they do, while one that began there goes on there.
func TestStreamsBeginAtSettledVersionsOnly(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prepare func(r *rig)
		headers []string
		want    string
		refused bool
	}{
		{"the other one is busier", func(r *rig) { r.worker("a", "v1", 6, stream(true, event1)) }, nil, "a", false},
		{"there is no other one", func(*rig) {}, nil, "", true},
		{"the other one leaves", func(r *rig) {
			r.worker("a", "v1", 6, stream(true, event1))
			r.roster.RecordShutdown("a", roster.ByResponse)
		}, nil, "", true},
		{"began there", func(r *rig) {
			r.worker("a", "v1", 0, stream(true, event2))
			r.relay.options.Origins.Record("org", "first", origin.Stream{Service: "llm", Version: "v2"})
		}, []string{"Resumes", "first", "After", "1"}, "b", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, nil)
			r.relay.options.Disabled.Hedges = true
			r.relay.options.UntilSettled = func(service, version string) time.Duration {
				r.g.Expect(service).To(gomega.Equal("llm"))
				if version == "v2" {
					return 1500 * time.Millisecond
				}
				return 0
			}
			r.worker("b", "v2", 0, stream(true, event2))
			tc.prepare(r)
			got := r.send(http.MethodPost, "/stream/x", "x", append([]string{"Model", "m"}, tc.headers...)...)
			r.g.Expect(r.targetsInOrder()).To(gomega.Equal(tc.want))
			r.g.Expect(got.status == http.StatusServiceUnavailable).To(gomega.Equal(tc.refused))
			if tc.refused {
				after, err := time.ParseDuration(got.header.Get("Come-Back"))
				r.g.Expect(err).NotTo(gomega.HaveOccurred())
				r.g.Expect(after).To(gomega.BeNumerically(">=", 1500*time.Millisecond), "no return is refused again")
			}
		})
	}
}

// Guards against a record that ends while its stream goes on: what takes the stream up then knows nothing of its beginning.
func TestRecordLivesAsLongAsItsStream(t *testing.T) {
	r := newRig(t, nil)
	r.worker("a", "v1", 0, func(w *bufio.Writer, req *http.Request) error {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", req.Header.Get("Id"))
		for i := range 10 {
			fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1)
			w.Flush()
			time.Sleep(20 * time.Millisecond)
			clock.Suspend(origin.RenewInterval)
		}
		return io.ErrClosedPipe
	})
	// It has served another version, so that only the record tells.
	r.worker("b", "v2", 9, stream(true, event2))
	r.relay.options.Disabled.Retries = true
	r.send(http.MethodPost, "/stream/x", "x", "Model", "m", "Id", "one")
	clock.Suspend(origin.Retention - origin.RenewInterval)
	found := r.relay.options.Origins.Find(t.Context(), "org", "one", "llm")
	r.g.Expect(found.Known).To(gomega.BeTrue())
	r.g.Expect(found.Sole).To(gomega.BeFalse())
	r.g.Expect(found.Version).To(gomega.Equal("v1"))
}

// Guards against a stream that is bound to the version that the list names when its first event comes, though another one was
// named when the request was sent.
func TestVersionThatChangesBeforeTheFirstEventIsNotKnown(t *testing.T) {
	for _, tc := range []struct {
		name string
		// after is the number of events after which the entry changes.
		after   int
		whole   bool
		headers []string
		want    string
		status  int
		body    string
		// recorded is the version on record afterwards.
		recorded string
	}{
		{"a stream that begins", 0, true, nil, "a", 200, event1 + event2, ""},
		{"a stream that begins and breaks", 0, false, nil, "a", 200, event1 + event2, ""},
		{"changes later", 1, false, nil, "a c", 200, event1 + event2, "v1"},
		{"a stream that is resumed", 0, true, []string{"Resumes", "first", "After", "1"}, "a c", 200, event2, "v1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, nil)
			r.relay.options.Disabled.Hedges = true
			r.relay.options.Origins.Record("org", "first", origin.Stream{Service: "llm", Version: "v1"})
			r.worker("a", "v1", 0, func(w *bufio.Writer, req *http.Request) error {
				change := func() {
					e := *r.roster.Target("a").Entry()
					e.Version = "v2"
					r.roster.Put(e)
				}
				fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", req.Header.Get("Id"))
				events := []string{event1, event2}
				if req.Header.Get("After") == "1" {
					events = events[1:]
				}
				if tc.after == 1 {
					events = events[:1]
				}
				for i, event := range events {
					if i == tc.after {
						change()
					}
					fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
					w.Flush()
					time.Sleep(20 * time.Millisecond)
				}
				if tc.after == len(events) {
					change()
				}
				if !tc.whole {
					return io.ErrClosedPipe
				}
				fmt.Fprint(w, "0\r\n\r\n")
				return nil
			})
			r.worker("b", "v2", 3, stream(true, event2))
			r.worker("c", "v1", 6, stream(true, event2))
			got := r.send(http.MethodPost, "/stream/x", "x", append([]string{"Model", "m", "Id", "one", "Deadline", "4000"}, tc.headers...)...)
			r.g.Expect(r.targetsInOrder()).To(gomega.Equal(tc.want))
			r.g.Expect(got.status).To(gomega.Equal(tc.status))
			r.g.Expect(got.body).To(gomega.Equal(tc.body))
			r.g.Expect(got.err == nil).To(gomega.Equal(tc.whole || tc.after == 1))
			found := r.relay.options.Origins.Find(t.Context(), "org", "one", "llm")
			r.g.Expect(found.Version).To(gomega.Equal(tc.recorded))
		})
	}
}

// Guards against a stream that goes on at another service: its route leads to several, each with a single version, and the daemon
// that takes it up has no record of where it began.
func TestStreamOfASplitRouteIsNotTakenUpAtAnotherService(t *testing.T) {
	for _, random := range []float64{0.1, 0.9} {
		t.Run(strconv.FormatFloat(random, 'g', -1, 64), func(t *testing.T) {
			r := newRig(t, nil)
			r.relay.options.Random = func() float64 { return random }
			r.relay.SetTable(table.New(table.Spec{
				Version: 2, Organisations: testOrganisations, Services: []table.Service{{Name: "s1"}, {Name: "s2"}},
				Routes: []table.Route{{
					Name: "split", Host: "h", Prefix: "/split/", Kind: table.Stream, Resumable: true, Timeout: 5 * time.Second,
					LatencyObjective: time.Second, MaxAttempts: 2, Splits: []table.Split{{Service: "s1", Weight: 1}, {Service: "s2", Weight: 1}},
				}},
			}))
			r.versionTarget("a", "s1", "v1", always(stream(true, "id: 3\ndata: of s1\n\n")))
			r.versionTarget("b", "s2", "v7", always(stream(true, "id: 3\ndata: of s2\n\n")))
			got := r.send(http.MethodPost, "/split/x", "", "After", "2", "Resumes", "try-0")
			r.g.Expect(got.status).NotTo(gomega.Equal(http.StatusOK), "either may have begun it: %q", got.body)
		})
	}
}

// Guards against a stream that begins at a service of which other daemons may not know yet that its route leads there: it begins
// at another service of the route, or is refused until they know. Nothing else waits.
func TestStreamsBeginWhereTheirRouteHasLedForLong(t *testing.T) {
	const wait, requests = 1500 * time.Millisecond, 20
	both, moved := []table.Split{{Service: "old", Weight: 1}, {Service: "new", Weight: 1}}, []table.Split{{Service: "new", Weight: 1}}
	for _, tc := range []struct {
		name   string
		splits []table.Split
		path   string
		// headers are those of each request, and at are the services that get requests during the wait.
		headers []string
		at      []string
		// record is the service of the attempt "first" that is on record, if any.
		record string
	}{
		{"divided", both, "/stream/x?y", nil, []string{"old"}, ""},
		{"moved", moved, "/stream/x?y", nil, nil, ""},
		{"moved, the former service has no weight", []table.Split{{Service: "old"}, {Service: "new", Weight: 1}}, "/stream/x?y", nil, nil, ""},
		{"not led elsewhere", both, "/other/x", nil, []string{"old", "new"}, ""},
		{"not resumable", moved, "/unresumed/x", nil, []string{"new"}, ""},
		{"no stream", moved, "/plain/x", nil, []string{"new"}, ""},
		{"on record there", both, "/stream/x?y", []string{"Resumes", "first", "After", "1"}, []string{"new"}, "new"},
		{"on record elsewhere", both, "/stream/x?y", []string{"Resumes", "first", "After", "1"}, []string{"old"}, "old"},
		{"on record where the route no longer leads", moved, "/stream/x?y", []string{"Resumes", "first", "After", "1"}, nil, "old"},
		{"the only version of the new service", moved, "/stream/x?y", []string{"Resumes", "first", "After", "1"}, nil, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, nil)
			r.relay.options.Disabled.Hedges = true
			var settled atomic.Bool
			r.relay.options.UntilRouteSettled = func(host, path, service string) time.Duration {
				r.g.Expect(host).To(gomega.Equal("h"))
				if path == "/stream/x" && service == "new" && !settled.Load() {
					return wait
				}
				return 0
			}
			routes := []table.Route{
				{Host: "h", Prefix: "/stream/", Kind: table.Stream, Resumable: true},
				{Host: "h", Prefix: "/other/", Kind: table.Stream, Resumable: true},
				{Host: "h", Prefix: "/unresumed/", Kind: table.Stream},
				{Host: "h", Prefix: "/plain/", Kind: table.Repeatable},
			}
			for i := range routes {
				routes[i].Timeout, routes[i].LatencyObjective, routes[i].MaxAttempts, routes[i].Splits = 5*time.Second, time.Second, 2, tc.splits
			}
			r.relay.SetTable(table.New(table.Spec{Organisations: testOrganisations, Routes: routes, Services: []table.Service{{Name: "old"}, {Name: "new"}}}))
			answer := stream(true, event2)
			if tc.path == "/plain/x" {
				answer = respond(http.StatusOK, "x")
			}
			r.versionTarget("old", "old", "v1", always(answer))
			r.versionTarget("new", "new", "v7", always(answer))
			if tc.record != "" {
				version := map[string]string{"old": "v1", "new": "v7"}[tc.record]
				r.relay.options.Origins.Record("org", "first", origin.Stream{Service: tc.record, Version: version})
			}
			send := func() callerAnswer { return r.send(http.MethodPost, tc.path, "", tc.headers...) }
			for range requests {
				got := send()
				if len(tc.at) > 0 {
					r.g.Expect(got.status).To(gomega.Equal(http.StatusOK), "nobody is refused")
					continue
				}
				r.g.Expect(got.status).To(gomega.Equal(http.StatusServiceUnavailable))
				after, err := time.ParseDuration(got.header.Get("Come-Back"))
				r.g.Expect(err).NotTo(gomega.HaveOccurred())
				r.g.Expect(after).To(gomega.And(gomega.BeNumerically(">=", wait), gomega.BeNumerically("<=", 3*wait/2)))
			}
			r.g.Expect(services(r)).To(gomega.ConsistOf(tc.at))
			settled.Store(true)
			for range requests {
				r.g.Expect(send().status).To(gomega.Equal(http.StatusOK))
			}
			if tc.record != "old" || len(tc.splits) == 1 {
				r.g.Expect(services(r)).To(gomega.ContainElement("new"), "it is used afterwards")
			}
		})
	}
}

// services returns the targets that have received requests, each once.
func services(r *rig) []string {
	var out []string
	for _, req := range r.received() {
		if !slices.Contains(out, req.target) {
			out = append(out, req.target)
		}
	}
	return out
}

// Guards against a stream of two services: a daemon has not received the configuration by which the stream began.
func TestStreamIsNotTakenUpByAnOlderConfigurationThanItBeganBy(t *testing.T) {
	for _, tc := range []struct {
		name   string
		config int64
		status int
		want   string
	}{
		{"began before the route was moved", 2, 200, "a"},
		{"began by a configuration that is not known", 0, 200, "a"},
		{"began by a newer configuration", 4, 503, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, nil)
			r.relay.options.Disabled.Hedges = true
			r.relay.SetTable(table.New(table.Spec{
				Version: 3, Routes: testRoutes, Organisations: testOrganisations,
				Services: []table.Service{{Name: "llm", Engine: &table.Engine{Models: []string{"m"}, Slots: 4, MemoryTokens: 1 << 20}}},
			}))
			r.worker("a", "v1", 0, stream(true, event2))
			r.relay.options.Origins.Record("org", "first", origin.Stream{Service: "other", Version: "v9", Config: tc.config})
			got := r.send(http.MethodPost, "/stream/x", "x", "Model", "m", "Deadline", "4000", "Resumes", "first", "After", "1")
			r.g.Expect(r.targetsInOrder()).To(gomega.Equal(tc.want))
			r.g.Expect(got.status).To(gomega.Equal(tc.status))
			ahead, moved := r.relay.options.Stats.StreamsAhead.Get(), r.relay.options.Stats.StreamsMoved.Get()
			r.g.Expect([]bool{ahead == 1, moved == 1}).To(gomega.Equal([]bool{tc.status == 503, tc.status == 200}))
		})
	}
}

// Guards against a stream that ends early as whole, by a target whose events would not be passed on.
func TestEndByATargetOfUnknownVersionIsNoEndOfAStream(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prepare func(r *rig)
		// last is all that the target sends whose entry changes.
		last    []string
		headers []string
		want    string
		body    string
	}{
		{"taken up by the caller, an event more", nil, []string{event2}, []string{"Resumes", "first", "After", "1"}, "a c", event2},
		{"taken up by the caller, no event", nil, nil, []string{"Resumes", "first", "After", "1"}, "a c", event2},
		{"taken up by the caller, the event that it has", nil, []string{event1}, []string{"Resumes", "first", "After", "1"}, "a c", event2},
		{"within one answer, no event", func(r *rig) { r.worker("b", "v1", 0, stream(false, event1)) }, nil, nil, "b a c", event1 + event2},
		{"within one answer, the event that the caller has", func(r *rig) { r.worker("b", "v1", 0, stream(false, event1)) }, []string{event1}, nil, "b a c", event1 + event2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, nil)
			r.relay.options.Disabled.Hedges = true
			r.relay.options.Origins.Record("org", "first", origin.Stream{Service: "llm", Version: "v1"})
			r.worker("a", "v1", 3, func(w *bufio.Writer, req *http.Request) error {
				e := *r.roster.Target("a").Entry()
				e.Version = "v2"
				r.roster.Put(e)
				return stream(true, tc.last...)(w, req)
			})
			r.worker("c", "v1", 6, stream(true, event2))
			if tc.prepare != nil {
				tc.prepare(r)
			}
			got := r.send(http.MethodPost, "/raced/x", "x", append([]string{"Model", "m", "Id", "one", "Deadline", "4000"}, tc.headers...)...)
			r.g.Expect(got.body).To(gomega.Equal(tc.body))
			r.g.Expect(got.err).NotTo(gomega.HaveOccurred())
			r.g.Expect(r.targetsInOrder()).To(gomega.Equal(tc.want))
		})
	}
}
