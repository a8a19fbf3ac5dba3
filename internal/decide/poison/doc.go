// Package poison detects requests whose execution is followed by a crash of the
// upstream. Each owner of replicas keeps a Tracker; an entry process merges the
// suspects of all owners in an Aggregator and refuses their requests.
//
// Invariant: a request is refused only after Threshold crashes at distinct
// times, each with the request in flight at the replica that crashed, and with
// no attempt of it answered at that owner since.
package poison
