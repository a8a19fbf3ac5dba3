package direct

import (
	"time"

	"github.com/sapphirewall/sapphirewall/internal/connpool"
)

// Options configure the service.
type Options struct {
	Node    string
	Zone    string
	Regions map[string]string // zone to region, of all zones
	Codec   connpool.Codec
	Dial    connpool.DialFunc
	// ColdOverage and ColdSlack widen what a cold replica bears: in a second all
	// VMs may send it its rate times the overage, and the slack beside.
	ColdOverage float64
	ColdSlack   int
	// RetryShare is the number of extra sends that the platform allows for each
	// request, and RetrySlack how many the whole fleet may make beside.
	RetryShare float64
	RetrySlack float64
	// StartedAt is when the process began; zero: now. What all VMs share out is held
	// back for a while after it.
	StartedAt time.Time
}

// The constants of the service.
const (
	// answerMargin is how long before the objective an answer without all parts
	// goes out: the way to the caller, merging and late timers.
	answerMargin = 12 * time.Millisecond
	// firstAttemptMargin is how long after the time of the answer a first attempt
	// ends, so that none is sent again just before the answer goes out.
	firstAttemptMargin = 10 * time.Millisecond
	// expirySlack is how much before its deadline a replica may give an attempt
	// up for its time: clocks and the way.
	expirySlack = 30 * time.Millisecond
	// budgetMargin is how long before the caller leaves it gets its last word.
	budgetMargin = 25 * time.Millisecond
	// minBudget is the time without which no replica can answer.
	minBudget = 5 * time.Millisecond
	// hedgeQuantile is the quantile of a route's latency after which a part is
	// late, and hedgeStretch the multiple of it that is waited for.
	hedgeQuantile = 0.95
	hedgeStretch  = 1.15
	// maxHedgeDelayShare bounds the wait before a hedge, as a share of the objective,
	// so that the hedge has the greater part for itself.
	maxHedgeDelayShare = 0.35
	// assumedLatencyShare is the usual latency of an attempt, as a share of the objective,
	// until it is learned: an objective leaves room for several.
	assumedLatencyShare = 0.15
	// minLatency is the shortest latency that is learned.
	minLatency = time.Millisecond
	// disconnectGrace is how long a replica may go on with a request whose caller has
	// left: most parts end in that time, and a connection that needn't be closed
	// needn't be opened again.
	disconnectGrace = 250 * time.Millisecond
	// lateAnswerGrace is how long the answer to an attempt that lost to its hedge is
	// still read, to learn from it and keep the connection.
	lateAnswerGrace = 1500 * time.Millisecond
	// sweepInterval is the time between two looks at overdue flights.
	sweepInterval = 50 * time.Millisecond
	// reportInterval is the time between two lines with all counters, for whoever
	// has only the logs.
	reportInterval = 30 * time.Second
	// minConnections is the number of connections to a replica that a VM may
	// hold however many VMs there are: one for a hedge, one for what comes next.
	minConnections = 2
	// sameRegionFactor is how many times a VM's even part of a replica's
	// connections those in the replica's own region may hold: they send nearly
	// all of its requests, and the others few.
	sameRegionFactor = 1.5
)
