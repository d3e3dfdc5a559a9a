package target

import (
	"bufio"
	"bytes"
	"io"
	"math"
	"net"
	"net/http"
	"net/textproto"
	"reflect"
	"strconv"
	"testing"
	"testing/iotest"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/memory"
)

// shortReader returns at most so many bytes for each read.
type shortReader struct {
	io.Reader
	most int
}

// Read implements io.Reader.
func (r *shortReader) Read(b []byte) (int, error) { return r.Reader.Read(b[:min(len(b), r.most)]) }

// receivedResponse is a response that readResponse has read to its end.
type receivedResponse struct {
	resp *Response
	body []byte
	// err is that of the head or the body.
	err error
	// used is the number of bytes that the response took.
	used int
}

// ended reports whether the response counts as complete.
func (r *receivedResponse) ended() bool { return errors.Is(r.err, io.EOF) }

// readResponse reads a response from what a target sends before it closes the connection.
func readResponse(sent []byte, most int, method string, budget *memory.Budget) *receivedResponse {
	from := bytes.NewReader(sent)
	head := &headReader{r: &shortReader{from, most}}
	conn := &poolConn{pool: &Pool{Memory: budget}, tcp: &net.TCPConn{}, head: head, r: bufio.NewReaderSize(head, readBufferSize)}
	out := &receivedResponse{resp: &Response{conn: conn}}
	out.err = out.resp.readHead(method)
	if out.err == nil {
		out.body, out.err = readAllOf(out.resp)
	}
	out.used = len(sent) - from.Len() - conn.r.Buffered()
	return out
}

// Guards against a cut response that counts as complete, and against one that is read differently if its bytes arrive
// otherwise.
func FuzzReadResponse(f *testing.F) {
	for _, form := range cutForms {
		f.Add([]byte(form.head+form.body), uint16(len(form.head)+len(form.body)-1), uint8(3), false)
	}
	for _, head := range endlessHeads {
		f.Add([]byte(head.start+head.repeated+head.repeated), uint16(5), uint8(1), false)
	}
	for _, text := range []string{
		"HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\nHTTP", "HTTP/1.1 101 Switching Protocols\r\n\r\nx",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n012345", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775807\r\n\r\nx", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
	} {
		f.Add([]byte(text), uint16(3), uint8(1), true)
	}
	f.Fuzz(func(t *testing.T, sent []byte, cut uint16, most uint8, head bool) {
		method := http.MethodGet
		if head {
			method = http.MethodHead
		}
		budget := &memory.Budget{}
		whole := readResponse(sent, len(sent)+1, method, budget)
		if held, peak := budget.Held(memory.Heads); held != 0 || peak > maxHeadBytes+readBufferSize {
			t.Fatalf("%d bytes held after, %d at the most", held, peak)
		}
		if whole.used > len(sent) || len(whole.body) > len(sent) {
			t.Fatalf("%d bytes of a body from %d", len(whole.body), len(sent))
		}
		parts := readResponse(sent, int(most)+1, method, nil)
		if parts.ended() != whole.ended() || errors.Is(parts.err, ErrUnmarkedEnd) != errors.Is(whole.err, ErrUnmarkedEnd) ||
			errors.Is(parts.err, ErrHeadTooLong) != errors.Is(whole.err, ErrHeadTooLong) {
			t.Fatalf("%v; in parts: %v", whole.err, parts.err)
		}
		if parts.resp.Status != whole.resp.Status || parts.resp.framing != whole.resp.framing || !reflect.DeepEqual(parts.resp.Header, whole.resp.Header) || !bytes.Equal(parts.body, whole.body) {
			t.Fatalf("%d %v %q; in parts: %d %v %q", whole.resp.Status, whole.resp.Header, whole.body, parts.resp.Status, parts.resp.Header, parts.body)
		}
		if errors.Is(whole.err, ErrUnmarkedEnd) && whole.resp.framing != FramingConnection {
			t.Fatalf("framing %s ends with the connection", whole.resp.framing)
		}
		if !whole.ended() {
			return
		}
		switch resp := whole.resp; {
		case resp.Status < http.StatusOK:
			t.Fatalf("status %d is no response", resp.Status)
		case resp.framing == FramingConnection:
			t.Fatal("complete though nothing marks the end")
		case resp.framing == FramingLength && int64(len(whole.body)) != resp.Length, resp.framing == FramingNone && len(whole.body) > 0:
			t.Fatalf("%d bytes with framing %s and length %d", len(whole.body), resp.framing, resp.Length)
		}
		if at := int(cut) % (whole.used + 1); at < whole.used {
			if got := readResponse(sent[:at], len(sent)+1, method, nil); got.ended() {
				t.Fatalf("complete though cut after %d of %d bytes", at, whole.used)
			}
		}
	})
}

// Guards against a pushback that is negative or over the bounds of durations, and against a value that is invalid and not
// reported as such.
func FuzzParsePushback(f *testing.F) {
	const date = "Fri, 01 Jan 2100 00:00:00 GMT"
	for _, value := range []string{
		"", "0", "1.5", "-1", "NaN", "Inf", "1e400", "1e300", "0x1p-2", " 3 ", "5s", date, "Fri, 01 Jan 0001 00:00:00 GMT", "Fri, 31 Dec 9999 23:59:59 GMT", "Friday, 01-Jan-99 00:00:00 GMT",
	} {
		f.Add(uint16(http.StatusServiceUnavailable), value, "1", date)
		f.Add(uint16(http.StatusOK), "2", value, "Fri, 01 Jan 0001 00:00:00 GMT")
	}
	f.Fuzz(func(t *testing.T, status uint16, one, two, date string) {
		parse := func(values ...string) (time.Duration, string) {
			return ParsePushback(int(status), http.Header{headerRetryAfter: values, "Date": {date}})
		}
		both, invalid := parse(one, two)
		first, firstInvalid := parse(one)
		second, secondInvalid := parse(two)
		if both != max(first, second) || (invalid != "") != (firstInvalid != "" || secondInvalid != "") {
			t.Fatalf("%q: %s %s; %q: %s %s; both: %s %s", one, first, firstInvalid, two, second, secondInvalid, both, invalid)
		}
		if first < 0 || (first > 0 && firstInvalid != "") {
			t.Fatalf("%q: %s %s", one, first, firstInvalid)
		}
		rejects := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
		if !rejects && (both != 0 || invalid != "") {
			t.Fatalf("%d: %s %s", status, both, invalid)
		}
		seconds, err := strconv.ParseFloat(textproto.TrimString(one), 64)
		if rejects && err == nil && seconds >= 0 && seconds <= maxSeconds && math.Abs(first.Seconds()-seconds) > 1e-6*max(1, seconds) {
			t.Fatalf("%q: %s", one, first)
		}
	})
}

// Guards against times of idle connections that are negative.
func FuzzParseKeepAlive(f *testing.F) {
	for _, value := range []string{"", "timeout=5", "timeout=5, max=100", "max=100,timeout=0", "timeout=-1", "timeout=x, timeout=7", "timeout=9223372036854775807", "timeout", "timeout=5;"} {
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value string) {
		if d, ok := parseKeepAlive(value); d < 0 || (d > 0 && !ok) {
			t.Fatalf("%q: %s, %t", value, d, ok)
		}
	})
}

// Guards against a connection by way of another box that seems to be closed by the target though the path to the box broke,
// and against bytes that are lost.
func FuzzDetourReader(f *testing.F) {
	for _, sent := range [][]byte{nil, {0}, {0, 0}, {0, 2, 'a', 'b', 0, 0}, {0, 2, 'a'}, {0, 1, 'a', 0xff, 0xff}, {0xff, 0xff}, {0xff, 0xfe, 'a'}, {0, 1, 'a', 0, 1, 'b', 0, 0, 'c'}} {
		f.Add(sent, uint8(0))
	}
	f.Fuzz(func(t *testing.T, sent []byte, most uint8) {
		var want []byte
		ended := errors.New("")
		for rest := sent; ; {
			if len(rest) < chunkHeader {
				ended = ErrDetourLost
				break
			}
			n := int(rest[0])<<8 | int(rest[1])
			rest = rest[chunkHeader:]
			if n == chunkEnd {
				ended = io.EOF
				break
			}
			if n == chunkReset {
				break
			}
			want = append(want, rest[:min(n, len(rest))]...)
			if n > len(rest) {
				ended = ErrDetourLost
				break
			}
			rest = rest[n:]
		}
		for _, r := range []io.Reader{bytes.NewReader(sent), &shortReader{bytes.NewReader(sent), int(most) + 1}, iotest.DataErrReader(bytes.NewReader(sent))} {
			d := NewDetourReader(r)
			var got []byte
			var err error
			for err == nil {
				b := make([]byte, int(most)+1)
				var n int
				n, err = d.Read(b)
				got = append(got, b[:n]...)
			}
			if !bytes.Equal(got, want) || errors.Is(err, io.EOF) != errors.Is(ended, io.EOF) || errors.Is(err, ErrDetourLost) != errors.Is(ended, ErrDetourLost) {
				t.Fatalf("%q, %v in place of %q, %v", got, err, want, ended)
			}
		}
	})
}
