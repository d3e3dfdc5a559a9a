package wire

import (
	"bytes"
	"context"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// benchRecord is an element of the benchmarks' message.
type benchRecord struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack               struct{} `msgpack:",as_array"`
	Name                   string
	Queued                 []int
	Running, Free, Total   int
	Speed                  float32
	Weights                []string
	AgeMillis, Incarnation int64
}

// usualFrame returns a frame with a message of the form and size of a cell's loads of workers: 40 records.
func usualFrame(tb testing.TB) []byte {
	var list []benchRecord
	for i := range 40 {
		list = append(list, benchRecord{
			Name: "worker-17.example:8080", Queued: []int{0, 812, 30_000}, Running: i, Free: 4000, Total: 8192, Speed: 1234.5,
			Weights: []string{"model-a@17"}, AgeMillis: 120, Incarnation: 1_764_900_000_000,
		})
	}
	body, err := msgpack.Marshal(list)
	if err != nil {
		tb.Fatal(err)
	}
	frame, err := encode(&envelope{ID: 7, Kind: "loads", Body: body})
	if err != nil {
		tb.Fatal(err)
	}
	return frame
}

// BenchmarkDecode measures reading a frame, and BenchmarkDecodeAndHandle also decoding its message.
func BenchmarkDecode(b *testing.B) {
	frame := usualFrame(b)
	b.SetBytes(int64(len(frame)))
	for b.Loop() {
		if _, _, err := decode(bytes.NewReader(frame), nil); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecodeAndHandle(b *testing.B) {
	frame := usualFrame(b)
	handler := Handle(func(context.Context, string, *[]benchRecord) (any, error) { return nil, nil })
	b.SetBytes(int64(len(frame)))
	for b.Loop() {
		e, _, err := decode(bytes.NewReader(frame), nil)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := handler(context.Background(), "peer", e.Body); err != nil {
			b.Fatal(err)
		}
	}
}
