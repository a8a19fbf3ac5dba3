// Package control is the service of the sw-control process. It keeps the tables
// in force, the members of the fleet, the vetoes of versions and the draining
// upstreams, sends them to the other processes of its VM, and exchanges heartbeats
// and tables with the control processes of other VMs. The packages below
// internal/decide make the decisions; this package does the I/O around them.
package control
