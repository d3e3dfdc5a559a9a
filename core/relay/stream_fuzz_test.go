package relay

import (
	"bufio"
	"bytes"
	"io"
	"testing"

	"github.com/pkg/errors"

	"embertally.dev/core/memory"
)

// Guards against bytes of a target's stream that are lost, come twice or are passed on as an event before its end.
func FuzzNextEvent(f *testing.F) {
	for _, text := range []string{
		"", "\n", "\r\n\r\n", "id: 1\ndata: word 1\n\nid: 2\ndata: word 2\n\n", "id: 1\r\ndata: x\r\n\r\n: comment\r\n\r\n", "id: 1\ndata: x", "id: 1\ndata: x\n",
		"data: x\n\n\n\nid:7\n\n", "id: 1\rdata: x\r\r", "\xef\xbb\xbfid: 1\ndata: x\n\n", "id\n\n", "id: a\nid: b\n\n",
	} {
		f.Add([]byte(text), uint8(1))
	}
	f.Fuzz(func(t *testing.T, text []byte, size uint8) {
		r := bufio.NewReaderSize(&slowReader{bytes.NewReader(text), int(size)%7 + 1}, 16)
		var passed []byte
		for {
			ev, err := nextEvent(r, (*memory.Budget)(nil).Hold(memory.Events))
			if err != nil {
				rest := text[len(passed):]
				whole := len(bytes.TrimSpace(rest)) == 0
				if errors.Is(err, io.EOF) != whole || errors.Is(err, io.ErrUnexpectedEOF) == whole {
					t.Fatalf("%v with %q left", err, rest)
				}
				return
			}
			passed = append(passed, ev.raw...)
			if !bytes.HasPrefix(text, passed) {
				t.Fatalf("%q is passed on of %q", passed, text)
			}
			lines := bytes.Split(bytes.TrimLeft(ev.raw, " \t\v\f\r\n\u0085\u00a0"), []byte("\n"))
			for i, line := range lines {
				if empty := len(bytes.TrimRight(line, "\r")) == 0; empty != (i >= len(lines)-2) {
					t.Fatalf("%q is not one event", ev.raw)
				}
			}
		}
	})
}

// slowReader returns few bytes for each read.
type slowReader struct {
	io.Reader
	most int
}

// Read implements io.Reader.
func (r *slowReader) Read(b []byte) (int, error) { return r.Reader.Read(b[:min(len(b), r.most)]) }
