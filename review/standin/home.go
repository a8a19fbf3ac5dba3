package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["home"] = playHome }

// playHome sends requests with bodies, on a route whose only home is the first region, to the
// VMs of that region while these are partitioned from all replicas.
func playHome(d *deployment, trouble bool) (int, error) {
	home := regionOf(zones[0])
	if err := startDesk(d, 6, 9, 20*time.Millisecond, []string{home}); err != nil {
		return cantRun, err
	}
	var wg sync.WaitGroup
	var answers tally
	var mu sync.Mutex
	connectedTo := map[string]*vm{}
	begin := time.Now()
	for i, v := range d.inZone(zones[0]) {
		wg.Go(func() {
			for n := 0; time.Since(begin) < 12*time.Second; n++ {
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / 20))
				q := request{id: fmt.Sprintf("r%d%06d", i, n), method: http.MethodPost, target: "/goka902/2f", deadline: 3 * time.Second}
				q.body = []byte("customer record of " + q.id)
				mu.Lock()
				connectedTo[q.id] = v
				mu.Unlock()
				wg.Go(func() {
					a := send(v.callers, &q)
					answers.add(a)
					d.record.printf("%s to %s: status %d after %v", q.id, v.name, a.status, a.took.Round(time.Millisecond))
				})
			}
		})
	}
	time.Sleep(3 * time.Second)
	if trouble {
		d.record.printf("the VMs of %s are partitioned from all replicas", zones[0])
		d.hangReplicas(d.inZone(zones[0]))
	}
	time.Sleep(8 * time.Second)
	if trouble {
		d.healReplicas(d.inZone(zones[0]))
		d.record.printf("the partition has healed")
	}
	wg.Wait()
	wrong := 0
	for _, x := range d.allRuns() {
		via := d.vmNamed(x.via)
		if via == nil || via == connectedTo[x.id] || regionOf(via.zone) == home {
			continue
		}
		if wrong++; wrong <= 10 {
			d.record.summary("%s was sent by a client in %s to %s; its body went on to %s in %s, which is no home, and from there to replica %s", x.id, home, connectedTo[x.id].name, via.name, regionOf(via.zone), x.replica)
		}
	}
	d.record.summary("answers %v; %d bodies at machines of regions that are no homes", &answers, wrong)
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}
