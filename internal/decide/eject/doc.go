// Package eject ejects stragglers: replicas whose observed latency is far above
// that of the other replicas of the same shard. An ejected replica is probed after
// a while, and gets a growing share of its requests when it has recovered. One
// Group serves the replicas of one shard.
//
// Invariant: at most MaxShare of a shard's replicas, rounded down, are not in full
// service at a time, and always fewer than all.
package eject
