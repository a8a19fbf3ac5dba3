package admission

import (
	"math"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/quantile"
)

const (
	// freeTime is how long a replica that reported a free slot counts as free.
	freeTime = 300 * time.Millisecond
	// rejectedWait is the wait that a rejection without a load stands for, in executions.
	rejectedWait = 1
	// usualPace is the pace of a replica's machine at its usual speed.
	usualPace = 100
	// reportWeight is the weight of one report in the average wait and in the share of
	// reports with a free slot. A single report at 0.6 of the capacity is often a queue of
	// one execution. The averages are over the replicas that get requests: those of each
	// replica kept the queues of a burst's start for seconds after they were gone.
	// A wait that is longer than the average weighs more, so that few requests are added to
	// a queue that has just become long.
	reportWeight = 0.4
	longerWeight = 0.7
	// longWait is the wait, in executions, that shows by itself that no slot is free.
	longWait = 2
	// execQuantile is the quantile of the answers' times that stands for an execution. An
	// average kept growing for seconds after a queue had shrunk: the answers that had
	// waited in it state a short one.
	execQuantile = 0.4
	// minExec is the floor of the execution time.
	minExec = 100 * time.Microsecond
	// silentAttempts is the number of attempts in a row without any answer from which a
	// replica is silent, and silentTime how long it is before it is asked again.
	silentAttempts = 2
	silentTime     = time.Second
	// forgetAfter is the age at which a report is dropped.
	forgetAfter = 30 * time.Second
)

// Load is what a replica reports of its load.
type Load struct {
	Running, Waiting, Slots int
	Pace                    int // time that work takes there, in percent of the usual; 0: not stated
}

// wait returns how long a new request waits for a slot, in executions at the usual pace.
func (l Load) wait() float64 {
	if l.Slots <= 0 {
		return 0
	}
	excess := max(0, l.Running+l.Waiting+1-l.Slots)
	return float64(excess) / float64(l.Slots) * l.pace()
}

func (l Load) pace() float64 {
	if l.Pace <= 0 {
		return 1
	}
	return float64(l.Pace) / usualPace
}

// Room is the free capacity of one pool, as observed in the answers of its replicas. It
// is not safe for concurrent use.
type Room struct {
	replicas map[string]*observed
	exec     *quantile.Tracker // execution time at the usual pace
	pace     float64           // of the last report
	wait     float64           // average of the reports, in executions
	free     float64           // average share of reports with a free slot
	heardAt  time.Time
	busyAt   time.Time
}

// observed is what is known of one replica.
type observed struct {
	freeAt      time.Time // last report of a free slot; zero: the last one was of none
	at          time.Time // last answer
	silent      int       // attempts in a row without an answer
	silentUntil time.Time
}

// NewRoom returns a room without observations.
func NewRoom() *Room {
	return &Room{replicas: map[string]*observed{}, pace: 1, free: 1, exec: quantile.New(execQuantile, minExec)}
}

// Report records the load that a replica states in an answer, and how long the attempt
// took; 0 if it was not executed.
func (r *Room) Report(now time.Time, id string, l Load, took time.Duration) {
	o := r.of(now, id)
	wait := l.wait()
	r.observe(now, o, wait)
	r.pace = l.pace()
	if took <= 0 {
		return
	}
	r.exec.Observe(time.Duration(float64(took) / (l.pace() + wait)))
}

// Rejected records that a replica rejected an attempt without stating its load.
func (r *Room) Rejected(now time.Time, id string) {
	o := r.of(now, id)
	r.observe(now, o, max(r.wait, rejectedWait))
}

// observe records an answer of a replica and the wait that it shows, in executions.
func (r *Room) observe(now time.Time, o *observed, wait float64) {
	weight := reportWeight
	if wait > r.wait {
		weight = longerWeight
	}
	r.wait += weight * (wait - r.wait)
	r.free -= reportWeight * r.free
	o.freeAt, r.heardAt = time.Time{}, now
	switch {
	case wait == 0:
		r.free += reportWeight
		o.freeAt = now
	case wait >= longWait:
		r.free = 0
		fallthrough
	default:
		r.busyAt = now
	}
	o.at, o.silent, o.silentUntil = now, 0, time.Time{}
}

// Silent records that an attempt to a replica ended without any answer.
func (r *Room) Silent(now time.Time, id string) {
	o := r.of(now, id)
	o.silent++
	if o.silent >= silentAttempts {
		o.silentUntil = now.Add(silentTime)
		r.busyAt = now
	}
}

// Part is what a request can expect of one pool.
type Part struct {
	Wait time.Duration // for a slot, when last heard; Never if all replicas are silent
	Age  time.Duration // since then
	Exec time.Duration // of the execution
	Free float64       // share of recent reports with a free slot
}

// Never is the wait for a pool whose replicas are all silent.
const Never = time.Duration(math.MaxInt64 / 4)

// Expect returns what a request can expect of the pool, which has a number of replicas.
func (r *Room) Expect(now time.Time, replicas int) Part {
	if now.Sub(r.busyAt) > forgetAfter {
		return Part{Free: 1}
	}
	exec, _ := r.exec.Value()
	slowed := time.Duration(float64(exec) * r.pace)
	silent := 0
	for _, o := range r.replicas {
		switch {
		case now.Before(o.silentUntil):
			silent++
		case !o.freeAt.IsZero() && now.Sub(o.freeAt) <= freeTime:
			return Part{Exec: slowed, Free: r.free}
		}
	}
	if silent > 0 && silent >= replicas {
		return Part{Wait: Never}
	}
	return Part{Wait: time.Duration(r.wait * float64(exec)), Exec: slowed, Free: r.free, Age: max(now.Sub(r.heardAt), 0)}
}

// of returns the replica with an ID. It drops those without recent reports when it adds
// one.
func (r *Room) of(now time.Time, id string) *observed {
	o := r.replicas[id]
	if o == nil {
		for other, x := range r.replicas {
			if now.Sub(x.at) > forgetAfter && now.Sub(x.silentUntil) > forgetAfter {
				delete(r.replicas, other)
			}
		}
		o = &observed{}
		r.replicas[id] = o
	}
	return o
}
