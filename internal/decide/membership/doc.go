// Package membership combines the platform's list of VMs, which lags, with
// heartbeats and connection errors into one state for each VM of the system:
// alive, suspect, leaving or gone. Every node decides for itself and sends its
// decisions to its peers; there is no voting.
//
// A node that can't reach a member first has other members probe it. Only
// if none of them reaches it does the member become suspect, and then gone
// unless it refutes the suspicion with a higher incarnation in time. Three rules
// keep a network partition from emptying an availability zone: the node must
// have received a message from another member of that zone since the failure, at
// most a third of a zone is declared gone on heartbeats alone, and a list of VMs
// that drops a whole zone is accepted only once it has done so for
// Config.ListAbsence.
//
// The package is pure: the caller supplies the time and the random source and
// does the I/O. The size of a heartbeat message is bounded for any fleet size; a
// tick visits all members.
package membership
