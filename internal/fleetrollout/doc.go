// Package fleetrollout carries out the operator's orders to move pools to other
// versions, together with the other VMs. Each VM reports what it has sent to both
// versions to two judges, VMs that all VMs choose by rendezvous hashing; the replies
// state the phase in force. The judge that leads writes the record of an order and
// its status to the platform's store; a phase from which there is no way back is
// recorded before it is in force.
//
// A VM that hears neither a judge nor the store sends nothing to the new version. The
// decisions are those of package decide/rollout.
package fleetrollout
