package fake

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// pushback makes a target reject requests with Retry-After. In the zero value it is off.
type pushback struct {
	pushbackMu sync.Mutex
	retryAfter time.Duration // guarded by pushbackMu
	rejected   int           // guarded by pushbackMu
}

// SetPushback makes the target reject requests with d as Retry-After; 0 ends that.
func (r *pushback) SetPushback(d time.Duration) {
	r.pushbackMu.Lock()
	defer r.pushbackMu.Unlock()
	r.retryAfter = d
}

// Rejected returns how many requests the target rejected with Retry-After.
func (r *pushback) Rejected() int {
	r.pushbackMu.Lock()
	defer r.pushbackMu.Unlock()
	return r.rejected
}

// rejects reports whether the target rejects requests, and sets Retry-After in the
// response's header if it does.
func (r *pushback) rejects(h http.Header) bool {
	r.pushbackMu.Lock()
	defer r.pushbackMu.Unlock()
	if r.retryAfter == 0 {
		return false
	}
	r.rejected++
	h.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', -1, 64))
	return true
}
