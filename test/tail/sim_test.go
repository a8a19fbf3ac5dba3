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

// The fleet of the measurement: two pools with shards of three replicas.
const (
	shards     = 25
	firstPool  = 10 // shards of the first pool
	replicas   = 3
	slots      = 4
	service    = 4 * time.Millisecond // mean; lognormal
	sigma      = 0.8
	hop        = 500 * time.Microsecond // one way
	busy       = 0.6                    // share of the slots' time, healthy
	slowdown   = 10
	slowShards = 3 // shards with one slow replica
	warmup     = time.Second
	length     = 6 * time.Second
)

// policy is a way to choose replicas and to hedge.
type policy struct {
	name   string
	choose bool // two choices by load; false: random
	eject  bool
	hedge  bool
}

type event struct {
	at  time.Duration
	seq int
	do  func()
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

// attempt is one sub-request; part is what it is for.
type attempt struct {
	part    *part
	shard   int
	replica int
	sent    time.Duration
	started time.Duration // at the server; 0: waiting
	over    bool
}

type part struct {
	query    *query
	done     bool
	attempts []*attempt
}

type query struct {
	begin time.Duration
	left  int
}

type server struct {
	running int
	queue   []*attempt
	load    int // sent and not ended, as its owner counts
	slow    float64
}

type sim struct {
	policy  policy
	rng     *rand.Rand
	now     time.Duration
	events  events
	seq     int
	servers [shards][replicas]*server
	groups  [shards]*eject.Group
	hedgers [2]*hedge.Hedger
	hist    *hdrhistogram.Histogram
	fresh   int
	extra   int
}

// run measures one policy; the figures are those of whole queries.
func run(p policy, stragglers bool, seed uint64) *sim {
	s := &sim{policy: p, rng: rand.New(rand.NewPCG(seed, 1)), hist: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	s.hedgers = [2]*hedge.Hedger{hedge.New(), hedge.New()}
	for i := range shards {
		s.groups[i] = eject.NewGroup(replicas)
		for j := range replicas {
			s.servers[i][j] = &server{slow: 1}
		}
		if stragglers && i < slowShards {
			s.servers[i][0].slow = slowdown
		}
	}
	s.after(0, s.arrive)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	return s
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + d, s.seq, do})
}

func (s *sim) clock() time.Time { return time.Unix(0, 0).Add(s.now) }

func (s *sim) ms(q float64) float64 { return float64(s.hist.ValueAtQuantile(q)) / 1000 }

func (s *sim) hedger(shard int) *hedge.Hedger {
	if shard < firstPool {
		return s.hedgers[0]
	}
	return s.hedgers[1]
}

func (s *sim) arrive() {
	rate := busy * replicas * slots / service.Seconds()
	if s.now < length {
		s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), s.arrive)
	}
	q := &query{begin: s.now, left: shards}
	for shard := range shards {
		s.fresh++
		p := &part{query: q}
		h := s.hedger(shard)
		h.CountFirst()
		s.send(p, shard, s.pick(shard, -1))
		if d, ok := h.Delay(); ok && s.policy.hedge {
			s.after(d, func() { s.late(p, shard) })
		}
	}
}

// late sends a part again if it has no answer, a replica has room and the
// budget allows it.
func (s *sim) late(p *part, shard int) {
	if p.done {
		return
	}
	to := s.pick(shard, p.attempts[0].replica)
	if !hedge.HasRoom(s.servers[shard][to].load, slots) {
		s.after(hedge.RecheckInterval, func() { s.late(p, shard) })
		return
	}
	if s.hedger(shard).Allow() {
		s.extra++
		s.send(p, shard, to)
	}
}

// pick chooses a replica of a shard other than not.
func (s *sim) pick(shard, not int) int {
	var open []int
	for i := range replicas {
		if i != not && (!s.policy.eject || s.groups[shard].Allowed(s.clock(), i, s.rng)) {
			open = append(open, i)
		}
	}
	if len(open) == 0 {
		open = append(open, (not+1)%replicas)
	}
	s.rng.Shuffle(len(open), func(i, j int) { open[i], open[j] = open[j], open[i] })
	if len(open) > 1 && s.policy.choose && s.score(shard, open[1]) < s.score(shard, open[0]) {
		return open[1]
	}
	return open[0]
}

// score is the time until a new request at a replica is served, in the units
// of its policy.
func (s *sim) score(shard, i int) float64 {
	return float64(s.servers[shard][i].load + 1)
}

func (s *sim) send(p *part, shard, replica int) {
	a := &attempt{part: p, shard: shard, replica: replica, sent: s.now}
	p.attempts = append(p.attempts, a)
	s.servers[shard][replica].load++
	s.after(hop, func() { s.reach(a) })
}

func (s *sim) reach(a *attempt) {
	srv := s.servers[a.shard][a.replica]
	if a.over {
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
	took := float64(service) * math.Exp(sigma*s.rng.NormFloat64()-sigma*sigma/2) * srv.slow
	s.after(time.Duration(took), func() { s.finish(a, true) })
}

// finish ends an attempt at its server: served, or cancelled.
func (s *sim) finish(a *attempt, served bool) {
	if a.over {
		return
	}
	a.over = true
	srv := s.servers[a.shard][a.replica]
	srv.load--
	if a.started > 0 {
		srv.running--
		s.groups[a.shard].Observe(s.clock(), a.replica, s.now-a.started, served)
	}
	for len(srv.queue) > 0 && srv.running < slots {
		next := srv.queue[0]
		srv.queue = srv.queue[1:]
		if !next.over {
			s.start(next)
		}
	}
	if served {
		s.after(hop, func() { s.answer(a) })
	}
}

func (s *sim) answer(a *attempt) {
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
			s.after(hop, func() { s.finish(other, false) })
		}
	}
	s.hedger(a.shard).ObserveLoad(float64(s.servers[a.shard][a.replica].load) / slots)
	p.query.left--
	if p.query.left == 0 && p.query.begin > warmup {
		_ = s.hist.RecordValue(int64((s.now - p.query.begin) / time.Microsecond))
	}
}
