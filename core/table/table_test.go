package table

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func spec() Spec {
	return Spec{
		Version: 7,
		Routes: []Route{
			{Name: "short", Host: "a.example", Prefix: "/x/", Splits: []Split{{"s1", 3}, {"s2", 1}}},
			{Name: "long", Host: "a.example", Prefix: "/x/y/", Splits: []Split{{"s1", 0}}},
			{Name: "other", Host: "B.example", Prefix: "/", Splits: []Split{{"s3", 1}}},
		},
		Services: []Service{
			{Name: "s2", Store: &Store{Address: "10.0.0.2:1"}},
			{Name: "s1", Store: &Store{Address: "10.0.0.1:1"}},
			{Name: "s3", Engine: &Engine{Slots: 4}},
		},
		Organisations: []Organisation{{Name: "o", Keys: []string{"k1", "k2"}}},
	}
}

func TestMatchTakesTheLongestPrefixOfTheHost(t *testing.T) {
	tests := []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example:8080", "/x/1", "short"},
		{"A.Example", "/x/y/1", "long"},
		{"a.example", "/x", ""},
		{"a.example", "/z/", ""},
		{"b.example", "/z", "other"},
		{"c.example", "/x/1", ""},
		{"", "/x/1", ""},
	}
	tbl := New(spec())
	for _, tc := range tests {
		t.Run(tc.host+tc.path, func(t *testing.T) {
			got := ""
			if r := tbl.Match(tc.host, tc.path); r != nil {
				got = r.Name
			}
			gomega.NewWithT(t).Expect(got).To(gomega.Equal(tc.want))
		})
	}
}

func TestServiceIsPickedByWeight(t *testing.T) {
	tests := []struct {
		route  string
		random float64
		want   string
	}{
		{"/x/", 0, "s1"},
		{"/x/", 0.74, "s1"},
		{"/x/", 0.76, "s2"},
		{"/x/", 0.999, "s2"},
		{"/x/y/", 0.5, "s1"},
	}
	tbl := New(spec())
	for _, tc := range tests {
		gomega.NewWithT(t).Expect(tbl.Match("a.example", tc.route).Service(tc.random)).To(gomega.Equal(tc.want))
	}
}

func TestTableLookups(t *testing.T) {
	g := gomega.NewWithT(t)
	tbl := New(spec())
	g.Expect(tbl.Version()).To(gomega.Equal(int64(7)))
	g.Expect(tbl.RequiresKeys()).To(gomega.BeTrue())
	g.Expect(tbl.Organisation("k2").Name).To(gomega.Equal("o"))
	g.Expect(tbl.Organisation("k3")).To(gomega.BeNil())
	g.Expect(tbl.Stores()).To(gomega.HaveLen(2))
	g.Expect(tbl.Stores()[0].Address).To(gomega.Equal("10.0.0.1:1"))
	g.Expect(tbl.Engines()).To(gomega.HaveLen(1))
	g.Expect(tbl.Service("none")).To(gomega.BeNil())
	g.Expect(New(Spec{}).RequiresKeys()).To(gomega.BeFalse())
}

func TestMayRepeat(t *testing.T) {
	tests := []struct {
		route Route
		want  bool
	}{
		{Route{Kind: Once}, false},
		{Route{Kind: Repeatable}, true},
		{Route{Kind: Stream}, false},
		{Route{Kind: Stream, Resumable: true}, true},
		{Route{Kind: Once, Resumable: true}, false},
	}
	for _, tc := range tests {
		gomega.NewWithT(t).Expect(tc.route.MayRepeat()).To(gomega.Equal(tc.want))
	}
}

func TestLinkTime(t *testing.T) {
	for _, tc := range []struct {
		name          string
		size          int
		bitsPerSecond float64
		want          time.Duration
	}{
		{"one second", 125, 1000, time.Second},
		{"no bytes", 0, 1000, 0},
		{"unknown bandwidth", 125, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := LinkTime(tc.size, tc.bitsPerSecond); got != tc.want {
				t.Errorf("LinkTime(%d, %v) = %v, want %v", tc.size, tc.bitsPerSecond, got, tc.want)
			}
		})
	}
}

// A route without a timeout bounds nothing, whatever the others do.
func TestLongestResumable(t *testing.T) {
	stream := func(timeout time.Duration, resumable bool) Route {
		return Route{Host: "h", Prefix: "/" + timeout.String() + "/", Kind: Stream, Resumable: resumable, Timeout: timeout}
	}
	plain := Route{Host: "other", Prefix: "/p/", Kind: Repeatable, Resumable: true, Timeout: time.Hour}
	for _, tc := range []struct {
		name    string
		routes  []Route
		longest time.Duration
		bounded bool
	}{
		{"none", []Route{plain, stream(time.Hour, false), stream(0, false)}, 0, true},
		{"several", []Route{plain, stream(time.Second, true), stream(time.Minute, true), stream(time.Hour, false)}, time.Minute, true},
		{"not bounded", []Route{stream(0, true), stream(time.Minute, true)}, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			longest, bounded := New(Spec{Routes: tc.routes}).LongestResumable()
			g.Expect(longest).To(gomega.Equal(tc.longest))
			g.Expect(bounded).To(gomega.Equal(tc.bounded))
		})
	}
}

func TestSplitsStreams(t *testing.T) {
	route := func(kind Kind, resumable bool, services ...string) Route {
		r := Route{Name: "r", Host: "h", Prefix: "/", Kind: kind, Resumable: resumable}
		for _, s := range services {
			r.Splits = append(r.Splits, Split{Service: s, Weight: 1})
		}
		return r
	}
	for _, tc := range []struct {
		name  string
		route Route
		want  bool
	}{
		{"one service", route(Stream, true, "a"), false},
		{"two services", route(Stream, true, "a", "b"), true},
		{"streams that may not be resumed", route(Stream, false, "a", "b"), false},
		{"plain requests", route(Repeatable, false, "a", "b"), false},
		{"other services", route(Stream, true, "b", "c"), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			gomega.NewWithT(t).Expect(New(Spec{Routes: []Route{tc.route}}).SplitsStreams("a")).To(gomega.Equal(tc.want))
		})
	}
}

// Guards against streams that a daemon takes for such as cannot be resumed, though a later configuration lets callers resume them.
func TestMakesResumable(t *testing.T) {
	route := func(prefix string, resumable bool) Route {
		return Route{Host: "h", Prefix: prefix, Kind: Stream, Resumable: resumable}
	}
	plain := Route{Host: "h", Prefix: "/s/", Kind: Repeatable}
	for _, tc := range []struct {
		name         string
		former, then []Route
		want         bool
	}{
		{"unchanged", []Route{route("/s/", false)}, []Route{route("/s/", false)}, false},
		{"resumable before", []Route{route("/s/", true)}, []Route{route("/s/", true)}, false},
		{"resumable by now", []Route{route("/s/", false)}, []Route{route("/s/", true)}, true},
		{"no longer resumable", []Route{route("/s/", true)}, []Route{route("/s/", false)}, false},
		{"a new route", []Route{route("/t/", false)}, []Route{route("/t/", false), route("/s/", true)}, false},
		{"a longer prefix", []Route{route("/s/", false)}, []Route{route("/s/", false), route("/s/x/", true)}, true},
		{"a longer prefix that is removed", []Route{route("/s/", true), route("/s/x/", false)}, []Route{route("/s/", true)}, true},
		{"plain requests before", []Route{plain}, []Route{route("/s/", true)}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			g.Expect(New(Spec{Routes: tc.then}).MakesResumable(New(Spec{Routes: tc.former}))).To(gomega.Equal(tc.want))
		})
	}
}

// A stream that cannot be resumed counts, and one without a timeout bounds nothing.
func TestLongestStream(t *testing.T) {
	g := gomega.NewWithT(t)
	routes := []Route{
		{Host: "h", Prefix: "/a/", Kind: Stream, Resumable: true, Timeout: time.Second},
		{Host: "h", Prefix: "/b/", Kind: Stream, Timeout: time.Minute},
		{Host: "h", Prefix: "/c/", Kind: Repeatable, Timeout: time.Hour},
	}
	longest, bounded := New(Spec{Routes: routes}).LongestStream()
	g.Expect(longest).To(gomega.Equal(time.Minute))
	g.Expect(bounded).To(gomega.BeTrue())
	_, bounded = New(Spec{Routes: append(routes, Route{Host: "h", Prefix: "/d/", Kind: Stream})}).LongestStream()
	g.Expect(bounded).To(gomega.BeFalse())
}
