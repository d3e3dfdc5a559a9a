package conf

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"embertally.dev/core/event"
	"embertally.dev/core/memkv"
	"embertally.dev/core/plat"
	"embertally.dev/core/wait"
)

// daemon is a store with its writer, as one daemon has them.
type daemon struct {
	store  *Store
	writer *Writer
}

func newDaemon(t interface{ Fatalf(string, ...any) }, kv kv) *daemon {
	log := &event.Log{}
	d := &daemon{store: NewStore(log)}
	d.writer = NewWriter(d.store, kv, log)
	full, err := readFull(context.Background(), kv)
	if err != nil {
		t.Fatalf("reading the configuration: %v", err)
	}
	d.store.Replace(full)
	return d
}

func (d *daemon) put(k Kind, name, spec string, version uint64) (Change, error) {
	return d.writer.Commit(context.Background(), Write{Kind: k, Name: name, Spec: []byte(spec), Version: version})
}

const (
	orgSpec   = `{"keyHashes":["` + hashA + `"]}`
	hashA     = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
	hashB     = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
	modelSpec = `{"model":"m","weightVersion":"v1"}`
)

func TestBadResourcesAreRefusedWithTheirField(t *testing.T) {
	tests := []struct {
		name    string
		kind    Kind
		res     string
		spec    string
		version uint64
		code    Code
		field   string
	}{
		{"unknown field", KindOrganisation, "o", `{"keyHashes":["` + hashB + `"],"color":"red"}`, 0, CodeInvalid, "spec.color"},
		{"wrong type", KindDeployment, "d", `{"model":7,"weightVersion":"v1"}`, 0, CodeInvalid, "spec.model"},
		{"no JSON", KindDeployment, "d", `{`, 0, CodeInvalid, "spec"},
		{"more after the end", KindDeployment, "d", modelSpec + "{}", 0, CodeInvalid, "spec"},
		{"key in place of its sum", KindOrganisation, "o", `{"keyHashes":["secret"]}`, 0, CodeInvalid, "spec.keyHashes[0]"},
		{"key of another organisation", KindOrganisation, "o", orgSpec, 0, CodeInvalid, "spec.keyHashes[0]"},
		{"duration without a unit", KindPolicy, "p", `{"organisation":"one","deployments":["d1"],"deadline":"5"}`, 0, CodeInvalid, "spec.deadline"},
		{"duration as a number", KindPolicy, "p", `{"organisation":"one","deployments":["d1"],"deadline":5}`, 0, CodeInvalid, "spec.deadline"},
		{"duration in parsecs", KindPolicy, "p", `{"organisation":"one","deployments":["d1"],"deadline":"5 parsecs"}`, 0, CodeInvalid, "spec.deadline"},
		{"priority out of range", KindPolicy, "p", `{"organisation":"one","deployments":["d1"],"priority":10}`, 0, CodeInvalid, "spec.priority"},
		{"reference to nothing", KindPolicy, "p", `{"organisation":"two","deployments":["d1"]}`, 0, CodeReference, "spec.organisation"},
		{"second reference to nothing", KindPolicy, "p", `{"organisation":"one","deployments":["d1","d2"]}`, 0, CodeReference, "spec.deployments[1]"},
		{"bad URL", KindTarget, "t", `{"type":"store","url":"10.0.0.1:80"}`, 0, CodeInvalid, "spec.url"},
		{"engine without deployment", KindTarget, "t", `{"type":"engine","url":"http://10.0.0.1"}`, 0, CodeInvalid, "spec.deployments"},
		{"bad name", KindDeployment, "Big Model", modelSpec, 0, CodeInvalid, "name"},
		{"too many loads", KindDeployment, "d", `{"model":"m","weightVersion":"v1","maxLoads":4}`, 0, CodeInvalid, "spec.maxLoads"},
		{"exists", KindDeployment, "d1", modelSpec, 0, CodeExists, "resourceVersion"},
		{"stale", KindDeployment, "d1", modelSpec, 1, CodeStale, "resourceVersion"},
		{"not there", KindDeployment, "d9", modelSpec, 4, CodeNotFound, ""},
		{"unknown kind", "boxes", "d", `{}`, 0, CodeUnknownKind, ""},
	}
	kv := &memkv.KV{}
	d := newDaemon(t, kv)
	for _, w := range []Write{
		{Kind: KindOrganisation, Name: "one", Spec: []byte(orgSpec)},
		{Kind: KindDeployment, Name: "d1", Spec: []byte(modelSpec)},
	} {
		if _, err := d.writer.Commit(context.Background(), w); err != nil {
			t.Fatal(err)
		}
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			before, seq := kv.Writes(), d.store.Snapshot().Seq()
			_, err := d.put(tc.kind, tc.res, tc.spec, tc.version)
			var rej *Rejection
			g.Expect(errors.As(err, &rej)).To(gomega.BeTrue(), "%v", err)
			g.Expect(rej.Code).To(gomega.Equal(tc.code), rej.Error())
			if tc.field != "" {
				fields := make([]string, len(rej.Faults))
				for i, f := range rej.Faults {
					fields[i] = f.Field
				}
				g.Expect(fields).To(gomega.ContainElement(tc.field))
			}
			g.Expect(kv.Writes()).To(gomega.Equal(before), "a refused write changes nothing")
			g.Expect(d.store.Snapshot().Seq()).To(gomega.Equal(seq))
		})
	}
}

func TestUsedResourcesCannotBeDeleted(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDaemon(t, &memkv.KV{})
	for _, w := range []Write{
		{Kind: KindOrganisation, Name: "one", Spec: []byte(orgSpec)},
		{Kind: KindDeployment, Name: "d1", Spec: []byte(modelSpec)},
		{Kind: KindPolicy, Name: "p", Spec: []byte(`{"organisation":"one","deployments":["d1"]}`)},
	} {
		_, err := d.writer.Commit(context.Background(), w)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	_, err := d.writer.Commit(context.Background(), Write{Kind: KindDeployment, Name: "d1", Any: true})
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("policies/p spec.deployments[0]")))
	_, err = d.writer.Commit(context.Background(), Write{Kind: KindPolicy, Name: "p", Any: true})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = d.writer.Commit(context.Background(), Write{Kind: KindDeployment, Name: "d1", Any: true})
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

func TestServiceDownIsSaidAndChangesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	kv := &memkv.KV{}
	d := newDaemon(t, kv)
	kv.SetDown(true)
	ctx, cancel := context.WithTimeout(context.Background(), settlePause/2)
	defer cancel()
	_, err := d.writer.Commit(ctx, Write{Kind: KindDeployment, Name: "d1", Spec: []byte(modelSpec)})
	var rej *Rejection
	g.Expect(errors.As(err, &rej)).To(gomega.BeTrue())
	g.Expect(rej.Code).To(gomega.Equal(CodeUnknown))
	g.Expect(rej.WriteID).NotTo(gomega.BeEmpty())
	g.Expect(d.store.Snapshot().Seq()).To(gomega.BeZero())
}

// Writers of several daemons race with every fate of a commit. Every write
// that is reported as committed is there, once, and none is undone by another.
func TestRacingWritersLoseNothing(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			g := gomega.NewWithT(t)
			rnd := rand.New(rand.NewPCG(seed, 2))
			kv := &memkv.KV{}
			fates := []memkv.Fate{memkv.Answered, memkv.Answered, memkv.Answered, memkv.Lost, memkv.Dropped, memkv.Late}
			kv.SetFate(func() memkv.Fate { return fates[rnd.IntN(len(fates))] })
			const daemons, writes = 3, 8
			var wg sync.WaitGroup
			var mu sync.Mutex
			committed := map[uint64]string{}
			for n := range daemons {
				d := newDaemon(t, kv)
				wg.Go(func() {
					for i := range writes {
						name := fmt.Sprintf("d%d-%d", n, i)
						c, err := d.put(KindDeployment, name, modelSpec, 0)
						if err != nil {
							continue
						}
						mu.Lock()
						if other, taken := committed[c.Seq]; taken {
							t.Errorf("%s and %s both got sequence %d", name, other, c.Seq)
						}
						committed[c.Seq] = name
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			kv.SetFate(nil)
			last := newDaemon(t, kv).store.Snapshot()
			g.Expect(committed).NotTo(gomega.BeEmpty())
			for seq, name := range committed {
				r := last.Resource(KindDeployment, name)
				g.Expect(r).NotTo(gomega.BeNil(), name)
				g.Expect(r.Version()).To(gomega.Equal(seq))
			}
			g.Expect(last.Count(KindDeployment)).To(gomega.BeNumerically("<=", daemons*writes))
		})
	}
}

// A store takes changes in any order, doubled and with gaps, and never goes
// back, never skips one, and ends where the service is.
func TestStoreNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kv := &memkv.KV{}
		source := newDaemon(t, kv)
		n := rapid.IntRange(1, 12).Draw(t, "changes")
		var all []Change
		for i := range n {
			c, err := source.put(KindDeployment, fmt.Sprintf("d%d", i%3), modelSpec, versionOf(source, i%3))
			if err != nil {
				t.Fatalf("%v", err)
			}
			all = append(all, c)
		}
		s := NewStore(&event.Log{})
		s.Replace(Full{})
		for range rapid.IntRange(0, 20).Draw(t, "deliveries") {
			from := rapid.IntRange(0, n-1).Draw(t, "from")
			to := rapid.IntRange(from+1, n).Draw(t, "to")
			before := s.Snapshot().Seq()
			ok := s.Apply(slices.Clone(all[from:to]))
			after := s.Snapshot().Seq()
			if after < before {
				t.Fatalf("went back from %d to %d", before, after)
			}
			if want := uint64(from) <= before; ok != want {
				t.Fatalf("at %d, changes %d to %d: taken %v", before, from+1, to, ok)
			}
		}
		s.Apply(all)
		mine, err := s.Full()
		if err != nil {
			t.Fatalf("%v", err)
		}
		theirs, err := source.store.Full()
		if err != nil {
			t.Fatalf("%v", err)
		}
		a, b := encodeFull(mine), encodeFull(theirs)
		if a != b {
			t.Fatalf("ended with %s, not %s", a, b)
		}
	})
}

func encodeFull(f Full) string {
	raw, err := json.Marshal(f.Resources)
	if err != nil {
		return err.Error()
	}
	return version(f.Seq) + string(raw)
}

func versionOf(d *daemon, i int) uint64 {
	if r := d.store.Snapshot().Resource(KindDeployment, fmt.Sprintf("d%d", i)); r != nil {
		return r.Version()
	}
	return 0
}

func TestOldSnapshotStaysAsItWas(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDaemon(t, &memkv.KV{})
	_, err := d.put(KindDeployment, "d1", modelSpec, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	old := d.store.Snapshot()
	_, err = d.put(KindDeployment, "d1", strings.Replace(modelSpec, "v1", "v2", 1), 1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(old.Deployment("d1").WeightVersion).To(gomega.Equal("v1"))
	g.Expect(d.store.Snapshot().Deployment("d1").WeightVersion).To(gomega.Equal("v2"))
}

func TestCallerBelongsToOneOrganisation(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDaemon(t, &memkv.KV{})
	_, err := d.put(KindOrganisation, "one", `{"keyHashes":["`+HashKey("key one")+`"]}`, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = d.put(KindOrganisation, "two", `{"keyHashes":["`+HashKey("key two")+`"]}`, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, tc := range []struct {
		key, want string
		ok        bool
	}{{"key one", "one", true}, {"key two", "two", true}, {"key three", "", false}, {"", "", false}, {HashKey("key one"), "", false}} {
		org, ok := d.store.Snapshot().Caller(tc.key)
		g.Expect(ok).To(gomega.Equal(tc.ok), tc.key)
		g.Expect(org).To(gomega.Equal(tc.want))
	}
}

// peersFunc are peers that only this test's syncer knows.
type lonePeers struct{ wake chan struct{} }

func (lonePeers) PeerAhead(uint64) string { return "" }
func (lonePeers) ConfSince(context.Context, string, uint64) (Delta, error) {
	return Delta{}, errors.New("no peer")
}
func (lonePeers) HoldsWatch() bool        { return true }
func (p lonePeers) Wake() <-chan struct{} { return p.wake }

func TestSyncerFollowsThroughOutage(t *testing.T) {
	g := gomega.NewWithT(t)
	kv := &memkv.KV{}
	writer := newDaemon(t, kv)
	s := NewStore(&event.Log{})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { NewSyncer(s, kv, lonePeers{make(chan struct{})}, &event.Log{}).Run(ctx) })
	defer wg.Wait()
	defer cancel()
	_, err := writer.put(KindDeployment, "d1", modelSpec, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(func() uint64 { return s.Snapshot().Seq() }, "20s", "10ms").Should(gomega.Equal(uint64(1)))
	kv.SetDown(true)
	kv.SetDown(false)
	_, err = writer.put(KindDeployment, "d2", modelSpec, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(func() uint64 { return s.Snapshot().Seq() }, "20s", "10ms").Should(gomega.Equal(uint64(2)))
	g.Expect(s.Confirmed()).NotTo(gomega.BeZero())
}

// longKV is a service that a whole configuration takes longer from than a small call
// may take.
type longKV struct{ *memkv.KV }

func (k longKV) Range(ctx context.Context, span plat.Span) ([]plat.Pair, int64, error) {
	if span.To == plat.Prefix(keyRes).To && !wait.For(ctx, plat.CallTimeout*5/4) {
		return nil, 0, errors.WithStack(ctx.Err())
	}
	return k.KV.Range(ctx, span)
}

func TestAWholeConfigurationMayTakeLongerThanASmallCall(t *testing.T) {
	g := gomega.NewWithT(t)
	kv := &memkv.KV{}
	_, err := newDaemon(t, kv).put(KindDeployment, "d1", modelSpec, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s := NewStore(&event.Log{})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { NewSyncer(s, longKV{kv}, lonePeers{make(chan struct{})}, &event.Log{}).Run(ctx) })
	defer wg.Wait()
	defer cancel()
	g.Eventually(func() uint64 { return s.Snapshot().Seq() }, "20s", "10ms").Should(gomega.Equal(uint64(1)))
}

// A store that has nothing takes everything from a peer, also where the peer
// still keeps all changes from the first on.
func TestEmptyStoreStartsFromPeer(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDaemon(t, &memkv.KV{})
	_, err := d.put(KindDeployment, "d1", modelSpec, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	delta, err := d.store.Delta(0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s := NewStore(&event.Log{})
	g.Expect(delta.Full).NotTo(gomega.BeNil())
	g.Expect(s.Replace(*delta.Full)).To(gomega.BeTrue())
	g.Expect(s.Snapshot().Deployment("d1")).NotTo(gomega.BeNil())
	_, err = NewStore(&event.Log{}).Delta(0)
	g.Expect(err).To(gomega.HaveOccurred(), "who has nothing gives nothing")
}

func FuzzDecodeSpec(f *testing.F) {
	for _, k := range Kinds() {
		f.Add(string(k), `{}`)
	}
	f.Add(string(KindPolicy), `{"organisation":"one","deployments":["d"],"deadline":"5s","weights":{"firstToken":1}}`)
	f.Add(string(KindTarget), `{"type":"engine","url":"http://10.0.0.1:80","deployments":["d"]}`)
	f.Fuzz(func(t *testing.T, kind, raw string) {
		spec, rej := decodeSpec(Kind(kind), []byte(raw))
		if rej != nil {
			if spec != nil || rej.Code == "" {
				t.Fatalf("rejected without a code, or taken as well: %v", rej)
			}
			return
		}
		again, err := json.Marshal(spec)
		if err != nil {
			t.Fatal(err)
		}
		if _, rej := decodeSpec(Kind(kind), again); rej != nil {
			t.Fatalf("%s is taken, and then not: %v", again, rej)
		}
	})
}
