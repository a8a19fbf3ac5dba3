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

// task is something that happens at a virtual time.
type task struct {
	at  time.Duration
	seq int
	do  func()
}

// queryWorld plays entries, owners of claims, upstreams and the platform on virtual
// time around the decision packages.
type queryWorld struct {
	h     *history
	rng   *rand.Rand
	now   time.Duration
	tasks []task // by time, then by seq
	seq   int

	replicas []*upstreamReplica
	shards   map[uint64]map[string]int    // true shard count by snapshot and pool
	known    map[string][]snapshot.Report // what the entry has heard, by pool
	respond  func(s sent) response        // nil: good
	lagging  bool                         // the entry hears nothing new
	gone     bool                         // the entry process was killed
	naive    bool                         // merge whatever comes
	countAll bool                         // naive: coverage counts what was sent
	patient  bool                         // naive: no deadline
	retryAll bool                         // naive: actions are sent again after anything
	goOn     bool                         // naive: no query begins anew
	hedgers  map[string]*hedge.Hedger
	budgets  map[string]*retry.Budget
	payloads map[string]truth
	claims   claimWorld
}

// upstreamReplica is one replica with the shards it holds by snapshot.
type upstreamReplica struct {
	id, pool string
	held     map[uint64]snapshot.HeldShard
	inFlight int
	latency  time.Duration
}

// sent is one sub-request at a replica.
type sent struct {
	request, key string
	part         fanout.Part
	attempt      uint32
	snapshot     uint64
	idempotent   bool
	replica      *upstreamReplica
	again        bool // the part was asked before
}

// response is what a replica does with a sub-request.
type response struct {
	after time.Duration
	none  bool // no reply ever comes
	ran   bool
	reply fanout.Reply
	twice bool // the reply comes once more
}

// truth is what a payload was really made of.
type truth struct {
	request  string
	pool     string
	snapshot uint64
	lo, hi   uint32
}

// start is the time 0 of every queryWorld.
var start = time.Unix(1_700_000_000, 0)

const service = 4 * time.Millisecond

func newQueryWorld(seed uint64) *queryWorld {
	w := &queryWorld{
		h:       &history{asked: map[string]time.Duration{}, finished: map[string]time.Duration{}},
		rng:     rand.New(rand.NewPCG(seed, 1)),
		shards:  map[uint64]map[string]int{1: {"lines": 3, "ledger": 1}},
		known:   map[string][]snapshot.Report{},
		hedgers: map[string]*hedge.Hedger{}, budgets: map[string]*retry.Budget{}, payloads: map[string]truth{},
	}
	for i := range 9 {
		w.replicas = append(w.replicas, &upstreamReplica{id: fmt.Sprint("lines-", i), pool: "lines", latency: service})
	}
	for i := range 3 {
		w.replicas = append(w.replicas, &upstreamReplica{id: fmt.Sprint("ledger-", i), pool: "ledger", latency: service})
	}
	for _, r := range w.replicas {
		r.held = map[uint64]snapshot.HeldShard{}
		w.hedgers[r.pool] = hedge.New()
		w.budgets[r.pool] = retry.NewBudget(start)
	}
	w.hold(1)
	w.claims = newClaimWorld(w)
	return w
}

// hold makes every replica hold a snapshot, and the entry hear of it.
func (w *queryWorld) hold(id uint64) {
	perPool := map[string]int{}
	for _, r := range w.replicas {
		count := w.shards[id][r.pool]
		shard := perPool[r.pool] % count
		perPool[r.pool]++
		r.held[id] = snapshot.HeldShard{
			Snapshot: id, Shard: uint32(shard), ShardCount: uint32(count),
			Lo: uint32(tables.KeySpace * shard / count), Hi: uint32(tables.KeySpace * (shard + 1) / count),
		}
	}
	w.hear()
}

// drop takes a snapshot from replicas, unheard.
func (w *queryWorld) drop(id uint64, replicas ...*upstreamReplica) {
	for _, r := range replicas {
		delete(r.held, id)
	}
}

// hear tells the entry what is held now, unless it lags.
func (w *queryWorld) hear() {
	if w.lagging {
		return
	}
	w.known = map[string][]snapshot.Report{}
	for _, r := range w.replicas {
		report := snapshot.Report{Replica: r.id}
		for _, id := range []uint64{1, 2, 3} {
			if h, ok := r.held[id]; ok {
				report.Shards = append(report.Shards, h)
			}
		}
		w.known[r.pool] = append(w.known[r.pool], report)
	}
}

func (w *queryWorld) clock() time.Time { return start.Add(w.now) }

// at plans do for a time, or for now if that has passed.
func (w *queryWorld) at(t time.Duration, do func()) {
	w.seq++
	e := task{max(t, w.now), w.seq, do}
	i, _ := slices.BinarySearchFunc(w.tasks, e, func(a, b task) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.seq, b.seq)) })
	w.tasks = slices.Insert(w.tasks, i, e)
}

func (w *queryWorld) after(d time.Duration, do func()) { w.at(w.now+d, do) }

// horizon ends a queryWorld in which somebody tries again for ever.
const horizon = 20 * time.Minute

// run plays until nothing is left to do, or the horizon.
func (w *queryWorld) run() *history {
	for len(w.tasks) > 0 && w.tasks[0].at < horizon {
		t := w.tasks[0]
		w.tasks = w.tasks[1:]
		w.now = t.at
		t.do()
	}
	return w.h
}

// pools is the route of all queries.
func (w *queryWorld) pools() []snapshot.Pool {
	out := []snapshot.Pool{{Name: "lines", TableShards: 3}, {Name: "ledger", TableShards: 1}}
	for i := range out {
		out[i].Index = snapshot.NewIndex(out[i].Name, w.known[out[i].Name])
	}
	return out
}
