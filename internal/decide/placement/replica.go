package placement

import (
	"math"
	"time"
)

// The constants of the evidence.
const (
	// speedWeight is the weight of one latency in the learned speed: about
	// seven answers tell a change, one long request doesn't.
	speedWeight = 0.15
	// firstSeen is the number of usual answers that a replica is taken to have
	// given before its first one, and learnCount that from which speedWeight
	// holds. The first answers tell more, since there is nothing else to go by.
	firstSeen  = 4
	learnCount = 10
	// maxRatio bounds what one latency counts, as a multiple of the usual.
	maxRatio = 30
	// slowRatio is the learned speed from which a replica counts as slow: beyond
	// what distance and a passing queue explain.
	slowRatio = 2.5
	// slowWeight is the weight of one latency of a slow replica: it is asked
	// seldom, so each answer has to tell more.
	slowWeight = 0.4
	// firstTrial and longestTrial bound the time between two requests that try a
	// slow replica: one that only paused is found well soon, and each request to
	// one that stays slow is likely to need a hedge.
	firstTrial   = 200 * time.Millisecond
	longestTrial = 1500 * time.Millisecond
	// trialPassed is how many requests go past a slow replica for each that
	// tries it: a VM with few requests would else spend most of them on trials.
	trialPassed = 12
	// failureWeight is the weight of one attempt in the learned share of
	// failures, and failureHalfLife the time in which half of that share is
	// forgotten without attempts.
	failureWeight   = 0.1
	failureHalfLife = 3 * time.Second
	// loadHalfLife is the age at which a told load counts half: a few runs.
	loadHalfLife = 50 * time.Millisecond
	// firstPause and longestPause bound how long a replica is left alone after
	// failures: at first for about one objective, later such that a replica
	// that is back is found within a second or two.
	firstPause   = 100 * time.Millisecond
	longestPause = 1500 * time.Millisecond
	// defaultSlots stands in for an unknown number of slots.
	defaultSlots = 4
)

// Replica is the evidence on one replica. It is not safe for concurrent use.
type Replica struct {
	slots    int
	sent     []time.Time // of the attempts without an answer, oldest first
	answered time.Time   // last answer
	speed    float64     // latency over the usual, smoothed
	trialAt  time.Time   // when a slow replica may be tried again
	trialGap time.Duration
	passed   int       // requests that went elsewhere since the last one
	seen     int       // answers, up to learnCount
	failing  float64   // share of attempts that fail or are rejected, smoothed
	failedAt time.Time // of failing
	waiting  int       // told load beyond this VM's own share
	running  int
	loadAt   time.Time
	failures int // in a row
	until    time.Time
}

// NewReplica returns a replica that nothing is known of. slots is the number of
// requests that it runs at once, 0 if unknown.
func NewReplica(slots int) *Replica {
	if slots <= 0 {
		slots = defaultSlots
	}
	return &Replica{slots: slots, speed: 1, trialGap: firstTrial}
}

// Sent takes an attempt that begins now.
func (r *Replica) Sent(now time.Time) {
	if r.speed > slowRatio {
		r.trialAt = now.Add(r.trialGap)
	}
	r.passed = 0
	r.sent = append(r.sent, now)
}

// Answered takes the end of an attempt by a whole answer. usual is the typical
// latency of such requests, 0 if unknown.
func (r *Replica) Answered(now, sentAt time.Time, usual time.Duration) {
	r.drop(sentAt)
	r.answered = now
	r.failures = 0
	r.learnFailure(now, 0)
	if usual > 0 {
		r.learn(now, float64(now.Sub(sentAt))/float64(usual))
	}
}

// Cancelled takes an attempt that ended without telling anything.
func (r *Replica) Cancelled(sentAt time.Time) { r.drop(sentAt) }

// Failed takes an attempt that ended in a failure of the replica or of the way
// to it. The replica is left alone for a time that grows.
func (r *Replica) Failed(now, sentAt time.Time) {
	r.drop(sentAt)
	r.learnFailure(now, 1)
	if now.Before(r.until) {
		return // attempts that were in flight together fail together
	}
	r.failures++
	r.until = now.Add(min(firstPause<<min(r.failures-1, 10), longestPause))
}

// Rejected takes a rejection: the replica has no room, or says so of a share of all
// requests whatever its load.
func (r *Replica) Rejected(now, sentAt time.Time) {
	r.drop(sentAt)
	r.learnFailure(now, 1)
	r.answered = now
	r.running, r.waiting, r.loadAt = r.slots, r.slots, now
}

// ObserveLoad takes the load that the replica tells of itself.
func (r *Replica) ObserveLoad(now time.Time, running, waiting, slots int) {
	if slots > 0 {
		r.slots = slots
	}
	r.running, r.waiting, r.loadAt = running, waiting, now
}

// Stats is what is known of a replica at one moment, for logs.
type Stats struct {
	LatencyRatio float64       // latency over the usual
	FailureRate  float64       // share of attempts that fail or are rejected
	InFlight     int           // attempts without an answer
	StallTime    time.Duration // since it last answered, while it owes an answer
	Load         int           // requests that it last told to have
	LoadAge      time.Duration
}

// Stats returns what is known now.
func (r *Replica) Stats(now time.Time) Stats {
	e := Stats{LatencyRatio: r.speed, FailureRate: r.failingNow(now), InFlight: len(r.sent), StallTime: r.StallTime(now), Load: r.running + r.waiting}
	if !r.loadAt.IsZero() {
		e.LoadAge = now.Sub(r.loadAt)
	}
	return e
}

// StallTime is how long the replica has owed an answer without giving any; 0 if
// it owes none.
func (r *Replica) StallTime(now time.Time) time.Duration {
	if len(r.sent) == 0 {
		return 0
	}
	since := r.sent[0]
	if r.answered.After(since) {
		since = r.answered
	}
	return now.Sub(since)
}

// Ejected reports whether the replica is left alone after failures. Once its
// pause is over one attempt at a time tries it.
func (r *Replica) Ejected(now time.Time) bool {
	return r.failures > 0 && (now.Before(r.until) || len(r.sent) > 0)
}

// learn takes one latency as a multiple of the usual one.
func (r *Replica) learn(now time.Time, ratio float64) {
	slow := r.speed > slowRatio
	weight := max(speedWeight, 1/float64(r.seen+firstSeen))
	if slow {
		weight = slowWeight
	}
	r.seen = min(r.seen+1, learnCount)
	r.speed += weight * (min(ratio, maxRatio) - r.speed)
	switch {
	case r.speed <= slowRatio:
		r.trialAt, r.trialGap = time.Time{}, firstTrial
	case !slow:
		r.trialAt = now.Add(r.trialGap)
	case ratio > slowRatio:
		r.trialGap = min(2*r.trialGap, longestTrial)
	default:
		r.trialGap = firstTrial
		r.trialAt = now.Add(firstTrial)
	}
}

// speedNow is the learned speed; that of a slow replica whose trial is due is
// taken for usual, for one request.
func (r *Replica) speedNow(now time.Time) float64 {
	if r.speed > slowRatio && len(r.sent) == 0 && r.passed >= trialPassed && !now.Before(r.trialAt) {
		return 1
	}
	return r.speed
}

func (r *Replica) learnFailure(now time.Time, failed float64) {
	share := r.failingNow(now)
	r.failing = share + failureWeight*(failed-share)
	r.failedAt = now
}

// failingNow is the learned share of failures, which fades without attempts.
func (r *Replica) failingNow(now time.Time) float64 {
	if r.failing == 0 {
		return 0
	}
	return r.failing * math.Exp2(-now.Sub(r.failedAt).Seconds()/failureHalfLife.Seconds())
}

func (r *Replica) drop(sentAt time.Time) {
	for i, at := range r.sent {
		if at.Equal(sentAt) {
			r.sent = append(r.sent[:i], r.sent[i+1:]...)
			return
		}
	}
}
