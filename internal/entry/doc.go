// Package entry serves callers over HTTP. It plans a request from the tables and
// the pinned snapshot, sends its parts to the owners of the replicas, merges the
// replies, and answers or refuses before the deadline.
//
// Invariant: a request uses one catalogue, and so one fleetstate.State, from
// start to end.
package entry
