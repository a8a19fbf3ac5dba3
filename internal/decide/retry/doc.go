// Package retry limits retries to a share of first attempts, so that a pool that
// fails as a whole doesn't get several times its load.
package retry
