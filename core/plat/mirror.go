package plat

import (
	"context"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"embertally.dev/core/clock"
	"embertally.dev/core/event"
	"embertally.dev/core/wait"
)

// Mirror keeps a copy of some keys of the key-value service current, with one
// watch. The zero value is not usable; see NewMirror.
//
// Lock order: tellMu before mirrorMu and before what observers take.
type Mirror struct {
	from Reader
	span Span
	log  *event.Log
	// observers are filled before Run.
	observers []func([]Change)
	// Follows, if set, reports whether this daemon asks the service itself; the
	// others take the changes from peers. It is set before Run.
	Follows func() bool
	// Reserve, if set, reports whether it asks only since others seem silent. It is set
	// before Run.
	Reserve func() bool
	// Gather, if set, is how long changes that follow each other are gathered.
	// It is set before Run.
	Gather func() time.Duration
	// Outline, if set, is the prefix of the keys that are read first where all do not fit one
	// page: Follows may go by them. It is set before Run.
	Outline string
	// Entered, if set, hears of the first copy of each era. It is called with mirrorMu held and
	// must not wait. It is set before Run.
	Entered func()

	// tellMu keeps the observers' calls apart: the service and a peer may tell
	// of changes at the same time.
	tellMu sync.Mutex

	mirrorMu sync.Mutex
	pairs    map[string]Pair // guarded by mirrorMu
	// late holds the values that are known to be there and have not arrived; pairs
	// holds what the keys were before. Guarded by mirrorMu.
	late map[string]lateValue
	// edits counts the changes of pairs. Guarded by mirrorMu.
	edits int64
	// shard names what the copy holds of the keys; "" stands for all. Guarded by mirrorMu.
	shard string
	// current tells that a watch may go on from revision: this daemon has read all keys, holds
	// them, and the service has not given up their history. Guarded by mirrorMu.
	current bool
	// revision is the highest that was seen; 0 before the first copy. Guarded
	// by mirrorMu.
	revision int64
	// eraSince is when the first copy of the era was taken. Guarded by mirrorMu.
	eraSince clock.Time
	// contact is when the service last answered. Guarded by mirrorMu.
	contact clock.Time
	// regained is when the service answered again after a silence. Guarded by
	// mirrorMu.
	regained clock.Time
	// silence is how long that silence was. Guarded by mirrorMu.
	silence time.Duration
	down    bool // guarded by mirrorMu
	// via is when the service had answered a peer that told of it. Guarded by
	// mirrorMu.
	via clock.Time
	// history holds the latest changes, in order, for peers that the service
	// does not answer. Guarded by mirrorMu.
	history []Change
	// base is the revision after which history is whole. Guarded by mirrorMu.
	base int64
	// news is closed and replaced when the copy changes or is found to be fresher.
	// Guarded by mirrorMu.
	news chan struct{}
}

// historyLeast is how many changes are kept for peers at least. Where there are more keys as many
// changes are kept: all of them may be written anew in one go.
const historyLeast = 1024

// NewMirror returns a mirror of the keys in span.
func NewMirror(from Reader, span Span, log *event.Log) *Mirror {
	return &Mirror{from: from, span: span, log: log, pairs: map[string]Pair{}, late: map[string]lateValue{}, news: make(chan struct{})}
}

// News returns a channel that is closed when the copy changes or is found to be fresher.
func (m *Mirror) News() <-chan struct{} {
	m.mirrorMu.Lock()
	defer m.mirrorMu.Unlock()
	return m.news
}

// wake ends the waits for news. It is called with mirrorMu held.
func (m *Mirror) wake() {
	close(m.news)
	m.news = make(chan struct{})
}

// Observe makes f hear of all changes, one call at a time. It must be called
// before Run.
func (m *Mirror) Observe(f func([]Change)) { m.observers = append(m.observers, f) }

// Pauses of a mirror.
const (
	// retryPause and retryMost space the tries while the service does not
	// answer. The platform prices each call, also refused ones, and a daemon
	// must follow again well within the 3 s that the users' rules give it.
	retryPause = 150 * time.Millisecond
	retryMost  = 500 * time.Millisecond
	// toldPause spaces the tries while peers tell what the service says: refused
	// calls are priced too.
	toldPause = 1200 * time.Millisecond
	// reservePause spaces the tries of a daemon that asks since others seem silent.
	reservePause = 2 * time.Second
	// toldFresh is the age up to which peers count as telling.
	toldFresh = 2 * time.Second
	// restPause spaces the looks of a daemon that takes changes from peers.
	restPause = 200 * time.Millisecond
	// downAfter is the silence that counts as an outage: watches answer at
	// least every two seconds.
	downAfter = 2500 * time.Millisecond
)

// Run keeps the copy current until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	pause := retryPause
	for ctx.Err() == nil {
		if m.Follows != nil && !m.Follows() {
			m.rest()
			wait.For(ctx, restPause)
			continue
		}
		err := m.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errRests) {
			continue
		}
		if m.since() < retryPause {
			pause = retryPause
		}
		m.lost(err)
		switch {
		case m.told():
			pause = toldPause
		case m.Reserve != nil && m.Reserve():
			pause = reservePause
		}
		wait.For(ctx, pause/2+rand.N(pause/2))
		pause = min(2*pause, retryMost)
	}
}

// rest forgets when the service last answered this daemon, so that its silence meanwhile
// is not taken for an outage. What is known stays as old as it is.
func (m *Mirror) rest() {
	m.mirrorMu.Lock()
	defer m.mirrorMu.Unlock()
	if m.contact.After(m.via) {
		m.via = m.contact
	}
	m.contact, m.down = clock.Time{}, false
}

func (m *Mirror) gather() time.Duration {
	if m.Gather == nil {
		return 0
	}
	return m.Gather()
}

// errRests ends the watch of a daemon that takes changes from peers now.
var errRests = errors.New("peers follow the service")

// follow copies everything where needed, then watches.
func (m *Mirror) follow(ctx context.Context) error {
	if !m.isCurrent() {
		if err := m.copy(ctx); err != nil {
			return err
		}
		// Others may be known now that watch.
		if wait.For(ctx, m.gather()); m.rests() {
			return errors.WithStack(errRests)
		}
	}
	err := m.from.Watch(ctx, m.span, m.Revision()+1, func(changes []Change, revision int64) error {
		m.heard()
		m.apply(changes, revision)
		if len(changes) > 0 {
			// Changes come in series; each answer is a priced call.
			wait.For(ctx, m.gather())
		}
		if m.rests() {
			return errors.WithStack(errRests)
		}
		return nil
	})
	if errors.Is(err, ErrCompacted) {
		m.mirrorMu.Lock()
		m.current = false
		m.mirrorMu.Unlock()
		m.log.Emit(event.ConfResynced, event.Ref{}, "the service has given up the history; everything is read anew")
	}
	return err
}

// rests reports whether this daemon takes changes from peers now.
func (m *Mirror) rests() bool { return m.Follows != nil && !m.Follows() }

// isCurrent reports whether a watch may go on from the revision of the copy.
func (m *Mirror) isCurrent() bool {
	m.mirrorMu.Lock()
	defer m.mirrorMu.Unlock()
	return m.current
}

// copy reads everything and tells the observers what differs. It ends early where the outline
// shows that this daemon takes changes from peers.
func (m *Mirror) copy(ctx context.Context) error {
	if done, err := m.sketch(ctx); done || err != nil {
		return err
	}
	pairs, revision, err := m.from.Range(ctx, m.span)
	if err != nil {
		return err
	}
	m.read(pairs, revision)
	return nil
}

// read takes a whole copy of what the service says.
func (m *Mirror) read(pairs []Pair, revision int64) {
	if Era(revision) >= m.Era() {
		// Observers ask for how long the service was silent.
		m.heard()
	}
	if !m.reset(changesOf(pairs), revision, "") {
		return
	}
	m.mirrorMu.Lock()
	defer m.mirrorMu.Unlock()
	m.current = m.shard == ""
}

// changesOf returns a whole copy as the changes that lead to it.
func changesOf(pairs []Pair) []Change {
	out := make([]Change, len(pairs))
	for i, p := range pairs {
		out[i] = Change{Pair: p}
	}
	return out
}

// reset takes a whole copy of a shard, unless a newer state of the same one is known. It reports
// whether the copy is of the era of this one or a later one.
func (m *Mirror) reset(all []Change, revision int64, shard string) bool {
	m.tellMu.Lock()
	defer m.tellMu.Unlock()
	return m.resetNow(all, revision, shard)
}

// resetNow is reset with tellMu held. It reports whether the copy is of the era of this one or a
// later one.
func (m *Mirror) resetNow(all []Change, revision int64, shard string) bool {
	m.mirrorMu.Lock()
	moved := shard != m.shard
	if Era(revision) < Era(m.revision) || (revision < m.revision && !moved) {
		known := m.revision
		m.mirrorMu.Unlock()
		m.log.Emit(event.ConfDropped, event.Ref{}, "revision "+strconv.FormatInt(revision, 10)+", known up to "+strconv.FormatInt(known, 10))
		return Era(revision) == Era(known)
	}
	changes := m.differences(all, revision, moved)
	m.enter(revision)
	m.put(changes)
	m.shard, m.current = shard, m.current && shard == ""
	m.revision, m.base, m.history = revision, revision, nil
	m.wake()
	m.mirrorMu.Unlock()
	m.tell(changes)
	return true
}

// differences returns how a whole copy differs from this one. Where it is one of another shard,
// what it lacks may still be there. It is called with mirrorMu held.
func (m *Mirror) differences(all []Change, revision int64, moved bool) []Change {
	gone := map[string]bool{}
	for key, p := range m.pairs {
		// One that arrived late may be newer than the copy.
		gone[key] = p.ModRevision <= revision
	}
	for key := range m.late {
		gone[key] = true
	}
	restored := m.revision > 0 && Era(revision) > Era(m.revision)
	var changes []Change
	for _, c := range all {
		gone[c.Key] = false
		if c.ModRevision > m.pairs[c.Key].ModRevision {
			changes = append(changes, c)
		}
	}
	for key, is := range gone {
		if !is {
			continue
		}
		changes = append(changes, Change{Pair: Pair{Key: key, ModRevision: revision}, Deleted: true, Dropped: moved, Restored: restored && !moved})
	}
	return changes
}

// apply takes the changes after a revision that is known up to another one.
// Changes that are known already are left out: the service and peers may both
// tell of them. It reports whether they are of the era of this copy.
func (m *Mirror) apply(changes []Change, revision int64) bool {
	m.tellMu.Lock()
	defer m.tellMu.Unlock()
	m.mirrorMu.Lock()
	if Era(revision) != Era(m.revision) && m.revision > 0 {
		// What another era lacks is told by a whole copy only.
		m.mirrorMu.Unlock()
		return false
	}
	var news []Change
	for _, c := range changes {
		if c.ModRevision > m.revision && c.ModRevision > m.pairs[c.Key].ModRevision {
			news = append(news, c)
		}
	}
	m.put(news)
	m.remember(news)
	if revision > m.revision {
		m.revision = revision
		m.wake()
	}
	m.mirrorMu.Unlock()
	m.tell(news)
	return true
}

// put is called with mirrorMu held.
func (m *Mirror) put(changes []Change) {
	m.edits += int64(len(changes))
	for _, c := range changes {
		if c.Late {
			m.await(c.Key, c.ModRevision)
			continue
		}
		delete(m.late, c.Key)
		if c.Deleted {
			delete(m.pairs, c.Key)
		} else {
			m.pairs[c.Key] = c.Pair
		}
	}
}

// remember is called with mirrorMu held. It keeps large values out: peers ask for
// these by themselves.
func (m *Mirror) remember(changes []Change) {
	for _, c := range changes {
		m.history = append(m.history, c.slim())
	}
	if over := len(m.history) - max(historyLeast, len(m.pairs)); over > 0 {
		m.base = m.history[over-1].ModRevision
		m.history = append([]Change(nil), m.history[over:]...)
	}
}

// tell is called with tellMu held, so that observers hear of changes in order. Of a
// late value they hear once it is here.
func (m *Mirror) tell(changes []Change) {
	here := slices.DeleteFunc(slices.Clone(changes), func(c Change) bool { return c.Late })
	if len(here) == 0 {
		return
	}
	for _, f := range m.observers {
		f(here)
	}
}

// Since returns the changes after a revision and the revision that they lead
// to, for a peer; whole is false where they are not kept any more. Large values are
// late.
func (m *Mirror) Since(after int64) (changes []Change, revision int64, whole bool) {
	m.mirrorMu.Lock()
	defer m.mirrorMu.Unlock()
	if after < m.base || m.revision == 0 {
		return nil, m.revision, false
	}
	from := sort.Search(len(m.history), func(i int) bool { return m.history[i].ModRevision > after })
	return slices.Clone(m.history[from:]), m.revision, true
}

// All returns what a peer is to be told of the keys after one, ordered, and the revision of the copy: the
// pairs that keep wants, or all where it is nil. Large values are late.
func (m *Mirror) All(after string, keep func(Pair) bool) ([]Change, int64) {
	m.mirrorMu.Lock()
	defer m.mirrorMu.Unlock()
	var out []Change
	for key, p := range m.pairs {
		if _, late := m.late[key]; !late && key > after && (keep == nil || keep(p)) {
			out = append(out, Change{Pair: p}.slim())
		}
	}
	for key, v := range m.late {
		if key > after {
			out = append(out, Change{Pair: Pair{Key: key, ModRevision: v.revision}, Late: true})
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return strings.Compare(a.Key, b.Key) })
	return out, m.revision
}

// Take takes changes from a peer, and when the service had answered it.
func (m *Mirror) Take(changes []Change, revision int64, heard clock.Time) {
	if m.apply(changes, revision) {
		m.hearVia(heard)
	}
}

// TakeAll takes a peer's whole copy of a shard, "" for all keys, and when the service had answered
// it. held is the shard that this copy was of when the peer was asked: where it is of another one by
// now, what was asked for is wanted no longer.
func (m *Mirror) TakeAll(all []Change, revision int64, held, shard string, heard clock.Time) {
	m.tellMu.Lock()
	defer m.tellMu.Unlock()
	if m.Shard() != held {
		return
	}
	if m.resetNow(all, revision, shard) {
		m.hearVia(heard)
	}
}

// Revision returns the highest revision seen.
func (m *Mirror) Revision() int64 {
	m.mirrorMu.Lock()
	defer m.mirrorMu.Unlock()
	return m.revision
}

// TakeMoved takes from a peer what this copy lacks of another shard that it holds from now on, and
// when the service had answered the peer. What drops names is held no longer; held is as in TakeAll.
func (m *Mirror) TakeMoved(changes []Change, revision int64, held, shard string, drops func(Pair) bool, heard clock.Time) {
	m.tellMu.Lock()
	defer m.tellMu.Unlock()
	if m.Shard() != held {
		return
	}
	if m.moveNow(changes, revision, shard, drops) {
		m.hearVia(heard)
	}
}

// moveNow takes another shard, unless it is of another era. It is called with tellMu held.
func (m *Mirror) moveNow(changes []Change, revision int64, shard string, drops func(Pair) bool) bool {
	m.mirrorMu.Lock()
	if Era(revision) != Era(m.revision) {
		// The next question is answered with everything.
		m.mirrorMu.Unlock()
		return false
	}
	var news []Change
	for _, c := range changes {
		if c.ModRevision > m.pairs[c.Key].ModRevision {
			news = append(news, c)
		}
	}
	for key, p := range m.pairs {
		if drops(p) {
			news = append(news, Change{Pair: Pair{Key: key, ModRevision: revision}, Deleted: true, Dropped: true})
		}
	}
	m.put(news)
	// Peers that hold the former shard read everything anew.
	m.base, m.history = revision, nil
	m.shard, m.current, m.revision = shard, false, max(m.revision, revision)
	m.wake()
	m.mirrorMu.Unlock()
	m.tell(news)
	return true
}

// Shard names what the copy holds of the keys; "" stands for all of them.
func (m *Mirror) Shard() string {
	m.mirrorMu.Lock()
	defer m.mirrorMu.Unlock()
	return m.shard
}

// Edits counts the changes of the copy.
func (m *Mirror) Edits() int64 {
	m.mirrorMu.Lock()
	defer m.mirrorMu.Unlock()
	return m.edits
}

// Pair returns the copy of a key.
func (m *Mirror) Pair(key string) (Pair, bool) {
	m.mirrorMu.Lock()
	defer m.mirrorMu.Unlock()
	p, ok := m.pairs[key]
	return p, ok
}

// Under returns the copies of the keys that begin with prefix, in no order.
func (m *Mirror) Under(prefix string) []Pair {
	m.mirrorMu.Lock()
	defer m.mirrorMu.Unlock()
	var out []Pair
	for key, p := range m.pairs {
		if strings.HasPrefix(key, prefix) {
			out = append(out, p)
		}
	}
	return out
}
