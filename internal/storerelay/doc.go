// Package storerelay lets one VM of an availability zone read the platform's
// store for the others. Every call to the store has its price, and a change that
// all VMs watch for costs a call of each. In a zone with many VMs only a few,
// chosen by package decide/relay, watch the store; the others long-poll one of
// them. This is the relay of each segment in "Automatic replication relaying in
// Galera 3.x"; docs/MEASUREMENTS.md has what it saves.
//
// A VM whose relays can't tell, or that has lost the store, asks its neighbours:
// VMs of any zone that read the store themselves. Only then does it ask the store
// again. A VM may tell others only while the store itself has answered it last;
// a VM that starts without the store also takes what others knew before they lost
// it.
//
// service.go has the relays, read.go where news come from, peers.go the
// questions to others, serve.go the answers, mirror.go what is kept for them.
//
// A revision means the same at every source, so a VM may go from one to another
// at any moment.
package storerelay
