// Package gather decides the course of one request: which parts to send, when to
// hedge a late part, when to answer without the missing parts, and when to fail.
// A request to a single replica has one part.
//
// A query needs many parts, each from a replica that sometimes pauses, fails or
// is slow. Its answer is worth much within the latency objective and little
// afterwards. With enough parts received, the answer is therefore sent shortly
// before the objective or, if they arrive later, at once. A request that can no
// longer receive enough parts fails immediately.
//
// Invariants: at most MaxAttempts replicas execute a part, and a request that is
// not idempotent is sent again only after an attempt that is known not to have
// been executed.
package gather
