package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["leaving"] = playLeaving }

// The times of the case. drainTime is the site's drainMs.
const (
	drainTime  = 4 * time.Second
	cutFor     = 12 * time.Second
	leaveAfter = 100 * time.Millisecond    // of the cut
	stayFor    = drainTime + 7*time.Second // a leaving replica, after its report
)

// playLeaving has a replica leave as planned: it reports that it is draining, says so in all of
// its answers, goes on for some seconds beyond drainMs, and ends. With trouble, one VM is cut off from
// the store and all other VMs meanwhile.
func playLeaving(d *deployment, trouble bool) (int, error) {
	if err := startDesk(d, 3, 3, 300*time.Millisecond, []string{}); err != nil {
		return cantRun, err
	}
	cut := d.vms[0]
	leaver := d.replicas[0]
	var mu sync.Mutex
	var firstWord time.Time // when the VM passed on the first answer that says so
	sentAt, ended := map[string]time.Time{}, map[string]answer{}
	var answers tally
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i, v := range d.vms {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.ExpFloat64() * float64(time.Second) / 10)):
				}
				q := request{id: fmt.Sprintf("r%d%06d", i, n), method: http.MethodPost, target: orderTarget, body: []byte("order"), deadline: 3 * time.Second}
				wg.Go(func() {
					mu.Lock()
					sentAt[q.id] = time.Now()
					mu.Unlock()
					a := send(v.callers, &q)
					answers.add(a)
					d.record.printf("%s to %s: status %d, Server-Leaving %q, of %s", q.id, v.name, a.status, a.header.Get("Server-Leaving"), a.header.Get("Response-Stamp"))
					mu.Lock()
					defer mu.Unlock()
					ended[q.id] = a
					if v == cut && strings.HasPrefix(a.header.Get("Response-Stamp"), leaver.id+".") && a.header.Get("Server-Leaving") != "" && firstWord.IsZero() {
						firstWord = time.Now()
					}
				})
			}
		})
	}
	time.Sleep(4 * time.Second)
	if trouble {
		d.record.printf("%s is cut off from the store and all other VMs", cut.name)
		links := cut.systemLinks()
		for _, l := range links {
			l.hang()
		}
		time.AfterFunc(cutFor, func() {
			for _, l := range links {
				l.heal()
			}
			d.record.printf("the cut has healed")
		})
	}
	time.Sleep(leaveAfter)
	leaver.leave(d.store)
	d.record.printf("replica %s reports that it is draining; the store has accepted it", leaver.id)
	time.Sleep(stayFor)
	leaver.end(d.store)
	d.record.printf("replica %s has ended", leaver.id)
	time.Sleep(4 * time.Second)
	close(stop)
	wg.Wait()
	late, lost := 0, 0
	for _, x := range d.allRuns() {
		if x.replica != leaver.id || x.via != cut.name || firstWord.IsZero() || sentAt[x.id].Sub(firstWord) <= drainTime {
			continue
		}
		late++
		if a := ended[x.id]; a.status != http.StatusOK {
			lost++
		}
		if late <= 10 {
			d.record.summary("%s, sent %.1f s after %s passed on an answer with Server-Leaving, reached %s: the client got %d", x.id, sentAt[x.id].Sub(firstWord).Seconds(), cut.name, leaver.id, ended[x.id].status)
		}
	}
	d.record.summary("answers %v; %d orders reached the leaving replica later than drainMs after it had said so, %d of them failed at its end", &answers, late, lost)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}

// leave makes the replica report that it is draining, and say so in its answers.
func (r *replica) leave(s *store) {
	r.mu.Lock()
	r.state, r.leaving = "draining", true
	r.mu.Unlock()
	r.beat(s)
}

// end ends the replica for good and removes its registration.
func (r *replica) end(s *store) {
	r.mu.Lock()
	r.silent = true
	server := r.server
	r.mu.Unlock()
	_ = server.Close()
	s.remove("servers/" + r.id)
}
