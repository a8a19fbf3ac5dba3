package rollout

import (
	"fmt"
	"sort"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/tables"
)

// maxGroups is the number of groups over which reporting nodes are distributed.
// Outliers are detected by group, so that a fault of one replica isn't taken for a
// fault of its version. The fixed number bounds the sums of a comparison.
const maxGroups = 16

// reportTimeout is the time without a report after which a node is removed.
const reportTimeout = 60 * time.Second

// The number of requests to the new version that a stage requires, in all and
// on each route. It falls linearly from the maximum at the start to the minimum
// at samplesFloorAt, so that a good version finishes in time on little traffic
// too.
const (
	maxSamples      = 400
	minSamples      = 40
	maxRouteSamples = 20
	minRouteSamples = 5
	samplesFloorAt  = 0.5 // share of the time from start to by
)

// minOldRequests is the least number of requests to the old version in a window
// for a concurrent comparison. With fewer, the new version is compared with the
// old one's earlier requests.
const minOldRequests = 20

// Stat is one row of a node's report: the sums since the node's process started.
type Stat struct {
	Version string
	Route   string
	Sums    Sums
}

// Judge decides the progress of one rollout from the reports of all nodes. It is
// not safe for concurrent use.
type Judge struct {
	rollout   tables.Rollout
	progress  Progress
	reason    string
	nodes     map[string]*nodeReport
	nextGroup int // number of nodes added so far; modulo maxGroups, the group of the next one
	routes    map[string]*route
	all       comparison // sums of all routes
}

// nodeReport is the state of one reporting node.
type nodeReport struct {
	incarnation uint64
	group       int
	lastReport  time.Time
	lastSums    map[statKey]Sums
}

type statKey struct{ version, route string }

// NewJudge returns a judge of r that continues from progress p.
func NewJudge(r tables.Rollout, p Progress) *Judge {
	return &Judge{rollout: r, progress: p, nodes: map[string]*nodeReport{}, routes: map[string]*route{}}
}

// Progress returns the current progress of the rollout.
func (j *Judge) Progress() Progress { return j.progress }

// Reason returns why this judge vetoed the version, or "".
func (j *Judge) Reason() string { return j.reason }

// MergeProgress merges the progress reported by other nodes. When it raises the
// stage, the samples of the stage start from zero.
func (j *Judge) MergeProgress(p Progress) {
	merged := j.progress.Merge(p)
	if merged.Stage > j.progress.Stage {
		j.resetStage()
	}
	j.progress = merged
}

// Report records a node's sums. The first report of a node only sets a baseline,
// since the time of its requests is unknown; the first report of a restarted
// process counts in full. Reports from an older process are ignored.
func (j *Judge) Report(now time.Time, node string, incarnation uint64, stats []Stat) {
	n := j.nodes[node]
	baseline := n == nil
	if baseline {
		n = &nodeReport{group: j.nextGroup % maxGroups, incarnation: incarnation, lastSums: map[statKey]Sums{}}
		j.nextGroup++
		j.nodes[node] = n
	}
	if incarnation < n.incarnation {
		return
	}
	if incarnation > n.incarnation {
		n.incarnation = incarnation
		n.lastSums = map[statKey]Sums{}
	}
	n.lastReport = now
	for _, s := range stats {
		j.record(now, n, s, baseline)
	}
	j.removeExpired(now)
}

func (j *Judge) record(now time.Time, n *nodeReport, s Stat, baseline bool) {
	if s.Version != j.rollout.To && s.Version != j.rollout.From {
		return
	}
	key := statKey{s.Version, s.Route}
	last := n.lastSums[key]
	if !s.Sums.follows(&last) {
		return
	}
	n.lastSums[key] = s.Sums
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
		r.oldSeries.add(slotAt(now), delta)
		return
	}
	r.newSeries[n.group].add(slotAt(now), delta)
}

func slotAt(now time.Time) int64 { return now.UnixNano() / int64(slotDuration) }

// removeExpired removes nodes without a report for reportTimeout.
func (j *Judge) removeExpired(now time.Time) {
	for name, n := range j.nodes {
		if now.Sub(n.lastReport) > reportTimeout {
			delete(j.nodes, name)
		}
	}
}

// holdDuration is the time for which a hold sends a share of the traffic to the
// old version for a concurrent comparison.
const holdDuration = 5 * time.Second

// Decide evaluates all reports and returns the progress. It may advance the
// rollout by one stage, start a hold or veto the new version. A veto requires a
// concurrent comparison with the old version. When the old version has too
// little traffic and the new one is worse than the old one was before, a hold
// returns some traffic to the old version, which distinguishes a fault of the
// new version from a disturbance of both.
func (j *Judge) Decide(now time.Time) Progress {
	if j.progress.Vetoed || now.Before(j.rollout.Start) {
		return j.progress
	}
	j.compare(now)
	if reason := j.findRegression((*comparison).regression); reason != "" {
		j.progress.Vetoed = true
		j.reason = reason
		return j.progress
	}
	if now.Before(j.progress.HoldUntil) {
		j.recordHold()
		return j.progress
	}
	if j.findRegression((*comparison).suspectedRegression) != "" {
		j.progress.HoldUntil = now.Add(holdDuration)
		return j.progress
	}
	if j.canAdvance(now) {
		j.progress.Stage++
		j.resetStage()
	}
	return j.progress
}

// compare updates the comparison of each route and of all routes to now.
func (j *Judge) compare(now time.Time) {
	j.all = comparison{}
	for _, name := range j.routeNames() {
		j.routes[name].compare(slotAt(now))
		j.all.merge(&j.routes[name].comparison)
	}
}

// recordHold records the old version's worst window during a hold, so that the
// same disturbance starts no further hold.
func (j *Judge) recordHold() {
	for _, r := range j.routes {
		r.recordHold()
	}
}

// Complete reports whether the last stage has enough samples within tolerance,
// without a veto or a hold.
func (j *Judge) Complete(now time.Time) bool {
	final := j.progress.Stage == LastStage && !now.Before(earliestStart(&j.rollout, LastStage))
	return final && !j.progress.Vetoed && !now.Before(j.progress.HoldUntil) && j.samplesSuffice(now)
}

// resetStage clears the samples of the stage on all routes.
func (j *Judge) resetStage() {
	for _, r := range j.routes {
		r.resetStage()
	}
}

// routeNames returns the names of the routes, sorted.
func (j *Judge) routeNames() []string {
	out := make([]string, 0, len(j.routes))
	for name := range j.routes {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// findRegression describes the first regression that f finds on a single route,
// else over all routes. It returns "" when there is none.
func (j *Judge) findRegression(f func(*comparison) Regression) string {
	for _, name := range j.routeNames() {
		if found := f(&j.routes[name].comparison); found != NoRegression {
			return fmt.Sprintf("%s on route %s", found, name)
		}
	}
	if found := f(&j.all); found != NoRegression {
		return fmt.Sprintf("%s over all routes", found)
	}
	return ""
}

// canAdvance reports whether the next stage may start by its time and by the
// samples of the current one.
func (j *Judge) canAdvance(now time.Time) bool {
	next := j.progress.Stage + 1
	return next <= LastStage && !now.Before(earliestStart(&j.rollout, next)) && j.samplesSuffice(now)
}

// samplesSuffice reports whether the stage has enough samples and every route is
// within tolerance. A route needs a number of samples of its own only while the
// old version has at least minOldRequests on it.
func (j *Judge) samplesSuffice(now time.Time) bool {
	for _, name := range j.routeNames() {
		r := j.routes[name]
		required := r.comparison.paired[len(windows)-1].old.Requests >= minOldRequests
		if required && r.samples() < j.requiredSamples(now, maxRouteSamples, minRouteSamples) {
			return false
		}
		if !r.withinTolerance() {
			return false
		}
	}
	return j.all.samples() >= j.requiredSamples(now, maxSamples, minSamples)
}

// requiredSamples returns the number of samples that a stage needs now. It falls
// from most to least.
func (j *Judge) requiredSamples(now time.Time, most, least uint64) uint64 {
	ramp := float64(j.rollout.End.Sub(j.rollout.Start)) * samplesFloorAt
	elapsed := 1.0
	if ramp > 0 {
		elapsed = min(1, float64(now.Sub(j.rollout.Start))/ramp)
	}
	return most - uint64(elapsed*float64(most-least))
}
