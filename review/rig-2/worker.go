package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Names in the configuration and the entries of the stand-ins.
const (
	modelService = "pool"
	callService  = "app"
	modelName    = "m0"
)

// Figures of the model workers, those of the small deployment omst-cl.
const (
	workerSlots     = 64
	workerQueue     = 192
	workerMemory    = 70457
	tokensPerMilli  = 48.2
	stepTime        = 2600 * time.Microsecond
	callSlots       = 6
	callWork        = 30 * time.Millisecond
	workerConns     = 370
	callConns       = 110
	maxHeaderBytes  = 16384
	maxBodyBytes    = 4194304
	headerTimeoutMs = 3000
	idleTimeoutMs   = 15000
)

// worker is a stand-in for a model worker or an instance of the application service.
type worker struct {
	id, service, zone, addr string
	store                   *store
	server                  *http.Server
	slots, queue            chan struct{}
	// reading is held while a prompt is read: a worker reads one piece after the other.
	reading sync.Mutex

	mu      sync.Mutex
	version int64
	calls   int64
	ran     map[string]int
	order   []string
	// record, if set, is called for each request that runs.
	record func(worker, id string)
	// work is how long the worker takes for a call.
	work time.Duration
	// ended, if set, is called when a call has ended: whole, or because its connection closed.
	ended func(worker, id string, whole bool)
	// unframed means that answers to calls have no length and end with their connection.
	unframed bool
}

// newWorker starts a worker and writes its entry.
func newWorker(s *store, ip, id, service, zone string) *worker {
	w := &worker{id: id, service: service, zone: zone, store: s, version: 1, ran: map[string]int{}, work: callWork}
	n := callSlots
	if service == modelService {
		n = workerSlots
	}
	w.slots, w.queue = make(chan struct{}, n), make(chan struct{}, n+workerQueue)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", w.report)
	mux.HandleFunc("POST /v1/order", w.takeOrder)
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, _ *http.Request) { rw.Header().Set("Embertally-Instance-Id", w.id) })
	mux.HandleFunc("/", w.serve)
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	w.addr, w.server = l.Addr().String(), &http.Server{Handler: mux, MaxHeaderBytes: 1 << 20}
	go func() { _ = w.server.Serve(l) }()
	w.writeEntry()
	return w
}

func (w *worker) writeEntry() {
	w.mu.Lock()
	entry := map[string]any{
		"Service": w.service, "Address": w.addr, "Zone": w.zone, "Version": "v1", "Slots": cap(w.slots), "State": "ready",
		"ColdLeftMs": 0, "CallSeq": w.calls,
	}
	if w.service == modelService {
		entry["Stage"] = "colocated"
		entry["Models"] = []any{map[string]any{"Name": modelName, "Version": w.version, "Adapters": []string{}}}
	}
	w.mu.Unlock()
	w.store.put("servers/"+w.id, entry)
}

func (w *worker) report(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = json.NewEncoder(rw).Encode(map[string]any{
		"Stage": "colocated", "Busy": false, "CallSeq": w.calls, "Waiting": 0, "Running": len(w.slots), "KvUsed": 0, "KvTotal": workerMemory,
		"Handles": 0, "Models": []any{map[string]any{"Name": modelName, "Version": w.version, "Adapters": []string{}}},
	})
}

func (w *worker) takeOrder(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Op      string
		Version int64
		IfRev   *int64
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Op != "Version" {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case o.IfRev != nil && *o.IfRev != w.calls:
		rw.WriteHeader(http.StatusConflict)
	case o.Version == w.version:
	default:
		w.version = o.Version
		w.calls++
		rw.WriteHeader(http.StatusAccepted)
		go w.writeEntry()
	}
}

// hasRun reports whether a request ran at a worker.
func (w *worker) hasRun(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ran[id] > 0
}

// refuse rejects a request that does not run.
func refuse(rw http.ResponseWriter, id string, status int) {
	rw.Header().Set("Embertally-Attempt-Id", id)
	rw.Header().Set("Embertally-Not-Executed", "1")
	rw.WriteHeader(status)
}

// serve runs a request.
func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Embertally-Attempt-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.mu.Lock()
	version := w.version
	w.mu.Unlock()
	want := r.Header.Get("Embertally-Expect-Version")
	if r.Header.Get("Embertally-Expect-Instance") != w.id || want != "" && want != strconv.FormatInt(version, 10) {
		rw.Header().Set("Embertally-Attempt-Id", id)
		rw.Header().Set("Embertally-Instance-Id", w.id)
		rw.Header().Set("Embertally-Weight-Versions", strconv.FormatInt(version, 10))
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case w.queue <- struct{}{}:
	default:
		refuse(rw, id, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-w.queue }()
	ms, _ := strconv.Atoi(r.Header.Get("Embertally-Deadline-Ms"))
	late := time.After(time.Duration(ms) * time.Millisecond)
	select {
	case w.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	case <-late:
		refuse(rw, id, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-w.slots }()
	w.mu.Lock()
	w.ran[id]++
	w.order = append(w.order, id)
	record := w.record
	w.mu.Unlock()
	if record != nil {
		record(w.id, id)
	}
	h := rw.Header()
	h.Set("Embertally-Attempt-Id", id)
	h.Set("Embertally-Response-Seal", "seal."+w.id+"."+id)
	if w.service != modelService {
		w.call(rw, r, id)
		return
	}
	w.stream(rw, r, version)
}

// stream reads the prompt and sends the events of an answer.
func (w *worker) stream(rw http.ResponseWriter, r *http.Request, version int64) {
	first, rest, _ := strings.Cut(r.Header.Get("Embertally-Token-Usage"), ",")
	tokens, _ := strconv.Atoi(strings.TrimSpace(first))
	out, _ := strconv.Atoi(strings.TrimSpace(rest))
	w.reading.Lock()
	time.Sleep(time.Duration(float64(tokens) / tokensPerMilli * float64(time.Millisecond)))
	w.reading.Unlock()
	h := rw.Header()
	h.Set("Embertally-Weight-Versions", strconv.FormatInt(version, 10))
	h.Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := from + 1; n <= max(out, 1); n++ {
		time.Sleep(stepTime)
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: word %d\n\n", n, n); err != nil {
			return
		}
		rw.(http.Flusher).Flush()
	}
}

// call works on a call and answers it. It drops the call when its connection closes.
func (w *worker) call(rw http.ResponseWriter, r *http.Request, id string) {
	w.mu.Lock()
	work, ended := w.work, w.ended
	w.mu.Unlock()
	whole := true
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		whole = false
	}
	if ended != nil {
		ended(w.id, id, whole)
	}
	if !whole {
		return
	}
	body := strings.Repeat("x", 800)
	if !w.unframed {
		_, _ = rw.Write([]byte(body))
		return
	}
	conn, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nEmbertally-Attempt-Id: %s\r\nEmbertally-Response-Seal: seal.%s.%s\r\nConnection: close\r\n\r\n%s", id, w.id, id, body)
}

// crash ends the worker: it closes its listener and its connections, and its entry goes after three heartbeats.
func (w *worker) crash() {
	_ = w.server.Close()
	time.AfterFunc(3600*time.Millisecond, func() { w.store.remove("servers/" + w.id) })
}
