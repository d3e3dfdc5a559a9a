package spread

import (
	"bytes"
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/clock"
	"embertally.dev/core/conf"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/memkv"
)

// Guards against a value that reads otherwise than it was compressed, and against a damaged form that is taken for whole or
// expands without bound.
func FuzzDecompress(f *testing.F) {
	value := []byte(`{"Name":"r-1","Host":"h.example","PathPrefix":"/p","TimeoutMs":800,"Service":"app"}`)
	good, err := compress(value, nil)
	if err != nil {
		f.Fatal(err)
	}
	based, err := compress(value, value[3:])
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good, value, []byte(nil))
	f.Add(based, value[1:], value[3:])
	f.Add(good[:len(good)-1], []byte(nil), []byte{})
	f.Add([]byte{0x28, 0xb5, 0x2f, 0xfd, 0xe0, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f}, bytes.Repeat([]byte("route "), 100), []byte("x"))
	f.Fuzz(func(t *testing.T, form, value, base []byte) {
		if got, err := decompress(form, base); err == nil && len(got) > maxValueBytes {
			t.Fatalf("%d bytes from %d", len(got), len(form))
		}
		own, err := compress(value, base)
		if err != nil {
			t.Fatal(err)
		}
		got, err := decompress(own, base)
		if err != nil || !bytes.Equal(got, value) {
			t.Fatalf("%q with %q: %q, %v", value, base, got, err)
		}
		if got, err := decompress(own[:len(own)-1], base); err == nil {
			t.Fatalf("%q from a cut form", got)
		}
	})
}

// newTestReplicator returns the configuration of a daemon and what exchanges it with peers.
func newTestReplicator() (*conf.Store, *ConfigReplicator) {
	log := &event.Log{}
	store := conf.NewStore(log)
	return store, New(store, fleet.New(fleet.Options{Name: "me", Log: log}), &memkv.KV{})
}

// Guards against a configuration that counts as confirmed by what a peer did not say.
func FuzzReceiveState(f *testing.F) {
	for _, st := range []confState{{Seq: 0, Loaded: true, AgeMillis: 7}, {Seq: 9, Loaded: true, AgeMillis: -1}, {AgeMillis: 3}} {
		raw, err := msgpack.Marshal(st)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Add([]byte{0x93, 0, 0xc3, 0xd3, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, body []byte) {
		store, replicator := newTestReplicator()
		replicator.Receive("peer", body)
		var st confState
		err := msgpack.Unmarshal(body, &st)
		confirmed := err == nil && st.Loaded && st.AgeMillis >= 0 && st.Seq == 0
		if at := store.Confirmed(); (!confirmed && !at.IsZero()) || at.After(clock.Now()) {
			t.Fatalf("%+v, %v: confirmed %v", st, err, at)
		}
		if got := replicator.PeerSeq("peer"); err != nil && got != 0 {
			t.Fatalf("sequence %d from %q", got, body)
		}
	})
}

// An age over the bounds of durations became a time to come, so that an old configuration counted as confirmed for years.
func TestAgeOfAConfigurationThatOverflowsConfirmsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	store, replicator := newTestReplicator()
	for _, age := range []int{math.MaxInt64 / int(time.Millisecond), math.MaxInt64/int(time.Millisecond) + 1, math.MaxInt64 / 3, math.MaxInt64} {
		raw, err := msgpack.Marshal(confState{Loaded: true, AgeMillis: age})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		replicator.Receive("peer", raw)
		g.Expect(store.Confirmed().After(clock.Now())).To(gomega.BeFalse(), "%d ms", age)
	}
}
