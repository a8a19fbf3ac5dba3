package traffic

import (
	"fmt"
	"math"
	"math/bits"
	"math/rand/v2"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/rollout"
	"github.com/sapphirewall/sapphirewall/internal/tables"
)

// The versions of the pool.
const (
	Old = "v1"
	New = "v2"
)

// Fault is what is wrong with the new version.
type Fault struct {
	Errors     float64 // share of requests that fail
	Crashes    float64 // share of requests that crash their upstream
	SlowFactor float64 // factor of the latency; 0 or 1: none
	Route      string  // "" for all routes
	After      time.Duration
	MinShare   float64 // share of the pool's traffic above which it shows
}

// Exists reports whether there is any fault.
func (f Fault) Exists() bool { return f.Errors > 0 || f.Crashes > 0 || f.SlowFactor > 1 }

// Disturbances is what happens to both versions, or to the nodes.
type Disturbances struct {
	NoisePeriod     time.Duration // bursts of errors and slowness of both versions, a fifth of the time
	Stragglers      int           // replicas of the new version that are 8 times slower
	ZoneOutAt       time.Duration // a third of the replicas leave, the others get slower
	JudgeReplacedAt time.Duration // the judge is replaced by one without samples
	NodeReplacedAt  time.Duration // a node stops and a new process takes its place
	NodePausedAt    time.Duration // a node hears and reports nothing for a minute
	ReportDelay     time.Duration // delay of each report and its reply
}

// Judge is what judges the rollout; *rollout.Judge, or another policy.
type Judge interface {
	Report(now time.Time, node string, incarnation uint64, stats []rollout.Stat)
	MergeProgress(p rollout.Progress)
	Decide(now time.Time) rollout.Progress
	Complete(now time.Time) bool
}

// Choose picks the version for a request.
type Choose func(pool *tables.Pool, p rollout.Progress, now time.Time, requestID string) string

// Config describes one run.
type Config struct {
	Seed         uint64
	Rate         float64 // requests a second
	Routes       int
	Nodes        int
	Replicas     int           // of each version
	Duration     time.Duration // from start to by
	Tail         time.Duration // watched after by
	Fault        Fault
	Disturbances Disturbances
	NewJudge     func(r tables.Rollout, p rollout.Progress) Judge
	Choose       Choose
}

// Default returns a run of today's size without a fault.
func Default(seed uint64) Config {
	return Config{
		Seed: seed, Rate: 200, Routes: 4, Nodes: 9, Replicas: 15,
		Duration: 5 * time.Minute, Tail: time.Minute,
		NewJudge: func(r tables.Rollout, p rollout.Progress) Judge { return rollout.NewJudge(r, p) },
		Choose:   rollout.Choose,
	}
}

// Second is what happened in one second.
type Second struct {
	Requests int
	New      int // to the new version
	Faulty   int // to the new version while its fault was there
}

// Result is what happened in a run. Times count from the rollout's start.
type Result struct {
	Seconds      []Second
	DetectableAt time.Duration // when the fault could be told; negative: never
	LastNewAt    time.Duration // last request to the new version
	VetoedAt     time.Duration // negative: never
	CompletedAt  time.Duration // negative: never
	Reason       string
}

// Never is the time of what did not happen.
const Never = time.Duration(-1)

// The times of the run.
const (
	step        = 50 * time.Millisecond
	reportEvery = 500 * time.Millisecond
	decideEvery = 100 * time.Millisecond
)

// node is one VM with its entry and egress.
type node struct {
	name        string
	incarnation uint64
	progress    rollout.Progress
	sums        map[[2]string]*rollout.Sums
	offset      time.Duration // of its reports within reportEvery
}

type run struct {
	Config
	rng    *rand.Rand
	start  time.Time
	pool   *tables.Pool
	nodes  []*node
	judge  Judge
	queue  []func() // what happens after a delay, by step
	due    []time.Duration
	out    Result
	told   rollout.Progress // the judge's last decision
	met    uint64           // requests that met the fault
	tried  uint64           // requests that could have met it
	recent float64          // smoothed share of the new version
}

// Run runs the rollout.
func Run(cfg Config) Result {
	r := &run{Config: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 7)), start: time.Unix(1_800_000_000, 0)}
	r.pool = &tables.Pool{Name: "ledger", Rollout: &tables.Rollout{From: Old, To: New, Share: 1, Start: r.start, By: r.start.Add(cfg.Duration)}}
	r.pool.Upstreams = []tables.Upstream{{ID: "old", Version: Old}, {ID: "new", Version: New}}
	r.judge = cfg.NewJudge(*r.pool.Rollout, rollout.Progress{})
	for i := range cfg.Nodes {
		r.nodes = append(r.nodes, &node{
			name: fmt.Sprint("vm-", i), incarnation: 1, sums: map[[2]string]*rollout.Sums{},
			offset: time.Duration(i) * reportEvery / time.Duration(cfg.Nodes),
		})
	}
	r.out = Result{DetectableAt: Never, VetoedAt: Never, CompletedAt: Never, LastNewAt: Never}
	for at := time.Duration(0); at < cfg.Duration+cfg.Tail; at += step {
		r.step(at)
	}
	if j, ok := r.judge.(interface{ Reason() string }); ok {
		r.out.Reason = j.Reason()
	}
	return r.out
}

func (r *run) step(at time.Duration) {
	if at%time.Second == 0 {
		r.out.Seconds = append(r.out.Seconds, Second{})
	}
	r.trouble(at)
	r.deliver(at)
	for i, n := range r.nodes {
		if at%reportEvery == n.offset.Truncate(step) && !r.paused(i, at) {
			r.report(n, at)
		}
	}
	if at%decideEvery == 0 {
		r.decide(at)
	}
	for range r.poisson(r.Rate * step.Seconds()) {
		r.request(at)
	}
}

// trouble brings the one-time troubles about.
func (r *run) trouble(at time.Duration) {
	if at == 0 {
		return
	}
	switch at {
	case r.Disturbances.JudgeReplacedAt:
		r.judge = r.NewJudge(*r.pool.Rollout, rollout.Progress{})
	case r.Disturbances.NodeReplacedAt:
		n := r.nodes[0]
		n.incarnation++
		n.progress = rollout.Progress{}
		n.sums = map[[2]string]*rollout.Sums{}
	}
}

// pauseTime is how long a paused node hears nothing; it also takes no callers.
const pauseTime = time.Minute

func (r *run) paused(i int, at time.Duration) bool {
	p := r.Disturbances.NodePausedAt
	return i == 1 && p > 0 && at >= p && at < p+pauseTime
}

// report sends the node's sums and progress to the judge, whose reply brings
// the judge's progress back.
func (r *run) report(n *node, at time.Duration) {
	var stats []rollout.Stat
	for _, version := range []string{Old, New} {
		for route := range r.Routes {
			if s := n.sums[[2]string{version, routeName(route)}]; s != nil {
				stats = append(stats, rollout.Stat{Version: version, Route: routeName(route), Sums: *s})
			}
		}
	}
	incarnation, known := n.incarnation, n.progress
	r.later(at+r.Disturbances.ReportDelay, func() {
		r.judge.MergeProgress(known)
		r.judge.Report(r.start.Add(at+r.Disturbances.ReportDelay), n.name, incarnation, stats)
		progress := r.told
		r.later(at+2*r.Disturbances.ReportDelay, func() { n.progress = n.progress.Merge(progress) })
	})
}

func (r *run) later(at time.Duration, f func()) {
	r.queue = append(r.queue, f)
	r.due = append(r.due, at)
}

// deliver runs what is due, also what that adds.
func (r *run) deliver(at time.Duration) {
	for i := 0; i < len(r.queue); i++ {
		if r.due[i] <= at {
			f := r.queue[i]
			r.queue = append(r.queue[:i], r.queue[i+1:]...)
			r.due = append(r.due[:i], r.due[i+1:]...)
			i--
			f()
		}
	}
}

// newsHop is the time in which news of the judge reach the other nodes.
const newsHop = 200 * time.Millisecond

func (r *run) decide(at time.Duration) {
	now := r.start.Add(at)
	p := r.judge.Decide(now)
	if p.Vetoed && r.out.VetoedAt == Never {
		r.out.VetoedAt = at
	}
	if p != r.told {
		r.told = p
		r.later(at+newsHop, func() {
			for i, n := range r.nodes {
				if !r.paused(i, at) {
					n.progress = n.progress.Merge(p)
				}
			}
		})
	}
	if r.out.CompletedAt == Never && r.judge.Complete(now) {
		r.out.CompletedAt = at
	}
}

func routeName(i int) string { return fmt.Sprint("route-", i) }

// pickRoute gives route 0 most requests and each further one half as many.
func (r *run) pickRoute() string {
	i := 0
	for i < r.Routes-1 && r.rng.IntN(2) == 0 {
		i++
	}
	return routeName(i)
}

// request sends one request through an entry and the egress that owns the
// replica.
func (r *run) request(at time.Duration) {
	entry := r.rng.IntN(r.Nodes)
	if r.paused(entry, at) {
		return
	}
	route := r.pickRoute()
	id := fmt.Sprintf("%x", r.rng.Uint64())
	version := r.Choose(r.pool, r.nodes[entry].progress, r.start.Add(at), id)
	replica := r.replica(at)
	owner := r.nodes[replica%r.Nodes]
	sec := &r.out.Seconds[len(r.out.Seconds)-1]
	sec.Requests++
	isNew := 0.0
	if version == New {
		isNew = 1
		sec.New++
		r.out.LastNewAt = at
	}
	r.recent += (isNew - r.recent) / r.Rate
	key := [2]string{version, route}
	if owner.sums[key] == nil {
		owner.sums[key] = &rollout.Sums{}
	}
	faulty := version == New && r.faulty(at, route)
	if faulty {
		sec.Faulty++
	}
	r.serve(owner.sums[key], at, version, replica, faulty)
}

// replica picks one; after a zone is out, one of the two thirds left.
func (r *run) replica(at time.Duration) int {
	n := r.rng.IntN(r.Replicas)
	if z := r.Disturbances.ZoneOutAt; z > 0 && at >= z && n%3 == 0 && n+1 < r.Replicas {
		n++
	}
	return n
}

func (r *run) faulty(at time.Duration, route string) bool {
	f := r.Fault
	return f.Exists() && at >= f.After && r.recent >= f.MinShare && (f.Route == "" || f.Route == route)
}

// The behaviour of a good replica.
const (
	baseLatency = 6 * time.Millisecond
	spread      = 0.4 // of the logarithm of the latency
	baseErrors  = 0.001
	noiseErrors = 0.05
)

func (r *run) serve(s *rollout.Sums, at time.Duration, version string, replica int, faulty bool) {
	latency := float64(baseLatency) * math.Exp(spread*r.rng.NormFloat64())
	errors := baseErrors
	if r.noisy(at) {
		latency *= 3
		errors += noiseErrors
	}
	if z := r.Disturbances.ZoneOutAt; z > 0 && at >= z {
		latency *= 1.5
	}
	if version == New && replica < r.Disturbances.Stragglers {
		latency *= 8
	}
	failed := r.rng.Float64() < errors
	if faulty {
		crash := r.rng.Float64() < r.Fault.Crashes
		failed = crash || failed || r.rng.Float64() < r.Fault.Errors
		if crash {
			s.Crashes++
		}
		if r.Fault.SlowFactor > 1 {
			latency *= r.Fault.SlowFactor
		}
		r.tell(at, crash, failed, latency)
	}
	if failed {
		s.Errors++
	}
	s.Requests++
	s.LatencySum += time.Duration(latency)
	s.LatencyBuckets[min(bits.Len64(uint64(time.Duration(latency)/rollout.BucketUnit)), rollout.Buckets-1)]++
}

// The evidence from which a fault can be told by one who sees every request at
// once and knows how often a good version does the same: the chance of that is
// below e^-16, or one in ten million.
const (
	tellEvidence = 16.0
	goodErrors   = 0.01
	goodCrashes  = 0.002
	goodSlow     = 0.1 // share of requests beyond slowBeyond
	slowBeyond   = 2 * baseLatency
)

// tell counts a request that could have met the fault.
func (r *run) tell(at time.Duration, crash, failed bool, latency float64) {
	r.tried++
	met, good := failed, goodErrors
	if r.Disturbances.NoisePeriod > 0 {
		good += noiseErrors
	}
	switch {
	case r.Fault.SlowFactor > 1:
		met, good = latency > float64(slowBeyond), goodSlow
	case r.Fault.Crashes > 0:
		met, good = crash, goodCrashes
	}
	if met {
		r.met++
	}
	if r.out.DetectableAt == Never && rollout.Evidence(r.met, r.tried, good) >= tellEvidence {
		r.out.DetectableAt = at
	}
}

func (r *run) noisy(at time.Duration) bool {
	every := r.Disturbances.NoisePeriod
	return every > 0 && at%every < every/5
}

// poisson draws the number of events of a mean.
func (r *run) poisson(mean float64) int {
	limit, n, p := math.Exp(-mean), 0, 1.0
	for p *= r.rng.Float64(); p > limit; p *= r.rng.Float64() {
		n++
	}
	return n
}

// Share returns the new version's share of the requests over some seconds.
func Share(seconds []Second) float64 {
	var all, isNew int
	for _, s := range seconds {
		all += s.Requests
		isNew += s.New
	}
	if all == 0 {
		return 0
	}
	return float64(isNew) / float64(all)
}
