// Package connpool keeps the connections of one VM to the replicas of discovered
// pools. A connection carries one request at a time. A goroutine reads from it
// all the time, also while it is idle, so that its end or unexpected bytes are
// noticed when they arrive and not by the next request.
//
// A Codec defines how requests and replies look on the wire.
//
// Every Attempt that is passed to Pool.Send ends exactly once, with a call of its
// Done.
package connpool
