package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one execution of a request at a replica.
type run struct {
	at                       time.Time
	replica, id, method, url string
	body                     uint64 // hash
	head                     string // first bytes of the body
	size                     int
	via                      string // the VM that sent it
}

// replica is a sound stand-in for a replica of a service.
type replica struct {
	id, service, zone, version string
	slots                      int
	work                       time.Duration
	addr                       string
	born                       int64
	onRun                      func(r run)
	// spoil may hand out other bytes in place of the answer to a request that has run; nil:
	// never.
	spoil func(w http.ResponseWriter, r *http.Request) bool

	// deadly reports whether a request crashes the replica; nil: none does.
	deadly func(r *http.Request) bool

	store    *store
	server   *http.Server
	mu       sync.Mutex
	state    string
	leaving  bool // says so in its answers
	sequence int
	silent   bool
	running  chan struct{}
	waiting  int
}

const queueLength = 24

func (r *replica) start(s *store) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.addr, r.born, r.state, r.running, r.store = ln.Addr().String(), time.Now().UnixMilli(), "ready", make(chan struct{}, r.slots), s
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(ln) }()
	r.beat(s)
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			r.beat(s)
		}
	}()
	return nil
}

// downTime is how long a replica is down after a crash.
const downTime = 3 * time.Second

// crash ends all connections of the replica, which is back some seconds later as a new
// lifetime under the same id.
func (r *replica) crash() {
	r.mu.Lock()
	if r.silent {
		r.mu.Unlock()
		return // it is down already
	}
	r.silent = true
	server := r.server
	r.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(downTime, func() {
		ln, err := net.Listen("tcp", r.addr)
		if err != nil {
			return
		}
		r.mu.Lock()
		r.silent, r.born, r.sequence = false, time.Now().UnixMilli(), 0
		r.running, r.waiting = make(chan struct{}, r.slots), 0
		r.server = &http.Server{Handler: r}
		server := r.server
		r.mu.Unlock()
		go func() { _ = server.Serve(ln) }()
		r.beat(r.store)
	})
}

// crashWhileAnswering sends the beginning of an answer and crashes.
func (r *replica) crashWhileAnswering(w http.ResponseWriter, id string) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		answer := answerOf(r.id, id)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", id, stampOf(r.id, id), len(answer), answer[:len(answer)/2])
		_ = c.Close()
	}
	r.crash()
}

// beat writes the replica's registration.
func (r *replica) beat(s *store) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.silent {
		return
	}
	r.sequence++
	value, _ := json.Marshal(map[string]any{
		"service": r.service, "address": r.addr, "zone": r.zone, "version": r.version, "slots": r.slots,
		"state": r.state, "warmupLeftMs": 0, "sequence": r.sequence, "born": r.born,
	})
	s.put("servers/"+r.id, string(value))
}

func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return // the connection was closed: not run
	}
	r.mu.Lock()
	leaving, waiting := r.leaving, r.waiting
	r.waiting++
	running := r.running
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.waiting = max(0, r.waiting-1)
		r.mu.Unlock()
	}()
	if leaving {
		w.Header().Set("Server-Leaving", "1")
		w.Header().Set("Connection", "close")
	}
	switch target := req.Header.Get("Target-Instance"); {
	case target != "" && target != r.id:
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case waiting >= queueLength+r.slots:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	left := time.Minute
	if ms, err := strconv.ParseFloat(req.Header.Get("Deadline-Ms"), 64); err == nil {
		left = time.Duration(ms * float64(time.Millisecond))
	}
	ended := time.After(left)
	select {
	case running <- struct{}{}:
	case <-req.Context().Done():
		return
	case <-ended:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-running }()
	head := body[:min(len(body), 48)]
	via, _ := senders.Load(req.RemoteAddr)
	name, _ := via.(string)
	r.onRun(run{time.Now(), r.id, id, req.Method, req.URL.RequestURI(), hashOf(body), string(head), len(body), name})
	work := time.Duration(float64(r.work) * (0.5 + rand.Float64()))
	select {
	case <-time.After(work):
	case <-req.Context().Done():
		return
	case <-ended:
		w.Header().Set("Response-Stamp", stampOf(r.id, id))
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	if r.deadly != nil && r.deadly(req) {
		r.crashWhileAnswering(w, id)
		return

	}
	if r.spoil != nil && r.spoil(w, req) {
		return
	}
	w.Header().Set("Response-Stamp", stampOf(r.id, id))
	w.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d", len(running), max(0, waiting-len(running)), r.slots))
	_, _ = w.Write(answerOf(r.id, id))
}

// stampOf is the receipt of a replica for a request.
func stampOf(replica, id string) string {
	return fmt.Sprintf("%s.%s.%016x", replica, id, hashOf([]byte(replica+id)))
}

// answerOf is the body of the answer to a request: records of 16 bytes.
func answerOf(replica, id string) []byte {
	var out []byte
	for i := range 8 {
		out = fmt.Appendf(out, "%016x", hashOf(fmt.Append(nil, replica, id, i)))
	}
	return out
}

func hashOf(b []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(b)
	return h.Sum64()
}
