// Package snapshot builds the shard maps of each pool's snapshots from the
// reports of its replicas, and pins the snapshot that a query reads.
//
// Invariant: a pinned snapshot's shard map is built only from reports for that
// snapshot. Reports with different shard counts are never combined in one map.
package snapshot
