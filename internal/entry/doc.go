// Package entry serves callers over HTTP: it plans a request from the tables
// and the pinned snapshot, sends its parts to the owners of the replicas,
// merges what comes back, and answers or refuses before the deadline.
//
// A request uses one catalogue, and with it one fleetstate.State, from start to end.
package entry
