package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

func init() { cases["live"] = playLive }

// The plan of the case.
const (
	livePerS     = 80.0 // requests a second at each VM
	liveFrom     = 6 * time.Second
	liveFor      = 12 * time.Second
	liveLength   = 20 * time.Second
	liveDeadline = 3 * time.Second
	liveWork     = 60 * time.Millisecond
	// liveCloses is the part of the answers with which a replica ends the connection.
	liveCloses = 0.025
)

// playLive has the VMs of one zone partitioned from all replicas for a while, so that their
// connections live on and new ones are refused.
func playLive(rec *record, trouble bool) (bool, error) {
	replicas := deskReplicas(9, liveWork)
	for _, r := range replicas {
		r.closeShare = liveCloses
	}
	d, err := newDeployment(replicas, deskConfig())
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
	var wg sync.WaitGroup
	for i, v := range d.vms {
		wg.Go(func() {
			for n := 0; time.Since(begin) < liveLength; n++ {
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / livePerS))
				q := request{id: fmt.Sprintf("%02x%06x%08x", i, n, rand.Uint32()), method: "GET", target: readPrefix + strconv.Itoa(rand.IntN(1000)), deadline: liveDeadline}
				wg.Go(func() {
					sent := time.Since(begin)
					a := ask(v.callers, q)
					rec.printf("%s sent at %.3f to %s: %s, took %d ms, %v", q.id, sent.Seconds(), v.name, outcome(a), a.took.Milliseconds(), a.err)
					switch {
					case sent < liveFrom+contact || sent > liveFrom+liveFor:
					case isCut(v):
						at.add(a, served(q, a))
					default:
						others.add(a, served(q, a))
					}
				})
			}
		})
	}
	if trouble {
		time.Sleep(liveFrom - time.Since(begin))
		rec.say("the VMs of %s are partitioned from all replicas: connections live on, new ones are refused", zones[0])
		d.eachLink(isCut, (*link).refuse)
		time.Sleep(liveFrom + liveFor - time.Since(begin))
		d.eachLink(isCut, (*link).heal)
		rec.say("the partition has healed")
	}
	wg.Wait()
	return judgeRecover(rec, at, others)
}
