package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Load and disruption of earlyReset.
const (
	uploadBytes = 1 << 20 // of 4 MiB that the configuration allows
	answerBytes = 6000
	windowBytes = 64 << 10
	clients     = 8
	playTime    = 25 * time.Second
	// The disruption lasts for troubleTime from each of troubleAt on. Meanwhile one of the two workers breaks off every
	// breakEvery-th of its answers.
	troubleTime = 5 * time.Second
	breakEvery  = 20
)

var troubleAt = []time.Duration{4 * time.Second, 14 * time.Second}

// earlyWorker is a worker of a plain service. It answers long requests before it has read them, without a length,
// and reads on afterwards. While it is disrupted it breaks off some answers: it ends the connection although it has
// not read the request, so that the kernel resets it.
type earlyWorker struct {
	rig     *rig
	id      string
	address string
	garbles bool
	answers atomic.Int64
	trouble atomic.Bool
}

// linkSegment is the size of a TCP segment on the links of a deployment. On the loopback interface it is 64 KiB, so
// that the kernel would take a whole long request into its buffers although the worker does not read it.
const linkSegment = 1400

// listenAsOnALink listens for connections whose segments are as long as those on a link between machines, and whose
// windows are small.
func listenAsOnALink(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			check(syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, linkSegment))
			check(syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes))
		})
	}}
	return config.Listen(context.Background(), "tcp", address)
}

// newEarlyWorker starts a worker and writes its entry.
func newEarlyWorker(r *rig, id, zone string, garbles bool) *earlyWorker {
	w := &earlyWorker{rig: r, id: id, garbles: garbles}
	l, err := listenAsOnALink(loopback(100) + ":0")
	check(err)
	w.address = l.Addr().String()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(conn.(*net.TCPConn))
		}
	}()
	r.store.put("servers/"+id, map[string]any{
		"Service": "app", "Address": w.address, "Zone": zone, "Version": "v1", "Slots": 6, "State": "ready", "ColdLeftMs": 0, "CallSeq": 0,
	})
	return w
}

// answerTo returns the whole answer to a request.
func answerTo(id string) []byte {
	sum := sha256.Sum256([]byte(id))
	return bytes.Repeat([]byte(hex.EncodeToString(sum[:])), answerBytes/64+1)[:answerBytes]
}

// serve answers one request. The end of the connection is the end of the answer.
func (w *earlyWorker) serve(conn *net.TCPConn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	req, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	id := req.Header.Get("Embertally-Attempt-Id")
	if req.Header.Get("Embertally-Expect-Instance") != w.id {
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nEmbertally-Instance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", w.id)
		return
	}
	w.rig.note("%s runs %s", w.id, id)
	answer := answerTo(id)
	breaks := w.trouble.Load() && w.garbles && w.answers.Add(1)%breakEvery == 0
	time.Sleep(20 * time.Millisecond)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nEmbertally-Attempt-Id: %s\r\nEmbertally-Response-Seal: %s.%s\r\nConnection: close\r\n\r\n", id, w.id, id)
	if breaks {
		conn.Write(answer[:answerBytes/2])
		time.Sleep(20 * time.Millisecond)
		w.rig.note("%s breaks off its answer to %s: reset after %d of %d bytes", w.id, id, answerBytes/2, answerBytes)
		w.rig.count("broken off")
		return
	}
	conn.Write(answer)
	io.Copy(io.Discard, req.Body)
	w.rig.count("answered whole")
}

// earlyReset checks MIXED: no answer that its worker broke off by a reset reaches a client as a whole one.
func earlyReset(r *rig) bool {
	r.store = newStore(loopback(1) + ":0")
	route := func(name, kind string, attempts int) map[string]any {
		return map[string]any{
			"Name": name, "Host": "ledger.example", "PathPrefix": "/" + name + "/", "Kind": kind, "TimeoutMs": 1200, "TargetLatencyMs": 150,
			"Priority": 1, "MaxAttempts": attempts, "Service": "app", "Public": false, "Sticky": false, "Resumable": false,
		}
	}
	r.store.put("op/config", map[string]any{
		"Version":  1,
		"Routes":   []any{route("pay-post", "non_idempotent", 1), route("read-post", "idempotent", 2)},
		"Services": []any{map[string]any{"Name": "app", "HealthPath": "/healthz", "MaxConns": 110, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4 << 20, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []any{map[string]any{"Name": "utility-1", "ApiKeys": []string{"key-1"}, "Priority": 1}},
	})
	garbling := newEarlyWorker(r, "i-1", "tacoma-hall", true)
	newEarlyWorker(r, "i-2", "salem-hall", false)
	r.startDaemons(3)
	r.awaitReady()
	time.Sleep(time.Second)

	if r.trouble {
		for _, at := range troubleAt {
			time.AfterFunc(at, func() {
				garbling.trouble.Store(true)
				r.note("disruption begins: i-1 breaks off one answer in %d", breakEvery)
			})
			time.AfterFunc(at+troubleTime, func() {
				garbling.trouble.Store(false)
				r.note("disruption ends")
			})
		}
	}
	var wg sync.WaitGroup
	end := time.Now().Add(playTime)
	for c := range clients {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				r.upload(r.daemons[(c+n)%len(r.daemons)], []string{"pay-post", "read-post"}[n%2], fmt.Sprintf("%x-%x", c, n))
				time.Sleep(150 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	r.note("workers: %d answers whole, %d broken off; clients: %d successes whole, %d successes with other than the worker's whole body, %d failures, %d without a whole answer",
		r.tally("answered whole"), r.tally("broken off"), r.tally("whole"), r.tally("mixed"), r.tally("failure"), r.tally("no answer"))
	if r.tally("whole") < 100 || (r.trouble && r.tally("broken off") < 3) {
		panic("too few requests for a verdict")
	}
	return r.tally("mixed") == 0
}

// upload sends one request and checks the answer.
func (r *rig) upload(d *daemon, route, id string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+d.callers+"/"+route+"/2f", strings.NewReader(strings.Repeat("x", uploadBytes)))
	check(err)
	req.Host = "ledger.example"
	req.Header.Set("Embertally-Attempt-Id", id)
	req.Header.Set("Embertally-Deadline-Ms", "2500")
	req.Header.Set("Authorization", "Bearer key-1")
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 4 * time.Second}).Do(req)
	if err != nil {
		r.note("%s (%s): no answer: %v", id, route, err)
		r.count("no answer")
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		r.note("%s (%s): %d, the answer ends early: %v", id, route, resp.StatusCode, err)
		r.count("no answer")
	case resp.StatusCode/100 != 2:
		r.note("%s (%s): %d", id, route, resp.StatusCode)
		r.count("failure")
	case !bytes.Equal(body, answerTo(id)):
		r.note("%s (%s): BROKEN: %d, seal %q, complete with %d bytes, the worker's whole body has %d", id, route, resp.StatusCode,
			resp.Header.Get("Embertally-Response-Seal"), len(body), answerBytes)
		r.count("mixed")
	default:
		r.note("%s (%s): 200, whole", id, route)
		r.count("whole")
	}
}
