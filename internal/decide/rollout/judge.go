package rollout

import (
	"fmt"
	"sort"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/tables"
)

// maxGroups bounds the groups of reporting nodes that are told apart.
const maxGroups = 16

// forgetAfter is the time after which a node that reports no more is dropped.
const forgetAfter = 60 * time.Second

// The number of requests that the new version must have served well in a stage
// before the next. It falls from most at the start to least at half time, so
// that little traffic doesn't keep a good version from finishing.
const (
	mostSamples       = 400
	leastSamples      = 40
	mostRouteSamples  = 20
	leastRouteSamples = 5
	samplesFallUntil  = 0.5 // of the time from start to by
)

// minOld is the number of the old version's requests from which a window is
// compared with it; below, with what it did before.
const minOld = 20

// Stat is one row of a node's report: sums since the start of its process.
type Stat struct {
	Version string
	Route   string
	Sums    Sums
}

// Judge judges one rollout on the reports of all nodes. It is not safe for
// concurrent use.
type Judge struct {
	rollout  tables.Rollout
	progress Progress
	reason   string
	nodes    map[string]*reporter
	next     int // group of the next new node
	routes   map[string]*route
	all      looked // sums of all routes
}

// reporter is the last report of a node.
type reporter struct {
	incarnation uint64
	group       int
	heard       time.Time
	last        map[statKey]Sums
}

type statKey struct{ version, route string }

// NewJudge returns a judge of r that begins at the progress known so far.
func NewJudge(r tables.Rollout, p Progress) *Judge {
	return &Judge{rollout: r, progress: p, nodes: map[string]*reporter{}, routes: map[string]*route{}}
}

// Progress returns what was found out so far.
func (j *Judge) Progress() Progress { return j.progress }

// Reason says why the version was taken back, or "".
func (j *Judge) Reason() string { return j.reason }

// MergeProgress takes the progress that other nodes know. A higher stage begins with
// fresh samples.
func (j *Judge) MergeProgress(p Progress) {
	merged := j.progress.Merge(p)
	if merged.Stage > j.progress.Stage {
		j.resetStage()
	}
	j.progress = merged
}

// Report takes a node's sums. The first report of a node is a baseline, since
// nobody knows when its requests were; that of a restarted process counts
// whole. Reports of an older process are ignored.
func (j *Judge) Report(now time.Time, node string, incarnation uint64, stats []Stat) {
	n := j.nodes[node]
	baseline := n == nil
	if baseline {
		n = &reporter{group: j.next % maxGroups, incarnation: incarnation, last: map[statKey]Sums{}}
		j.next++
		j.nodes[node] = n
	}
	if incarnation < n.incarnation {
		return
	}
	if incarnation > n.incarnation {
		n.incarnation = incarnation
		n.last = map[statKey]Sums{}
	}
	n.heard = now
	for _, s := range stats {
		j.take(now, n, s, baseline)
	}
	j.forget(now)
}

func (j *Judge) take(now time.Time, n *reporter, s Stat, baseline bool) {
	if s.Version != j.rollout.To && s.Version != j.rollout.From {
		return
	}
	key := statKey{s.Version, s.Route}
	last := n.last[key]
	if !s.Sums.follows(&last) {
		return
	}
	n.last[key] = s.Sums
	if baseline {
		return
	}
	r := j.routes[s.Route]
	if r == nil {
		r = &route{}
		j.routes[s.Route] = r
	}
	delta := s.Sums.minus(&last)
	if s.Version == j.rollout.From {
		r.oldSeries.add(slotOf(now), delta)
		return
	}
	r.newSeries[n.group].add(slotOf(now), delta)
}

func slotOf(now time.Time) int64 { return now.UnixNano() / int64(slotTime) }

// forget drops nodes that report no more.
func (j *Judge) forget(now time.Time) {
	for name, n := range j.nodes {
		if now.Sub(n.heard) > forgetAfter {
			delete(j.nodes, name)
		}
	}
}

// holdTime is how long a part of the traffic goes back to the old version to
// be compared with.
const holdTime = 5 * time.Second

// Decide looks at all evidence and returns the progress, which it may have
// raised by one stage, held, or ended by a veto. A version is only taken back
// by comparison with the old one at the same time. When that has no traffic
// any more and the new one gets worse than the old one was, a hold brings the
// old one some, which tells a fault from trouble that strikes both.
func (j *Judge) Decide(now time.Time) Progress {
	if j.progress.Vetoed || now.Before(j.rollout.Start) {
		return j.progress
	}
	j.look(now)
	if reason := j.find((*looked).fault); reason != "" {
		j.progress.Vetoed = true
		j.reason = reason
		return j.progress
	}
	if now.Before(j.progress.HoldUntil) {
		j.acquit()
		return j.progress
	}
	if j.find((*looked).suspicion) != "" {
		j.progress.HoldUntil = now.Add(holdTime)
		return j.progress
	}
	if j.mayRaise(now) {
		j.progress.Stage++
		j.resetStage()
	}
	return j.progress
}

// look brings the sums of all routes up to now.
func (j *Judge) look(now time.Time) {
	j.all = looked{}
	for _, name := range j.names() {
		j.routes[name].look(slotOf(now))
		j.all.merge(&j.routes[name].looked)
	}
}

// acquit remembers what the old version showed during a hold, so that the same
// trouble brings no further hold.
func (j *Judge) acquit() {
	for _, r := range j.routes {
		r.acquit()
	}
}

// Complete reports whether the last stage has enough good samples, so that the
// rollout is done.
func (j *Judge) Complete(now time.Time) bool {
	final := j.progress.Stage == LastStage && !now.Before(stageBegins(&j.rollout, LastStage))
	return final && !j.progress.Vetoed && !now.Before(j.progress.HoldUntil) && j.good(now)
}

// resetStage begins the samples of a stage.
func (j *Judge) resetStage() {
	for _, r := range j.routes {
		r.resetStage()
	}
}

// names returns the routes in order.
func (j *Judge) names() []string {
	out := make([]string, 0, len(j.routes))
	for name := range j.routes {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// find returns the first fault that f finds on a route, or over all, or "".
func (j *Judge) find(f func(*looked) Regression) string {
	for _, name := range j.names() {
		if found := f(&j.routes[name].looked); found != NoRegression {
			return fmt.Sprintf("%s on route %s", found, name)
		}
	}
	if found := f(&j.all); found != NoRegression {
		return fmt.Sprintf("%s over all routes", found)
	}
	return ""
}

// mayRaise reports whether the next stage is due and earned.
func (j *Judge) mayRaise(now time.Time) bool {
	next := j.progress.Stage + 1
	return next <= LastStage && !now.Before(stageBegins(&j.rollout, next)) && j.good(now)
}

// good reports whether this stage has enough samples, none of them worse than
// the old version's. A route without requests to the old version isn't waited
// for.
func (j *Judge) good(now time.Time) bool {
	for _, name := range j.names() {
		r := j.routes[name]
		asked := r.looked.paired[len(windows)-1].old.Requests >= minOld
		if asked && r.samples() < j.needed(now, mostRouteSamples, leastRouteSamples) {
			return false
		}
		if !r.noWorse() {
			return false
		}
	}
	return j.all.samples() >= j.needed(now, mostSamples, leastSamples)
}

// needed falls from most to least as the time runs out.
func (j *Judge) needed(now time.Time, most, least uint64) uint64 {
	whole := float64(j.rollout.By.Sub(j.rollout.Start)) * samplesFallUntil
	done := 1.0
	if whole > 0 {
		done = min(1, float64(now.Sub(j.rollout.Start))/whole)
	}
	return most - uint64(done*float64(most-least))
}
