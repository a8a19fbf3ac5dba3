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

// The replica of these cells executes 4 requests at once in 4 ms each; requests
// arrive at 60% of that rate.
const (
	tick             = time.Millisecond
	warmSlots        = 4
	coldSlots        = 2
	serviceTime      = 4 * time.Millisecond
	offeredRate      = 0.6 // requests per tick
	requestDeadline  = 300 * time.Millisecond
	cellDuration     = 6 * time.Second
	warmupExecutions = 60 // executions until a cold upstream is warm
	coldSlowdown     = 5  // factor on the service time until then
	// detectionTime is how long it takes to detect from latencies that an upstream
	// has turned cold without a restart.
	detectionTime = 150 * time.Millisecond
)

// fakeUpstream simulates the replica.
type fakeUpstream struct {
	startID        int
	downUntil      time.Duration
	stuckUntil     time.Duration
	coldLeft       int     // executions until it is warm
	slowdown       float64 // factor on the service time, in addition to coldSlowdown
	reportsCold    func(cold bool) bool
	uncheckedUntil time.Duration // load is not sampled before it
}

func (u *fakeUpstream) capacity() int {
	if u.coldLeft > 0 {
		return coldSlots
	}
	return warmSlots
}

func (u *fakeUpstream) serviceTime() time.Duration {
	if u.coldLeft > 0 {
		return time.Duration(u.slowdown * coldSlowdown * float64(serviceTime))
	}
	return time.Duration(u.slowdown * float64(serviceTime))
}

// job is one request at an owner.
type job struct {
	id        string
	arrivedAt time.Duration
	waitUntil time.Duration // when a waiting request is refused
	sentAt    time.Duration
	endsAt    time.Duration
	full      bool
}

// owner uses limit and coldstart as internal/egress does.
type owner struct {
	name       string
	limiter    *limit.Limiter
	warmup     *coldstart.Warmup
	fixedLimit int // if not 0, a broken policy that always allows this many
	inFlight   []job
	queue      []job
}

func timeAt(t time.Duration) time.Time { return time.Unix(1000, 0).Add(t) }

func newOwner(name string, now time.Duration) *owner {
	o := &owner{name: name, limiter: limit.New(0), warmup: coldstart.New(coldstart.Config{Cold: coldSlots, Warm: warmSlots}, timeAt(now))}
	o.warmup.StartHandover(timeAt(now))
	return o
}

// ownerSim simulates a replica and its owners and records their history.
type ownerSim struct {
	h        *history
	rng      *rand.Rand
	now      time.Duration
	upstream fakeUpstream
	owners   []*owner
	rate     float64
	arrivals int

	maxServing int // number of owners that get new requests, at most
}

func newOwnerSim(seed uint64) *ownerSim {
	return &ownerSim{
		h: newHistory(), rng: rand.New(rand.NewPCG(seed, 2)), rate: offeredRate, maxServing: 2,
		upstream: fakeUpstream{slowdown: 1, reportsCold: func(cold bool) bool { return cold }},
		owners:   []*owner{newOwner("first", 0)},
	}
}

// run simulates cellDuration; fault is called at every tick.
func (sim *ownerSim) run(fault func()) *history {
	for ; sim.now < cellDuration; sim.now += tick {
		fault()
		for _, o := range sim.owners {
			sim.step(o)
		}
		if sim.rng.Float64() < sim.rate && sim.now+requestDeadline < cellDuration {
			sim.arrive(sim.owners[sim.arrivals%min(len(sim.owners), sim.maxServing)])
		}
	}
	return sim.h
}

// crash ends the upstream with all requests in flight; it is back, cold, after
// down.
func (sim *ownerSim) crash(down time.Duration) {
	sim.upstream.startID++
	sim.upstream.downUntil = sim.now + down
	sim.upstream.coldLeft = warmupExecutions
	for _, o := range sim.owners {
		for _, j := range o.inFlight {
			sim.refuse(j, verdict.MayHaveRun)
			o.limiter.Done(0)
			o.warmup.Disconnected(timeAt(sim.now))
		}
		o.inFlight = nil
	}
}

func (sim *ownerSim) refuse(j job, outcome verdict.Outcome) {
	sim.h.refusals = append(sim.h.refusals, refusal{j.id, outcome})
	sim.h.finishedAt[j.id] = sim.now
}

func (sim *ownerSim) step(o *owner) {
	now := timeAt(sim.now)
	if sim.now%(100*tick) == 0 && sim.now >= sim.upstream.downUntil {
		o.warmup.Reported(now, fmt.Sprint(sim.upstream.startID), sim.upstream.reportsCold(sim.upstream.coldLeft > 0))
	}
	inFlight := o.inFlight
	o.inFlight = nil
	for _, j := range inFlight {
		switch {
		case j.endsAt <= sim.now && sim.now >= sim.upstream.stuckUntil:
			sim.upstream.coldLeft = max(sim.upstream.coldLeft-1, 0)
			o.limiter.Done(sim.now - j.sentAt)
			o.warmup.Succeeded(now, sim.now-j.sentAt, j.full)
			sim.h.finishedAt[j.id] = sim.now
		case sim.now >= j.arrivedAt+requestDeadline:
			o.limiter.Done(0)
			o.warmup.Unanswered(now, sim.now-j.sentAt)
			sim.refuse(j, verdict.MayHaveRun)
		default:
			o.inFlight = append(o.inFlight, j)
		}
	}
	o.refresh(now)
	waiting := o.queue
	o.queue = nil
	for _, j := range waiting {
		switch {
		case sim.now >= j.waitUntil:
			o.limiter.CancelWait()
			sim.refuse(j, verdict.NotRun)
		case len(o.queue) == 0 && o.limiter.Next():
			sim.send(o, j, true)
		default:
			o.queue = append(o.queue, j)
		}
	}
}

func (o *owner) refresh(now time.Time) {
	n := o.warmup.Limit(now)
	if o.fixedLimit > 0 {
		n = o.fixedLimit
	}
	o.limiter.SetLimit(n)
}

func (sim *ownerSim) arrive(o *owner) {
	sim.arrivals++
	j := job{id: fmt.Sprint("q", sim.arrivals), arrivedAt: sim.now}
	sim.h.deadlines[j.id] = sim.now + requestDeadline
	o.refresh(timeAt(sim.now))
	if n, _, _ := o.limiter.Counts(); n == 0 {
		sim.refuse(j, verdict.NotRun)
		return
	}
	d := o.limiter.Arrive(requestDeadline)
	switch d.Action {
	case limit.Admit:
		sim.send(o, j, o.limiter.Full())
	case limit.Wait:
		j.waitUntil = sim.now + d.MaxWait
		o.queue = append(o.queue, j)
	default:
		sim.refuse(j, verdict.NotRun)
	}
}

// send starts an execution, or refuses the request if the upstream accepts no
// connection.
func (sim *ownerSim) send(o *owner, j job, full bool) {
	if sim.now < sim.upstream.downUntil {
		o.limiter.Done(0)
		o.warmup.Disconnected(timeAt(sim.now))
		sim.refuse(j, verdict.NotRun)
		return
	}
	j.sentAt, j.endsAt, j.full = sim.now, sim.now+sim.upstream.serviceTime(), full
	o.inFlight = append(o.inFlight, j)
	sim.h.executions = append(sim.h.executions, execution{key: j.id, request: j.id, at: sim.now})
	inFlight := 0
	for _, other := range sim.owners {
		inFlight += len(other.inFlight)
	}
	if sim.now >= sim.upstream.uncheckedUntil {
		sim.h.loadSamples = append(sim.h.loadSamples, loadSample{replica: "u", at: sim.now, inFlight: inFlight, capacity: sim.upstream.capacity()})
	}
}

// ownerCell runs a fault in a simulation of its own; do is called at every tick.
func ownerCell(step, fault string, do func(sim *ownerSim)) cell {
	ownerFaults = append(ownerFaults, do)
	return cell{step, fault, func(seed uint64) *history {
		sim := newOwnerSim(seed)
		return sim.run(func() { do(sim) })
	}}
}

// lateFaultCell injects the fault once, after the warm-up.
func lateFaultCell(step, fault string, do func(sim *ownerSim)) cell {
	return ownerCell(step, fault, func(sim *ownerSim) { sim.onceAt(3*time.Second, func() { do(sim) }) })
}

// ownerFaults are the faults of all owner cells.
var ownerFaults []func(sim *ownerSim)

// onceAt calls do at virtual time t.
func (sim *ownerSim) onceAt(t time.Duration, do func()) {
	if sim.now == t {
		do()
	}
}

// turnCold makes the upstream cold without a restart.
func (sim *ownerSim) turnCold() {
	sim.upstream.coldLeft = warmupExecutions
	sim.upstream.uncheckedUntil = sim.now + detectionTime
}

var _ = registerCells("owner and upstream: limits",
	ownerCell("warm up", "none", func(*ownerSim) {}),
	ownerCell("warm up", "upstream cold at first", func(sim *ownerSim) {
		sim.onceAt(0, func() { sim.upstream.coldLeft = warmupExecutions })
	}),
	lateFaultCell("warm up", "upstream killed", func(sim *ownerSim) { sim.crash(300 * tick) }),
	ownerCell("warm up", "upstream killed twice", func(sim *ownerSim) {
		sim.onceAt(3*time.Second, func() { sim.crash(100 * tick) })
		sim.onceAt(3300*tick, func() { sim.crash(100 * tick) })
	}),
	ownerCell("warm up", "upstream restarted at once, its reports lie", func(sim *ownerSim) {
		sim.upstream.reportsCold = func(bool) bool { return false }
		sim.onceAt(3*time.Second, func() { sim.crash(0) })
	}),
	lateFaultCell("warm up", "upstream cold without warning", (*ownerSim).turnCold),
	ownerCell("warm up", "upstream cold without warning, its reports lie", func(sim *ownerSim) {
		sim.upstream.reportsCold = func(bool) bool { return false }
		sim.onceAt(3*time.Second, sim.turnCold)
	}),
	ownerCell("warm up", "upstream cold without warning, twice", func(sim *ownerSim) {
		sim.onceAt(3*time.Second, sim.turnCold)
		sim.onceAt(4*time.Second, sim.turnCold)
	}),
	ownerCell("warm up", "upstream reports being cold for ever", func(sim *ownerSim) {
		sim.upstream.reportsCold = func(bool) bool { return true }
	}),
	lateFaultCell("wait for a slot", "upstream slow", func(sim *ownerSim) { sim.upstream.slowdown = 10 }),
	lateFaultCell("wait for a slot", "upstream frozen for a second", func(sim *ownerSim) { sim.upstream.stuckUntil = sim.now + time.Second }),
	ownerCell("wait for a slot", "upstream frozen, then killed", func(sim *ownerSim) {
		sim.onceAt(3*time.Second, func() { sim.upstream.stuckUntil = sim.now + time.Second })
		sim.onceAt(3500*tick, func() { sim.crash(200 * tick) })
	}),
	ownerCell("wait for a slot", "overload", func(sim *ownerSim) { sim.rate = 1 }),
	ownerCell("wait for a slot", "overload and upstream killed", func(sim *ownerSim) {
		sim.rate = 1
		sim.onceAt(3*time.Second, func() { sim.crash(300 * tick) })
	}),
	ownerCell("hand over", "two owners believe to be first", func(sim *ownerSim) {
		sim.onceAt(0, func() {
			sim.upstream.coldLeft = warmupExecutions
			sim.owners = append(sim.owners, newOwner("second", 0))
		})
		sim.onceAt(coldstart.HandoverSettle-500*tick, func() { sim.maxServing = 1 }) // the views of the two owners agree
	}),
	lateFaultCell("hand over", "owner killed", func(sim *ownerSim) { sim.replaceOwner() }),
	ownerCell("hand over", "owner and upstream killed", func(sim *ownerSim) {
		sim.onceAt(3*time.Second, func() {
			sim.crash(100 * tick)
			sim.replaceOwner()
		})
	}),
)

// replaceOwner kills the first owner and starts a new one. The callers of the
// killed owner's requests are refused because its peer connection is lost.
func (sim *ownerSim) replaceOwner() {
	for _, j := range sim.owners[0].inFlight {
		sim.refuse(j, verdict.MayHaveRun)
	}
	for _, j := range sim.owners[0].queue {
		sim.refuse(j, verdict.MayHaveRun) // the caller can't know that it was still queued
	}
	sim.owners[0] = newOwner("new", sim.now)
}

var _ = Describe("an owner with a fixed limit", func() {
	It("exceeds the capacity of cold upstreams under the same faults", func() {
		failing := 0
		for _, do := range ownerFaults {
			sim := newOwnerSim(matrixSeed)
			sim.owners[0].fixedLimit = warmSlots
			for _, v := range check(sim.run(func() { do(sim) })) {
				if v.promise == bearableStart {
					failing++
					break
				}
			}
		}
		Expect(failing).To(BeNumerically(">=", 8))
	})
})
