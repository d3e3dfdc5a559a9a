package roster

import "time"

// guests are targets that this daemon's list does not hold: another daemon, whose list holds them,
// named them for one send each. The zero value holds none.
type guests struct {
	byID map[string]*guest
	// swept is when old ones were last looked for.
	swept time.Time
}

// guest is one of them.
type guest struct {
	target *Target
	used   time.Time
}

const (
	// guestLife is how long a guest is kept after its last use: longer than a request lasts, so
	// that its end still finds it.
	guestLife = time.Minute
	// guestSweep is the pause between looks for old ones.
	guestSweep = 5 * time.Second
)

// find returns a guest, or nil.
func (g *guests) find(id string) *Target {
	if found := g.byID[id]; found != nil {
		found.used = time.Now()
		return found.target
	}
	return nil
}

// take returns a guest that the list holds from now on, or nil.
func (g *guests) take(id string) *Target {
	found := g.byID[id]
	if found == nil {
		return nil
	}
	delete(g.byID, id)
	return found.target
}

// put keeps a guest, and forgets those that were not used for long.
func (g *guests) put(t *Target, now time.Time) {
	if g.byID == nil {
		g.byID = map[string]*guest{}
	}
	g.byID[t.id] = &guest{t, now}
	if now.Sub(g.swept) < guestSweep {
		return
	}
	g.swept = now
	for id, old := range g.byID {
		if now.Sub(old.used) > guestLife && old.target.Own() == (Load{}) {
			delete(g.byID, id)
		}
	}
}

// Sizes returns how many targets the list holds, and how many guests there are.
func (r *Roster) Sizes() (listed, guests int) {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	return len(r.targets), len(r.guests.byID)
}

// Guest returns the target of an entry that another daemon named. Where the list holds that run,
// it goes by the list.
func (r *Roster) Guest(e Entry) *Target {
	r.rosterMu.Lock()
	defer r.rosterMu.Unlock()
	if e.Name == "" {
		e.Name = e.ID
	}
	if t := r.targets[e.ID]; t != nil {
		return t
	}
	t := r.guests.find(e.ID)
	if t == nil {
		t = &Target{id: e.ID, busy: &r.busy}
	}
	t.set(e)
	r.guests.put(t, time.Now())
	return t
}
