// Package reach decides whether a VM is itself cut off from replicas, as opposed to
// replicas that fail: it hears none of them for a while, though it has sent to several.
// Whether the replicas are down or the VM is cut off, the other VMs know; this package
// only says when to ask them.
//
// Path is what the VM has seen of the way to one replica, and Machine judges the paths
// of all replicas.
package reach
