package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is one client attempt.
type request struct {
	id, method, target string
	header             string // further fields
	body               string
	deadline           time.Duration
}

// answer is how a client attempt ended.
type answer struct {
	status int // 0: none
	stamp  string
	header http.Header
	body   string
	err    error
	took   time.Duration
}

// ask sends a request on a new connection and reads the answer.
func ask(addr string, q request) answer {
	begin := time.Now()
	a := func() (a answer) {
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			return answer{err: err}
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(begin.Add(q.deadline))
		head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n%s", q.method, q.target, host, q.id, q.deadline.Milliseconds(), q.header)
		if q.method != http.MethodGet {
			head += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
		}
		if _, err := io.WriteString(c, head+"\r\n"+q.body); err != nil {
			return answer{err: err}
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return answer{err: err}
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return answer{err: err}
		}
		return answer{status: resp.StatusCode, stamp: resp.Header.Get("Response-Stamp"), header: resp.Header, body: string(body)}
	}()
	a.took = time.Since(begin)
	return a
}

// served reports whether a client attempt got the answer of a replica to its own request.
func served(q request, a answer) bool {
	return a.err == nil && a.status == http.StatusOK && a.stamp != "" && a.body == bodyOf(q.id)
}

// gathered reports whether a query got an answer with enough parts.
func gathered(a answer, needed int) bool {
	stamps := strings.FieldsFunc(strings.Join(a.header.Values("Part-Stamps"), ","), func(c rune) bool { return c == ',' })
	return a.err == nil && a.status == http.StatusOK && len(stamps) >= needed
}
