package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["twice"] = func(rec *record, trouble bool) (bool, error) { return playExtra(rec, trouble, extraRejection, isTwice) }
	// Bytes that look like a success: the fault that review/3 shows in another way.
	cases["extra"] = func(rec *record, trouble bool) (bool, error) { return playExtra(rec, trouble, extraSuccess, isMixed) }
}

// The bytes that a faulty replica sends beyond its answers. They name no request and no
// receipt.
const (
	extraSuccess   = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n\r\nok\n"
	extraRejection = "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)

// The plan of the case.
const (
	extraPerS     = 40.0 // requests a second at each VM
	extraFrom     = 4 * time.Second
	extraFor      = 5 * time.Second
	extraLength   = 14 * time.Second
	extraReplicas = 5 // of 9: the largest share that the sites name is 0.6
	extraShare    = 0.03
	extraWork     = 60 * time.Millisecond
)

// broken states how an attempt of a client broke a rule; "": it did not.
type broken func(q request, a answer, of []run) string

// isMixed states why the answer to a request is none of a replica to it.
func isMixed(q request, a answer, _ []run) string {
	switch {
	case a.err != nil || a.status < 200 || a.status > 299:
		return ""
	case a.stamp == "":
		return fmt.Sprintf("a success without the replica's Response-Stamp, body %q", a.body)
	case a.body != bodyOf(q.id):
		return fmt.Sprintf("a success with another body, %q", a.body)
	}
	return ""
}

// isTwice states that a request that must not be repeated ran more than once.
func isTwice(q request, _ answer, of []run) string {
	if q.method == http.MethodGet || len(of) < 2 {
		return ""
	}
	return fmt.Sprintf("ran %d times, at %s and %s", len(of), of[0].replica, of[1].replica)
}

// playExtra sends requests that must not be repeated, and some that may. With trouble, part
// of the replicas send additional bytes after some of their complete answers, at the point
// where the next answer is expected.
func playExtra(rec *record, trouble bool, extra string, check broken) (bool, error) {
	var faulty atomic.Bool
	var sent atomic.Int64
	replicas := deskReplicas(9, extraWork)
	for i, r := range replicas {
		if i >= extraReplicas {
			continue
		}
		r.early = func(c net.Conn) {
			if faulty.Load() && rand.Float64() < extraShare {
				sent.Add(1)
				rec.printf("%s sends additional bytes: %q", r.id, extra)
				_, _ = c.Write([]byte(extra))
			}
		}
	}
	d, err := newDeployment(replicas, deskConfig())
	if err != nil {
		return false, err
	}
	defer d.close()
	if err := d.startVMs(1); err != nil {
		return false, err
	}
	begin := time.Now()
	var mu sync.Mutex
	type attempt struct {
		q request
		a answer
	}
	var attempts []attempt
	var wg sync.WaitGroup
	for i, v := range d.vms {
		wg.Go(func() {
			for n := 0; time.Since(begin) < extraLength; n++ {
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / extraPerS))
				q := request{id: fmt.Sprintf("%02x%06x%08x", i, n, rand.Uint32()), method: "POST", target: orderPrefix + strconv.Itoa(n), body: "order " + strconv.Itoa(n), deadline: routeDeadline}
				if n%4 == 0 {
					q.method, q.target, q.body = "GET", readPrefix+strconv.Itoa(n), ""
				}
				wg.Go(func() {
					at := time.Since(begin)
					a := ask(v.callers, q)
					rec.printf("%s %s sent at %.3f to %s: %s, stamp %q, body %q, ran %d times, %v", q.id, q.method, at.Seconds(), v.name, outcome(a), a.stamp, a.body, len(d.runs.of(q.id)), a.err)
					mu.Lock()
					defer mu.Unlock()
					attempts = append(attempts, attempt{q, a})
				})
			}
		})
	}
	if trouble {
		time.Sleep(extraFrom - time.Since(begin))
		faulty.Store(true)
		time.Sleep(extraFrom + extraFor - time.Since(begin))
		faulty.Store(false)
	}
	wg.Wait()
	time.Sleep(time.Second)
	good, bad := 0, 0
	for _, t := range attempts {
		if served(t.q, t.a) {
			good++
		}
		if why := check(t.q, t.a, d.runs.of(t.q.id)); why != "" {
			bad++
			rec.say("%s %s: %s; the client got %s", t.q.method, t.q.id, why, outcome(t.a))
		}
	}
	rec.say("%d requests, %d served, %d times additional bytes, the rule broken %d times", len(attempts), good, sent.Load(), bad)
	if len(attempts) < 500 || good < len(attempts)/2 {
		return false, fmt.Errorf("the requests are not served")
	}
	return bad > 0, nil
}
