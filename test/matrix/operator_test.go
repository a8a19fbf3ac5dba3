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

var _ = cells("commits",
	cell{"validate", "tables with a mistake", commits(editors{operators: 1, mistake: true}, always(standinplatform.Applied))},
	cell{"validate", "tables with a mistake, and conflicting edits", commits(editors{operators: 3, mistake: true}, always(standinplatform.Applied))},
	cell{"commit", "conflicting edits", commits(editors{operators: 3}, always(standinplatform.Applied))},
	cell{"commit", "platform down", commits(editors{operators: 1}, during(5, 25, standinplatform.Rejected))},
	cell{"commit", "platform slow, writes applied after the operator gave up", commits(editors{operators: 1}, during(3, 20, standinplatform.DelayedWrite))},
	cell{"commit", "write applied with reply lost", commits(editors{operators: 1}, during(2, 6, standinplatform.ReplyLost))},
	cell{"commit", "every reply lost for long", commits(editors{operators: 1}, during(2, 40, standinplatform.ReplyLost))},
	cell{"commit", "request lost", commits(editors{operators: 1}, during(2, 6, standinplatform.RequestLost))},
	cell{"commit", "platform answers from its past", commits(editors{operators: 2}, during(10, 40, standinplatform.StaleRead))},
	cell{"commit", "conflicting edits, write applied with reply lost", commits(editors{operators: 3}, often(standinplatform.ReplyLost))},
	cell{"commit", "conflicting edits, write applied late", commits(editors{operators: 3}, often(standinplatform.DelayedWrite))},
	cell{"commit", "conflicting edits, platform down", commits(editors{operators: 3}, often(standinplatform.Rejected))},
	cell{"commit", "conflicting edits, platform answers from its past", commits(editors{operators: 3}, often(standinplatform.StaleRead))},
	cell{"commit", "conflicting edits, any of these", commits(editors{operators: 3}, anyFate)},
	cell{"commit", "operator killed before the head is written", commits(editors{operators: 2, killed: true}, always(standinplatform.Applied))},
	cell{"commit", "operator killed before the head is written, reply lost", commits(editors{operators: 2, killed: true}, often(standinplatform.ReplyLost))},
)

// editors are the operators of a commit cell.
type editors struct {
	operators int
	mistake   bool // half of the edits are not valid tables
	killed    bool // the first operator dies in its first commit and runs it again
	trusting  bool // naive: an unknown outcome is taken for accepted
}

// callFates chooses what happens to the call of a step.
type callFates func(step int, rng *rand.Rand) standinplatform.Outcome

func always(f standinplatform.Outcome) callFates {
	return func(int, *rand.Rand) standinplatform.Outcome { return f }
}

func during(from, to int, f standinplatform.Outcome) callFates {
	return func(step int, _ *rand.Rand) standinplatform.Outcome {
		if step >= from && step < to {
			return f
		}
		return standinplatform.Applied
	}
}

func often(f standinplatform.Outcome) callFates {
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

// The times of commit cells: one call of the platform takes commitStep.
const (
	commitStep  = 20 * time.Millisecond
	commitSteps = 4000
	commitTries = 4 // pauses after which an operator gives a try up
	commitRuns  = 8 // of the same edit, while its outcome is not known
)

// commitWorld is a platform with operators, and one node that reads.
type commitWorld struct {
	mu    sync.Mutex // guards h, which the operators' goroutines note to
	h     *history
	turns *standinplatform.Scheduler
	at    time.Duration
	have  tablestore.Head
}

// commits lets operators edit under fates. An edit is a request that runs when
// it becomes a revision: at most once, and not when its operator was told no.
func commits(e editors, choose callFates) func(uint64) *history {
	return func(seed uint64) *history {
		store := standinplatform.NewStore(func() time.Time { return time.Unix(0, 0) })
		w := &commitWorld{h: &history{adoptions: []adoption{{node: "reader"}}, asked: map[string]time.Duration{}, finished: map[string]time.Duration{}}, turns: standinplatform.NewScheduler(store)}
		for op := range e.operators {
			w.turns.Go(fmt.Sprint("op", op), func(ctx context.Context, kv kvservice.KV) {
				for n := range 3 {
					w.edit(ctx, kv, fmt.Sprintf("e%d-%d", op, n), e, n)
				}
			})
		}
		rng := rand.New(rand.NewPCG(seed, 3))
		for step := range commitSteps {
			names := w.turns.AwaitBlocked()
			if len(names) == 0 {
				break
			}
			w.at += commitStep
			w.turns.Step(names[rng.IntN(len(names))], choose(step, rng))
			if w.turns.AwaitBlocked(); rng.IntN(6) == 0 {
				w.turns.ReleaseDelayed()
			}
			w.read(store)
		}
		w.turns.ReleaseDelayed()
		w.turns.Close()
		w.read(store)
		w.judge()
		return w.h
	}
}

// edit is an operator's change: read, check, commit, and commit again while the
// outcome is not known.
func (w *commitWorld) edit(ctx context.Context, kv kvservice.KV, id string, e editors, n int) {
	w.note(func(h *history) { h.asked[id] = time.Duration(commitSteps) * commitStep })
	defer func() { w.note(func(h *history) { h.finished[id] = w.at }) }()
	pause := func(_ context.Context, try int) error {
		if try >= commitTries {
			return context.DeadlineExceeded
		}
		return nil
	}
	text := fmt.Sprintf("[pool %s]\nshards = 1\nslots = 1\nconnections = 1\nupstream.u = 127.0.0.1:9 zone=a shard=0\n", id)
	if e.mistake && n%2 == 0 {
		text += "[pool " + id + "]\n"
		w.deny(id) // whatever is said of it, it must not come into force
	}
	if _, err := tables.Parse(tables.Source{Name: id, Text: []byte(text)}); err != nil {
		return
	}
	store := tablestore.Store{KV: kv, Pause: pause}
	base, _, err := store.Load(ctx)
	if err != nil {
		w.deny(id)
		return
	}
	if e.killed && id == "e0-0" {
		dying, die := context.WithCancel(ctx)
		_, _ = tablestore.Store{KV: &dyingKV{KV: kv, die: die}, Pause: pause}.Commit(dying, base.Revision, []byte(text), id)
	}
	unsure := e.killed
	for range commitRuns {
		h, err := store.Commit(ctx, base.Revision, []byte(text), id)
		switch {
		case err == nil:
			w.accept(h.Revision)
			return
		case errors.Is(err, tablestore.ErrOutcomeUnknown) && e.trusting:
			w.accept(base.Revision + 1)
			return
		case errors.Is(err, tablestore.ErrOutcomeUnknown):
			unsure = true
		case errors.Is(err, tablestore.ErrConflict) || !unsure:
			w.deny(id)
			return
		}
	}
}

func (w *commitWorld) deny(id string) {
	w.note(func(h *history) { h.refusals = append(h.refusals, refusal{id, verdict.NotRun}) })
}

func (w *commitWorld) accept(revision uint64) {
	w.note(func(h *history) { h.accepted = append(h.accepted, acceptance{revision, w.at}) })
}

func (w *commitWorld) note(add func(*history)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	add(w.h)
}

// dyingKV is the platform of an operator who dies at the write of the head.
type dyingKV struct {
	kvservice.KV
	die context.CancelFunc
}

func (d *dyingKV) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease kvservice.LeaseID) (kvservice.Entry, error) {
	if key == tablestore.HeadKey {
		d.die()
		return kvservice.Entry{}, kvservice.ErrUnavailable
	}
	return d.KV.CompareAndSwap(ctx, key, expect, value, lease)
}

// read lets the node watch the platform.
func (w *commitWorld) read(kv kvservice.KV) {
	h, text, err := tablestore.Watch(context.Background(), kv, "", w.have, 0)
	if err != nil || len(text) == 0 {
		return
	}
	w.have = h
	w.h.adoptions = append(w.h.adoptions, adoption{node: "reader", revision: h.Revision, at: w.at})
}

// judge notes every revision that came into force as the run of its edit.
func (w *commitWorld) judge() {
	for _, e := range w.turns.History(tablestore.HeadKey) {
		h, err := tablestore.DecodeHead(e)
		if err != nil {
			continue
		}
		w.h.runs = append(w.h.runs, run{key: h.EditID, request: h.EditID, at: w.at})
	}
}

var _ = cells("zones",
	cell{"return", "upstreams went cold while their zone was out", zoneReturns((*coldstart.Warmup).BackInService)},
)

// zoneReturns takes a zone out whose warm replica goes cold meanwhile without a
// new start, and brings it back under full demand. While cold it bears one
// request, and one more for every ten that it has served since.
func zoneReturns(returned func(*coldstart.Warmup, time.Time)) func(uint64) *history {
	const cold, warm, runTime = 1, 4, 10 * time.Millisecond
	return func(uint64) *history {
		h := &history{}
		start := time.Unix(0, 0)
		at, served := time.Duration(0), 0
		w := coldstart.New(coldstart.Config{Cold: cold, Warm: warm}, start)
		serve := func(until time.Duration, note bool) {
			for ; at < until; at += runTime {
				n := w.Limit(start.Add(at))
				if note {
					h.budgets = append(h.budgets, budget{"replica", at, n, min(warm, cold+served/10)})
				}
				for range n {
					w.Succeeded(start.Add(at+runTime), runTime, true)
					served++
				}
			}
		}
		serve(10*time.Second, false)
		at, served = 70*time.Second, 0
		returned(w, start.Add(at))
		serve(80*time.Second, true)
		return h
	}
}

// The time after which a fault or trouble of a rollout cell is late: the move
// is over by then.
const lateInRollout = 5*time.Minute + 10*time.Second

var _ = cells("rollouts",
	cell{"start", "new version fails", rolledOut(traffic.Fault{Errors: 1}, traffic.Disturbances{})},
	cell{"start", "new version crashes", rolledOut(traffic.Fault{Crashes: 0.5}, traffic.Disturbances{})},
	cell{"start", "new version slow", rolledOut(traffic.Fault{SlowFactor: 10}, traffic.Disturbances{})},
	cell{"start", "new version fails on a single route", rolledOut(traffic.Fault{Errors: 1, Route: "route-1"}, traffic.Disturbances{})},
	cell{"start", "new version fails, stragglers", rolledOut(traffic.Fault{Errors: 1}, traffic.Disturbances{Stragglers: 1})},
	cell{"start", "new version fails, noise", rolledOut(traffic.Fault{Errors: 1}, traffic.Disturbances{NoisePeriod: 20 * time.Second})},
	cell{"start", "new version fails, zone out", rolledOut(traffic.Fault{Errors: 1}, traffic.Disturbances{ZoneOutAt: time.Second})},
	cell{"raise", "new version fails under load only", rolledOut(traffic.Fault{Errors: 0.3, MinShare: 0.4}, traffic.Disturbances{})},
	cell{"raise", "new version slow under load only", rolledOut(traffic.Fault{SlowFactor: 4, MinShare: 0.4}, traffic.Disturbances{})},
	cell{"raise", "new version crashes under load only", rolledOut(traffic.Fault{Crashes: 0.3, MinShare: 0.4}, traffic.Disturbances{})},
	cell{"raise", "stragglers", rolledOut(traffic.Fault{}, traffic.Disturbances{Stragglers: 1})},
	cell{"raise", "zone out", rolledOut(traffic.Fault{}, traffic.Disturbances{ZoneOutAt: time.Minute})},
	cell{"judge", "judge killed", rolledOut(traffic.Fault{}, traffic.Disturbances{JudgeReplacedAt: time.Minute})},
	cell{"judge", "judge killed as the fault begins", rolledOut(traffic.Fault{Errors: 1, After: time.Minute}, traffic.Disturbances{JudgeReplacedAt: time.Minute + time.Second})},
	cell{"judge", "node restarted", rolledOut(traffic.Fault{}, traffic.Disturbances{NodeReplacedAt: time.Minute})},
	cell{"judge", "node paused", rolledOut(traffic.Fault{}, traffic.Disturbances{NodePausedAt: time.Minute})},
	cell{"judge", "node paused as the fault begins", rolledOut(traffic.Fault{Errors: 1, After: time.Minute}, traffic.Disturbances{NodePausedAt: time.Minute})},
	cell{"judge", "reports late", rolledOut(traffic.Fault{}, traffic.Disturbances{ReportDelay: 500 * time.Millisecond})},
	cell{"finish", "noise", rolledOut(traffic.Fault{}, traffic.Disturbances{NoisePeriod: 20 * time.Second})},
	cell{"finish", "noise and stragglers", rolledOut(traffic.Fault{}, traffic.Disturbances{NoisePeriod: 20 * time.Second, Stragglers: 1})},
	cell{"finish", "zone out", rolledOut(traffic.Fault{}, traffic.Disturbances{ZoneOutAt: lateInRollout})},
	cell{"finish", "noise once all has moved", rolledOut(traffic.Fault{}, traffic.Disturbances{NoisePeriod: 5 * time.Minute})},
	cell{"veto", "new version fails late", rolledOut(traffic.Fault{Errors: 0.3, After: lateInRollout}, traffic.Disturbances{})},
	cell{"veto", "new version slow late", rolledOut(traffic.Fault{SlowFactor: 4, After: lateInRollout}, traffic.Disturbances{})},
	cell{"veto", "new version crashes late", rolledOut(traffic.Fault{Crashes: 0.3, After: lateInRollout}, traffic.Disturbances{})},
	cell{"veto", "new version fails late, judge killed before", rolledOut(traffic.Fault{Errors: 0.3, After: lateInRollout}, traffic.Disturbances{JudgeReplacedAt: 4 * time.Minute})},
)

// intervalSeconds is the length of the intervals in which the share of a
// version that is bad from the start is taken.
const intervalSeconds = 30

// rolledOut runs a rollout. A good version is asked to be done by its time; a
// bad one has its share checked, over the whole run for the requests that met
// the fault, and in intervals when it is bad from the start.
func rolledOut(f traffic.Fault, t traffic.Disturbances, changes ...func(*traffic.Config)) func(uint64) *history {
	return func(seed uint64) *history {
		cfg := traffic.Default(seed)
		cfg.Fault, cfg.Disturbances = f, t
		for _, change := range changes {
			change(&cfg)
		}
		r := traffic.Run(cfg)
		h := &history{asked: map[string]time.Duration{}, finished: map[string]time.Duration{}}
		if !f.Exists() {
			h.asked["done"] = cfg.Duration
			if r.CompletedAt != traffic.Never && r.VetoedAt == traffic.Never {
				h.finished["done"] = r.CompletedAt
			}
			return h
		}
		h.asked["taken back"] = cfg.Duration + cfg.Tail
		if r.VetoedAt != traffic.Never {
			h.finished["taken back"] = r.VetoedAt
		}
		told := r.DetectableAt
		if told == traffic.Never {
			told = max(r.VetoedAt, 0)
		}
		h.rollouts = append(h.rollouts, rolloutShare{pool: "ledger", share: faultyShare(r.Seconds), since: noSign})
		for i := range r.Seconds {
			at := time.Duration(i) * time.Second
			switch {
			case at > told+badVersionEnds:
				h.rollouts = append(h.rollouts, rolloutShare{"ledger", at, traffic.Share(r.Seconds[i : i+1]), told})
			case f.After == 0 && f.MinShare == 0 && i%intervalSeconds == 0:
				h.rollouts = append(h.rollouts, rolloutShare{"ledger", at, traffic.Share(r.Seconds[i:min(i+intervalSeconds, len(r.Seconds))]), noSign})
			}
		}
		return h
	}
}

// faultyShare is the share of all requests that met the fault's version while
// the fault was there.
func faultyShare(seconds []traffic.Second) float64 {
	var all, faulty int
	for _, s := range seconds {
		all += s.Requests
		faulty += s.Faulty
	}
	return float64(faulty) / float64(max(all, 1))
}

// The cells turn red under a naive policy.
var _ = DescribeTable("a naive operator policy is found",
	func(promise string, run func(uint64) *history) {
		var promises []string
		for _, v := range check(run(matrixSeed)) {
			promises = append(promises, v.promise)
		}
		Expect(promises).To(ContainElement(promise))
	},
	Entry("unknown taken for accepted", inForce, commits(editors{operators: 1, trusting: true}, during(3, 4000, standinplatform.RequestLost))),
	Entry("a zone that returns at full load", bearable, zoneReturns(func(*coldstart.Warmup, time.Time) {})),
	Entry("version by the time alone, errors", badVersion, rolledOut(traffic.Fault{Errors: 1}, traffic.Disturbances{}, byTimeAlone)),
	Entry("version by the time alone, under load", badVersion, rolledOut(traffic.Fault{Errors: 0.3, MinShare: 0.4}, traffic.Disturbances{}, byTimeAlone)),
	Entry("nodes that never hear of a veto", badVersion, rolledOut(traffic.Fault{Errors: 0.3, After: lateInRollout}, traffic.Disturbances{}, deafToVetoes)),
)

// byTimeAlone moves all traffic at half time.
func byTimeAlone(c *traffic.Config) {
	c.Choose = func(pool *tables.Pool, _ rollout.Progress, now time.Time, _ string) string {
		if now.Sub(pool.Rollout.Start) > c.Duration/2 {
			return traffic.New
		}
		return traffic.Old
	}
}

func deafToVetoes(c *traffic.Config) {
	c.Choose = func(pool *tables.Pool, p rollout.Progress, now time.Time, id string) string {
		p.Vetoed = false
		return rollout.Choose(pool, p, now, id)
	}
}
