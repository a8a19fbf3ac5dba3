// Package zoneshare decides, for each pool, which share of a VM's requests leaves the
// nearest replicas, how far they go, and what distance costs in waiting time.
//
// It addresses zones whose own replicas are too few for their demand, after a shift of
// clients or the loss of a zone, where fixed costs either send requests out of the zone
// for a momentary queue or let VMs with the same evidence change sides together. Shares
// move by small random steps, so that many VMs that decide alone converge.
package zoneshare
