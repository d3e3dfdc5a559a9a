package poison

import "time"

// BlockedRequest is a blocked request as shown to operators.
type BlockedRequest struct {
	Digest       string    `json:"asks"`
	Organisation string    `json:"organisation"`
	Until        time.Time `json:"until"`
	Consecutive  int       `json:"times"`
	// Parts are the parts that a prompt must hold all of to be blocked; empty if one request is blocked.
	Parts []string `json:"parts,omitempty"`
}

// List returns the blocked requests, ordered by digest.
func (g *Guard) List() []BlockedRequest {
	out := []BlockedRequest{}
	for _, b := range g.blocks.list() {
		if !b.Released && b.Remaining > 0 {
			out = append(out, BlockedRequest{
				b.Request.String(), b.Organisation, time.Now().Add(b.Remaining).UTC(), b.Consecutive, b.Parts,
			})
		}
	}
	return out
}

// Release revokes a block in all daemons, and reports whether there was one.
func (g *Guard) Release(d Digest, why string) bool {
	g.forget(d)
	return g.release(d, why)
}

// BlockedCount returns the number of blocked requests.
func (g *Guard) BlockedCount() int { return g.blocks.count() }

// SuspectCount returns the number of requests that this daemon counts crashes for.
func (g *Guard) SuspectCount() int { return g.tracker.size() }

// CrashCount returns the number of incarnations of targets that crashed under requests of this
// daemon.
func (g *Guard) CrashCount() int64 {
	g.countsMu.Lock()
	defer g.countsMu.Unlock()
	return g.crashCount
}
