// Package upstream is a stand-in for the servers that hold the data. Many
// replicas run in one process, each with its own listener, slots, queue,
// connection limit, cold start and snapshots. Faults are injected by method calls
// or through the admin address. Every request is recorded, so that a checker can
// compare answers and verdicts with what was executed.
package upstream
