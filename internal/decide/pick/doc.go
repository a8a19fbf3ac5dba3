// Package pick chooses the replica of a shard that receives one part of a query.
package pick
