package roster

import "time"

// externalTargets are targets that this daemon's list does not contain. Another daemon, whose list
// contains them, chose each of them for an attempt and sent its entry with the choice. The zero
// value is empty.
type externalTargets struct {
	byID map[string]*externalTarget
	// lastSweep is when unused ones were last removed.
	lastSweep time.Time
}

// externalTarget is an external target and when it was last used.
type externalTarget struct {
	target   *Target
	lastUsed time.Time
}

const (
	// externalTTL is how long an external target is kept after its last use. It is longer than a
	// request lasts, so that the end of the request still finds it.
	externalTTL = time.Minute
	// externalSweepInterval is the minimum time between removals of unused ones.
	externalSweepInterval = 5 * time.Second
)

// find returns an external target and marks it as used, or returns nil.
func (e *externalTargets) find(id string) *Target {
	if ext := e.byID[id]; ext != nil {
		ext.lastUsed = time.Now()
		return ext.target
	}
	return nil
}

// remove removes and returns an external target that is now listed, or returns nil.
func (e *externalTargets) remove(id string) *Target {
	found := e.byID[id]
	if found == nil {
		return nil
	}
	delete(e.byID, id)
	return found.target
}

// put adds an external target, and from time to time removes those unused for long.
func (e *externalTargets) put(t *Target, now time.Time) {
	if e.byID == nil {
		e.byID = map[string]*externalTarget{}
	}
	e.byID[t.id] = &externalTarget{t, now}
	if now.Sub(e.lastSweep) < externalSweepInterval {
		return
	}
	e.lastSweep = now
	for id, old := range e.byID {
		if now.Sub(old.lastUsed) > externalTTL && old.target.LocalLoad() == (Load{}) {
			delete(e.byID, id)
		}
	}
}

// Sizes returns the number of listed and of external targets.
func (r *Roster) Sizes() (listed, external int) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	return len(r.targets), len(r.external.byID)
}

// AddExternal returns the target of an entry that another daemon sent. If this daemon's list
// contains the incarnation, the listed target is returned and the entry is ignored.
func (r *Roster) AddExternal(e Entry) *Target {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	if e.Name == "" {
		e.Name = e.ID
	}
	if t := r.targets[e.ID]; t != nil {
		return t
	}
	t := r.external.find(e.ID)
	if t == nil {
		t = &Target{id: e.ID, busy: &r.busy}
	}
	t.set(e)
	r.external.put(t, time.Now())
	return t
}
