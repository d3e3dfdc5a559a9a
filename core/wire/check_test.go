package wire

import (
	"bytes"
	"encoding/binary"
	"testing"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Guards against messages that the check rejects though the codec can decode them, and against ones that are cut, state a long
// list or are nested deep and pass it.
func FuzzCheckStructure(f *testing.F) {
	for c := range 256 {
		f.Add([]byte{byte(c), 0, 0, 0, 1, 0x91, 0xc0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0})
		f.Add([]byte{byte(c), 0xff, 0xff, 0xff, 0xff})
	}
	for _, depth := range []int{maxDepth - 1, maxDepth, maxDepth + 1} {
		f.Add(append(bytes.Repeat([]byte{0x91}, depth), 0xc0))
		f.Add(append(bytes.Repeat([]byte{0x81, 0xc0}, depth), 0x80))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		err := checkStructure(body)
		if errors.Is(err, errDepth) {
			if len(body) <= maxDepth {
				t.Fatalf("%x is nested too deep", body)
			}
			return
		}
		// Skip reads a value by its structure alone.
		if skipErr := msgpack.NewDecoder(bytes.NewReader(body)).Skip(); (err == nil) != (skipErr == nil) {
			t.Fatalf("%x: %v; the codec: %v", body, err, skipErr)
		}
	})
}

// Guards against a bound on the depth that is off by one, and against lists next to each other that count as nested.
func TestDepthOfMessagesIsBounded(t *testing.T) {
	nested := func(depth int) []byte { return append(bytes.Repeat([]byte{0x91}, depth), 0xc0) }
	g := gomega.NewWithT(t)
	g.Expect(checkStructure(nested(maxDepth))).To(gomega.Succeed())
	g.Expect(checkStructure(nested(maxDepth + 1))).To(gomega.MatchError(errDepth))
	const elements = 1000
	beside := binary.BigEndian.AppendUint16([]byte{0xdc}, elements)
	for range elements {
		beside = append(beside, nested(maxDepth-1)...)
	}
	g.Expect(checkStructure(beside)).To(gomega.Succeed())
}

// BenchmarkCheckStructure measures the check alone.
func BenchmarkCheckStructure(b *testing.B) {
	body := usualFrame(b)[headerSize:]
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		if err := checkStructure(body); err != nil {
			b.Fatal(err)
		}
	}
}
