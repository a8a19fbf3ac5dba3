package fleetrollout

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/rollout"
)

// request is one in flight.
type request struct {
	vm       *vmModel
	process  time.Time         // start of the process that sent it
	exposure *rollout.Exposure // nil: sent before the order
	class    rollout.Class
	route    string
	group    uint8
	bad      bool
	fails    bool
	sent     time.Time
	done     time.Time
}

type requestHeap []*request

func (h requestHeap) Len() int           { return len(h) }
func (h requestHeap) Less(i, j int) bool { return h[i].done.Before(h[j].done) }
func (h requestHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *requestHeap) Push(x any)        { *h = append(*h, x.(*request)) }
func (h *requestHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// routes of the requests, with their parts of the traffic.
var routeShares = map[string]float64{"often": 0.6, "sometimes": 0.3, "seldom": 0.1}

func (w *world) drawRoute() string {
	x := w.rng.Float64()
	for _, name := range []string{"often", "sometimes", "seldom"} {
		if x -= routeShares[name]; x < 0 {
			return name
		}
	}
	return "seldom"
}

// traffic ends the requests that are due and sends those of a step.
func (w *world) traffic(t, step time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for len(w.inFlight) > 0 && !w.inFlight[0].done.After(now) {
		w.end(heap.Pop(&w.inFlight).(*request))
	}
	rate := w.rate
	for _, c := range w.rates {
		if t >= c.at {
			rate = w.rate * c.factor
		}
	}
	for x := rate * step.Seconds(); x > 0; x-- {
		if x >= 1 || w.rng.Float64() < x {
			w.send(now)
		}
	}
}

// send sends one request. w.mu is held.
func (w *world) send(now time.Time) {
	v := w.vmList[w.rng.IntN(len(w.vmList))]
	if v.frozen > 0 {
		return
	}
	r := &request{vm: v, process: v.startedAt, exposure: v.exposure, route: w.drawRoute(), sent: now}
	if v.exposure != nil {
		r.class = v.exposure.Assign(now, r.route)
	}
	inTime := now.Sub(w.begin) < w.duration
	if inTime {
		w.all++
	}
	work := time.Duration(w.rng.ExpFloat64() * float64(20*time.Millisecond))
	if r.class == rollout.NewVersion {
		v.exposure.CountSent(r.route)
		w.newSent = append(w.newSent, sentRequest{now, v.index})
		if inTime {
			w.got++
		}
		r.group = uint8(w.rng.IntN(6))
		if w.affects(now, r) {
			r.bad = true
			r.fails = w.fault.slow == 0
			if !r.fails {
				work = time.Duration(float64(work) * w.fault.slow)
			}
		}
	} else {
		v.oldInFlight++
	}
	w.newRecent = append(w.newRecent, r.class == rollout.NewVersion)
	if len(w.newRecent) > 50 {
		w.newRecent = w.newRecent[1:]
	}
	r.done = now.Add(work + 2*networkDelay)
	heap.Push(&w.inFlight, r)
}

func (w *world) affects(now time.Time, r *request) bool {
	f := w.fault
	recent := 0
	for _, isNew := range w.newRecent {
		if isNew {
			recent++
		}
	}
	return f.share > 0 && now.Sub(w.begin) >= f.after && (f.route == "" || f.route == r.route) &&
		float64(recent) >= f.loaded*float64(len(w.newRecent)) && w.rng.Float64() < f.share
}

// end ends a request. w.mu is held.
func (w *world) end(r *request) {
	if r.bad {
		w.bad = append(w.bad, r.done)
	}
	v := r.vm
	if v.startedAt != r.process {
		return // sent by a former process
	}
	if r.class == rollout.OldVersion {
		v.oldInFlight--
	}
	if r.exposure == nil || v.exposure != r.exposure {
		return // sent before the order
	}
	v.exposure.CountAnswered()
	key := fmt.Sprint(r.class, r.route, r.group)
	row := v.rows[key]
	if row == nil {
		row = &rollout.RolloutStat{Class: r.class, Route: r.route, Group: r.group}
		v.rows[key] = row
	}
	took := r.done.Sub(r.sent)
	row.Sums.Requests++
	row.Sums.LatencySum += took
	bucket := 0
	for b := took / rollout.BucketUnit; b > 0; b /= 2 {
		bucket++
	}
	row.Sums.LatencyBuckets[min(bucket, rollout.Buckets-1)]++
	if r.fails {
		row.Sums.Errors++
	}
}
