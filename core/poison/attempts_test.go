package poison

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
)

func TestRepeatedSuccessesRuleOutARequestAsCause(t *testing.T) {
	tests := []struct {
		name         string
		incarnations []string // those at which it completed well, in order
		want         bool     // whether it still counts as one that completed well
	}{
		{"never", nil, false},
		{"once, just before", []string{"a"}, false},
		{"twice", []string{"a", "a"}, false},
		{"three times", []string{"a", "a", "a"}, true},
		{"three times, the last at another incarnation", []string{"a", "a", "b"}, true},
		{"three times in turn", []string{"a", "b", "a"}, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var s attempts
			sent := sentOf(digestOf("the same again"))
			for _, incarnation := range tc.incarnations {
				s.recordEnd(incarnation, sent, true)
			}
			s.recordLoss("a", sent)
			inFlight, _, _ := s.recordCrash("a", false)
			g.Expect(inFlight).NotTo(gomega.BeEmpty(), "it was in flight")
			g.Expect(s.recentlySucceeded(sent.Request)).To(gomega.Equal(tc.want), fmt.Sprint(tc.incarnations))
		})
	}
}
