package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is one execution of a request at a replica.
type run struct {
	id, replica, method, target string
	at                          time.Time
}

// runs has all executions of a case.
type runs struct {
	mu   sync.Mutex
	byID map[string][]run
}

func (l *runs) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byID[r.id] = append(l.byID[r.id], r)
}

func (l *runs) of(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.byID[id]...)
}

// replica is a stand-in for a replica, as PROTOCOL.md describes it: it serves one request
// at a time on a connection, runs as many at once as it has slots, queues a few more and
// rejects the others, checks Target-Instance, echoes Request-Id and gives a receipt.
type replica struct {
	id, service, zone, addr string
	slots, queue            int
	work                    time.Duration
	runs                    *runs
	born                    int64
	records                 int     // of 16 bytes in an answer; 0: the answer is a text
	closeShare              float64 // of answers that have Connection: close
	// fails reports whether the replica fails a request that it has run; it answers 429
	// then, without Not-Executed. nil: the replica is sound.
	fails func() bool
	// early may send bytes once a request on a connection that has had an answer has come
	// in, while it runs. nil: the replica is sound.
	early func(c net.Conn)

	places           chan struct{}
	running, waiting atomic.Int64
	stamps           atomic.Int64
}

func startReplica(r *replica) error {
	ln, err := net.Listen("tcp", listenHost)
	if err != nil {
		return err
	}
	r.addr, r.places, r.born = ln.Addr().String(), make(chan struct{}, r.slots), time.Now().UnixMilli()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return nil
}

// keepRegistered writes the replica's entry in the store until stop is closed.
func (r *replica) keepRegistered(s *store, every time.Duration, stop chan struct{}) {
	for sequence := 1; ; sequence++ {
		value, _ := json.Marshal(map[string]any{
			"service": r.service, "address": r.addr, "zone": r.zone, "version": "v1", "slots": r.slots, "state": "ready",
			"warmupLeftMs": 0, "sequence": sequence, "born": r.born,
		})
		s.put("servers/"+r.id, value)
		select {
		case <-time.After(every):
		case <-stop:
			return
		}
	}
}

func (r *replica) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for served := 0; ; served++ {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if r.early != nil && served > 0 {
			time.AfterFunc(r.work/2, func() { r.early(c) })
		}
		closing := rand.Float64() < r.closeShare
		if _, err := c.Write(r.answer(req, closing)); err != nil || closing {
			return
		}
	}
}

// answer runs a request, or rejects it, and returns the whole answer.
func (r *replica) answer(req *http.Request, closing bool) []byte {
	id := req.Header.Get("Request-Id")
	if target := req.Header.Get("Target-Instance"); target != "" && target != r.id {
		return fmt.Appendf(nil, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, r.id)
	}
	if r.waiting.Add(1) > int64(r.queue) {
		r.waiting.Add(-1)
		return fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
	}
	r.places <- struct{}{}
	r.waiting.Add(-1)
	r.running.Add(1)
	r.runs.add(run{id, r.id, req.Method, req.RequestURI, time.Now()})
	time.Sleep(r.work)
	r.running.Add(-1)
	<-r.places
	if r.fails != nil && r.fails() {
		return fmt.Appendf(nil, "HTTP/1.1 429 Too Many Requests\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
	}
	body, connection := bodyOf(id), ""
	if r.records > 0 {
		body = recordsOf(r.records)
	}
	if closing {
		connection = "Connection: close\r\n"
	}
	load := strings.Join([]string{strconv.FormatInt(r.running.Load(), 10), strconv.FormatInt(r.waiting.Load(), 10), strconv.Itoa(r.slots)}, ",")
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: %s\r\nServer-Load: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		id, r.stamp(id), load, connection, len(body), body)
}

// stamp returns the receipt of an execution.
func (r *replica) stamp(id string) string {
	return fmt.Sprintf("%s.%s.%x", r.id, id, r.stamps.Add(1))
}

// recordsOf returns records in no order.
func recordsOf(n int) string {
	out := make([]byte, 16*n)
	for i := range out {
		out[i] = byte(rand.IntN(256))
	}
	return string(out)
}

// bodyOf is the body of the answer to a request.
func bodyOf(id string) string { return "the answer to " + id + "\n" }
