package rollout

import (
	"fmt"
	"time"
)

// The times and margins of a fleet judge.
const (
	// applyDelay is the time that an order takes to reach the VMs, by which its time
	// ends earlier than they count.
	applyDelay = 500 * time.Millisecond
	// commitShare is the part of an order's time that is kept for the commit, within
	// minCommit and maxCommit. A commit takes two reports of each VM and the longest
	// request in flight.
	commitShare = 1.0 / 30
	minCommit   = 500 * time.Millisecond
	maxCommit   = 2 * time.Second
	// takeoverFrom is the part of an order's time that the trial has at least.
	takeoverFrom = 0.5
	// limitMargin is the part of the limit on exposure that is used, and rateMargin the
	// factor on the rate of requests by which the rest of the time is judged.
	limitMargin = 0.95
	rateMargin  = 1.1
	// takeoverSlack keeps a takeover from ending at every small rise of the rate. The
	// limits of the VMs hold all the while.
	takeoverSlack = 1.25
	// rateWindow is the time over which the rate of requests is measured, and
	// shortRateWindow that in which it may just have risen.
	rateWindow      = 4 * time.Second
	shortRateWindow = time.Second
	// heardWithin is the time within which a VM has reported to count as heard.
	heardWithin = 1500 * time.Millisecond
	// commitSpread is how long after a commit was recorded a VM that the judge does
	// not hear may take to follow it.
	commitSpread = 2 * time.Second
	// maxLoadSamples is the number of answers that the new version must have given since
	// the takeover began, or those of loadSampleTime if that is fewer.
	maxLoadSamples = 80
	loadSampleTime = 800 * time.Millisecond
	// maxUtilization is the share of the new version's slots that the present load may
	// take.
	maxUtilization = 0.9
)

// FleetJudge decides on one order by the reports of all VMs. What it allows the new
// version until the end of the order's time is within the limits, also if the
// version turns bad at any moment. It is not safe for concurrent use.
type FleetJudge struct {
	order    Order
	limits   Limits // of all VMs
	begin    time.Time
	phase    Phase
	reason   string
	commitAt time.Time
	// answersBefore is the number of answers of the new version when the takeover
	// began.
	answersBefore uint64
	wanted        Phase // to be recorded before it is in force; NoPhase: none

	vms            []string
	capacity       Capacity
	storeAvailable bool

	nodes   map[string]*fleetNode
	former  struct{ firsts, sent int } // of processes that have been replaced
	routes  map[string]*fleetRoute
	pending map[statID]Sums
	rates   []rateSample
	held    string // why the next phase is not entered, for the log
}

// NewFleetJudge returns a judge of an order that was heard of at a time, in its trial.
func NewFleetJudge(o Order, l Limits, heard time.Time) *FleetJudge {
	return &FleetJudge{
		order: o, limits: l, begin: heard, phase: Trial, storeAvailable: true,
		nodes: map[string]*fleetNode{}, routes: map[string]*fleetRoute{}, pending: map[statID]Sums{},
	}
}

// SetVMs sets the VMs that serve.
func (j *FleetJudge) SetVMs(vms []string) { j.vms = vms }

// SetCapacity sets what the replicas of the new version can take.
func (j *FleetJudge) SetCapacity(c Capacity) { j.capacity = c }

// SetStoreAvailable sets whether the store can be written to. Without it no takeover
// begins, as its end could not be recorded.
func (j *FleetJudge) SetStoreAvailable(yes bool) { j.storeAvailable = yes }

// Order returns the order.
func (j *FleetJudge) Order() Order { return j.order }

// Phase returns the phase in force.
func (j *FleetJudge) Phase() Phase { return j.phase }

// Held returns why the next phase is not entered.
func (j *FleetJudge) Held() string { return j.held }

// Wanted returns the phase that is to be recorded before it is in force, NoPhase if
// there is none.
func (j *FleetJudge) Wanted() Phase { return j.wanted }

// Guidance returns what the VMs are told.
func (j *FleetJudge) Guidance(now time.Time) Guidance {
	return Guidance{Phase: j.phase, Age: j.age(now), Reason: j.reason}
}

// age is the age of the order by the VM that has heard of it first.
func (j *FleetJudge) age(now time.Time) time.Duration { return now.Sub(j.begin) }

// SetAge records that the order is at least so old.
func (j *FleetJudge) SetAge(now time.Time, age time.Duration) {
	if begin := now.Add(-age); begin.Before(j.begin) {
		j.begin = begin
	}
}

// Recorded records that the store's record has a phase, which is therefore in force.
// Only a completion takes a veto back.
func (j *FleetJudge) Recorded(now time.Time, p Phase, reason string) {
	if j.phase == Completed || j.phase == RolledBack && p != Completed || p < Commit {
		return
	}
	j.enter(now, p)
	if p == RolledBack {
		j.reason = reason
	}
}

// enter changes the phase.
func (j *FleetJudge) enter(now time.Time, p Phase) {
	if p == j.phase {
		return
	}
	j.phase, j.wanted, j.held = p, NoPhase, ""
	switch p {
	case Takeover:
		j.answersBefore = j.newAnswers()
	case Commit:
		j.commitAt = now
	}
}

func (j *FleetJudge) rollBack(now time.Time, reason string) {
	j.enter(now, RolledBack)
	j.reason = reason
}

// Decide evaluates all reports. leading states whether this judge decides on the
// phases; any judge may roll a version back.
func (j *FleetJudge) Decide(now time.Time, leading bool) {
	if j.phase.Final() {
		return
	}
	j.sampleRate(now)
	if reason := j.findIn(now, isRegression); reason != "" {
		j.rollBack(now, reason)
		return
	}
	if !leading {
		j.follow(now)
		return
	}
	if j.capacity.Settled {
		j.wanted = Completed
		return
	}
	switch j.phase {
	case Trial, Probe:
		j.decideTrial(now)
	case Takeover:
		j.decideTakeover(now)
	case Commit:
		j.wanted = NoPhase
		if j.held = j.whyNotCompleted(now); j.held == "" {
			j.wanted = Completed
		}
	}
}

// follow takes the phase over that most VMs have in force. The judge that leads has
// stated it.
func (j *FleetJudge) follow(now time.Time) {
	counts := map[Phase]int{}
	for _, n := range j.nodes {
		if now.Sub(n.heard) < heardWithin {
			counts[n.report.Phase]++
		}
	}
	switch {
	case j.phase == Commit:
	case counts[Takeover] > counts[Trial]+counts[Probe]:
		j.enter(now, Takeover)
	case counts[Probe] > counts[Trial]:
		j.enter(now, Probe)
	default:
		j.enter(now, Trial)
	}
}

// decideTrial begins the takeover, or a probe of a version that is suspected.
func (j *FleetJudge) decideTrial(now time.Time) {
	suspicion := j.findIn(now, isSuspicion)
	why := j.whyNoTakeover(now, 1)
	// Beyond the time of the order, what may be a fault under load is found under load.
	late := j.age(now) >= j.order.Duration
	switch {
	case suspicion != "" && (why != "" || !late):
		j.enter(now, Probe)
		j.held = "suspected: " + suspicion
	case why != "":
		j.enter(now, Trial)
		j.held = why
	default:
		j.enter(now, Takeover)
	}
}

// decideTakeover continues the takeover, ends it, or asks for the commit.
func (j *FleetJudge) decideTakeover(now time.Time) {
	j.wanted = NoPhase
	why := j.whyNoTakeover(now, takeoverSlack)
	if why != "" {
		j.enter(now, Trial)
		j.held = why
		return
	}
	if j.age(now) < j.order.Duration-applyDelay-j.commitTime() {
		return
	}
	if j.held = j.doubts(now); j.held == "" {
		j.wanted = Commit
	}
}

// commitTime is the time that is kept for the commit.
func (j *FleetJudge) commitTime() time.Duration {
	return min(max(time.Duration(commitShare*float64(j.order.Duration)), minCommit), maxCommit)
}

// whyNoTakeover returns why the new version may not get nearly all requests now, or "".
// slack is the factor by which the requests expected may exceed the room for them.
func (j *FleetJudge) whyNoTakeover(now time.Time, slack float64) string {
	age := j.age(now)
	switch {
	case age < time.Duration(takeoverFrom*float64(j.order.Duration)):
		return "trial"
	case !j.storeAvailable:
		return "the store can't be written to"
	case j.capacity.NewReplicas == 0:
		return "the new version has no replicas that can take work"
	case !j.hearsMajority(now):
		return "most VMs are not heard"
	case j.capacity.NewSlots > 0 && j.concurrency(now) > maxUtilization*float64(j.capacity.NewSlots):
		return "the replicas of the new version are too few for the load"
	case age < j.order.Duration && j.expected(now) > slack*j.room():
		return "too many requests until the end of the time"
	}
	return ""
}

// room is the number of further requests that may go to the new version if it gets all
// of them: each also raises the limit.
func (j *FleetJudge) room() float64 {
	firsts, sent := j.Totals()
	allowed := limitMargin * (j.limits.Share*float64(firsts) + j.limits.Slack)
	return (allowed - float64(sent)) / (1 - limitMargin*j.limits.Share)
}

// expected is the number of requests until the end of the order's time.
func (j *FleetJudge) expected(now time.Time) float64 {
	return rateMargin * j.rate(now) * (j.order.Duration - j.age(now)).Seconds()
}

// whyNotCompleted returns why the old replicas may not be given up yet, or "".
func (j *FleetJudge) whyNotCompleted(now time.Time) string {
	if !j.hearsMajority(now) {
		return "most VMs are not heard"
	}
	for _, vm := range j.vms {
		if j.nodes[vm] == nil && now.Sub(j.commitAt) < commitSpread+j.maxAttempt() {
			return "a VM that is not heard may have requests at the old version"
		}
	}
	for _, n := range j.nodes {
		if n.report.Phase == Commit && n.report.OldInFlight == 0 && !n.heard.Before(j.commitAt) {
			continue
		}
		since := now.Sub(n.heard)
		if since < heardWithin {
			return "a VM has requests at the old version"
		}
		if min(since, now.Sub(j.commitAt)-commitSpread) < j.maxAttempt() {
			return "a VM that is not heard may have requests at the old version"
		}
	}
	if float64(j.newAnswers()-j.answersBefore) < min(maxLoadSamples, loadSampleTime.Seconds()*j.rate(now)) {
		return "too few answers of the new version under load"
	}
	return j.doubts(now)
}

// doubts returns why the new version may not replace the old one yet, or "".
func (j *FleetJudge) doubts(now time.Time) string {
	if found := j.findIn(now, isSuspicion); found != "" {
		return "suspected: " + found
	}
	if found := j.overTolerance(now); found != NoRegression {
		return fmt.Sprintf("%s above what is tolerated", found)
	}
	return j.recentTrouble(now)
}
