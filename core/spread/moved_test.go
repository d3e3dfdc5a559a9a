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

// A change that comes while an answer is made is not passed over: the answer names the revision up to
// which it tells all changes.
func TestAnAnswerAboutAnotherShardNamesWhatItTells(t *testing.T) {
	g := gomega.NewWithT(t)
	log := &event.Log{}
	m := NewMirrors(plat.NewMirror(&memkv.KV{}, plat.Prefix(""), log), fleet.New(fleet.Options{Name: "me", Log: log}), log)
	shard := m.fleet.View().Shard()
	ask := &mirrorAsk{After: 3, Shard: shard}
	v := &shardView{mirrors: m, holds: "shard", shard: shard}
	change := func(key string, revision int64) plat.Change {
		return plat.Change{Pair: plat.Pair{Key: key, Value: []byte("x"), ModRevision: revision}}
	}
	m.mirror.TakeAll([]plat.Change{change("a", 3)}, 3, "", "", clock.Now())
	m.mirror.Take([]plat.Change{change("a", 5)}, 5, clock.Now())
	changes, revision, whole := m.mirror.Since(ask.After)
	g.Expect(whole).To(gomega.BeTrue())
	m.mirror.Take([]plat.Change{change("a", 7)}, 7, clock.Now())
	got := m.moved(ask, v, changes, revision)
	g.Expect(got.Moved).To(gomega.BeTrue())
	g.Expect(got.Revision).To(gomega.Equal(int64(5)))
}
