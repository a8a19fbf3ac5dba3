// Package connpool keeps the connections of one VM to the replicas of discovered
// pools. A connection carries one request at a time and has a goroutine that
// reads it all the time, so that an end, or bytes that nobody asked for, are
// seen when they come and not by the next request.
//
// How requests and answers look on the wire is a Codec's matter.
//
// Every Flight that was handed to Send ends exactly once, by a call of its Done.
package connpool
