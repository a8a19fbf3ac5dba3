// Package fleetstate holds what a process knows of the fleet at one moment: the
// tables in force, the members, the vetoes of versions and the draining
// upstreams. A State is immutable; a request uses one State from start to end.
package fleetstate
