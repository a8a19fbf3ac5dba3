// Package rollout decides how a pool's traffic moves from one version to
// another. Choose selects the version for a request; every node computes the
// same result from the tables, the current stage and the time. Judge compares
// the two versions by the counters that all nodes report: it advances the
// rollout to the next stage while the new version is within tolerance of the
// old one, and rolls it back on a regression.
package rollout
