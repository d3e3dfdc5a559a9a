package order

import (
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/clock"
)

func TestReplacedWeightsAreDatedByTheirEarliestPossibleNaming(t *testing.T) {
	now := clock.Now()
	ago := func(age time.Duration) clock.Time { return now.Add(-age) }
	millis := func(age time.Duration) int64 { return age.Milliseconds() }
	type naming struct {
		version   int64
		notBefore clock.Time
	}
	for _, tc := range []struct {
		name string
		// named are the versions that the daemon receives now, and told what peers respond.
		named []naming
		told  [][]versionAge
		// version is the one asked for, and want for how long it may have been replaced.
		version int64
		want    time.Duration
	}{
		{name: "the newest", named: []naming{{2, ago(time.Second)}}, version: 2, want: 0},
		{name: "received by a daemon that follows the store", named: []naming{{2, ago(time.Second)}}, version: 1, want: time.Second},
		{name: "received late", named: []naming{{2, ago(9 * time.Second)}}, version: 1, want: 9 * time.Second},
		{name: "received by a daemon that has started", named: []naming{{2, clock.Time{}}}, version: 1, want: replacedForever},
		{name: "two since", named: []naming{{2, ago(5 * time.Second)}, {3, ago(time.Second)}}, version: 1, want: 5 * time.Second},
		{name: "the second of two", named: []naming{{2, ago(5 * time.Second)}, {3, ago(time.Second)}}, version: 2, want: time.Second},
		{name: "out of order", named: []naming{{3, ago(5 * time.Second)}, {2, ago(time.Second)}}, version: 1, want: 5 * time.Second},
		{
			name: "a peer knows", named: []naming{{2, clock.Time{}}}, version: 1, want: 4 * time.Second,
			told: [][]versionAge{{{Model: "m", Version: 2, NotBeforeMillis: millis(4 * time.Second)}}},
		},
		{
			name: "a peer knows a version between", named: []naming{{3, clock.Time{}}}, version: 1, want: 6 * time.Second,
			told: [][]versionAge{{{Model: "m", Version: 2, NotBeforeMillis: millis(6 * time.Second)}, {Model: "m", Version: 3, NotBeforeMillis: millis(time.Second)}}},
		},
		{
			name: "one peer knows better", named: []naming{{2, clock.Time{}}}, version: 1, want: 2 * time.Second,
			told: [][]versionAge{{{Model: "m", Version: 2, NotBeforeMillis: millis(7 * time.Second)}}, {{Model: "m", Version: 2, NotBeforeMillis: millis(2 * time.Second)}}},
		},
		{
			name: "a peer knows less", named: []naming{{2, ago(time.Second)}}, version: 1, want: time.Second,
			told: [][]versionAge{{{Model: "m", Version: 2, NotBeforeMillis: millis(7 * time.Second)}}},
		},
		{name: "a peer knows nothing", named: []naming{{2, clock.Time{}}}, told: [][]versionAge{{}}, version: 1, want: replacedForever},
		{
			name: "a peer knows a version that has not come", named: []naming{{2, clock.Time{}}}, version: 1, want: replacedForever,
			told: [][]versionAge{{{Model: "m", Version: 3, NotBeforeMillis: millis(time.Second)}}},
		},
		{
			name: "a peer's age in the future", named: []naming{{2, clock.Time{}}}, version: 1, want: replacedForever,
			told: [][]versionAge{{{Model: "m", Version: 2, NotBeforeMillis: -1 << 62}}},
		},
		{
			name: "another model", named: []naming{{2, clock.Time{}}}, version: 1, want: replacedForever,
			told: [][]versionAge{{{Model: "n", Version: 2, NotBeforeMillis: millis(time.Second)}}},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var n NamedWeights
			for _, v := range tc.named {
				n.Name("m", v.version, v.notBefore)
			}
			for _, ages := range tc.told {
				n.merge(ages, now)
			}
			got := n.ReplacedFor("m", tc.version)
			if tc.want == 0 || tc.want == replacedForever {
				g.Expect(got).To(gomega.Equal(tc.want))
				return
			}
			g.Expect(got).To(gomega.And(gomega.BeNumerically(">=", tc.want), gomega.BeNumerically("<", tc.want+time.Second)))
		})
	}
}

func TestAgesOfNamedWeightsAreNeverReportedTooYoung(t *testing.T) {
	g := gomega.NewWithT(t)
	var sender, receiver NamedWeights
	sender.Name("m", 2, clock.Now().Add(-1500*time.Microsecond))
	sender.Name("m", 3, clock.Time{})
	receiver.Name("m", 3, clock.Time{})
	requested := clock.Now()
	receiver.merge(sender.ages(), requested)
	older := receiver.ReplacedFor("m", 1)
	g.Expect(older).To(gomega.BeNumerically(">=", sender.ReplacedFor("m", 1)-clock.Since(requested)))
	g.Expect(older).To(gomega.BeNumerically("<", time.Second))
	g.Expect(receiver.ReplacedFor("m", 2)).To(gomega.Equal(replacedForever), "the sender does not know when 3 was named")
}

func TestPeersAreAskedWhileTheAgeOfAVersionMatters(t *testing.T) {
	for _, tc := range []struct {
		name      string
		notBefore clock.Time
		within    time.Duration
		want      bool
	}{
		{"received at once", clock.Now(), time.Minute, false},
		{"received late", clock.Now().Add(-5 * time.Second), time.Minute, true},
		{"not dated", clock.Time{}, time.Minute, true},
		{"not dated, and too long ago to matter", clock.Time{}, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var n NamedWeights
			n.Name("m", 2, tc.notBefore)
			gomega.NewWithT(t).Expect(n.hasUndated(tc.within)).To(gomega.Equal(tc.want))
		})
	}
}

func TestNamedWeights(t *testing.T) {
	g := gomega.NewWithT(t)
	var d NamedWeights
	g.Expect(d.Newest("m")).To(gomega.BeZero())
	d.Name("m", 1, clock.Now())
	d.Name("m", 3, clock.Now())
	d.Name("m", 2, clock.Now()) // arrives out of order
	g.Expect(d.Newest("m")).To(gomega.Equal(int64(3)))
	_, replaced := d.SupersededSince("v3/m/")
	g.Expect(replaced).To(gomega.BeFalse())
	since, replaced := d.SupersededSince("v1/m/org")
	g.Expect(replaced).To(gomega.BeTrue())
	g.Expect(clock.Since(since)).To(gomega.BeNumerically("<", time.Minute))
	g.Expect(d.ReplacedFor("m", 3)).To(gomega.BeZero())
	g.Expect(d.ReplacedFor("m", 1)).To(gomega.BeNumerically(">", 0))
	_, replaced = d.SupersededSince("no salt")
	g.Expect(replaced).To(gomega.BeFalse())
}

func TestOutdatedWeightsAreKnownAsSuchSinceTheReception(t *testing.T) {
	const usable = 4 * time.Second
	for _, tc := range []struct {
		name        string
		notBefore   clock.Time
		least, most time.Duration
	}{
		{"named a moment ago", clock.Now(), 0, 0},
		{"named long ago, received now", clock.Now().Add(-time.Minute), 1, time.Second},
		{"not dated", clock.Time{}, 1, time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var n NamedWeights
			n.Name("m", 2, tc.notBefore)
			g := gomega.NewWithT(t)
			g.Expect(n.OutdatedFor("m", 1, usable)).To(gomega.And(gomega.BeNumerically(">=", tc.least), gomega.BeNumerically("<=", tc.most)))
			g.Expect(n.OutdatedFor("m", 2, usable)).To(gomega.BeZero())
			g.Expect(n.UsableFor("m", 1, usable) > 0).To(gomega.Equal(tc.least == 0))
			g.Expect(n.UsableFor("m", 2, usable)).To(gomega.Equal(usable))
			g.Expect(n.UsableFor("m", 2, -usable)).To(gomega.BeNumerically(">", 0))
		})
	}
}

func TestVersionsThatAPeerCannotDateDoNotCountAsNamedWithTheNextOne(t *testing.T) {
	for _, tc := range []struct {
		name      string
		notBefore clock.Time
	}{
		{"the peer has started after it", clock.Time{}},
		{"long ago", clock.Now().Add(-2 * time.Hour)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var peer, started NamedWeights
			peer.Name("m", 3, tc.notBefore)
			peer.Name("m", 5, clock.Now().Add(-time.Second))
			started.Name("m", 5, clock.Time{})
			started.merge(peer.ages(), clock.Now())
			g := gomega.NewWithT(t)
			g.Expect(peer.ReplacedFor("m", 2)).To(gomega.BeNumerically(">=", time.Hour), "at the peer")
			g.Expect(started.ReplacedFor("m", 2)).To(gomega.BeNumerically(">=", time.Hour))
			g.Expect(started.ReplacedFor("m", 3)).To(gomega.BeNumerically("~", time.Second, 500*time.Millisecond))
		})
	}
}

func TestVersionsThatAreForgottenDoNotMakeTheOthersYounger(t *testing.T) {
	g := gomega.NewWithT(t)
	var n NamedWeights
	n.Name("m", 2, clock.Now().Add(-time.Minute))
	for version := int64(3); version < 3+maxNamedVersions; version++ {
		n.Name("m", version, clock.Now())
	}
	g.Expect(n.ReplacedFor("m", 1)).To(gomega.BeNumerically(">=", time.Minute))
	g.Expect(n.ReplacedFor("m", 3)).To(gomega.BeNumerically("<", time.Minute))
}

func TestImpossibleVersionsOfAPeerChangeNothing(t *testing.T) {
	for _, tc := range []struct {
		name string
		age  versionAge
	}{
		{"the least number", versionAge{Model: "m", Version: math.MinInt64, NotBeforeMillis: 1}},
		{"negative", versionAge{Model: "m", Version: -1, NotBeforeMillis: 1}},
		{"named after the request", versionAge{Model: "m", Version: 5, NotBeforeMillis: -1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var n NamedWeights
			n.Name("m", 5, clock.Time{})
			n.merge([]versionAge{tc.age}, clock.Now())
			g := gomega.NewWithT(t)
			g.Expect(n.Newest("m")).To(gomega.Equal(int64(5)))
			g.Expect(n.ReplacedFor("m", 4)).To(gomega.Equal(replacedForever))
			g.Expect(n.versions["m"]).To(gomega.HaveLen(1))
		})
	}
}
