package main

import (
	"encoding/json"
	"io"
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
	Value     []byte
	Rev       int64
	CreateRev int64
	Lease     int64
	Deleted   bool `json:",omitempty"`
}

// lease is a time to live and when it ends.
type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	server *http.Server
	addr   string

	mu        sync.Mutex
	rev       int64
	items     map[string]item
	history   []item
	leases    map[int64]lease
	lastLease int64
	changed   chan struct{}
	closed    chan struct{}
}

// newStore starts a store.
func newStore(ip string) *store {
	s := &store{items: map[string]item{}, leases: map[int64]lease{}, changed: make(chan struct{}), closed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.handle(s.key))
	mux.HandleFunc("GET /v1/kv-range", s.handle(s.list))
	mux.HandleFunc("GET /v1/kv-watch", s.handle(s.watch))
	mux.HandleFunc("POST /v1/kv-txn", s.handle(s.txn))
	mux.HandleFunc("POST /v1/kv-lease", s.handle(s.openLease))
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.handle(s.keepLease))
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.handle(s.endLeaseCall))
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	s.addr, s.server = l.Addr().String(), &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	go s.expire()
	return s
}

func (s *store) close() {
	close(s.closed)
	_ = s.server.Close()
}

func (s *store) handle(f func(*http.Request) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		status, body := f(r)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		if body != nil {
			_ = json.NewEncoder(w).Encode(body)
		}
	}
}

// put writes a key as the operator or a worker would.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.set(key, raw, 0)
	s.wake()
}

// remove removes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.drop(key)
	s.wake()
}

// read returns a key's value.
func (s *store) read(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.items[key].Value)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) set(key string, value []byte, lease int64) {
	i := item{Key: key, Value: value, Rev: s.rev, CreateRev: s.rev, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.CreateRev = old.CreateRev
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *store) drop(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Rev: s.rev, Deleted: true})
}

func (s *store) expire() {
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-s.closed:
			return
		case <-t.C:
		}
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.end) {
				s.end(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) end(id int64) {
	delete(s.leases, id)
	s.rev++
	for key, i := range s.items {
		if i.Lease == id {
			s.drop(key)
		}
	}
	s.wake()
}

func (s *store) key(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("Key")]
	if !ok {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, i
}

// pageItems is the most items of a page.
const pageItems = 500

func (s *store) list(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("PathPrefix"), r.URL.Query().Get("after")
	page := struct {
		Items         []item `json:"items"`
		MorePages     bool
		StoreRevision int64
	}{Items: []item{}, StoreRevision: s.rev}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page.Items = append(page.Items, i)
		}
	}
	slices.SortFunc(page.Items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	if len(page.Items) > pageItems {
		page.Items, page.MorePages = page.Items[:pageItems], true
	}
	return http.StatusOK, page
}

func (s *store) watch(r *http.Request) (int, any) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for last := false; ; {
		got := struct {
			Events        []item
			StoreRevision int64
		}{Events: []item{}}
		s.mu.Lock()
		from, _ := slices.BinarySearchFunc(s.history, after+1, func(i item, rev int64) int { return int(i.Rev - rev) })
		for _, i := range s.history[from:] {
			if strings.HasPrefix(i.Key, q.Get("PathPrefix")) {
				got.Events = append(got.Events, i)
			}
		}
		got.StoreRevision = s.rev
		changed := s.changed
		s.mu.Unlock()
		if len(got.Events) > 0 || last {
			return http.StatusOK, got
		}
		select {
		case <-s.closed:
			return http.StatusServiceUnavailable, nil
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
	raw, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(raw, &body) != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range body.IfRev {
		if s.items[c.Key].Rev != c.Rev {
			current := []item{}
			for _, c := range body.IfRev {
				if i, ok := s.items[c.Key]; ok {
					current = append(current, i)
				}
			}
			return http.StatusPreconditionFailed, map[string]any{"items": current}
		}
	}
	for _, p := range body.SetKeys {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
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
		s.drop(key)
	}
	s.wake()
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
	ttl := time.Duration(max(1000, body.TtlMs)) * time.Millisecond
	s.leases[s.lastLease] = lease{ttl, time.Now().Add(ttl)}
	return http.StatusOK, map[string]int64{"Lease": s.lastLease, "TtlMs": ttl.Milliseconds()}
}

func (s *store) keepLease(r *http.Request) (int, any) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return http.StatusNotFound, nil
	}
	l.end = time.Now().Add(l.ttl)
	s.leases[id] = l
	return http.StatusOK, map[string]int64{"TtlMs": l.ttl.Milliseconds()}
}

func (s *store) endLeaseCall(r *http.Request) (int, any) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		return http.StatusNotFound, nil
	}
	s.end(id)
	return http.StatusOK, nil
}
