// Package discovery decides which registered upstreams may receive requests.
// Their registrations come from a store that can be unavailable. They disappear
// from it when their upstream ends, shuts down without announcing it, or could
// not renew its lease while the store was unavailable. An upstream that leaves also says
// so in its answers, which reach a VM that is cut off from the store.
//
// Invariant: an upstream that is draining, that has said that it leaves, or whose
// registration was removed, is used for at most GracePeriod after this process observed it, and only where
// no other upstream can be used.
package discovery
