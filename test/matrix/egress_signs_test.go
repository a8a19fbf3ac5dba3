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

// silentAfter is the setting, and decidedWithin the part of the deadline in
// which a lost connection must be recognised and replaced.
const (
	silentAfter   = 100 * time.Millisecond
	decidedWithin = 200 * time.Millisecond
)

// link is what a request meets: whether the first connection brings it to the
// upstream, and when an answer comes back, if ever.
type link struct {
	delivers  bool
	answersIn time.Duration // over the first connection; 0: never
	frozen    bool          // the upstream answers no probe
	reports   int           // requests in flight that its status tells; ours is one
	within    time.Duration // the answer or refusal is due
}

// silenceCell sends a request over a connection, as internal/egress does.
func silenceCell(fault string, idempotent bool, l link) cell {
	return cell{"wait on a connection", fault, func(uint64) *history { return playLink(l, idempotent, idempotent) }}
}

// playLink is one request over a link. resends is whether the owner takes the
// request for one that it may send again.
func playLink(l link, idempotent, resends bool) *history {
	h := newHistory()
	h.asked["r"] = l.within
	deliver := func(t time.Duration) {
		h.runs = append(h.runs, run{key: "r", request: "r", idempotent: idempotent, at: t})
	}
	if l.delivers {
		deliver(0)
	}
	w := stall.New(at(0), silentAfter, deadline, runTime, resends)
	guesses := &stall.RetryBudget{}
	for range 200 {
		guesses.Sent()
	}
	for now := time.Duration(0); now < deadline; now += tick {
		if l.answersIn > 0 && now >= l.answersIn {
			finish(h, "r", now, nil)
			return h
		}
		if w.Decide(at(now)) != stall.Probe {
			continue
		}
		answered := now + tick
		if l.frozen {
			answered = now + w.ProbeTimeout()
		}
		switch w.OnProbeResult(stall.ProbeResult{Answered: !l.frozen, Missing: l.reports < 1}, guesses) {
		case stall.Retry:
			deliver(answered)
			finish(h, "r", answered+runTime, nil)
			return h
		case stall.Fail:
			finish(h, "r", answered, verdict.New(verdict.MayHaveRun, verdict.ConnectionSilent, ""))
			return h
		}
	}
	finish(h, "r", deadline, verdict.New(verdict.MayHaveRun, verdict.Deadline, ""))
	return h
}

func finish(h *history, id string, now time.Duration, v *verdict.Error) {
	h.finished[id] = now
	if v != nil {
		h.refusals = append(h.refusals, refusal{id, v.Outcome})
		return
	}
	h.answers = append(h.answers, answer{request: id, forID: id, snapshots: []uint64{7}, claimed: 1, actual: 1})
}

var _ = cells("owner and upstream: silent connections",
	silenceCell("silent before the request arrived", true, link{within: decidedWithin}),
	silenceCell("silent after the request arrived", true, link{delivers: true, within: decidedWithin}),
	silenceCell("silent after an action arrived", false, link{delivers: true, within: decidedWithin}),
	silenceCell("silent before an action arrived", false, link{within: decidedWithin}),
	silenceCell("upstream frozen", true, link{delivers: true, frozen: true, reports: 1, within: decidedWithin}),
	silenceCell("upstream frozen with an action", false, link{delivers: true, frozen: true, reports: 1, within: decidedWithin}),
	silenceCell("upstream slow", true, link{delivers: true, answersIn: 90 * tick, reports: 1, within: deadline}),
	silenceCell("upstream slow with an action", false, link{delivers: true, answersIn: 290 * tick, reports: 1, within: deadline}),
	silenceCell("silent, and the upstream's reports lie", true, link{reports: 4, within: decidedWithin}),
	silenceCell("upstream slow with an action, and its reports lie", false, link{delivers: true, answersIn: 290 * tick, within: deadline}),
)

// poisonWorld sends a bad request beside innocent ones; each run of the bad one
// crashes the replica with all that it has in flight.
func poisonWorld(fault string, owners int, refuse func(now time.Time, trackers []*poison.Tracker) func(fp uint64) bool) cell {
	const bad, innocent = 1, 2
	return cell{"pick", fault, func(seed uint64) *history {
		rng := rand.New(rand.NewPCG(seed, 3))
		h := newHistory()
		var trackers []*poison.Tracker
		for range owners {
			trackers = append(trackers, poison.NewTracker())
		}
		h.asked["bad is refused"] = 20 * time.Second
		for now := time.Duration(0); now < 60*time.Second; now += 100 * tick {
			o := trackers[rng.IntN(owners)]
			beside := rng.Float64() < 0.5
			refused := refuse(at(now), trackers)
			if _, known := h.finished["bad is refused"]; !known && refused(bad) {
				finish(h, "bad is refused", now, verdict.New(verdict.NotRun, verdict.Poison, ""))
			}
			if rng.Float64() < 0.1 && !refused(bad) {
				inFlight := []uint64{bad}
				if beside {
					inFlight = append(inFlight, innocent)
				}
				o.RecordCrash(at(now), inFlight)
			}
			id := fmt.Sprint("innocent ", now)
			h.asked[id] = now + deadline
			if !refused(innocent) {
				o.RecordAnswer(innocent)
				finish(h, id, now, nil)
			}
		}
		return h
	}}
}

var _ = cells("owner and upstream: poison",
	poisonWorld("poison request", 1, func(now time.Time, trackers []*poison.Tracker) func(uint64) bool {
		return func(fp uint64) bool {
			_, yes := trackers[0].Refuse(now, fp)
			return yes
		}
	}),
	poisonWorld("poison request at replicas of many owners", 9, func(now time.Time, trackers []*poison.Tracker) func(uint64) bool {
		b := poison.NewAggregator()
		for i, t := range trackers {
			b.Update(fmt.Sprint(i), t.Suspects(now))
		}
		return func(fp uint64) bool {
			_, yes := b.Refuse(now, fp)
			return yes
		}
	}),
)

// pickWorld asks one shard of three replicas every few milliseconds; hedges go
// to the next replica. Late parts are due within lateBy once there has been
// time to learn.
func pickWorld(seed uint64, p picker, slow func(now time.Duration, replica int) float64) *history {
	const lateBy = 60 * time.Millisecond
	const learning = time.Second
	rng := rand.New(rand.NewPCG(seed, 4))
	h := newHistory()
	hedger := hedge.New()
	for now := time.Duration(0); now < cellTime; now += 2 * tick {
		id := fmt.Sprint(now)
		h.asked[id] = now + deadline
		if now%(2*time.Second) > learning {
			h.asked[id] = now + lateBy
		}
		took := func(i int) time.Duration {
			return time.Duration((0.5 + rng.Float64()) * slow(now, i) * float64(runTime))
		}
		hedger.CountFirst()
		i := p.choose(now, -1, rng)
		first := took(i)
		end := first
		if d, ok := hedger.Delay(); ok && first > d && p.hedges() && hedger.Allow() {
			j := p.choose(now, i, rng)
			second := took(j)
			end = min(first, d+second)
			p.observe(now+end, j, min(second, end-d), d+second <= first)
		}
		hedger.Observe(end)
		p.observe(now+end, i, end, end == first)
		finish(h, id, now+end, nil)
	}
	return h
}

type picker interface {
	choose(now time.Duration, not int, rng *rand.Rand) int
	observe(now time.Duration, i int, took time.Duration, complete bool)
	hedges() bool
}

// evenly is the baseline.
type evenly struct{}

func (evenly) choose(_ time.Duration, _ int, rng *rand.Rand) int { return rng.IntN(3) }
func (evenly) observe(time.Duration, int, time.Duration, bool)   {}
func (evenly) hedges() bool                                      { return false }

// byEvidence leaves stragglers out.
type byEvidence struct{ g *eject.Group }

func (b byEvidence) choose(now time.Duration, not int, rng *rand.Rand) int {
	for _, i := range rng.Perm(3) {
		if i != not && b.g.Allowed(at(now), i, rng) {
			return i
		}
	}
	return (not + 1) % 3
}

func (b byEvidence) observe(now time.Duration, i int, took time.Duration, complete bool) {
	b.g.Observe(at(now), i, took, complete)
}
func (byEvidence) hedges() bool { return true }

// stragglers are the ways in which replicas become slow, by cell.
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
		return pickWorld(seed, byEvidence{eject.NewGroup(3)}, stragglers[fault])
	}}
}

var _ = cells("owner and upstream: stragglers",
	pickCell("one upstream 30 times slower"),
	pickCell("upstream slow, then another"),
	pickCell("all upstreams slower together"),
)

// connectCell opens connections as fast as two owners are let, and records
// what the replica has open and what it is asked to open in a second.
func connectCell(fault string, event func(now time.Duration, owners []*connect.Setups)) cell {
	return cell{"connect", fault, func(uint64) *history {
		const accepts, cost = 36, 6 * time.Millisecond
		h := newHistory()
		cfg := connect.Config{Connections: accepts, Cost: cost}
		owners := []*connect.Setups{connect.New(cfg, at(0)), connect.New(cfg, at(0))}
		var opened []time.Duration
		for now := time.Duration(0); now < cellTime; now += tick {
			event(now, owners)
			for _, o := range owners {
				if ok, _ := o.Begin(at(now)); ok {
					opened = append(opened, now)
				}
			}
			for len(opened) > 0 && opened[0] <= now-time.Second {
				opened = opened[1:]
			}
			h.budgets = append(h.budgets,
				budget{replica: "connections", at: now, inFlight: owners[0].Open() + owners[1].Open(), bears: accepts},
				// Two owners may each take a tenth of its time, and two more at once.
				budget{replica: "setups a second", at: now, inFlight: len(opened), bears: int(time.Second/5/cost) + 6})
		}
		return h
	}}
}

var _ = cells("owner and upstream: connections",
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
				o.Failed(at(now))
			}
		}
	}),
)

var _ = Describe("an owner that sends actions again", func() {
	It("runs one twice", func() {
		h := playLink(link{delivers: true, within: deadline}, false, true)
		Expect(fmt.Sprint(check(h))).To(ContainSubstring(atMostOnce))
	})
})

var _ = Describe("choosing evenly without hedges", func() {
	It("is late under each straggler", func() {
		for _, fault := range []string{"one upstream 30 times slower", "upstream slow, then another"} {
			Expect(check(pickWorld(matrixSeed, evenly{}, stragglers[fault]))).NotTo(BeEmpty(), fault)
		}
	})
})
