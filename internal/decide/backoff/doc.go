// Package backoff decides when a failed call is retried. The delay grows
// exponentially with full jitter, so that nodes that lost a service at the same
// time don't return to it at the same time. A token bucket bounds the rate of
// calls, so that no fault makes a node call more often than it may.
package backoff
