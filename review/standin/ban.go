package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["ban"] = playBan }

// The trouble of the case: all replicas reset the connection of 0.4 of their requests
// for 6.5 s, and are sound otherwise.
const (
	greyCopies = 9 // all
	greyShare  = 0.4
	greyFrom   = 3 * time.Second
	greyFor    = 6500 * time.Millisecond
	steadyFrom = 25 * time.Second // 15 s after the end of the trouble
	banTraffic = 50 * time.Second
	banPerS    = 45.0 // requests a second on each route
)

// counts are the requests on a route in steady state.
type counts struct{ sent, served int }

// playBan has clients ask for different pages on a route of the first version, and for one
// page on a route that was added later. With trouble, replicas fail part of their
// requests for a while.
func playBan(d *deployment, trouble bool) (int, error) {
	d.direct = true
	if err := startDesk(d, 3, 9, 20*time.Millisecond, []string{}); err != nil {
		return cantRun, err
	}
	later := deskRoute("r-later", "/nieuws9/", "idempotent", []string{})
	d.store.put("op/config", configText(2, []map[string]any{
		deskRoute("r-read", "/goka902/", "idempotent", []string{}), deskRoute("r-order", "/order77/", "non_idempotent", []string{}), later,
	}, []map[string]any{service("kafi81c", 46)}))
	d.record.printf("version 2, which adds the route /nieuws9/, is acknowledged")
	time.Sleep(5 * time.Second)
	var grey atomic.Bool
	var failed atomic.Int64
	for i, r := range d.replicas {
		if i >= greyCopies {
			continue
		}
		r.spoil = func(w http.ResponseWriter, req *http.Request) bool {
			if !grey.Load() || rand.Float64() >= greyShare {
				return false
			}
			failed.Add(1)
			if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}
			return true
		}
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var first, added counts
	begin := time.Now()
	ask := func(c *counts, v *vm, target string) {
		q := request{id: newID(), method: http.MethodGet, target: target, deadline: 3 * time.Second}
		steady := time.Since(begin) >= steadyFrom
		a := send(v.callers, &q)
		mu.Lock()
		defer mu.Unlock()
		d.record.printf("%s %s to %s: status %d, retry-after %q", q.id, q.target, v.name, a.status, a.header.Get("Retry-After"))
		if c == nil || !steady {
			return
		}
		c.sent++
		if a.status == http.StatusOK {
			c.served++
		}
	}
	time.AfterFunc(greyFrom, func() {
		grey.Store(trouble)
		d.record.printf("%d of %d replicas fail part of their requests: %v", greyCopies, len(d.replicas), trouble)
	})
	time.AfterFunc(greyFrom+greyFor, func() {
		grey.Store(false)
		d.record.printf("all replicas are sound again")
	})
	for n := 0; time.Since(begin) < banTraffic; n++ {
		v := d.vms[n%len(d.vms)]
		wg.Go(func() { ask(&first, v, fmt.Sprintf("/goka902/%x", n)) })
		wg.Go(func() { ask(&added, v, "/nieuws9/2f") })
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / banPerS))
	}
	wg.Wait()
	d.record.summary("%d requests failed by replicas; in steady state, from %v on: the first route served %d of %d, the route added later %d of %d",
		failed.Load(), steadyFrom, first.served, first.sent, added.served, added.sent)
	if added.sent >= 20 && float64(added.served)*float64(first.sent) < 0.25*float64(first.served)*float64(added.sent) {
		return broken, nil
	}
	return held, nil
}
