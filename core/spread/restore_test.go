package spread_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"embertally.dev/core/memkv"
	"embertally.dev/core/plat"
)

// Daemons that the store does not respond to learn of a restored store from one that it responds
// to: which values were written since, which the copy lacks, and that a large value has other
// content at the same revision number.
func TestDaemonsThatTheStoreDoesNotRespondToLearnOfARestore(t *testing.T) {
	g := gomega.NewWithT(t)
	store := &memkv.KV{}
	put(t, store, "op/small", []byte("old"))
	before := store.Copy()
	_, rest := cell(t, store, 5, sameAddress)
	put(t, store, "op/config", configuration(13, 2000))
	put(t, store, "op/lost", []byte("x"))
	for i := range 100 {
		put(t, store, "op/small", fmt.Append(nil, i))
	}
	for _, m := range rest {
		g.Eventually(m.holds("op/small", []byte("99")), shortWait, pollInterval).Should(gomega.BeTrue())
		g.Eventually(m.holds("op/config", configuration(13, 2000)), shortWait, pollInterval).Should(gomega.BeTrue())
	}
	store.Restore(before)
	put(t, store, "op/config", configuration(15, 2100))
	for _, m := range rest {
		g.Eventually(m.holds("op/small", []byte("old")), shortWait, pollInterval).Should(gomega.BeTrue())
		g.Eventually(m.holds("op/config", configuration(15, 2100)), shortWait, pollInterval).Should(gomega.BeTrue())
		_, exists := m.watchCache.Pair("op/lost")
		g.Expect(exists).To(gomega.BeFalse())
		g.Expect(m.watchCache.StoreIncarnation()).To(gomega.Equal(int64(1)))
	}
	// Two restores in a row, to a state before the first one.
	store.Restore(before)
	store.Restore(before)
	put(t, store, "op/small", []byte("new"))
	for _, m := range rest {
		g.Eventually(m.holds("op/small", []byte("new")), shortWait, pollInterval).Should(gomega.BeTrue())
		g.Expect(plat.StoreIncarnation(m.watchCache.Revision())).To(gomega.Equal(int64(3)))
	}
}
