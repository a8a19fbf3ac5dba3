// Package evidence collects what all VMs observe of replicas that reject requests. Each
// VM of many sees few requests to a replica; together they see a change within some tens
// of them.
//
// For each replica with recent rejections, a VM keeps its own counts and those of seven
// others at most: a hash of its name gives a VM one of eight slots, and the latest counts
// of a slot replace earlier ones. So merging is idempotent and independent of the order
// of messages, a message has a bounded size at any number of VMs, and a VM has at most
// one slot. The slot with the most rejections is left out of the sum: a single VM, which
// may be in trouble itself, changes nothing at the others.
package evidence
