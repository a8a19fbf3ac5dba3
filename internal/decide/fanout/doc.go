// Package fanout drives the parts of one request from the first attempt to the
// last reply: hedges, retries on another replica, cancellation of the attempts
// that are no longer needed, and the end at the deadline.
//
// Invariants: a reply is merged only if it echoes the request and an attempt
// that is in flight, and was served from the pinned snapshot. A part of a
// request that is not idempotent has at most one attempt in flight, and is
// retried only after a verdict that it was not executed.
package fanout
