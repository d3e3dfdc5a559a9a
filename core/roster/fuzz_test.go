package roster

import (
	"bytes"
	"math"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/event"
)

// Guards against marks of targets that last longer than a peer may say, and against targets that nobody lists.
func FuzzReceiveHeartbeat(f *testing.F) {
	const far = math.MaxInt64
	for i, body := range []any{
		heartbeatBody{Loads: map[string]Load{"a": {Running: 2, QueuedTokens: 70}}, Updating: map[string]int64{"a": 500}, Versions: map[string]map[string]int64{"a": {"m": 3}}, ShuttingDown: []string{"b", "x"}},
		slowBody{Slow: map[string]int64{"a": 5}, Responsive: map[string]int64{"a": 1, "x": 1}},
		heartbeatBody{Updating: map[string]int64{"a": far, "x": -far}, Reloading: map[string]int64{"a": far, "b": -far}, Full: true, SoftwareVersions: []versionAge{{Service: "s", Version: "v", ListedMillis: far, UnlistedMillis: -far}}},
		slowBody{Slow: map[string]int64{"a": far, "b": -far}, Responsive: map[string]int64{"b": far}},
	} {
		raw, err := msgpack.Marshal(body)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint8(i), raw)
		f.Add(uint8(i), raw[:len(raw)-1])
	}
	f.Fuzz(func(t *testing.T, part uint8, body []byte) {
		if bytes.IndexByte(body, 0xdd) >= 0 || bytes.IndexByte(body, 0xdf) >= 0 {
			t.Skip("it may state a list longer than itself, which takes the memory of the list")
		}
		r := New(&event.Log{}, nil)
		r.Put(Entry{ID: "a", Service: "s", Version: "v", Slots: 4})
		r.Put(Entry{ID: "b", Service: "s", Version: "v", Slots: 4})
		if part%2 == 0 {
			HeartbeatPart{r}.Receive("peer", body)
		} else {
			SlowPart{r}.Receive("peer", body)
		}
		if len(r.targets) != 2 || r.targets["a"] == nil || r.targets["b"] == nil {
			t.Fatalf("%d targets", len(r.targets))
		}
		for id, until := range r.peerReloading {
			if left := time.Until(until); left > maxReloadingMillis*time.Millisecond {
				t.Fatalf("%q reloads for %s", id, left)
			}
		}
		again := New(&event.Log{}, nil)
		raw, err := msgpack.Marshal(HeartbeatPart{r}.Collect(true))
		if err != nil {
			t.Fatal(err)
		}
		HeartbeatPart{again}.Receive("other", raw)
	})
}
