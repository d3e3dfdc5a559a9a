package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Load and disruption of endlessHead.
const (
	headClients  = 30
	headPlayTime = 40 * time.Second
	// workTime is how long a plain request takes ("work ms 30").
	workTime = 30 * time.Millisecond
	// The disruption lasts for headTroubleTime from each of headTroubleAt on. Meanwhile one of three workers sends bytes
	// that are no answer in place of every garbageEvery-th answer.
	headTroubleTime = 5 * time.Second
	garbageEvery    = 20
	// garbagePerSecond is less than the link of a machine carries (1,000 Mbit/s).
	garbagePerSecond = 100 << 20
	garbageChunk     = 1 << 20
	// restartDelay is how long the platform takes to start a process that has ended.
	restartDelay = time.Second
	// lostLimit is how many kept connections a machine may close without an answer (LOST).
	lostLimit = 3
)

var headTroubleAt = []time.Duration{4 * time.Second, 16 * time.Second, 28 * time.Second}

// plainWorker is a worker of a plain service.
type plainWorker struct {
	rig     *rig
	id      string
	garbles bool
	answers atomic.Int64
	trouble atomic.Bool
	// link is held while a chunk is sent, so that all garbage together keeps to garbagePerSecond.
	link sync.Mutex
}

// newPlainWorker starts a worker and writes its entry.
func newPlainWorker(r *rig, id, zone string, garbles bool) *plainWorker {
	w := &plainWorker{rig: r, id: id, garbles: garbles}
	l, err := net.Listen("tcp", loopback(100)+":0")
	check(err)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(conn)
		}
	}()
	r.store.put("servers/"+id, map[string]any{
		"Service": "app", "Address": l.Addr().String(), "Zone": zone, "Version": "v1", "Slots": 6, "State": "ready", "ColdLeftMs": 0, "CallSeq": 0,
	})
	return w
}

// serve answers the requests of one connection.
func (w *plainWorker) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		id := req.Header.Get("Embertally-Attempt-Id")
		if req.Header.Get("Embertally-Expect-Instance") != w.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nEmbertally-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.id)
			continue
		}
		w.rig.ran(id, w.id)
		time.Sleep(workTime)
		if w.garbles && w.trouble.Load() && w.answers.Add(1)%garbageEvery == 0 {
			w.sendGarbage(conn, id)
			return
		}
		body := answerTo(id)[:800]
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nEmbertally-Attempt-Id: %s\r\nEmbertally-Response-Seal: %s.%s\r\nContent-Length: %d\r\n\r\n%s", id, w.id, id, len(body), body)
	}
}

// sendGarbage sends bytes that are no answer until the other end closes the connection or the disruption ends.
func (w *plainWorker) sendGarbage(conn net.Conn, id string) {
	chunk := bytes.Repeat([]byte{0}, garbageChunk)
	sent := 0
	for w.trouble.Load() {
		w.link.Lock()
		start := time.Now()
		n, err := conn.Write(chunk)
		time.Sleep(time.Duration(n)*time.Second/garbagePerSecond - time.Since(start))
		w.link.Unlock()
		if sent += n; err != nil {
			break
		}
	}
	w.rig.note("%s answered %s with %d MB that are no answer", w.id, id, sent>>20)
	w.rig.count("garbage")
}

// ran records that a worker runs a request.
func (r *rig) ran(id, worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs == nil {
		r.runs = map[string]string{}
	}
	r.runs[id] = worker
}

// runAt returns the worker that ran a request last, or "".
func (r *rig) runAt(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// enforceMemory does what the platform does with a process that exceeds MemoryMb: it kills it, and starts it again.
func (r *rig) enforceMemory(d *daemon, stop <-chan struct{}) {
	highest := 0
	for {
		select {
		case <-stop:
			r.note("%s: at most %d MB", d.name, highest)
			return
		case <-time.After(5 * time.Millisecond):
		}
		used := residentMB(d.cmd.Process.Pid)
		if highest = max(highest, used); used <= memoryMB {
			continue
		}
		r.note("the platform kills %s: %d MB are over its limit of %d MB", d.name, used, memoryMB)
		r.count("killed")
		d.cmd.Process.Signal(syscall.SIGKILL)
		<-d.exited
		time.Sleep(restartDelay)
		r.run(d, false)
	}
}

// residentMB returns the resident memory of a process in MB.
func residentMB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

// endlessHead checks LOST: a machine in touch closes no more than three kept connections without an answer.
func endlessHead(r *rig) bool {
	r.store = newStore(loopback(1) + ":0")
	r.store.put("op/config", map[string]any{
		"Version": 1,
		"Routes": []any{map[string]any{
			"Name": "pay-post", "Host": "ledger.example", "PathPrefix": "/pay-post/", "Kind": "non_idempotent", "TimeoutMs": 1200, "TargetLatencyMs": 150,
			"Priority": 1, "MaxAttempts": 1, "Service": "app", "Public": false, "Sticky": false, "Resumable": false,
		}},
		"Services": []any{map[string]any{"Name": "app", "HealthPath": "/healthz", "MaxConns": 110, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4 << 20, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []any{map[string]any{"Name": "utility-1", "ApiKeys": []string{"key-1"}, "Priority": 1}},
	})
	garbling := newPlainWorker(r, "i-1", "tacoma-hall", true)
	newPlainWorker(r, "i-2", "salem-hall", false)
	newPlainWorker(r, "i-3", "tacoma-hall", false)
	r.startDaemons(3)
	r.awaitReady()
	time.Sleep(time.Second)

	stop := make(chan struct{})
	var platform, callers sync.WaitGroup
	for _, d := range r.daemons {
		platform.Go(func() { r.enforceMemory(d, stop) })
	}
	if r.trouble {
		for _, at := range headTroubleAt {
			time.AfterFunc(at, func() { garbling.trouble.Store(true); r.note("disruption begins") })
			time.AfterFunc(at+headTroubleTime, func() { garbling.trouble.Store(false); r.note("disruption ends") })
		}
	}
	end := time.Now().Add(headPlayTime)
	for c := range headClients {
		callers.Go(func() { r.keepAsking(c, end) })
	}
	callers.Wait()
	close(stop)
	platform.Wait()
	broken := false
	for _, d := range r.daemons {
		lost := r.tally("lost at " + d.name)
		r.note("%s closed %d kept connections without an answer to a request that a sound worker ran", d.name, lost)
		broken = broken || lost > lostLimit
	}
	r.note("clients: %d answers; workers: %d answers that are none; platform: %d processes over their memory", r.tally("answered"), r.tally("garbage"), r.tally("killed"))
	if r.tally("answered") < 100 || (r.trouble && r.tally("garbage") == 0) {
		panic("too few requests for a verdict")
	}
	return !broken
}

// keepAsking sends requests on kept connections, one after the other, to one daemon, and to the next one while that is
// gone.
func (r *rig) keepAsking(client int, end time.Time) {
	at := client
	var conn net.Conn
	var in *bufio.Reader
	for n := 0; time.Now().Before(end); n++ {
		d := r.daemons[at%len(r.daemons)]
		id := fmt.Sprintf("%x-%x", client, n)
		if conn == nil {
			c, err := net.DialTimeout("tcp", d.callers, time.Second)
			if err != nil {
				at++
				time.Sleep(50 * time.Millisecond)
				continue
			}
			conn, in = c, bufio.NewReader(c)
		}
		conn.SetDeadline(time.Now().Add(3 * time.Second))
		fmt.Fprintf(conn, "POST /pay-post/2f HTTP/1.1\r\nHost: ledger.example\r\nEmbertally-Attempt-Id: %s\r\nEmbertally-Deadline-Ms: 2500\r\nAuthorization: Bearer key-1\r\nContent-Length: 5\r\n\r\npaid1", id)
		resp, err := http.ReadResponse(in, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil {
			if worker := r.runAt(id); worker == "i-2" || worker == "i-3" {
				r.note("%s (at %s, run by %s): the connection is closed without an answer: %v", id, d.name, worker, err)
				r.count("lost at " + d.name)
			}
			conn.Close()
			conn = nil
			at++
			continue
		}
		r.count("answered")
		if resp.StatusCode != http.StatusOK {
			r.note("%s (at %s): %d", id, d.name, resp.StatusCode)
		}
		if resp.Close {
			conn.Close()
			conn = nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	if conn != nil {
		conn.Close()
	}
}
