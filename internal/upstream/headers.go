package upstream

// The paths of the interface.
const (
	PathRun    = "/v1/run"    // POST: execute one part of a query, or an action
	PathCancel = "/v1/cancel" // POST: cancel the execution given by request ID and attempt
	PathStatus = "/v1/status" // GET: state, load and snapshots
)

// The headers of a request to PathRun and of its answer. Every answer echoes
// HeaderRequestID and HeaderAttempt.
const (
	HeaderRequestID  = "Sw-Request-Id"
	HeaderAttempt    = "Sw-Attempt"
	HeaderBudget     = "Sw-Budget-Us"  // microseconds until the deadline
	HeaderSnapshot   = "Sw-Snapshot"   // requested snapshot; in an answer, the one used
	HeaderSnapshots  = "Sw-Snapshots"  // snapshots that the upstream holds, comma-separated
	HeaderRange      = "Sw-Range"      // "lo-hi": the answer covers the key range [lo, hi)
	HeaderShard      = "Sw-Shard"      // "index/count" in the snapshot used
	HeaderPool       = "Sw-Pool"       // pool that the request is for
	HeaderRoute      = "Sw-Route"      // route that the request came by
	HeaderIdempotent = "Sw-Idempotent" // "yes" or "no"
	HeaderLoad       = "Sw-Load"       // "slots=4 in-flight=2 queue=0"
	HeaderState      = "Sw-State"      // cold, ready or draining
	HeaderStartID    = "Sw-Start-Id"   // differs after every start of the upstream
	HeaderNotRun     = "Sw-Not-Run"    // "yes": the request was not executed
	HeaderVersion    = "Sw-Version"    // software version of the upstream
	HeaderTrace      = "Traceparent"
)

// The states that an upstream reports.
const (
	StateCold     = "cold"
	StateReady    = "ready"
	StateDraining = "draining"
)

// The HTTP statuses of an answer besides 200.
const (
	StatusSnapshotGone = 410 // the requested snapshot is not held; not executed
	StatusRejected     = 503 // too busy; not executed if HeaderNotRun is "yes"
	StatusCancelled    = 499 // cancelled on request (PathCancel)
)
