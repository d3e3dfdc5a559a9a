package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store.
type item struct {
	Key       string
	Value     []byte `json:",omitempty"`
	Rev       int64
	CreateRev int64 `json:",omitempty"`
	Lease     int64 `json:",omitempty"`
	Deleted   bool  `json:",omitempty"`
}

// lease is a lease of the store.
type lease struct {
	ttl      time.Duration
	deadline time.Time
}

// store is a stand-in for the platform's metadata store. It behaves as PROTOCOL.md says, without any
// disruption.
type store struct {
	address string
	mux     *http.ServeMux

	mu        sync.Mutex // guards the fields below
	rev       int64
	items     map[string]item
	history   []item
	leases    map[int64]lease
	lastLease int64
	changed   chan struct{} // closed at the next change
}

// newStore starts a store at an address.
func newStore(address string) *store {
	s := &store{rev: 1, items: map[string]item{}, leases: map[int64]lease{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	for pattern, f := range map[string]func(*http.Request) (int, any){
		"GET /v1/kv-key": s.key, "GET /v1/kv-range": s.list, "GET /v1/kv-watch": s.watch, "POST /v1/kv-txn": s.txn,
		"POST /v1/kv-lease": s.openLease, "POST /v1/kv-keep/{id}": s.keepLease, "DELETE /v1/kv-lease-end/{id}": s.endLease,
	} {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			status, body := f(r)
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(status)
			if body != nil {
				json.NewEncoder(w).Encode(body)
			}
		})
	}
	l, err := net.Listen("tcp", address)
	check(err)
	s.address, s.mux = l.Addr().String(), mux
	go http.Serve(l, mux)
	go s.expireLoop()
	return s
}

// put writes a key, as an operator or a worker does, and returns the revision.
func (s *store) put(key string, value any) int64 {
	raw, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.set(key, raw, 0)
	s.notify()
	return s.rev
}

// remove removes a key, as a worker that has left does.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.delete(key)
	s.notify()
}

// notify wakes all watches. It is called with mu held, as are set and delete.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) set(key string, value []byte, lease int64) {
	next := item{Key: key, Value: value, Rev: s.rev, CreateRev: s.rev, Lease: lease}
	if old, exists := s.items[key]; exists {
		next.CreateRev = old.CreateRev
	}
	s.items[key] = next
	s.history = append(s.history, next)
}

func (s *store) delete(key string) {
	if _, exists := s.items[key]; exists {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Rev: s.rev, Deleted: true})
	}
}

// expireLoop ends the leases that were not renewed.
func (s *store) expireLoop() {
	for now := range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if now.After(l.deadline) {
				s.end(id)
			}
		}
		s.mu.Unlock()
	}
}

// end ends a lease and removes its keys. It is called with mu held.
func (s *store) end(id int64) {
	delete(s.leases, id)
	s.rev++
	for key, it := range s.items {
		if it.Lease == id {
			s.delete(key)
		}
	}
	s.notify()
}

func (s *store) key(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, exists := s.items[r.URL.Query().Get("Key")]
	if !exists {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, it
}

func (s *store) list(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	var page struct {
		Items         []item `json:"items"`
		MorePages     bool
		StoreRevision int64
	}
	for key, it := range s.items {
		if strings.HasPrefix(key, q.Get("PathPrefix")) && key > q.Get("after") {
			page.Items = append(page.Items, seenBy(r, it))
		}
	}
	slices.SortFunc(page.Items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	page.StoreRevision = s.rev
	return http.StatusOK, page
}

func (s *store) watch(r *http.Request) (int, any) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for last := false; ; {
		var got struct {
			Events        []item
			StoreRevision int64
		}
		s.mu.Lock()
		for _, it := range s.history {
			if it.Rev > after && strings.HasPrefix(it.Key, q.Get("PathPrefix")) {
				got.Events = append(got.Events, seenBy(r, it))
			}
		}
		got.StoreRevision = s.rev
		changed := s.changed
		s.mu.Unlock()
		if len(got.Events) > 0 || last {
			return http.StatusOK, got
		}
		select {
		case <-r.Context().Done():
			return http.StatusOK, nil
		case <-timer.C:
			last = true
		case <-changed:
		}
	}
}

func (s *store) txn(r *http.Request) (int, any) {
	var body struct {
		IfRev []struct {
			Key string
			Rev int64
		}
		SetKeys []struct {
			Key   string
			Value []byte
			Lease int64
		}
		Remove []string
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range body.IfRev {
		if s.items[c.Key].Rev != c.Rev {
			return http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[c.Key]}}
		}
	}
	for _, p := range body.SetKeys {
		if _, exists := s.leases[p.Lease]; p.Lease != 0 && !exists {
			return http.StatusNotFound, nil
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return http.StatusForbidden, nil
		}
	}
	s.rev++
	for _, p := range body.SetKeys {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, key := range body.Remove {
		s.delete(key)
	}
	s.notify()
	return http.StatusOK, map[string]int64{"Rev": s.rev}
}

func (s *store) openLease(r *http.Request) (int, any) {
	var body struct{ TtlMs int64 }
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	ttl := time.Duration(body.TtlMs) * time.Millisecond
	s.leases[s.lastLease] = lease{ttl, time.Now().Add(ttl)}
	return http.StatusOK, map[string]int64{"Lease": s.lastLease, "TtlMs": body.TtlMs}
}

func (s *store) keepLease(r *http.Request) (int, any) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, exists := s.leases[id]
	if !exists {
		return http.StatusNotFound, nil
	}
	l.deadline = time.Now().Add(l.ttl)
	s.leases[id] = l
	return http.StatusOK, map[string]int64{"TtlMs": l.ttl.Milliseconds()}
}

func (s *store) endLease(r *http.Request) (int, any) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exists := s.leases[id]; !exists {
		return http.StatusNotFound, nil
	}
	s.end(id)
	return http.StatusOK, nil
}

// viewKey is the key of the context of requests to a view, whose value replaces text in the values.
type viewKey struct{}

// view returns another address of the store, whose callers read other addresses in the values: those of the proxies
// in front of the machines that they reach.
func (s *store) view(ip string, replace func() *strings.Replacer) string {
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	server := &http.Server{Handler: s.mux, BaseContext: func(net.Listener) context.Context {
		return context.WithValue(context.Background(), viewKey{}, replace)
	}}
	go server.Serve(l)
	return l.Addr().String()
}

// seenBy returns an item as the caller of a request reads it.
func seenBy(r *http.Request, it item) item {
	if replace, ok := r.Context().Value(viewKey{}).(func() *strings.Replacer); ok {
		it.Value = []byte(replace().Replace(string(it.Value)))
	}
	return it
}
