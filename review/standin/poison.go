package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["poison"] = playPoison }

// The times of the case. contact is the site's contactMs.
const (
	contact     = 5 * time.Second
	poisonTime  = 30 * time.Second
	poisonEvery = 700 * time.Millisecond
)

// playPoison sends a request again and again, to one VM after the other. With trouble it
// crashes each replica that runs it, in the middle of the answer.
func playPoison(d *deployment, trouble bool) (int, error) {
	d.direct = true
	if err := startDesk(d, 3, 9, 10*time.Millisecond, []string{}); err != nil {
		return cantRun, err
	}
	for _, r := range d.replicas {
		r.deadly = func(req *http.Request) bool { return trouble && strings.HasSuffix(req.URL.Path, "/deadly") }
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	var deadly, others tally
	begin := time.Now()
	lastDeadly := begin
	ask := func(t *tally, v *vm, target string) {
		q := request{id: newID(), method: http.MethodGet, target: target, deadline: 3 * time.Second}
		mu.Lock()
		sentAt[q.id] = time.Now()
		mu.Unlock()
		a := send(v.callers, &q)
		t.add(a)
		d.record.printf("%s %s to %s: status %d", q.id, q.target, v.name, a.status)
	}
	for n := 0; time.Since(begin) < poisonTime; n++ {
		v := d.vms[n%len(d.vms)]
		if time.Since(lastDeadly) >= poisonEvery {
			lastDeadly = time.Now()
			wg.Go(func() { ask(&deadly, v, "/goka902/deadly") })
		}
		wg.Go(func() { ask(&others, v, fmt.Sprintf("/goka902/%x", n)) })
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	var crashes []time.Time
	late := map[string]bool{}
	for _, x := range d.allRuns() {
		if !strings.HasSuffix(x.url, "/deadly") {
			continue
		}
		crashes = append(crashes, x.at)
		d.record.printf("replica %s ran %s at %s", x.replica, x.id, d.record.at(x.at))
		if len(crashes) > 3 && sentAt[x.id].Sub(crashes[2]) > contact {
			late[x.id] = true
		}
	}
	d.record.summary("answers to the request %v, to others %v; it ran %d times; %d tries, sent later than contactMs after the third time, reached replicas", &deadly, &others, len(crashes), len(late))
	if trouble && len(late) > 3 {
		return broken, nil
	}
	return held, nil
}
