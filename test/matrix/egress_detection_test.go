package matrix

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/connect"
	"github.com/sapphirewall/sapphirewall/internal/decide/eject"
	"github.com/sapphirewall/sapphirewall/internal/decide/hedge"
	"github.com/sapphirewall/sapphirewall/internal/decide/poison"
	"github.com/sapphirewall/sapphirewall/internal/decide/stall"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// stallTimeout is the setting, and detectedWithin the part of the deadline in
// which a lost connection must be detected and replaced.
const (
	stallTimeout   = 100 * time.Millisecond
	detectedWithin = 200 * time.Millisecond
)

// linkBehavior describes what the connection and the upstream do with one request.
type linkBehavior struct {
	delivers         bool
	answerDelay      time.Duration // of the answer over the first connection; 0: no answer
	frozen           bool          // the upstream does not answer probes
	reportedInFlight int           // requests in flight that the upstream's status reports, including this one
	due              time.Duration // by when an answer or refusal must arrive
}

// stallCell sends a request over a connection and watches for a stall as
// internal/egress does.
func stallCell(fault string, idempotent bool, l linkBehavior) cell {
	return cell{"wait on a connection", fault, func(uint64) *history { return runLink(l, idempotent, idempotent) }}
}

// runLink sends one request over a link. retryable is whether the owner
// considers the request safe to retry.
func runLink(l linkBehavior, idempotent, retryable bool) *history {
	h := newHistory()
	h.deadlines["r"] = l.due
	deliver := func(t time.Duration) {
		h.executions = append(h.executions, execution{key: "r", request: "r", idempotent: idempotent, at: t})
	}
	if l.delivers {
		deliver(0)
	}
	monitor := stall.New(timeAt(0), stallTimeout, requestDeadline, serviceTime, retryable)
	retryBudget := &stall.RetryBudget{}
	for range 200 {
		retryBudget.Sent()
	}
	for now := time.Duration(0); now < requestDeadline; now += tick {
		if l.answerDelay > 0 && now >= l.answerDelay {
			recordFinish(h, "r", now, nil)
			return h
		}
		if monitor.Decide(timeAt(now)) != stall.Probe {
			continue
		}
		answered := now + tick
		if l.frozen {
			answered = now + monitor.ProbeTimeout()
		}
		switch monitor.OnProbeResult(stall.ProbeResult{Answered: !l.frozen, Missing: l.reportedInFlight < 1}, retryBudget) {
		case stall.Retry:
			deliver(answered)
			recordFinish(h, "r", answered+serviceTime, nil)
			return h
		case stall.Fail:
			recordFinish(h, "r", answered, verdict.New(verdict.MayHaveRun, verdict.ConnectionSilent, ""))
			return h
		}
	}
	recordFinish(h, "r", requestDeadline, verdict.New(verdict.MayHaveRun, verdict.Deadline, ""))
	return h
}

func recordFinish(h *history, id string, now time.Duration, v *verdict.Error) {
	h.finishedAt[id] = now
	if v != nil {
		h.refusals = append(h.refusals, refusal{id, v.Outcome})
		return
	}
	h.answers = append(h.answers, answer{request: id, forID: id, snapshots: []uint64{7}, reported: 1, actual: 1})
}

var _ = registerCells("owner and upstream: silent connections",
	stallCell("silent before the request arrived", true, linkBehavior{due: detectedWithin}),
	stallCell("silent after the request arrived", true, linkBehavior{delivers: true, due: detectedWithin}),
	stallCell("silent after an action arrived", false, linkBehavior{delivers: true, due: detectedWithin}),
	stallCell("silent before an action arrived", false, linkBehavior{due: detectedWithin}),
	stallCell("upstream frozen", true, linkBehavior{delivers: true, frozen: true, reportedInFlight: 1, due: detectedWithin}),
	stallCell("upstream frozen with an action", false, linkBehavior{delivers: true, frozen: true, reportedInFlight: 1, due: detectedWithin}),
	stallCell("upstream slow", true, linkBehavior{delivers: true, answerDelay: 90 * tick, reportedInFlight: 1, due: requestDeadline}),
	stallCell("upstream slow with an action", false, linkBehavior{delivers: true, answerDelay: 290 * tick, reportedInFlight: 1, due: requestDeadline}),
	stallCell("silent, and the upstream's reports lie", true, linkBehavior{reportedInFlight: 4, due: detectedWithin}),
	stallCell("upstream slow with an action, and its reports lie", false, linkBehavior{delivers: true, answerDelay: 290 * tick, due: requestDeadline}),
)

// poisonCell sends a bad request besides innocent ones; each execution of the
// bad one crashes the replica, which loses all its requests in flight.
func poisonCell(fault string, owners int, refuse func(now time.Time, trackers []*poison.Tracker) func(fp uint64) bool) cell {
	const bad, innocent = 1, 2
	return cell{"pick", fault, func(seed uint64) *history {
		rng := rand.New(rand.NewPCG(seed, 3))
		h := newHistory()
		var trackers []*poison.Tracker
		for range owners {
			trackers = append(trackers, poison.NewTracker())
		}
		h.deadlines["bad is refused"] = 20 * time.Second
		for now := time.Duration(0); now < 60*time.Second; now += 100 * tick {
			o := trackers[rng.IntN(owners)]
			together := rng.Float64() < 0.5
			refused := refuse(timeAt(now), trackers)
			if _, known := h.finishedAt["bad is refused"]; !known && refused(bad) {
				recordFinish(h, "bad is refused", now, verdict.New(verdict.NotRun, verdict.Poison, ""))
			}
			if rng.Float64() < 0.1 && !refused(bad) {
				inFlight := []uint64{bad}
				if together {
					inFlight = append(inFlight, innocent)
				}
				o.RecordCrash(timeAt(now), inFlight)
			}
			id := fmt.Sprint("innocent ", now)
			h.deadlines[id] = now + requestDeadline
			if !refused(innocent) {
				o.RecordAnswer(innocent)
				recordFinish(h, id, now, nil)
			}
		}
		return h
	}}
}

var _ = registerCells("owner and upstream: poison",
	poisonCell("poison request", 1, func(now time.Time, trackers []*poison.Tracker) func(uint64) bool {
		return func(fp uint64) bool {
			_, refused := trackers[0].Refuse(now, fp)
			return refused
		}
	}),
	poisonCell("poison request at replicas of many owners", 9, func(now time.Time, trackers []*poison.Tracker) func(uint64) bool {
		b := poison.NewAggregator()
		for i, t := range trackers {
			b.Update(fmt.Sprint(i), t.Suspects(now))
		}
		return func(fp uint64) bool {
			_, refused := b.Refuse(now, fp)
			return refused
		}
	}),
)

// runPick sends parts to one shard of three replicas every 2 ms; a hedge goes to
// another replica. Parts are due within latencyBound when learningTime has passed
// since a replica became slow.
func runPick(seed uint64, p picker, slowdown func(now time.Duration, replica int) float64) *history {
	const latencyBound = 60 * time.Millisecond
	const learningTime = time.Second
	rng := rand.New(rand.NewPCG(seed, 4))
	h := newHistory()
	hedger := hedge.New()
	for now := time.Duration(0); now < cellDuration; now += 2 * tick {
		id := fmt.Sprint(now)
		h.deadlines[id] = now + requestDeadline
		if now%(2*time.Second) > learningTime {
			h.deadlines[id] = now + latencyBound
		}
		latency := func(i int) time.Duration {
			return time.Duration((0.5 + rng.Float64()) * slowdown(now, i) * float64(serviceTime))
		}
		hedger.CountFirst()
		i := p.choose(now, -1, rng)
		first := latency(i)
		end := first
		if d, ok := hedger.Delay(); ok && first > d && p.hedges() && hedger.Allow() {
			j := p.choose(now, i, rng)
			second := latency(j)
			end = min(first, d+second)
			p.observe(now+end, j, min(second, end-d), d+second <= first)
		}
		hedger.Observe(end)
		p.observe(now+end, i, end, end == first)
		recordFinish(h, id, now+end, nil)
	}
	return h
}

type picker interface {
	choose(now time.Duration, exclude int, rng *rand.Rand) int
	observe(now time.Duration, i int, latency time.Duration, complete bool)
	hedges() bool
}

// uniformPicker picks at random without hedging, as the baseline.
type uniformPicker struct{}

func (uniformPicker) choose(_ time.Duration, _ int, rng *rand.Rand) int { return rng.IntN(3) }
func (uniformPicker) observe(time.Duration, int, time.Duration, bool)   {}
func (uniformPicker) hedges() bool                                      { return false }

// ejectingPicker does not choose ejected replicas.
type ejectingPicker struct{ g *eject.Group }

func (p ejectingPicker) choose(now time.Duration, exclude int, rng *rand.Rand) int {
	for _, i := range rng.Perm(3) {
		if i != exclude && p.g.Allowed(timeAt(now), i, rng) {
			return i
		}
	}
	return (exclude + 1) % 3
}

func (p ejectingPicker) observe(now time.Duration, i int, latency time.Duration, complete bool) {
	p.g.Observe(timeAt(now), i, latency, complete)
}
func (ejectingPicker) hedges() bool { return true }

// stragglers gives the slowdown factor of each replica over time, by fault.
var stragglers = map[string]func(now time.Duration, replica int) float64{
	"one upstream 30 times slower": func(_ time.Duration, i int) float64 {
		return map[bool]float64{true: 30, false: 1}[i == 0]
	},
	"upstream slow, then another": func(now time.Duration, i int) float64 {
		return map[bool]float64{true: 30, false: 1}[i == int(now/(2*time.Second))%3]
	},
	"all upstreams slower together": func(now time.Duration, _ int) float64 {
		return map[bool]float64{true: 5, false: 1}[now > 2*time.Second]
	},
}

func pickCell(fault string) cell {
	return cell{"pick", fault, func(seed uint64) *history {
		return runPick(seed, ejectingPicker{eject.NewGroup(3)}, stragglers[fault])
	}}
}

var _ = registerCells("owner and upstream: stragglers",
	pickCell("one upstream 30 times slower"),
	pickCell("upstream slow, then another"),
	pickCell("all upstreams slower together"),
)

// connectCell opens connections as fast as the limits of two owners allow, and
// records the replica's open connections and its connection setups per second.
func connectCell(fault string, event func(now time.Duration, owners []*connect.Setups)) cell {
	return cell{"connect", fault, func(uint64) *history {
		const maxConnections, cost = 36, 6 * time.Millisecond
		h := newHistory()
		cfg := connect.Config{Connections: maxConnections, Cost: cost}
		owners := []*connect.Setups{connect.New(cfg, timeAt(0)), connect.New(cfg, timeAt(0))}
		var opened []time.Duration
		for now := time.Duration(0); now < cellDuration; now += tick {
			event(now, owners)
			for _, o := range owners {
				if ok, _ := o.Begin(timeAt(now)); ok {
					opened = append(opened, now)
				}
			}
			for len(opened) > 0 && opened[0] <= now-time.Second {
				opened = opened[1:]
			}
			h.loadSamples = append(h.loadSamples,
				loadSample{replica: "connections", at: now, inFlight: owners[0].Open() + owners[1].Open(), capacity: maxConnections},
				// The setups of each owner may take 10% of the replica's time, and a
				// burst of two more.
				loadSample{replica: "setups a second", at: now, inFlight: len(opened), capacity: int(time.Second/5/cost) + 6})
		}
		return h
	}}
}

var _ = registerCells("owner and upstream: connections",
	connectCell("none", func(time.Duration, []*connect.Setups) {}),
	connectCell("all connections cut again and again", func(now time.Duration, owners []*connect.Setups) {
		for _, o := range owners {
			for now%(500*tick) == 0 && o.Open() > 0 {
				o.Closed()
			}
		}
	}),
	connectCell("upstream refuses connections", func(now time.Duration, owners []*connect.Setups) {
		for _, o := range owners {
			for now < 3*time.Second && o.Open() > 0 {
				o.Failed(timeAt(now))
			}
		}
	}),
)

var _ = Describe("an owner that retries actions", func() {
	It("executes an action twice", func() {
		h := runLink(linkBehavior{delivers: true, due: requestDeadline}, false, true)
		Expect(fmt.Sprint(check(h))).To(ContainSubstring(atMostOnce))
	})
})

var _ = Describe("picking replicas at random without hedges", func() {
	It("exceeds the latency bound under each straggler", func() {
		for _, fault := range []string{"one upstream 30 times slower", "upstream slow, then another"} {
			Expect(check(runPick(matrixSeed, uniformPicker{}, stragglers[fault]))).NotTo(BeEmpty(), fault)
		}
	})
})
