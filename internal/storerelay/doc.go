// Package storerelay lets one VM of an availability zone read the platform's
// store for the others. Every call to the store has its price, and a change that
// all VMs watch for costs a call of each. In a zone with many VMs only a few,
// chosen by package decide/relay, watch the store; the others long-poll one of
// them, and fall back to the store itself when no relay can tell. This is the
// relay of each segment in "Automatic replication relaying in Galera 3.x";
// docs/MEASUREMENTS.md has what it saves.
//
// A revision means the same at every source, so a VM may go from one to another
// at any moment.
package storerelay
