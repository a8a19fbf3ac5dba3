// Package admission decides which requests a process serves. A request that can't be
// expected to be served in time is refused at once, before anything is sent for it, with
// a delay that spreads the return of refused callers.
//
// Two controllers share the ranks, the floors and the delays of this package. They differ
// in how free capacity is observed:
//
//   - Controller is for a process through which a large part of a pool's load passes. The
//     limit on a route's requests in flight follows their latencies. Requests above it
//     wait if they are expected to start early enough.
//   - Judge is for a process that sends a small part of a pool's load, as one of many VMs.
//     Its own requests in flight say little, so it decides by Room, which is what the
//     replicas report of their load. Requests wait at the replicas; Judge bounds how long.
//
// Stop decides which requests are begun while the process stops.
package admission
