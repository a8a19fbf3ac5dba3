package tail

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sapphirewall/sapphirewall/internal/decide/eject"
	"github.com/sapphirewall/sapphirewall/internal/decide/hedge"
)

// The simulated fleet has two pools, whose shards have three replicas each.
const (
	shards          = 25
	firstPoolShards = 10 // number of shards in the first pool
	replicas        = 3
	slots           = 4
	meanService     = 4 * time.Millisecond // of a lognormal distribution with sigma
	sigma           = 0.8
	oneWayDelay     = 500 * time.Microsecond // between the sender and a server
	utilization     = 0.6                    // share of the slots in use if all servers are healthy
	slowdown        = 10
	stragglerShards = 3 // number of shards with one slow replica
	warmup          = time.Second
	duration        = 6 * time.Second
)

// policy states how replicas are picked and whether attempts are hedged.
type policy struct {
	name       string
	twoChoices bool // the less loaded of two random replicas; false: a random one
	eject      bool
	hedge      bool
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// attempt is one send of a part to one replica.
type attempt struct {
	part    *part
	shard   int
	replica int
	sent    time.Duration
	started time.Duration // when the server started to execute it; 0: not yet
	ended   bool
}

type part struct {
	query    *query
	done     bool
	attempts []*attempt
}

type query struct {
	begin   time.Duration
	pending int
}

type server struct {
	running    int
	queue      []*attempt
	load       int // attempts in flight or waiting, as the owner counts them
	slowFactor float64
}

type sim struct {
	policy        policy
	rng           *rand.Rand
	now           time.Duration
	events        events
	seq           int
	servers       [shards][replicas]*server
	groups        [shards]*eject.Group
	hedgers       [2]*hedge.Hedger
	latencies     *hdrhistogram.Histogram
	firstAttempts int
	hedges        int
}

// simulate runs the simulation of one policy with a seed.
func simulate(p policy, stragglers bool, seed uint64) *sim {
	s := &sim{policy: p, rng: rand.New(rand.NewPCG(seed, 1)), latencies: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	s.hedgers = [2]*hedge.Hedger{hedge.New(), hedge.New()}
	for i := range shards {
		s.groups[i] = eject.NewGroup(replicas)
		for j := range replicas {
			s.servers[i][j] = &server{slowFactor: 1}
		}
		if stragglers && i < stragglerShards {
			s.servers[i][0].slowFactor = slowdown
		}
	}
	s.schedule(0, s.arrive)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	return s
}

func (s *sim) schedule(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + d, s.seq, do})
}

func (s *sim) currentTime() time.Time { return time.Unix(0, 0).Add(s.now) }

func (s *sim) percentileMs(q float64) float64 { return float64(s.latencies.ValueAtQuantile(q)) / 1000 }

func (s *sim) hedger(shard int) *hedge.Hedger {
	if shard < firstPoolShards {
		return s.hedgers[0]
	}
	return s.hedgers[1]
}

func (s *sim) arrive() {
	rate := utilization * replicas * slots / meanService.Seconds()
	if s.now < duration {
		s.schedule(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), s.arrive)
	}
	q := &query{begin: s.now, pending: shards}
	for shard := range shards {
		s.firstAttempts++
		p := &part{query: q}
		h := s.hedger(shard)
		h.CountFirst()
		s.send(p, shard, s.pick(shard, -1))
		if d, ok := h.Delay(); ok && s.policy.hedge {
			s.schedule(d, func() { s.sendHedge(p, shard) })
		}
	}
}

// sendHedge sends a hedge for a late part if it still has no answer, a replica has room
// and the budget allows it. It is retried later while no replica has room.
func (s *sim) sendHedge(p *part, shard int) {
	if p.done {
		return
	}
	to := s.pick(shard, p.attempts[0].replica)
	if !hedge.HasRoom(s.servers[shard][to].load, slots) {
		s.schedule(hedge.RecheckInterval, func() { s.sendHedge(p, shard) })
		return
	}
	if s.hedger(shard).Allow() {
		s.hedges++
		s.send(p, shard, to)
	}
}

// pick picks a replica of a shard other than exclude; -1 excludes none.
func (s *sim) pick(shard, exclude int) int {
	var allowed []int
	for i := range replicas {
		if i != exclude && (!s.policy.eject || s.groups[shard].Allowed(s.currentTime(), i, s.rng)) {
			allowed = append(allowed, i)
		}
	}
	if len(allowed) == 0 {
		allowed = append(allowed, (exclude+1)%replicas)
	}
	s.rng.Shuffle(len(allowed), func(i, j int) { allowed[i], allowed[j] = allowed[j], allowed[i] })
	if len(allowed) > 1 && s.policy.twoChoices && s.score(shard, allowed[1]) < s.score(shard, allowed[0]) {
		return allowed[1]
	}
	return allowed[0]
}

// score returns the load that a replica would have with one more request.
func (s *sim) score(shard, i int) float64 {
	return float64(s.servers[shard][i].load + 1)
}

func (s *sim) send(p *part, shard, replica int) {
	a := &attempt{part: p, shard: shard, replica: replica, sent: s.now}
	p.attempts = append(p.attempts, a)
	s.servers[shard][replica].load++
	s.schedule(oneWayDelay, func() { s.onRequest(a) })
}

func (s *sim) onRequest(a *attempt) {
	srv := s.servers[a.shard][a.replica]
	if a.ended {
		return
	}
	if srv.running < slots {
		s.start(a)
		return
	}
	srv.queue = append(srv.queue, a)
}

func (s *sim) start(a *attempt) {
	srv := s.servers[a.shard][a.replica]
	srv.running++
	a.started = s.now
	took := float64(meanService) * math.Exp(sigma*s.rng.NormFloat64()-sigma*sigma/2) * srv.slowFactor
	s.schedule(time.Duration(took), func() { s.finish(a, true) })
}

// finish ends an attempt at its server, which has executed it if served is true and
// has cancelled it otherwise.
func (s *sim) finish(a *attempt, served bool) {
	if a.ended {
		return
	}
	a.ended = true
	srv := s.servers[a.shard][a.replica]
	srv.load--
	if a.started > 0 {
		srv.running--
		s.groups[a.shard].Observe(s.currentTime(), a.replica, s.now-a.started, served)
	}
	for len(srv.queue) > 0 && srv.running < slots {
		next := srv.queue[0]
		srv.queue = srv.queue[1:]
		if !next.ended {
			s.start(next)
		}
	}
	if served {
		s.schedule(oneWayDelay, func() { s.onAnswer(a) })
	}
}

func (s *sim) onAnswer(a *attempt) {
	p := a.part
	if p.done {
		return
	}
	p.done = true
	for i, other := range p.attempts {
		if i == 0 {
			s.hedger(a.shard).Observe(s.now - other.sent)
		}
		if other != a {
			s.schedule(oneWayDelay, func() { s.finish(other, false) })
		}
	}
	s.hedger(a.shard).ObserveLoad(float64(s.servers[a.shard][a.replica].load) / slots)
	p.query.pending--
	if p.query.pending == 0 && p.query.begin > warmup {
		_ = s.latencies.RecordValue(int64((s.now - p.query.begin) / time.Microsecond))
	}
}
