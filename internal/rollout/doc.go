// Package rollout is the service of a control process that rolls pools over
// from one version to another. Each egress process reports its request
// statistics to two control processes, chosen by rendezvous hashing, which judge
// the rollout and send each new stage and veto to all nodes at once. The first
// of the two records the outcome in the platform while it holds a lease.
package rollout
