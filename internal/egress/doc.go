// Package egress implements the service that owns the connections to the
// upstreams of its availability zone. Entry processes send it the parts of
// their queries; it forwards each part to the requested replica, within the
// limits of that replica. Retries are left to the entry process, except for one
// over another connection when a connection stalls. Peers receive the state of
// the replicas by long poll, and statistics for judging versions go to the
// control process of the VM.
package egress
