package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store as it is sent, or its deletion.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in for the platform's store, as PROTOCOL.md describes it: linearizable,
// with leases, conditional writes and watches. Each VM reaches it at an address of its own,
// where view may replace the addresses of replicas by those of the VM's links to them.
type store struct {
	view func(vm int, key string, value []byte) []byte

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*lease
	granted  uint64
	changed  chan struct{} // closed and replaced at each change
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

func newStore() *store {
	return &store{items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{}), view: func(_ int, _ string, v []byte) []byte { return v }}
}

// listen serves the store to a VM and returns the address.
func (s *store) listen(vm int) (string, error) {
	ln, err := net.Listen("tcp", listenHost)
	if err != nil {
		return "", err
	}
	go func() {
		_ = http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(vm, w, r) }))
	}()
	return ln.Addr().String(), nil
}

// put writes a key, as the operator or a replica does.
func (s *store) put(key string, value []byte) { s.putAll(item{Key: key, Value: value}) }

// putAll writes keys all-or-nothing: a single change.
func (s *store) putAll(items ...item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	for _, it := range items {
		it.Revision = s.revision
		s.set(it)
	}
}

// set applies a change at the present revision. s.mu is held.
func (s *store) set(it item) {
	it.Created = it.Revision
	if former, ok := s.items[it.Key]; ok {
		it.Created = former.Created
	}
	if it.Tombstone {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases that are over. s.mu is held.
func (s *store) expire(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.end(id)
		}
	}
}

// end ends a lease and removes its keys. s.mu is held.
func (s *store) end(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.revision++
			s.set(item{Key: key, Revision: s.revision, Tombstone: true})
		}
	}
}

func (s *store) serve(vm int, w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	status, body := s.answer(vm, r)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// seen returns an item as a VM gets it.
func (s *store) seen(vm int, it item) item {
	it.Value = s.view(vm, it.Key, it.Value)
	return it
}

func (s *store) answer(vm int, r *http.Request) (int, any) {
	q := r.URL.Query()
	if r.URL.Path == "/v1/kv-watch" {
		return s.watch(vm, r)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	switch path := r.URL.Path; {
	case path == "/v1/kv-key":
		it, ok := s.items[q.Get("key")]
		if !ok {
			return http.StatusNotFound, struct{}{}
		}
		return http.StatusOK, s.seen(vm, it)
	case path == "/v1/kv-range":
		out := []item{}
		for key, it := range s.items {
			if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
				out = append(out, s.seen(vm, it))
			}
		}
		sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
		return http.StatusOK, map[string]any{"items": out, "truncated": false, "storeRevision": s.revision}
	case path == "/v1/kv-txn":
		return s.transact(r)
	case path == "/v1/kv-lease":
		var body struct {
			TTLMS int64 `json:"ttlMs"`
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			return http.StatusBadRequest, struct{}{}
		}
		s.granted++
		ttl := time.Duration(body.TTLMS) * time.Millisecond
		s.leases[s.granted] = &lease{ttl, time.Now().Add(ttl)}
		return http.StatusOK, map[string]any{"lease": s.granted, "ttlMs": body.TTLMS}
	case strings.HasPrefix(path, "/v1/kv-keep/"), strings.HasPrefix(path, "/v1/kv-lease-end/"):
		id, _ := strconv.ParseUint(path[strings.LastIndexByte(path, '/')+1:], 10, 64)
		l := s.leases[id]
		switch {
		case l == nil:
			return http.StatusNotFound, struct{}{}
		case r.Method == http.MethodDelete:
			s.end(id)
		default:
			l.ends = time.Now().Add(l.ttl)
		}
		return http.StatusOK, struct{}{}
	}
	return http.StatusBadRequest, struct{}{}
}

func (s *store) transact(r *http.Request) (int, any) {
	var txn struct {
		Expected []item   `json:"expectedRevision"`
		Puts     []item   `json:"puts"`
		Deletes  []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&txn) != nil {
		return http.StatusBadRequest, struct{}{}
	}
	held, current := true, []item{}
	for _, e := range txn.Expected {
		it, ok := s.items[e.Key]
		held = held && it.Revision == e.Revision
		if ok {
			current = append(current, it)
		}
	}
	if !held {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, p := range txn.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return http.StatusForbidden, struct{}{}
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, struct{}{}
		}
	}
	s.revision++
	for _, p := range txn.Puts {
		s.set(item{Key: p.Key, Value: p.Value, Lease: p.Lease, Revision: s.revision})
	}
	for _, key := range txn.Deletes {
		if _, ok := s.items[key]; ok {
			s.set(item{Key: key, Revision: s.revision, Tombstone: true})
		}
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *store) watch(vm int, r *http.Request) (int, any) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	over := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer over.Stop()
	for {
		s.mu.Lock()
		s.expire(time.Now())
		events, revision, changed := []item{}, s.revision, s.changed
		for i := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after }); i < len(s.history); i++ {
			if it := s.history[i]; strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, s.seen(vm, it))
			}
		}
		s.mu.Unlock()
		reply := map[string]any{"events": events, "storeRevision": revision}
		if len(events) > 0 {
			return http.StatusOK, reply
		}
		select {
		case <-changed:
		case <-over.C:
			return http.StatusOK, reply
		case <-r.Context().Done():
			return http.StatusOK, reply
		}
	}
}
