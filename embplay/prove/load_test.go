package prove

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"embertally.dev/embfake/fake"
	"embertally.dev/embplay/internal/play"
)

// promptRecord is a prompt and its reply.
type promptRecord struct {
	at           time.Time
	organisation string
	prompt       string
	tokens       int
	// box is the daemon of the last attempt, and sentAt its time.
	box    int
	sentAt time.Time
	reply  play.Reply
}

// version returns the weight version whose complete answer was received, or "".
func (a *promptRecord) version() string {
	for _, v := range []string{"v1", "v2", "v3", "v4"} {
		if a.reply.Text == fake.ExpectedResponse(fake.SiteModel, v, a.prompt, a.tokens) {
			return v
		}
	}
	return ""
}

// callRecord is a non-idempotent call with the replies to all its attempts.
type callRecord struct {
	organisation string
	// mark identifies the call at the targets; it is sent in the body only.
	mark     string
	key      string
	attempts []play.Reply
}

// load sends requests to the daemons continuously and records the replies.
type load struct {
	testbed *testbed
	rnd     *rand.Rand
	loadMu  sync.Mutex
	// excluded has the daemons that the load balancer skips.
	excluded   map[int]bool    // guarded by loadMu
	prompts    []*promptRecord // guarded by loadMu
	calls      []*callRecord   // guarded by loadMu
	boxCounter atomic.Uint64
	stop       context.CancelFunc
	done       sync.WaitGroup
}

const (
	// promptInterval and callInterval are the time between two requests of a kind.
	promptInterval = 60 * time.Millisecond
	callInterval   = 50 * time.Millisecond
	contexts       = 24
	answerTokens   = 20
)

// load starts a load on all daemons.
func (r *testbed) load(seed uint64) *load {
	l := &load{testbed: r, rnd: rand.New(rand.NewPCG(seed, 3)), excluded: map[int]bool{}}
	ctx, cancel := context.WithCancel(context.Background())
	l.stop = cancel
	l.done.Go(func() { l.run(ctx, promptInterval, l.sendPrompt) })
	l.done.Go(func() { l.run(ctx, callInterval, l.sendCall) })
	return l
}

// finish stops the load and waits for every reply.
func (l *load) finish() {
	l.stop()
	l.done.Wait()
}

func (l *load) run(ctx context.Context, interval time.Duration, send func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			send()
		}
	}
}

func (l *load) intn(n int) int {
	l.loadMu.Lock()
	defer l.loadMu.Unlock()
	return l.rnd.IntN(n)
}

// exclude sets whether the load balancer skips a daemon.
func (l *load) exclude(i int, excluded bool) {
	l.loadMu.Lock()
	defer l.loadMu.Unlock()
	l.excluded[i] = excluded
}

// nextBox returns the index of the next daemon that is neither excluded nor among the tried ones, or 0, and adds it to
// the tried ones.
func (l *load) nextBox(tried map[int]bool) int {
	l.loadMu.Lock()
	defer l.loadMu.Unlock()
	for range l.testbed.daemons {
		i := int(l.boxCounter.Add(1)) % len(l.testbed.daemons)
		if !l.excluded[i] && !tried[i] {
			tried[i] = true
			return i
		}
	}
	return 0
}

func organisation(i int) string { return fmt.Sprintf("org-%02d", i%2+1) }

// promptTimeout bounds one prompt of the load, with its retries.
const promptTimeout = 40 * time.Second

// sendPrompt sends a prompt with one of a few long texts. Both organisations use the
// same texts, so that blocks shared between them would be detected.
func (l *load) sendPrompt() {
	n, o := l.intn(contexts), l.intn(2)
	text := longText(n) + fmt.Sprintf("Question %d.", l.intn(1000))
	a := &promptRecord{at: time.Now(), organisation: organisation(o), prompt: text, tokens: answerTokens}
	l.loadMu.Lock()
	l.prompts = append(l.prompts, a)
	l.loadMu.Unlock()
	l.done.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), promptTimeout)
		defer cancel()
		tried := map[int]bool{}
		for range 3 {
			box := l.nextBox(tried)
			a.box, a.sentAt = box, time.Now()
			a.reply = l.testbed.caller.Prompt(ctx, l.testbed.daemons[box].Callers, l.testbed.site.File.CallerKeys[a.organisation], fake.SiteDeployment, text, answerTokens)
			if !retryOtherDaemon(&a.reply) {
				return
			}
		}
	})
}

func longText(n int) string {
	return strings.Repeat(fmt.Sprintf("The agreement %d says what both sides agreed to, clause by clause. ", n), 60+n*4)
}

// retryOtherDaemon reports whether a load balancer would retry through another
// daemon.
func retryOtherDaemon(r *play.Reply) bool {
	return (r.Err != nil && errors.Is(r.Err, syscall.ECONNREFUSED)) || (r.Refusal != nil && r.Refusal.Code == "notReady")
}

// callTimeout bounds one attempt of a call. It is shorter than a daemon may be
// suspended, so that callers time out and retry through another daemon.
const callTimeout = 4 * time.Second

// sendCall makes a non-idempotent call: mostly with an idempotency key and retries
// until its outcome is recorded, sometimes without a key and only once.
func (l *load) sendCall() {
	c := &callRecord{organisation: organisation(l.intn(2)), mark: uuid.NewString()}
	if l.intn(5) > 0 {
		id, err := uuid.NewV7()
		if err != nil {
			return
		}
		c.key = id.String()
	}
	resend := l.intn(3) == 0
	l.loadMu.Lock()
	l.calls = append(l.calls, c)
	l.loadMu.Unlock()
	l.done.Go(func() {
		for range 8 {
			r := l.attempt(c)
			c.attempts = append(c.attempts, r)
			if c.key == "" || (r.Complete && !resend) || (r.Refusal != nil && r.Refusal.RetryAfterMillis == 0) {
				return
			}
			if r.Complete {
				resend = false
			}
			time.Sleep(300 * time.Millisecond)
		}
	})
}

// attempt sends a call through the next daemon, and through others while a load
// balancer would retry.
func (l *load) attempt(c *callRecord) play.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	body := []byte(`{"mark":"` + c.mark + `"}`)
	var r play.Reply
	tried := map[int]bool{}
	for range 3 {
		box := l.testbed.daemons[l.nextBox(tried)]
		r = l.testbed.caller.Call(ctx, box.Callers, l.testbed.site.File.CallerKeys[c.organisation], http.MethodPost,
			"/services/"+fake.SiteService+"/renewals", c.key, body)
		if !retryOtherDaemon(&r) {
			break
		}
	}
	return r
}

// executionsByMark returns the executions at the targets by the mark in their
// bodies.
func (r *testbed) executionsByMark() map[string][]fake.ServiceExecution {
	out := map[string][]fake.ServiceExecution{}
	for _, s := range r.site.Services {
		for _, run := range s.Executions() {
			var body struct {
				Mark string `json:"mark"`
			}
			if json.Unmarshal([]byte(run.Body), &body) == nil && body.Mark != "" {
				out[body.Mark] = append(out[body.Mark], run)
			}
		}
	}
	return out
}
