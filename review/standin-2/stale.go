package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

func init() { cases["stale"] = playStale }

// The plan of the case.
const (
	stalePerS     = 10.0        // requests a second at each VM
	staleFirst    = time.Second // of a version after which VMs read through relays
	staleChange   = 5 * time.Second
	staleLength   = 18 * time.Second
	staleDeadline = 3 * time.Second
	staleWork     = 20 * time.Millisecond
	configApply   = 5 * time.Second
	laterService  = "nyka74d" // to which version 5 moves the routes
)

// staleConfig is a version of the configuration that sends requests to one of two services.
func staleConfig(version int, to string) []byte {
	c := deskConfig()
	service := c["services"].([]any)[0].(map[string]any)
	later := map[string]any{}
	for k, v := range service {
		later[k] = v
	}
	later["name"] = laterService
	c["services"] = []any{service, later}
	c["version"] = version
	for _, r := range c["routes"].([]any) {
		r.(map[string]any)["service"] = to
	}
	text, _ := json.Marshal(c)
	return text
}

// playStale has a configuration follow another one. With trouble, the operator takes a zone
// out of service in the same write.
func playStale(rec *record, trouble bool) (bool, error) {
	replicas := deskReplicas(12, staleWork)
	for i, r := range replicas {
		if i >= 6 {
			r.service = laterService
		}
	}
	d, err := newDeployment(replicas, deskConfig())
	if err != nil {
		return false, err
	}
	defer d.close()
	d.store.put("op/config", staleConfig(3, serviceName))
	if err := d.startVMsIn(7, 1, 1); err != nil {
		return false, err
	}
	begin := time.Now()
	var changed time.Time
	var mu sync.Mutex
	all, good, bad := 0, 0, 0
	late := map[string]int{} // by VM
	service := map[string]string{}
	for _, r := range replicas {
		service[r.id] = r.service
	}
	var wg sync.WaitGroup
	for i, v := range d.vms {
		wg.Go(func() {
			for n := 0; time.Since(begin) < staleLength; n++ {
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / stalePerS))
				q := request{id: fmt.Sprintf("%02x%06x%08x", i, n, rand.Uint32()), method: "POST", target: orderPrefix + strconv.Itoa(n), body: "order", deadline: staleDeadline}
				wg.Go(func() {
					sent := time.Now()
					a := ask(v.callers, q)
					mu.Lock()
					defer mu.Unlock()
					all++
					if served(q, a) {
						good++
					}
					for _, r := range d.runs.of(q.id) {
						rec.printf("%s sent at %.3f to %s, run by %s of %s, %s", q.id, sent.Sub(begin).Seconds(), v.name, r.replica, service[r.replica], outcome(a))
						if !changed.IsZero() && sent.Sub(changed) > configApply && service[r.replica] != laterService {
							bad++
							late[v.name]++
						}
					}
				})
			}
		})
	}
	time.Sleep(staleFirst - time.Since(begin))
	d.store.put("op/config", staleConfig(4, serviceName))
	rec.say("version 4 is acknowledged: the route stays as it is")
	time.Sleep(staleChange - time.Since(begin))
	config := item{Key: "op/config", Value: staleConfig(5, laterService)}
	mu.Lock()
	if trouble {
		d.store.putAll(item{Key: "op/evacuate/" + zones[2], Value: []byte(`{}`)}, config)
	} else {
		d.store.putAll(config)
	}
	changed = time.Now()
	mu.Unlock()
	rec.say("version 5 is acknowledged: the routes go to %s", laterService)
	wg.Wait()
	for _, v := range d.vms {
		if late[v.name] > 0 {
			rec.say("%s: %d requests that were sent later than configApplyMs ran at the service of version 4", v.name, late[v.name])
		}
	}
	rec.say("%d requests, %d served, %d run by the older version, the last ones %.0f s after the new one", all, good, bad, (staleLength - staleChange).Seconds())
	if all < 500 || good < all/2 {
		return false, fmt.Errorf("the requests are not served")
	}
	return bad > 0, nil
}
