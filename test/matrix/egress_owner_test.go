package matrix

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/coldstart"
	"github.com/sapphirewall/sapphirewall/internal/decide/limit"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// The replica of these cells: 4 slots, 4 ms a run, offered 60% of that.
const (
	tick      = time.Millisecond
	warmSlots = 4
	coldSlots = 2
	runTime   = 4 * time.Millisecond
	offered   = 0.6 // requests a tick
	deadline  = 300 * time.Millisecond
	cellTime  = 6 * time.Second
	coldRuns  = 60 // runs until a cold upstream is warm
	coldSlow  = 5  // how much slower it is until then
	// Evidence of a cold turn that nothing announces takes this long.
	evidenceTime = 150 * time.Millisecond
)

// fakeUpstream is the replica itself.
type fakeUpstream struct {
	startID   int
	downTill  time.Duration
	stuckTill time.Duration
	coldLeft  int     // runs until it is warm
	slow      float64 // beside being cold
	report    func(cold bool) bool
	graceTill time.Duration // budgets count after it
}

func (u *fakeUpstream) bears() int {
	if u.coldLeft > 0 {
		return coldSlots
	}
	return warmSlots
}

func (u *fakeUpstream) takes() time.Duration {
	if u.coldLeft > 0 {
		return time.Duration(u.slow * coldSlow * float64(runTime))
	}
	return time.Duration(u.slow * float64(runTime))
}

// job is one request at an owner.
type job struct {
	id    string
	asked time.Duration
	limit time.Duration // waiting: when it gives up
	sent  time.Duration
	ends  time.Duration
	full  bool
}

// owner drives limit and coldstart as internal/egress does.
type owner struct {
	name    string
	limiter *limit.Limiter
	warmup  *coldstart.Warmup
	fixed   int // not 0: a broken policy that allows this many always
	running []job
	queue   []job
}

func at(t time.Duration) time.Time { return time.Unix(1000, 0).Add(t) }

func newOwner(name string, now time.Duration) *owner {
	o := &owner{name: name, limiter: limit.New(0), warmup: coldstart.New(coldstart.Config{Cold: coldSlots, Warm: warmSlots}, at(now))}
	o.warmup.StartHandover(at(now))
	return o
}

// ownerWorld is a replica, its owners, and what happens.
type ownerWorld struct {
	h      *history
	rng    *rand.Rand
	now    time.Duration
	up     fakeUpstream
	owners []*owner
	rate   float64
	asked  int

	serving int // owners that get new requests, at most
}

func newOwnerWorld(seed uint64) *ownerWorld {
	return &ownerWorld{
		h: newHistory(), rng: rand.New(rand.NewPCG(seed, 2)), rate: offered, serving: 2,
		up:     fakeUpstream{slow: 1, report: func(cold bool) bool { return cold }},
		owners: []*owner{newOwner("first", 0)},
	}
}

// play runs the world; fault is called at every tick.
func (w *ownerWorld) play(fault func()) *history {
	for ; w.now < cellTime; w.now += tick {
		fault()
		for _, o := range w.owners {
			w.step(o)
		}
		if w.rng.Float64() < w.rate && w.now+deadline < cellTime {
			w.arrive(w.owners[w.asked%min(len(w.owners), w.serving)])
		}
	}
	return w.h
}

// crash ends the upstream: all runs are lost, and it is back cold after down.
func (w *ownerWorld) crash(down time.Duration) {
	w.up.startID++
	w.up.downTill = w.now + down
	w.up.coldLeft = coldRuns
	for _, o := range w.owners {
		for _, j := range o.running {
			w.refuse(j, verdict.MayHaveRun)
			o.limiter.Done(0)
			o.warmup.Disconnected(at(w.now))
		}
		o.running = nil
	}
}

func (w *ownerWorld) refuse(j job, outcome verdict.Outcome) {
	w.h.refusals = append(w.h.refusals, refusal{j.id, outcome})
	w.h.finished[j.id] = w.now
}

func (w *ownerWorld) step(o *owner) {
	now := at(w.now)
	if w.now%(100*tick) == 0 && w.now >= w.up.downTill {
		o.warmup.Reported(now, fmt.Sprint(w.up.startID), w.up.report(w.up.coldLeft > 0))
	}
	running := o.running
	o.running = nil
	for _, j := range running {
		switch {
		case j.ends <= w.now && w.now >= w.up.stuckTill:
			w.up.coldLeft = max(w.up.coldLeft-1, 0)
			o.limiter.Done(w.now - j.sent)
			o.warmup.Succeeded(now, w.now-j.sent, j.full)
			w.h.finished[j.id] = w.now
		case w.now >= j.asked+deadline:
			o.limiter.Done(0)
			o.warmup.Unanswered(now, w.now-j.sent)
			w.refuse(j, verdict.MayHaveRun)
		default:
			o.running = append(o.running, j)
		}
	}
	o.refresh(now)
	waiting := o.queue
	o.queue = nil
	for _, j := range waiting {
		switch {
		case w.now >= j.limit:
			o.limiter.CancelWait()
			w.refuse(j, verdict.NotRun)
		case len(o.queue) == 0 && o.limiter.Next():
			w.send(o, j, true)
		default:
			o.queue = append(o.queue, j)
		}
	}
}

func (o *owner) refresh(now time.Time) {
	n := o.warmup.Limit(now)
	if o.fixed > 0 {
		n = o.fixed
	}
	o.limiter.SetLimit(n)
}

func (w *ownerWorld) arrive(o *owner) {
	w.asked++
	j := job{id: fmt.Sprint("q", w.asked), asked: w.now}
	w.h.asked[j.id] = w.now + deadline
	o.refresh(at(w.now))
	if n, _, _ := o.limiter.Counts(); n == 0 {
		w.refuse(j, verdict.NotRun)
		return
	}
	d := o.limiter.Arrive(deadline)
	switch d.Action {
	case limit.Admit:
		w.send(o, j, o.limiter.Full())
	case limit.Wait:
		j.limit = w.now + d.MaxWait
		o.queue = append(o.queue, j)
	default:
		w.refuse(j, verdict.NotRun)
	}
}

// send starts a run, or finds that the upstream accepts no connection.
func (w *ownerWorld) send(o *owner, j job, full bool) {
	if w.now < w.up.downTill {
		o.limiter.Done(0)
		o.warmup.Disconnected(at(w.now))
		w.refuse(j, verdict.NotRun)
		return
	}
	j.sent, j.ends, j.full = w.now, w.now+w.up.takes(), full
	o.running = append(o.running, j)
	w.h.runs = append(w.h.runs, run{key: j.id, request: j.id, at: w.now})
	inFlight := 0
	for _, other := range w.owners {
		inFlight += len(other.running)
	}
	if w.now >= w.up.graceTill {
		w.h.budgets = append(w.h.budgets, budget{replica: "u", at: w.now, inFlight: inFlight, bears: w.up.bears()})
	}
}

// ownerCell plays a fault in a world of its own.
func ownerCell(step, fault string, do func(w *ownerWorld)) cell {
	ownerFaults = append(ownerFaults, do)
	return cell{step, fault, func(seed uint64) *history {
		w := newOwnerWorld(seed)
		return w.play(func() { do(w) })
	}}
}

// laterCell brings the fault about once, after the warm-up.
func laterCell(step, fault string, do func(w *ownerWorld)) cell {
	return ownerCell(step, fault, func(w *ownerWorld) { w.when(3*time.Second, func() { do(w) }) })
}

// ownerFaults are the faults of all owner cells.
var ownerFaults []func(w *ownerWorld)

// when does something once at a time.
func (w *ownerWorld) when(t time.Duration, do func()) {
	if w.now == t {
		do()
	}
}

// coldTurn makes the upstream cold without a restart.
func (w *ownerWorld) coldTurn() {
	w.up.coldLeft = coldRuns
	w.up.graceTill = w.now + evidenceTime
}

var _ = cells("owner and upstream: limits",
	ownerCell("warm up", "none", func(*ownerWorld) {}),
	ownerCell("warm up", "upstream cold at first", func(w *ownerWorld) {
		w.when(0, func() { w.up.coldLeft = coldRuns })
	}),
	laterCell("warm up", "upstream killed", func(w *ownerWorld) { w.crash(300 * tick) }),
	ownerCell("warm up", "upstream killed twice", func(w *ownerWorld) {
		w.when(3*time.Second, func() { w.crash(100 * tick) })
		w.when(3300*tick, func() { w.crash(100 * tick) })
	}),
	ownerCell("warm up", "upstream restarted at once, its reports lie", func(w *ownerWorld) {
		w.up.report = func(bool) bool { return false }
		w.when(3*time.Second, func() { w.crash(0) })
	}),
	laterCell("warm up", "upstream cold without warning", (*ownerWorld).coldTurn),
	ownerCell("warm up", "upstream cold without warning, its reports lie", func(w *ownerWorld) {
		w.up.report = func(bool) bool { return false }
		w.when(3*time.Second, w.coldTurn)
	}),
	ownerCell("warm up", "upstream cold without warning, twice", func(w *ownerWorld) {
		w.when(3*time.Second, w.coldTurn)
		w.when(4*time.Second, w.coldTurn)
	}),
	ownerCell("warm up", "upstream reports being cold for ever", func(w *ownerWorld) {
		w.up.report = func(bool) bool { return true }
	}),
	laterCell("wait for a slot", "upstream slow", func(w *ownerWorld) { w.up.slow = 10 }),
	laterCell("wait for a slot", "upstream frozen for a second", func(w *ownerWorld) { w.up.stuckTill = w.now + time.Second }),
	ownerCell("wait for a slot", "upstream frozen, then killed", func(w *ownerWorld) {
		w.when(3*time.Second, func() { w.up.stuckTill = w.now + time.Second })
		w.when(3500*tick, func() { w.crash(200 * tick) })
	}),
	ownerCell("wait for a slot", "overload", func(w *ownerWorld) { w.rate = 1 }),
	ownerCell("wait for a slot", "overload and upstream killed", func(w *ownerWorld) {
		w.rate = 1
		w.when(3*time.Second, func() { w.crash(300 * tick) })
	}),
	ownerCell("hand over", "two owners believe to be first", func(w *ownerWorld) {
		w.when(0, func() {
			w.up.coldLeft = coldRuns
			w.owners = append(w.owners, newOwner("second", 0))
		})
		w.when(coldstart.HandoverSettle-500*tick, func() { w.serving = 1 }) // the views agree
	}),
	laterCell("hand over", "owner killed", func(w *ownerWorld) { w.replaceOwner() }),
	ownerCell("hand over", "owner and upstream killed", func(w *ownerWorld) {
		w.when(3*time.Second, func() {
			w.crash(100 * tick)
			w.replaceOwner()
		})
	}),
)

// replaceOwner kills the owner with all that it had in hand; its askers get
// their answer from the lost session.
func (w *ownerWorld) replaceOwner() {
	for _, j := range w.owners[0].running {
		w.refuse(j, verdict.MayHaveRun)
	}
	for _, j := range w.owners[0].queue {
		w.refuse(j, verdict.MayHaveRun) // the asker can't know that it waited
	}
	w.owners[0] = newOwner("new", w.now)
}

var _ = Describe("an owner with a fixed limit", func() {
	It("sends cold upstreams more than they bear under the same faults", func() {
		red := 0
		for _, do := range ownerFaults {
			w := newOwnerWorld(matrixSeed)
			w.owners[0].fixed = warmSlots
			for _, v := range check(w.play(func() { do(w) })) {
				if v.promise == bearable {
					red++
					break
				}
			}
		}
		Expect(red).To(BeNumerically(">=", 8))
	})
})
