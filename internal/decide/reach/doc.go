// Package reach decides whether a VM is itself cut off from replicas, as opposed to
// replicas that fail: it hears none of them for a while, though it has sent to several.
// Whether the replicas are down or the VM is cut off, the other VMs know; this package
// only says when to ask them.
//
// A pool is degraded if the VM can open no connection to most of its replicas, though some
// of them may be heard on open ones. What it can send there is bounded by these.
//
// Path is what the VM has seen of the way to one replica, Way is its connections to it, and
// Machine judges those of all replicas.
package reach
