// Package uplink knows what a VM's link to the others still has to carry of the bytes
// that the VM's sessions with other VMs have written.
package uplink
