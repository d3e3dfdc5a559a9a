package poison

import "time"

// BlockedRequest is a blocked request as operators see it.
type BlockedRequest struct {
	Asks         string    `json:"asks"`
	Organisation string    `json:"organisation"`
	Until        time.Time `json:"until"`
	Times        int       `json:"times"`
}

// List returns the blocked requests, ordered by fingerprint.
func (g *Guard) List() []BlockedRequest {
	out := []BlockedRequest{}
	for _, b := range g.blocks.list() {
		if !b.Released && b.Left > 0 {
			out = append(out, BlockedRequest{b.Request.String(), b.Organisation, time.Now().Add(b.Left).UTC(), b.Times})
		}
	}
	return out
}

// Release takes a block back in all daemons, and reports whether there was one.
func (g *Guard) Release(f Fingerprint, why string) bool {
	g.keeper.clear(f)
	return g.release(f, why)
}

// Blocks returns how many requests are blocked.
func (g *Guard) Blocks() int { return g.blocks.count() }

// Suspects returns how many requests this daemon keeps a count for.
func (g *Guard) Suspects() int { return g.keeper.size() }

// EndedRuns returns how many runs of targets ended under requests of this daemon.
func (g *Guard) EndedRuns() int64 {
	g.knownMu.Lock()
	defer g.knownMu.Unlock()
	return g.runs
}
