package relay

import "sync"

// waitAlone makes the request the one of this daemon that waits for a token of its service's targets,
// and reports whether it is.
func (p *proxiedRequest) becomePermitWaiter(isPermitWaiter *bool) bool {
	*isPermitWaiter = *isPermitWaiter || p.relay.permitWaiters.enter(p.service)
	return *isPermitWaiter
}

// waiters knows the services of which a request waits for a token. Of several that wait at one
// daemon all but the first would wait for a time that none of them knows. The zero value knows none.
type permitWaiters struct {
	waitersMu sync.Mutex
	services  map[string]bool // guarded by waitersMu
}

// enter reports whether no other request waits, and makes this one wait.
func (w *permitWaiters) enter(service string) bool {
	w.waitersMu.Lock()
	defer w.waitersMu.Unlock()
	if w.services[service] {
		return false
	}
	if w.services == nil {
		w.services = map[string]bool{}
	}
	w.services[service] = true
	return true
}

// leave ends the wait.
func (w *permitWaiters) leave(service string) {
	w.waitersMu.Lock()
	defer w.waitersMu.Unlock()
	delete(w.services, service)
}
