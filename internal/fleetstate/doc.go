// Package fleetstate holds what a process knows of the fleet at one moment: the
// tables in force, the members, vetoes of versions and leaving upstreams. A
// State is immutable; a request takes one State and keeps it to its end.
package fleetstate
