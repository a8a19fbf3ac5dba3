package connect

import "time"

const (
	// costShare is the share of a replica's time that new connections may take.
	costShare = 0.1
	// burst is the number of connections that may be opened at once.
	burst = 2
	// maxOwners is the number of processes that may hold connections to one
	// replica at the same time: the owner and its predecessor or successor.
	maxOwners = 2
	// minRate is the lowest rate of new connections, in connections a second. It
	// keeps a replica reachable however costly a connection is.
	minRate = 1.0
	// freeRate is the rate of new connections to a replica for which they cost
	// nothing, in connections a second.
	freeRate = 1e9
	// minFailDelay and maxFailDelay bound the delay after failures to connect. It
	// doubles with each consecutive failure.
	minFailDelay = 50 * time.Millisecond
	maxFailDelay = 2 * time.Second
)

// Config holds the settings of a replica from the pools table.
type Config struct {
	Connections int           // connections that the replica accepts from all owners
	Cost        time.Duration // time that the replica spends on one new connection
}

// Setups counts one owner's connections to one replica. It is not safe for
// concurrent use.
type Setups struct {
	limit      int
	rate       float64 // new connections a second
	open       int     // open or being opened
	tokens     float64 // new connections that may be opened at once
	refilledAt time.Time
	failures   int       // consecutive
	notBefore  time.Time // end of the delay after a failure
}

// New returns the state of a replica without connections and with a full burst.
func New(cfg Config, now time.Time) *Setups {
	s := &Setups{tokens: burst, refilledAt: now}
	s.Configure(cfg)
	return s
}

// Configure applies changed settings; open connections above the new limit stay.
func (s *Setups) Configure(cfg Config) {
	s.limit = max(cfg.Connections/maxOwners, 1)
	s.rate = freeRate
	if cfg.Cost > 0 {
		s.rate = max(costShare/cfg.Cost.Seconds(), minRate)
	}
}

// Open returns the number of connections that are open or being opened.
func (s *Setups) Open() int { return s.open }

// Begin counts a new connection as open if one may be opened now. Otherwise
// retryIn is the time after which to call Begin again, or negative if no
// connection may be opened before another one is closed.
func (s *Setups) Begin(now time.Time) (ok bool, retryIn time.Duration) {
	if s.open >= s.limit {
		return false, -1
	}
	if now.Before(s.notBefore) {
		return false, s.notBefore.Sub(now)
	}
	s.tokens = min(s.tokens+s.rate*max(now.Sub(s.refilledAt).Seconds(), 0), burst)
	s.refilledAt = now
	if s.tokens < 1 {
		return false, time.Duration((1-s.tokens)/s.rate*float64(time.Second)) + time.Microsecond
	}
	s.tokens--
	s.open++
	return true, 0
}

// Opened records that a connection begun with Begin is established.
func (s *Setups) Opened() { s.failures = 0 }

// Failed records that a connection begun with Begin could not be established.
func (s *Setups) Failed(now time.Time) {
	s.open--
	delay := min(minFailDelay<<min(s.failures, 10), maxFailDelay)
	s.failures++
	s.notBefore = now.Add(delay)
}

// Closed records the end of a connection.
func (s *Setups) Closed() { s.open-- }
