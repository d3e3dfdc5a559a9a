package route

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestPickWith(t *testing.T) {
	list := []Candidate{
		{Slots: 4, QueuedTokens: 500},
		{Slots: 4, QueuedTokens: 900, CachedTokens: 5000},
		{Slots: 4, QueuedTokens: 100, RecomputedTokens: 5000},
	}
	input := PlacementInput{ContextHash: 7, Turn: 5, Random: 0.5}
	tests := []struct {
		placement Placement
		list      []Candidate
		want      int
	}{
		{LowestCost, list, 1},
		{RoundRobin, list, 2},
		{LeastTokens, list, 2},
		{StickyHash, list, 1},
		{StickyHash, nil, -1},
	}
	for _, tc := range tests {
		at, _ := PickWith(tc.placement, &PickRequest{
			Tokens: 5100, Objective: time.Second, Remaining: 10 * time.Second,
		}, tc.list, engines(), costs(), input)
		gomega.NewWithT(t).Expect(at).To(gomega.Equal(tc.want), string(tc.placement))
	}
}
