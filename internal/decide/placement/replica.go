package placement

import (
	"math"
	"time"
)

const (
	// ratioWeight is the weight of one latency in the latency ratio: about seven
	// answers show a change, one long request doesn't.
	ratioWeight = 0.15
	// priorAnswers is the number of typical answers that a replica is assumed to
	// have given before its first one, and warmupAnswers the number of answers
	// after which ratioWeight applies. The first answers weigh more, since there
	// is no other information.
	priorAnswers  = 4
	warmupAnswers = 10
	// maxRatio caps one latency, as a multiple of the typical one.
	maxRatio = 30
	// slowRatio is the latency ratio above which a replica counts as slow: more
	// than distance and a temporary queue explain.
	slowRatio = 2.5
	// slowWeight is the weight of one latency of a slow replica. It gets few
	// attempts, so each answer has to count for more.
	slowWeight = 0.4
	// minProbeInterval and maxProbeInterval bound the time between two probes of
	// a slow replica: one that only paused is found to have recovered soon, and
	// each probe of one that stays slow is likely to need a hedge.
	minProbeInterval = 200 * time.Millisecond
	maxProbeInterval = 1500 * time.Millisecond
	// requestsPerProbe is the number of requests that pass over a slow replica
	// for each probe. Without it, a VM with few requests would spend most of them
	// on probes.
	requestsPerProbe = 12
	// failureWeight is the weight of one attempt in the failure rate, and
	// failureHalfLife the time in which the rate halves without attempts.
	failureWeight   = 0.1
	failureHalfLife = 3 * time.Second
	// loadHalfLife is the age at which a reported load counts half: a few
	// executions.
	loadHalfLife = 50 * time.Millisecond
	// minEjection and maxEjection bound how long a replica is ejected after
	// failures: at first for about one latency objective, later such that a
	// recovered replica is found within a second or two.
	minEjection = 100 * time.Millisecond
	maxEjection = 1500 * time.Millisecond
	// defaultSlots is assumed if the number of slots is unknown.
	defaultSlots = 4
)

// Replica holds the observations of one replica. It is not safe for concurrent
// use.
type Replica struct {
	slots         int
	inFlight      []time.Time // send times of the attempts without an answer, oldest first
	answeredAt    time.Time   // last answer or rejection
	latencyRatio  float64     // latency over the typical one, smoothed
	probeAt       time.Time   // when a slow replica may be probed again
	probeInterval time.Duration
	passedOver    int       // requests sent to other replicas since the last one to this
	answers       int       // counted up to warmupAnswers
	failureRate   float64   // share of attempts that fail, smoothed
	rateAt        time.Time // when failureRate was updated
	waiting       int       // requests waiting and running, as last reported
	running       int
	loadAt        time.Time // when the load was reported
	failures      int       // in a row
	ejectedUntil  time.Time
	rejections    rejections
	// weighsRejections states that rejections count as missing capacity, not as failures.
	weighsRejections bool
	pace             pace
	busy             float64 // share of busy slots, smoothed; 0 unless the pace is stated
	busyAt           time.Time
	sends            decaying // requests that this VM has sent
	recentSends      float64  // value of sends at the present choice
}

// NewReplica returns a replica without observations. slots is the number of
// requests that it executes at once, 0 if unknown.
func NewReplica(slots int) *Replica {
	if slots <= 0 {
		slots = defaultSlots
	}
	return &Replica{slots: slots, latencyRatio: 1, probeInterval: minProbeInterval}
}

// Sent records that an attempt is sent now.
func (r *Replica) Sent(now time.Time) {
	if r.latencyRatio > slowRatio {
		r.probeAt = now.Add(r.probeInterval)
	}
	r.passedOver = 0
	r.sends.add(now, 1, sendsHalfLife)
	r.inFlight = append(r.inFlight, now)
}

// Answered records a complete answer to the attempt sent at sentAt. typical is
// the typical latency of such requests, 0 if unknown.
func (r *Replica) Answered(now, sentAt time.Time, typical time.Duration) {
	r.removeInFlight(sentAt)
	r.answeredAt = now
	r.failures = 0
	r.observeFailure(now, 0)
	if r.weighsRejections {
		r.rejections.observe(now, 0)
	}
	if typical > 0 {
		r.observeRatio(now, float64(now.Sub(sentAt))/float64(typical))
	}
}

// Cancelled records the end of an attempt that shows nothing about the replica.
func (r *Replica) Cancelled(sentAt time.Time) { r.removeInFlight(sentAt) }

// Failed records a failure of the replica, or of the connection to it, during an
// attempt. The replica is ejected, for longer after each failure in a row.
func (r *Replica) Failed(now, sentAt time.Time) {
	r.removeInFlight(sentAt)
	r.observeFailure(now, 1)
	if now.Before(r.ejectedUntil) {
		return // attempts that were in flight together fail together
	}
	r.failures++
	r.ejectedUntil = now.Add(min(minEjection<<min(r.failures-1, 10), maxEjection))
}

// WeighRejections makes rejections count as evidence of missing capacity, and balances the
// requests to the replica with those to others.
func (r *Replica) WeighRejections() { r.weighsRejections = true }

// WeighsRejections reports whether rejections count as evidence of missing capacity.
func (r *Replica) WeighsRejections() bool { return r.weighsRejections }

// Rejected records a rejection. The replica has no room, or it rejects a share of
// all requests whatever its load. It is no latency; it is evidence of missing capacity or,
// without WeighRejections, a failure.
func (r *Replica) Rejected(now, sentAt time.Time) {
	r.removeInFlight(sentAt)
	if r.weighsRejections {
		r.rejections.observe(now, 1)
	} else {
		r.observeFailure(now, 1)
	}
	r.answeredAt = now
	r.running, r.waiting, r.loadAt = r.slots, r.slots, now
}

// ObserveLoad records the load that the replica reports.
func (r *Replica) ObserveLoad(now time.Time, running, waiting, slots int) {
	if slots > 0 {
		r.slots = slots
	}
	r.running, r.waiting, r.loadAt = running, waiting, now
}

// Stats summarizes the observations of a replica, for logs.
type Stats struct {
	LatencyRatio float64       // latency over the typical one
	FailureRate  float64       // share of attempts that fail
	Rejecting    float64       // chance of a rejection
	InFlight     int           // attempts without an answer
	StallTime    time.Duration // see Replica.StallTime
	Load         int           // requests running and waiting, as last reported
	LoadAge      time.Duration
}

// Stats returns the present observations.
func (r *Replica) Stats(now time.Time) Stats {
	s := Stats{LatencyRatio: r.latencyRatio, FailureRate: r.failureRateAt(now), Rejecting: r.RejectionChance(now), InFlight: len(r.inFlight), StallTime: r.StallTime(now), Load: r.running + r.waiting}
	if !r.loadAt.IsZero() {
		s.LoadAge = now.Sub(r.loadAt)
	}
	return s
}

// StallTime returns how long attempts have been in flight without any answer
// from the replica; 0 if none is in flight.
func (r *Replica) StallTime(now time.Time) time.Duration {
	if len(r.inFlight) == 0 {
		return 0
	}
	since := r.inFlight[0]
	if r.answeredAt.After(since) {
		since = r.answeredAt
	}
	return now.Sub(since)
}

// Ejected reports whether the replica is ejected after failures. When the
// ejection time is over, it stays ejected while a probe is in flight, so that one
// attempt at a time probes it.
func (r *Replica) Ejected(now time.Time) bool {
	return r.failures > 0 && (now.Before(r.ejectedUntil) || len(r.inFlight) > 0)
}

// observeRatio records one latency, as a multiple of the typical one.
func (r *Replica) observeRatio(now time.Time, ratio float64) {
	slow := r.latencyRatio > slowRatio
	weight := max(ratioWeight, 1/float64(r.answers+priorAnswers))
	if slow {
		weight = slowWeight
	}
	r.answers = min(r.answers+1, warmupAnswers)
	r.latencyRatio += weight * (min(ratio, maxRatio) - r.latencyRatio)
	switch {
	case r.latencyRatio <= slowRatio:
		r.probeAt, r.probeInterval = time.Time{}, minProbeInterval
	case !slow:
		r.probeAt = now.Add(r.probeInterval)
	case ratio > slowRatio:
		r.probeInterval = min(2*r.probeInterval, maxProbeInterval)
	default:
		r.probeInterval = minProbeInterval
		r.probeAt = now.Add(minProbeInterval)
	}
}

// expectedRatio returns the latency ratio for the next choice. For a slow replica
// that is due for a probe it is 1, so that one request is sent to it.
func (r *Replica) expectedRatio(now time.Time) float64 {
	if r.latencyRatio > slowRatio && len(r.inFlight) == 0 && r.passedOver >= requestsPerProbe && !now.Before(r.probeAt) {
		return 1
	}
	return r.latencyRatio
}

// observeFailure records the end of an attempt: 1 for a failure, or for a rejection that
// counts as one, 0 for an answer.
func (r *Replica) observeFailure(now time.Time, failed float64) {
	rate := r.failureRateAt(now)
	r.failureRate = rate + failureWeight*(failed-rate)
	r.rateAt = now
}

// failureRateAt returns the failure rate, which decays without attempts.
func (r *Replica) failureRateAt(now time.Time) float64 {
	if r.failureRate == 0 {
		return 0
	}
	return r.failureRate * math.Exp2(-now.Sub(r.rateAt).Seconds()/failureHalfLife.Seconds())
}

func (r *Replica) removeInFlight(sentAt time.Time) {
	for i, at := range r.inFlight {
		if at.Equal(sentAt) {
			r.inFlight = append(r.inFlight[:i], r.inFlight[i+1:]...)
			return
		}
	}
}
