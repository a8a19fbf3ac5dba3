package matrix

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/fanout"
	"github.com/sapphirewall/sapphirewall/internal/decide/hedge"
	"github.com/sapphirewall/sapphirewall/internal/decide/retry"
	"github.com/sapphirewall/sapphirewall/internal/decide/snapshot"
	"github.com/sapphirewall/sapphirewall/internal/tables"
)

// task is a function that runs at a virtual time.
type task struct {
	at  time.Duration
	seq int
	do  func()
}

// querySim simulates an entry process, the owners of claims, the upstreams and
// the platform on virtual time, with the real decision packages.
type querySim struct {
	h     *history
	rng   *rand.Rand
	now   time.Duration
	tasks []task // by time, then by seq
	seq   int

	replicas        []*upstreamReplica
	shards          map[uint64]map[string]int     // actual shard count by snapshot and pool
	reports         map[string][]snapshot.Report  // last reports received by the entry process, by pool
	respond         func(pa partAttempt) response // nil: correctResponse
	lagging         bool                          // the entry process receives no reports
	entryKilled     bool
	mergeAll        bool // naive: merge parts unchecked
	countSent       bool // naive: coverage counts all parts that were sent
	ignoreDeadlines bool // naive: queries have no effective deadline
	retryAll        bool // naive: actions are retried after any failure
	noRestarts      bool // baseline: no query restarts on a newer snapshot
	hedgers         map[string]*hedge.Hedger
	budgets         map[string]*retry.Budget
	payloads        map[string]payloadSource
	claims          claimSim
}

// upstreamReplica is one replica with the shard that it holds of each snapshot.
type upstreamReplica struct {
	id, pool string
	held     map[uint64]snapshot.HeldShard
	inFlight int
	latency  time.Duration
}

// partAttempt is one attempt at a replica.
type partAttempt struct {
	request, key string
	part         fanout.Part
	attempt      uint32
	snapshot     uint64
	idempotent   bool
	replica      *upstreamReplica
	isRetry      bool // not the first attempt of the part
}

// response is what a replica does with an attempt.
type response struct {
	delay      time.Duration
	noReply    bool // no reply is sent
	executed   bool
	reply      fanout.Reply
	duplicated bool // the reply arrives twice
}

// payloadSource is the request and the data from which a payload was made.
type payloadSource struct {
	request  string
	pool     string
	snapshot uint64
	lo, hi   uint32
}

// queryEpoch is the wall-clock time at virtual time 0 of every querySim.
var queryEpoch = time.Unix(1_700_000_000, 0)

const queryServiceTime = 4 * time.Millisecond

func newQuerySim(seed uint64) *querySim {
	sim := &querySim{
		h:       &history{deadlines: map[string]time.Duration{}, finishedAt: map[string]time.Duration{}},
		rng:     rand.New(rand.NewPCG(seed, 1)),
		shards:  map[uint64]map[string]int{1: {"lines": 3, "ledger": 1}},
		reports: map[string][]snapshot.Report{},
		hedgers: map[string]*hedge.Hedger{}, budgets: map[string]*retry.Budget{}, payloads: map[string]payloadSource{},
	}
	for i := range 9 {
		sim.replicas = append(sim.replicas, &upstreamReplica{id: fmt.Sprint("lines-", i), pool: "lines", latency: queryServiceTime})
	}
	for i := range 3 {
		sim.replicas = append(sim.replicas, &upstreamReplica{id: fmt.Sprint("ledger-", i), pool: "ledger", latency: queryServiceTime})
	}
	for _, r := range sim.replicas {
		r.held = map[uint64]snapshot.HeldShard{}
		sim.hedgers[r.pool] = hedge.New()
		sim.budgets[r.pool] = retry.NewBudget(queryEpoch)
	}
	sim.publishSnapshot(1)
	sim.claims = newClaimSim(sim)
	return sim
}

// publishSnapshot makes every replica hold a snapshot and updates the reports.
func (sim *querySim) publishSnapshot(id uint64) {
	perPool := map[string]int{}
	for _, r := range sim.replicas {
		count := sim.shards[id][r.pool]
		shard := perPool[r.pool] % count
		perPool[r.pool]++
		r.held[id] = snapshot.HeldShard{
			Snapshot: id, Shard: uint32(shard), ShardCount: uint32(count),
			Lo: uint32(tables.KeySpace * shard / count), Hi: uint32(tables.KeySpace * (shard + 1) / count),
		}
	}
	sim.updateReports()
}

// dropSnapshot removes a snapshot from replicas without a report.
func (sim *querySim) dropSnapshot(id uint64, replicas ...*upstreamReplica) {
	for _, r := range replicas {
		delete(r.held, id)
	}
}

// updateReports sends the entry process what is held now, unless it is lagging.
func (sim *querySim) updateReports() {
	if sim.lagging {
		return
	}
	sim.reports = map[string][]snapshot.Report{}
	for _, r := range sim.replicas {
		report := snapshot.Report{Replica: r.id}
		for _, id := range []uint64{1, 2, 3} {
			if h, ok := r.held[id]; ok {
				report.Shards = append(report.Shards, h)
			}
		}
		sim.reports[r.pool] = append(sim.reports[r.pool], report)
	}
}

func (sim *querySim) clock() time.Time { return queryEpoch.Add(sim.now) }

// schedule runs do at t, or now if t has passed.
func (sim *querySim) schedule(t time.Duration, do func()) {
	sim.seq++
	e := task{max(t, sim.now), sim.seq, do}
	i, _ := slices.BinarySearchFunc(sim.tasks, e, func(a, b task) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.seq, b.seq)) })
	sim.tasks = slices.Insert(sim.tasks, i, e)
}

func (sim *querySim) after(d time.Duration, do func()) { sim.schedule(sim.now+d, do) }

// horizon ends a simulation in which retries never end.
const horizon = 20 * time.Minute

// run simulates until no task is left, or until the horizon.
func (sim *querySim) run() *history {
	for len(sim.tasks) > 0 && sim.tasks[0].at < horizon {
		t := sim.tasks[0]
		sim.tasks = sim.tasks[1:]
		sim.now = t.at
		t.do()
	}
	return sim.h
}

// pools returns the pools of the route of all queries.
func (sim *querySim) pools() []snapshot.Pool {
	out := []snapshot.Pool{{Name: "lines", TableShards: 3}, {Name: "ledger", TableShards: 1}}
	for i := range out {
		out[i].Index = snapshot.NewIndex(out[i].Name, sim.reports[out[i].Name])
	}
	return out
}
