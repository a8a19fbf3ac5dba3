package model_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/upstreamlimit"
	"github.com/sapphirewall/sapphirewall/internal/decide/vmcount"
)

// The platform's bound on requests to an upstream that names a limit.
const (
	namedWindow  = 4 * time.Second
	namedFactor  = 1.5
	namedSlack   = 5.0
	namedNotice  = 500 * time.Millisecond
	namedContact = 4 * time.Second
)

var limitSeeds = flag.Uint64("limit-seeds", 25, "schedules of limits that upstreams name, for each number of VMs")

const limitStep = 10 * time.Millisecond

// limitVM is a VM that sends to the upstream.
type limitVM struct {
	upstreamlimit.VM
	limit    *upstreamlimit.Limit
	ranking  *upstreamlimit.Ranking // of the VMs that it counts
	told     time.Time              // first answer with a limit; zero: none
	excused  time.Time              // until when its requests don't count
	frozen   time.Time              // until when it does nothing
	cut      bool                   // from the other VMs
	exchange time.Time              // of its last exchange
	changed  time.Time              // when its limit last changed
	started  time.Time              // its process
	learnsAt time.Time              // when it counts the VMs again; zero: never
}

// limitEvent is an arrival at the upstream or its answer.
type limitEvent struct {
	at, sent time.Time
	vm       *limitVM
	reserved bool
	answer   bool
	rate     float64 // in an answer
}

// limitWorld is VMs, one upstream that names limits, and what is on its way.
type limitWorld struct {
	rng   *rand.Rand
	now   time.Time
	vms   []*limitVM
	rate  float64 // that the upstream names; 0: none
	named time.Time
	rates []struct { // former rates and when they ended
		rate float64
		end  time.Time
	}
	demand   float64 // requests a second of each VM
	events   []limitEvent
	counted  []time.Time // arrivals that the bound counts
	executed int
	violated string
}

func newLimitWorld(seed uint64, n int) *limitWorld {
	w := &limitWorld{rng: rand.New(rand.NewPCG(seed, 30)), now: time.Unix(1_000_000, 0)}
	for i := range n {
		w.vms = append(w.vms, &limitVM{VM: upstreamlimit.VM{Name: fmt.Sprint("vm-", i), Near: i%3 == 0}, limit: &upstreamlimit.Limit{}})
	}
	for _, v := range w.vms {
		w.learnVMs(v)
	}
	return w
}

// learnVMs lets a VM count all VMs.
func (w *limitWorld) learnVMs(v *limitVM) {
	var known []upstreamlimit.VM
	for _, o := range w.vms {
		known = append(known, o.VM)
	}
	v.ranking = upstreamlimit.Rank("upstream", v.Name, known)
	w.share(v)
}

func (w *limitWorld) share(v *limitVM) {
	rate, limited := v.limit.Rate()
	if !limited {
		return
	}
	share := v.ranking.ShareOf(rate)
	if w.now.Sub(v.started) < upstreamlimit.JoinTime {
		share = share.Joining()
	}
	v.limit.SetShare(w.now, share)
}

// name makes the upstream name another rate.
func (w *limitWorld) name(rate float64) {
	w.rates = append(w.rates, struct {
		rate float64
		end  time.Time
	}{w.rate, w.now})
	if w.rate == 0 {
		w.named, w.counted = w.now, nil
		for _, v := range w.vms {
			v.told = time.Time{}
		}
	}
	w.rate = rate
}

// highestRate is the highest rate that counts within a window that ends now; unlimited if
// none was named at some time of it. A lower rate counts, like the first one, from
// namedContact after it is named.
func (w *limitWorld) highestRate() float64 {
	highest := w.rate
	for _, r := range w.rates {
		if w.now.Sub(r.end) < namedWindow+namedContact {
			highest = max(highest, r.rate)
			if r.rate == 0 {
				return math.Inf(1)
			}
		}
	}
	return highest
}

// run lets time pass.
func (w *limitWorld) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(limitStep) {
		w.deliver()
		for _, v := range w.vms {
			if w.now.Before(v.frozen) {
				continue
			}
			for range w.poisson(w.demand * limitStep.Seconds()) {
				w.send(v)
			}
			w.exchangeLimits(v)
			w.recount(v)
		}
	}
}

func (w *limitWorld) poisson(mean float64) int {
	n := 0
	for p := w.rng.Float64(); p > math.Exp(-mean); n++ {
		p *= w.rng.Float64()
	}
	return n
}

func (w *limitWorld) between(lo, hi int) time.Duration {
	return time.Duration(lo+w.rng.IntN(hi-lo)) * time.Millisecond
}

// send makes a VM send a request if its share allows it. One in ten waits for a
// connection.
func (w *limitWorld) send(v *limitVM) {
	if !v.limit.Allows(w.now, w.rng.IntN(2)) {
		return
	}
	_, limited := v.limit.Rate()
	if limited {
		v.limit.Reserve(w.now)
	}
	wait := time.Duration(0)
	if w.rng.IntN(10) == 0 {
		wait = w.between(0, 1000)
	}
	w.schedule(limitEvent{at: w.now.Add(wait + w.between(1, 20)), sent: w.now.Add(wait), vm: v, reserved: limited})
}

func (w *limitWorld) schedule(e limitEvent) {
	i := sort.Search(len(w.events), func(i int) bool { return w.events[i].at.After(e.at) })
	w.events = append(w.events, limitEvent{})
	copy(w.events[i+1:], w.events[i:])
	w.events[i] = e
}

// deliver delivers what is due at the upstream and at the VMs.
func (w *limitWorld) deliver() {
	for len(w.events) > 0 && !w.events[0].at.After(w.now) {
		e := w.events[0]
		w.events = w.events[1:]
		if e.answer {
			w.answered(e)
			continue
		}
		w.executed++
		w.count(e)
		e.answer, e.rate, e.at = true, w.rate, w.now.Add(w.between(5, 60))
		w.schedule(e)
	}
}

// count counts an arrival by the platform's bound and checks it.
func (w *limitWorld) count(e limitEvent) {
	v := e.vm
	if w.rate == 0 || v.told.IsZero() || w.now.Sub(v.told) < namedNotice || w.now.Before(v.excused) {
		return
	}
	w.counted = append(w.counted, w.now)
	n := countWithin(w.counted, w.now, namedWindow)
	allowed := namedFactor*namedWindow.Seconds()*w.highestRate() + namedSlack
	if float64(n) > allowed && w.now.Sub(w.named) >= namedContact && w.violated == "" {
		w.violated = fmt.Sprintf("%d requests in 4 s at a limit of %.2f, %.0f allowed", n, w.rate, allowed)
	}
}

func (w *limitWorld) answered(e limitEvent) {
	v := e.vm
	if e.reserved {
		v.limit.Record(e.sent)
	}
	n := upstreamlimit.Notice{}
	if e.rate > 0 {
		n = upstreamlimit.NewNotice(e.rate)
		if v.told.IsZero() {
			v.told = w.now
		}
	}
	if v.limit.Observe(w.now, e.sent, n, true) {
		w.changed(v)
	}
}

// changed applies a changed limit at a VM. Requests that were chosen before there was a
// limit and still wait for a connection are not sent.
func (w *limitWorld) changed(v *limitVM) {
	v.changed = w.now
	w.share(v)
	w.events = slices.DeleteFunc(w.events, func(e limitEvent) bool {
		return e.vm == v && !e.reserved && !e.answer && e.sent.After(w.now)
	})
}

// exchangeLimits lets a VM exchange what it knows with another one, as package
// limitexchange does.
func (w *limitWorld) exchangeLimits(v *limitVM) {
	rate, limited := v.limit.Rate()
	pace := 2 * time.Second
	if w.now.Sub(v.changed) < 3*time.Second {
		pace = 250 * time.Millisecond
	}
	if (!limited && w.now.Sub(v.limit.HeardAt()) > 10*time.Second) || w.now.Sub(v.exchange) < pace || v.cut {
		return
	}
	v.exchange = w.now
	other := w.vms[w.rng.IntN(len(w.vms))]
	if other == v || other.cut || w.now.Before(other.frozen) {
		return
	}
	theirs, _ := other.limit.Rate()
	w.merge(other, v.limit.HeardAt(), rate)
	w.merge(v, other.limit.HeardAt(), theirs)
}

func (w *limitWorld) merge(v *limitVM, heardAt time.Time, rate float64) {
	if v.limit.Merge(heardAt, rate) {
		w.changed(v)
	}
}

// restart replaces the process of a VM. The bound excuses the VM for a while.
func (w *limitWorld) restart(v *limitVM) {
	v.limit, v.excused, v.started = &upstreamlimit.Limit{}, w.now.Add(namedContact), w.now
	v.changed = time.Time{}
}

// recount makes a VM count the VMs if that is due, and take its whole share once the
// others have counted it.
func (w *limitWorld) recount(v *limitVM) {
	if !v.learnsAt.IsZero() && !w.now.Before(v.learnsAt) {
		v.learnsAt = time.Time{}
		w.learnVMs(v)
	}
	if joined := v.started.Add(upstreamlimit.JoinTime); !v.started.IsZero() && !w.now.Before(joined) {
		v.started = time.Time{}
		w.share(v)
	}
}

// add adds a VM, which the others count within vmcount.CountInterval.
func (w *limitWorld) add() {
	for _, v := range w.vms {
		v.learnsAt = w.now.Add(w.between(0, int(vmcount.CountInterval.Milliseconds())))
	}
	added := &limitVM{
		VM:    upstreamlimit.VM{Name: fmt.Sprint("vm-", len(w.vms)), Near: w.rng.IntN(3) == 0},
		limit: &upstreamlimit.Limit{}, started: w.now,
	}
	w.vms = append(w.vms, added)
	w.learnVMs(added)
}

// disturb does one random thing to the VMs.
func (w *limitWorld) disturb() {
	v := w.vms[w.rng.IntN(len(w.vms))]
	switch w.rng.IntN(5) {
	case 0:
		w.restart(v)
	case 1:
		v.frozen = w.now.Add(w.between(200, 6000))
		v.excused = v.frozen.Add(namedContact)
	case 2:
		v.cut = !v.cut
	case 3:
		w.add()
	case 4:
		for range 1 + len(w.vms)/4 {
			w.add()
		}
	}
}

// drawRate draws a rate from below one request a second to hundreds.
func (w *limitWorld) drawRate() float64 { return math.Exp(w.rng.Float64()*math.Log(3000)) / 10 }

// TestLimitsOfUpstreams guards against VMs whose shares of a limit that an upstream
// names add up to more than the limit, whoever knows whom (issue 30).
func TestLimitsOfUpstreams(t *testing.T) {
	for _, vms := range []int{2, 9, 20, 88} {
		for seed := range *limitSeeds {
			w := newLimitWorld(seed, vms)
			w.demand = math.Exp(w.rng.Float64()*5) / 2
			w.run(time.Second)
			for range 8 {
				w.name(w.drawRate())
				w.run(w.between(500, 9000))
				w.disturb()
				w.run(w.between(500, 4000))
				if w.rng.IntN(3) == 0 {
					w.name(0)
					w.run(w.between(500, 3000))
				}
			}
			if w.violated != "" {
				t.Errorf("%d VMs, seed %d: %s", vms, seed, w.violated)
			}
		}
	}
}

// TestLimitsAreUsedAndEnd guards against shares that leave most of a limit unused while
// callers wait at all VMs, and against VMs that don't hear that it has ended.
func TestLimitsAreUsedAndEnd(t *testing.T) {
	const (
		leastUse = 0.5             // of the limit, under a demand far beyond it
		endTime  = 5 * time.Second // until all VMs know of the end
	)
	for _, vms := range []int{9, 88} {
		for _, rate := range []float64{0.5, 1, 4.2, 30, 200} {
			w := newLimitWorld(1, vms)
			w.demand = max(10*rate/float64(vms), 2)
			w.run(time.Second)
			w.name(rate)
			w.run(10 * time.Second)
			before := w.executed
			w.run(20 * time.Second)
			if used := float64(w.executed-before) / (20 * rate); used < leastUse {
				t.Errorf("%d VMs, limit %v: %.0f%% used", vms, rate, 100*used)
			}
			w.name(0)
			w.run(endTime)
			for _, v := range w.vms {
				if r, limited := v.limit.Rate(); limited {
					t.Errorf("%d VMs, limit %v: %s still keeps to %v", vms, rate, v.Name, r)
				}
			}
			if w.violated != "" {
				t.Error(w.violated)
			}
		}
	}
}

// TestLimitsAt2400VMs is the fleet that the design is for.
func TestLimitsAt2400VMs(t *testing.T) {
	for _, rate := range []float64{1, 30, 400} {
		w := newLimitWorld(1, 2400)
		w.demand = 0.5
		w.run(time.Second)
		w.name(rate)
		w.run(10 * time.Second)
		if w.violated != "" {
			t.Errorf("limit %v: %s", rate, w.violated)
		}
	}
}
