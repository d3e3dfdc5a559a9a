package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// host is the host of all routes.
const host = "site.example"

// Path prefixes of the routes.
const (
	pathReview = "/review/" // streaming, resumable
	pathNote   = "/note/"   // streaming
	pathPay    = "/pay/"    // non_idempotent
	pathLook   = "/look/"   // idempotent
)

// configure writes a configuration with four routes, two services and ten tenants, whose keys are key-0 to key-9.
func configure(s *store, version int, change func(config map[string]any)) {
	route := func(name, prefix, kind, service string, timeout, target, attempts, priority int, resumable bool) map[string]any {
		return map[string]any{
			"Name": name, "Host": host, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": timeout, "TargetLatencyMs": target,
			"Priority": priority, "Service": service, "MaxAttempts": attempts, "Public": false, "Sticky": service == modelService,
			"Resumable": resumable, "GapAimMs": 600,
		}
	}
	var tenants []any
	for i := range 10 {
		tenants = append(tenants, map[string]any{"Name": fmt.Sprintf("tenant-%d", i), "ApiKeys": []string{fmt.Sprintf("key-%d", i)}, "Priority": 1, "Isolated": false})
	}
	config := map[string]any{
		"Version": version,
		"Routes": []any{
			route("review", pathReview, "streaming", modelService, 12000, 1200, 2, 1, true),
			route("note", pathNote, "streaming", modelService, 3000, 1200, 1, 0, false),
			route("pay", pathPay, "non_idempotent", callService, 1500, 150, 1, 2, false),
			route("look", pathLook, "idempotent", callService, 1500, 150, 2, 2, false),
		},
		"Services": []any{
			map[string]any{"Name": modelService, "MaxConns": workerConns, "Engine": map[string]any{
				"Slots": workerSlots, "KvCapacityTokens": workerMemory, "TokenKvBytes": 18432, "LinkMbps": 370000.0,
				"Models": []any{map[string]any{"Name": modelName}},
			}},
			map[string]any{"Name": callService, "MaxConns": callConns},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": maxHeaderBytes, "MaxBodyBytes": maxBodyBytes, "HeaderTimeoutMs": headerTimeoutMs, "IdleTimeoutMs": idleTimeoutMs},
		"Tenants": tenants,
	}
	if change != nil {
		change(config)
	}
	s.put("op/config", config)
}

// ids numbers the attempts.
var ids atomic.Int64

// newID returns the ID of an attempt.
func newID() string { return fmt.Sprintf("%016x", 0x1c41d07be2a30000+ids.Add(1)) }

// answer is what a client got.
type answer struct {
	id     string
	status int
	seal   string
	bytes  int
	took   time.Duration
	err    error
	// kept means that the connection had carried a request before.
	kept bool
}

// text describes an answer for the record.
func (a answer) text() string {
	if a.err != nil {
		return fmt.Sprintf("%s: no whole answer after %s: %v", a.id, a.took.Round(time.Millisecond), a.err)
	}
	return fmt.Sprintf("%s: status %d, %d bytes, seal %q after %s", a.id, a.status, a.bytes, a.seal, a.took.Round(time.Millisecond))
}

// client sends requests on connections that it keeps.
type client struct{ http http.Client }

// newClient returns a client.
func newClient() *client {
	return &client{http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
	}}}
}

// send sends a request; headers holds names and values in turn.
func (c *client) send(d *daemon, method, path, key string, deadline time.Duration, body string, headers ...string) answer {
	a := answer{id: newID()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.callers+path, strings.NewReader(body))
	check(err)
	req.Host = host
	req.Header["User-Agent"] = nil
	req.Header.Set("Embertally-Attempt-Id", a.id)
	req.Header.Set("Embertally-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { a.kept = i.Reused }}))
	start := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		a.err, a.took = err, time.Since(start)
		return a
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	a.status, a.seal, a.bytes, a.err, a.took = resp.StatusCode, resp.Header.Get("Embertally-Response-Seal"), int(n), err, time.Since(start)
	return a
}

// record writes what was seen.
type recorder struct {
	mu    sync.Mutex
	w     *bufio.Writer
	f     *os.File
	start time.Time
}

// newRecorder creates record.txt in a folder.
func newRecorder(path string) *recorder {
	f, err := os.Create(path)
	check(err)
	return &recorder{w: bufio.NewWriter(f), f: f, start: time.Now()}
}

// line writes a line to the record, and with say also to standard output.
func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.f.Close()
}
