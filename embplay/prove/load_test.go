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

// asked is one prompt and what came of it.
type asked struct {
	at           time.Time
	organisation string
	prompt       string
	tokens       int
	reply        play.Reply
}

// version returns the weights that the whole answer came from, or "".
func (a *asked) version() string {
	for _, v := range []string{"v1", "v2", "v3", "v4"} {
		if a.reply.Text == fake.Answer(fake.SiteModel, v, a.prompt, a.tokens) {
			return v
		}
	}
	return ""
}

// called is one call that may not be repeated, with all its tries.
type called struct {
	organisation string
	// mark is in the body and nowhere else.
	mark  string
	key   string
	tries []play.Reply
}

// load keeps calling the daemons and writes down what came of it.
type load struct {
	rig *rig
	rnd *rand.Rand
	// out are daemons that the balancer leaves out.
	loadMu sync.Mutex
	out    map[int]bool // guarded by loadMu
	asks   []*asked     // guarded by loadMu
	calls  []*called    // guarded by loadMu
	turn   atomic.Uint64
	stop   context.CancelFunc
	done   sync.WaitGroup
}

const (
	// promptPause and callPause are the time between two requests of a kind.
	promptPause = 60 * time.Millisecond
	callPause   = 50 * time.Millisecond
	contexts    = 24
	loadTokens  = 20
)

func (r *rig) load(seed uint64) *load {
	l := &load{rig: r, rnd: rand.New(rand.NewPCG(seed, 3)), out: map[int]bool{}}
	ctx, cancel := context.WithCancel(context.Background())
	l.stop = cancel
	l.done.Go(func() { l.run(ctx, promptPause, l.prompt) })
	l.done.Go(func() { l.run(ctx, callPause, l.call) })
	return l
}

// end stops the load and waits for every answer.
func (l *load) end() {
	l.stop()
	l.done.Wait()
}

func (l *load) run(ctx context.Context, pause time.Duration, one func()) {
	t := time.NewTicker(pause)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			one()
		}
	}
}

func (l *load) intn(n int) int {
	l.loadMu.Lock()
	defer l.loadMu.Unlock()
	return l.rnd.IntN(n)
}

// leaveOut makes the balancer lead to a daemon no longer, or again.
func (l *load) leaveOut(i int, out bool) {
	l.loadMu.Lock()
	defer l.loadMu.Unlock()
	l.out[i] = out
}

func (l *load) box() int {
	l.loadMu.Lock()
	defer l.loadMu.Unlock()
	for range l.rig.procs {
		i := int(l.turn.Add(1)) % len(l.rig.procs)
		if !l.out[i] {
			return i
		}
	}
	return 0
}

func organisation(i int) string { return fmt.Sprintf("org-%02d", i%2+1) }

// promptLimit bounds one request of the load.
const promptLimit = 40 * time.Second

// prompt asks about one of a few long texts. Both organisations use the same
// texts, so that blocks which meet would show.
func (l *load) prompt() {
	n, o := l.intn(contexts), l.intn(2)
	text := longText(n) + fmt.Sprintf("Question %d.", l.intn(1000))
	a := &asked{at: time.Now(), organisation: organisation(o), prompt: text, tokens: loadTokens}
	l.loadMu.Lock()
	l.asks = append(l.asks, a)
	l.loadMu.Unlock()
	l.done.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), promptLimit)
		defer cancel()
		for range 3 {
			box := l.box()
			a.reply = l.rig.caller.Prompt(ctx, l.rig.procs[box].Callers, l.rig.site.File.CallerKeys[a.organisation], fake.SiteDeployment, text, loadTokens)
			if !elsewhere(&a.reply) {
				return
			}
		}
	})
}

func longText(n int) string {
	return strings.Repeat(fmt.Sprintf("The agreement %d says what both sides agreed to, clause by clause. ", n), 60+n*4)
}

// elsewhere reports whether a balancer leads to another daemon.
func elsewhere(r *play.Reply) bool {
	return (r.Err != nil && errors.Is(r.Err, syscall.ECONNREFUSED)) || (r.Refusal != nil && r.Refusal.Code == "notReady")
}

// callLimit bounds one try of a call: shorter than a freeze, so that callers
// give up and send again through another daemon.
const callLimit = 4 * time.Second

// call makes a call that may not be repeated: mostly with a key and sent again
// until its outcome is known, sometimes without a key and once only.
func (l *load) call() {
	c := &called{organisation: organisation(l.intn(2)), mark: uuid.NewString()}
	if l.intn(5) > 0 {
		id, err := uuid.NewV7()
		if err != nil {
			return
		}
		c.key = id.String()
	}
	again := l.intn(3) == 0
	l.loadMu.Lock()
	l.calls = append(l.calls, c)
	l.loadMu.Unlock()
	l.done.Go(func() {
		for range 8 {
			r := l.try(c)
			c.tries = append(c.tries, r)
			if c.key == "" || (r.Complete && !again) || (r.Refusal != nil && r.Refusal.RetryAfterMillis == 0) {
				return
			}
			if r.Complete {
				again = false
			}
			time.Sleep(300 * time.Millisecond)
		}
	})
}

// try sends a call through one daemon, or through the next where the balancer
// leads elsewhere.
func (l *load) try(c *called) play.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	body := []byte(`{"mark":"` + c.mark + `"}`)
	var r play.Reply
	for range 3 {
		box := l.rig.procs[l.box()]
		r = l.rig.caller.Call(ctx, box.Callers, l.rig.site.File.CallerKeys[c.organisation], http.MethodPost,
			"/services/"+fake.SiteService+"/renewals", c.key, body)
		if !elsewhere(&r) {
			break
		}
	}
	return r
}

// runsByMark returns the runs at the targets by the mark in their bodies.
func (r *rig) runsByMark() map[string][]fake.ServiceRun {
	out := map[string][]fake.ServiceRun{}
	for _, s := range r.site.Services {
		for _, run := range s.Runs() {
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
