package fake

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// resting is a target's wish for rest. The zero value has none.
type resting struct {
	restMu     sync.Mutex
	rest       time.Duration // guarded by restMu
	turnedAway int           // guarded by restMu
}

// AskRest makes the target turn requests away and ask for rest; 0 ends that.
func (r *resting) AskRest(d time.Duration) {
	r.restMu.Lock()
	defer r.restMu.Unlock()
	r.rest = d
}

// TurnedAway returns how many requests the target turned away to rest.
func (r *resting) TurnedAway() int {
	r.restMu.Lock()
	defer r.restMu.Unlock()
	return r.turnedAway
}

// turnsAway reports whether the target rests, and writes for how long into the head of its answer.
func (r *resting) turnsAway(h http.Header) bool {
	r.restMu.Lock()
	defer r.restMu.Unlock()
	if r.rest == 0 {
		return false
	}
	r.turnedAway++
	h.Set("Retry-After", strconv.FormatFloat(r.rest.Seconds(), 'f', -1, 64))
	return true
}
