// Package fleetstate holds a process's view of the fleet: the tables in force, the
// members, the vetoes of versions and the draining upstreams. A State is immutable;
// a request uses one State from start to end.
package fleetstate
