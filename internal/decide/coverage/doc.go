// Package coverage computes which share of a snapshot's shards an answer covers.
package coverage
