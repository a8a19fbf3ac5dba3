package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

func init() { cases["cut"] = playCut }

// The plan of the case.
const (
	cutPerS     = 30.0 // requests a second at each VM
	cutFrom     = 6 * time.Second
	cutFor      = 12 * time.Second
	cutLength   = 20 * time.Second
	cutDeadline = 3 * time.Second
	cutWork     = 60 * time.Millisecond
	// latinShare is the part of the clients that name their user as ISO 8859-1 has it.
	latinShare = 0.3
	latinField = "X-Clerk: J\xfcrgen\r\n"
)

// tries counts the first tries of clients.
type tries struct {
	mu          sync.Mutex
	all, served int
	by          map[string]int // by outcome
}

func (t *tries) add(a answer, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all++
	if ok {
		t.served++
	}
	t.by[outcome(a)]++
}

func (t *tries) share() float64 { return float64(t.served) / float64(max(t.all, 1)) }

func outcome(a answer) string {
	if a.err != nil {
		return "no answer"
	}
	return strconv.Itoa(a.status)
}

// judgeRecover checks RECOVER as the news pages have it, on the first tries from contactMs
// after the cut began until its end.
func judgeRecover(rec *record, at, others *tries) (bool, error) {
	failed, all := at.all-at.served, at.all+others.all
	rec.say("first tries from contactMs after the cut began: %d of %d served at the VMs that are cut (%.2f), %v", at.served, at.all, at.share(), at.by)
	rec.say("at the others: %d of %d served (%.2f), %v", others.served, others.all, others.share(), others.by)
	rec.say("%d of all %d first tries failed at the VMs that are cut; bounds of the rule: %.1f, and two thirds of the others' share", failed, all, 10+float64(all)/50)
	if others.all < 100 || others.share() < 0.5 {
		return false, fmt.Errorf("the other VMs don't serve")
	}
	return at.share() < others.share()*2/3 && float64(failed) > 10+float64(all)/50, nil
}

// eachLink calls fn for each link of the chosen VMs.
func (d *deployment) eachLink(chosen func(v *vm) bool, fn func(*link)) {
	for _, v := range d.vms {
		for _, l := range v.links {
			if chosen(v) {
				fn(l)
			}
		}
	}
}

// playCut has the VMs of one zone partitioned from all replicas for a while. A part of the
// clients send a header field with a byte above 127.
func playCut(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(deskReplicas(9, cutWork), deskConfig())
	if err != nil {
		return false, err
	}
	defer d.close()
	if err := d.startVMs(2); err != nil {
		return false, err
	}
	begin := time.Now()
	isCut := func(v *vm) bool { return v.zone == zones[0] }
	at, others := &tries{by: map[string]int{}}, &tries{by: map[string]int{}}
	plain := &tries{by: map[string]int{}} // at the VMs that are cut, without such a field
	lost := 0                             // ran and were not answered; guarded by plain.mu
	var wg sync.WaitGroup
	for i, v := range d.vms {
		wg.Go(func() {
			for n := 0; time.Since(begin) < cutLength; n++ {
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / cutPerS))
				q := request{id: fmt.Sprintf("%02x%06x%08x", i, n, rand.Uint32()), method: "GET", target: readPrefix + strconv.Itoa(rand.IntN(1000)), deadline: cutDeadline}
				if n%2 == 1 {
					q.method, q.target, q.body = "POST", orderPrefix+strconv.Itoa(n), "order "+strconv.Itoa(n)
				}
				latin := rand.Float64() < latinShare
				if latin {
					q.header = latinField
				}
				wg.Go(func() {
					sent := time.Since(begin)
					a := ask(v.callers, q)
					rec.printf("%s %s sent at %.3f to %s (byte above 127: %v): %s, took %d ms, ran %d times, %v", q.id, q.method, sent.Seconds(), v.name, latin, outcome(a), a.took.Milliseconds(), len(d.runs.of(q.id)), a.err)
					ok := served(q, a)
					switch {
					case sent < cutFrom+contact || sent > cutFrom+cutFor:
						return
					case !isCut(v):
						others.add(a, ok)
						return
					}
					at.add(a, ok)
					if !latin {
						plain.add(a, ok)
						plain.mu.Lock()
						if !ok && len(d.runs.of(q.id)) > 0 {
							lost++
						}
						plain.mu.Unlock()
					}
				})
			}
		})
	}
	if trouble {
		time.Sleep(cutFrom - time.Since(begin))
		rec.say("the VMs of %s are partitioned from all replicas: connections are reset, new ones refused", zones[0])
		d.eachLink(isCut, (*link).cut)
		time.Sleep(cutFrom + cutFor - time.Since(begin))
		d.eachLink(isCut, (*link).heal)
		rec.say("the partition has healed")
	}
	wg.Wait()
	rec.say("at the VMs that are cut, of the requests without such a field: %d of %d served (%.2f), %v; %d had run and got no answer of a replica", plain.served, plain.all, plain.share(), plain.by, lost)
	return judgeRecover(rec, at, others)
}
