package upstream

// The paths of the interface.
const (
	PathRun    = "/v1/run"    // POST: run one part of a query, or an action
	PathCancel = "/v1/cancel" // POST: give up the run named by id and attempt
	PathStatus = "/v1/status" // GET: state, load and snapshots
)

// The headers of a run and of its answer. Every answer echoes HeaderRequestID
// and HeaderAttempt.
const (
	HeaderRequestID  = "Sw-Request-Id"
	HeaderAttempt    = "Sw-Attempt"
	HeaderBudget     = "Sw-Budget-Us"  // microseconds until the deadline
	HeaderSnapshot   = "Sw-Snapshot"   // asked in a run, served in an answer
	HeaderSnapshots  = "Sw-Snapshots"  // held snapshots, comma-separated
	HeaderRange      = "Sw-Range"      // "lo-hi", the key range [lo, hi) covered
	HeaderShard      = "Sw-Shard"      // "index/count" in the snapshot served
	HeaderPool       = "Sw-Pool"       // pool of the run
	HeaderRoute      = "Sw-Route"      // route of the run
	HeaderIdempotent = "Sw-Idempotent" // "yes" or "no"
	HeaderLoad       = "Sw-Load"       // "slots=4 in-flight=2 queue=0"
	HeaderState      = "Sw-State"      // cold, ready or draining
	HeaderStartID    = "Sw-Start-Id"   // changes with every start of the server
	HeaderNotRun     = "Sw-Not-Run"    // "yes": the request did not run
	HeaderVersion    = "Sw-Version"    // software version of the server
	HeaderTrace      = "Traceparent"
)

// The states that an upstream reports.
const (
	StateCold     = "cold"
	StateReady    = "ready"
	StateDraining = "draining"
)

// The statuses of an answer besides 200.
const (
	StatusSnapshotGone = 410 // the snapshot asked is not held; not run
	StatusRejected     = 503 // too busy; not run if HeaderNotRun says so
	StatusCancelled    = 499 // given up on request
)
