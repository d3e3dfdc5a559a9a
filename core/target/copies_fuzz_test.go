package target

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"embertally.dev/core/testip"
)

// Headers of the requests and responses of FuzzCopies: the ID that names a request, and which sending the request or response
// belongs to.
const (
	headerCopiesID      = "Id"
	headerCopiesSending = "Sending"
)

// copyPlay is how a target responds to one sending, and which former bytes of the connection it sends again.
type copyPlay struct {
	// form is the index of the response in copyForms.
	form int
	// before, inside and after are the bytes that are sent again before the response, between its head and the end of its body,
	// and after it; later are those a millisecond after it.
	before, inside, after, later copyChoice
	// closes means that the target closes the connection.
	closes bool
}

// copyForms are responses. The arguments are the ID and the number of the sending.
var copyForms = []struct{ head, body string }{
	{"HTTP/1.1 503 X\r\nId: %s\r\nSending: %d\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", ""},
	{"HTTP/1.1 200 OK\r\nId: %s\r\nSending: %d\r\nContent-Length: 4\r\n\r\n", "body"},
	{"HTTP/1.1 200 OK\r\nId: %s\r\nSending: %d\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n0\r\n\r\n"},
	{"HTTP/1.1 103 X\r\nId: %[1]s\r\n\r\nHTTP/1.1 421 X\r\nId: %[1]s\r\nSending: %[2]d\r\nContent-Length: 0\r\n\r\n", ""},
}

// copyChoice chooses former bytes: 0 means none. Without copyPart it is a whole response, preferably to a request with the same
// ID, that the other bits choose; with copyPart it is a part of the last one, up to a point that the other bits choose or, if they
// are odd, from there on.
type copyChoice byte

const (
	copyPart  copyChoice = 0x80
	copyCount copyChoice = 0x7f
)

// copySent is a response that was sent on a connection.
type copySent struct {
	id   string
	text []byte
}

// copyTarget is a target that plays a series of copyPlays, one for each sending.
type copyTarget struct {
	listener net.Listener
	plays    []copyPlay
	wg       sync.WaitGroup // of accepting and of the connections
}

// run accepts connections until the listener is closed.
func (s *copyTarget) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.wg.Go((&copyConn{target: s, Conn: conn}).run)
	}
}

// copyConn is a connection of a copyTarget.
type copyConn struct {
	net.Conn
	target *copyTarget
	// sent are the responses that were sent, oldest first.
	sent []copySent
}

// copyIdleTime is how long a copyTarget waits for a request until it closes the connection.
const copyIdleTime = 50 * time.Millisecond

// run responds to requests until the connection ends.
func (c *copyConn) run() {
	defer c.Close()
	r := bufio.NewReader(c.Conn)
	for {
		// The pool may wait for the rest of a response of which a part was sent again.
		if err := c.SetReadDeadline(time.Now().Add(copyIdleTime)); err != nil {
			return
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		sending, err := strconv.Atoi(req.Header.Get(headerCopiesSending))
		if err != nil || !c.respond(req.Header.Get(headerCopiesID), sending) {
			return
		}
	}
}

// respond plays the response to a sending, and reports whether the connection goes on.
func (c *copyConn) respond(id string, sending int) bool {
	play := c.target.plays[sending]
	form := copyForms[play.form]
	head := fmt.Sprintf(form.head, id, sending)
	c.repeat(play.before, id)
	c.write([]byte(head))
	c.repeat(play.inside, id)
	c.write([]byte(form.body))
	c.sent = append(c.sent, copySent{id, []byte(head + form.body)})
	c.repeat(play.after, id)
	if play.later != 0 {
		time.Sleep(time.Millisecond)
		c.repeat(play.later, id)
	}
	return !play.closes
}

// repeat sends former bytes again.
func (c *copyConn) repeat(choice copyChoice, id string) {
	if choice == 0 || len(c.sent) == 0 {
		return
	}
	from := slices.DeleteFunc(slices.Clone(c.sent), func(s copySent) bool { return s.id != id })
	if len(from) == 0 {
		from = c.sent
	}
	n := int(choice & copyCount)
	text := from[n%len(from)].text
	if choice&copyPart != 0 {
		text = from[len(from)-1].text
		if at := len(text) * n / int(copyPart); n%2 == 0 {
			text = text[:at]
		} else {
			text = text[at:]
		}
	}
	c.write(text)
}

// write sends bytes. An error means that the pool has closed the connection.
func (c *copyConn) write(b []byte) { _, _ = c.Write(b) }

// copySending is one sending of a request over the pool.
type copySending struct {
	id   string
	play copyPlay
	// keeps means that the response stays open while the next request is sent, and discards that its connection is given up.
	keeps, discards bool
}

// Sizes of the input of FuzzCopies.
const (
	copyIDs           = 3
	copySendingBytes  = 6
	maxCopySendings   = 12
	maxCopyConnsInput = 3
)

// copySendings reads sendings from the input of a fuzz target.
func copySendings(input []byte) []copySending {
	var out []copySending
	for b := range slices.Chunk(input, copySendingBytes) {
		if len(b) < copySendingBytes || len(out) == maxCopySendings {
			break
		}
		out = append(out, copySending{
			id: string(rune('a' + b[0]%copyIDs)), keeps: b[0]&0x80 != 0, discards: b[0]&0x40 != 0,
			play: copyPlay{
				form: int(b[1]) % len(copyForms), closes: b[1]&0x80 != 0,
				before: copyChoice(b[2]), inside: copyChoice(b[3]), after: copyChoice(b[4]), later: copyChoice(b[5]),
			},
		})
	}
	return out
}

// checkCopy returns what is wrong with the response to a sending: one that names the request must have been sent for this sending.
func checkCopy(s copySending, sending int, resp *Response, err error) string {
	if err != nil {
		if carriage, ok := CarriageOf(err); ok && carriage.Repeated() {
			return fmt.Sprintf("sending %d of %s: %s", sending, s.id, carriage)
		}
		return ""
	}
	switch carriage := resp.Carriage(); {
	case slices.Equal(resp.Header[headerCopiesID], []string{s.id}) && resp.Header.Get(headerCopiesSending) != strconv.Itoa(sending):
		return fmt.Sprintf("sending %d of %s got the response to sending %s; %s", sending, s.id, resp.Header.Get(headerCopiesSending), carriage)
	case carriage.Repeated():
		return fmt.Sprintf("sending %d of %s: %s", sending, s.id, carriage)
	}
	return ""
}

// playCopies sends the requests one after another and returns the first fault.
func playCopies(ctx context.Context, address string, maxOpen int, sendings []copySending) string {
	p := &Pool{}
	p.SetMaxConns(address, maxOpen)
	var open *Response
	release := func() {
		if open != nil {
			open.Close()
			open = nil
		}
	}
	defer p.CloseIdle(address)
	defer release()
	for i, s := range sendings {
		if maxOpen == 1 {
			release()
		}
		header := http.Header{headerCopiesID: {s.id}, headerCopiesSending: {strconv.Itoa(i)}}
		resp, err := p.Send(ctx, address, &Request{ID: s.id, Method: http.MethodGet, URI: "/", Host: "h", Header: header})
		release()
		if text := checkCopy(s, i, resp, err); text != "" {
			if resp != nil {
				resp.Close()
			}
			return text
		}
		if err != nil {
			continue
		}
		open = resp
		if _, err := io.Copy(io.Discard, resp); err != nil || s.discards || !slices.Equal(resp.Header[headerCopiesID], []string{s.id}) {
			resp.Discard()
		}
		if !s.keeps {
			release()
		}
	}
	return ""
}

// Guards against REFUSED and TWICE: a copy of a former response of a connection that is taken for the response to a later sending of the same request.
func FuzzCopies(f *testing.F) {
	const keeps, closes = 0x80, 0x80
	rejected, answered, chunked := byte(0), byte(1), byte(2)
	for _, input := range [][]byte{
		{0, rejected, 0, 0, 0, 0, 0, answered, 1, 0, 0, 0},
		{0, rejected, 0, 0, 0, 0, 1, answered, 0, 0, 0, 0, 0, answered, 1, 0, 0, 0},
		{0, rejected, 0, 0, 0, 0, 1, answered, 1, 0, 0, 0, 0, answered, 1, 0, 0, 0},
		{0, 3, 0, 0, 0, 0, 0, chunked, 1, 1, 1, 1, 0, chunked, byte(copyPart) + 64, 0, 0, 0},
		{0, answered, 0, 0, 1, 0, 0, answered, 0, 0, 0, 1, 0, answered, 0, 0, 0, 0},
		{0, chunked, 0, 0, 0, 0, 1, chunked, 0, 1, 0, 0, 2, answered, 0, byte(copyPart) + 64, 0, 0, 0, chunked, 0, 0, 0, 0},
		{keeps, rejected, 0, 0, 0, 0, keeps, answered, 1, 0, 0, 0, keeps, answered, 2, 0, 0, 0, 1, closes + answered, 1, 0, 0, 0, 0, answered, 1, 0, 0, 0},
	} {
		for maxOpen := range byte(maxCopyConnsInput) {
			f.Add(maxOpen, input)
		}
	}
	f.Fuzz(func(t *testing.T, maxOpen byte, input []byte) {
		sendings := copySendings(input)
		if len(sendings) == 0 {
			return
		}
		listener, err := testip.Listen()
		if err != nil {
			t.Fatal(err)
		}
		s := &copyTarget{listener: listener}
		for _, sending := range sendings {
			s.plays = append(s.plays, sending.play)
		}
		s.wg.Go(s.run)
		defer s.wg.Wait()
		defer listener.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		if text := playCopies(ctx, listener.Addr().String(), int(maxOpen)%maxCopyConnsInput, sendings); text != "" {
			t.Error(text)
		}
	})
}
