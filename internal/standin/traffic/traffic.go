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

// Fault describes a defect of the new version.
type Fault struct {
	Errors     float64 // share of requests that fail
	Crashes    float64 // share of requests that crash their upstream
	SlowFactor float64 // factor on the latency; 0 or 1: not slower
	Route      string  // route with the fault; "": all routes
	After      time.Duration
	MinShare   float64 // the new version's share of the traffic from which the fault occurs
}

// Exists reports whether the new version has a fault.
func (f Fault) Exists() bool { return f.Errors > 0 || f.Crashes > 0 || f.SlowFactor > 1 }

// Disturbances are events that are not defects of the new version: they affect
// both versions, single replicas or the nodes. Zero fields have no effect; times
// count from the start of the rollout.
type Disturbances struct {
	NoisePeriod     time.Duration // period of bursts of errors and latency in both versions; a burst lasts a fifth of it
	Stragglers      int           // number of replicas of the new version that are 8 times slower
	ZoneOutAt       time.Duration // a third of the replicas go out of service, the others get slower
	JudgeReplacedAt time.Duration // the judge is replaced by a new one without samples
	NodeReplacedAt  time.Duration // a node's process is replaced by a new one without state
	NodePausedAt    time.Duration // a node sends and receives nothing for pauseDuration
	ReportDelay     time.Duration // delay of each report, and of each reply to it
}

// Judge decides on the progress of the rollout. It is a *rollout.Judge or another
// policy to compare with it.
type Judge interface {
	Report(now time.Time, node string, incarnation uint64, stats []rollout.Stat)
	MergeProgress(p rollout.Progress)
	Decide(now time.Time) rollout.Progress
	Complete(now time.Time) bool
}

// Choose selects the version for a request.
type Choose func(pool *tables.Pool, p rollout.Progress, now time.Time, requestID string) string

// Config describes one simulation run.
type Config struct {
	Seed         uint64
	Rate         float64 // requests per second
	Routes       int
	Nodes        int
	Replicas     int           // per version
	Duration     time.Duration // of the rollout
	Tail         time.Duration // simulated time after the end of the rollout
	Fault        Fault
	Disturbances Disturbances
	NewJudge     func(r tables.Rollout, p rollout.Progress) Judge
	Choose       Choose
}

// Default returns the configuration of a run at today's fleet size, without a
// fault.
func Default(seed uint64) Config {
	return Config{
		Seed: seed, Rate: 200, Routes: 4, Nodes: 9, Replicas: 15,
		Duration: 5 * time.Minute, Tail: time.Minute,
		NewJudge: func(r tables.Rollout, p rollout.Progress) Judge { return rollout.NewJudge(r, p) },
		Choose:   rollout.Choose,
	}
}

// Second counts the requests of one second of simulated time.
type Second struct {
	Requests int
	New      int // to the new version
	Faulty   int // to the new version while its fault was active
}

// Result is the outcome of a run. Times count from the start of the rollout.
type Result struct {
	Seconds      []Second
	DetectableAt time.Duration // when the requests so far proved the fault; negative: never
	LastNewAt    time.Duration // last request to the new version; negative: none
	VetoedAt     time.Duration // negative: never
	CompletedAt  time.Duration // negative: never
	Reason       string
}

// Never is the time in a Result of an event that did not happen.
const Never = time.Duration(-1)

// Intervals of simulated time.
const (
	step           = 50 * time.Millisecond
	reportInterval = 500 * time.Millisecond
	decideInterval = 100 * time.Millisecond
)

// node is one VM with its entry and egress processes.
type node struct {
	name        string
	incarnation uint64
	progress    rollout.Progress
	sums        map[[2]string]*rollout.Sums
	offset      time.Duration // of its reports within each reportInterval
}

type run struct {
	Config
	rng      *rand.Rand
	start    time.Time
	pool     *tables.Pool
	nodes    []*node
	judge    Judge
	queue    []func() // scheduled functions
	due      []time.Duration
	out      Result
	decision rollout.Progress // last decision of the judge
	affected uint64           // eligible requests that show the fault's symptom
	eligible uint64           // requests to the new version while its fault was active
	newShare float64          // smoothed share of the requests to the new version
}

// Run simulates a rollout.
func Run(cfg Config) Result {
	r := &run{Config: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 7)), start: time.Unix(1_800_000_000, 0)}
	r.pool = &tables.Pool{Name: "ledger", Rollout: &tables.Rollout{From: Old, To: New, Share: 1, Start: r.start, End: r.start.Add(cfg.Duration)}}
	r.pool.Upstreams = []tables.Upstream{{ID: "old", Version: Old}, {ID: "new", Version: New}}
	r.judge = cfg.NewJudge(*r.pool.Rollout, rollout.Progress{})
	for i := range cfg.Nodes {
		r.nodes = append(r.nodes, &node{
			name: fmt.Sprint("vm-", i), incarnation: 1, sums: map[[2]string]*rollout.Sums{},
			offset: time.Duration(i) * reportInterval / time.Duration(cfg.Nodes),
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
	r.applyDisturbances(at)
	r.runDue(at)
	for i, n := range r.nodes {
		if at%reportInterval == n.offset.Truncate(step) && !r.paused(i, at) {
			r.report(n, at)
		}
	}
	if at%decideInterval == 0 {
		r.decide(at)
	}
	for range r.poisson(r.Rate * step.Seconds()) {
		r.request(at)
	}
}

// applyDisturbances applies the disturbances that happen once, at the time at.
func (r *run) applyDisturbances(at time.Duration) {
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

// pauseDuration is how long a paused node exchanges no reports and accepts no
// requests.
const pauseDuration = time.Minute

func (r *run) paused(i int, at time.Duration) bool {
	p := r.Disturbances.NodePausedAt
	return i == 1 && p > 0 && at >= p && at < p+pauseDuration
}

// report sends the node's sums and progress to the judge. The reply carries the
// judge's progress.
func (r *run) report(n *node, at time.Duration) {
	var stats []rollout.Stat
	for _, version := range []string{Old, New} {
		for route := range r.Routes {
			if s := n.sums[[2]string{version, routeName(route)}]; s != nil {
				stats = append(stats, rollout.Stat{Version: version, Route: routeName(route), Sums: *s})
			}
		}
	}
	incarnation, reported := n.incarnation, n.progress
	r.schedule(at+r.Disturbances.ReportDelay, func() {
		r.judge.MergeProgress(reported)
		r.judge.Report(r.start.Add(at+r.Disturbances.ReportDelay), n.name, incarnation, stats)
		progress := r.decision
		r.schedule(at+2*r.Disturbances.ReportDelay, func() { n.progress = n.progress.Merge(progress) })
	})
}

func (r *run) schedule(at time.Duration, f func()) {
	r.queue = append(r.queue, f)
	r.due = append(r.due, at)
}

// runDue runs the scheduled functions that are due, including those that they
// schedule.
func (r *run) runDue(at time.Duration) {
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

// decisionDelay is the time until a decision of the judge reaches the nodes.
const decisionDelay = 200 * time.Millisecond

func (r *run) decide(at time.Duration) {
	now := r.start.Add(at)
	p := r.judge.Decide(now)
	if p.Vetoed && r.out.VetoedAt == Never {
		r.out.VetoedAt = at
	}
	if p != r.decision {
		r.decision = p
		r.schedule(at+decisionDelay, func() {
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

// pickRoute selects a route at random; each route gets half as many requests as
// the one before it.
func (r *run) pickRoute() string {
	i := 0
	for i < r.Routes-1 && r.rng.IntN(2) == 0 {
		i++
	}
	return routeName(i)
}

// request simulates one request through an entry node and the egress node that
// owns the replica.
func (r *run) request(at time.Duration) {
	entry := r.rng.IntN(r.Nodes)
	if r.paused(entry, at) {
		return
	}
	route := r.pickRoute()
	id := fmt.Sprintf("%x", r.rng.Uint64())
	version := r.Choose(r.pool, r.nodes[entry].progress, r.start.Add(at), id)
	replica := r.pickReplica(at)
	owner := r.nodes[replica%r.Nodes]
	sec := &r.out.Seconds[len(r.out.Seconds)-1]
	sec.Requests++
	isNew := 0.0
	if version == New {
		isNew = 1
		sec.New++
		r.out.LastNewAt = at
	}
	r.newShare += (isNew - r.newShare) / r.Rate
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

// pickReplica selects a replica at random; once a zone is out of service, one of
// the remaining two thirds.
func (r *run) pickReplica(at time.Duration) int {
	n := r.rng.IntN(r.Replicas)
	if z := r.Disturbances.ZoneOutAt; z > 0 && at >= z && n%3 == 0 && n+1 < r.Replicas {
		n++
	}
	return n
}

func (r *run) faulty(at time.Duration, route string) bool {
	f := r.Fault
	return f.Exists() && at >= f.After && r.newShare >= f.MinShare && (f.Route == "" || f.Route == route)
}

// Latency and error rates of a healthy replica; noiseErrors is added during noise.
const (
	baseLatency  = 6 * time.Millisecond
	latencySigma = 0.4 // standard deviation of the logarithm of the latency
	baseErrors   = 0.001
	noiseErrors  = 0.05
)

func (r *run) serve(s *rollout.Sums, at time.Duration, version string, replica int, faulty bool) {
	latency := float64(baseLatency) * math.Exp(latencySigma*r.rng.NormFloat64())
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
		r.countEvidence(at, crash, failed, latency)
	}
	if failed {
		s.Errors++
	}
	s.Requests++
	s.LatencySum += time.Duration(latency)
	s.LatencyBuckets[min(bits.Len64(uint64(time.Duration(latency)/rollout.BucketUnit)), rollout.Buckets-1)]++
}

// The limits for DetectableAt: an observer that sees every request at once and
// knows the rates of a good version can prove the fault from this evidence. A good
// version shows as much with a probability below e^-16, or one in ten million.
const (
	detectionEvidence = 16.0
	maxGoodErrors     = 0.01
	maxGoodCrashes    = 0.002
	maxGoodSlow       = 0.1 // share of requests slower than slowThreshold
	slowThreshold     = 2 * baseLatency
)

// countEvidence counts a request to the new version while its fault was active,
// and sets DetectableAt once the evidence is sufficient.
func (r *run) countEvidence(at time.Duration, crash, failed bool, latency float64) {
	r.eligible++
	match, good := failed, maxGoodErrors
	if r.Disturbances.NoisePeriod > 0 {
		good += noiseErrors
	}
	switch {
	case r.Fault.SlowFactor > 1:
		match, good = latency > float64(slowThreshold), maxGoodSlow
	case r.Fault.Crashes > 0:
		match, good = crash, maxGoodCrashes
	}
	if match {
		r.affected++
	}
	if r.out.DetectableAt == Never && rollout.Evidence(r.affected, r.eligible, good) >= detectionEvidence {
		r.out.DetectableAt = at
	}
}

func (r *run) noisy(at time.Duration) bool {
	every := r.Disturbances.NoisePeriod
	return every > 0 && at%every < every/5
}

// poisson returns a random number from the Poisson distribution with this mean.
func (r *run) poisson(mean float64) int {
	limit, n, p := math.Exp(-mean), 0, 1.0
	for p *= r.rng.Float64(); p > limit; p *= r.rng.Float64() {
		n++
	}
	return n
}

// Share returns the new version's share of the requests in seconds.
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
