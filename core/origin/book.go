package origin

import (
	"context"
	"sync"
	"time"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/plat"
	"embertally.dev/core/wire"
)

// Proof is what a daemon can say of the versions of a service.
type Proof int

const (
	// Several means that streams may have begun at several versions, or that this daemon cannot tell.
	Several Proof = iota
	// Unproven means that this daemon has seen a single version, but not for as long as a stream may be resumed.
	Unproven
	// Sole means that each stream that may still be resumed began at one version.
	Sole
)

// String returns the proof for a log line.
func (p Proof) String() string {
	switch p {
	case Sole:
		return "a single version"
	case Unproven:
		return "a single version, not seen for long"
	}
	return "several versions, or not known"
}

// Options configures a Book.
type Options struct {
	// Fleet reaches the other daemons. Nil means that there are none.
	Fleet *fleet.Fleet
	// Versions returns what this daemon can say of a service's versions: the version unless it is Several. It must
	// not block.
	Versions func(service string) (string, Proof)
	// ViewAge returns how old the view is by which Versions says so. It must not block. Nil means that it is current.
	ViewAge func() time.Duration
	// Revision returns the revision of the coordination store up to which Versions knows all versions that are listed, or a
	// lower one. It must not block. Nil means 0.
	Revision func() int64
	// Inherit records that another daemon, which knows all versions up to a revision, has proven that a service has had a
	// single version. It reports whether this daemon has seen all versions since that revision. Nil means that it has.
	Inherit func(service string, revision int64) bool
	// Copy is this daemon's copy of the coordination store, where records are looked up, and Store is the store, where
	// they are written. Nil means that there is none. Incarnation identifies the process, and Log gets what fails.
	Copy        Copy
	Store       plat.Writer
	Incarnation string
	Log         *event.Log
	// Durable reports whether the records of a service are to be written to Store. It must not block. Nil means all.
	Durable func(service string) bool
}

// Book holds the records of this daemon and exchanges them with others. Its methods are safe for concurrent use.
type Book struct {
	o Options
	// wake has an element when outbox has records.
	wake chan struct{}
	// timeout bounds the wait for other daemons.
	timeout time.Duration
	// archive is nil without a store.
	archive *archive

	bookMu  sync.Mutex
	records records // guarded by bookMu
	// held are records of this daemon that are not told, since their services have a single version. Guarded by
	// bookMu.
	held []toldRecord
	// recent are those that heartbeats tell, until fullWindow after they were recorded. Guarded by bookMu.
	recent []toldRecord
	// outbox holds the records for other cells. Guarded by bookMu.
	outbox []toldRecord
	// unsaved holds the records of this cell that are not known to be in the store. Guarded by bookMu.
	unsaved []toldRecord
	// conflicts counts the records that name another version of a service than an earlier one of the same attempt.
	// Guarded by bookMu.
	conflicts uint64
}

// New returns a Book. It must be called before the fleet runs.
func New(o Options) *Book {
	b := &Book{o: o, wake: make(chan struct{}, 1), timeout: findTimeout}
	if o.Fleet != nil {
		o.Fleet.Attach("origins", b)
		o.Fleet.Mux().Register(kindFind, wire.Handle(b.handleFind))
		o.Fleet.Mux().Register(kindRecord, wire.Handle(b.handleRecords))
	}
	if o.Copy != nil {
		b.archive = &archive{
			book: b, fleet: o.Fleet, store: o.Store, copy: o.Copy, log: o.Log, incarnation: o.Incarnation, wake: make(chan struct{}, 1),
		}
	}
	return b
}

// Record records that an organisation's attempt brought events of a stream. While it goes on, that is to be recorded again
// each RenewInterval.
func (b *Book) Record(organisation, attempt string, s Stream) {
	now := clock.Now()
	told := toldRecord{key: newKey(organisation, attempt), stream: s, at: now}
	_, proof := b.o.Versions(s.Service)
	b.bookMu.Lock()
	defer b.bookMu.Unlock()
	b.add(told)
	if b.o.Fleet == nil {
		return
	}
	if proof == Sole {
		b.hold(told)
		return
	}
	b.tell(told)
}

// add keeps a record, unless one by a later configuration is known. It reports whether the record is kept and no repetition.
// It is called with bookMu held.
func (b *Book) add(r toldRecord) bool {
	s, age, found := b.records.find(r.key, r.at)
	if found && s.Service == r.stream.Service && s.Version != r.stream.Version {
		b.conflicts++
	}
	if found && r.stream.precedes(s) {
		return false
	}
	b.records.add(r.key, r.stream, r.at)
	return !found || !s.sameTarget(r.stream) || s.precedes(r.stream) || age >= minRenewalAge
}

// Conflicts returns how many records named another version of a service than an earlier one of the same attempt: a stream
// that began at one went on at the other.
func (b *Book) Conflicts() uint64 {
	b.bookMu.Lock()
	defer b.bookMu.Unlock()
	return b.conflicts
}

// viewAge returns how old the view is by which this daemon knows versions.
func (b *Book) viewAge() time.Duration {
	if b.o.ViewAge == nil {
		return 0
	}
	return b.o.ViewAge()
}

// Finding is what is known of where a stream began.
type Finding struct {
	Stream
	// Known means that Stream is where the stream began, Sole that it follows from the service's having had a single
	// version, and Stored that it was found in the coordination store only.
	Known, Sole, Stored bool
	// By is the daemon that has the record or has proven the single version, or the key of the store that holds the
	// record; empty for this daemon.
	By string
	// Age is how old that daemon's record is, or the view by which it has proven the single version. For a stored record it
	// is the time since that was last written, by the writer's clock; 0 if that is not known.
	Age time.Duration
	// Proof is what this daemon says of the versions by itself.
	Proof Proof
	// Asked and Unanswered count the other daemons that were asked, and those of them that did not answer.
	Asked, Unanswered int
}

// Bounds of the search for a record.
const (
	// findTimeout bounds the wait for other daemons.
	findTimeout = 150 * time.Millisecond
	// maxAsked is how many daemons are asked: with half of them just started, one of four knows.
	maxAsked = 4
)

// Find returns where the stream began of which an organisation's attempt brought the first event; the attempt is
// empty if the caller does not name it. service is the one that the stream is resumed at.
func (b *Book) Find(ctx context.Context, organisation, attempt, service string) Finding {
	k := newKey(organisation, attempt)
	s, age, found := b.findLocal(k, attempt)
	if found && s.Service == service {
		return Finding{Stream: s, Known: true, Age: age}
	}
	version, proof := b.o.Versions(service)
	if found {
		// Another daemon may know where the stream has gone on since, after its route was moved.
		out := b.findElsewhere(ctx, k, attempt, service, version, proof)
		if out.Known && !out.Sole && s.precedes(out.Stream) {
			return out
		}
		out.Stream, out.Known, out.Sole, out.By, out.Age = s, true, false, "", age
		return out
	}
	if proof == Sole {
		return Finding{Stream: Stream{Service: service, Version: version}, Known: true, Sole: true, Proof: proof, Age: b.viewAge()}
	}
	out := b.findElsewhere(ctx, k, attempt, service, version, proof)
	if out.Known {
		return out
	}
	if r, found := b.findStored(k, attempt); found {
		// A daemon that did not answer may know where the stream has gone on since, after its route was moved.
		out.Stream, out.Known, out.Stored, out.By = r.stream, true, true, r.page
		if !r.written.IsZero() {
			out.Age = max(0, time.Since(r.written))
		}
	}
	return out
}

// findStored returns the record in the coordination store.
func (b *Book) findStored(k key, attempt string) (r storedRecord, found bool) {
	if attempt == "" || b.archive == nil {
		return storedRecord{}, false
	}
	return b.archive.find(k)
}

// findLocal returns the record of this daemon, and its age.
func (b *Book) findLocal(k key, attempt string) (s Stream, age time.Duration, found bool) {
	if attempt == "" {
		return Stream{}, 0, false
	}
	b.bookMu.Lock()
	defer b.bookMu.Unlock()
	return b.records.find(k, clock.Now())
}

// findElsewhere asks other daemons for a record. version and proof are what this daemon says of the service.
func (b *Book) findElsewhere(ctx context.Context, k key, attempt, service, version string, proof Proof) Finding {
	peers := b.holders(k)
	out := Finding{Proof: proof, Asked: len(peers)}
	ctx, cancel := context.WithTimeout(ctx, b.timeout)
	defer cancel()
	answers := make(chan findAnswer, len(peers))
	for _, peer := range peers {
		go finder{b.o.Fleet, peer, &findRequest{Key: k, Named: attempt != "", Service: service}, answers}.run(ctx)
	}
	var sole *findAnswer
	for range peers {
		answer := <-answers
		switch {
		case answer.response == nil:
			out.Unanswered++
		case answer.response.Found:
			s := answer.response.stream()
			b.bookMu.Lock()
			b.add(toldRecord{key: k, stream: s, at: clock.Now()})
			b.bookMu.Unlock()
			if !out.Known || out.Stream.precedes(s) {
				out.Stream, out.Known, out.By, out.Age = s, true, answer.peer, answer.response.age()
			}
			if out.Service == service {
				return out
			}
			// Another daemon may know where the stream has gone on since.
		case answer.response.Proof == Sole && proof == Unproven && answer.response.Stream.Version == version &&
			(b.o.Inherit == nil || b.o.Inherit(service, answer.response.Revision)):
			sole = &answer
		}
	}
	if sole != nil && !out.Known {
		out.Stream, out.Known, out.Sole = Stream{Service: service, Version: version}, true, true
		out.By, out.Age = sole.peer, sole.response.age()
	}
	return out
}

// holders returns the daemons to ask for a record.
func (b *Book) holders(k key) []string {
	if b.o.Fleet == nil {
		return nil
	}
	view := b.o.Fleet.View()
	cell := view.KeyCell(k.hash())
	if cell != view.Cell() {
		return view.Owners(cell, fleet.Key("origin/"+view.Self()), maxAsked/2)
	}
	var names []string
	for _, p := range view.Peers() {
		if p.Cell == cell && p.Alive {
			names = append(names, p.Name)
		}
	}
	return fleet.RankFirst(k.hash(), names, maxAsked)
}

// finder asks one daemon for a record.
type finder struct {
	fleet   *fleet.Fleet
	peer    string
	request *findRequest
	answers chan<- findAnswer
}

// findAnswer is a daemon's answer; its response is nil if there is none.
type findAnswer struct {
	peer     string
	response *findResponse
}

// run sends the answer.
func (f finder) run(ctx context.Context) {
	var response findResponse
	if err := f.fleet.Query(ctx, f.peer, kindFind, f.request, &response); err != nil {
		f.answers <- findAnswer{f.peer, nil}
		return
	}
	f.answers <- findAnswer{f.peer, &response}
}

// kindFind is the kind of the query for a record.
const kindFind wire.Kind = "origin.find"

// findRequest asks where a stream began.
type findRequest struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Key      key
	// Named is set if the caller names the attempt.
	Named   bool
	Service string
}

// findResponse is the record if Found is set, or else the version of the service unless Proof is Several.
type findResponse struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Found    bool
	Stream   Stream
	Proof    Proof
	// AgeMillis is the age of the record, or else that of the view that Proof follows from.
	AgeMillis int64
	// Revision is that up to which the daemon knows all versions.
	Revision int64
	// Config is that of Stream.
	Config int64
}

// stream returns the record.
func (r *findResponse) stream() Stream {
	s := r.Stream
	s.Config = r.Config
	return s
}

// age returns the age that a daemon has reported.
func (r *findResponse) age() time.Duration { return time.Duration(r.AgeMillis) * time.Millisecond }

// handleFind answers another daemon's query.
func (b *Book) handleFind(_ context.Context, _ string, request *findRequest) (*findResponse, error) {
	if request.Named {
		b.bookMu.Lock()
		s, age, found := b.records.find(request.Key, clock.Now())
		b.bookMu.Unlock()
		if found {
			return &findResponse{Found: true, Stream: s, AgeMillis: age.Milliseconds(), Config: s.Config}, nil
		}
	}
	response := &findResponse{AgeMillis: b.viewAge().Milliseconds()}
	if b.o.Revision != nil {
		// Before the versions, which may be newer.
		response.Revision = b.o.Revision()
	}
	version, proof := b.o.Versions(request.Service)
	response.Stream, response.Proof = Stream{Service: request.Service, Version: version}, proof
	return response, nil
}
