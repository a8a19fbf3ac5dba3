// Package process tests the programs as separate processes, some of which are killed,
// paused or stopped, and with faults of the upstreams.
package process
