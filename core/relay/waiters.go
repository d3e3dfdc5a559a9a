package relay

import "sync"

// becomePermitWaiter makes the request the only one of this daemon that waits for a permit of its
// service, and reports whether it is.
func (p *proxiedRequest) becomePermitWaiter(isPermitWaiter *bool) bool {
	*isPermitWaiter = *isPermitWaiter || p.relay.permitWaiters.enter(p.service)
	return *isPermitWaiter
}

// permitWaiters holds the services for which a request waits for a permit. Of several waiting
// requests, all but the first would wait for an unknown time. The zero value is ready for use.
type permitWaiters struct {
	waitersMu sync.Mutex
	services  map[string]bool // guarded by waitersMu
}

// enter makes a request the waiter of a service, and reports false if there already is one.
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
