package poison

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/plat"
)

// statesLongList reports whether a message may state a list or a map of more elements than it has bytes, which takes their memory
// before they are missed.
func statesLongList(body []byte) bool {
	for _, code := range []byte{0xdd, 0xdf} {
		for rest := body; ; {
			at := bytes.IndexByte(rest, code)
			if at < 0 {
				break
			}
			rest = rest[at+1:]
			if len(rest) >= 4 && int(binary.BigEndian.Uint32(rest)) > len(body) {
				return true
			}
		}
	}
	return false
}

// checkBlocks fails the test if a block lasts longer than any may, or there are too many.
func checkBlocks(t *testing.T, l *blockList) {
	t.Helper()
	l.blocksMu.Lock()
	defer l.blocksMu.Unlock()
	if len(l.entries) > maxBlocks {
		t.Fatalf("%d blocks", len(l.entries))
	}
	for d, b := range l.entries {
		if left := clock.Until(b.expires); left > maxBlockTime || left < -2*maxBlockTime || b.Stamp > maxStamp() || b.duration() > maxBlockTime {
			t.Fatalf("%s: %+v, %s left", d, b, left)
		}
	}
}

// Guards against blocks of peers that last without end, are too many or differ between those that pass them on.
func FuzzReceiveBlocks(f *testing.F) {
	for _, b := range []block{
		{Request: digestOf("a"), Organisation: "o", Stamp: 5, Consecutive: 1, Remaining: time.Hour},
		{Request: digestOf("b"), Stamp: math.MaxInt64, Consecutive: math.MaxInt, Remaining: math.MaxInt64, Parts: []string{"x", "y"}},
		{Request: digestOf("c"), Stamp: -1, Consecutive: math.MinInt, Remaining: math.MinInt64, Released: true},
	} {
		raw, err := msgpack.Marshal(&blockHeartbeat{Checksum: 7, Blocks: []block{b, b}})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
		f.Add(raw[:len(raw)-2])
	}
	f.Add([]byte{0x92, 0, 0x91, 0xc0})
	f.Fuzz(func(t *testing.T, body []byte) {
		if statesLongList(body) {
			t.Skip()
		}
		one, two := newTestBlockList(), newTestBlockList()
		one.Receive("peer", body)
		checkBlocks(t, one)
		raw, err := msgpack.Marshal(one.Collect(true))
		if err != nil {
			t.Fatal(err)
		}
		two.Receive("peer", raw)
		checkBlocks(t, two)
		for d, b := range one.entries {
			if got, found := two.entries[d]; clock.Until(b.expires) > time.Second && (!found || got.Stamp != b.Stamp || got.Released != b.Released || got.Organisation != b.Organisation) {
				t.Fatalf("%+v is passed on as %+v", b, got)
			}
		}
	})
}

// Guards against blocks in the store that last without end or are for other requests than their keys.
func FuzzStoredBlock(f *testing.F) {
	name := digestOf("a").String()
	for _, value := range []string{
		"", "null", "{}", `{"organisation":"o","until":"2030-01-01T00:00:00Z","stamp":5,"times":2}`, `{"until":"9999-12-31T23:59:59Z","stamp":9223372036854775807,"times":9223372036854775807}`,
		`{"until":"0000-01-01T00:00:00Z","stamp":-9223372036854775808,"times":-9223372036854775808,"parts":["a",""]}`,
	} {
		f.Add(name, []byte(value))
		f.Add("x"+name, []byte(value))
	}
	f.Fuzz(func(t *testing.T, name string, value []byte) {
		g := &Guard{blocks: newTestBlockList()}
		g.o.Log = &event.Log{}
		g.Observe(plat.Change{Pair: plat.Pair{Key: BlockPrefix + name, Value: value, ModRevision: 1}})
		checkBlocks(t, g.blocks)
		d, ok := ParseDigest(name)
		if len(g.blocks.entries) > 1 || (len(g.blocks.entries) == 1 && (!ok || !json.Valid(value))) {
			t.Fatalf("%q, %q: %v", name, value, g.blocks.entries)
		}
		if b, found := g.blocks.entries[d]; ok && found && (b.Consecutive < 1 || b.Consecutive > 16 || clock.Until(b.expires) <= 0) {
			t.Fatalf("%q: %+v", value, b)
		}
	})
}
