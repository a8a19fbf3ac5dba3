// Package poison detects requests whose execution is followed by a crash of the
// upstream.
//
// With owners of replicas, each owner keeps a Tracker; an entry process merges the
// suspects of all owners in an Aggregator and refuses their requests. A request is
// refused only after Threshold crashes at distinct times, each with the request in
// flight at the replica that crashed, and with no attempt of it answered at that
// owner since.
//
// On the direct path each VM keeps a Ledger, and the VMs share their suspicions
// through the store. A request is refused for long only after a chain of Threshold
// crashes, each caused by an attempt that was sent after the crash before it was
// known, and with no attempt of it answered since at a VM that knew of them. A lost
// connection is a crash only if the replica is gone afterwards, and not that of a
// request that was answered just before.
package poison
