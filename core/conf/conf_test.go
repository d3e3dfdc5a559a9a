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

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/memkv"
	"embertally.dev/core/plat"
	"embertally.dev/core/wait"
)

// daemon is the store and the writer of one daemon.
type daemon struct {
	store  *Store
	writer *Writer
}

func newDaemon(t interface{ Fatalf(string, ...any) }, kv coordinationStore) *daemon {
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

func TestInvalidResourcesAreRejectedWithTheirField(t *testing.T) {
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
		{"invalid JSON", KindDeployment, "d", `{`, 0, CodeInvalid, "spec"},
		{"data after the end", KindDeployment, "d", modelSpec + "{}", 0, CodeInvalid, "spec"},
		{"key instead of its hash", KindOrganisation, "o", `{"keyHashes":["secret"]}`, 0, CodeInvalid, "spec.keyHashes[0]"},
		{"key of another organisation", KindOrganisation, "o", orgSpec, 0, CodeInvalid, "spec.keyHashes[0]"},
		{"duration without a unit", KindPolicy, "p", `{"organisation":"one","deployments":["d1"],"deadline":"5"}`, 0, CodeInvalid, "spec.deadline"},
		{"duration as a number", KindPolicy, "p", `{"organisation":"one","deployments":["d1"],"deadline":5}`, 0, CodeInvalid, "spec.deadline"},
		{"duration in parsecs", KindPolicy, "p", `{"organisation":"one","deployments":["d1"],"deadline":"5 parsecs"}`, 0, CodeInvalid, "spec.deadline"},
		{"priority out of range", KindPolicy, "p", `{"organisation":"one","deployments":["d1"],"priority":10}`, 0, CodeInvalid, "spec.priority"},
		{"missing reference", KindPolicy, "p", `{"organisation":"two","deployments":["d1"]}`, 0, CodeReference, "spec.organisation"},
		{"missing second reference", KindPolicy, "p", `{"organisation":"one","deployments":["d1","d2"]}`, 0, CodeReference, "spec.deployments[1]"},
		{"invalid URL", KindTarget, "t", `{"type":"store","url":"10.0.0.1:80"}`, 0, CodeInvalid, "spec.url"},
		{"engine without deployment", KindTarget, "t", `{"type":"engine","url":"http://10.0.0.1"}`, 0, CodeInvalid, "spec.deployments"},
		{"invalid name", KindDeployment, "Big Model", modelSpec, 0, CodeInvalid, "name"},
		{"too many loads", KindDeployment, "d", `{"model":"m","weightVersion":"v1","maxLoads":4}`, 0, CodeInvalid, "spec.maxLoads"},
		{"exists", KindDeployment, "d1", modelSpec, 0, CodeExists, "resourceVersion"},
		{"stale version", KindDeployment, "d1", modelSpec, 1, CodeStale, "resourceVersion"},
		{"not found", KindDeployment, "d9", modelSpec, 4, CodeNotFound, ""},
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
			g.Expect(kv.Writes()).To(gomega.Equal(before), "a rejected write changes nothing")
			g.Expect(d.store.Snapshot().Seq()).To(gomega.Equal(seq))
		})
	}
}

func TestReferencedResourcesCannotBeDeleted(t *testing.T) {
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

func TestStoreOutageIsReportedAndChangesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	kv := &memkv.KV{}
	d := newDaemon(t, kv)
	kv.SetDown(true)
	ctx, cancel := context.WithTimeout(context.Background(), commitRetryDelay/2)
	defer cancel()
	_, err := d.writer.Commit(ctx, Write{Kind: KindDeployment, Name: "d1", Spec: []byte(modelSpec)})
	var rej *Rejection
	g.Expect(errors.As(err, &rej)).To(gomega.BeTrue())
	g.Expect(rej.Code).To(gomega.Equal(CodeUnknown))
	g.Expect(rej.WriteID).NotTo(gomega.BeEmpty())
	g.Expect(d.store.Snapshot().Seq()).To(gomega.BeZero())
}

// Several daemons write at once, and commits succeed, lose their request or response,
// or are delayed. Every write reported as committed is present once and not undone by
// another.
func TestConcurrentWritersLoseNoCommittedWrite(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			g := gomega.NewWithT(t)
			random := rand.New(rand.NewPCG(seed, 2))
			kv := &memkv.KV{}
			faults := []memkv.Fault{memkv.NoFault, memkv.NoFault, memkv.NoFault, memkv.LostResponse, memkv.LostRequest, memkv.Delayed}
			kv.SetFault(func() memkv.Fault { return faults[random.IntN(len(faults))] })
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
						if other, duplicate := committed[c.Seq]; duplicate {
							t.Errorf("%s and %s both got sequence %d", name, other, c.Seq)
						}
						committed[c.Seq] = name
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			kv.SetFault(nil)
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

// A store that receives changes out of order, repeatedly and with gaps never goes
// back to an older sequence or skips a change, and ends with the committed
// configuration.
func TestStoreSequenceNeverDecreases(t *testing.T) {
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
			applied := s.Apply(slices.Clone(all[from:to]))
			after := s.Snapshot().Seq()
			if after < before {
				t.Fatalf("went back from sequence %d to %d", before, after)
			}
			if want := uint64(from) <= before; applied != want {
				t.Fatalf("at sequence %d, changes %d to %d: applied %v", before, from+1, to, applied)
			}
		}
		s.Apply(all)
		local, err := s.Full()
		if err != nil {
			t.Fatalf("%v", err)
		}
		remote, err := source.store.Full()
		if err != nil {
			t.Fatalf("%v", err)
		}
		localText, remoteText := encodeFull(local), encodeFull(remote)
		if localText != remoteText {
			t.Fatalf("ended with %s, not %s", localText, remoteText)
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

func TestSnapshotIsImmutable(t *testing.T) {
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
		org, ok := d.store.Snapshot().OrganisationOfKey(tc.key)
		g.Expect(ok).To(gomega.Equal(tc.ok), tc.key)
		g.Expect(org).To(gomega.Equal(tc.want))
	}
}

// noPeers implements Peers for a daemon without live peers.
type noPeers struct{ wake chan struct{} }

func (noPeers) PeerAhead(uint64) string { return "" }
func (noPeers) ConfSince(context.Context, string, uint64) (Delta, error) {
	return Delta{}, errors.New("no peer")
}
func (noPeers) HoldsWatch() bool        { return true }
func (p noPeers) Wake() <-chan struct{} { return p.wake }

func TestSyncerFollowsChangesAfterOutage(t *testing.T) {
	g := gomega.NewWithT(t)
	kv := &memkv.KV{}
	writer := newDaemon(t, kv)
	s := NewStore(&event.Log{})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { NewSyncer(s, kv, noPeers{make(chan struct{})}, &event.Log{}).Run(ctx) })
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

func TestWhatAWatchDeliversVerifiesNothingUntilTheStoreIsAsked(t *testing.T) {
	g := gomega.NewWithT(t)
	kv := &memkv.KV{}
	writer := newDaemon(t, kv)
	s := NewStore(&event.Log{})
	syncer := NewSyncer(s, kv, noPeers{make(chan struct{})}, &event.Log{})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { syncer.Run(ctx) })
	defer wg.Wait()
	defer cancel()
	g.Eventually(func() bool { return s.Confirmed().After(s.Verified()) }, "20s", "10ms").Should(gomega.BeTrue(), "the watch has begun")
	verified := s.Verified()
	_, err := writer.put(KindDeployment, "d1", modelSpec, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(func() uint64 { return s.Snapshot().Seq() }, "20s", "10ms").Should(gomega.Equal(uint64(1)))
	g.Expect(s.Verified()).To(gomega.Equal(verified))
	asked := clock.Now()
	syncer.Recheck()
	g.Eventually(func() bool { return s.Verified().After(asked) }, pollInterval/2, "10ms").Should(gomega.BeTrue())
}

// slowKV is a coordination store whose read of the full configuration takes longer
// than plat.CallTimeout.
type slowKV struct{ *memkv.KV }

func (k slowKV) Range(ctx context.Context, span plat.Span) ([]plat.Pair, int64, error) {
	if span.To == plat.Prefix(keyResources).To && !wait.For(ctx, plat.CallTimeout*5/4) {
		return nil, 0, errors.WithStack(ctx.Err())
	}
	return k.KV.Range(ctx, span)
}

func TestFullReadMayExceedCallTimeout(t *testing.T) {
	g := gomega.NewWithT(t)
	kv := &memkv.KV{}
	_, err := newDaemon(t, kv).put(KindDeployment, "d1", modelSpec, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s := NewStore(&event.Log{})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { NewSyncer(s, slowKV{kv}, noPeers{make(chan struct{})}, &event.Log{}).Run(ctx) })
	defer wg.Wait()
	defer cancel()
	g.Eventually(func() uint64 { return s.Snapshot().Seq() }, "20s", "10ms").Should(gomega.Equal(uint64(1)))
}

// A store that has loaded nothing gets the full configuration from a peer, also
// when the peer still keeps every change.
func TestEmptyStoreGetsFullConfigurationFromPeer(t *testing.T) {
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
	g.Expect(err).To(gomega.HaveOccurred(), "a store without a configuration sends none")
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
				t.Fatalf("rejected without a code, or with a spec: %v", rej)
			}
			return
		}
		encoded, err := json.Marshal(spec)
		if err != nil {
			t.Fatal(err)
		}
		if _, rej := decodeSpec(Kind(kind), encoded); rej != nil {
			t.Fatalf("the encoding of an accepted spec, %s, is rejected: %v", encoded, rej)
		}
	})
}
