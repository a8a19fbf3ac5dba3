package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// request is one client attempt.
type request struct {
	id, method, target string
	body               []byte
	deadline           time.Duration
	leaveAfter         time.Duration // the client closes its connection then; 0: it stays
}

// answer is how a client attempt ended.
type answer struct {
	sent   time.Time
	took   time.Duration
	status int // 0: none
	header http.Header
	body   []byte
	left   bool // the client left before
	// unread states that the connection could not be opened, so that nothing was sent.
	unread bool
}

// send makes a client attempt at a VM, on a connection of its own, which is kept open until
// the answer is complete.
func send(addr string, q *request) answer {
	a := answer{sent: time.Now()}
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		a.unread = true
		return a
	}
	defer func() { _ = c.Close() }()
	limit := q.deadline + 500*time.Millisecond
	if q.leaveAfter > 0 {
		limit = q.leaveAfter
	}
	_ = c.SetDeadline(time.Now().Add(limit))
	var buf bytes.Buffer
	fmt.Fprintf(&buf, "%s %s HTTP/1.1\r\nHost: leno12.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.target, q.id, q.deadline.Milliseconds())
	if q.method == http.MethodPost {
		fmt.Fprintf(&buf, "Content-Length: %d\r\n", len(q.body))
	}
	buf.WriteString("\r\n")
	buf.Write(q.body)
	if _, err := c.Write(buf.Bytes()); err != nil {
		a.left = q.leaveAfter > 0
		a.took = time.Since(a.sent)
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.method})
	if err == nil {
		if a.body, err = io.ReadAll(resp.Body); err == nil {
			a.status, a.header = resp.StatusCode, resp.Header
		}
	}
	a.took = time.Since(a.sent)
	a.left = a.status == 0 && q.leaveAfter > 0
	return a
}

// tally counts answers by status.
type tally struct {
	mu sync.Mutex
	n  map[string]int
}

func (t *tally) add(a answer) {
	key := fmt.Sprint(a.status)
	switch {
	case a.left:
		key = "left"
	case a.unread:
		key = "refused"
	case a.status == 0:
		key = "none"
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.n == nil {
		t.n = map[string]int{}
	}
	t.n[key]++
}

func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprint(t.n)
}

var lastID atomic.Uint64

// newID returns a request id.
func newID() string { return fmt.Sprintf("r%08d", lastID.Add(1)) }
