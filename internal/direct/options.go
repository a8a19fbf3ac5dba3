package direct

import (
	"time"

	"github.com/sapphirewall/sapphirewall/internal/connpool"
	"github.com/sapphirewall/sapphirewall/internal/decide/zoneshare"
)

// Options configure the service.
type Options struct {
	Node    string
	Zone    string
	Regions map[string]string // zone to region, of all zones
	Codec   connpool.Codec
	Dial    connpool.DialFunc
	// ColdOverage and ColdSlack raise the limit on requests to a cold replica:
	// all VMs together may send it its rate times ColdOverage, plus ColdSlack, in
	// a second.
	ColdOverage float64
	ColdSlack   float64
	// RetryShare is the number of extra attempts that the platform allows per
	// request, and RetrySlack the number that the whole fleet may send beyond
	// that.
	RetryShare float64
	RetrySlack float64
	// ExposureShare and ExposureSlack bound what all VMs together send to a version
	// before it is known to be good: a share of the requests to its pool, and a number
	// of requests beyond that. Rollback is the time until it gets none after it is
	// known to be bad.
	ExposureShare float64
	ExposureSlack float64
	Rollback      time.Duration
	// Rejections states for which replicas a rejection counts as evidence of missing
	// capacity, which VMs share, and not as a failure; "": Auto.
	Rejections Mode
	// Admission states when requests are refused for lack of free capacity; "": Auto.
	Admission Mode
	// ZoneShare states for which pools the share that leaves the zone is decided; "":
	// Auto. ZonePrices are what their bytes cost.
	ZoneShare  Mode
	ZonePrices zoneshare.Prices
	// UpstreamBytes bounds the bodies in flight to one replica; 0: no bound.
	UpstreamBytes int
	// StartedAt is when the process started; zero: now. The VM's shares of some
	// fleet-wide limits are withheld for a while after it.
	StartedAt time.Time
	// Revocation is the time within which an API key that was taken away is no longer
	// accepted, whether or not the store can be reached; 0: no such bound.
	Revocation time.Duration
	// Began is called once for each request of a caller with a team, when its first attempt
	// is known to have begun at a replica: any reply except one that proves that the request
	// did not run there. at is when the attempt was written. It is called from several
	// goroutines and must not block; nil: none.
	Began func(team string, at time.Time)
	// Queued returns the bytes for other VMs that still wait in the VM's link; nil: not
	// known.
	Queued func() int
}

// Mode states for which pools a decision on load is made.
type Mode string

// The modes.
const (
	Off  Mode = "off"
	On   Mode = "on"
	Auto Mode = "auto" // those whose replicas state the pace of their machine
)

// The constants of the service.
const (
	// firstAttemptMargin is how long after the time of the answer a first attempt
	// expires. Otherwise expired attempts would be retried just before the answer
	// is sent.
	firstAttemptMargin = 10 * time.Millisecond
	// expirySlack is how long before its deadline a replica may already report an
	// attempt as expired. It covers clock differences and network latency.
	expirySlack = 30 * time.Millisecond
	// budgetMargin is how long before the end of its time budget a caller gets the
	// final answer.
	budgetMargin = 25 * time.Millisecond
	// retryKeys is the Retry-After of a refusal because the knowledge of API keys is too
	// old. The store or another VM confirms it within about this time when it can be reached.
	retryKeys = 500 * time.Millisecond
	// minBudget is the time below which no replica can answer.
	minBudget = 5 * time.Millisecond
	// hedgeQuantile is the quantile of a route's latency after which an attempt is
	// late. A hedge is sent after hedgeFactor times that latency.
	hedgeQuantile = 0.95
	hedgeFactor   = 1.15
	// maxHedgeDelayShare bounds the delay of a hedge, as a share of the latency
	// objective, so that most of the objective is left for the hedge.
	maxHedgeDelayShare = 0.35
	// assumedLatencyShare is the typical latency of an attempt, as a share of the
	// latency objective, until it has been observed. An objective leaves time for
	// several attempts.
	assumedLatencyShare = 0.15
	// minLatency is the floor of the tracked latencies.
	minLatency = time.Millisecond
	// disconnectGrace is how long a replica may continue with a request whose
	// caller has disconnected. Most parts end within it, and their connections
	// need not be closed and opened again.
	disconnectGrace = 250 * time.Millisecond
	// lateAnswerGrace is how long the reply to an attempt that was overtaken by its
	// hedge is still read, to observe its latency and keep the connection.
	lateAnswerGrace = 1500 * time.Millisecond
	// sweepInterval is the time between two checks for overdue attempts.
	sweepInterval = 50 * time.Millisecond
	// reportInterval is the time between two log lines with all counters, for
	// operators who only have the logs.
	reportInterval = 30 * time.Second
	// scarceIdleTimeout is how long a connection is kept without a request if replicas
	// accept less than one for each VM.
	scarceIdleTimeout = time.Second
)
