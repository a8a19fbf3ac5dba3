// Package gather decides the course of one request: which parts to send, when a
// late part is sent a second time, when to answer without those that are
// missing, and when to give up. A request to one replica has one part.
//
// The pattern it answers: a query needs many parts, each from a replica that now
// and then pauses, fails or is slow, and an answer is worth much within the
// objective and little after it. With enough parts in, the answer goes out just
// before the objective; after it as soon as there are enough. What can't reach
// the needed parts any more fails at once.
//
// Invariants: a part is run by at most Attempts replicas, and a request that is
// not idempotent is sent again only after an attempt that is known not to have
// run.
package gather
