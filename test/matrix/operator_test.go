package matrix

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sapphirewall/sapphirewall/internal/decide/coldstart"
	"github.com/sapphirewall/sapphirewall/internal/decide/rollout"
	kvservice "github.com/sapphirewall/sapphirewall/internal/platform"
	standinplatform "github.com/sapphirewall/sapphirewall/internal/standin/platform"
	"github.com/sapphirewall/sapphirewall/internal/standin/traffic"
	"github.com/sapphirewall/sapphirewall/internal/tables"
	"github.com/sapphirewall/sapphirewall/internal/tablestore"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

var _ = registerCells("commits",
	cell{"validate", "tables with a mistake", runCommits(commitScenario{operators: 1, invalidEdits: true}, always(standinplatform.Applied))},
	cell{"validate", "tables with a mistake, and conflicting edits", runCommits(commitScenario{operators: 3, invalidEdits: true}, always(standinplatform.Applied))},
	cell{"commit", "conflicting edits", runCommits(commitScenario{operators: 3}, always(standinplatform.Applied))},
	cell{"commit", "platform down", runCommits(commitScenario{operators: 1}, during(5, 25, standinplatform.Rejected))},
	cell{"commit", "platform slow, writes applied after the operator gave up", runCommits(commitScenario{operators: 1}, during(3, 20, standinplatform.DelayedWrite))},
	cell{"commit", "write applied with reply lost", runCommits(commitScenario{operators: 1}, during(2, 6, standinplatform.ReplyLost))},
	cell{"commit", "every reply lost for long", runCommits(commitScenario{operators: 1}, during(2, 40, standinplatform.ReplyLost))},
	cell{"commit", "request lost", runCommits(commitScenario{operators: 1}, during(2, 6, standinplatform.RequestLost))},
	cell{"commit", "platform answers from its past", runCommits(commitScenario{operators: 2}, during(10, 40, standinplatform.StaleRead))},
	cell{"commit", "conflicting edits, write applied with reply lost", runCommits(commitScenario{operators: 3}, often(standinplatform.ReplyLost))},
	cell{"commit", "conflicting edits, write applied late", runCommits(commitScenario{operators: 3}, often(standinplatform.DelayedWrite))},
	cell{"commit", "conflicting edits, platform down", runCommits(commitScenario{operators: 3}, often(standinplatform.Rejected))},
	cell{"commit", "conflicting edits, platform answers from its past", runCommits(commitScenario{operators: 3}, often(standinplatform.StaleRead))},
	cell{"commit", "conflicting edits, any of these", runCommits(commitScenario{operators: 3}, anyFate)},
	cell{"commit", "operator killed before the head is written", runCommits(commitScenario{operators: 2, firstKilled: true}, always(standinplatform.Applied))},
	cell{"commit", "operator killed before the head is written, reply lost", runCommits(commitScenario{operators: 2, firstKilled: true}, often(standinplatform.ReplyLost))},
)

// commitScenario describes the operators of a commit cell.
type commitScenario struct {
	operators     int
	invalidEdits  bool // the first and third edit of each operator are invalid tables
	firstKilled   bool // the first operator is killed in its first commit and repeats it
	acceptUnknown bool // naive: an unknown outcome counts as accepted
}

// fateFunc chooses what happens to the platform call of a step.
type fateFunc func(step int, rng *rand.Rand) standinplatform.Outcome

func always(f standinplatform.Outcome) fateFunc {
	return func(int, *rand.Rand) standinplatform.Outcome { return f }
}

func during(from, to int, f standinplatform.Outcome) fateFunc {
	return func(step int, _ *rand.Rand) standinplatform.Outcome {
		if step >= from && step < to {
			return f
		}
		return standinplatform.Applied
	}
}

func often(f standinplatform.Outcome) fateFunc {
	return func(_ int, rng *rand.Rand) standinplatform.Outcome {
		if rng.IntN(3) == 0 {
			return f
		}
		return standinplatform.Applied
	}
}

func anyFate(_ int, rng *rand.Rand) standinplatform.Outcome {
	if rng.IntN(2) == 0 {
		return standinplatform.Outcome(rng.IntN(standinplatform.NumOutcomes))
	}
	return standinplatform.Applied
}

// The parameters of commit cells; one platform call takes commitStep.
const (
	commitStep  = 20 * time.Millisecond
	commitSteps = 4000
	maxPauses   = 4 // pauses after which an operator abandons a commit
	maxCommits  = 8 // commits of the same edit while its outcome is unknown
)

// commitSim simulates a platform, its operators, and one node that reads the
// tables.
type commitSim struct {
	mu    sync.Mutex // guards h, to which the operators' goroutines write
	h     *history
	turns *standinplatform.Scheduler
	at    time.Duration
	head  tablestore.Head
}

// runCommits lets operators edit while choose decides the outcome of their calls. An
// edit is recorded as a request that is executed when it becomes a revision: at
// most once, and never if it was reported to its operator as rejected.
func runCommits(sc commitScenario, choose fateFunc) func(uint64) *history {
	return func(seed uint64) *history {
		store := standinplatform.NewStore(func() time.Time { return time.Unix(0, 0) })
		sim := &commitSim{h: &history{adoptions: []adoption{{node: "reader"}}, deadlines: map[string]time.Duration{}, finishedAt: map[string]time.Duration{}}, turns: standinplatform.NewScheduler(store)}
		for op := range sc.operators {
			sim.turns.Go(fmt.Sprint("op", op), func(ctx context.Context, kv kvservice.KV) {
				for n := range 3 {
					sim.edit(ctx, kv, fmt.Sprintf("e%d-%d", op, n), sc, n)
				}
			})
		}
		rng := rand.New(rand.NewPCG(seed, 3))
		for step := range commitSteps {
			names := sim.turns.AwaitBlocked()
			if len(names) == 0 {
				break
			}
			sim.at += commitStep
			sim.turns.Step(names[rng.IntN(len(names))], choose(step, rng))
			if sim.turns.AwaitBlocked(); rng.IntN(6) == 0 {
				sim.turns.ReleaseDelayed()
			}
			sim.readHead(store)
		}
		sim.turns.ReleaseDelayed()
		sim.turns.Close()
		sim.readHead(store)
		sim.recordExecutions()
		return sim.h
	}
}

// edit makes one change as an operator does: read, validate, commit, and commit
// again while the outcome is unknown.
func (sim *commitSim) edit(ctx context.Context, kv kvservice.KV, id string, sc commitScenario, n int) {
	sim.record(func(h *history) { h.deadlines[id] = time.Duration(commitSteps) * commitStep })
	defer func() { sim.record(func(h *history) { h.finishedAt[id] = sim.at }) }()
	pause := func(_ context.Context, try int) error {
		if try >= maxPauses {
			return context.DeadlineExceeded
		}
		return nil
	}
	text := fmt.Sprintf("[pool %s]\nshards = 1\nslots = 1\nconnections = 1\nupstream.u = 127.0.0.1:9 zone=a shard=0\n", id)
	if sc.invalidEdits && n%2 == 0 {
		text += "[pool " + id + "]\n"
		sim.recordRefusal(id) // invalid tables must never come into force, whatever is reported
	}
	if _, err := tables.Parse(tables.Source{Name: id, Text: []byte(text)}); err != nil {
		return
	}
	store := tablestore.Store{KV: kv, Pause: pause}
	base, _, err := store.Load(ctx)
	if err != nil {
		sim.recordRefusal(id)
		return
	}
	if sc.firstKilled && id == "e0-0" {
		cancellable, cancel := context.WithCancel(ctx)
		_, _ = tablestore.Store{KV: &cancellingKV{KV: kv, cancel: cancel}, Pause: pause}.Commit(cancellable, base.Revision, []byte(text), id)
	}
	outcomeUnknown := sc.firstKilled
	for range maxCommits {
		h, err := store.Commit(ctx, base.Revision, []byte(text), id)
		switch {
		case err == nil:
			sim.recordAcceptance(h.Revision)
			return
		case errors.Is(err, tablestore.ErrOutcomeUnknown) && sc.acceptUnknown:
			sim.recordAcceptance(base.Revision + 1)
			return
		case errors.Is(err, tablestore.ErrOutcomeUnknown):
			outcomeUnknown = true
		case errors.Is(err, tablestore.ErrConflict) || !outcomeUnknown:
			sim.recordRefusal(id)
			return
		}
	}
}

func (sim *commitSim) recordRefusal(id string) {
	sim.record(func(h *history) { h.refusals = append(h.refusals, refusal{id, verdict.NotRun}) })
}

func (sim *commitSim) recordAcceptance(revision uint64) {
	sim.record(func(h *history) { h.accepted = append(h.accepted, acceptance{revision, sim.at}) })
}

func (sim *commitSim) record(add func(*history)) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	add(sim.h)
}

// cancellingKV cancels its operator's context at the write of the head, as if the
// operator's process were killed there.
type cancellingKV struct {
	kvservice.KV
	cancel context.CancelFunc
}

func (k *cancellingKV) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease kvservice.LeaseID) (kvservice.Entry, error) {
	if key == tablestore.HeadKey {
		k.cancel()
		return kvservice.Entry{}, kvservice.ErrUnavailable
	}
	return k.KV.CompareAndSwap(ctx, key, expect, value, lease)
}

// readHead makes the node read the tables from the platform.
func (sim *commitSim) readHead(kv kvservice.KV) {
	h, text, err := tablestore.Watch(context.Background(), kv, "", sim.head, 0)
	if err != nil || len(text) == 0 {
		return
	}
	sim.head = h
	sim.h.adoptions = append(sim.h.adoptions, adoption{node: "reader", revision: h.Revision, at: sim.at})
}

// recordExecutions records each revision of the head as an execution of its edit.
func (sim *commitSim) recordExecutions() {
	for _, e := range sim.turns.History(tablestore.HeadKey) {
		h, err := tablestore.DecodeHead(e)
		if err != nil {
			continue
		}
		sim.h.executions = append(sim.h.executions, execution{key: h.EditID, request: h.EditID, at: sim.at})
	}
}

var _ = registerCells("zones",
	cell{"return", "upstreams went cold while their zone was out", zoneReturns((*coldstart.Warmup).BackInService)},
)

// zoneReturns takes a zone out of service, in which a warm replica turns cold
// without a restart, and brings it back under full load. The cold replica's
// capacity is one request, and one more for every ten that it has served since.
func zoneReturns(onReturn func(*coldstart.Warmup, time.Time)) func(uint64) *history {
	const cold, warm, serviceTime = 1, 4, 10 * time.Millisecond
	return func(uint64) *history {
		h := &history{}
		start := time.Unix(0, 0)
		at, served := time.Duration(0), 0
		w := coldstart.New(coldstart.Config{Cold: cold, Warm: warm}, start)
		serve := func(until time.Duration, record bool) {
			for ; at < until; at += serviceTime {
				n := w.Limit(start.Add(at))
				if record {
					h.loadSamples = append(h.loadSamples, loadSample{"replica", at, n, min(warm, cold+served/10)})
				}
				for range n {
					w.Succeeded(start.Add(at+serviceTime), serviceTime, true)
					served++
				}
			}
		}
		serve(10*time.Second, false)
		at, served = 70*time.Second, 0
		onReturn(w, start.Add(at))
		serve(80*time.Second, true)
		return h
	}
}

// afterMove is the time of late faults and disturbances in rollout cells, when all
// traffic has moved to the new version.
const afterMove = 5*time.Minute + 10*time.Second

var _ = registerCells("rollouts",
	cell{"start", "new version fails", runRollout(traffic.Fault{Errors: 1}, traffic.Disturbances{})},
	cell{"start", "new version crashes", runRollout(traffic.Fault{Crashes: 0.5}, traffic.Disturbances{})},
	cell{"start", "new version slow", runRollout(traffic.Fault{SlowFactor: 10}, traffic.Disturbances{})},
	cell{"start", "new version fails on a single route", runRollout(traffic.Fault{Errors: 1, Route: "route-1"}, traffic.Disturbances{})},
	cell{"start", "new version fails, stragglers", runRollout(traffic.Fault{Errors: 1}, traffic.Disturbances{Stragglers: 1})},
	cell{"start", "new version fails, noise", runRollout(traffic.Fault{Errors: 1}, traffic.Disturbances{NoisePeriod: 20 * time.Second})},
	cell{"start", "new version fails, zone out", runRollout(traffic.Fault{Errors: 1}, traffic.Disturbances{ZoneOutAt: time.Second})},
	cell{"raise", "new version fails under load only", runRollout(traffic.Fault{Errors: 0.3, MinShare: 0.4}, traffic.Disturbances{})},
	cell{"raise", "new version slow under load only", runRollout(traffic.Fault{SlowFactor: 4, MinShare: 0.4}, traffic.Disturbances{})},
	cell{"raise", "new version crashes under load only", runRollout(traffic.Fault{Crashes: 0.3, MinShare: 0.4}, traffic.Disturbances{})},
	cell{"raise", "stragglers", runRollout(traffic.Fault{}, traffic.Disturbances{Stragglers: 1})},
	cell{"raise", "zone out", runRollout(traffic.Fault{}, traffic.Disturbances{ZoneOutAt: time.Minute})},
	cell{"judge", "judge killed", runRollout(traffic.Fault{}, traffic.Disturbances{JudgeReplacedAt: time.Minute})},
	cell{"judge", "judge killed as the fault begins", runRollout(traffic.Fault{Errors: 1, After: time.Minute}, traffic.Disturbances{JudgeReplacedAt: time.Minute + time.Second})},
	cell{"judge", "node restarted", runRollout(traffic.Fault{}, traffic.Disturbances{NodeReplacedAt: time.Minute})},
	cell{"judge", "node paused", runRollout(traffic.Fault{}, traffic.Disturbances{NodePausedAt: time.Minute})},
	cell{"judge", "node paused as the fault begins", runRollout(traffic.Fault{Errors: 1, After: time.Minute}, traffic.Disturbances{NodePausedAt: time.Minute})},
	cell{"judge", "reports late", runRollout(traffic.Fault{}, traffic.Disturbances{ReportDelay: 500 * time.Millisecond})},
	cell{"finish", "noise", runRollout(traffic.Fault{}, traffic.Disturbances{NoisePeriod: 20 * time.Second})},
	cell{"finish", "noise and stragglers", runRollout(traffic.Fault{}, traffic.Disturbances{NoisePeriod: 20 * time.Second, Stragglers: 1})},
	cell{"finish", "zone out", runRollout(traffic.Fault{}, traffic.Disturbances{ZoneOutAt: afterMove})},
	cell{"finish", "noise once all has moved", runRollout(traffic.Fault{}, traffic.Disturbances{NoisePeriod: 5 * time.Minute})},
	cell{"veto", "new version fails late", runRollout(traffic.Fault{Errors: 0.3, After: afterMove}, traffic.Disturbances{})},
	cell{"veto", "new version slow late", runRollout(traffic.Fault{SlowFactor: 4, After: afterMove}, traffic.Disturbances{})},
	cell{"veto", "new version crashes late", runRollout(traffic.Fault{Crashes: 0.3, After: afterMove}, traffic.Disturbances{})},
	cell{"veto", "new version fails late, judge killed before", runRollout(traffic.Fault{Errors: 0.3, After: afterMove}, traffic.Disturbances{JudgeReplacedAt: 4 * time.Minute})},
)

// intervalSeconds is the length of the intervals over which the share of a version
// that is bad from the start is measured.
const intervalSeconds = 30

// runRollout simulates a rollout. A good version must be completed in time. A bad
// one must be rolled back, and its share of the traffic is recorded: over the whole
// rollout for the requests that met the fault, and per interval if it is bad from
// the start.
func runRollout(f traffic.Fault, t traffic.Disturbances, changes ...func(*traffic.Config)) func(uint64) *history {
	return func(seed uint64) *history {
		cfg := traffic.Default(seed)
		cfg.Fault, cfg.Disturbances = f, t
		for _, change := range changes {
			change(&cfg)
		}
		r := traffic.Run(cfg)
		h := &history{deadlines: map[string]time.Duration{}, finishedAt: map[string]time.Duration{}}
		if !f.Exists() {
			h.deadlines["done"] = cfg.Duration
			if r.CompletedAt != traffic.Never && r.VetoedAt == traffic.Never {
				h.finishedAt["done"] = r.CompletedAt
			}
			return h
		}
		h.deadlines["rolled back"] = cfg.Duration + cfg.Tail
		if r.VetoedAt != traffic.Never {
			h.finishedAt["rolled back"] = r.VetoedAt
		}
		detectedAt := r.DetectableAt
		if detectedAt == traffic.Never {
			detectedAt = max(r.VetoedAt, 0)
		}
		h.rollouts = append(h.rollouts, rolloutShare{pool: "ledger", share: faultyShare(r.Seconds), detectableSince: noSignal})
		for i := range r.Seconds {
			at := time.Duration(i) * time.Second
			switch {
			case at > detectedAt+badVersionStopWithin:
				h.rollouts = append(h.rollouts, rolloutShare{"ledger", at, traffic.Share(r.Seconds[i : i+1]), detectedAt})
			case f.After == 0 && f.MinShare == 0 && i%intervalSeconds == 0:
				h.rollouts = append(h.rollouts, rolloutShare{"ledger", at, traffic.Share(r.Seconds[i:min(i+intervalSeconds, len(r.Seconds))]), noSignal})
			}
		}
		return h
	}
}

// faultyShare returns the share of all requests that reached the faulty version
// while the fault was present.
func faultyShare(seconds []traffic.Second) float64 {
	var all, faulty int
	for _, s := range seconds {
		all += s.Requests
		faulty += s.Faulty
	}
	return float64(faulty) / float64(max(all, 1))
}

// Guards against cells that pass under a naive policy.
var _ = DescribeTable("check detects a naive operator policy",
	func(promise string, run func(uint64) *history) {
		var promises []string
		for _, v := range check(run(matrixSeed)) {
			promises = append(promises, v.promise)
		}
		Expect(promises).To(ContainElement(promise))
	},
	Entry("an unknown outcome counts as accepted", inForce, runCommits(commitScenario{operators: 1, acceptUnknown: true}, during(3, 4000, standinplatform.RequestLost))),
	Entry("a zone that returns with full limits", bearableStart, zoneReturns(func(*coldstart.Warmup, time.Time) {})),
	Entry("version chosen by time alone, with errors", badVersionSmall, runRollout(traffic.Fault{Errors: 1}, traffic.Disturbances{}, chooseByTime)),
	Entry("version chosen by time alone, with errors under load", badVersionSmall, runRollout(traffic.Fault{Errors: 0.3, MinShare: 0.4}, traffic.Disturbances{}, chooseByTime)),
	Entry("nodes that ignore vetoes", badVersionSmall, runRollout(traffic.Fault{Errors: 0.3, After: afterMove}, traffic.Disturbances{}, ignoreVetoes)),
)

// chooseByTime moves all traffic to the new version at half time.
func chooseByTime(c *traffic.Config) {
	c.Choose = func(pool *tables.Pool, _ rollout.Progress, now time.Time, _ string) string {
		if now.Sub(pool.Rollout.Start) > c.Duration/2 {
			return traffic.New
		}
		return traffic.Old
	}
}

func ignoreVetoes(c *traffic.Config) {
	c.Choose = func(pool *tables.Pool, p rollout.Progress, now time.Time, id string) string {
		p.Vetoed = false
		return rollout.Choose(pool, p, now, id)
	}
}
