package host

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/memkv"
	"embertally.dev/core/plat"
)

// boxesRig is a reader of boxes before a service.
type boxesRig struct {
	g      *gomega.WithT
	store  *memkv.KV
	mirror *plat.Mirror
	boxes  *boxes
}

func newBoxesRig(t *testing.T) *boxesRig {
	r := &boxesRig{g: gomega.NewWithT(t), store: &memkv.KV{}}
	r.mirror = plat.NewMirror(r.store, plat.Prefix(""), &event.Log{})
	r.boxes = &boxes{mirror: r.mirror}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { r.mirror.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return r
}

// write lists a box.
func (r *boxesRig) write(name string) {
	raw, err := json.Marshal(plat.Box{Name: name})
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = r.store.Commit(context.Background(), plat.Txn{Puts: []plat.Put{{Key: keyBoxes + name, Value: raw}}})
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
}

// remove takes a box off the list.
func (r *boxesRig) remove(name string) {
	_, err := r.store.Commit(context.Background(), plat.Txn{Deletes: []string{keyBoxes + name}})
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
}

// follows waits until the mirror holds what the service does.
func (r *boxesRig) follows() {
	r.g.Eventually(func() bool {
		return r.mirror.Revision() != 0 && len(r.mirror.Under("")) == len(r.store.Under("")) && plat.Era(r.mirror.Revision()) == r.store.Era()
	}, "30s", "1ms").Should(gomega.BeTrue())
}

// names returns the boxes of a reading, or nil where nothing has changed.
func (r *boxesRig) names() []string {
	list, _, err := r.boxes.Read(context.Background())
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	var out []string
	for _, b := range list {
		out = append(out, b.Name)
	}
	return out
}

// Without that a fleet whose keys a restored store lacks falls apart until all have written theirs again.
func TestBoxesThatARestoredStoreLacksStayForAWhile(t *testing.T) {
	r := newBoxesRig(t)
	r.write("a")
	before := r.store.Copy()
	r.write("b")
	r.write("c")
	r.follows()
	r.g.Expect(r.names()).To(gomega.ConsistOf("a", "b", "c"))
	r.store.Restore(before)
	r.write("b")
	r.follows()
	r.g.Expect(r.names()).To(gomega.ConsistOf("a", "b", "c"))
	r.remove("b")
	r.follows()
	r.g.Expect(r.names()).To(gomega.ConsistOf("a", "b", "c"), "whether it was written again meanwhile is not told apart")
	clock.Suspend(boxHold + time.Second)
	r.g.Expect(r.names()).To(gomega.ConsistOf("a"))
	r.g.Expect(r.names()).To(gomega.BeEmpty(), "nothing has changed")
	r.write("d")
	r.follows()
	r.remove("a")
	r.follows()
	r.g.Expect(r.names()).To(gomega.ConsistOf("d"))
}
