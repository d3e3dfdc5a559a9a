package home

import (
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// staleAfter is the age at which a worker's report counts as no report.
const staleAfter = 4 * time.Second

// loads is what is known of the workers' work. The zero value knows nothing.
type loads struct {
	loadsMu sync.Mutex
	// reports are the latest by worker. Guarded by loadsMu.
	reports map[string]report
	// sent are this daemon's placements that no report can show yet, by
	// worker. Guarded by loadsMu.
	sent map[string][]placed
	// failed is until when a worker counts as not answering. Guarded by
	// loadsMu.
	failed map[string]time.Time
	// fresh are the workers followed here whose report changed since the last
	// heartbeat. Guarded by loadsMu.
	fresh map[string]bool
	// moved are those whose weights changed since, and told is when each was
	// last told. Guarded by loadsMu.
	moved map[string]bool
	told  map[string]time.Time
	// own are the workers followed here. Guarded by loadsMu.
	own map[string]bool
	// ended, if set, hears of runs of workers that another run has taken the place of. It
	// is called with loadsMu held.
	ended func(run string)
}

type report struct {
	workerLoad
	// taken is when the worker made the report, by this daemon's clock.
	taken time.Time
}

type placed struct {
	request string
	tokens  int
	// blocks is the length of the whole prompt.
	blocks   int
	priority int
	at       time.Time
}

// set records a report and reports whether it is newer than the one known.
func (l *loads) set(w workerLoad, now time.Time) bool {
	l.loadsMu.Lock()
	defer l.loadsMu.Unlock()
	l.init()
	taken := now.Add(-time.Duration(w.AgeMillis) * time.Millisecond)
	old, known := l.reports[w.Worker]
	if known && old.taken.After(taken) {
		return false
	}
	if w.Holds == nil && !known {
		// Meant for a former process at this address, which knew the weights.
		return false
	}
	if w.Holds == nil {
		w.Holds, w.Boot = old.Holds, old.Boot
	}
	if known && old.Boot != w.Boot && l.ended != nil {
		l.ended(runName(w.Worker, old.Boot))
	}
	if !known {
		l.forget(now)
	}
	l.reports[w.Worker] = report{w, taken}
	l.sent[w.Worker] = slices.DeleteFunc(l.sent[w.Worker], func(p placed) bool { return p.at.Before(taken.Add(-reportLag)) })
	return true
}

// forgetAfter is how long a worker that no report comes of is remembered.
const forgetAfter = 10 * time.Minute

// forget drops workers that are long gone; the caller holds loadsMu.
func (l *loads) forget(now time.Time) {
	for name, r := range l.reports {
		if now.Sub(r.taken) > forgetAfter {
			delete(l.reports, name)
			delete(l.sent, name)
			delete(l.failed, name)
		}
	}
}

// reportLag is how long after it was sent a request may be missing from the
// worker's report.
const reportLag = 300 * time.Millisecond

func (l *loads) init() {
	if l.reports == nil {
		l.reports, l.sent = map[string]report{}, map[string][]placed{}
		l.failed, l.fresh, l.own = map[string]time.Time{}, map[string]bool{}, map[string]bool{}
		l.moved, l.told = map[string]bool{}, map[string]time.Time{}
	}
}

// setOwn records a report of a worker that is followed here.
func (l *loads) setOwn(w workerLoad, now time.Time) {
	l.loadsMu.Lock()
	l.init()
	old := l.reports[w.Worker]
	l.loadsMu.Unlock()
	l.set(w, now)
	l.loadsMu.Lock()
	defer l.loadsMu.Unlock()
	l.own[w.Worker] = true
	if !slices.Equal(old.Holds, w.Holds) || old.Boot != w.Boot {
		l.moved[w.Worker] = true
	}
	if !same(old.workerLoad, w) || now.Sub(l.told[w.Worker]) > tellAgain {
		l.fresh[w.Worker] = true
	}
}

// tellAgain is how often an unchanged report is told, well below staleAfter.
const tellAgain = staleAfter / 4

// same reports whether two reports say the same.
func same(a, b workerLoad) bool {
	return slices.Equal(a.Queued, b.Queued) && slices.Equal(a.Holds, b.Holds) && a.Running == b.Running &&
		a.Boot == b.Boot && a.Free == b.Free && a.Total == b.Total && a.Speed == b.Speed && a.Loading == b.Loading
}

// disown records that a worker is no longer followed here.
func (l *loads) disown(worker string) {
	l.loadsMu.Lock()
	defer l.loadsMu.Unlock()
	delete(l.fresh, worker)
	delete(l.own, worker)
	delete(l.moved, worker)
	delete(l.told, worker)
}

// place records that a request is on its way to a worker.
func (l *loads) place(worker string, p placed) {
	l.loadsMu.Lock()
	defer l.loadsMu.Unlock()
	l.init()
	l.sent[worker] = append(l.sent[worker], p)
}

// boot returns what names the run of a worker.
func (l *loads) boot(worker string) string {
	l.loadsMu.Lock()
	defer l.loadsMu.Unlock()
	return l.reports[worker].Boot
}

// done records that a worker has begun to answer a request, or failed.
func (l *loads) done(worker, request string) {
	l.loadsMu.Lock()
	defer l.loadsMu.Unlock()
	l.sent[worker] = slices.DeleteFunc(l.sent[worker], func(p placed) bool { return p.request == request })
}

// failPause is how long a worker that did not answer gets no work.
const failPause = time.Second

// fail records that a worker did not answer.
func (l *loads) fail(worker string, now time.Time) {
	l.loadsMu.Lock()
	defer l.loadsMu.Unlock()
	l.init()
	l.failed[worker] = now.Add(failPause)
}

// work is what a new request meets at a worker.
type work struct {
	workerLoad
	// waiting is the tokens that the request waits for.
	waiting int
	// room is how many blocks the memory takes beside the requests that were
	// placed here and have no first token yet.
	room int
}

// load returns what a request of the priority meets at a worker, or false if
// the worker cannot be counted on.
func (l *loads) load(worker string, priority int, now time.Time) (work, bool) {
	l.loadsMu.Lock()
	defer l.loadsMu.Unlock()
	r, ok := l.reports[worker]
	if !ok || now.Sub(r.taken) > staleAfter || now.Before(l.failed[worker]) {
		return work{}, false
	}
	w := work{workerLoad: r.workerLoad, room: r.Total}
	for p := priority; p < len(r.Queued); p++ {
		w.waiting += r.Queued[p]
	}
	for _, p := range l.sent[worker] {
		if p.priority >= priority {
			w.waiting += p.tokens
		}
		w.room -= p.blocks
	}
	return w, true
}

// holds returns how many of the given workers are fresh and how many of those
// hold the weights.
func (l *loads) holds(workers []string, weights string, now time.Time) (ready, total int) {
	l.loadsMu.Lock()
	defer l.loadsMu.Unlock()
	for _, w := range workers {
		r, ok := l.reports[w]
		if !ok || now.Sub(r.taken) > staleAfter {
			continue
		}
		total++
		if slices.Contains(r.Holds, weights) {
			ready++
		}
	}
	return ready, total
}

// Collect returns the reports of the workers followed here.
func (l *loads) Collect(full bool) any {
	l.loadsMu.Lock()
	defer l.loadsMu.Unlock()
	var out []workerLoad
	now := time.Now()
	for w := range l.own {
		if !full && !l.fresh[w] {
			continue
		}
		r := l.reports[w]
		r.AgeMillis = int(now.Sub(r.taken).Milliseconds())
		if !full && !l.moved[w] {
			r.Holds = nil
		}
		out = append(out, r.workerLoad)
		if !full {
			l.told[w] = now
		}
	}
	if !full {
		clear(l.fresh)
		clear(l.moved)
	}
	if len(out) == 0 {
		return nil
	}
	return out
}

// Receive takes a peer's reports.
func (l *loads) Receive(_ string, body []byte) {
	var list []workerLoad
	if msgpack.Unmarshal(body, &list) != nil {
		return
	}
	now := time.Now()
	for _, w := range list {
		l.set(w, now)
	}
}
