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
	trace  *Trace
	site   fake.SiteFile
	dir    string
	caller *Caller
	began  time.Time
	turn   atomic.Uint64

	recordMu sync.Mutex
	records  []record // guarded by recordMu
	// dead are the boxes that the balancer leaves out. Guarded by recordMu.
	dead map[int]bool
}

// record is what the callers know of one event.
type record struct {
	event Event
	reply Reply
	// sent is when it was sent, in seconds of the trace.
	sent   float64
	prompt string
	// key is the whole idempotency key of a call.
	key string
	// tries is how often it was sent.
	tries int
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
	r := &replay{trace: t, site: site, dir: dir, caller: caller, dead: map[int]bool{}}
	before, err := r.stores()
	if err != nil {
		return nil, err
	}
	r.play()
	after, err := r.stores()
	if err != nil {
		return nil, err
	}
	runs, err := r.runs()
	if err != nil {
		return nil, err
	}
	return judge(r, before, after, runs), nil
}

// replayLimit bounds what goes on after the last event.
const replayLimit = 40 * time.Second

func (r *replay) play() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(r.trace.Header.Seconds*float64(time.Second))+replayLimit)
	defer cancel()
	var wg sync.WaitGroup
	r.began = time.Now()
	for i := range r.trace.Events {
		e := r.trace.Events[i]
		wait := time.Until(r.began.Add(time.Duration(e.At * float64(time.Second))))
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		wg.Go(func() { r.one(ctx, e) })
	}
	wg.Wait()
}

// box returns the next box of the balancer.
func (r *replay) box() int {
	r.recordMu.Lock()
	defer r.recordMu.Unlock()
	for {
		i := int(r.turn.Add(1)) % len(r.site.Daemons)
		if !r.dead[i] || len(r.dead) == len(r.site.Daemons) {
			return i
		}
	}
}

func (r *replay) one(ctx context.Context, e Event) {
	switch e.Kind {
	case Review, Desk:
		r.ask(ctx, e)
	case Pay, Look:
		r.call(ctx, e)
	case Rewrite:
		r.rewrite(ctx, e)
	default:
		r.fault(ctx, e)
	}
}

func (r *replay) add(rec record) {
	r.recordMu.Lock()
	defer r.recordMu.Unlock()
	r.records = append(r.records, rec)
}

func (r *replay) since() float64 { return time.Since(r.began).Seconds() }

// boxTries is how many boxes the balancer tries where one does not answer or
// takes no requests.
const boxTries = 4

// ask sends a prompt. Where a box cannot be reached, or says that it is not
// ready and the request did not run, the balancer leads to another.
func (r *replay) ask(ctx context.Context, e Event) {
	rec := record{event: e, sent: r.since(), prompt: e.prompt()}
	key := r.site.CallerKeys[e.Organisation]
	began := time.Now()
	for rec.tries < boxTries {
		rec.tries++
		box := r.box()
		rec.reply = r.caller.Prompt(ctx, r.site.Daemons[box].Callers, key, fake.SiteDeployment, rec.prompt, e.Tokens)
		if !r.elsewhere(box, &rec.reply) {
			break
		}
	}
	if rec.reply.First > 0 {
		rec.reply.First += time.Since(began) - rec.reply.Took
	}
	r.add(rec)
}

// elsewhere reports whether a balancer would lead to another box.
func (r *replay) elsewhere(box int, reply *Reply) bool {
	if reply.Err != nil && reply.Status == 0 && errors.Is(reply.Err, syscall.ECONNREFUSED) {
		r.recordMu.Lock()
		r.dead[box] = true
		r.recordMu.Unlock()
		return true
	}
	return reply.Refused != nil && reply.Refused.Code == "notReady"
}

// callTries is how often a caller sends a call with a key until it knows the
// outcome.
const callTries = 12

// call sends a call until its outcome is known, as a careful client does.
func (r *replay) call(ctx context.Context, e Event) {
	rec := record{event: e, sent: r.since()}
	key := r.site.CallerKeys[e.Organisation]
	method, path, body := http.MethodGet, "/status", []byte(nil)
	if e.Kind == Pay {
		rec.key = e.idempotency(time.Now())
		method, path, body = http.MethodPost, "/renewals", []byte(`{"account":"`+rec.key+`"}`)
	}
	began := time.Now()
	for rec.tries < callTries {
		rec.tries++
		box := r.box()
		rec.reply = r.caller.Call(ctx, r.site.Daemons[box].Callers, key, method, "/services/"+fake.SiteService+path, rec.key, body)
		if rec.reply.Whole || !r.again(box, &rec.reply) {
			break
		}
	}
	rec.reply.Took = time.Since(began)
	r.add(rec)
	if e.Resend && rec.reply.Whole {
		again := record{event: e, sent: r.since(), key: rec.key, tries: 1}
		again.reply = r.caller.Call(ctx, r.site.Daemons[r.box()].Callers, key, method, "/services/"+fake.SiteService+path, rec.key, body)
		if again.reply.Whole && string(again.reply.Body) != string(rec.reply.Body) {
			again.reply.Err = errors.New("a repeated call got another answer")
		}
		r.add(again)
	}
}

// again waits as the refusal says and reports whether the call may be sent
// again: always with a key.
func (r *replay) again(box int, reply *Reply) bool {
	if r.elsewhere(box, reply) {
		return true
	}
	pause := 200 * time.Millisecond
	if reply.Refused != nil {
		if reply.Refused.RetryAfterMillis == 0 {
			return false
		}
		pause = time.Duration(reply.Refused.RetryAfterMillis) * time.Millisecond
	}
	time.Sleep(pause)
	return true
}

// operator sends a request to a daemon's operators' side.
func (r *replay) operator(ctx context.Context, method, path string, body, reply any) error {
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

// operated is a resource as the operators' side gives it.
type operated struct {
	ResourceVersion string          `json:"resourceVersion"`
	Spec            json.RawMessage `json:"spec"`
}

// rewrite reads a policy and writes it again, as automation does.
func (r *replay) rewrite(ctx context.Context, e Event) {
	path := "/v1/resources/policies/" + e.Organisation
	var got operated
	err := r.operator(ctx, http.MethodGet, path, nil, &got)
	if err == nil {
		err = r.operator(ctx, http.MethodPut, path, got, nil)
	}
	rec := record{event: e, sent: r.since()}
	rec.reply.Err = err
	r.add(rec)
}

// Lengths of faults.
const (
	slowFor   = 3 * time.Second
	lostFor   = 3 * time.Second
	slowShare = 10
)

// fault brings about one fault.
func (r *replay) fault(ctx context.Context, e Event) {
	rec := record{event: e, sent: r.since()}
	switch e.Kind {
	case LinkSlow:
		rec.reply.Err = r.slowLink(ctx, r.site.Stores[e.Index%len(r.site.Stores)].URL)
	case StoreLost:
		rec.reply.Err = r.loseStore(ctx, r.site.Stores[e.Index%len(r.site.Stores)].URL)
	case WorkerLeaves:
		name := r.site.Engines[e.Index%len(r.site.Engines)].Name
		box := plat.Box{Role: plat.RoleTarget, State: plat.BoxLeaving}
		rec.reply.Err = r.fake(ctx, http.MethodPut, fake.BaseURL(r.site.BoxList)+"/v1/boxes/"+name, box, nil)
	case Swap:
		rec.reply.Err = r.swap(ctx)
	case BoxDies:
		rec.reply.Err = r.kill(e.Index % len(r.site.Daemons))
	}
	r.add(rec)
}

func (r *replay) slowLink(ctx context.Context, url string) error {
	preset, err := fake.SitePreset(r.trace.Header.Deployment)
	if err != nil {
		return err
	}
	rate := preset.Store.LinkBytesPerSecond
	type link struct {
		BytesPerSecond float64 `json:"bytesPerSecond"`
	}
	if err := r.fake(ctx, http.MethodPost, url+"/link", link{rate / slowShare}, nil); err != nil {
		return err
	}
	time.Sleep(slowFor)
	return r.fake(ctx, http.MethodPost, url+"/link", link{rate}, nil)
}

// loseStore stops a store that comes back empty.
func (r *replay) loseStore(ctx context.Context, url string) error {
	type fault struct {
		Name  fake.Fault `json:"name"`
		Value float64    `json:"value"`
	}
	if err := r.fake(ctx, http.MethodPost, url+"/reset", nil, nil); err != nil {
		return err
	}
	if err := r.fake(ctx, http.MethodPost, url+"/fault", fault{fake.Down, 2}, nil); err != nil {
		return err
	}
	time.Sleep(lostFor)
	return r.fake(ctx, http.MethodPost, url+"/fault", fault{fake.Down, 0}, nil)
}

// swap gives the deployment weights of the next version.
func (r *replay) swap(ctx context.Context) error {
	path := "/v1/resources/deployments/" + fake.SiteDeployment
	var got operated
	if err := r.operator(ctx, http.MethodGet, path, nil, &got); err != nil {
		return err
	}
	got.Spec = bytes.Replace(got.Spec, []byte(`"`+fake.SiteVersion+`"`), []byte(`"`+swapVersion+`"`), 1)
	return r.operator(ctx, http.MethodPut, path, got, nil)
}

// swapVersion is the weight version that a swap leads to.
const swapVersion = "v2"

// kill kills a daemon, whose process the script that started it wrote down.
func (r *replay) kill(i int) error {
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

// fake uses a switch of a stand-in.
func (r *replay) fake(ctx context.Context, method, url string, body, reply any) error {
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

func (r *replay) stores() ([]fake.StoreCounts, error) {
	out := make([]fake.StoreCounts, len(r.site.Stores))
	for i, s := range r.site.Stores {
		if err := r.fake(context.Background(), http.MethodGet, s.URL+"/counts", nil, &out[i]); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// runs returns how often each key ran at the targets.
func (r *replay) runs() (map[string]int, error) {
	out := map[string]int{}
	for _, s := range r.site.Services {
		var list []fake.ServiceExecution
		if err := r.fake(context.Background(), http.MethodGet, s.URL+"/runs", nil, &list); err != nil {
			return nil, err
		}
		for _, run := range list {
			out[run.Key]++
		}
	}
	return out, nil
}

// String describes a record in a report.
func (rec *record) String() string {
	what := fmt.Sprintf("%.2fs %s %s/%d", rec.event.At, rec.event.Kind, rec.event.Organisation, rec.event.Context)
	switch {
	case rec.reply.Err != nil:
		return what + ": " + rec.reply.Err.Error()
	case rec.reply.Refused != nil:
		return what + ": " + rec.reply.Refused.Code + " (" + rec.reply.Refused.Ran + "): " + rec.reply.Refused.Message
	}
	return what
}
