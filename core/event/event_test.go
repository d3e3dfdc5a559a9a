package event

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/bugs"
)

func TestCatalogueIsOrderedAndUnique(t *testing.T) {
	g := gomega.NewWithT(t)
	names, last := map[string]bool{}, Code(0)
	for _, e := range Catalogue() {
		g.Expect(e.Code).To(gomega.BeNumerically(">", last), e.Name)
		g.Expect(names[e.Name]).To(gomega.BeFalse(), e.Name)
		g.Expect(e.Meaning).To(gomega.HaveSuffix("."), e.Name)
		names[e.Name], last = true, e.Code
	}
}

func TestUnknownCodeIsReportedAsBug(t *testing.T) {
	var got string
	defer bugs.Handle(func(text string, _ []byte) { got = text })()
	(&Log{}).Emit(1, Ref{}, "")
	gomega.NewWithT(t).Expect(got).To(gomega.ContainSubstring("event code 1"))
}

func TestLinesHaveCodeAndMinimumLevel(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	l := NewLog("box", &out, FormatJSON, Warning)
	l.Emit(RequestDone, Ref{}, "not written")
	l.Emit(PeerDown, Ref{Target: "t"}, "no heartbeat")
	var line struct {
		Code                               int
		Event, Msg, Level, Process, Target string
	}
	g.Expect(json.Unmarshal(out.Bytes(), &line)).To(gomega.Succeed())
	g.Expect(line.Code).To(gomega.Equal(int(PeerDown)))
	g.Expect([]string{line.Event, line.Msg, line.Level, line.Process, line.Target}).To(
		gomega.Equal([]string{"peerDown", "no heartbeat", "warning", "box", "t"}))
	g.Expect(l.Since(0, 10)).To(gomega.HaveLen(2), "the timeline has both")
}

func TestRingKeepsLatestEvents(t *testing.T) {
	g := gomega.NewWithT(t)
	var l Log
	for range ringSize + 10 {
		l.Emit(PeerUp, Ref{}, "")
	}
	got := l.Since(0, 2*ringSize)
	g.Expect(got).To(gomega.HaveLen(ringSize))
	g.Expect(got[0].Seq).To(gomega.Equal(uint64(10)))
	g.Expect(got[ringSize-1].Seq).To(gomega.Equal(uint64(ringSize + 9)))
}

func TestMerge(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	a := []Event{{Process: "a", Seq: 1, At: at(1), Request: "r"}, {Process: "a", Seq: 2, At: at(5)}, {Process: "a", Seq: 3, At: at(4), Request: "r"}}
	b := []Event{{Process: "b", Seq: 1, At: at(3), Request: "r"}}
	tests := []struct {
		name   string
		filter Filter
		want   []string
	}{
		{"all, with a clock that was set back", Filter{}, []string{"a1", "b1", "a2", "a3"}},
		{"one request", Filter{Ref: Ref{Request: "r"}}, []string{"a1", "b1", "a3"}},
		{"another request", Filter{Ref: Ref{Request: "s"}}, nil},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var got []string
			for _, ev := range Merge([][]Event{a, b}, tc.filter) {
				got = append(got, ev.Process+string(rune('0'+ev.Seq)))
			}
			gomega.NewWithT(t).Expect(got).To(gomega.Equal(tc.want))
		})
	}
}
