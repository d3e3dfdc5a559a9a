package home

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// maxReportAge is the age beyond which a worker's report is ignored.
const maxReportAge = 4 * time.Second

// loads tracks the load of the workers. The zero value is empty.
type loads struct {
	loadsMu sync.Mutex
	// reports are the latest reports by worker. Guarded by loadsMu.
	reports map[string]report
	// pending are this daemon's placements that no report shows yet, by worker. Guarded by
	// loadsMu.
	pending map[string][]pendingRequest
	// failedUntil is until when a worker counts as not responding. Guarded by loadsMu.
	failedUntil map[string]time.Time
	// changed are the workers followed here whose report changed since the last heartbeat.
	// Guarded by loadsMu.
	changed map[string]bool
	// newWeights are those whose weights or incarnation changed since, and lastSent is when
	// each was last sent to peers. Guarded by loadsMu.
	newWeights map[string]bool
	lastSent   map[string]time.Time
	// followed are the workers followed here. Guarded by loadsMu.
	followed map[string]bool
	// onReplaced, if set, is called with the name of a worker incarnation that another one
	// has replaced, with loadsMu held.
	onReplaced func(incarnation string)
}

// report is a worker's load and when it was measured.
type report struct {
	workerLoad
	// takenAt is when the worker made the report, by this daemon's clock.
	takenAt time.Time
}

// pendingRequest is a request placed on a worker that has no first token yet.
type pendingRequest struct {
	request string
	// tokens is the number of prompt tokens that the worker has to compute.
	tokens int
	// blocks is the length of the whole prompt.
	blocks   int
	priority int
	at       time.Time
}

// set records a report and returns true, unless a newer one is recorded.
func (l *loads) set(w workerLoad, now time.Time) bool {
	l.loadsMu.Lock()
	defer l.loadsMu.Unlock()
	l.init()
	takenAt := now.Add(-time.Duration(w.AgeMillis) * time.Millisecond)
	previous, recorded := l.reports[w.Worker]
	if recorded && previous.takenAt.After(takenAt) {
		return false
	}
	if w.Weights == nil && !recorded {
		// The report was meant for a previous daemon process at this address, which had
		// recorded the weights.
		return false
	}
	if w.Weights == nil {
		w.Weights, w.Incarnation = previous.Weights, previous.Incarnation
	}
	if recorded && previous.Incarnation != w.Incarnation && l.onReplaced != nil {
		l.onReplaced(incarnationName(w.Worker, previous.Incarnation))
	}
	if !recorded {
		l.forget(now)
	}
	l.reports[w.Worker] = report{w, takenAt}
	l.pending[w.Worker] = slices.DeleteFunc(l.pending[w.Worker], func(p pendingRequest) bool { return p.at.Before(takenAt.Add(-reportLag)) })
	return true
}

// forgetAfter is how long a worker without reports is remembered.
const forgetAfter = 10 * time.Minute

// forget removes workers without recent reports; the caller holds loadsMu.
func (l *loads) forget(now time.Time) {
	for name, r := range l.reports {
		if now.Sub(r.takenAt) > forgetAfter {
			delete(l.reports, name)
			delete(l.pending, name)
			delete(l.failedUntil, name)
		}
	}
}

// reportLag is how long a request may be missing from the worker's reports after it was
// sent.
const reportLag = 300 * time.Millisecond

// init allocates the maps; the caller holds loadsMu.
func (l *loads) init() {
	if l.reports == nil {
		l.reports, l.pending = map[string]report{}, map[string][]pendingRequest{}
		l.failedUntil, l.changed, l.followed = map[string]time.Time{}, map[string]bool{}, map[string]bool{}
		l.newWeights, l.lastSent = map[string]bool{}, map[string]time.Time{}
	}
}

// setFollowed records a report of a worker that is followed here.
func (l *loads) setFollowed(w workerLoad, now time.Time) {
	l.loadsMu.Lock()
	l.init()
	previous := l.reports[w.Worker]
	l.loadsMu.Unlock()
	l.set(w, now)
	l.loadsMu.Lock()
	defer l.loadsMu.Unlock()
	l.followed[w.Worker] = true
	if !slices.Equal(previous.Weights, w.Weights) || previous.Incarnation != w.Incarnation {
		l.newWeights[w.Worker] = true
	}
	if !sameLoad(previous.workerLoad, w) || now.Sub(l.lastSent[w.Worker]) > resendInterval {
		l.changed[w.Worker] = true
	}
}

// resendInterval is how often an unchanged report is sent to peers, well below maxReportAge.
const resendInterval = maxReportAge / 4

// sameLoad reports whether two reports have the same content apart from their age.
func sameLoad(a, b workerLoad) bool {
	return slices.Equal(a.Queued, b.Queued) && slices.Equal(a.Weights, b.Weights) && a.Running == b.Running &&
		a.Incarnation == b.Incarnation && a.Free == b.Free && a.Total == b.Total &&
		a.Speed == b.Speed && a.Loading == b.Loading
}

// unfollow records that a worker is no longer followed here.
func (l *loads) unfollow(worker string) {
	l.loadsMu.Lock()
	defer l.loadsMu.Unlock()
	delete(l.changed, worker)
	delete(l.followed, worker)
	delete(l.newWeights, worker)
	delete(l.lastSent, worker)
}

// addPending records that a request has been placed on a worker.
func (l *loads) addPending(worker string, p pendingRequest) {
	l.loadsMu.Lock()
	defer l.loadsMu.Unlock()
	l.init()
	l.pending[worker] = append(l.pending[worker], p)
}

// incarnation returns the identifier of the worker's incarnation, or "" if there is no report.
func (l *loads) incarnation(worker string) string {
	l.loadsMu.Lock()
	defer l.loadsMu.Unlock()
	return l.reports[worker].Incarnation
}

// removePending records that a worker has begun to respond to a request, or failed it.
func (l *loads) removePending(worker, request string) {
	l.loadsMu.Lock()
	defer l.loadsMu.Unlock()
	l.pending[worker] = slices.DeleteFunc(l.pending[worker], func(p pendingRequest) bool { return p.request == request })
}

// failureBackoff is how long a worker that did not respond receives no requests.
const failureBackoff = time.Second

// markFailed records that a worker did not respond.
func (l *loads) markFailed(worker string, now time.Time) {
	l.loadsMu.Lock()
	defer l.loadsMu.Unlock()
	l.init()
	l.failedUntil[worker] = now.Add(failureBackoff)
}

// estimatedLoad is the load of a worker as a new request would find it.
type estimatedLoad struct {
	workerLoad
	// tokensAhead is the number of prompt tokens to be computed before the request.
	tokensAhead int
	// availableBlocks is the worker's capacity in blocks, less the prompts of the requests
	// that this daemon placed there and that have no first token yet.
	availableBlocks int
	// takenAt is as in report.
	takenAt time.Time
}

// load returns the load that a request of the priority would find at a worker, or false if
// the worker has no recent report or did not respond lately.
func (l *loads) load(worker string, priority int, now time.Time) (estimatedLoad, bool) {
	l.loadsMu.Lock()
	defer l.loadsMu.Unlock()
	r, ok := l.reports[worker]
	if !ok || now.Sub(r.takenAt) > maxReportAge || now.Before(l.failedUntil[worker]) {
		return estimatedLoad{}, false
	}
	w := estimatedLoad{workerLoad: r.workerLoad, availableBlocks: r.Total, takenAt: r.takenAt}
	for p := priority; p < len(r.Queued); p++ {
		w.tokensAhead += r.Queued[p]
	}
	for _, p := range l.pending[worker] {
		if p.priority >= priority {
			w.tokensAhead += p.tokens
		}
		w.availableBlocks -= p.blocks
	}
	return w, true
}

// ready returns how many of the workers have a recent report, as total, and how many of
// those have the weights loaded.
func (l *loads) ready(workers []string, weights string, now time.Time) (ready, total int) {
	l.loadsMu.Lock()
	defer l.loadsMu.Unlock()
	for _, w := range workers {
		r, ok := l.reports[w]
		if !ok || now.Sub(r.takenAt) > maxReportAge {
			continue
		}
		total++
		if slices.Contains(r.Weights, weights) {
			ready++
		}
	}
	return ready, total
}

// Collect returns the reports of the workers followed here: those that changed, or all if
// full is set.
func (l *loads) Collect(full bool) any {
	l.loadsMu.Lock()
	defer l.loadsMu.Unlock()
	var out []workerLoad
	now := time.Now()
	for w := range l.followed {
		if !full && !l.changed[w] {
			continue
		}
		r := l.reports[w]
		r.AgeMillis = int(now.Sub(r.takenAt).Milliseconds())
		if !full && !l.newWeights[w] {
			r.Weights = nil
		}
		out = append(out, r.workerLoad)
		if !full {
			l.lastSent[w] = now
		}
	}
	if !full {
		clear(l.changed)
		clear(l.newWeights)
	}
	if len(out) == 0 {
		return nil
	}
	return out
}

// maxAgeMillis bounds the ages that peers report, so that a duration holds them.
const maxAgeMillis = math.MaxInt64 / int64(time.Millisecond)

// Receive records the reports that a peer sent, without those from a time to come, which no later one would replace.
func (l *loads) Receive(_ string, body []byte) {
	var list []workerLoad
	if msgpack.Unmarshal(body, &list) != nil {
		return
	}
	now := time.Now()
	for _, w := range list {
		if w.AgeMillis >= 0 && int64(w.AgeMillis) <= maxAgeMillis {
			l.set(w, now)
		}
	}
}
