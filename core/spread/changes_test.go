package spread

import (
	"testing"

	"github.com/onsi/gomega"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/memkv"
	"embertally.dev/core/plat"
)

// A change made while a response is built must not be skipped: the response names the revision up
// to which it contains all changes.
func TestAResponseAboutAnotherShardNamesItsRevision(t *testing.T) {
	g := gomega.NewWithT(t)
	log := &event.Log{}
	s := NewWatchCacheSync(plat.NewWatchCache(&memkv.KV{}, plat.Prefix(""), log),
		fleet.New(fleet.Options{Name: "me", Log: log}), log)
	shard := s.fleet.View().Shard()
	req := &changesRequest{AfterRevision: 3, Shard: shard}
	v := &shardView{cacheSync: s, name: "shard", shard: shard}
	change := func(key string, revision int64) plat.Change {
		return plat.Change{Pair: plat.Pair{Key: key, Value: []byte("x"), ModRevision: revision}}
	}
	s.watchCache.ApplySnapshot([]plat.Change{change("a", 3)}, 3, "", "", clock.Now())
	s.watchCache.ApplyChanges([]plat.Change{change("a", 5)}, 5, clock.Now())
	changes, revision, whole := s.watchCache.ChangesSince(req.AfterRevision)
	g.Expect(whole).To(gomega.BeTrue())
	s.watchCache.ApplyChanges([]plat.Change{change("a", 7)}, 7, clock.Now())
	got := s.shardChange(req, v, changes, revision)
	g.Expect(got.ShardChanged).To(gomega.BeTrue())
	g.Expect(got.Revision).To(gomega.Equal(int64(5)))
}
