package coldstart

import "time"

const (
	// HandoverQuiet is the time in which a new owner sends nothing, so that the
	// attempts of the former owner can end.
	HandoverQuiet = 300 * time.Millisecond
	// HandoverSettle is the time after a change of the owner by which all nodes
	// see the new one. Until then two owners may send, each up to half of the cold
	// budget.
	HandoverSettle = 2 * time.Second
	// minGrowInterval is the shortest time between two increases of the limit.
	minGrowInterval = 200 * time.Millisecond
	// growSuccesses is the number of successful attempts per slot that an increase
	// of the limit needs. Only attempts that filled the limit count.
	growSuccesses = 4
	// maxColdReport bounds how long a reported cold state holds the limit.
	maxColdReport = 30 * time.Second
	// slowFactor is the slowdown against the baseline above which the replica
	// counts as cold again. steadyFactor is the slowdown above which the limit
	// does not grow.
	slowFactor   = 3.0
	steadyFactor = 2.0
	// jitterFloor is added to both sides of the comparison with the baseline, so
	// that jitter of very short executions does not count as slowness.
	jitterFloor = 500 * time.Microsecond
	// recentWeight is the weight of one latency in the recent average.
	// baselineDownWeight and baselineUpWeight are its weight in the baseline if it
	// is below or above the baseline.
	recentWeight       = 1.0 / 8
	baselineDownWeight = 1.0 / 16
	baselineUpWeight   = 1.0 / 512
)

// Config holds the settings of a replica from the pools table.
type Config struct {
	Cold int // capacity of a cold replica in concurrent requests, at least 1
	Warm int // capacity of a warm replica in concurrent requests
}

// Warmup limits the attempts to one replica by the evidence about its capacity. It
// is not safe for concurrent use.
type Warmup struct {
	cfg         Config
	limit       int
	successes   int       // attempts that filled the limit since its last change
	changedAt   time.Time // last change or reset of limit
	quietUntil  time.Time // handover: nothing is sent
	sharedUntil time.Time // handover: half of the cold budget
	startID     string
	coldSince   time.Time // the replica reports to be cold; zero: it doesn't
	coldExpired bool      // reports of being cold are ignored until the next start
	baseline    float64   // nanoseconds; latency at normal speed
	recent      float64   // nanoseconds; moving average of the latest latencies
}

// New returns the state of an unknown replica, which counts as cold.
func New(cfg Config, now time.Time) *Warmup {
	w := &Warmup{}
	w.Configure(cfg)
	w.reset(now)
	return w
}

// Configure applies changed settings.
func (w *Warmup) Configure(cfg Config) {
	cfg.Cold = max(cfg.Cold, 1)
	cfg.Warm = max(cfg.Warm, cfg.Cold)
	w.cfg = cfg
	w.limit = min(w.limit, cfg.Warm)
}

// Limit returns the number of attempts that may be in flight now.
func (w *Warmup) Limit(now time.Time) int {
	switch {
	case now.Before(w.quietUntil):
		return 0
	case now.Before(w.sharedUntil):
		return min(w.limit, max(w.cfg.Cold/2, 1))
	}
	return w.limit
}

// IsCold reports whether the limit is still below the capacity of a warm replica.
func (w *Warmup) IsCold() bool { return w.limit < w.cfg.Warm }

// NextChange returns when Limit changes without an event, or zero if it doesn't.
func (w *Warmup) NextChange(now time.Time) time.Time {
	switch {
	case now.Before(w.quietUntil):
		return w.quietUntil
	case now.Before(w.sharedUntil):
		return w.sharedUntil
	}
	return time.Time{}
}

// StartHandover records that this process has become the owner.
func (w *Warmup) StartHandover(now time.Time) {
	w.reset(now)
	w.quietUntil = now.Add(HandoverQuiet)
	w.sharedUntil = now.Add(HandoverSettle)
}

// SetBaseline sets the baseline from the latency of other replicas. It has no
// effect once a latency of this replica is known.
func (w *Warmup) SetBaseline(d time.Duration) {
	if w.baseline == 0 && d > 0 {
		w.baseline = float64(d)
		w.recent = w.baseline
	}
}

// Succeeded records a successful attempt. full reports whether it filled the limit.
func (w *Warmup) Succeeded(now time.Time, latency time.Duration, full bool) {
	w.observe(float64(latency))
	switch {
	case w.slowdown() > slowFactor:
		w.reset(now)
	case w.slowdown() > steadyFactor:
		w.successes = 0
	case full:
		w.successes++
		w.grow(now)
	}
}

// Unanswered records an attempt without an answer after elapsed. It is ignored
// unless elapsed is above the recent average, as it proves no slowness otherwise.
func (w *Warmup) Unanswered(now time.Time, elapsed time.Duration) {
	if float64(elapsed) <= w.recent {
		return
	}
	w.observe(float64(elapsed))
	w.successes = 0
	if w.slowdown() > slowFactor {
		w.reset(now)
	}
}

// Rejected records that the replica rejected an attempt: the limit is above its
// capacity.
func (w *Warmup) Rejected(now time.Time) {
	w.limit = max(w.limit-1, 1)
	w.successes = 0
	w.changedAt = now
}

// BackInService records that the replica receives work again, for example because
// its availability zone is back in service. Its caches may have gone cold without a
// restart.
func (w *Warmup) BackInService(now time.Time) { w.reset(now) }

// Disconnected records a lost or refused connection: the replica may have restarted.
func (w *Warmup) Disconnected(now time.Time) { w.reset(now) }

// Reported applies a report of the replica: the ID of its current start, empty if
// unknown, and whether it is cold.
func (w *Warmup) Reported(now time.Time, id string, cold bool) {
	if id != "" && id != w.startID {
		known := w.startID != ""
		w.startID = id
		w.coldExpired = false
		if known {
			w.reset(now)
		}
	}
	switch {
	case !cold:
		w.coldSince = time.Time{}
	case w.coldExpired:
	case w.coldSince.IsZero():
		w.coldSince = now
		w.reset(now)
	case now.Sub(w.coldSince) > maxColdReport:
		w.coldExpired = true
		w.coldSince = time.Time{}
	}
}

// reset sets the limit to the cold budget.
func (w *Warmup) reset(now time.Time) {
	w.limit = w.cfg.Cold
	w.successes = 0
	w.changedAt = now
}

// grow increases the limit by one if there is enough evidence.
func (w *Warmup) grow(now time.Time) {
	if w.successes < growSuccesses*w.limit || w.limit >= w.cfg.Warm {
		return
	}
	if !w.coldSince.IsZero() || now.Before(w.sharedUntil) || now.Sub(w.changedAt) < minGrowInterval {
		return
	}
	w.limit++
	w.successes = 0
	w.changedAt = now
}

func (w *Warmup) observe(latency float64) {
	if w.baseline == 0 {
		w.baseline = latency
		w.recent = latency
		return
	}
	w.recent += (latency - w.recent) * recentWeight
	weight := baselineUpWeight
	if latency < w.baseline {
		weight = baselineDownWeight
	}
	w.baseline += (latency - w.baseline) * weight
}

// slowdown is the factor by which recent latencies exceed the baseline.
func (w *Warmup) slowdown() float64 {
	floor := float64(jitterFloor)
	return (w.recent + floor) / (w.baseline + floor)
}
