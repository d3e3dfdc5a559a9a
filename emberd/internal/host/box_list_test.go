package host

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/memkv"
	"embertally.dev/core/plat"
)

// boxListRig is a box list with a watch cache that follows a store in memory.
type boxListRig struct {
	g          *gomega.WithT
	store      *memkv.KV
	watchCache *plat.WatchCache
	boxes      *boxList
}

func newBoxListRig(t *testing.T) *boxListRig {
	r := &boxListRig{g: gomega.NewWithT(t), store: &memkv.KV{}}
	r.watchCache = plat.NewWatchCache(r.store, plat.Prefix(""), &event.Log{})
	r.boxes = &boxList{watchCache: r.watchCache, log: &event.Log{}}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { r.watchCache.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return r
}

// write puts a box's key into the store.
func (r *boxListRig) write(name string) {
	raw, err := json.Marshal(plat.Box{Name: name, Role: plat.RoleEntry, Address: "10.0.0.1:1", Domain: "z", State: plat.BoxLive})
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.writeValue(name, string(raw))
}

// writeValue puts any value into a box's key.
func (r *boxListRig) writeValue(name, value string) {
	_, err := r.store.Commit(context.Background(), plat.Txn{Puts: []plat.Put{{Key: keyBoxes + name, Value: []byte(value)}}})
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
}

// remove deletes a box's key from the store.
func (r *boxListRig) remove(name string) {
	_, err := r.store.Commit(context.Background(), plat.Txn{Deletes: []string{keyBoxes + name}})
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
}

// awaitSync waits until the watch cache equals the store.
func (r *boxListRig) awaitSync() {
	r.g.Eventually(func() bool {
		return r.watchCache.Revision() != 0 && len(r.watchCache.WithPrefix("")) == len(r.store.WithPrefix("")) && plat.StoreIncarnation(r.watchCache.Revision()) == r.store.StoreIncarnation()
	}, "30s", "1ms").Should(gomega.BeTrue())
}

// names reads the list and returns the names in it, or nil if it has not changed.
func (r *boxListRig) names() []string {
	list, _, err := r.boxes.Read(context.Background())
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	var out []string
	for _, b := range list {
		out = append(out, b.Name)
	}
	return out
}

// A store restored from an older copy lacks the keys of later boxes. If they were removed from the
// list at once, daemons would lose their peers until all had written their keys again.
func TestBoxesMissingFromARestoredStoreStayForAGracePeriod(t *testing.T) {
	r := newBoxListRig(t)
	r.write("a")
	before := r.store.Copy()
	r.write("b")
	r.write("c")
	r.awaitSync()
	r.g.Expect(r.names()).To(gomega.ConsistOf("a", "b", "c"))
	r.store.Restore(before)
	r.write("b")
	r.awaitSync()
	r.g.Expect(r.names()).To(gomega.ConsistOf("a", "b", "c"))
	r.remove("b")
	r.awaitSync()
	r.g.Expect(r.names()).To(gomega.ConsistOf("a", "b", "c"), "a box that is removed after it was written again stays like the missing ones")
	clock.Suspend(boxGrace + time.Second)
	r.g.Expect(r.names()).To(gomega.ConsistOf("a"))
	r.g.Expect(r.names()).To(gomega.BeEmpty(), "nothing has changed")
	r.write("d")
	r.awaitSync()
	r.remove("a")
	r.awaitSync()
	r.g.Expect(r.names()).To(gomega.ConsistOf("d"))
}

// A key that names another box as leaving took that box out of the fleet for good.
func TestKeysThatNoDaemonWroteAreNoBoxes(t *testing.T) {
	const box = `{"name":"odd","role":"entry","address":"10.0.0.1:1","domain":"z","state":"live"}`
	for _, tc := range []struct {
		name, value string
		want        []string
	}{
		{"a box", box, []string{"a", "odd"}},
		{"another box that leaves", strings.NewReplacer("odd", "a", "live", "leaving").Replace(box), []string{"a"}},
		{"no name", `{}`, []string{"a"}},
		{"a target", strings.Replace(box, "entry", "target", 1), []string{"a"}},
		{"an unknown state", strings.Replace(box, "live", "asleep", 1), []string{"a"}},
		{"a port out of range", strings.Replace(box, ":1\"", ":65536\"", 1), []string{"a"}},
		{"no address", strings.Replace(box, "10.0.0.1:1", "", 1), []string{"a"}},
		{"nested beyond the decoder's limit", strings.Repeat("[", 10_001), []string{"a"}},
		{"a number beyond all numbers", `{"name":1e999}`, []string{"a"}},
		{"nothing", "", []string{"a"}},
		{"null", "null", []string{"a"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newBoxListRig(t)
			r.write("a")
			r.writeValue("odd", tc.value)
			r.awaitSync()
			list, _, err := r.boxes.Read(context.Background())
			r.g.Expect(err).NotTo(gomega.HaveOccurred())
			var names []string
			for _, b := range list {
				names = append(names, b.Name)
				r.g.Expect(b.State).To(gomega.Equal(plat.BoxLive))
			}
			r.g.Expect(names).To(gomega.ConsistOf(tc.want))
		})
	}
}
