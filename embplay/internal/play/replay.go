package play

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/plat"
	"embertally.dev/embfake/fake"
)

// replay plays one trace against a running site.
type replay struct {
	trace      *Trace
	site       fake.SiteFile
	dir        string // of the site
	caller     *Caller
	start      time.Time
	boxCounter atomic.Uint64

	recordMu sync.Mutex
	records  []record // guarded by recordMu
	// unreachable has the boxes that the load balancer skips. Guarded by recordMu.
	unreachable map[int]bool
}

// record is the result of one event as its caller saw it.
type record struct {
	event Event
	reply Reply
	// sent is when it was first sent, in seconds of the trace.
	sent   float64
	prompt string
	// key is the complete idempotency key of a call.
	key string
	// attempts is how often the request was sent.
	attempts int
}

// runTrace replays a trace and returns its figures.
func runTrace(dir string, t *Trace) (*Figures, error) {
	site, err := fake.ReadSite(dir)
	if err != nil {
		return nil, err
	}
	caller, err := NewCaller(site.CA)
	if err != nil {
		return nil, err
	}
	r := &replay{trace: t, site: site, dir: dir, caller: caller, unreachable: map[int]bool{}}
	before, err := r.storeCounts()
	if err != nil {
		return nil, err
	}
	r.play()
	after, err := r.storeCounts()
	if err != nil {
		return nil, err
	}
	runs, err := r.executions()
	if err != nil {
		return nil, err
	}
	return evaluate(r, before, after, runs), nil
}

// replayGrace bounds the time that requests may take after the end of the trace.
const replayGrace = 40 * time.Second

func (r *replay) play() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(r.trace.Header.Seconds*float64(time.Second))+replayGrace)
	defer cancel()
	var wg sync.WaitGroup
	r.start = time.Now()
	for i := range r.trace.Events {
		e := r.trace.Events[i]
		wait := time.Until(r.start.Add(time.Duration(e.At * float64(time.Second))))
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		wg.Go(func() { r.playEvent(ctx, e) })
	}
	wg.Wait()
}

// box returns the index of the next box, as a round-robin load balancer does. It
// skips unreachable boxes unless all are.
func (r *replay) box() int {
	r.recordMu.Lock()
	defer r.recordMu.Unlock()
	for {
		i := int(r.boxCounter.Add(1)) % len(r.site.Daemons)
		if !r.unreachable[i] || len(r.unreachable) == len(r.site.Daemons) {
			return i
		}
	}
}

func (r *replay) playEvent(ctx context.Context, e Event) {
	switch e.Kind {
	case Review, Desk:
		r.sendPrompt(ctx, e)
	case Pay, Look:
		r.sendCall(ctx, e)
	case Rewrite:
		r.rewrite(ctx, e)
	default:
		r.injectFault(ctx, e)
	}
}

func (r *replay) addRecord(rec record) {
	r.recordMu.Lock()
	defer r.recordMu.Unlock()
	r.records = append(r.records, rec)
}

func (r *replay) seconds() float64 { return time.Since(r.start).Seconds() }

// maxBoxAttempts bounds the attempts of a prompt while boxes are unreachable or not
// ready.
const maxBoxAttempts = 4

// sendPrompt sends a prompt, and retries through other boxes while a box cannot be
// reached or refuses the request because it is not ready.
func (r *replay) sendPrompt(ctx context.Context, e Event) {
	rec := record{event: e, sent: r.seconds(), prompt: e.prompt()}
	key := r.site.CallerKeys[e.Organisation]
	start := time.Now()
	for rec.attempts < maxBoxAttempts {
		rec.attempts++
		box := r.box()
		rec.reply = r.caller.Prompt(ctx, r.site.Daemons[box].Callers, key, fake.SiteDeployment, rec.prompt, e.Tokens)
		if !r.retryOtherBox(box, &rec.reply) {
			break
		}
	}
	if rec.reply.FirstToken > 0 {
		rec.reply.FirstToken += time.Since(start) - rec.reply.Elapsed
	}
	r.addRecord(rec)
}

// retryOtherBox reports whether a load balancer would retry through another box,
// and marks a box that refuses connections as unreachable.
func (r *replay) retryOtherBox(box int, reply *Reply) bool {
	if reply.Err != nil && reply.Status == 0 && errors.Is(reply.Err, syscall.ECONNREFUSED) {
		r.recordMu.Lock()
		r.unreachable[box] = true
		r.recordMu.Unlock()
		return true
	}
	return reply.Refusal != nil && reply.Refusal.Code == "notReady"
}

// maxCallAttempts bounds how often a caller sends a call until its outcome is
// recorded.
const maxCallAttempts = 12

// sendCall sends a call until its outcome is recorded, and once more after that
// where the event asks for it. A repeated call must get the same answer.
func (r *replay) sendCall(ctx context.Context, e Event) {
	rec := record{event: e, sent: r.seconds()}
	key := r.site.CallerKeys[e.Organisation]
	method, path, body := http.MethodGet, "/status", []byte(nil)
	if e.Kind == Pay {
		rec.key = e.idempotency(time.Now())
		method, path, body = http.MethodPost, "/renewals", []byte(`{"account":"`+rec.key+`"}`)
	}
	start := time.Now()
	for rec.attempts < maxCallAttempts {
		rec.attempts++
		box := r.box()
		rec.reply = r.caller.Call(ctx, r.site.Daemons[box].Callers, key, method, "/services/"+fake.SiteService+path, rec.key, body)
		if rec.reply.Complete || !r.waitForRetry(box, &rec.reply) {
			break
		}
	}
	rec.reply.Elapsed = time.Since(start)
	r.addRecord(rec)
	if e.Resend && rec.reply.Complete {
		repeated := record{event: e, sent: r.seconds(), key: rec.key, attempts: 1}
		repeated.reply = r.caller.Call(ctx, r.site.Daemons[r.box()].Callers, key, method, "/services/"+fake.SiteService+path, rec.key, body)
		if repeated.reply.Complete && string(repeated.reply.Body) != string(rec.reply.Body) {
			repeated.reply.Err = errors.New("a repeated call got another answer")
		}
		r.addRecord(repeated)
	}
}

// waitForRetry waits for the time that the refusal states and reports whether the
// call should be sent again.
func (r *replay) waitForRetry(box int, reply *Reply) bool {
	if r.retryOtherBox(box, reply) {
		return true
	}
	delay := 200 * time.Millisecond
	if reply.Refusal != nil {
		if reply.Refusal.RetryAfterMillis == 0 {
			return false
		}
		delay = time.Duration(reply.Refusal.RetryAfterMillis) * time.Millisecond
	}
	time.Sleep(delay)
	return true
}

// callOperatorAPI sends a request to the operator API of the next daemon.
func (r *replay) callOperatorAPI(ctx context.Context, method, path string, body, reply any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return errors.WithStack(err)
	}
	resp, err := r.caller.send(ctx, method, r.site.Daemons[r.box()].Operators+path, r.site.OperatorKey, "", "", raw)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.WithStack(err)
	}
	if resp.StatusCode/100 != 2 {
		return errors.Errorf("%s %s: %s", method, path, got)
	}
	if reply == nil {
		return nil
	}
	return errors.WithStack(json.Unmarshal(got, reply))
}

// operatorResource is a resource as the operator API returns it.
type operatorResource struct {
	ResourceVersion string          `json:"resourceVersion"`
	Spec            json.RawMessage `json:"spec"`
}

// rewrite reads a policy and writes it back unchanged, as automation does.
func (r *replay) rewrite(ctx context.Context, e Event) {
	path := "/v1/resources/policies/" + e.Organisation
	var got operatorResource
	err := r.callOperatorAPI(ctx, http.MethodGet, path, nil, &got)
	if err == nil {
		err = r.callOperatorAPI(ctx, http.MethodPut, path, got, nil)
	}
	rec := record{event: e, sent: r.seconds()}
	rec.reply.Err = err
	r.addRecord(rec)
}

// Durations and extent of faults.
const (
	slowLinkDuration = 3 * time.Second
	storeOutage      = 3 * time.Second
	linkSlowdown     = 10
)

// injectFault injects the fault of an event.
func (r *replay) injectFault(ctx context.Context, e Event) {
	rec := record{event: e, sent: r.seconds()}
	switch e.Kind {
	case LinkSlow:
		rec.reply.Err = r.slowLink(ctx, r.site.Stores[e.Index%len(r.site.Stores)].URL)
	case StoreRestart:
		rec.reply.Err = r.restartStoreEmpty(ctx, r.site.Stores[e.Index%len(r.site.Stores)].URL)
	case WorkerLeaves:
		name := r.site.Engines[e.Index%len(r.site.Engines)].Name
		box := plat.Box{Role: plat.RoleTarget, State: plat.BoxLeaving}
		rec.reply.Err = r.control(ctx, http.MethodPut, fake.BaseURL(r.site.BoxList)+"/v1/boxes/"+name, box, nil)
	case WeightUpdate:
		rec.reply.Err = r.updateWeights(ctx)
	case BoxKilled:
		rec.reply.Err = r.killDaemon(e.Index % len(r.site.Daemons))
	}
	r.addRecord(rec)
}

// slowLink divides the bandwidth of a store's link by linkSlowdown for
// slowLinkDuration.
func (r *replay) slowLink(ctx context.Context, url string) error {
	preset, err := fake.SitePreset(r.trace.Header.Deployment)
	if err != nil {
		return err
	}
	rate := preset.Store.LinkBytesPerSecond
	type link struct {
		BytesPerSecond float64 `json:"bytesPerSecond"`
	}
	if err := r.control(ctx, http.MethodPost, url+"/link", link{rate / linkSlowdown}, nil); err != nil {
		return err
	}
	time.Sleep(slowLinkDuration)
	return r.control(ctx, http.MethodPost, url+"/link", link{rate}, nil)
}

// restartStoreEmpty empties a store and makes it unreachable for storeOutage.
func (r *replay) restartStoreEmpty(ctx context.Context, url string) error {
	type fault struct {
		Name  fake.Fault `json:"name"`
		Value float64    `json:"value"`
	}
	if err := r.control(ctx, http.MethodPost, url+"/reset", nil, nil); err != nil {
		return err
	}
	if err := r.control(ctx, http.MethodPost, url+"/fault", fault{fake.Down, 2}, nil); err != nil {
		return err
	}
	time.Sleep(storeOutage)
	return r.control(ctx, http.MethodPost, url+"/fault", fault{fake.Down, 0}, nil)
}

// updateWeights changes the weight version of the deployment to updatedVersion.
func (r *replay) updateWeights(ctx context.Context) error {
	path := "/v1/resources/deployments/" + fake.SiteDeployment
	var got operatorResource
	if err := r.callOperatorAPI(ctx, http.MethodGet, path, nil, &got); err != nil {
		return err
	}
	got.Spec = bytes.Replace(got.Spec, []byte(`"`+fake.SiteVersion+`"`), []byte(`"`+updatedVersion+`"`), 1)
	return r.callOperatorAPI(ctx, http.MethodPut, path, got, nil)
}

// updatedVersion is the weight version after a weight update.
const updatedVersion = "v2"

// killDaemon kills a daemon; the script that started it wrote its process ID to a
// file in the site's folder.
func (r *replay) killDaemon(i int) error {
	raw, err := os.ReadFile(filepath.Join(r.dir, r.site.Daemons[i].Name+".pid"))
	if err != nil {
		return errors.WithStack(err)
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(raw)))
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(syscall.Kill(pid, syscall.SIGKILL))
}

// control sends a request to the control API of a fake target.
func (r *replay) control(ctx context.Context, method, url string, body, reply any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return errors.WithStack(err)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(raw))
	if err != nil {
		return errors.WithStack(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return errors.Errorf("%s %s: %s", method, url, resp.Status)
	}
	if reply == nil {
		return nil
	}
	return errors.WithStack(json.NewDecoder(resp.Body).Decode(reply))
}

// storeCounts returns the counters of each KV-cache store.
func (r *replay) storeCounts() ([]fake.StoreCounts, error) {
	out := make([]fake.StoreCounts, len(r.site.Stores))
	for i, s := range r.site.Stores {
		if err := r.control(context.Background(), http.MethodGet, s.URL+"/counts", nil, &out[i]); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// executions returns how often the targets executed the call with each key.
func (r *replay) executions() (map[string]int, error) {
	out := map[string]int{}
	for _, s := range r.site.Services {
		var list []fake.ServiceExecution
		if err := r.control(context.Background(), http.MethodGet, s.URL+"/runs", nil, &list); err != nil {
			return nil, err
		}
		for _, run := range list {
			out[run.Key]++
		}
	}
	return out, nil
}

// String describes a record for Figures.Failures.
func (rec *record) String() string {
	what := fmt.Sprintf("%.2fs %s %s/%d", rec.event.At, rec.event.Kind, rec.event.Organisation, rec.event.Context)
	switch {
	case rec.reply.Err != nil:
		return what + ": " + rec.reply.Err.Error()
	case rec.reply.Refusal != nil:
		return what + ": " + rec.reply.Refusal.Code + " (" + rec.reply.Refusal.Ran + "): " + rec.reply.Refusal.Message
	}
	return what
}
