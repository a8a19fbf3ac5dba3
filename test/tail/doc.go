// Package tail measures in simulated time how picking, ejection and hedging affect the
// tail latency of fan-out queries.
package tail
