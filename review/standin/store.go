package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or its deletion.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]time.Time
	ttls     map[uint64]time.Duration
	grants   uint64
	changed  chan struct{}
	// onWrite is called with each write of the system, with mu held.
	onWrite func(it item)
}

func newStore() *store {
	s := &store{revision: 1, items: map[string]item{}, leases: map[uint64]time.Time{}, ttls: map[uint64]time.Duration{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

// put writes a key as the operator or a replica does.
func (s *store) put(key, value string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(item{Key: key, Value: []byte(value)})
	return time.Now()
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(item{Key: key, Tombstone: true})
}

func (s *store) write(it item) {
	s.revision++
	it.Revision = s.revision
	if it.Created = s.revision; s.items[it.Key].Created != 0 {
		it.Created = s.items[it.Key].Created
	}
	s.items[it.Key] = it
	if it.Tombstone {
		delete(s.items, it.Key)
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	for id, end := range s.leases {
		if time.Now().Before(end) {
			continue
		}
		delete(s.leases, id)
		for key, it := range s.items {
			if it.Lease == id {
				s.write(item{Key: key, Tombstone: true})
			}
		}
	}
}

// storeView is the store as one VM sees it, at an address of its own.
type storeView struct {
	store *store
	addr  string
	// rewrite replaces the address of a replica by that of the VM's link to it, and
	// rewritePeer that of another VM; nil: none.
	rewrite, rewritePeer func(addr string) string

	mu      sync.Mutex
	rejects bool // the store turns this VM away with 503
}

func (v *storeView) start() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	v.addr = ln.Addr().String()
	go func() { _ = http.Serve(ln, v) }()
	return nil
}

func (v *storeView) setRejects(yes bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rejects = yes
}

func (v *storeView) rejecting() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.rejects
}

func (v *storeView) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if v.rejecting() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	status, body := v.handle(r)
	if v.rejecting() {
		// A watch that waited when the store began to turn the VM away is cut.
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (v *storeView) seen(items []item) []item {
	if v.rewrite == nil && v.rewritePeer == nil {
		return items
	}
	out := make([]item, len(items))
	for i, it := range items {
		out[i] = it
		// The system registers each VM under vms/ with its zone and address.
		if zone, addr, ok := strings.Cut(string(it.Value), " "); ok && v.rewritePeer != nil && strings.Contains(it.Key, "/vms/") {
			out[i].Value = []byte(zone + " " + v.rewritePeer(addr))
			continue
		}
		var reg map[string]any
		if v.rewrite == nil || !strings.HasPrefix(it.Key, "servers/") || json.Unmarshal(it.Value, &reg) != nil {
			continue
		}
		reg["address"] = v.rewrite(reg["address"].(string))
		out[i].Value, _ = json.Marshal(reg)
	}
	return out
}

func (v *storeView) handle(r *http.Request) (int, any) {
	s, q := v.store, r.URL.Query()
	if r.URL.Path == "/v1/kv-watch" {
		return v.watch(r)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	switch {
	case r.URL.Path == "/v1/kv-key":
		it, ok := s.items[q.Get("key")]
		if !ok {
			return http.StatusNotFound, struct{}{}
		}
		return http.StatusOK, struct {
			item
			StoreRevision uint64 `json:"storeRevision"`
		}{v.seen([]item{it})[0], s.revision}
	case r.URL.Path == "/v1/kv-range":
		out := []item{}
		for key, it := range s.items {
			if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
				out = append(out, it)
			}
		}
		sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
		return http.StatusOK, map[string]any{"items": v.seen(out), "truncated": false, "storeRevision": s.revision}
	case r.URL.Path == "/v1/kv-txn":
		return s.transact(r)
	case r.URL.Path == "/v1/kv-lease":
		var body struct {
			TTLMS int64 `json:"ttlMs"`
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		s.grants++
		s.ttls[s.grants] = time.Duration(body.TTLMS) * time.Millisecond
		s.leases[s.grants] = time.Now().Add(s.ttls[s.grants])
		return http.StatusOK, map[string]any{"lease": s.grants, "ttlMs": body.TTLMS}
	case strings.HasPrefix(r.URL.Path, "/v1/kv-keep/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, "/v1/kv-keep/"), 10, 64)
		if _, ok := s.leases[id]; !ok {
			return http.StatusNotFound, struct{}{}
		}
		s.leases[id] = time.Now().Add(s.ttls[id])
		return http.StatusOK, map[string]any{"ttlMs": s.ttls[id].Milliseconds()}
	}
	return http.StatusBadRequest, map[string]string{"error": fmt.Sprintf("unknown call %s", r.URL.Path)}
}

func (s *store) transact(r *http.Request) (int, any) {
	var txn struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expectedRevision"`
		Puts    []item   `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		return http.StatusBadRequest, map[string]string{"error": err.Error()}
	}
	conflict, current := false, []item{}
	for _, e := range txn.Expected {
		conflict = conflict || s.items[e.Key].Revision != e.Revision
		if it, ok := s.items[e.Key]; ok {
			current = append(current, it)
		}
	}
	if conflict {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, p := range txn.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return http.StatusNotFound, struct{}{}
		}
	}
	for _, p := range txn.Puts {
		it := item{Key: p.Key, Value: p.Value, Lease: p.Lease}
		s.write(it)
		if s.onWrite != nil {
			s.onWrite(it)
		}
	}
	for _, key := range txn.Deletes {
		s.write(item{Key: key, Tombstone: true})
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (v *storeView) watch(r *http.Request) (int, any) {
	s, q := v.store, r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	poll := time.NewTicker(20 * time.Millisecond)
	defer poll.Stop()
	for {
		s.mu.Lock()
		events, revision, changed := []item{}, s.revision, s.changed
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		s.mu.Unlock()
		if after > revision {
			return http.StatusGone, struct{}{}
		}
		reply := map[string]any{"events": v.seen(events), "storeRevision": revision}
		if len(events) > 0 || v.rejecting() {
			return http.StatusOK, reply
		}
		select {
		case <-changed:
		case <-poll.C:
		case <-timeout:
			return http.StatusOK, reply
		case <-r.Context().Done():
			return http.StatusOK, reply
		}
	}
}
