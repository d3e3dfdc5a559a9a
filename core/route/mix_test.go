package route

import (
	"testing"

	"github.com/onsi/gomega"
)

func TestWorkersAreSetAsideOnlyForAMix(t *testing.T) {
	tests := []struct {
		name        string
		short, long int
		want        int
	}{
		{"nothing known", 0, 0, 5},
		{"both", 100, 100, 5},
		{"short only", 200, 0, 0},
		{"long only", 0, 200, 0},
	}
	for _, tc := range tests {
		var m Mix
		for range tc.short {
			m.Count(100)
		}
		for range tc.long {
			m.Count(10000)
		}
		gomega.NewWithT(t).Expect(m.ShortWorkers(18)).To(gomega.Equal(tc.want), tc.name)
	}
}
