package roster

import "time"

// externalTargets are targets that this daemon's list does not contain. Another daemon, whose list
// contains them, named each of them for one attempt. The zero value is empty.
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
func (g *externalTargets) find(id string) *Target {
	if found := g.byID[id]; found != nil {
		found.lastUsed = time.Now()
		return found.target
	}
	return nil
}

// take removes and returns an external target that is now listed, or returns nil.
func (g *externalTargets) take(id string) *Target {
	found := g.byID[id]
	if found == nil {
		return nil
	}
	delete(g.byID, id)
	return found.target
}

// put adds an external target, and from time to time removes those unused for long.
func (g *externalTargets) put(t *Target, now time.Time) {
	if g.byID == nil {
		g.byID = map[string]*externalTarget{}
	}
	g.byID[t.id] = &externalTarget{t, now}
	if now.Sub(g.lastSweep) < externalSweepInterval {
		return
	}
	g.lastSweep = now
	for id, old := range g.byID {
		if now.Sub(old.lastUsed) > externalTTL && old.target.Own() == (Load{}) {
			delete(g.byID, id)
		}
	}
}

// Sizes returns the number of listed and of external targets.
func (r *Roster) Sizes() (listed, external int) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	return len(r.targets), len(r.external.byID)
}

// Guest returns the target of an entry that another daemon sent. If this daemon's list contains the
// incarnation, the listed target is returned and the entry is ignored.
func (r *Roster) Guest(e Entry) *Target {
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
