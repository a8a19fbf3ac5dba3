package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["grey"] = playGrey }

// The plan of the case.
const (
	greyPerS   = 40.0 // requests a second at each VM
	greyFrom   = 4 * time.Second
	greyFor    = 5 * time.Second
	greyLength = 14 * time.Second
	greyShare  = 0.4 // of its requests that the replica fails
	greyWork   = 60 * time.Millisecond
)

// playGrey sends requests that must not be repeated. With trouble, one replica of nine fails
// part of its requests after it has run them, with a status that is no proof that it has not.
func playGrey(rec *record, trouble bool) (bool, error) {
	var grey atomic.Bool
	var failed atomic.Int64
	replicas := deskReplicas(9, greyWork)
	replicas[0].fails = func() bool {
		if !grey.Load() || rand.Float64() >= greyShare {
			return false
		}
		failed.Add(1)
		return true
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
	all, good, bad := 0, 0, 0
	var wg sync.WaitGroup
	for i, v := range d.vms {
		wg.Go(func() {
			for n := 0; time.Since(begin) < greyLength; n++ {
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / greyPerS))
				q := request{id: fmt.Sprintf("%02x%06x%08x", i, n, rand.Uint32()), method: "POST", target: orderPrefix + strconv.Itoa(n), body: "order " + strconv.Itoa(n), deadline: routeDeadline}
				wg.Go(func() {
					at := time.Since(begin)
					a := ask(v.callers, q)
					ran := d.runs.of(q.id)
					rec.printf("%s %s sent at %.3f to %s: %s, ran %d times, %v", q.id, q.method, at.Seconds(), v.name, outcome(a), len(ran), a.err)
					mu.Lock()
					defer mu.Unlock()
					all++
					if served(q, a) {
						good++
					}
					if promise := a.status == 429 || a.status == 503 || a.status == 408 || a.status == 421; promise && len(ran) > 0 {
						bad++
						rec.say("%s ran at %s; the client got %d", q.id, ran[0].replica, a.status)
					}
				})
			}
		})
	}
	if trouble {
		time.Sleep(greyFrom - time.Since(begin))
		grey.Store(true)
		time.Sleep(greyFrom + greyFor - time.Since(begin))
		grey.Store(false)
	}
	wg.Wait()
	rec.say("%d requests, %d served, %d failed by the replica after it had run them, %d answered with a promise although they had run", all, good, failed.Load(), bad)
	if all < 500 || good < all/2 {
		return false, fmt.Errorf("the requests are not served")
	}
	return bad > 0, nil
}
