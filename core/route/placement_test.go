package route

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestPickBy(t *testing.T) {
	list := []Candidate{{Slots: 4, Unread: 500}, {Slots: 4, Unread: 900, Kept: 5000}, {Slots: 4, Unread: 100, Again: 5000}}
	spot := Spot{Context: 7, Turn: 5, Chance: 0.5}
	tests := []struct {
		placement Placement
		list      []Candidate
		want      int
	}{
		{Returning, list, 1},
		{RoundRobin, list, 2},
		{LeastTokens, list, 2},
		{StickyHash, list, 1},
		{StickyHash, nil, -1},
	}
	for _, tc := range tests {
		at, _ := PickBy(tc.placement, &Asked{Tokens: 5100, Aim: time.Second, Left: 10 * time.Second}, tc.list, engines(), prices(), spot)
		gomega.NewWithT(t).Expect(at).To(gomega.Equal(tc.want), string(tc.placement))
	}
}
