package memory

import (
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// Who asks for more than is usual when the budget is used up gives way; requests do so before responses.
func TestBudgetIsBoundedAsAWhole(t *testing.T) {
	const limit = 1 << 20
	for _, tc := range []struct {
		name string
		// before is what others hold.
		before map[Kind]int64
		kind   Kind
		bytes  int64
		ok     bool
	}{
		{"a request within its share", nil, Requests, limit / 2, true},
		{"a request beyond its share", nil, Requests, limit * 7 / 10, false},
		{"a request beside responses", map[Kind]int64{Bodies: limit / 2}, Requests, limit / 4, false},
		{"a response beside requests", map[Kind]int64{Requests: limit / 2}, Bodies, limit / 4, true},
		{"a response beyond the limit", map[Kind]int64{Events: limit * 9 / 10}, Heads, limit / 4, false},
		{"a long head within the limit", map[Kind]int64{CallerHeads: limit / 2}, CallerHeads, limit / 4, true},
		{"a long head beyond the limit", map[Kind]int64{CallerHeads: limit / 2}, CallerHeads, limit * 3 / 4, false},
		{"a long head alone", nil, CallerHeads, limit * 2, true},
		{"a usual head while the budget is used up", map[Kind]int64{CallerHeads: limit}, CallerHeads, smallHolding, true},
		{"a usual request while the budget is used up", map[Kind]int64{Events: limit}, Requests, smallHolding, true},
		{"a usual response while the budget is used up", map[Kind]int64{Events: limit}, Heads, smallHolding, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			b := &Budget{Limit: limit}
			for kind, n := range tc.before {
				g.Expect(b.Hold(kind).Grow(n)).To(gomega.Succeed())
			}
			h := b.Hold(tc.kind)
			err := h.Grow(tc.bytes)
			g.Expect(err == nil).To(gomega.Equal(tc.ok), "%v", err)
			g.Expect(err == nil || errors.Is(err, ErrFull)).To(gomega.BeTrue())
			h.Release()
			h.Release()
			now, _ := b.Held(tc.kind)
			g.Expect(now).To(gomega.Equal(tc.before[tc.kind]))
		})
	}
}

// The sum of many readers is bounded, and nothing stays counted.
func TestReadersShareTheBudget(t *testing.T) {
	const limit, readers, each = 1 << 20, 50, 256 << 10
	g := gomega.NewWithT(t)
	b := &Budget{Limit: limit}
	var wg sync.WaitGroup
	for range readers {
		wg.Go(func() {
			h := b.Hold(Bodies)
			defer h.Release()
			_, err := io.ReadAll(h.Reader(strings.NewReader(strings.Repeat("x", each))))
			g.Expect(err == nil || errors.Is(err, ErrFull)).To(gomega.BeTrue(), "%v", err)
		})
	}
	wg.Wait()
	now, most := b.Held(Bodies)
	g.Expect(now).To(gomega.BeZero())
	g.Expect(most).To(gomega.BeNumerically("<=", limit+readers*smallHolding))
}
