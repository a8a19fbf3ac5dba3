package coldstart

import "time"

const (
	// HandoverQuiet is the time in which a new owner sends nothing, so that
	// what the former owner sent comes to its end.
	HandoverQuiet = 300 * time.Millisecond
	// HandoverSettle is the time after which all nodes have the same owner
	// in view. Until then two owners may send, each half of the cold budget.
	HandoverSettle = 2 * time.Second
	// growDwell is the shortest time between two steps up.
	growDwell = 200 * time.Millisecond
	// growRuns is the number of good runs a slot that a step up needs, each
	// sent when the limit was full.
	growRuns = 4
	// maxColdReport bounds how long a reported cold state holds the limit.
	maxColdReport = 30 * time.Second
	// slowFactor is how much slower than normal recent runs are when the
	// replica counts as cold again; steadyFactor is what a step up allows.
	slowFactor   = 3.0
	steadyFactor = 2.0
	// slowFloor is added to the normal time, so that jitter of very short
	// runs is no slowness.
	slowFloor = 500 * time.Microsecond
	// The weights of one run in the recent time, and in the normal time when
	// it is shorter or longer than normal.
	recentWeight = 1.0 / 8
	downWeight   = 1.0 / 16
	upWeight     = 1.0 / 512
)

// Config is what the pools table says of a replica.
type Config struct {
	Cold int // concurrent requests that a cold replica bears, at least 1
	Warm int // concurrent requests that a warm replica bears
}

// Warmup holds the evidence about one replica. It is not safe for concurrent
// use.
type Warmup struct {
	cfg       Config
	limit     int
	good      int       // runs at the full limit since the last change
	changedAt time.Time // of limit
	quietTill time.Time // a hand-over: nothing is sent
	sharedTil time.Time // a hand-over: half of the cold budget
	startID   string
	coldSince time.Time // reported; zero: not reported
	coldTold  bool      // the report of this start has been used up
	normal    float64   // nanoseconds; time of a run at normal speed
	recent    float64   // nanoseconds; time of the last runs
}

// New returns the state of a replica that nothing is known of.
func New(cfg Config, now time.Time) *Warmup {
	w := &Warmup{}
	w.Configure(cfg)
	w.reset(now)
	return w
}

// Configure takes changed tables.
func (w *Warmup) Configure(cfg Config) {
	cfg.Cold = max(cfg.Cold, 1)
	cfg.Warm = max(cfg.Warm, cfg.Cold)
	w.cfg = cfg
	w.limit = min(w.limit, cfg.Warm)
}

// Limit is the number of requests that the replica may have at once now.
func (w *Warmup) Limit(now time.Time) int {
	switch {
	case now.Before(w.quietTill):
		return 0
	case now.Before(w.sharedTil):
		return min(w.limit, max(w.cfg.Cold/2, 1))
	}
	return w.limit
}

// IsCold reports whether the replica has not been shown to bear its full load.
func (w *Warmup) IsCold() bool { return w.limit < w.cfg.Warm }

// NextChange is when Limit changes without an event; zero if it doesn't.
func (w *Warmup) NextChange(now time.Time) time.Time {
	switch {
	case now.Before(w.quietTill):
		return w.quietTill
	case now.Before(w.sharedTil):
		return w.sharedTil
	}
	return time.Time{}
}

// StartHandover starts a hand-over: this process has become the owner.
func (w *Warmup) StartHandover(now time.Time) {
	w.reset(now)
	w.quietTill = now.Add(HandoverQuiet)
	w.sharedTil = now.Add(HandoverSettle)
}

// SetBaseline sets the normal time of a run from what siblings take. It has no
// effect once the replica's own time is known.
func (w *Warmup) SetBaseline(d time.Duration) {
	if w.normal == 0 && d > 0 {
		w.normal = float64(d)
		w.recent = w.normal
	}
}

// Succeeded takes a run that was served. full says that it filled the limit.
func (w *Warmup) Succeeded(now time.Time, took time.Duration, full bool) {
	w.observe(float64(took))
	switch {
	case w.ratio() > slowFactor:
		w.reset(now)
	case w.ratio() > steadyFactor:
		w.good = 0
	case full:
		w.good++
		w.grow(now)
	}
}

// Unanswered takes a run that had no answer after a time.
func (w *Warmup) Unanswered(now time.Time, after time.Duration) {
	if float64(after) <= w.recent {
		return
	}
	w.observe(float64(after))
	w.good = 0
	if w.ratio() > slowFactor {
		w.reset(now)
	}
}

// Rejected takes a refusal by the replica: the limit is above what it bears.
func (w *Warmup) Rejected(now time.Time) {
	w.limit = max(w.limit-1, 1)
	w.good = 0
	w.changedAt = now
}

// BackInService takes the end of a time without work, such as an availability zone
// that was out: the replica's caches may have gone cold without a new start.
func (w *Warmup) BackInService(now time.Time) { w.reset(now) }

// Disconnected takes a lost or refused connection: the replica may start anew.
func (w *Warmup) Disconnected(now time.Time) { w.reset(now) }

// Reported takes what the replica says of itself; id is empty if unknown.
func (w *Warmup) Reported(now time.Time, id string, cold bool) {
	if id != "" && id != w.startID {
		known := w.startID != ""
		w.startID = id
		w.coldTold = false
		if known {
			w.reset(now)
		}
	}
	switch {
	case !cold:
		w.coldSince = time.Time{}
	case w.coldTold:
	case w.coldSince.IsZero():
		w.coldSince = now
		w.reset(now)
	case now.Sub(w.coldSince) > maxColdReport:
		w.coldTold = true
		w.coldSince = time.Time{}
	}
}

// reset goes back to the cold budget.
func (w *Warmup) reset(now time.Time) {
	w.limit = w.cfg.Cold
	w.good = 0
	w.changedAt = now
}

// grow takes one step up if the evidence is there.
func (w *Warmup) grow(now time.Time) {
	if w.good < growRuns*w.limit || w.limit >= w.cfg.Warm {
		return
	}
	if !w.coldSince.IsZero() || now.Before(w.sharedTil) || now.Sub(w.changedAt) < growDwell {
		return
	}
	w.limit++
	w.good = 0
	w.changedAt = now
}

func (w *Warmup) observe(took float64) {
	if w.normal == 0 {
		w.normal = took
		w.recent = took
		return
	}
	w.recent += (took - w.recent) * recentWeight
	weight := upWeight
	if took < w.normal {
		weight = downWeight
	}
	w.normal += (took - w.normal) * weight
}

// ratio is how much slower than normal the recent runs are.
func (w *Warmup) ratio() float64 {
	floor := float64(slowFloor)
	return (w.recent + floor) / (w.normal + floor)
}
