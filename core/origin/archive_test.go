package origin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/memkv"
	"embertally.dev/core/plat"
)

// testStore is a coordination store as one daemon sees it.
type testStore struct {
	*memkv.KV
	// refuses is set while this daemon may not write.
	refuses bool
}

func (s *testStore) Down() bool { return false }

func (s *testStore) Commit(ctx context.Context, t plat.Txn) (plat.Outcome, error) {
	if s.refuses {
		return plat.Outcome{}, errors.New("refused")
	}
	return s.KV.Commit(ctx, t)
}

// first returns which daemon writes the records of the cell.
func first(daemons []*testDaemon) int {
	for i, d := range daemons {
		if d.book.archive.rank() == 0 {
			return i
		}
	}
	return -1
}

// Guards against records that end with the processes: after the loss of all daemons at once nobody knows where streams began.
func TestRecordsOutliveAllDaemons(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault memkv.Fault
	}{
		{"store in order", memkv.NoFault},
		{"responses of writes are lost", memkv.LostResponse},
		{"writes are lost", memkv.LostRequest},
		{"writes are late", memkv.Delayed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var kv memkv.KV
			var commits atomic.Int64
			kv.SetFault(func() memkv.Fault {
				if commits.Add(1)%2 == 1 {
					return tc.fault
				}
				return memkv.NoFault
			})
			store := func(int) *testStore { return &testStore{KV: &kv} }
			before := startDaemonsAt(t, 3, Several, store)
			const streams = 3*pageRecords + 7
			version := func(i int) Stream { return Stream{Service: "llm", Version: fmt.Sprint("v", i%3)} }
			for i := range streams {
				before[i%3].book.Record("org", fmt.Sprint("try-", i), version(i))
				if i%pageRecords == 0 {
					time.Sleep(saveInterval)
				}
			}
			for _, d := range before {
				g.Eventually(d.book.Unsaved, maxWait, "5ms").Should(gomega.BeZero())
			}
			for _, d := range before {
				d.stop()
			}
			after := startDaemonsAt(t, 3, Several, store)
			for i := range streams {
				found := after[i%3].book.Find(context.Background(), "org", fmt.Sprint("try-", i), "llm")
				g.Expect(found.Stored).To(gomega.BeTrue())
				g.Expect(found.Stream).To(gomega.Equal(version(i)))
			}
			g.Expect(after[0].book.Find(context.Background(), "other", "try-1", "llm").Known).To(gomega.BeFalse())
			g.Expect(after[0].book.Find(context.Background(), "org", "", "llm").Known).To(gomega.BeFalse())
		})
	}
}

// A daemon that the store rejects must not be the only one that writes.
func TestAnotherDaemonWritesRecordsIfTheStoreRejectsTheFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	var kv memkv.KV
	stores := []*testStore{{KV: &kv}, {KV: &kv}, {KV: &kv}}
	daemons := startDaemonsAt(t, 3, Several, func(i int) *testStore { return stores[i] })
	stores[first(daemons)].refuses = true
	daemons[0].book.Record("org", "try", begun)
	g.Eventually(func() int { return len(kv.WithPrefix(KeyPrefix)) }, maxWait, "20ms").Should(gomega.Equal(1))
	for _, d := range daemons {
		g.Eventually(d.book.Unsaved, maxWait, "20ms").Should(gomega.BeZero(), d.name)
	}
}

// The platform charges for each write and bounds their number.
func TestRecordsAreWrittenAFewTimesASecond(t *testing.T) {
	g := gomega.NewWithT(t)
	var kv memkv.KV
	daemons := startDaemonsAt(t, 3, Several, func(int) *testStore { return &testStore{KV: &kv} })
	// More than one page holds, however long they take.
	const records = pageRecords + pageRecords/2
	start := time.Now()
	for i := range records {
		daemons[i%3].book.Record("org", fmt.Sprint("try-", i), begun)
		time.Sleep(5 * time.Millisecond)
	}
	g.Eventually(daemons[first(daemons)].book.Unsaved, maxWait, "5ms").Should(gomega.BeZero())
	g.Expect(kv.Writes()).To(gomega.BeNumerically("<=", time.Since(start)/saveInterval+2))
	g.Expect(kv.WithPrefix(KeyPrefix)).To(gomega.HaveLen(2), "pages are written again until they are full")
}

// While a service has one version nothing is written.
func TestNothingIsWrittenWhileAServiceHasOneVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	var kv memkv.KV
	daemons := startDaemonsAt(t, 2, Sole, func(int) *testStore { return &testStore{KV: &kv} })
	daemons[0].book.Record("org", "try", begun)
	g.Consistently(kv.Writes, "500ms", "20ms").Should(gomega.BeZero())
	for _, d := range daemons {
		d.set("", Several)
	}
	g.Eventually(kv.Writes, maxWait, "20ms").Should(gomega.Equal(1))
}

// The daemon that writes may be the last to hear of a second version: records that it was told before are written then.
func TestRecordsAreWrittenOnceASecondVersionIsKnown(t *testing.T) {
	g := gomega.NewWithT(t)
	var kv memkv.KV
	daemons := startDaemonsAt(t, 2, Several, func(int) *testStore { return &testStore{KV: &kv} })
	var several atomic.Bool
	for _, d := range daemons {
		d.book.o.Durable = func(string) bool { return several.Load() }
	}
	daemons[0].book.Record("org", "try", begun)
	g.Consistently(kv.Writes, "500ms", "20ms").Should(gomega.BeZero())
	several.Store(true)
	g.Eventually(kv.Writes, maxWait, "20ms").Should(gomega.Equal(1))
}

// What other writers leave among the records, or records that differ, must not decide where a stream goes on.
func TestOnlyStoredRecordsThatAgreeAreUsed(t *testing.T) {
	page := func(streams ...Stream) []byte {
		var list []toldRecord
		for _, s := range streams {
			list = append(list, toldRecord{key: newKey("org", "try"), stream: s})
		}
		value, err := json.Marshal(storedGroups(list, time.Now()))
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
	other := Stream{Service: "llm", Version: "v2"}
	good := page(begun)
	before, elsewhere, last := Stream{Service: "former", Version: "v3", Config: 4}, begun, begun
	elsewhere.Service, elsewhere.Config, last.Config = "other", 5, 5
	for _, tc := range []struct {
		name  string
		pages [][]byte
		known bool
	}{
		{"one", [][]byte{good}, true},
		{"by two configurations", [][]byte{good, page(last)}, true},
		{"before the route was moved", [][]byte{page(before), page(last)}, true},
		{"before the route was moved, read later", [][]byte{page(last, before)}, true},
		{"elsewhere by the same configuration", [][]byte{page(last), page(elsewhere)}, false},
		{"elsewhere by a configuration that is not known", [][]byte{page(before), good}, false},
		{"twice the same", [][]byte{good, good}, true},
		{"none", nil, false},
		{"two that differ", [][]byte{good, page(other)}, false},
		{"two that differ in one page", [][]byte{page(begun, other)}, false},
		{"beside one that is no page", [][]byte{[]byte(`{"a":1}`), good, nil, []byte(`[{"keys":1e999}]`), bytes.Repeat([]byte("["), 1<<20)}, true},
		{"a key cut off", [][]byte{[]byte(`[{"service":"llm","version":"v1","keys":"AAAA"}]`)}, false},
		{"cut off", [][]byte{good[:len(good)-1]}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var kv memkv.KV
			for i, value := range tc.pages {
				_, err := kv.Commit(context.Background(), plat.Txn{Puts: []plat.Put{{Key: KeyPrefix + fmt.Sprint(i), Value: value}}})
				g.Expect(err).NotTo(gomega.HaveOccurred())
			}
			b := New(Options{Copy: &testStore{KV: &kv}, Log: &event.Log{}, Versions: func(string) (string, Proof) { return "", Several }})
			found := b.Find(context.Background(), "org", "try", "llm")
			g.Expect(found.Known).To(gomega.Equal(tc.known))
			if tc.known {
				g.Expect(found.Stream.sameTarget(begun)).To(gomega.BeTrue(), "%+v", found.Stream)
			}
		})
	}
}

// Guards against a stream that goes on where it was before its route was moved back, by the order in which pages are read.
func TestStoredRecordsOfARouteThatWasMovedBackCountByTheirConfiguration(t *testing.T) {
	for _, configs := range [][]int64{{1, 2, 3}, {1, 3, 2}, {2, 1, 3}, {2, 3, 1}, {3, 1, 2}, {3, 2, 1}} {
		t.Run(fmt.Sprint(configs), func(t *testing.T) {
			g := gomega.NewWithT(t)
			var kv memkv.KV
			for i, config := range configs {
				s := begun
				if s.Config = config; config == 2 {
					s.Service = "other"
				}
				value, err := json.Marshal(storedGroups([]toldRecord{{key: newKey("org", "try"), stream: s}}, time.Now()))
				g.Expect(err).NotTo(gomega.HaveOccurred())
				_, err = kv.Commit(context.Background(), plat.Txn{Puts: []plat.Put{{Key: KeyPrefix + fmt.Sprint(i), Value: value}}})
				g.Expect(err).NotTo(gomega.HaveOccurred())
			}
			b := New(Options{Copy: &testStore{KV: &kv}, Log: &event.Log{}, Versions: func(string) (string, Proof) { return "", Several }})
			found := b.Find(context.Background(), "org", "try", begun.Service)
			g.Expect(found.Known).To(gomega.BeTrue())
			g.Expect(found.Stream.sameTarget(begun)).To(gomega.BeTrue(), "%+v", found.Stream)
		})
	}
}

// Pages of daemons that are gone are removed as well, but not before the streams in them can no longer be resumed.
func TestOldPagesAreRemoved(t *testing.T) {
	g := gomega.NewWithT(t)
	var kv memkv.KV
	write := func(key string) {
		_, err := kv.Commit(context.Background(), plat.Txn{Puts: []plat.Put{{Key: KeyPrefix + key, Value: []byte("[]")}}})
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	f := fleet.New(fleet.Options{Name: "d", Incarnation: "1", Address: "127.0.0.1:1", Domain: "z", Boxes: boxes{}, Log: &event.Log{}})
	b := New(Options{Fleet: f, Copy: &testStore{KV: &kv}, Store: &kv, Log: &event.Log{}, Versions: func(string) (string, Proof) { return "", Several }})
	for i := range maxDeletes {
		write(fmt.Sprint("gone/", i))
	}
	write("changed/1")
	count := func() int {
		g.Expect(b.archive.clean(context.Background())).To(gomega.Succeed())
		return len(kv.WithPrefix(KeyPrefix))
	}
	g.Expect(count()).To(gomega.Equal(maxDeletes + 1))
	clock.Suspend(recordTTL - time.Second)
	write("changed/1")
	g.Expect(count()).To(gomega.Equal(maxDeletes + 1))
	clock.Suspend(2 * time.Second)
	g.Expect(count()).To(gomega.Equal(1), "the page that was written again")
	clock.Suspend(recordTTL)
	g.Expect(count()).To(gomega.BeZero())
}

// Guards against records of long streams that end while the streams go on: those in memory, those held back while there is a
// single version, and the pages of the store, which another daemon may write.
func TestRecordsOfLongStreamsAreRenewed(t *testing.T) {
	const rounds = 6
	// last is the time that passes after the last record.
	const last = Retention - time.Second
	for _, tc := range []struct {
		name  string
		proof Proof
	}{{"several versions", Several}, {"held back", Sole}} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var kv memkv.KV
			store := func(int) *testStore { return &testStore{KV: &kv} }
			daemons := startDaemonsAt(t, 5, tc.proof, store)
			// The cleaner knows no other daemon, so that it is to remove all old pages.
			f := fleet.New(fleet.Options{Name: "cleaner", Incarnation: "1", Address: "127.0.0.1:1", Domain: "z", Boxes: boxes{}, Log: &event.Log{}})
			cleaner := New(Options{Fleet: f, Copy: &testStore{KV: &kv}, Store: &kv, Log: &event.Log{}, Versions: func(string) (string, Proof) { return "", Several }})
			// The daemon that serves the stream is the last to write, too late for a record.
			ranked := slices.SortedFunc(slices.Values(daemons), func(a, b *testDaemon) int { return a.book.archive.rank() - b.book.archive.rank() })
			other, serves := ranked[1], ranked[4]
			for range rounds {
				writes := kv.Writes()
				serves.book.Record("org", "try", begun)
				if tc.proof == Several {
					g.Eventually(kv.Writes, maxWait, "5ms").Should(gomega.BeNumerically(">", writes))
					g.Eventually(func() int { return serves.book.Unsaved() + other.book.Unsaved() }, maxWait, "5ms").Should(gomega.BeZero())
				}
				g.Expect(cleaner.archive.clean(context.Background())).To(gomega.Succeed())
				clock.Suspend(RenewInterval)
			}
			clock.Suspend(last - RenewInterval)
			for _, d := range daemons {
				d.set("", Several)
			}
			g.Eventually(func() bool { return other.has("org", "try") }, maxWait, "5ms").Should(gomega.BeTrue())
			if tc.proof == Sole {
				return
			}
			g.Expect(cleaner.archive.clean(context.Background())).To(gomega.Succeed())
			for _, d := range daemons {
				d.stop()
			}
			found := startDaemonsAt(t, 1, Several, store)[0].book.Find(context.Background(), "org", "try", "llm")
			g.Expect(found.Stored).To(gomega.BeTrue())
			g.Expect(found.Stream).To(gomega.Equal(begun))
		})
	}
}

// BenchmarkLongStreams measures what records of streams of ten minutes cost while several versions serve: bytes in
// heartbeats to one peer, and records that are written to the store.
func BenchmarkLongStreams(b *testing.B) {
	const (
		streams   = 1000
		length    = 10 * time.Minute
		interval  = 150 * time.Millisecond
		fullEvery = 20
	)
	heartbeatBytes, stored, pages := 0, 0, 0
	for b.Loop() {
		f := fleet.New(fleet.Options{Name: "d", Incarnation: "1", Address: "127.0.0.1:1", Domain: "z", Boxes: boxes{}, Log: &event.Log{}})
		var kv memkv.KV
		book := New(Options{Fleet: f, Copy: &testStore{KV: &kv}, Store: &kv, Log: &event.Log{}, Versions: func(string) (string, Proof) { return "", Several }})
		last := make([]clock.Time, streams)
		for start, n := clock.Now(), 0; clock.Since(start) < length; n++ {
			now := clock.Now()
			for i := range last {
				// The streams begin one after another.
				if now.Sub(start) >= time.Duration(i)*RenewInterval/streams && (last[i].IsZero() || now.Sub(last[i]) >= RenewInterval) {
					book.Record("org", fmt.Sprint("try-", i), begun)
					last[i] = now
				}
			}
			if body := book.Collect(n%fullEvery == 0); body != nil {
				raw, err := msgpack.Marshal(body)
				if err != nil {
					b.Fatal(err)
				}
				heartbeatBytes += len(raw)
			}
			book.Told()
			before := book.Unsaved()
			if err := book.archive.save(context.Background()); err != nil {
				b.Fatal(err)
			}
			if written := before - book.Unsaved(); written > 0 {
				stored += written
				pages++
			}
			clock.Suspend(interval)
		}
	}
	perMinute := float64(b.N) * streams * length.Minutes()
	b.ReportMetric(float64(heartbeatBytes)/perMinute, "heartbeatB/stream-min")
	b.ReportMetric(float64(stored)/perMinute, "records/stream-min")
	b.ReportMetric(float64(pages)/float64(b.N)/length.Seconds(), "writes/s")
}

// Guards against lines of resumed streams that do not tell how old the stored record is that bound them.
func TestStoredRecordTellsWhenItWasWritten(t *testing.T) {
	for _, tc := range []struct {
		name     string
		ago      time.Duration
		min, max time.Duration
	}{
		{"just now", 0, 0, 30 * time.Second},
		{"before all daemons were killed", 40 * time.Second, 39 * time.Second, 70 * time.Second},
		{"by a clock that is ahead", -time.Hour, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var kv memkv.KV
			list := []toldRecord{{key: newKey("org", "try"), stream: begun}}
			value, err := json.Marshal(storedGroups(list, time.Now().Add(-tc.ago)))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = kv.Commit(context.Background(), plat.Txn{Puts: []plat.Put{{Key: KeyPrefix + "d/1", Value: value}}})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			b := New(Options{Copy: &testStore{KV: &kv}, Log: &event.Log{}, Versions: func(string) (string, Proof) { return "", Several }})
			found := b.Find(context.Background(), "org", "try", "llm")
			g.Expect(found.Stored).To(gomega.BeTrue())
			g.Expect(found.Age).To(gomega.And(gomega.BeNumerically(">=", tc.min), gomega.BeNumerically("<=", tc.max)))
		})
	}
}
