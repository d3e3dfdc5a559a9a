package wire

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"runtime"
	"testing"
	"testing/iotest"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// sameMessage reports whether two bodies are the same message. That of no message is empty or nil.
func sameMessage(a, b []byte) bool {
	empty := func(body []byte) bool { return len(body) == 0 || bytes.Equal(body, []byte{msgpcode.Nil}) }
	return bytes.Equal(a, b) || (empty(a) && empty(b))
}

// Guards against frames that are lost, come twice, change on the way or are taken for whole though they are cut.
func FuzzFrames(f *testing.F) {
	f.Add(uint64(1), "hello", "", []byte{0xa1, 'x'}, []byte{0, 0, 0, 1, 0xc0})
	f.Add(uint64(0), "", "failed", []byte{0xc0}, []byte{0, 0, 0, 0})
	f.Add(uint64(1<<64-1), "k\xff", "\x00", []byte{0x92, 1, 0x81, 0xa1, 'a', 0xc4, 1, 0}, []byte{0xff, 0xff, 0xff, 0xff})
	f.Add(uint64(7), "k", "", []byte{0xdd, 0xff, 0xff, 0xff, 0xff}, []byte{0, 0, 0, 5, 0x94, 1, 0xa0, 0xa0, 0xc0})
	f.Fuzz(func(t *testing.T, id uint64, kind, text string, body, more []byte) {
		var stream []byte
		decoded := func(r io.Reader) (list []*envelope, used int) {
			for {
				e, n, err := decode(r, nil)
				if err != nil {
					return list, used
				}
				list, used = append(list, e), used+n
			}
		}
		// Only whole messages can be sent as a body, and in a list not nested too deep.
		var value msgpack.RawMessage
		sent := &envelope{ID: id, Kind: Kind(kind), Err: text, Body: []byte{0xc0}}
		if r := bytes.NewReader(body); msgpack.NewDecoder(r).Decode(&value) == nil && r.Len() == 0 && len(value) > 0 && !errors.Is(checkStructure(append([]byte{0x91}, value...)), errDepth) {
			sent.Body = value
		}
		frame, err := encode(sent)
		if err != nil {
			t.Fatal(err)
		}
		got, n, err := decode(bytes.NewReader(frame), nil)
		if err != nil || n != len(frame) || got.ID != id || got.Kind != Kind(kind) || got.Err != text || !sameMessage(got.Body, sent.Body) {
			t.Fatalf("%+v as %+v, %v", sent, got, err)
		}
		if e, _, err := decode(bytes.NewReader(frame[:int(id%uint64(len(frame)))]), nil); err == nil {
			t.Fatalf("a cut frame as %+v", e)
		}
		stream = append(append(stream, frame...), more...)
		whole, used := decoded(bytes.NewReader(stream))
		if used > len(stream) || len(whole) > len(stream)/headerSize {
			t.Fatalf("%d frames of %d bytes from %d", len(whole), used, len(stream))
		}
		for _, r := range []io.Reader{iotest.OneByteReader(bytes.NewReader(stream)), iotest.DataErrReader(bytes.NewReader(stream))} {
			parts, partsUsed := decoded(r)
			if len(parts) != len(whole) || partsUsed != used {
				t.Fatalf("%d frames of %d bytes; in parts: %d of %d", len(whole), used, len(parts), partsUsed)
			}
			for i := range parts {
				if parts[i].ID != whole[i].ID || parts[i].Kind != whole[i].Kind || parts[i].Err != whole[i].Err || !bytes.Equal(parts[i].Body, whole[i].Body) {
					t.Fatalf("%+v; in parts: %+v", whole[i], parts[i])
				}
			}
		}
	})
}

// A short message that states a long list takes the memory of the list before its elements are missed.
func TestMessageTakesNoMoreMemoryThanItIsLong(t *testing.T) {
	type element struct{ A, B, C, D string }
	const elements, bound = 1 << 20, 16 << 20
	message := binary.BigEndian.AppendUint32([]byte{0xdd}, elements)
	handler := Handle(func(context.Context, string, *[]element) (any, error) { return nil, nil })
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := handler(context.Background(), "peer", message)
	runtime.ReadMemStats(&after)
	g := gomega.NewWithT(t)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(after.TotalAlloc - before.TotalAlloc).To(gomega.BeNumerically("<", bound))
}

// Lists within lists are skipped recursively, so that a frame of MaxFrame bytes exceeds the largest stack, which ends the process.
func TestDeeplyNestedFramesAreRejected(t *testing.T) {
	const depth = 100_000
	body := append(bytes.Repeat([]byte{0x91}, depth), 0xc0)
	raw := append([]byte{0x94, 1, 0xa1, 'k', 0xa0}, body...)
	frame := append(binary.BigEndian.AppendUint32(nil, uint32(len(raw))), raw...)
	_, _, err := decode(bytes.NewReader(frame), nil)
	gomega.NewWithT(t).Expect(err).To(gomega.HaveOccurred())
}
