// Package discovery decides which announced upstreams may get new work. Entries
// come from a store that can be away, and vanish from it when their upstream
// ends, leaves without a word, or could not renew while the store was away.
//
// Invariant: an upstream that leaves, or whose entry has vanished, is usable for
// at most Hold after that was learned, and is used only where no other is.
package discovery
