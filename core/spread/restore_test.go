package spread_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"embertally.dev/core/memkv"
	"embertally.dev/core/plat"
)

// Those whom the store does not answer hear of the new era from one that it does: of what was written since, of what
// the copy lacks, and of a large value that has other content at the same number.
func TestDaemonsThatTheStoreDoesNotAnswerHearOfARestore(t *testing.T) {
	g := gomega.NewWithT(t)
	store := &memkv.KV{}
	put(t, store, "op/small", []byte("old"))
	before := store.Copy()
	_, rest := cell(t, store, 5, same)
	put(t, store, "op/config", configuration(13, 2000))
	put(t, store, "op/lost", []byte("x"))
	for i := range 100 {
		put(t, store, "op/small", fmt.Append(nil, i))
	}
	for _, m := range rest {
		g.Eventually(m.holds("op/small", []byte("99")), soon, look).Should(gomega.BeTrue())
		g.Eventually(m.holds("op/config", configuration(13, 2000)), soon, look).Should(gomega.BeTrue())
	}
	store.Restore(before)
	put(t, store, "op/config", configuration(15, 2100))
	for _, m := range rest {
		g.Eventually(m.holds("op/small", []byte("old")), soon, look).Should(gomega.BeTrue())
		g.Eventually(m.holds("op/config", configuration(15, 2100)), soon, look).Should(gomega.BeTrue())
		_, there := m.mirror.Pair("op/lost")
		g.Expect(there).To(gomega.BeFalse())
		g.Expect(m.mirror.Era()).To(gomega.Equal(int64(1)))
	}
	// Twice in a row, to a state of before the first.
	store.Restore(before)
	store.Restore(before)
	put(t, store, "op/small", []byte("new"))
	for _, m := range rest {
		g.Eventually(m.holds("op/small", []byte("new")), soon, look).Should(gomega.BeTrue())
		g.Expect(plat.Era(m.mirror.Revision())).To(gomega.Equal(int64(3)))
	}
}
