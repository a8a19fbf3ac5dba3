package zoneshare

import (
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/placement"
	"github.com/sapphirewall/sapphirewall/internal/decide/quantile"
)

const (
	// waitWeight is the weight of one report in the average wait. A single report is
	// often a queue of one execution.
	waitWeight = 0.25
	// waitHalfLife is the age at which an average wait counts half. Distant replicas
	// that get no requests are then tried again.
	waitHalfLife = 2 * time.Second
	// rejectedWait is the wait that a rejection stands for, in executions: another
	// attempt, and the chance of a second rejection.
	rejectedWait = 2
	// execQuantile is the quantile of the times of answers that stands for an execution,
	// as in package admission.
	execQuantile = 0.4
	minExec      = 100 * time.Microsecond
	// enoughAnswers is the number of answers from a distance, from which on their times
	// show the round trip. Before that, the assumed ones count.
	enoughAnswers = 8
	assumedZone   = 2 * time.Millisecond
	assumedRegion = 18 * time.Millisecond
	// usualPace is the pace of a replica's machine at its usual speed.
	usualPace = 100
	// bytesWeight is the weight of one exchange in the average size.
	bytesWeight = 0.1
	// maxWait bounds one report, in executions.
	maxWait = 20
)

// Report is what the end of an attempt shows.
type Report struct {
	Distance                      placement.Distance
	Running, Waiting, Slots, Pace int
	Rejected                      bool
	Took                          time.Duration // 0: not executed
	Bytes                         int           // of the request and the reply
}

// wait returns how long a new request waits for a slot, in executions at the usual pace.
func (r *Report) wait() float64 {
	if r.Rejected {
		return rejectedWait
	}
	if r.Slots <= 0 {
		return 0
	}
	return min(float64(max(0, r.Running+r.Waiting+1-r.Slots))/float64(r.Slots)*r.pace(), maxWait)
}

func (r *Report) pace() float64 {
	if r.Pace <= 0 {
		return 1
	}
	return float64(r.Pace) / usualPace
}

// observed is what is known of the replicas at one distance.
type observed struct {
	wait    float64 // average, in executions at the usual pace
	pace    float64 // average
	exec    *quantile.Tracker
	answers int
	at      time.Time // last report
}

func newObserved() observed { return observed{pace: 1, exec: quantile.New(execQuantile, minExec)} }

func (o *observed) report(now time.Time, r *Report) {
	wait := r.wait()
	o.wait += waitWeight * (wait - o.wait)
	o.at = now
	if r.Rejected {
		return
	}
	o.pace += waitWeight * (r.pace() - o.pace)
	if r.Took > 0 {
		o.exec.Observe(time.Duration(float64(r.Took) / (r.pace() + wait)))
		o.answers++
	}
}

// expect returns the expected time to an answer: the wait, which loses its weight with
// its age, and the execution with the round trip. base is the execution near by, and
// trip the assumed round trip beyond it.
func (o *observed) expect(now time.Time, base, trip time.Duration) time.Duration {
	exec := base + trip
	if o.answers >= enoughAnswers {
		exec, _ = o.exec.Value()
	}
	if o.at.IsZero() {
		return exec
	}
	weight := float64(waitHalfLife) / float64(waitHalfLife+max(now.Sub(o.at), 0))
	slowed := 1 + (o.pace-1)*weight
	return time.Duration(float64(exec)*slowed + o.wait*weight*float64(base))
}
