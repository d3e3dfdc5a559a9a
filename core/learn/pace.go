package learn

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Pace estimates how slow each worker is at this moment, from the pauses of the streams that run
// there and from the times to their first events. The zero value has no observations.
//
// A daemon that is slow itself observes long pauses at all workers. Hence what it observed counts,
// here and at its peers, relative to the median of the workers that it observed lately.
//
// Lock order: paceMu before a worker's workerMu.
type Pace struct {
	paceMu  sync.Mutex
	workers map[string]*paceWorker // by ID; guarded by paceMu
	// kinds holds the means of the logarithms of pauses in seconds, by kind, and, under "first " and the
	// kind, those of times to first events over expected ones. Guarded by paceMu.
	kinds map[string]*Mean
	// reporting holds what is in the heartbeats being sent. Guarded by paceMu.
	reporting map[string]paceReport
	// rejected counts the invalid reports of peers. Guarded by paceMu.
	rejected int

	// factors are the current factors of slow workers. A stored map is immutable.
	factors atomic.Pointer[paceFactors]
}

// paceFactors holds the factors of slow workers as of a time.
type paceFactors struct {
	at   time.Time
	slow map[string]float64
}

// paceWorker holds the observations of one worker: logarithms of observed over usual times.
type paceWorker struct {
	// service is the one that this daemon knows, or else a peer. Guarded by Pace.paceMu.
	service string

	workerMu sync.Mutex
	// own are this daemon's observations, and peers those of others, relative to the medians there.
	// Guarded by workerMu.
	own, peers Mean
	// unreported is the number of own observations that no Collect has returned, and unreportedSum
	// their sum. Guarded by workerMu.
	unreported    int32
	unreportedSum float64
	updatedAt     time.Time // guarded by workerMu
	// streams are this daemon's running streams. Guarded by workerMu.
	streams map[*PaceStream]bool
}

// paceReport sums up one daemon's observations of a worker between two heartbeats.
type paceReport struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Service  string
	// Count is the number of observations, and LogRatio their mean, relative to the median of the
	// workers that the daemon observed.
	Count    int32
	LogRatio float32
}

const (
	// paceHalfLife is the half-life of the weight of an observation. Workers are slow for 600 ms at
	// a time; with 300 ms a worker is found after its slow time more often than during it
	// (TestPaceFindsSlowWorkers).
	paceHalfLife = 150 * time.Millisecond
	// pacePriorWeight is the number of observations that the usual pace counts for, and
	// maxPaceWeight bounds the weight of the observations.
	pacePriorWeight = 1
	maxPaceWeight   = 12
	// minPaceLog and maxPaceLog bound one observation. Pauses beside no prefill are far shorter than
	// others and must not hide slow ones.
	minPaceLog = -0.5
	maxPaceLog = 1.4
	// slowPaceLog is the estimate from which on a worker counts as slow: below it, differences are
	// mostly noise, and contexts should stay where they are cached.
	slowPaceLog = 0.3
	// maxSlowWorkers is the largest share of a service's workers that count as slow.
	maxSlowWorkers = 1.0 / 3
	// minPaceWorkers is the number of workers that a daemon must have observed lately for its
	// observations to count, and minPaceWeight the weight from which on it has observed one.
	minPaceWorkers = 4
	minPaceWeight  = 0.2
	// kindHalfLife is the half-life of the usual times, and minKindWeight the number of
	// observations that make them known.
	kindHalfLife  = 10 * time.Second
	minKindWeight = 8
	maxKindWeight = 500
	// minPendingRatio is the multiple of the usual pause from which on a pause counts before it has
	// ended: otherwise a worker would be found only after its slow time.
	minPendingRatio = 1.8
	// paceInterval is the time for which factors are used before they are computed again.
	paceInterval = 25 * time.Millisecond
	// paceExpiry is the time after which a worker without observations is removed.
	paceExpiry = 20 * time.Second
	// maxPaceCount bounds the number of observations that a report counts for.
	maxPaceCount = 10
)

// PaceStream records the pauses of one stream. It is used by one goroutine, except for reported and the
// atomic fields, which the worker's record reads. A nil one records nothing.
type PaceStream struct {
	pace   *Pace
	worker *paceWorker
	kind   string
	start  time.Time
	// usual is the usual logarithm of a pause, NaN if unknown.
	usual float64
	// last is the time of the last event, and readAt when reading the next one began.
	last, readAt time.Time
	// behind is set after a pause that the caller caused, until an event has to be waited for: the
	// events before it arrived at unknown times.
	behind bool
	// waiting is the time after start at which the current pause began, in nanoseconds, if it can
	// count; 0 otherwise. usualPause is the usual pause in nanoseconds, 0 if unknown.
	waiting, usualPause atomic.Int64
	// reported is the pause that was reported while it lasted, by waiting. Guarded by the worker's
	// workerMu.
	reported int64
	// sum and count are those of the logarithms of the pauses that have not been added to kind.
	sum   float64
	count int
}

// Stream returns the recorder of a stream of a kind of request at a worker of a service.
func (p *Pace) Stream(id, service, kind string, now time.Time) *PaceStream {
	p.paceMu.Lock()
	defer p.paceMu.Unlock()
	s := &PaceStream{pace: p, worker: p.ownWorker(id, service, now), kind: kind, start: now}
	s.setUsual(p.usual(kind, now))
	s.worker.add(s)
	return s
}

// setUsual sets the usual logarithm of a pause.
func (s *PaceStream) setUsual(logPause float64) {
	s.usual = logPause
	if finite(logPause) {
		s.usualPause.Store(int64(math.Exp(logPause) * float64(time.Second)))
	}
}

// pending returns the logarithm of the current pause over the usual one, if the pause is already
// longer than usual by a margin. It also returns which pause it is.
func (s *PaceStream) pending(now time.Time) (logRatio float64, pause int64, ok bool) {
	pause, usual := s.waiting.Load(), s.usualPause.Load()
	if pause == 0 || usual == 0 {
		return 0, 0, false
	}
	ratio := float64(now.Sub(s.start)-time.Duration(pause)) / float64(usual)
	if ratio < minPendingRatio {
		return 0, 0, false
	}
	return min(math.Log(ratio), maxPaceLog), pause, true
}

// add adds a running stream.
func (w *paceWorker) add(s *PaceStream) {
	w.workerMu.Lock()
	defer w.workerMu.Unlock()
	if w.streams == nil {
		w.streams = map[*PaceStream]bool{}
	}
	w.streams[s] = true
}

// remove removes a stream that has ended.
func (w *paceWorker) remove(s *PaceStream) {
	w.workerMu.Lock()
	defer w.workerMu.Unlock()
	delete(w.streams, s)
}

// worker returns the record of a worker, adding it if needed. It is called with paceMu held.
func (p *Pace) worker(id, service string, now time.Time) *paceWorker {
	w := p.workers[id]
	if w == nil {
		if p.workers == nil {
			p.workers = map[string]*paceWorker{}
		}
		w = &paceWorker{service: service, updatedAt: now}
		p.workers[id] = w
	}
	return w
}

// ownWorker returns the record of a worker that this daemon uses for a service, whatever peers
// reported. It is called with paceMu held.
func (p *Pace) ownWorker(id, service string, now time.Time) *paceWorker {
	w := p.worker(id, service, now)
	w.service = service
	return w
}

// usual returns the usual logarithm for a kind, or NaN. It is called with paceMu held.
func (p *Pace) usual(kind string, now time.Time) float64 {
	m := p.kinds[kind]
	if m == nil || m.weight*decay(now.Sub(m.decayedAt), kindHalfLife) < minKindWeight {
		return math.NaN()
	}
	return m.Value(0, 0, now, kindHalfLife)
}

// addUsual adds observations to the usual logarithm of a kind. It is called with paceMu held.
func (p *Pace) addUsual(kind string, mean, count float64, now time.Time) {
	if p.kinds == nil {
		p.kinds = map[string]*Mean{}
	}
	if p.kinds[kind] == nil {
		p.kinds[kind] = &Mean{}
	}
	p.kinds[kind].Add(mean, count, now, kindHalfLife)
	p.kinds[kind].capWeight(maxKindWeight)
}

// observe records a logarithm relative to the usual one.
func (w *paceWorker) observe(logRatio float64, now time.Time) {
	if !finite(logRatio) {
		return
	}
	logRatio = min(max(logRatio, minPaceLog), maxPaceLog)
	w.workerMu.Lock()
	defer w.workerMu.Unlock()
	w.updatedAt = now
	w.own.Add(logRatio, 1, now, paceHalfLife)
	w.unreported++
	w.unreportedSum += logRatio
}

// ObserveFirst records a worker's time to the first event, divided by that expected under its load.
func (p *Pace) ObserveFirst(id, service, kind string, ratio float64, now time.Time) {
	if !(ratio > 0) || !finite(ratio) {
		return
	}
	kind, logRatio := "first "+kind, math.Log(ratio)
	p.paceMu.Lock()
	usual, w := p.usual(kind, now), p.ownWorker(id, service, now)
	p.addUsual(kind, logRatio, 1, now)
	p.paceMu.Unlock()
	w.observe(logRatio-usual, now)
}

// BeforeRead records that reading the next event begins. A pause before it was caused by the caller.
func (s *PaceStream) BeforeRead(now time.Time) {
	if s == nil {
		return
	}
	s.readAt = now
	if !s.last.IsZero() && now.Sub(s.last) <= maxCallerPause {
		s.waiting.Store(max(1, int64(s.last.Sub(s.start))))
	}
}

// flushPauses is the number of pauses of a stream after which they are added to the usual ones. They
// are added at once while those are unknown.
const flushPauses = 8

// maxCallerPause is the time that passing on an event may take for the next pause to count.
const maxCallerPause = 10 * time.Millisecond

// minReadWait is the time of reading an event from which on it had to be waited for. Others were
// received before.
const minReadWait = time.Millisecond

// RecordEvent records that an event has been read.
func (s *PaceStream) RecordEvent(now time.Time) {
	if s == nil {
		return
	}
	last := s.last
	s.last = now
	s.waiting.Store(0)
	if last.IsZero() {
		return
	}
	if s.behind = s.behind || s.readAt.Sub(last) > maxCallerPause; s.behind {
		s.behind = now.Sub(s.readAt) < minReadWait
		return
	}
	logPause := math.Log(max(now.Sub(last), time.Millisecond).Seconds())
	s.sum += logPause
	s.count++
	s.worker.observe(logPause-s.usual, now)
	if s.count >= flushPauses || !finite(s.usual) {
		s.flush(now)
	}
}

// flush adds the pauses to the usual ones of their kind.
func (s *PaceStream) flush(now time.Time) {
	s.pace.paceMu.Lock()
	defer s.pace.paceMu.Unlock()
	s.pace.addUsual(s.kind, s.sum/float64(s.count), float64(s.count), now)
	s.setUsual(s.pace.usual(s.kind, now))
	s.sum, s.count = 0, 0
}

// End ends the recording, at the end of the stream.
func (s *PaceStream) End(now time.Time) {
	if s == nil {
		return
	}
	s.worker.remove(s)
	if s.count > 0 {
		s.flush(now)
	}
}

// Factor returns how many times longer than usual a worker takes at this moment; 1 unless it counts
// as slow.
func (p *Pace) Factor(id string, now time.Time) float64 {
	f := p.factors.Load()
	if f == nil || now.Sub(f.at) > paceInterval {
		f = &paceFactors{at: now, slow: p.compute(now)}
		p.factors.Store(f)
	}
	if factor, slow := f.slow[id]; slow {
		return factor
	}
	return 1
}

// SlowCount returns the number of workers that count as slow.
func (p *Pace) SlowCount() int {
	if f := p.factors.Load(); f != nil && time.Since(f.at) < time.Second {
		return len(f.slow)
	}
	return 0
}

// paceSample is the state of one worker at one moment.
type paceSample struct {
	id, service string
	// ownSum and ownWeight are those of this daemon's observations, peerSum and peerWeight those of
	// its peers.
	ownSum, ownWeight, peerSum, peerWeight float64
}

// compute returns the factors of the slow workers.
func (p *Pace) compute(now time.Time) map[string]float64 { return slowFactors(p.samples(now)) }

// samples returns the states of all workers, and removes those without observations.
func (p *Pace) samples(now time.Time) []paceSample {
	p.paceMu.Lock()
	defer p.paceMu.Unlock()
	out := make([]paceSample, 0, len(p.workers))
	for id, w := range p.workers {
		s, updatedAt := w.sample(id, now)
		if now.Sub(updatedAt) > paceExpiry {
			delete(p.workers, id)
			continue
		}
		out = append(out, s)
	}
	return out
}

// sample returns the state of the worker, and the time of its last observation.
func (w *paceWorker) sample(id string, now time.Time) (paceSample, time.Time) {
	w.workerMu.Lock()
	defer w.workerMu.Unlock()
	own, peers := decay(now.Sub(w.own.decayedAt), paceHalfLife), decay(now.Sub(w.peers.decayedAt), paceHalfLife)
	out := paceSample{
		id: id, service: w.service, ownSum: w.own.sum * own, ownWeight: w.own.weight * own,
		peerSum: w.peers.sum * peers, peerWeight: w.peers.weight * peers,
	}
	for s := range w.streams {
		if logRatio, _, ok := s.pending(now); ok {
			out.ownSum += logRatio
			out.ownWeight++
		}
	}
	return out, w.updatedAt
}

// ownMedian returns the median of this daemon's estimates of the workers of a service, and false if
// it observed too few lately.
func ownMedian(samples []paceSample, service string) (float64, bool) {
	var means []float64
	for _, s := range samples {
		if s.service == service && s.ownWeight >= minPaceWeight {
			means = append(means, s.ownSum/s.ownWeight)
		}
	}
	if len(means) < minPaceWorkers {
		return 0, false
	}
	slices.Sort(means)
	return (means[len(means)/2] + means[(len(means)-1)/2]) / 2, true
}

// slowFactors returns the factors of the workers that count as slow.
func slowFactors(samples []paceSample) map[string]float64 {
	byService := map[string][]paceSample{}
	for _, s := range samples {
		byService[s.service] = append(byService[s.service], s)
	}
	var out map[string]float64
	for service, list := range byService {
		median, known := ownMedian(list, service)
		var slow []paceSample
		estimate := func(s *paceSample) float64 {
			sum, weight := s.peerSum, s.peerWeight
			if known {
				sum, weight = sum+s.ownSum-median*s.ownWeight, weight+s.ownWeight
			}
			if weight > maxPaceWeight {
				sum, weight = sum*maxPaceWeight/weight, maxPaceWeight
			}
			return sum / (weight + pacePriorWeight)
		}
		for _, s := range list {
			if estimate(&s) >= slowPaceLog {
				slow = append(slow, s)
			}
		}
		slices.SortFunc(slow, func(a, b paceSample) int {
			if x, y := estimate(&a), estimate(&b); x != y {
				if x > y {
					return -1
				}
				return 1
			}
			if a.id < b.id {
				return -1
			}
			return 1
		})
		for _, s := range slow[:min(len(slow), int(maxSlowWorkers*float64(len(list))))] {
			if out == nil {
				out = map[string]float64{}
			}
			out[s.id] = math.Exp(min(estimate(&s), maxPaceLog))
		}
	}
	return out
}

// Collect returns the unreported observations for a heartbeat, or nil. It returns the same ones
// until Told is called.
func (p *Pace) Collect(bool) any {
	if reports := p.collect(time.Now()); len(reports) > 0 {
		return reports
	}
	return nil
}

// collect is Collect at a given time.
func (p *Pace) collect(now time.Time) map[string]paceReport {
	samples := p.samples(now)
	p.paceMu.Lock()
	defer p.paceMu.Unlock()
	if p.reporting == nil {
		p.reporting = p.takeReports(samples, now)
	}
	return p.reporting
}

// takeReports returns the reports of the unreported observations. Those of a service of which this
// daemon observed too few workers are dropped. It is called with paceMu held.
func (p *Pace) takeReports(samples []paceSample, now time.Time) map[string]paceReport {
	out := map[string]paceReport{}
	medians := map[string]float64{}
	for _, s := range samples {
		if _, found := medians[s.service]; !found {
			medians[s.service] = math.NaN()
			if m, known := ownMedian(samples, s.service); known {
				medians[s.service] = m
			}
		}
	}
	for id, w := range p.workers {
		count, sum := w.takeUnreported(now)
		median, found := medians[w.service]
		if count == 0 || !found || math.IsNaN(median) {
			continue
		}
		out[id] = paceReport{
			Service: w.service, Count: min(count, maxPaceCount),
			LogRatio: float32(min(max(sum/float64(count)-median, minPaceLog), maxPaceLog)),
		}
	}
	return out
}

// takeUnreported returns the number and the sum of the unreported observations. It includes, once
// each, the pauses that are already long.
func (w *paceWorker) takeUnreported(now time.Time) (int32, float64) {
	w.workerMu.Lock()
	defer w.workerMu.Unlock()
	for s := range w.streams {
		if logRatio, pause, ok := s.pending(now); ok && s.reported != pause {
			s.reported = pause
			w.unreported++
			w.unreportedSum += logRatio
		}
	}
	count, sum := w.unreported, w.unreportedSum
	w.unreported, w.unreportedSum = 0, 0
	return count, sum
}

// Told discards what the last Collect returned, once the heartbeats have been sent.
func (p *Pace) Told() {
	p.paceMu.Lock()
	defer p.paceMu.Unlock()
	p.reporting = nil
}

// Receive adds the observations that a peer reported.
func (p *Pace) Receive(_ string, raw []byte) {
	var reports map[string]paceReport
	if err := msgpack.Unmarshal(raw, &reports); err != nil {
		// A peer of another version sent it.
		return
	}
	p.receive(reports, time.Now())
}

// receive adds a peer's observations at a given time.
func (p *Pace) receive(reports map[string]paceReport, now time.Time) {
	p.paceMu.Lock()
	defer p.paceMu.Unlock()
	for id, r := range reports {
		if r.Count <= 0 || r.Count > maxPaceCount || !(r.LogRatio >= minPaceLog-0.01 && r.LogRatio <= maxPaceLog+0.01) {
			p.rejected++
			continue
		}
		p.worker(id, r.Service, now).addPeer(r, now)
	}
}

// addPeer adds a peer's observations.
func (w *paceWorker) addPeer(r paceReport, now time.Time) {
	w.workerMu.Lock()
	defer w.workerMu.Unlock()
	w.updatedAt = now
	w.peers.Add(float64(r.LogRatio), float64(r.Count), now, paceHalfLife)
}

// Rejected returns the number of invalid reports that peers sent.
func (p *Pace) Rejected() int {
	p.paceMu.Lock()
	defer p.paceMu.Unlock()
	return p.rejected
}
