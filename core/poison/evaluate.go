package poison

import (
	"context"
	"sync"
	"time"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/wire"
)

const (
	kindPartCrash wire.Kind = "poison.parts"
	kindSuccesses wire.Kind = "poison.successes"
)

const (
	// partTrackers is the key by which the daemons that track crashes by parts are chosen. They are the same
	// for all parts, since crashes are compared with each other.
	partTrackers = "poison.parts"
	// successesTimeout bounds the question for successes to one daemon, and cellTimeout that to one daemon of
	// another cell, which asks its cell.
	successesTimeout = 250 * time.Millisecond
	cellTimeout      = 2 * successesTimeout
	// maxReportRounds is how often a report is sent while no tracker responds, and reportRetryDelay the time
	// between.
	maxReportRounds  = 3
	reportRetryDelay = time.Second
	// reportWait is how long an evaluation waits for the reports of other daemons: some find out about a crash only
	// when they connect for the second time.
	reportWait = redialDelay + simultaneousWindow
)

// partCrashReport reports to a tracker the prompts that were at an incarnation when it crashed.
type partCrashReport struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack    struct{} `msgpack:",as_array"`
	Incarnation string
	// Age is the time since the crash, as of when the report is sent.
	Age      time.Duration
	Requests []reportedPrompt
	// Successes are the successes of their parts that the sender knows of.
	Successes []reportedSuccess
}

// reportedPrompt is a prompt that was at an incarnation when it crashed.
type reportedPrompt struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack     struct{} `msgpack:",as_array"`
	Request      Digest
	Organisation string
	Parts        []string
}

// reportedSuccess states how long ago prompts with a part were last answered well.
type reportedSuccess struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack     struct{} `msgpack:",as_array"`
	Organisation string
	Part         string
	Age          time.Duration
}

// successesQuery asks which of some parts a daemon has seen answered well.
type successesQuery struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Parts    []reportedSuccess
	// Since is the time since the first crash under the first of the parts.
	Since time.Duration
	// Cell makes the receiver ask its cell and answer for all of it.
	Cell bool
}

// successesResponse is the answer to a successesQuery.
type successesResponse struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Parts    []reportedSuccess
	// Answered is the number of prompts that were answered well since the first crash.
	Answered int
}

// recordPartCrash reports the prompts that were at an incarnation when it crashed, if there were any.
func (g *Guard) recordPartCrash(incarnation string, at clock.Time, list []Sent) {
	r := partCrashReport{Incarnation: incarnation}
	asked := map[partKey]bool{}
	for _, sent := range list {
		if len(sent.Parts) == 0 || len(r.Requests) == maxRequestsPerCrash {
			continue
		}
		sent.Parts = sent.Parts[:min(len(sent.Parts), maxReportedParts)]
		r.Requests = append(r.Requests, reportedPrompt{Request: sent.Request, Organisation: sent.Organisation, Parts: sent.Parts})
		sent.partKeys(func(k partKey) {
			if last, found := g.parts.last(k); found && !asked[k] {
				asked[k] = true
				r.Successes = append(r.Successes, reportedSuccess{Organisation: k.organisation, Part: k.part, Age: age(last)})
			}
		})
	}
	if len(r.Requests) > 0 {
		go partCrashReporter{g, r, at}.run()
	}
}

// partCrashReporter sends a report to the trackers: the first two that respond.
type partCrashReporter struct {
	guard  *Guard
	report partCrashReport
	at     clock.Time
}

func (t partCrashReporter) run() {
	for range maxReportRounds {
		if t.sendToTrackers() > 0 {
			return
		}
		time.Sleep(reportRetryDelay)
	}
}

// sendToTrackers returns how many daemons received the report.
func (t partCrashReporter) sendToTrackers() (acknowledged int) {
	view := t.guard.o.Fleet.View()
	ranked := fleet.Rank(fleet.Key(partTrackers), view.NotLost())
	for _, name := range ranked[:min(len(ranked), maxTrackersTried)] {
		if err := t.send(view.Self(), name); err != nil {
			t.guard.o.Log.Emit(event.PeerNotTold, event.Ref{Target: t.report.Incarnation}, name+": report of a crash by parts: "+err.Error())
			continue
		}
		if acknowledged++; acknowledged == trackersPerRequest {
			break
		}
	}
	return acknowledged
}

// send reports to one daemon, which may be this one.
func (t partCrashReporter) send(self, name string) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r := t.report
	r.Age = age(t.at)
	if name == self {
		_, err := t.guard.receivePartCrash(ctx, self, &r)
		return err
	}
	return t.guard.o.Fleet.Call(ctx, name, kindPartCrash, &r, &struct{}{})
}

// receivePartCrash records a crash reported to this daemon as a tracker.
func (g *Guard) receivePartCrash(_ context.Context, from string, r *partCrashReport) (struct{}, error) {
	now := clock.Now()
	var requests []Sent
	var cause *combination
	for _, prompt := range r.Requests[:min(len(r.Requests), maxRequestsPerCrash)] {
		sent := Sent{Request: prompt.Request, Organisation: prompt.Organisation, Parts: prompt.Parts[:min(len(prompt.Parts), maxReportedParts)]}
		requests = append(requests, sent)
		if c, expired, found := g.blocks.combinationIn(&sent); found {
			cause = c
			if expired {
				// It crashes targets still.
				g.blockParts(*c, "crashed under it: "+r.Incarnation+"; last reported by "+from)
			}
		}
	}
	for _, s := range r.Successes {
		g.suspects.addSuccess(partKey{s.Organisation, s.Part}, now.Add(-max(0, s.Age)))
	}
	g.suspects.add(r.Incarnation, now.Add(-max(0, r.Age)), requests, cause)
	if cause == nil && g.suspects.begin() {
		go evaluator{g}.run()
	}
	return struct{}{}, nil
}

// blockParts blocks the prompts that hold a combination of parts.
func (g *Guard) blockParts(c combination, why string) {
	g.suspects.explain(c)
	g.sendToCells(g.blocks.addCombination(&c, why))
}

// evaluator finds out whether parts under which targets crashed have been answered well anywhere, and blocks the
// combination that is at fault.
type evaluator struct{ guard *Guard }

func (e evaluator) run() {
	tracker := &e.guard.suspects
	for again := true; again; again = tracker.end() {
		time.Sleep(reportWait)
		for e.blockNext() {
		}
		tracker.prune()
	}
}

// blockNext asks all daemons about suspects, and blocks the combination that is at fault after that. It reports
// whether there was one: the crashes that it does not explain may have another cause.
func (e evaluator) blockNext() bool {
	g, tracker := e.guard, &e.guard.suspects
	suspects := tracker.suspects()
	if len(suspects) == 0 {
		return false
	}
	query := &successesQuery{Cell: true, Since: age(suspects[0].first)}
	for i := range suspects[:min(len(suspects), maxPartsInQuestion)] {
		s := &suspects[i]
		query.Parts = append(query.Parts, reportedSuccess{Organisation: s.organisation, Part: s.part})
	}
	asked := clock.Now()
	response := g.collectSuccesses(context.Background(), query)
	for _, s := range response.Parts {
		tracker.addSuccess(partKey{s.Organisation, s.Part}, asked.Add(-max(0, s.Age)))
	}
	c, found := tracker.findCause(response.Answered)
	if found {
		g.blockParts(*c, "crashed under different prompts that hold these parts: "+tracker.crashedUnder(c))
	}
	return found
}

// receiveSuccessesQuery answers for this daemon, or for its cell.
func (g *Guard) receiveSuccessesQuery(ctx context.Context, _ string, q *successesQuery) (*successesResponse, error) {
	if q.Cell {
		return g.collectCell(ctx, q), nil
	}
	return g.ownSuccesses(q), nil
}

// ownSuccesses returns what this daemon has seen.
func (g *Guard) ownSuccesses(q *successesQuery) *successesResponse {
	out := &successesResponse{Answered: g.parts.answeredSince(clock.Now().Add(-q.Since))}
	for _, s := range q.Parts {
		if last, found := g.parts.last(partKey{s.Organisation, s.Part}); found {
			out.Parts = append(out.Parts, reportedSuccess{Organisation: s.Organisation, Part: s.Part, Age: age(last)})
		}
	}
	return out
}

// collectSuccesses returns what all daemons have seen, as far as they respond in time.
func (g *Guard) collectSuccesses(ctx context.Context, q *successesQuery) *successesResponse {
	view := g.o.Fleet.View()
	var wg sync.WaitGroup
	out := &successesCollector{}
	wg.Go(func() { out.add(g.collectCell(ctx, q)) })
	for cell := range view.Cells() {
		if cell != view.Cell() {
			wg.Go(func() { out.add(g.askCell(ctx, view, cell, q)) })
		}
	}
	wg.Wait()
	return &out.response
}

// askCell asks the first daemon of a cell that responds about all of it; nil if none does.
func (g *Guard) askCell(ctx context.Context, view *fleet.View, cell int, q *successesQuery) *successesResponse {
	for _, name := range view.Owners(cell, fleet.Key(partTrackers), receiversPerCell) {
		if response := g.askSuccesses(ctx, name, q, cellTimeout); response != nil {
			return response
		}
	}
	return nil
}

// collectCell returns what the daemons of this cell have seen.
func (g *Guard) collectCell(ctx context.Context, q *successesQuery) *successesResponse {
	view := g.o.Fleet.View()
	own := *q
	own.Cell = false
	var wg sync.WaitGroup
	out := &successesCollector{}
	out.add(g.ownSuccesses(q))
	for _, p := range view.Peers() {
		if p.Cell == view.Cell() && p.Alive {
			wg.Go(func() { out.add(g.askSuccesses(ctx, p.Name, &own, successesTimeout)) })
		}
	}
	wg.Wait()
	return &out.response
}

// askSuccesses asks one daemon; the result is nil if it does not respond.
func (g *Guard) askSuccesses(ctx context.Context, name string, q *successesQuery, timeout time.Duration) *successesResponse {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var out successesResponse
	if err := g.o.Fleet.Call(ctx, name, kindSuccesses, q, &out); err != nil {
		g.o.Log.Emit(event.PeerNotTold, event.Ref{}, name+": question for answered prompts: "+err.Error())
		return nil
	}
	return &out
}

// successesCollector merges the responses of several daemons. The zero value is ready for use.
type successesCollector struct {
	collectorMu sync.Mutex
	response    successesResponse // guarded by collectorMu
}

// add merges a response; nil is none.
func (c *successesCollector) add(r *successesResponse) {
	if r == nil {
		return
	}
	c.collectorMu.Lock()
	defer c.collectorMu.Unlock()
	c.response.Answered += r.Answered
	for _, s := range r.Parts {
		c.merge(s)
	}
}

// merge keeps the latest success of each part. It is called with collectorMu held.
func (c *successesCollector) merge(s reportedSuccess) {
	for i := range c.response.Parts {
		known := &c.response.Parts[i]
		if known.Organisation == s.Organisation && known.Part == s.Part {
			known.Age = min(known.Age, s.Age)
			return
		}
	}
	c.response.Parts = append(c.response.Parts, s)
}
