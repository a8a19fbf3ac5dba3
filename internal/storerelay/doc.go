// Package storerelay lets a few VMs of an availability zone read the platform's
// store for the others. Every call to the store has a cost, and a change that all
// VMs watch for costs one call per VM. In a zone with many VMs only a few relays,
// chosen by package decide/relay, watch the store; the other VMs long-poll one of
// them. It corresponds to the relay of each segment in "Automatic replication
// relaying in Galera 3.x"; docs/MEASUREMENTS.md has the calls that it saves.
//
// Prefixes that change often and have small values are read by one relay of each zone only
// (Service.ReadOnce, shared.go). The other relay polls it like any VM, and reads the store
// when it fails.
//
// A VM whose relays have no current state, or for which the store is unavailable,
// queries peers: other VMs, of any zone, that read the store themselves. It calls
// the store again only if none of them can answer. A VM answers other VMs only
// for prefixes for which its own last call to the store succeeded. A VM that
// starts during an outage of the store also uses the state that its peers had
// before the outage.
//
// Entries of some size go from VM to VM as packs (package storepack): compressed, and of a
// large value that the asking VM has an earlier version of only the difference. The asking
// VM reads a pack in small pieces, one after the other, and only a few are on their way
// from a VM at a time, so that requests of callers don't wait in its link behind them.
// These calls have sessions of their own, so that short calls between VMs don't wait
// either. A VM of a build without packs gets and sends its entries whole.
//
// service.go has the relays, pieces.go the packs, read.go the choice of the source, peers.go the
// requests to peers, serve.go the replies to other VMs, and mirror.go the state
// that is kept for these replies.
//
// A revision means the same at every source, so a VM can switch between sources
// at any time.
package storerelay
