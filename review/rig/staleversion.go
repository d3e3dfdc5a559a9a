package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Load and disruptions of staleVersion.
const (
	streamClients   = 170
	streamEvents    = 6
	eventGap        = 250 * time.Millisecond
	firstVersion    = "v1"
	secondVersion   = "v1.1"
	versionPlayTime = 16 * time.Second
	// At newVersionAt and then every startGap a worker of the second version starts.
	newVersionAt = 6 * time.Second
	startGap     = 400 * time.Millisecond
	// One machine is cut off from the store and the other machines of the system cutBefore before that, for cutTime, and
	// the process on another one is killed killAfter after it.
	cutBefore = 100 * time.Millisecond
	cutTime   = 5 * time.Second
	killAfter = 700 * time.Millisecond
	// Two of the three machines are in one zone, with two thirds of the clients: the one that is killed and the one that
	// is cut off.
	killedMachine = 0
	cutMachine    = 2
	// mixedLimit is how many streams may hold events of two versions (ORDER).
	mixedLimit = 2
)

// modelWorker is a model worker, whose streams hold events that bear its software's version.
type modelWorker struct {
	rig         *rig
	id, version string
}

// newModelWorker starts a worker and writes its entry.
func newModelWorker(r *rig, id, zone, version string) {
	w := &modelWorker{rig: r, id: id, version: version}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", func(rw http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(rw).Encode(map[string]any{"Stage": "colocated", "Models": models, "Busy": false, "CallSeq": 0, "Waiting": 0, "Running": 0})
	})
	mux.HandleFunc("/", w.serve)
	l, err := net.Listen("tcp", loopback(100)+":0")
	check(err)
	go http.Serve(l, mux)
	r.store.put("servers/"+id, map[string]any{
		"Service": "llm", "Address": l.Addr().String(), "Zone": zone, "Version": version, "Slots": 16, "State": "ready", "ColdLeftMs": 0,
		"Stage": "colocated", "Models": models, "CallSeq": 0,
	})
	r.note("worker %s (%s) starts", id, version)
}

var models = []any{map[string]any{"Name": "m0", "Version": 1, "Adapters": []any{}}}

// serve answers a request by the events after the last one that the client has.
func (w *modelWorker) serve(rw http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Embertally-Attempt-Id")
	rw.Header().Set("Embertally-Attempt-Id", id)
	if r.Header.Get("Embertally-Expect-Instance") != w.id {
		rw.Header().Set("Embertally-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	rw.Header().Set("Embertally-Response-Seal", w.id+"."+id)
	rw.Header().Set("Embertally-Weight-Versions", "1")
	rw.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.rig.note("%s (%s) runs %s after event %d", w.id, w.version, id, last)
	for n := last + 1; n <= streamEvents; n++ {
		time.Sleep(eventGap)
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: word %d by %s\n\n", n, n, w.version); err != nil {
			return
		}
		rw.(http.Flusher).Flush()
	}
}

// staleVersion checks ORDER: no more than two streams hold events from workers of two software versions.
func staleVersion(r *rig) bool {
	r.store = newStore(loopback(1) + ":0")
	r.store.put("op/config", map[string]any{
		"Version": 1,
		"Routes": []any{map[string]any{
			"Name": "plan-check", "Host": "ledger.example", "PathPrefix": "/plan-check/", "Kind": "streaming", "TimeoutMs": 6000, "TargetLatencyMs": 400,
			"Priority": 1, "MaxAttempts": 2, "Service": "llm", "Public": false, "Sticky": true, "Resumable": true, "GapAimMs": 300,
		}},
		"Services": []any{map[string]any{"Name": "llm", "HealthPath": "/healthz", "MaxConns": 180, "Protocol": "h1", "Tls": false, "Engine": map[string]any{
			"Slots": 16, "KvCapacityTokens": 110777, "TokenKvBytes": 18432, "LinkMbps": 180000, "Models": []any{map[string]any{"Name": "m0"}},
		}}},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4 << 20, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": "utility-1", "ApiKeys": []string{"key-1"}, "Priority": 1}},
	})
	r.store.put("op/version/m0", map[string]any{"Model": "m0", "Version": 1})
	for i := range 8 {
		newModelWorker(r, fmt.Sprintf("i-%d", i), []string{"tacoma-hall", "salem-hall"}[i%2], firstVersion)
	}
	// The links of the machine that is cut off: its way to the store, and those between it and the other machines.
	var links []*link
	r.links = func(daemons []*daemon) {
		cut := daemons[cutMachine]
		own, others := []string{}, []string{}
		for _, d := range daemons {
			k := newLink(loopback(2), d.peers)
			links = append(links, k)
			if d == cut {
				others = append(others, strconv.Quote(d.peers), strconv.Quote(k.address))
			} else {
				own = append(own, strconv.Quote(d.peers), strconv.Quote(k.address))
			}
		}
		for _, d := range daemons {
			pairs := others
			if d == cut {
				pairs = own
			}
			replacer := strings.NewReplacer(pairs...)
			d.store = r.store.view(loopback(1), func() *strings.Replacer { return replacer })
		}
		toStore := newLink(loopback(2), cut.store)
		links = append(links, toStore)
		cut.store = toStore.address
	}
	r.startDaemons(3)
	r.awaitReady()
	time.Sleep(2 * time.Second)

	var killed atomic.Bool
	start := time.Now()
	time.AfterFunc(newVersionAt, func() {
		for i := range 3 {
			newModelWorker(r, fmt.Sprintf("i-%d", 20+i), []string{"tacoma-hall", "salem-hall"}[i%2], secondVersion)
			time.Sleep(startGap)
		}
	})
	if r.trouble {
		set := func(cut bool) {
			for _, k := range links {
				k.set(cut)
			}
			r.note("%s cut off from the store and the other machines: %v", r.daemons[cutMachine].name, cut)
		}
		time.AfterFunc(newVersionAt-cutBefore, func() { set(true) })
		time.AfterFunc(newVersionAt-cutBefore+cutTime, func() { set(false) })
		time.AfterFunc(newVersionAt+killAfter, func() {
			killed.Store(true)
			r.note("%s is killed", r.daemons[killedMachine].name)
			r.daemons[killedMachine].cmd.Process.Signal(syscall.SIGKILL)
		})
	}
	var wg sync.WaitGroup
	for c := range streamClients {
		wg.Go(func() {
			time.Sleep(rand.N(streamEvents * eventGap))
			for n := 0; time.Since(start) < versionPlayTime; n++ {
				r.readStream(c, fmt.Sprintf("%x-%x", c, n), &killed)
			}
		})
	}
	wg.Wait()
	r.note("streams: %d complete, %d taken up again, %d given up; %d hold events of two versions",
		r.tally("complete"), r.tally("taken up"), r.tally("given up"), r.tally("mixed"))
	if r.tally("complete") < 100 {
		panic("too few streams for a verdict")
	}
	return r.tally("mixed") <= mixedLimit
}

// readStream reads one stream, and takes it up once more at another machine if its connection breaks.
func (r *rig) readStream(client int, id string, killed *atomic.Bool) {
	events, versions := []string{}, map[string]bool{}
	at := client % len(r.daemons)
	for try := range 2 {
		if killed.Load() && at == killedMachine {
			at = cutMachine
		}
		attempt := fmt.Sprintf("%s.%d", id, try)
		req, err := http.NewRequest(http.MethodPost, "http://"+r.daemons[at].callers+"/plan-check/2f", strings.NewReader("is the plan eligible"))
		check(err)
		req.Host = "ledger.example"
		h := map[string]string{
			"Embertally-Attempt-Id": attempt, "Embertally-Deadline-Ms": "6000", "Authorization": "Bearer key-1", "Embertally-Model": "m0",
			"Embertally-Token-Usage": "400,6", "Embertally-Prompt-Prefix": fmt.Sprintf("%x:300,%xff:100", id, id),
		}
		if len(events) > 0 {
			h["Resumes"], h["Last-Event-Id"] = id+".0", strconv.Itoa(len(events))
			r.count("taken up")
		}
		for name, value := range h {
			req.Header.Set(name, value)
		}
		whole := r.readEvents(req, r.daemons[at].name, &events, versions)
		if whole || len(events) == 0 {
			break
		}
		// Retries meet the other machine of the client's zone, if it has another one.
		switch at {
		case killedMachine:
			at = cutMachine
		case cutMachine:
			at = killedMachine
		}
	}
	if len(events) == streamEvents {
		r.count("complete")
	} else {
		r.count("given up")
		time.Sleep(100 * time.Millisecond)
	}
	if len(versions) > 1 {
		r.note("%s: BROKEN: one stream holds %q", id, events)
		r.count("mixed")
	}
}

// readEvents reads the events of one answer, and reports whether the answer was whole.
func (r *rig) readEvents(req *http.Request, daemon string, events *[]string, versions map[string]bool) bool {
	id := req.Header.Get("Embertally-Attempt-Id")
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 7 * time.Second}).Do(req)
	if err != nil {
		r.note("%s at %s: no answer: %v", id, daemon, err)
		return false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		r.note("%s at %s: %d", id, daemon, resp.StatusCode)
		return false
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if word, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			*events = append(*events, word)
			_, version, _ := strings.Cut(word, " by ")
			versions[version] = true
		}
	}
	if lines.Err() != nil {
		r.note("%s at %s: broken off after event %d: %v", id, daemon, len(*events), lines.Err())
	}
	return lines.Err() == nil
}
