package poison

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
)

func TestARequestThatARunTookWellSeveralTimesIsNotWhatEndedIt(t *testing.T) {
	tests := []struct {
		name string
		runs []string // those at which it ended well, in order
		want bool     // that it still counts as one that ran well
	}{
		{"never", nil, false},
		{"once, just before", []string{"a"}, false},
		{"twice", []string{"a", "a"}, false},
		{"three times", []string{"a", "a", "a"}, true},
		{"three times, the last at another run", []string{"a", "a", "b"}, true},
		{"three times in turn", []string{"a", "b", "a"}, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var s sends
			who := sent{asks("the same again"), "org"}
			for _, run := range tc.runs {
				s.good(run, who)
			}
			s.lost("a", who)
			g.Expect(s.end("a", false)).NotTo(gomega.BeEmpty(), "it was under way")
			g.Expect(s.wasGood(who.request)).To(gomega.Equal(tc.want), fmt.Sprint(tc.runs))
		})
	}
}
