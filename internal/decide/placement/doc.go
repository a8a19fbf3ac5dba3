// Package placement chooses the replica for an attempt, from what this VM has
// observed: attempts without an answer, latencies relative to the typical one,
// failures, and the load that replicas report, weighted by its age.
//
// Most replicas are fast and near; some pause for a quarter of a second, some
// become many times slower, some stop answering, and averages show that too
// late. A replica is therefore avoided as soon as an attempt has waited for
// longer than usual while the replica has answered nothing else since.
package placement
